"""The listener: lets clients in and keeps their connections, as many as there is room for."""

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable

from applehub.node.accepting import Acceptor
from applehub.node.arrivals import looks_of_running_loop
from applehub.node.clients import Client
from applehub.node.descriptors import Places
from applehub.node.driver import Driver
from applehub.settings import Names

BACKLOG = 1024  # clients that wait to be let in
IDLE_LEAST = 2.0  # s without a request after which a connection may be closed to make room for another
LOOK = 0.05  # s between looks at whether a client that is not being read has left


def inherited_listener(descriptor: int) -> socket.socket:
    """The listening socket behind a descriptor; raises an OSError that says what is there instead."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as problem:
        raise OSError(f"the inherited descriptor {descriptor} is no socket: {problem.strerror}") from None
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # it is the platform's
        raise OSError(f"the inherited descriptor {descriptor} is a socket that listens nowhere")
    return listener


class Clients:
    """The listener and its connections."""

    def __init__(self, driver: Driver, names: Names, places: Places) -> None:
        self.driver, self.names, self.places = driver, names, places
        self.looks = looks_of_running_loop()
        self.open: set[Client] = set()
        self.ending: dict[Client, None] = {}  # their sending has ended, or they have left; oldest first
        self._unread: set[Client] = set()  # not read for now: whether they have left has to be looked for
        self._looking = False
        self.can_serve: Callable[[], bool] = lambda: False
        self.parting = self.closing = False
        self._empty = asyncio.Event()
        self._acceptor: Acceptor | None = None
        self._inherited = False

    @property
    def accepting(self) -> bool:
        return self._acceptor is not None and self._acceptor.open

    async def listen(self, host: str, port: int, inherited: int | None = None) -> tuple[str, int]:
        """Listens on an address, or on a listening socket that the platform holds and other processes share:
        that is only ever closed here, never shut down."""
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            listener = socket.create_server((host, port), family=family)
        else:
            listener = inherited_listener(inherited)
        listener.listen(BACKLOG)
        self._inherited = inherited is not None
        # Guards the descriptors: a turn accepts a few before the first of them can be turned away.
        self._acceptor = Acceptor(listener, self._let_in, self.places.let_in, self._inherited)
        return self._acceptor.address

    def _let_in(self, since: int) -> Client:
        return Client(self, since)

    def room(self) -> bool:
        """Whether one more connection may stay; the longest idle one makes room for it."""
        if len(self.open) < self.places.clients:
            return True
        before = asyncio.get_running_loop().time() - IDLE_LEAST
        idle = [one for one in self.open if one.idle_since < before and not one.slots and one.proven]
        oldest = min(idle, key=lambda one: one.idle_since, default=None)
        if oldest is None:
            return False
        oldest.make_room()
        return True

    def ended(self, client: Client) -> None:
        """Nothing more is taken from a client; its descriptor goes in a moment. Guards the descriptors: where
        too many are on their way out, the oldest of them goes now."""
        self.open.discard(client)
        self._unread.discard(client)
        self.ending[client] = None
        if len(self.ending) > self.places.ending:
            oldest = next(iter(self.ending))
            del self.ending[oldest]
            oldest.cut()

    def gone(self, client: Client) -> None:
        self.ending.pop(client, None)
        self.driver.room.free(client.buffered + client.reserved)
        client.buffered = client.reserved = 0
        self._look_whether_empty()

    def _look_whether_empty(self) -> None:
        """Notes that nobody is left and nobody comes any more."""
        coming = self._acceptor is not None and self._acceptor.coming
        if self.parting and not self.open and not self.ending and not coming:
            self._empty.set()

    def unread(self, client: Client, unread: bool) -> None:
        """Notes whether a client is read. One that is not shows no end of its stream by itself."""
        (self._unread.add if unread else self._unread.discard)(client)
        if self._unread and not self._looking:
            self._looking = True
            asyncio.get_running_loop().call_later(LOOK, self._look)

    def _look(self) -> None:
        """Looks who of those has left. Guards servers against work for clients that have gone: what they sent
        stands unread before the end of their streams."""
        self._looking = bool(self._unread)
        if self._looking:
            asyncio.get_running_loop().call_later(LOOK, self._look)
        looks, clients = select.poll(), {}
        for client in self._unread:
            if client.transport is not None:
                descriptor = client.transport.get_extra_info("socket").fileno()
                clients[descriptor] = client
                looks.register(descriptor, select.POLLRDHUP)  # a break is told unasked
        found: list[tuple[int, int]] = []
        with contextlib.suppress(OSError):  # the system lacks memory: the next look tells
            found = looks.poll(0)
        for descriptor, _ in found:
            clients[descriptor].left()

    def hand_over(self) -> None:
        """Stops listening, since another process lets clients in; each connection ends after an answer."""
        self.parting = True
        if self._acceptor is not None:
            self._acceptor.close()

    async def shut(self, patience: float = 0.0) -> None:
        """Closes, with those let in who stand in the listener's queue; where accept fails, it is tried for so
        many seconds. Guards requests that the system has taken: a listener that closes resets them."""
        acceptor = self._acceptor
        # What another process shares goes on being let in there.
        if acceptor is not None and acceptor.open and not self._inherited:
            await acceptor.take_all(patience)
        self.hand_over()
        if acceptor is not None:
            await acceptor.brought()
        self.close()

    def close(self) -> None:
        """Stops listening; each connection ends after its last answer, idle ones at once."""
        self.hand_over()
        self.closing = True
        for client in list(self.open):
            client.advance()
        self._look_whether_empty()

    async def emptied(self, patience: float) -> None:
        """Waits until every connection has ended, or for so many seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._empty.wait(), patience)
