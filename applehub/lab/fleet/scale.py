"""Measures the list service with many servers and watchers, beside its stand-in on the same work."""

import asyncio
import re
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, cast

import orjson
import psutil

from applehub.events import EventWriter
from applehub.lab.fleet.ground import claim_block
from applehub.lab.fleet.lists import Lists
from applehub.lab.fleet.processes import Process, RegistryProcess, Standin
from applehub.lab.live.bench import LiveError
from applehub.node.discovery import read_endpoint

LENGTH = re.compile(rb"content-length: *(\d+)", re.I)
REV = re.compile(rb'"rev":(\d+)')
HOLD = 30_000  # ms
ALL_WITHIN = 60.0  # s for every watcher to hear of a change
AT_ONCE = 50  # changes asked for together
KB = 1 << 10


@dataclass(slots=True)
class Measured:
    """Times in ms, from the answer to the writer until the last watcher has the change."""

    what: str
    servers: int
    watchers: int
    first_lists_s: float  # from the first call until all watchers have the whole list
    one_by_one: float  # changes a second, each after the one before was acknowledged
    together: float  # changes a second, so many asked for at once
    told_p50: float
    told_p99: float
    changes: int
    kb_a_watcher: float  # of resident memory, over all replicas


class Watcher(asyncio.Protocol):
    """One caller that watches for ever: the same calls as a router's."""

    def __init__(self, crowd: "Crowd") -> None:
        self.crowd = crowd
        self.transport: asyncio.Transport | None = None
        self.read = bytearray()
        self.rev = -1
        self.again: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._ask()

    def _ask(self) -> None:
        target = "/api/targets" if self.rev < 0 else f"/api/targets?from={self.rev}&hold_ms={HOLD}"
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(f"GET {target} HTTP/1.1\r\nHost: list\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.read += data
        head, found, body = bytes(self.read).partition(b"\r\n\r\n")
        length = LENGTH.search(head)
        if not found or length is None or len(body) < int(length[1]):
            return
        self.read.clear()
        rev = REV.search(body[:64])
        if b" 200 " not in head[:16] or rev is None:
            self.crowd.refused += 1
            self.again = asyncio.get_running_loop().call_later(1.0, self._ask)
            return
        self.rev = int(rev[1])
        self.crowd.heard(self)
        self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.crowd.over:
            self.crowd.lost += 1


class Crowd:
    """All watchers of a measurement."""

    def __init__(self, count: int) -> None:
        self.count, self.watchers = count, [Watcher(self) for _ in range(count)]
        self.refused = self.lost = 0
        self.over = False
        self.wanted = 0
        self.behind: set[Watcher] = set(self.watchers)
        self.all = asyncio.Event()

    async def begin(self, addresses: list[str]) -> float:
        """Connects all at once; gives the seconds until each has the whole list."""
        loop, began = asyncio.get_running_loop(), time.monotonic()
        where = [read_endpoint(one) for one in addresses]
        self.all.clear()
        await asyncio.gather(
            *(
                loop.create_connection(lambda w=one: w, *where[number % len(where)])  # type: ignore[misc]
                for number, one in enumerate(self.watchers)
            )
        )
        await asyncio.wait_for(self.all.wait(), ALL_WITHIN)
        return time.monotonic() - began

    def heard(self, watcher: Watcher) -> None:
        if watcher.rev >= self.wanted:
            self.behind.discard(watcher)
            if not self.behind:
                self.all.set()

    async def until(self, version: int) -> None:
        """Returns once every watcher has a version."""
        self.wanted = version
        self.behind = {one for one in self.watchers if one.rev < version}
        self.all.clear()
        if self.behind:
            await asyncio.wait_for(self.all.wait(), ALL_WITHIN)

    def end(self) -> None:
        self.over = True
        for one in self.watchers:
            if one.again is not None:
                one.again.cancel()
            if one.transport is not None:
                one.transport.abort()


class Subject:
    """What is measured: where it is asked, and how it is changed (gives the version)."""

    def __init__(
        self,
        processes: list[Process],
        addresses: list[str],
        change: Callable[[int, int], Awaitable[int]],
        end: Callable[[], Awaitable[None]],
    ) -> None:
        self.processes, self.addresses, self.change, self.end = processes, addresses, change, end

    def memory(self) -> float:
        """KB, resident, of all its processes."""
        pids = [one.process.pid for one in self.processes if one.process is not None]
        return float(sum(psutil.Process(pid).memory_info().rss for pid in pids)) / KB


def _entry(number: int, turn: int) -> dict[str, Any]:
    return {
        "endpoint": f"10.1.{number // 250}.{number % 250}:6379",
        "az": "a",
        "model": "cache",
        "pod_group": turn,
        "capacity_hint": 1.0,
        "boot_ms": 0,
        "state": "Ready",
    }


async def stand_in(folder: Path, events: EventWriter, servers: int) -> Subject:
    """The ground's stand-in, in memory."""
    process = Standin("list", "list", folder, events)
    entries = [{"uid": f"server-{n}", **_entry(n, 0)} for n in range(servers)]
    answer = await process.start(
        {
            "version": 1, "changed": {}, "entries": entries, "sources": {}, "rate": 1e6,
            "endpoints": {"": {one["uid"]: one["endpoint"] for one in entries}},
        }
    )  # fmt: skip

    async def change(number: int, turn: int) -> int:
        told = {"do": "touch", "server": f"server-{number}", "entry": {"pod_group": turn}}
        return int((await process.ask(told))["version"])

    return Subject([process], [answer["address"]], change, process.kill)


async def service(folder: Path, events: EventWriter, servers: int, replicas: int, block: str) -> Subject:
    """The project's list service."""
    ours = [RegistryProcess(f"list-{n}", folder, events) for n in range(replicas)]
    peers = {one.name: f"{block}.222.{n + 1}:7000" for n, one in enumerate(ours)}
    group = [f'{name} = "{address}"' for name, address in peers.items()] if replicas > 1 else []
    await asyncio.gather(*(one.start([f'name = "{one.name}"', "[peers]", *group]) for one in ours))
    lists = Lists(ours, events)
    try:
        await lists.primary()
    except LiveError:
        await lists.close()
        await asyncio.gather(*(one.kill() for one in ours))
        raise

    async def change(number: int, turn: int) -> int:
        told = await lists.agreed("PUT", f"/v1/servers/server-{number}", _entry(number, turn))
        return int(told["entry"])

    async def end() -> None:
        await lists.close()
        await asyncio.gather(*(one.kill() for one in ours))

    for first in range(0, servers, AT_ONCE):
        await asyncio.gather(*(change(n, 0) for n in range(first, min(servers, first + AT_ONCE))))
    return Subject([*ours], [one.listen for one in ours], change, end)


async def measure(what: str, subject: Subject, servers: int, watchers: int, changes: int) -> Measured:
    """Plays the same work on any subject."""
    before, crowd = subject.memory(), Crowd(watchers)
    try:
        first = await crowd.begin(subject.addresses)
        held = subject.memory()
        times = []
        for number in range(changes):
            version = await subject.change(number % servers, 1)
            acknowledged = time.monotonic()
            await crowd.until(version)
            times.append((time.monotonic() - acknowledged) * 1000)
        began = time.monotonic()
        for number in range(changes):
            version = await subject.change(number % servers, 2)
        one_by_one = changes / (time.monotonic() - began)
        await crowd.until(version)
        began = time.monotonic()
        made = await asyncio.gather(*(subject.change(n % servers, 3) for n in range(AT_ONCE)))
        together = AT_ONCE / (time.monotonic() - began)
        await crowd.until(max(made))
        if crowd.lost:
            raise LiveError(f"{crowd.lost} watchers lost their connection")
    finally:
        crowd.end()
    times.sort()
    return Measured(
        what, servers, watchers, round(first, 2), round(one_by_one, 1), round(together, 1),
        round(times[len(times) // 2], 1), round(times[int(0.99 * (len(times) - 1))], 1), changes,
        round((held - before) / max(1, watchers), 1),
    )  # fmt: skip


async def run(servers: int, watchers: int, changes: int) -> list[dict[str, Any]]:
    """Measures the stand-in, one replica and three; the rows of a table. Raises LiveError."""
    rows = []
    block, claim = claim_block()
    try:
        for replicas, what in ((0, "the stand-in"), (1, "one replica"), (3, "three replicas")):
            with tempfile.TemporaryDirectory(prefix="lists-") as made:
                folder = Path(made)
                events = EventWriter(folder / "events.jsonl", "scale", 0)
                if replicas:
                    subject = await service(folder, events, servers, replicas, block)
                else:
                    subject = await stand_in(folder, events, servers)
                try:
                    rows.append(asdict(await measure(what, subject, servers, watchers, changes)))
                finally:
                    await subject.end()
                    events.close()
    except TimeoutError:
        raise LiveError(f"a watcher did not hear of a change in {ALL_WITHIN:.0f} s") from None
    finally:
        claim.close()
    return rows


def shown(rows: list[dict[str, Any]]) -> str:
    """As a table in Markdown."""
    names = {
        "what": "", "servers": "servers", "watchers": "watchers", "first_lists_s": "all have the list, s",
        "one_by_one": "changes/s, one by one", "together": f"changes/s, {AT_ONCE} at once",
        "told_p50": "ack to last watcher p50, ms", "told_p99": "p99, ms", "changes": "of changes",
        "kb_a_watcher": "KB a watcher",
    }  # fmt: skip
    lines = [f"| {' | '.join(names.values())} |", "|" + "---|" * len(names)]
    lines += [f"| {' | '.join(str(row[name]) for name in names)} |" for row in rows]
    return "\n".join(lines)


def as_json(rows: list[dict[str, Any]]) -> str:
    return orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode()
