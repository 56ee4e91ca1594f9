"""Arrival times of the bytes that were read from a client.

The event loop may read bytes some time after they arrived: it is busy, reading from the connection is
paused, or the connection is still in the accept queue. The deadline of a request counts from its last byte,
so each read is assigned the time before which none of its bytes can have arrived: that of the last poll that
found no input on the socket. If that is much earlier than the read, the kernel is asked when it last received
data. Where the time is unknown, the earlier bound is used, so that no server is notified of a deadline later
than the client's.
"""

import asyncio
import selectors
import socket
import struct
import time
from typing import Protocol

from applehub.node.stream import CHUNK_SIZE
from applehub.node.unread import UnreadInput

MILLI = 1_000_000
SECOND = 1_000_000_000
LONG_TICK = 5 * MILLI  # ns; for an uncertainty above this the kernel is asked for the arrival time
TCP_INFO_RESOLUTION_MS = 10  # coarsest resolution of times in `struct tcp_info`
NO_POLL = 1 << 62  # a poll count that is never reached
UNKNOWN_TIME = 0  # input may have waited for an unknown time
ESTABLISHED, CLOSE_WAIT = 1, 8  # TCP states in which data can have been received
# Start of Linux's `struct tcp_info`: state, size of received segments, ms since data was last received.
TCP_INFO_HEAD = struct.Struct("=B19xI28xI")


class TimedSelector(selectors.DefaultSelector):
    """A selector that records when it polled the sockets.

    poll_count: number of polls. polled_at: time of the last poll. earliest_arrival: time before which no
    input that the last poll found can have arrived. Times are monotonic, in ns.
    """

    def __init__(self) -> None:
        super().__init__()
        self.poll_count = self.polled_at = self.earliest_arrival = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        started, before = time.monotonic_ns(), self.polled_at
        self.poll_count += 1
        if timeout is not None and timeout <= 0:
            self.earliest_arrival, self.polled_at = before, started
            return super().select(0)
        busy = started - before
        if busy > LONG_TICK:
            # A poll without waiting separates input that arrived during the long tick from later input.
            ready = super().select(0)
            if ready:
                self.earliest_arrival, self.polled_at = before, started
                return ready
            busy = 0
        ready = super().select(timeout)
        polled_at = time.monotonic_ns()
        if timeout is not None:
            # If the process was suspended during the wait, input may have arrived since the wait was to end.
            polled_at = min(polled_at, started + int(timeout * SECOND))
        self.earliest_arrival, self.polled_at = polled_at - busy, polled_at
        return ready


class TimedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that records when it polled its sockets."""

    def __init__(self, selector: TimedSelector | None = None) -> None:
        self.selector = selector or TimedSelector()
        super().__init__(self.selector)


def running_selector() -> TimedSelector:
    """Returns the selector of the running event loop; raises TypeError unless that is a TimedEventLoop."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, TimedEventLoop):
        raise TypeError("the running event loop must be an applehub.node.arrivals.TimedEventLoop")
    return loop.selector


class SocketLike(Protocol):
    """The methods of a socket that are used here."""

    def fileno(self) -> int:
        """Returns the file descriptor."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Returns the value of a socket option."""


def ms_since_last_data(sock: SocketLike) -> int | None:
    """Returns the milliseconds since the kernel last received data; None if it does not report them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_HEAD.size)
    except OSError:
        return None
    if len(info) < TCP_INFO_HEAD.size:
        return None
    state, segment_size, elapsed_ms = TCP_INFO_HEAD.unpack(info)
    return elapsed_ms if state in (ESTABLISHED, CLOSE_WAIT) and segment_size else None


class ArrivalTimes:
    """Arrival times of one connection's bytes, by their position in the stream.

    Stores one or two entries for each read since the last call of `clear`.
    """

    __slots__ = ("_bound_until_poll", "_fixed_bound", "_reads", "_received", "_selector")

    def __init__(self, selector: TimedSelector, earliest_arrival: int) -> None:
        """For a connection that is not read yet; earliest_arrival: lower bound for its first byte, in ns."""
        self._selector = selector
        self._reads: list[tuple[int, int]] = []  # total bytes received, and arrival time of the last of them
        self._received = 0
        # `_fixed_bound` holds up to this poll; after it, the bound of the selector does.
        self._fixed_bound, self._bound_until_poll = earliest_arrival, NO_POLL

    @property
    def _bound(self) -> int:
        """The time before which no unread input can have arrived."""
        return (
            self._fixed_bound
            if self._selector.poll_count <= self._bound_until_poll
            else self._selector.earliest_arrival
        )

    def pause(self) -> None:
        """Records that reading from the connection is paused."""
        if self._bound_until_poll != NO_POLL:
            self._fixed_bound, self._bound_until_poll = self._bound, NO_POLL

    def resume(self) -> None:
        """Records that the connection is read again from the next poll on."""
        if self._bound_until_poll == NO_POLL:
            self._bound_until_poll = self._selector.poll_count + 1

    def record_read(self, size: int, sock: SocketLike) -> None:
        """Records the arrival of `size` bytes that have just been read."""
        arrived = self._bound
        if size == CHUNK_SIZE:  # more input may be unread, which can have arrived as early as this
            self._fixed_bound, self._bound_until_poll = arrived, self._selector.poll_count + 1
        self._received += size
        if self._selector.polled_at - arrived > LONG_TICK:
            last = self._last_received(sock)
            if arrived == UNKNOWN_TIME:
                arrived = last or self._selector.earliest_arrival
            elif last > arrived:
                self._reads.append((self._received - 1, arrived))
                arrived = last
        self._reads.append((self._received, arrived))

    @staticmethod
    def _last_received(sock: SocketLike) -> int:
        """Returns when the last byte that was read arrived, as reported by the kernel; 0 if unknown."""
        elapsed_ms, now = ms_since_last_data(sock), time.monotonic_ns()
        # With unread input, the kernel's time is that of the unread bytes and not of those that were read.
        return (
            0
            if elapsed_ms is None or UnreadInput(sock).pending()
            else now - (elapsed_ms + TCP_INFO_RESOLUTION_MS) * MILLI
        )

    def of_last_byte_before(self, unused: int) -> int:
        """Returns the arrival time of the byte before the last `unused` bytes received."""
        end = self._received - unused
        while self._reads[0][0] < end:
            del self._reads[0]
        return self._reads[0][1]

    def clear(self) -> None:
        """Drops all entries; called when no complete command is buffered."""
        self._reads.clear()


class AcceptQueueTimes:
    """Arrival times of the connections in the accept queue of a listening socket.

    Connections that a tick leaves in the queue may have arrived as early as those that it accepted.
    """

    __slots__ = ("_bound_until_poll", "_fixed_bound", "_selector")

    def __init__(self, selector: TimedSelector, inherited: bool) -> None:
        """For a listener that is watched from the next poll on.

        inherited: connections may have waited in the queue for an unknown time.
        """
        self._selector = selector
        # `_fixed_bound` holds up to this poll; after it, the bound of the selector does.
        self._fixed_bound, self._bound_until_poll = UNKNOWN_TIME, selector.poll_count + 1 if inherited else 0

    @property
    def earliest_arrival(self) -> int:
        """The time before which a client that is accepted in this tick can't have sent data."""
        return (
            self._fixed_bound
            if self._selector.poll_count <= self._bound_until_poll
            else self._selector.earliest_arrival
        )

    def mark_remaining(self) -> None:
        """Records that this tick accepted its maximum, so that connections may remain in the queue."""
        self._fixed_bound, self._bound_until_poll = self.earliest_arrival, self._selector.poll_count + 1

    def pause(self) -> None:
        """Records that the listener is not watched from now on."""
        self._fixed_bound, self._bound_until_poll = self.earliest_arrival, NO_POLL

    def resume(self) -> None:
        """Records that the listener is watched again from the next poll on."""
        self._bound_until_poll = self._selector.poll_count + 1
