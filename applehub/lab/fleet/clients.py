"""Open-loop clients as a process: what is due goes out whatever came back, over connections that a front
deals.

The front deals each request to a router that it believes to be up; it learns that one is away when no
connection comes up there, and tries again a little later. A request whose connection is closed without a byte
of an answer is sent once more on a new one where the connection had served before, as the protocol has it."""

import asyncio
import math
import time
from pathlib import Path
from typing import cast

import hiredis

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.control import Handler, Json
from applehub.lab.streams import Draws
from applehub.node.discovery import read_endpoint
from applehub.node.resp import command

TRY_AGAIN = 0.25  # s until the front tries a router that was away
LINES = 40  # connections to a router at the most


class Asked:
    """One request."""

    __slots__ = ("again", "at", "cls", "key", "leaves", "name", "router", "timer", "words")

    def __init__(self, name: str, router: str, cls: str, key: str, words: bytes) -> None:
        self.name, self.router, self.cls, self.key, self.words = name, router, cls, key, words
        self.at, self.again = 0, False
        self.leaves = 0.0  # s after it was sent; 0: it stays
        self.timer: asyncio.TimerHandle | None = None


class Line(asyncio.Protocol):
    """A connection to a router, with one request at a time."""

    def __init__(self, router: "Router") -> None:
        self.router, self.reader = router, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.asked: Asked | None = None
        self.used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.router.lost(self)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            self.router.answered(self, answer)

    def send(self, asked: Asked) -> None:
        assert self.transport is not None
        self.asked = asked
        self.transport.write(asked.words)


class Router:
    """What the clients hold of one router."""

    def __init__(self, clients: "Clients", name: str, address: str) -> None:
        self.clients, self.name, self.address = clients, name, read_endpoint(address)
        self.up, self.leaving = True, False
        self.idle: list[Line] = []
        self.lines: set[Line] = set()
        self.dialling: set[asyncio.Task[None]] = set()

    def ask(self, asked: Asked, fresh: bool = False) -> None:
        while self.idle and not fresh:
            line = self.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                self._send(line, asked)
                return
        if len(self.lines) + len(self.dialling) >= LINES:
            self.clients.unreached(asked, "no connection free")
            return
        task = self.clients.loop.create_task(self._dial(asked))
        self.dialling.add(task)
        task.add_done_callback(self.dialling.discard)

    async def _dial(self, asked: Asked) -> None:
        try:
            async with asyncio.timeout(1.0):
                line = await self._connected()
        except (OSError, TimeoutError) as problem:
            if self.up:
                self.up = False
                self.clients.loop.call_later(TRY_AGAIN, self._try)
            self.clients.unreached(asked, type(problem).__name__)
            return
        if line.transport is None:
            self.clients.unreached(asked, "closed at once")
        else:
            self._send(line, asked)

    async def _connected(self) -> Line:
        _, line = await self.clients.loop.create_connection(
            lambda: Line(self), *self.address, local_addr=(self.clients.source, 0)
        )
        self.lines.add(line)
        return line

    def _try(self) -> None:
        task = self.clients.loop.create_task(self._knock())
        self.dialling.add(task)
        task.add_done_callback(self.dialling.discard)

    async def _knock(self) -> None:
        """Takes up a router that answers PING again."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    *self.address, local_addr=(self.clients.source, 0)
                )
                writer.write(command(b"PING"))
                pong = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pong = b""
        if pong == b"+PONG\r\n":
            self.up = True
        else:
            self.clients.loop.call_later(TRY_AGAIN, self._try)

    def _send(self, line: Line, asked: Asked) -> None:
        clients = self.clients
        line.send(asked)
        if not asked.again:
            asked.at = time.monotonic_ns()
            clients.events.write(
                EventKind.REQUEST_SENT, request=asked.name, router=self.name, cls=asked.cls, key=asked.key,
                wait_ms=clients.wait_ms,
            )  # fmt: skip
            left = clients.wait_ms / 1000 + clients.slack
            asked.timer = clients.loop.call_later(left, self._give_up, line, asked)
            if asked.leaves:
                clients.loop.call_later(asked.leaves, self._leave, line, asked)

    def _leave(self, line: Line, asked: Asked) -> None:
        """Its client goes, if it still waits there: whatever else waits on that connection goes with it."""
        if line.asked is asked:
            line.asked = None
            self.clients.end(asked, EventKind.CLIENT_LEFT)
            if line.transport is not None:
                line.transport.abort()

    def _give_up(self, line: Line, asked: Asked) -> None:
        self.clients.end(asked, EventKind.REQUEST_TIMED_OUT)
        for one in self.lines:
            if one.asked is asked:
                one.asked = None
                if one.transport is not None:
                    one.transport.abort()

    def answered(self, line: Line, answer: object) -> None:
        asked, line.asked, line.used = line.asked, None, True
        if asked is None:
            self.clients.events.write(EventKind.ANSWER_UNEXPECTED, router=self.name, answer=repr(answer)[:60])
            return
        if isinstance(answer, bytes):
            how = "served"
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            how = "refused"
        else:
            how = "failed"
        took = (time.monotonic_ns() - asked.at) / 1e6
        self.clients.end(asked, EventKind.REQUEST_ANSWERED, how=how, ms=round(took, 1))
        self.idle.append(line)

    def lost(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        asked, line.asked = line.asked, None
        if asked is None or asked.name not in self.clients.open:
            return
        if line.used and not asked.again:
            asked.again = True
            self.ask(asked, fresh=True)
        else:
            self.clients.end(asked, EventKind.CLOSED_UNANSWERED)


class Clients:
    """All clients of a play."""

    def __init__(self, told: Json, events: EventWriter) -> None:
        self.told, self.events, self.loop = told, events, asyncio.get_running_loop()
        self.source, self.wait_ms, self.slack = told["source"], told["wait_ms"], told["slack_ms"] / 1000
        self.routers = [Router(self, name, address) for name, address in told["routers"].items()]
        self.draws = Draws(told["seed"], "clients")
        self.value = b"w" * told["value"]
        self.open: dict[str, Asked] = {}
        self.count = 0
        self.ending = asyncio.Event()
        self.playing: asyncio.Task[None] | None = None

    async def command(self, told: Json) -> Json:
        """begin: the load. leaving, back: the front sends no more to a router, or again. end: the load ends
        once all that is out has ended; gives how many were asked."""
        match told["do"]:
            case "begin":
                self.playing = self.loop.create_task(self._play())
            case "leaving" | "back":
                for router in self.routers:
                    if router.name == told["router"]:
                        router.leaving = told["do"] == "leaving"
            case "end":
                self.ending.set()
                if self.playing is not None:
                    await self.playing
        return {"asked": self.count}

    async def _play(self) -> None:
        due = self.loop.time()
        while not self.ending.is_set():
            due += -math.log(1 - self.draws.uniform()) / self.told["rate"]
            if (left := due - self.loop.time()) > 0:
                await asyncio.sleep(left)
            self._ask()
        while self.open:
            await asyncio.sleep(0.01)

    def _ask(self) -> None:
        self.count += 1
        up = [router for router in self.routers if router.up and not router.leaving]
        router = (up or self.routers)[self.draws.below(len(up or self.routers))]
        key = b"key-%d" % int(self.told["keys"] ** self.draws.uniform())  # p(rank) falls as 1 / rank
        kind, name = self.draws.uniform(), b"%016x" % (self.count + (self.told["seed"] << 40))
        info = b"d=%d" % self.wait_ms
        if kind < self.told["puts"]:
            cls, words = "put", (b"C.SET", key, name, b"c=put,%s,k=%s" % (info, name), self.value)
        elif kind < self.told["puts"] + self.told["once"]:
            cls, words = "once", (b"C.SET", key, name, b"c=once," + info, self.value)
        else:
            cls, words = "read", (b"C.GET", key, name, b"c=read," + info)  # type: ignore[assignment]
        asked = Asked(name.decode(), router.name, cls, key.decode(), command(*words))
        if self.told["leaves"] and self.draws.uniform() < self.told["leaves"]:
            asked.leaves = max(0.001, self.draws.uniform() * self.told["leaves_ms"] / 1000)
        self.open[asked.name] = asked
        router.ask(asked)

    def end(self, asked: Asked, event: EventKind, **more: object) -> None:
        if self.open.pop(asked.name, None) is None:
            return
        if asked.timer is not None:
            asked.timer.cancel()
        self.events.write(event, request=asked.name, router=asked.router, **more)

    def unreached(self, asked: Asked, why: str) -> None:
        """No connection came up: the request was never taken, unless an earlier connection had taken it."""
        self.end(asked, EventKind.CLOSED_UNANSWERED if asked.again else EventKind.CONNECT_FAILED, why=why)


async def begin(told: Json) -> tuple[Json, Handler]:
    clients = Clients(told, EventWriter(Path(told["events"]), told["name"], told["incarnation"]))
    return {}, clients.command
