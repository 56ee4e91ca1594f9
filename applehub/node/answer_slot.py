"""The positions of answers in the order of a client connection."""

from typing import Protocol

from applehub.node import resp
from applehub.node.driver import PendingRequest
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

    def abort_stream(self) -> None:
        """Ends the connection within a value."""


class Slot:
    """The position of one answer in the order of answers of a connection."""

    __slots__ = ("answer", "client", "client_is_connected", "request", "stream", "taken")

    def __init__(self, client: AnsweredConnection) -> None:
        self.client, self.client_is_connected = client, client.is_connected
        self.answer: bytes | None = None
        self.taken = 0  # bytes of the answer that were taken
        self.request: PendingRequest | None = None
        self.stream: Stream | None = None

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
            part: bytes | memoryview = self.stream.take()
            if self.stream.done:
                self.answer, self.request, self.stream = b"", None, None
            return part
        if self.answer is None:
            return b""
        if len(self.answer) <= CHUNK_SIZE:
            part = self.answer
        else:
            part = memoryview(self.answer)[self.taken : self.taken + CHUNK_SIZE]
        self.taken += len(part)
        return part

    def begin_stream(self, stream: Stream) -> None:
        """Sets a long value as the answer; it is written as it arrives, after the earlier answers."""
        self.stream = stream
        stream.on_data = self.client.advance

    def abort_stream(self) -> None:
        """Closes the connection if a part of the stream was written; otherwise answers with an error."""
        stream, self.request, self.stream = self.stream, None, None
        if stream is not None and stream.started:
            self.client.abort_stream()
        else:
            self.set_answer(resp.FAILED)
