"""Saves a value to disk without blocking the event loop."""

import asyncio
import logging
import threading

from applehub.durable.folder import Folder
from applehub.durable.store import Store, StoreError

MAX_BACKOFF = 8.0  # seconds; a crash after the disk has recovered loses at most the changes of this period
log = logging.getLogger("applehub")


class Saver:
    """A store for one value. During an upgrade, saves fail until the old process releases the store."""

    def __init__(self, folder: str, name: str, format_version: int, label: str) -> None:
        """name: name of the store. format_version: version of its data. label: names the value in log lines.

        Raises OSError if the folder cannot be created.
        """
        self.store, self.label = Store(Folder(folder), name, format_version), label
        self.failures = 0  # number of consecutive failed saves
        self.closed = False
        # Serialises access to the store, since `close` may be called during a save in a thread.
        self.lock = threading.Lock()

    @property
    def last_save_failed(self) -> bool:
        """Whether the last save failed."""
        return self.failures > 0

    def load(self) -> bytes | None:
        """Returns the value that was saved last, None if there is none; logs each unusable file."""
        try:
            loaded = self.store.load()
        except OSError as error:
            log.warning("stored %s ignored: %s", self.label, error)
            return None
        for reason in loaded.skipped_files:
            log.warning("stored %s ignored: %s", self.label, reason)
        return loaded.value

    def save(self, value: bytes) -> bool:
        """Saves a value; returns True once it is on disk, False if that fails or after `close`.

        After a failure the store holds the previous value, or this one if only the sync of the folder failed.
        """
        with self.lock:
            return not self.closed and self._save(value)

    def _save(self, value: bytes) -> bool:
        try:
            if not self.store.is_open:
                self.store.open()
            self.store.save(value)
        except (OSError, StoreError) as error:
            self._record_failure(error)
            return False
        if self.failures:
            log.info("saving %s succeeded again", self.label)
        self.failures = 0
        return True

    def _record_failure(self, error: Exception) -> None:
        # Logs only the first of consecutive failures: in an upgrade, saves fail until the old process ends.
        if not self.failures:
            log.warning("saving %s failed: %s", self.label, error)
        self.failures += 1

    async def save_in_thread(self, value: bytes) -> bool:
        """Like `save`, but in a thread, since a sync to disk may take longer than a request's deadline."""
        try:
            return await asyncio.get_running_loop().run_in_executor(None, self.save, value)
        except RuntimeError as error:  # the system cannot start another thread
            self._record_failure(error)
            return False

    def backoff(self, interval: float) -> float:
        """Returns the seconds until the next save: `interval`, doubled per failure up to MAX_BACKOFF."""
        delay = interval * (1 << min(self.failures, 16))
        return min(delay, max(interval, MAX_BACKOFF))

    def close(self, value: bytes | None = None) -> None:
        """Saves a final value, if one is given, and releases the store.

        Waits for a save in progress. A save that has not started writes nothing, so that it cannot overwrite
        the final value.
        """
        self.closed = True
        with self.lock:
            if value is not None:
                self._save(value)
            self.store.close()
