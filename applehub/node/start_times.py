"""Converts the start times of cache servers from Unix time, as listed, to this process's monotonic clock.

Wall clocks, on this and on other machines, may be stepped by seconds or by an hour; the monotonic clock is
not. A start is therefore converted once, when it is first listed, with the readings of both clocks at that
time. The result is limited by two bounds that do not depend on a wall clock:

- it is not later than now;
- it is later than the last response of discovery that did not contain the start.

The second bound is unknown for the first response of discovery and for a list from the configuration or from
disk. The starts in these depend on the wall clock alone. A start in the future, which shows that the clocks
disagree, counts as now, so that the server goes through slow start. A start in the past is accepted;
otherwise every restart of a router would put all servers into slow start.

The result is therefore the latest time that the start may have, since discovery learns of a start late: a
response may lack one that has happened. Connections that were opened after a restart belong to the new
process, so they are judged by the earliest time instead.
"""

from collections.abc import Container
from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
MAX_LIST_DELAY = 15 * NS_PER_S  # ns after a start for which responses of discovery may still lack it
MAX_CLOCK_SKEW = 100 * NS_PER_MS  # ns by which the wall clocks of two machines differ unless one was stepped
MAX_UNLISTED = 4_096  # maximum number of recorded starts of unlisted servers, which may be listed again


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A simultaneous reading of both clocks of this machine (ns)."""

    monotonic: int
    wall: int


@dataclass(frozen=True, slots=True)
class Start:
    """The latest start of a server.

    boot_ms: as listed (Unix time, ms). since: as converted (ns on the monotonic clock); 0 if it was long ago.
    earliest: the earliest time that it may have (ns on the monotonic clock); 0 if that is unknown.
    """

    boot_ms: int
    since: int
    earliest: int


LONG_AGO = Start(0, 0, 0)


class StartTimes:
    """The latest start of each server. A start that is listed again keeps its converted time."""

    def __init__(self) -> None:
        self._starts: dict[str, Start] = {}
        self._confirmed: int | None = None  # last response of discovery (ns on the monotonic clock)

    def convert(self, name: str, boot_ms: int, now: ClockReading) -> Start:
        """Returns the start of a server.

        boot_ms: the start as listed (Unix time, ms); 0 or less if it was long ago.
        """
        if boot_ms <= 0:
            return LONG_AGO
        start = self._starts.get(name)
        if start is not None and start.boot_ms == boot_ms:
            return start
        by_wall_clock = now.monotonic - (now.wall - boot_ms * NS_PER_MS)
        # A later start with an earlier Unix time shows that a clock was stepped; it counts as now.
        clock_stepped_back = start is not None and boot_ms < start.boot_ms
        since = now.monotonic if clock_stepped_back else self._latest(by_wall_clock, now)
        clocks_agree = by_wall_clock <= now.monotonic + MAX_CLOCK_SKEW and not clock_stepped_back
        earliest = self._earliest(min(by_wall_clock, now.monotonic) if clocks_agree else 0)
        self._starts[name] = Start(boot_ms, since, earliest)
        return self._starts[name]

    def _latest(self, by_wall_clock: int, now: ClockReading) -> int:
        # The last response did not contain this start, so it counts as later than that by at least 1 ns.
        lower_bound = 1 if self._confirmed is None else self._confirmed + 1
        return max(lower_bound, min(by_wall_clock, now.monotonic))

    def _earliest(self, by_wall_clock: int) -> int:
        """Returns the earliest time of a start, which a stepped clock moves by MAX_LIST_DELAY at most.

        by_wall_clock: the start according to the wall clocks; 0 if they disagree.
        """
        lower_bound = 0 if self._confirmed is None else self._confirmed - MAX_LIST_DELAY
        return max(0, lower_bound, by_wall_clock)

    def confirm(self, now: ClockReading) -> None:
        """Records a response of discovery: starts that are first listed by a later response are later."""
        self._confirmed = now.monotonic

    def forget_unlisted(self, listed: Container[str], count: int) -> None:
        """Limits the recorded starts of servers that are no longer listed; removes the oldest first.

        count: number of listed servers.
        """
        if len(self._starts) <= count + MAX_UNLISTED:
            return
        unlisted = [name for name in self._starts if name not in listed]
        for name in unlisted[: -MAX_UNLISTED // 2]:  # removes half at once, so that this loop seldom runs
            del self._starts[name]
