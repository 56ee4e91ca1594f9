"""Clients that use all descriptors reserved for them do not block discovery, servers and operators."""

import asyncio
import contextlib
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import psutil
import pytest
from router_bench import WAIT_TIMEOUT, Cache, Caller, Web, entry, hit, http, wait_until
from test_discovery import ROOT, configuration, http_list, listing

from applehub.lab.fleet.system_call_faults import SystemCallFault, in_environment
from applehub.node.descriptors import (
    CONSOLE_DESCRIPTORS,
    OWN_DESCRIPTORS,
    REJECTION_TICKS,
    allocate_descriptors,
)


@pytest.mark.parametrize("console", [False, True])
@pytest.mark.parametrize("sockets", [64, 100, 256, 384, 576, 1024, 100_000])
def test_sum_of_limits_is_within_descriptor_limit(sockets: int, console: bool) -> None:
    limits = allocate_descriptors(sockets, console)
    own = OWN_DESCRIPTORS + CONSOLE_DESCRIPTORS * console
    assert (
        own
        + limits.clients
        + limits.lingering
        + REJECTION_TICKS * limits.accepted_per_tick
        + limits.server_connections
        <= sockets
    )
    assert min(limits.clients, limits.server_connections, limits.lingering, limits.accepted_per_tick) >= 1
    if sockets >= 256:
        assert limits.clients >= sockets / 3 and limits.server_connections >= sockets / 3


@asynccontextmanager
async def running_program(
    tmp_path: Path, descriptors: int, **changes: Any
) -> AsyncIterator[tuple[asyncio.subprocess.Process, dict[str, tuple[str, int]], list[str]]]:
    """Runs the program with a limit on its descriptors; yields it, the addresses that it logs, and its log.

    changes: changes to its configuration; `faults` lists system calls that fail, which are recorded in the
    file `injected`.
    """
    faults: list[SystemCallFault] = changes.pop("faults", [])
    launcher = "applehub.lab.fleet.system_call_faults " if faults else ""
    command = f'ulimit -n {descriptors} && exec "{sys.executable}" -m {launcher}applehub'
    env = {**configuration(tmp_path, **changes), **in_environment(faults, tmp_path / "injected")}
    running = await asyncio.create_subprocess_shell(
        command, env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    assert running.stderr is not None
    addresses: dict[str, tuple[str, int]] = {}
    lines: list[str] = []

    async def read_log(stream: asyncio.StreamReader) -> None:
        while line := (await stream.readline()).decode():
            lines.append(line)
            for phrase in ("INFO listening on", "INFO console listening on"):
                if phrase in line:
                    host, _, port = line.rsplit(" ", 1)[1].strip().rpartition(":")
                    addresses[phrase] = host, int(port)

    log_task = asyncio.create_task(read_log(running.stderr))
    try:
        expected_addresses = 1 + ("console" in changes)
        await wait_until(lambda: len(addresses) == expected_addresses or running.returncode is not None)
        yield running, addresses, lines
    finally:
        with contextlib.suppress(ProcessLookupError):
            running.terminate()
        await asyncio.wait_for(running.wait(), WAIT_TIMEOUT)
        await log_task


async def connect_client(address: tuple[str, int]) -> Caller:
    return Caller(*await asyncio.open_connection(*address))


async def test_discovery_and_operators_are_reachable_when_idle_clients_use_all_connections(
    tmp_path: Path,
) -> None:
    """Discovery starts only after the clients have used all connections."""
    cache = Cache(lambda request, writer: hit())
    await cache.start()
    reserved = socket.create_server(("127.0.0.1", 0))  # reserves the port on which discovery starts later
    port = reserved.getsockname()[1]
    reserved.close()
    known = listing(3, entry("c0", cache.address))
    changes = {"console": "127.0.0.1:0", "limits": {"sockets": 128}, "known": known}
    tmp = tmp_path / "tmp"
    tmp.mkdir()
    async with running_program(tmp_path, 128, discovery=f"127.0.0.1:{port}", **changes) as (
        running,
        addresses,
        lines,
    ):
        idle = [await connect_client(addresses["INFO listening on"]) for _ in range(300)]
        for caller in idle:
            caller.send(b"PING")
        rejected = 0
        for caller in idle:
            with contextlib.suppress(OSError):
                rejected += await caller.answer() != b"PONG"
        assert rejected  # all connections were in use
        descriptors_in_use = psutil.Process(running.pid).num_fds()
        assert descriptors_in_use <= 128
        discovery_server = Web(lambda request, writer: http_list(9, entry("c0", cache.address)))
        discovery_server.server = await asyncio.start_server(discovery_server._serve, "127.0.0.1", port)
        await wait_until(lambda: discovery_server.received)
        console = await connect_client(addresses["INFO console listening on"])
        console.writer.write(b"HEALTH\n")
        assert await asyncio.wait_for(console.reader.readline(), WAIT_TIMEOUT) == b"+OK\n"
        open_caller = next(caller for caller in idle if not caller.reader.at_eof())
        open_caller.get()
        assert await open_caller.answer() == b"v"
        assert not [line for line in lines if "Too many open files" in line]
        for caller in [*idle, console]:
            caller.writer.transport.abort()
        await discovery_server.stop()
    await cache.stop()


async def test_router_recovers_from_lack_of_descriptors_without_busy_loop(tmp_path: Path) -> None:
    """The process has fewer descriptors than configured; accept fails until some of them are closed."""
    known = listing(3, entry("c0", "127.0.0.1:1"))
    discovery_server = Web(lambda request, writer: None if len(discovery_server.received) > 1 else http(503))
    await discovery_server.start()
    async with running_program(tmp_path, 40, discovery=discovery_server.address, known=known) as (
        running,
        addresses,
        lines,
    ):
        process = psutil.Process(running.pid)
        callers = [await connect_client(addresses["INFO listening on"]) for _ in range(80)]
        for caller in callers[:10]:
            caller.send(b"PING")
            assert await caller.answer() == b"PONG"
        await wait_until(lambda: [line for line in lines if "accept fails" in line])
        cpu_before = sum(process.cpu_times()[:2])
        await asyncio.sleep(1.0)  # only the retries of accept are running
        assert sum(process.cpu_times()[:2]) - cpu_before < 0.25
        assert len([line for line in lines if "accept" in line]) == 1
        for caller in callers:
            caller.writer.transport.abort()
        new_caller = await connect_client(addresses["INFO listening on"])
        new_caller.send(b"PING")
        assert await new_caller.answer() == b"PONG"
        assert running.returncode is None and os.getpid() != running.pid
        new_caller.writer.transport.abort()
    await discovery_server.stop()
