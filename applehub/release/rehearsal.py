"""Rehearsal of a release on simulated units, stored on disk: shows what a plan does, and that a controller
killed between any two steps continues where it was.
"""

import time
from collections.abc import Set
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self

import orjson

from applehub.durable.store import Store
from applehub.events import EventKind
from applehub.release.backoff import when_disk_permits
from applehub.release.clock import ScaledClock, SystemClock
from applehub.release.errors import StoredStateError
from applehub.release.plan import Plan
from applehub.release.release_folder import FORMAT_VERSION, ReleaseFolder, decode_loaded
from applehub.release.simulated_unit import SimulatedUnit
from applehub.release.state_machine import ACTIVE_MODES, Order, ReleaseMode, ReleaseStateMachine, Step

MAX_IDLE_S = 0.2  # between two ticks while nothing is being executed
INSTALLING = frozenset((Step.ADMIT, Step.UPGRADE, Step.RELOAD))  # where a version that never comes up fails


@dataclass(frozen=True, slots=True)
class RehearsalOptions:
    """pace: seconds of the plan in one of the machine. step_s: duration of a step, in seconds of the plan.

    broken: units on which the new version never comes up. again: a returned version may be tried once more.
    """

    pace: float
    step_s: float
    broken: Set[str] = frozenset()
    again: bool = False


class SimulatedFleet:
    """Simulated units, stored beside the record. A context manager that lets go of their store."""

    def __init__(self, folder: ReleaseFolder) -> None:
        """Raises StoreError, StoredStateError, OSError."""
        self._store = Store(folder.disk, "machines", FORMAT_VERSION)
        try:
            self.units = decode_loaded(self._store.open(), _decoded_units) or {}
        except BaseException:
            self._store.close()  # otherwise it stays held, and this process can't open it once more
            raise

    def __enter__(self) -> Self:
        """Holds the store until the end of the context."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Lets go."""
        self._store.close()

    def provision(self, names: list[str], version: str) -> None:
        """Has a unit for each name; those that exist stay as they are. To be saved."""
        self.units = {name: self.units.get(name, SimulatedUnit(version)) for name in names}

    def save(self) -> None:
        """Stores the units. Raises StoreError, OSError."""
        self._store.save(orjson.dumps({name: unit.to_json() for name, unit in self.units.items()}))


class Rehearsal:
    """Carries a release out on simulated units, in the machine's time scaled by a pace."""

    def __init__(self, folder: ReleaseFolder, fleet: SimulatedFleet, options: RehearsalOptions) -> None:
        """folder: held, with a release begun and a clock scaled by the pace."""
        self._folder = folder
        self._fleet = fleet
        self._options = options
        self._machine = ReleaseStateMachine(folder.record)

    def run(self) -> ReleaseMode:
        """Runs until the release has ended, or is halted with no unit in progress."""
        record = self._folder.record
        now = self._folder.clock.now
        orders = self._machine.resend_pending(now()) + self._machine.tick(now())
        while True:
            when_disk_permits(self._folder.save)
            if not orders and record.mode not in ACTIVE_MODES:
                return record.mode
            if orders:
                orders = self._execute_all(orders)
            else:
                time.sleep(min(MAX_IDLE_S, 1 / self._options.pace))
                orders = self._machine.tick(now())

    def _execute_all(self, orders: list[Order]) -> list[Order]:
        """Executes orders; returns those that follow."""
        for order in orders:
            self._folder.events.write(
                EventKind.ORDER_SENT,
                unit=order.unit,
                number=order.number,
                step=order.step,
                version=order.version,
            )
        time.sleep(self._options.step_s / self._options.pace)
        outcomes = [(order, self._execute(order)) for order in orders]
        when_disk_permits(self._fleet.save)  # the units' own memory, before the controller is told
        following: list[Order] = []
        for order, succeeded in outcomes:
            self._folder.events.write(
                EventKind.ORDER_OUTCOME, unit=order.unit, number=order.number, good=succeeded
            )
            following += self._machine.handle_outcome(
                self._folder.clock.now(), order.unit, order.number, succeeded
            )
        return following

    def _execute(self, order: Order) -> bool:
        unit = self._fleet.units[order.unit]
        if order.number > unit.last_number:
            broken = order.unit in self._options.broken and order.version == self._folder.record.new_version
            problem = unit.execute(order, broken and order.step in INSTALLING)
            if problem:
                raise StoredStateError(
                    f"{order.unit}: {problem}: the records of controller and machines differ"
                )
        return unit.succeeded and order.number == unit.last_number


def rehearse(path: Path, plan: Plan, options: RehearsalOptions) -> ReleaseFolder:
    """Rehearses a plan in a folder, or continues it; the folder, no longer held.

    Raises StoreError, PlanError, StoredStateError, OSError.
    """
    clock = ScaledClock(SystemClock(), options.pace)
    with (
        when_disk_permits(lambda: ReleaseFolder(path, clock)) as folder,
        when_disk_permits(lambda: SimulatedFleet(folder)) as fleet,
    ):
        if folder.begin(plan, options.again) or not fleet.units:
            fleet.provision(list(folder.record.units), plan.old)
            when_disk_permits(fleet.save)
        Rehearsal(folder, fleet, options).run()
    return folder


def _decoded_units(content: bytes) -> dict[str, SimulatedUnit]:
    """Raises StoredStateError."""
    try:
        return {str(name): SimulatedUnit.from_json(unit) for name, unit in orjson.loads(content).items()}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise StoredStateError(f"simulated units can't be decoded: {error!r}") from error
