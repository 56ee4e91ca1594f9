"""Admission of calls for complete lists, which are the dear ones: evenly, so many a second."""

from collections.abc import Callable
from typing import NamedTuple


class Admitted(NamedTuple):
    """How long a call has to wait, s; or, where that is too long, after how many it may come again."""

    wait: float
    retry_after: float  # 0: it is admitted


class Admission:
    """Gives each call the next free slot."""

    def __init__(self, per_second: float, patience: float, now: Callable[[], float]) -> None:
        """patience: s that a call waits at most. now: a monotonic clock, s."""
        self.interval = 1 / per_second
        self.patience = patience
        self.now = now
        self.free_at = 0.0

    def admit(self) -> Admitted:
        """Takes a slot, unless the wait for it would be too long."""
        wait = max(0.0, self.free_at - self.now())
        if wait > self.patience:
            return Admitted(0.0, wait)
        self.free_at = max(self.free_at, self.now()) + self.interval
        return Admitted(wait, 0.0)
