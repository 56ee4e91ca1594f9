"""Detects clients that have stopped taking their answers, or that have taken all of them."""

import asyncio
from collections.abc import Callable

from applehub.node.send_queue import unsent_bytes

WRITE_STALL_TIMEOUT = 10.0  # seconds for which a client may leave answers unread
LINGER_TIMEOUT = 1.0  # seconds for which input is still read after the client has taken the last answer


def untaken_bytes(transport: asyncio.Transport) -> int:
    """Returns the bytes written to a transport for which the peer's receive window has had no room yet."""
    return transport.get_write_buffer_size() + unsent_bytes(transport.get_extra_info("socket"))


class DeliveryWatch:
    """Calls a function when a client has taken nothing for too long, until it is stopped.

    The time allowed is WRITE_STALL_TIMEOUT while there are bytes to take. There are none only on a connection
    that is closing, for which the time is LINGER_TIMEOUT.
    """

    __slots__ = ("_on_timeout", "_progress_at", "_timer", "_transport", "_untaken")

    def __init__(self) -> None:
        self._on_timeout: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._untaken = -1
        self._progress_at = 0.0  # event loop time in seconds of the last progress that was seen

    def start(self, transport: asyncio.Transport, on_timeout: Callable[[], None]) -> None:
        """Starts to watch a transport; the time starts again if it is watched already."""
        self.stop()
        self._transport, self._on_timeout, self._untaken = transport, on_timeout, -1
        self._check()

    def stop(self) -> None:
        """Stops watching, and drops the references to the connection."""
        self._transport = self._on_timeout = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        assert self._transport is not None and self._on_timeout is not None
        loop = asyncio.get_running_loop()
        untaken = untaken_bytes(self._transport)
        if untaken != self._untaken:
            self._untaken, self._progress_at = untaken, loop.time()
        timeout = WRITE_STALL_TIMEOUT if untaken else LINGER_TIMEOUT
        remaining = self._progress_at + timeout - loop.time()
        if remaining > 0:
            # Checked at least this often, to see soon that everything has been taken.
            self._timer = loop.call_later(min(remaining, LINGER_TIMEOUT), self._check)
        else:
            self._on_timeout()
