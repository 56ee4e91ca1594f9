"""Long values on their way from a server to a client, piece by piece, and how sockets are read."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Iterator
from typing import Protocol

PIECE = 64 * 1024  # bytes read from a socket at once
_piece = bytearray(PIECE)


def pieces_of(value: bytes | bytearray) -> Iterator[memoryview]:
    whole = memoryview(value)
    return (whole[at : at + PIECE] for at in range(0, len(value), PIECE))


class Reader(asyncio.BufferedProtocol):
    """Reads its socket into one buffer that all share: what comes is taken out before another can read."""

    def get_buffer(self, sizehint: int) -> bytearray:
        return _piece

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(_piece)[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Takes in what came."""


class Source(Protocol):
    """Where a long value comes from: read only while its client takes more."""

    def pause(self) -> None:
        """Stops reading."""

    def resume(self) -> None:
        """Reads on."""


class Stream:
    """One value, as a RESP bulk string. Holds at the most the pieces of one read."""

    __slots__ = ("begun", "done", "pieces", "source", "wake")

    def __init__(self, size: int, source: Source) -> None:
        self.source = source
        self.pieces = [b"$%d\r\n" % size]
        self.begun = self.done = False  # some of it is taken; all of it has come
        self.wake: Callable[[], None] = lambda: None  # told when there is more to take

    def feed(self, piece: bytes) -> None:
        self.pieces.append(piece)
        self.wake()
        if self.pieces:
            self.source.pause()

    def end(self) -> None:
        """The value is whole; the source may be another's from now on."""
        self.pieces.append(b"\r\n")
        self.done = True
        self.wake()

    def take(self) -> bytes:
        self.begun = True
        taken = b"".join(self.pieces)
        self.pieces.clear()
        if not self.done:
            self.source.resume()
        return taken
