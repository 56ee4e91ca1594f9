"""Every state that a loss of power may leave of a folder, and whether a store starts right from each.

The model: data that was not synced is there by sectors, as `remains` lists; a rename, a creation or a removal
whose folder was not synced is there or not, each alone. What was synced stays.
"""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from applehub.durable.store import Loaded, Store, StoreError

SECTOR = 512
Names = dict[str, int]  # what a folder holds: a file's number by its name


@dataclass(slots=True)
class Inode:
    """A file's data: as it was last synced, and as its process sees it."""

    synced: bytes = b""
    now: bytes = b""


@dataclass(frozen=True, slots=True)
class Entry:
    """A change of the folder that was not synced: names, with the file of each (none: it is gone)."""

    changes: tuple[tuple[str, int | None], ...]


class RecordedDisk:
    """A folder in memory that knows what of it is on the platter."""

    def __init__(self) -> None:
        self.inodes: list[Inode] = []
        self.names: Names = {}  # as the process sees them
        self.synced: Names = {}
        self.pending: list[Entry] = []
        self.locked: set[str] = set()
        self.fails: str = ""  # the operation that the disk refuses
        self.told: Callable[[], None] = lambda: None  # called after each operation

    def _may(self, what: str) -> None:
        if self.fails == what:
            raise OSError(28, f"{what} refused")

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

    # What a loss of power leaves

    def states(self) -> Iterator["RecordedDisk"]:
        """Each state of the model, as a disk of its own."""
        for done in itertools.product((False, True), repeat=len(self.pending)):
            names = dict(self.synced)
            for entry, there in zip(self.pending, done, strict=True):
                if there:
                    _apply(names, entry)
            choices = [list(remains(self.inodes[number])) for number in names.values()]
            for contents in itertools.product(*choices):
                yield disk_of(dict(zip(names, contents, strict=True)))

    def flipped(self, step: int) -> Iterator["RecordedDisk"]:
        """What is on the platter, with one bit turned, every so many bits."""
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
    """A disk at rest that holds these files."""
    disk = RecordedDisk()
    disk.inodes = [Inode(data, data) for data in contents.values()]
    disk.names = {name: number for number, name in enumerate(contents)}
    disk.synced = dict(disk.names)
    return disk


def remains(inode: Inode) -> Iterator[bytes]:
    """What may be there of a file: all of the old or the new; the new up to any sector and then old, or
    nothing, or zeros in its full length; one sector of the new that is old or zeros. A synced file is what it
    is."""
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
    """What a search found: how many states were tried, and the first few that were wrong."""

    states: int = 0
    wrong: list[str] = field(default_factory=list)

    def expect(self, right: bool, what: str) -> None:
        self.states += 1
        if not right and len(self.wrong) < 5:
            self.wrong.append(what)


def search(values: list[bytes], make: Callable[[RecordedDisk], Store], flip_step: int = 1) -> Verdict:
    """Saves the values in order and opens the store from every state that a loss of power in between may
    leave, and from every flipped bit after each save: there it must give the last value or the one before."""
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
        verdict.expect(False, "two hold the store at once")
    except StoreError:
        verdict.expect(True, "")
    return verdict


def _opened(store: Store, verdict: Verdict) -> Loaded:
    """Opens it as a start would, and keeps a value: a start must be able to go on from any state."""
    try:
        loaded = store.open()
        store.save(b"next")
        after = store.load().value
        verdict.expect(after == b"next", f"after a start it keeps {after!r:.40}")
    except Exception as problem:  # any is a start that fails
        verdict.expect(False, f"a start failed: {problem!r}")
        return Loaded()
    return loaded


def _worded(loaded: Loaded) -> str:
    return f"{loaded.value!r:.30} ({loaded.generation}; {loaded.passed_over})"
