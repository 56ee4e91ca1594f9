"""Persists the server list, so that a restarted process starts with the list of its predecessor.

The value is JSON in the form of discovery's answers: `rev`, the version of the list, and `targets`,
with every key as it was received.
"""

import asyncio
import logging

import orjson

from applehub.node.saver import Saver
from applehub.settings import Json

FORMAT_VERSION = 1
SAVE_INTERVAL = 1.0  # minimum seconds between two saves; the list can change many times a second
log = logging.getLogger("applehub")


class PersistedList:
    """The server list as last received; saved in a thread, so that the event loop is not blocked."""

    def __init__(self, folder: str) -> None:
        """folder: contains the stored list. Raises OSError if the folder cannot be created."""
        self.saver = Saver(folder, "list", FORMAT_VERSION, "server list")
        self.rev = 0
        self.targets: dict[str, Json] = {}
        self.changes = 0  # number of discovery's answers merged into the list
        self.saved_changes = 0  # number of merged answers whose result is on disk
        self.save_task: asyncio.Task[None] | None = None

    def load(self, configured: Json) -> Json:
        """Returns the list to start from: the persisted one if its version is newer than the configured one.

        configured: the list from the configuration. The result always has the version of that list, so that
        discovery sends every later change again. A malformed list is returned unchanged; the directory
        rejects it.
        """
        if not isinstance(configured, dict) or not isinstance(configured.get("targets"), list):
            return configured
        initial = {
            **configured,
            "targets": self._load_if_newer(configured.get("rev", 0)) or configured.get("targets", []),
        }
        self._merge({**initial, "rev": configured.get("rev", 0)}, True)
        self.saved_changes = self.changes
        return initial

    def _load_if_newer(self, rev: int) -> list[Json] | None:
        """Returns the persisted targets if they are readable and newer than `rev`, otherwise None."""
        value = self.saver.load()
        if value is None:
            return None
        try:
            stored: Json = orjson.loads(value)
            if stored["rev"] <= rev:
                return None
            targets: list[Json] = list(stored["targets"])
        except (ValueError, KeyError, TypeError) as error:
            log.warning("stored server list ignored: %s: %s", type(error).__name__, error)
            return None
        log.info("starting from the stored server list: version %d", stored["rev"])
        return targets

    def _merge(self, answer: Json, is_full: bool) -> None:
        if is_full:
            self.targets.clear()
        for target in answer["targets"]:
            uid = target.get("uid") if isinstance(target, dict) else None
            if isinstance(uid, str):
                if target.get("state") == "Gone":
                    self.targets.pop(uid, None)
                else:
                    self.targets[uid] = target
        self.rev = answer["rev"]
        self.changes += 1

    def update(self, answer: Json, is_full: bool) -> None:
        """Merges an answer of discovery, and saves the list at once or SAVE_INTERVAL after the last save.

        A failed save is retried with a backoff (`Saver.backoff`) until it succeeds.

        is_full: whether the answer replaces the list; otherwise it contains only the changed targets.
        """
        self._merge(answer, is_full)
        if self.save_task is None or self.save_task.done():
            self.save_task = asyncio.get_running_loop().create_task(self._save_changes())

    async def _save_changes(self) -> None:
        while self.saved_changes < self.changes:
            changes = self.changes
            if await self.saver.save_in_thread(self._encode()):
                self.saved_changes = changes
            await asyncio.sleep(self.saver.backoff(SAVE_INTERVAL))

    def _encode(self) -> bytes:
        return orjson.dumps({"rev": self.rev, "targets": list(self.targets.values())})

    def close(self) -> None:
        """Saves what has changed since the last save, and releases the store."""
        if self.save_task is not None:
            self.save_task.cancel()
        self.saver.close(self._encode() if self.saved_changes < self.changes else None)
