"""Connections to cache servers, which speak RESP2.

A connection carries one command at a time, because RESP2 responses arrive in the order of the commands.
"""

import re
from collections.abc import Iterator

import hiredis

from applehub.interface import Status
from applehub.node import resp
from applehub.node.call import AttemptResult, Exchange, read_load
from applehub.node.pool import Connection, Pool
from applehub.node.stream import Stream, chunks_of

LONG_VALUE = re.compile(rb"\*([1-8])\r\n\$(\d{1,10})\r\n")  # start of a reply whose first element is a value
ARRAY_HEADER_SIZE = len(b"*3\r\n")
EMPTY_VALUE = b"$0\r\n"  # header of the value that replaces a long one in the buffer
END_OF_VALUE = EMPTY_VALUE + b"\r\n"
CACHE_NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}


def result_of(reply: object) -> AttemptResult | None:
    """Converts a cache server's reply to the result of an attempt; returns None if the reply is invalid."""
    if isinstance(reply, hiredis.ReplyError):
        fields = str(reply).split(" ")
        load = read_load(fields[-1]) if len(fields) > 1 else None  # an error line may end with a load report
        return AttemptResult(Status.FULL if fields[0] == "BUSY" else Status.ERROR, load=load)
    if not isinstance(reply, list) or not reply:
        return None
    value, note = reply[0], reply[1] if len(reply) > 1 else None
    note_number = CACHE_NOTES.get(note, 0) if isinstance(note, bytes) else 0
    load = read_load(reply[2]) if len(reply) > 2 else None
    if value is None:
        return AttemptResult(Status.MISS, note=note_number, load=load)
    return AttemptResult(Status.OK, value, note_number, load) if isinstance(value, bytes) else None


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.frames = resp.FrameParser()
        self.stream: Stream | None = None
        self.remaining = 0  # bytes of the long value not yet received

    def encode(self, exchange: Exchange) -> Iterator[bytes | memoryview]:
        call = exchange.call
        parts = [call.name, call.key, call.id, exchange.info()]
        if call.value is None:
            yield resp.command(*parts)
            return
        yield b"*%d\r\n%b$%d\r\n" % (len(parts) + 1, b"".join(map(resp.bulk, parts)), len(call.value))
        yield from chunks_of(call.value)
        yield b"\r\n"

    @property
    def in_long_value(self) -> bool:
        return self.stream is not None

    @property
    def buffered_size(self) -> int:
        return len(self.frames.buffer)

    def discard_buffers(self) -> None:
        """Drops what is buffered of a response."""
        self.frames, self.stream = resp.FrameParser(), None

    def read(self, data: bytes) -> None:
        if self.remaining and self.stream is not None:
            piece, data = data[: self.remaining], data[self.remaining :]
            self.remaining -= len(piece)
            self.stream.feed(piece)
            if self.remaining or self.exchange is None:
                return
        self.frames.feed(data)
        if self.stream is None and (head := LONG_VALUE.match(self.frames.buffer)):
            size = int(head[2])
            if size > resp.MAX_BUFFERED_VALUE:
                self._start_stream(size, head.end())
                return
        if self.stream is not None and self.frames.buffer.startswith(END_OF_VALUE, ARRAY_HEADER_SIZE):
            self.stream.end()  # the client does not wait for what follows the value
            self.resume()
            if self.exchange is None:
                return
        try:
            reply = self.frames.next()
        except resp.FramingError:
            self.protocol_error()
            return
        if reply is resp.INCOMPLETE:
            return
        self.stream = None
        result = result_of(reply)
        if result is None:
            self.protocol_error()
        else:
            self.finish(result, reusable=not self.frames.buffer)

    def _start_stream(self, size: int, end: int) -> None:
        """Starts to stream a long value of `size` bytes, whose header ends at position `end` of the buffer.

        Until its first byte has come, the attempt can time out and be retried as without the header. In the
        buffer the value is replaced by an empty one, so that the rest of the reply is parsed as usual.
        """
        if size > resp.MAX_LONG_VALUE or self.exchange is None:
            self.protocol_error()
            return
        if len(self.frames.buffer) == end:
            return
        self.stream = self.exchange.on_long_value(size, self)
        if self.stream is None:
            self.finish(AttemptResult(Status.CANCELLED), reusable=False)
            return
        received = bytes(self.frames.buffer[end:])
        self.frames.replace(bytes(self.frames.buffer[:ARRAY_HEADER_SIZE]) + EMPTY_VALUE)
        self.remaining = size
        self.read(received)
