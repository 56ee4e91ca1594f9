"""The list service where system calls fail for a moment, and where the wall clock is stepped."""

import asyncio
import time
from asyncio import constants
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from registry_replica import replica

from applehub.lab.fleet.ground import claim_block
from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults
from applehub.registry.host import Host, HostOptions
from applehub.registry.listener import Listener
from applehub.registry.store import ReplicaStore

OUTAGE = 0.1  # s
WITHIN = 0.05  # s of an outage's end in which accepting has to go on
BODY = {"endpoint": "127.0.0.1:1", "az": "a", "model": "m"}


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED"])
async def test_accepting_goes_on_right_after_a_failure_of_accept(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    """Twenty callers connect at once while accept fails, and twenty after that. What asyncio's own servers
    wait after a lack of resources is made so long that none of it could go unseen."""
    monkeypatch.setattr(constants, "ACCEPT_RETRY_DELAY", 3600)
    async with replica(tmp_path) as one:
        port = one.listen.rpartition(":")[2]
        fault = SystemCallFault("accept", error, for_s=OUTAGE, local=f"*:{port}")
        with SystemCallFaults(fault) as faults:
            for _ in range(2):
                async with asyncio.timeout(20), aiohttp.ClientSession() as session:
                    callers = replace(one, session=session)
                    answers = await asyncio.gather(*(callers.targets() for _ in range(20)))
                assert {status for status, _ in answers} == {200}
            assert faults.count("accept", error) > 0
    assert sum("accept fails" in record.getMessage() for record in caplog.records) == 1


async def test_a_try_of_accept_is_planned_once_and_none_after_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop = asyncio.get_running_loop()
    planned: list[asyncio.TimerHandle] = []
    later = loop.call_later

    def call_later(delay: float, *more: Any, **named: Any) -> asyncio.TimerHandle:
        handle = later(delay, *more, **named)
        if 0.01 < delay <= WITHIN:
            planned.append(handle)
        return handle

    listener = Listener(("127.0.0.1", 0), asyncio.Protocol)
    monkeypatch.setattr(loop, "call_later", call_later)
    with SystemCallFaults(SystemCallFault("accept", "ENFILE")) as faults:
        writers = [(await asyncio.open_connection(*listener.address))[1] for _ in range(5)]
        while faults.count("accept") < 3:
            await asyncio.sleep(0.001)
        assert len(planned) == faults.count("accept")
        listener.close()
        assert planned[-1].cancelled()
    for writer in writers:
        writer.transport.abort()


async def test_peers_are_accepted_after_a_failure_and_a_socket_that_is_refused_is_asked_for_again(
    tmp_path: Path,
) -> None:
    """Two of three replicas, in this process: accept, socket and connect fail until each has failed."""
    block, claim = claim_block()
    addresses = {number: f"{block}.211.{number + 1}:7000" for number in range(3)}
    hosts = [Host(HostOptions(number, addresses), ReplicaStore(tmp_path / str(number))) for number in (0, 1)]
    faults = [
        SystemCallFault("socket", "ENFILE", times=2),
        SystemCallFault("connect", "EADDRNOTAVAIL", times=2),
        SystemCallFault("connect", "ENETUNREACH", from_call=3, times=2),
    ]
    for host in hosts:
        await host.start()
    with SystemCallFaults(*faults, SystemCallFault("accept", "ENFILE", times=2, local="*:7000")) as made:
        async with asyncio.timeout(60):
            while not any(host.is_lease_holder() for host in hosts):
                await asyncio.sleep(0.01)
        for call in ("socket", "connect", "accept"):
            assert made.count(call) >= 2
    for host in hosts:
        await host.stop()
    claim.close()


@pytest.mark.parametrize("step_s", [3, -3, 3600, -3600])
async def test_a_stepped_wall_clock_ends_no_lease_no_lock_and_no_watch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    """The wall clock is stepped while a server's lease, a lock and a watch of a minute are under way."""
    async with replica(tmp_path) as one:
        status, told = await one.ask("PUT", "/v1/servers/s", {**BODY, "lease_ms": 60_000})
        assert status == 200
        status, lock = await one.ask("PUT", "/v1/locks/l", {"holder": "me", "lease_ms": 60_000})
        assert status == 200
        watch = asyncio.create_task(one.targets(f"?from={told['entry']}&hold_ms=60000"))
        while not one.service.list_api.watchers.waiting:
            await asyncio.sleep(0.01)
        now, now_ns = time.time, time.time_ns
        monkeypatch.setattr(time, "time", lambda: now() + step_s)
        monkeypatch.setattr(time, "time_ns", lambda: now_ns() + step_s * 1_000_000_000)
        looked = one.service.lease_watch.leases.checked_at
        while one.service.lease_watch.leases.checked_at == looked:  # the watch over leases has looked since
            await asyncio.sleep(0.01)
        status, other = await one.ask("PUT", "/v1/locks/l", {"holder": "other"})
        assert status == 409 and 0 < other["left_ms"] <= 60_000
        assert await one.ask("PUT", "/v1/locks/l", {"holder": "me", "lease_ms": 60_000}) == (200, lock)
        entry = one.host.endpoints.entries["s"]
        assert entry.state == "Ready" and not entry.suspect
        assert not watch.done() and one.host.is_lease_holder()
        assert (await one.ask("DELETE", "/v1/servers/s"))[0] == 200
        _, told_later = await watch
        assert told_later["rev"] == told["entry"] + 1  # versions of a list go on by one, whatever the clock
        one.service.lock_api.leases.renewed_at["l"] = one.service.lock_api.leases.reset_at = (
            time.monotonic_ns() - 61 * 10**9
        )
        assert (await one.ask("PUT", "/v1/locks/l", {"holder": "other"}))[0] == 200


def test_the_wall_clock_gives_a_fresh_list_its_first_version_and_nothing_else() -> None:
    """Any further use of the wall clock in the package has to be looked at: no span may come from it."""
    used = {
        (file.name, line.strip())
        for file in Path("applehub/registry").glob("**/*.py")
        for line in file.read_text().splitlines()
        if "time.time" in line or "datetime" in line
    }
    assert used == {("replies.py", "return time.time_ns() // SECOND * VERSIONS_PER_SECOND")}
