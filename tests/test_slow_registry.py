"""Tests of a list service of limited capacity and high latency, and of many routers that watch it.

Runs of half a minute use a virtual clock over real sockets; one short run uses the real clock."""

import asyncio
import contextlib
import gc
import resource
from collections.abc import Callable, Coroutine
from functools import partial
from random import Random
from typing import Any

import orjson
import psutil
import pytest
import virtual_time
from click.testing import CliRunner

from applehub.lab.__main__ import main
from applehub.lab.fleet import list_propagation, watch_commands
from applehub.lab.fleet.list_propagation import NEVER, AppliedVersion, Change, Outage, propagation_seconds
from applehub.lab.fleet.service_queue import CallQueue, ServiceBehavior, ideal_completion_time
from applehub.lab.fleet.slow_registry import SlowRegistry
from applehub.lab.fleet.watch_only_router import OnApplied, WatchOnlyRouter, list_entries
from applehub.lab.fleet.watch_scenario import (
    RunResult,
    WatchPlan,
    draw_schedule,
    run_isolated,
    run_scenario,
    summary,
)
from applehub.lab.live.bench import LiveError
from applehub.node.pool import Endpoint

MAX_WAIT_S = 20.0  # timeout for an event in the test on the real clock
HOLD_S = 2.5  # hold time of the long polls of routers


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def make_queue(**options: Any) -> tuple[CallQueue, Clock]:
    clock = Clock()
    return CallQueue(ServiceBehavior(capacity=10.0, **options), clock), clock


def test_calls_start_in_order_at_the_rate_of_the_service() -> None:
    queue, clock = make_queue()
    first, second, third = (queue.enqueue() for _ in range(3))
    assert queue.start_due_calls() == [first]
    assert queue.next_start_at() == pytest.approx(100.1)
    clock.now = 100.15
    assert queue.start_due_calls() == [second]
    clock.now = 100.25  # a late check does not delay later calls
    assert queue.start_due_calls() == [third]
    assert queue.next_start_at() is None
    clock.now = 200.0
    fourth = queue.enqueue()
    assert queue.start_due_calls() == [fourth]


def test_call_that_would_wait_too_long_is_rejected_and_takes_no_capacity() -> None:
    queue, clock = make_queue(max_wait_s=0.35)
    assert [queue.enqueue() is None for _ in range(6)] == [False] * 4 + [True] * 2
    clock.now += 0.1
    queue.start_due_calls()
    assert queue.enqueue() is not None  # waits 0.3 s, because rejected calls are not in the queue
    assert queue.enqueue() is None


def test_full_queue_rejects_calls() -> None:
    queue, _ = make_queue(max_queued=2)
    assert queue.enqueue() is not None
    queue.start_due_calls()
    assert [queue.enqueue() is None for _ in range(4)] == [False, False, True, True]


@pytest.mark.parametrize(("takes_capacity", "starts_at"), [(True, 100.2), (False, 100.1)])
def test_abandoned_call_takes_capacity_if_the_service_is_configured_so(
    takes_capacity: bool, starts_at: float
) -> None:
    queue, clock = make_queue(abandoned_calls_take_capacity=takes_capacity)
    _, abandoned, last = (queue.enqueue() for _ in range(3))
    queue.start_due_calls()
    assert abandoned is not None
    queue.abandon(abandoned)
    clock.now = starts_at - 0.01
    assert last not in queue.start_due_calls()
    clock.now = starts_at + 0.01
    assert last in queue.start_due_calls()


def test_ideal_time_is_one_call_per_router_and_the_maximum_latency() -> None:
    """An ideal caller never waits in the queue, so the queue limits do not matter."""
    slow_service = ServiceBehavior(
        capacity=100.0, min_latency_s=1.0, max_latency_s=4.0, max_wait_s=0.0, max_queued=1
    )
    assert ideal_completion_time(slow_service, 230) == pytest.approx(2.3 + 4.0)
    assert ideal_completion_time(ServiceBehavior(capacity=50.0), 5) == pytest.approx(0.1)
    slow_watches = ServiceBehavior(capacity=100.0, max_latency_s=4.0, late_watches=True)
    assert ideal_completion_time(slow_watches, 230) == pytest.approx(2.3 + 8.0)


@pytest.mark.parametrize(
    ("applied_at", "outage", "seconds"),
    [
        (13.0, None, 3.0),
        (13.0, (14.0, 17.0), 3.0),  # applied before the outage
        (19.0, (14.0, 17.0), 2.0),  # the outage begins within the limit and restarts the time
        (19.0, (16.5, 18.0), 9.0),  # the limit had passed before the outage began
        (13.0, (9.0, 12.0), 1.0),  # the change is made during the outage
        (13.0, (2.0, 9.0), 3.0),  # the outage ends before the change
        (NEVER, (14.0, 17.0), NEVER),
    ],
)
def test_delay_counts_from_when_the_service_has_the_change_and_can_be_reached(
    applied_at: float, outage: tuple[float, float] | None, seconds: float
) -> None:
    # A single answer contains the changes to versions 2 and 3.
    applied = [AppliedVersion(1.0, 1)] + ([] if applied_at == NEVER else [AppliedVersion(applied_at, 3)])
    outages = [Outage(*outage)] if outage else []
    assert propagation_seconds(Change(2, 10.0, "calm"), applied, outages, 6.0) == seconds


def test_schedule_leaves_the_limit_after_each_change() -> None:
    for seed in range(20):
        schedule = draw_schedule(7.0, Random(seed))
        assert (
            schedule.calm_changes[0] >= 7.0
            and schedule.calm_changes[-1] < schedule.silence_starts < schedule.silent_change
        )
        assert (
            schedule.silent_change + 7.0
            <= schedule.outage_starts
            < schedule.outage_change
            < schedule.outage_ends
        )
        assert schedule.outage_ends + 7.0 <= schedule.end


class ClientConnection:
    """A connection of a caller, driven by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, endpoint: Endpoint) -> "ClientConnection":
        return cls(*await asyncio.open_connection(*endpoint))

    def send_request(self, query: str = "") -> None:
        self.writer.write(f"GET /api/targets{query} HTTP/1.1\r\nHost: list\r\n\r\n".encode())

    async def answer(self) -> tuple[int, Any]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.partition(b"content-length:")[2].split()[0])
        body = await self.reader.readexactly(length)
        return int(head.split()[1]), orjson.loads(body) if body else None

    async def get(self, query: str = "") -> tuple[int, Any]:
        self.send_request(query)
        return await self.answer()

    def close(self) -> None:
        self.writer.transport.abort()


def run_with_service(
    monkeypatch: pytest.MonkeyPatch,
    service: ServiceBehavior,
    test: Callable[[SlowRegistry], Coroutine[Any, Any, None]],
) -> None:
    """Runs a test with a service, on the virtual clock."""

    async def run() -> None:
        registry = SlowRegistry(service, list_entries(2), 1)
        await registry.start()
        await test(registry)
        await registry.close()

    virtual_time.run_in_virtual_time(monkeypatch, run)


def now() -> float:
    return asyncio.get_running_loop().time()


def test_calls_are_answered_with_latency_and_a_full_queue_rejects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(registry: SlowRegistry) -> None:
        started_at = now()
        connections = [await ClientConnection.connect(registry.endpoint) for _ in range(4)]
        times: dict[float, int] = {}

        async def call(connection: ClientConnection) -> None:
            status, _ = await connection.get()
            times[round(now() - started_at, 2)] = status

        await asyncio.gather(*map(call, connections))
        assert times == {0.0: 503, 3.0: 200, 3.5: 200, 4.0: 200}
        assert (registry.counts.calls, registry.counts.answered, registry.counts.refused) == (4, 3, 1)

    run_with_service(
        monkeypatch, ServiceBehavior(capacity=2.0, min_latency_s=3.0, max_latency_s=3.0, max_wait_s=1.2), test
    )


@pytest.mark.parametrize(("takes_capacity", "seconds", "wasted"), [(True, 1.0, 1), (False, 0.5, 0)])
def test_call_of_a_closed_connection_wastes_capacity(
    monkeypatch: pytest.MonkeyPatch, takes_capacity: bool, seconds: float, wasted: int
) -> None:
    async def test(registry: SlowRegistry) -> None:
        first, second, third = [await ClientConnection.connect(registry.endpoint) for _ in range(3)]
        started_at = now()
        for connection in (first, second, third):
            connection.send_request()
            await asyncio.sleep(0.01)
        second.close()
        status, _ = await third.answer()
        assert status == 200 and now() - started_at == pytest.approx(seconds, abs=0.01)
        assert (registry.counts.wasted, registry.counts.left) == (wasted, 1 - wasted)

    run_with_service(
        monkeypatch, ServiceBehavior(capacity=2.0, abandoned_calls_take_capacity=takes_capacity), test
    )


def test_watch_within_200_ms_of_an_answer_takes_no_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(registry: SlowRegistry) -> None:
        connection = await ClientConnection.connect(registry.endpoint)
        assert (await connection.get())[1]["all"] is True
        await asyncio.sleep(0.19)
        started_at = now()
        connection.send_request("?from=1&hold_ms=2500")
        await asyncio.sleep(1)
        registry.change()
        _, body = await connection.answer()
        assert (body["rev"], body["all"], len(body["targets"])) == (2, False, 1)
        assert now() - started_at == pytest.approx(1.0, abs=0.01) and registry.counts.went_on == 1
        started_at = now()
        _, body = await connection.get("?from=2&hold_ms=2500")
        assert body["targets"] == [] and now() - started_at == pytest.approx(2.5, abs=0.01)
        await asyncio.sleep(0.21)
        started_at = now()
        await connection.get("?from=2&hold_ms=100")
        assert now() - started_at == pytest.approx(2.1, abs=0.01)
        assert (registry.counts.went_on, registry.counts.lapsed) == (2, 1)

    run_with_service(monkeypatch, ServiceBehavior(min_latency_s=2.0, max_latency_s=2.0), test)


@pytest.mark.parametrize(
    ("options", "seconds"), [({"continue_window_s": 0.0}, 3.0), ({"late_watches": True}, 3.0), ({}, 1.0)]
)
def test_continued_watches_have_latency_only_if_the_service_is_configured_so(
    monkeypatch: pytest.MonkeyPatch, options: dict[str, Any], seconds: float
) -> None:
    async def test(registry: SlowRegistry) -> None:
        connection = await ClientConnection.connect(registry.endpoint)
        await connection.get()
        await asyncio.sleep(0.01)
        started_at = now()
        await connection.get("?from=1&hold_ms=1000")
        assert now() - started_at == pytest.approx(seconds, abs=0.01)

    run_with_service(monkeypatch, ServiceBehavior(min_latency_s=2.0, max_latency_s=2.0, **options), test)


def test_new_connections_are_answered_while_watches_are_unresponsive(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(registry: SlowRegistry) -> None:
        silent, other = (
            await ClientConnection.connect(registry.endpoint),
            await ClientConnection.connect(registry.endpoint),
        )
        await silent.get()
        silent.send_request("?from=1&hold_ms=1000")
        await asyncio.sleep(0.5)
        registry.silence_watches()
        registry.change()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(silent.answer(), 30)
        assert (await other.get("?from=1&hold_ms=1000"))[1]["rev"] == 2
        silent.close()
        await asyncio.sleep(0.1)
        assert (registry.counts.left, registry.counts.wasted) == (1, 0)

    run_with_service(monkeypatch, ServiceBehavior(), test)


def test_outage_resets_connections_refuses_new_ones_and_ends_at_the_same_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(registry: SlowRegistry) -> None:
        waiting = await ClientConnection.connect(registry.endpoint)
        waiting.send_request("?from=1&hold_ms=60000")
        await asyncio.sleep(0.5)
        registry.stop_serving()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await waiting.answer()
        with pytest.raises(ConnectionRefusedError):
            await ClientConnection.connect(registry.endpoint)
        await asyncio.sleep(3)
        await registry.resume_serving()
        assert (await (await ClientConnection.connect(registry.endpoint)).get())[0] == 200
        assert (registry.counts.cut, registry.counts.wasted) == (1, 0)

    run_with_service(monkeypatch, ServiceBehavior(), test)


class SimpleWatch:
    """A list watcher that reconnects and retries if an immediate answer takes longer than `timeout_s`."""

    def __init__(self, timeout_s: float, endpoint: Endpoint, seed: int, on_applied: OnApplied) -> None:
        self.timeout_s, self.endpoint, self.on_applied = timeout_s, endpoint, on_applied
        self.random, self.version = Random(seed), 0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.create_task(self._run())

    def stop(self) -> None:
        assert self.task is not None
        self.task.cancel()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                connection = await ClientConnection.connect(self.endpoint)
                try:
                    await self._watch(connection)
                finally:
                    connection.close()
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def _watch(self, connection: ClientConnection) -> None:
        """Polls first on a new connection, then sends long polls."""
        hold = 0.0
        while True:
            query = f"?from={self.version}&hold_ms={int(hold * 1000)}" if self.version else ""
            async with asyncio.timeout(self.timeout_s if hold == 0 else hold + 0.7):
                status, body = await connection.get(query)
            if status != 200:
                return
            if body["rev"] > self.version:
                self.version = body["rev"]
                self.on_applied(self.version)
            hold = HOLD_S


def run_on_virtual_clock(
    monkeypatch: pytest.MonkeyPatch, plan: WatchPlan, timeout_s: float | None = None
) -> RunResult:
    """Runs the plan on the virtual clock, with routers or simple watches, and checks for open descriptors."""
    results: list[RunResult] = []

    async def run() -> None:
        gc.collect()  # closes the sockets that earlier tests have left, which must not happen meanwhile
        before = psutil.Process().num_fds()
        if timeout_s is None:
            results.append(await run_scenario(plan))
        else:
            results.append(await run_scenario(plan, lambda *arguments: SimpleWatch(timeout_s, *arguments)))
        await asyncio.sleep(0.01)  # lets the other ends of closed connections close
        assert psutil.Process().num_fds() == before

    virtual_time.run_in_virtual_time(monkeypatch, run)
    return results[0]


TWO_SECONDS_LATENCY = ServiceBehavior(min_latency_s=2.0, max_latency_s=2.0)


def test_watch_with_a_timeout_below_the_latency_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    results = summary(run_on_virtual_clock(monkeypatch, WatchPlan(10, TWO_SECONDS_LATENCY), timeout_s=1.3))
    assert (results["breaches"], results["no_list"], results["in_time"]) == (60, 10, 0.0)
    assert results["worst_s"] is None and results["calls"]["answered"] == 0
    assert results["calls"]["wasted"] > 100


def test_watch_that_waits_for_a_slow_answer_is_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    results = summary(run_on_virtual_clock(monkeypatch, WatchPlan(10, TWO_SECONDS_LATENCY), timeout_s=5.0))
    assert (results["breaches"], results["no_list"], results["in_time"]) == (0, 0, 1.0)
    assert results["calls"]["wasted"] == 0
    assert 2.0 < results["worst_s"] <= results["patience_s"] == list_propagation.PROPAGATION_LIMIT_S


def test_summary_names_the_router_that_missed_a_change(monkeypatch: pytest.MonkeyPatch) -> None:
    result = run_on_virtual_clock(monkeypatch, WatchPlan(3, ServiceBehavior()), timeout_s=5.0)
    result.applied[1] = [
        update for update in result.applied[1] if update.version < result.changes[-1].version
    ]
    results = summary(result)
    assert results["breaches"] == 1 and results["breaches_by_change"]["outage"] == 1
    assert results["worst"] == {"router": 1, "change": "outage"} and results["worst_s"] is None


@pytest.mark.parametrize("list_on_request", [False, True])
def test_routers_are_in_time_with_a_fast_service(
    monkeypatch: pytest.MonkeyPatch, list_on_request: bool
) -> None:
    results = summary(
        run_on_virtual_clock(monkeypatch, WatchPlan(5, ServiceBehavior(), list_on_request=list_on_request))
    )
    assert (results["breaches"], results["no_list"]) == (0, 0)
    assert results["changes"] == 6 and results["calls"]["answered"] > 5 * results["seconds"] / HOLD_S / 2


async def test_routers_apply_lists_on_the_real_clock() -> None:
    registry = SlowRegistry(ServiceBehavior(min_latency_s=0.2, max_latency_s=0.4), list_entries(5), 1)
    endpoint = await registry.start()
    versions = [0] * 5
    applied = asyncio.Event()

    def on_applied(router: int, version: int) -> None:
        versions[router] = version
        applied.set()

    async def wait_for_version(version: int) -> None:
        async with asyncio.timeout(MAX_WAIT_S):
            while min(versions) < version:
                applied.clear()
                await applied.wait()

    routers = [WatchOnlyRouter(endpoint, seed, partial(on_applied, seed)) for seed in range(5)]
    for router in routers:
        router.start()
    await wait_for_version(1)
    await wait_for_version(registry.change())
    registry.silence_watches()
    registry.stop_serving()
    await registry.resume_serving()
    await wait_for_version(registry.change())
    for router in routers:
        router.stop()
    await registry.close()
    assert not registry.connections and registry.counts.answered >= 15


def test_run_that_needs_more_descriptors_than_allowed_does_not_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1024, 1024))
    with pytest.raises(LiveError, match="520 routers need 2180 descriptors, and 1024 are allowed"):
        run_isolated(WatchPlan(520, ServiceBehavior()))


@pytest.mark.parametrize(
    ("options", "problem"),
    [
        (["--routers", "0"], "--routers: expected numbers"),
        (["--routers", "x"], "--routers: expected numbers"),
        (["--late", "4:1"], "--late: expected seconds"),
        (["--late", "soon"], "--late: expected seconds"),
        (["--more", "230"], "--more: expected seconds"),
    ],
)
def test_invalid_options_exit_with_code_2(options: list[str], problem: str) -> None:
    result = CliRunner().invoke(main, ["watches", *options])
    assert result.exit_code == 2 and problem in result.output


def test_command_runs_each_pair_and_its_exit_code_shows_breaches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    row = summary(run_on_virtual_clock(monkeypatch, WatchPlan(3, TWO_SECONDS_LATENCY), timeout_s=5.0))
    plans: list[WatchPlan] = []
    breach_counts: list[int] = []

    def run_all(requested: list[WatchPlan], jobs: int) -> list[Any]:
        plans[:] = requested
        return [{**row, "breaches": breaches} for breaches in breach_counts]

    monkeypatch.setattr(watch_commands, "run_all", run_all)
    command = ["watches", "--routers", "5,30", "--late", "2,0:4", "--more", "5x2"]
    for breach_counts[:], code in (([0, 0], 0), ([0, 1], 1)):
        result = CliRunner().invoke(main, command)
        assert result.exit_code == code
        assert [line.count("|") for line in result.output.splitlines()] == [18] * 4
    parameters = [
        (plan.routers, plan.service.min_latency_s, plan.service.max_latency_s, plan.seed) for plan in plans
    ]
    assert parameters == [
        (5, 2.0, 2.0, 1),
        (5, 0.0, 4.0, 1),
        (30, 2.0, 2.0, 1),
        (30, 0.0, 4.0, 1),
        (5, 2.0, 2.0, 2),
    ]
