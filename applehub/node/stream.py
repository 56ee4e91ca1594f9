"""Streaming of long values from servers to clients in chunks, and a shared buffer for socket reads."""

import asyncio
from abc import abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

from applehub.node.progress import ProgressMeter

CHUNK_SIZE = 64 * 1024  # maximum number of bytes read from a socket or written to one at once
MERGED_SIZE = 4096  # bytes up to which waiting chunks are joined, since each takes memory of its own
# Maximum seconds for which a value is held back for the answers behind it. After 2 s it counts as lost.
MAX_HOLD_TIME = 1.5
# Seconds before the end of that time from which on it is passed on as soon as more of it comes, and seconds
# for which what has come shows that its server still gives it.
START_AHEAD = 0.15
RECENT = 0.05
# Seconds after the first bytes in which more of them may belong to the same burst.
BURST_TIME = 0.1
_shared_buffer = bytearray(CHUNK_SIZE)


def chunks_of(value: bytes | bytearray) -> Iterator[memoryview]:
    """Yields views of the value, of at most CHUNK_SIZE bytes each, without copying it."""
    view = memoryview(value)
    return (view[start : start + CHUNK_SIZE] for start in range(0, len(value), CHUNK_SIZE))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol that reads its socket into a buffer shared by all connections.

    The event loop calls `buffer_updated` immediately after filling the buffer, and the bytes are copied out
    there, so connections can't overwrite each other's input.
    """

    read_size = CHUNK_SIZE  # maximum bytes of the current read

    def max_read_size(self) -> int:
        """Returns the bytes that the next read may bring, 1 to CHUNK_SIZE."""
        return CHUNK_SIZE

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the shared buffer, as far as it may be filled; ignores the suggested size."""
        self.read_size = self.max_read_size()
        return memoryview(_shared_buffer)[: self.read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a copy of the first `nbytes` of the buffer to `data_received`."""
        self.data_received(bytes(memoryview(_shared_buffer)[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Processes received bytes."""


class Source(Protocol):
    """The connection from which a long value is received."""

    def pause(self) -> None:
        """Stops reading the value until `resume`."""

    def resume(self) -> None:
        """Resumes reading the value."""


class StreamObserver(Protocol):
    """Learns of the states that a stream enters."""

    def stream_started(self) -> None:
        """Records that the first part was passed on, so that the value can't be replaced any more."""

    def stream_completed(self) -> None:
        """Records that the complete value was received."""

    def stream_rejected(self) -> None:
        """Fails the answer, since it has to wait and no memory is left for it."""


class Stream:
    """Forwards one value as a RESP bulk string, with backpressure from the client to the source.

    The source is paused while a chunk is buffered and resumed when the client takes it, so that at most the
    chunks of one read are buffered. While the value is collected, the source is never paused.

    The stream is created with the first byte of the value and passes these states:

    - held: nothing was passed on. The value may still be replaced by an error or another server's value.
    - started: a part was passed on.
    - complete: the value was received to its end; the rest of the server's response may still be missing.

    `AttemptClock` bounds all of them in time. Times are seconds on the event loop's clock.
    """

    __slots__ = (
        "begun_at", "buffered", "chunks", "collecting", "complete", "due", "hold_until", "observer",
        "on_data", "progress", "received", "size", "source", "started", "trusted",
    )  # fmt: skip

    def __init__(self, size: int, source: Source, due: float, observer: StreamObserver) -> None:
        """size: length of the value in bytes, which the header of the bulk string announces.

        due: time at which the answer is due.
        """
        self.size, self.source, self.due, self.observer = size, source, due, observer
        now = asyncio.get_running_loop().time()
        self.begun_at, self.hold_until = now, min(due, now + MAX_HOLD_TIME)
        self.progress = ProgressMeter(now)
        self.chunks = deque([b"$%d\r\n" % size])
        self.buffered = len(self.chunks[0])  # bytes of all chunks
        self.received = 0  # bytes of the value
        self.started = False  # whether data was taken
        self.complete = False  # whether the complete value was received
        self.collecting = False
        self.trusted = True  # whether no server has failed within an answer to this request
        self.on_data: Callable[[], None] = lambda: None  # called when there is data to take

    @property
    def done(self) -> bool:
        """Whether the complete value was received and taken."""
        return self.complete and not self.chunks

    @property
    def interruptible(self) -> bool:
        """Whether a part of the value was taken and the source may still fail to give the rest."""
        return self.started and not self.complete

    def may_start(self, now: float) -> bool:
        """Returns whether a held value may be passed on although it is incomplete and answers wait behind.

        If its server failed afterwards, those answers would be lost, so it must be giving the value.
        """
        is_time = now >= max(self.hold_until - START_AHEAD, self.begun_at + BURST_TIME)
        return is_time and self.progress.stalled_at(RECENT) > now

    def distrust(self) -> None:
        """Holds the value back until its time, since a server has failed within an answer to this request."""
        self.trusted, self.hold_until = False, self.due

    def feed(self, chunk: bytes) -> None:
        """Adds a chunk from the source; pauses the source unless the client takes the chunk at once."""
        self.received += len(chunk)
        self.buffered += len(chunk)
        self.progress.received(len(chunk), asyncio.get_running_loop().time())
        if self.chunks and len(self.chunks[-1]) + len(chunk) <= MERGED_SIZE:
            self.chunks[-1] += chunk
        else:
            self.chunks.append(chunk)
        self.on_data()
        if self.chunks and not self.collecting:
            self._pause_source()

    def end(self) -> None:
        """Marks the value as complete; has no effect if it is already.

        The source is not used afterwards and may serve another request.
        """
        if self.complete:
            return
        self.chunks.append(b"\r\n")
        self.buffered += len(self.chunks[-1])
        self.complete = True
        self.progress.resume(asyncio.get_running_loop().time())
        self.observer.stream_completed()
        self.on_data()

    def collect(self) -> None:
        """Receives the value as fast as the source gives it, until `stop_collecting`."""
        self.collecting = True
        if not self.complete:
            self._resume_source()

    def stop_collecting(self) -> None:
        """Returns to backpressure: the source is read again once the buffered data was taken."""
        self.collecting = False
        if self.chunks and not self.complete:
            self._pause_source()

    def pause(self) -> None:
        """Stops reading a value that is passed on, until more of it is taken."""
        if self.interruptible:
            self._pause_source()

    def take(self) -> bytes:
        """Removes and returns buffered data, about CHUNK_SIZE bytes at most.

        Resumes the source if the value is incomplete and nothing is buffered any more.
        """
        if not self.started:
            self.started = True
            self.observer.stream_started()
        parts, size = [], 0
        while self.chunks and size < CHUNK_SIZE:
            parts.append(self.chunks.popleft())
            size += len(parts[-1])
        self.buffered -= size
        if not self.complete and not self.chunks:
            self._resume_source()
        return b"".join(parts)

    def _pause_source(self) -> None:
        self.progress.pause()
        self.source.pause()

    def _resume_source(self) -> None:
        self.progress.resume(asyncio.get_running_loop().time())
        self.source.resume()
