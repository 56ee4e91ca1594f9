"""State machine of a release, pure: events in, orders to agents out. Its whole state is one record.

The host stores the record before it sends an order, and sends the pending orders again at each start. An
agent executes an order once by its number, answers a number that it knows with the outcome, and refuses a
lower one. So neither a crash between any two steps nor a duplicated or late message executes a step twice.
Each `now` is a reading of a clock that never steps, in seconds (see clock.py).

A unit whose upgrade has begun is completed, also while the release is halted. A unit that can't be
completed is returned to the old version. A rollback takes the same steps with the versions swapped, in
reverse order and without watching.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from applehub.release.evidence import GateState


class ReleaseKind(StrEnum):
    """What is released."""

    SERVERS = "servers"
    ROUTERS = "routers"
    CONFIGURATION = "configuration"


class Step(StrEnum):
    """One step of taking a unit from one version to another."""

    DRAIN = "drain"
    REPLACE = "replace"
    ADMIT = "admit"
    UPGRADE = "upgrade"
    RELOAD = "reload"


STEPS: Mapping[ReleaseKind, tuple[Step, ...]] = {
    ReleaseKind.SERVERS: (Step.DRAIN, Step.REPLACE, Step.ADMIT),
    ReleaseKind.ROUTERS: (Step.UPGRADE,),
    ReleaseKind.CONFIGURATION: (Step.RELOAD,),
}


class ReleaseMode(StrEnum):
    """The state of a release."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "back"
    DONE = "done"  # all units have the new version
    RETURNED = "returned"  # all units have the old version


ENDED_MODES = frozenset((ReleaseMode.DONE, ReleaseMode.RETURNED))
ACTIVE_MODES = frozenset((ReleaseMode.RUNNING, ReleaseMode.ROLLING_BACK))


@dataclass(frozen=True, slots=True)
class Order:
    """A step for an agent to execute. number: higher than that of any earlier order, over all units."""

    unit: str
    step: Step
    version: str
    number: int


@dataclass(slots=True)
class UnitState:
    """One unit as the controller knows it."""

    zone: str
    version: str
    target_version: str = ""  # empty: the unit is in service and stays at its version
    step_index: int = 0
    order_number: int = 0  # of the order without an outcome; 0: none
    attempts: int = 0
    sent_at: float = 0.0


@dataclass(slots=True)
class ReleaseRecord:
    """All that a controller has to know after a crash."""

    release_id: str  # distinguishes the orders of this release from those of others
    kind: ReleaseKind
    old_version: str
    new_version: str
    stages: list[list[str]]  # names of units
    stage_watch_s: list[float]
    max_unavailable: int
    max_attempts: int
    step_timeout_s: float
    units: dict[str, UnitState]
    rollback_on_halt: bool = False
    mode: ReleaseMode = ReleaseMode.RUNNING
    stage: int = 0
    watch_started: float | None = None  # of the current stage
    last_order_number: int = 0
    reason: str = ""
    stuck_units: list[str] = field(default_factory=list)  # neither completed nor returned
    gate_state: GateState = field(default_factory=GateState)
    last_request: int | None = None  # number of the last staff request carried out; none: not recorded

    def units_in_progress(self) -> list[str]:
        """Names of the units between two versions."""
        return [name for name, unit in self.units.items() if unit.target_version]

    def finished(self) -> bool:
        """Whether the release has ended, or is halted and no unit in progress can be completed."""
        return self.mode not in ACTIVE_MODES and set(self.units_in_progress()) <= set(self.stuck_units)


class ReleaseStateMachine:
    """Applies events to a record. Each call returns the orders to be sent once the record is stored."""

    def __init__(self, record: ReleaseRecord) -> None:
        """record: changed in place."""
        self.record = record

    # Requests of staff and of the gates

    def halt(self, reason: str) -> None:
        """Begins no further unit."""
        if self.record.mode in ACTIVE_MODES:
            self.record.mode = ReleaseMode.HALTED
            self.record.reason = reason

    def reject_version(self, reason: str) -> None:
        """Halts because the new version is bad, and rolls back where the plan says so."""
        self.halt(reason)
        if self.record.rollback_on_halt and self.record.mode is ReleaseMode.HALTED:
            self.roll_back()

    def resume(self) -> None:
        """Continues a halted release with the new version, also after a rollback was halted."""
        if self.record.mode is ReleaseMode.HALTED:
            self.record.mode = ReleaseMode.RUNNING
            self.record.reason = ""
            self.record.stuck_units.clear()

    def roll_back(self) -> None:
        """Returns all units to the old version."""
        if self.record.mode is not ReleaseMode.RETURNED:
            self.record.mode = ReleaseMode.ROLLING_BACK
            self.record.stuck_units.clear()

    # Events

    def handle_outcome(self, now: float, name: str, number: int, succeeded: bool) -> list[Order]:
        """An agent reports the outcome of an order."""
        unit = self.record.units[name]
        if unit.order_number != number or not number:
            return []  # of an earlier order, or reported twice
        unit.order_number = 0
        return self._handle_success(now, name) if succeeded else self._handle_failure(now, name)

    def tick(self, now: float, healthy: bool = True, capacity: int | None = None) -> list[Order]:
        """Time has passed.

        healthy: whether the fleet is; otherwise only a rollback begins units. capacity: how many more units
        may be taken out at the present load, None if unknown; a rollback takes one all the same, since the
        version that is rolled back may itself be the reason for the lack of capacity.
        """
        record = self.record
        orders = []
        for name, unit in record.units.items():
            if unit.order_number and now - unit.sent_at >= record.step_timeout_s:
                unit.sent_at = now
                orders.append(self._current_order(name))
        if record.mode is ReleaseMode.RUNNING and healthy:
            orders += self._advance(now, capacity)
        elif record.mode is ReleaseMode.ROLLING_BACK:
            orders += self._advance_rollback(now, capacity)
        return orders

    def resend_pending(self, now: float) -> list[Order]:
        """The orders without an outcome, to be sent again when a controller starts."""
        orders = []
        for name, unit in self.record.units.items():
            if unit.order_number:
                unit.sent_at = now
                orders.append(self._current_order(name))
        return orders

    # Transitions

    def _handle_success(self, now: float, name: str) -> list[Order]:
        unit = self.record.units[name]
        unit.step_index += 1
        unit.attempts = 0
        if unit.step_index < len(STEPS[self.record.kind]):
            return self._next_order(now, name)
        unit.version = unit.target_version
        unit.target_version = ""
        unit.step_index = 0
        return self.tick(now)

    def _handle_failure(self, now: float, name: str) -> list[Order]:
        record, unit = self.record, self.record.units[name]
        unit.attempts += 1
        if unit.attempts < record.max_attempts:
            return self._next_order(now, name)
        reason = f"{name}: {STEPS[record.kind][unit.step_index]} failed {unit.attempts} times"
        if unit.target_version == record.old_version:
            self.halt(reason)
            record.stuck_units.append(name)  # stays out of service until staff decide
            return []
        self.reject_version(reason)
        self._retarget(unit, record.old_version)
        return self._next_order(now, name)

    def _advance(self, now: float, capacity: int | None) -> list[Order]:
        record = self.record
        while True:
            waiting = [name for name in record.stages[record.stage] if self._needs(name, record.new_version)]
            if waiting or record.units_in_progress():
                record.watch_started = None
                return self._begin_units(now, waiting, record.new_version, capacity)
            if record.watch_started is None:
                record.watch_started = now
            if now - record.watch_started < record.stage_watch_s[record.stage]:
                return []
            if record.stage + 1 == len(record.stages):
                record.mode = ReleaseMode.DONE
                return []
            record.stage += 1
            record.watch_started = None

    def _advance_rollback(self, now: float, capacity: int | None) -> list[Order]:
        record = self.record
        names = [name for stage in record.stages for name in stage]
        waiting = [name for name in reversed(names) if self._needs(name, record.old_version)]
        in_progress = record.units_in_progress()
        if not waiting and not in_progress:
            record.mode = ReleaseMode.RETURNED
            record.stage = 0
            record.watch_started = None
            return []
        at_least = None if capacity is None else max(capacity, 0 if in_progress else 1)
        return self._begin_units(now, waiting, record.old_version, at_least)

    def _needs(self, name: str, version: str) -> bool:
        unit = self.record.units[name]
        return unit.version != version or unit.target_version != ""

    def _begin_units(self, now: float, waiting: list[str], version: str, capacity: int | None) -> list[Order]:
        """Begins as many units as the limits allow: one zone at a time, and max_unavailable in progress."""
        record = self.record
        orders: list[Order] = []
        begun = 0
        for name in waiting:
            unit = record.units[name]
            in_progress = record.units_in_progress()
            zones = {record.units[other].zone for other in in_progress}
            if unit.target_version:
                if not unit.order_number and name not in record.stuck_units:  # was stuck until staff decided
                    self._retarget(unit, version)
                    orders += self._next_order(now, name)
                continue
            permitted = len(in_progress) < record.max_unavailable and zones <= {unit.zone}
            if permitted and (capacity is None or begun < capacity):
                begun += 1
                unit.target_version = version
                unit.step_index = 0
                unit.attempts = 0
                orders += self._next_order(now, name)
        return orders

    @staticmethod
    def _retarget(unit: UnitState, version: str) -> None:
        """Points a unit in progress to a version. If it was installed already, the unit is replaced again."""
        if unit.target_version != version:
            unit.step_index = min(unit.step_index, 1)
        unit.target_version = version
        unit.attempts = 0

    def _next_order(self, now: float, name: str) -> list[Order]:
        unit = self.record.units[name]
        self.record.last_order_number += 1
        unit.order_number = self.record.last_order_number
        unit.sent_at = now
        return [self._current_order(name)]

    def _current_order(self, name: str) -> Order:
        unit = self.record.units[name]
        step = STEPS[self.record.kind][unit.step_index]
        return Order(name, step, unit.target_version, unit.order_number)
