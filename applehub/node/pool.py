"""Connections to one server and which of them an attempt uses; what they speak is the subclass's."""

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

from applehub.interface import NOT_BEGUN, Status
from applehub.node.call import Ending, Exchange, NoTimeLeftError
from applehub.node.stream import Reader
from applehub.node.unread import Unread

IDLE_MOST = 10.0  # s after which an idle connection is surplus: it costs more than opening one anew
IDLE_PART = 0.8  # of the server's keepalive: closed well before the server does
SWEEP = 1.0
HELD_UP = 0.15  # s for which the process may stand still between a look at its clock and what it writes then
# s for which a connection rests after an answer. A second answer came up to 4 ms after the first, and nothing
# in it tells whose it is (docs/findings/standing.md): the next request must not be there yet.
REST = 0.01
# Errors of socket and connect by which this machine says what it lacks. None comes from the server.
LOCAL_FAILURES = frozenset(
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
# Errors by which it says that it knows no way to an address, to this alone or to all of them.
NO_ROUTE = frozenset((errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTUNREACH))
Endpoint = tuple[str, int]
log = logging.getLogger("applehub")


def status_of_failed_connect(problem: OSError) -> Status:
    """How an attempt ended whose connection never came up."""
    if problem.errno in LOCAL_FAILURES:
        return Status.LOCAL_FAILURE
    return Status.UNREACHABLE if problem.errno in NO_ROUTE else Status.CONNECT_FAILED


class Connection(Reader):
    """A connection that carries one attempt at a time and tells how it ended."""

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.taken = False  # the server accepted it
        self.failure = Status.CONNECT_FAILED  # how an attempt ends where it never does
        self.carried = 0  # attempts that were asked on it
        self.full = False  # the system takes no more for now
        self.pieces: Iterator[bytes | memoryview] = iter(())  # what of it is still to be written
        self.begun = False  # some of what is asked was handed to the system
        self.unsent = True  # the last byte of what is asked is not yet with the system
        self.since = 0.0  # when it was opened
        self.idle_since = 0.0

    @abstractmethod
    def encode(self, exchange: Exchange) -> Iterator[bytes | memoryview]:
        """What to write for an attempt, piece by piece, each made when it is written; the first raises
        NoTimeLeftError where the time of the attempt is over."""

    @abstractmethod
    def read(self, data: bytes) -> None:
        """Takes in what came while an attempt is out; ends it by finish or spoil."""

    def ask(self, exchange: Exchange) -> None:
        """Begins an attempt on a connection that is up."""
        self.exchange, self.begun, self.unsent = exchange, False, True
        self.carried += 1
        self.pieces = self.encode(exchange)
        self._write_on()

    def _write_on(self) -> None:
        """Writes as much as the system takes. Guards memory: a long value is not copied ahead of that."""
        assert self.transport is not None
        try:
            while not self.full:
                piece = next(self.pieces, None)
                if piece is None:
                    self.unsent = False
                    self.pool.pools.written += 1
                    return
                if not self.begun and not self._may_begin():
                    return
                self.transport.write(piece)
                self.begun = True
                if self.transport.is_closing():
                    return  # a write that failed at once handed nothing over: what it asked for never ran
        except NoTimeLeftError:
            self.hand_back()
        except Exception:
            log.exception("an attempt could not be written")
            self.finish(Ending(Status.MOOT), reusable=False)

    def _may_begin(self) -> bool:
        """Looked at after all else, right before the first byte. Guards against a process that stood still
        since the attempt was decided on: its time may be over, and its client gone."""
        if self.exchange is None or time.monotonic_ns() >= self.exchange.begin_by:
            self.hand_back()
            return False
        return self.exchange.wanted()

    def give_up(self) -> bool:
        """Ends the attempt that is out; whether it may have run. Guards against second copies: the system
        is told to close before this returns, and so before anybody may send another attempt."""
        self.exchange, unsent = None, self.unsent
        self.close()
        return not unsent

    def hand_back(self) -> None:
        """What was asked has not begun and is not to begin here: the decisions say what becomes of it."""
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.done(Ending(Status.MOOT))

    def close(self) -> None:
        self.pool.drop(self)
        if self.transport is None:
            if self.dialling is not None:
                self.dialling.cancel()
            return
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    @property
    def connected(self) -> bool:
        """Whether it came up for the attempt that it carries, or carried last."""
        return self.taken and self.carried <= 1

    @property
    def quiet(self) -> bool:
        """Whether nothing has come that was not asked for. Guards against an end, or a second answer, that
        the system holds and nobody has read yet: a request behind it is lost, or takes it for its own."""
        up = self.transport is not None and not self.transport.is_closing()
        return up and not self.unread.waits()

    def pause(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def finish(self, ending: Ending, reusable: bool = True) -> None:
        """Ends the attempt; the connection is free before anybody hears of it."""
        exchange, self.exchange = self.exchange, None
        if reusable and not self.unsent:
            self.resume()  # a long value may have stopped it
            self.pool.release(self)
        else:
            self.close()
        if exchange is not None:
            exchange.done(ending)

    def spoil(self) -> None:
        """What came can't be read: the attempt is reset and the connection of no further use."""
        log.debug("%s: an answer of %s:%d can't be read", self._asked(), *self.pool.endpoint)
        self.finish(Ending(Status.RESET), reusable=False)

    def lost(self, problem: Exception | None = None) -> None:
        """The connection is gone or never came up."""
        status = Status.RESET
        if self.unsent:
            # Guards against a network that breaks connections: a server that took this one can be reached.
            status = Status.MOOT if self.taken else self.failure
            if isinstance(problem, OSError) and status_of_failed_connect(problem) in NOT_BEGUN:
                status = status_of_failed_connect(problem)  # this machine could not write it
        log.debug("%s: the connection to %s:%d is lost", self._asked(), *self.pool.endpoint)
        self.pool.drop(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.done(Ending(status))

    def _asked(self) -> str:
        return self.exchange.call.id.decode() if self.exchange is not None else "nothing asked"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.taken = self.transport.get_extra_info("peername") is not None
        if not self.taken:
            # asyncio takes EAGAIN for a connect that goes on, and the closed socket for one that is up. It
            # has no peer, and the first write to it fails.
            self.failure = Status.LOCAL_FAILURE
        self.unread = Unread(self.transport.get_extra_info("socket"))
        self.transport.set_write_buffer_limits(0)  # so that every byte that waits here is told
        if self.exchange is None:
            self.close()
        else:
            self.ask(self.exchange)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        if self.unsent and self.exchange is not None:
            self._write_on()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            rested = (asyncio.get_running_loop().time() - self.idle_since) * 1000
            log.info(
                "%s:%d answered what nobody asked, %.1f ms after its answer", *self.pool.endpoint, rested
            )
            self.close()
            return
        try:
            self.read(data)
        except Exception:
            log.exception("an answer could not be handled")
            self.spoil()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost(exc)


class Pool:
    """The connections to one server. The newest idle one is used first, so that surplus ones age."""

    def __init__(self, pools: "Pools", endpoint: Endpoint, make: "Callable[[Pool], Connection]") -> None:
        self.pools, self.endpoint, self.make = pools, endpoint, make
        self.idle: list[Connection] = []
        self.all: set[Connection] = set()
        self.retired = False

    def start(self, exchange: Exchange) -> bool:
        """Begins an attempt; not where the router may open no more connections."""
        connection = self._rested()
        if connection is not None:
            exchange.carrier = connection
            connection.ask(exchange)
            return True
        if not self.pools.room():
            return False
        connection = self.make(self)
        self.all.add(connection)
        self.pools.opened += 1
        connection.exchange, exchange.carrier = exchange, connection
        connection.since = asyncio.get_running_loop().time()
        connection.dialling = asyncio.get_running_loop().create_task(self._dial(connection))
        return True

    def _rested(self) -> Connection | None:
        """Takes the newest idle connection on which nothing of an earlier answer can come any more."""
        now = asyncio.get_running_loop().time()
        before, after = now - REST, now - self.pools.reusable
        for at in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[at]
            if connection.idle_since > before:
                continue
            if connection.idle_since < after:
                break  # the server may have closed it by the time that something is written: the sweep's
            self._end_idling(connection)
            if connection.quiet:
                return connection
        return None

    async def _dial(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.pools.dial_timeout):
                await loop.create_connection(lambda: connection, *self.endpoint)
        except (OSError, TimeoutError) as problem:
            # Reset, not refused: it was accepted and then broke, before the system told us that it was up.
            connection.taken = isinstance(problem, ConnectionResetError)
            connection.failure = status_of_failed_connect(problem)
            if connection.transport is None:
                connection.lost()

    def release(self, connection: Connection) -> None:
        if self.retired or connection not in self.all:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)
        self.pools.idle[connection] = None
        self.pools.plan_sweep()

    def drop(self, connection: Connection) -> None:
        if connection in self.all:
            self.all.remove(connection)
            self.pools.opened -= 1
        self._end_idling(connection)

    def _end_idling(self, connection: Connection) -> None:
        if connection in self.pools.idle:
            del self.pools.idle[connection]
            self.idle.remove(connection)

    def retire(self) -> None:
        """No attempt is to begin: idle connections go now, and those that wait for one to come up; the others
        go after their answer."""
        self.retired = True
        for connection in [one for one in self.all if not one.begun or one in self.idle]:
            connection.hand_back()

    def forget_before(self, time: float) -> None:
        """The server has started anew at that time: what was open before leads nowhere."""
        for connection in [one for one in self.all if one.since < time]:
            exchange = connection.exchange
            unsent = connection.unsent
            connection.exchange = None
            connection.close()
            if exchange is not None:
                exchange.done(Ending(Status.CONNECT_FAILED if unsent else Status.RESET))


class Pools:
    """All pools: their number of sockets, and the sweep that closes what has idled too long.

    What a dial, an answer or a sweep costs here does not grow with the servers: there may be thousands."""

    def __init__(self, most: int, dial_timeout: float, keepalive: float) -> None:
        self.most = most
        self.limit_times(dial_timeout, keepalive)
        self.pools: dict[str, Pool] = {}
        self.opened = 0  # connections of all pools, up or coming up, of those that were replaced too
        self.idle: OrderedDict[Connection, None] = OrderedDict()  # of all pools, the longest idle first
        self.sweeping = False
        self.written = 0  # attempts whose last byte is with the system

    def limit_times(self, dial_timeout: float, keepalive: float) -> None:
        self.dial_timeout, self.idle_most = dial_timeout, min(IDLE_MOST, keepalive * IDLE_PART)
        self.reusable = keepalive - HELD_UP  # s for which one may idle that is then written to

    def add(self, name: str, endpoint: Endpoint, make: Callable[[Pool], Connection]) -> Pool:
        """The pool of a server; one at another endpoint takes the place of the old."""
        pool = self.pools.get(name)
        if pool is None or pool.endpoint != endpoint:
            before, pool = pool, Pool(self, endpoint, make)
            self.pools[name] = pool  # first: what the old one hands back may come here
            if before is not None:
                before.retire()
        return pool

    def remove(self, name: str) -> None:
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.retire()

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room for it."""
        if self.opened < self.most:
            return True
        longest_idle = next(iter(self.idle), None)
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def plan_sweep(self) -> None:
        if not self.sweeping:
            self.sweeping = True
            asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        self.sweeping = False
        before = asyncio.get_running_loop().time() - self.idle_most
        while self.idle and (longest_idle := next(iter(self.idle))).idle_since < before:
            longest_idle.close()
        if self.idle:
            self.plan_sweep()
