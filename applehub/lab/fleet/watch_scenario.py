"""A scenario in which many routers watch one slow list service, on loopback and the running loop's clock."""

import asyncio
import contextlib
import logging
import resource
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from random import Random

import psutil

from applehub.lab.fleet.list_propagation import (
    PROPAGATION_LIMIT_S,
    AppliedVersion,
    Change,
    Outage,
    PropagationDelay,
    all_propagation_delays,
    breaches,
    percentile,
    propagation_limit,
)
from applehub.lab.fleet.service_queue import ServiceBehavior
from applehub.lab.fleet.slow_registry import CallCounts, SlowRegistry
from applehub.lab.fleet.watch_only_router import Caller, CallerFactory, WatchOnlyRouter, list_entries
from applehub.lab.live.bench import LiveError
from applehub.settings import Json

# Number of changes without faults, and the period in which they are made.
CALM_CHANGES, CALM_PERIOD_S = 3, 4.0
OUTAGE_S = 3.0
MAX_SILENT_CHANGE_DELAY_S = 1.0  # maximum time from when watches become unresponsive until the next change
END_MARGIN_S = 0.5  # added to a run, so that changes applied just after the limit are recorded
LAG_SAMPLE_INTERVAL_S = 0.1  # period of the samples of the event loop's lag
TIMEOUT_MARGIN_S = 30.0  # time after the end of the schedule until a run is cancelled
DESCRIPTORS_PER_ROUTER = 4  # both ends of an open connection, and of one being closed
OTHER_DESCRIPTORS = 100
MB = 1 << 20


@dataclass(frozen=True, slots=True)
class WatchPlan:
    """The parameters of one run."""

    routers: int
    service: ServiceBehavior
    seed: int = 1
    servers: int = 20
    list_on_request: bool = False  # routers poll lists, and their policy decides when to poll again


@dataclass(frozen=True, slots=True)
class Schedule:
    """The times of a run's changes and faults, in seconds from the start of the run."""

    calm_changes: tuple[float, ...]
    silence_starts: float
    silent_change: float  # a change while watches are unresponsive
    outage_starts: float
    outage_change: float  # a change during the outage
    outage_ends: float
    end: float


def draw_schedule(limit_s: float, random: Random) -> Schedule:
    calm_changes = sorted(limit_s + random.uniform(0, CALM_PERIOD_S) for _ in range(CALM_CHANGES))
    silence_starts = limit_s + CALM_PERIOD_S + random.uniform(0.5, 1.5)
    silent_change = silence_starts + random.uniform(0.1, MAX_SILENT_CHANGE_DELAY_S)
    outage_starts = silent_change + limit_s
    outage_ends = outage_starts + OUTAGE_S
    return Schedule(
        tuple(calm_changes),
        silence_starts,
        silent_change,
        outage_starts,
        outage_starts + random.uniform(0, OUTAGE_S),
        outage_ends,
        outage_ends + limit_s + END_MARGIN_S,
    )


@dataclass(slots=True)
class RunResult:
    """The result of a run; times are in seconds of the event loop's clock."""

    plan: WatchPlan
    limit_s: float
    seconds: float = 0.0  # duration of the run
    changes: list[Change] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    applied: list[list[AppliedVersion]] = field(
        default_factory=list
    )  # applied versions of each router, in order
    counts: CallCounts = field(default_factory=CallCounts)
    max_lag_s: float = 0.0  # maximum lag of the event loop, which adds to all delays
    memory_mb: float = 0.0

    def propagation_delays(self) -> list[PropagationDelay]:
        return all_propagation_delays(self.changes, self.applied, self.outages, self.limit_s)


class _ScenarioRun:
    """A run in progress."""

    def __init__(self, plan: WatchPlan, make_caller: CallerFactory) -> None:
        self.plan, self.loop = plan, asyncio.get_running_loop()
        random = Random(plan.seed)
        self.result = RunResult(plan, propagation_limit(plan.service, plan.routers))
        self.schedule = draw_schedule(self.result.limit_s, random)
        self.registry = SlowRegistry(plan.service, list_entries(plan.servers), plan.seed)
        self.make_caller = make_caller
        self.seeds = [random.randrange(1 << 32) for _ in range(plan.routers)]
        self.started_at = 0.0

    async def run(self) -> RunResult:
        endpoint = await self.registry.start()
        self.result.applied = [[] for _ in self.seeds]
        callers = [
            self.make_caller(endpoint, seed, partial(self._on_applied, router))
            for router, seed in enumerate(self.seeds)
        ]
        lag_task = self.loop.create_task(self._measure_lag())
        try:
            await self._execute_schedule(callers)
        finally:
            lag_task.cancel()
            for caller in callers:
                caller.stop()
            await self.registry.close()
        return self.result

    async def _execute_schedule(self, callers: list[Caller]) -> None:
        schedule, result = self.schedule, self.result
        self.started_at = self.loop.time()
        result.changes.append(Change(self.registry.version, self.started_at, "start"))
        for caller in callers:
            caller.start()
        for change_offset_s in schedule.calm_changes:
            await self._sleep_until(change_offset_s)
            self._change_list("calm")
        await self._sleep_until(schedule.silence_starts)
        self.registry.silence_watches()
        await self._sleep_until(schedule.silent_change)
        self._change_list("silent")
        await self._sleep_until(schedule.outage_starts)
        outage_starts = self.loop.time()
        self.registry.stop_serving()
        await self._sleep_until(schedule.outage_change)
        self._change_list("outage")
        await self._sleep_until(schedule.outage_ends)
        await self.registry.resume_serving()
        result.outages.append(Outage(outage_starts, self.loop.time()))
        await self._sleep_until(schedule.end)
        result.seconds = self.loop.time() - self.started_at
        result.counts = replace(self.registry.counts)
        result.memory_mb = psutil.Process().memory_info().rss / MB

    async def _sleep_until(self, offset_s: float) -> None:
        await asyncio.sleep(self.started_at + offset_s - self.loop.time())

    def _change_list(self, phase: str) -> None:
        self.result.changes.append(Change(self.registry.change(), self.loop.time(), phase))

    def _on_applied(self, router: int, version: int) -> None:
        self.result.applied[router].append(AppliedVersion(self.loop.time(), version))

    async def _measure_lag(self) -> None:
        while True:
            due = self.loop.time() + LAG_SAMPLE_INTERVAL_S
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            self.result.max_lag_s = max(self.result.max_lag_s, self.loop.time() - due)


async def run_scenario(plan: WatchPlan, make_caller: CallerFactory | None = None) -> RunResult:
    """Runs a plan with real routers' watches, or with the callers that the factory makes."""
    return await _ScenarioRun(
        plan, make_caller or partial(WatchOnlyRouter, list_on_request=plan.list_on_request)
    ).run()


def run_isolated(plan: WatchPlan) -> RunResult:
    """Runs a plan on an event loop of its own.

    Raises LiveError if the run needs too many descriptors, takes too long or leaves descriptors open."""
    needed = DESCRIPTORS_PER_ROUTER * plan.routers + OTHER_DESCRIPTORS
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed < needed:
        raise LiveError(f"{plan.routers} routers need {needed} descriptors, and {allowed} are allowed")
    before = psutil.Process().num_fds()
    try:
        with _quiet_routers():
            result = asyncio.run(_run_with_timeout(plan))
    except TimeoutError:
        raise LiveError(f"run with {plan.routers} routers did not end before its timeout") from None
    if (leaked := psutil.Process().num_fds() - before) > 0:
        raise LiveError(f"run with {plan.routers} routers left {leaked} descriptors open")
    return result


@contextlib.contextmanager
def _quiet_routers() -> Iterator[None]:
    """Suppresses the log line of each failed call of each router."""
    logger = logging.getLogger("applehub")
    level = logger.level
    logger.setLevel(logging.ERROR)
    try:
        yield
    finally:
        logger.setLevel(level)


async def _run_with_timeout(plan: WatchPlan) -> RunResult:
    schedule = draw_schedule(propagation_limit(plan.service, plan.routers), Random(plan.seed))
    async with asyncio.timeout(schedule.end + TIMEOUT_MARGIN_S):
        return await run_scenario(plan)


def summary(result: RunResult) -> Json:
    """Summarizes a run. A delay is None if the run ended before the router applied the change."""
    delays, counts = result.propagation_delays(), result.counts
    values = [delay.seconds for delay in delays]
    worst = max(delays, key=lambda delay: delay.seconds)
    late = breaches(delays, result.limit_s)
    return {
        "routers": result.plan.routers,
        "late_s": [result.plan.service.min_latency_s, result.plan.service.max_latency_s],
        "seed": result.plan.seed,
        "must_ask": result.plan.list_on_request,
        "seconds": round(result.seconds, 1),
        "changes": len(result.changes),
        "p50_s": _rounded_seconds(percentile(values, 0.5)),
        "p99_s": _rounded_seconds(percentile(values, 0.99)),
        "worst_s": _rounded_seconds(worst.seconds),
        "worst": {"router": worst.router, "change": worst.change.phase},
        "in_time": round(sum(value <= PROPAGATION_LIMIT_S for value in values) / len(values), 4),
        "no_list": sum(not versions for versions in result.applied),
        "patience_s": round(result.limit_s, 2),
        "breaches": len(late),
        "breaches_by_change": {
            phase: sum(delay.change.phase == phase for delay in late)
            for phase in dict.fromkeys(change.phase for change in result.changes)
        },
        "calls_a_second": round(counts.calls / result.seconds, 1),
        "calls": asdict(counts),
        "most_lag_s": round(result.max_lag_s, 3),
        "memory_mb": round(result.memory_mb),
    }


def _rounded_seconds(value: float) -> float | None:
    return round(value, 3) if value < float("inf") else None
