"""Expiry of server leases. This module reads no clock: times are parameters, in nanoseconds of one monotonic
clock.

Only the leader stores renewals, in memory; a new leader grants each server a complete lease. A server whose
lease has expired becomes suspect, and is removed after another lease period.

Expiry is paused while too large a fraction of the leases has expired, because a partition or stall of the
list service itself is then the more likely cause. Expiry resumes once enough servers have renewed."""

from dataclasses import dataclass, field
from typing import NamedTuple

from applehub.registry.commands import ServerState
from applehub.registry.endpoint_list import ServerEntry

MILLI = 1_000_000  # nanoseconds per millisecond
SECOND = 1_000_000_000  # nanoseconds per second
STALL_THRESHOLD = SECOND  # nanoseconds; a longer gap between checks means that this process was stalled


class LeaseChanges(NamedTuple):
    """The ids of the servers to mark, to remove and to clear."""

    suspect: list[str]  # servers whose lease has expired
    gone: list[str]  # suspect servers to remove
    recovered: list[str]  # suspect servers that have renewed


@dataclass(slots=True)
class ServerLeases:
    """The server leases that the leader tracks."""

    pause_fraction: float  # expiry is paused above this fraction of the leased servers
    pause_minimum: int  # number of expired leases up to which expiry is never paused
    renewed_at: dict[str, int] = field(default_factory=dict)  # time of the last renewal by server id
    checked_at: int = 0  # time of the last check
    expiry_paused: bool = False

    def reset(self, now: int, entries: dict[str, ServerEntry]) -> None:
        """Grants each server a complete lease; called when this replica becomes the leader."""
        self.renewed_at = {uid: now for uid, entry in entries.items() if entry.lease_ms}
        self.checked_at = now
        self.expiry_paused = False

    def renew(self, now: int, uid: str) -> None:
        """Records a renewal by a server."""
        self.renewed_at[uid] = now

    def check(self, now: int, entries: dict[str, ServerEntry]) -> LeaseChanges:
        """Returns the servers that become suspect, are removed, or have recovered."""
        if now - self.checked_at > STALL_THRESHOLD:
            stall_duration = now - self.checked_at
            self.renewed_at = {uid: time + stall_duration for uid, time in self.renewed_at.items()}
        self.checked_at = now
        leased = [
            entry for entry in entries.values() if entry.lease_ms and entry.state is not ServerState.GONE
        ]
        self.renewed_at = {entry.uid: self.renewed_at.get(entry.uid, now) for entry in leased}
        ages = {entry.uid: now - self.renewed_at[entry.uid] for entry in leased}
        expired = [entry for entry in leased if ages[entry.uid] > entry.lease_ms * MILLI]
        recovered = [
            entry.uid for entry in leased if entry.suspect and ages[entry.uid] <= entry.lease_ms * MILLI
        ]
        self.expiry_paused = len(expired) > max(self.pause_minimum, self.pause_fraction * len(leased))
        if self.expiry_paused:
            return LeaseChanges([], [], recovered)
        suspect = [entry.uid for entry in expired if not entry.suspect]
        gone = [
            entry.uid for entry in expired if entry.suspect and ages[entry.uid] > 2 * entry.lease_ms * MILLI
        ]
        return LeaseChanges(suspect, gone, recovered)
