"""Rehearsal of a release on simulated units, whose state is stored on disk so that an interrupted rehearsal
continues.
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
from applehub.release.backoff import retry_disk_errors
from applehub.release.clock import ScaledClock, SystemClock
from applehub.release.errors import StoredStateError
from applehub.release.plan import Plan
from applehub.release.release_folder import FORMAT_VERSION, ReleaseFolder, decode_loaded
from applehub.release.simulated_unit import SimulatedUnit
from applehub.release.state_machine import ACTIVE_MODES, Order, ReleaseMode, ReleaseStateMachine, Step

MAX_IDLE_S = 0.2  # maximum real time between two ticks without an order
INSTALL_STEPS = frozenset((Step.ADMIT, Step.UPGRADE, Step.RELOAD))  # steps that fail on a broken unit


@dataclass(frozen=True, slots=True)
class RehearsalOptions:
    """Options of a rehearsal.

    `pace` is the number of plan seconds in one real second, and `step_s` the duration of a step in plan
    seconds. On `broken` units the new version fails to start. `again` permits releasing a version that was
    rolled back before.
    """

    pace: float
    step_s: float
    broken: Set[str] = frozenset()
    again: bool = False


class SimulatedFleet:
    """Simulated units, stored in the release's folder. As a context manager, closes the store on exit."""

    def __init__(self, folder: ReleaseFolder) -> None:
        """Opens and loads the store. Raises StoreError, StoredStateError or OSError."""
        self._store = Store(folder.disk, "machines", FORMAT_VERSION)
        try:
            self.units = decode_loaded(self._store.open(), _decoded_units) or {}
        except BaseException:
            self._store.close()  # releases the lock, so that this process can open the store again
            raise

    def __enter__(self) -> Self:
        """Returns the fleet."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes the store."""
        self._store.close()

    def provision(self, names: list[str], version: str) -> None:
        """Creates missing units at `version` and removes units that are not in `names`, without saving."""
        self.units = {name: self.units.get(name, SimulatedUnit(version)) for name in names}

    def save(self) -> None:
        """Stores the units. Raises StoreError or OSError."""
        self._store.save(orjson.dumps({name: unit.to_json() for name, unit in self.units.items()}))


class Rehearsal:
    """Executes a release on simulated units in accelerated time."""

    def __init__(self, folder: ReleaseFolder, fleet: SimulatedFleet, options: RehearsalOptions) -> None:
        """Takes an open folder with a started release and with a clock that is scaled by the pace."""
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
            retry_disk_errors(self._folder.save)
            if not orders and record.mode not in ACTIVE_MODES:
                return record.mode
            if orders:
                orders = self._execute_all(orders)
            else:
                time.sleep(min(MAX_IDLE_S, 1 / self._options.pace))
                orders = self._machine.tick(now())

    def _execute_all(self, orders: list[Order]) -> list[Order]:
        """Executes orders and returns the orders that follow from their outcomes."""
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
        retry_disk_errors(self._fleet.save)  # units are stored before the controller handles the outcomes
        next_orders: list[Order] = []
        for order, succeeded in outcomes:
            self._folder.events.write(
                EventKind.ORDER_OUTCOME, unit=order.unit, number=order.number, good=succeeded
            )
            next_orders += self._machine.handle_outcome(
                self._folder.clock.now(), order.unit, order.number, succeeded
            )
        return next_orders

    def _execute(self, order: Order) -> bool:
        unit = self._fleet.units[order.unit]
        if order.number > unit.last_number:
            broken = order.unit in self._options.broken and order.version == self._folder.record.new_version
            violation = unit.execute(order, broken and order.step in INSTALL_STEPS)
            if violation:
                raise StoredStateError(
                    f"{order.unit}: {violation}: records of the controller and the units are inconsistent"
                )
        return unit.succeeded and order.number == unit.last_number


def rehearse(path: Path, plan: Plan, options: RehearsalOptions) -> ReleaseFolder:
    """Runs a new or interrupted rehearsal in a folder until it ends or is halted. Returns the closed folder.

    Raises StoreError, PlanError, StoredStateError or OSError.
    """
    clock = ScaledClock(SystemClock(), options.pace)
    with (
        retry_disk_errors(lambda: ReleaseFolder(path, clock)) as folder,
        retry_disk_errors(lambda: SimulatedFleet(folder)) as fleet,
    ):
        if folder.begin(plan, options.again) or not fleet.units:
            fleet.provision(list(folder.record.units), plan.old)
            retry_disk_errors(fleet.save)
        Rehearsal(folder, fleet, options).run()
    return folder


def _decoded_units(content: bytes) -> dict[str, SimulatedUnit]:
    """Decodes stored units. Raises StoredStateError."""
    try:
        return {str(name): SimulatedUnit.from_json(unit) for name, unit in orjson.loads(content).items()}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise StoredStateError(f"stored units of a rehearsal can't be decoded: {error!r}") from error
