"""Looks at what the system holds of a connection and nobody has read yet."""

import select
from typing import Protocol


class Line(Protocol):
    """A socket, or what stands for one."""

    def fileno(self) -> int:
        """Its descriptor."""


class Unread:
    """What has come on one socket and was not read."""

    __slots__ = ("_arrived",)

    def __init__(self, line: Line) -> None:
        self._arrived = select.poll()
        self._arrived.register(line.fileno(), select.POLLIN)

    def waits(self) -> bool:
        """Whether there is data, or the end of the stream."""
        return bool(self._arrived.poll(0))
