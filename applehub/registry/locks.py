"""Who may act for all, one at a time: a named lock with a lease and a number that only grows (a fencing
number, by which whoever is told to act knows an older holder from the one of now).

Holder and number are agreed on by the replicas. Renewals are known to the primary alone, as with the leases
of servers; one that becomes primary gives each holder a whole lease anew. Pure: times are handed in."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

MILLI = 1_000_000


class Lock(NamedTuple):
    """What the replicas agree on."""

    holder: str  # none: nobody holds it
    fence: int  # of this holder; never used twice
    lease_ms: int


def taken(before: Lock | None, told: dict[str, Any]) -> Lock | None:
    """The lock after a command that was agreed on; none: it has changed since the command was made."""
    if (before.fence if before is not None else 0) != told["expected"]:
        return None
    # A list made anew after a total loss begins at the wall clock's seconds, past what agents remember.
    fence = before.fence + 1 if before is not None else max(1, told.get("base", 1))
    return Lock(told["holder"], fence, told["lease_ms"])


@dataclass(slots=True)
class Holds:
    """The primary's view of who holds what, ns of its monotonic clock."""

    renewed: dict[str, int] = field(default_factory=dict)
    began: int = 0

    def begin(self, now: int) -> None:
        """This replica is primary from now on."""
        self.renewed, self.began = {}, now

    def renew(self, now: int, name: str) -> None:
        self.renewed[name] = now

    def left(self, now: int, name: str, lock: Lock | None) -> int:
        """For how long it is still held, ns; 0: anybody may take it."""
        if lock is None or not lock.holder:
            return 0
        since = max(self.renewed.get(name, 0), self.began)
        return max(0, since + lock.lease_ms * MILLI - now)
