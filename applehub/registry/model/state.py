"""The state of the model: replicas, disks, messages in flight, and the history that invariants need."""

import copy
from dataclasses import dataclass, field, replace

from applehub.registry.actions import Action, StoredState
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
)
from applehub.registry.replica import Replica
from applehub.registry.replica_state import Timing

GROUP = (0, 1, 2)
TIMING = Timing(heartbeat=0, election=10, lease=8, batch=1)
TIME_HORIZON = 2 * TIMING.election + 1  # older times are equivalent
Envelope = tuple[int, int, Message]  # sender, receiver, message


@dataclass(slots=True)
class Bounds:
    """The bounds that make the state space finite."""

    terms: int = 4
    proposals: int = 2
    messages: int = 3  # in flight at the same time
    delayed: int = 1  # coarse model: delayed at the same time
    restarts: int = 2
    refusals: int = 0  # number of times that a disk starts to refuse writes


@dataclass(slots=True)
class State:
    """All replicas, disks and messages, and the history of leaders and committed entries."""

    replicas: list[Replica]
    disks: list[StoredState]
    unsynced: list[tuple[Action, ...]]  # actions that wait for a sync, by replica
    applied: list[int] = field(default_factory=lambda: [0, 0, 0])  # last index by host
    messages: tuple[Envelope, ...] = ()
    now: int = 100
    proposals: int = 0
    restarts: int = 0
    refusals: int = 0
    refusing: dict[int, bool] = field(default_factory=dict)  # whether refused writes are stored, by disk
    leaders: dict[int, int] = field(default_factory=dict)  # replica by term
    committed: tuple[LogEntry, ...] = ()
    commit_terms: tuple[int, ...] = ()  # term of the replica that first applied each entry
    trace: tuple[str, ...] = ()

    def clone(self) -> "State":
        """Returns an independent copy of this state."""
        one = copy.copy(self)
        one.replicas = [_clone_replica(replica) for replica in self.replicas]
        one.disks = [replace(disk) for disk in self.disks]
        one.unsynced = list(self.unsynced)
        one.applied = list(self.applied)
        one.leaders = dict(self.leaders)
        one.refusing = dict(self.refusing)
        return one

    def key(self) -> object:
        """Returns a key that is equal for equivalent states; times in it are relative to now and bounded."""
        return (
            tuple(_replica_key(replica, self.now) for replica in self.replicas),
            tuple((one.term, one.voted_for, one.snapshot, one.log) for one in self.disks),
            tuple(map(repr, self.unsynced)),
            tuple(self.applied),
            tuple(sorted(map(repr, (_without_time(one, self.now) for one in self.messages)))),
            self.proposals,
            self.restarts,
            self.refusals,
            tuple(sorted(self.refusing.items())),
            tuple(sorted(self.leaders.items())),
            self.committed,
            self.commit_terms,
        )

    def messages_between(self, sender: int, receiver: int) -> tuple[Envelope, ...]:
        """Returns the messages in flight from one replica to another."""
        return tuple(one for one in self.messages if one[:2] == (sender, receiver))

    def remove_message(self, envelope: Envelope) -> None:
        """Removes a message in flight."""
        at = self.messages.index(envelope)
        self.messages = self.messages[:at] + self.messages[at + 1 :]


def _clone_replica(replica: Replica) -> Replica:
    one = copy.copy(replica)
    one.progress = {follower: copy.copy(progress) for follower, progress in replica.progress.items()}
    return one


def _relative(at: int, now: int) -> int:
    return max(-TIME_HORIZON, min(TIME_HORIZON, at - now))


def _without_time(envelope: Envelope, now: int) -> Envelope:
    """Returns the envelope with times relative to now."""
    sender, receiver, message = envelope
    if isinstance(message, AppendEntries | AppendEntriesResponse | InstallSnapshot):
        return sender, receiver, message._replace(sent_at=_relative(message.sent_at, now))
    return envelope


def _replica_key(one: Replica, now: int) -> object:
    progress = tuple(
        (
            follower, follower_progress.next_index, follower_progress.match_index,
            _relative(follower_progress.acknowledged_at, now), _relative(follower_progress.sent_at, now),
        )
        for follower, follower_progress in one.progress.items()
    )  # fmt: skip
    return (
        one.role, one.term, one.voted_for, one.snapshot, one.log, one.commit_index, one.last_applied,
        one.leader, one.pre_vote, one.votes, _relative(one.leader_contact, now),
        _relative(one.election_due, now), _relative(one.leader_since, now), progress, one.storage_failed,
    )  # fmt: skip


def snapshot_data(entries: tuple[LogEntry, ...]) -> bytes:
    """Returns the snapshot data after these entries."""
    return b"|".join(b"%d %s" % (entry.term, entry.command) for entry in entries)
