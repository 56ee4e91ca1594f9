"""Persists the list of servers, so that a restarted process knows the servers that its predecessor knew.

The value is JSON in the form of the list service's answers: `rev`, the version of the list, and `targets`,
with every key as it was received.
"""

import asyncio
import logging

import orjson

from applehub.node.saver import Saver
from applehub.settings import Json

FORMAT_VERSION = 1
SAVE_INTERVAL = 1.0  # s between two saves: a fleet that rolls changes its list many times a second
log = logging.getLogger("applehub")


class PersistedList:
    """The list of servers as last received, saved outside the event loop's thread."""

    def __init__(self, folder: str) -> None:
        """Raises OSError if the folder cannot be created."""
        self.saver = Saver(folder, "list", FORMAT_VERSION, "the list")
        self.rev = 0
        self.targets: dict[str, Json] = {}
        self.changes = 0  # merged so far
        self.saved_changes = 0  # and those of them that are on disk
        self.saving: asyncio.Task[None] | None = None

    def load(self, known: Json) -> Json:
        """The list to start from: the persisted one if its version is newer than that of `known`.

        known: the list from the configuration. The result carries the version of `known` in any case, so that
        the list service sends again whatever changed after it. A list in a wrong form is returned as it is,
        for the directory to reject.
        """
        if not isinstance(known, dict) or not isinstance(known.get("targets"), list):
            return known
        start = {**known, "targets": self._newer(known.get("rev", 0)) or known.get("targets", [])}
        self._merge({**start, "rev": known.get("rev", 0)}, True)
        self.saved_changes = self.changes
        return start

    def _newer(self, rev: int) -> list[Json] | None:
        """The persisted targets if their version is past `rev` and they can be read; otherwise None."""
        value = self.saver.load()
        if value is None:
            return None
        try:
            kept: Json = orjson.loads(value)
            if kept["rev"] <= rev:
                return None
            targets: list[Json] = list(kept["targets"])
        except (ValueError, KeyError, TypeError) as problem:
            log.warning("the list is passed over: %s: %s", type(problem).__name__, problem)
            return None
        log.info("starting from the list that was kept, version %d", kept["rev"])
        return targets

    def _merge(self, answer: Json, whole: bool) -> None:
        if whole:
            self.targets.clear()
        for target in answer["targets"]:
            name = target.get("uid") if isinstance(target, dict) else None
            if isinstance(name, str):
                if target.get("state") == "Gone":
                    self.targets.pop(name, None)
                else:
                    self.targets[name] = target
        self.rev = answer["rev"]
        self.changes += 1

    def update(self, answer: Json, whole: bool) -> None:
        """Merges an answer of the list service, and saves at once or SAVE_INTERVAL after the last save.

        A save that fails is tried again, at growing intervals (`Saver.pause`), until the disk takes it.

        whole: the answer replaces the list; otherwise it holds the changed targets alone.
        """
        self._merge(answer, whole)
        if self.saving is None or self.saving.done():
            self.saving = asyncio.get_running_loop().create_task(self._save_soon())

    async def _save_soon(self) -> None:
        while self.saved_changes < self.changes:
            changes = self.changes
            if await self.saver.save_in_thread(self._value()):
                self.saved_changes = changes
            await asyncio.sleep(self.saver.pause(SAVE_INTERVAL))

    def _value(self) -> bytes:
        return orjson.dumps({"rev": self.rev, "targets": list(self.targets.values())})

    def close(self) -> None:
        """Saves what has changed since the last save, and releases the store."""
        if self.saving is not None:
            self.saving.cancel()
        self.saver.close(self._value() if self.saved_changes < self.changes else None)
