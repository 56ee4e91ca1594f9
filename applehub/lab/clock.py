"""Simulated time: integer nanoseconds and a heap of what is due."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MILLI = 1_000_000
SECOND = 1_000_000_000


class Clock:
    """Plays callbacks in the order of their times; those of one time as they were asked for."""

    __slots__ = ("_count", "_heap", "now")

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._count = 0

    def at(self, time: int, call: Callable[[Any], None], argument: Any = None) -> None:
        """Calls at a time, ns; one that has passed counts as now."""
        self._count += 1
        heappush(self._heap, (time, self._count, call, argument))

    def after(self, delay: int, call: Callable[[Any], None], argument: Any = None) -> None:
        self.at(self.now + delay, call, argument)

    def run(self, until: int) -> int:
        """Plays all that is due by a time; gives the number of calls."""
        heap, played = self._heap, 0
        while heap and heap[0][0] <= until:
            time, _, call, argument = heappop(heap)
            if time > self.now:
                self.now = time
            call(argument)
            played += 1
        self.now = max(self.now, until)
        return played
