"""A router that stands still for 0.15 s between a look at its clock and what it writes then.

The sockets are real and the clock is held by the test, so a stall takes no time of the machine: at the place
that a test names, the clock moves on by 0.15 s in one step, and what others do meanwhile is done there."""

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from peers import MISS, Bench, Caller, Peer, entry, hit, http, router
from test_told import Service
from virtual import Loop, play

from applehub.node.caches import CacheConnection
from applehub.node.call import Exchange
from applehub.node.call_schedule import HOLD
from applehub.node.clients import Slot
from applehub.node.driver import Driver
from applehub.node.origin import OriginConnection
from applehub.node.pool import Connection, Pool
from applehub.node.watch import Watch

STALL = 0.15  # s
SLACK = 0.15  # s by which a server may be told more than its client has left
WAIT = 900  # ms that the clients of these tests allow
LEFT = 0.1  # s after its client's close from which on no attempt may begin
GRACE = 0.5  # s from a change of the list in which an attempt may still begin


def now() -> float:
    return asyncio.get_running_loop().time()


def stand_still(seconds: float = STALL) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, Loop)
    loop.now += seconds


class Stalls:
    """The process stands still between the encoding of an attempt, which reads the clock for the time that is
    told, and its writing. `at` says at which attempts, counted from 1 over all servers; `meanwhile` is done
    as the stall begins."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *at: int) -> None:
        self.at, self.encoded = at, 0
        self.meanwhile: Callable[[], None] = lambda: None
        self.began: list[float] = []
        for kind in (CacheConnection, OriginConnection):
            monkeypatch.setattr(kind, "encode", self._stalling(kind.encode))

    def _stalling(self, encode: Any) -> Any:
        def stalled(connection: Connection, exchange: Exchange) -> Iterator[bytes | memoryview]:
            pieces = encode(connection, exchange)
            first = next(pieces)
            self.encoded += 1
            if self.encoded in self.at:
                self.began.append(now())
                self.meanwhile()
                stand_still()
            yield first
            yield from pieces

        return stalled


class Clock:
    """Notes when each attempt came to a peer, by its last byte."""

    def __init__(self, *peers: Peer) -> None:
        self.came: list[tuple[float, Any]] = []
        for peer in peers:
            peer.answer = self._noting(peer.answer)

    def _noting(self, answer: Any) -> Any:
        def noted(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
            self.came.append((now(), asked))
            got: bytes | None = answer(asked, line)
            return got

        return noted


def told(asked: Any) -> float:
    """The seconds that an attempt tells its server."""
    info = asked[2][b"x-call-info"] if isinstance(asked, tuple) else asked[3]
    fields = dict(one.split(b"=") for one in info.split(b","))
    return int(fields[b"d"]) / 1000


def run(monkeypatch: pytest.MonkeyPatch, test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    play(monkeypatch, test)


@pytest.mark.parametrize("at", [1, 2, 3])
def test_no_server_is_told_more_than_its_client_has_left(monkeypatch: pytest.MonkeyPatch, at: int) -> None:
    """A first attempt, one on a connection that rested, a fetch, and a further try after a break."""

    async def test() -> None:
        stalls = Stalls(monkeypatch, at)
        answers: list[Any] = [MISS, None, MISS]

        def answer(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
            if answers[0] is None:
                line.transport.abort()
            got: bytes | None = answers.pop(0)
            return got

        async with router(answer) as bench:
            clock = Clock(bench.cache, bench.origin)
            caller = await bench.caller()
            for n in range(2):
                begun = now()
                first = len(clock.came)
                caller.get(name=b"i%d" % n, info=b"c=read,t=acme,d=%d" % WAIT)
                assert await caller.answer() == b"from origin"
                for when, asked in clock.came[first:]:
                    assert told(asked) <= WAIT / 1000 - (when - begun) + SLACK
                await asyncio.sleep(0.05)
            assert stalls.began and len(clock.came) >= 4

    run(monkeypatch, test)


@pytest.mark.parametrize("rested", [False, True])
def test_no_server_is_told_more_where_the_stall_is_before_the_request_is_read(
    monkeypatch: pytest.MonkeyPatch, rested: bool
) -> None:
    """The bytes stand in the system while the process stands still."""

    async def test() -> None:
        async with router() as bench:
            clock = Clock(bench.cache)
            caller = await bench.caller()
            if rested:
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
            await asyncio.sleep(0.05)
            begun = now()
            caller.get(name=b"i1", info=b"c=read,t=acme,d=%d" % WAIT)
            stand_still()
            assert await caller.answer() == b"v"
            when, asked = clock.came[-1]
            assert told(asked) <= WAIT / 1000 - (when - begun) + SLACK

    run(monkeypatch, test)


def test_no_server_is_told_more_where_the_stall_is_between_the_decision_and_the_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        start = Pool.start

        def stalled(pool: Pool, exchange: Exchange) -> bool:
            stand_still()
            return start(pool, exchange)

        monkeypatch.setattr(Pool, "start", stalled)
        async with router() as bench:
            clock = Clock(bench.cache)
            caller = await bench.caller()
            begun = now()
            caller.get(info=b"c=read,t=acme,d=%d" % WAIT)
            assert await caller.answer() == b"v"
            ((when, asked),) = clock.came
            assert told(asked) <= WAIT / 1000 - (when - begun)

    run(monkeypatch, test)


@pytest.mark.parametrize("rested", [False, True])
@pytest.mark.parametrize("after", [0.3, 0.6, 0.8, 0.84, 0.86, 0.95, 0.99])
def test_a_repeat_begins_in_its_window(monkeypatch: pytest.MonkeyPatch, after: float, rested: bool) -> None:
    """The first attempt breaks shortly before the window is over, and the process stands still before it
    writes the second: that began 0.14 s after the window, and could run again."""
    window = 1.0

    async def test() -> None:
        broken = False

        def breaks(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
            nonlocal broken
            if broken or asked[0] == b"GET":
                return http(200, b"receipt")
            broken = True
            asyncio.get_running_loop().call_later(after, line.transport.abort)
            return None

        async with router(lambda asked, line: MISS, breaks) as bench:
            bench.driver.balancer.settings.classes[1].window = int(window * 1e9)
            if rested:  # two connections to the origin, of which the first attempt breaks one
                callers = [await bench.caller() for _ in range(2)]
                for n, caller in enumerate(callers):
                    caller.get(b"k%d" % n, b"r%d" % n)
                for caller in callers:
                    assert await caller.answer() == b"receipt"
                await asyncio.sleep(0.05)
                assert len(bench.pools.pools["o"].idle) == 2
            clock = Clock(bench.origin)
            stalls = Stalls(monkeypatch, 2)
            caller = await bench.caller()
            caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=1", b"value")
            answer = await caller.answer()
            assert answer == b"receipt" or str(answer) in ("ERR failed", "BUSY")
            begun = [when for when, _ in clock.came]
            assert begun[-1] - begun[0] < window
            assert (answer == b"receipt") == (len(begun) == 2)
            assert len(begun) == 2 or after > 0.3
            assert len(begun) == 1 or stalls.began

    run(monkeypatch, test)


@pytest.mark.parametrize("place", ["first", "rested", "fetch", "retry", "write"])
def test_no_attempt_begins_for_a_client_that_left_during_the_stall(
    monkeypatch: pytest.MonkeyPatch, place: str
) -> None:
    """It was written at the stall's end, 0.15 s after the client's close, of which nobody had read."""

    async def test() -> None:
        left = False
        answer: dict[str, Any] = {"fetch": lambda asked, line: MISS, "retry": _breaks}
        async with router(answer.get(place, lambda asked, line: hit())) as bench:
            caller = await bench.caller()
            if place == "rested":
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.05)
            stalls = Stalls(monkeypatch, 2 if place in ("fetch", "retry") else 1)

            def leave() -> None:
                nonlocal left
                left = True
                _close(caller)

            stalls.meanwhile = leave
            clock = Clock(bench.cache, bench.origin)
            if place == "write":
                caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            else:
                caller.get()
            await asyncio.sleep(1.0)
            assert left and not bench.driver.held and not bench.driver.balancer.jobs
            late = [when for when, _ in clock.came if when - stalls.began[0] > LEFT]
            assert not late
            assert bench.driver.balancer.roster.servers["c0"].out == 0
            # Who comes after is served.
            other = await bench.caller()
            other.get(b"k2", name=b"i2")
            assert await other.answer() in (b"v", b"from origin")

    run(monkeypatch, test)


def _breaks(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
    """Breaks the first attempt at each key."""
    seen = line.transport.get_extra_info("seen", None)
    if asked[1] == b"k" and seen is None:
        line.transport.abort()
        return None
    return hit()


def _close(caller: Caller) -> None:
    """Closes a client's connection in this moment: asyncio would do so in the loop's next turn."""
    line = caller.writer.transport.get_extra_info("socket")
    line.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("pipelined", [False, True])
def test_a_client_that_is_not_being_read_has_left_all_the_same(
    monkeypatch: pytest.MonkeyPatch, pipelined: bool
) -> None:
    """Its end stands behind requests that nobody has read, or behind none."""

    async def test() -> None:
        async with router(lambda asked, line: None) as bench:
            caller = await bench.caller()
            for n in range(100 if pipelined else 1):
                caller.get(b"k%d" % n, b"i%d" % n)
            await asyncio.sleep(0.02)
            clock = Clock(bench.cache, bench.origin)
            closed = now()
            _close(caller)
            stand_still()
            for line in bench.cache.lines:
                line.write(hit())
            await asyncio.sleep(1.0)
            assert all(when - closed <= LEFT for when, _ in clock.came)
            assert not bench.driver.balancer.jobs

    run(monkeypatch, test)


@pytest.mark.parametrize("how", ["Terminating", "Gone"])
@pytest.mark.parametrize("rested", [False, True])
def test_nothing_begins_at_a_draining_server_after_the_grace(
    monkeypatch: pytest.MonkeyPatch, how: str, rested: bool
) -> None:
    """Discovery writes the change as the stall begins; the attempt is written at its end, none after it."""

    async def test() -> None:
        async with router() as bench:
            service = Drains(bench, how)
            watch = Watch([await service.start()], bench.directory, 1, False)
            watch.start()
            await asyncio.wait_for(service.called.wait(), 5)
            await asyncio.sleep(0.1)
            caller = await bench.caller()
            if rested:
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.05)
            stalls = Stalls(monkeypatch, 1)
            clock = Clock(bench.cache)
            stalls.meanwhile = service.change
            for n in range(1, 50):
                caller.get(b"k%d" % n, b"i%d" % n)
                answer = await caller.answer()
                assert answer in (b"v", b"from origin") or str(answer).startswith("BUSY")
                await asyncio.sleep(0.05)
            (changed,) = stalls.began
            begun = [when - changed for when, _ in clock.came]
            assert begun[0] == pytest.approx(STALL, abs=0.01)
            assert max(begun) <= STALL + 0.1 < GRACE
            watch.stop()
            service.server.close()

    run(monkeypatch, test)


class Drains(Service):
    """Discovery that tells of one server, which begins to drain."""

    def __init__(self, bench: Bench, how: str) -> None:
        super().__init__()
        self.bench, self.to, self.rev = bench, how, 6

    async def _answer(self, writer: asyncio.StreamWriter, how: str, since: int, hold: float) -> bool:
        if since == self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), hold)
        state = "Ready" if self.rev == 6 else self.to
        targets = [
            entry("c0", self.bench.cache.address, state=state),
            entry("o", self.bench.origin.address, model="origin"),
        ]
        writer.write(http(200, json.dumps({"rev": self.rev, "all": since < 0, "targets": targets}).encode()))
        return False


def test_an_answer_is_not_lost_by_a_stall_before_it_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Up to half a second after its time an answer only earns nothing."""

    async def test() -> None:
        fill = Slot.fill

        def stalled(slot: Slot, answer: bytes) -> None:
            stand_still()
            fill(slot, answer)

        monkeypatch.setattr(Slot, "fill", stalled)
        async with router(lambda asked, line: None) as bench:
            caller = await bench.caller()
            begun = now()
            caller.get(info=b"c=once,t=acme,d=%d" % WAIT)
            assert str(await caller.answer()) == "ERR failed"
            assert now() - begun <= WAIT / 1000 + 0.5

    run(monkeypatch, test)


def test_what_is_held_at_the_end_is_answered_before_the_kill(monkeypatch: pytest.MonkeyPatch) -> None:
    """0.3 s are kept between the last answers and SIGKILL."""

    async def test() -> None:
        end = Driver._end_all

        def stalled(driver: Driver) -> None:
            stand_still()
            end(driver)

        monkeypatch.setattr(Driver, "_end_all", stalled)
        async with router(lambda asked, line: None) as bench:
            caller = await bench.caller()
            caller.get(info=b"c=read,t=acme,d=9000")
            await asyncio.sleep(0.1)
            killed = now() + 3.7
            bench.driver.stop(killed - 0.3 - now())
            answer = await caller.answer()
            assert isinstance(answer, Exception) and now() <= killed - 0.14

    run(monkeypatch, test)


@pytest.mark.parametrize("keepalive", [1.0, 3.0])
def test_nothing_is_written_to_a_connection_that_its_server_has_closed_by_then(
    monkeypatch: pytest.MonkeyPatch, keepalive: float
) -> None:
    """The connection idles for nearly as long as its server lets it, and the process stands still before it
    writes to it: between two sweeps that began on a connection that was about to be closed."""

    async def test() -> None:
        async with router(keepalive=int(keepalive * 1e9)) as bench:
            caller = await bench.caller()
            caller.get(name=b"i0")
            assert await caller.answer() == b"v"
            idle = now()
            Stalls(monkeypatch, 1)
            await asyncio.sleep(keepalive - 0.1)
            clock = Clock(bench.cache)
            caller.get(name=b"i1")
            assert await caller.answer() == b"v"
            ((when, _),) = clock.came
            assert when - idle < keepalive or len(bench.cache.lines) == 2

    run(monkeypatch, test)


def test_a_watch_goes_on_in_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next call has to come within 200 ms of the answer before it."""

    async def test() -> None:
        async with router() as bench:
            service = Drains(bench, "Terminating")
            watch = Watch([await service.start()], bench.directory, 1, False)
            take, taken = bench.directory.take, []

            def stalled(*what: Any, **more: Any) -> None:
                taken.append(now())
                stand_still()
                take(*what, **more)

            monkeypatch.setattr(bench.directory, "take", stalled)
            watch.start()
            await asyncio.sleep(3 * HOLD)
            assert len(taken) >= 2
            for when in taken:
                assert min(asked - when for asked in service.asked if asked >= when) <= 0.2
            watch.stop()
            service.server.close()

    run(monkeypatch, test)


def test_the_clock_is_the_tests_own(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        before, real = time.monotonic_ns(), time.perf_counter()
        stand_still(60.0)
        assert time.monotonic_ns() - before >= 60e9 and time.perf_counter() - real < 30

    run(monkeypatch, test)
