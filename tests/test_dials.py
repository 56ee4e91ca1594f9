"""Connections that cannot be opened because a system call fails on the router's own machine.

No failure is attributed to a server, and requests are served as soon as the machine has recovered. The tests
use real sockets and a simulated clock.
"""

import asyncio
from typing import Any, cast

import pytest
from router_bench import Bench, Caller, Web, entry, hit, http, router
from virtual_time import run_in_virtual_time

from applehub import interface as api
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.node.reasons import ServerClose
from applehub.policy.servers import Server

LOCAL_ERRORS = [
    ("socket", "EMFILE"),
    ("socket", "ENFILE"),
    ("socket", "ENOBUFS"),
    ("socket", "ENOMEM"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENOBUFS"),
    ("connect", "EAGAIN"),
]
NO_ROUTE_ERRORS = [
    ("connect", "ENETUNREACH"),
    ("connect", "ENETDOWN"),
    ("connect", "EHOSTUNREACH"),
    ("getsockopt", "EHOSTUNREACH"),
]
FAULT_DURATION = 0.3  # seconds that the fault lasts
CALLERS = 300  # number of clients, each with one request
MAX_RECOVERY_TIME = 0.06  # seconds; the longest backoff plus the time of an answer


def server(bench: Bench, name: str = "c0") -> Server:
    return bench.driver.balancer.server_table.servers[name]


def servers_with_failures(bench: Bench) -> list[str]:
    servers = bench.driver.balancer.server_table.servers
    return [
        name
        for name, server in servers.items()
        if server.failures or server.broken_attempts or server.refused_connects or server.timeouts
    ]


def fault(call: str, error: str, **when: Any) -> SystemCallFault:
    return SystemCallFault(cast(SystemCall, call), error, **when)


async def send_requests(bench: Bench, callers: list[Caller], operation: bytes = b"get") -> None:
    """Sends one request per client, each with its own key.

    The requests are sent in small groups, because a burst would be rejected.
    """
    for n, caller in enumerate(callers):
        if n % 4 == 0:
            await asyncio.sleep(0.001)
        if operation == b"get":
            caller.get(b"k%d" % n, b"i%d" % n)
        else:
            caller.send(b"C.SET", b"k%d" % n, b"i%d" % n, b"c=%b,t=acme,d=9000,k=1" % operation, b"value")
    await asyncio.sleep(0.01)


@pytest.mark.parametrize(("call", "error"), LOCAL_ERRORS + NO_ROUTE_ERRORS)
@pytest.mark.parametrize("operation", [b"get", b"put", b"once"])
def test_healthy_server_is_used_at_once_after_local_failure(
    monkeypatch: pytest.MonkeyPatch, call: str, error: str, operation: bytes
) -> None:
    """Connects that fail on this machine do not count as failures of the server."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            callers = [await bench.caller() for _ in range(7)]
            with SystemCallFaults(fault(call, error)) as faults:
                await send_requests(bench, callers[:6], operation)
                await asyncio.sleep(FAULT_DURATION)
                assert faults.count() >= 6 and not bench.cache.received and not bench.origin.received
                assert not servers_with_failures(bench) and not any(
                    pool.idle for pool in bench.pools.pools.values()
                )
            recovered_at = loop.time()
            callers[6].get(b"new", b"new")
            assert await callers[6].answer() == b"v"
            assert loop.time() - recovered_at < MAX_RECOVERY_TIME
            expected = b"v" if operation == b"get" else b"from origin"
            assert [await caller.answer() for caller in callers[:6]] == [expected] * 6
            assert loop.time() - recovered_at < 2 * MAX_RECOVERY_TIME
            assert not servers_with_failures(bench)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize(("call", "error"), [LOCAL_ERRORS[4], NO_ROUTE_ERRORS[0]])
def test_request_is_rejected_in_time_while_local_failure_lasts(
    monkeypatch: pytest.MonkeyPatch, call: str, error: str
) -> None:
    """While the fault lasts, a request is rejected once, within its deadline."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            caller, other = await bench.caller(), await bench.caller()
            with SystemCallFaults(fault(call, error)) as faults:
                started_at = loop.time()
                caller.send(b"C.SET", b"k", b"i1", b"c=once,t=acme,d=900,k=1", b"value")
                other.get(name=b"i2", info=b"c=read,t=acme,d=900")
                for client in (caller, other):
                    assert str(await client.answer()).startswith("BUSY")
                assert loop.time() - started_at < 0.9
                connects = faults.count()
                assert connects <= 2 * 2 + 0.9 / 0.025 + 8
                await asyncio.sleep(5.0)
                assert faults.count() == connects
            assert not bench.origin.received and not bench.cache.received and not bench.driver.requests

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("peer", ["quick", "slow", "refuses"])
@pytest.mark.parametrize(
    ("call", "error"), [LOCAL_ERRORS[0], LOCAL_ERRORS[4], LOCAL_ERRORS[6], NO_ROUTE_ERRORS[0]]
)
def test_waiting_requests_share_few_connects(
    monkeypatch: pytest.MonkeyPatch, call: str, error: str, peer: str
) -> None:
    """Many waiting requests share few connection attempts, whatever state the server is in after the fault.

    quick: the server answers at once.
    slow: it rejects some requests, so that as many are served as in a burst without the fault.
    refuses: it refuses connections for a while, which counts as its own failure.
    """
    answered = 0

    def slow(request: Any, writer: asyncio.StreamWriter) -> None:
        nonlocal answered
        answered += 1
        answer = b"-BUSY\r\n" if answered % 10 == 0 else hit()
        asyncio.get_running_loop().call_later(0.05, writer.write, answer)

    async def count_served(bench: Bench, callers: list[Caller]) -> int:
        """Returns how many requests are served; all others are rejected."""
        async with asyncio.timeout(2.0):
            all_answers = [await caller.answer() for caller in callers]
        served = sum(answer in (b"v", b"from origin") for answer in all_answers)
        assert sum(str(answer).startswith("BUSY") for answer in all_answers) == len(callers) - served
        assert not bench.driver.balancer.jobs
        return served

    async def test() -> None:
        answer = slow if peer == "slow" else (lambda request, writer: hit())
        async with router(answer, sockets=2048) as bench:
            callers = [await bench.caller() for _ in range(CALLERS)]
            await send_requests(bench, callers)
            baseline = await count_served(bench, callers)
        async with router(answer, sockets=2048) as bench:
            callers = [await bench.caller() for _ in range(CALLERS)]
            with SystemCallFaults(fault(call, error)) as faults:
                await send_requests(bench, callers)
                faults_at_start = faults.count()
                assert CALLERS <= faults_at_start <= 3 * CALLERS
                await asyncio.sleep(FAULT_DURATION)
                assert faults.count() - faults_at_start <= 30
                refused_connects = fault("connect", "ECONNREFUSED", peer=bench.cache.address, for_s=0.2)
                faults.replace(*([refused_connects] if peer == "refuses" else []))
                served = await count_served(bench, callers)
                assert faults.count("connect", "ECONNREFUSED") <= 16
            assert served >= {"quick": CALLERS, "slow": baseline, "refuses": 0}[peer]
            assert servers_with_failures(bench) == (["c0"] if peer == "refuses" else [])
            assert len(bench.cache.received) <= 1.2 * CALLERS

    run_in_virtual_time(monkeypatch, test)


def test_single_unreachable_server_is_avoided(monkeypatch: pytest.MonkeyPatch) -> None:
    """If only one server is unreachable, each of its requests is sent to another server at once."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        origin = Web(lambda request, writer: http(200, b"other"))
        await origin.start()

        def listed(cache: Any, web: Any) -> list[dict[str, Any]]:
            # Each server has its own address, so that a fault can affect one of them.
            port = cache.address.rpartition(":")[2]
            caches = [entry(f"c{n}", f"127.0.0.{n + 1}:{port}") for n in range(4)]
            return [*caches, entry("o", web.address, model="origin")]

        monkeypatch.setattr("router_bench.Cache.start", _start_everywhere)
        async with router(entries=listed) as bench:
            callers = [await bench.caller() for _ in range(60)]
            bench.pools.set_timeouts(20.0, 0.01)  # idle connections are not reused, so each attempt opens one
            with SystemCallFaults(fault("connect", "ENETUNREACH", peer="127.0.0.2:*")) as faults:
                for n, caller in enumerate(callers):
                    caller.get(b"k%d" % n, b"i%d" % n)
                    started_at = loop.time()
                    assert await caller.answer() == b"v"
                    assert loop.time() - started_at < MAX_RECOVERY_TIME
                    await asyncio.sleep(0.02)
                    for pool in bench.pools.pools.values():
                        for connection in list(pool.idle):
                            connection.close(ServerClose.IDLE)
                assert 3 <= faults.count() <= 4
            assert servers_with_failures(bench) == ["c1"]
        await origin.stop()

    run_in_virtual_time(monkeypatch, test)


async def _start_everywhere(peer: Any) -> None:
    peer.server = await asyncio.start_server(peer._serve, "0.0.0.0", 0)
    peer.address = f"127.0.0.1:{peer.server.sockets[0].getsockname()[1]}"


def test_new_connection_is_reported_with_first_attempt_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router() as bench:
            outcomes: list[tuple[api.Status, bool]] = []
            handle = bench.driver.balancer.handle

            def recording_handle(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Outcome):
                    outcomes.append((event.status, event.connected))
                return handle(now, event)

            monkeypatch.setattr(bench.driver.balancer, "handle", recording_handle)
            caller = await bench.caller()
            for n in range(3):
                caller.get(name=b"i%d" % n)
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.1)
            assert outcomes == [(api.Status.OK, True), (api.Status.OK, False), (api.Status.OK, False)]

    run_in_virtual_time(monkeypatch, test)
