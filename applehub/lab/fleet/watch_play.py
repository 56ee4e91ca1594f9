"""A play of many routers' watches before one slow list service, on loopback and the running loop's clock."""

import asyncio
import contextlib
import logging
import resource
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from random import Random

import psutil

from applehub.lab.fleet.hollow import Caller, HollowRouter, MakeCaller, entries
from applehub.lab.fleet.slow_registry import CallCounts, SlowRegistry
from applehub.lab.fleet.turns import Service
from applehub.lab.fleet.uptake import (
    TOLD_WITHIN,
    Change,
    Late,
    Outage,
    Taken,
    breaches,
    patience_for,
    percentile,
    seconds_of_all,
)
from applehub.lab.live.bench import LiveError
from applehub.settings import Json

CALM_CHANGES, CALM_FOR = 3, 4.0  # changes while nothing goes wrong, drawn within so many seconds
DOWN_FOR = 3.0  # s of the outage
MOST_MISSED = 1.0  # s from when watches fall silent until the change that they miss
REST = 0.5  # s at the end, so that what is just late still shows
LAG_STEP = 0.1  # s between looks at how late the loop runs
OVERTIME = 30.0  # s past its schedule after which a play is ended
DESCRIPTORS_EACH = 4  # for a router: both ends of a connection, and of one that it has just closed
DESCRIPTORS_MORE = 100
MB = 1 << 20


@dataclass(frozen=True, slots=True)
class WatchPlan:
    """One play."""

    routers: int
    service: Service
    seed: int = 1
    servers: int = 20
    must_ask: bool = False  # lists are asked for, and the decisions say when to ask again


@dataclass(frozen=True, slots=True)
class Schedule:
    """What happens when, in seconds from the start. Between two of these there is time to recover."""

    calm: tuple[float, ...]
    silent: float
    missed: float  # the change that silent watches miss
    down: float
    unheard: float  # the change during the outage
    back: float
    end: float


def draw_schedule(patience: float, random: Random) -> Schedule:
    calm = sorted(patience + random.uniform(0, CALM_FOR) for _ in range(CALM_CHANGES))
    silent = patience + CALM_FOR + random.uniform(0.5, 1.5)
    missed = silent + random.uniform(0.1, MOST_MISSED)
    down = missed + patience
    back = down + DOWN_FOR
    return Schedule(
        tuple(calm), silent, missed, down, down + random.uniform(0, DOWN_FOR), back, back + patience + REST
    )


@dataclass(slots=True)
class Played:
    """What a play showed; times on the loop's clock."""

    plan: WatchPlan
    patience: float
    seconds: float = 0.0  # that it took
    changes: list[Change] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    taken: list[list[Taken]] = field(default_factory=list)  # by router, in order
    counts: CallCounts = field(default_factory=CallCounts)
    most_lag: float = 0.0  # s that the loop ran late at the most: the machine's part in all times
    memory_mb: float = 0.0

    def all_seconds(self) -> list[Late]:
        return seconds_of_all(self.changes, self.taken, self.outages, self.patience)


class _Play:
    """A play under way."""

    def __init__(self, plan: WatchPlan, make: MakeCaller) -> None:
        self.plan, self.loop = plan, asyncio.get_running_loop()
        random = Random(plan.seed)
        self.played = Played(plan, patience_for(plan.service, plan.routers))
        self.schedule = draw_schedule(self.played.patience, random)
        self.registry = SlowRegistry(plan.service, entries(plan.servers), plan.seed)
        self.make = make
        self.seeds = [random.randrange(1 << 32) for _ in range(plan.routers)]
        self.begun = 0.0

    async def run(self) -> Played:
        endpoint = await self.registry.start()
        self.played.taken = [[] for _ in self.seeds]
        callers = [
            self.make(endpoint, seed, partial(self._took, router)) for router, seed in enumerate(self.seeds)
        ]
        lag = self.loop.create_task(self._watch_lag())
        try:
            await self._follow(callers)
        finally:
            lag.cancel()
            for caller in callers:
                caller.stop()
            await self.registry.close()
        return self.played

    async def _follow(self, callers: list[Caller]) -> None:
        """Carries out the schedule."""
        schedule, played = self.schedule, self.played
        self.begun = self.loop.time()
        played.changes.append(Change(self.registry.version, self.begun, "start"))
        for caller in callers:
            caller.start()
        for at in schedule.calm:
            await self._until(at)
            self._change("calm")
        await self._until(schedule.silent)
        self.registry.fall_silent()
        await self._until(schedule.missed)
        self._change("silent")
        await self._until(schedule.down)
        down = self.loop.time()
        self.registry.go_down()
        await self._until(schedule.unheard)
        self._change("outage")
        await self._until(schedule.back)
        await self.registry.come_back()
        played.outages.append(Outage(down, self.loop.time()))
        await self._until(schedule.end)
        played.seconds = self.loop.time() - self.begun
        played.counts = replace(self.registry.counts)
        played.memory_mb = psutil.Process().memory_info().rss / MB

    async def _until(self, at: float) -> None:
        await asyncio.sleep(self.begun + at - self.loop.time())

    def _change(self, when: str) -> None:
        self.played.changes.append(Change(self.registry.change(), self.loop.time(), when))

    def _took(self, router: int, version: int) -> None:
        self.played.taken[router].append(Taken(self.loop.time(), version))

    async def _watch_lag(self) -> None:
        while True:
            due = self.loop.time() + LAG_STEP
            await asyncio.sleep(LAG_STEP)
            self.played.most_lag = max(self.played.most_lag, self.loop.time() - due)


async def play(plan: WatchPlan, make: MakeCaller | None = None) -> Played:
    """Plays a plan with the program's own routers, or with other callers."""
    return await _Play(plan, make or partial(HollowRouter, must_ask=plan.must_ask)).run()


def play_alone(plan: WatchPlan) -> Played:
    """Plays a plan on a loop of its own, bounded in time and descriptors. Raises LiveError."""
    needed = DESCRIPTORS_EACH * plan.routers + DESCRIPTORS_MORE
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed < needed:
        raise LiveError(f"{plan.routers} routers need {needed} descriptors, and {allowed} are allowed")
    before = psutil.Process().num_fds()
    try:
        with _quiet_routers():
            played = asyncio.run(_bounded(plan))
    except TimeoutError:
        raise LiveError(f"a play of {plan.routers} routers was not over in time") from None
    if (left := psutil.Process().num_fds() - before) > 0:
        raise LiveError(f"a play of {plan.routers} routers left {left} descriptors open")
    return played


@contextlib.contextmanager
def _quiet_routers() -> Iterator[None]:
    """Keeps back the line that each failed call of each router logs."""
    log = logging.getLogger("applehub")
    level = log.level
    log.setLevel(logging.ERROR)
    try:
        yield
    finally:
        log.setLevel(level)


async def _bounded(plan: WatchPlan) -> Played:
    schedule = draw_schedule(patience_for(plan.service, plan.routers), Random(plan.seed))
    async with asyncio.timeout(schedule.end + OVERTIME):
        return await play(plan)


def summary(played: Played) -> Json:
    """The figures of a play. A time that is None is one that the play did not see the end of."""
    seconds, counts = played.all_seconds(), played.counts
    values = [one.seconds for one in seconds]
    worst = max(seconds, key=lambda one: one.seconds)
    broken = breaches(seconds, played.patience)
    return {
        "routers": played.plan.routers,
        "late_s": [played.plan.service.least_late, played.plan.service.most_late],
        "seed": played.plan.seed,
        "must_ask": played.plan.must_ask,
        "seconds": round(played.seconds, 1),
        "changes": len(played.changes),
        "p50_s": _seconds(percentile(values, 0.5)),
        "p99_s": _seconds(percentile(values, 0.99)),
        "worst_s": _seconds(worst.seconds),
        "worst": {"router": worst.router, "change": worst.change.when},
        "in_time": round(sum(value <= TOLD_WITHIN for value in values) / len(values), 4),
        "no_list": sum(not taken for taken in played.taken),
        "patience_s": round(played.patience, 2),
        "breaches": len(broken),
        "breaches_by_change": {
            when: sum(one.change.when == when for one in broken)
            for when in dict.fromkeys(change.when for change in played.changes)
        },
        "calls_a_second": round(counts.calls / played.seconds, 1),
        "calls": asdict(counts),
        "most_lag_s": round(played.most_lag, 3),
        "memory_mb": round(played.memory_mb),
    }


def _seconds(value: float) -> float | None:
    return round(value, 3) if value < float("inf") else None
