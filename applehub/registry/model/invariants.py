"""What must hold in every state: one leader a term, one lease holder at a time, one log that all apply."""

from applehub.registry.actions import Apply, Restore
from applehub.registry.messages import LogEntry
from applehub.registry.model.state import State, fold
from applehub.registry.replica import Replica
from applehub.registry.replica_state import Role


class InvariantError(AssertionError):
    """A property that must hold does not."""


def check_replica(state: State, replica_id: int) -> None:
    """What must hold whenever a replica has handled an event. Raises InvariantError."""
    replica = state.replicas[replica_id]
    if replica.role is Role.LEADER:
        if state.leaders.setdefault(replica.term, replica_id) != replica_id:
            raise InvariantError(f"two leaders in term {replica.term}")
        _check_leader_has_committed(state, replica)
    check_leases(state)


def _check_leader_has_committed(state: State, leader: Replica) -> None:
    for number, (entry, term) in enumerate(zip(state.committed, state.commit_terms, strict=True)):
        if term > leader.term:  # a leader of before, which has not heard of its successor yet
            continue
        offset = number - leader.snapshot.last_index
        if offset >= 0 and (offset >= len(leader.log) or leader.log[offset] != entry):
            raise InvariantError(f"the leader of term {leader.term} lacks what was committed at {number + 1}")


def check_leases(state: State) -> None:
    """One lease holder at a time. Raises InvariantError."""
    holders = [one.replica_id for one in state.replicas if one.is_lease_holder(state.now)]
    if len(holders) > 1:
        raise InvariantError(f"replicas {holders} hold leases at the same time")


def record_applied(state: State, replica_id: int, action: Apply) -> None:
    """A host applies an entry: the next one, and the same as all others. Raises InvariantError."""
    entry = LogEntry(action.term, action.command)
    if action.log_index <= len(state.committed):
        if state.committed[action.log_index - 1] != entry:
            raise InvariantError(f"two replicas applied different commands at index {action.log_index}")
    elif action.log_index == len(state.committed) + 1:
        state.committed = (*state.committed, entry)
        state.commit_terms = (*state.commit_terms, state.replicas[replica_id].term)
    else:
        raise InvariantError("an index was left out")
    if action.log_index != state.applied[replica_id] + 1:
        raise InvariantError(f"index {action.log_index} applied after {state.applied[replica_id]}")
    state.applied[replica_id] = action.log_index


def record_restored(state: State, replica_id: int, action: Restore) -> None:
    """A host takes up a snapshot: of what was committed, and not behind what it has. Raises
    InvariantError."""
    snapshot = action.snapshot
    if snapshot.last_index < state.applied[replica_id]:
        raise InvariantError("a snapshot that goes back")
    state.applied[replica_id] = snapshot.last_index
    if snapshot.data != fold(state.committed[: snapshot.last_index]):
        raise InvariantError("a snapshot that is not what was committed")
