"""Measures the list service with many servers and watchers, and its stand-in under the same workload."""

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
from applehub.lab.fleet.harness import claim_block
from applehub.lab.fleet.processes import Process, RegistryProcess, Standin
from applehub.lab.fleet.registry_replicas import RegistryReplicas
from applehub.lab.live.bench import LiveError
from applehub.node.discovery import read_endpoint

CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)
REV = re.compile(rb'"rev":(\d+)')
HOLD_MS = 30_000
PROPAGATION_TIMEOUT_S = 60.0  # time allowed for a change to reach every watcher
CONCURRENT_CHANGES = 50
KB = 1 << 10


@dataclass(slots=True)
class Measurement:
    """Results of one measurement.

    The percentiles `told_*` are delays, in ms, from the acknowledgement of a change to the last watcher."""

    what: str
    servers: int
    watchers: int
    first_lists_s: float  # time from the first call until all watchers have the complete list
    one_by_one: float  # sequential changes per second
    together: float  # changes per second with CONCURRENT_CHANGES in flight
    told_p50: float
    told_p99: float
    changes: int
    kb_a_watcher: float  # resident memory of all replicas, per watcher


class Watcher(asyncio.Protocol):
    """A client that watches the list continuously, with the same calls as a router."""

    def __init__(self, group: "WatcherGroup") -> None:
        self.group = group
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.rev = -1
        self.retry_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._send_poll()

    def _send_poll(self) -> None:
        target = "/api/targets" if self.rev < 0 else f"/api/targets?from={self.rev}&hold_ms={HOLD_MS}"
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(f"GET {target} HTTP/1.1\r\nHost: list\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, separator, body = bytes(self.buffer).partition(b"\r\n\r\n")
        length = CONTENT_LENGTH.search(head)
        if not separator or length is None or len(body) < int(length[1]):
            return
        self.buffer.clear()
        rev = REV.search(body[:64])
        if b" 200 " not in head[:16] or rev is None:
            self.group.refused += 1
            self.retry_timer = asyncio.get_running_loop().call_later(1.0, self._send_poll)
            return
        self.rev = int(rev[1])
        self.group.on_update(self)
        self._send_poll()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.group.closing:
            self.group.lost += 1


class WatcherGroup:
    """All watchers of a measurement."""

    def __init__(self, count: int) -> None:
        self.count, self.watchers = count, [Watcher(self) for _ in range(count)]
        self.refused = self.lost = 0
        self.closing = False
        self.awaited_version = 0
        self.behind: set[Watcher] = set(self.watchers)
        self.all_updated = asyncio.Event()

    async def connect(self, addresses: list[str]) -> float:
        """Connects all watchers at once; returns the seconds until each has the complete list."""
        loop, started_at = asyncio.get_running_loop(), time.monotonic()
        endpoints = [read_endpoint(address) for address in addresses]
        self.all_updated.clear()
        await asyncio.gather(
            *(
                loop.create_connection(lambda w=watcher: w, *endpoints[number % len(endpoints)])  # type: ignore[misc]
                for number, watcher in enumerate(self.watchers)
            )
        )
        await asyncio.wait_for(self.all_updated.wait(), PROPAGATION_TIMEOUT_S)
        return time.monotonic() - started_at

    def on_update(self, watcher: Watcher) -> None:
        if watcher.rev >= self.awaited_version:
            self.behind.discard(watcher)
            if not self.behind:
                self.all_updated.set()

    async def wait_for_version(self, version: int) -> None:
        """Waits until every watcher has the version or a later one."""
        self.awaited_version = version
        self.behind = {watcher for watcher in self.watchers if watcher.rev < version}
        self.all_updated.clear()
        if self.behind:
            await asyncio.wait_for(self.all_updated.wait(), PROPAGATION_TIMEOUT_S)

    def close(self) -> None:
        self.closing = True
        for watcher in self.watchers:
            if watcher.retry_timer is not None:
                watcher.retry_timer.cancel()
            if watcher.transport is not None:
                watcher.transport.abort()


class ServiceUnderTest:
    """A list service to be measured; `change` changes a server's entry and returns the new version."""

    def __init__(
        self,
        processes: list[Process],
        addresses: list[str],
        change: Callable[[int, int], Awaitable[int]],
        end: Callable[[], Awaitable[None]],
    ) -> None:
        self.processes, self.addresses, self.change, self.end = processes, addresses, change, end

    def memory(self) -> float:
        """Returns the resident memory of all processes of the service, in KB."""
        pids = [process.process.pid for process in self.processes if process.process is not None]
        return float(sum(psutil.Process(pid).memory_info().rss for pid in pids)) / KB


def _entry(number: int, pod_group: int) -> dict[str, Any]:
    return {
        "endpoint": f"10.1.{number // 250}.{number % 250}:6379",
        "az": "a",
        "model": "cache",
        "pod_group": pod_group,
        "capacity_hint": 1.0,
        "boot_ms": 0,
        "state": "Ready",
    }


async def start_stand_in(folder: Path, events: EventWriter, servers: int) -> ServiceUnderTest:
    """Starts the test harness's stand-in, which keeps the list in memory."""
    process = Standin("list", "list", folder, events)
    entries = [{"uid": f"server-{n}", **_entry(n, 0)} for n in range(servers)]
    answer = await process.start(
        {
            "version": 1, "changed": {}, "entries": entries, "sources": {}, "rate": 1e6,
            "endpoints": {"": {entry["uid"]: entry["endpoint"] for entry in entries}},
        }
    )  # fmt: skip

    async def change(number: int, pod_group: int) -> int:
        command = {"do": "touch", "server": f"server-{number}", "entry": {"pod_group": pod_group}}
        return int((await process.send_command(command))["version"])

    return ServiceUnderTest([process], [answer["address"]], change, process.kill)


async def start_service(
    folder: Path, events: EventWriter, servers: int, replicas: int, block: str
) -> ServiceUnderTest:
    """Starts the list service with the given number of replicas and fills its list."""
    replica_processes = [RegistryProcess(f"list-{n}", folder, events) for n in range(replicas)]
    peers = {replica.name: f"{block}.222.{n + 1}:7000" for n, replica in enumerate(replica_processes)}
    peer_lines = [f'{name} = "{address}"' for name, address in peers.items()] if replicas > 1 else []
    await asyncio.gather(
        *(
            replica.start([f'name = "{replica.name}"', "[peers]", *peer_lines])
            for replica in replica_processes
        )
    )
    client = RegistryReplicas(replica_processes, events)
    try:
        await client.primary()
    except LiveError:
        await client.close()
        await asyncio.gather(*(replica.kill() for replica in replica_processes))
        raise

    async def change(number: int, pod_group: int) -> int:
        answer = await client.commit("PUT", f"/v1/servers/server-{number}", _entry(number, pod_group))
        return int(answer["entry"])

    async def end() -> None:
        await client.close()
        await asyncio.gather(*(replica.kill() for replica in replica_processes))

    for start in range(0, servers, CONCURRENT_CHANGES):
        await asyncio.gather(*(change(n, 0) for n in range(start, min(servers, start + CONCURRENT_CHANGES))))
    return ServiceUnderTest(
        [*replica_processes], [replica.listen for replica in replica_processes], change, end
    )


async def measure(
    label: str, subject: ServiceUnderTest, servers: int, watchers: int, changes: int
) -> Measurement:
    """Runs the workload on a service and returns the measurement."""
    before, group = subject.memory(), WatcherGroup(watchers)
    try:
        first_lists_s = await group.connect(subject.addresses)
        after = subject.memory()
        delays_ms = []
        for number in range(changes):
            version = await subject.change(number % servers, 1)
            acknowledged = time.monotonic()
            await group.wait_for_version(version)
            delays_ms.append((time.monotonic() - acknowledged) * 1000)
        started_at = time.monotonic()
        for number in range(changes):
            version = await subject.change(number % servers, 2)
        one_by_one = changes / (time.monotonic() - started_at)
        await group.wait_for_version(version)
        started_at = time.monotonic()
        versions = await asyncio.gather(*(subject.change(n % servers, 3) for n in range(CONCURRENT_CHANGES)))
        together = CONCURRENT_CHANGES / (time.monotonic() - started_at)
        await group.wait_for_version(max(versions))
        if group.lost:
            raise LiveError(f"{group.lost} watchers lost their connection")
    finally:
        group.close()
    delays_ms.sort()
    return Measurement(
        label, servers, watchers, round(first_lists_s, 2), round(one_by_one, 1), round(together, 1),
        round(delays_ms[len(delays_ms) // 2], 1), round(delays_ms[int(0.99 * (len(delays_ms) - 1))], 1),
        changes, round((after - before) / max(1, watchers), 1),
    )  # fmt: skip


async def run(servers: int, watchers: int, changes: int) -> list[dict[str, Any]]:
    """Measures the stand-in, one replica and three replicas; returns table rows. Raises LiveError."""
    rows = []
    block, claim = claim_block()
    try:
        for replicas, label in ((0, "the stand-in"), (1, "one replica"), (3, "three replicas")):
            with tempfile.TemporaryDirectory(prefix="lists-") as directory:
                folder = Path(directory)
                events = EventWriter(folder / "events.jsonl", "scale", 0)
                if replicas:
                    subject = await start_service(folder, events, servers, replicas, block)
                else:
                    subject = await start_stand_in(folder, events, servers)
                try:
                    rows.append(asdict(await measure(label, subject, servers, watchers, changes)))
                finally:
                    await subject.end()
                    events.close()
    except TimeoutError:
        raise LiveError(
            f"a change did not reach every watcher within {PROPAGATION_TIMEOUT_S:.0f} s"
        ) from None
    finally:
        claim.close()
    return rows


def format_table(rows: list[dict[str, Any]]) -> str:
    """Formats the measurements as a Markdown table."""
    names = {
        "what": "", "servers": "servers", "watchers": "watchers", "first_lists_s": "all have the list, s",
        "one_by_one": "changes/s, one by one", "together": f"changes/s, {CONCURRENT_CHANGES} at once",
        "told_p50": "ack to last watcher p50, ms", "told_p99": "p99, ms", "changes": "of changes",
        "kb_a_watcher": "KB a watcher",
    }  # fmt: skip
    lines = [f"| {' | '.join(names.values())} |", "|" + "---|" * len(names)]
    lines += [f"| {' | '.join(str(row[name]) for name in names)} |" for row in rows]
    return "\n".join(lines)


def as_json(rows: list[dict[str, Any]]) -> str:
    return orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode()
