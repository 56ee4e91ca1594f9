"""The list as a state machine: commands in, versions out. The same commands in the same order give the same
list on every replica; no clock and no chance comes in but by a command.

A version counts every change, never goes back and is never used twice. A fresh list begins at a number that
grows with the wall clock (of its first command), so that a list made anew after a total loss does not look
older than what routers remember."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from applehub.registry.locks import Lock, taken

Json = dict[str, Any]
STATES = ("Ready", "Terminating", "Gone")
BASE_STEP = 1 << 20  # versions to a second of the wall clock, for a fresh list's first


@dataclass(slots=True)
class Entry:
    """A server as writers gave it. state, version and suspect are the service's own."""

    uid: str
    fields: Json  # what the protocol's entries hold
    endpoints: dict[str, str]  # by view, where that is not the endpoint that all are told
    lease_ms: int  # 0: it stays until it is taken out
    state: str = "Ready"
    version: int = 0  # of its latest change
    suspect: bool = False  # its lease has run out; still told as it was

    def target(self, view: str) -> Json:
        """As the protocol's list tells it, to a caller of a view."""
        told = {"uid": self.uid, "state": self.state, **self.fields}
        if view in self.endpoints:
            told["endpoint"] = self.endpoints[view]
        return told


class Result(NamedTuple):
    """What became of a command. status: 200 done or already so, 404 no such server, 409 another version."""

    status: int
    version: int  # of the list
    entry: int  # version of the entry, 0 where there is none


class Change(NamedTuple):
    """One version: which server changed."""

    version: int
    uid: str


@dataclass(slots=True)
class Entries:
    """All entries and the latest changes."""

    kept: int  # changes kept: a caller that is further behind gets the whole list
    version: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: deque[Change] = field(default_factory=deque)
    forgotten: int = 0  # the version up to which changes are not kept
    locks: dict[str, Lock] = field(default_factory=dict)

    def apply(self, data: bytes) -> Result:
        """Carries out a command that was agreed on; b"" is none."""
        if not data:
            return Result(200, self.version, 0)
        told = orjson.loads(data)
        match told["do"]:
            case "put":
                return self._put(told)
            case "state":
                return self._state(told)
            case "lock":
                return self._lock(told)
            case "suspect":  # many at once, by the lease watch
                for uid in told["uids"]:
                    if uid in self.entries:
                        self.entries[uid].suspect = told["on"]
            case "gone":
                for uid in told["uids"]:
                    entry = self.entries.get(uid)
                    if entry is not None and entry.suspect and entry.state != "Gone":
                        self._changed(entry, "Gone", told)
        return Result(200, self.version, 0)

    def _checked(self, entry: Entry | None, told: Json) -> Result | None:
        expected = told.get("expected")
        held = entry.version if entry is not None else 0
        return Result(409, self.version, held) if expected is not None and expected != held else None

    def _put(self, told: Json) -> Result:
        """Registers a server, or what is new of it. The same again changes nothing."""
        before = self.entries.get(told["uid"])
        wanted = Entry(told["uid"], told["fields"], told["endpoints"], told["lease_ms"], told["state"])
        if before is not None:
            same = (before.fields, before.endpoints, before.lease_ms, before.state)
            if same == (wanted.fields, wanted.endpoints, wanted.lease_ms, wanted.state):
                before.suspect = False
                return Result(200, self.version, before.version)
        if (conflict := self._checked(before, told)) is not None:
            return conflict
        self.entries[wanted.uid] = wanted
        self._changed(wanted, wanted.state, told)
        return Result(200, self.version, wanted.version)

    def _state(self, told: Json) -> Result:
        entry = self.entries.get(told["uid"])
        if entry is None:
            return Result(404, self.version, 0)
        if entry.state == told["state"]:
            return Result(200, self.version, entry.version)
        if (conflict := self._checked(entry, told)) is not None:
            return conflict
        self._changed(entry, told["state"], told)
        return Result(200, self.version, entry.version)

    def _lock(self, told: Json) -> Result:
        """Another holder, or none. No version of the list: routers are told of servers alone."""
        lock = taken(self.locks.get(told["name"]), told)
        if lock is None:
            return Result(
                409, self.version, self.locks[told["name"]].fence if told["name"] in self.locks else 0
            )
        self.locks[told["name"]] = lock
        return Result(200, self.version, lock.fence)

    def _changed(self, entry: Entry, state: str, told: Json) -> None:
        self.version = self.version + 1 if self.version else max(1, told.get("base", 1))
        entry.state, entry.version, entry.suspect = state, self.version, False
        self.changes.append(Change(self.version, entry.uid))
        while len(self.changes) > self.kept:
            gone = self.changes.popleft()
            self.forgotten = gone.version
            last = self.entries.get(gone.uid)
            if last is not None and last.state == "Gone" and last.version == gone.version:
                del self.entries[gone.uid]  # all that could ask for it get the whole list

    def since(self, version: int | None) -> tuple[bool, list[Entry]]:
        """What a caller that holds a version is to be told: whether it is the whole list, and the entries."""
        if version is None or version < self.forgotten or version > self.version or not self.version:
            return True, [one for one in self.entries.values() if one.state != "Gone"]
        named: dict[str, None] = {}
        for change in reversed(self.changes):
            if change.version <= version:
                break
            named[change.uid] = None
        return False, [self.entries[uid] for uid in reversed(named) if uid in self.entries]

    def snapshot(self) -> bytes:
        """All of it, for `restored`."""
        entries = [
            [one.uid, one.fields, one.endpoints, one.lease_ms, one.state, one.version, one.suspect]
            for one in self.entries.values()
        ]
        return orjson.dumps(
            {
                "version": self.version, "forgotten": self.forgotten, "entries": entries,
                "changes": [tuple(one) for one in self.changes],
                "locks": {name: tuple(one) for name, one in self.locks.items()},
            }
        )  # fmt: skip

    @classmethod
    def restored(cls, kept: int, data: bytes) -> "Entries":
        if not data:
            return cls(kept)
        told = orjson.loads(data)
        entries = {one[0]: Entry(*one) for one in told["entries"]}
        changes = deque(Change(*one) for one in told["changes"])
        locks = {name: Lock(*one) for name, one in told.get("locks", {}).items()}  # none in older snapshots
        return cls(kept, told["version"], entries, changes, told["forgotten"], locks)
