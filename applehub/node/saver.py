"""Saves a value to disk while the router serves, without blocking its event loop."""

import asyncio
import logging
import threading

from applehub.durable.folder import Folder
from applehub.durable.store import Store, StoreError

log = logging.getLogger("applehub")


class Saver:
    """A store for one value. During an upgrade the old process holds it, and saves fail until that ends."""

    def __init__(self, folder: str, name: str, form: int, what: str) -> None:
        """name, form: name of the store's files, and version of their content. what: the value, for the log.

        Raises OSError if the folder cannot be created.
        """
        self.store, self.what = Store(Folder(folder), name, form), what
        self.complained = False
        self.alone = (
            threading.Lock()
        )  # held while the store is used: `close` may come during a save in a thread

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
        """Saves a value; returns once it is on disk. False if that fails: the value before remains then."""
        try:
            with self.alone:
                if not self.store.held:
                    self.store.open()
                self.store.save(value)
        except (OSError, StoreError) as problem:
            # Logged once until a save succeeds: during an upgrade each save fails until the old process ends.
            if not self.complained:
                log.warning("%s can't be kept: %s", self.what, problem)
            self.complained = True
            return False
        self.complained = False
        return True

    async def save_in_thread(self, value: bytes) -> bool:
        """As `save`, in a thread: a sync to disk may take longer than a request may wait."""
        return await asyncio.get_running_loop().run_in_executor(None, self.save, value)

    def close(self) -> None:
        """Releases the store, after a save that is under way."""
        with self.alone:
            self.store.close()
