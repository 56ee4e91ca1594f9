"""The endpoint list as a deterministic state machine: the same commands in the same order give the same list
on every replica. It reads neither clocks nor random numbers.

The version increases with every change and is never reused. The first version of a new list is derived from
the wall clock, so that a list recreated after a loss of all replicas has higher versions."""

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

VERSIONS_PER_SECOND = 1 << 20  # factor from the Unix time in seconds to the first version of a list


@dataclass(slots=True)
class ServerEntry:
    """A server in the list. `version` and `suspect` are set by the list, all other fields by writers."""

    uid: str
    fields: EndpointFields
    endpoints: dict[str, str]  # endpoint by view, for views that do not use the default endpoint
    lease_ms: int  # 0: the entry never expires
    state: ServerState = ServerState.READY
    version: int = 0  # list version of the latest change of this entry
    suspect: bool = False  # whether the lease has expired; the state does not change yet

    def target(self, view: str) -> dict[str, str | int | float]:
        """Returns the entry as it appears in a response to a router with this view."""
        target = {"uid": self.uid, "state": self.state, **self.fields}
        if view in self.endpoints:
            target["endpoint"] = self.endpoints[view]
        return target


class CommandResult(NamedTuple):
    """The result of a command.

    status: 200 if the command was applied or changes nothing, 404 for an unknown server, 409 for a conflict.
    """

    status: HTTPStatus
    list_version: int
    entry_version: int  # version of the entry, or fencing number of the lock; 0 if there is none


class Change(NamedTuple):
    """A list version and the id of the server that changed in it."""

    version: int
    uid: str


class ListUpdate(NamedTuple):
    """The entries to send to a router: the complete list, or the changes since the version that it has."""

    complete: bool
    entries: list[ServerEntry]


@dataclass(slots=True)
class EndpointList:
    """All entries, the latest changes, and the locks."""

    max_changes: int  # retained changes; a router that lacks more gets the complete list
    version: int = 0
    entries: dict[str, ServerEntry] = field(default_factory=dict)
    changes: deque[Change] = field(default_factory=deque)
    dropped_version: int = 0  # changes up to this version are discarded
    locks: dict[str, Lock] = field(default_factory=dict)

    def apply(self, data: bytes) -> CommandResult:
        """Applies a committed command; b"" is a no-op. Raises CommandError."""
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
        """Returns a conflict if the entry has another version than expected, else None."""
        version = entry.version if entry is not None else 0
        if expected is None or expected == version:
            return None
        return CommandResult(HTTPStatus.CONFLICT, self.version, version)

    def _put(self, command: PutServer) -> CommandResult:
        """Registers or updates a server. An identical command changes nothing."""
        previous = self.entries.get(command.uid)
        entry = ServerEntry(command.uid, command.fields, command.endpoints, command.lease_ms, command.state)
        if previous is not None and _same_content(previous, entry):
            previous.suspect = False
            return self._done(previous.version)
        if (conflict := self._conflict(previous, command.expected)) is not None:
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
        """Changes the holder of a lock. The list version stays, because routers do not receive locks."""
        previous = self.locks.get(command.name)
        lock = next_lock(previous, command)
        if lock is None:
            return CommandResult(HTTPStatus.CONFLICT, self.version, previous.fence if previous else 0)
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
        """Sets the state of an entry and increments the list version."""
        base = command.base if isinstance(command, PutServer | SetState) else 1
        self.version = self.version + 1 if self.version else max(1, base)
        entry.state = state
        entry.version = self.version
        entry.suspect = False
        self.changes.append(Change(self.version, entry.uid))
        while len(self.changes) > self.max_changes:
            dropped = self.changes.popleft()
            self.dropped_version = dropped.version
            gone = self.entries.get(dropped.uid)
            if gone is not None and gone.state is ServerState.GONE and gone.version == dropped.version:
                del self.entries[dropped.uid]  # routers with earlier versions get the complete list

    def since(self, version: int | None) -> ListUpdate:
        """Returns the entries to send to a router.

        version: the version that the router has, or None if it has no list yet."""
        unknown = version is None or version < self.dropped_version or version > self.version
        if version is None or unknown or not self.version:
            present = [entry for entry in self.entries.values() if entry.state is not ServerState.GONE]
            return ListUpdate(True, present)
        changed: dict[str, None] = {}  # used as an ordered set, latest change first
        for change in reversed(self.changes):
            if change.version <= version:
                break
            changed[change.uid] = None
        return ListUpdate(False, [self.entries[uid] for uid in reversed(changed) if uid in self.entries])

    def snapshot(self) -> bytes:
        """Returns the encoded list, which `from_snapshot` decodes."""
        entries = [
            [
                entry.uid,
                entry.fields,
                entry.endpoints,
                entry.lease_ms,
                entry.state,
                entry.version,
                entry.suspect,
            ]
            for entry in self.entries.values()
        ]
        return orjson.dumps(
            {
                "version": self.version, "forgotten": self.dropped_version, "entries": entries,
                "changes": [tuple(change) for change in self.changes],
                "locks": {name: tuple(lock) for name, lock in self.locks.items()},
            }
        )  # fmt: skip

    @classmethod
    def from_snapshot(cls, max_changes: int, data: bytes) -> "EndpointList":
        """Decodes the list from a snapshot; returns an empty list for b""."""
        if not data:
            return cls(max_changes)
        content = orjson.loads(data)
        entries = {}
        for uid, entry_fields, endpoints, lease_ms, state, version, suspect in content["entries"]:
            entries[uid] = ServerEntry(
                uid, entry_fields, endpoints, lease_ms, ServerState(state), version, suspect
            )
        changes = deque(Change(*change) for change in content["changes"])
        # Snapshots by earlier releases have no locks.
        locks = {name: Lock(*lock) for name, lock in content.get("locks", {}).items()}
        return cls(max_changes, content["version"], entries, changes, content["forgotten"], locks)


def _same_content(entry: ServerEntry, other: ServerEntry) -> bool:
    """Returns whether two entries have the same content, except `version` and `suspect`."""
    content = (entry.fields, entry.endpoints, entry.lease_ms, entry.state)
    return content == (other.fields, other.endpoints, other.lease_ms, other.state)
