"""The positions of answers in the order of a client connection.

A server may fail within a long answer, after which nothing but the end of the connection tells the client
that the value is incomplete. Answers to commands behind it would be lost with the connection. Such a long
answer is therefore collected before any of it is written, as far as time and memory allow. While it is
collected, another server's value may replace it.
"""

import asyncio
from typing import Protocol

from applehub.node import resp
from applehub.node.pending_request import PendingRequest
from applehub.node.stream import CHUNK_SIZE, Stream


class AnsweredConnection(Protocol):
    """The client connection to which answers are written, as a slot uses it."""

    def advance(self) -> None:
        """Writes answers as far as possible."""

    def is_connected(self) -> bool:
        """Returns whether the client is still connected."""

    def can_hold_answer(self, slot: "Slot", size: int) -> bool:
        """Returns whether an answer of `size` bytes is written at once, or memory is left to hold it."""

    def count_held_answer(self, change: int) -> None:
        """Updates the memory budget with a change in the bytes of answers that are not written yet."""

    def reserve_long_answer(self, size: int) -> bool:
        """Counts a long answer that is collected; returns False if no memory is left for it."""

    def is_next(self, slot: "Slot") -> bool:
        """Returns whether all earlier answers were written."""

    def has_memory_left(self) -> bool:
        """Returns whether the answers that wait are within their part of the memory budget."""

    def has_commands_behind(self, slot: "Slot") -> bool:
        """Returns whether a later command than that of a slot was received, be it processed yet or not."""

    def abort_stream(self) -> None:
        """Ends the connection within a value."""


class Slot:
    """The position of one answer in the order of answers of a connection."""

    __slots__ = (
        "answer", "client", "client_is_connected", "collect_timer", "counted", "request", "stream", "taken",
        "withdrawn",
    )  # fmt: skip

    def __init__(self, client: AnsweredConnection) -> None:
        self.client, self.client_is_connected = client, client.is_connected
        self.answer: bytes | None = None
        self.taken = 0  # bytes of the answer that were taken
        self.request: PendingRequest | None = None
        self.stream: Stream | None = None
        self.counted = 0  # bytes of the memory budget for the stream
        self.withdrawn = False  # whether a server has failed within the value
        self.collect_timer: asyncio.TimerHandle | None = None

    def set_answer(self, answer: bytes) -> None:
        """Sets the complete answer, unless there is one already."""
        if self.answer is None:
            self.answer = answer
            self.client.count_held_answer(len(answer))
            # Breaks the reference cycle, so that memory is freed without the garbage collector.
            self.request = None
            self.client.advance()

    def can_hold(self, size: int) -> bool:
        """Returns whether an answer of `size` bytes is written at once, or memory is left to hold it."""
        return self.client.can_hold_answer(self, size)

    @property
    def done(self) -> bool:
        """Whether the answer is complete and was taken completely."""
        return self.stream is None and self.answer is not None and self.taken == len(self.answer)

    def take(self) -> bytes | memoryview:
        """Removes and returns the next part of the answer, empty if there is none yet.

        Parts are at most CHUNK_SIZE bytes long, so that the transport does not copy a long answer.
        """
        if self.stream is not None:
            return self._take_from_stream(self.stream)
        if self.answer is None:
            return b""
        if len(self.answer) <= CHUNK_SIZE:
            part: bytes | memoryview = self.answer
        else:
            part = memoryview(self.answer)[self.taken : self.taken + CHUNK_SIZE]
        self.taken += len(part)
        return part

    def begin_stream(self, stream: Stream) -> None:
        """Sets a long value as the answer; it is written as it arrives, after the earlier answers."""
        self.stream = stream
        if self.withdrawn:
            stream.distrust()
        stream.on_data = self._stream_received
        self._collect(stream)
        self._count_stream()

    def withdraw_stream(self) -> None:
        """Drops a long value of which nothing was written; another answer follows."""
        self.stream, self.withdrawn = None, True
        self._cancel_timer()
        self._count_stream()

    def _stream_received(self) -> None:
        """Writes what has come of a stream, as far as possible, and counts the rest."""
        self.client.advance()
        self._count_stream()
        stream = self.stream
        if stream is None or stream.started or stream.collecting:
            return
        if not self.client.has_memory_left():
            stream.observer.stream_rejected()

    def _count_stream(self) -> None:
        """Updates the memory budget: a collected stream counts whole, another one as far as it waits."""
        stream = self.stream
        size = 0 if stream is None else stream.size if stream.collecting else stream.buffered
        self.client.count_held_answer(size - self.counted)
        self.counted = size

    @property
    def interruptible(self) -> bool:
        """Whether a part of the answer was written, and its server may still fail to give the rest."""
        return self.stream is not None and self.stream.interruptible

    def _take_from_stream(self, stream: Stream) -> bytes:
        if self._collect(stream):
            return b""
        if stream.collecting:
            stream.stop_collecting()
            self._cancel_timer()
        part = stream.take()
        if stream.done:
            self.answer, self.request, self.stream = b"", None, None
        self._count_stream()
        return part

    def _collect(self, stream: Stream) -> bool:
        """Collects a stream while other answers wait for it, or it for them.

        Returns whether it must not be written yet.
        """
        others_wait = self.client.has_commands_behind(self) or not self.client.is_next(self)
        if stream.started or stream.complete or not others_wait:
            return False
        loop = asyncio.get_running_loop()
        if stream.may_start(loop.time()):
            return False
        if not stream.collecting:
            if not self.client.reserve_long_answer(stream.size):
                return False
            self.counted += stream.size
            self.collect_timer = loop.call_at(stream.hold_until, self.client.advance)
            stream.collect()
        return True

    def _cancel_timer(self) -> None:
        if self.collect_timer is not None:
            self.collect_timer.cancel()
            self.collect_timer = None

    def drop(self) -> PendingRequest | None:
        """Drops the answer of a client that has disconnected, which has released its memory.

        Returns the request that has to be cancelled, None if there is none.
        """
        self._cancel_timer()
        self.counted = 0
        request, self.request, self.stream = self.request, None, None
        return request

    def abort_stream(self) -> None:
        """Closes the connection if a part of the stream was written; otherwise answers with an error."""
        stream, self.request, self.stream = self.stream, None, None
        self._cancel_timer()
        self._count_stream()
        if stream is not None and stream.started:
            self.client.abort_stream()
        else:
            self.set_answer(resp.FAILED)
