"""What the processes of one router share through $TMPDIR while one takes over from another."""

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
BACK_KEPT = 600_000  # ms for which a call back is remembered: by then the server is warm
log = logging.getLogger("applehub")


@dataclass(frozen=True, slots=True)
class Told:
    """The latest call for a cache server: out or back, and when (Unix time, ms)."""

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
    """A file of what operators said of cache servers, and a locked byte for each process that runs."""

    def __init__(self, folder: str) -> None:
        self.file = os.path.join(folder, "applehub-by-hand.json")
        self.lock = os.path.join(folder, "applehub-by-hand.lock")
        self.runs = open(os.path.join(folder, "applehub.runs"), "wb")  # noqa: SIM115 (until it leaves)
        # A byte of its own for each process. Guards against signs left behind: a lock ends with its holder.
        fcntl.lockf(self.runs, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, os.getpid())
        self._read_as: tuple[int, int] | None = None  # inode and time of the file last read

    def others(self) -> bool:
        """Whether another process of this router runs."""
        whole = struct.pack(FLOCK, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        found: int = struct.unpack(FLOCK, fcntl.fcntl(self.runs, fcntl.F_GETLK, whole))[0]
        return found != fcntl.F_UNLCK

    def leave(self) -> None:
        self.runs.close()

    def say(self, server: str, out: bool) -> dict[str, Told]:
        """Writes a call down; gives all that holds from now on. Raises OSError where it can't be kept."""
        now = time.time_ns() // 1_000_000
        with self._alone():
            told = {name: one for name, one in self._load().items() if one.out or one.at > now - BACK_KEPT}
            told[server] = Told(out, now)
            beside = self.file + ".new"
            with open(beside, "wb") as file:
                file.write(orjson.dumps({name: [one.out, one.at] for name, one in told.items()}))
                file.flush()
                os.fsync(file.fileno())
            os.replace(beside, self.file)
            folder = os.open(os.path.dirname(self.file), os.O_RDONLY)
            try:
                os.fsync(folder)  # the name, too: a yes that is given holds over a power loss
            finally:
                os.close(folder)
        return told

    def changed(self) -> dict[str, Told] | None:
        """All that was said, if the file is another one than at the last look."""
        try:
            status = os.stat(self.file)
        except OSError:
            return None
        if (status.st_ino, status.st_mtime_ns) == self._read_as:
            return None
        self._read_as = status.st_ino, status.st_mtime_ns
        return self._load()

    @contextlib.contextmanager
    def _alone(self) -> Iterator[None]:
        with open(self.lock, "wb") as held:
            fcntl.flock(held, fcntl.LOCK_EX)
            yield

    def _load(self) -> dict[str, Told]:
        try:
            with open(self.file, "rb") as file:
                told = orjson.loads(file.read())
            return {name: Told(bool(out), int(at)) for name, (out, at) in told.items()}
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError, AttributeError) as problem:
            log.error("what operators said can't be read: %s", problem)
            return {}
