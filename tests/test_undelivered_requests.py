"""Requests that the router has passed to the kernel and that their server has not received.

The servers stop reading, so that a long value stays in the send queue of the router's socket.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest
from router_bench import Bench, entry, http, router, start_server_with_small_buffer, wait_until
from virtual_time import run_in_virtual_time

LONG = 2 << 20  # bytes; fits into the send queue of a socket
LONGER = 8 << 20  # bytes; does not
READER_LIMIT = 64 * 1024  # bytes that the origin's stream reader buffers
RECEIVE_BUFFER = 64 * 1024  # bytes of SO_RCVBUF at the origin
WINDOW = 0.6  # seconds for which the origin remembers an idempotency key
DETECTION_TIME = 0.1  # seconds after a client's close from which on no attempt may begin
STALL = 0.15  # seconds of the window that are left for a pause of the process


class HoldingOrigin:
    """An origin that reads the head of each request and leaves the value unread while `reading` is cleared.

    complete: times (event loop time, seconds) at which a request was completely read. broken: number of
    requests whose connection ended before.
    """

    def __init__(self) -> None:
        self.reading = asyncio.Event()
        self.reading.set()
        self.heads = 0
        self.complete: list[float] = []
        self.broken = 0
        self.abort_after_first: Callable[[], None] | None = None
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.server, self.address = await start_server_with_small_buffer(
            self._serve, RECEIVE_BUFFER, READER_LIMIT
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.heads += 1
                    await self.reading.wait()
                    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                    await reader.readexactly(length)
                    self.complete.append(asyncio.get_running_loop().time())
                    if len(self.complete) == 1 and self.abort_after_first is not None:
                        self.abort_after_first()
                        writer.transport.abort()
                        return
                    writer.write(http(200, b"receipt"))
            except (asyncio.IncompleteReadError, ConnectionError):
                self.broken += 1
        writer.close()

    async def stop(self) -> None:
        assert self.server is not None
        self.reading.set()
        self.server.close()


@asynccontextmanager
async def router_before_origin() -> AsyncIterator[tuple[Bench, HoldingOrigin]]:
    """Yields a router whose keyed class has a window of WINDOW seconds, and its origin."""
    origin = HoldingOrigin()
    await origin.start()
    async with router(
        entries=lambda cache, _: [entry("c0", cache.address), entry("o", origin.address, model="origin")]
    ) as bench:
        bench.driver.balancer.settings.classes[1].idempotency_window = int(WINDOW * 1e9)
        yield bench, origin
        await origin.stop()


def run(monkeypatch: pytest.MonkeyPatch, test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    run_in_virtual_time(monkeypatch, test)


def write_command(size: int) -> tuple[bytes, ...]:
    return b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=1", bytes(size)


# Guards against a keyed write that runs twice, because a server receives the rest of its retry late.
@pytest.mark.parametrize("size", [LONG, LONGER])
def test_retry_is_not_completed_after_idempotency_window(monkeypatch: pytest.MonkeyPatch, size: int) -> None:
    async def test() -> None:
        async with router_before_origin() as (bench, origin):
            origin.abort_after_first = origin.reading.clear
            caller = await bench.caller()
            caller.send(*write_command(size))
            await wait_until(lambda: origin.heads == 2)
            await asyncio.sleep(2 * WINDOW)
            origin.reading.set()
            assert str(await caller.answer()) == "ERR failed"
            await wait_until(lambda: origin.broken)
            assert len(origin.complete) == 1

    run(monkeypatch, test)


# Guards against a keyed write that runs a second time, because its aborted first attempt arrives late.
@pytest.mark.parametrize("size", [LONG, LONGER])
def test_attempt_that_timed_out_is_not_completed_later(monkeypatch: pytest.MonkeyPatch, size: int) -> None:
    async def test() -> None:
        async with router_before_origin() as (bench, origin):
            request_class = bench.driver.balancer.settings.classes[1]
            request_class.latency_objective, request_class.late_weight = int(WINDOW * 5e8), 0.0
            origin.reading.clear()
            caller = await bench.caller()
            caller.send(*write_command(size))
            assert str(await caller.answer()) in ("ERR failed", "BUSY")
            origin.reading.set()
            await wait_until(lambda: origin.broken == origin.heads)
            assert not origin.complete

    run(monkeypatch, test)


# Guards against a write that is executed for a client that has left, because the rest of it arrives late.
@pytest.mark.parametrize("size", [LONG, LONGER])
def test_attempt_is_not_completed_after_its_client_has_left(
    monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    async def test() -> None:
        async with router_before_origin() as (bench, origin):
            origin.reading.clear()
            caller = await bench.caller()
            caller.send(*write_command(size))
            await wait_until(lambda: origin.heads)
            caller.writer.close()
            await asyncio.sleep(DETECTION_TIME)
            origin.reading.set()
            await wait_until(lambda: origin.broken or origin.complete)
            assert not origin.complete and not bench.driver.requests

    run(monkeypatch, test)


@pytest.mark.parametrize("size", [100, LONG])
def test_retry_that_was_received_in_time_is_answered_after_window(
    monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """Only the receipt of the complete request counts, not that of its answer."""

    async def test() -> None:
        async with router_before_origin() as (bench, origin):
            origin.abort_after_first = lambda: None
            answer = asyncio.Event()
            write = asyncio.StreamWriter.write

            def write_later(writer: asyncio.StreamWriter, data: bytes) -> None:
                if b"receipt" in data:
                    asyncio.get_running_loop().call_later(2 * WINDOW, write, writer, data)
                    answer.set()
                else:
                    write(writer, data)

            monkeypatch.setattr(asyncio.StreamWriter, "write", write_later)
            caller = await bench.caller()
            caller.send(*write_command(size))
            await answer.wait()
            assert await caller.answer() == b"receipt"
            assert len(origin.complete) == 2 and origin.complete[1] - origin.complete[0] < WINDOW - STALL

    run(monkeypatch, test)
