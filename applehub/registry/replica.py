"""Agreement of the replicas on one log: Raft (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014; leases after Ongaro's thesis, 6.4.1), as a pure state machine.

No I/O, no clock, no source of random numbers: time comes with each event (ns of a monotonic clock that may
not be compared with another machine's), and so do random numbers. What comes out is a list of actions in
order. The host must hold back everything that follows a Save until that Save is on disk; several may be
synced at once. So a leader's own log is on disk before any other replica has an entry of it, and it may count
itself among those that have stored it.

A disk may refuse a Save. Then the host drops the messages that follow it (the network may lose messages at
any time), and the replica leads, votes and acknowledges no more. It goes on taking up what a leader sends, in
memory alone, so that it can serve what a majority of the others has on disk, until a Save of its whole state
succeeds.

The lease holder is the leader for as long as a majority has answered it so lately that none of them votes
for another yet. Past its lease a leader neither serves nor acknowledges."""

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
    """One replica: takes events, gives actions."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes an event at a time (ns of the own clock); gives what is to be done, in order."""
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
        """Takes an event while the disk takes nothing: votes for none, acknowledges nothing, leads nobody.
        What a leader says is committed is on the disks of a majority of the others, so it may be applied."""
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
