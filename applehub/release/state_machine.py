"""State machine of a release. It is free of I/O: it takes events and returns orders, and its complete state
is one `ReleaseRecord`.

The caller stores the record before it sends the returned orders, and sends pending orders again after a
restart. Agents execute each order number once, report the outcome of a known number, and reject lower
numbers. So a crash or a duplicated or late message does not cause a completed step to be executed again. Each
`now` is in seconds of a monotonic clock (see clock.py).

After its last upgrade, a stage is watched for its `stage_watch_s` before the next stage starts.

A unit in progress is completed even while the release is halted. If a step fails in all attempts, the unit is
rolled back to the old version. A rollback has the same steps with the versions swapped, in reverse order and
without watching the stages.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from applehub.release.evidence import GateState


class ReleaseKind(StrEnum):
    """The kind of component that a release upgrades."""

    SERVERS = "servers"
    ROUTERS = "routers"
    CONFIGURATION = "configuration"


class Step(StrEnum):
    """One step of the upgrade of a unit."""

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
    """Whether a release proceeds, is halted, is being rolled back, or has ended."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "back"
    DONE = "done"  # all units have the new version
    RETURNED = "returned"  # all units have the old version


ENDED_MODES = frozenset((ReleaseMode.DONE, ReleaseMode.RETURNED))
ACTIVE_MODES = frozenset((ReleaseMode.RUNNING, ReleaseMode.ROLLING_BACK))


@dataclass(frozen=True, slots=True)
class Order:
    """A step for an agent to execute. Its number is higher than those of all earlier orders to any unit."""

    unit: str
    step: Step
    version: str
    number: int


@dataclass(slots=True)
class UnitState:
    """The state of one unit as known to the controller."""

    zone: str
    version: str
    target_version: str = ""  # empty if the unit is in service and not being upgraded
    step_index: int = 0  # index in STEPS of the step in progress
    order_number: int = 0  # number of the pending order; 0 if there is none
    attempts: int = 0  # failed attempts at the step in progress
    sent_at: float = 0.0  # time at which the pending order was last sent


@dataclass(slots=True)
class ReleaseRecord:
    """The complete state of a release, from which a restarted controller continues."""

    release_id: str  # distinguishes the orders of different releases
    kind: ReleaseKind
    old_version: str
    new_version: str
    stages: list[list[str]]  # names of each stage's units
    stage_watch_s: list[float]  # for each stage, time from its last upgrade until the next stage
    max_unavailable: int  # maximum number of units in progress
    max_attempts: int  # attempts at a step before the unit is rolled back
    step_timeout_s: float  # time after which a pending order is sent again
    units: dict[str, UnitState]  # by unit name
    rollback_on_halt: bool = False
    mode: ReleaseMode = ReleaseMode.RUNNING
    stage: int = 0  # index of the current stage
    watch_started: float | None = None  # start of the current stage's watch; None before it
    last_order_number: int = 0
    reason: str = ""  # why the release was halted; empty if it was not
    stuck_units: list[str] = field(default_factory=list)  # units whose rollback failed
    gate_state: GateState = field(default_factory=GateState)
    last_request: int | None = None  # number of the last executed staff request; None if not recorded

    def units_in_progress(self) -> list[str]:
        """Returns the names of the units that are being upgraded or rolled back."""
        return [name for name, unit in self.units.items() if unit.target_version]

    def finished(self) -> bool:
        """Returns whether the release has ended, or is halted with no unit in progress except stuck ones."""
        return self.mode not in ACTIVE_MODES and set(self.units_in_progress()) <= set(self.stuck_units)


class ReleaseStateMachine:
    """Applies events to a record, and returns the orders to be sent once the record is stored."""

    def __init__(self, record: ReleaseRecord) -> None:
        """Takes the record, which is modified in place."""
        self.record = record

    # Requests of staff and gates

    def halt(self, reason: str) -> None:
        """Halts the release: units in progress are completed, and no others are started."""
        if self.record.mode in ACTIVE_MODES:
            self.record.mode = ReleaseMode.HALTED
            self.record.reason = reason

    def reject_version(self, reason: str) -> None:
        """Halts the release because the new version failed, and rolls back if `rollback_on_halt` is set."""
        self.halt(reason)
        if self.record.rollback_on_halt and self.record.mode is ReleaseMode.HALTED:
            self.roll_back()

    def resume(self) -> None:
        """Continues a halted release, or one whose rollback was halted, by upgrading the remaining units."""
        if self.record.mode is ReleaseMode.HALTED:
            self.record.mode = ReleaseMode.RUNNING
            self.record.reason = ""
            self.record.stuck_units.clear()

    def roll_back(self) -> None:
        """Rolls all units back to the old version."""
        if self.record.mode is not ReleaseMode.RETURNED:
            self.record.mode = ReleaseMode.ROLLING_BACK
            self.record.stuck_units.clear()

    # Events

    def handle_outcome(self, now: float, name: str, number: int, succeeded: bool) -> list[Order]:
        """Handles the outcome of an order that an agent reported."""
        unit = self.record.units[name]
        if unit.order_number != number or not number:
            return []  # outcome of an earlier order, or a duplicate
        unit.order_number = 0
        return self._handle_success(now, name) if succeeded else self._handle_failure(now, name)

    def tick(self, now: float, healthy: bool = True, capacity: int | None = None) -> list[Order]:
        """Advances the release and sends overdue orders again.

        If the fleet is not `healthy`, only a rollback starts further units. `capacity` is the number of units
        that the present load permits to take out of service, None if unknown. A rollback with no unit in
        progress starts one in any case, because the new version may cause the lack of capacity.
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
        """Returns the pending orders, to be sent again when a controller starts."""
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
            record.stuck_units.append(name)  # the unit stays out of service until staff resume or roll back
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
                return self._start_units(now, waiting, record.new_version, capacity)
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
        permitted_capacity = None if capacity is None else max(capacity, 0 if in_progress else 1)
        return self._start_units(now, waiting, record.old_version, permitted_capacity)

    def _needs(self, name: str, version: str) -> bool:
        unit = self.record.units[name]
        return unit.version != version or unit.target_version != ""

    def _start_units(self, now: float, waiting: list[str], version: str, capacity: int | None) -> list[Order]:
        """Starts units within the limits: one zone at a time, and at most max_unavailable in progress."""
        record = self.record
        orders: list[Order] = []
        started = 0
        for name in waiting:
            unit = record.units[name]
            in_progress = record.units_in_progress()
            zones = {record.units[other].zone for other in in_progress}
            if unit.target_version:
                # Staff resumed or rolled back the release after the rollback of this unit had failed.
                if not unit.order_number and name not in record.stuck_units:
                    self._retarget(unit, version)
                    orders += self._next_order(now, name)
                continue
            permitted = len(in_progress) < record.max_unavailable and zones <= {unit.zone}
            if permitted and (capacity is None or started < capacity):
                started += 1
                unit.target_version = version
                unit.step_index = 0
                unit.attempts = 0
                orders += self._next_order(now, name)
        return orders

    @staticmethod
    def _retarget(unit: UnitState, version: str) -> None:
        """Changes the target version of a unit in progress, repeating the steps after the first."""
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
