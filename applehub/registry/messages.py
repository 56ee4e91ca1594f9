"""The Raft messages between replicas, named as in the paper (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014)."""

from typing import NamedTuple


class LogEntry(NamedTuple):
    """A log entry: the term in which it was proposed, and the command (empty for a no-op)."""

    term: int
    command: bytes


class Snapshot(NamedTuple):
    """The state of the state machine after all log entries up to an index."""

    last_index: int
    last_term: int  # term of the entry at that index
    data: bytes


NO_SNAPSHOT = Snapshot(0, 0, b"")


class RequestVote(NamedTuple):
    """A request of a candidate for a vote.

    With `pre_vote`, the candidate only asks whether the vote would be granted (Ongaro's thesis, 9.6), so that
    a replica that was partitioned does not depose a working leader with its higher term."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class RequestVoteResponse(NamedTuple):
    """The response to RequestVote."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """The entries after `prev_index` and the commit index of a leader; a heartbeat if there are no entries.

    sent_at: time on the leader's clock, which the response repeats."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: int


class AppendEntriesResponse(NamedTuple):
    """The response to AppendEntries or InstallSnapshot.

    match_index: the index up to which the logs match; without success, the `prev_index` to try next."""

    term: int
    success: bool
    match_index: int
    sent_at: int


class InstallSnapshot(NamedTuple):
    """The snapshot of a leader, for a follower that lacks entries already compacted by the leader."""

    term: int
    snapshot: Snapshot
    sent_at: int


Message = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
