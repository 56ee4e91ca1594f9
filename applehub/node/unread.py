"""Looks at what the system holds of a connection and nobody has read yet."""

import select
from typing import Protocol

END = select.POLLRDHUP


class Line(Protocol):
    """A socket, or what stands for one."""

    def fileno(self) -> int:
        """Its descriptor."""


class Unread:
    """What has come on one socket and was not read: data or the end of the stream, or the end alone."""

    __slots__ = ("_arrived",)

    def __init__(self, line: Line, what: int = select.POLLIN) -> None:
        """what: `select.POLLIN`, or END where data that comes before the end does not count."""
        self._arrived = select.poll()
        self._arrived.register(line.fileno(), what)

    def waits(self) -> bool:
        """Whether there is any."""
        return bool(self._arrived.poll(0))
