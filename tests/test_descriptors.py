"""Descriptors: clients that fill all of theirs leave discovery, servers and operators untouched."""

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
from peers import PATIENCE, Cache, Caller, Web, entry, hit, http, soon
from test_discovery import ROOT, configuration, listing, whole_list

from applehub.lab.fleet.system_call_faults import SystemCallFault, in_environment
from applehub.node.descriptors import CLOSING, CONSOLE, OWN, share_out


@pytest.mark.parametrize("console", [False, True])
@pytest.mark.parametrize("sockets", [64, 100, 256, 384, 576, 1024, 100_000])
def test_all_places_together_keep_to_the_limit(sockets: int, console: bool) -> None:
    places = share_out(sockets, console)
    own = OWN + CONSOLE * console
    assert own + places.clients + places.ending + CLOSING * places.let_in + places.pools <= sockets
    assert min(places.clients, places.pools, places.ending, places.let_in) >= 1
    if sockets >= 256:
        assert places.clients >= sockets / 3 and places.pools >= sockets / 3


@asynccontextmanager
async def program(
    tmp_path: Path, descriptors: int, **changes: Any
) -> AsyncIterator[tuple[asyncio.subprocess.Process, dict[str, tuple[str, int]], list[str]]]:
    """The program under a limit on its descriptors; gives it, the addresses that it tells, and its log.

    changes: of its configuration; `faults`: system calls that fail, recorded in the file `injected`."""
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
        await soon(lambda: len(addresses) == wanted or running.returncode is not None)
        yield running, addresses, lines
    finally:
        with contextlib.suppress(ProcessLookupError):
            running.terminate()
        await asyncio.wait_for(running.wait(), PATIENCE)
        await reading


async def caller_at(address: tuple[str, int]) -> Caller:
    return Caller(*await asyncio.open_connection(*address))


async def test_idle_clients_may_fill_their_places_while_discovery_is_down(tmp_path: Path) -> None:
    """Discovery, the servers and the operators are reached all the same once it is back."""
    cache = Cache(lambda asked, line: hit())
    await cache.start()
    away = socket.create_server(("127.0.0.1", 0))  # its port, where nobody answers yet
    port = away.getsockname()[1]
    away.close()
    known = listing(3, entry("c0", cache.address))
    more = {"console": "127.0.0.1:0", "limits": {"sockets": 128}, "known": known}
    tmp = tmp_path / "tmp"
    tmp.mkdir()
    async with program(tmp_path, 128, discovery=f"127.0.0.1:{port}", **more) as (running, at, lines):
        idle = [await caller_at(at["listening on"]) for _ in range(300)]
        for one in idle:
            one.send(b"PING")
        turned_away = 0
        for one in idle:
            with contextlib.suppress(OSError):
                turned_away += await one.answer() != b"PONG"
        assert turned_away  # all places were taken
        held = psutil.Process(running.pid).num_fds()
        assert held <= 128
        new = Web(lambda asked, line: whole_list(9, entry("c0", cache.address)))
        new.server = await asyncio.start_server(new._serve, "127.0.0.1", port)
        await soon(lambda: new.got)
        console = await caller_at(at["operators call at"])
        console.writer.write(b"HEALTH\n")
        assert await asyncio.wait_for(console.reader.readline(), PATIENCE) == b"+OK\n"
        served = next(one for one in idle if not one.reader.at_eof())
        served.get()
        assert await served.answer() == b"v"
        assert not [line for line in lines if "Too many open files" in line]
        for one in [*idle, console]:
            one.writer.transport.abort()
        await new.stop()
    await cache.stop()


async def test_a_lack_of_descriptors_costs_no_processor_time_and_is_survived(tmp_path: Path) -> None:
    """The system gives fewer than was told: accept fails, and goes on once there are some."""
    known = listing(3, entry("c0", "127.0.0.1:1"))
    web = Web(lambda asked, line: None if len(web.got) > 1 else http(503))
    await web.start()
    async with program(tmp_path, 40, discovery=web.address, known=known) as (running, at, lines):
        process = psutil.Process(running.pid)
        many = [await caller_at(at["listening on"]) for _ in range(80)]
        for one in many[:10]:
            one.send(b"PING")
            assert await one.answer() == b"PONG"
        await soon(lambda: [line for line in lines if "accept fails" in line])
        before = sum(process.cpu_times()[:2])
        await asyncio.sleep(1.0)  # nothing happens any more but that accept is tried again
        assert sum(process.cpu_times()[:2]) - before < 0.25
        assert len([line for line in lines if "accept" in line]) == 1
        for one in many:
            one.writer.transport.abort()
        again = await caller_at(at["listening on"])
        again.send(b"PING")
        assert await again.answer() == b"PONG"
        assert running.returncode is None and os.getpid() != running.pid
        again.writer.transport.abort()
    await web.stop()
