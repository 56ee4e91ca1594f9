"""Complete answers that wait for earlier answers of their connection are part of the memory budget."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from router_bench import MISS, Bench, Caller, hit, http, router, wait_until
from virtual_time import run_in_virtual_time

from applehub.node import resp
from applehub.node.clients import MAX_PIPELINED_COMMANDS
from applehub.node.memory_budget import HELD_ANSWER_FRACTION, LONG_VALUE_FRACTION
from applehub.node.stream import CHUNK_SIZE

LIMIT = 4 << 20  # bytes of the memory budget
LONG = bytes(1 << 20)
SHORT = bytes(60_000)
READ_INTERVAL = 0.02  # seconds between two reads
WRITE_INFO = b"c=put,t=acme,d=9000,k=1"


def held_bytes(bench: Bench) -> int:
    """Returns the bytes of all complete answers that the router holds."""
    slots = [slot for client in bench.clients.connections for slot in client.slots]
    return sum(len(slot.answer or b"") for slot in slots)


def answer_without_length(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers reads with a long value without a length, and leaves writes pending."""
    if request[0] == b"GET":
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG)
        writer.write_eof()
    return None


async def finish_write(bench: Bench) -> None:
    """Answers the pending write."""
    number = next(n for n, request in enumerate(bench.origin.received) if request[0] == b"PUT")
    bench.origin.writers[number].write(http(200, b"receipt"))


async def send_reads(bench: Bench, caller: Caller, count: int, name: bytes = b"r") -> None:
    """Sends reads of different keys, each after the one before has its answer or was rejected."""
    for n in range(count):
        caller.get(key=b"%b%d" % (name, n), name=b"%b%d" % (name, n))
        await asyncio.sleep(READ_INTERVAL)
        assert held_bytes(bench) <= bench.driver.memory.used


# Guards against a router that is killed for memory, because long complete answers are not counted.
def test_long_answers_behind_pending_one_stay_within_memory_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS, answer_without_length) as bench:
            bench.driver.memory.limit = LIMIT
            caller = await bench.caller()
            caller.send(b"C.SET", b"w", b"w", WRITE_INFO, b"value")
            await wait_until(lambda: bench.origin.received)
            await send_reads(bench, caller, 8)
            assert 0 < held_bytes(bench) <= LIMIT * LONG_VALUE_FRACTION
            await finish_write(bench)
            answers = [await caller.answer() for _ in range(9)]
            assert answers[0] == b"receipt" and answers.count(LONG) >= 2
            assert {str(answer) for answer in answers[1:] if answer != LONG} == {"BUSY"}
            await wait_until(lambda: not bench.driver.requests)
            assert bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


# Guards against a router that is killed for memory, because many short answers are not counted.
def test_short_answers_behind_pending_ones_stay_within_memory_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer(request: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return None if request[1] == b"pending" else hit(SHORT)

    async def test() -> None:
        async with router(answer) as bench:
            bench.driver.memory.limit = LIMIT
            callers = [await bench.caller() for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.get(key=b"pending", name=b"p%d" % number)
                await asyncio.sleep(READ_INTERVAL)
                await send_reads(bench, caller, MAX_PIPELINED_COMMANDS - 1, b"%d-" % number)
            assert 0 < held_bytes(bench) <= LIMIT * HELD_ANSWER_FRACTION
            assert len(callers) * (MAX_PIPELINED_COMMANDS - 1) * len(SHORT) > LIMIT
            for writer in bench.cache.writers:
                writer.transport.abort()
            bench.cache.answer = lambda request, writer: hit(SHORT)
            answers = [await caller.answer() for caller in callers for _ in range(MAX_PIPELINED_COMMANDS)]
            assert answers.count(SHORT) > LIMIT * HELD_ANSWER_FRACTION // len(SHORT) - len(callers)
            errors = {str(answer) for answer in answers if answer != SHORT}
            assert "ERR failed" in errors and errors <= {"ERR failed", "BUSY"}
            await wait_until(lambda: not bench.driver.requests)
            assert bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


async def hold_long_answers(bench: Bench, caller: Caller) -> None:
    """Brings a router to hold two long answers behind a write."""
    caller.send(b"C.SET", b"w", b"w", WRITE_INFO, b"value")
    await wait_until(lambda: bench.origin.received)
    await send_reads(bench, caller, 2)
    assert held_bytes(bench) > 2 * len(LONG)


def test_held_answers_are_written_as_the_client_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise the transport copies all of them at once."""

    async def test() -> None:
        async with router(lambda request, writer: MISS, answer_without_length) as bench:
            caller = await bench.caller()
            await hold_long_answers(bench, caller)
            (client,) = bench.clients.connections
            assert client.transport is not None
            sizes: list[int] = []
            write = client.transport.write

            def measured_write(data: bytes) -> None:
                write(data)
                sizes.append(client.transport.get_write_buffer_size() if client.transport is not None else 0)

            monkeypatch.setattr(client.transport, "write", measured_write)
            await finish_write(bench)
            assert [await caller.answer() for _ in range(3)] == [b"receipt", LONG, LONG]
            assert len(sizes) > 2 * len(LONG) // CHUNK_SIZE and max(sizes) <= 4 * CHUNK_SIZE

    run_in_virtual_time(monkeypatch, test)


DISCONNECTS: dict[str, Callable[[Caller], object]] = {
    "closed": lambda caller: caller.writer.close(),
    "reset": lambda caller: caller.writer.transport.abort(),
    "QUIT": lambda caller: caller.writer.write(resp.command(b"QUIT")),
}


@pytest.mark.parametrize("end", DISCONNECTS)
def test_memory_of_held_answers_is_released_when_connection_ends(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS, answer_without_length) as bench:
            caller = await bench.caller()
            await hold_long_answers(bench, caller)
            DISCONNECTS[end](caller)
            await asyncio.sleep(0.1)
            await finish_write(bench)
            if end == "QUIT":
                answers = [await caller.answer() for _ in range(4)]
                assert answers == [b"receipt", LONG, LONG, b"OK"]
            await asyncio.sleep(3)
            assert not bench.driver.requests and bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)
