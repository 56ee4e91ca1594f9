"""Waiting on events: reads what all processes write as they write it, and tells when what a plan waits for
has come."""

import asyncio
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from applehub.events import EventRecord, complete_lines, parse_event
from applehub.lab.fleet.history import files
from applehub.lab.fleet.plan import Trigger

LOOK = 0.02  # s between looks at the files


@dataclass(eq=False)
class _Armed:
    trigger: Trigger
    left: int
    met: asyncio.Event


class Tail:
    """Follows every events file below a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.read: dict[Path, int] = {}
        self.armed: list[_Armed] = []
        self.task: asyncio.Task[None] | None = None

    async def wait(self, trigger: Trigger) -> None:
        """Returns once as many such events as wanted have come, from now on."""
        self.look()  # what has come already counts for none
        armed = _Armed(trigger, trigger.count, asyncio.Event())
        self.armed.append(armed)
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._follow())
        try:
            await armed.met.wait()
        finally:
            self.armed.remove(armed)

    async def _follow(self) -> None:
        while self.armed:
            await asyncio.sleep(LOOK)
            self.look()

    def look(self) -> None:
        for path in files(self.folder):
            lines = complete_lines(path, self.read.get(path, 0))
            self.read[path] = self.read.get(path, 0) + sum(map(len, lines))
            if self.armed:
                for line in lines:
                    self._offer(parse_event(line))

    def _offer(self, record: EventRecord) -> None:
        for armed in self.armed:
            wanted = armed.trigger
            if (
                record.event is wanted.event
                and fnmatchcase(record.process, wanted.process)
                and all(record.fields.get(name) == value for name, value in wanted.match.items())
            ):
                armed.left -= 1
                if armed.left <= 0:
                    armed.met.set()
