"""Waits for the trigger events of a plan by following the events files of all processes."""

import asyncio
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from applehub.events import EventRecord, complete_lines, parse_event
from applehub.lab.fleet.history import event_files
from applehub.lab.fleet.plan import Trigger

POLL_PERIOD_S = 0.02


@dataclass(eq=False)
class _Waiter:
    trigger: Trigger
    remaining: int
    fired: asyncio.Event


class EventFollower:
    """Follows all events files in a folder tree."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.offsets: dict[Path, int] = {}
        self.waiters: list[_Waiter] = []
        self.task: asyncio.Task[None] | None = None

    async def wait(self, trigger: Trigger) -> None:
        """Waits until `trigger.count` matching events have been written after this call."""
        self.read_new_events()  # skips events that are already written
        waiter = _Waiter(trigger, trigger.count, asyncio.Event())
        self.waiters.append(waiter)
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._follow())
        try:
            await waiter.fired.wait()
        finally:
            self.waiters.remove(waiter)

    async def _follow(self) -> None:
        while self.waiters:
            await asyncio.sleep(POLL_PERIOD_S)
            self.read_new_events()

    def read_new_events(self) -> None:
        for path in event_files(self.folder):
            lines = complete_lines(path, self.offsets.get(path, 0))
            self.offsets[path] = self.offsets.get(path, 0) + sum(map(len, lines))
            if self.waiters:
                for line in lines:
                    self._match(parse_event(line))

    def _match(self, record: EventRecord) -> None:
        for waiter in self.waiters:
            wanted = waiter.trigger
            if (
                record.event is wanted.event
                and fnmatchcase(record.process, wanted.process)
                and all(record.fields.get(name) == value for name, value in wanted.match.items())
            ):
                waiter.remaining -= 1
                if waiter.remaining <= 0:
                    waiter.fired.set()
