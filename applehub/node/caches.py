"""Connections to cache servers: RESP2, one command out at a time, since answers come in order."""

import re
from collections.abc import Iterator

import hiredis

from applehub.interface import Status
from applehub.node import resp
from applehub.node.call import Ending, Exchange, read_load
from applehub.node.pool import Connection, Pool
from applehub.node.stream import Stream, pieces_of

LONG = re.compile(rb"\*([1-8])\r\n\$(\d{1,10})\r\n")  # the head of an answer that begins with a value
NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}


def ending_of(answer: object) -> Ending | None:
    """What a cache server's answer says; none for one that no command of ours can have."""
    if isinstance(answer, hiredis.ReplyError):
        words = str(answer).split(" ")
        load = read_load(words[-1]) if len(words) > 1 else None  # in an error line it may come last
        return Ending(Status.FULL if words[0] == "BUSY" else Status.ERROR, load=load)
    if not isinstance(answer, list) or not answer:
        return None
    value, note = answer[0], answer[1] if len(answer) > 1 else None
    number = NOTES.get(note, 0) if isinstance(note, bytes) else 0
    load = read_load(answer[2]) if len(answer) > 2 else None
    if value is None:
        return Ending(Status.MISS, note=number, load=load)
    return Ending(Status.OK, value, number, load) if isinstance(value, bytes) else None


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.frames = resp.Frames()
        self.stream: Stream | None = None
        self.left = 0  # bytes of the long value that are still to come

    def encode(self, exchange: Exchange) -> Iterator[bytes | memoryview]:
        call = exchange.call
        parts = [call.name, call.key, call.id, exchange.info()]
        if call.value is None:
            yield resp.command(*parts)
            return
        yield b"*%d\r\n%b$%d\r\n" % (len(parts) + 1, b"".join(map(resp.bulk, parts)), len(call.value))
        yield from pieces_of(call.value)
        yield b"\r\n"

    def read(self, data: bytes) -> None:
        if self.left and self.stream is not None:
            piece, data = data[: self.left], data[self.left :]
            self.left -= len(piece)
            self.stream.feed(piece)
            if self.left or self.exchange is None:
                return
        self.frames.feed(data)
        if (
            self.stream is None
            and (head := LONG.match(self.frames.buffer))
            and int(head[2]) > resp.MOST_VALUE
        ):
            self._open(int(head[2]), head.end())
            return
        try:
            answer = self.frames.next()
        except resp.FramingError:
            self.spoil()
            return
        if answer is resp.WAITING:
            return
        self.stream = None
        ending = ending_of(answer)
        if ending is None:
            self.spoil()
        else:
            self.finish(ending, reusable=not self.frames.buffer)

    def _open(self, size: int, end: int) -> None:
        """Lets a long value pass; for the rest of the answer an empty one stands in its place."""
        if size > resp.MOST_LONG or self.exchange is None:
            self.spoil()
            return
        self.stream = self.exchange.opened(size, self)
        if self.stream is None:
            self.finish(Ending(Status.CANCELLED), reusable=False)
            return
        came = bytes(self.frames.buffer[end:])
        self.frames.replace(b"%b\r\n$0\r\n" % bytes(self.frames.buffer[:2]))
        self.left = size
        if came:
            self.read(came)
