"""A value that a process keeps on disk while it serves: saved beside the event loop, complained of once."""

import asyncio
import logging
import threading

from applehub.durable.folder import Folder
from applehub.durable.store import Store, StoreError

log = logging.getLogger("applehub")


class Saver:
    """A store that may be another process's for a while, as the old one's during an upgrade."""

    def __init__(self, folder: str, name: str, form: int, what: str) -> None:
        """what: how the log calls it. Raises OSError where the folder can't be made."""
        self.store, self.what = Store(Folder(folder), name, form), what
        self.complained = False
        self.alone = threading.Lock()  # the last save may come while one is still under way in its thread

    def load(self) -> bytes | None:
        """What was kept, with a line in the log for each file of no use; none where there is none."""
        try:
            loaded = self.store.load()
        except OSError as problem:
            log.warning("%s is passed over: %s", self.what, problem)
            return None
        for why in loaded.passed_over:
            log.warning("%s is passed over: %s", self.what, why)
        return loaded.value

    def save(self, value: bytes) -> bool:
        """Whether it is kept now; if not, the one before holds."""
        try:
            with self.alone:
                if not self.store.held:
                    self.store.open()
                self.store.save(value)
        except (OSError, StoreError) as problem:
            # Said once: as a rule the old process of an upgrade holds it, until that ends.
            if not self.complained:
                log.warning("%s can't be kept: %s", self.what, problem)
            self.complained = True
            return False
        self.complained = False
        return True

    async def save_aside(self, value: bytes) -> bool:
        """The same in a thread: a sync may take longer than a request waits."""
        return await asyncio.get_running_loop().run_in_executor(None, self.save, value)

    def close(self) -> None:
        """Lets go."""
        with self.alone:
            self.store.close()
