"""Clocks that measure the durations of a release.

Durations are measured by CLOCK_BOOTTIME, which is monotonic and includes the time in which the machine is
suspended, like the clock by which the list service (endpoint discovery) measures its leases. The clock starts
at 0 when the machine boots, so readings of two processes are comparable only within one boot and one time
namespace (time_namespaces(7)). `Clock.identity` identifies both.
"""

import time
from pathlib import Path
from typing import Protocol

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
TIME_NAMESPACE = Path("/proc/self/ns/time")


class Clock(Protocol):
    """A monotonic clock, and a wall clock for display and for the record format of older versions."""

    @property
    def identity(self) -> str:
        """Identifier, equal for clocks with comparable readings. Empty if no other clock is comparable."""

    def now(self) -> float:
        """Returns monotonic seconds since an unspecified moment."""

    def unix_time(self) -> float:
        """Returns Unix time in seconds, which may step forwards and backwards."""


class SystemClock:
    """The clocks of this machine."""

    def __init__(self) -> None:
        """Reads the identity of the boot and the time namespace."""
        self.identity = _system_clock_identity()

    def now(self) -> float:
        """Returns seconds since the start of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_time(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()


class ScaledClock:
    """A clock that runs `factor` times as fast as another one."""

    def __init__(self, clock: Clock, factor: float) -> None:
        """Wraps `clock`. `factor` is the number of scaled seconds per second of `clock`."""
        self._clock, self._factor = clock, factor
        self.identity = clock.identity and f"{clock.identity} times {factor:g}"

    def now(self) -> float:
        """Returns scaled monotonic seconds."""
        return self._clock.now() * self._factor

    def unix_time(self) -> float:
        """Returns the Unix time of the wrapped clock, which is not scaled."""
        return self._clock.unix_time()


def _system_clock_identity() -> str:
    """Returns the boot id and the time namespace, or an empty string if they are not available."""
    try:
        return f"{BOOT_ID.read_text().strip()} {TIME_NAMESPACE.readlink()}"
    except OSError:
        return ""
