"""The Raft consensus algorithm (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
2014; leases after Ongaro's thesis, 6.4.1) as a pure state machine.

The state machine does no I/O and reads neither clocks nor random numbers: each event provides the time
(nanoseconds of a monotonic clock, which is not comparable between machines) and the random numbers. Handling
an event returns an ordered list of actions. The host must delay all actions after a Save until that Save is
on disk; several Saves may be synced together. Hence the entries of a leader are on its disk before they are
sent, and the leader counts itself among the replicas that have stored them.

If the disk refuses a Save, the host drops the messages after it, and the replica neither leads, votes nor
acknowledges entries until a Save of its complete state succeeds. Meanwhile the replica keeps received entries
in memory and applies those that a majority of the group has on disk, so that it can serve routers.

A leader holds its lease while the latest responses of a majority are so recent that no replica of that
majority votes for another candidate yet. A leader without a lease neither serves nor acknowledges."""

from dataclasses import dataclass

from applehub.registry.actions import (
    Action,
    Compact,
    Event,
    MessageReceived,
    Propose,
    Save,
    Send,
    StorageFailed,
    StorageRetried,
    Tick,
)
from applehub.registry.election import Election
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Message,
    RequestVote,
    RequestVoteResponse,
)


@dataclass(slots=True)
class Replica(Election):
    """One replica, which handles events and returns actions."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handles an event and returns the resulting actions in order.

        now: time of the event, in nanoseconds of the monotonic clock of this replica."""
        self.now = max(self.now, now)
        if isinstance(event, StorageFailed):
            self.storage_failed = True
            self._become_follower(self.term, None)
            return []
        actions: list[Action] = []
        if isinstance(event, StorageRetried):
            self.storage_failed = False
            self._save(actions, self.snapshot.last_index + 1, self.log, self.snapshot)
        elif self.storage_failed:
            return self._handle_unsaved(event)
        else:
            self._handle_stored(event, actions)
        return actions

    def _handle_stored(self, event: Event, actions: list[Action]) -> None:
        match event:
            case Tick():
                self._tick(event.jitter, actions)
            case MessageReceived():
                self._receive(event.sender, event.message, actions)
            case Propose():
                self._propose(event.commands, actions)
            case Compact():
                self._compact(event, actions)

    def _handle_unsaved(self, event: Event) -> list[Action]:
        """Handles an event while the disk refuses writes; sends neither votes nor acknowledgements.

        Entries that a leader reports as committed are on disk at a majority, so they are applied."""
        actions: list[Action] = []
        match event:
            case MessageReceived(sender, AppendEntries() | InstallSnapshot() as message):
                self._receive(sender, message, actions)
            case Propose():
                self._propose(event.commands, actions)
            case Compact():
                self._compact(event, actions)
        return [action for action in actions if not isinstance(action, Save | Send)]

    def _receive(self, sender: int, message: Message, actions: list[Action]) -> None:
        match message:
            case RequestVote():
                self._receive_vote_request(sender, message, actions)
            case RequestVoteResponse():
                self._receive_vote_response(sender, message, actions)
            case AppendEntries() | InstallSnapshot():
                self._receive_from_leader(sender, message, actions)
            case AppendEntriesResponse():
                self._receive_entries_response(sender, message, actions)
