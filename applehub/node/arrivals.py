"""Arrival times of the bytes that were read from a client.

The event loop may read bytes some time after they arrived: because it is busy, because reading from the
connection is paused, or because the connection is still in the accept queue. The deadline of a request counts
from the arrival of its last byte. Each read is therefore assigned a lower bound on the arrival of its bytes:
the time of the last poll that found no input on the socket. If that is much earlier than the read, the kernel
is queried for the time at which it last received data. If the arrival time remains unknown, the lower bound
is used, so that no server receives a deadline later than the client's.
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
LONG_TICK = 5 * MILLI  # ns; the kernel is queried for an arrival time that is uncertain by more
TCP_INFO_RESOLUTION_MS = 10  # coarsest resolution of times in `struct tcp_info`
NO_POLL = 1 << 62  # a poll count that is never reached
UNKNOWN_TIME = 0  # lower bound on the arrival of input that has waited for an unknown time
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
        started, previous_poll_at = time.monotonic_ns(), self.polled_at
        self.poll_count += 1
        if timeout is not None and timeout <= 0:
            self.earliest_arrival, self.polled_at = previous_poll_at, started
            return super().select(0)
        busy_time = started - previous_poll_at
        if busy_time > LONG_TICK:
            # A poll without waiting separates input that arrived during the long tick from later input.
            ready = super().select(0)
            if ready:
                self.earliest_arrival, self.polled_at = previous_poll_at, started
                return ready
            busy_time = 0
        ready = super().select(timeout)
        polled_at = time.monotonic_ns()
        if timeout is not None:
            # If the process was suspended during the wait, input may have arrived after the timeout expired.
            polled_at = min(polled_at, started + int(timeout * SECOND))
        self.earliest_arrival, self.polled_at = polled_at - busy_time, polled_at
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
    """The socket methods that this module uses."""

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
    """Lower bounds on the arrival times of one connection's bytes, by their position in the stream.

    Stores one or two entries for each read since the last call of `clear`.
    """

    __slots__ = ("_bound_until_poll", "_fixed_bound", "_reads", "_received", "_selector")

    def __init__(self, selector: TimedSelector, earliest_arrival: int) -> None:
        """Creates the record of a connection from which nothing was read yet.

        earliest_arrival: lower bound on the arrival of its first byte (monotonic ns).
        """
        self._selector = selector
        # Entries of (total bytes received after a read, arrival time of the last of them).
        self._reads: list[tuple[int, int]] = []
        self._received = 0
        # The lower bound is `_fixed_bound` up to this poll, and the selector's `earliest_arrival` after it.
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
        """Records that the connection is polled again from the next poll on."""
        if self._bound_until_poll == NO_POLL:
            self._bound_until_poll = self._selector.poll_count + 1

    def record_read(self, size: int, sock: SocketLike, max_size: int = CHUNK_SIZE) -> None:
        """Records the arrival of `size` bytes that have just been read, of `max_size` at most."""
        arrived_at = self._bound
        if size == max_size:  # the socket may hold more input, as old as these bytes
            self._fixed_bound, self._bound_until_poll = arrived_at, self._selector.poll_count + 1
        self._received += size
        if self._selector.polled_at - arrived_at > LONG_TICK:
            last_received_at = self._last_received(sock)
            if arrived_at == UNKNOWN_TIME:
                arrived_at = last_received_at or self._selector.earliest_arrival
            elif last_received_at > arrived_at:
                self._reads.append((self._received - 1, arrived_at))
                arrived_at = last_received_at
        self._reads.append((self._received, arrived_at))

    @staticmethod
    def _last_received(sock: SocketLike) -> int:
        """Returns when the last byte that was read arrived, as reported by the kernel; 0 if unknown."""
        elapsed_ms, now = ms_since_last_data(sock), time.monotonic_ns()
        # If input is unread, the kernel reports the time of the unread bytes, not of those that were read.
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
        """Removes all entries; called when no complete command is buffered."""
        self._reads.clear()


class AcceptQueueTimes:
    """Lower bounds on the arrival times of connections in the accept queue of a listening socket.

    Connections that a tick leaves in the queue may have arrived as early as those that it accepted.
    """

    __slots__ = ("_bound_until_poll", "_fixed_bound", "_selector")

    def __init__(self, selector: TimedSelector, inherited: bool) -> None:
        """Creates the record of a listener that is polled from the next poll on.

        inherited: whether connections may have waited in the queue for an unknown time.
        """
        self._selector = selector
        # The lower bound is `_fixed_bound` up to this poll, and the selector's `earliest_arrival` after it.
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
        """Records that the listener is no longer polled."""
        self._fixed_bound, self._bound_until_poll = self.earliest_arrival, NO_POLL

    def resume(self) -> None:
        """Records that the listener is polled again from the next poll on."""
        self._bound_until_poll = self._selector.poll_count + 1
