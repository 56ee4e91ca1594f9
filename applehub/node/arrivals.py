"""When the bytes that were read from a client arrived at this machine.

The event loop reads bytes some time after they arrived: it is busy with something else, it does not read the
connection for now, or the connection itself waits to be accepted. The time of a request counts from its last
byte, so each read is given the moment before which none of its bytes can have arrived: that of the last look
at the sockets which found nothing there. Where that is much earlier than the read, the system is asked when
the last byte came. What can't be known is given the earlier moment, so that no server is told more time than
the client has left.
"""

import asyncio
import selectors
import socket
import struct
import time
from typing import Protocol

from applehub.node.stream import PIECE
from applehub.node.unread import Unread

MILLI = 1_000_000
SECOND = 1_000_000_000
LONG_TURN = 5 * MILLI  # ns; an arrival that is known less closely than this is looked at more closely
TICK = 10  # ms; the system's account is this coarse at the most
NEVER = 1 << 62  # a turn of the event loop that does not come
UNKNOWN = 0  # the time since which something may have waited where nobody was there to see it
ESTABLISHED, CLOSE_WAIT = 1, 8  # states of a connection on which data can have come
# The head of Linux's `struct tcp_info`: the state, the size of a received segment, the ms since data came.
TCP_INFO_HEAD = struct.Struct("=B19xI28xI")


class Looks(selectors.DefaultSelector):
    """A selector that keeps when it looked at the sockets.

    `turn` counts the looks, `looked` is the time of the last one, and `since` the time before which nothing
    that it found can have arrived. Times are monotonic nanoseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.turn = self.looked = self.since = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        begun, before = time.monotonic_ns(), self.looked
        self.turn += 1
        if timeout is not None and timeout <= 0:
            self.since, self.looked = before, begun
            return super().select(0)
        busy = begun - before
        if busy > LONG_TURN:
            # A look without a wait first: it tells what came during the long turn from what comes now.
            ready = super().select(0)
            if ready:
                self.since, self.looked = before, begun
                return ready
            busy = 0
        ready = super().select(timeout)
        looked = time.monotonic_ns()
        if timeout is not None:
            # A process that was held up during its wait may find what came since the wait was to end.
            looked = min(looked, begun + int(timeout * SECOND))
        self.since, self.looked = looked - busy, looked
        return ready


class Loop(asyncio.SelectorEventLoop):
    """An event loop that keeps when it looked at its sockets."""

    def __init__(self, looks: Looks | None = None) -> None:
        self.looks = looks or Looks()
        super().__init__(self.looks)


def looks_of_running_loop() -> Looks:
    """The looks of the running event loop, which has to be a `Loop`."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, Loop):
        raise TypeError("the router has to run on an event loop of applehub.node.arrivals")
    return loop.looks


class Line(Protocol):
    """What is asked of a socket."""

    def fileno(self) -> int:
        """Its descriptor."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """An option, as the system gives it."""


def silent_for(line: Line) -> int | None:
    """The milliseconds since the system last received data on a connection; None where it does not tell."""
    try:
        told = line.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_HEAD.size)
    except OSError:
        return None
    if len(told) < TCP_INFO_HEAD.size:
        return None
    state, segment, silence = TCP_INFO_HEAD.unpack(told)
    return silence if state in (ESTABLISHED, CLOSE_WAIT) and segment else None


class Arrivals:
    """The arrival times of one connection's bytes, by their place in its stream.

    Holds an entry or two for each read since `forget` was last called."""

    __slots__ = ("_blind_until", "_looks", "_reads", "_received", "_unseen_since")

    def __init__(self, looks: Looks, since: int) -> None:
        """For a connection that is not read yet, and whose first bytes came at `since` or later."""
        self._looks = looks
        self._reads: list[tuple[int, int]] = []  # how many bytes had come, and when the last of them
        self._received = 0
        # Up to this turn, what is found may have come since that time, whatever the looks between tell.
        self._unseen_since, self._blind_until = since, NEVER

    @property
    def _bound(self) -> int:
        """The time before which nothing that is unread now can have arrived."""
        return self._unseen_since if self._looks.turn <= self._blind_until else self._looks.since

    def pause(self) -> None:
        """The connection is not read from now on."""
        if self._blind_until != NEVER:
            self._unseen_since, self._blind_until = self._bound, NEVER

    def resume(self) -> None:
        """The connection is read again from the next look on."""
        if self._blind_until == NEVER:
            self._blind_until = self._looks.turn + 1

    def note(self, size: int, line: Line) -> None:
        """Takes in that so many bytes have just been read."""
        arrived = self._bound
        if size == PIECE:  # more may stand behind them, no younger than they are
            self._unseen_since, self._blind_until = arrived, self._looks.turn + 1
        self._received += size
        if self._looks.looked - arrived > LONG_TURN:
            last = self._last_received(line)
            if arrived == UNKNOWN:
                arrived = last or self._looks.since
            elif last > arrived:
                self._reads.append((self._received - 1, arrived))
                arrived = last
        self._reads.append((self._received, arrived))

    @staticmethod
    def _last_received(line: Line) -> int:
        """When the last byte that was read arrived, by the system's account; 0 where that is not known."""
        silence, now = silent_for(line), time.monotonic_ns()
        # What is unread came later than the bytes that were read: the account tells of it, and not of them.
        return 0 if silence is None or Unread(line).waits() else now - (silence + TICK) * MILLI

    def of_last_before(self, unused: int) -> int:
        """The arrival of the last byte in front of those that are still unused, so many of those received."""
        end = self._received - unused
        while self._reads[0][0] < end:
            del self._reads[0]
        return self._reads[0][1]

    def forget(self) -> None:
        """No whole command is left: the byte that ends the next one has not come yet."""
        self._reads.clear()


class Queue:
    """The arrival times of connections in a listener's queue.

    What a turn leaves in the queue has waited for as long as what it took."""

    __slots__ = ("_blind_until", "_looks", "_unseen_since")

    def __init__(self, looks: Looks, inherited: bool) -> None:
        """For a listener that is watched from the next look on. What stands in the queue of an inherited one
        has waited for nobody knows how long."""
        self._looks = looks
        # Up to this turn, who is found may have come since that time, whatever the looks between tell.
        self._unseen_since, self._blind_until = UNKNOWN, looks.turn + 1 if inherited else 0

    @property
    def since(self) -> int:
        """The time before which a client that is accepted in this turn can't have sent anything."""
        return self._unseen_since if self._looks.turn <= self._blind_until else self._looks.since

    def leave_some(self) -> None:
        """This turn took as many as it may: others may be left."""
        self._unseen_since, self._blind_until = self.since, self._looks.turn + 1

    def pause(self) -> None:
        """The listener is not watched from now on."""
        self._unseen_since, self._blind_until = self.since, NEVER

    def resume(self) -> None:
        """The listener is watched again from the next look on."""
        self._blind_until = self._looks.turn + 1
