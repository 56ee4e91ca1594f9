"""State transitions: how hosts execute actions, and the steps that both models have in common."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from functools import partial

from applehub.registry.actions import (
    Action,
    Apply,
    Compact,
    Event,
    MessageReceived,
    Propose,
    Restore,
    Save,
    Send,
    StorageFailed,
    StorageRetried,
    StoredState,
    Tick,
)
from applehub.registry.model.invariants import check_leases, check_replica, record_applied, record_restored
from applehub.registry.model.state import GROUP, TIME_HORIZON, TIMING, Bounds, Envelope, State, snapshot_data
from applehub.registry.replica import Replica
from applehub.registry.replica_state import Role

Step = tuple[str, Callable[[State], None]]  # name of the step and its state transition


class Model(ABC):
    """A group of replicas of one class, and the steps that are possible within the bounds."""

    def __init__(self, replica_class: type[Replica], bounds: Bounds, delays_until_sync: bool = True) -> None:
        """delays_until_sync: whether hosts delay the actions after a Save until it is on disk."""
        self.replica_class = replica_class
        self.bounds = bounds
        self.delays_until_sync = delays_until_sync

    @abstractmethod
    def steps(self, state: State) -> Iterator[Step]:
        """Yields all possible next steps."""

    def empty_group(self) -> State:
        """Returns the state of a new group without stored data."""
        disks = [StoredState() for _ in GROUP]
        replicas = [
            self.replica_class(replica_id, GROUP, TIMING, 0, replace(disks[replica_id]))
            for replica_id in GROUP
        ]
        return State(replicas, disks, [() for _ in GROUP])

    # Behaviour of hosts

    def handle(self, state: State, replica_id: int, event: Event) -> None:
        """Passes an event to a replica; the resulting actions wait for the sync of its disk."""
        actions = tuple(state.replicas[replica_id].handle(state.now, event))
        check_replica(state, replica_id)
        unsynced = (*state.unsynced[replica_id], *actions)
        if not self.delays_until_sync:
            state.unsynced[replica_id] = tuple(action for action in unsynced if isinstance(action, Save))
            self.execute(state, replica_id, [action for action in unsynced if not isinstance(action, Save)])
            return
        state.unsynced[replica_id] = unsynced
        if not any(isinstance(action, Save) for action in unsynced):
            self.sync(state, replica_id)

    def sync(self, state: State, replica_id: int) -> None:
        """Syncs the disk of a replica and executes its waiting actions, or handles refused writes."""
        actions = state.unsynced[replica_id]
        state.unsynced[replica_id] = ()
        if replica_id in state.refusing and any(isinstance(action, Save) for action in actions):
            self.refuse_save(state, replica_id, actions)
        else:
            self.execute(state, replica_id, actions)

    def refuse_save(self, state: State, replica_id: int, actions: Sequence[Action]) -> None:
        """Handles refused writes: the host drops the messages but applies committed entries."""
        kinds = (Save, Apply, Restore) if state.refusing[replica_id] else (Apply, Restore)
        self.execute(state, replica_id, [action for action in actions if isinstance(action, kinds)])
        self.handle(state, replica_id, StorageFailed())

    def execute(self, state: State, replica_id: int, actions: Sequence[Action]) -> None:
        """Executes the actions of a replica in order."""
        for action in actions:
            match action:
                case Save():
                    _write(state.disks[replica_id], action)
                case Send():
                    state.messages = (*state.messages, (replica_id, action.receiver, action.message))
                case Apply():
                    record_applied(state, replica_id, action)
                case Restore():
                    record_restored(state, replica_id, action)

    # Steps

    def restart(self, state: State, replica_id: int) -> None:
        """Restarts a replica, which loses unsynced actions and its memory."""
        state.unsynced[replica_id] = ()
        state.restarts += 1
        disk = state.disks[replica_id]
        state.applied[replica_id] = disk.snapshot.last_index
        state.replicas[replica_id] = self.replica_class(replica_id, GROUP, TIMING, state.now, replace(disk))

    def compact(self, state: State, replica_id: int) -> None:
        """Compacts the log of a replica up to the last applied entry."""
        index = state.applied[replica_id]
        self.handle(state, replica_id, Compact(index, snapshot_data(state.committed[:index])))

    def propose(self, state: State, replica_id: int) -> None:
        """Proposes a new command to a replica."""
        state.proposals += 1
        self.handle(state, replica_id, Propose((b"p%d" % state.proposals,)))

    def wait(self, state: State) -> None:
        """Advances the time beyond every lease and timeout, without ticks."""
        state.now += TIME_HORIZON
        check_leases(state)

    def time_out(self, state: State, replica_id: int) -> None:
        """Advances the time to the election timeout of a replica."""
        state.now = max(state.now, state.replicas[replica_id].election_due)
        self.handle(state, replica_id, Tick(0.0))

    def send_heartbeat(self, state: State, replica_id: int) -> None:
        """Makes a leader send heartbeats; the time does not advance."""
        self.handle(state, replica_id, Tick(0.0))

    def deliver(self, state: State, envelope: Envelope, duplicate: bool = False) -> None:
        """Delivers a message; with `duplicate`, it stays in flight and may be delivered again."""
        if not duplicate:
            state.remove_message(envelope)
        sender, receiver, message = envelope
        self.handle(state, receiver, MessageReceived(sender, message))

    def refuse(self, state: State, replica_id: int, written: bool) -> None:
        """Makes a disk refuse writes; with `written`, refused writes are stored anyway."""
        state.refusals += 1
        state.refusing[replica_id] = written

    def accept(self, state: State, replica_id: int) -> None:
        """Makes a disk accept writes again."""
        del state.refusing[replica_id]

    def retry_storage(self, state: State, replica_id: int) -> None:
        """Makes the host of a replica write to its disk again after a refused write."""
        self.handle(state, replica_id, StorageRetried())

    def disk_steps(self, state: State, replica_id: int) -> Iterator[Step]:
        """Yields the steps that start or end the refusal of writes, or retry a write."""
        if replica_id in state.refusing:
            yield f"accept {replica_id}", partial(self.accept, replica_id=replica_id)
        elif state.refusals < self.bounds.refusals:
            yield f"refuse {replica_id}", partial(self.refuse, replica_id=replica_id, written=False)
            yield f"refuse {replica_id}, written", partial(self.refuse, replica_id=replica_id, written=True)
        if state.replicas[replica_id].storage_failed:
            yield f"retry {replica_id}", partial(self.retry_storage, replica_id=replica_id)

    def common_steps(self, state: State) -> Iterator[Step]:
        """Yields the steps that involve a single replica."""
        for replica_id in GROUP:
            replica = state.replicas[replica_id]
            yield from self.disk_steps(state, replica_id)
            if state.restarts < self.bounds.restarts:
                yield f"restart {replica_id}", partial(self.restart, replica_id=replica_id)
            if replica.role is Role.LEADER and state.proposals < self.bounds.proposals:
                yield f"propose {replica_id}", partial(self.propose, replica_id=replica_id)
            if state.applied[replica_id] > replica.snapshot.last_index + 1:
                yield f"compact {replica_id}", partial(self.compact, replica_id=replica_id)


def _write(disk: StoredState, save: Save) -> None:
    disk.term = save.term
    disk.voted_for = save.voted_for
    if save.snapshot is not None:
        disk.snapshot = save.snapshot
        disk.log = save.entries
    else:
        disk.log = (*disk.log[: save.start - disk.snapshot.last_index - 1], *save.entries)
