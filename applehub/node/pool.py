"""Connection pools: the connections to each server, and the choice of a connection for each attempt.

A subclass of Connection implements the protocol of the server.
"""

import asyncio
import contextlib
import errno
import logging
import socket
import time
from abc import abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import cast

from applehub.interface import NOT_STARTED, Status
from applehub.node.call import AttemptResult, Exchange, NoTimeLeftError
from applehub.node.memory_budget import INPUT_FRACTION, MemoryBudget
from applehub.node.metrics import Metrics
from applehub.node.reasons import ServerClose
from applehub.node.send_queue import SocketLike, discard_on_close, unacknowledged_bytes, unsent_bytes
from applehub.node.stream import CHUNK_SIZE, SharedBufferProtocol
from applehub.node.unread import UnreadInput

MAX_IDLE_SECONDS = 10.0  # a connection that is idle for longer is closed: it costs more than a new one
# Fraction of the server's keepalive time after which an idle connection is closed, before the server closes
# it.
KEEPALIVE_FRACTION = 0.8
SWEEP_INTERVAL = 1.0  # seconds between two sweeps, which close connections that were idle for too long
FREE_READ = 8192  # bytes of a long value that are read at once although no memory is left
MAX_PROCESS_STALL = 0.15  # maximum seconds between reading the clock and the write that depends on it
# Seconds for which a connection is not reused after a response. A duplicate response cannot be distinguished
# from the response to the next request, so it must arrive while the connection is idle. It comes up to 4 ms
# after the first (docs/findings/standing.md).
MIN_IDLE_BEFORE_REUSE = 0.01
# Errors of socket() and connect() for resources that this machine lacks; the server does not cause them.
LOCAL_FAILURE_ERRNOS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
    )
)
# Errors for a missing route to one address or to all addresses.
NO_ROUTE_ERRNOS = frozenset((errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTUNREACH))
Endpoint = tuple[str, int]
log = logging.getLogger("applehub")


def status_of_failed_connect(error: OSError) -> Status:
    """Returns the status of an attempt whose connection could not be established."""
    if error.errno in LOCAL_FAILURE_ERRNOS:
        return Status.LOCAL_FAILURE
    return Status.UNREACHABLE if error.errno in NO_ROUTE_ERRNOS else Status.CONNECT_FAILED


class Connection(SharedBufferProtocol):
    """A connection that carries one attempt at a time and reports its result."""

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.accepted = False  # whether the server accepted the connection
        # Status of an attempt if the connection is never established.
        self.connect_failure = Status.CONNECT_FAILED
        self.attempts_started = 0
        self.write_buffer_full = False
        # Pieces of the request that are not written yet.
        self.unwritten: Iterator[bytes | memoryview] = iter(())
        self.write_started = False  # whether some of the request was passed to the kernel
        self.unsent = True  # whether the last byte of the request is not yet passed to the kernel
        self.response_size = 0  # bytes received during the attempt
        # Event loop time in seconds at which it was established or, until then, at which connecting started.
        self.opened_at = 0.0
        self.idle_since = 0.0  # event loop time in seconds
        self.budget: MemoryBudget | None = None  # accounts for what is buffered of a response
        self.counted_size = 0  # bytes of an incomplete response in the memory budget

    @abstractmethod
    def encode(self, exchange: Exchange) -> Iterator[bytes | memoryview]:
        """Yields the pieces of the request of an attempt, each created when it is about to be written.

        The first piece raises NoTimeLeftError if the attempt has no time left.
        """

    @abstractmethod
    def read(self, data: bytes) -> None:
        """Processes data received during an attempt; calls finish or protocol_error when the attempt ends."""

    @property
    @abstractmethod
    def in_long_value(self) -> bool:
        """Whether a long value is being received, which is passed on piece by piece."""

    @property
    @abstractmethod
    def buffered_size(self) -> int:
        """The bytes of an incomplete response that are buffered."""

    @abstractmethod
    def discard_buffers(self) -> None:
        """Drops what is buffered of a response; a closed connection is freed by the garbage collector."""

    def max_read_size(self) -> int:
        """Limits reads of a long value to what the memory budget has room for."""
        if self.budget is None or not self.in_long_value:
            return CHUNK_SIZE
        return min(CHUNK_SIZE, max(FREE_READ, self.budget.room(INPUT_FRACTION)))

    def _count_buffer(self, size: int) -> None:
        """Updates the memory budget with the bytes of an incomplete response."""
        if self.budget is not None:
            self.budget.add(size - self.counted_size)
            self.counted_size = size

    def send_request(self, exchange: Exchange) -> None:
        """Starts an attempt on an established connection."""
        self.exchange, self.write_started, self.unsent = exchange, False, True
        self.response_size = 0
        self.attempts_started += 1
        self.budget = exchange.memory
        self.unwritten = self.encode(exchange)
        self._write_pending()

    def _write_pending(self) -> None:
        """Writes until the write buffer is full, so that a long value is not copied into the buffer."""
        assert self.transport is not None
        try:
            while not self.write_buffer_full:
                piece = next(self.unwritten, None)
                if piece is None:
                    self.unsent = False
                    self.pool.pools.attempts_written += 1
                    return
                if not self.write_started and not self._may_start():
                    return
                self.transport.write(piece)
                self.write_started = True
                if self.transport.is_closing():
                    return  # the write failed at once, so the server received nothing and executed nothing
        except NoTimeLeftError:
            self.cancel_unstarted()
        except Exception:
            log.exception("failed to write an attempt")
            self.finish(AttemptResult(Status.MOOT), reusable=False)

    def _may_start(self) -> bool:
        """Returns whether the first byte may be written; cancels the attempt if it could only be late.

        The check is made right before the write, because the process may have been suspended since the
        attempt was decided on.
        """
        if self.exchange is None or time.monotonic_ns() >= self.exchange.deliver_by:
            self.cancel_unstarted()
            return False
        return self.exchange.still_wanted()

    def abort_attempt(self, reason: ServerClose) -> bool:
        """Aborts the attempt in flight; returns whether the server may have executed it.

        The socket is shut down before this returns, so that a retry never runs beside this attempt. The rest
        of the request is discarded, so that the server cannot receive it later.
        """
        unsent = self.unsent
        self.close(reason)
        self.exchange = None
        return not unsent

    def cancel_unstarted(self) -> None:
        """Cancels an attempt of which nothing was written; the balancer decides whether it is retried."""
        self.close(ServerClose.UNSTARTED)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.on_done(AttemptResult(Status.MOOT))

    def _drop(self, reason: ServerClose) -> None:
        """Removes this connection from its pool; counts and logs the reason the first time."""
        self.discard_buffers()
        self.unwritten = iter(())
        self._count_buffer(0)
        if not self.pool.drop(self):
            return
        self.pool.pools.metrics.count_reason(reason)
        log.debug(
            "server connection %s:%d closed: %s, request %s", *self.pool.endpoint, reason, self._request_id()
        )

    def close(self, reason: ServerClose) -> None:
        """Closes the connection, without a result for an attempt in flight."""
        self._drop(reason)
        if self.transport is None:
            if self.connect_task is not None:
                self.connect_task.cancel()
            return
        sock = self.transport.get_extra_info("socket")
        if unacknowledged_bytes(sock):
            discard_on_close(sock)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    @property
    def sending(self) -> bool:
        """Whether a part of the request has not left this machine, so that the server cannot have started."""
        return self._has_queued(unsent_bytes)

    @property
    def undelivered(self) -> bool:
        """Whether the server has not yet acknowledged the complete request."""
        return self._has_queued(unacknowledged_bytes)

    def _has_queued(self, count: Callable[[SocketLike], int]) -> bool:
        """Returns whether a part of the request is unwritten or, by a count of the send queue, in it."""
        if self.unsent or self.transport is None:
            return True
        return count(self.transport.get_extra_info("socket")) > 0

    @property
    def has_unread_response(self) -> bool:
        """Whether the kernel holds bytes of the response, or its end, that were not read yet."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and self.unread.pending()

    @property
    def connected(self) -> bool:
        """Whether the connection was established for its current or latest attempt."""
        return self.accepted and self.attempts_started <= 1

    @property
    def no_unread_input(self) -> bool:
        """Whether the connection is open and the kernel holds no unread input for it.

        Unread input is the end of the stream or an unexpected response. A request sent after it would be lost
        or would be matched with that response.
        """
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and not self.has_unread_response

    def pause(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def finish(
        self,
        result: AttemptResult,
        reusable: bool = True,
        close_reason: ServerClose = ServerClose.NOT_REUSABLE,
    ) -> None:
        """Ends the attempt. The connection is released first, so that the callback can reuse it.

        close_reason: why the connection is closed if it is not reusable.
        """
        exchange = self.exchange
        if reusable and not self.unsent:
            self.exchange = None
            self.resume()  # the stream of a long value may have paused reading
            self.pool.release(self)
        else:
            self.close(close_reason)
            self.exchange = None
        if exchange is not None:
            exchange.on_done(result)

    def protocol_error(self) -> None:
        """Ends the attempt with RESET and closes the connection, after an invalid response."""
        self.finish(AttemptResult(Status.RESET), reusable=False, close_reason=ServerClose.PROTOCOL_ERROR)

    def handle_loss(self, error: Exception | None = None) -> None:
        """Ends the attempt after the connection was lost or could not be established."""
        status = Status.RESET
        if self.unsent:
            # A server that accepted the connection is reachable, even if the network broke it.
            status = Status.MOOT if self.accepted else self.connect_failure
            if isinstance(error, OSError) and status_of_failed_connect(error) in NOT_STARTED:
                status = status_of_failed_connect(error)  # the write failed on this machine
        self._drop(ServerClose.LOST if self.accepted else ServerClose.CONNECT_FAILED)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.on_done(AttemptResult(status))

    def _request_id(self) -> str:
        return self.exchange.call.id.decode() if self.exchange is not None else "(none)"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.opened_at = asyncio.get_running_loop().time()
        self.accepted = self.transport.get_extra_info("peername") is not None
        if not self.accepted:
            # After EAGAIN, asyncio treats the connect as pending and then the closed socket as connected.
            # Such a socket has no peer, and the first write to it fails.
            self.connect_failure = Status.LOCAL_FAILURE
        self.unread = UnreadInput(self.transport.get_extra_info("socket"))
        self.transport.set_write_buffer_limits(0)  # pause_writing is called as soon as one byte is buffered
        if self.exchange is None:
            self.close(ServerClose.UNSTARTED)
        else:
            self.send_request(self.exchange)

    def pause_writing(self) -> None:
        self.write_buffer_full = True

    def resume_writing(self) -> None:
        self.write_buffer_full = False
        if self.unsent and self.exchange is not None:
            self._write_pending()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            idle_ms = (asyncio.get_running_loop().time() - self.idle_since) * 1000
            log.info(
                "unexpected data from server %s:%d; connection idle for %.1f ms", *self.pool.endpoint, idle_ms
            )
            self.close(ServerClose.UNEXPECTED_DATA)
            return
        exchange, is_first = self.exchange, not self.response_size
        self.response_size += len(data)
        try:
            self.read(data)
        except Exception:
            log.exception("failed to process a response")
            self.protocol_error()
        self._count_buffer(self.buffered_size if self.exchange is not None else 0)
        if is_first and self.exchange is exchange:
            exchange.on_response_started()

    def connection_lost(self, exc: Exception | None) -> None:
        self.handle_loss(exc)


class Pool:
    """The connections to one server.

    The connection that became idle last is used first, so that surplus connections stay idle and are closed.
    """

    def __init__(
        self, pools: "Pools", endpoint: Endpoint, make_connection: "Callable[[Pool], Connection]"
    ) -> None:
        self.pools, self.endpoint, self.make_connection = pools, endpoint, make_connection
        self.idle: list[Connection] = []
        self.connections: set[Connection] = set()
        self.retired = False

    def start(self, exchange: Exchange) -> bool:
        """Starts an attempt; returns False if no connection can be reused and none may be opened."""
        connection = self._take_idle()
        if connection is not None:
            exchange.carrier = connection
            connection.send_request(exchange)
            return True
        if not self.pools.make_room():
            return False
        connection = self.make_connection(self)
        self.connections.add(connection)
        self.pools.open_count += 1
        connection.exchange, exchange.carrier = exchange, connection
        connection.opened_at = asyncio.get_running_loop().time()
        connection.connect_task = asyncio.get_running_loop().create_task(self._open_connection(connection))
        return True

    def _take_idle(self) -> Connection | None:
        """Removes and returns the newest idle connection that is safe to reuse; None if there is none."""
        now = asyncio.get_running_loop().time()
        idle_before, idle_after = now - MIN_IDLE_BEFORE_REUSE, now - self.pools.max_reuse_idle
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since > idle_before:
                continue
            if connection.idle_since < idle_after:
                break  # the server may close it before the write; the sweep closes it
            self._remove_idle(connection)
            if connection.no_unread_input:
                return connection
        return None

    async def _open_connection(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.pools.dial_timeout):
                await loop.create_connection(lambda: connection, *self.endpoint)
        except (OSError, TimeoutError) as error:
            # A reset means that the server accepted the connection and then broke it.
            connection.accepted = isinstance(error, ConnectionResetError)
            connection.connect_failure = status_of_failed_connect(error)
            if connection.transport is None:
                connection.handle_loss()

    def release(self, connection: Connection) -> None:
        if self.retired or connection not in self.connections:
            connection.close(ServerClose.RETIRED)
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)
        self.pools.idle[connection] = None
        self.pools.schedule_sweep()

    def drop(self, connection: Connection) -> bool:
        """Removes a connection; returns whether it belonged to this pool."""
        self._remove_idle(connection)
        if connection not in self.connections:
            return False
        self.connections.remove(connection)
        self.pools.open_count -= 1
        return True

    def _remove_idle(self, connection: Connection) -> None:
        if connection in self.pools.idle:
            del self.pools.idle[connection]
            self.idle.remove(connection)

    def retire(self) -> None:
        """Stops new attempts: closes connections that are idle or have not written anything.

        The others are closed after their response.
        """
        self.retired = True
        for connection in [
            candidate
            for candidate in self.connections
            if not candidate.write_started or candidate in self.idle
        ]:
            connection.cancel_unstarted()

    def close_opened_before(self, restarted_at: float) -> None:
        """Closes the connections opened before a restart of the server.

        restarted_at: event loop time of the restart, in seconds.
        """
        for connection in [candidate for candidate in self.connections if candidate.opened_at < restarted_at]:
            exchange, unsent = connection.exchange, connection.unsent
            connection.close(ServerClose.RESTARTED)
            connection.exchange = None
            if exchange is not None:
                exchange.on_done(AttemptResult(Status.CONNECT_FAILED if unsent else Status.RESET))


class Pools:
    """All connection pools, with their common connection limit and the sweep of idle connections.

    The cost of an operation does not depend on the number of servers.
    """

    def __init__(
        self, max_connections: int, dial_timeout: float, keepalive: float, metrics: Metrics | None = None
    ) -> None:
        """dial_timeout, keepalive: seconds. metrics: counts the reasons of closes."""
        self.max_connections, self.metrics = max_connections, metrics or Metrics()
        self.set_timeouts(dial_timeout, keepalive)
        self.pools: dict[str, Pool] = {}
        # Number of connections of all pools, established or connecting, including those of replaced pools.
        self.open_count = 0
        # Idle connections of all pools, longest idle first.
        self.idle: OrderedDict[Connection, None] = OrderedDict()
        self.sweep_scheduled = False
        self.attempts_written = 0  # attempts written completely

    def set_timeouts(self, dial_timeout: float, keepalive: float) -> None:
        self.dial_timeout, self.max_idle = dial_timeout, min(MAX_IDLE_SECONDS, keepalive * KEEPALIVE_FRACTION)
        # Seconds of idle time up to which a connection is reused.
        self.max_reuse_idle = keepalive - MAX_PROCESS_STALL

    def add(self, name: str, endpoint: Endpoint, make_connection: Callable[[Pool], Connection]) -> Pool:
        """Returns the pool of a server; creates it, and replaces a pool that has another endpoint."""
        pool = self.pools.get(name)
        if pool is None or pool.endpoint != endpoint:
            replaced, pool = pool, Pool(self, endpoint, make_connection)
            # The pool is replaced before retire(), whose cancelled attempts may be retried in the new pool.
            self.pools[name] = pool
            if replaced is not None:
                replaced.retire()
        return pool

    def remove(self, name: str) -> None:
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.retire()

    def make_room(self) -> bool:
        """Returns whether a connection may be opened; closes the longest idle one if the limit is reached."""
        if self.open_count < self.max_connections:
            return True
        longest_idle = next(iter(self.idle), None)
        if longest_idle is None:
            return False
        longest_idle.close(ServerClose.MAKE_ROOM)
        return True

    def schedule_sweep(self) -> None:
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self.sweep_scheduled = False
        idle_before = asyncio.get_running_loop().time() - self.max_idle
        while self.idle and (longest_idle := next(iter(self.idle))).idle_since < idle_before:
            longest_idle.close(ServerClose.IDLE)
        if self.idle:
            self.schedule_sweep()
