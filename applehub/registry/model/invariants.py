"""Invariants of every state: one leader per term, one lease holder at a time, and one committed log."""

from applehub.registry.actions import Apply, Restore
from applehub.registry.messages import LogEntry
from applehub.registry.model.state import State, snapshot_data
from applehub.registry.replica import Replica
from applehub.registry.replica_state import Role


class InvariantError(AssertionError):
    """Raised if an invariant is violated."""


def check_replica(state: State, replica_id: int) -> None:
    """Checks the invariants of a replica after an event. Raises InvariantError."""
    replica = state.replicas[replica_id]
    if replica.role is Role.LEADER:
        if state.leaders.setdefault(replica.term, replica_id) != replica_id:
            raise InvariantError(f"two leaders in term {replica.term}")
        _check_leader_has_committed(state, replica)
    check_leases(state)


def _check_leader_has_committed(state: State, leader: Replica) -> None:
    for position, (entry, term) in enumerate(zip(state.committed, state.commit_terms, strict=True)):
        if term > leader.term:  # the leader was deposed but has not received the newer term
            continue
        offset = position - leader.snapshot.last_index
        if offset >= 0 and (offset >= len(leader.log) or leader.log[offset] != entry):
            raise InvariantError(f"the leader of term {leader.term} lacks the committed entry {position + 1}")


def check_leases(state: State) -> None:
    """Checks that at most one replica holds a lease. Raises InvariantError."""
    holders = [replica.replica_id for replica in state.replicas if replica.is_lease_holder(state.now)]
    if len(holders) > 1:
        raise InvariantError(f"replicas {holders} hold leases at the same time")


def record_applied(state: State, replica_id: int, action: Apply) -> None:
    """Records that a host applies an entry.

    Raises InvariantError if the entry is not the next committed entry."""
    entry = LogEntry(action.term, action.command)
    if action.log_index <= len(state.committed):
        if state.committed[action.log_index - 1] != entry:
            raise InvariantError(f"two replicas applied different commands at index {action.log_index}")
    elif action.log_index == len(state.committed) + 1:
        state.committed = (*state.committed, entry)
        state.commit_terms = (*state.commit_terms, state.replicas[replica_id].term)
    else:
        raise InvariantError("applied index skips an index that no replica has applied")
    if action.log_index != state.applied[replica_id] + 1:
        raise InvariantError(f"index {action.log_index} applied after {state.applied[replica_id]}")
    state.applied[replica_id] = action.log_index


def record_restored(state: State, replica_id: int, action: Restore) -> None:
    """Records that a host installs a snapshot.

    Raises InvariantError if the snapshot differs from the committed log or is older than the host's state."""
    snapshot = action.snapshot
    if snapshot.last_index < state.applied[replica_id]:
        raise InvariantError("installed snapshot is older than the applied state")
    state.applied[replica_id] = snapshot.last_index
    if snapshot.data != snapshot_data(state.committed[: snapshot.last_index]):
        raise InvariantError("installed snapshot differs from the committed log")
