"""Enumerates the states that a power loss may leave of a directory, and checks that a store opens from each.

Unsynced data may survive in the forms that `remains` lists. Each rename, creation or removal whose directory
was not synced may survive or be lost, independently of the others. Synced data stays.
"""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from applehub.durable.store import Loaded, Store, StoreError

SECTOR = 512
Names = dict[str, int]  # directory entries: inode number by file name


@dataclass(slots=True)
class Inode:
    """Content of a file, as last synced and as the process sees it."""

    synced: bytes = b""
    now: bytes = b""


@dataclass(frozen=True, slots=True)
class Entry:
    """An unsynced change of the directory: names with their inode number, None for a removed name."""

    changes: tuple[tuple[str, int | None], ...]


class RecordedDisk:
    """A directory in memory that tracks which of its content was synced."""

    def __init__(self) -> None:
        self.inodes: list[Inode] = []
        self.names: Names = {}  # as the process sees them
        self.synced: Names = {}
        self.pending: list[Entry] = []
        self.locked: set[str] = set()
        self.fails: str = ""  # operation that fails with ENOSPC
        self.told: Callable[[], None] = lambda: None  # called after each operation

    def _may(self, what: str) -> None:
        if self.fails == what:
            raise OSError(28, f"{what} failed")

    def read(self, name: str) -> bytes | None:
        self._may("read")
        number = self.names.get(name)
        return None if number is None else self.inodes[number].now

    def write(self, name: str, data: bytes) -> None:
        self._may("write")
        if name not in self.names:
            self.inodes.append(Inode())
            self._enter((name, len(self.inodes) - 1))
        self.inodes[self.names[name]].now = data
        self.told()

    def sync(self, name: str) -> None:
        self._may("sync")
        inode = self.inodes[self.names[name]]
        inode.synced = inode.now
        self.told()

    def rename(self, name: str, to: str) -> None:
        self._may("rename")
        self._enter((to, self.names[name]), (name, None))
        self.told()

    def sync_names(self) -> None:
        self._may("sync_names")
        self.synced, self.pending = dict(self.names), []
        self.told()

    def lock(self, name: str) -> bool:
        if name in self.locked:
            return False
        self.locked.add(name)
        return True

    def unlock(self, name: str) -> None:
        self.locked.discard(name)

    def _enter(self, *changes: tuple[str, int | None]) -> None:
        self.pending.append(Entry(changes))
        _apply(self.names, self.pending[-1])

    # States after a power loss

    def states(self) -> Iterator["RecordedDisk"]:
        """Yields each possible state after a power loss, as a separate disk."""
        for done in itertools.product((False, True), repeat=len(self.pending)):
            names = dict(self.synced)
            for entry, there in zip(self.pending, done, strict=True):
                if there:
                    _apply(names, entry)
            choices = [list(remains(self.inodes[number])) for number in names.values()]
            for contents in itertools.product(*choices):
                yield disk_of(dict(zip(names, contents, strict=True)))

    def flipped(self, step: int) -> Iterator["RecordedDisk"]:
        """Yields the synced content with one bit flipped, for every `step`-th bit of each file."""
        at_rest = {name: self.inodes[number].synced for name, number in self.synced.items()}
        for name, data in at_rest.items():
            for bit in range(0, 8 * len(data), step):
                spoilt = bytearray(data)
                spoilt[bit // 8] ^= 1 << bit % 8
                yield disk_of({**at_rest, name: bytes(spoilt)})


def _apply(names: Names, entry: Entry) -> None:
    for name, number in entry.changes:
        if number is None:
            names.pop(name, None)
        else:
            names[name] = number


def disk_of(contents: dict[str, bytes]) -> RecordedDisk:
    """Returns a disk that holds these files, all synced."""
    disk = RecordedDisk()
    disk.inodes = [Inode(data, data) for data in contents.values()]
    disk.names = {name: number for number, name in enumerate(contents)}
    disk.synced = dict(disk.names)
    return disk


def remains(inode: Inode) -> Iterator[bytes]:
    """Yields the contents that a file may have after a power loss.

    These are the old or the new content; the new content up to a sector boundary, followed by the old
    content, nothing or zeros; and the new content with one sector old or zero. A synced file is unchanged.
    """
    old, new = inode.synced, inode.now
    seen = {old, new}
    if old != new:
        for at in range(0, len(new) + SECTOR, SECTOR):
            blank = b"\0" * len(new[at : at + SECTOR])
            before, after = new[:at], new[at + SECTOR :]
            seen |= {before + old[at:], before, before.ljust(len(new), b"\0"), before + blank + after}
            seen.add(before + (old[at : at + SECTOR] + blank)[: len(blank)] + after)
    yield from sorted(seen)


@dataclass(slots=True)
class Verdict:
    """Result of a search: the number of states checked, and the first few failures."""

    states: int = 0
    wrong: list[str] = field(default_factory=list)

    def expect(self, right: bool, what: str) -> None:
        self.states += 1
        if not right and len(self.wrong) < 5:
            self.wrong.append(what)


def search(values: list[bytes], make: Callable[[RecordedDisk], Store], flip_step: int = 1) -> Verdict:
    """Saves the values in order and opens the store from every state that a power loss may leave.

    After each save it also opens the store with each `flip_step`-th bit flipped: the store has to return the
    last value or the one before, and report the damaged file if it is not the last.
    """
    verdict, disk = Verdict(), RecordedDisk()
    store = make(disk)
    store.open()
    acknowledged: list[bytes | None] = [None]
    under_way: list[bytes] = []

    def look() -> None:
        allowed = [acknowledged[-1], *under_way]
        for state in disk.states():
            loaded = _opened(make(state), verdict)
            verdict.expect(loaded.value in allowed, f"{_worded(loaded)}, not one of {len(allowed)} allowed")

    disk.told = look
    for value in values:
        under_way.append(value)
        store.save(value)
        under_way.clear()
        acknowledged.append(value)
        look()
        for state in disk.flipped(flip_step):
            loaded = _opened(make(state), verdict)
            right = loaded.value in acknowledged[-2:] and (loaded.value == value or loaded.passed_over != [])
            verdict.expect(right, f"a flipped bit gave {_worded(loaded)}")
    other = make(disk)
    try:
        other.open()
        verdict.expect(False, "two processes opened the store at once")
    except StoreError:
        verdict.expect(True, "")
    return verdict


def _opened(store: Store, verdict: Verdict) -> Loaded:
    """Opens the store and saves a value, which has to work from any state."""
    try:
        loaded = store.open()
        store.save(b"next")
        after = store.load().value
        verdict.expect(after == b"next", f"a value saved after opening reads back as {after!r:.40}")
    except Exception as problem:  # any exception is a failed start
        verdict.expect(False, f"opening the store failed: {problem!r}")
        return Loaded()
    return loaded


def _worded(loaded: Loaded) -> str:
    return f"{loaded.value!r:.30} ({loaded.generation}; {loaded.passed_over})"
