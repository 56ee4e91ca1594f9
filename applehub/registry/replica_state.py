"""The state of one replica, and values derived from the state: last index, majority, lease."""

from dataclasses import dataclass, field
from enum import StrEnum

from applehub.registry.actions import Action, Save, StoredState
from applehub.registry.messages import NO_SNAPSHOT, LogEntry, Snapshot

MILLI = 1_000_000  # nanoseconds per millisecond


class Role(StrEnum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Time spans in nanoseconds.

    A follower becomes a candidate after `election` to 2 * `election` without contact to a leader. A follower
    grants no vote within `election` after such contact. `election` - `lease` must exceed the clock drift."""

    heartbeat: int = 50 * MILLI
    election: int = 500 * MILLI
    lease: int = 400 * MILLI
    batch: int = 256  # maximum number of entries in one message


@dataclass(slots=True)
class FollowerProgress:
    """The replication progress of a follower, as the leader knows it."""

    next_index: int  # index of the next entry to send
    match_index: int = 0  # index up to which the follower has stored the log of the leader
    acknowledged_at: int = 0  # send time of the latest message that the follower has answered
    sent_at: int = 0  # time of the last message to the follower


@dataclass(slots=True)
class ReplicaState:
    """The state of one replica of a fixed group. Times are in nanoseconds of its monotonic clock."""

    replica_id: int
    members: tuple[int, ...]  # ids of all replicas, including this one
    timing: Timing
    now: int  # time of the latest event
    stored: StoredState = field(default_factory=StoredState)  # loaded from disk; empty after the start
    role: Role = Role.FOLLOWER
    term: int = 0
    voted_for: int | None = None
    snapshot: Snapshot = NO_SNAPSHOT
    log: tuple[LogEntry, ...] = ()  # entries after the snapshot
    commit_index: int = 0
    last_applied: int = 0  # index of the last entry returned in an Apply action
    leader: int | None = None
    leader_contact: int = 0  # time of the last message from a leader, or of the start of this replica
    election_due: int = 0  # time at which this replica starts a pre-vote
    votes: frozenset[int] = frozenset()  # replicas that voted for this candidate
    pre_vote: bool = False  # whether a candidate is in the pre-vote phase
    leader_since: int = 0  # time at which this replica became the leader
    progress: dict[int, FollowerProgress] = field(
        default_factory=dict
    )  # progress by follower; empty unless leader
    storage_failed: bool = False  # the disk refused the last Save, so memory and disk may differ

    def __post_init__(self) -> None:
        """Restores the stored state.

        A restarted replica does not know whether a leader holds a lease. The start therefore counts as
        contact with a leader, and the replica grants no vote before the election timeout."""
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
        """Index of the last log entry."""
        return self.snapshot.last_index + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last log entry."""
        return self.log[-1].term if self.log else self.snapshot.last_term

    @property
    def majority(self) -> int:
        """The number of replicas that form a majority of the group."""
        return len(self.members) // 2 + 1

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the entry is not in the log or was compacted."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        if self.snapshot.last_index < index <= self.last_index:
            return self.log[index - self.snapshot.last_index - 1].term
        return None

    def lease_until(self) -> int:
        """Returns the end of the lease, in nanoseconds of the local clock; 0 if there is no lease."""
        if self.role is not Role.LEADER:
            return 0
        acknowledged_times = sorted(
            (progress.acknowledged_at for progress in self.progress.values()), reverse=True
        )
        required = self.majority - 1  # followers, in addition to the leader itself
        lease_start = acknowledged_times[required - 1] if required else self.now
        return lease_start + self.timing.lease if lease_start else 0

    def is_lease_holder(self, now: int) -> bool:
        """Returns whether the replica is the leader, holds its lease, and has committed an entry of its term.

        The commit index then covers all commands that earlier leaders acknowledged."""
        return self.lease_until() > now and self.term_at(self.commit_index) == self.term

    def _save(
        self,
        actions: list[Action],
        start: int,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Adds a Save of term, vote, the entries from `start` on, and the snapshot if any."""
        actions.append(Save(self.term, self.voted_for, start, entries, snapshot))

    def _save_vote(self, actions: list[Action]) -> None:
        """Adds a Save of term and vote only."""
        self._save(actions, self.last_index + 1)

    def _become_follower(self, term: int, leader: int | None) -> None:
        """Becomes a follower in a term; clears the vote if the term is new."""
        if term > self.term:
            self.term = term
            self.voted_for = None
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = frozenset()
        self.progress = {}
