"""A listener that resumes soon after errors of accept().

After a shortage of descriptors or memory, an asyncio server pauses for a second and schedules a retry for
each connection of the backlog; this listener schedules a single retry after a short delay."""

import asyncio
import logging
import socket
from collections.abc import Callable

from applehub.node.accepting import BROKEN_CONNECTION_ERRORS, FAILURE_LOG_INTERVAL, RETRY_DELAY

BACKLOG = 1024  # maximum pending connections; thousands of routers may connect at once
ACCEPT_BATCH = 64  # connections accepted per event loop iteration, so that other tasks are not delayed
log = logging.getLogger("applehub.registry")


class Listener:
    """A listening socket that creates a protocol for each accepted connection."""

    def __init__(self, address: tuple[str, int], make_protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """Listens on the address and starts to accept. Raises OSError if the address can't be listened on."""
        host, port = address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._failed_at = float("-inf")
        self._loop.add_reader(self._socket, self._on_readable)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the listening socket."""
        address: tuple[str, int] = self._socket.getsockname()[:2]
        return address

    def close(self) -> None:
        """Stops listening. Accepted connections stay open."""
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _on_readable(self) -> None:
        try:
            self._accept_batch()
        except OSError as error:
            self._log_failure(error)
            self._loop.remove_reader(self._socket)
            self._retry = self._loop.call_later(RETRY_DELAY, self._resume_accepting)

    def _accept_batch(self) -> None:
        """Accepts up to one batch of pending connections.

        Raises OSError if accept() fails, or if every connection of the batch was already reset."""
        accepted, reset_error = 0, OSError()
        for _ in range(ACCEPT_BATCH):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in BROKEN_CONNECTION_ERRORS:
                    raise
                reset_error = error
                continue
            accepted += 1
            task = self._loop.create_task(self._connect(connection))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        if not accepted:
            raise reset_error

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError:  # the client has reset the connection
            connection.close()

    def _log_failure(self, error: OSError) -> None:
        """Logs the failure, unless another one occurred less than FAILURE_LOG_INTERVAL ago."""
        now = self._loop.time()
        if now - self._failed_at > FAILURE_LOG_INTERVAL:
            log.error("accept fails, retrying every %.0f ms: %s", RETRY_DELAY * 1000, error)
        self._failed_at = now

    def _resume_accepting(self) -> None:
        self._retry = None
        self._loop.add_reader(self._socket, self._on_readable)
