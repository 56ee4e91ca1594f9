"""The send queue of a TCP socket: bytes that were written to it and that its peer has not acknowledged.

A successful write only copies bytes into this queue, which holds several megabytes. The kernel sends them as
fast as the peer reads, and goes on doing so after the socket was closed.
"""

import contextlib
import fcntl
import socket
import struct
from typing import Protocol

# Requests of ioctl, from <linux/sockios.h>.
SIOCOUTQ = 0x5411  # bytes that the peer has not acknowledged
SIOCOUTQNSD = 0x894B  # those of them that have not been sent
INT = struct.Struct("i")
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, for 0 seconds


class SocketLike(Protocol):
    """The socket methods that this module uses."""

    def fileno(self) -> int:
        """Returns the file descriptor, -1 if the socket is closed."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Sets a socket option."""


def unacknowledged_bytes(sock: SocketLike) -> int:
    """Returns the bytes that the peer has not acknowledged; 0 if the kernel does not report them."""
    return _query(sock, SIOCOUTQ)


def unsent_bytes(sock: SocketLike) -> int:
    """Returns the bytes that the kernel has not sent yet; 0 if it does not report them."""
    return _query(sock, SIOCOUTQNSD)


def discard_on_close(sock: SocketLike) -> None:
    """Makes the close of a socket discard its send queue and reset the connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def _query(sock: SocketLike, request: int) -> int:
    descriptor = sock.fileno()
    if descriptor < 0:
        return 0
    try:
        (count,) = INT.unpack(fcntl.ioctl(descriptor, request, bytes(INT.size)))
    except OSError:
        return 0
    return int(count)
