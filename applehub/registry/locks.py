"""Who may act for all, one at a time: a named lock with a lease and a fencing number that only grows, by
which whoever is given orders tells an older holder from the present one.

Holder and number are agreed on by the replicas. Renewals are known to the lease holder of the group alone, as
with the leases of servers; a new one gives each holder a complete lease anew. Pure: times are handed in."""

from dataclasses import dataclass, field
from typing import NamedTuple

from applehub.registry.commands import SetLock

MILLI = 1_000_000  # ns


class Lock(NamedTuple):
    """What the replicas agree on."""

    holder: str  # "": nobody holds it
    fence: int  # of this holder; never used twice
    lease_ms: int


def next_lock(before: Lock | None, command: SetLock) -> Lock | None:
    """The lock after a command that was agreed on; none: it has changed since the command was made."""
    if (before.fence if before is not None else 0) != command.expected:
        return None
    # A list made anew after a total loss begins at the wall clock's seconds, past what agents remember.
    fence = before.fence + 1 if before is not None else max(1, command.base)
    return Lock(command.holder, fence, command.lease_ms)


@dataclass(slots=True)
class LockLeases:
    """When holders renewed their locks, ns of this replica's monotonic clock."""

    renewed_at: dict[str, int] = field(default_factory=dict)
    began_at: int = 0

    def begin(self, now: int) -> None:
        """This replica is the group's lease holder from now on."""
        self.renewed_at = {}
        self.began_at = now

    def renew(self, now: int, name: str) -> None:
        """The holder of a lock has renewed it."""
        self.renewed_at[name] = now

    def remaining(self, now: int, name: str, lock: Lock | None) -> int:
        """For how long it is still held, ns; 0: anybody may take it."""
        if lock is None or not lock.holder:
            return 0
        since = max(self.renewed_at.get(name, 0), self.began_at)
        return max(0, since + lock.lease_ms * MILLI - now)
