"""Simulated time in integer nanoseconds, with a heap of scheduled callbacks."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MILLI = 1_000_000
SECOND = 1_000_000_000


class Clock:
    """Runs callbacks in order of time; those of equal time run in the order in which they were scheduled."""

    __slots__ = ("_heap", "_sequence", "now")

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._sequence = 0

    def at(self, time: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedules a callback at a time, in ns; a time in the past means the current time."""
        self._sequence += 1
        heappush(self._heap, (time, self._sequence, callback, argument))

    def after(self, delay: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedules a callback `delay` ns from now."""
        self.at(self.now + delay, callback, argument)

    def run(self, until: int) -> int:
        """Runs all callbacks due by a time, and advances to it; returns how many ran."""
        heap, events_run = self._heap, 0
        while heap and heap[0][0] <= until:
            time, _, callback, argument = heappop(heap)
            if time > self.now:
                self.now = time
            callback(argument)
            events_run += 1
        self.now = max(self.now, until)
        return events_run
