"""Open-loop clients in one process, with a front end that assigns each request to a router.

The front end picks a router that it considers up. A failed connect marks a router as down until it answers a
health check. A request on a reused connection that closes without a response is retried once on a new one."""

import asyncio
import math
import time
from pathlib import Path
from typing import cast

import hiredis

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.control import Handler, Json
from applehub.lab.streams import RandomStream
from applehub.node.discovery import read_endpoint
from applehub.node.resp import command

HEALTH_CHECK_DELAY_S = 0.25  # delay until the next health check of a router that is down
MAX_CONNECTIONS = 40  # maximum number of connections to each router


class Request:
    """A request in flight."""

    __slots__ = (
        "cls",
        "disconnect_after_s",
        "key",
        "name",
        "payload",
        "retried",
        "router",
        "sent_at",
        "timer",
    )

    def __init__(self, name: str, router: str, cls: str, key: str, payload: bytes) -> None:
        self.name, self.router, self.cls, self.key, self.payload = name, router, cls, key, payload
        self.sent_at, self.retried = 0, False  # time of the first attempt, ns
        self.disconnect_after_s = 0.0  # time from sending to the disconnect; 0: the client stays
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """A connection to a router, with at most one request in flight."""

    def __init__(self, router: "Router") -> None:
        self.router, self.reader = router, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self.used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.router.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            self.router.response_received(self, answer)

    def send(self, request: Request) -> None:
        assert self.transport is not None
        self.request = request
        self.transport.write(request.payload)


class Router:
    """One router as the clients see it: its connections and whether it is up."""

    def __init__(self, clients: "Clients", name: str, address: str) -> None:
        self.clients, self.name, self.address = clients, name, read_endpoint(address)
        self.available, self.draining = True, False
        self.idle: list[Connection] = []
        self.connections: set[Connection] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()

    def submit(self, request: Request, new_connection: bool = False) -> None:
        while self.idle and not new_connection:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._send(connection, request)
                return
        if len(self.connections) + len(self.connect_tasks) >= MAX_CONNECTIONS:
            self.clients.fail_connect(request, "no connection free")
            return
        task = self.clients.loop.create_task(self._open_connection(request))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def _open_connection(self, request: Request) -> None:
        try:
            async with asyncio.timeout(1.0):
                connection = await self._connect()
        except (OSError, TimeoutError) as problem:
            if self.available:
                self.available = False
                self.clients.loop.call_later(HEALTH_CHECK_DELAY_S, self._start_health_check)
            self.clients.fail_connect(request, type(problem).__name__)
            return
        if connection.transport is None:
            self.clients.fail_connect(request, "closed at once")
        else:
            self._send(connection, request)

    async def _connect(self) -> Connection:
        _, connection = await self.clients.loop.create_connection(
            lambda: Connection(self), *self.address, local_addr=(self.clients.source, 0)
        )
        self.connections.add(connection)
        return connection

    def _start_health_check(self) -> None:
        task = self.clients.loop.create_task(self._check_health())
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def _check_health(self) -> None:
        """Marks a router as up if it answers PING, else schedules another health check."""
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
            self.available = True
        else:
            self.clients.loop.call_later(HEALTH_CHECK_DELAY_S, self._start_health_check)

    def _send(self, connection: Connection, request: Request) -> None:
        clients = self.clients
        connection.send(request)
        if not request.retried:
            request.sent_at = time.monotonic_ns()
            clients.events.write(
                EventKind.REQUEST_SENT, request=request.name, router=self.name, cls=request.cls,
                key=request.key, wait_ms=clients.wait_ms,
            )  # fmt: skip
            timeout_s = clients.wait_ms / 1000 + clients.timeout_slack_s
            request.timer = clients.loop.call_later(timeout_s, self._time_out, connection, request)
            if request.disconnect_after_s:
                clients.loop.call_later(request.disconnect_after_s, self._disconnect, connection, request)

    def _disconnect(self, connection: Connection, request: Request) -> None:
        """Simulates a client that leaves: aborts the connection if the request is still in flight."""
        if connection.request is request:
            connection.request = None
            self.clients.end(request, EventKind.CLIENT_LEFT)
            if connection.transport is not None:
                connection.transport.abort()

    def _time_out(self, connection: Connection, request: Request) -> None:
        self.clients.end(request, EventKind.REQUEST_TIMED_OUT)
        for open_connection in self.connections:
            if open_connection.request is request:
                open_connection.request = None
                if open_connection.transport is not None:
                    open_connection.transport.abort()

    def response_received(self, connection: Connection, answer: object) -> None:
        request, connection.request, connection.used = connection.request, None, True
        if request is None:
            self.clients.events.write(EventKind.ANSWER_UNEXPECTED, router=self.name, answer=repr(answer)[:60])
            return
        if isinstance(answer, bytes):
            outcome = "served"
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            outcome = "refused"
        else:
            outcome = "failed"
        duration_ms = (time.monotonic_ns() - request.sent_at) / 1e6
        self.clients.end(request, EventKind.REQUEST_ANSWERED, how=outcome, ms=round(duration_ms, 1))
        self.idle.append(connection)

    def connection_closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        request, connection.request = connection.request, None
        if request is None or request.name not in self.clients.in_flight:
            return
        if connection.used and not request.retried:
            request.retried = True
            self.submit(request, new_connection=True)
        else:
            self.clients.end(request, EventKind.CLOSED_UNANSWERED)


class Clients:
    """All clients of a run."""

    def __init__(self, message: Json, events: EventWriter) -> None:
        self.options, self.events, self.loop = message, events, asyncio.get_running_loop()
        self.source, self.wait_ms, self.timeout_slack_s = (
            message["source"],
            message["wait_ms"],
            message["slack_ms"] / 1000,
        )
        self.routers = [Router(self, name, address) for name, address in message["routers"].items()]
        self.draws = RandomStream(message["seed"], "clients")
        self.value = b"w" * message["value"]
        self.in_flight: dict[str, Request] = {}
        self.count = 0
        self.stopping = asyncio.Event()
        self.load_task: asyncio.Task[None] | None = None

    async def command(self, message: Json) -> Json:
        """Executes a command of the harness; returns the number of requests sent.

        begin: starts the load. leaving, back: stops or resumes sending to a router. end: stops the load and
        waits for the requests in flight."""
        match message["do"]:
            case "begin":
                self.load_task = self.loop.create_task(self._generate_load())
            case "leaving" | "back":
                for router in self.routers:
                    if router.name == message["router"]:
                        router.draining = message["do"] == "leaving"
            case "end":
                self.stopping.set()
                if self.load_task is not None:
                    await self.load_task
        return {"asked": self.count}

    async def _generate_load(self) -> None:
        next_send_at = self.loop.time()
        while not self.stopping.is_set():
            next_send_at += -math.log(1 - self.draws.uniform()) / self.options["rate"]
            if (delay := next_send_at - self.loop.time()) > 0:
                await asyncio.sleep(delay)
            self._send_request()
        while self.in_flight:
            await asyncio.sleep(0.01)

    def _send_request(self) -> None:
        self.count += 1
        available = [router for router in self.routers if router.available and not router.draining]
        router = (available or self.routers)[self.draws.below(len(available or self.routers))]
        # Keys have a Zipf distribution: p(rank) ~ 1 / rank.
        key = b"key-%d" % int(self.options["keys"] ** self.draws.uniform())
        kind_draw, name = self.draws.uniform(), b"%016x" % (self.count + (self.options["seed"] << 40))
        info = b"d=%d" % self.wait_ms
        if kind_draw < self.options["puts"]:
            cls, arguments = "put", (b"C.SET", key, name, b"c=put,%s,k=%s" % (info, name), self.value)
        elif kind_draw < self.options["puts"] + self.options["once"]:
            cls, arguments = "once", (b"C.SET", key, name, b"c=once," + info, self.value)
        else:
            cls, arguments = "read", (b"C.GET", key, name, b"c=read," + info)  # type: ignore[assignment]
        request = Request(name.decode(), router.name, cls, key.decode(), command(*arguments))
        if self.options["leaves"] and self.draws.uniform() < self.options["leaves"]:
            request.disconnect_after_s = max(0.001, self.draws.uniform() * self.options["leaves_ms"] / 1000)
        self.in_flight[request.name] = request
        router.submit(request)

    def end(self, request: Request, event: EventKind, **fields: object) -> None:
        if self.in_flight.pop(request.name, None) is None:
            return
        if request.timer is not None:
            request.timer.cancel()
        self.events.write(event, request=request.name, router=request.router, **fields)

    def fail_connect(self, request: Request, reason: str) -> None:
        """Ends a request that got no connection; a retried request counts as closed unanswered."""
        self.end(
            request, EventKind.CLOSED_UNANSWERED if request.retried else EventKind.CONNECT_FAILED, why=reason
        )


async def begin(message: Json) -> tuple[Json, Handler]:
    clients = Clients(message, EventWriter(Path(message["events"]), message["name"], message["incarnation"]))
    return {}, clients.command
