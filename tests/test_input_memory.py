"""What clients send and do not read takes memory within the budget, however many they are."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from router_bench import Bench, hit, http, router, wait_until
from test_arrivals import get
from test_closes import PING, PONG, RawClient
from test_command_turns import UNKNOWN, UNKNOWN_ANSWER, read_answers
from virtual_time import run_in_virtual_time

from applehub.node.clients import FREE_INPUT, ClientConnection
from applehub.node.memory_budget import INPUT_FRACTION
from applehub.node.resp import MAX_BUFFERED_VALUE, command

LIMIT = 4 << 20  # bytes of the memory budget
BAD_CLIENTS = 100
SMALL_LIMIT, FEW_CLIENTS = 1 << 19, 20
PINGS = 60_000 // len(PING)  # commands that a client sends at once
ROUNDS, UNREAD_COMMANDS = 50, 100  # rounds in which clients send commands, and commands of one
PART = 60_000  # bytes that a bad client sends of a command
PIECES = 4  # in which it sends them
ANSWER_TIME = 3.0  # seconds within which a bad client gets an error or a close
LONG = bytes(1 << 20)
INFO = b"c=once,t=acme,d=9000"
LONG_WRITE = command(b"C.SET", b"order", b"write", INFO, LONG)
# Parts of commands that are never completed.
PARTS = {
    "key": b"*4\r\n$5\r\nC.GET\r\n$65536\r\n" + b"k" * PART,
    "value": b"*5\r\n" + command(b"C.SET", b"k", b"i", INFO)[4:] + b"$65536\r\n" + b"v" * PART,
    "unknown": b"*2\r\n$65536\r\n" + b"x" * PART,
}


class HighestUse:
    """Records the highest use of a router's memory budget."""

    def __init__(self, bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
        self.bytes = 0
        memory = bench.driver.memory
        memory.limit = LIMIT
        add: Callable[[int], None] = memory.add

        def recorded_add(change: int) -> None:
            add(change)
            self.bytes = max(self.bytes, memory.used)

        monkeypatch.setattr(memory, "add", recorded_add)


@asynccontextmanager
async def limited_router(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[Bench, HighestUse]]:
    def answer(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
        return None if request[1] == b"pending" else hit()

    async with router(answer, lambda request, writer: http(200, b"receipt"), sockets=256) as bench:
        yield bench, HighestUse(bench, monkeypatch)


async def send_in_pieces(client: RawClient, data: bytes) -> None:
    size = len(data) // PIECES + 1
    for start in range(0, len(data), size):
        await asyncio.get_running_loop().sock_sendall(client.sock, data[start : start + size])
        await asyncio.sleep(0.02)


async def send_part_and_stay(bench: Bench, part: bytes) -> bytes:
    """Sends a part of a command; returns what the router sends up to its close."""
    client = RawClient(bench.port)
    try:
        await send_in_pieces(client, part)
        async with asyncio.timeout(ANSWER_TIME):
            return await client.read_all()
    finally:
        client.sock.close()


# Guards against a router that is killed for memory, as many clients send a part of a command each and stay.
@pytest.mark.parametrize("part", PARTS.values(), ids=PARTS)
def test_parts_of_commands_stay_within_memory_budget(monkeypatch: pytest.MonkeyPatch, part: bytes) -> None:
    async def test() -> None:
        assert BAD_CLIENTS * PART > LIMIT and len(part) < MAX_BUFFERED_VALUE
        async with limited_router(monkeypatch) as (bench, highest_use):
            writer = await bench.caller()
            writer.writer.write(LONG_WRITE[: len(LONG)])
            await wait_until(lambda: bench.driver.memory.used >= len(LONG))
            bad_clients = [asyncio.create_task(send_part_and_stay(bench, part)) for _ in range(BAD_CLIENTS)]
            await asyncio.sleep(0.1)
            writer.writer.write(LONG_WRITE[len(LONG) :])
            assert await writer.answer() == b"receipt"
            errors = await asyncio.gather(*bad_clients)
            assert all(error.startswith(b"-") and error.endswith(b"\r\n") for error in errors)
            assert highest_use.bytes <= LIMIT * INPUT_FRACTION + 2 * FREE_INPUT * BAD_CLIENTS <= LIMIT
            await wait_until(lambda: not bench.driver.memory.used)

    run_in_virtual_time(monkeypatch, test)


def test_short_requests_are_served_while_parts_of_commands_use_the_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with limited_router(monkeypatch) as (bench, _):
            part = PARTS["key"]
            bad_clients = [asyncio.create_task(send_part_and_stay(bench, part)) for _ in range(BAD_CLIENTS)]
            await wait_until(lambda: bench.driver.memory.room(INPUT_FRACTION) < PART)
            client = RawClient(bench.port)
            for number in range(20):
                client.sock.sendall(get(b"i%d" % number))
                assert await client.read() == b"$1\r\nv\r\n"
            assert bench.driver.memory.room(INPUT_FRACTION) < PART
            client.sock.close()
            await asyncio.gather(*bad_clients)

    run_in_virtual_time(monkeypatch, test)


def test_rejected_client_gets_earlier_answers_and_no_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with limited_router(monkeypatch) as (bench, _):
            client = RawClient(bench.port)
            client.sock.sendall(get(key=b"pending"))
            await wait_until(lambda: len(bench.cache.received) == 1)
            bench.driver.memory.add(LIMIT)
            await send_in_pieces(client, PARTS["key"])
            await asyncio.sleep(0.1)
            bench.cache.writers[0].write(hit())
            await send_in_pieces(client, b"k" * 1_000_000)  # read and discarded
            assert await client.read_all() == b"$1\r\nv\r\n-BUSY\r\n"
            client.sock.close()
            await wait_until(lambda: not bench.clients.lingering)
            assert bench.driver.memory.used == LIMIT

    run_in_virtual_time(monkeypatch, test)


async def test_write_without_memory_is_rejected_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async with limited_router(monkeypatch) as (bench, _):
        client = RawClient(bench.port)
        write = command(b"C.SET", b"k", b"i", INFO, b"v" * PART)
        await send_in_pieces(client, write[: PART // 2])
        assert bench.driver.memory.used >= PART // 2
        bench.driver.memory.add(LIMIT)
        await send_in_pieces(client, write[PART // 2 :] + PING)
        assert await client.read() == b"-BUSY\r\n" + PONG
        assert bench.driver.memory.used == LIMIT and not bench.origin.received
        bench.driver.memory.add(-LIMIT)
        await send_in_pieces(client, write)
        assert await client.read() == b"$7\r\nreceipt\r\n"
        client.sock.close()


# Guards against memory for complete commands that wait to be processed.
def test_commands_that_wait_stay_within_memory_budget_and_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with limited_router(monkeypatch) as (bench, highest_use):
            bench.driver.memory.limit = SMALL_LIMIT
            clients = [RawClient(bench.port) for _ in range(FEW_CLIENTS)]
            await wait_until(lambda: len(bench.clients.connections) == FEW_CLIENTS)
            with monkeypatch.context() as patch:
                patch.setattr(bench.clients.turns, "_schedule", lambda: None)  # no turn comes
                for client in clients:
                    client.sock.sendall(PING * PINGS)
                await asyncio.sleep(1)
            waiting = sum(len(connection.frames.buffer) for connection in bench.clients.connections)
            assert SMALL_LIMIT // 2 < waiting <= highest_use.bytes <= SMALL_LIMIT
            assert waiting < FEW_CLIENTS * len(PING) * PINGS // 2
            bench.clients.turns._schedule()
            for client in clients:
                assert await read_answers(client, len(PONG) * PINGS) == PONG * PINGS
                client.sock.close()

    run_in_virtual_time(monkeypatch, test)


class UnreadingClient(RawClient):
    """A client for which the kernel holds few answers."""

    def __init__(self, port: int) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setblocking(False)


# Guards against memory for answers that their clients do not read.
async def test_unread_answers_stay_within_memory_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    connection_made = ClientConnection.connection_made

    def make_connection(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # the kernel holds little

    monkeypatch.setattr(ClientConnection, "connection_made", make_connection)
    async with limited_router(monkeypatch) as (bench, highest_use):
        bench.driver.memory.limit = SMALL_LIMIT
        clients = [UnreadingClient(bench.port) for _ in range(FEW_CLIENTS)]
        for _ in range(ROUNDS):  # a little at a time, so that no input waits
            for client in clients:
                client.sock.send(UNKNOWN * UNREAD_COMMANDS)
            await asyncio.sleep(0.01)
        # Each connection waits for its client in the end, since it has more answers than all buffers hold.
        await wait_until(lambda: all(connection.write_paused for connection in bench.clients.connections))
        assert SMALL_LIMIT // 2 < highest_use.bytes <= SMALL_LIMIT
        other = RawClient(bench.port)
        other.sock.sendall(PING)
        assert await other.read() == PONG
        other.sock.close()
        size = len(UNKNOWN_ANSWER) * UNREAD_COMMANDS * ROUNDS
        await asyncio.gather(*[read_answers(client, size) for client in clients])
        for client in clients:
            client.sock.close()
        await wait_until(lambda: not bench.clients.connections)
        assert not bench.driver.memory.used
