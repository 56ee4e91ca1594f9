"""No attempt starts later than 0.1 s after a client has disconnected, however its connection ended."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from router_bench import MISS, Bench, Caller, hit, http, router
from virtual_time import run_in_virtual_time

from applehub.node import clients, delivery_watch, resp

DETECTION_TIME = 0.1  # seconds after a disconnect from which on no attempt may start


def disconnect(caller: Caller, ending: str) -> None:
    """Closes or resets a client's connection, or shuts down only its sending side."""
    sock = caller.writer.transport.get_extra_info("socket")
    if ending == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    elif ending == "ends its sending":
        sock.shutdown(socket.SHUT_WR)
        return
    caller.writer.transport.abort()


async def check_nothing_starts(
    bench: Bench, caller: Caller, ending: str, trigger: Callable[[], Any] = lambda: None
) -> None:
    """Disconnects the client, waits, calls `trigger` and checks that no attempt starts any more."""
    disconnect(caller, ending)
    await asyncio.sleep(DETECTION_TIME)
    attempts_before = len(bench.cache.received) + len(bench.origin.received)
    trigger()
    await asyncio.sleep(2 * delivery_watch.WRITE_STALL_TIMEOUT)
    assert len(bench.cache.received) + len(bench.origin.received) == attempts_before
    assert not bench.driver.requests and bench.driver.memory.used == 0 and not bench.driver.balancer.jobs


def answer_all(bench: Bench, answer: bytes) -> Callable[[], None]:
    def write_answer() -> None:
        for writer in bench.cache.writers:
            if not writer.transport.is_closing():
                writer.write(answer)

    return write_answer


DISCONNECTS = pytest.mark.parametrize("ending", ["closes", "resets", "ends its sending"])


@DISCONNECTS
def test_commands_behind_full_pipeline_are_not_processed(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    """Reading is paused, so the end of the stream is not read."""

    async def test() -> None:
        async with router(lambda request, writer: None, sockets=256) as bench:
            caller = await bench.caller()
            for n in range(3 * clients.MAX_PIPELINED_COMMANDS):
                caller.get(name=b"i%d" % n)
            await asyncio.sleep(0.01)
            (client,) = bench.clients.connections
            assert len(client.slots) == clients.MAX_PIPELINED_COMMANDS and client.frames.buffer
            await check_nothing_starts(bench, caller, ending, answer_all(bench, hit()))

    run_in_virtual_time(monkeypatch, test)


@DISCONNECTS
def test_miss_is_not_forwarded_when_client_leaves_behind_full_pipeline(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    """The end of the stream follows unread input, so that only a poll of the socket detects it."""

    async def test() -> None:
        async with router(lambda request, writer: None, sockets=256) as bench:
            caller = await bench.caller()
            for n in range(clients.MAX_PIPELINED_COMMANDS):
                caller.get(name=b"i%d" % n)
            await asyncio.sleep(0.01)
            caller.get(name=b"unread")
            await asyncio.sleep(0.01)
            await check_nothing_starts(bench, caller, ending, answer_all(bench, MISS))

    run_in_virtual_time(monkeypatch, test)


@DISCONNECTS
def test_disconnect_of_client_that_reads_nothing_is_detected(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    """Unread answers must not keep the connection and the requests behind them alive."""

    async def test() -> None:
        async with router(
            lambda request, writer: hit(bytes(resp.MAX_LONG_VALUE)) if request[2] == b"big" else None,
            sockets=256,
        ) as bench:
            caller = await bench.caller()
            caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
            caller.get(name=b"big")
            for n in range(8):
                caller.get(name=b"i%d" % n)
            await asyncio.sleep(0.1)
            (client,) = bench.clients.connections
            assert client.write_paused
            await check_nothing_starts(bench, caller, ending, answer_all(bench, MISS))

    run_in_virtual_time(monkeypatch, test)


@DISCONNECTS
def test_disconnect_after_quit_is_detected(monkeypatch: pytest.MonkeyPatch, ending: str) -> None:
    async def test() -> None:
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get()
            caller.send(b"QUIT")
            await asyncio.sleep(0.01)
            await check_nothing_starts(bench, caller, ending, answer_all(bench, MISS))

    run_in_virtual_time(monkeypatch, test)


@DISCONNECTS
def test_request_waiting_for_token_is_dropped(monkeypatch: pytest.MonkeyPatch, ending: str) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS, origin=lambda request, writer: http(503)) as bench:
            first_caller = await bench.caller()
            balancer = bench.driver.balancer
            n = 0
            while balancer.monitor.throttle is None:
                n += 1
                first_caller.get(b"k%d" % n, b"a%d" % n)
                await first_caller.answer()
                await asyncio.sleep(0.5)
                assert n < 40
            throttle = balancer.monitor.throttle
            throttle.rate, throttle.level = 0.5, 0
            caller = await bench.caller()
            caller.get(b"fresh", b"waits")
            await asyncio.sleep(0.01)
            assert "waits" in throttle.queue
            await check_nothing_starts(bench, caller, ending)

    run_in_virtual_time(monkeypatch, test)


@DISCONNECTS
def test_write_waiting_for_retry_is_dropped(monkeypatch: pytest.MonkeyPatch, ending: str) -> None:
    async def test() -> None:
        async with router(origin=lambda request, writer: http(503, b"", b"X-Rejected: 1\r\n")) as bench:
            caller = await bench.caller()
            caller.send(b"C.SET", b"k", b"w", b"c=put,t=acme,d=9000,k=1", b"value")
            await asyncio.sleep(0.05)
            assert len(bench.origin.received) == 1 and bench.driver.requests
            await check_nothing_starts(bench, caller, ending)

    run_in_virtual_time(monkeypatch, test)


@DISCONNECTS
def test_request_waiting_for_fetch_of_another_is_dropped(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS, origin=lambda request, writer: None) as bench:
            fetcher, caller = await bench.caller(), await bench.caller()
            fetcher.get(name=b"i1")
            await asyncio.sleep(0.01)
            caller.get(name=b"i2")
            await asyncio.sleep(0.01)
            assert len(bench.origin.received) == 1
            disconnect(caller, ending)
            await asyncio.sleep(DETECTION_TIME)
            attempts_before = len(bench.cache.received)
            # The fetch fails and is retried only for the client that started it.
            bench.origin.writers[0].transport.abort()
            await asyncio.sleep(8)
            request_ids = [request[2][b"x-call-id"] for request in bench.origin.received]
            assert set(request_ids) == {b"i1"} and len(bench.cache.received) == attempts_before

    run_in_virtual_time(monkeypatch, test)


def test_many_simultaneous_disconnects_are_all_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda request, writer: None, sockets=256) as bench:
            callers = [await bench.caller() for _ in range(20)]
            for index, caller in enumerate(callers):
                for n in range(40):
                    caller.get(name=b"i%d-%d" % (index, n))
            await asyncio.sleep(0.01)
            for caller in callers[1:]:
                disconnect(caller, "closes")
            await check_nothing_starts(bench, callers[0], "closes", answer_all(bench, MISS))

    run_in_virtual_time(monkeypatch, test)


async def test_completely_sent_attempt_continues_after_disconnect() -> None:
    """The connection stays reusable; closing it would cost another handshake."""
    async with router(lambda request, writer: None) as bench:
        caller = await bench.caller()
        caller.get()
        while not bench.cache.received:
            await asyncio.sleep(0)
        disconnect(caller, "closes")
        while bench.driver.requests["i1"].open:
            await asyncio.sleep(0)
        bench.cache.writers[0].write(hit())
        while bench.driver.requests:
            await asyncio.sleep(0)
        assert bench.pools.pools["c0"].idle and not bench.cache.closed_connections
