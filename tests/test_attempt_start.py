"""Attempts that wait for a connection must not start once it is established if they have become invalid.

While the connection is established, the server may start to drain, the client may disconnect, or the window
for a retry may end. The tests control when the connection is established.
"""

import asyncio
import time
from typing import Any

import pytest
from router_bench import MISS, Bench, entry, hit, router
from virtual_time import run_in_virtual_time

from applehub import interface as api
from applehub.node.pool import Connection, Pool

CONNECT_TIME = 1.5  # seconds that a connection to a server takes to be established


def delay_connects(monkeypatch: pytest.MonkeyPatch, delay: float = CONNECT_TIME) -> list[int]:
    """Delays all later connections to servers; returns the ports connected to, in order."""
    connect = Pool._open_connection
    connected_ports: list[int] = []

    async def connect_slowly(pool: Pool, connection: Connection) -> None:
        connected_ports.append(pool.endpoint[1])
        await asyncio.sleep(delay)
        await connect(pool, connection)

    monkeypatch.setattr(Pool, "_open_connection", connect_slowly)
    return connected_ports


def update_server(bench: Bench, rev: int, **fields: Any) -> None:
    changed_entry = entry("c0", bench.cache.address, **fields)
    bench.directory.apply({"rev": rev, "all": False, "targets": [changed_entry]})


@pytest.mark.parametrize(
    "changes", [{"state": "Terminating"}, {"state": "Gone"}, {"endpoint": "127.0.0.1:1"}], ids=str
)
@pytest.mark.parametrize("delay", [0.0, 0.7, 1.49])
def test_server_removed_during_connect_receives_no_attempt(
    monkeypatch: pytest.MonkeyPatch, changes: dict[str, str], delay: float
) -> None:
    async def test() -> None:
        delay_connects(monkeypatch)
        async with router() as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(delay)
            update_server(bench, 6, **changes)
            # Nothing was executed, so the request is rejected or served by the origin, without waiting for
            # the connection.
            started_at = asyncio.get_running_loop().time()
            answer = await caller.answer()
            assert answer == b"from origin" or str(answer).startswith("BUSY")
            assert asyncio.get_running_loop().time() - started_at <= CONNECT_TIME + 0.1
            await asyncio.sleep(2 * CONNECT_TIME)
            assert not bench.cache.received
            assert all(pool.connections == set() for name, pool in bench.pools.pools.items() if name != "o")

    run_in_virtual_time(monkeypatch, test)


def test_attempt_cancelled_by_drain_is_sent_to_another_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """An attempt that a pool cancels is assigned to another server of the new list."""

    async def test() -> None:
        delay_connects(monkeypatch)
        names = ["c0", "c1"]
        async with router(entries=lambda cache, _: [entry(name, cache.address) for name in names]) as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(0.5)
            (first_server,) = [name for name, pool in bench.pools.pools.items() if pool.connections]
            draining_entry = entry(first_server, bench.cache.address, state="Terminating")
            bench.directory.apply({"rev": 6, "all": False, "targets": [draining_entry]})
            assert await caller.answer() == b"v"
            (second_server,) = [name for name, pool in bench.pools.pools.items() if pool.connections]
            assert second_server != first_server and len(bench.cache.received) == 1

    run_in_virtual_time(monkeypatch, test)


def test_server_excluded_by_operator_during_connect_receives_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        delay_connects(monkeypatch)
        async with router() as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(0.5)
            bench.driver.notify(api.ServerOverride("c0", True, 1))
            bench.directory.set_excluded("c0", True)
            answer = await caller.answer()
            assert answer == b"from origin" or str(answer).startswith("BUSY")
            await asyncio.sleep(2 * CONNECT_TIME)
            assert not bench.cache.received

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("delay", [0.0, 0.7, 1.49])
@pytest.mark.parametrize("write", [False, True])
def test_attempt_of_disconnected_client_is_not_written(
    monkeypatch: pytest.MonkeyPatch, write: bool, delay: float
) -> None:
    async def test() -> None:
        delay_connects(monkeypatch)
        async with router() as bench:
            caller = await bench.caller()
            if write:
                caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            else:
                caller.get()
            await asyncio.sleep(delay)
            caller.writer.close()
            await asyncio.sleep(2 * CONNECT_TIME)
            assert not bench.cache.received and not bench.origin.received and not bench.driver.requests
            # The next client's request is served.
            other = await bench.caller()
            other.get(name=b"i2")
            assert await other.answer() == b"v"

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("window", [1.0, 2.0])
def test_retry_is_not_started_after_its_window(monkeypatch: pytest.MonkeyPatch, window: float) -> None:
    """A retry is not started if its connection is established after the window."""

    async def test() -> None:
        async with router(origin=lambda request, writer: writer.transport.abort()) as bench:
            settings = bench.driver.balancer.settings
            settings.classes[1].idempotency_window = int(window * 1e9)
            caller = await bench.caller()
            started_at = time.monotonic_ns()
            caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            await asyncio.sleep(0.01)
            assert len(bench.origin.received) == 1
            connected_ports = delay_connects(monkeypatch)
            answer = await caller.answer()
            assert connected_ports and str(answer) in ("ERR failed", "BUSY")
            assert len(bench.origin.received) == (1 if window < CONNECT_TIME else 2)
            assert time.monotonic_ns() - started_at < 9e9

    run_in_virtual_time(monkeypatch, test)


def test_origin_read_is_retried_if_connection_breaks_before_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS) as bench:
            connect = Pool._open_connection
            broken: list[Connection] = []

            async def break_first_connection(pool: Pool, connection: Connection) -> None:
                if pool is bench.pools.pools["o"] and not broken:
                    broken.append(connection)
                    connection.accepted = True
                    connection.handle_loss()
                    return
                await connect(pool, connection)

            monkeypatch.setattr(Pool, "_open_connection", break_first_connection)
            caller = await bench.caller()
            caller.get()
            assert await caller.answer() == b"from origin"
            assert len(broken) == 1 and len(bench.origin.received) == 1

    run_in_virtual_time(monkeypatch, test)


def test_started_attempt_completes_while_server_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(0.01)
            update_server(bench, 6, state="Terminating")
            await asyncio.sleep(1.0)
            bench.cache.writers[0].write(hit())
            assert await caller.answer() == b"v"

    run_in_virtual_time(monkeypatch, test)


def test_disconnects_during_slow_origin_connect_do_not_start_throttle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests cancelled by their clients do not count as failures of the origin."""

    async def test() -> None:
        async with router(lambda request, writer: MISS) as bench:
            connect = Pool._open_connection

            async def connect_slowly_to_origin(pool: Pool, connection: Connection) -> None:
                if pool is bench.pools.pools["o"]:
                    await asyncio.sleep(CONNECT_TIME)
                await connect(pool, connection)

            monkeypatch.setattr(Pool, "_open_connection", connect_slowly_to_origin)
            monitor = bench.driver.balancer.monitor
            for n in range(40):
                caller = await bench.caller()
                caller.get(b"k%d" % n, b"i%d" % n)
                await asyncio.sleep(0.05)
                caller.writer.close()
                await asyncio.sleep(0.01)
                assert monitor.unhealthy_count == 0 and monitor.throttle is None
            assert not bench.origin.received and not bench.driver.requests

    run_in_virtual_time(monkeypatch, test)
