"""A server that fails within a long answer costs that request alone."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from router_bench import MISS, Bench, Caller, Peer, hit, http, router, wait_until
from virtual_time import run_in_virtual_time

from applehub.node.resp import command
from applehub.node.stream import CHUNK_SIZE, MAX_HOLD_TIME, MERGED_SIZE

LONG = bytes(range(256)) * 1024
READ, ONCE = b"c=read,t=acme,d=9000", b"c=once,t=acme,d=9000"
LONG_READ = command(b"C.GET", b"long", b"long", READ)
LONG_READ_ONCE = command(b"C.GET", b"long", b"long", ONCE)  # not retried
BEHIND = command(b"C.SET", b"order", b"write", ONCE, b"release") + command(b"C.GET", b"k", b"read", READ)
# Bytes of the response that the server gives before it fails: the header alone, and some of the value.
GIVEN = {"header": 20, "one chunk": 10_000, "most": len(LONG) - 1000}


STEADY_PIECE, STEADY_PAUSE = 1000, 0.1  # bytes and seconds of a server that gives a value steadily


@dataclass
class LongAnswers:
    """A router whose cache server or origin gives a part of the response for the key `long`.

    given: bytes of the response that it gives to the next request.
    """

    bench: Bench
    server: Peer
    response: bytes
    given: list[int]
    started: float = 0.0  # event loop time in seconds at which the client has sent its commands

    def give_whole(self) -> None:
        """Gives the complete response to later requests."""
        self.given[0] = len(self.response)

    async def give_steadily(self, start: int, seconds: float) -> None:
        """Gives the response from the position `start` on in pieces, and the rest after some seconds."""
        writer, position = self.connection(), start
        for _ in range(round(seconds / STEADY_PAUSE)):
            writer.write(self.response[position : position + STEADY_PIECE])
            position += STEADY_PIECE
            await asyncio.sleep(STEADY_PAUSE)
        writer.write(self.response[position:])

    def connection(self) -> asyncio.StreamWriter:
        """Returns the server's side of the connection that carries the long answer."""
        received = [request[1] in (b"long", b"/long") for request in self.server.received]
        return self.server.writers[received.index(True)]

    async def caller(self, sent: bytes) -> Caller:
        """Returns a client that has sent commands, once the server has given its part of the answer."""
        caller = await self.bench.caller()
        self.started = asyncio.get_running_loop().time()
        caller.writer.write(sent)
        await asyncio.sleep(0.1)
        return caller

    async def check_released(self) -> None:
        await wait_until(lambda: not self.bench.driver.requests)
        await asyncio.sleep(MAX_HOLD_TIME)
        assert self.bench.driver.memory.used == 0


@asynccontextmanager
async def long_answers(
    given: int, from_origin: bool = False, value: bytes = LONG
) -> AsyncIterator[LongAnswers]:
    response = http(200, value) if from_origin else hit(value)
    given_next = [given]

    def cache(request: Any, writer: asyncio.StreamWriter) -> bytes:
        if request[1] != b"long":
            return hit(b"short")
        return MISS if from_origin else response[: given_next[0]]

    def origin(request: Any, writer: asyncio.StreamWriter) -> bytes:
        return response[: given_next[0]] if request[1] == b"/long" else http(200, b"receipt")

    async with router(cache, origin) as bench:
        yield LongAnswers(bench, bench.origin if from_origin else bench.cache, response, given_next)


# Guards against a write that was executed and is never answered, because a read before it was cut off.
@pytest.mark.parametrize("from_origin", [False, True], ids=["cache server", "origin"])
@pytest.mark.parametrize("given", GIVEN.values(), ids=GIVEN)
def test_answers_behind_long_answer_outlast_its_failure(
    monkeypatch: pytest.MonkeyPatch, given: int, from_origin: bool
) -> None:
    async def test() -> None:
        async with long_answers(given + 30 * from_origin, from_origin) as long:
            caller = await long.caller(LONG_READ_ONCE + BEHIND)
            await asyncio.sleep(0.2)
            long.connection().transport.abort()
            assert [str(await caller.answer()), await caller.answer(), await caller.answer()] == [
                "ERR failed", b"receipt", b"short"
            ]  # fmt: skip
            caller.get(name=b"next")
            assert await caller.answer() == b"short"
            await long.check_released()

    run_in_virtual_time(monkeypatch, test)


# Guards against a read that fails although nothing of its answer was passed on and it may be retried.
@pytest.mark.parametrize("from_origin", [False, True], ids=["cache server", "origin"])
@pytest.mark.parametrize("given", GIVEN.values(), ids=GIVEN)
def test_long_answer_that_fails_while_it_is_collected_is_retried(
    monkeypatch: pytest.MonkeyPatch, given: int, from_origin: bool
) -> None:
    async def test() -> None:
        async with long_answers(given + 30 * from_origin, from_origin) as long:
            caller = await long.caller(LONG_READ + BEHIND)
            long.give_whole()
            long.connection().transport.abort()
            assert [await caller.answer() for _ in range(3)] == [LONG, b"receipt", b"short"]
            await long.check_released()

    run_in_virtual_time(monkeypatch, test)


# Guards against answers that are lost behind a long answer whose retry fails as its first attempt did.
def test_answers_behind_long_answer_outlast_its_failure_at_each_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with long_answers(10_000) as long:
            read = command(b"C.GET", b"long", b"long", b"c=read,t=acme,d=700")
            caller = await long.caller(read + BEHIND)
            await asyncio.sleep(0.3)
            long.connection().transport.abort()
            assert str(await caller.answer()) in ("BUSY", "ERR failed")
            assert [await caller.answer(), await caller.answer()] == [b"receipt", b"short"]
            assert asyncio.get_running_loop().time() - long.started < 0.7
            await long.check_released()

    run_in_virtual_time(monkeypatch, test)


def test_command_received_in_part_before_long_answer_fails_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with long_answers(10_000) as long:
            caller = await long.caller(LONG_READ_ONCE + BEHIND[:10])
            long.connection().transport.abort()
            assert str(await caller.answer()) == "ERR failed"
            caller.writer.write(BEHIND[10:])
            assert [await caller.answer(), await caller.answer()] == [b"receipt", b"short"]
            await long.check_released()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("from_origin", [False, True], ids=["cache server", "origin"])
@pytest.mark.parametrize("pause", [0.3, 2 * MAX_HOLD_TIME], ids=["in time", "late"])
def test_long_answer_with_answers_behind_is_complete(
    monkeypatch: pytest.MonkeyPatch, from_origin: bool, pause: float
) -> None:
    async def test() -> None:
        value = LONG * 8
        async with long_answers(1_000_000, from_origin, value) as long:
            caller = await long.caller(LONG_READ + BEHIND)
            await long.give_steadily(1_000_000, pause)
            assert [await caller.answer() for _ in range(3)] == [value, b"receipt", b"short"]
            await long.check_released()

    run_in_virtual_time(monkeypatch, test)


async def time_of_first_bytes(caller: Caller) -> float:
    """Returns the seconds until an answer begins."""
    started = asyncio.get_running_loop().time()
    assert await caller.reader.read(1) == b"$"
    return asyncio.get_running_loop().time() - started


@pytest.mark.parametrize(("wait_ms", "latest"), [(9000, MAX_HOLD_TIME), (700, 0.7)])
def test_long_answer_begins_within_its_time_although_answers_wait_behind(
    monkeypatch: pytest.MonkeyPatch, wait_ms: int, latest: float
) -> None:
    async def test() -> None:
        async with long_answers(10_000) as long:
            read = command(b"C.GET", b"long", b"long", b"c=read,t=acme,d=%d" % wait_ms)
            caller = await long.caller(read + BEHIND)
            giving = asyncio.create_task(long.give_steadily(10_000, 2 * MAX_HOLD_TIME))
            assert latest - 0.25 < await time_of_first_bytes(caller) + 0.1 <= latest
            assert long.bench.driver.memory.used < CHUNK_SIZE  # only what was received is counted
            await giving

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("reason", ["nothing behind", "no memory"])
def test_long_answer_begins_at_once_if_it_is_not_collected(
    monkeypatch: pytest.MonkeyPatch, reason: str
) -> None:
    async def test() -> None:
        async with long_answers(10_000) as long:
            if reason == "no memory":
                long.bench.driver.memory.limit = len(LONG)
            caller = await long.caller(LONG_READ if reason == "nothing behind" else LONG_READ + BEHIND)
            assert await time_of_first_bytes(caller) == 0

    run_in_virtual_time(monkeypatch, test)


# Guards against commands that are executed behind an answer that is then cut off, and are never answered.
def test_commands_behind_answer_that_has_begun_wait_until_it_is_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with long_answers(10_000) as long:
            caller = await long.caller(LONG_READ)
            caller.writer.write(BEHIND)
            await asyncio.sleep(5)
            assert len(long.bench.driver.requests) == 1 and not long.bench.origin.received
            long.connection().write(long.response[10_000:])
            assert [await caller.answer() for _ in range(3)] == [LONG, b"receipt", b"short"]
            caller.writer.write(LONG_READ)
            await asyncio.sleep(0.1)
            caller.writer.write(BEHIND)
            await asyncio.sleep(5)
            long.server.writers[-1].transport.abort()
            assert await caller.answer() is None
            await long.check_released()
            assert len(long.bench.origin.received) == 1

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("client_ends", ["before", "within"], ids=["collected", "being written"])
def test_memory_of_collected_answer_is_released_when_client_disconnects(
    monkeypatch: pytest.MonkeyPatch, client_ends: str
) -> None:
    async def test() -> None:
        async with long_answers(len(LONG) // 2) as long:
            caller = await long.caller(LONG_READ + BEHIND)
            assert long.bench.driver.memory.used > len(LONG)
            if client_ends == "within":
                await asyncio.sleep(2 * MAX_HOLD_TIME)
            caller.writer.transport.abort()
            await long.check_released()
            assert not long.bench.clients.connections

    run_in_virtual_time(monkeypatch, test)


def test_collected_answer_in_short_pieces_uses_few_chunks(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with long_answers(100) as long:
            caller = await long.caller(LONG_READ + BEHIND)
            for start in range(100, 40_100, 50):
                long.connection().write(long.response[start : start + 50])
                await asyncio.sleep(0.001)
            (connection,) = long.bench.clients.connections
            stream = connection.slots[0].stream
            assert stream is not None and len(stream.chunks) <= 2 * 40_000 / MERGED_SIZE
            long.connection().write(long.response[40_100:])
            assert [await caller.answer() for _ in range(3)] == [LONG, b"receipt", b"short"]

    run_in_virtual_time(monkeypatch, test)


# Guards against answers that are lost at the exit, because a long answer before them is still collected.
def test_answers_behind_collected_answer_are_given_before_exit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with long_answers(10_000) as long:
            caller = await long.caller(LONG_READ + BEHIND)
            long.bench.driver.stop(0.5)
            assert str(await caller.answer()) == "ERR failed"
            assert [await caller.answer(), await caller.answer()] == [b"receipt", b"short"]
            assert asyncio.get_running_loop().time() - long.started <= 0.1 + 0.5
            await long.check_released()

    run_in_virtual_time(monkeypatch, test)


# Guards against answers that are lost behind a long answer whose only bytes come shortly before its time.
@pytest.mark.parametrize("delay", [0.0, 0.05, 0.1, 0.15, 0.19])
def test_answers_behind_burst_shortly_before_its_time_are_given(
    monkeypatch: pytest.MonkeyPatch, delay: float
) -> None:
    async def test() -> None:
        def cache(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            if request[1] != b"long":
                return hit(b"short")
            loop = asyncio.get_running_loop()
            for piece, part in enumerate((hit(LONG)[:10_000], hit(LONG)[10_000:20_000])):
                loop.call_later(delay + 0.02 * piece, writer.write, part)
            return None

        async with router(cache, lambda request, writer: http(200, b"receipt")) as bench:
            caller = await bench.caller()
            caller.writer.write(command(b"C.GET", b"long", b"long", b"c=read,t=acme,d=200") + BEHIND)
            started = asyncio.get_running_loop().time()
            assert str(await caller.answer()) in ("BUSY", "ERR failed")
            assert [await caller.answer(), await caller.answer()] == [b"receipt", b"short"]
            assert asyncio.get_running_loop().time() - started <= 0.2 + 0.5

    run_in_virtual_time(monkeypatch, test)
