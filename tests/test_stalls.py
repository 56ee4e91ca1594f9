"""Stalls of the process for 0.15 s between reading the clock and writing to a socket.

The tests run in virtual time (see `virtual`): at the point of the stall the clock advances in one step, and
the test performs there what other processes do in the meantime.
"""

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from peers import MISS, Bench, Caller, Peer, entry, hit, http, router
from test_list_propagation import FaultyDiscovery
from virtual import VirtualTimeLoop, run_in_virtual_time

from applehub.node.caches import CacheConnection
from applehub.node.call import Exchange
from applehub.node.call_schedule import MAX_HOLD
from applehub.node.clients import Slot
from applehub.node.driver import Driver
from applehub.node.origin import OriginConnection
from applehub.node.pool import Connection, Pool
from applehub.node.watch import Watch

STALL_SECONDS = 0.15
MAX_EXCESS_SECONDS = 0.15  # by which a notified deadline may exceed the time that the client has left
DEADLINE_MS = 900
DETECTION_TIME = 0.1  # seconds after the client's close from which on no attempt may start
DRAIN_GRACE = 0.5  # seconds after a list update within which an attempt may still start


def now() -> float:
    return asyncio.get_running_loop().time()


def stall_process(seconds: float = STALL_SECONDS) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.now += seconds


class Stalls:
    """Stalls the process between encoding an attempt, which computes the notified deadline, and writing it.

    at: attempts at which it stalls, counted from 1 over all servers. on_stall: called when a stall starts.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *at: int) -> None:
        self.at, self.encoded = at, 0
        self.on_stall: Callable[[], None] = lambda: None
        self.started: list[float] = []
        for connection_class in (CacheConnection, OriginConnection):
            monkeypatch.setattr(connection_class, "encode", self._stalling(connection_class.encode))

    def _stalling(self, encode: Any) -> Any:
        def stalled(connection: Connection, exchange: Exchange) -> Iterator[bytes | memoryview]:
            chunks = encode(connection, exchange)
            first = next(chunks)
            self.encoded += 1
            if self.encoded in self.at:
                self.started.append(now())
                self.on_stall()
                stall_process()
            yield first
            yield from chunks

        return stalled


class AttemptTimes:
    """Records when each attempt was completely received by a server."""

    def __init__(self, *peers: Peer) -> None:
        self.received: list[tuple[float, Any]] = []
        for peer in peers:
            peer.answer = self._recording(peer.answer)

    def _recording(self, answer: Any) -> Any:
        def recorded(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            self.received.append((now(), request))
            got: bytes | None = answer(request, writer)
            return got

        return recorded


def notified_seconds(request: Any) -> float:
    """Returns the deadline, in seconds, of which an attempt notifies its server."""
    info = request[2][b"x-call-info"] if isinstance(request, tuple) else request[3]
    fields = dict(one.split(b"=") for one in info.split(b","))
    return int(fields[b"d"]) / 1000


def run(monkeypatch: pytest.MonkeyPatch, test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("at", [1, 2, 3])
def test_notified_deadline_does_not_exceed_time_left_after_stall(
    monkeypatch: pytest.MonkeyPatch, at: int
) -> None:
    """Covers a first attempt, one on a reused connection, a fetch, and a retry after a disconnect."""

    async def test() -> None:
        stalls = Stalls(monkeypatch, at)
        answers: list[Any] = [MISS, None, MISS]

        def answer(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            if answers[0] is None:
                writer.transport.abort()
            got: bytes | None = answers.pop(0)
            return got

        async with router(answer) as bench:
            attempts = AttemptTimes(bench.cache, bench.origin)
            caller = await bench.caller()
            for n in range(2):
                started = now()
                first = len(attempts.received)
                caller.get(name=b"i%d" % n, info=b"c=read,t=acme,d=%d" % DEADLINE_MS)
                assert await caller.answer() == b"from origin"
                for when, request in attempts.received[first:]:
                    assert (
                        notified_seconds(request)
                        <= DEADLINE_MS / 1000 - (when - started) + MAX_EXCESS_SECONDS
                    )
                await asyncio.sleep(0.05)
            assert stalls.started and len(attempts.received) >= 4

    run(monkeypatch, test)


@pytest.mark.parametrize("reused", [False, True])
def test_notified_deadline_is_bounded_for_stall_before_request_is_read(
    monkeypatch: pytest.MonkeyPatch, reused: bool
) -> None:
    """The bytes wait in the kernel while the process stalls."""

    async def test() -> None:
        async with router() as bench:
            attempts = AttemptTimes(bench.cache)
            caller = await bench.caller()
            if reused:
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
            await asyncio.sleep(0.05)
            started = now()
            caller.get(name=b"i1", info=b"c=read,t=acme,d=%d" % DEADLINE_MS)
            stall_process()
            assert await caller.answer() == b"v"
            when, request = attempts.received[-1]
            assert notified_seconds(request) <= DEADLINE_MS / 1000 - (when - started) + MAX_EXCESS_SECONDS

    run(monkeypatch, test)


def test_notified_deadline_is_bounded_for_stall_between_decision_and_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        start = Pool.start

        def stalled(pool: Pool, exchange: Exchange) -> bool:
            stall_process()
            return start(pool, exchange)

        monkeypatch.setattr(Pool, "start", stalled)
        async with router() as bench:
            attempts = AttemptTimes(bench.cache)
            caller = await bench.caller()
            started = now()
            caller.get(info=b"c=read,t=acme,d=%d" % DEADLINE_MS)
            assert await caller.answer() == b"v"
            ((when, request),) = attempts.received
            assert notified_seconds(request) <= DEADLINE_MS / 1000 - (when - started)

    run(monkeypatch, test)


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize("after", [0.3, 0.6, 0.8, 0.84, 0.86, 0.95, 0.99])
def test_retry_starts_within_its_window(monkeypatch: pytest.MonkeyPatch, after: float, reused: bool) -> None:
    """The first attempt fails shortly before the window ends, and the process stalls before the retry.

    A retry after the window could be executed twice.
    """
    window = 1.0

    async def test() -> None:
        failed = False

        def fail_first(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal failed
            if failed or request[0] == b"GET":
                return http(200, b"receipt")
            failed = True
            asyncio.get_running_loop().call_later(after, writer.transport.abort)
            return None

        async with router(lambda request, writer: MISS, fail_first) as bench:
            bench.driver.balancer.settings.classes[1].idempotency_window = int(window * 1e9)
            if reused:  # two connections to the origin, one of which fails with the first attempt
                callers = [await bench.caller() for _ in range(2)]
                for n, caller in enumerate(callers):
                    caller.get(b"k%d" % n, b"r%d" % n)
                for caller in callers:
                    assert await caller.answer() == b"receipt"
                await asyncio.sleep(0.05)
                assert len(bench.pools.pools["o"].idle) == 2
            attempts = AttemptTimes(bench.origin)
            stalls = Stalls(monkeypatch, 2)
            caller = await bench.caller()
            caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=1", b"value")
            answer = await caller.answer()
            assert answer == b"receipt" or str(answer) in ("ERR failed", "BUSY")
            started = [when for when, _ in attempts.received]
            assert started[-1] - started[0] < window
            assert (answer == b"receipt") == (len(started) == 2)
            assert len(started) == 2 or after > 0.3
            assert len(started) == 1 or stalls.started

    run(monkeypatch, test)


@pytest.mark.parametrize("place", ["first", "reused", "fetch", "retry", "write"])
def test_no_attempt_starts_for_client_that_left_during_stall(
    monkeypatch: pytest.MonkeyPatch, place: str
) -> None:
    """The client's close is not read yet when the stall ends."""

    async def test() -> None:
        left = False
        answer: dict[str, Any] = {"fetch": lambda request, writer: MISS, "retry": _abort_attempt}
        async with router(answer.get(place, lambda request, writer: hit())) as bench:
            caller = await bench.caller()
            if place == "reused":
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.05)
            stalls = Stalls(monkeypatch, 2 if place in ("fetch", "retry") else 1)

            def leave() -> None:
                nonlocal left
                left = True
                _close_now(caller)

            stalls.on_stall = leave
            attempts = AttemptTimes(bench.cache, bench.origin)
            if place == "write":
                caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            else:
                caller.get()
            await asyncio.sleep(1.0)
            assert left and not bench.driver.requests and not bench.driver.balancer.jobs
            late = [when for when, _ in attempts.received if when - stalls.started[0] > DETECTION_TIME]
            assert not late
            assert bench.driver.balancer.server_table.servers["c0"].in_flight == 0
            # Other clients are served.
            other = await bench.caller()
            other.get(b"k2", name=b"i2")
            assert await other.answer() in (b"v", b"from origin")

    run(monkeypatch, test)


def _abort_attempt(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
    """Aborts the connection of an attempt for the key `k`."""
    seen = writer.transport.get_extra_info("seen", None)
    if request[1] == b"k" and seen is None:
        writer.transport.abort()
        return None
    return hit()


def _close_now(caller: Caller) -> None:
    """Closes a client's connection immediately; asyncio would do so in the next tick."""
    sock = caller.writer.transport.get_extra_info("socket")
    sock.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("pipelined", [False, True])
def test_disconnect_of_paused_client_is_detected_after_stall(
    monkeypatch: pytest.MonkeyPatch, pipelined: bool
) -> None:
    """The end of the stream is behind unread requests, or behind none."""

    async def test() -> None:
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            for n in range(100 if pipelined else 1):
                caller.get(b"k%d" % n, b"i%d" % n)
            await asyncio.sleep(0.02)
            attempts = AttemptTimes(bench.cache, bench.origin)
            closed = now()
            _close_now(caller)
            stall_process()
            for writer in bench.cache.writers:
                writer.write(hit())
            await asyncio.sleep(1.0)
            assert all(when - closed <= DETECTION_TIME for when, _ in attempts.received)
            assert not bench.driver.balancer.jobs

    run(monkeypatch, test)


@pytest.mark.parametrize("how", ["Terminating", "Gone"])
@pytest.mark.parametrize("reused", [False, True])
def test_no_attempt_starts_at_draining_server_after_grace_period(
    monkeypatch: pytest.MonkeyPatch, how: str, reused: bool
) -> None:
    """Discovery sends the update when the stall starts; only the stalled attempt is sent after it."""

    async def test() -> None:
        async with router() as bench:
            service = DrainingDiscovery(bench, how)
            watch = Watch([await service.start()], bench.directory, 1, False)
            watch.start()
            await asyncio.wait_for(service.call_event.wait(), 5)
            await asyncio.sleep(0.1)
            caller = await bench.caller()
            if reused:
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.05)
            stalls = Stalls(monkeypatch, 1)
            attempts = AttemptTimes(bench.cache)
            stalls.on_stall = service.change
            for n in range(1, 50):
                caller.get(b"k%d" % n, b"i%d" % n)
                answer = await caller.answer()
                assert answer in (b"v", b"from origin") or str(answer).startswith("BUSY")
                await asyncio.sleep(0.05)
            (changed,) = stalls.started
            started = [when - changed for when, _ in attempts.received]
            assert started[0] == pytest.approx(STALL_SECONDS, abs=0.01)
            assert max(started) <= STALL_SECONDS + 0.1 < DRAIN_GRACE
            watch.stop()
            service.server.close()

    run(monkeypatch, test)


class DrainingDiscovery(FaultyDiscovery):
    """Discovery with one server, which starts to drain."""

    def __init__(self, bench: Bench, how: str) -> None:
        super().__init__()
        self.bench, self.to, self.rev = bench, how, 6

    async def _answer(self, writer: asyncio.StreamWriter, how: str, since: int, hold: float) -> bool:
        if since == self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change_event.wait(), hold)
        state = "Ready" if self.rev == 6 else self.to
        targets = [
            entry("c0", self.bench.cache.address, state=state),
            entry("o", self.bench.origin.address, model="origin"),
        ]
        writer.write(http(200, json.dumps({"rev": self.rev, "all": since < 0, "targets": targets}).encode()))
        return False


def test_answer_is_not_lost_by_stall_before_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """An answer may be up to half a second late."""

    async def test() -> None:
        fill = Slot.fill

        def stalled(slot: Slot, answer: bytes) -> None:
            stall_process()
            fill(slot, answer)

        monkeypatch.setattr(Slot, "fill", stalled)
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            started = now()
            caller.get(info=b"c=once,t=acme,d=%d" % DEADLINE_MS)
            assert str(await caller.answer()) == "ERR failed"
            assert now() - started <= DEADLINE_MS / 1000 + 0.5

    run(monkeypatch, test)


def test_requests_in_flight_at_stop_are_answered_before_sigkill(monkeypatch: pytest.MonkeyPatch) -> None:
    """The router reserves 0.3 s between the last answers and SIGKILL."""

    async def test() -> None:
        end = Driver._end_all

        def stalled(driver: Driver) -> None:
            stall_process()
            end(driver)

        monkeypatch.setattr(Driver, "_end_all", stalled)
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get(info=b"c=read,t=acme,d=9000")
            await asyncio.sleep(0.1)
            killed = now() + 3.7
            bench.driver.stop(killed - 0.3 - now())
            answer = await caller.answer()
            assert isinstance(answer, Exception) and now() <= killed - 0.14

    run(monkeypatch, test)


@pytest.mark.parametrize("keepalive", [1.0, 3.0])
def test_idle_connection_is_not_used_after_keepalive_timeout(
    monkeypatch: pytest.MonkeyPatch, keepalive: float
) -> None:
    """The connection is idle for almost its keepalive timeout, then the process stalls before a write."""

    async def test() -> None:
        async with router(keepalive=int(keepalive * 1e9)) as bench:
            caller = await bench.caller()
            caller.get(name=b"i0")
            assert await caller.answer() == b"v"
            idle = now()
            Stalls(monkeypatch, 1)
            await asyncio.sleep(keepalive - 0.1)
            attempts = AttemptTimes(bench.cache)
            caller.get(name=b"i1")
            assert await caller.answer() == b"v"
            ((when, _),) = attempts.received
            assert when - idle < keepalive or len(bench.cache.writers) == 2

    run(monkeypatch, test)


def test_next_watch_call_is_in_time_after_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next call has to start within 200 ms of the previous answer."""

    async def test() -> None:
        async with router() as bench:
            service = DrainingDiscovery(bench, "Terminating")
            watch = Watch([await service.start()], bench.directory, 1, False)
            take, taken_at = bench.directory.apply, []

            def stalled(*what: Any, **more: Any) -> None:
                taken_at.append(now())
                stall_process()
                take(*what, **more)

            monkeypatch.setattr(bench.directory, "apply", stalled)
            watch.start()
            await asyncio.sleep(3 * MAX_HOLD)
            assert len(taken_at) >= 2
            for when in taken_at:
                assert min(request - when for request in service.call_times if request >= when) <= 0.2
            watch.stop()
            service.server.close()

    run(monkeypatch, test)


def test_stall_uses_virtual_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        before, real = time.monotonic_ns(), time.perf_counter()
        stall_process(60.0)
        assert time.monotonic_ns() - before >= 60e9 and time.perf_counter() - real < 30

    run(monkeypatch, test)
