"""A stand-in for a list service of limited capacity and high latency, which serves HTTP on loopback."""

import asyncio
import math
import socket
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from applehub.lab.fleet.service_queue import CallQueue, QueuedCall, ServiceBehavior
from applehub.lab.live.fake_servers import HttpConnection, Reply
from applehub.node.pool import Endpoint
from applehub.settings import Json

MAX_HOLD_S = 60.0
BACKLOG = 1024


@dataclass(slots=True)
class CallCounts:
    """Counts of calls by outcome. A call that is still open is counted in `calls` only."""

    calls: int = 0
    went_on: int = 0  # watches sent soon after an answer on their connection, which take no capacity
    lapsed: int = 0  # watches sent too late after an answer on their connection, which take capacity
    answered: int = 0
    refused: int = 0
    wasted: int = 0  # calls that took capacity, but whose caller closed the connection before the answer
    left: int = 0  # calls whose caller closed the connection before they took capacity, or while unresponsive
    cut: int = 0  # calls reset by an outage


@dataclass(frozen=True, slots=True)
class Query:
    """The parameters of a call."""

    since: int | None  # the version of the list that the caller has
    hold_s: float | None  # seconds to wait for a change; None if the call is no watch

    @property
    def is_watch(self) -> bool:
        return self.since is not None and self.hold_s is not None


def read_query(target: str) -> Query:
    parameters = parse_qs(urlsplit(target).query)
    since = int(parameters["from"][0]) if "from" in parameters else None
    hold_s = min(MAX_HOLD_S, int(parameters["hold_ms"][0]) / 1000) if "hold_ms" in parameters else None
    return Query(since, hold_s)


class _Connection(HttpConnection):
    """A caller's connection."""

    def __init__(self, registry: "SlowRegistry") -> None:
        super().__init__(self._answer)
        self.registry = registry
        self.answered_at = -math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.registry.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.connections.discard(self)
        super().connection_lost(exc)

    async def _answer(self, request: h11.Request, body: bytes) -> Reply:
        return await self.registry.answer(self, read_query(request.target.decode()))


@dataclass(slots=True, eq=False)
class _Call:
    """The state of an open call, by which the call is counted if its caller leaves."""

    queued_call: QueuedCall | None = None
    silent: bool = False


class SlowRegistry:
    """A list service with a versioned list, watches, and faults on demand."""

    def __init__(self, service: ServiceBehavior, entries: list[Json], seed: int) -> None:
        self.service, self.random = service, Random(seed)
        self.loop = asyncio.get_running_loop()
        self.queue = CallQueue(service, self.loop.time)
        self.entries, self.version = entries, 1
        self.changed_versions = [0] * len(entries)  # version of the latest change of each entry
        self.counts = CallCounts()
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None
        self.start_futures: dict[QueuedCall, asyncio.Future[None]] = {}
        # Open watches, in order. The result of a future is True if its watch becomes unresponsive.
        self.watches: dict[asyncio.Future[bool], None] = {}
        self.notify_tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        # Bound but never listening: reserves the port, which refuses connections during an outage.
        self.port_holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    async def start(self) -> Endpoint:
        """Listens on an ephemeral port of 127.0.0.1 and returns the endpoint."""
        self.port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_holder.bind(("127.0.0.1", 0))
        await self.resume_serving()
        return self.endpoint

    @property
    def endpoint(self) -> Endpoint:
        host, port = self.port_holder.getsockname()
        return host, port

    def change(self) -> int:
        """Changes the next entry, round robin, and returns the new version."""
        self.version += 1
        index = self.version % len(self.entries)
        self.entries[index] = {**self.entries[index], "pod_group": self.version}
        self.changed_versions[index] = self.version
        notify_task = self.loop.create_task(self._notify(self._pop_watches()))
        self.notify_tasks.add(notify_task)
        notify_task.add_done_callback(self.notify_tasks.discard)
        return self.version

    async def _notify(self, watches: list[asyncio.Future[bool]]) -> None:
        """Answers the watches one by one.

        Many callers share a process, and this lets each continue right after its own answer."""
        for watch in watches:
            if not watch.done():
                watch.set_result(False)
                await asyncio.sleep(0)

    def silence_watches(self) -> None:
        """Makes all open watches unresponsive: they are never answered, but their connections stay open."""
        for watch in self._pop_watches():
            if not watch.done():
                watch.set_result(True)

    def _pop_watches(self) -> list[asyncio.Future[bool]]:
        watches, self.watches = list(self.watches), {}
        return watches

    def stop_serving(self) -> None:
        """Resets all connections and refuses new ones until `resume_serving` is called."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self.queue.clear()
        self._schedule_next_start()

    async def resume_serving(self) -> None:
        self.server = await self.loop.create_server(
            lambda: _Connection(self), *self.endpoint, backlog=BACKLOG, reuse_address=True
        )

    async def close(self) -> None:
        """Stops the service, releases its port and waits until its connections are closed."""
        self.stop_serving()
        self.port_holder.close()
        while self.connections:
            await asyncio.sleep(0)

    async def answer(self, connection: _Connection, query: Query) -> Reply:
        """Answers one call. The task is cancelled when the caller's connection ends."""
        self.counts.calls += 1
        call = _Call()
        try:
            is_continued = self._is_continued(connection, query)
            if not is_continued and not await self._wait_for_start(call):
                self.counts.refused += 1
                return Reply(503, b"")
            if not is_continued or self.service.late_watches:
                await asyncio.sleep(self.service.draw_latency(self.random))
            await self._hold(call, query)
        except asyncio.CancelledError:
            self._count_abandoned(call)
            raise
        self.counts.answered += 1
        connection.answered_at = self.loop.time()
        return Reply(200, self._list_body(query.since))

    def _is_continued(self, connection: _Connection, query: Query) -> bool:
        """Returns whether the call is a watch that follows closely on the last answer of its connection."""
        if not query.is_watch or connection.answered_at == -math.inf:
            return False
        is_in_time = self.loop.time() - connection.answered_at <= self.service.continue_window_s
        self.counts.went_on += is_in_time
        self.counts.lapsed += not is_in_time
        return is_in_time

    async def _wait_for_start(self, call: _Call) -> bool:
        """Waits until the service starts the call; returns False if the call is rejected."""
        queued_call = call.queued_call = self.queue.enqueue()
        if queued_call is None:
            return False
        started = self.start_futures[queued_call] = self.loop.create_future()
        self._start_due_calls()
        try:
            await started
        except asyncio.CancelledError:
            if self.queue.abandon(queued_call):
                call.queued_call = None
            self._schedule_next_start()
            raise
        finally:
            del self.start_futures[queued_call]
        return True

    def _start_due_calls(self) -> None:
        for queued_call in self.queue.start_due_calls():
            started = self.start_futures.get(queued_call)
            if started is not None and not started.done():
                started.set_result(None)
        self._schedule_next_start()

    def _schedule_next_start(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        next_start_at = self.queue.next_start_at()
        self.timer = (
            None if next_start_at is None else self.loop.call_at(next_start_at, self._start_due_calls)
        )

    async def _hold(self, call: _Call, query: Query) -> None:
        """Waits for a change for up to the hold time, or forever if the watch becomes unresponsive."""
        deadline = self.loop.time() + (query.hold_s or 0.0)
        while query.since == self.version and (remaining_s := deadline - self.loop.time()) > 0:
            watch: asyncio.Future[bool] = self.loop.create_future()
            self.watches[watch] = None
            try:
                async with asyncio.timeout(remaining_s):
                    call.silent = await watch
            except TimeoutError:
                return
            finally:
                self.watches.pop(watch, None)
            if call.silent:
                await self.loop.create_future()

    def _count_abandoned(self, call: _Call) -> None:
        if self.server is None:
            self.counts.cut += 1
        elif call.queued_call is None or call.silent:
            self.counts.left += 1
        else:
            self.counts.wasted += 1

    def _list_body(self, since: int | None) -> bytes:
        complete = since is None or since > self.version
        changed = zip(self.entries, self.changed_versions, strict=True)
        targets = [entry for entry, version in changed if complete or version > (since or 0)]
        return orjson.dumps({"rev": self.version, "all": complete, "targets": targets})
