"""The controller of a release, pure: events in, orders to agents out; its whole state is one record.

Whoever hosts it keeps the record before it sends an order, and sends `pending` again at each start. Agents
carry out an order once by its number, answer a number that they know with what came of it, and refuse a lower
one: so neither a crash between any two steps nor a message that comes twice or late does a step twice.
Each `now` is a reading of a clock that never steps, see clock.py.

What is begun is finished, also at a halt; what can't be finished is returned to the old version. A way back
takes the same steps with the versions the other way round, in the opposite order and without watching.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

STEPS = {"servers": ("drain", "replace", "admit"), "routers": ("upgrade",), "configuration": ("reload",)}


class Mode(StrEnum):
    """How a release stands."""

    RUNNING = "running"
    HALTED = "halted"
    BACK = "back"
    DONE = "done"  # all units have the new version
    RETURNED = "returned"  # all have the old one


@dataclass(frozen=True, slots=True)
class Order:
    """What an agent is to do. number: higher than that of any order before, over all units."""

    unit: str
    step: str
    version: str
    number: int


@dataclass(slots=True)
class Unit:
    """One unit as the controller knows it."""

    zone: str
    version: str
    target: str = ""  # the version that it is on its way to; none: it is in, and stays
    step: int = 0
    number: int = 0  # of the order that is out; 0: none
    tries: int = 0
    sent: float = 0.0


@dataclass(slots=True)
class Record:
    """All that the controller has to know after a crash."""

    what: str
    old: str
    new: str
    batches: list[list[str]]
    watch_s: list[float]
    out_at_once: int
    tries: int
    step_s: float
    units: dict[str, Unit]
    mode: Mode = Mode.RUNNING
    stage: int = 0
    watched: float = -1.0  # when the watch of this stage began, by the host's clock; under 0: it has not
    number: int = 0
    why: str = ""
    stuck: list[str] = field(default_factory=list)  # units that neither came up nor could be returned
    id: str = ""  # of this release, by which agents know its orders from another's
    back_on_halt: bool = False  # what is found bad is returned without staff
    evidence: dict[str, Any] = field(default_factory=dict)  # of the gates, see gates.py
    request_taken: int | None = None  # the last request of staff that was carried out; none: not recorded


class Release:
    """Plays events on a record. Every call gives the orders that are to go out once the record is kept."""

    def __init__(self, record: Record) -> None:
        self.record = record

    # What staff say

    def halt(self, why: str) -> None:
        """Nothing new begins."""
        if self.record.mode in (Mode.RUNNING, Mode.BACK):
            self.record.mode, self.record.why = Mode.HALTED, why

    def condemn(self, why: str) -> None:
        """The new version is found bad: a halt, and the way back where the plan wants that."""
        self.halt(why)
        if self.record.back_on_halt and self.record.mode is Mode.HALTED:
            self.turn_back()

    def unhalt(self) -> None:
        """Lets it go on with the new version, also after a way back was halted."""
        if self.record.mode is Mode.HALTED:
            self.record.mode, self.record.why = Mode.RUNNING, ""
            self.record.stuck.clear()

    def turn_back(self) -> None:
        """Has all return to the old version."""
        if self.record.mode is not Mode.RETURNED:
            self.record.mode = Mode.BACK
            self.record.stuck.clear()

    # What happens

    def answered(self, now: float, unit: str, number: int, good: bool) -> list[Order]:
        """An agent has carried an order out, or failed to."""
        record, one = self.record, self.record.units[unit]
        if one.number != number or not number:
            return []  # of an order before, or told twice
        steps = STEPS[record.what]
        one.number = 0
        if good:
            one.step, one.tries = one.step + 1, 0
            if one.step < len(steps):
                return self._order(now, unit)
            one.version, one.target, one.step = one.target, "", 0
            return self.tick(now)
        one.tries += 1
        if one.tries < record.tries:
            return self._order(now, unit)
        why = f"{unit}: {steps[one.step]} failed {one.tries} times"
        if one.target == record.old:
            self.halt(why)
            record.stuck.append(unit)  # stays out until staff say more
            return []
        self.condemn(why)
        self._turn(one, record.old)
        return self._order(now, unit)

    def tick(self, now: float, well: bool = True, spare: int | None = None) -> list[Order]:
        """Time has passed. well: whether the fleet is; while it is not, nothing begins but a way back. spare:
        how many more may be out by the load; a way back takes one all the same, since what is to be returned
        may itself be why there is no room."""
        record, orders = self.record, []
        for name, one in record.units.items():
            if one.number and now - one.sent >= record.step_s:
                one.sent = now
                orders.append(self._again(name))
        if record.mode is Mode.RUNNING and well:
            orders += self._forward(now, spare)
        elif record.mode is Mode.BACK:
            orders += self._backward(now, spare)
        return orders

    def pending(self, now: float) -> list[Order]:
        """The orders that are out, to be sent again at a start."""
        orders = []
        for name, one in self.record.units.items():
            if one.number:
                one.sent = now
                orders.append(self._again(name))
        return orders

    # How it goes on

    def _forward(self, now: float, spare: int | None) -> list[Order]:
        record = self.record
        while True:
            batch = record.batches[record.stage]
            waiting = [name for name in batch if self._needs(name, record.new)]
            if waiting or self._out():
                record.watched = -1.0
                return self._begin(now, waiting, record.new, spare)
            if record.watched < 0:
                record.watched = now
            if now - record.watched < record.watch_s[record.stage]:
                return []
            if record.stage + 1 == len(record.batches):
                record.mode = Mode.DONE
                return []
            record.stage, record.watched = record.stage + 1, -1.0

    def _backward(self, now: float, spare: int | None) -> list[Order]:
        record = self.record
        names = [name for batch in record.batches for name in batch]
        waiting = [name for name in reversed(names) if self._needs(name, record.old)]
        if not waiting and not self._out():
            record.mode, record.stage, record.watched = Mode.RETURNED, 0, -1.0
            return []
        least = None if spare is None else max(spare, 0 if self._out() else 1)
        return self._begin(now, waiting, record.old, least)

    def _needs(self, name: str, version: str) -> bool:
        one = self.record.units[name]
        return one.version != version or one.target != ""

    def _out(self) -> list[str]:
        """Units that are on their way."""
        return [name for name, one in self.record.units.items() if one.target]

    def _begin(self, now: float, waiting: list[str], version: str, spare: int | None) -> list[Order]:
        """As many as the limits let: one zone at a time, and of those on their way only so many."""
        record, orders, begun = self.record, list[Order](), 0
        for name in waiting:
            out, one = self._out(), record.units[name]
            zones = {record.units[other].zone for other in out}
            if one.target:
                if not one.number and name not in record.stuck:  # it was stuck, and staff say more
                    self._turn(one, version)
                    orders += self._order(now, name)
            elif len(out) < record.out_at_once and zones <= {one.zone} and (spare is None or begun < spare):
                begun += 1
                one.target, one.step, one.tries = version, 0, 0
                orders += self._order(now, name)
        return orders

    @staticmethod
    def _turn(one: Unit, version: str) -> None:
        """Sends a unit that is on its way to a version: what was put in place is replaced once more."""
        one.step = one.step if one.target == version else min(one.step, 1)
        one.target, one.tries = version, 0

    def _order(self, now: float, name: str) -> list[Order]:
        record, one = self.record, self.record.units[name]
        record.number += 1
        one.number, one.sent = record.number, now
        return [self._again(name)]

    def _again(self, name: str) -> Order:
        one = self.record.units[name]
        return Order(name, STEPS[self.record.what][one.step], one.target, one.number)
