"""A release carried out on pretend machines, kept on disk: what a plan does, and that a controller killed
between any two steps goes on where it was."""

import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from applehub.durable.folder import Folder
from applehub.durable.store import Store, StoreError
from applehub.events import Event, Writer
from applehub.release.machine import Mode, Order, Record, Release, Unit
from applehub.release.model import Agent
from applehub.release.plan import Plan, PlanError

FORM = 1
ENDED = (Mode.DONE, Mode.RETURNED)


def record_of(plan: Plan) -> Record:
    """A release that has not begun."""
    units = {unit.name: Unit(unit.zone, plan.old) for unit in plan.fleet}
    limits, watch = plan.limits, [stage.watch_s for stage in plan.stages]
    return Record(
        plan.what, plan.old, plan.new, plan.batches(), watch, limits.out_at_once, limits.tries, limits.step_s,
        units,
    )  # fmt: skip


class Kept:
    """A release's record and its machines, in a folder that one process holds."""

    def __init__(self, folder: Path, hold: bool = True) -> None:
        """hold: to change it. Raises StoreError where another process holds it, PlanError where what is kept
        is of no use."""
        disk, self.hold = Folder(str(folder)), hold
        self.records, self.machines = Store(disk, "release", FORM), Store(disk, "machines", FORM)
        self.record = self._read(self.records, Record.of)
        self.agents: dict[str, Agent] = self._read(
            self.machines, lambda told: {name: Agent(**one) for name, one in told.items()}
        )
        self.events = Writer(folder / "events.jsonl", "release", 0)

    def _read(self, store: Store, make: Callable[[Any], Any]) -> Any:
        value = (store.open() if self.hold else store.load()).value
        try:
            return None if value is None else make(orjson.loads(value))
        except (ValueError, KeyError, TypeError) as problem:
            raise PlanError(f"{store.name}: what is kept makes no sense: {problem!r}") from None

    def begin(self, plan: Plan, again: bool) -> None:
        """Takes up a plan, or goes on with it. Raises PlanError."""
        if self.record is not None and self.record.mode not in ENDED:
            if (self.record.old, self.record.new) != (plan.old, plan.new):
                raise PlanError(f"{self.record.new} is being released here, and has not come to its end")
            return
        if self.record is not None and self.record.new == plan.new:
            if self.record.mode is Mode.DONE:
                return
            if not again:
                raise PlanError(
                    f"{plan.new} was returned: {self.record.why or 'by staff'}; --again tries it anew"
                )
        number = self.record.number if self.record is not None else 0
        self.record = record_of(plan)
        self.record.number = number  # agents refuse a lower one
        kept = self.agents or {}
        self.agents = {name: kept.get(name, Agent(plan.old)) for name in self.record.units}
        self.keep_machines()
        self.keep()

    def keep(self) -> None:
        """What the controller knows."""
        self.records.save(orjson.dumps(self.record.plain()))

    def keep_machines(self) -> None:
        """What the machines are."""
        self.machines.save(orjson.dumps({name: asdict(one) for name, one in self.agents.items()}))

    def close(self) -> None:
        self.records.close()
        self.machines.close()
        self.events.close()


class Rehearsal:
    """Plays a kept release in the time of the machine, faster by pace."""

    def __init__(self, kept: Kept, pace: float, broken: set[str], step_s: float) -> None:
        """pace: seconds of the plan in one of the machine. broken: units on which the new version never comes
        up. step_s: what a step takes, of the plan."""
        self.kept, self.pace, self.broken, self.step_s = kept, pace, broken, step_s
        self.release = Release(kept.record)
        self.mode: Mode = kept.record.mode

    def _now(self) -> float:
        return time.time() * self.pace

    def run(self) -> Mode:
        """Goes on until the release has ended or is halted with nothing on its way."""
        record = self.kept.record
        orders = self.release.pending(self._now()) + self.release.tick(self._now())
        while True:
            self._keep()
            for order in orders:
                self._say(Event.ORDERED, order, step=order.step, version=order.version)
            if not orders and record.mode not in (Mode.RUNNING, Mode.BACK):
                return self.mode
            if not orders:
                time.sleep(min(0.2, 1 / self.pace))
                orders = self.release.tick(self._now())
                continue
            time.sleep(self.step_s / self.pace)
            answers = [(order, self._carry(order)) for order in orders]
            self.kept.keep_machines()  # their own memory, before the controller hears of it
            orders = []
            for order, good in answers:
                self._say(Event.STEPPED, order, good=good)
                orders += self.release.answered(self._now(), order.unit, order.number, good)

    def _keep(self) -> None:
        self.kept.keep()
        record = self.kept.record
        if record.mode is not self.mode:
            self.mode = record.mode
            self.kept.events.say(Event.RELEASE, mode=record.mode, why=record.why)

    def _say(self, event: Event, order: Order, **more: Any) -> None:
        self.kept.events.say(event, unit=order.unit, number=order.number, **more)

    def _carry(self, order: Order) -> bool:
        agent = self.kept.agents[order.unit]
        if order.number > agent.last:
            new = order.version == self.kept.record.new and order.unit in self.broken
            wrong = agent.take(order, new and order.step in ("admit", "upgrade", "reload"))
            if wrong:
                raise StoreError(f"{order.unit}: {wrong}: the records of controller and machines differ")
        return agent.good and order.number == agent.last
