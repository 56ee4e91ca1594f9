"""A folder on a real disk: the few operations that a store needs, each as the system's page tells it."""

import contextlib
import errno
import fcntl
import os
from typing import BinaryIO, Protocol


class Disk(Protocol):
    """What a store needs of a folder. All raise OSError; names are of files in the folder."""

    def read(self, name: str) -> bytes | None:
        """The whole file; None where there is none."""

    def write(self, name: str, data: bytes) -> None:
        """The file holds this and nothing else, as far as this process can tell."""

    def sync(self, name: str) -> None:
        """The file's data outlives a loss of power from now on; its name need not."""

    def rename(self, name: str, to: str) -> None:
        """Takes the place of another file in one step."""

    def sync_names(self) -> None:
        """Files' names outlive a loss of power from now on."""

    def lock(self, name: str) -> bool:
        """Holds the file for this process alone until it ends or lets go; False: another does."""

    def unlock(self, name: str) -> None:
        """Lets go."""


class Folder:
    """The real one; made where it is missing."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.locks: dict[str, BinaryIO] = {}
        os.makedirs(path, mode=0o700, exist_ok=True)

    def _at(self, name: str) -> str:
        return os.path.join(self.path, name)

    def read(self, name: str) -> bytes | None:
        try:
            with open(self._at(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        with open(self._at(name), "wb") as file:
            file.write(data)

    def sync(self, name: str) -> None:
        self._sync(self._at(name))

    def _sync(self, path: str) -> None:
        held = os.open(path, os.O_RDONLY)
        try:
            os.fsync(held)
        finally:
            os.close(held)

    def rename(self, name: str, to: str) -> None:
        os.replace(self._at(name), self._at(to))

    def sync_names(self) -> None:
        self._sync(self.path)

    def lock(self, name: str) -> bool:
        file = open(self._at(name), "ab")  # noqa: SIM115 (held until it is let go)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            file.close()
            if problem.errno in (errno.EWOULDBLOCK, errno.EACCES):
                return False
            raise
        self.locks[name] = file
        return True

    def unlock(self, name: str) -> None:
        with contextlib.suppress(KeyError):
            self.locks.pop(name).close()
