"""The list of servers last known, kept on disk so that a start is not older than the crash before it."""

import asyncio
import logging

import orjson

from applehub.node.saver import Saver
from applehub.settings import Json

FORM = 1  # the value is JSON as discovery words it: rev, and targets with every key as it came
PAUSE = 1.0  # s between two saves: a fleet that rolls changes its list many times a second
log = logging.getLogger("applehub")


class KeptList:
    """Gathers what discovery tells, and saves it beside the event loop."""

    def __init__(self, folder: str) -> None:
        """Raises OSError where the folder can't be made."""
        self.saver = Saver(folder, "list", FORM, "the list")
        self.rev = 0
        self.targets: dict[str, Json] = {}
        self.saved = True
        self.saving: asyncio.Task[None] | None = None

    def load(self, known: Json) -> Json:
        """The list to start from: the one that was kept, if it is newer than what the platform hands over.
        The version stays the platform's, so that discovery tells again whatever came after that."""
        if not isinstance(known, dict) or not isinstance(known.get("targets"), list):
            return known  # of no use: the directory says why
        start = {**known, "targets": self._newer(known.get("rev", 0)) or known.get("targets", [])}
        self.note({**start, "rev": known.get("rev", 0)}, True)
        self.saved = True
        return start

    def _newer(self, rev: int) -> list[Json] | None:
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

    def note(self, answer: Json, whole: bool) -> None:
        """Takes up what discovery told and the directory took."""
        if whole:
            self.targets.clear()
        for one in answer["targets"]:
            name = one.get("uid") if isinstance(one, dict) else None
            if isinstance(name, str):
                if one.get("state") == "Gone":
                    self.targets.pop(name, None)
                else:
                    self.targets[name] = one
        self.rev, self.saved = answer["rev"], False

    def take(self, answer: Json, whole: bool) -> None:
        """The same, and sees to it that it is saved: at once, or PAUSE after the last time."""
        self.note(answer, whole)
        if self.saving is None or self.saving.done():
            self.saving = asyncio.get_running_loop().create_task(self._save_soon())

    async def _save_soon(self) -> None:
        while not self.saved:
            value = self._value()
            self.saved = True
            if not await self.saver.save_aside(value):
                self.saved = False
            await asyncio.sleep(PAUSE)

    def _value(self) -> bytes:
        return orjson.dumps({"rev": self.rev, "targets": list(self.targets.values())})

    def close(self) -> None:
        """The last save, and lets go."""
        if self.saving is not None:
            self.saving.cancel()
        if not self.saved:
            self.saver.save(self._value())
        self.saver.close()
