"""A release carried out on pretend machines, kept on disk: what a plan does, and that a controller killed
between any two steps goes on where it was."""

import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from applehub.durable.store import Store, StoreError
from applehub.events import Event
from applehub.release.backoff import when_disk_permits
from applehub.release.clock import ScaledClock, SystemClock
from applehub.release.kept import FORM, Kept, read_store
from applehub.release.machine import Mode, Order, Release
from applehub.release.model import Agent
from applehub.release.plan import Plan


class Machines:
    """Pretend machines, kept beside the record."""

    def __init__(self, kept: Kept) -> None:
        self.store = Store(kept.disk, "machines", FORM)
        self.agents: dict[str, Agent] = (
            read_store(
                self.store,
                self.store.open(),
                lambda value: {name: Agent(**one) for name, one in orjson.loads(value).items()},
            )
            or {}
        )

    def begin(self, kept: Kept, plan: Plan) -> None:
        """Has a machine for each unit; those that there were stay as they are."""
        self.agents = {name: self.agents.get(name, Agent(plan.old)) for name in kept.record.units}
        self.keep()

    def keep(self) -> None:
        self.store.save(orjson.dumps({name: asdict(one) for name, one in self.agents.items()}))

    def close(self) -> None:
        self.store.close()


class Rehearsal:
    """Plays a kept release in the time of the machine, faster by pace."""

    def __init__(self, kept: Kept, machines: Machines, pace: float, broken: set[str], step_s: float) -> None:
        """pace: seconds of the plan in one of the machine. broken: units on which the new version never comes
        up. step_s: what a step takes, of the plan."""
        self.kept, self.machines = kept, machines
        self.pace, self.broken, self.step_s = pace, broken, step_s
        self.release = Release(kept.record)

    def run(self) -> Mode:
        """Goes on until the release has ended or is halted with nothing on its way."""
        record = self.kept.record
        orders = self.release.pending(self.kept.clock.now()) + self.release.tick(self.kept.clock.now())
        while True:
            when_disk_permits(self.kept.keep)
            for order in orders:
                self._say(Event.ORDERED, order, step=order.step, version=order.version)
            if not orders and record.mode not in (Mode.RUNNING, Mode.BACK):
                return Mode(record.mode)
            if not orders:
                time.sleep(min(0.2, 1 / self.pace))
                orders = self.release.tick(self.kept.clock.now())
                continue
            time.sleep(self.step_s / self.pace)
            answers = [(order, self._carry(order)) for order in orders]
            when_disk_permits(self.machines.keep)  # their own memory, before the controller hears of it
            orders = []
            for order, good in answers:
                self._say(Event.STEPPED, order, good=good)
                orders += self.release.answered(self.kept.clock.now(), order.unit, order.number, good)

    def _say(self, event: Event, order: Order, **more: Any) -> None:
        self.kept.events.say(event, unit=order.unit, number=order.number, **more)

    def _carry(self, order: Order) -> bool:
        agent = self.machines.agents[order.unit]
        if order.number > agent.last:
            new = order.version == self.kept.record.new and order.unit in self.broken
            wrong = agent.take(order, new and order.step in ("admit", "upgrade", "reload"))
            if wrong:
                raise StoreError(f"{order.unit}: {wrong}: the records of controller and machines differ")
        return agent.good and order.number == agent.last


def rehearse(
    folder: Path, plan: Plan, again: bool, pace: float, broken: set[str], step_s: float
) -> tuple[Mode, Kept]:
    """Plays a plan in a folder, or goes on with it. Raises StoreError, PlanError."""
    kept = Kept(folder, clock=ScaledClock(SystemClock(), pace))
    machines = Machines(kept)
    try:
        if kept.begin(plan, again) or not machines.agents:
            machines.begin(kept, plan)
        kept.keep()
        return Rehearsal(kept, machines, pace, broken, step_s).run(), kept
    finally:
        machines.close()
        kept.close()
