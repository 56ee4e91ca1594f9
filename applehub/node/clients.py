"""The clients' side: a RESP server that answers each connection's commands in their order."""

import asyncio
import contextlib
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from applehub.node import resp
from applehub.node.call import CallError, read_call
from applehub.node.driver import Driver, Held
from applehub.node.room import LONG_PART
from applehub.node.stream import Reader, Stream
from applehub.settings import Names

MOST_PIPELINED = 32  # commands of one connection in work; those behind wait unread
STUCK = 10.0  # s for which a client may leave answers unread
PROMPT = 2.5  # s in which a peer must send a whole command, once it has connected or begun one
BACKLOG = 1024  # clients that wait to be let in
LET_IN = 16  # clients let in during one turn of the loop
IDLE_LEAST = 2.0  # s without a request after which a connection may be closed to make room for another
LINGER = 1.0  # s for which a client that has its last answer may go on sending
log = logging.getLogger("applehub")


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
        self.last = False  # nothing more is read; closed once all is answered
        self.advancing = self.blocked = self.lingering = False
        self.parted = False  # the end of the stream is written
        self.buffered = 0  # bytes counted in the room
        self.reserved = 0  # of the room, for a long value that comes
        self.stuck: asyncio.TimerHandle | None = None
        self.late: asyncio.TimerHandle | None = None
        self.proven = False  # it has sent a whole command
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.server.room():
            log.warning("a client is turned away: %d are connected", len(self.server.open))
            self.transport.write(resp.error("max number of clients reached"))
            self.transport.close()
            return
        self.server.open.add(self)
        self._await_command()

    def data_received(self, data: bytes) -> None:
        if self.last or self.parted:
            return
        if self.frames.in_value:
            self._forgive()  # a value may take its time, as long as it comes
        self.frames.feed(data)
        self.advance()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.gone(self)
        for timer in (self.stuck, self.late):
            if timer is not None:
                timer.cancel()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.held is not None:
                self.server.driver.withdraw(slot.held)

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
            self._abort()
        else:
            self.stuck = asyncio.get_running_loop().call_later(STUCK, self._await_reader, unread)

    def resume_writing(self) -> None:
        self.blocked = False
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
        waits = not self.slots and not self.last and (not self.proven or bool(self.frames.buffer))
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
        self.last = True
        self._put(resp.error("Protocol error: no whole command in time"))
        self.advance()

    def break_off(self) -> None:
        self.lingering = True  # nothing is written behind half a value
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def advance(self) -> None:
        """Takes up commands and writes answers, in turn, as far as both go. Guards against recursion: an
        answer that is ready at once, or comes while this runs, is written by this loop."""
        if self.advancing or self.lingering or self.transport is None:
            return
        self.advancing = True
        try:
            self._take_up()
            while self._write() and self.frames.buffer:
                self._take_up()
        finally:
            self.advancing = False
        if not self.slots and self.last:
            self._linger()
        elif not self.slots and (self.parted or (self.server.closing and not self._more_comes())):
            self.transport.close()
        else:
            self.idle_since = asyncio.get_running_loop().time()
            self._steer()
            self._await_command()

    def _more_comes(self) -> bool:
        """Whether the system holds something of this client: a close would cross it."""
        assert self.transport is not None
        arrived = select.poll()
        arrived.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(arrived.poll(0))

    def _part(self, answers: bytes) -> None:
        """Writes the last answers and the end of the stream as one. Guards against a client that has read the
        answer and asks again before the end reaches it."""
        assert self.transport is not None
        self.parted = True
        line = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # without it the end comes a moment later
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        self.transport.write(answers)
        if not self.transport.is_closing():
            self.transport.write_eof()

    def make_room(self) -> None:
        """Ends this idle connection in favour of another."""
        self.server.open.discard(self)
        if self.transport is not None:
            self.transport.close()

    def _linger(self) -> None:
        """Ends the sending and reads on for a while. Guards the last answer: a close with bytes unread is a
        reset, which can reach a client that is still sending before the answer does."""
        assert self.transport is not None
        self.lingering = True
        self.frames.buffer.clear()
        self._steer()
        self._await_command()
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER, self._abort)

    def _take_up(self) -> None:
        """Takes up the commands that have come, as many as may be in work at once."""
        try:
            while not self.last and not self.blocked and len(self.slots) < MOST_PIPELINED:
                parts = self.frames.next()
                if parts is resp.WAITING:
                    break
                self._command(parts)
        except resp.FramingError as problem:
            # Where the next command begins is lost: what came before is answered, then this one, last.
            self.last = True
            self._put(resp.error(f"Protocol error: {problem}"))

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
            whole = not self.slots and not self.frames.buffer and not self.last
            if self.server.parting and whole and not self.parted and not self._more_comes():
                self._part(b"".join(ready))
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
            self.last = True
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
        if self.blocked or (self.last and not self.lingering) or len(self.slots) >= MOST_PIPELINED:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        held = len(self.frames.buffer) + self.transport.get_write_buffer_size()
        self.server.driver.room.note(held - self.buffered)
        self.buffered = held
        if self.server.driver.room.over and held > resp.MOST_VALUE:
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

    def __init__(self, driver: Driver, names: Names, most: int) -> None:
        self.driver, self.names, self.most = driver, names, most
        self.open: set[Client] = set()
        self.can_serve: Callable[[], bool] = lambda: False
        self.parting = self.closing = False
        self._empty = asyncio.Event()
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
        self._server = await loop.create_server(lambda: Client(self), sock=listener, backlog=LET_IN)
        listener.listen(BACKLOG)
        address: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return address

    def room(self) -> bool:
        """Whether one more connection may stay; the longest idle one makes room for it."""
        if len(self.open) < self.most:
            return True
        before = asyncio.get_running_loop().time() - IDLE_LEAST
        idle = [one for one in self.open if one.idle_since < before and not one.slots and one.proven]
        oldest = min(idle, key=lambda one: one.idle_since, default=None)
        if oldest is None:
            return False
        oldest.make_room()
        return True

    def gone(self, client: Client) -> None:
        self.open.discard(client)
        self.driver.room.free(client.buffered + client.reserved)
        client.buffered = client.reserved = 0
        if self.parting and not self.open:
            self._empty.set()

    def hand_over(self) -> None:
        """Stops listening, since another process lets clients in; each connection ends after an answer."""
        self.parting = True
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stops listening; each connection ends after its last answer, idle ones at once."""
        self.hand_over()
        self.closing = True
        for client in list(self.open):
            client.advance()
        if not self.open:
            self._empty.set()

    async def emptied(self, patience: float) -> None:
        """Waits until every connection has ended, or for so many seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._empty.wait(), patience)
