"""Stalls of the process for 0.15 s between reading the clock and writing to a socket.

The tests run in virtual time (see `virtual_time`): at the point of the stall the clock advances in one step,
and the test performs there what other processes do in the meantime.
"""

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from router_bench import MISS, Bench, Caller, Peer, entry, hit, http, router
from test_list_propagation import FaultyDiscovery
from virtual_time import VirtualTimeLoop, run_in_virtual_time

from applehub.node.answer_slot import Slot
from applehub.node.caches import CacheConnection
from applehub.node.call import Exchange
from applehub.node.call_schedule import MAX_HOLD
from applehub.node.driver import Driver
from applehub.node.origin import OriginConnection
from applehub.node.pool import Connection, Pool
from applehub.node.watch import Watch

STALL_SECONDS = 0.15  # default duration of a stall
MAX_EXCESS_SECONDS = 0.15  # maximum excess of a notified deadline over the client's remaining time
DEADLINE_MS = 900
DETECTION_TIME = 0.1  # seconds after a client's close from which on no attempt may start
DRAIN_GRACE = 0.5  # seconds after a list update within which an attempt may still start


def now() -> float:
    return asyncio.get_running_loop().time()


def stall_process(seconds: float = STALL_SECONDS) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.now += seconds


class Stalls:
    """Stalls the process between encoding an attempt, which computes the notified deadline, and writing it.

    stalled_attempts: numbers of the attempts at which it stalls, counted from 1 over all servers.
    on_stall: called when a stall starts.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *stalled_attempts: int) -> None:
        self.stalled_attempts, self.encoded = stalled_attempts, 0
        self.on_stall: Callable[[], None] = lambda: None
        self.stall_times: list[float] = []
        for connection_class in (CacheConnection, OriginConnection):
            monkeypatch.setattr(connection_class, "encode", self._stalling(connection_class.encode))

    def _stalling(self, encode: Any) -> Any:
        def stalled(connection: Connection, exchange: Exchange) -> Iterator[bytes | memoryview]:
            chunks = encode(connection, exchange)
            first = next(chunks)
            self.encoded += 1
            if self.encoded in self.stalled_attempts:
                self.stall_times.append(now())
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
        def record_and_answer(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            self.received.append((now(), request))
            answered: bytes | None = answer(request, writer)
            return answered

        return record_and_answer


def notified_seconds(request: Any) -> float:
    """Returns the deadline, in seconds, of which an attempt notifies its server."""
    info = request[2][b"x-call-info"] if isinstance(request, tuple) else request[3]
    fields = dict(one.split(b"=") for one in info.split(b","))
    return int(fields[b"d"]) / 1000


def run(monkeypatch: pytest.MonkeyPatch, test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("stalled_attempt", [1, 2, 3])
def test_notified_deadline_does_not_exceed_time_left_after_stall(
    monkeypatch: pytest.MonkeyPatch, stalled_attempt: int
) -> None:
    """Covers a first attempt, an attempt on a reused connection, a fetch, and a retry after a disconnect."""

    async def test() -> None:
        stalls = Stalls(monkeypatch, stalled_attempt)
        answers: list[Any] = [MISS, None, MISS]

        def answer(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            if answers[0] is None:
                writer.transport.abort()
            scripted: bytes | None = answers.pop(0)
            return scripted

        async with router(answer) as bench:
            attempts = AttemptTimes(bench.cache, bench.origin)
            caller = await bench.caller()
            for n in range(2):
                started_at = now()
                first_index = len(attempts.received)
                caller.get(name=b"i%d" % n, info=b"c=read,t=acme,d=%d" % DEADLINE_MS)
                assert await caller.answer() == b"from origin"
                for received_at, request in attempts.received[first_index:]:
                    assert (
                        notified_seconds(request)
                        <= DEADLINE_MS / 1000 - (received_at - started_at) + MAX_EXCESS_SECONDS
                    )
                await asyncio.sleep(0.05)
            assert stalls.stall_times and len(attempts.received) >= 4

    run(monkeypatch, test)


@pytest.mark.parametrize("reused", [False, True])
def test_notified_deadline_is_bounded_for_stall_before_request_is_read(
    monkeypatch: pytest.MonkeyPatch, reused: bool
) -> None:
    """The request waits in the kernel while the process stalls."""

    async def test() -> None:
        async with router() as bench:
            attempts = AttemptTimes(bench.cache)
            caller = await bench.caller()
            if reused:
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
            await asyncio.sleep(0.05)
            started_at = now()
            caller.get(name=b"i1", info=b"c=read,t=acme,d=%d" % DEADLINE_MS)
            stall_process()
            assert await caller.answer() == b"v"
            received_at, request = attempts.received[-1]
            assert (
                notified_seconds(request)
                <= DEADLINE_MS / 1000 - (received_at - started_at) + MAX_EXCESS_SECONDS
            )

    run(monkeypatch, test)


def test_notified_deadline_is_bounded_for_stall_between_decision_and_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        start = Pool.start

        def stall_and_start(pool: Pool, exchange: Exchange) -> bool:
            stall_process()
            return start(pool, exchange)

        monkeypatch.setattr(Pool, "start", stall_and_start)
        async with router() as bench:
            attempts = AttemptTimes(bench.cache)
            caller = await bench.caller()
            started_at = now()
            caller.get(info=b"c=read,t=acme,d=%d" % DEADLINE_MS)
            assert await caller.answer() == b"v"
            ((received_at, request),) = attempts.received
            assert notified_seconds(request) <= DEADLINE_MS / 1000 - (received_at - started_at)

    run(monkeypatch, test)


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize("failure_delay", [0.3, 0.6, 0.8, 0.84, 0.86, 0.95, 0.99])
def test_retry_starts_within_its_window(
    monkeypatch: pytest.MonkeyPatch, failure_delay: float, reused: bool
) -> None:
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
            asyncio.get_running_loop().call_later(failure_delay, writer.transport.abort)
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
            attempt_times = [received_at for received_at, _ in attempts.received]
            assert attempt_times[-1] - attempt_times[0] < window
            assert (answer == b"receipt") == (len(attempt_times) == 2)
            assert len(attempt_times) == 2 or failure_delay > 0.3
            assert len(attempt_times) == 1 or stalls.stall_times

    run(monkeypatch, test)


@pytest.mark.parametrize("stalled_at", ["first", "reused", "fetch", "retry", "write"])
def test_no_attempt_starts_for_client_that_left_during_stall(
    monkeypatch: pytest.MonkeyPatch, stalled_at: str
) -> None:
    """The client's close is not read yet when the stall ends."""

    async def test() -> None:
        disconnected = False
        answers_by_place: dict[str, Any] = {"fetch": lambda request, writer: MISS, "retry": _abort_attempt}
        async with router(answers_by_place.get(stalled_at, lambda request, writer: hit())) as bench:
            caller = await bench.caller()
            if stalled_at == "reused":
                caller.get(name=b"i0")
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.05)
            stalls = Stalls(monkeypatch, 2 if stalled_at in ("fetch", "retry") else 1)

            def disconnect() -> None:
                nonlocal disconnected
                disconnected = True
                _close_now(caller)

            stalls.on_stall = disconnect
            attempts = AttemptTimes(bench.cache, bench.origin)
            if stalled_at == "write":
                caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            else:
                caller.get()
            await asyncio.sleep(1.0)
            assert disconnected and not bench.driver.requests and not bench.driver.balancer.jobs
            late_attempts = [
                received_at
                for received_at, _ in attempts.received
                if received_at - stalls.stall_times[0] > DETECTION_TIME
            ]
            assert not late_attempts
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
    """The end of the stream follows unread requests or, if `pipelined` is false, no unread data."""

    async def test() -> None:
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            for n in range(100 if pipelined else 1):
                caller.get(b"k%d" % n, b"i%d" % n)
            await asyncio.sleep(0.02)
            attempts = AttemptTimes(bench.cache, bench.origin)
            closed_at = now()
            _close_now(caller)
            stall_process()
            for writer in bench.cache.writers:
                writer.write(hit())
            await asyncio.sleep(1.0)
            assert all(received_at - closed_at <= DETECTION_TIME for received_at, _ in attempts.received)
            assert not bench.driver.balancer.jobs

    run(monkeypatch, test)


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
@pytest.mark.parametrize("reused", [False, True])
def test_no_attempt_starts_at_draining_server_after_grace_period(
    monkeypatch: pytest.MonkeyPatch, state: str, reused: bool
) -> None:
    """Discovery sends the update when the stall starts; only the stalled attempt is sent after the update."""

    async def test() -> None:
        async with router() as bench:
            service = DrainingDiscovery(bench, state)
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
            (changed_at,) = stalls.stall_times
            attempt_delays = [received_at - changed_at for received_at, _ in attempts.received]
            assert attempt_delays[0] == pytest.approx(STALL_SECONDS, abs=0.01)
            assert max(attempt_delays) <= STALL_SECONDS + 0.1 < DRAIN_GRACE
            watch.stop()
            service.server.close()

    run(monkeypatch, test)


class DrainingDiscovery(FaultyDiscovery):
    """A discovery service that lists one cache server, which starts to drain or is removed."""

    def __init__(self, bench: Bench, final_state: str) -> None:
        super().__init__()
        self.bench, self.final_state, self.rev = bench, final_state, 6

    async def _answer(self, writer: asyncio.StreamWriter, behaviour: str, since: int, hold: float) -> bool:
        if since == self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change_event.wait(), hold)
        state = "Ready" if self.rev == 6 else self.final_state
        targets = [
            entry("c0", self.bench.cache.address, state=state),
            entry("o", self.bench.origin.address, model="origin"),
        ]
        writer.write(http(200, json.dumps({"rev": self.rev, "all": since < 0, "targets": targets}).encode()))
        return False


def test_answer_is_not_lost_by_stall_before_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """An answer may arrive up to half a second after the deadline."""

    async def test() -> None:
        set_answer = Slot.set_answer

        def stall_and_set_answer(slot: Slot, answer: bytes) -> None:
            stall_process()
            set_answer(slot, answer)

        monkeypatch.setattr(Slot, "set_answer", stall_and_set_answer)
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            started_at = now()
            caller.get(info=b"c=once,t=acme,d=%d" % DEADLINE_MS)
            assert str(await caller.answer()) == "ERR failed"
            assert now() - started_at <= DEADLINE_MS / 1000 + 0.5

    run(monkeypatch, test)


def test_requests_in_flight_at_stop_are_answered_before_sigkill(monkeypatch: pytest.MonkeyPatch) -> None:
    """The router reserves 0.3 s between the last answers and SIGKILL."""

    async def test() -> None:
        fail_all = Driver._fail_all

        def stall_and_fail(driver: Driver) -> None:
            stall_process()
            fail_all(driver)

        monkeypatch.setattr(Driver, "_fail_all", stall_and_fail)
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get(info=b"c=read,t=acme,d=9000")
            await asyncio.sleep(0.1)
            killed_at = now() + 3.7
            bench.driver.stop(killed_at - 0.3 - now())
            answer = await caller.answer()
            assert isinstance(answer, Exception) and now() <= killed_at - 0.14

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
            idle_since = now()
            Stalls(monkeypatch, 1)
            await asyncio.sleep(keepalive - 0.1)
            attempts = AttemptTimes(bench.cache)
            caller.get(name=b"i1")
            assert await caller.answer() == b"v"
            ((received_at, _),) = attempts.received
            assert received_at - idle_since < keepalive or len(bench.cache.writers) == 2

    run(monkeypatch, test)


def test_next_watch_call_is_in_time_after_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next call has to start within 200 ms of the previous answer."""

    async def test() -> None:
        async with router() as bench:
            service = DrainingDiscovery(bench, "Terminating")
            watch = Watch([await service.start()], bench.directory, 1, False)
            apply, answer_times = bench.directory.apply, []

            def stall_and_apply(*args: Any, **kwargs: Any) -> None:
                answer_times.append(now())
                stall_process()
                apply(*args, **kwargs)

            monkeypatch.setattr(bench.directory, "apply", stall_and_apply)
            watch.start()
            await asyncio.sleep(3 * MAX_HOLD)
            assert len(answer_times) >= 2
            for answered_at in answer_times:
                assert (
                    min(
                        called_at - answered_at
                        for called_at in service.call_times
                        if called_at >= answered_at
                    )
                    <= 0.2
                )
            watch.stop()
            service.server.close()

    run(monkeypatch, test)


def test_stall_uses_virtual_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        virtual_before, real_before = time.monotonic_ns(), time.perf_counter()
        stall_process(60.0)
        assert time.monotonic_ns() - virtual_before >= 60e9 and time.perf_counter() - real_before < 30

    run(monkeypatch, test)
