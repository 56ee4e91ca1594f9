"""Stand-ins on loopback for cache servers, the origin and discovery, as the protocol page describes them.

They answer at once, so that what a client sees is the router's and the sockets' own time."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from multiprocessing.connection import Connection
from typing import Any, NamedTuple, cast
from urllib.parse import parse_qs, urlsplit

import h11
import hiredis
import orjson

from applehub.node.resp import bulk

MOST_KEPT = 50_000  # keys of a cache; and misses remembered until the origin is asked
REPORT = b"backlog=0,errors_per_s=0.0,x0=0.9"
MISS = b"*3\r\n$-1\r\n" + bulk(b"miss") + bulk(REPORT)


class Reply(NamedTuple):
    """An answer over HTTP."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Counts:
    """What the stand-ins have seen."""

    hits: int = 0
    misses: int = 0
    reads: int = 0
    writes: int = 0
    lists: int = 0


@dataclass(slots=True)
class Fleet:
    """All stand-ins of one play."""

    caches: int
    value: bytes
    counts: Counts = field(default_factory=Counts)
    stores: list[dict[bytes, None]] = field(default_factory=list)
    missed: dict[bytes, int] = field(default_factory=dict)  # by request, which cache lacked its key
    servers: list[asyncio.Server] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    discovery: str = ""

    async def start(self) -> None:
        """Listens on ports that the system gives."""
        for number in range(self.caches):
            self.stores.append({})
            self.endpoints.append(await self._listen(partial(Cache, self, number)))
        self.endpoints.append(await self._listen(lambda: HttpPeer(self.origin)))
        self.discovery = await self._listen(lambda: HttpPeer(self.registry))

    async def _listen(self, make: Callable[[], asyncio.Protocol]) -> str:
        server = await asyncio.get_running_loop().create_server(make, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def targets(self) -> list[dict[str, Any]]:
        """The list as discovery gives it: the caches, then the origin."""
        return [
            {
                "uid": f"cache-{number}" if number < self.caches else "origin",
                "endpoint": endpoint,
                "az": "here",
                "model": "cache" if number < self.caches else "origin",
                "pod_group": 0,
                "state": "Ready",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for number, endpoint in enumerate(self.endpoints)
        ]

    def store(self, cache: int, key: bytes) -> None:
        kept = self.stores[cache]
        kept[key] = None
        if len(kept) > MOST_KEPT:
            del kept[next(iter(kept))]

    async def origin(self, request: h11.Request, body: bytes) -> Reply:
        """Answers a read with the value, and stores it where the request missed; a write with a receipt."""
        key = request.target[1:]
        if request.method == b"PUT":
            self.counts.writes += 1
            for kept in self.stores:
                kept.pop(key, None)
            return Reply(200, b"stored")
        self.counts.reads += 1
        identity = next((value for name, value in request.headers if name == b"x-call-id"), b"")
        cache = self.missed.pop(identity, None)
        if cache is not None:
            self.store(cache, key)
        return Reply(200, self.value)

    async def registry(self, request: h11.Request, body: bytes) -> Reply:
        """The whole list; a watch waits as long as it may, since nothing changes here."""
        self.counts.lists += 1
        asked = parse_qs(urlsplit(request.target.decode()).query)
        if "from" not in asked:
            return Reply(200, orjson.dumps({"rev": 1, "all": True, "targets": self.targets()}))
        await asyncio.sleep(min(60.0, int(asked.get("hold_ms", ["0"])[0]) / 1000))
        return Reply(200, orjson.dumps({"rev": 1, "all": False, "targets": []}))


class Cache(asyncio.Protocol):
    """A connection to a cache server: RESP2, answers in the order of the commands."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            if self.transport is not None:
                self.transport.write(self._answer(command))

    def _answer(self, command: object) -> bytes:
        if not isinstance(command, list) or len(command) < 3:
            return b"-SYNTAX\r\n"
        fleet, name, key = self.fleet, command[0], command[1]
        if name == b"C.GET" and key in fleet.stores[self.number]:
            fleet.counts.hits += 1
            return b"*3\r\n" + bulk(fleet.value) + bulk(b"hit") + bulk(REPORT)
        if name == b"C.GET":
            fleet.counts.misses += 1
            fleet.missed[command[2]] = self.number
            if len(fleet.missed) > MOST_KEPT:
                del fleet.missed[next(iter(fleet.missed))]
            return MISS
        return b"-SYNTAX\r\n"


class HttpPeer(asyncio.Protocol):
    """A connection of HTTP/1.1, one request at a time."""

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


async def _host(pipe: Connection, caches: int, size: int) -> None:
    fleet = Fleet(caches, b"v" * size)
    await fleet.start()
    pipe.send((fleet.discovery, fleet.targets()))
    while True:
        word = await asyncio.to_thread(pipe.recv)
        if word == "end":
            return
        pipe.send(fleet.counts)


def host(pipe: Connection, caches: int, size: int) -> None:
    """A process of stand-ins: tells where they listen, then its counts whenever asked, until told to end."""
    with suppress(EOFError, KeyboardInterrupt):  # whoever started it is gone
        asyncio.run(_host(pipe, caches, size))


def addressed(answer: Callable[[str, h11.Request], Awaitable[Reply]]) -> HttpPeer:
    """A connection whose requests are answered by who asks: the caller's address, then the request."""

    async def handle(request: h11.Request, body: bytes) -> Reply:
        assert peer.transport is not None
        return await answer(peer.transport.get_extra_info("peername")[0], request)

    peer = HttpPeer(handle)
    return peer
