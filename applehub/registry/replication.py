"""Log replication: AppendEntries, InstallSnapshot, the commit index and compaction."""

from dataclasses import dataclass

from applehub.registry.actions import Action, Apply, Compact, Proposed, Restore, Send
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Snapshot,
)
from applehub.registry.replica_state import ReplicaState, Role


@dataclass(slots=True)
class Replication(ReplicaState):
    """A replica that replicates the log."""

    # As leader

    def _propose(self, commands: tuple[bytes, ...], actions: list[Action]) -> None:
        if self.role is not Role.LEADER:
            actions.append(Proposed(0, self.term))
            return
        first_index = self.last_index + 1
        entries = tuple(LogEntry(self.term, command) for command in commands)
        self.log = (*self.log, *entries)
        actions.append(Proposed(first_index, self.term))
        self._save(actions, first_index, entries)
        for follower in self.progress:
            self._send_entries(follower, actions)
        self._advance_commit_index(actions)  # a single replica commits without responses

    def _send_entries(self, follower: int, actions: list[Action]) -> None:
        """Sends the entries that a follower lacks, or else a heartbeat."""
        progress = self.progress[follower]
        progress.sent_at = self.now
        prev_index = progress.next_index - 1
        prev_term = self.term_at(prev_index)
        if prev_term is None:
            actions.append(Send(follower, InstallSnapshot(self.term, self.snapshot, self.now)))
            return
        offset = prev_index - self.snapshot.last_index
        entries = self.log[offset : offset + self.timing.batch]
        message = AppendEntries(self.term, prev_index, prev_term, entries, self.commit_index, self.now)
        actions.append(Send(follower, message))
        progress.next_index += len(entries)  # assumes success; a response without success reduces the index

    def _advance_commit_index(self, actions: list[Action]) -> None:
        """Commits the entries that a majority has stored, if the last one is of this term (Raft, 5.4.2)."""
        stored_indexes = sorted(
            [self.last_index, *(progress.match_index for progress in self.progress.values())], reverse=True
        )
        index = stored_indexes[self.majority - 1]
        if index > self.commit_index and self.term_at(index) == self.term:
            self.commit_index = index
            self._apply_committed(actions)
            for (
                follower
            ) in self.progress:  # followers serve routers, so they receive the commit index at once
                self._send_entries(follower, actions)

    def _apply_committed(self, actions: list[Action]) -> None:
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            entry = self.log[self.last_applied - self.snapshot.last_index - 1]
            actions.append(Apply(self.last_applied, entry.term, entry.command))

    def _receive_entries_response(
        self, sender: int, response: AppendEntriesResponse, actions: list[Action]
    ) -> None:
        if response.term > self.term:
            self._become_follower(response.term, None)
            self._save_vote(actions)
            return
        if self.role is not Role.LEADER or response.term < self.term:
            return
        progress = self.progress[sender]
        progress.acknowledged_at = max(progress.acknowledged_at, response.sent_at)
        if response.success:
            progress.match_index = max(progress.match_index, response.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit_index(actions)
            if progress.next_index <= self.last_index:
                self._send_entries(sender, actions)
        elif response.match_index + 1 < progress.next_index:
            progress.next_index = max(response.match_index, progress.match_index) + 1
            self._send_entries(sender, actions)

    # As follower

    def _receive_from_leader(
        self, sender: int, message: AppendEntries | InstallSnapshot, actions: list[Action]
    ) -> None:
        if message.term < self.term:
            actions.append(Send(sender, AppendEntriesResponse(self.term, False, 0, message.sent_at)))
            return
        previous = (self.term, self.voted_for)
        self._become_follower(message.term, sender)
        self.leader_contact = self.now
        self.election_due = self.now + 2 * self.timing.election
        vote_changed = previous != (self.term, self.voted_for)
        if isinstance(message, InstallSnapshot):
            self._install_snapshot(message, vote_changed, actions)
            response = AppendEntriesResponse(self.term, True, self.commit_index, message.sent_at)
        else:
            response = self._receive_entries(message, vote_changed, actions)
        actions.append(Send(sender, response))

    def _receive_entries(
        self, message: AppendEntries, vote_changed: bool, actions: list[Action]
    ) -> AppendEntriesResponse:
        """Appends the entries of a message and returns the response.

        vote_changed: whether term or vote changed, so that they are saved even without new entries."""
        if (
            message.prev_index < self.snapshot.last_index
        ):  # the entries up to the snapshot are committed, hence equal
            skip = self.snapshot.last_index - message.prev_index
            message = message._replace(
                prev_index=self.snapshot.last_index,
                prev_term=self.snapshot.last_term,
                entries=message.entries[skip:],
            )
        if self.term_at(message.prev_index) != message.prev_term:
            if vote_changed:
                self._save_vote(actions)
            hint_index = max(min(self.last_index, message.prev_index - 1), self.commit_index)
            return AppendEntriesResponse(self.term, False, hint_index, message.sent_at)
        self._append(message, vote_changed, actions)
        match_index = message.prev_index + len(message.entries)
        commit_index = min(message.commit_index, match_index)
        if commit_index > self.commit_index:
            self.commit_index = commit_index
            self._apply_committed(actions)
        return AppendEntriesResponse(self.term, True, match_index, message.sent_at)

    def _append(self, message: AppendEntries, vote_changed: bool, actions: list[Action]) -> None:
        """Replaces the log from the first conflicting entry on.

        Matching entries stay, because a delayed message may contain fewer entries than the log."""
        index = message.prev_index
        entries = message.entries
        while entries and self.term_at(index + 1) == entries[0].term:
            index += 1
            entries = entries[1:]
        if entries:
            self.log = (*self.log[: index - self.snapshot.last_index], *entries)
            self._save(actions, index + 1, entries)
        elif vote_changed:
            self._save_vote(actions)

    def _install_snapshot(self, message: InstallSnapshot, vote_changed: bool, actions: list[Action]) -> None:
        snapshot = message.snapshot
        if snapshot.last_index <= self.commit_index:
            if vote_changed:
                self._save_vote(actions)
            return
        # Entries after the snapshot remain in the log if the log matches the snapshot.
        matches_snapshot = self.term_at(snapshot.last_index) == snapshot.last_term
        self.log = self.log[snapshot.last_index - self.snapshot.last_index :] if matches_snapshot else ()
        self.snapshot = snapshot
        self.commit_index = self.last_applied = snapshot.last_index
        self._save(actions, snapshot.last_index + 1, self.log, snapshot)
        actions.append(Restore(snapshot))

    # In any role

    def _compact(self, event: Compact, actions: list[Action]) -> None:
        """Replaces the log up to `last_index` of the event by a snapshot of the host.

        The index may be below `last_applied`, because the host may not have executed all Apply actions."""
        term = self.term_at(event.last_index)
        if term is None or not self.snapshot.last_index < event.last_index <= self.last_applied:
            return
        self.log = self.log[event.last_index - self.snapshot.last_index :]
        self.snapshot = Snapshot(event.last_index, term, event.data)
        self._save(actions, event.last_index + 1, self.log, self.snapshot)
