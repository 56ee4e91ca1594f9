"""Measures whether a peer that has begun a value goes on sending it."""

import math

# Bytes of a long value that count as progress. A server that sends a byte now and then makes none.
MIN_PROGRESS = 512
MIN_CLIENT_PROGRESS = 64  # bytes of a client's value, which may be short, that count as progress


class ProgressMeter:
    """Tells since when a peer has made no progress. All times are seconds on the event loop's clock.

    The time in which the peer is not read does not count, because its bytes may wait in the kernel.
    """

    __slots__ = ("_min_progress", "_progress_at", "_received", "paused")

    def __init__(self, now: float, min_progress: int = MIN_PROGRESS) -> None:
        """min_progress: bytes that count as progress."""
        self._progress_at, self._received, self._min_progress = now, 0, min_progress
        self.paused = False  # whether the peer is not read at present

    def received(self, size: int, now: float) -> bool:
        """Records received bytes; returns whether they complete some progress."""
        self._received += size
        if self._received < self._min_progress:
            return False
        self._progress_at, self._received = now, 0
        return True

    def pause(self) -> None:
        """Records that the peer is not read until `resume`."""
        self.paused = True

    def resume(self, now: float) -> None:
        """Records that the peer is read; has no effect unless it was paused."""
        if self.paused:
            self._progress_at, self.paused = now, False

    def stalled_at(self, timeout: float) -> float:
        """Returns the time at which the peer has made no progress for `timeout`; infinite while paused."""
        return math.inf if self.paused else self._progress_at + timeout
