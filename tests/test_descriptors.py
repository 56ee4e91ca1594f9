"""Clients that use all of their descriptors do not affect discovery, servers and operators."""

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
from peers import WAIT_TIMEOUT, Cache, Caller, Web, entry, hit, http, wait_until
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

    changes: changes to its configuration; `faults`: system calls that fail, recorded in the file `injected`.
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

    async def read(stream: asyncio.StreamReader) -> None:
        while line := (await stream.readline()).decode():
            lines.append(line)
            for words in ("listening on", "operators call at"):
                if words in line:
                    host, _, port = line.rsplit(" ", 1)[1].strip().rpartition(":")
                    addresses[words] = host, int(port)

    reading = asyncio.create_task(read(running.stderr))
    try:
        wanted = 1 + ("console" in changes)
        await wait_until(lambda: len(addresses) == wanted or running.returncode is not None)
        yield running, addresses, lines
    finally:
        with contextlib.suppress(ProcessLookupError):
            running.terminate()
        await asyncio.wait_for(running.wait(), WAIT_TIMEOUT)
        await reading


async def connect_client(address: tuple[str, int]) -> Caller:
    return Caller(*await asyncio.open_connection(*address))


async def test_discovery_and_operators_are_reachable_when_idle_clients_use_all_connections(
    tmp_path: Path,
) -> None:
    """Discovery, servers and operators are reachable once discovery is up."""
    cache = Cache(lambda request, writer: hit())
    await cache.start()
    unused = socket.create_server(("127.0.0.1", 0))  # its port is that of discovery, which is not up yet
    port = unused.getsockname()[1]
    unused.close()
    known = listing(3, entry("c0", cache.address))
    more = {"console": "127.0.0.1:0", "limits": {"sockets": 128}, "known": known}
    tmp = tmp_path / "tmp"
    tmp.mkdir()
    async with running_program(tmp_path, 128, discovery=f"127.0.0.1:{port}", **more) as (running, at, lines):
        idle = [await connect_client(at["listening on"]) for _ in range(300)]
        for one in idle:
            one.send(b"PING")
        rejected = 0
        for one in idle:
            with contextlib.suppress(OSError):
                rejected += await one.answer() != b"PONG"
        assert rejected  # all connections were in use
        used = psutil.Process(running.pid).num_fds()
        assert used <= 128
        discovery_server = Web(lambda request, writer: http_list(9, entry("c0", cache.address)))
        discovery_server.server = await asyncio.start_server(discovery_server._serve, "127.0.0.1", port)
        await wait_until(lambda: discovery_server.received)
        console = await connect_client(at["operators call at"])
        console.writer.write(b"HEALTH\n")
        assert await asyncio.wait_for(console.reader.readline(), WAIT_TIMEOUT) == b"+OK\n"
        served = next(one for one in idle if not one.reader.at_eof())
        served.get()
        assert await served.answer() == b"v"
        assert not [line for line in lines if "Too many open files" in line]
        for one in [*idle, console]:
            one.writer.transport.abort()
        await discovery_server.stop()
    await cache.stop()


async def test_router_recovers_from_lack_of_descriptors_without_busy_loop(tmp_path: Path) -> None:
    """The limit of the process is lower than configured: accept fails, and succeeds once some are free."""
    known = listing(3, entry("c0", "127.0.0.1:1"))
    web = Web(lambda request, writer: None if len(web.received) > 1 else http(503))
    await web.start()
    async with running_program(tmp_path, 40, discovery=web.address, known=known) as (running, at, lines):
        process = psutil.Process(running.pid)
        many = [await connect_client(at["listening on"]) for _ in range(80)]
        for one in many[:10]:
            one.send(b"PING")
            assert await one.answer() == b"PONG"
        await wait_until(lambda: [line for line in lines if "accept fails" in line])
        before = sum(process.cpu_times()[:2])
        await asyncio.sleep(1.0)  # only the retries of accept are running
        assert sum(process.cpu_times()[:2]) - before < 0.25
        assert len([line for line in lines if "accept" in line]) == 1
        for one in many:
            one.writer.transport.abort()
        again = await connect_client(at["listening on"])
        again.send(b"PING")
        assert await again.answer() == b"PONG"
        assert running.returncode is None and os.getpid() != running.pid
        again.writer.transport.abort()
    await web.stop()
