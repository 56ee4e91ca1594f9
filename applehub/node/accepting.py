"""Accepts connections from a listening socket, a limited number per tick; retries after errors of accept."""

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from applehub.node.arrivals import AcceptQueueTimes, running_selector

# Seconds between two attempts while accept fails; it must succeed within 0.05 s of the end of the failure.
RETRY_DELAY = 0.02
FAILURE_LOG_INTERVAL = 1.0  # seconds without a failure after which the next failure is logged again
# Errors of a connection that broke before it was accepted: accept(2) has removed it from the queue, and
# others may follow it. Any other error, such as a lack of descriptors or memory, leaves the queue unchanged,
# and an immediate retry would fail again.
BROKEN_CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED, errno.ECONNRESET, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.EINTR,
        errno.ENETDOWN, errno.ENETUNREACH, errno.ENONET, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPERM,
        errno.EPROTO, errno.ETIMEDOUT,
    )
)  # fmt: skip
log = logging.getLogger("applehub")


class Acceptor:
    """A listening socket and the accepted connections that are not attached to their protocols yet."""

    def __init__(
        self,
        listener: socket.socket,
        protocol_factory: Callable[[int], asyncio.BaseProtocol],
        max_per_tick: int,
        inherited: bool = False,
    ) -> None:
        """Starts to accept connections.

        protocol_factory: creates the protocol of a connection; its argument is the monotonic time in ns
        before which the client can't have sent data. max_per_tick: maximum number of connections accepted in
        one event loop tick. inherited: connections may have waited since before this process started; other
        processes may share the listener, so it is only closed, never shut down.
        """
        self._listener, self._protocol_factory, self._max_per_tick = listener, protocol_factory, max_per_tick
        self._loop = asyncio.get_running_loop()
        self._queue = AcceptQueueTimes(running_selector(), inherited)
        self._connecting: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._failed_at = float("-inf")
        self.open = True
        listener.setblocking(False)
        self._loop.add_reader(listener, self._on_readable)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listening socket."""
        address: tuple[str, int] = self._listener.getsockname()[:2]
        return address

    @property
    def connecting(self) -> bool:
        """Whether an accepted connection is not attached to its protocol yet."""
        return bool(self._connecting)

    def _on_readable(self) -> None:
        """Accepts waiting connections, up to the maximum of one tick."""
        try:
            if self._accept_batch():
                self._queue.mark_remaining()
        except OSError as error:
            self._retry_later(error)

    def _accept_batch(self) -> bool:
        """Accepts waiting connections, up to the maximum of one tick; returns whether more may wait.

        Raises OSError if accept fails, or if every connection in the batch was broken.
        """
        accepted, last_broken = 0, OSError()
        for _ in range(self._max_per_tick):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno not in BROKEN_CONNECTION_ERRORS:
                    raise
                last_broken = error
                continue
            accepted += 1
            task = self._loop.create_task(self._connect(sock, self._queue.earliest_arrival))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        if not accepted:
            raise last_broken
        return True

    async def _connect(self, sock: socket.socket, earliest_arrival: int) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._protocol_factory(earliest_arrival), sock)
        except OSError:  # the connection broke after it was accepted
            sock.close()

    def _log_failure(self, error: OSError) -> None:
        """Logs the first of a series of failures, to bound the size of the log."""
        now = self._loop.time()
        if now - self._failed_at > FAILURE_LOG_INTERVAL:
            log.error("accept fails; retrying every %.0f ms: %s", RETRY_DELAY * 1000, error)
        self._failed_at = now

    def _retry_later(self, error: OSError) -> None:
        self._log_failure(error)
        self._pause()
        self._retry = self._loop.call_later(RETRY_DELAY, self._resume)

    def _pause(self) -> None:
        """Stops polling the listener, which would otherwise be reported as readable in every tick."""
        self._loop.remove_reader(self._listener)
        self._queue.pause()
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _resume(self) -> None:
        self._retry = None
        self._queue.resume()
        try:
            self._loop.add_reader(self._listener, self._on_readable)
        except OSError as error:  # registering with the selector can fail for lack of memory too
            self._retry_later(error)

    async def accept_all(self, timeout: float) -> None:
        """Accepts all waiting connections and none after that.

        timeout: seconds for which a failing accept is retried. Returns in the tick that finds an empty queue.
        """
        self._pause()
        end = self._loop.time() + timeout
        while True:
            delay = 0.0
            try:
                if not self._accept_batch():
                    return
            except OSError as error:
                self._log_failure(error)
                delay = RETRY_DELAY
            if self._loop.time() + delay > end:
                return
            await asyncio.sleep(delay)

    async def wait_connected(self) -> None:
        """Waits until each accepted connection is attached to its protocol."""
        if self._connecting:
            await asyncio.wait(self._connecting)

    def close(self) -> None:
        """Stops accepting connections and cancels a pending retry."""
        if self.open:
            self.open = False
            self._pause()
            self._listener.close()
