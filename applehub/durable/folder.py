"""A folder on disk: the few operations that a store needs, and what each guarantees over a loss of power."""

import errno
import fcntl
import os
from pathlib import Path
from typing import BinaryIO, Protocol


class Disk(Protocol):
    """What a store needs of a folder. Names are of files in the folder; every method may raise OSError."""

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None if there is no such file."""

    def write(self, name: str, data: bytes) -> None:
        """Replaces the content of a file, which is created if needed; nothing is synchronised."""

    def sync(self, name: str) -> None:
        """Has a file's content outlive a loss of power from now on; its name need not."""

    def rename(self, name: str, to: str) -> None:
        """Renames a file in one step; a file that had the new name is replaced."""

    def sync_names(self) -> None:
        """Has the names of all files outlive a loss of power from now on."""

    def lock(self, name: str) -> bool:
        """Locks a file for this process, until it ends or unlocks it; False if another process has it."""

    def unlock(self, name: str) -> None:
        """Releases a lock; without one, does nothing."""


class Folder:
    """A folder of the file system, created if it is missing."""

    def __init__(self, path: str | Path) -> None:
        """Raises OSError if the folder is missing and cannot be created."""
        self.path = Path(path)
        self._locks: dict[str, BinaryIO] = {}
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None if there is no such file."""
        try:
            with open(self.path / name, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Replaces the content of a file, which is created if needed; nothing is synchronised."""
        with open(self.path / name, "wb") as file:
            file.write(data)

    def sync(self, name: str) -> None:
        """Has a file's content outlive a loss of power from now on; its name need not."""
        _sync(self.path / name)

    def rename(self, name: str, to: str) -> None:
        """Renames a file in one step; a file that had the new name is replaced."""
        (self.path / name).replace(self.path / to)

    def sync_names(self) -> None:
        """Has the names of all files outlive a loss of power from now on."""
        _sync(self.path)

    def lock(self, name: str) -> bool:
        """Locks a file for this process, until it ends or unlocks it; False if another process has it."""
        file = open(self.path / name, "ab")  # noqa: SIM115 (closed by `unlock`)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            file.close()
            if problem.errno in (errno.EWOULDBLOCK, errno.EACCES):
                return False
            raise
        self._locks[name] = file
        return True

    def unlock(self, name: str) -> None:
        """Releases a lock; without one, does nothing."""
        file = self._locks.pop(name, None)
        if file is not None:
            file.close()


def _sync(path: Path) -> None:
    """Synchronises a file or a folder. Raises OSError if the disk refuses."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
