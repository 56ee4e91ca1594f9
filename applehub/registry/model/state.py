"""The states of the model: replicas, disks, messages on their way, and what an observer remembers."""

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
LONG_AGO = 2 * TIMING.election + 1  # past that, how long ago something was makes no difference
Envelope = tuple[int, int, Message]  # sender, receiver, message


@dataclass(slots=True)
class Bounds:
    """What keeps the model finite."""

    terms: int = 4
    proposals: int = 2
    messages: int = 3  # on their way at once
    delayed: int = 1  # coarse: delayed at once
    restarts: int = 2
    refusals: int = 0  # times that a disk begins to refuse writes


@dataclass(slots=True)
class State:
    """All replicas, disks and messages, and what an observer remembers."""

    replicas: list[Replica]
    disks: list[StoredState]
    unsynced: list[tuple[Action, ...]]  # what waits for a sync, by replica
    applied: list[int] = field(default_factory=lambda: [0, 0, 0])  # index that each host has applied
    messages: tuple[Envelope, ...] = ()
    now: int = 100
    proposals: int = 0
    restarts: int = 0
    refusals: int = 0
    refusing: dict[int, bool] = field(default_factory=dict)  # disks, and whether a refused write is there
    leaders: dict[int, int] = field(default_factory=dict)  # by term
    committed: tuple[LogEntry, ...] = ()
    commit_terms: tuple[int, ...] = ()  # of the leader that first committed each entry
    trace: tuple[str, ...] = ()

    def clone(self) -> "State":
        """A state that may be changed without changing this one."""
        one = copy.copy(self)
        one.replicas = [_clone_replica(replica) for replica in self.replicas]
        one.disks = [replace(disk) for disk in self.disks]
        one.unsynced = list(self.unsynced)
        one.applied = list(self.applied)
        one.leaders = dict(self.leaders)
        one.refusing = dict(self.refusing)
        return one

    def key(self) -> object:
        """Equal for states that behave alike: times count from now, and only as far as they matter."""
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

    def between(self, sender: int, receiver: int) -> tuple[Envelope, ...]:
        """The messages on their way from one replica to another."""
        return tuple(one for one in self.messages if one[:2] == (sender, receiver))

    def take(self, envelope: Envelope) -> None:
        """Takes a message off its way."""
        at = self.messages.index(envelope)
        self.messages = self.messages[:at] + self.messages[at + 1 :]


def _clone_replica(replica: Replica) -> Replica:
    one = copy.copy(replica)
    one.progress = {follower: copy.copy(progress) for follower, progress in replica.progress.items()}
    return one


def _relative(then: int, now: int) -> int:
    return max(-LONG_AGO, min(LONG_AGO, then - now))


def _without_time(envelope: Envelope, now: int) -> Envelope:
    """The message with its time counted from now."""
    sender, receiver, message = envelope
    if isinstance(message, AppendEntries | AppendEntriesResponse | InstallSnapshot):
        return sender, receiver, message._replace(sent_at=_relative(message.sent_at, now))
    return envelope


def _replica_key(one: Replica, now: int) -> object:
    progress = tuple(
        (
            follower, known.next_index, known.match_index,
            _relative(known.acknowledged_at, now), _relative(known.sent_at, now),
        )
        for follower, known in one.progress.items()
    )  # fmt: skip
    return (
        one.role, one.term, one.voted_for, one.snapshot, one.log, one.commit_index, one.last_applied,
        one.leader, one.pre_vote, one.votes, _relative(one.leader_contact, now),
        _relative(one.election_due, now), _relative(one.leader_since, now), progress, one.storage_failed,
    )  # fmt: skip


def fold(entries: tuple[LogEntry, ...]) -> bytes:
    """The snapshot's data after these entries."""
    return b"|".join(b"%d %s" % (entry.term, entry.command) for entry in entries)
