"""Streaming of long values from servers to clients in chunks, and a shared buffer for socket reads."""

import asyncio
from abc import abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

CHUNK_SIZE = 64 * 1024  # maximum number of bytes read from a socket or written to one at once
MERGED_SIZE = 4096  # bytes up to which waiting chunks are joined, since each takes memory of its own
_shared_buffer = bytearray(CHUNK_SIZE)


def chunks_of(value: bytes | bytearray) -> Iterator[memoryview]:
    """Yields views of the value, of at most CHUNK_SIZE bytes each, without copying it."""
    view = memoryview(value)
    return (view[start : start + CHUNK_SIZE] for start in range(0, len(value), CHUNK_SIZE))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol that reads its socket into a buffer shared by all connections.

    The event loop calls `buffer_updated` immediately after filling the buffer, and the bytes are copied out
    there, so connections can't overwrite each other's input.
    """

    read_size = CHUNK_SIZE  # maximum bytes of the current read

    def max_read_size(self) -> int:
        """Returns the bytes that the next read may bring, 1 to CHUNK_SIZE."""
        return CHUNK_SIZE

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the shared buffer, as far as it may be filled; ignores the suggested size."""
        self.read_size = self.max_read_size()
        return memoryview(_shared_buffer)[: self.read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a copy of the first `nbytes` of the buffer to `data_received`."""
        self.data_received(bytes(memoryview(_shared_buffer)[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Processes received bytes."""


class Source(Protocol):
    """The connection from which a long value is received."""

    def pause(self) -> None:
        """Stops reading the value until `resume`."""

    def resume(self) -> None:
        """Resumes reading the value."""


class Stream:
    """Forwards one value as a RESP bulk string, with backpressure from the client to the source.

    The source is paused while a chunk is buffered and resumed when the client takes it, so that at most the
    chunks of one read are buffered. While the value is collected, the source is never paused.
    """

    __slots__ = ("chunks", "collecting", "complete", "on_data", "size", "source", "started")

    def __init__(self, size: int, source: Source) -> None:
        """size: length of the value in bytes, which the header of the bulk string announces."""
        self.size, self.source = size, source
        self.chunks = deque([b"$%d\r\n" % size])
        self.started = False  # whether data was taken
        self.complete = False  # whether the complete value was received
        self.collecting = False
        self.on_data: Callable[[], None] = lambda: None  # called when there is data to take

    @property
    def done(self) -> bool:
        """Whether the complete value was received and taken."""
        return self.complete and not self.chunks

    @property
    def interruptible(self) -> bool:
        """Whether a part of the value was taken and the source may still fail to give the rest."""
        return self.started and not self.complete

    def feed(self, chunk: bytes) -> None:
        """Adds a chunk from the source; pauses the source unless the client takes the chunk at once."""
        if self.chunks and len(self.chunks[-1]) + len(chunk) <= MERGED_SIZE:
            self.chunks[-1] += chunk
        else:
            self.chunks.append(chunk)
        self.on_data()
        if self.chunks and not self.collecting:
            self.source.pause()

    def end(self) -> None:
        """Marks the value as complete; the source is not used afterwards and may serve another request."""
        self.chunks.append(b"\r\n")
        self.complete = True
        self.on_data()

    def collect(self) -> None:
        """Receives the value as fast as the source gives it, until `stop_collecting`."""
        self.collecting = True
        if not self.complete:
            self.source.resume()

    def stop_collecting(self) -> None:
        """Returns to backpressure: the source is read again once the buffered data was taken."""
        self.collecting = False
        if self.chunks and not self.complete:
            self.source.pause()

    def take(self) -> bytes:
        """Removes and returns buffered data, about CHUNK_SIZE bytes at most.

        Resumes the source if the value is incomplete and nothing is buffered any more.
        """
        self.started = True
        parts, size = [], 0
        while self.chunks and size < CHUNK_SIZE:
            parts.append(self.chunks.popleft())
            size += len(parts[-1])
        if not self.complete and not self.chunks:
            self.source.resume()
        return b"".join(parts)
