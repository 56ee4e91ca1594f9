"""Stand-ins for cache servers and the origin, each a process of its own. They serve one request after another
at a stated rate, refuse what their queue cannot hold, and write down what came in and how it ended."""

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
from applehub.lab.live.standins import Reply, addressed
from applehub.node.discovery import read_endpoint
from applehub.node.resp import bulk, command


def class_of(info: bytes) -> str:
    """The class that a request's list of names and values tells."""
    pairs = (one.partition(b"=") for one in info.split(b","))
    return next((value.decode() for name, _, value in pairs if name == b"c"), "")


class Station:
    """One server's work, in order of arrival."""

    def __init__(self, told: Json) -> None:
        self.loop = asyncio.get_running_loop()
        self.rate, self.queue = told["rate"], told["queue"]
        self.part, self.errors = 1.0, 0.0  # of its speed; of the requests that fail
        self.free_at = 0.0  # when all that waits is done
        self.failing = 0.0
        self.worked, self.before = 0.0, (0.0, self.loop.time())  # s of work taken; and at the last look, when
        self.counts = dict.fromkeys(("requests", "failed", "refused", "missed"), 0)

    def speed(self) -> float:
        """Requests a second, now."""
        return float(self.rate * self.part)

    def waiting(self) -> float:
        """Requests that wait or are in work."""
        return max(0.0, self.free_at - self.loop.time()) * self.speed()

    def admit(self) -> float | None:
        """When a request that comes now is done, s of the loop's clock; none: it is turned away."""
        self.counts["requests"] += 1
        if self.waiting() >= self.queue:
            self.counts["refused"] += 1
            return None
        self.free_at = max(self.free_at, self.loop.time()) + 1 / self.speed()
        self.worked += 1 / self.speed()
        return self.free_at

    def fails(self) -> bool:
        """Whether this request fails: every so many, evenly."""
        self.failing += self.errors
        if self.failing >= 1:
            self.failing -= 1
            self.counts["failed"] += 1
            return True
        return False

    async def command(self, told: Json) -> Json:
        match told["do"]:
            case "errors":
                self.errors = told["part"]
            case "crawl":
                self.part = told["part"]
            case "figures":
                return self.figures()
        return {}

    def figures(self) -> Json:
        """Counts since the start; what waits; the part of its time that work took since the last look."""
        worked, looked = self.before
        self.before = self.worked, self.loop.time()
        busy = min(1.0, (self.worked - worked) / max(0.001, self.before[1] - looked))
        return {**self.counts, "waiting": self.waiting(), "work_s": self.worked, "busy": busy}


class Cache(Station):
    """A cache server that was started cold: its speed rises evenly from a part to the whole."""

    def __init__(self, told: Json, events: EventWriter) -> None:
        super().__init__(told)
        self.told, self.events, self.name = told, events, told["name"]
        self.sources: dict[str, str] = told["sources"]
        self.bad, part = told.get("bad", ""), told.get("part", 0.0)  # how its version is worse
        self.errors = part if self.bad == "errors" else 0.0
        self.part = part if self.bad == "crawls" else 1.0
        self.value = b"v" * told["value"]
        self.kept: dict[bytes, None] = {}
        self.missed: dict[bytes, bytes] = {}  # by request, the key that was lacking
        self.began = self.loop.time() - (0 if told["cold"] else told["ramp_s"])
        self.sent: deque[float] = deque()  # while cold: when requests came, within a window
        self.fallen = False

    def speed(self) -> float:
        told = self.told
        warm = min(1.0, (self.loop.time() - self.began) / told["ramp_s"])
        return super().speed() * float(told["cold_from"] + (1 - told["cold_from"]) * warm)

    def count(self) -> None:
        """Counts a request while the server is cold, and lets it fall if a window holds too many.

        The bound is `tip_multiple` times what the server can do at its present speed within `fall_s`.
        """
        now, told = self.loop.time(), self.told
        if now - self.began >= told["ramp_s"] or self.fallen:
            return
        self.sent.append(now)
        while self.sent[0] < now - told["fall_s"]:
            self.sent.popleft()
        bears = told["tip_multiple"] * self.speed() / self.part * told["fall_s"]
        if len(self.sent) > 1.1 * bears + 3:  # a little slack for chance
            self.fallen = True
            self.events.write(
                EventKind.SERVER_OVERLOADED, server=self.name, sent=len(self.sent), bears=round(bears, 1)
            )

    def report(self) -> bytes:
        return b"backlog=%d,errors_per_s=%.3f,x0=0.9" % (self.waiting(), self.errors * 10)


class CachePeer(asyncio.Protocol):
    """A connection to a cache server; answers come in the order of the commands."""

    def __init__(self, cache: Cache) -> None:
        self.cache, self.reader = cache, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.router = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        address = transport.get_extra_info("peername")[0]
        self.router = self.cache.sources.get(address, "")
        if self.cache.fallen:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            self._take(words)

    def _take(self, words: object) -> None:
        cache = self.cache
        if not isinstance(words, list) or len(words) < 3:
            self._answer(b"-SYNTAX\r\n")
        elif words[0] == b"X.STORE":  # from the origin: it has answered this request
            key = cache.missed.pop(words[2], None)
            if key is not None and key == words[1]:
                cache.kept[key] = None
        elif words[0] == b"X.DROP":
            cache.kept.pop(words[1], None)
        elif words[0] in (b"C.GET", b"C.SET") and len(words) > 3 and self.transport is not None:
            self._request(words)
        else:
            self._answer(b"-SYNTAX\r\n")

    def _request(self, words: list[bytes]) -> None:
        cache, name = self.cache, words[2].decode()
        if cache.bad == "mute":
            os.kill(os.getpid(), signal.SIGSTOP)
        who = {"request": name, "router": self.router, "server": cache.name}
        cache.events.write(EventKind.ATTEMPT_BEGUN, **who, cls=class_of(words[3]))
        cache.count()
        done = cache.admit() if not cache.fallen else None
        if done is None:
            cache.events.write(EventKind.ATTEMPT_ENDED, **who, how="full")
            self._answer(b"-BUSY " + cache.report() + b"\r\n")
        else:
            cache.loop.call_at(done, self._done, words, who)

    def _done(self, words: list[bytes], who: dict[str, str]) -> None:
        cache, key = self.cache, words[1]
        if self.transport is None:
            cache.events.write(EventKind.ATTEMPT_ENDED, **who, how="left")
        elif cache.fails():
            cache.events.write(EventKind.ATTEMPT_ENDED, **who, how="failed")
            self._answer(b"-ERR failed " + cache.report() + b"\r\n")
        elif words[0] == b"C.GET" and key in cache.kept and cache.bad != "forgets":
            cache.events.write(EventKind.ATTEMPT_ENDED, **who, how="hit")
            self._answer(b"*3\r\n" + bulk(cache.value) + bulk(b"hit") + bulk(cache.report()))
        else:
            cache.missed[words[2]] = key
            cache.counts["missed"] += 1
            if len(cache.missed) > 10_000:
                del cache.missed[next(iter(cache.missed))]
            cache.events.write(EventKind.ATTEMPT_ENDED, **who, how="miss")
            self._answer(b"*3\r\n$-1\r\n" + bulk(b"miss") + bulk(cache.report()))

    def _answer(self, answer: bytes) -> None:
        if self.transport is not None:
            self.transport.write(answer)


class Origin(Station):
    """The origin; it tells the cache servers what to keep and what to drop, on connections of its own."""

    def __init__(self, told: Json, events: EventWriter) -> None:
        super().__init__(told)
        self.events, self.sources = events, told["sources"]
        self.wait, self.value = told["ms"] / 1000, b"v" * told["value"]
        self.caches: dict[str, asyncio.StreamWriter] = {}

    async def command(self, told: Json) -> Json:
        if told["do"] == "cache":  # one that came up
            _, writer = await asyncio.open_connection(*read_endpoint(told["address"]))
            self.caches[told["name"]] = writer
        return await super().command(told)

    def tell(self, words: bytes) -> None:
        for writer in self.caches.values():
            if not writer.is_closing():
                writer.write(words)

    async def answer(self, address: str, request: h11.Request) -> Reply:
        headers = dict(request.headers)
        name, key = headers[b"x-call-id"], request.target[1:]
        who = {"request": name.decode(), "router": self.sources.get(address, ""), "server": "origin"}
        self.events.write(EventKind.ATTEMPT_BEGUN, **who, cls=class_of(headers.get(b"x-call-info", b"")))
        done = self.admit()
        if done is None:
            self.events.write(EventKind.ATTEMPT_ENDED, **who, how="rejected")
            return Reply(503, b"", (("X-Rejected", "1"),))
        failed = self.fails()
        if request.method == b"PUT" and not failed:
            self.tell(command(b"X.DROP", key, name))
        try:
            await asyncio.sleep(done - self.loop.time() + self.wait)
        except asyncio.CancelledError:
            self.events.write(EventKind.ATTEMPT_ENDED, **who, how="left")
            raise
        self.events.write(EventKind.ATTEMPT_ENDED, **who, how="failed" if failed else "ok")
        if failed:
            return Reply(500, b"")
        if request.method != b"PUT":
            self.tell(command(b"X.STORE", key, name))
        return Reply(200, b"stored" if request.method == b"PUT" else self.value)


async def begin(told: Json) -> tuple[Json, Handler]:
    """Starts a cache server or the origin, as told."""
    events = EventWriter(Path(told["events"]), told["name"], told["incarnation"])
    loop = asyncio.get_running_loop()
    if told["role"] == "cache":
        cache = Cache(told, events)
        server = await loop.create_server(lambda: CachePeer(cache), "127.0.0.1", 0, backlog=512)
        handler: Handler = cache.command
    else:
        origin = Origin(told, events)
        server = await loop.create_server(lambda: addressed(origin.answer), "127.0.0.1", 0, backlog=512)
        handler = origin.command
    return {"address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}, handler
