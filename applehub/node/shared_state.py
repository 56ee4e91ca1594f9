"""State that the processes of one router share through $TMPDIR while one takes over from another."""

import fcntl
import logging
import os
import struct

from applehub.node.override_file import OverrideFile

FLOCK = "hhqqi0q"  # struct flock: type, whence, start, length, process
log = logging.getLogger("applehub")


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
        self.override_file = OverrideFile(folder)
        self.runs = open(os.path.join(folder, "applehub.runs"), "wb")  # noqa: SIM115 (open until `leave`)
        # Each process locks the byte at its own id. The kernel releases the lock whichever way the process
        # ends, so a crashed process never counts as running.
        fcntl.lockf(self.runs, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, os.getpid())
        self._others = False
        self._unknown = False  # the system did not tell at the last call of `others`, which was logged

    def others(self) -> bool:
        """Whether another process of this router runs; as last known, if the system does not tell."""
        whole = struct.pack(FLOCK, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        try:
            found: int = struct.unpack(FLOCK, fcntl.fcntl(self.runs, fcntl.F_GETLK, whole))[0]
        except OSError as problem:
            if not self._unknown:
                log.warning("whether another process serves can't be told: %s", problem)
            self._unknown = True
        else:
            self._others, self._unknown = found != fcntl.F_UNLCK, False
        return self._others

    def leave(self) -> None:
        """Marks this process as running no more."""
        self.runs.close()
