"""The scripted servers of the soak: sound ones that are slow, and an origin that reads some values slowly."""

import asyncio
import contextlib
import math
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from router_bench import Json, Web, start_server_with_small_buffer

MAX_PAUSE = 2.3  # seconds; a server that rests for 2.5 s within a value counts as stopped
LIMIT_MARGIN = 0.1  # seconds around a time limit, from which pauses are drawn
HOLD_LIMITS = (0.4, 1.5)  # seconds; of the network code, for values that are held back
RECEIVE_BUFFER = 65_536  # bytes of SO_RCVBUF at the origin
READ_SIZE = 65_536  # bytes of one read of a slow origin
POLL_INTERVAL = 0.01  # seconds between two checks whether a connection is open


@dataclass(frozen=True)
class Slowness:
    """How a sound server gives the rest of its response: after a pause, in pieces over some time.

    Times are in seconds. The pause is below the 2.5 s after which a server counts as stopped.
    """

    pause: float
    duration: float
    pieces: int


def draw_slowness(source: random.Random, site_class: Json, wait: float) -> Slowness:
    """Draws the slowness of a server, often close to a time limit of its request."""
    limit = source.choice([site_class["aim_ms"] / 1000, wait, *HOLD_LIMITS])
    near_limit = max(0.0, limit + source.uniform(-LIMIT_MARGIN, LIMIT_MARGIN))
    pause = source.choice([0.0, source.uniform(0, 0.6), near_limit, near_limit])
    duration = source.choice([0.0, 0.1, 0.3, 1.5])
    return Slowness(min(pause, MAX_PAUSE), duration, 1 if not duration else source.choice([3, 10, 30]))


class SoundAnswer:
    """The rest of a response that a sound server gives slowly.

    begun_at, complete_at: event loop times in seconds at which the first and the last byte were given.
    cut_off_at: that at which the connection was found closed before. Each is infinite until then.
    """

    def __init__(self, rest: bytes, slowness: Slowness, begun: bool, writer: asyncio.StreamWriter) -> None:
        """begun: whether a part of the response was given before."""
        self.rest, self.slowness, self.writer = rest, slowness, writer
        self.begun_at = asyncio.get_running_loop().time() if begun else math.inf
        self.complete_at = self.cut_off_at = math.inf

    async def give(self) -> None:
        """Gives the rest, until the connection is closed."""
        slowness, loop = self.slowness, asyncio.get_running_loop()
        size = max(1, -(-len(self.rest) // slowness.pieces))
        for start in range(0, len(self.rest), size):
            if not await self._is_open_for(slowness.duration / slowness.pieces if start else slowness.pause):
                self.cut_off_at = loop.time()
                return
            with contextlib.suppress(OSError):
                self.writer.write(self.rest[start : start + size])
            self.begun_at = min(self.begun_at, loop.time())
        self.complete_at = loop.time()

    async def _is_open_for(self, seconds: float) -> bool:
        """Waits for some seconds; returns False as soon as the connection is found closed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not self.writer.transport.is_closing():
            left = end - loop.time()
            if left <= 0:
                return True
            await asyncio.sleep(min(left, POLL_INTERVAL))
        return False


class SlowOrigin(Web):
    """An origin that reads the value of a request in as many seconds as a function of its key tells."""

    def __init__(
        self,
        answer: Callable[[Any, asyncio.StreamWriter], bytes | None],
        read_time_of: Callable[[bytes], float],
    ) -> None:
        super().__init__(answer)
        self.read_time_of = read_time_of

    async def start(self) -> None:
        self.server, self.address = await start_server_with_small_buffer(
            self._serve_without_delay, RECEIVE_BUFFER, READ_SIZE
        )

    async def _serve_without_delay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._serve(reader, writer)

    async def read_body(self, reader: asyncio.StreamReader, target: bytes, size: int) -> bytes:
        """Reads a body slowly if its key says so."""
        seconds, body = self.read_time_of(target[1:]), b""
        while len(body) < size:
            if seconds:
                await asyncio.sleep(seconds * min(READ_SIZE, size - len(body)) / size)
            body += await reader.readexactly(min(READ_SIZE, size - len(body)))
        return body
