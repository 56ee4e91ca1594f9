"""Replicas with deliberate faults, each of which the model checker must detect."""

from typing import NamedTuple

from applehub.registry.actions import Action, Event, MessageReceived, Restore, Save
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    Snapshot,
)
from applehub.registry.replica import Replica


class ForgetsVote(Replica):
    """Stores its term but not its vote."""

    def _save(
        self,
        actions: list[Action],
        start: int,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        actions.append(Save(self.term, None, start, entries, snapshot))


class CommitsStale(Replica):
    """Commits entries of earlier terms by counting replicas."""

    def _advance_commit_index(self, actions: list[Action]) -> None:
        stored_indexes = sorted(
            [self.last_index, *(progress.match_index for progress in self.progress.values())], reverse=True
        )
        index = stored_indexes[self.majority - 1]
        if index > self.commit_index:
            self.commit_index = index
            self._apply_committed(actions)


class InstallsOverNewer(Replica):
    """Installs a snapshot over newer entries."""

    def _install_snapshot(self, message: InstallSnapshot, vote_changed: bool, actions: list[Action]) -> None:
        del vote_changed
        snapshot = message.snapshot
        self.log = ()
        self.snapshot = snapshot
        self.commit_index = self.last_applied = snapshot.last_index
        self._save(actions, snapshot.last_index + 1, self.log, snapshot)
        actions.append(Restore(snapshot))


class OverlongLease(Replica):
    """Starts its lease when a response is received instead of when the message was sent."""

    def _receive_entries_response(
        self, sender: int, response: AppendEntriesResponse, actions: list[Action]
    ) -> None:
        super()._receive_entries_response(sender, response._replace(sent_at=self.now), actions)


class VotesUnsaved(Replica):
    """Grants votes while its disk refuses writes."""

    def _handle_unsaved(self, event: Event) -> list[Action]:
        if isinstance(event, MessageReceived) and isinstance(event.message, RequestVote):
            return _answer_unsaved(self, event)
        return super()._handle_unsaved(event)


class AcknowledgesUnsaved(Replica):
    """Acknowledges entries while its disk refuses writes."""

    def _handle_unsaved(self, event: Event) -> list[Action]:
        if isinstance(event, MessageReceived) and isinstance(event.message, AppendEntries):
            return _answer_unsaved(self, event)
        return super()._handle_unsaved(event)


def _answer_unsaved(replica: Replica, event: MessageReceived) -> list[Action]:
    """Returns the actions with which a replica with a working disk answers, without the Saves."""
    actions: list[Action] = []
    replica._receive(event.sender, event.message, actions)  # noqa: SLF001 (called by subclasses of Replica)
    return [action for action in actions if not isinstance(action, Save)]


class Mutant(NamedTuple):
    """A faulty combination of replica class and host."""

    replica_class: type[Replica]
    delays_until_sync: bool  # whether the host delays the actions after a Save until the Save is on disk


MUTANTS: dict[str, Mutant] = {
    "a vote not stored": Mutant(ForgetsVote, True),
    "an acknowledgement before the sync": Mutant(Replica, False),
    "a stale commit": Mutant(CommitsStale, True),
    "a snapshot over newer entries": Mutant(InstallsOverNewer, True),
    "a lease that outlives its clock": Mutant(OverlongLease, True),
    "a vote that the disk refused": Mutant(VotesUnsaved, True),
    "an acknowledgement that the disk refused": Mutant(AcknowledgesUnsaved, True),
}
