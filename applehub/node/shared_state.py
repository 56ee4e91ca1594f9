"""State that the processes of one router share through $TMPDIR during an upgrade."""

import fcntl
import logging
import os
import struct

from applehub.node.override_file import OverrideFile

FLOCK_FORMAT = "hhqqi0q"  # struct flock: type, whence, start, length, process
log = logging.getLogger("applehub")


def shared_state_folder() -> str:
    """Returns $TMPDIR, which the router's processes share; if it is not set, a new private folder."""
    folder = os.environ.get("TMPDIR")
    if folder:
        return folder
    import tempfile  # a deferred import, since it slows the start and deployments set $TMPDIR

    return tempfile.mkdtemp(prefix="applehub-")


class SharedState:
    """The file of operator overrides, and a lock file in which each running process locks one byte."""

    def __init__(self, folder: str) -> None:
        """Marks this process as running. Raises OSError if the folder is not writable."""
        self.folder = folder
        self.override_file = OverrideFile(folder)
        self.lock_file = open(os.path.join(folder, "applehub.runs"), "wb")  # noqa: SIM115 (open until `close`)
        # Each process locks the byte at the offset of its own process id. The kernel releases the lock when
        # the process ends, even in a crash, so a crashed process never counts as running.
        fcntl.lockf(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, os.getpid())
        self._has_other_process = False
        self._query_failed = False  # whether the last call of `has_other_process` failed

    def has_other_process(self) -> bool:
        """Returns whether another process of this router runs, or the previous result if the query fails."""
        lock_query = struct.pack(FLOCK_FORMAT, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        try:
            lock_type: int = struct.unpack(
                FLOCK_FORMAT, fcntl.fcntl(self.lock_file, fcntl.F_GETLK, lock_query)
            )[0]
        except OSError as error:
            if not self._query_failed:  # logs only the first of consecutive failures
                log.warning("checking for another router process failed: %s", error)
            self._query_failed = True
        else:
            self._has_other_process, self._query_failed = lock_type != fcntl.F_UNLCK, False
        return self._has_other_process

    def close(self) -> None:
        """Marks this process as no longer running."""
        self.lock_file.close()
