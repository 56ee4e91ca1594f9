"""The HTTP API for routers, `/api/targets`: the complete list, or a long poll for changes."""

import asyncio
import math
from typing import NamedTuple

from aiohttp import web

from applehub.events import EventKind, EventWriter
from applehub.registry.admission import Admission
from applehub.registry.answers import AnswerCache
from applehub.registry.config import Config
from applehub.registry.host import Host
from applehub.registry.metrics import Metrics
from applehub.registry.replica_state import MILLI
from applehub.registry.watchers import Watchers

MAX_HOLD = 60.0  # seconds; given by the protocol
CATCH_UP = 1.0  # seconds that a follower waits for a version that the router has from another replica
CROWDED_RETRY = 2.0  # Retry-After, in seconds, for requests above the limit


class _Call(NamedTuple):
    """The parsed request of a router."""

    name: str  # the view of the router, or else its address
    view: str
    since: int | None  # the version that the router has
    hold: float  # maximum wait for a change, in seconds


class ListApi:
    """Handles requests of routers."""

    def __init__(self, config: Config, host: Host, events: EventWriter, metrics: Metrics) -> None:
        """Needs a running event loop."""
        self.host = host
        self.watchers = Watchers()
        self.callers = 0  # requests being answered or waiting
        self._events = events
        self._metrics = metrics
        self._answers = AnswerCache()
        self._loop = asyncio.get_running_loop()
        self._ending = False
        self.retune(config)

    def retune(self, config: Config) -> None:
        """Applies new views and limits."""
        self._config = config
        limits = config.limits
        self.admission = Admission(limits.whole_a_second, limits.patience_ms / 1000, self._loop.time)

    def end(self) -> None:
        """Ends all long polls with a response."""
        self._ending = True
        self.watchers.wake()

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        application = web.Application()
        application.router.add_get("/api/targets", self.targets)
        return application

    async def targets(self, request: web.Request) -> web.StreamResponse:
        """Answers with the complete list or, after a long poll, with the changes."""
        self.callers += 1
        try:
            if self.callers > self._config.limits.callers:
                return self._rejected("crowded", CROWDED_RETRY)
            try:
                call = self._read(request)
            except ValueError:
                self._metrics.calls.labels("malformed").inc()
                return web.Response(status=400, text="expected from and hold_ms to be whole numbers\n")
            if self._config.log_calls:
                self._events.write(EventKind.LIST_POLLED, router=call.name, since=call.since)
            rejected = await self._await_turn(call)
            return rejected if rejected is not None else await self._answer(request, call)
        finally:
            self.callers -= 1

    def _read(self, request: web.Request) -> _Call:
        """Parses a request. Raises ValueError."""
        address = request.remote or ""
        view = self._config.views.get(address, "")
        since = int(request.query["from"]) if "from" in request.query else None
        hold = min(MAX_HOLD, max(0.0, int(request.query.get("hold_ms", "0")) / 1000))
        return _Call(view or address, view, since, hold)

    async def _await_turn(self, call: _Call) -> web.Response | None:
        """Waits until the request can be answered. Returns the response if the request is rejected."""
        since = call.since
        if since is not None and since > self.host.endpoints.version and not self.host.is_lease_holder():
            await self._wait_newer(since - 1, CATCH_UP)  # the router has it from a replica that is ahead
            if since > self.host.endpoints.version:
                return self._rejected("behind")
        if not self._is_recent():
            return self._rejected("stale")
        if self.host.endpoints.since(since).complete:
            admitted = self.admission.admit()
            if admitted.retry_after:
                return self._rejected("overload", admitted.retry_after)
            await asyncio.sleep(admitted.wait)
        elif call.hold and since is not None:
            await self._wait_newer(since, call.hold)
            if not self._is_recent():
                return self._rejected("stale")
        return None

    def _rejected(self, how: str, retry_after: float = 1.0) -> web.Response:
        self._metrics.calls.labels(how).inc()
        return web.Response(status=503, headers={"Retry-After": str(max(1, math.ceil(retry_after)))})

    def _is_recent(self) -> bool:
        """Returns whether the list of this replica is recent enough to be served."""
        return self.host.staleness() <= self._config.limits.stale_ms * MILLI

    async def _wait_newer(self, version: int, seconds: float) -> None:
        """Waits until the list is newer than a version, or until the time is over."""
        end = self._loop.time() + seconds
        while self.host.endpoints.version <= version and (remaining := end - self._loop.time()) > 0:
            if self._ending:
                break
            await self.watchers.wait(remaining)

    async def _answer(self, request: web.Request, call: _Call) -> web.StreamResponse:
        version = self.host.endpoints.version
        answer = self._answers.get(self.host.endpoints, call.since, call.view)
        response = web.Response(body=answer.body, content_type="application/json")
        try:
            # Bounds the time that an unread response stays in memory.
            async with asyncio.timeout(self._config.limits.slow_s):
                await response.prepare(request)
                await response.write_eof()
                if request.protocol.transport is not None:
                    await request.protocol._drain_helper()  # noqa: SLF001 (no public equivalent)
        except TimeoutError:
            self._metrics.calls.labels("slow").inc()
            if request.transport is not None:
                request.transport.abort()
            return response
        self._metrics.calls.labels("whole" if answer.complete else "changes").inc()
        if self._config.log_calls:
            self._events.write(
                EventKind.LIST_SENT,
                router=call.name,
                version=version,
                whole=answer.complete,
                states=answer.states,
            )
        return response
