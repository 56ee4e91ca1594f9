"""The positions of answers in the order of a client connection.

A server may fail within a long answer, after which nothing but the end of the connection tells the client
that the value is incomplete. Answers to commands behind it would be lost with the connection. Such a long
answer is therefore collected before any of it is written, as far as time and memory allow.
"""

import asyncio
from typing import Protocol

from applehub.node import resp
from applehub.node.driver import PendingRequest
from applehub.node.stream import CHUNK_SIZE, Stream

NS_PER_S = 1_000_000_000
MAX_COLLECT_TIME = 1.5  # seconds; an answer that is held back for 2 s counts as lost


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

    def has_commands_behind(self, slot: "Slot") -> bool:
        """Returns whether a later command than that of a slot was received, be it processed yet or not."""

    def abort_stream(self) -> None:
        """Ends the connection within a value."""


class Slot:
    """The position of one answer in the order of answers of a connection."""

    __slots__ = (
        "answer", "client", "client_is_connected", "collect_timer", "collect_until", "collected", "request",
        "stream", "taken",
    )  # fmt: skip

    def __init__(self, client: AnsweredConnection) -> None:
        self.client, self.client_is_connected = client, client.is_connected
        self.answer: bytes | None = None
        self.taken = 0  # bytes of the answer that were taken
        self.request: PendingRequest | None = None
        self.stream: Stream | None = None
        self.collected = 0  # bytes of the memory budget for a stream that is or was collected
        self.collect_until = 0.0  # event loop time in seconds at which a stream is written in any case
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

    def begin_stream(self, stream: Stream, start_by: int) -> None:
        """Sets a long value as the answer; it is written as it arrives, after the earlier answers.

        start_by: monotonic time in ns at which its first bytes are due.
        """
        self.stream = stream
        self.collect_until = min(start_by / NS_PER_S, asyncio.get_running_loop().time() + MAX_COLLECT_TIME)
        stream.on_data = self.client.advance
        self._collect(stream)

    @property
    def interruptible(self) -> bool:
        """Whether a part of the answer was written, and its server may still fail to give the rest."""
        return self.stream is not None and self.stream.interruptible

    def _take_from_stream(self, stream: Stream) -> bytes:
        if self._collect(stream):
            return b""
        self._stop_collecting(stream)
        part = stream.take()
        self._release(len(part))
        if stream.done:
            self.answer, self.request, self.stream = b"", None, None
            self._release(self.collected)
        return part

    def _collect(self, stream: Stream) -> bool:
        """Collects a stream while later commands wait for it; returns whether it must not be written yet."""
        if stream.started or stream.complete or not self.client.has_commands_behind(self):
            return False
        loop = asyncio.get_running_loop()
        if loop.time() >= self.collect_until:
            return False
        if not stream.collecting:
            if not self.client.reserve_long_answer(stream.size):
                return False
            self.collected = stream.size
            self.collect_timer = loop.call_at(self.collect_until, self.client.advance)
            stream.collect()
        return True

    def _stop_collecting(self, stream: Stream) -> None:
        """Ends the collection of a stream, and releases the memory for what was not received in time."""
        if not stream.collecting:
            return
        stream.stop_collecting()
        self._cancel_timer()
        self._release(self.collected - sum(map(len, stream.chunks)))

    def _release(self, size: int) -> None:
        """Releases at most `size` bytes of the memory budget for the stream."""
        released = max(0, min(size, self.collected))
        self.collected -= released
        self.client.count_held_answer(-released)

    def _cancel_timer(self) -> None:
        if self.collect_timer is not None:
            self.collect_timer.cancel()
            self.collect_timer = None

    def drop(self) -> None:
        """Drops the answer of a client that has disconnected, which has released its memory."""
        self._cancel_timer()
        self.collected = 0

    def abort_stream(self) -> None:
        """Closes the connection if a part of the stream was written; otherwise answers with an error."""
        stream, self.request, self.stream = self.stream, None, None
        self._cancel_timer()
        self._release(self.collected)
        if stream is not None and stream.started:
            self.client.abort_stream()
        else:
            self.set_answer(resp.FAILED)
