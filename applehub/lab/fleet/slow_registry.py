"""A stand-in for a list service that answers in turn and late: HTTP on loopback before a `TurnQueue`."""

import asyncio
import math
import socket
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from applehub.lab.fleet.turns import Service, Turn, TurnQueue
from applehub.lab.live.standins import HttpPeer, Reply
from applehub.node.pool import Endpoint
from applehub.settings import Json

MOST_HOLD = 60.0  # s that a watch may be held
BACKLOG = 1024


@dataclass(slots=True)
class CallCounts:
    """What became of the calls. A call that is still out is in `calls` alone."""

    calls: int = 0
    went_on: int = 0  # watches that went on, without a turn
    lapsed: int = 0  # watches that came too late after the last answer on their connection to go on
    answered: int = 0
    refused: int = 0
    wasted: int = 0  # took a turn, and the caller had closed the connection before the answer
    left: int = 0  # closed by the caller at no cost: before its turn, or a watch without one, or a silent one
    cut: int = 0  # reset as the service went down


@dataclass(frozen=True, slots=True)
class Query:
    """What a call asks for."""

    since: int | None  # the version that the caller has
    hold: float | None  # s to wait for news; None where the call is no watch

    @property
    def is_watch(self) -> bool:
        return self.since is not None and self.hold is not None


def read_query(target: str) -> Query:
    asked = parse_qs(urlsplit(target).query)
    since = int(asked["from"][0]) if "from" in asked else None
    hold = min(MOST_HOLD, int(asked["hold_ms"][0]) / 1000) if "hold_ms" in asked else None
    return Query(since, hold)


class _Line(HttpPeer):
    """A caller's connection."""

    def __init__(self, registry: "SlowRegistry") -> None:
        super().__init__(self._answer)
        self.registry = registry
        self.answered_at = -math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.registry.lines.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.lines.discard(self)
        super().connection_lost(exc)

    async def _answer(self, request: h11.Request, body: bytes) -> Reply:
        return await self.registry.answer(self, read_query(request.target.decode()))


@dataclass(slots=True, eq=False)
class _Call:
    """A call that is out: what to count it as when its caller leaves."""

    turn: Turn | None = None
    silent: bool = False


class SlowRegistry:
    """The service: a list with versions, watches, and faults on demand."""

    def __init__(self, service: Service, entries: list[Json], seed: int) -> None:
        self.service, self.random = service, Random(seed)
        self.loop = asyncio.get_running_loop()
        self.queue = TurnQueue(service, self.loop.time)
        self.entries, self.version = entries, 1
        self.changed_in = [0] * len(entries)  # by entry, the version of its latest change
        self.counts = CallCounts()
        self.lines: set[_Line] = set()
        self.server: asyncio.Server | None = None
        self.turns: dict[Turn, asyncio.Future[None]] = {}
        self.watches: dict[asyncio.Future[bool], None] = {}  # held; the result tells whether one fell silent
        self.telling: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        # Bound and never listening: it keeps the port, which refuses connections, while the service is down.
        self.port_holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    async def start(self) -> Endpoint:
        """Listens on a port that the system gives."""
        self.port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_holder.bind(("127.0.0.1", 0))
        await self.come_back()
        return self.endpoint

    @property
    def endpoint(self) -> Endpoint:
        host, port = self.port_holder.getsockname()
        return host, port

    def change(self) -> int:
        """One entry changes, the entries taking turns; the new version."""
        self.version += 1
        place = self.version % len(self.entries)
        self.entries[place] = {**self.entries[place], "pod_group": self.version}
        self.changed_in[place] = self.version
        telling = self.loop.create_task(self._tell(self._take_watches()))
        self.telling.add(telling)
        telling.add_done_callback(self.telling.discard)
        return self.version

    async def _tell(self, watches: list[asyncio.Future[bool]]) -> None:
        """Ends the holds one by one. Where many callers share a process, each can go on right after its own
        answer; told all at once, the last would have to wait for the work of all others."""
        for held in watches:
            if not held.done():
                held.set_result(False)
                await asyncio.sleep(0)

    def fall_silent(self) -> None:
        """All watches that are held now are never answered; their connections stay open."""
        for held in self._take_watches():
            if not held.done():
                held.set_result(True)

    def _take_watches(self) -> list[asyncio.Future[bool]]:
        watches, self.watches = list(self.watches), {}
        return watches

    def go_down(self) -> None:
        """Resets all connections and refuses new ones, until `come_back`."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for line in self.lines:
            if line.transport is not None:
                line.transport.abort()
        self.queue.clear()
        self._plan_turn()

    async def come_back(self) -> None:
        self.server = await self.loop.create_server(
            lambda: _Line(self), *self.endpoint, backlog=BACKLOG, reuse_address=True
        )

    async def close(self) -> None:
        """Ends the service for good, with all that it holds open."""
        self.go_down()
        self.port_holder.close()
        while self.lines:
            await asyncio.sleep(0)

    async def answer(self, line: _Line, query: Query) -> Reply:
        """Answers one call. It is cancelled when the caller's connection ends."""
        self.counts.calls += 1
        call = _Call()
        try:
            goes_on = self._goes_on(line, query)
            if not goes_on and not await self._take_turn(call):
                self.counts.refused += 1
                return Reply(503, b"")
            if not goes_on or self.service.late_watches:
                await asyncio.sleep(self.service.lateness(self.random))
            await self._hold(call, query)
        except asyncio.CancelledError:
            self._count_left(call)
            raise
        self.counts.answered += 1
        line.answered_at = self.loop.time()
        return Reply(200, self._list(query.since))

    def _goes_on(self, line: _Line, query: Query) -> bool:
        """Whether a call is a watch that goes on."""
        if not query.is_watch or line.answered_at == -math.inf:
            return False
        in_time = self.loop.time() - line.answered_at <= self.service.goes_on_within
        self.counts.went_on += in_time
        self.counts.lapsed += not in_time
        return in_time

    async def _take_turn(self, call: _Call) -> bool:
        """Waits for the call's turn; False where it is refused."""
        turn = call.turn = self.queue.join()
        if turn is None:
            return False
        begun = self.turns[turn] = self.loop.create_future()
        self._begin_turns()
        try:
            await begun
        except asyncio.CancelledError:
            if self.queue.abandon(turn):
                call.turn = None
            self._plan_turn()
            raise
        finally:
            del self.turns[turn]
        return True

    def _begin_turns(self) -> None:
        for turn in self.queue.begin():
            begun = self.turns.get(turn)
            if begun is not None and not begun.done():
                begun.set_result(None)
        self._plan_turn()

    def _plan_turn(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        at = self.queue.next_at()
        self.timer = None if at is None else self.loop.call_at(at, self._begin_turns)

    async def _hold(self, call: _Call, query: Query) -> None:
        """Waits for news as long as the caller wants, and for good where the watch falls silent."""
        until = self.loop.time() + (query.hold or 0.0)
        while query.since == self.version and (left := until - self.loop.time()) > 0:
            held: asyncio.Future[bool] = self.loop.create_future()
            self.watches[held] = None
            try:
                async with asyncio.timeout(left):
                    call.silent = await held
            except TimeoutError:
                return
            finally:
                self.watches.pop(held, None)
            if call.silent:
                await self.loop.create_future()

    def _count_left(self, call: _Call) -> None:
        if self.server is None:
            self.counts.cut += 1
        elif call.turn is None or call.silent:
            self.counts.left += 1
        else:
            self.counts.wasted += 1

    def _list(self, since: int | None) -> bytes:
        whole = since is None or since > self.version
        changed = zip(self.entries, self.changed_in, strict=True)
        targets = [entry for entry, version in changed if whole or version > (since or 0)]
        return orjson.dumps({"rev": self.version, "all": whole, "targets": targets})
