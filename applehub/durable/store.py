"""Crash-safe store of one value on disk: after a crash or power loss it holds either the value that was saved
last or the value that was being saved, never a partial one.

Two files hold the last two generations of the value. A save writes a third file, synchronises it, and renames
it over the older of the two, so that an interrupted save leaves the newest complete file intact.
"""

from dataclasses import dataclass, field

from applehub.durable.folder import Disk
from applehub.durable.frame import DamagedFrameError, Frame, decode

MAX_VALUE_SIZE = 64 << 20  # bytes; a value is held in memory as a whole, and a longer one is a mistake


class StoreError(Exception):
    """A store can't be opened, or a value can't be saved. The stored value is unchanged."""


class StoreLockedError(StoreError):
    """Another process has the store open."""

    def __init__(self, name: str) -> None:
        """Takes the name of the store."""
        super().__init__(f"{name}: another process has the store open")


class StoreClosedError(StoreError):
    """A value can't be saved because the store is not open."""

    def __init__(self, name: str) -> None:
        """Takes the name of the store."""
        super().__init__(f"{name}: not open for writing")


class ValueTooLongError(StoreError):
    """A value is longer than MAX_VALUE_SIZE."""

    def __init__(self, name: str, size: int) -> None:
        """Takes the name of the store and the size of the value in bytes."""
        super().__init__(f"{name}: expected at most {MAX_VALUE_SIZE} bytes, got {size}")


@dataclass(slots=True)
class LoadResult:
    """The result of loading a store.

    `value` is None and `generation` 0 if the store has no readable value. `skipped_files` has a line for each
    unusable file, with its name, a byte offset and the reason.
    """

    value: bytes | None = None
    generation: int = 0
    skipped_files: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Files:
    """Frames of a store's two files, by file index."""

    readable: dict[int, Frame] = field(default_factory=dict)  # frames in a format that this program reads
    newer: dict[int, Frame] = field(default_factory=dict)  # frames in a format of a newer program


class Store:
    """A named value in a folder, open for writing in at most one process.

    Files with a higher format version, written by a newer program, are not read. The latest of them is never
    overwritten, so that the newer program finds its value again after a downgrade.
    """

    def __init__(self, disk: Disk, name: str, format_version: int) -> None:
        """Creates a closed store. `name` is the prefix of its file names."""
        self.disk = disk
        self.name = name
        self.format_version = format_version
        self.files = (f"{name}.0", f"{name}.1")
        self.is_open = False
        self._generation = 0  # highest generation in any file, in any format
        self._next_file = 0  # index of the file that the next save replaces
        self._protects_newer_format = False  # whether the file other than `_next_file` has a newer format

    def open(self) -> LoadResult:
        """Locks the store for this process and loads it.

        Raises StoreLockedError if another process has the store open, or OSError. The store then stays
        closed.
        """
        if not self.is_open:
            if not self.disk.lock(self._lock_file):
                raise StoreLockedError(self.name)
            self.is_open = True
        try:
            return self.load()
        except OSError:
            self.close()  # a save needs the loaded generations to choose the file that it replaces
            raise

    def load(self) -> LoadResult:
        """Loads the value with the highest generation among the complete files. Raises OSError."""
        # Both files are read before the state changes, so that a read error leaves it unchanged.
        contents = [self.disk.read(file) for file in self.files]
        loaded = LoadResult()
        files = self._decode(contents, loaded)
        newest = _newest(files.readable)
        if newest is not None:
            loaded.value = files.readable[newest].value
            loaded.generation = files.readable[newest].generation
        frames = [*files.readable.values(), *files.newer.values()]
        self._generation = max([self._generation, *(frame.generation for frame in frames)])
        protected = _newest(files.newer)
        self._protects_newer_format = protected is not None
        if protected is None:
            protected = newest
        self._next_file = 0 if protected is None else 1 - protected
        return loaded

    def _decode(self, contents: list[bytes | None], loaded: LoadResult) -> _Files:
        """Decodes the existing files, and adds the unusable ones to `loaded.skipped_files`."""
        files = _Files()
        for index, (name, content) in enumerate(zip(self.files, contents, strict=True)):
            if content is None:
                continue
            try:
                frame = decode(content)
            except DamagedFrameError as error:
                loaded.skipped_files.append(f"{name}: {error}")
                continue
            if frame.format_version <= self.format_version:
                files.readable[index] = frame
            else:
                files.newer[index] = frame
                versions = f"format {frame.format_version} is newer than {self.format_version}"
                loaded.skipped_files.append(f"{name}: byte 4: {versions}")
        return files

    def save(self, value: bytes) -> None:
        """Saves a value durably.

        Raises StoreClosedError or ValueTooLongError, which leave the previous value in place. After an
        OSError, `load` returns the previous value, or the new one if only synchronising the folder failed;
        after a power loss it may return either.
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
        if not self._protects_newer_format:
            self._next_file = 1 - self._next_file
        self.disk.sync_names()

    def close(self) -> None:
        """Closes the store and releases its lock, if it is open."""
        if self.is_open:
            self.is_open = False
            self.disk.unlock(self._lock_file)

    @property
    def _lock_file(self) -> str:
        return f"{self.name}.lock"


def _newest(frames: dict[int, Frame]) -> int | None:
    """Returns the index of the frame with the highest generation, or None if there are no frames."""
    return max(frames, key=lambda index: frames[index].generation, default=None)
