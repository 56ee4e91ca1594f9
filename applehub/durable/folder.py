"""File operations of a store in one folder, with their durability guarantees."""

import errno
import fcntl
import os
from pathlib import Path
from typing import BinaryIO, Protocol


class Disk(Protocol):
    """Folder operations that a store uses. Names are file names; every method may raise OSError."""

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, or None if the file does not exist."""

    def write(self, name: str, data: bytes) -> None:
        """Writes a file, creating it if needed, without synchronising it to the disk."""

    def sync(self, name: str) -> None:
        """Makes a file's content durable, but not its directory entry."""

    def rename(self, name: str, to: str) -> None:
        """Renames a file atomically, replacing any file that has the new name."""

    def sync_names(self) -> None:
        """Makes the directory entries of all files durable."""

    def lock(self, name: str) -> bool:
        """Locks a file until this process unlocks it or ends.

        Returns False if another process has locked the file.
        """

    def unlock(self, name: str) -> None:
        """Releases the lock on a file, if this process holds it."""


class Folder:
    """A `Disk` in the file system."""

    def __init__(self, path: str | Path) -> None:
        """Creates the folder if it is missing. Raises OSError."""
        self.path = Path(path)
        self._locks: dict[str, BinaryIO] = {}
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, or None if the file does not exist."""
        try:
            with open(self.path / name, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Writes a file, creating it if needed, without synchronising it to the disk."""
        with open(self.path / name, "wb") as file:
            file.write(data)

    def sync(self, name: str) -> None:
        """Makes a file's content durable, but not its directory entry."""
        _sync(self.path / name)

    def rename(self, name: str, to: str) -> None:
        """Renames a file atomically, replacing any file that has the new name."""
        (self.path / name).replace(self.path / to)

    def sync_names(self) -> None:
        """Makes the directory entries of all files durable."""
        _sync(self.path)

    def lock(self, name: str) -> bool:
        """Locks a file until this process unlocks it or ends.

        Returns False if another process has locked the file.
        """
        file = open(self.path / name, "ab")  # noqa: SIM115 (closed by `unlock`)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            file.close()
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                return False
            raise
        self._locks[name] = file
        return True

    def unlock(self, name: str) -> None:
        """Releases the lock on a file, if this process holds it."""
        file = self._locks.pop(name, None)
        if file is not None:
            file.close()


def _sync(path: Path) -> None:
    """Calls fsync on a file or folder. Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
