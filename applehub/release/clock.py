"""The clock by which a release measures its waits, and what makes two of its readings comparable.

Every wait is a span of CLOCK_BOOTTIME: it never steps, and it runs on while the machine is suspended, as the
list service's clock does. Its zero is the start of the machine, so a reading means something to a later
process only within the same start and the same time namespace (time_namespaces(7)); `SystemClock.identity`
names both.
"""

import time
from pathlib import Path
from typing import Protocol

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
TIME_NAMESPACE = Path("/proc/self/ns/time")


class Clock(Protocol):
    """Seconds that never step, beside Unix time for people and for records of versions before."""

    @property
    def identity(self) -> str:
        """Equal for two clocks whose readings may be compared; empty: comparable with none."""

    def now(self) -> float:
        """Seconds since some moment; never steps."""

    def unix_time(self) -> float:
        """Seconds since 1970 as the machine has them; may step either way at any moment."""


class SystemClock:
    """The machine's own clocks."""

    def __init__(self) -> None:
        """Reads the machine's identity once."""
        self.identity = _identity()

    def now(self) -> float:
        """Seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_time(self) -> float:
        """Seconds since 1970; not for spans."""
        return time.time()


class ScaledClock:
    """Another clock, whose seconds pass `factor` times as fast."""

    def __init__(self, clock: Clock, factor: float) -> None:
        """factor: scaled seconds in a second of the clock."""
        self._clock, self._factor = clock, factor
        self.identity = clock.identity and f"{clock.identity} times {factor:g}"

    def now(self) -> float:
        """Scaled seconds."""
        return self._clock.now() * self._factor

    def unix_time(self) -> float:
        """Unscaled."""
        return self._clock.unix_time()


def _identity() -> str:
    """The boot id with the time namespace; empty where the system does not give them."""
    try:
        return f"{BOOT_ID.read_text().strip()} {TIME_NAMESPACE.readlink()}"
    except OSError:
        return ""
