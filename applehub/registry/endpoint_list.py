"""The list as a state machine: commands in, versions out. The same commands in the same order give the same
list on every replica; no clock and no chance comes in but by a command.

A version counts every change, never goes back and is never used twice. A fresh list begins at a number that
grows with the wall clock (of its first command), so that a list made anew after a total loss does not look
older than what routers remember."""

from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

import orjson

from applehub.registry.commands import (
    Command,
    EndpointFields,
    PutServer,
    RemoveSuspects,
    ServerState,
    SetLock,
    SetState,
    SetSuspect,
    decode,
)
from applehub.registry.locks import Lock, next_lock

BASE_STEP = 1 << 20  # versions to a second of the wall clock, for a fresh list's first


@dataclass(slots=True)
class ServerEntry:
    """A server as writers gave it. state, version and suspect are the service's own."""

    uid: str
    fields: EndpointFields
    endpoints: dict[str, str]  # by view, where that is not the endpoint that all are given
    lease_ms: int  # 0: it stays until it is taken out
    state: ServerState = ServerState.READY
    version: int = 0  # of its latest change
    suspect: bool = False  # its lease has run out; still listed as it was

    def target(self, view: str) -> dict[str, str | int | float]:
        """As the protocol's list has it, for a caller of a view."""
        target = {"uid": self.uid, "state": self.state, **self.fields}
        if view in self.endpoints:
            target["endpoint"] = self.endpoints[view]
        return target


class CommandResult(NamedTuple):
    """What became of a command. status: 200 done or already so, 404 no such server, 409 another version."""

    status: HTTPStatus
    list_version: int
    entry_version: int  # 0 where there is no entry


class Change(NamedTuple):
    """One version: which server changed."""

    version: int
    uid: str


class ListUpdate(NamedTuple):
    """What a caller is to be sent: the complete list, or what is newer than the version that it has."""

    complete: bool
    entries: list[ServerEntry]


@dataclass(slots=True)
class EndpointList:
    """All entries and the latest changes."""

    max_changes: int  # a caller that is further behind gets the complete list
    version: int = 0
    entries: dict[str, ServerEntry] = field(default_factory=dict)
    changes: deque[Change] = field(default_factory=deque)
    dropped_version: int = 0  # up to which changes are no longer there
    locks: dict[str, Lock] = field(default_factory=dict)

    def apply(self, data: bytes) -> CommandResult:
        """Carries out a command that was agreed on; b"" is none. Raises CommandError."""
        command = decode(data)
        match command:
            case PutServer():
                return self._put(command)
            case SetState():
                return self._set_state(command)
            case SetLock():
                return self._set_lock(command)
            case SetSuspect():
                self._set_suspect(command)
            case RemoveSuspects():
                self._remove_suspects(command)
        return self._done(0)

    def _done(self, entry_version: int) -> CommandResult:
        return CommandResult(HTTPStatus.OK, self.version, entry_version)

    def _conflict(self, entry: ServerEntry | None, expected: int | None) -> CommandResult | None:
        """The answer to a command that expects another version of the entry; none: it may be carried out."""
        version = entry.version if entry is not None else 0
        if expected is None or expected == version:
            return None
        return CommandResult(HTTPStatus.CONFLICT, self.version, version)

    def _put(self, command: PutServer) -> CommandResult:
        """Registers a server, or what is new of it. The same again changes nothing."""
        before = self.entries.get(command.uid)
        entry = ServerEntry(command.uid, command.fields, command.endpoints, command.lease_ms, command.state)
        if before is not None and _same_content(before, entry):
            before.suspect = False
            return self._done(before.version)
        if (conflict := self._conflict(before, command.expected)) is not None:
            return conflict
        self.entries[entry.uid] = entry
        self._record_change(entry, entry.state, command)
        return self._done(entry.version)

    def _set_state(self, command: SetState) -> CommandResult:
        entry = self.entries.get(command.uid)
        if entry is None:
            return CommandResult(HTTPStatus.NOT_FOUND, self.version, 0)
        if entry.state == command.state:
            return self._done(entry.version)
        if (conflict := self._conflict(entry, command.expected)) is not None:
            return conflict
        self._record_change(entry, command.state, command)
        return self._done(entry.version)

    def _set_lock(self, command: SetLock) -> CommandResult:
        """Another holder, or none. No version of the list: routers are notified of servers alone."""
        before = self.locks.get(command.name)
        lock = next_lock(before, command)
        if lock is None:
            return CommandResult(HTTPStatus.CONFLICT, self.version, before.fence if before else 0)
        self.locks[command.name] = lock
        return self._done(lock.fence)

    def _set_suspect(self, command: SetSuspect) -> None:
        for uid in command.uids:
            if uid in self.entries:
                self.entries[uid].suspect = command.on

    def _remove_suspects(self, command: RemoveSuspects) -> None:
        for uid in command.uids:
            entry = self.entries.get(uid)
            if entry is not None and entry.suspect and entry.state is not ServerState.GONE:
                self._record_change(entry, ServerState.GONE, command)

    def _record_change(self, entry: ServerEntry, state: ServerState, command: Command) -> None:
        """Gives an entry its new state, and the list its next version."""
        base = command.base if isinstance(command, PutServer | SetState) else 1
        self.version = self.version + 1 if self.version else max(1, base)
        entry.state = state
        entry.version = self.version
        entry.suspect = False
        self.changes.append(Change(self.version, entry.uid))
        while len(self.changes) > self.max_changes:
            dropped = self.changes.popleft()
            self.dropped_version = dropped.version
            last = self.entries.get(dropped.uid)
            if last is not None and last.state is ServerState.GONE and last.version == dropped.version:
                del self.entries[dropped.uid]  # all that could ask for it get the complete list

    def since(self, version: int | None) -> ListUpdate:
        """What a caller that has a version (none: nothing) is to be sent."""
        unknown = version is None or version < self.dropped_version or version > self.version
        if version is None or unknown or not self.version:
            present = [entry for entry in self.entries.values() if entry.state is not ServerState.GONE]
            return ListUpdate(True, present)
        changed: dict[str, None] = {}  # in order, the latest change first
        for change in reversed(self.changes):
            if change.version <= version:
                break
            changed[change.uid] = None
        return ListUpdate(False, [self.entries[uid] for uid in reversed(changed) if uid in self.entries])

    def snapshot(self) -> bytes:
        """All of it, for `restored`."""
        entries = [
            [one.uid, one.fields, one.endpoints, one.lease_ms, one.state, one.version, one.suspect]
            for one in self.entries.values()
        ]
        return orjson.dumps(
            {
                "version": self.version, "forgotten": self.dropped_version, "entries": entries,
                "changes": [tuple(one) for one in self.changes],
                "locks": {name: tuple(one) for name, one in self.locks.items()},
            }
        )  # fmt: skip

    @classmethod
    def restored(cls, max_changes: int, data: bytes) -> "EndpointList":
        """The list of a snapshot; b"": an empty one."""
        if not data:
            return cls(max_changes)
        content = orjson.loads(data)
        entries = {}
        for uid, entry_fields, endpoints, lease_ms, state, version, suspect in content["entries"]:
            entries[uid] = ServerEntry(
                uid, entry_fields, endpoints, lease_ms, ServerState(state), version, suspect
            )
        changes = deque(Change(*one) for one in content["changes"])
        locks = {name: Lock(*one) for name, one in content.get("locks", {}).items()}  # none in older ones
        return cls(max_changes, content["version"], entries, changes, content["forgotten"], locks)


def _same_content(one: ServerEntry, other: ServerEntry) -> bool:
    """Whether writers gave the same of a server."""
    content = (one.fields, one.endpoints, one.lease_ms, one.state)
    return content == (other.fields, other.endpoints, other.lease_ms, other.state)
