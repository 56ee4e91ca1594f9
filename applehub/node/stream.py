"""Passes long values from a server to a client in pieces, and reads sockets into one shared buffer."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Iterator
from typing import Protocol

PIECE = 64 * 1024  # most bytes read from a socket, or handed to one, at once
_piece = bytearray(PIECE)


def pieces_of(value: bytes | bytearray) -> Iterator[memoryview]:
    """The value in views of at most PIECE bytes; nothing is copied."""
    whole = memoryview(value)
    return (whole[at : at + PIECE] for at in range(0, len(value), PIECE))


class Reader(asyncio.BufferedProtocol):
    """A protocol whose socket is read into a buffer that all connections share.

    That is safe because the event loop calls `buffer_updated` right after it has filled the buffer, and the
    bytes are copied out there.
    """

    def get_buffer(self, sizehint: int) -> bytearray:
        """The shared buffer, whatever size the event loop suggests."""
        return _piece

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a copy of the first `nbytes` of the buffer to `data_received`."""
        self.data_received(bytes(memoryview(_piece)[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Processes bytes that were received."""


class Source(Protocol):
    """The connection that a long value comes from."""

    def pause(self) -> None:
        """Stops reading the value until `resume`."""

    def resume(self) -> None:
        """Continues to read the value."""


class Stream:
    """One value as a RESP bulk string, with backpressure from its client to its source.

    The source is paused as soon as a piece waits here and resumed when the client takes it, so no more than
    the pieces of one read are buffered.
    """

    __slots__ = ("begun", "done", "pieces", "source", "wake")

    def __init__(self, size: int, source: Source) -> None:
        """size: length of the value in bytes, which the header of the bulk string announces."""
        self.source = source
        self.pieces = [b"$%d\r\n" % size]
        self.begun = self.done = False  # whether some of it was taken, and whether all of it was received
        self.wake: Callable[[], None] = lambda: None  # called when there is more to take

    def feed(self, piece: bytes) -> None:
        """Adds a piece from the source; pauses the source unless the client takes the piece at once."""
        self.pieces.append(piece)
        self.wake()
        if self.pieces:
            self.source.pause()

    def end(self) -> None:
        """Marks the value as complete; the source is not used after that and may serve another request."""
        self.pieces.append(b"\r\n")
        self.done = True
        self.wake()

    def take(self) -> bytes:
        """Removes and returns all that waits, for the client; resumes the source if the value goes on."""
        self.begun = True
        taken = b"".join(self.pieces)
        self.pieces.clear()
        if not self.done:
            self.source.resume()
        return taken
