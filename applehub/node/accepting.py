"""Accepts connections from a listening socket: a bounded number in each turn of the event loop, over failures
of accept."""

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from applehub.node.arrivals import Queue, looks_of_running_loop

RETRY = 0.02  # s between two tries while accept fails; it has to succeed within 0.05 s of the failure's end
OUTAGE_APART = 1.0  # s without a failure after which the next one is logged again
# What accept(2) passes on of a connection that broke before it was accepted: it is gone, and others may wait
# behind it. Whatever else fails leaves the queue as it is: a lack of descriptors or memory, of which the
# system would tell again at once.
BROKEN = frozenset(
    (
        errno.ECONNABORTED, errno.ECONNRESET, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.EINTR,
        errno.ENETDOWN, errno.ENETUNREACH, errno.ENONET, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPERM,
        errno.EPROTO, errno.ETIMEDOUT,
    )
)  # fmt: skip
log = logging.getLogger("applehub")


class Acceptor:
    """A listening socket and the connections that are on their way from it to their protocols."""

    def __init__(
        self,
        listener: socket.socket,
        make: Callable[[int], asyncio.BaseProtocol],
        most: int,
        inherited: bool = False,
    ) -> None:
        """Begins to accept.

        make: creates the protocol of a connection, given the time before which it can't have sent anything.
        most: how many are accepted in one turn. inherited: connections may have waited before this process
        began; other processes may share the listener, so it is closed here and never shut down.
        """
        self._listener, self._make, self._most = listener, make, most
        self._loop = asyncio.get_running_loop()
        self._queue = Queue(looks_of_running_loop(), inherited)
        self._coming: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._failed_at = float("-inf")
        self.open = True
        listener.setblocking(False)
        self._loop.add_reader(listener, self._take_turn)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        address: tuple[str, int] = self._listener.getsockname()[:2]
        return address

    @property
    def coming(self) -> bool:
        """Whether a connection was accepted and has not reached its protocol."""
        return bool(self._coming)

    def _take_turn(self) -> None:
        """Accepts those who wait, as many as one turn may."""
        try:
            if self._accept_some():
                self._queue.leave_some()
        except OSError as problem:
            self._try_later(problem)

    def _accept_some(self) -> bool:
        """Accepts those who wait, as many as one turn may; whether there may be more. Raises OSError where
        none can be accepted for now, or all that were tried had broken."""
        accepted, broke = 0, OSError()
        for _ in range(self._most):
            try:
                line, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as problem:
                if problem.errno not in BROKEN:
                    raise
                broke = problem
                continue
            accepted += 1
            task = self._loop.create_task(self._bring(line, self._queue.since))
            self._coming.add(task)
            task.add_done_callback(self._coming.discard)
        if not accepted:
            raise broke
        return True

    async def _bring(self, line: socket.socket, since: int) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._make(since), line)
        except OSError:  # it broke on the way
            line.close()

    def _note(self, problem: OSError) -> None:
        """Logs a failure, once for an outage. Guards the log, and the processor, against a line a try."""
        now = self._loop.time()
        if now - self._failed_at > OUTAGE_APART:
            log.error("accept fails, and is tried again every %.0f ms: %s", RETRY * 1000, problem)
        self._failed_at = now

    def _try_later(self, problem: OSError) -> None:
        self._note(problem)
        self._pause()
        self._retry = self._loop.call_later(RETRY, self._resume)

    def _pause(self) -> None:
        """Stops watching the listener. Guards the processor: the system reports it again and again."""
        self._loop.remove_reader(self._listener)
        self._queue.pause()
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _resume(self) -> None:
        self._retry = None
        self._queue.resume()
        try:
            self._loop.add_reader(self._listener, self._take_turn)
        except OSError as problem:  # the selector may lack memory as accept does
            self._try_later(problem)

    async def take_all(self, patience: float) -> None:
        """Accepts all who wait, and nobody after that; where accept fails, it is tried for so many seconds.

        Returns in the turn in which nobody waited any more."""
        self._pause()
        end = self._loop.time() + patience
        while True:
            pause = 0.0
            try:
                if not self._accept_some():
                    return
            except OSError as problem:
                self._note(problem)
                pause = RETRY
            if self._loop.time() + pause > end:
                return
            await asyncio.sleep(pause)

    async def brought(self) -> None:
        """Waits until each that was accepted has reached its protocol."""
        if self._coming:
            await asyncio.wait(self._coming)

    def close(self) -> None:
        """Stops accepting; nothing is tried after that."""
        if self.open:
            self.open = False
            self._pause()
            self._listener.close()
