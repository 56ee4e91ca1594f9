"""Stand-ins for cache servers and the origin, each in its own process.

They serve requests in order at a given rate, reject requests beyond the queue limit, and record
every attempt."""

import asyncio
import os
import signal
from collections import deque
from pathlib import Path
from typing import cast

import h11
import hiredis

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.control import Handler, Json
from applehub.lab.live.fake_servers import Reply, connection_with_peer_address
from applehub.node.discovery import read_endpoint
from applehub.node.resp import bulk, command


def class_of(info: bytes) -> str:
    """Returns the request class from the `c` field of the call info; empty if missing."""
    pairs = (field.partition(b"=") for field in info.split(b","))
    return next((value.decode() for name, _, value in pairs if name == b"c"), "")


class QueueServer:
    """A first-in, first-out server with a fixed service rate and a queue limit."""

    def __init__(self, message: Json) -> None:
        self.loop = asyncio.get_running_loop()
        self.rate, self.queue_limit = message["rate"], message["queue"]
        # Fraction of full speed, and fraction of requests that fail.
        self.speed_fraction, self.error_fraction = 1.0, 0.0
        self.idle_at = 0.0  # time at which the queue is empty
        self.failure_credit = 0.0
        # Admitted work, in seconds of service time, and the state at the previous call of statistics().
        self.admitted_work, self.previous_report = 0.0, (0.0, self.loop.time())
        self.counts = dict.fromkeys(("requests", "failed", "refused", "missed"), 0)

    def service_rate(self) -> float:
        """Returns the current capacity in requests per second."""
        return float(self.rate * self.speed_fraction)

    def waiting(self) -> float:
        """Returns the number of requests in the queue or in service."""
        return max(0.0, self.idle_at - self.loop.time()) * self.service_rate()

    def admit(self) -> float | None:
        """Admits a request; returns its completion time on the loop's clock, or None if the queue is full."""
        self.counts["requests"] += 1
        if self.waiting() >= self.queue_limit:
            self.counts["refused"] += 1
            return None
        self.idle_at = max(self.idle_at, self.loop.time()) + 1 / self.service_rate()
        self.admitted_work += 1 / self.service_rate()
        return self.idle_at

    def should_fail(self) -> bool:
        """Returns whether the current request fails; failures are spread evenly over the requests."""
        self.failure_credit += self.error_fraction
        if self.failure_credit >= 1:
            self.failure_credit -= 1
            self.counts["failed"] += 1
            return True
        return False

    async def command(self, message: Json) -> Json:
        match message["do"]:
            case "errors":
                self.error_fraction = message["part"]
            case "crawl":
                self.speed_fraction = message["part"]
            case "figures":
                return self.statistics()
        return {}

    def statistics(self) -> Json:
        """Returns counts since the start, the queue length, and the utilisation since the previous call."""
        admitted_work, reported_at = self.previous_report
        self.previous_report = self.admitted_work, self.loop.time()
        busy = min(
            1.0, (self.admitted_work - admitted_work) / max(0.001, self.previous_report[1] - reported_at)
        )
        return {**self.counts, "waiting": self.waiting(), "work_s": self.admitted_work, "busy": busy}


class Cache(QueueServer):
    """A cache server; after a cold start its speed rises linearly from `cold_from` to full speed."""

    def __init__(self, message: Json, events: EventWriter) -> None:
        super().__init__(message)
        self.options, self.events, self.name = message, events, message["name"]
        self.sources: dict[str, str] = message["sources"]
        # The kind of bad version is a key of plan.BAD_VERSION_COMPONENTS.
        self.bad_version, fraction = message.get("bad", ""), message.get("part", 0.0)
        self.error_fraction = fraction if self.bad_version == "errors" else 0.0
        self.speed_fraction = fraction if self.bad_version == "crawls" else 1.0
        self.value = b"v" * message["value"]
        self.cached: dict[bytes, None] = {}
        self.missed: dict[bytes, bytes] = {}  # missed key, by request
        self.started_at = self.loop.time() - (0 if message["cold"] else message["ramp_s"])
        self.arrivals: deque[float] = deque()  # arrival times within the window, while warming up
        self.overloaded = False

    def service_rate(self) -> float:
        options = self.options
        warm_fraction = min(1.0, (self.loop.time() - self.started_at) / options["ramp_s"])
        return super().service_rate() * float(
            options["cold_from"] + (1 - options["cold_from"]) * warm_fraction
        )

    def count_arrival(self) -> None:
        """Counts a request during warm-up, and fails the server if the window holds too many.

        The limit is `tip_multiple` times what the server can serve at its current speed within `fall_s`.
        """
        now, options = self.loop.time(), self.options
        if now - self.started_at >= options["ramp_s"] or self.overloaded:
            return
        self.arrivals.append(now)
        while self.arrivals[0] < now - options["fall_s"]:
            self.arrivals.popleft()
        limit = options["tip_multiple"] * self.service_rate() / self.speed_fraction * options["fall_s"]
        if len(self.arrivals) > 1.1 * limit + 3:  # tolerance for random variation of the load
            self.overloaded = True
            self.events.write(
                EventKind.SERVER_OVERLOADED, server=self.name, sent=len(self.arrivals), bears=round(limit, 1)
            )

    def report(self) -> bytes:
        return b"backlog=%d,errors_per_s=%.3f,x0=0.9" % (self.waiting(), self.error_fraction * 10)


class CacheConnection(asyncio.Protocol):
    """A connection to a cache server."""

    def __init__(self, cache: Cache) -> None:
        self.cache, self.reader = cache, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.router = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        address = transport.get_extra_info("peername")[0]
        self.router = self.cache.sources.get(address, "")
        if self.cache.overloaded:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (arguments := self.reader.gets()) is not False:
            self._handle(arguments)

    def _handle(self, arguments: object) -> None:
        cache = self.cache
        if not isinstance(arguments, list) or len(arguments) < 3:
            self._reply(b"-SYNTAX\r\n")
        elif arguments[0] == b"X.STORE":  # sent by the origin after it has served the request with this id
            key = cache.missed.pop(arguments[2], None)
            if key is not None and key == arguments[1]:
                cache.cached[key] = None
        elif arguments[0] == b"X.DROP":
            cache.cached.pop(arguments[1], None)
        elif arguments[0] in (b"C.GET", b"C.SET") and len(arguments) > 3 and self.transport is not None:
            self._request(arguments)
        else:
            self._reply(b"-SYNTAX\r\n")

    def _request(self, arguments: list[bytes]) -> None:
        cache, name = self.cache, arguments[2].decode()
        if cache.bad_version == "mute":
            os.kill(os.getpid(), signal.SIGSTOP)
        event_fields = {"request": name, "router": self.router, "server": cache.name}
        cache.events.write(EventKind.ATTEMPT_BEGUN, **event_fields, cls=class_of(arguments[3]))
        cache.count_arrival()
        completes_at = cache.admit() if not cache.overloaded else None
        if completes_at is None:
            cache.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="full")
            self._reply(b"-BUSY " + cache.report() + b"\r\n")
        else:
            cache.loop.call_at(completes_at, self._complete, arguments, event_fields)

    def _complete(self, arguments: list[bytes], event_fields: dict[str, str]) -> None:
        cache, key = self.cache, arguments[1]
        if self.transport is None:
            cache.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="left")
        elif cache.should_fail():
            cache.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="failed")
            self._reply(b"-ERR failed " + cache.report() + b"\r\n")
        elif arguments[0] == b"C.GET" and key in cache.cached and cache.bad_version != "forgets":
            cache.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="hit")
            self._reply(b"*3\r\n" + bulk(cache.value) + bulk(b"hit") + bulk(cache.report()))
        else:
            cache.missed[arguments[2]] = key
            cache.counts["missed"] += 1
            if len(cache.missed) > 10_000:
                del cache.missed[next(iter(cache.missed))]
            cache.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="miss")
            self._reply(b"*3\r\n$-1\r\n" + bulk(b"miss") + bulk(cache.report()))

    def _reply(self, answer: bytes) -> None:
        if self.transport is not None:
            self.transport.write(answer)


class Origin(QueueServer):
    """The origin; it also connects to each cache server and sends commands to store or drop a key."""

    def __init__(self, message: Json, events: EventWriter) -> None:
        super().__init__(message)
        self.events, self.sources = events, message["sources"]
        self.delay, self.value = message["ms"] / 1000, b"v" * message["value"]
        self.caches: dict[str, asyncio.StreamWriter] = {}

    async def command(self, message: Json) -> Json:
        if message["do"] == "cache":  # a cache server has started
            _, writer = await asyncio.open_connection(*read_endpoint(message["address"]))
            self.caches[message["name"]] = writer
        return await super().command(message)

    def broadcast(self, payload: bytes) -> None:
        for writer in self.caches.values():
            if not writer.is_closing():
                writer.write(payload)

    async def answer(self, address: str, request: h11.Request) -> Reply:
        headers = dict(request.headers)
        name, key = headers[b"x-call-id"], request.target[1:]
        event_fields = {"request": name.decode(), "router": self.sources.get(address, ""), "server": "origin"}
        self.events.write(
            EventKind.ATTEMPT_BEGUN, **event_fields, cls=class_of(headers.get(b"x-call-info", b""))
        )
        completes_at = self.admit()
        if completes_at is None:
            self.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="rejected")
            return Reply(503, b"", (("X-Rejected", "1"),))
        failed = self.should_fail()
        if request.method == b"PUT" and not failed:
            self.broadcast(command(b"X.DROP", key, name))
        try:
            await asyncio.sleep(completes_at - self.loop.time() + self.delay)
        except asyncio.CancelledError:
            self.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="left")
            raise
        self.events.write(EventKind.ATTEMPT_ENDED, **event_fields, how="failed" if failed else "ok")
        if failed:
            return Reply(500, b"")
        if request.method != b"PUT":
            self.broadcast(command(b"X.STORE", key, name))
        return Reply(200, b"stored" if request.method == b"PUT" else self.value)


async def begin(message: Json) -> tuple[Json, Handler]:
    """Starts a cache server or the origin, according to the role in the first message."""
    events = EventWriter(Path(message["events"]), message["name"], message["incarnation"])
    loop = asyncio.get_running_loop()
    if message["role"] == "cache":
        cache = Cache(message, events)
        server = await loop.create_server(lambda: CacheConnection(cache), "127.0.0.1", 0, backlog=512)
        handler: Handler = cache.command
    else:
        origin = Origin(message, events)
        server = await loop.create_server(
            lambda: connection_with_peer_address(origin.answer), "127.0.0.1", 0, backlog=512
        )
        handler = origin.command
    return {"address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}, handler
