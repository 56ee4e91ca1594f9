"""When cache servers started, on this process's monotonic clock; the list of servers tells it in Unix time.

Wall clocks may be stepped, by seconds or by an hour, here and at other machines; the monotonic clock runs on.
So a start is reckoned once, when it comes to light, with both clocks as they stand then, and is bound by what
this process knows without any wall clock:

- it is not later than now;
- it is later than the last answer of the list service that did not tell of it.

The first answer has none before it, and a list that the process was handed at its start (from its
configuration or from disk) is of unknown age. For these the wall clock alone is there. A start in its future
proves that clocks disagree and counts as now, which is the careful side: the server is taken as cold. A start
in its past is believed: to doubt each would take the whole fleet as cold at every restart of a router.
"""

from collections.abc import Container
from dataclasses import dataclass

NS_PER_MS = 1_000_000
MAX_UNLISTED = 4_096  # starts remembered of servers that are listed no more: they may be listed again


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks of this machine, read together (ns)."""

    monotonic: int
    wall: int


@dataclass(frozen=True, slots=True)
class Start:
    """A start as it was told (Unix time, ms), and as it was reckoned (ns on the monotonic clock)."""

    boot_ms: int
    since: int


class StartTimes:
    """The latest start of each server. The same start keeps its time over later lists."""

    def __init__(self) -> None:
        self._starts: dict[str, Start] = {}
        self._confirmed: int | None = None  # when the list service last answered (ns on the monotonic clock)

    def since(self, name: str, boot_ms: int, now: ClockReading) -> int:
        """When a server started (ns on the monotonic clock); 0 for long ago.

        boot_ms: the start in Unix time, as the list tells it; 0 or less for long ago.
        """
        if boot_ms <= 0:
            return 0
        start = self._starts.get(name)
        if start is not None and start.boot_ms == boot_ms:
            return start.since
        # A later start that is told to be the earlier one proves that a clock was stepped: it counts as now.
        went_back = start is not None and boot_ms < start.boot_ms
        since = now.monotonic if went_back else self._reckon(boot_ms, now)
        self._starts[name] = Start(boot_ms, since)
        return since

    def _reckon(self, boot_ms: int, now: ClockReading) -> int:
        by_wall_clock = now.monotonic - (now.wall - boot_ms * NS_PER_MS)
        # An earlier start of the same server came to light with an answer before: this one is later by 1 ns.
        earliest = 1 if self._confirmed is None else self._confirmed + 1
        return max(earliest, min(by_wall_clock, now.monotonic))

    def confirm(self, now: ClockReading) -> None:
        """Notes that the list service has just answered: later starts are later than this."""
        self._confirmed = now.monotonic

    def forget_unlisted(self, listed: Container[str], count: int) -> None:
        """Bounds what is remembered of servers that are listed no more; the longest remembered go first.

        count: how many servers are listed.
        """
        if len(self._starts) <= count + MAX_UNLISTED:
            return
        unlisted = [name for name in self._starts if name not in listed]
        for name in unlisted[: -MAX_UNLISTED // 2]:  # half at once, so that this is seldom done
            del self._starts[name]
