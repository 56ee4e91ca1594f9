"""Clients that send many commands at once do not hold up the event loop for others."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from router_bench import WAIT_TIMEOUT, Bench, hit, router, wait_until
from test_arrivals import get
from test_closes import PING, PONG, RawClient, raw_client
from virtual_time import run_in_virtual_time

from applehub.node.clients import ClientConnection
from applehub.node.command_clock import COMMAND_TIMEOUT
from applehub.node.command_turns import COMMANDS_PER_TICK, COMMANDS_PER_TURN
from applehub.node.listener import MIN_IDLE_TIME

SOCKETS = 256
BAD_CLIENTS = 40
UNKNOWN = b"*1\r\n$1\r\nx\r\n"  # a command that does not exist
UNKNOWN_ANSWER = b"-ERR unknown command\r\n"
MUCH = UNKNOWN * (64 * 1024 // len(UNKNOWN))
MAX_TICKS = 10_000  # event loop ticks that a test waits for a condition
CONNECT_TICKS = 20  # event loop ticks to accept a client, to connect to its server and to read there
# Commands of one kind, each with an answer that needs no server.
FLOODS = {
    "unknown": (UNKNOWN, UNKNOWN_ANSWER),
    "PING": (PING, PONG),
    "invalid": (b"*2\r\n$5\r\nC.GET\r\n$1\r\nk\r\n", b"-ERR wrong number of arguments\r\n"),
}


@pytest.fixture
def commands_by_tick(monkeypatch: pytest.MonkeyPatch) -> Counter[int]:
    """Counts the commands that routers process in each tick of their event loop."""
    counts: Counter[int] = Counter()
    handle_command = ClientConnection._handle_command

    def count_command(self: ClientConnection, parts: object) -> None:
        counts[self.owner.selector.poll_count] += 1
        handle_command(self, parts)

    monkeypatch.setattr(ClientConnection, "_handle_command", count_command)
    return counts


@asynccontextmanager
async def flooded_router(
    count: int = BAD_CLIENTS, flood: bytes = MUCH
) -> AsyncIterator[tuple[Bench, list[RawClient]]]:
    """Yields a router with bad clients, each of which has sent many commands that are not read yet."""
    async with router(lambda request, writer: hit(), sockets=SOCKETS) as bench:
        bad_clients = [RawClient(bench.port) for _ in range(count)]
        await wait_until(lambda: len(bench.clients.connections) == count)
        for client in bad_clients:
            assert client.sock.send(flood) == len(flood)
        yield bench, bad_clients
        for client in bad_clients:
            client.sock.close()


async def wait_for_tick(condition: Callable[[], object]) -> None:
    """Waits for a condition without a pause between two checks, as virtual time stands still in a flood."""
    for _ in range(MAX_TICKS):
        if condition():
            return
        await asyncio.sleep(0)
    raise TimeoutError("the condition did not hold in any tick")


def waiting_connections(bench: Bench) -> list[ClientConnection]:
    return [client for client in bench.clients.connections if bench.clients.turns.is_waiting(client)]


async def read_answers(client: RawClient, size: int) -> bytes:
    received = b""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while len(received) < size:
            data = await client.read(1 << 20)
            assert data
            received += data
    return received


# Guards against an event loop tick of seconds, in which no deadline of another client is kept.
@pytest.mark.parametrize("kind", FLOODS)
def test_commands_of_one_tick_are_limited_and_all_are_answered(
    monkeypatch: pytest.MonkeyPatch, commands_by_tick: Counter[int], kind: str
) -> None:
    async def test() -> None:
        command, answer = FLOODS[kind]
        count = 1000
        async with flooded_router(8, command * count) as (_, bad_clients):
            for client in bad_clients:
                assert await read_answers(client, len(answer) * count) == answer * count
        assert commands_by_tick.total() >= 8 * count
        assert max(commands_by_tick.values()) <= COMMANDS_PER_TICK

    run_in_virtual_time(monkeypatch, test)


# Guards against requests that are answered late because others' commands are processed first.
def test_request_is_forwarded_after_one_turn_of_each_flooding_client(
    monkeypatch: pytest.MonkeyPatch, commands_by_tick: Counter[int]
) -> None:
    async def test() -> None:
        async with flooded_router() as (bench, _):
            good_client = RawClient(bench.port)
            await asyncio.sleep(0)
            before = commands_by_tick.total()
            good_client.sock.sendall(get())
            await wait_for_tick(lambda: bench.cache.received)
            processed = commands_by_tick.total() - before
            # It waits for one turn of each other, and for the ticks of its two connections.
            assert processed <= BAD_CLIENTS * COMMANDS_PER_TURN + CONNECT_TICKS * COMMANDS_PER_TICK
            assert await good_client.read() == b"$1\r\nv\r\n"
            assert len(waiting_connections(bench)) > BAD_CLIENTS // 2  # the flood still goes on
            good_client.sock.close()

    run_in_virtual_time(monkeypatch, test)


def test_each_flooding_client_gets_first_answer_soon(
    monkeypatch: pytest.MonkeyPatch, commands_by_tick: Counter[int]
) -> None:
    async def test() -> None:
        async with flooded_router() as (_, bad_clients):
            for client in bad_clients:
                assert (await client.read(len(UNKNOWN_ANSWER))) == UNKNOWN_ANSWER
            assert commands_by_tick.total() < BAD_CLIENTS * len(MUCH) // len(UNKNOWN) // 4

    run_in_virtual_time(monkeypatch, test)


def test_commands_that_wait_for_their_turn_at_shutdown_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with (
            router(lambda request, writer: hit(), sockets=SOCKETS) as bench,
            raw_client(bench) as client,
        ):
            count = 3 * COMMANDS_PER_TICK
            client.sock.sendall(PING * count + get())
            await wait_for_tick(lambda: waiting_connections(bench))
            bench.clients.close()
            assert await client.read_all() == PONG * count + b"$1\r\nv\r\n"

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("end", ["closed", "reset"])
def test_connection_that_ends_while_it_waits_frees_everything(
    monkeypatch: pytest.MonkeyPatch, commands_by_tick: Counter[int], end: str
) -> None:
    async def test() -> None:
        async with flooded_router() as (bench, bad_clients):
            await wait_for_tick(lambda: waiting_connections(bench))
            for client in bad_clients:
                client.sock.shutdown(1) if end == "closed" else client.sock.close()
            await wait_until(lambda: not bench.clients.connections and not bench.clients.lingering)
            assert bench.driver.memory.used == 0
            processed = commands_by_tick.total()
            await asyncio.sleep(1)
            assert commands_by_tick.total() == processed

    run_in_virtual_time(monkeypatch, test)


def test_connection_that_waits_for_its_turn_is_neither_timed_out_nor_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(sockets=1) as bench, raw_client(bench) as client:
            (connection,) = bench.clients.connections
            monkeypatch.setattr(bench.clients.turns, "_schedule", lambda: None)  # the turn never comes
            client.sock.sendall(PING * (COMMANDS_PER_TICK + 1))
            await wait_until(lambda: bench.clients.turns.is_waiting(connection))
            await asyncio.sleep(2 * max(MIN_IDLE_TIME, COMMAND_TIMEOUT))
            assert not bench.clients.has_capacity()
            bench.clients.turns._take_turns()
            assert len(await read_answers(client, len(PONG) * (COMMANDS_PER_TICK + 1)))
            assert bench.clients.connections == {connection}

    run_in_virtual_time(monkeypatch, test)
