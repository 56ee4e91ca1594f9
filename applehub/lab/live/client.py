"""An open-loop load generator.

Requests are sent on a random schedule, independently of the answers, and latency is measured from the
scheduled time, so that a stall of the router counts against every request that was due meanwhile.
"""

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import cast

import hiredis
from hdrh.histogram import HdrHistogram

from applehub.lab.streams import generator
from applehub.node.resp import command

MOST_MICROSECONDS = 60_000_000


@dataclass(slots=True)
class Load:
    """A load of reads and writes with Zipf-distributed keys."""

    rate: float  # mean requests/s
    seconds: float
    keys: int
    write_part: float  # fraction of the requests
    value: int  # bytes of a written value
    wait_ms: int  # timeout of the client
    connections: int  # maximum
    seed: int


@dataclass(slots=True)
class Seen:
    """Results of a load; latencies in µs from the scheduled time of a request."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MOST_MICROSECONDS, 3))
    late: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MOST_MICROSECONDS, 3)
    )  # delay of sending after the scheduled time, µs

    def at(self, percentile: float) -> float:
        """Returns a percentile of the latency, ms."""
        return float(self.times.get_value_at_percentile(percentile)) / 1000


def planned(load: Load) -> Iterator[tuple[float, bytes]]:
    """Yields the scheduled time, in seconds from the start, and the command of each request."""
    draw = generator(load.seed, "load")
    count = int(draw.poisson(load.rate * load.seconds))
    times = sorted((draw.random(count) * load.seconds).tolist())
    ranks = (load.keys ** draw.random(count)).astype(int).tolist()  # Zipf distribution: p(rank) ~ 1 / rank
    writes = (draw.random(count) < load.write_part).tolist()
    value = b"w" * load.value
    for number, (due, rank, write) in enumerate(zip(times, ranks, writes, strict=True)):
        key, name = b"key-%d" % rank, b"%016x" % (number + (load.seed << 40))
        if write:
            info = b"c=put,d=%d,k=%016x" % (load.wait_ms, number)
            yield due, command(b"C.SET", key, name, info, value)
        else:
            yield due, command(b"C.GET", key, name, b"c=read,d=%d" % load.wait_ms)


class _Line(asyncio.Protocol):
    """A client connection with at most one request in flight."""

    def __init__(self, player: "Player") -> None:
        self.player = player
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.due = 0.0  # scheduled time of the request in flight; 0: none
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, due: float, words: bytes) -> None:
        assert self.transport is not None
        self.due = due
        self.timer = self.player.loop.call_later(self.player.load.wait_ms / 1000, self._give_up)
        self.transport.write(words)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            if self.due:
                self._end(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.due:
            self._end(None)
        self.player.lost(self)

    def _give_up(self) -> None:
        if self.due:
            self._end(None)
            if self.transport is not None:
                self.transport.abort()

    def _end(self, answer: object) -> None:
        due, self.due = self.due, 0.0
        if self.timer is not None:
            self.timer.cancel()
        self.player.ended(self, due, answer)


class Player:
    """Runs a load against one or more addresses, which take connections in turn."""

    def __init__(self, load: Load, addresses: list[tuple[str, int]]) -> None:
        self.load, self.addresses = load, addresses
        self.loop = asyncio.get_running_loop()
        self.seen = Seen()
        self.idle: list[_Line] = []
        self.all: set[_Line] = set()
        self.waiting: deque[tuple[float, bytes]] = deque()  # requests that wait for a free connection
        self.dialling: set[asyncio.Task[None]] = set()

    async def play(self) -> Seen:
        """Sends all requests and waits for those in flight; returns the results."""
        for _ in range(min(4, self.load.connections)):
            await self._dial()
        begin = self.loop.time() + 0.05
        for due, words in planned(self.load):
            at = begin + due
            if (left := at - self.loop.time()) > 0:
                await asyncio.sleep(left)
            self.seen.asked += 1
            self.seen.late.record_value(max(1, int((self.loop.time() - at) * 1e6)))
            self._ask(at, words)
        end = self.loop.time() + self.load.wait_ms / 1000 + 0.5
        while self.loop.time() < end and (self.waiting or any(line.due for line in self.all)):
            await asyncio.sleep(0.01)
        self.seen.unanswered += len(self.waiting)
        for line in list(self.all):
            if line.transport is not None:
                line.transport.abort()
        return self.seen

    def _ask(self, due: float, words: bytes) -> None:
        while self.idle:
            line = self.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                line.ask(due, words)
                return
        self.waiting.append((due, words))
        if len(self.all) + len(self.dialling) < self.load.connections:
            task = self.loop.create_task(self._dial())
            self.dialling.add(task)
            task.add_done_callback(self.dialling.discard)

    async def _dial(self) -> None:
        host, port = self.addresses[len(self.all) % len(self.addresses)]
        try:
            _, line = await self.loop.create_connection(lambda: _Line(self), host, port)
        except OSError:
            return
        self.all.add(line)
        self._free(line)

    def _free(self, line: _Line) -> None:
        if self.waiting:
            line.ask(*self.waiting.popleft())
        else:
            self.idle.append(line)

    def lost(self, line: _Line) -> None:
        self.all.discard(line)
        if line in self.idle:
            self.idle.remove(line)

    def ended(self, line: _Line, due: float, answer: object) -> None:
        """Records the answer of a request; None: it timed out, or its connection broke."""
        if answer is None:
            self.seen.unanswered += 1
            return
        self.seen.times.record_value(max(1, int((self.loop.time() - due) * 1e6)))
        if isinstance(answer, bytes | list):  # cache servers answer with a list, also for a miss
            self.seen.served += 1
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            self.seen.refused += 1
        else:
            self.seen.failed += 1
        self._free(line)
