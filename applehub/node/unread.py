"""Checks a socket for input that the kernel has received and the process has not read."""

import select
from typing import Protocol

PEER_CLOSED = select.POLLRDHUP


class HasFileno(Protocol):
    """A socket, or another object with a file descriptor."""

    def fileno(self) -> int:
        """Returns the file descriptor."""


class UnreadInput:
    """Detects unread input of one socket: data or the end of the stream, or only the end of the stream."""

    __slots__ = ("_poll",)

    def __init__(self, sock: HasFileno, events: int = select.POLLIN) -> None:
        """events: `select.POLLIN`, or PEER_CLOSED to ignore data that precedes the end of the stream."""
        self._poll = select.poll()
        self._poll.register(sock.fileno(), events)

    def pending(self) -> bool:
        """Returns whether there is unread input."""
        return bool(self._poll.poll(0))
