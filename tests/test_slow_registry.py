"""A list service that answers in turn and late, and the watches of many routers before it.

Plays of half a minute run on the tests' own clock, over real sockets; one short run is on the machine's."""

import asyncio
import contextlib
import resource
from collections.abc import Callable, Coroutine
from functools import partial
from random import Random
from typing import Any

import orjson
import psutil
import pytest
import virtual
from click.testing import CliRunner

from applehub.lab.__main__ import main
from applehub.lab.fleet import uptake, watch_commands
from applehub.lab.fleet.hollow import HollowRouter, Took, entries
from applehub.lab.fleet.slow_registry import SlowRegistry
from applehub.lab.fleet.turns import Service, TurnQueue, ideal_time
from applehub.lab.fleet.uptake import NEVER, Change, Outage, Taken, seconds_to_take
from applehub.lab.fleet.watch_play import Played, WatchPlan, draw_schedule, play, play_alone, summary
from applehub.lab.live.bench import LiveError
from applehub.node.pool import Endpoint

PATIENCE = 20.0  # s; every wait on the machine's clock is on an event, and this long at the most
HOLD = 2.5  # s, as the program asks for


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def queue(**options: Any) -> tuple[TurnQueue, Clock]:
    clock = Clock()
    return TurnQueue(Service(capacity=10.0, **options), clock), clock


def test_calls_get_their_turns_in_order_and_as_fast_as_the_service_can() -> None:
    calls, clock = queue()
    first, second, third = (calls.join() for _ in range(3))
    assert calls.begin() == [first]
    assert calls.next_at() == pytest.approx(100.1)
    clock.now = 100.15
    assert calls.begin() == [second]
    clock.now = 100.25  # a look that comes late moves no turn
    assert calls.begin() == [third]
    assert calls.next_at() is None
    clock.now = 200.0
    fourth = calls.join()
    assert calls.begin() == [fourth]


def test_a_call_that_would_wait_too_long_is_refused_and_costs_no_turn() -> None:
    calls, clock = queue(most_wait=0.35)
    assert [calls.join() is None for _ in range(6)] == [False] * 4 + [True] * 2
    clock.now += 0.1
    calls.begin()
    assert calls.join() is not None  # waits 0.3 s: the refused ones are not before it
    assert calls.join() is None


def test_a_queue_is_bounded_by_its_length_where_that_is_given() -> None:
    calls, _ = queue(most_waiting=2)
    assert calls.join() is not None
    calls.begin()
    assert [calls.join() is None for _ in range(4)] == [False, False, True, True]


@pytest.mark.parametrize(("kept", "begins"), [(True, 100.2), (False, 100.1)])
def test_a_call_that_was_given_up_keeps_its_turn_where_the_service_says_so(kept: bool, begins: float) -> None:
    calls, clock = queue(abandoned_take_turns=kept)
    _, given_up, last = (calls.join() for _ in range(3))
    calls.begin()
    assert given_up is not None
    calls.abandon(given_up)
    clock.now = begins - 0.01
    assert last not in calls.begin()
    clock.now = begins + 0.01
    assert last in calls.begin()


def test_ideal_callers_need_one_turn_each_and_the_lateness() -> None:
    """With a queue for nobody: an ideal caller never waits in it."""
    late = Service(capacity=100.0, least_late=1.0, most_late=4.0, most_wait=0.0, most_waiting=1)
    assert ideal_time(late, 230) == pytest.approx(2.3 + 4.0)
    assert ideal_time(Service(capacity=50.0), 5) == pytest.approx(0.1)
    both = Service(capacity=100.0, most_late=4.0, late_watches=True)
    assert ideal_time(both, 230) == pytest.approx(2.3 + 8.0)


@pytest.mark.parametrize(
    ("at", "outage", "seconds"),
    [
        (13.0, None, 3.0),
        (13.0, (14.0, 17.0), 3.0),  # taken up before the outage
        (19.0, (14.0, 17.0), 2.0),  # the outage begins in time, and the seconds begin anew
        (19.0, (16.5, 18.0), 9.0),  # it was late before the outage began
        (13.0, (9.0, 12.0), 1.0),  # made during the outage
        (13.0, (2.0, 9.0), 3.0),  # over before the change
        (NEVER, (14.0, 17.0), NEVER),
    ],
)
def test_the_seconds_begin_when_the_service_has_the_change_and_can_be_reached(
    at: float, outage: tuple[float, float] | None, seconds: float
) -> None:
    taken = [Taken(1.0, 1)] + ([] if at == NEVER else [Taken(at, 3)])  # one answer tells two changes
    outages = [Outage(*outage)] if outage else []
    assert seconds_to_take(Change(2, 10.0, "calm"), taken, outages, 6.0) == seconds


def test_a_schedule_leaves_the_time_that_is_allowed_after_each_change() -> None:
    for seed in range(20):
        plan = draw_schedule(7.0, Random(seed))
        assert plan.calm[0] >= 7.0 and plan.calm[-1] < plan.silent < plan.missed
        assert plan.missed + 7.0 <= plan.down < plan.unheard < plan.back
        assert plan.back + 7.0 <= plan.end


class Peer:
    """A caller's connection that the test holds."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, endpoint: Endpoint) -> "Peer":
        return cls(*await asyncio.open_connection(*endpoint))

    def ask(self, query: str = "") -> None:
        self.writer.write(f"GET /api/targets{query} HTTP/1.1\r\nHost: list\r\n\r\n".encode())

    async def answer(self) -> tuple[int, Any]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.partition(b"content-length:")[2].split()[0])
        body = await self.reader.readexactly(length)
        return int(head.split()[1]), orjson.loads(body) if body else None

    async def get(self, query: str = "") -> tuple[int, Any]:
        self.ask(query)
        return await self.answer()

    def close(self) -> None:
        self.writer.transport.abort()


def on_service(
    monkeypatch: pytest.MonkeyPatch,
    service: Service,
    test: Callable[[SlowRegistry], Coroutine[Any, Any, None]],
) -> None:
    """Runs a test with a service, on the tests' clock."""

    async def run() -> None:
        registry = SlowRegistry(service, entries(2), 1)
        await registry.start()
        await test(registry)
        await registry.close()

    virtual.play(monkeypatch, run)


def now() -> float:
    return asyncio.get_running_loop().time()


def test_each_call_is_answered_late_after_its_turn_and_a_full_queue_refuses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(registry: SlowRegistry) -> None:
        begun = now()
        peers = [await Peer.connect(registry.endpoint) for _ in range(4)]
        times: dict[float, int] = {}

        async def one(peer: Peer) -> None:
            status, _ = await peer.get()
            times[round(now() - begun, 2)] = status

        await asyncio.gather(*map(one, peers))
        assert times == {0.0: 503, 3.0: 200, 3.5: 200, 4.0: 200}
        assert (registry.counts.calls, registry.counts.answered, registry.counts.refused) == (4, 3, 1)

    on_service(monkeypatch, Service(capacity=2.0, least_late=3.0, most_late=3.0, most_wait=1.2), test)


@pytest.mark.parametrize(("kept", "seconds", "wasted"), [(True, 1.0, 1), (False, 0.5, 0)])
def test_a_closed_connection_wastes_the_turn_of_its_call(
    monkeypatch: pytest.MonkeyPatch, kept: bool, seconds: float, wasted: int
) -> None:
    async def test(registry: SlowRegistry) -> None:
        first, second, third = [await Peer.connect(registry.endpoint) for _ in range(3)]
        begun = now()
        for peer in (first, second, third):
            peer.ask()
            await asyncio.sleep(0.01)
        second.close()
        status, _ = await third.answer()
        assert status == 200 and now() - begun == pytest.approx(seconds, abs=0.01)
        assert (registry.counts.wasted, registry.counts.left) == (wasted, 1 - wasted)

    on_service(monkeypatch, Service(capacity=2.0, abandoned_take_turns=kept), test)


def test_a_watch_goes_on_without_a_turn_within_200_ms_of_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(registry: SlowRegistry) -> None:
        peer = await Peer.connect(registry.endpoint)
        assert (await peer.get())[1]["all"] is True
        await asyncio.sleep(0.19)
        begun = now()
        peer.ask("?from=1&hold_ms=2500")
        await asyncio.sleep(1)
        registry.change()
        _, told = await peer.answer()
        assert (told["rev"], told["all"], len(told["targets"])) == (2, False, 1)
        assert now() - begun == pytest.approx(1.0, abs=0.01) and registry.counts.went_on == 1
        begun = now()
        _, told = await peer.get("?from=2&hold_ms=2500")
        assert told["targets"] == [] and now() - begun == pytest.approx(2.5, abs=0.01)
        await asyncio.sleep(0.21)
        begun = now()
        await peer.get("?from=2&hold_ms=100")
        assert now() - begun == pytest.approx(2.1, abs=0.01)
        assert (registry.counts.went_on, registry.counts.lapsed) == (2, 1)

    on_service(monkeypatch, Service(least_late=2.0, most_late=2.0), test)


@pytest.mark.parametrize(
    ("options", "seconds"), [({"goes_on_within": 0.0}, 3.0), ({"late_watches": True}, 3.0), ({}, 1.0)]
)
def test_watches_that_go_on_are_late_only_where_the_service_says_so(
    monkeypatch: pytest.MonkeyPatch, options: dict[str, Any], seconds: float
) -> None:
    async def test(registry: SlowRegistry) -> None:
        peer = await Peer.connect(registry.endpoint)
        await peer.get()
        await asyncio.sleep(0.01)
        begun = now()
        await peer.get("?from=1&hold_ms=1000")
        assert now() - begun == pytest.approx(seconds, abs=0.01)

    on_service(monkeypatch, Service(least_late=2.0, most_late=2.0, **options), test)


def test_watches_fall_silent_and_a_new_connection_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(registry: SlowRegistry) -> None:
        silent, other = await Peer.connect(registry.endpoint), await Peer.connect(registry.endpoint)
        await silent.get()
        silent.ask("?from=1&hold_ms=1000")
        await asyncio.sleep(0.5)
        registry.fall_silent()
        registry.change()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(silent.answer(), 30)
        assert (await other.get("?from=1&hold_ms=1000"))[1]["rev"] == 2
        silent.close()
        await asyncio.sleep(0.1)
        assert (registry.counts.left, registry.counts.wasted) == (1, 0)

    on_service(monkeypatch, Service(), test)


def test_an_outage_resets_connections_refuses_new_ones_and_ends_at_the_same_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(registry: SlowRegistry) -> None:
        waiting = await Peer.connect(registry.endpoint)
        waiting.ask("?from=1&hold_ms=60000")
        await asyncio.sleep(0.5)
        registry.go_down()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await waiting.answer()
        with pytest.raises(ConnectionRefusedError):
            await Peer.connect(registry.endpoint)
        await asyncio.sleep(3)
        await registry.come_back()
        assert (await (await Peer.connect(registry.endpoint)).get())[0] == 200
        assert (registry.counts.cut, registry.counts.wasted) == (1, 0)

    on_service(monkeypatch, Service(), test)


class SmallWatch:
    """A watch that waits so long for an answer that need not wait, then closes and asks anew."""

    def __init__(self, patience: float, endpoint: Endpoint, seed: int, took: Took) -> None:
        self.patience, self.endpoint, self.took = patience, endpoint, took
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
                peer = await Peer.connect(self.endpoint)
                try:
                    await self._watch(peer)
                finally:
                    peer.close()
            await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def _watch(self, peer: Peer) -> None:
        """The first call on a connection asks without waiting, the next ones wait for news."""
        hold = 0.0
        while True:
            query = f"?from={self.version}&hold_ms={int(hold * 1000)}" if self.version else ""
            async with asyncio.timeout(self.patience if hold == 0 else hold + 0.7):
                status, told = await peer.get(query)
            if status != 200:
                return
            if told["rev"] > self.version:
                self.version = told["rev"]
                self.took(self.version)
            hold = HOLD


def played(monkeypatch: pytest.MonkeyPatch, plan: WatchPlan, patience: float | None = None) -> Played:
    """A whole play on the tests' clock, of routers or of small watches, that leaves nothing open."""
    found: list[Played] = []

    async def run() -> None:
        before = psutil.Process().num_fds()
        if patience is None:
            found.append(await play(plan))
        else:
            found.append(await play(plan, lambda *told: SmallWatch(patience, *told)))
        await asyncio.sleep(0.01)  # until all is read that ends a connection
        assert psutil.Process().num_fds() == before

    virtual.play(monkeypatch, run)
    return found[0]


TWO_LATE = Service(least_late=2.0, most_late=2.0)


def test_a_watch_that_gives_up_after_1300_ms_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    told = summary(played(monkeypatch, WatchPlan(10, TWO_LATE), patience=1.3))
    assert (told["breaches"], told["no_list"], told["in_time"]) == (60, 10, 0.0)
    assert told["worst_s"] is None and told["calls"]["answered"] == 0
    assert told["calls"]["wasted"] > 100


def test_a_watch_that_waits_for_a_late_answer_is_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    told = summary(played(monkeypatch, WatchPlan(10, TWO_LATE), patience=5.0))
    assert (told["breaches"], told["no_list"], told["in_time"]) == (0, 0, 1.0)
    assert told["calls"]["wasted"] == 0
    assert 2.0 < told["worst_s"] <= told["patience_s"] == uptake.TOLD_WITHIN


def test_a_router_that_misses_one_change_alone_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    result = played(monkeypatch, WatchPlan(3, Service()), patience=5.0)
    result.taken[1] = [one for one in result.taken[1] if one.version < result.changes[-1].version]
    told = summary(result)
    assert told["breaches"] == 1 and told["breaches_by_change"]["outage"] == 1
    assert told["worst"] == {"router": 1, "change": "outage"} and told["worst_s"] is None


@pytest.mark.parametrize("must_ask", [False, True])
def test_the_program_s_routers_are_in_time_before_a_prompt_service(
    monkeypatch: pytest.MonkeyPatch, must_ask: bool
) -> None:
    told = summary(played(monkeypatch, WatchPlan(5, Service(), must_ask=must_ask)))
    assert (told["breaches"], told["no_list"]) == (0, 0)
    assert told["changes"] == 6 and told["calls"]["answered"] > 5 * told["seconds"] / HOLD / 2


async def test_the_program_s_routers_take_up_lists_on_the_machine_s_own_clock() -> None:
    registry = SlowRegistry(Service(least_late=0.2, most_late=0.4), entries(5), 1)
    endpoint = await registry.start()
    versions = [0] * 5
    news = asyncio.Event()

    def took(router: int, version: int) -> None:
        versions[router] = version
        news.set()

    async def until(version: int) -> None:
        async with asyncio.timeout(PATIENCE):
            while min(versions) < version:
                news.clear()
                await news.wait()

    routers = [HollowRouter(endpoint, seed, partial(took, seed)) for seed in range(5)]
    for one in routers:
        one.start()
    await until(1)
    await until(registry.change())
    registry.fall_silent()
    registry.go_down()
    await registry.come_back()
    await until(registry.change())
    for one in routers:
        one.stop()
    await registry.close()
    assert not registry.lines and registry.counts.answered >= 15


def test_a_play_that_needs_more_descriptors_than_allowed_does_not_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1024, 1024))
    with pytest.raises(LiveError, match="520 routers need 2180 descriptors, and 1024 are allowed"):
        play_alone(WatchPlan(520, Service()))


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
def test_options_of_no_use_end_the_command_with_code_2(options: list[str], problem: str) -> None:
    done = CliRunner().invoke(main, ["watches", *options])
    assert done.exit_code == 2 and problem in done.output


def test_the_command_plays_each_pair_and_its_code_tells_whether_the_check_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    row = summary(played(monkeypatch, WatchPlan(3, TWO_LATE), patience=5.0))
    plans: list[WatchPlan] = []
    found: list[int] = []

    def play_all(asked: list[WatchPlan], jobs: int) -> list[Any]:
        plans[:] = asked
        return [{**row, "breaches": breaches} for breaches in found]

    monkeypatch.setattr(watch_commands, "play_all", play_all)
    command = ["watches", "--routers", "5,30", "--late", "2,0:4", "--more", "5x2"]
    for found[:], code in (([0, 0], 0), ([0, 1], 1)):
        done = CliRunner().invoke(main, command)
        assert done.exit_code == code
        assert [line.count("|") for line in done.output.splitlines()] == [18] * 4
    asked = [(one.routers, one.service.least_late, one.service.most_late, one.seed) for one in plans]
    assert asked == [
        (5, 2.0, 2.0, 1),
        (5, 0.0, 4.0, 1),
        (30, 2.0, 2.0, 1),
        (30, 0.0, 4.0, 1),
        (5, 2.0, 2.0, 2),
    ]
