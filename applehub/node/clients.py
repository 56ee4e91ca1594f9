"""A client's connection: takes up RESP commands and answers them in their order."""

import asyncio
import contextlib
import logging
import socket
from collections import deque
from enum import Enum
from typing import Protocol, cast

from applehub.node import resp
from applehub.node.arrivals import Arrivals, Looks
from applehub.node.call import CallError, read_call
from applehub.node.driver import Driver, Held
from applehub.node.memory_budget import LONG_PART
from applehub.node.stream import Reader, Stream
from applehub.node.unread import END, Unread
from applehub.settings import Names

MOST_PIPELINED = 32  # commands of one connection in work; those behind wait unread
STUCK = 10.0  # s for which a client may leave answers unread
PROMPT = 2.5  # s in which a peer must send a whole command, once it has connected or begun one
LINGER = 1.0  # s for which a client that has its last answer may go on sending
log = logging.getLogger("applehub")


class Phase(Enum):
    """The life of a client's connection, which goes forward alone: by `_end_sending` and `_depart`."""

    OPEN = 1  # commands are taken up and answered
    LAST = 2  # nothing more is taken up; the sending ends behind the answers that are owed
    ENDED = 3  # all is written, then the end: what still comes is read off and dropped for a bounded time
    GONE = 4  # the client has left: nothing is owed


class Slot:
    """The place of one answer on its connection."""

    __slots__ = ("answer", "client", "held", "stream", "waits")

    def __init__(self, client: "Client") -> None:
        self.client, self.waits = client, client.waits
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


class Server(Protocol):
    """What a connection needs of the server that let it in."""

    driver: Driver
    names: Names
    looks: Looks
    parting: bool  # each connection ends after an answer
    closing: bool  # each connection ends once it rests
    open: "set[Client]"

    def can_serve(self) -> bool:
        """Whether there are servers to send requests to."""

    def room(self) -> bool:
        """Whether one more connection may stay."""

    def unread(self, client: "Client", unread: bool) -> None:
        """Notes whether a connection is read."""

    def ended(self, client: "Client") -> None:
        """Notes that nothing more is taken from a client."""

    def gone(self, client: "Client") -> None:
        """Notes that a connection is closed."""


class Client(Reader):
    """One connection of a client."""

    def __init__(self, server: Server, since: int) -> None:
        """`since` is the time before which it can't have sent anything."""
        self.server = server
        self.arrivals = Arrivals(server.looks, since)
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
        self.arrivals.resume()
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
        if self.phase is not Phase.OPEN or self.transport is None:
            return
        self.arrivals.note(len(data), self.transport.get_extra_info("socket"))
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
            self._await_reader()

    def left(self) -> None:
        """The client has left while it was not being read. Reading on comes to the end that it sent."""
        self._depart()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def waits(self) -> bool:
        """Whether the client is there, also by what the system has of it and nobody has read yet."""
        transport = self.transport if self.phase is not Phase.GONE else None
        return transport is not None and not Unread(transport.get_extra_info("socket"), END).waits()

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
        self._await_reader()
        self._steer()

    def _await_reader(self, before: int = -1) -> None:
        """Ends a connection whose client has read nothing for some time; a slow one is waited for. Where all
        is read, which only one that is on its way out waits for, it ends a little later."""
        if self.transport is None:
            return
        unread = self.transport.get_write_buffer_size()
        if unread == before:
            self.cut()
            return
        if self.stuck is not None:
            self.stuck.cancel()
        patience = STUCK if unread else LINGER
        self.stuck = asyncio.get_running_loop().call_later(patience, self._await_reader, unread)

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
        a part: a connection with nothing in work and no whole command is worth none. The time of a command
        that is begun behind others counts from its own first byte, not from their last answer."""
        silent = not self.proven and not self.slots
        # Where no more is taken up for now, what is buffered may be whole.
        takes_up = not self.blocked and len(self.slots) < MOST_PIPELINED
        begun = bool(self.frames.buffer) and takes_up
        waits = self.phase is Phase.OPEN and (silent or begun)
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
            in_part = self.phase is Phase.OPEN and self.frames.buffer
            self._end_sending(resp.refused(0) if self.server.closing and in_part else b"")
        else:
            self.idle_since = asyncio.get_running_loop().time()
            self._steer()
            self._await_command()

    def _more_comes(self) -> bool:
        """Whether the system holds something of this client, which is read before the sending ends."""
        assert self.transport is not None
        return Unread(self.transport.get_extra_info("socket")).waits()

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
            try:
                self.transport.write_eof()
            except OSError:  # it is broken, which nobody has read yet
                self.transport.abort()
            self.transport.resume_reading()
            self._await_reader()

    def _take_up(self) -> None:
        """Takes up the commands that have come, as many as may be in work at once."""
        try:
            while self.phase is Phase.OPEN and not self.blocked and len(self.slots) < MOST_PIPELINED:
                parts = self.frames.next()
                if parts is resp.WAITING:
                    self.arrivals.forget()
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
                if self.transport.is_closing():  # the connection is broken
                    self._depart()
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
            arrived = self.arrivals.of_last_before(len(self.frames.buffer))
            held = self.server.driver.take(call, slot, arrived)
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
            self.arrivals.pause()
        else:
            self.transport.resume_reading()
            self.arrivals.resume()
        self.server.unread(self, full)
        self._count()
        if self.server.driver.room.over and self.buffered > resp.MOST_VALUE:
            self.transport.abort()
