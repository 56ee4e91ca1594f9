"""Which servers' leases have run out, and when not to believe it. Pure: times are ns of one monotonic clock,
handed in.

Renewals are known to the group's lease holder alone; a new one gives each server a complete lease anew. A
lease that has run out makes its server suspect, and after as long again gone.

The brake: when more than a part of all leased servers would be suspect or gone at once, it is more likely the
service that is cut off or stood still; nothing is taken out until enough have renewed again."""

from dataclasses import dataclass, field
from typing import NamedTuple

from applehub.registry.commands import ServerState
from applehub.registry.endpoint_list import ServerEntry

MILLI = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
STALL = SECOND  # ns; a gap between checks over which this process did not run: nobody could renew


class LeaseChanges(NamedTuple):
    """Servers, by id, whose marks are to change."""

    suspect: list[str]
    gone: list[str]
    recovered: list[str]  # suspects that have renewed


@dataclass(slots=True)
class ServerLeases:
    """The leases as the group's lease holder knows them."""

    brake_part: float  # of all leased servers
    brake_least: int  # and at least so many: below, none is too many
    renewed_at: dict[str, int] = field(default_factory=dict)
    checked_at: int = 0
    braked: bool = False

    def begin(self, now: int, entries: dict[str, ServerEntry]) -> None:
        """This replica is the group's lease holder from now on."""
        self.renewed_at = {uid: now for uid, entry in entries.items() if entry.lease_ms}
        self.checked_at = now
        self.braked = False

    def renew(self, now: int, uid: str) -> None:
        """A server has renewed its lease."""
        self.renewed_at[uid] = now

    def check(self, now: int, entries: dict[str, ServerEntry]) -> LeaseChanges:
        """What has to change of the servers' marks."""
        if now - self.checked_at > STALL:
            stalled = now - self.checked_at
            self.renewed_at = {uid: at + stalled for uid, at in self.renewed_at.items()}
        self.checked_at = now
        leased = [one for one in entries.values() if one.lease_ms and one.state is not ServerState.GONE]
        self.renewed_at = {one.uid: self.renewed_at.get(one.uid, now) for one in leased}
        ages = {one.uid: now - self.renewed_at[one.uid] for one in leased}
        late = [one for one in leased if ages[one.uid] > one.lease_ms * MILLI]
        recovered = [one.uid for one in leased if one.suspect and ages[one.uid] <= one.lease_ms * MILLI]
        self.braked = len(late) > max(self.brake_least, self.brake_part * len(leased))
        if self.braked:
            return LeaseChanges([], [], recovered)
        suspect = [one.uid for one in late if not one.suspect]
        gone = [one.uid for one in late if one.suspect and ages[one.uid] > 2 * one.lease_ms * MILLI]
        return LeaseChanges(suspect, gone, recovered)
