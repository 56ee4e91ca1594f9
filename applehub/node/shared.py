"""State that the processes of one router share through $TMPDIR while one takes over from another."""

import contextlib
import fcntl
import logging
import os
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass

import orjson

FLOCK = "hhqqi0q"  # struct flock: type, whence, start, length, process
ONLINE_KEPT_MS = 600_000  # ms for which a call back into service is remembered: by then the server is warm
NS_PER_MS = 1_000_000
log = logging.getLogger("applehub")


@dataclass(frozen=True, slots=True)
class Override:
    """The latest call of an operator for a cache server.

    out: whether the server was taken out of service. at: when the call was accepted (Unix time, ms).
    """

    out: bool
    at: int


def shared_folder() -> str:
    """$TMPDIR, which the processes of one router share; without it a new folder that nothing else uses."""
    folder = os.environ.get("TMPDIR")
    if folder:
        return folder
    import tempfile  # loaded only here: it costs 8 ms, and deployments set $TMPDIR

    return tempfile.mkdtemp(prefix="applehub-")


class Shared:
    """A file of operator overrides, and a file of which each running process locks one byte."""

    def __init__(self, folder: str) -> None:
        """Marks this process as running. Raises OSError if the folder cannot be written to."""
        self.file = os.path.join(folder, "applehub-by-hand.json")
        self.lock = os.path.join(folder, "applehub-by-hand.lock")
        self.runs = open(os.path.join(folder, "applehub.runs"), "wb")  # noqa: SIM115 (open until `leave`)
        # Each process locks the byte at its own id. The kernel releases the lock whichever way the process
        # ends, so a crashed process never counts as running.
        fcntl.lockf(self.runs, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, os.getpid())
        self._read_as: tuple[int, int] | None = None  # inode and modification time of the file last read

    def others(self) -> bool:
        """Whether another process of this router runs."""
        whole = struct.pack(FLOCK, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        found: int = struct.unpack(FLOCK, fcntl.fcntl(self.runs, fcntl.F_GETLK, whole))[0]
        return found != fcntl.F_UNLCK

    def leave(self) -> None:
        """Marks this process as running no more."""
        self.runs.close()

    def say(self, server: str, out: bool) -> dict[str, Override]:
        """Writes an override to disk; returns all overrides, by server.

        The file and its folder are synchronised before the call returns: an acknowledged override survives a
        power loss. Raises OSError if it cannot be written.
        """
        now = time.time_ns() // NS_PER_MS
        with self._exclusive():
            overrides = {
                name: one for name, one in self._load().items() if one.out or one.at > now - ONLINE_KEPT_MS
            }
            overrides[server] = Override(out, now)
            replacement = self.file + ".new"
            with open(replacement, "wb") as file:
                file.write(orjson.dumps({name: [one.out, one.at] for name, one in overrides.items()}))
                file.flush()
                os.fsync(file.fileno())
            os.replace(replacement, self.file)
            folder = os.open(os.path.dirname(self.file), os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        return overrides

    def changed(self) -> dict[str, Override] | None:
        """All overrides if the file was replaced since the last call; otherwise, or without a file, None."""
        try:
            status = os.stat(self.file)
        except OSError:
            return None
        if (status.st_ino, status.st_mtime_ns) == self._read_as:
            return None
        self._read_as = status.st_ino, status.st_mtime_ns
        return self._load()

    @contextlib.contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Excludes writers in other processes."""
        with open(self.lock, "wb") as held:
            fcntl.flock(held, fcntl.LOCK_EX)
            yield

    def _load(self) -> dict[str, Override]:
        """The overrides in the file: none if it is missing, or if it cannot be read, which is logged."""
        try:
            with open(self.file, "rb") as file:
                content = orjson.loads(file.read())
            return {name: Override(bool(out), int(at)) for name, (out, at) in content.items()}
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError, AttributeError) as problem:
            log.error("what operators said can't be read: %s", problem)
            return {}
