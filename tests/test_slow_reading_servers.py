"""A write whose server reads it slowly is final in time, whatever the server answers and lists tell."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import pytest
from deployments import deployments, settings_of, silence_limit
from router_bench import Bench, Cache, Json, Web, entry, hit, http, router, start_server_with_small_buffer
from test_discovery import listing
from test_request_time import LATE_LIMIT, RECEIVE_BUFFER, SCHEDULING, STOPPED_PEER_LIMIT, check_rest, reset
from virtual_time import run_in_virtual_time

from applehub.node.resp import command

SIZE = 2 << 20  # bytes of the value
READS = 40  # reads of the server for one value
EVENT_AT = 0.1  # seconds from the request to the event that a list tells of
RECEIPT, LONG_RECEIPT = b"receipt", bytes(200_000)
PIECES = 10  # of the answer
MAX_REST = 2.5  # seconds for which a server may rest within an answer that is passed on


class Answering(StrEnum):
    """When the server answers."""

    AFTER = "after the request"
    AFTER_SLOWLY = "after the request, slowly"
    LONG_SLOWLY = "after the request, a long answer slowly"
    HEAD_EARLY = "a head before the request is read"
    PART_EARLY = "a part before the request is read"
    LONG_PART_EARLY = "a part of a long answer before the request is read"
    WHOLE_EARLY = "before the request is read"

    @property
    def receipt(self) -> bytes:
        return LONG_RECEIPT if self in (Answering.LONG_SLOWLY, Answering.LONG_PART_EARLY) else RECEIPT

    @property
    def seconds(self) -> float:
        """The time that the server takes for its answer, after the request."""
        return 0.4 if self in (Answering.AFTER_SLOWLY, Answering.LONG_SLOWLY) else 0.0

    def early_size(self, response: bytes) -> int:
        """Returns the bytes of the response that come at once."""
        head = len(response) - len(self.receipt)
        match self:
            case Answering.HEAD_EARLY:
                return head
            case Answering.PART_EARLY | Answering.LONG_PART_EARLY:
                return head + len(self.receipt) // 2
            case Answering.WHOLE_EARLY:
                return len(response)
            case _:
                return 0


class Event(StrEnum):
    """What a list tells of the server while it reads, or what becomes of its first connection."""

    NONE = "nothing"
    DRAINING = "it is draining"
    GONE = "it is gone"
    RESTARTED = "it has restarted"
    RESET = "its first connection is reset"


@dataclass
class SlowServer:
    """An origin that reads the value of a write slowly.

    read_time: seconds that it takes. whole_at: event loop times at which it had read a request completely.
    """

    read_time: float
    answering: Answering
    event: Event = Event.NONE
    attempts: int = 0
    whole_at: list[float] = field(default_factory=list)
    address: str = ""
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server, self.address = await start_server_with_small_buffer(
            self._serve, RECEIVE_BUFFER, SIZE // READS
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Without it the kernel holds small writes back for a time that does not pass on the virtual clock.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._serve_request(reader, writer)
        writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        left = int(head.split(b"content-length: ")[1].split(b"\r\n")[0]) if head.startswith(b"put") else 0
        if not left:
            writer.write(http(200, b"other"))
            return
        response = http(200, self.answering.receipt)
        early = self.answering.early_size(response)
        writer.write(response[:early])
        self.attempts += 1
        while left:
            await asyncio.sleep(self.read_time / READS)
            if self.event is Event.RESET and self.attempts == 1 and left < SIZE / 2:
                reset(writer)
                raise ConnectionResetError
            left -= len(await reader.readexactly(min(left, SIZE // READS)))
        self.whole_at.append(asyncio.get_running_loop().time())
        size = max(1, -(-(len(response) - early) // PIECES))
        for start in range(early, len(response), size):
            writer.write(response[start : start + size])
            await asyncio.sleep(self.answering.seconds / PIECES)

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()


@asynccontextmanager
async def router_before(origin: SlowServer, site_class: Json) -> AsyncIterator[Bench]:
    """Runs a router of a deployment before a slow origin."""

    def entries(cache: Cache, _: Web) -> list[Json]:
        return [entry("c0", cache.address), entry("o", origin.address, model="origin")]

    def answer(request: Any, writer: asyncio.StreamWriter) -> bytes:
        return hit(b"short")

    await origin.start()
    async with router(answer, entries=entries, settings_json=settings_of([site_class])) as bench:
        yield bench
    origin.stop()


def is_owed(site_class: Json, origin: SlowServer, event: Event) -> bool:
    """Returns whether the receipt is owed, as its server has begun to answer and goes on, or may be late."""
    if event in (Event.RESTARTED, Event.RESET):
        return False
    answering, wait = origin.answering, site_class["deadline_ms"] / 1000
    if answering is Answering.WHOLE_EARLY or answering is Answering.LONG_PART_EARLY:
        return origin.read_time < MAX_REST
    if answering is Answering.LONG_SLOWLY:
        in_time = origin.read_time < wait - SCHEDULING
    else:
        in_time = origin.read_time + answering.seconds < wait - SCHEDULING
    begins_early = answering in (Answering.HEAD_EARLY, Answering.PART_EARLY)
    return in_time and (begins_early or origin.read_time < silence_limit(site_class) - SCHEDULING)


def notify(bench: Bench, origin: SlowServer, event: Event) -> None:
    """Notifies the router of an event by a list."""
    states = {Event.DRAINING: "Terminating", Event.GONE: "Gone"}
    if event not in (Event.NONE, Event.RESET):
        boot_ms = time.time_ns() // 1_000_000 if event is Event.RESTARTED else 0
        changed = entry(
            "o", origin.address, model="origin", state=states.get(event, "Ready"), boot_ms=boot_ms
        )
        bench.directory.apply(listing(6, changed, full_list=False))


WRITE_CLASSES = [
    pytest.param(site_class, id=f"{deployment}-{site_class['name']}")
    for deployment, site_classes in deployments().items()
    for site_class in site_classes
    if site_class.get("write")
]


# Guards against an answer that comes seconds late, because a server reads a large request slowly.
@pytest.mark.parametrize("event", Event)
@pytest.mark.parametrize("answering", Answering)
@pytest.mark.parametrize("relative_read_time", [-0.5, -0.1, 0.1, 2.0])
@pytest.mark.parametrize("site_class", WRITE_CLASSES)
def test_write_that_is_read_slowly_is_final_in_time(
    monkeypatch: pytest.MonkeyPatch,
    site_class: Json,
    relative_read_time: float,
    answering: Answering,
    event: Event,
) -> None:
    wait = site_class["deadline_ms"] / 1000

    async def test() -> None:
        origin = SlowServer(wait + relative_read_time, answering, event)
        async with router_before(origin, site_class) as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            info = b"c=%b,d=%d,k=1" % (site_class["name"].encode(), round(wait * 1000))
            loop.call_later(EVENT_AT, notify, bench, origin, event)
            started = loop.time()
            caller.writer.write(command(b"C.SET", b"k", b"w1", info, bytes(SIZE)))
            answer = await caller.answer()
            seconds = loop.time() - started
            may_be_long = answering.receipt is LONG_RECEIPT and answer in (None, LONG_RECEIPT)
            assert answer == answering.receipt or not is_owed(site_class, origin, event)
            if answer == answering.receipt:
                assert may_be_long or seconds <= wait
            elif answer is None:
                assert may_be_long and seconds <= max(wait, STOPPED_PEER_LIMIT)
            else:
                assert str(answer) in ("BUSY", "ERR failed") and seconds <= wait + LATE_LIMIT
            await asyncio.sleep(wait + 3.0)
            assert len(origin.whole_at) <= 1
            await check_rest(bench)

    run_in_virtual_time(monkeypatch, test)
