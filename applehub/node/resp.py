"""RESP2 as the router reads and writes it."""

import re
from collections.abc import Callable
from typing import Any

import hiredis

MOST_VALUE = 64 * 1024  # bytes of a key, an id, a list or a value that is held whole
MOST_LONG = 8 << 20  # bytes of a value that is passed on piece by piece
MOST_LINE = 1024
MOST_ITEMS = 8
WRITE_ITEMS = 5  # parts of a write, its value last
WRITE = re.compile(rb"\*5\r\n\$5\r\nC\.SET\r\n", re.IGNORECASE)
MOST_FRAME = 5 * MOST_VALUE  # a write has four large parts at the most
DROPPED = bytearray()  # a long value that there was no room for
WAITING = object()  # no whole value has come yet
FAILED = b"-ERR failed\r\n"


class FramingError(ValueError):
    """What came is no RESP2, or larger than the router takes: the stream is of no further use."""


def bulk(value: bytes | bytearray) -> bytes:
    return b"".join((b"$%d\r\n" % len(value), value, b"\r\n"))


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(parts), b"".join(map(bulk, parts)))


def error(text: str) -> bytes:
    return f"-ERR {text}\r\n".encode()


def refused(milliseconds: int) -> bytes:
    return b"-BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"-BUSY\r\n"


def _length(line: bytes, most: int) -> int:
    if line == b"-1":
        return -1
    if not line.isdigit() or len(line) > 10 or int(line) > most:
        raise FramingError("invalid or oversized length")
    return int(line)


class Frames:
    """Cuts a byte stream into complete RESP values.

    Each value is measured before hiredis parses it. hiredis allocates whatever size a header announces and
    does not check the end of a string, so an invalid length must be rejected before.

    Where long values are admitted, the last part of a write may be one: it is collected separately, or
    dropped if it is not admitted, and an empty string takes its place until the command is complete.
    """

    __slots__ = ("admit", "at", "buffer", "items", "left", "long", "missing", "reader")

    def __init__(self, admit: Callable[[int], bool] | None = None) -> None:
        self.admit = admit  # asked with the length of a long value whether there is room for it
        self.buffer = bytearray()
        self.at, self.missing = 0, 1  # how far it is measured, and how many values that lacks
        self.items = 0  # of the array that is measured
        self.left = 0  # bytes of a long value still to come
        self.long: bytearray | None = None  # and those that came
        self.reader = hiredis.Reader()

    def feed(self, data: bytes) -> None:
        if self.left:
            piece, data = data[: self.left], data[self.left :]
            self.left -= len(piece)
            if self.long is not None and self.long is not DROPPED:
                self.long += piece
        self.buffer += data

    @property
    def in_value(self) -> bool:
        """Whether all of a write is here but the end of its value."""
        return self.items == WRITE_ITEMS and self.missing == 1

    def replace(self, data: bytes) -> None:
        """Begins anew with these bytes."""
        self.buffer[:] = data
        self.at, self.missing = 0, 1

    def next(self) -> Any:
        """The next whole value, or WAITING."""
        while self.missing:
            if not self._measure():
                return WAITING
            if self.at > MOST_FRAME or self.missing > MOST_ITEMS:
                raise FramingError("too large")
        self.reader.feed(bytes(self.buffer[: self.at]))
        del self.buffer[: self.at]
        self.at, self.missing, self.items = 0, 1, 0
        try:
            value = self.reader.gets()
        except hiredis.ProtocolError as problem:
            raise FramingError(str(problem)) from None
        if self.long is not None:
            value[-1], self.long = self.long, None
        return value

    def _collect(self, at: int, end: int, size: int) -> None:
        came = self.buffer[end : end + size]
        self.long = came if self.admit is not None and self.admit(size) else DROPPED
        self.left = size - len(came)
        self.buffer[at : end + len(came)] = b"$0\r\n"

    def _measure(self) -> bool:
        """Steps over one value, or the head of an array; whether it was there."""
        buffer, at = self.buffer, self.at
        if at >= len(buffer):
            return False
        if buffer[at] not in b"+-:$*":
            raise FramingError("invalid first byte")
        end = buffer.find(b"\r\n", at, at + MOST_LINE)
        if end < 0:
            if len(buffer) - at >= MOST_LINE:
                raise FramingError("line too long")
            return False
        line, kind = bytes(buffer[at + 1 : end]), buffer[at : at + 1]
        end += 2
        if kind == b"*":
            # Neither clients nor servers nest arrays; deep nesting would cost time without bound.
            if at:
                raise FramingError("an array in an array")
            self.items = _length(line, MOST_ITEMS)
            self.missing += max(0, self.items)
        elif kind == b"$":
            long = self.admit is not None and self.in_value and WRITE.match(buffer) is not None
            size = _length(line, MOST_LONG if long else MOST_VALUE)
            if size > MOST_VALUE:
                self._collect(at, end, size)
                return self._measure()
            if size >= 0:
                if len(buffer) < end + size + 2:
                    return False
                if buffer[end + size : end + size + 2] != b"\r\n":
                    raise FramingError("string longer than announced")
                end += size + 2
        self.at, self.missing = end, self.missing - 1
        return True
