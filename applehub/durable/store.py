"""One value on disk, in two generations: after a crash or a loss of power the store holds the value that was
acknowledged last, or the one that was being saved, and never a part of one.

The generations lie in two files. A save writes a third file, synchronises it, and renames it over the older
of the two; so whatever becomes of a save, the newest complete file stays.
"""

from dataclasses import dataclass, field

from applehub.durable.folder import Disk
from applehub.durable.frame import DamagedFrameError, Frame, decode

MAX_VALUE_SIZE = 64 << 20  # bytes: a value is held in memory as a whole, and a longer one is a mistake


class StoreError(Exception):
    """A store cannot be opened, or a value cannot be saved in it; its value is what it was."""


class StoreLockedError(StoreError):
    """Another process has the store open."""

    def __init__(self, name: str) -> None:
        """Name is that of the store."""
        super().__init__(f"{name}: another process holds it")


class StoreClosedError(StoreError):
    """The store is not open, and so takes no value."""

    def __init__(self, name: str) -> None:
        """Name is that of the store."""
        super().__init__(f"{name}: not open for writing")


class ValueTooLongError(StoreError):
    """The value has more than MAX_VALUE_SIZE bytes."""

    def __init__(self, name: str, size: int) -> None:
        """Name is that of the store, size that of the value."""
        super().__init__(f"{name}: {size} bytes, {MAX_VALUE_SIZE} at most")


@dataclass(slots=True)
class Loaded:
    """What a store holds.

    value: None if there is none. generation: the value's number, 0 if there is none. passed_over: for each
    file that cannot be used, a line with its name, an offset and the reason.
    """

    value: bytes | None = None
    generation: int = 0
    passed_over: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Files:
    """What the two files of a store hold, by index: frames of a known format, and of a newer program's."""

    known: dict[int, Frame] = field(default_factory=dict)
    newer: dict[int, Frame] = field(default_factory=dict)


class Store:
    """A named value in a folder, which one process at a time has open for writing.

    A file that a newer program wrote, with a later version of the value's format, is not read; the latest
    such file is never written over, so that this program can be followed by the newer one again.
    """

    def __init__(self, disk: Disk, name: str, format_version: int) -> None:
        """Name is what the store's files are called; nothing is read or locked yet."""
        self.disk = disk
        self.name = name
        self.format_version = format_version
        self.files = (f"{name}.0", f"{name}.1")
        self.is_open = False
        self._generation = 0  # the highest in any file, of whatever format
        self._next_file = 0  # index of the file that the next save replaces
        self._keeps_newer = False  # the other file is a newer program's, and stays

    def open(self) -> Loaded:
        """Locks the store for this process, and returns what it holds.

        Raises StoreLockedError if another process has it open, and OSError if the disk refuses: then it stays
        closed.
        """
        if not self.is_open:
            if not self.disk.lock(self._lock_file):
                raise StoreLockedError(self.name)
            self.is_open = True
        try:
            return self.load()
        except OSError:
            self.close()  # a save must know the generations, and which file to replace
            raise

    def load(self) -> Loaded:
        """Returns what the store holds: the highest complete generation. Raises OSError."""
        contents = [self.disk.read(file) for file in self.files]  # all, before anything is noted of them
        loaded = Loaded()
        files = self._decode(contents, loaded)
        newest = _newest(files.known)
        if newest is not None:
            loaded.value = files.known[newest].value
            loaded.generation = files.known[newest].generation
        frames = [*files.known.values(), *files.newer.values()]
        self._generation = max([self._generation, *(frame.generation for frame in frames)])
        kept = _newest(files.newer)
        self._keeps_newer = kept is not None
        if kept is None:
            kept = newest
        self._next_file = 0 if kept is None else 1 - kept
        return loaded

    def _decode(self, contents: list[bytes | None], loaded: Loaded) -> _Files:
        """Decodes the files that are there; notes in `loaded` why files are passed over."""
        files = _Files()
        for index, (name, content) in enumerate(zip(self.files, contents, strict=True)):
            if content is None:
                continue
            try:
                frame = decode(content)
            except DamagedFrameError as problem:
                loaded.passed_over.append(f"{name}: {problem}")
                continue
            if frame.format_version <= self.format_version:
                files.known[index] = frame
            else:
                files.newer[index] = frame
                versions = f"format {frame.format_version}, known is {self.format_version}"
                loaded.passed_over.append(f"{name}: byte 4: {versions}")
        return files

    def save(self, value: bytes) -> None:
        """Saves a value; on return it outlives a loss of power.

        Raises StoreClosedError or ValueTooLongError: the value before stays. Raises OSError if the disk
        refuses: `load` then returns the value before or, if only the folder's synchronisation was refused,
        this one; after a loss of power either.
        """
        if not self.is_open:
            raise StoreClosedError(self.name)
        if len(value) > MAX_VALUE_SIZE:
            raise ValueTooLongError(self.name, len(value))
        replacement = f"{self.name}.new"
        generation = self._generation + 1
        self.disk.write(replacement, Frame(self.format_version, generation, value).encode())
        self.disk.sync(replacement)
        self.disk.rename(replacement, self.files[self._next_file])
        self._generation = generation
        if not self._keeps_newer:
            self._next_file = 1 - self._next_file
        self.disk.sync_names()

    def close(self) -> None:
        """Releases the store; without being open, does nothing."""
        if self.is_open:
            self.is_open = False
            self.disk.unlock(self._lock_file)

    @property
    def _lock_file(self) -> str:
        return f"{self.name}.lock"


def _newest(frames: dict[int, Frame]) -> int | None:
    """Returns the index of the frame with the highest generation; None if there is none."""
    return max(frames, key=lambda index: frames[index].generation, default=None)
