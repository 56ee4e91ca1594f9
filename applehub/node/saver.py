"""Saves a value to disk while the router serves, without blocking its event loop."""

import asyncio
import logging
import threading

from applehub.durable.folder import Folder
from applehub.durable.store import Store, StoreError

MAX_PAUSE = 8.0  # s between two saves that fail, at most: a crash after the disk's return costs no more
log = logging.getLogger("applehub")


class Saver:
    """A store for one value. During an upgrade the old process holds it, and saves fail until that ends."""

    def __init__(self, folder: str, name: str, format_version: int, what: str) -> None:
        """name, format_version: of the store. what: the value, for the log.

        Raises OSError if the folder cannot be created.
        """
        self.store, self.what = Store(Folder(folder), name, format_version), what
        self.failures = 0  # saves in a row
        self.closed = False
        # Held while the store is used: `close` may come during a save in a thread.
        self.alone = threading.Lock()

    @property
    def complained(self) -> bool:
        """Whether the last save failed, which was logged."""
        return self.failures > 0

    def load(self) -> bytes | None:
        """The value saved last, None if there is none; each file that cannot be used is logged."""
        try:
            loaded = self.store.load()
        except OSError as problem:
            log.warning("%s is passed over: %s", self.what, problem)
            return None
        for why in loaded.passed_over:
            log.warning("%s is passed over: %s", self.what, why)
        return loaded.value

    def save(self, value: bytes) -> bool:
        """Saves a value; returns once it is on disk. False if that fails, or after `close`.

        The value before remains then, or this one where only the folder's sync was refused.
        """
        with self.alone:
            return not self.closed and self._save(value)

    def _save(self, value: bytes) -> bool:
        try:
            if not self.store.is_open:
                self.store.open()
            self.store.save(value)
        except (OSError, StoreError) as problem:
            self._failed(problem)
            return False
        if self.failures:
            log.info("%s is kept again", self.what)
        self.failures = 0
        return True

    def _failed(self, problem: Exception) -> None:
        # Logged once until a save succeeds: during an upgrade each save fails until the old process ends.
        if not self.failures:
            log.warning("%s can't be kept: %s", self.what, problem)
        self.failures += 1

    async def save_in_thread(self, value: bytes) -> bool:
        """As `save`, in a thread: a sync to disk may take longer than a request may wait."""
        try:
            return await asyncio.get_running_loop().run_in_executor(None, self.save, value)
        except RuntimeError as problem:  # the system gives no further thread
            self._failed(problem)
            return False

    def pause(self, interval: float) -> float:
        """Seconds until the next save: the interval, doubled for each failure in a row, up to MAX_PAUSE."""
        doubled = interval * (1 << min(self.failures, 16))
        return min(doubled, max(interval, MAX_PAUSE))

    def close(self, value: bytes | None = None) -> None:
        """Saves a last value, if one is given, and releases the store.

        Waits for a save that is under way; one that has not begun saves nothing any more, so that the last
        value stays the last.
        """
        self.closed = True
        with self.alone:
            if value is not None:
                self._save(value)
            self.store.close()
