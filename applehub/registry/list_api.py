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

MAX_WAIT = 60.0  # maximum seconds of a long poll, given by the protocol
CATCH_UP_TIMEOUT = 1.0  # seconds that a replica waits to reach the version that a router already has
OVERLOAD_RETRY_AFTER = 2.0  # Retry-After, in seconds, for requests above limits.callers


class _ListRequest(NamedTuple):
    """The parsed request of a router."""

    name: str  # name of the router in events: its view or, without a view, its address
    view: str
    since: int | None  # the version that the router has; None if it has no list yet
    max_wait: float  # maximum wait for a change, in seconds


class ListApi:
    """Handles requests of routers."""

    def __init__(self, config: Config, host: Host, events: EventWriter, metrics: Metrics) -> None:
        """Creates the handlers. Requires a running event loop."""
        self.host = host
        self.watchers = Watchers()
        self.active_requests = 0  # requests in progress, including long polls
        self._events = events
        self._metrics = metrics
        self._answers = AnswerCache()
        self._loop = asyncio.get_running_loop()
        self._closing = False
        self.update_config(config)

    def update_config(self, config: Config) -> None:
        """Applies new views and limits."""
        self._config = config
        limits = config.limits
        self.admission = Admission(limits.whole_a_second, limits.patience_ms / 1000, self._loop.time)

    def end_watches(self) -> None:
        """Answers all long polls, because the service stops."""
        self._closing = True
        self.watchers.wake()

    def application(self) -> web.Application:
        """Returns the application with its routes."""
        application = web.Application()
        application.router.add_get("/api/targets", self.targets)
        return application

    async def targets(self, request: web.Request) -> web.StreamResponse:
        """Responds with the complete list or, after a long poll, with the changes."""
        self.active_requests += 1
        try:
            if self.active_requests > self._config.limits.callers:
                return self._rejected("crowded", OVERLOAD_RETRY_AFTER)
            try:
                list_request = self._parse_request(request)
            except ValueError:
                self._metrics.calls.labels("malformed").inc()
                return web.Response(status=400, text="expected from and hold_ms to be whole numbers\n")
            if self._config.log_calls:
                self._events.write(EventKind.LIST_POLLED, router=list_request.name, since=list_request.since)
            rejected = await self._wait_until_ready(list_request)
            return rejected if rejected is not None else await self._answer(request, list_request)
        finally:
            self.active_requests -= 1

    def _parse_request(self, request: web.Request) -> _ListRequest:
        """Parses a request. Raises ValueError."""
        address = request.remote or ""
        view = self._config.views.get(address, "")
        since = int(request.query["from"]) if "from" in request.query else None
        max_wait = min(MAX_WAIT, max(0.0, int(request.query.get("hold_ms", "0")) / 1000))
        return _ListRequest(view or address, view, since, max_wait)

    async def _wait_until_ready(self, list_request: _ListRequest) -> web.Response | None:
        """Waits until the request can be answered. Returns the rejection, or None if the list can be sent."""
        since = list_request.since
        if since is not None and since > self.host.endpoints.version and not self.host.is_lease_holder():
            # The router received this version from a replica that is further ahead.
            await self._wait_newer(since - 1, CATCH_UP_TIMEOUT)
            if since > self.host.endpoints.version:
                return self._rejected("behind")
        if not self._is_recent():
            return self._rejected("stale")
        if self.host.endpoints.since(since).complete:
            decision = self.admission.admit()
            if decision.retry_after:
                return self._rejected("overload", decision.retry_after)
            await asyncio.sleep(decision.wait)
        elif list_request.max_wait and since is not None:
            await self._wait_newer(since, list_request.max_wait)
            if not self._is_recent():
                return self._rejected("stale")
        return None

    def _rejected(self, outcome: str, retry_after: float = 1.0) -> web.Response:
        self._metrics.calls.labels(outcome).inc()
        return web.Response(status=503, headers={"Retry-After": str(max(1, math.ceil(retry_after)))})

    def _is_recent(self) -> bool:
        """Returns whether the list of this replica is recent enough to be served."""
        return self.host.staleness() <= self._config.limits.stale_ms * MILLI

    async def _wait_newer(self, version: int, seconds: float) -> None:
        """Waits until the list is newer than `version`, for at most `seconds`."""
        deadline = self._loop.time() + seconds
        while self.host.endpoints.version <= version and (remaining := deadline - self._loop.time()) > 0:
            if self._closing:
                break
            await self.watchers.wait(remaining)

    async def _answer(self, request: web.Request, list_request: _ListRequest) -> web.StreamResponse:
        version = self.host.endpoints.version
        answer = self._answers.get(self.host.endpoints, list_request.since, list_request.view)
        response = web.Response(body=answer.body, content_type="application/json")
        try:
            # The timeout bounds how long a response that the router does not read stays in memory.
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
                router=list_request.name,
                version=version,
                whole=answer.complete,
                states=answer.states,
            )
        return response
