"""Parsing and encoding of RESP2, the Redis serialization protocol."""

import re
from collections.abc import Callable
from typing import Any

import hiredis

MAX_BUFFERED_VALUE = 64 * 1024  # maximum bytes of a key, id, parameter list or value that is not streamed
MAX_LONG_VALUE = 8 << 20  # maximum bytes of a value that is forwarded in chunks
MAX_LINE = 1024  # maximum bytes of one line, which contains no part of a bulk string
MAX_ITEMS = 8  # maximum items of an array
WRITE_ITEMS = 5  # items of a C.SET command, the value last
WRITE_COMMAND = re.compile(rb"\*5\r\n\$5\r\nC\.SET\r\n", re.IGNORECASE)
MAX_FRAME = 5 * MAX_BUFFERED_VALUE  # maximum bytes of a command; C.SET has at most four large items
DISCARDED = bytearray()  # replaces a long value that was not admitted
INCOMPLETE = object()  # returned while no complete value is buffered
FAILED = b"-ERR failed\r\n"


class FramingError(ValueError):
    """The input is not valid RESP2 or exceeds a limit; the rest of the stream can't be parsed."""


def bulk(value: bytes | bytearray) -> bytes:
    return b"".join((b"$%d\r\n" % len(value), value, b"\r\n"))


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(parts), b"".join(map(bulk, parts)))


def error(text: str) -> bytes:
    return f"-ERR {text}\r\n".encode()


def busy(milliseconds: int) -> bytes:
    return b"-BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"-BUSY\r\n"


def _length(line: bytes, limit: int) -> int:
    if line == b"-1":
        return -1
    if not line.isdigit() or len(line) > 10 or int(line) > limit:
        raise FramingError("invalid or oversized length")
    return int(line)


def _parse(encoded: bytes) -> Any:
    """Returns the complete value that is encoded; raises FramingError.

    A reader keeps a buffer of twice the size of what it has parsed, so it lives for one value only.
    """
    reader = hiredis.Reader()
    reader.feed(encoded)
    try:
        return reader.gets()
    except hiredis.ProtocolError as problem:
        raise FramingError(str(problem)) from None


class FrameParser:
    """Splits a byte stream into complete RESP values.

    Each value is scanned before hiredis parses it. hiredis allocates whatever size a header announces and
    does not check the end of a string, so an invalid length must be rejected before.

    With `admit`, the last item of a C.SET command may be a long value: it is collected separately, or
    discarded if it is not admitted, and an empty string replaces it until the command is complete.
    """

    __slots__ = ("admit", "buffer", "items", "long_remaining", "long_value", "missing", "position")

    def __init__(self, admit: Callable[[int], bool] | None = None) -> None:
        self.admit = admit  # called with the length of a long value; returns whether to store it
        self.buffer = bytearray()
        # End of the scanned input, and number of values that are still to be scanned.
        self.position, self.missing = 0, 1
        self.items = 0  # number of items of the array that is being scanned
        self.long_remaining = 0  # bytes of a long value not received yet
        self.long_value: bytearray | None = None  # received bytes of the long value, or DISCARDED

    def feed(self, data: bytes) -> None:
        """Appends received bytes; those of a long value are stored separately."""
        if self.long_remaining:
            chunk, data = data[: self.long_remaining], data[self.long_remaining :]
            self.long_remaining -= len(chunk)
            if self.long_value is not None and self.long_value is not DISCARDED:
                self.long_value += chunk
        self.buffer += data

    @property
    def in_value(self) -> bool:
        """Whether only the value of a C.SET command is still incomplete."""
        return self.items == WRITE_ITEMS and self.missing == 1

    def replace(self, data: bytes) -> None:
        """Replaces the buffered input and restarts the scan."""
        self.buffer[:] = data
        self.position, self.missing = 0, 1

    def next(self) -> Any:
        """Returns the next complete value, or INCOMPLETE; raises FramingError."""
        while self.missing:
            if not self._scan_value():
                return INCOMPLETE
            if self.position > MAX_FRAME or self.missing > MAX_ITEMS:
                raise FramingError("too large")
        encoded = bytes(self.buffer[: self.position])
        del self.buffer[: self.position]
        self.position, self.missing, self.items = 0, 1, 0
        value = _parse(encoded)
        if self.long_value is not None:
            value[-1], self.long_value = self.long_value, None
        return value

    def discard_value(self) -> bool:
        """Discards the value of an incomplete C.SET command; returns False if no such value is buffered.

        The command is complete as soon as its client has sent the rest, which is discarded as well.
        """
        end = self.buffer.find(b"\r\n", self.position, self.position + MAX_LINE)
        if end < 0 or self.long_value is not None or not self._is_write_value:
            return False
        size = int(self.buffer[self.position + 1 : end])  # valid, as the value was scanned before
        self._start_long_value(self.position, end + 2, size, is_stored=False)
        return True

    @property
    def _is_write_value(self) -> bool:
        """Whether the next item is the value of a C.SET command and may be replaced in the buffer."""
        return self.admit is not None and self.in_value and WRITE_COMMAND.match(self.buffer) is not None

    def _start_long_value(self, start: int, end: int, size: int, is_stored: bool) -> None:
        """Replaces a value in the buffer by an empty string.

        start, end: position of the header in the buffer. size: length of the value in bytes.
        """
        received = self.buffer[end : end + size]
        self.long_value = received if is_stored else DISCARDED
        self.long_remaining = size - len(received)
        self.buffer[start : end + len(received)] = b"$0\r\n"

    def _scan_value(self) -> bool:
        """Advances past one value or array header; returns whether it is completely buffered."""
        buffer, start = self.buffer, self.position
        if start >= len(buffer):
            return False
        if buffer[start] not in b"+-:$*":
            raise FramingError("invalid first byte")
        end = buffer.find(b"\r\n", start, start + MAX_LINE)
        if end < 0:
            if len(buffer) - start >= MAX_LINE:
                raise FramingError("line too long")
            return False
        line, kind = bytes(buffer[start + 1 : end]), buffer[start : start + 1]
        end += 2
        if kind == b"*":
            # Neither clients nor servers nest arrays; the cost of parsing deep nesting is unbounded.
            if start:
                raise FramingError("an array in an array")
            self.items = _length(line, MAX_ITEMS)
            self.missing += max(0, self.items)
        elif kind == b"$":
            size = _length(line, MAX_LONG_VALUE if self._is_write_value else MAX_BUFFERED_VALUE)
            if size > MAX_BUFFERED_VALUE:
                is_stored = self.admit is not None and self.admit(size)
                self._start_long_value(start, end, size, is_stored)
                return self._scan_value()
            if size >= 0:
                if len(buffer) < end + size + 2:
                    return False
                if buffer[end + size : end + size + 2] != b"\r\n":
                    raise FramingError("string longer than announced")
                end += size + 2
        self.position, self.missing = end, self.missing - 1
        return True
