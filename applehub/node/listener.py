"""Accepts client connections up to the connection limit, and closes them on shutdown."""

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable

from applehub.node.accepting import Acceptor
from applehub.node.arrivals import running_selector
from applehub.node.clients import ClientConnection
from applehub.node.command_turns import CommandTurns
from applehub.node.descriptors import ConnectionLimits
from applehub.node.driver import Driver
from applehub.node.reasons import ClientClose
from applehub.settings import Names

BACKLOG = 1024  # connections in the accept queue
MIN_IDLE_TIME = 2.0  # seconds without a request after which a connection may be closed in favour of a new one
DISCONNECT_CHECK_INTERVAL = 0.05  # seconds between checks for disconnects of clients whose reading is paused


def inherited_listener(descriptor: int) -> socket.socket:
    """Returns the listening socket of a descriptor; raises OSError if the descriptor is not one."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"the inherited descriptor {descriptor} is not a socket: {error.strerror}") from None
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # the descriptor belongs to the parent process
        raise OSError(f"the inherited descriptor {descriptor} is not a listening socket")
    return listener


class ClientListener:
    """The listening socket for clients and its connections."""

    def __init__(self, driver: Driver, names: Names, connection_limits: ConnectionLimits) -> None:
        self.driver, self.names, self.connection_limits = driver, names, connection_limits
        self.selector = running_selector()
        self.turns = CommandTurns(self.selector)
        self.connections: set[ClientConnection] = set()
        # Connections that are closing or disconnected, oldest first.
        self.lingering: dict[ClientConnection, None] = {}
        self._reading_paused: set[ClientConnection] = set()
        self._check_scheduled = False
        self.can_serve: Callable[[], bool] = lambda: False
        self.close_after_answer = self.closing = False
        self._empty = asyncio.Event()
        self._acceptor: Acceptor | None = None
        self._inherited = False

    @property
    def accepting(self) -> bool:
        return self._acceptor is not None and self._acceptor.open

    async def listen(self, host: str, port: int, inherited: int | None = None) -> tuple[str, int]:
        """Listens on an address, or on an inherited listening socket, and returns the address.

        An inherited socket is shared with other processes, so it is only closed, never shut down.
        """
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            listener = socket.create_server((host, port), family=family)
        else:
            listener = inherited_listener(inherited)
        listener.listen(BACKLOG)
        self._inherited = inherited is not None
        # A tick accepts several connections before the first of them can be rejected.
        self._acceptor = Acceptor(
            listener, self._new_connection, self.connection_limits.accepted_per_tick, self._inherited
        )
        return self._acceptor.address

    def _new_connection(self, earliest_arrival: int) -> ClientConnection:
        return ClientConnection(self, earliest_arrival)

    def has_capacity(self) -> bool:
        """Returns whether one more connection is allowed; closes the longest idle one if necessary."""
        if len(self.connections) < self.connection_limits.clients:
            return True
        idle_before = asyncio.get_running_loop().time() - MIN_IDLE_TIME
        idle = [client for client in self.connections if client.is_idle and client.idle_since < idle_before]
        longest_idle = min(idle, key=lambda client: client.idle_since, default=None)
        if longest_idle is None:
            return False
        longest_idle.close_idle()
        return True

    def connection_opened(self, client: ClientConnection) -> None:
        """Records that the commands of a connection are processed."""
        self.connections.add(client)
        self._bound_descriptors()

    def sending_ended(self, client: ClientConnection) -> None:
        """Records that no further command of a connection is processed and its descriptor is freed soon."""
        self.connections.discard(client)
        self._reading_paused.discard(client)
        self.lingering[client] = None
        self._bound_descriptors()

    def _bound_descriptors(self) -> None:
        """Aborts a closing connection if more connections are open and closing than descriptors allow.

        That is the oldest one whose client has taken all answers or, if there is none, the oldest one.
        """
        limits = self.connection_limits
        excess = len(self.connections) + len(self.lingering) - limits.clients - limits.lingering
        if excess <= 0 or not self.lingering:
            return
        finished = (client for client in self.lingering if not client.has_untaken_answers)
        closing = next(finished, next(iter(self.lingering)))
        del self.lingering[closing]
        closing.abort_connection(ClientClose.DESCRIPTOR_LIMIT)

    def connection_closed(self, client: ClientConnection) -> None:
        self.lingering.pop(client, None)
        client.memory.release_all()
        self._check_empty()

    def _check_empty(self) -> None:
        """Sets the event that `wait_empty` waits for, once no connection is left or expected."""
        connecting = self._acceptor is not None and self._acceptor.connecting
        if self.close_after_answer and not self.connections and not self.lingering and not connecting:
            self._empty.set()

    def set_reading_paused(self, client: ClientConnection, paused: bool) -> None:
        """Records whether reading from a client is paused; while it is, disconnects have to be polled for."""
        (self._reading_paused.add if paused else self._reading_paused.discard)(client)
        if self._reading_paused and not self._check_scheduled:
            self._check_scheduled = True
            asyncio.get_running_loop().call_later(DISCONNECT_CHECK_INTERVAL, self._check_disconnects)

    def _check_disconnects(self) -> None:
        """Detects disconnects of clients whose reading is paused, so that no server works for them.

        The end of such a stream lies behind unread input, so reading does not detect it.
        """
        self._check_scheduled = bool(self._reading_paused)
        if self._check_scheduled:
            asyncio.get_running_loop().call_later(DISCONNECT_CHECK_INTERVAL, self._check_disconnects)
        poll, clients = select.poll(), {}
        for client in self._reading_paused:
            if client.transport is not None:
                descriptor = client.transport.get_extra_info("socket").fileno()
                clients[descriptor] = client
                poll.register(descriptor, select.POLLRDHUP)  # the poll reports errors in any case
        ready: list[tuple[int, int]] = []
        with contextlib.suppress(OSError):  # poll(2) lacked memory; the next check retries it
            ready = poll.poll(0)
        for descriptor, _ in ready:
            clients[descriptor].peer_closed()

    def hand_over(self) -> None:
        """Stops listening, and closes each connection after its next answer; another process accepts."""
        self.close_after_answer = True
        if self._acceptor is not None:
            self._acceptor.close()

    async def shut_down(self, timeout: float = 0.0) -> None:
        """Accepts the connections in the accept queue, then closes the listener and all connections.

        timeout: seconds for which a failing accept is retried. Closing the listener first would reset the
        connections in its queue.
        """
        acceptor = self._acceptor
        # Connections to a shared listener are accepted by the other processes.
        if acceptor is not None and acceptor.open and not self._inherited:
            await acceptor.accept_all(timeout)
        self.hand_over()
        if acceptor is not None:
            await acceptor.wait_connected()
        self.close()

    def close(self) -> None:
        """Stops listening; closes each connection after its last pending answer, idle ones at once."""
        self.hand_over()
        self.closing = True
        for client in list(self.connections):
            client.advance()
        self._check_empty()

    async def wait_empty(self, timeout: float) -> None:
        """Waits until every connection is closed, for at most `timeout` seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._empty.wait(), timeout)
