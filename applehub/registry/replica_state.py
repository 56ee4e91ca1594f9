"""The state of one replica and what can be read off it: terms, log, lease."""

from dataclasses import dataclass, field
from enum import StrEnum

from applehub.registry.actions import Action, Save, StoredState
from applehub.registry.messages import NO_SNAPSHOT, LogEntry, Snapshot

MILLI = 1_000_000  # ns


class Role(StrEnum):
    """What a replica is in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Spans in ns. A follower that hears no leader for `election` to twice that long becomes a candidate; it
    votes for none within `election` of hearing from a leader. The lease is shorter than that by what clocks
    may drift apart."""

    heartbeat: int = 50 * MILLI
    election: int = 500 * MILLI
    lease: int = 400 * MILLI
    batch: int = 256  # entries of one message


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of a follower."""

    next_index: int  # of the entry to send next
    match_index: int = 0  # up to where the follower's log is known to agree, on its disk
    acknowledged_at: int = 0  # when the latest message was sent that it has answered in this term
    sent_at: int = 0  # when it was last sent something


@dataclass(slots=True)
class ReplicaState:
    """One replica of a fixed group."""

    replica_id: int
    members: tuple[int, ...]  # ids of the whole group
    timing: Timing
    now: int
    stored: StoredState = field(default_factory=StoredState)
    role: Role = Role.FOLLOWER
    term: int = 0
    voted_for: int | None = None
    snapshot: Snapshot = NO_SNAPSHOT
    log: tuple[LogEntry, ...] = ()  # what follows the snapshot
    commit_index: int = 0
    last_applied: int = 0  # index of the last entry that was handed out to be applied
    leader: int | None = None
    leader_contact: int = 0  # when it last heard from the leader of its term, or started
    election_due: int = 0  # when it becomes a candidate
    votes: frozenset[int] = frozenset()
    pre_vote: bool = False  # as a candidate: it only asks whether it would be elected
    leader_since: int = 0
    progress: dict[int, FollowerProgress] = field(default_factory=dict)  # of the others, as leader
    storage_failed: bool = False  # what is in memory may not be on disk, and the disk takes nothing

    def __post_init__(self) -> None:
        """Takes up what the disk holds. A replica that restarts has forgotten which leader it heard, whose
        lease may still run: so it waits anew before it votes."""
        self.term = self.stored.term
        self.voted_for = self.stored.voted_for
        self.snapshot = self.stored.snapshot
        self.log = self.stored.log
        self.stored = StoredState()
        self.commit_index = self.last_applied = self.snapshot.last_index
        self.leader_contact = self.now
        self.election_due = self.now + 2 * self.timing.election

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self.snapshot.last_index + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last entry of the log."""
        return self.log[-1].term if self.log else self.snapshot.last_term

    @property
    def majority(self) -> int:
        """How many replicas are more than half of the group."""
        return len(self.members) // 2 + 1

    def term_at(self, index: int) -> int | None:
        """The term of an entry; none: the log does not have it (any more)."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        if self.snapshot.last_index < index <= self.last_index:
            return self.log[index - self.snapshot.last_index - 1].term
        return None

    def lease_until(self) -> int:
        """Until when no other replica can become leader, ns of the own clock; 0: it holds no lease."""
        if self.role is not Role.LEADER:
            return 0
        acknowledged = sorted((one.acknowledged_at for one in self.progress.values()), reverse=True)
        needed = self.majority - 1  # beside itself
        since = acknowledged[needed - 1] if needed else self.now
        return since + self.timing.lease if since else 0

    def is_lease_holder(self, now: int) -> bool:
        """Whether it is the leader, holds its lease, and has committed an entry of its own term, so that it
        knows all that any leader before it acknowledged."""
        return self.lease_until() > now and self.term_at(self.commit_index) == self.term

    def _save(
        self,
        actions: list[Action],
        start: int,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Has term, vote and these entries from `start` on written."""
        actions.append(Save(self.term, self.voted_for, start, entries, snapshot))

    def _save_vote(self, actions: list[Action]) -> None:
        """Has term and vote written; the log stays."""
        self._save(actions, self.last_index + 1)

    def _become_follower(self, term: int, leader: int | None) -> None:
        """Takes up a term, which begins without a vote where it is a new one."""
        if term > self.term:
            self.term = term
            self.voted_for = None
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = frozenset()
        self.progress = {}
