"""Client connections: reads RESP commands and writes the answers in the order of the commands."""

import asyncio
import contextlib
import logging
import socket
from collections import deque
from enum import Enum
from typing import Protocol, cast

from applehub.node import resp
from applehub.node.answer_slot import Slot
from applehub.node.arrivals import ArrivalTimes, TimedSelector
from applehub.node.call import CallError, read_call
from applehub.node.command_clock import CommandClock, CommandPhase
from applehub.node.command_turns import CommandTurns
from applehub.node.connection_memory import ConnectionMemory
from applehub.node.delivery_watch import DeliveryWatch, untaken_bytes
from applehub.node.driver import Driver
from applehub.node.memory_budget import HELD_ANSWER_FRACTION, INPUT_FRACTION
from applehub.node.reasons import ClientClose
from applehub.node.stream import CHUNK_SIZE, SharedBufferProtocol
from applehub.node.unread import PEER_CLOSED, UnreadInput
from applehub.settings import Names

MAX_PIPELINED_COMMANDS = 32  # maximum commands of one connection in progress; later commands wait
FREE_INPUT = 1024  # bytes that a connection may read and buffer although no memory is left for input
log = logging.getLogger("applehub")


class Phase(Enum):
    """Phases of a client connection, which never returns to an earlier one."""

    OPEN = 1  # commands are processed and answered
    FLUSHING = 2  # no further command is processed; sending ends after the pending answers
    LINGERING = 3  # sending has ended; input is read and discarded for a limited time
    DISCONNECTED = 4  # the client has disconnected; pending answers are dropped


class ConnectionOwner(Protocol):
    """The listener to which a connection belongs, as the connection uses it."""

    driver: Driver
    names: Names
    selector: TimedSelector
    turns: CommandTurns
    close_after_answer: bool  # whether each connection is closed after its next answer
    closing: bool  # whether each connection is closed as soon as it is idle
    connections: "set[ClientConnection]"

    def can_serve(self) -> bool:
        """Returns whether at least one cache server accepts attempts."""

    def has_capacity(self) -> bool:
        """Returns whether one more connection is within the limit."""

    def set_reading_paused(self, client: "ClientConnection", paused: bool) -> None:
        """Records whether reading from a connection is paused."""

    def connection_opened(self, client: "ClientConnection") -> None:
        """Records that the commands of a connection are processed."""

    def sending_ended(self, client: "ClientConnection") -> None:
        """Records that no further command of a connection is processed."""

    def connection_closed(self, client: "ClientConnection") -> None:
        """Records that a connection is closed."""


class ClientConnection(SharedBufferProtocol):
    """Protocol of one client connection."""

    def __init__(self, owner: ConnectionOwner, earliest_arrival: int) -> None:
        """earliest_arrival: monotonic time in ns before which the client can't have sent data."""
        self.owner = owner
        self.arrivals = ArrivalTimes(owner.selector, earliest_arrival)
        self.budget = owner.driver.memory
        self.memory = ConnectionMemory(self.budget)
        self.frames = resp.FrameParser(self.memory.reserve_value)
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.phase = Phase.OPEN
        self.advancing = self.write_paused = False
        self.delivery_watch = DeliveryWatch()
        self.command_clock = CommandClock(self)
        self.sent_command = False  # whether a complete command was received
        self.idle_since = 0.0  # event loop time in seconds
        self.close_reason: ClientClose | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.memory.connection_opened()
        self.arrivals.resume()
        # asyncio does not set TCP_NODELAY on accepted sockets. This fails if the client has disconnected.
        with contextlib.suppress(OSError):
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.owner.has_capacity():
            log.warning(
                "client rejected: connection limit reached, connected=%d", len(self.owner.connections)
            )
            self._note_close(ClientClose.CONNECTION_LIMIT)
            self._end_sending(resp.error("max number of clients reached"))
            return
        self.owner.connection_opened(self)
        self.command_clock.enter(self._command_phase)

    def max_read_size(self) -> int:
        """Limits reads to what the memory budget has room for; the memory of a long value is reserved."""
        if self.phase is not Phase.OPEN:
            return CHUNK_SIZE  # input is discarded
        room = self.budget.room(INPUT_FRACTION)
        return min(CHUNK_SIZE, max(FREE_INPUT, room, self.frames.long_remaining))

    def data_received(self, data: bytes) -> None:
        if self.phase is not Phase.OPEN or self.transport is None:
            return
        self.arrivals.record_read(len(data), self.transport.get_extra_info("socket"), self.read_size)
        self.command_clock.received(len(data))
        self.frames.feed(data)
        self.advance()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.memory.connection_lost()
        self._disconnect()
        self.owner.connection_closed(self)
        self.delivery_watch.stop()
        self.command_clock.stop()

    def eof_received(self) -> None:
        self._disconnect()  # at once, since the transport closes only once its write buffer is empty
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.delivery_watch.start(self.transport, self._abort_unread)

    def peer_closed(self) -> None:
        """Handles a disconnect while reading is paused; resumes reading up to the end of the stream."""
        self._disconnect()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def is_connected(self) -> bool:
        """Returns whether the client is still connected; also detects an end of stream not yet read."""
        transport = self.transport if self.phase is not Phase.DISCONNECTED else None
        return (
            transport is not None
            and not UnreadInput(transport.get_extra_info("socket"), PEER_CLOSED).pending()
        )

    def _note_close(self, reason: ClientClose) -> None:
        """Counts and logs why the connection is closed, unless an earlier reason is known."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        self.owner.driver.metrics.count_reason(reason)
        if log.isEnabledFor(logging.DEBUG):
            pending = [slot.request.id for slot in self.slots if slot.request is not None]
            log.debug("client connection closed: %s, pending requests %s", reason, pending)

    def _disconnect(self) -> None:
        """Cancels all pending requests, so that no server works for a disconnected client."""
        if self.phase is Phase.DISCONNECTED:
            return
        self._note_close(ClientClose.CLIENT_LEFT)
        self.phase = Phase.DISCONNECTED
        self._discard_input()
        slots, self.slots = self.slots, deque()
        self.memory.add_held(-self.memory.held)
        for slot in slots:
            request = slot.drop()
            if request is not None:
                self.owner.driver.cancel(request)

    def _discard_input(self) -> None:
        """Discards unprocessed input and releases its memory."""
        self.frames = resp.FrameParser()
        self.owner.turns.discard(self)
        self.memory.release_value()
        self._count_buffers()
        self.owner.sending_ended(self)

    def can_hold_answer(self, slot: Slot, size: int) -> bool:
        """Returns whether the answer of a slot is written at once, or memory is left to hold it.

        size: length of the answer in bytes.
        """
        written_at_once = self.is_next(slot) and not self.write_paused
        return written_at_once or self.budget.has_room(size, HELD_ANSWER_FRACTION)

    def count_held_answer(self, change: int) -> None:
        """Updates the memory budget with a change in the bytes of answers that are not written yet."""
        self.memory.add_held(change)

    def reserve_long_answer(self, size: int) -> bool:
        """Counts a long answer that is collected; returns False if no memory is left for it.

        size: length of the answer in bytes.
        """
        return self.memory.reserve_held(size)

    def has_memory_left(self) -> bool:
        """Returns whether the answers that wait are within their part of the memory budget."""
        return self.budget.has_room(0, HELD_ANSWER_FRACTION)

    def is_next(self, slot: Slot) -> bool:
        """Returns whether all earlier answers were written."""
        return bool(self.slots) and self.slots[0] is slot

    def has_commands_behind(self, slot: Slot) -> bool:
        """Returns whether a later command than that of a slot was received, be it processed yet or not."""
        return bool(self.frames.buffer) or (bool(self.slots) and self.slots[-1] is not slot)

    def _count_buffers(self) -> None:
        """Updates the memory budget with the bytes that this connection buffers."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self.memory.set_buffered(len(self.frames.buffer) + unsent)

    def pause_writing(self) -> None:
        self.write_paused = True
        if self.transport is not None:
            self.delivery_watch.start(self.transport, self._abort_unread)
        if self.slots and self.slots[0].stream is not None:
            self.slots[0].stream.pause()
        self._update_reading()

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.transport is not None:
            self.transport.set_write_buffer_limits()  # `_limit_output` may have lowered them
        if self.phase in (Phase.LINGERING, Phase.DISCONNECTED):
            return  # a closing connection is watched until it is closed
        self.delivery_watch.stop()
        self.advance()

    @property
    def has_waiting_commands(self) -> bool:
        """Whether received input waits to be processed, for earlier answers or for its connection's turn."""
        full = self.write_paused or len(self.slots) >= MAX_PIPELINED_COMMANDS
        # A command behind an answer whose server may still fail could be executed and never be answered.
        interruptible = bool(self.slots) and self.slots[0].interruptible
        return full or interruptible or self.owner.turns.is_waiting(self)

    @property
    def is_idle(self) -> bool:
        """Whether the client has sent a command, and has all answers to it and nothing of another one."""
        return self.sent_command and not self.slots and not self.frames.buffer

    @property
    def _has_partial_command(self) -> bool:
        """Whether the buffered input is a command that the client has not sent completely.

        While no further command is processed, the buffered input may be complete.
        """
        return self.phase is Phase.OPEN and bool(self.frames.buffer) and not self.has_waiting_commands

    @property
    def _command_phase(self) -> CommandPhase:
        """What has come of the next command; none if the client owes nothing of it."""
        if self._has_partial_command:
            return CommandPhase.VALUE if self.frames.in_value else CommandPhase.HEAD
        is_silent = not self.sent_command and not self.frames.buffer
        return CommandPhase.SILENT if is_silent and self.phase is Phase.OPEN else CommandPhase.NONE

    def command_timed_out(self) -> None:
        """Answers with an error and closes the connection, as no complete command came in time."""
        log.info("closing a client connection: no complete command before the timeout")
        self._note_close(ClientClose.COMMAND_TIMEOUT)
        self._append_answer(resp.error("Protocol error: no whole command in time"))
        self.phase = Phase.FLUSHING
        self.advance()

    def abort_stream(self) -> None:
        """Ends the connection within a value; the client detects by the length that bytes are missing."""
        self._note_close(ClientClose.ANSWER_CUT_OFF)
        self._disconnect()
        self._end_sending()

    @property
    def has_untaken_answers(self) -> bool:
        """Whether the client has not taken all that was written to it."""
        return self.transport is not None and untaken_bytes(self.transport) > 0

    def abort_connection(self, reason: ClientClose) -> None:
        """Closes the connection at once, with whatever the client has not received."""
        self._note_close(reason)
        if self.transport is not None:
            self.transport.abort()

    def _abort_unread(self) -> None:
        self.abort_connection(ClientClose.UNREAD_ANSWERS)

    def advance(self) -> None:
        """Processes commands and writes answers, in order, as far as possible.

        An answer that arrives during a call is written by that call, which prevents recursion.
        """
        if self.advancing or self.phase in (Phase.LINGERING, Phase.DISCONNECTED) or self.transport is None:
            return
        self.advancing = True
        try:
            self._process_commands()
            while self._write_answers() and self.frames.buffer:
                self._process_commands()
        finally:
            self.advancing = False
        if self.phase in (Phase.LINGERING, Phase.DISCONNECTED):
            return
        if not self.slots and (self.phase is Phase.FLUSHING or self._may_close()):
            # A partial command is answered with a rejection, since the client expects an answer to it.
            partial = self.phase is Phase.OPEN and self.frames.buffer
            self._note_close(ClientClose.SHUTDOWN)
            self._end_sending(resp.busy(0) if self.owner.closing and partial else b"")
        else:
            self.idle_since = asyncio.get_running_loop().time()
            self._update_reading()
            self.command_clock.enter(self._command_phase)

    def _may_close(self) -> bool:
        """Returns whether this connection is to be closed, and all that was received for it was processed."""
        return self.owner.closing and not self.owner.turns.is_waiting(self) and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Returns whether the socket holds unread input, which must be read before sending ends."""
        transport = self.transport
        return transport is not None and UnreadInput(transport.get_extra_info("socket")).pending()

    def close_idle(self) -> None:
        """Closes this idle connection in favour of a new one."""
        self._note_close(ClientClose.MAKE_ROOM)
        self._end_sending()

    def _end_sending(self, answers: bytes = b"") -> None:
        """Writes the last answers and the end of the stream, then discards input for a limited time.

        Closing a socket with unread input sends a reset, which can reach the client before the last answer.
        So does input that arrives after the close, as long as the client has not taken everything.
        A command that is discarded has no effect; its client retries it on a new connection.
        """
        if self.transport is None or self.phase is Phase.LINGERING or self.transport.is_closing():
            return
        if self.phase is not Phase.DISCONNECTED:
            self.phase = Phase.LINGERING
        self._discard_input()
        self.command_clock.enter(CommandPhase.NONE)
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # without TCP_CORK the end of the stream is a separate segment
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        if answers:
            self.transport.write(answers)
        if not self.transport.is_closing():
            try:
                self.transport.write_eof()
            except OSError:  # the connection is broken, and no read has reported it yet
                self.transport.abort()
            self.transport.resume_reading()
            self.delivery_watch.start(self.transport, self._abort_unread)

    def _process_commands(self) -> None:
        """Processes received commands, up to the limits on commands in progress and on those of one tick."""
        try:
            while self.phase is Phase.OPEN and not self.has_waiting_commands:
                if self.frames.buffer and not self.owner.turns.admit(self):
                    break
                parts = self.frames.next()
                if parts is resp.INCOMPLETE:
                    self.arrivals.clear()
                    break
                self._handle_command(parts)
        except resp.FramingError as error:
            # The start of the next command is unknown, so the error is the last answer.
            self._note_close(ClientClose.PROTOCOL_ERROR)
            self._append_answer(resp.error(f"Protocol error: {error}"))
            self.phase = Phase.FLUSHING

    def _write_answers(self) -> bool:
        """Writes the answers that are ready, in order, as far as the client takes them.

        Returns whether any is finished.
        """
        finished = False
        while not self.write_paused:
            slot_count = len(self.slots)
            parts = self._take_answers()
            finished = finished or len(self.slots) < slot_count
            if not parts or self.transport is None:
                break
            idle = not self.slots and not self.frames.buffer and self.phase is Phase.OPEN
            if self.owner.close_after_answer and idle and not self.has_unread_input():
                self._note_close(ClientClose.SHUTDOWN)
                self._end_sending(b"".join(parts))
                break
            self.transport.write(b"".join(parts))
            if self.transport.is_closing():
                self._note_close(ClientClose.WRITE_FAILED)
                self._disconnect()
        return finished

    def _take_answers(self) -> list[bytes | memoryview]:
        """Removes and returns the next parts of the answers that are ready, about CHUNK_SIZE bytes in all."""
        parts: list[bytes | memoryview] = []
        size = 0
        while self.slots and size < CHUNK_SIZE:
            slot = self.slots[0]
            part = slot.take()
            if part:
                parts.append(part)
                size += len(part)
            if slot.done:
                self.slots.popleft()
                self.count_held_answer(-len(slot.answer or b""))
            elif slot.stream is not None or slot.answer is None:
                break  # the rest is not there yet
        return parts

    def _handle_command(self, parts: object) -> None:
        if not isinstance(parts, list) or not all(isinstance(part, bytes | bytearray) for part in parts):
            raise resp.FramingError("expected an array of bulk strings")
        if not parts:
            return
        name = parts[0].upper()
        if name in (b"C.GET", b"C.SET"):
            self._handle_call(parts)
        elif name == b"PING":
            self._append_answer(
                b"+PONG\r\n" if self.owner.can_serve() else b"-LOADING no server list yet\r\n"
            )
        elif name == b"QUIT":
            self._append_answer(b"+OK\r\n")
            self._note_close(ClientClose.QUIT)
            self.phase = Phase.FLUSHING
        else:
            self._append_answer(resp.error("unknown command"))

    def _handle_call(self, parts: list[bytes]) -> None:
        # If the driver accepts the call, it reserves the memory of the value itself.
        self.memory.release_value()
        try:
            call = read_call(parts, self.owner.names)
        except CallError as error:
            self._append_answer(resp.error(str(error)))
            return
        slot = self._new_slot()
        try:
            arrived = self.arrivals.of_last_byte_before(len(self.frames.buffer))
            request = self.owner.driver.accept(call, slot, arrived)
            slot.request = request if slot.answer is None else None
        except Exception:
            log.exception("failed to start a request")
            slot.set_answer(resp.FAILED)

    def _append_answer(self, answer: bytes) -> None:
        self._new_slot().answer = answer
        self.count_held_answer(len(answer))

    def _new_slot(self) -> Slot:
        slot = Slot(self)
        self.slots.append(slot)
        self.sent_command = True
        self.command_clock.command_complete()
        return slot

    def _update_reading(self) -> None:
        """Pauses or resumes reading, to bound the memory of clients that send much or read nothing."""
        if self.transport is None or self.transport.is_closing():
            return
        # Input after the last command is read and discarded, which uses no memory and detects a disconnect.
        full = self.phase is Phase.OPEN and self.has_waiting_commands
        if full:
            self.transport.pause_reading()
            self.arrivals.pause()
        else:
            self.transport.resume_reading()
            self.arrivals.resume()
        self.owner.set_reading_paused(self, full)
        self._count_buffers()
        self._limit_output()
        if self.budget.is_exceeded and self.memory.buffered > resp.MAX_BUFFERED_VALUE:
            self.abort_connection(ClientClose.MEMORY)
        elif self._has_partial_command and self._exceeds_input_memory():
            self._reject_partial_command()

    def _exceeds_input_memory(self) -> bool:
        """Returns whether this connection buffers input for which no memory is left."""
        return len(self.frames.buffer) > FREE_INPUT and not self.budget.room(INPUT_FRACTION)

    def _limit_output(self) -> None:
        """Processes no further command until all answers are sent, if no memory is left for more."""
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        if unsent and not self.write_paused and not self.budget.room(INPUT_FRACTION):
            self.transport.set_write_buffer_limits(0)  # calls pause_writing

    def _reject_partial_command(self) -> None:
        """Rejects a command for whose rest no memory is left; the end of it is read and discarded.

        Without this, clients that send a part of a command and stay would use memory without a limit. The
        connection stays open if only the value of a write is incomplete, since its end is known then.
        """
        if self.frames.discard_value():
            self._count_buffers()
            return
        log.info("client rejected: no memory for the rest of a command, %d bytes", len(self.frames.buffer))
        self._note_close(ClientClose.MEMORY)
        self._append_answer(self.owner.driver.rejection())
        self.phase = Phase.FLUSHING
        self.frames = resp.FrameParser()
        self.advance()
