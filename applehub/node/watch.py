"""Watches the list of servers: requests it from discovery, then its changes."""

import asyncio
import logging
import random
from dataclasses import dataclass
from enum import StrEnum

import orjson

from applehub import interface as api
from applehub.node.call_schedule import MIN_WATCH_INTERVAL, CallBudget, CallSchedule
from applehub.node.discovery import Directory, ListError
from applehub.node.http1 import HttpError, HttpResponse
from applehub.node.list_connection import ListConnection
from applehub.node.pool import Endpoint

MAX_CALLS = 4  # calls in flight at once, each on its own connection
CALL_BURST = 8  # burst size of the call budget; each further address adds one call
CALLS_PER_SECOND = 1.0  # tokens per second that refill the call budget
CALL_ERRORS = (OSError, HttpError, ListError, orjson.JSONDecodeError)
log = logging.getLogger("applehub")


class RejectedError(HttpError):
    """Discovery rejected the call with status 503."""


class Phase(StrEnum):
    """The purpose of the calls to discovery."""

    WATCH = "watch"  # the list is up to date; a long poll waits for the next change
    CATCH_UP = "catch up"  # a call failed or is late; changes are requested without waiting


@dataclass(slots=True, eq=False)
class Call:
    """A call to discovery in flight."""

    endpoint: Endpoint
    target: str
    full_list: bool  # whether it requests the full list
    started_at: float  # event loop time in seconds
    hold: float  # seconds for which discovery may hold the long poll; 0 for none
    jitter: float  # random factor for the delays of this call
    queued: bool  # whether it waits in discovery's queue, because it does not continue a watch
    connection: ListConnection | None = None
    task: asyncio.Task[HttpResponse] | None = None

    async def send(self) -> HttpResponse:
        """Connects if necessary and returns the response. Raises OSError or HttpError."""
        if self.connection is None or not self.connection.open:
            host, port = self.endpoint
            loop = asyncio.get_running_loop()
            _, self.connection = await loop.create_connection(
                lambda: ListConnection(f"{host}:{port}"), host, port
            )
        response = await self.connection.get(self.target)
        if response.status == 503:
            raise RejectedError("status 503")
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        return response

    def close(self) -> None:
        """Cancels the call and closes its connection."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()


class Watch:
    """Keeps the list of servers up to date with calls to discovery, one right after the other.

    If a call is late, the schedule starts a second one beside it; the first stays in flight until either is
    answered. Failed or rejected calls are retried after a random backoff, so that routers do not call in
    step.

    With several addresses, each router starts at a random one and switches to the next one as soon as a call
    fails. The watch has failed only if all addresses have failed. Calls carry the current version, so that
    another address sends what has changed since; older versions are ignored.

    list_on_request: whether the balancer decides when to call again once all addresses have failed.
    """

    def __init__(
        self, endpoints: list[Endpoint], directory: Directory, seed: int, list_on_request: bool
    ) -> None:
        self.endpoints, self.directory, self.list_on_request = endpoints, directory, list_on_request
        self.random = random.Random(seed)
        self.endpoint_index = self.random.randrange(len(endpoints)) if len(endpoints) > 1 else 0
        self.schedule = CallSchedule(self.random, len(endpoints))
        self.budget = CallBudget(CALL_BURST + len(endpoints) - 1, CALLS_PER_SECOND)
        self.calls: list[Call] = []  # calls in flight, oldest first
        # Event loop time of the next call; None if the balancer decides when to call again.
        self.next_call_at: float | None = None
        self.idle_connection: ListConnection | None = None  # the next call continues the watch on it
        self.consecutive_failures = 0
        self.task: asyncio.Task[None] | None = None
        # Whether a response could not be applied, so that changes may be missing.
        self.needs_full_list = False
        self.phase = Phase.WATCH

    def start(self) -> None:
        """Starts to watch; does nothing while a watch is running."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    def set_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Changes the addresses of discovery; a running watch restarts at once with the new ones."""
        if endpoints == self.endpoints:
            return
        self.endpoints, self.endpoint_index = endpoints, self.endpoint_index % len(endpoints)
        self.budget = CallBudget(CALL_BURST + len(endpoints) - 1, CALLS_PER_SECOND)
        self.schedule.endpoints_changed(asyncio.get_running_loop().time(), len(endpoints))
        self.phase = Phase.CATCH_UP
        if self.task is not None:
            self.stop()
            self.task = None
            self.start()

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for call in self.calls:
            call.close()
        self.calls.clear()
        if self.idle_connection is not None:
            self.idle_connection.close()
            self.idle_connection = None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self.next_call_at = loop.time()
        self.schedule.start(self.next_call_at)
        while self.next_call_at is not None:
            if loop.time() >= self.next_call_at:
                self._next_call(loop.time())
            await self._wait_for_calls(max(0.0, self.next_call_at - loop.time()))
            for call in [
                pending for pending in self.calls if pending.task is not None and pending.task.done()
            ]:
                self._finish(call, loop.time())
        # Deferred until this task has ended, because start() does nothing while the task runs.
        loop.call_soon(self.directory.notify, api.Members(api.ListKind.FAILED, []))

    async def _wait_for_calls(self, max_wait: float) -> None:
        """Waits until a call has ended, or for the given number of seconds."""
        tasks = [call.task for call in self.calls if call.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=max_wait, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(max_wait)

    def _next_call(self, now: float) -> None:
        """Starts the next call, unless the newest one is not late according to the current response times."""
        if self.idle_connection is not None:
            connection, self.idle_connection = self.idle_connection, None
            self._start_call(now, connection)
            return
        if self.calls:
            self.next_call_at = self._next_call_due(self.calls[-1])
            if now < self.next_call_at:
                return
        wait = self.budget.wait(now)
        if wait > 0:
            self.next_call_at = now + wait
            return
        if self.calls:
            log.warning("discovery call timed out: %s", self.phase)
            self.phase = Phase.CATCH_UP
            self.endpoint_index = (self.endpoint_index + 1) % len(self.endpoints)
        if len(self.calls) >= MAX_CALLS:
            self.calls.pop(0).close()
        self._start_call(now)

    def _start_call(self, now: float, connection: ListConnection | None = None) -> None:
        """Starts a call, on `connection` if it is given and still open.

        The full list is requested only if there is no list to update, because it is expensive for discovery.
        """
        target, hold = "/api/targets", 0.0
        full_list = self.directory.rev < 0 or self.needs_full_list
        if not full_list:
            hold = self.schedule.hold if self.phase is Phase.WATCH else 0.0
            target += f"?from={self.directory.rev}&hold_ms={int(hold * 1000)}"
        queued = connection is None or not connection.open
        if queued:
            connection = None
            self.budget.spend(now)
        call = Call(
            self.endpoints[self.endpoint_index],
            target,
            full_list,
            now,
            hold,
            self.schedule.jitter(),
            queued,
            connection,
        )
        call.task = asyncio.get_running_loop().create_task(call.send())
        self.calls.append(call)
        self.next_call_at = self._next_call_due(call)

    def _next_call_due(self, call: Call) -> float:
        """Returns the time at which another call is started beside `call`, the newest one in flight."""
        if call.hold and call.connection is not None:
            return self.schedule.watch_due(call.started_at, call.hold, call.queued, call.jitter)
        return self.schedule.call_due(call.started_at, call.jitter)

    def _finish(self, call: Call, now: float) -> None:
        """Processes the result of a call."""
        assert call.task is not None
        position = self.calls.index(call)
        self.calls.remove(call)
        try:
            self._apply(call.task.result(), call.full_list)
        except CALL_ERRORS as error:
            log.warning("discovery call failed: %s: %s", type(error).__name__, error)
            if isinstance(error, RejectedError):
                self.schedule.rejected()
            self._call_failed(call, position, now)
        except Exception:
            log.exception("failed to apply a response of discovery")
            self._call_failed(call, position, now)
        else:
            self._call_answered(call, position, now)

    def _apply(self, response: HttpResponse, full_list: bool) -> None:
        """Applies a response; if this fails, the next call requests the full list."""
        needed_before, self.needs_full_list = self.needs_full_list, True
        self.directory.apply(orjson.loads(bytes(response.body)))
        self.needs_full_list = needed_before and not full_list

    def _call_answered(self, call: Call, position: int, now: float) -> None:
        """Continues the watch after a response; closes calls older than the answered one.

        Newer calls may still bring changes and stay in flight. Rapid changes are batched: the next call
        starts at least MIN_WATCH_INTERVAL after the last one.
        """
        self.schedule.answered(now, now - call.started_at, call.hold, call.queued)
        self.consecutive_failures, self.phase = 0, Phase.WATCH
        for older in self.calls[:position]:
            older.close()
        del self.calls[:position]
        if any(newer.hold for newer in self.calls):
            call.close()
        elif call.hold and not self.calls and now < call.started_at + MIN_WATCH_INTERVAL:
            self.idle_connection, self.next_call_at = call.connection, call.started_at + MIN_WATCH_INTERVAL
        else:
            self._start_call(now, call.connection)

    def _call_failed(self, call: Call, position: int, now: float) -> None:
        """Schedules the next call, unless a newer one is already in flight."""
        call.close()
        self.phase = Phase.CATCH_UP
        if position < len(self.calls):
            return
        self.consecutive_failures += 1
        self.endpoint_index = (self.endpoint_index + 1) % len(self.endpoints)
        if self.consecutive_failures % len(self.endpoints):
            self.next_call_at = now
        elif any(not older.hold for older in self.calls):
            self.next_call_at = self.schedule.call_due(now, call.jitter)
        elif self.calls or not self.list_on_request:
            self.next_call_at = now + self.schedule.backoff(self.consecutive_failures // len(self.endpoints))
        else:
            self.next_call_at = None
