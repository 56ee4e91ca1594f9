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
    last_term: int  # of the entry at that index
    data: bytes


NO_SNAPSHOT = Snapshot(0, 0, b"")


class RequestVote(NamedTuple):
    """A candidate requests a vote.

    With `pre_vote` it only asks whether the vote would be granted (Ongaro's thesis, 9.6), so that a replica
    that returns from a network partition does not depose a working leader with its higher term."""

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
    """A leader sends the entries after `prev_index`, and its commit index. Without entries it is a heartbeat.

    sent_at: time on the leader's clock, which the response returns."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: int


class AppendEntriesResponse(NamedTuple):
    """The response to AppendEntries or InstallSnapshot.

    match_index: the index up to which the logs agree; without success, the index that the leader should try
    next."""

    term: int
    success: bool
    match_index: int
    sent_at: int


class InstallSnapshot(NamedTuple):
    """A leader sends its snapshot to a follower that needs entries already removed from the leader's log."""

    term: int
    snapshot: Snapshot
    sent_at: int


Message = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
