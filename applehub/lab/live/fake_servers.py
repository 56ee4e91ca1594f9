"""Fake cache servers, origin and discovery service on loopback, which speak the protocols of the real ones.

They answer immediately unless a plan sets a service time, so that clients measure only the time of the router
and the sockets.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from multiprocessing.connection import Connection
from typing import Any, NamedTuple, cast
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

import h11
import hiredis
import orjson

from applehub.node.resp import bulk

MAX_KEYS = 50_000  # limit of the keys of a cache server, and of the recorded misses
QUEUE_FACTOR = 3  # queue limit of a cache server, relative to its concurrency; further requests get BUSY
DRAIN_TIME = 1.0  # s; time from state Terminating to state Gone
LISTEN_AFTER_GONE = 1.0  # s; time for which a server still listens in state Gone
Entry = dict[str, Any]  # entry of the endpoint list, as in the answers of discovery


def server_id(kind: str, number: int) -> str:
    """Returns the id of a cache server, prefixed by a hash.

    Key ranges follow the order of the ids, so the hash spreads the replaced servers over the key space.
    """
    return f"s-{crc32(b'%b-%d' % (kind.encode(), number)):08x}-{kind}-{number}"


class Reply(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Counts:
    """Counters of the fake servers."""

    hits: int = 0
    misses: int = 0
    reads: int = 0
    writes: int = 0
    lists: int = 0  # requests that discovery received
    list_bytes: int = 0  # bytes of bodies sent by discovery
    busy: int = 0  # requests rejected by a cache server whose queue was full
    connections: int = 0  # connections that cache servers accepted


@dataclass(frozen=True, slots=True)
class Plan:
    """Number and capacity of the fake cache servers."""

    caches: int
    value: int  # size of a value, bytes
    concurrency: int = 0  # requests that a cache server serves at a time; 0: unlimited and immediate
    work_s: float = 0.0  # service time of a request


@dataclass(slots=True)
class CacheState:
    """State of one cache server: its keys, connections and queue."""

    name: str
    keys: dict[bytes, None] = field(default_factory=dict)
    open_connections: set["CacheConnection"] = field(default_factory=set)
    in_service: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)  # FIFO queue

    def put(self, key: bytes) -> None:
        self.keys[key] = None
        if len(self.keys) > MAX_KEYS:
            del self.keys[next(iter(self.keys))]

    def report(self) -> bytes:
        return b"backlog=%d,errors_per_s=0.0,x0=0.9" % len(self.waiting)


@dataclass(slots=True)
class Fleet:
    """All fake servers of one load test."""

    plan: Plan
    counts: Counts = field(default_factory=Counts)
    stores: dict[str, CacheState] = field(default_factory=dict)
    missed: dict[bytes, str] = field(default_factory=dict)  # id of the server that missed, by request id
    servers: dict[str, asyncio.Server] = field(default_factory=dict)
    listed: dict[str, Entry] = field(default_factory=dict)
    rev: int = 1
    changes: list[Entry] = field(default_factory=list)  # the change at index n led to version n + 2
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    discovery: str = ""

    async def start(self) -> None:
        """Starts all servers on ephemeral ports."""
        for number in range(self.plan.caches):
            await self._add_cache_server(server_id("cache", number), 0)
        self.listed["origin"] = self._entry(
            "origin", await self._listen("origin", self._origin_connection), 0
        )
        self.discovery = await self._listen("discovery", lambda: HttpConnection(self.registry))

    def _origin_connection(self) -> "HttpConnection":
        return HttpConnection(self.origin)

    async def _add_cache_server(self, name: str, boot_ms: int) -> Entry:
        self.stores[name] = store = CacheState(name)
        entry = self._entry(name, await self._listen(name, partial(CacheConnection, self, store)), boot_ms)
        self.listed[name] = entry
        return entry

    async def _listen(self, name: str, factory: Callable[[], asyncio.Protocol]) -> str:
        server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0)
        self.servers[name] = server
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    @staticmethod
    def _entry(name: str, endpoint: str, boot_ms: int) -> Entry:
        return {
            "uid": name,
            "endpoint": endpoint,
            "az": "here",
            "model": "origin" if name == "origin" else "cache",
            "pod_group": 0,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    def targets(self) -> list[Entry]:
        """Returns the endpoint list: the cache servers, then the origin."""
        return list(self.listed.values())

    async def replace(self, fraction: float, duration: float) -> None:
        """Replaces a fraction of the cache servers by empty ones, evenly over `duration` seconds.

        Each change is published immediately.
        """
        loop = asyncio.get_running_loop()
        started_at, names = loop.time(), [name for name in self.listed if name != "origin"]
        replaced = names[: round(fraction * len(names))]
        for number, name in enumerate(replaced):
            await asyncio.sleep(max(0.0, started_at + duration * number / len(replaced) - loop.time()))
            self._publish(await self._add_cache_server(server_id("new", number), time.time_ns() // 1_000_000))
            self._publish({**self.listed[name], "state": "Terminating"})
            loop.call_later(DRAIN_TIME, self._mark_gone, name)

    def _mark_gone(self, name: str) -> None:
        self._publish({**self.listed[name], "state": "Gone"})
        asyncio.get_running_loop().call_later(LISTEN_AFTER_GONE, self._close_server, name)

    def _close_server(self, name: str) -> None:
        self.servers.pop(name).close()
        for connection in list(self.stores.pop(name).open_connections):
            connection.close()

    def _publish(self, entry: Entry) -> None:
        """Publishes a change of an entry to all watches."""
        self.rev += 1
        self.changes.append(entry)
        if entry["state"] == "Gone":
            self.listed.pop(entry["uid"], None)
        else:
            self.listed[entry["uid"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    async def origin(self, request: h11.Request, body: bytes) -> Reply:
        """Handles a request to the origin.

        A read also stores the key at the cache server that missed it; a write removes the key from all cache
        servers.
        """
        key = request.target[1:]
        if request.method == b"PUT":
            self.counts.writes += 1
            for store in self.stores.values():
                store.keys.pop(key, None)
            return Reply(200, b"stored")
        self.counts.reads += 1
        request_id = next((value for name, value in request.headers if name == b"x-call-id"), b"")
        missing_store = self.stores.get(self.missed.pop(request_id, ""))
        if missing_store is not None:
            missing_store.put(key)
        return Reply(200, b"v" * self.plan.value)

    async def registry(self, request: h11.Request, body: bytes) -> Reply:
        """Handles a request to discovery: the complete list, or a long poll for changes since a version."""
        self.counts.lists += 1
        query = parse_qs(urlsplit(request.target.decode()).query)
        if "from" in query:
            known_version, timeout = (
                int(query["from"][0]),
                min(60.0, int(query.get("hold_ms", ["0"])[0]) / 1000),
            )
            if known_version >= self.rev:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), timeout)
            latest = {entry["uid"]: entry for entry in self.changes[max(0, known_version - 1) :]}
            answer = orjson.dumps({"rev": self.rev, "all": False, "targets": list(latest.values())})
        else:
            answer = orjson.dumps({"rev": self.rev, "all": True, "targets": self.targets()})
        self.counts.list_bytes += len(answer)
        return Reply(200, answer)


class CacheConnection(asyncio.Protocol):
    """Server side of a connection to a cache server, which speaks RESP2."""

    def __init__(self, fleet: Fleet, store: CacheState) -> None:
        self.fleet, self.store = fleet, store
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.fleet.counts.connections += 1
        self.store.open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.store.open_connections.discard(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            self._handle_command(command)

    def _handle_command(self, command: object) -> None:
        """Answers immediately, or after the service time of the plan."""
        plan, store = self.fleet.plan, self.store
        if not plan.concurrency:
            self._answer(command)
        elif store.in_service < plan.concurrency:
            self._start_work(command)
        elif len(store.waiting) < QUEUE_FACTOR * plan.concurrency:
            store.waiting.append(partial(self._start_work, command))
        else:
            self.fleet.counts.busy += 1
            self._write(b"-BUSY " + store.report() + b"\r\n")

    def _start_work(self, command: object) -> None:
        self.store.in_service += 1
        asyncio.get_running_loop().call_later(self.fleet.plan.work_s, self._finish_work, command)

    def _finish_work(self, command: object) -> None:
        self.store.in_service -= 1
        self._answer(command)
        if self.store.waiting:
            self.store.waiting.pop(0)()

    def _write(self, answer: bytes) -> None:
        if self.transport is not None:
            self.transport.write(answer)

    def _answer(self, command: object) -> None:
        if not isinstance(command, list) or len(command) < 3 or command[0] != b"C.GET":
            self._write(b"-SYNTAX\r\n")
            return
        fleet, key = self.fleet, command[1]
        if key in self.store.keys:
            fleet.counts.hits += 1
            value = b"v" * fleet.plan.value
            self._write(b"*3\r\n" + bulk(value) + bulk(b"hit") + bulk(self.store.report()))
            return
        fleet.counts.misses += 1
        fleet.missed[command[2]] = self.store.name
        if len(fleet.missed) > MAX_KEYS:
            del fleet.missed[next(iter(fleet.missed))]
        self._write(b"*3\r\n$-1\r\n" + bulk(b"miss") + bulk(self.store.report()))


class HttpConnection(asyncio.Protocol):
    """Server side of an HTTP/1.1 connection, one request at a time."""

    def __init__(self, handle: Callable[[h11.Request, bytes], Awaitable[Reply]]) -> None:
        self.handle = handle
        self.http = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.http.receive_data(data)
        self._advance()

    def _advance(self) -> None:
        while self.task is None:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                self._close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self.request = event
                self.body.clear()
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.task = asyncio.get_running_loop().create_task(self._reply())

    async def _reply(self) -> None:
        assert self.request is not None
        reply = await self.handle(self.request, bytes(self.body))
        headers = [("Content-Length", str(len(reply.body))), *reply.headers]
        head = h11.Response(status_code=reply.status, headers=headers)
        events = (head, h11.Data(data=reply.body), h11.EndOfMessage())
        answer = b"".join(self.http.send(event) or b"" for event in events)
        self.task = None
        if self.transport is None:
            return
        self.transport.write(answer)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self._advance()
        else:
            self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()


async def _serve_pipe(pipe: Connection, plan: Plan) -> None:
    fleet, replacements = Fleet(plan), set()
    await fleet.start()
    pipe.send((fleet.discovery, fleet.targets()))
    while True:
        command = await asyncio.to_thread(pipe.recv)
        if command == "end":
            return
        if command == "counts":
            pipe.send(fleet.counts)
        else:
            replacements.add(asyncio.create_task(fleet.replace(*command)))


def run_fake_servers(pipe: Connection, plan: Plan) -> None:
    """Runs the fake servers in a child process: sends their addresses, then serves commands from the pipe.

    "counts": sends the counters. "end": exits. A pair (fraction, seconds): replaces cache servers.
    """
    with suppress(EOFError, KeyboardInterrupt):  # the parent process has exited
        asyncio.run(_serve_pipe(pipe, plan))


def connection_with_peer_address(answer: Callable[[str, h11.Request], Awaitable[Reply]]) -> HttpConnection:
    """Returns a connection whose handler gets the peer's IP address and the request."""

    async def handle(request: h11.Request, body: bytes) -> Reply:
        assert peer.transport is not None
        return await answer(peer.transport.get_extra_info("peername")[0], request)

    peer = HttpConnection(handle)
    return peer
