"""Named locks with a lease and a fencing number, which increases with each holder so that commands of an
earlier holder can be rejected.

Holder and fencing number are replicated. Only the leader stores renewals, in memory; a new leader grants each
holder a complete lease. This module reads no clock: times are parameters."""

from dataclasses import dataclass, field
from typing import NamedTuple

from applehub.registry.commands import SetLock

MILLI = 1_000_000  # nanoseconds per millisecond


class Lock(NamedTuple):
    """The replicated state of a lock."""

    holder: str  # "" if the lock is free
    fence: int  # fencing number of this holder; never reused
    lease_ms: int


def next_lock(previous: Lock | None, command: SetLock) -> Lock | None:
    """Returns the lock after a committed command, or None if the expected fencing number does not match."""
    if (previous.fence if previous is not None else 0) != command.expected:
        return None
    # After a loss of all replicas, `base` (from the wall clock) exceeds every fencing number used before.
    fence = previous.fence + 1 if previous is not None else max(1, command.base)
    return Lock(command.holder, fence, command.lease_ms)


@dataclass(slots=True)
class LockLeases:
    """The times of the last renewals, in nanoseconds of the monotonic clock of this replica."""

    renewed_at: dict[str, int] = field(default_factory=dict)
    reset_at: int = 0  # start of every lease without a later renewal

    def reset(self, now: int) -> None:
        """Discards all renewals and starts complete leases; called when this replica becomes the leader."""
        self.renewed_at = {}
        self.reset_at = now

    def renew(self, now: int, name: str) -> None:
        """Records a renewal of a lock."""
        self.renewed_at[name] = now

    def remaining(self, now: int, name: str, lock: Lock | None) -> int:
        """Returns the remaining lease of a lock, in nanoseconds; 0 if the lock can be acquired."""
        if lock is None or not lock.holder:
            return 0
        lease_start = max(self.renewed_at.get(name, 0), self.reset_at)
        return max(0, lease_start + lock.lease_ms * MILLI - now)
