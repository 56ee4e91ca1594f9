"""Model checker of the controller and its agents. It explores all interleavings of steps, crashes, failed
steps, failed saves, and lost, late or duplicated messages, to a given depth.

Time is abstract: every timer is due at each tick.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from applehub.release.agent_memory import AgentMemory, OrderRecord
from applehub.release.errors import OrderRejectedError
from applehub.release.model_state import (
    RELEASE_ID,
    FaultBudget,
    ModelState,
    Outcome,
    copy_record,
)
from applehub.release.simulated_unit import SimulatedUnit
from applehub.release.state_machine import (
    ENDED_MODES,
    Order,
    ReleaseKind,
    ReleaseMode,
    ReleaseRecord,
    ReleaseStateMachine,
    UnitState,
)

OLD_VERSION = "old"
NEW_VERSION = "new"
DUE = 1.0  # time at which every timer is due
MAX_TERMINATION_ROUNDS = 60  # rounds of deliveries without faults within which a release must end
MAX_STATES = 1 << 20
ControllerEvent = Callable[[ReleaseStateMachine], list[Order]]
Transition = tuple[str, ModelState]  # name and next state


@dataclass(frozen=True, slots=True)
class ModelRules:
    """The rules under test. Mutation tests replace one of them."""

    machine: Callable[[ReleaseRecord], ReleaseStateMachine] = ReleaseStateMachine
    fencing: bool = True  # whether agents reject orders by their fence and number
    waits_for_disk: bool = True  # whether orders are sent only after their record is stored
    after_crash: Callable[[ReleaseRecord], None] = lambda _: None  # fault in the record loaded after a crash


class ModelChecker:
    """Explores the reachable states of a release of a few units."""

    def __init__(
        self, rules: ModelRules, budget: FaultBudget, zones: str = "aab", rollback_on_halt: bool = False
    ) -> None:
        """Creates a unit for each letter of `zones`, its zone. The first unit is a stage of its own."""
        self.violations: list[str] = []  # descriptions, each with the transitions that lead to the violation
        self.states = 0
        self.max_depth = 0
        self._rules = rules
        self._initial = _initial_state(zones, budget, rollback_on_halt)

    def explore(self, depth: int, max_states: int = MAX_STATES) -> None:
        """Searches breadth-first, so that the first violation, at which it stops, has a shortest path."""
        seen = {self._initial.key()}
        queue = deque([(self._initial, 0, "")])
        while queue and not self.violations and self.states < max_states:
            state, path_length, path = queue.popleft()
            self.states += 1
            self.max_depth = path_length
            violation = self._violation(state)
            if violation:
                self.violations.append(f"{violation}, after:{path}")
            if path_length == depth:
                continue
            for name, next_state in self._transitions(state):
                key = next_state.key()
                if key not in seen:
                    seen.add(key)
                    queue.append((next_state, path_length + 1, f"{path} {name}"))

    # Transitions

    def _transitions(self, state: ModelState) -> Iterator[Transition]:
        yield from self._order_transitions(state)
        yield from self._outcome_transitions(state)
        yield from self._controller_event(state, "tick", lambda machine: machine.tick(DUE))
        yield from self._controller_event(state, "no capacity", lambda machine: machine.tick(DUE, True, 0))
        if state.budget.crashes:
            yield "crash", self._crashed(state.copy())
        if state.budget.halts and state.record.mode in (ReleaseMode.RUNNING, ReleaseMode.ROLLING_BACK):
            next_state = state.copy()
            next_state.budget.halts -= 1
            yield from self._controller_event(next_state, "halt", _halt)
        if state.budget.rollbacks and state.record.mode is not ReleaseMode.RETURNED:
            next_state = state.copy()
            next_state.budget.rollbacks -= 1
            yield from self._controller_event(next_state, "back", _roll_back)

    def _order_transitions(self, state: ModelState) -> Iterator[Transition]:
        for sent_order in sorted(state.orders, key=_number_and_fence):
            order = sent_order[0]
            name = f"{order.number}({order.unit})"
            yield f"{order.step}#{name}", self._delivered(state.copy(), sent_order, False)
            if state.budget.failed_steps:
                yield f"fail#{name}", self._delivered(state.copy(), sent_order, True)
            lost = state.copy()
            lost.orders.discard(sent_order)
            yield f"lose#{name}", lost

    def _outcome_transitions(self, state: ModelState) -> Iterator[Transition]:
        for outcome in sorted(state.outcomes):
            yield from self._controller_event(state, f"receive#{outcome[1]}", _outcome_event(outcome))
            lost = state.copy()
            lost.outcomes.discard(outcome)
            yield f"lose outcome#{outcome[1]}", lost

    def _controller_event(self, state: ModelState, name: str, event: ControllerEvent) -> Iterator[Transition]:
        """Yields the states after a controller event, with a successful and with a failed save."""
        yield name, self._applied(state.copy(), event, stored=True)
        if state.budget.failed_saves:
            next_state = state.copy()
            next_state.budget.failed_saves -= 1
            yield f"{name} with failed save", self._applied(next_state, event, stored=False)

    def _crashed(self, state: ModelState) -> ModelState:
        """Replaces the controller by another one, which takes over the lock and the stored record."""
        state.budget.crashes -= 1
        state.fence += 1
        state.record = copy_record(state.stored)
        state.unsent.clear()
        self._rules.after_crash(state.record)
        return self._applied(state, lambda machine: machine.resend_pending(DUE), stored=True)

    def _delivered(self, state: ModelState, sent_order: tuple[Order, int], fails: bool) -> ModelState:
        """Delivers an order to its agent. The order stays in flight, to be delivered again as a duplicate."""
        order, fence = sent_order
        memory = state.memories[order.unit]
        try:
            is_new = memory.accept(RELEASE_ID, fence, order)
        except OrderRejectedError:
            if self._rules.fencing:
                return state
            memory.latest[order.unit] = OrderRecord(RELEASE_ID, fence, order)
            is_new = True
        if is_new:
            state.budget.failed_steps -= fails
            violation = state.units[order.unit].execute(order, fails)
            memory.record_outcome(order.unit, "failed" if fails else "")
            if violation and not state.violation:
                state.violation = f"{order.unit}: {violation}"
        succeeded = bool(memory.latest[order.unit].succeeded)
        state.outcomes.add((order.unit, order.number, succeeded))
        return state

    def _applied(self, state: ModelState, event: ControllerEvent, stored: bool) -> ModelState:
        """Applies a controller event, stores the record if `stored`, and sends the permitted orders."""
        record = state.record
        halted = record.mode is ReleaseMode.HALTED
        in_progress = set(record.units_in_progress())
        orders = event(self._rules.machine(record))
        still_halted = halted and record.mode is ReleaseMode.HALTED
        if still_halted and not {order.unit for order in orders} <= in_progress and not state.violation:
            state.violation = "a unit is started while the release is halted"
        _reset_times(record)
        pending = {unit.order_number for unit in record.units.values()}
        state.unsent = {order for order in state.unsent.union(orders) if order.number in pending}
        if stored:
            state.stored = copy_record(record)
        if stored or not self._rules.waits_for_disk:
            state.orders.update((order, state.fence) for order in state.unsent)
            state.unsent.clear()
        return state

    # Invariants

    def _violation(self, state: ModelState) -> str:
        return state.violation or _limit_violation(state) or self._termination_violation(state)

    def _termination_violation(self, state: ModelState) -> str:
        """Returns a violation if the release does not end without further faults, or an empty string."""
        final_state = state.copy()
        final_state.budget.failed_steps = 0
        for _ in range(MAX_TERMINATION_ROUNDS):
            for sent_order in sorted(final_state.orders, key=_number_and_fence):
                self._delivered(final_state, sent_order, False)
            for outcome in sorted(final_state.outcomes):
                self._applied(final_state, _outcome_event(outcome), stored=True)
            final_state.orders.clear()
            final_state.outcomes.clear()
            if final_state.record.finished():
                return ""
            self._applied(final_state, lambda machine: machine.tick(DUE), stored=True)
        return f"release does not end: mode {final_state.record.mode}"


def _initial_state(zones: str, budget: FaultBudget, rollback_on_halt: bool) -> ModelState:
    names = [f"u{number}" for number in range(len(zones))]
    record = ReleaseRecord(
        release_id=RELEASE_ID,
        kind=ReleaseKind.SERVERS,
        old_version=OLD_VERSION,
        new_version=NEW_VERSION,
        stages=[names[:1], names[1:]],
        stage_watch_s=[DUE, DUE],
        max_unavailable=2,
        max_attempts=1,
        step_timeout_s=DUE,
        units={name: UnitState(zone, OLD_VERSION) for name, zone in zip(names, zones, strict=True)},
        rollback_on_halt=rollback_on_halt,
    )
    return ModelState(
        record=record,
        stored=copy_record(record),
        units={name: SimulatedUnit(OLD_VERSION) for name in names},
        memories={name: AgentMemory() for name in names},
        budget=budget,
    )


def _limit_violation(state: ModelState) -> str:
    """Returns a violation of the limits on units out of service or of the versions at the end, if any."""
    record = state.record
    out_of_service = state.out_of_service()
    if len({record.units[name].zone for name in out_of_service}) > 1:
        return f"units out of service in two zones: {out_of_service}"
    if len(out_of_service) > record.max_unavailable:
        return f"too many units out of service: {out_of_service}"
    if record.mode in ENDED_MODES:
        version = record.new_version if record.mode is ReleaseMode.DONE else record.old_version
        at_other_version = [name for name, unit in state.units.items() if unit.version != version]
        inconsistent = sorted({*at_other_version, *out_of_service})
        if inconsistent:
            return f"mode {record.mode}, but units at another version or out of service: {inconsistent}"
    return ""


def _reset_times(record: ReleaseRecord) -> None:
    """Resets times, so that states which differ only in them are equal and every timer is due."""
    for unit in record.units.values():
        unit.sent_at = 0.0
    if record.watch_started is not None:
        record.watch_started = 0.0


def _number_and_fence(sent_order: tuple[Order, int]) -> tuple[int, int]:
    return sent_order[0].number, sent_order[1]


def _outcome_event(outcome: Outcome) -> ControllerEvent:
    return lambda machine: machine.handle_outcome(DUE, *outcome)


def _halt(machine: ReleaseStateMachine) -> list[Order]:
    machine.reject_version("a gate")  # equals a halt by staff if rollback_on_halt is not set
    return []


def _roll_back(machine: ReleaseStateMachine) -> list[Order]:
    machine.roll_back()
    return []
