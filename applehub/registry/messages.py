"""What replicas send each other: Raft's messages, with the names of its paper (Ongaro and Ousterhout, "In
Search of an Understandable Consensus Algorithm", 2014)."""

from typing import NamedTuple


class LogEntry(NamedTuple):
    """An entry of the log: the term in which it was proposed, and the command (empty: none)."""

    term: int
    command: bytes


class Snapshot(NamedTuple):
    """The state machine's state after all entries up to an index of the log."""

    last_index: int
    last_term: int  # of the entry at that index
    data: bytes


NO_SNAPSHOT = Snapshot(0, 0, b"")


class RequestVote(NamedTuple):
    """A candidate asks for a vote.

    With `pre_vote` it asks whether it would get one (Ongaro's thesis, 9.6): so a replica that was cut off
    does not come back with a term that unseats a leader whom all others hear."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class RequestVoteResponse(NamedTuple):
    """The answer to RequestVote."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """A leader sends entries that follow an index, and its commit index; none: a heartbeat.

    `sent_at` is the leader's own clock, which the response returns."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: int


class AppendEntriesResponse(NamedTuple):
    """The answer to AppendEntries or InstallSnapshot.

    `match_index`: up to where the logs agree; without success, where the leader may try next."""

    term: int
    success: bool
    match_index: int
    sent_at: int


class InstallSnapshot(NamedTuple):
    """A leader sends its snapshot to a follower that needs entries which its log no longer has."""

    term: int
    snapshot: Snapshot
    sent_at: int


Message = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
