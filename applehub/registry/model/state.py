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
TIME_HORIZON = 2 * TIMING.election + 1  # time differences beyond it are equivalent
Envelope = tuple[int, int, Message]  # sender, receiver, message


@dataclass(slots=True)
class Bounds:
    """The bounds that make the state space finite."""

    terms: int = 4
    proposals: int = 2
    messages: int = 3  # messages in flight at the same time
    delayed: int = 1  # messages delayed at the same time, in the coarse model
    restarts: int = 2
    refusals: int = 0  # number of times that a disk starts to refuse writes


@dataclass(slots=True)
class State:
    """All replicas, disks and messages, and the history of leaders and committed entries."""

    replicas: list[Replica]
    disks: list[StoredState]
    unsynced: list[tuple[Action, ...]]  # actions that wait for a sync, by replica
    applied: list[int] = field(default_factory=lambda: [0, 0, 0])  # index of the last applied entry, by host
    messages: tuple[Envelope, ...] = ()
    now: int = 100
    proposals: int = 0
    restarts: int = 0
    refusals: int = 0
    refusing: dict[int, bool] = field(
        default_factory=dict
    )  # refusing disks, and whether each stores refused writes
    leaders: dict[int, int] = field(default_factory=dict)  # id of the leader by term
    committed: tuple[LogEntry, ...] = ()
    commit_terms: tuple[int, ...] = ()  # term of the replica that first applied each entry
    trace: tuple[str, ...] = ()  # names of the steps from a new group to this state

    def clone(self) -> "State":
        """Returns an independent copy of this state."""
        state = copy.copy(self)
        state.replicas = [_clone_replica(replica) for replica in self.replicas]
        state.disks = [replace(disk) for disk in self.disks]
        state.unsynced = list(self.unsynced)
        state.applied = list(self.applied)
        state.leaders = dict(self.leaders)
        state.refusing = dict(self.refusing)
        return state

    def key(self) -> object:
        """Returns a key that is equal for equivalent states; its times are relative to `now` and bounded."""
        return (
            tuple(_replica_key(replica, self.now) for replica in self.replicas),
            tuple((disk.term, disk.voted_for, disk.snapshot, disk.log) for disk in self.disks),
            tuple(map(repr, self.unsynced)),
            tuple(self.applied),
            tuple(sorted(map(repr, (_with_relative_time(message, self.now) for message in self.messages)))),
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
        return tuple(envelope for envelope in self.messages if envelope[:2] == (sender, receiver))

    def remove_message(self, envelope: Envelope) -> None:
        """Removes a message in flight."""
        index = self.messages.index(envelope)
        self.messages = self.messages[:index] + self.messages[index + 1 :]


def _clone_replica(replica: Replica) -> Replica:
    clone = copy.copy(replica)
    clone.progress = {follower: copy.copy(progress) for follower, progress in replica.progress.items()}
    return clone


def _relative(time: int, now: int) -> int:
    return max(-TIME_HORIZON, min(TIME_HORIZON, time - now))


def _with_relative_time(envelope: Envelope, now: int) -> Envelope:
    """Returns the envelope with its send time, if any, relative to `now`."""
    sender, receiver, message = envelope
    if isinstance(message, AppendEntries | AppendEntriesResponse | InstallSnapshot):
        return sender, receiver, message._replace(sent_at=_relative(message.sent_at, now))
    return envelope


def _replica_key(replica: Replica, now: int) -> object:
    progress = tuple(
        (
            follower, follower_progress.next_index, follower_progress.match_index,
            _relative(follower_progress.acknowledged_at, now), _relative(follower_progress.sent_at, now),
        )
        for follower, follower_progress in replica.progress.items()
    )  # fmt: skip
    return (
        replica.role, replica.term, replica.voted_for, replica.snapshot, replica.log, replica.commit_index,
        replica.last_applied, replica.leader, replica.pre_vote, replica.votes,
        _relative(replica.leader_contact, now), _relative(replica.election_due, now),
        _relative(replica.leader_since, now), progress, replica.storage_failed,
    )  # fmt: skip


def snapshot_data(entries: tuple[LogEntry, ...]) -> bytes:
    """Returns the data of a snapshot that covers these entries."""
    return b"|".join(b"%d %s" % (entry.term, entry.command) for entry in entries)
