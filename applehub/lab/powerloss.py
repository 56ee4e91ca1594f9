"""Enumerates the states that a power loss may leave of a directory, and checks that a store opens from each.

Unsynced data may survive in the forms that `possible_contents` lists. Each rename, creation or
removal that was not synced with the directory may survive or be lost, independently of the others. Synced
data stays.
"""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from applehub.durable.store import LoadResult, Store, StoreError

SECTOR = 512  # bytes that a disk writes atomically
Names = dict[str, int]  # directory entries: inode number by file name


@dataclass(slots=True)
class Inode:
    """Content of a file, as last synced and as the process sees it."""

    synced: bytes = b""
    current: bytes = b""


@dataclass(frozen=True, slots=True)
class Entry:
    """An unsynced change of the directory: names with their inode numbers (None: the name is removed)."""

    changes: tuple[tuple[str, int | None], ...]


class RecordedDisk:
    """A directory in memory that tracks which content and which names were synced."""

    def __init__(self) -> None:
        self.inodes: list[Inode] = []
        self.names: Names = {}  # directory entries as the process sees them
        self.synced: Names = {}  # directory entries that were synced
        self.pending: list[Entry] = []  # unsynced changes of the directory
        self.locked: set[str] = set()
        self.failing_operation: str = ""  # operation that fails with ENOSPC
        self.on_operation: Callable[[], None] = lambda: None  # called after each operation

    def _check_failure(self, operation: str) -> None:
        if self.failing_operation == operation:
            raise OSError(28, f"{operation} failed")

    def read(self, name: str) -> bytes | None:
        self._check_failure("read")
        number = self.names.get(name)
        return None if number is None else self.inodes[number].current

    def write(self, name: str, data: bytes) -> None:
        self._check_failure("write")
        if name not in self.names:
            self.inodes.append(Inode())
            self._add_entry((name, len(self.inodes) - 1))
        self.inodes[self.names[name]].current = data
        self.on_operation()

    def sync(self, name: str) -> None:
        self._check_failure("sync")
        inode = self.inodes[self.names[name]]
        inode.synced = inode.current
        self.on_operation()

    def rename(self, name: str, to: str) -> None:
        self._check_failure("rename")
        self._add_entry((to, self.names[name]), (name, None))
        self.on_operation()

    def sync_names(self) -> None:
        self._check_failure("sync_names")
        self.synced, self.pending = dict(self.names), []
        self.on_operation()

    def lock(self, name: str) -> bool:
        if name in self.locked:
            return False
        self.locked.add(name)
        return True

    def unlock(self, name: str) -> None:
        self.locked.discard(name)

    def _add_entry(self, *changes: tuple[str, int | None]) -> None:
        self.pending.append(Entry(changes))
        _apply(self.names, self.pending[-1])

    # States after a power loss

    def crash_states(self) -> Iterator["RecordedDisk"]:
        """Yields each possible state after a power loss, as a separate disk."""
        for survival in itertools.product((False, True), repeat=len(self.pending)):
            names = dict(self.synced)
            for entry, survives in zip(self.pending, survival, strict=True):
                if survives:
                    _apply(names, entry)
            choices = [list(possible_contents(self.inodes[number])) for number in names.values()]
            for contents in itertools.product(*choices):
                yield disk_of(dict(zip(names, contents, strict=True)))

    def bit_flips(self, step: int) -> Iterator["RecordedDisk"]:
        """Yields the synced content with one bit flipped, for every `step`-th bit of each file."""
        synced = {name: self.inodes[number].synced for name, number in self.synced.items()}
        for name, data in synced.items():
            for bit in range(0, 8 * len(data), step):
                damaged = bytearray(data)
                damaged[bit // 8] ^= 1 << bit % 8
                yield disk_of({**synced, name: bytes(damaged)})


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


def possible_contents(inode: Inode) -> Iterator[bytes]:
    """Yields the contents that a file may have after a power loss.

    These are the old or the new content; the new content up to a sector boundary, followed by the old
    content, nothing or zeros; and the new content with one sector old or zero. A synced file is unchanged.
    """
    old, new = inode.synced, inode.current
    contents = {old, new}
    if old != new:
        for offset in range(0, len(new) + SECTOR, SECTOR):
            blank = b"\0" * len(new[offset : offset + SECTOR])
            before, after = new[:offset], new[offset + SECTOR :]
            contents |= {before + old[offset:], before, before.ljust(len(new), b"\0"), before + blank + after}
            contents.add(before + (old[offset : offset + SECTOR] + blank)[: len(blank)] + after)
    yield from sorted(contents)


@dataclass(slots=True)
class SearchResult:
    """Result of a search: the number of states checked, and the first few failures."""

    state_count: int = 0
    failures: list[str] = field(default_factory=list)

    def expect(self, correct: bool, failure: str) -> None:
        self.state_count += 1
        if not correct and len(self.failures) < 5:
            self.failures.append(failure)


def search(values: list[bytes], make: Callable[[RecordedDisk], Store], flip_step: int = 1) -> SearchResult:
    """Saves the values in order and opens the store from every state that a power loss may leave.

    Also opens the store after each save with each `flip_step`-th bit flipped: the store has to return the
    last value, or the previous value and the names of the files that it skipped.
    """
    result, disk = SearchResult(), RecordedDisk()
    store = make(disk)
    store.open()
    acknowledged: list[bytes | None] = [None]
    in_progress: list[bytes] = []

    def check_states() -> None:
        allowed = [acknowledged[-1], *in_progress]
        for state in disk.crash_states():
            loaded = _open_and_save(make(state), result)
            result.expect(
                loaded.value in allowed,
                f"{_describe(loaded)} was loaded; expected one of {len(allowed)} values",
            )

    disk.on_operation = check_states
    for value in values:
        in_progress.append(value)
        store.save(value)
        in_progress.clear()
        acknowledged.append(value)
        check_states()
        for state in disk.bit_flips(flip_step):
            loaded = _open_and_save(make(state), result)
            correct = loaded.value in acknowledged[-2:] and (
                loaded.value == value or loaded.skipped_files != []
            )
            result.expect(correct, f"after a bit flip, the store loaded {_describe(loaded)}")
    second_store = make(disk)
    try:
        second_store.open()
        result.expect(False, "two processes opened the store at the same time")
    except StoreError:
        result.expect(True, "")
    return result


def _open_and_save(store: Store, result: SearchResult) -> LoadResult:
    """Opens the store and saves a value; both have to succeed in any state."""
    try:
        loaded = store.open()
        store.save(b"next")
        after = store.load().value
        result.expect(after == b"next", f"a value saved after opening reads back as {after!r:.40}")
    except Exception as error:  # any exception means that a process could not start
        result.expect(False, f"opening the store failed: {error!r}")
        return LoadResult()
    return loaded


def _describe(loaded: LoadResult) -> str:
    return f"{loaded.value!r:.30} ({loaded.generation}; {loaded.skipped_files})"
