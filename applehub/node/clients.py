"""The clients' side: a RESP server that answers each connection's commands in their order."""

import asyncio
import contextlib
import logging
import select
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import cast

from applehub.node import resp
from applehub.node.call import CallError, read_call
from applehub.node.descriptors import Places
from applehub.node.driver import Driver, Held
from applehub.node.memory_budget import LONG_PART
from applehub.node.stream import Reader, Stream
from applehub.settings import Names

MOST_PIPELINED = 32  # commands of one connection in work; those behind wait unread
STUCK = 10.0  # s for which a client may leave answers unread
PROMPT = 2.5  # s in which a peer must send a whole command, once it has connected or begun one
BACKLOG = 1024  # clients that wait to be let in
IDLE_LEAST = 2.0  # s without a request after which a connection may be closed to make room for another
LINGER = 1.0  # s for which a client that has its last answer may go on sending
LOOK = 0.05  # s between looks at whether a client that is not being read has left
log = logging.getLogger("applehub")


class Phase(Enum):
    """The life of a client's connection, which goes forward alone: by `_end_sending` and `_depart`."""

    OPEN = 1  # commands are taken up and answered
    LAST = 2  # nothing more is taken up; the sending ends behind the answers that are owed
    ENDED = 3  # all is written, then the end: what still comes is read off and dropped for a bounded time
    GONE = 4  # the client has left: nothing is owed


class Slot:
    """The place of one answer on its connection."""

    __slots__ = ("answer", "client", "held", "stream")

    def __init__(self, client: "Client") -> None:
        self.client = client
        self.answer: bytes | None = None
        self.held: Held | None = None
        self.stream: Stream | None = None

    def fill(self, answer: bytes) -> None:
        if self.answer is None:
            self.answer = answer
            self.held = None  # each holds the other: guards memory against waiting for the collector
            self.client.advance()

    def begin(self, stream: Stream) -> None:
        """The answer is a long value: it is written as it comes, once its turn has come."""
        self.stream = stream
        stream.wake = self.client.advance

    def break_off(self) -> None:
        """The value can't be finished: the client is to see that it is not whole."""
        stream, self.held, self.stream = self.stream, None, None
        if stream is not None and stream.begun:
            self.client.break_off()
        else:
            self.fill(resp.FAILED)


class Client(Reader):
    """One connection of a client."""

    def __init__(self, server: "Clients") -> None:
        self.server = server
        self.frames = resp.Frames(self._admit)
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.phase = Phase.OPEN
        self.advancing = self.blocked = False
        self.buffered = 0  # bytes counted in the room
        self.reserved = 0  # of the room, for a long value that comes
        self.stuck: asyncio.TimerHandle | None = None
        self.late: asyncio.TimerHandle | None = None
        self.proven = False  # it has sent a whole command
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # asyncio sets it for dialled connections alone; one whose peer is gone already takes no option.
        with contextlib.suppress(OSError):
            line = self.transport.get_extra_info("socket")
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.server.room():
            log.warning("a client is turned away: %d are connected", len(self.server.open))
            self._end_sending(resp.error("max number of clients reached"))
            return
        self.server.open.add(self)
        self._await_command()

    def data_received(self, data: bytes) -> None:
        if self.phase is not Phase.OPEN:
            return
        if self.frames.in_value:
            self._forgive()  # a value may take its time, as long as it comes
        self.frames.feed(data)
        self.advance()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._depart()
        self.server.gone(self)
        for timer in (self.stuck, self.late):
            if timer is not None:
                timer.cancel()

    def eof_received(self) -> None:
        self._depart()  # before what is written has gone out, which may take a while; then it is closed
        if self.transport is not None and self.transport.get_write_buffer_size():
            self._close_later()

    def left(self) -> None:
        """The client has left while it was not being read. Reading on comes to the end that it sent."""
        self._depart()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _depart(self) -> None:
        """Withdraws all that is in work or waits here. Guards the servers against work for nobody."""
        if self.phase is Phase.GONE:
            return
        self.phase = Phase.GONE
        self._take_no_more()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.held is not None:
                self.server.driver.withdraw(slot.held)

    def _take_no_more(self) -> None:
        """Drops what was read and not taken up, and the room that it took."""
        self.frames = resp.Frames()
        self.server.driver.room.free(self.reserved)
        self.reserved = 0
        self._count()
        self.server.ended(self)

    def _count(self) -> None:
        """Counts in the room what this connection holds."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        held = len(self.frames.buffer) + unsent
        self.server.driver.room.note(held - self.buffered)
        self.buffered = held

    def pause_writing(self) -> None:
        self.blocked = True
        self._await_reader(-1)
        self._steer()

    def _await_reader(self, before: int) -> None:
        """Ends a connection whose client has read nothing for some time; a slow one is waited for."""
        if self.transport is None:
            return
        unread = self.transport.get_write_buffer_size()
        if unread == before:
            self.cut()
        else:
            self.stuck = asyncio.get_running_loop().call_later(STUCK, self._await_reader, unread)

    def resume_writing(self) -> None:
        self.blocked = False
        if self.phase in (Phase.ENDED, Phase.GONE):
            return  # its close is on the way, and watches over itself
        if self.stuck is not None:
            self.stuck.cancel()
        self.advance()

    def _admit(self, size: int) -> bool:
        """Whether there is room for a long value that is announced; where not, it is read off and dropped."""
        if not self.server.driver.room.reserve(size, LONG_PART):
            return False
        self.reserved += size
        return True

    def _await_command(self) -> None:
        """Limits the time for a command. Guards the places of clients against peers that send nothing, or
        a part: a connection with nothing in work and no whole command is worth none."""
        begun = not self.proven or bool(self.frames.buffer)
        waits = not self.slots and self.phase is Phase.OPEN and begun
        if waits and self.late is None:
            self.late = asyncio.get_running_loop().call_later(PROMPT, self._too_late)
        elif not waits:
            self._forgive()

    def _forgive(self) -> None:
        if self.late is not None:
            self.late.cancel()
            self.late = None

    def _too_late(self) -> None:
        log.info("a peer is closed that sent no whole command in time")
        self._put(resp.error("Protocol error: no whole command in time"))
        self.phase = Phase.LAST
        self.advance()

    def break_off(self) -> None:
        """Nothing is written behind half a value; the client sees by its length that it is not whole."""
        self._depart()
        self._end_sending()

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def advance(self) -> None:
        """Takes up commands and writes answers, in turn, as far as both go. Guards against recursion: an
        answer that is ready at once, or comes while this runs, is written by this loop."""
        if self.advancing or self.phase in (Phase.ENDED, Phase.GONE) or self.transport is None:
            return
        self.advancing = True
        try:
            self._take_up()
            while self._write() and self.frames.buffer:
                self._take_up()
        finally:
            self.advancing = False
        if self.phase in (Phase.ENDED, Phase.GONE):
            return
        if not self.slots and (self.phase is Phase.LAST or (self.server.closing and not self._more_comes())):
            # Guards a command that has come in part: its client reads a no, and not an end without an answer.
            self._end_sending(resp.refused(0) if self.server.closing and self.frames.buffer else b"")
        else:
            self.idle_since = asyncio.get_running_loop().time()
            self._steer()
            self._await_command()

    def _more_comes(self) -> bool:
        """Whether the system holds something of this client, which is read before the sending ends."""
        assert self.transport is not None
        arrived = select.poll()
        arrived.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(arrived.poll(0))

    def make_room(self) -> None:
        """Ends this idle connection in favour of another."""
        self._end_sending()

    def _end_sending(self, answers: bytes = b"") -> None:
        """Writes the last answers and the end of the stream as one, and reads on for a while. Guards the last
        answer: a close over unread bytes is a reset, which can reach the client before the answer does. What
        is read after the end is dropped: its client asks again, as after any close between requests."""
        if self.transport is None or self.phase is Phase.ENDED or self.transport.is_closing():
            return
        if self.phase is not Phase.GONE:
            self.phase = Phase.ENDED
        self._take_no_more()
        self._forgive()
        line = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # without it the end comes a moment later
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        if answers:
            self.transport.write(answers)
        if not self.transport.is_closing():
            self.transport.write_eof()
            self.transport.resume_reading()
            self._close_later()

    def _close_later(self, before: int = -1) -> None:
        """Closes once the client has had time to read all, or reads nothing any more."""
        if self.transport is None:
            return
        unread = self.transport.get_write_buffer_size()
        if unread == before:
            self.cut()
            return
        if self.stuck is not None:
            self.stuck.cancel()
        patience = STUCK if unread else LINGER
        self.stuck = asyncio.get_running_loop().call_later(patience, self._close_later, unread)

    def _take_up(self) -> None:
        """Takes up the commands that have come, as many as may be in work at once."""
        try:
            while self.phase is Phase.OPEN and not self.blocked and len(self.slots) < MOST_PIPELINED:
                parts = self.frames.next()
                if parts is resp.WAITING:
                    break
                self._command(parts)
        except resp.FramingError as problem:
            # Where the next command begins is lost: what came before is answered, then this one, last.
            self._put(resp.error(f"Protocol error: {problem}"))
            self.phase = Phase.LAST

    def _write(self) -> bool:
        """Writes the answers whose turn has come; whether there were any."""
        ready, ended = [], 0
        while self.slots:
            slot = self.slots[0]
            if slot.stream is not None:
                if self.blocked:
                    break
                ready.append(slot.stream.take())
                if not slot.stream.done:
                    break
                slot.held = slot.stream = None
            elif slot.answer is None:
                break
            else:
                ready.append(slot.answer)
            self.slots.popleft()
            ended += 1
        if ready and self.transport is not None:
            whole = not self.slots and not self.frames.buffer and self.phase is Phase.OPEN
            if self.server.parting and whole and not self._more_comes():
                self._end_sending(b"".join(ready))
            else:
                self.transport.write(b"".join(ready))
        return ended > 0

    def _command(self, parts: object) -> None:
        if not isinstance(parts, list) or not all(isinstance(part, bytes | bytearray) for part in parts):
            raise resp.FramingError("expected an array of bulk strings")
        if not parts:
            return
        name = parts[0].upper()
        if name in (b"C.GET", b"C.SET"):
            self._call(parts)
        elif name == b"PING":
            self._put(b"+PONG\r\n" if self.server.can_serve() else b"-LOADING no server list yet\r\n")
        elif name == b"QUIT":
            self._put(b"+OK\r\n")
            self.phase = Phase.LAST
        else:
            self._put(resp.error("unknown command"))

    def _call(self, parts: list[bytes]) -> None:
        # From here on the driver counts the value, if it takes it.
        self.server.driver.room.free(self.reserved)
        self.reserved = 0
        try:
            call = read_call(parts, self.server.names)
        except CallError as problem:
            self._put(resp.error(str(problem)))
            return
        slot = self._slot()
        try:
            held = self.server.driver.take(call, slot)
            slot.held = held if slot.answer is None else None
        except Exception:
            log.exception("a call could not be taken")
            slot.fill(resp.FAILED)

    def _put(self, answer: bytes) -> None:
        self._slot().answer = answer

    def _slot(self) -> Slot:
        slot = Slot(self)
        self.slots.append(slot)
        self.proven = True
        self._forgive()  # what is begun behind this command has its own time
        return slot

    def _steer(self) -> None:
        """Reads on or stops reading. Guards memory against clients that send much or read nothing."""
        if self.transport is None or self.transport.is_closing():
            return
        # What comes behind a last command is read and dropped: that costs no memory, and shows who leaves.
        full = self.phase is Phase.OPEN and (self.blocked or len(self.slots) >= MOST_PIPELINED)
        if full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        self.server.unread(self, full)
        self._count()
        if self.server.driver.room.over and self.buffered > resp.MOST_VALUE:
            self.transport.abort()


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
        self.open: set[Client] = set()
        self.ending: dict[Client, None] = {}  # their sending has ended, or they have left; oldest first
        self._unread: set[Client] = set()  # not read for now: whether they have left has to be looked for
        self._looking = False
        self.can_serve: Callable[[], bool] = lambda: False
        self.parting = self.closing = False
        self._empty = asyncio.Event()
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None

    @property
    def accepting(self) -> bool:
        return self._server is not None and self._server.is_serving()

    async def listen(self, host: str, port: int, inherited: int | None = None) -> tuple[str, int]:
        """Listens on an address, or on a listening socket that the platform holds and other processes share:
        that is only ever closed here, never shut down."""
        loop = asyncio.get_running_loop()
        if inherited is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            listener = socket.create_server((host, port), family=family)
        else:
            listener = inherited_listener(inherited)
        # Guards the descriptors: asyncio lets in as many in one turn as may queue, before the first of them
        # can be turned away. So it is told of a few, and the system of the true length of the queue.
        few = self.places.let_in
        self._server = await loop.create_server(lambda: Client(self), sock=listener, backlog=few)
        listener.listen(BACKLOG)
        # What another process shares goes on being let in there.
        self._listener = listener if inherited is None else None
        address: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return address

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
        if self.parting and not self.open and not self.ending:
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
        looks, clients = select.poll(), {}
        for client in self._unread:
            if client.transport is not None:
                descriptor = client.transport.get_extra_info("socket").fileno()
                clients[descriptor] = client
                looks.register(descriptor, select.POLLRDHUP)  # a break is told unasked
        for descriptor, _ in looks.poll(0) if clients else ():
            clients[descriptor].left()
        self._looking = bool(self._unread)
        if self._looking:
            asyncio.get_running_loop().call_later(LOOK, self._look)

    def hand_over(self) -> None:
        """Stops listening, since another process lets clients in; each connection ends after an answer."""
        self.parting = True
        if self._server is not None:
            self._server.close()

    async def shut(self) -> None:
        """Closes, with those let in who stand in the listener's queue. Guards requests that the system has
        taken: a listener that closes resets what waits there."""
        loop = asyncio.get_running_loop()
        waiting: list[Awaitable[object]] = []
        with contextlib.suppress(OSError):  # nobody waits any more
            while self._listener is not None and len(waiting) < self.places.ending:
                line, _ = self._listener.accept()
                line.setblocking(False)
                waiting.append(loop.connect_accepted_socket(lambda: Client(self), line))
        self.hand_over()
        await asyncio.gather(*waiting, return_exceptions=True)
        self.close()

    def close(self) -> None:
        """Stops listening; each connection ends after its last answer, idle ones at once."""
        self.hand_over()
        self.closing = True
        for client in list(self.open):
            client.advance()
        if not self.open and not self.ending:
            self._empty.set()

    async def emptied(self, patience: float) -> None:
        """Waits until every connection has ended, or for so many seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._empty.wait(), patience)
