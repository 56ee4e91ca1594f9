"""Tests of the list service with failing system calls and with a stepped wall clock."""

import asyncio
import time
from asyncio import constants
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from registry_replica import run_replica

from applehub.lab.fleet.harness import claim_block
from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults
from applehub.registry.host import Host, HostOptions
from applehub.registry.listener import Listener
from applehub.registry.store import ReplicaStore

OUTAGE = 0.1  # seconds during which accept fails
RESUME_TIMEOUT = 0.05  # maximum seconds between an outage and the next accept
BODY = {"endpoint": "127.0.0.1:1", "az": "a", "model": "m"}


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED"])
async def test_accept_resumes_soon_after_a_failure(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    """Clients that connect during and after the failure are served, without asyncio's retry delay."""
    monkeypatch.setattr(constants, "ACCEPT_RETRY_DELAY", 3600)
    async with run_replica(tmp_path) as replica:
        port = replica.list_address.rpartition(":")[2]
        fault = SystemCallFault("accept", error, for_s=OUTAGE, local=f"*:{port}")
        with SystemCallFaults(fault) as faults:
            for _ in range(2):
                async with asyncio.timeout(20), aiohttp.ClientSession() as session:
                    client = replace(replica, session=session)
                    responses = await asyncio.gather(*(client.get_list() for _ in range(20)))
                assert {status for status, _ in responses} == {200}
            assert faults.count("accept", error) > 0
    assert sum("accept fails" in record.getMessage() for record in caplog.records) == 1


async def test_one_accept_retry_is_scheduled_and_cancelled_on_close(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = asyncio.get_running_loop()
    scheduled: list[asyncio.TimerHandle] = []
    original_call_later = loop.call_later

    def call_later(delay: float, *args: Any, **kwargs: Any) -> asyncio.TimerHandle:
        handle = original_call_later(delay, *args, **kwargs)
        if 0.01 < delay <= RESUME_TIMEOUT:
            scheduled.append(handle)
        return handle

    listener = Listener(("127.0.0.1", 0), asyncio.Protocol)
    monkeypatch.setattr(loop, "call_later", call_later)
    with SystemCallFaults(SystemCallFault("accept", "ENFILE")) as faults:
        writers = [(await asyncio.open_connection(*listener.address))[1] for _ in range(5)]
        while faults.count("accept") < 3:
            await asyncio.sleep(0.001)
        assert len(scheduled) == faults.count("accept")
        listener.close()
        assert scheduled[-1].cancelled()
    for writer in writers:
        writer.transport.abort()


async def test_replicas_connect_after_failures_of_accept_socket_and_connect(tmp_path: Path) -> None:
    """Two of three replicas elect a leader although the first calls of accept, socket and connect fail."""
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
    with SystemCallFaults(*faults, SystemCallFault("accept", "ENFILE", times=2, local="*:7000")) as injected:
        async with asyncio.timeout(60):
            while not any(host.is_lease_holder() for host in hosts):
                await asyncio.sleep(0.01)
        for call in ("socket", "connect", "accept"):
            assert injected.count(call) >= 2
    for host in hosts:
        await host.stop()
    claim.close()


@pytest.mark.parametrize("step_s", [3, -3, 3600, -3600])
async def test_stepped_wall_clock_ends_no_lease_lock_or_watch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    """A step of the wall clock must not shorten or extend a server lease, a lock lease or a watch."""
    async with run_replica(tmp_path) as replica:
        status, registered = await replica.request("PUT", "/v1/servers/s", {**BODY, "lease_ms": 60_000})
        assert status == 200
        status, lock = await replica.request("PUT", "/v1/locks/l", {"holder": "me", "lease_ms": 60_000})
        assert status == 200
        watch = asyncio.create_task(replica.get_list(f"?from={registered['entry']}&hold_ms=60000"))
        while not replica.service.list_api.watchers.waiting:
            await asyncio.sleep(0.01)
        now, now_ns = time.time, time.time_ns
        monkeypatch.setattr(time, "time", lambda: now() + step_s)
        monkeypatch.setattr(time, "time_ns", lambda: now_ns() + step_s * 1_000_000_000)
        checked_before = replica.service.lease_watch.leases.checked_at
        while replica.service.lease_watch.leases.checked_at == checked_before:
            await asyncio.sleep(0.01)
        status, rejected = await replica.request("PUT", "/v1/locks/l", {"holder": "other"})
        assert status == 409 and 0 < rejected["left_ms"] <= 60_000
        assert await replica.request("PUT", "/v1/locks/l", {"holder": "me", "lease_ms": 60_000}) == (
            200,
            lock,
        )
        entry = replica.host.endpoints.entries["s"]
        assert entry.state == "Ready" and not entry.suspect
        assert not watch.done() and replica.host.is_lease_holder()
        assert (await replica.request("DELETE", "/v1/servers/s"))[0] == 200
        _, changes = await watch
        assert changes["rev"] == registered["entry"] + 1  # the version increases by one
        replica.service.lock_api.leases.renewed_at["l"] = replica.service.lock_api.leases.reset_at = (
            time.monotonic_ns() - 61 * 10**9
        )
        assert (await replica.request("PUT", "/v1/locks/l", {"holder": "other"}))[0] == 200


def test_wall_clock_is_used_only_for_the_first_version_of_a_list() -> None:
    """Time spans must come from a monotonic clock, so other uses of the wall clock are rejected."""
    used = {
        (file.name, line.strip())
        for file in Path("applehub/registry").glob("**/*.py")
        for line in file.read_text().splitlines()
        if "time.time" in line or "datetime" in line
    }
    assert used == {("replies.py", "return time.time_ns() // SECOND * VERSIONS_PER_SECOND")}
