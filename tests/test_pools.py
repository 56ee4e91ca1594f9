"""The count of connections, and what a dial costs, however many servers there are."""

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
from applehub.node import pool as module
from applehub.node.caches import CacheConnection
from applehub.node.call import AttemptResult, Call, Exchange
from applehub.node.pool import MIN_IDLE_BEFORE_REUSE, SWEEP_INTERVAL, Connection, Pools

SERVERS = 12
MOST = 4
STEPS = 400
FEW, MANY = 16, 3_200  # servers
HIT = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"


class Wire:
    """What stands for a connection's transport and its socket, on which nothing comes."""

    def __init__(self, line: socket.socket) -> None:
        self.line, self.closing = line, False

    def get_extra_info(self, name: str) -> "Wire":
        return self

    def fileno(self) -> int:
        return self.line.fileno()

    def shutdown(self, how: int) -> None:
        """Ends this one alone: the others share its line."""

    def write(self, data: bytes) -> None:
        """Takes all of it."""

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Nothing waits here."""

    def resume_reading(self) -> None:
        """Nothing is read here."""


class Network:
    """Connections that come up, or fail to, when the test says so; and the pools before them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, most: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.dials: dict[Connection, asyncio.Future[None]] = {}
        self.seen: list[Connection] = []
        self.results: list[AttemptResult] = []
        self.lines = socket.socketpair()
        self.clock = self.loop.time()
        monkeypatch.setattr(self.loop, "create_connection", self._connect)
        monkeypatch.setattr(self.loop, "time", lambda: self.clock)
        self.pools = Pools(most, 1e6, 1e6)

    async def _connect(self, make: Callable[[], Connection], host: str, port: int) -> None:
        connection, up = make(), self.loop.create_future()
        self.dials[connection] = up
        await up
        connection.connection_made(Wire(self.lines[0]))  # type: ignore[arg-type]

    def add(self, name: str, port: int = 1) -> None:
        self.pools.add(name, ("127.0.0.1", port), self._make)

    def _make(self, pool: module.Pool) -> Connection:
        connection = CacheConnection(pool)
        self.seen.append(connection)
        return connection

    def start(self, name: str) -> bool:
        call = Call(b"C.GET", b"k", b"i", b"c=read", None, 0, "read", 0, None, False)
        deadline = time.monotonic_ns() + 60_000_000_000
        return self.pools.pools[name].start(Exchange(call, deadline, self.results.append))

    async def come_up(self, problem: OSError | None = None) -> None:
        """The oldest dial that is out ends."""
        dialled = next(iter(self.dialling()), None)
        if dialled is None:
            return
        while dialled not in self.dials:
            await asyncio.sleep(0)
        up = self.dials[dialled]
        up.set_exception(problem) if problem is not None else up.set_result(None)
        assert dialled.connect_task is not None
        await dialled.connect_task

    def dialling(self) -> list[Connection]:
        return [one for one in self.held() if one.transport is None]

    def held(self) -> list[Connection]:
        return [one for one in self.seen if one in one.pool.connections]

    def answering(self) -> list[Connection]:
        """Connections with an attempt out that has been written."""
        return [one for one in self.held() if one.exchange is not None and not one.unsent]

    def check(self) -> None:
        held = self.held()
        assert self.pools.open_count == len(held)
        idle = list(self.pools.idle)
        assert set(idle) == {one for one in held if one in one.pool.idle}
        assert sum(len(one.idle) for one in {one.pool for one in self.seen}) == len(idle)
        assert [one.idle_since for one in idle] == sorted(one.idle_since for one in idle)

    def close(self) -> None:
        for line in self.lines:
            line.close()


@pytest.fixture
async def network(monkeypatch: pytest.MonkeyPatch) -> Any:
    made: list[Network] = []

    def make(most: int) -> Network:
        made.append(Network(monkeypatch, most))
        return made[-1]

    yield make
    for one in made:
        one.close()


async def _step(one: Network, dice: random.Random) -> None:
    """One thing that may happen to connections, drawn."""
    name = f"c{dice.randrange(SERVERS)}"
    some = one.answering()
    picked = dice.choice(some) if some else None
    one.clock += dice.choice([0.0, MIN_IDLE_BEFORE_REUSE / 2, 0.1])
    match dice.randrange(14):
        case 0 | 1 | 2 | 12 | 13:
            if name in one.pools.pools:
                one.start(name)
        case 3 | 4:
            await one.come_up()
        case 5:
            await one.come_up(ConnectionRefusedError())
        case 6 | 7 if picked is not None:
            picked.data_received(HIT)
        case 8 if picked is not None:
            way = dice.choice(["protocol_error", "handle_loss", "abort_attempt", "cancel_unstarted"])
            getattr(picked, way)()
        case 9 if name in one.pools.pools:
            if dice.random() < 0.5:
                one.pools.pools[name].retire()
            else:
                one.pools.pools[name].close_opened_before(one.clock)
        case 10:
            one.add(name, dice.randrange(1, 4))  # at another endpoint it takes the place of the old
        case 11 if name in one.pools.pools:
            one.pools.remove(name)
            one.pools._sweep()


@pytest.mark.parametrize("seed", range(12))
async def test_the_count_is_that_of_the_connections_whatever_becomes_of_them(
    network: Callable[[int], Network], seed: int
) -> None:
    one, dice = network(MOST), random.Random(seed)
    one.pools.set_timeouts(1e6, 1.0)
    most = 0
    for number in range(SERVERS):
        one.add(f"c{number}")
    for _ in range(STEPS):
        await _step(one, dice)
        one.check()
        most = max(most, one.pools.open_count)
    assert most == MOST  # the limit was reached, and never passed
    for name in list(one.pools.pools):
        one.pools.remove(name)
    assert not one.dialling()
    for connection in one.answering():
        connection.data_received(HIT)
    assert one.pools.open_count == 0 and not one.pools.idle


@pytest.mark.parametrize("way", ["refused", "given up", "retired", "replaced", "removed", "started anew"])
async def test_a_dial_that_leads_nowhere_is_counted_no_more(
    network: Callable[[int], Network], way: str
) -> None:
    one = network(MOST)
    one.add("c0")
    assert one.start("c0") and one.pools.open_count == 1
    (connection,) = one.held()
    match way:
        case "refused":
            await one.come_up(ConnectionRefusedError())
        case "given up":
            connection.abort_attempt()
        case "retired":
            one.pools.pools["c0"].retire()
        case "replaced":
            one.add("c0", 2)
        case "removed":
            one.pools.remove("c0")
        case "started anew":
            one.pools.pools["c0"].close_opened_before(one.clock + 1)
    assert one.pools.open_count == 0
    one.check()


async def test_a_connection_of_a_server_that_left_counts_until_its_answer(
    network: Callable[[int], Network],
) -> None:
    one = network(1)
    one.add("c0")
    one.add("c1")
    assert one.start("c0")
    await one.come_up()
    (connection,) = one.answering()
    one.pools.remove("c0")
    assert one.pools.open_count == 1 and not one.start("c1")
    connection.data_received(HIT)
    assert one.pools.open_count == 0 and one.start("c1")


def _events(work: Callable[[], object]) -> int:
    """How many lines and calls of the module a piece of work takes."""
    count, before = 0, sys.gettrace()

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        if frame.f_code.co_filename != module.__file__:
            return None
        count += 1
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


async def _costs(one: Network, servers: int) -> Iterator[int]:
    """What each of a few things costs where so many servers are listed."""
    for number in range(servers):
        one.add(f"c{number}")
    for number in range(4):
        assert one.start(f"c{number}")
        await one.come_up()
    costs = [_events(lambda: one.start("c8"))]  # full, and none is idle
    assert one.pools.open_count == 4 and len(one.answering()) == 4
    for connection in one.answering()[:2]:
        connection.data_received(HIT)
    costs += [
        _events(lambda: one.start("c9")),  # the longest idle one makes room
        _events(one.pools._sweep),
        _events(lambda: one.pools.remove("c7")),
        _events(lambda: one.add("c6", 2)),
    ]
    assert one.pools.open_count == 4 and len(one.pools.idle) == 1
    one.clock += one.pools.max_idle + SWEEP_INTERVAL
    costs.append(_events(one.pools._sweep))
    assert one.pools.open_count == 3 and not one.pools.idle
    return iter(costs)


async def test_what_a_dial_costs_does_not_grow_with_the_servers(network: Callable[[int], Network]) -> None:
    few, many = [list(await _costs(network(4), servers)) for servers in (FEW, MANY)]
    assert few == many
    assert all(few)


async def test_the_connection_that_idled_longest_makes_room_whichever_server_it_leads_to(
    network: Callable[[int], Network],
) -> None:
    one = network(3)
    for number in range(4):
        one.add(f"c{number}")
    by_name: dict[str, Connection] = {}
    for number in range(3):
        assert one.start(f"c{number}")
        await one.come_up()
        (by_name[f"c{number}"],) = one.pools.pools[f"c{number}"].connections
    for name in ("c1", "c2", "c0"):
        one.clock += 1
        by_name[name].data_received(HIT)
    one.clock += 1
    assert one.start("c1")  # idle no more
    assert one.start("c3")
    assert by_name["c2"] not in one.held() and by_name["c0"] in one.held()
    assert [result.status for result in one.results] == [api.Status.OK] * 3
