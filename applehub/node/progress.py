"""Measures whether a peer that has begun a long value goes on sending it."""

import math

# Bytes that count as progress. A peer that sends a byte now and then makes none.
MIN_PROGRESS = 512


class ProgressMeter:
    """Tells since when a peer has made no progress. All times are seconds on the event loop's clock.

    The time in which the peer is not read does not count, because its bytes may wait in the kernel.
    """

    __slots__ = ("_progress_at", "_received", "paused")

    def __init__(self, now: float) -> None:
        self._progress_at, self._received = now, 0
        self.paused = False  # whether the peer is not read at present

    def received(self, size: int, now: float) -> None:
        """Records received bytes."""
        self._received += size
        if self._received >= MIN_PROGRESS:
            self._progress_at, self._received = now, 0

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
