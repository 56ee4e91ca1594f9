"""The file in which operators' calls last, shared by the processes of one router on one machine.

`applehub-by-hand.json` holds `{server: [out, at]}`: the calls, synchronised before they are acknowledged.

A file that cannot be read is never replaced by one without the calls in it.
"""

import contextlib
import fcntl
import logging
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass

import orjson

ONLINE_KEPT_MS = 600_000  # a call back into service is remembered: by then the server is warm
NS_PER_MS = 1_000_000
Identity = tuple[int, int, int]  # of a file's content: inode, size, modification time
log = logging.getLogger("applehub")


class OverrideFileError(Exception):
    """The file's content makes no sense, and this process does not know what stood there."""


@dataclass(frozen=True, slots=True)
class Override:
    """The latest call of an operator for a cache server.

    out: whether the server was taken out of service. at: when the call was accepted (Unix time, ms).
    """

    out: bool
    at: int


class OverrideFile:
    """Operators' calls on disk. Each change replaces the file in one step, so that a kill leaves it whole."""

    def __init__(self, folder: str) -> None:
        """folder: where the files lie; nothing is read or written yet."""
        self.path = os.path.join(folder, "applehub-by-hand.json")
        self.lock_path = os.path.join(folder, "applehub-by-hand.lock")
        self._known: dict[str, Override] | None = None  # what the file held when last read or written
        self._returned: Identity | None = None  # of what `changed` returned last
        self._synchronised: Identity | None = None

    def changed(self) -> dict[str, Override] | None:
        """All overrides if the file was replaced since the last call; otherwise, or without a file, None.

        Raises OSError, and OverrideFileError if the content makes no sense; the next call reads it again.
        """
        try:
            if _identity(os.stat(self.path)) == self._returned:
                return None
            overrides, self._returned = self._load()
        except FileNotFoundError:
            return None
        return overrides

    def write(self, server: str, out: bool) -> dict[str, Override]:
        """Puts an override in the file; returns all overrides, by server.

        From then on it outlives this process, and once `synchronise` returns a loss of power. Raises OSError,
        and OverrideFileError if the file was damaged before this process had read it: nothing took effect.
        """
        now = time.time_ns() // NS_PER_MS
        with self._exclusive():
            overrides = {
                name: one for name, one in self._present().items() if one.out or one.at > now - ONLINE_KEPT_MS
            }
            overrides[server] = Override(out, now)
            content = orjson.dumps({name: [one.out, one.at] for name, one in overrides.items()})
            _replace(self.path, content)
        self._known = overrides
        return overrides

    def synchronise(self) -> None:
        """Has the file outlive a loss of power under its name, unless that is known. Raises OSError."""
        try:
            identity = _identity(os.stat(self.path))
        except FileNotFoundError:
            return
        if identity == self._synchronised:
            return
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self._synchronised = identity

    @contextlib.contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Excludes writers in other processes."""
        with open(self.lock_path, "wb") as held:
            fcntl.flock(held, fcntl.LOCK_EX)
            yield

    def _present(self) -> dict[str, Override]:
        """The overrides to which a call is added. Raises OSError, OverrideFileError.

        Where the file is damaged or gone, those that this process knows: they were acknowledged.
        """
        try:
            return self._load()[0]
        except FileNotFoundError:
            return self._known or {}
        except OverrideFileError as problem:
            if self._known is None:
                raise
            log.warning("%s is damaged and is written anew: %s", self.path, problem)
            return self._known

    def _load(self) -> tuple[dict[str, Override], Identity]:
        """What the file holds. Raises OSError, OverrideFileError."""
        with open(self.path, "rb") as file:
            identity, content = _identity(os.fstat(file.fileno())), file.read()
        try:
            overrides = {
                name: Override(bool(out), int(at)) for name, (out, at) in orjson.loads(content).items()
            }
        except (ValueError, TypeError, AttributeError) as problem:
            raise OverrideFileError(f"{self.path}: {problem}") from problem
        self._known = overrides
        return overrides, identity


def _identity(status: os.stat_result) -> Identity:
    return status.st_ino, status.st_size, status.st_mtime_ns


def _replace(path: str, content: bytes) -> None:
    """Replaces a file in one step. Raises OSError: then the file before is there as it was."""
    replacement = path + ".new"
    try:
        with open(replacement, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(replacement, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(replacement)
        raise
