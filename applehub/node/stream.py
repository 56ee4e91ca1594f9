"""Streaming of long values from servers to clients in chunks, and a shared buffer for socket reads."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Iterator
from typing import Protocol

CHUNK_SIZE = 64 * 1024  # maximum number of bytes read from a socket or written to one at once
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

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the shared buffer; ignores the suggested size."""
        return _shared_buffer

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
    chunks of one read are buffered.
    """

    __slots__ = ("chunks", "done", "on_data", "source", "started")

    def __init__(self, size: int, source: Source) -> None:
        """size: length of the value in bytes, which the header of the bulk string announces."""
        self.source = source
        self.chunks = [b"$%d\r\n" % size]
        self.started = self.done = False  # whether data was taken; whether the value is complete
        self.on_data: Callable[[], None] = lambda: None  # called when there is data to take

    def feed(self, chunk: bytes) -> None:
        """Adds a chunk from the source; pauses the source unless the client takes the chunk at once."""
        self.chunks.append(chunk)
        self.on_data()
        if self.chunks:
            self.source.pause()

    def end(self) -> None:
        """Marks the value as complete; the source is not used afterwards and may serve another request."""
        self.chunks.append(b"\r\n")
        self.done = True
        self.on_data()

    def take(self) -> bytes:
        """Removes and returns the buffered data; resumes the source if the value is incomplete."""
        self.started = True
        taken = b"".join(self.chunks)
        self.chunks.clear()
        if not self.done:
            self.source.resume()
        return taken
