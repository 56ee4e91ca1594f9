"""The count of open connections is exact, and pool operations cost the same for any number of servers."""

import asyncio
import random
import socket
import sys
import time
from collections.abc import Callable, Iterator
from types import FrameType
from typing import Any

import pytest

from applehub import interface as api
from applehub.node import pool as pool_module
from applehub.node.caches import CacheConnection
from applehub.node.call import AttemptResult, Call, Exchange
from applehub.node.pool import MIN_IDLE_BEFORE_REUSE, SWEEP_INTERVAL, Connection, Pools
from applehub.node.reasons import ServerClose

SERVERS = 12
MAX_CONNECTIONS = 4
STEPS = 400
FEW_SERVERS, MANY_SERVERS = 16, 3_200
HIT = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"


class FakeTransport:
    """Replaces a connection's transport and its socket, on which nothing is received."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.closing = sock, False

    def get_extra_info(self, name: str) -> "FakeTransport":
        return self

    def fileno(self) -> int:
        return self.sock.fileno()

    def shutdown(self, how: int) -> None:
        """Does nothing, because other connections share the socket."""

    def write(self, data: bytes) -> None:
        """Accepts all data."""

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Does nothing, because nothing is buffered."""

    def resume_reading(self) -> None:
        """Does nothing, because nothing is read."""


class Network:
    """Pools whose connections are established, or fail, under control of the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.pending_connects: dict[Connection, asyncio.Future[None]] = {}
        self.created: list[Connection] = []
        self.results: list[AttemptResult] = []
        self.sockets = socket.socketpair()
        self.clock = self.loop.time()
        monkeypatch.setattr(self.loop, "create_connection", self._connect)
        monkeypatch.setattr(self.loop, "time", lambda: self.clock)
        self.pools = Pools(max_connections, 1e6, 1e6)

    async def _connect(self, create_protocol: Callable[[], Connection], host: str, port: int) -> None:
        connection, established = create_protocol(), self.loop.create_future()
        self.pending_connects[connection] = established
        await established
        connection.connection_made(FakeTransport(self.sockets[0]))  # type: ignore[arg-type]

    def add(self, name: str, port: int = 1) -> None:
        self.pools.add(name, ("127.0.0.1", port), self._create_connection)

    def _create_connection(self, pool: pool_module.Pool) -> Connection:
        connection = CacheConnection(pool)
        self.created.append(connection)
        return connection

    def start(self, name: str) -> bool:
        call = Call(b"C.GET", b"k", b"i", b"c=read", None, 0, "read", 0, None, False)
        deadline = time.monotonic_ns() + 60_000_000_000
        return self.pools.pools[name].start(Exchange(call, deadline, self.results.append))

    async def complete_connect(self, error: OSError | None = None) -> None:
        """Completes the oldest pending connect, with an error if one is given."""
        connection = next(iter(self.connecting()), None)
        if connection is None:
            return
        while connection not in self.pending_connects:
            await asyncio.sleep(0)
        established = self.pending_connects[connection]
        established.set_exception(error) if error is not None else established.set_result(None)
        assert connection.connect_task is not None
        await connection.connect_task

    def connecting(self) -> list[Connection]:
        return [connection for connection in self.open_connections() if connection.transport is None]

    def open_connections(self) -> list[Connection]:
        return [connection for connection in self.created if connection in connection.pool.connections]

    def in_flight(self) -> list[Connection]:
        """Returns the connections with a written attempt in flight."""
        return [
            connection
            for connection in self.open_connections()
            if connection.exchange is not None and not connection.unsent
        ]

    def check_counts(self) -> None:
        open_connections = self.open_connections()
        assert self.pools.open_count == len(open_connections)
        idle_connections = list(self.pools.idle)
        assert set(idle_connections) == {
            connection for connection in open_connections if connection in connection.pool.idle
        }
        assert sum(len(pool.idle) for pool in {connection.pool for connection in self.created}) == len(
            idle_connections
        )
        assert [connection.idle_since for connection in idle_connections] == sorted(
            connection.idle_since for connection in idle_connections
        )

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


@pytest.fixture
async def make_network(monkeypatch: pytest.MonkeyPatch) -> Any:
    networks: list[Network] = []

    def make(max_connections: int) -> Network:
        networks.append(Network(monkeypatch, max_connections))
        return networks[-1]

    yield make
    for network in networks:
        network.close()


async def _random_step(network: Network, rng: random.Random) -> None:
    """Applies one random operation or event."""
    name = f"c{rng.randrange(SERVERS)}"
    candidates = network.in_flight()
    connection = rng.choice(candidates) if candidates else None
    network.clock += rng.choice([0.0, MIN_IDLE_BEFORE_REUSE / 2, 0.1])
    match rng.randrange(14):
        case 0 | 1 | 2 | 12 | 13:
            if name in network.pools.pools:
                network.start(name)
        case 3 | 4:
            await network.complete_connect()
        case 5:
            await network.complete_connect(ConnectionRefusedError())
        case 6 | 7 if connection is not None:
            connection.data_received(HIT)
        case 8 if connection is not None:
            end_attempt: Callable[[], object] = rng.choice(
                [
                    connection.protocol_error,
                    connection.handle_loss,
                    lambda: connection.abort_attempt(ServerClose.TIMEOUT),
                    connection.cancel_unstarted,
                ]
            )
            end_attempt()
        case 9 if name in network.pools.pools:
            if rng.random() < 0.5:
                network.pools.pools[name].retire()
            else:
                network.pools.pools[name].close_opened_before(network.clock)
        case 10:
            network.add(name, rng.randrange(1, 4))  # replaces the pool if the endpoint differs
        case 11 if name in network.pools.pools:
            network.pools.remove(name)
            network.pools._sweep()


@pytest.mark.parametrize("seed", range(12))
async def test_count_matches_open_connections_after_random_steps(
    make_network: Callable[[int], Network], seed: int
) -> None:
    network, rng = make_network(MAX_CONNECTIONS), random.Random(seed)
    network.pools.set_timeouts(1e6, 1.0)
    peak = 0
    for number in range(SERVERS):
        network.add(f"c{number}")
    for _ in range(STEPS):
        await _random_step(network, rng)
        network.check_counts()
        peak = max(peak, network.pools.open_count)
    assert peak == MAX_CONNECTIONS  # the limit was reached and never exceeded
    for name in list(network.pools.pools):
        network.pools.remove(name)
    assert not network.connecting()
    for connection in network.in_flight():
        connection.data_received(HIT)
    assert network.pools.open_count == 0 and not network.pools.idle


@pytest.mark.parametrize("reason", ["refused", "given up", "retired", "replaced", "removed", "started anew"])
async def test_abandoned_connect_is_not_counted(make_network: Callable[[int], Network], reason: str) -> None:
    network = make_network(MAX_CONNECTIONS)
    network.add("c0")
    assert network.start("c0") and network.pools.open_count == 1
    (connection,) = network.open_connections()
    match reason:
        case "refused":
            await network.complete_connect(ConnectionRefusedError())
        case "given up":
            connection.abort_attempt(ServerClose.TIMEOUT)
        case "retired":
            network.pools.pools["c0"].retire()
        case "replaced":
            network.add("c0", 2)
        case "removed":
            network.pools.remove("c0")
        case "started anew":
            network.pools.pools["c0"].close_opened_before(network.clock + 1)
    assert network.pools.open_count == 0
    network.check_counts()


async def test_connection_of_removed_server_counts_until_response(
    make_network: Callable[[int], Network],
) -> None:
    network = make_network(1)
    network.add("c0")
    network.add("c1")
    assert network.start("c0")
    await network.complete_connect()
    (connection,) = network.in_flight()
    network.pools.remove("c0")
    assert network.pools.open_count == 1 and not network.start("c1")
    connection.data_received(HIT)
    assert network.pools.open_count == 0 and network.start("c1")


# Guards against answers of a new process that are cut off since connecting began before its start.
async def test_connection_established_after_restart_belongs_to_new_process(
    make_network: Callable[[int], Network],
) -> None:
    network = make_network(MAX_CONNECTIONS)
    network.add("c0")
    assert network.start("c0")
    network.clock += 2
    restarted_at = network.clock
    network.clock += 1
    await network.complete_connect()
    network.pools.pools["c0"].close_opened_before(restarted_at)
    (connection,) = network.in_flight()
    connection.data_received(HIT)
    assert [result.status for result in network.results] == [api.Status.OK]


def _executed_events(operation: Callable[[], object]) -> int:
    """Returns how many lines and calls of the pool module an operation executes."""
    count, previous_trace = 0, sys.gettrace()

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        if frame.f_code.co_filename != pool_module.__file__:
            return None
        count += 1
        return trace

    sys.settrace(trace)
    try:
        operation()
    finally:
        sys.settrace(previous_trace)
    return count


async def _costs(network: Network, servers: int) -> Iterator[int]:
    """Yields the cost of several operations with the given number of servers."""
    for number in range(servers):
        network.add(f"c{number}")
    for number in range(4):
        assert network.start(f"c{number}")
        await network.complete_connect()
    # At the limit, with no idle connection.
    costs = [_executed_events(lambda: network.start("c8"))]
    assert network.pools.open_count == 4 and len(network.in_flight()) == 4
    for connection in network.in_flight()[:2]:
        connection.data_received(HIT)
    costs += [
        _executed_events(lambda: network.start("c9")),  # closes the longest idle connection
        _executed_events(network.pools._sweep),
        _executed_events(lambda: network.pools.remove("c7")),
        _executed_events(lambda: network.add("c6", 2)),
    ]
    assert network.pools.open_count == 4 and len(network.pools.idle) == 1
    network.clock += network.pools.max_idle + SWEEP_INTERVAL
    costs.append(_executed_events(network.pools._sweep))
    assert network.pools.open_count == 3 and not network.pools.idle
    return iter(costs)


async def test_cost_is_independent_of_server_count(make_network: Callable[[int], Network]) -> None:
    few, many = [list(await _costs(make_network(4), servers)) for servers in (FEW_SERVERS, MANY_SERVERS)]
    assert few == many
    assert all(few)


async def test_longest_idle_connection_of_any_server_is_closed_at_limit(
    make_network: Callable[[int], Network],
) -> None:
    network = make_network(3)
    for number in range(4):
        network.add(f"c{number}")
    by_name: dict[str, Connection] = {}
    for number in range(3):
        assert network.start(f"c{number}")
        await network.complete_connect()
        (by_name[f"c{number}"],) = network.pools.pools[f"c{number}"].connections
    for name in ("c1", "c2", "c0"):
        network.clock += 1
        by_name[name].data_received(HIT)
    network.clock += 1
    assert network.start("c1")
    assert network.start("c3")
    assert by_name["c2"] not in network.open_connections() and by_name["c0"] in network.open_connections()
    assert [result.status for result in network.results] == [api.Status.OK] * 3
