"""The controller checked as a model: every order of steps, crashes, failures, records that the disk refuses,
and messages lost, late or doubled, to a stated depth. Time is whether everything that waits is due; each tick
says that it is.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field, replace

import orjson

from applehub.release.machine import Mode, Order, Record, Release, Unit
from applehub.release.orders import Last, Orders, RefusedError

Answer = tuple[str, int, bool]  # unit, number, whether it was carried out
Sent = tuple[Order, int]  # on its way, with the fence of the controller that sent it
Happening = Callable[[Release], list[Order]]
RELEASE = "r"  # the only one there is


def _answered(answer: Answer) -> Happening:
    return lambda release: release.answered(1.0, *answer)


def _halt(release: Release) -> list[Order]:
    release.condemn("a gate")
    return []


def _turn_back(release: Release) -> list[Order]:
    release.turn_back()
    return []


@dataclass(slots=True)
class Agent:
    """A unit's agent, and the truth about its unit."""

    version: str
    out: bool = False
    last: int = 0  # the number of the last order that it carried out, or failed to
    good: bool = True

    def take(self, order: Order, fails: bool) -> str:
        """Carries an order out; gives what is wrong with being asked to, if anything."""
        self.last, self.good = order.number, not fails
        wrong = (
            "" if self.out is (order.step in ("replace", "admit")) else f"{order.step} while out={self.out}"
        )
        if not fails:
            match order.step:
                case "drain":
                    self.out = True
                case "replace" | "upgrade":
                    self.version = order.version
                case "admit":
                    self.out = False
        return "" if order.step == "upgrade" else wrong


@dataclass(slots=True)
class World:
    """One state: the controller's record, the agents, what is on its way, and what may still go wrong."""

    record: Record  # as the controller has it
    kept: Record  # as it is on the disk
    agents: dict[str, Agent]
    memory: dict[str, Orders]  # what each unit's agent remembers
    orders: set[Sent] = field(default_factory=set)
    unsent: set[Order] = field(default_factory=set)  # until the disk takes the record
    fence: int = 1
    answers: set[Answer] = field(default_factory=set)
    fails: int = 0
    crashes: int = 0
    refusals: int = 0  # of the disk
    halts: int = 0
    backs: int = 0
    wrong: str = ""

    def copy(self) -> "World":
        agents = {name: replace(one) for name, one in self.agents.items()}
        memory = {name: one.copy() for name, one in self.memory.items()}
        return replace(
            self, record=_copied(self.record), kept=_copied(self.kept), agents=agents, memory=memory,
            orders=set(self.orders), unsent=set(self.unsent), answers=set(self.answers),
        )  # fmt: skip

    def key(self) -> bytes:
        orders = sorted((one.number, fence, one.unit, one.step, one.version) for one, fence in self.orders)
        agents = {
            name: [one.version, one.out, self.memory[name].plain()] for name, one in self.agents.items()
        }
        may = self.fails, self.crashes, self.halts, self.backs, self.fence, self.wrong
        kept = None if self.kept == self.record else asdict(self.kept)
        unsent = sorted(one.number for one in self.unsent), self.refusals
        told = asdict(self.record), agents, orders, sorted(self.answers), may, kept, unsent
        return orjson.dumps(told, option=orjson.OPT_SORT_KEYS)


def _copied(record: Record) -> Record:
    units = {name: replace(one) for name, one in record.units.items()}
    return replace(record, stuck=list(record.stuck), units=units)


@dataclass(frozen=True, slots=True)
class Rules:
    """What a mutant changes."""

    make: Callable[[Record], Release] = Release
    fenced: bool = True  # agents look at the number
    waits_for_disk: bool = True  # an order goes out once its record is kept
    restart: Callable[[Record], None] = lambda record: None  # what a crash does to the record that was kept


class Model:
    """Explores; `wrong` holds what was found, with the steps that lead there."""

    def __init__(
        self,
        rules: Rules,
        zones: str = "aab",
        fails: int = 1,
        crashes: int = 1,
        back_on_halt: bool = False,
        refusals: int = 0,
    ) -> None:
        names = [f"u{number}" for number in range(len(zones))]
        units = {name: Unit(zone, "old") for name, zone in zip(names, zones, strict=True)}
        record = Record(
            "servers", "old", "new", [names[:1], names[1:]], [1.0, 1.0], 2, 1, 1.0, units,
            back_on_halt=back_on_halt,
        )  # fmt: skip
        agents = {name: Agent("old") for name in names}
        self.rules = rules
        memory = {name: Orders() for name in names}
        self.first = World(
            record, _copied(record), agents, memory, fails=fails, crashes=crashes, refusals=refusals, halts=1,
            backs=1,
        )  # fmt: skip
        self.states = self.deepest = 0
        self.wrong: list[str] = []

    def explore(self, depth: int, most: int = 1 << 20) -> None:
        """Breadth first, so that what is found is found by the fewest steps."""
        seen, queue = {self.first.key()}, deque([(self.first, 0, "")])
        while queue and not self.wrong and self.states < most:
            world, steps, path = queue.popleft()
            self.states, self.deepest = self.states + 1, steps
            self._judge(world, path)
            if steps == depth:
                continue
            for name, after in self._next(world):
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    queue.append((after, steps + 1, f"{path} {name}"))

    def _next(self, world: World) -> Iterator[tuple[str, World]]:
        for sent in sorted(world.orders, key=lambda one: (one[0].number, one[1])):
            order, _ = sent
            of = f"{order.number}({order.unit})"
            yield f"{order.step}#{of}", self._carried(world.copy(), sent, False)
            if world.fails:
                yield f"fails#{of}", self._carried(world.copy(), sent, True)
            lost = world.copy()
            lost.orders.discard(sent)
            yield f"loses#{of}", lost
        for answer in sorted(world.answers):
            yield from self._controller(world, f"hears#{answer[1]}", _answered(answer))
            lost = world.copy()
            lost.answers.discard(answer)
            yield f"loses answer#{answer[1]}", lost
        yield from self._controller(world, "tick", lambda release: release.tick(1.0))
        yield from self._controller(world, "no room", lambda release: release.tick(1.0, True, 0))
        if world.crashes:
            after = world.copy()
            after.crashes -= 1
            after.fence += 1  # it takes the lock anew
            after.record = _copied(after.kept)
            after.unsent.clear()
            self.rules.restart(after.record)
            yield "crash", self._told(after, lambda release: release.pending(1.0))
        if world.halts and world.record.mode in (Mode.RUNNING, Mode.BACK):
            after = world.copy()
            after.halts -= 1
            yield from self._controller(after, "halt", _halt)  # without a way back it is staff's halt too
        if world.backs and world.record.mode is not Mode.RETURNED:
            after = world.copy()
            after.backs -= 1
            yield from self._controller(after, "back", _turn_back)

    def _controller(self, world: World, name: str, what: Happening) -> Iterator[tuple[str, World]]:
        """Something happens at the controller, and the disk takes its record, or refuses it."""
        yield name, self._told(world.copy(), what)
        if world.refusals:
            after = world.copy()
            after.refusals -= 1
            yield f"{name} refused", self._told(after, what, refused=True)

    def _carried(self, world: World, sent: Sent, fails: bool) -> World:
        """An agent gets an order; the order stays, so that it may come again."""
        order, fence = sent
        agent, memory = world.agents[order.unit], world.memory[order.unit]
        try:
            fresh = memory.take(RELEASE, fence, order)
        except RefusedError:
            if self.rules.fenced:
                return world
            memory.last[order.unit] = Last(RELEASE, fence, order.number, order.step, order.version)
            fresh = True
        if fresh:
            world.fails -= fails
            wrong = agent.take(order, fails)
            memory.done(order.unit, "failed" if fails else "")
            world.wrong = world.wrong or (wrong and f"{order.unit}: {wrong}")
        world.answers.add((order.unit, order.number, bool(memory.last[order.unit].good)))
        return world

    def _told(self, world: World, what: Happening, refused: bool = False) -> World:
        """The controller hears something: its record is kept, then its orders go out."""
        record = world.record
        halted = record.mode is Mode.HALTED
        on_way = {name for name, one in record.units.items() if one.target}
        orders = what(self.rules.make(record))
        if halted and record.mode is Mode.HALTED and any(order.unit not in on_way for order in orders):
            world.wrong = world.wrong or "a unit begins while the release is halted"
        for one in record.units.values():
            one.sent = 0.0
        record.watched = min(record.watched, 0.0)
        out = {one.number for one in record.units.values()}
        world.unsent = {order for order in world.unsent.union(orders) if order.number in out}
        if not refused:
            world.kept = _copied(record)
        if not refused or not self.rules.waits_for_disk:
            world.orders.update((order, world.fence) for order in world.unsent)
            world.unsent.clear()
        return world

    def _judge(self, world: World, path: str) -> None:
        record, out = world.record, [name for name, one in world.agents.items() if one.out]
        found = world.wrong
        if len({record.units[name].zone for name in out}) > 1:
            found = f"out in two zones: {out}"
        elif len(out) > record.out_at_once:
            found = f"out at once: {out}"
        elif record.mode in (Mode.DONE, Mode.RETURNED):
            want = record.new if record.mode is Mode.DONE else record.old
            bad = [name for name, one in world.agents.items() if one.version != want or one.out]
            if bad:
                found = f"{record.mode}, and not so: {bad}"
        if not found:
            found = self._ends(world)
        if found:
            self.wrong.append(f"{found}, after:{path}")

    def _ends(self, world: World) -> str:
        """With nothing lost and nothing failing any more, it comes to an end: nobody is left on the way."""
        after = world.copy()
        after.fails = 0
        for _ in range(60):
            for sent in sorted(after.orders, key=lambda one: (one[0].number, one[1])):
                self._carried(after, sent, False)
            for answer in sorted(after.answers):
                self._told(after, _answered(answer))
            after.orders.clear()
            after.answers.clear()
            record = after.record
            on_way = [name for name, one in record.units.items() if one.target and name not in record.stuck]
            if not on_way and record.mode in (Mode.DONE, Mode.RETURNED, Mode.HALTED):
                return ""
            self._told(after, lambda release: release.tick(1.0))
        return f"never ends: {after.record.mode}"
