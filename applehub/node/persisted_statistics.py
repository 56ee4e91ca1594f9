"""Persists what the decisions have measured of each server, for the process that follows this one.

The value is JSON: when it was saved, as `boot_id` and `monotonic_ms` (the machine's monotonic clock) and, for
older versions, as `wall_ms` (Unix time, ms); and `servers`, by id a list of four: the moving average of
answer times (ns), the least of that average (ns), the attempts in flight meanwhile, and the part of its key
range that the server bears.

Past a restart of the machine nothing tells how old the statistics are, since wall clocks may be stepped: they
are passed over.
"""

import asyncio
import logging
import time
from collections.abc import Callable

import orjson

from applehub import interface as api
from applehub.node.machine_time import boot_id
from applehub.node.saver import Saver
from applehub.settings import Json

FORMAT_VERSION = 1
NS_PER_MS = 1_000_000
SAVE_INTERVAL = 5.0  # s between two saves, and so the most measurements that a crash may cost
log = logging.getLogger("applehub")


class PersistedStatistics:
    """The statistics of servers: loaded once at the start, then saved every few seconds."""

    def __init__(self, folder: str, learnt: Callable[[], api.Learnt]) -> None:
        """learnt: returns the present statistics. Raises OSError if the folder cannot be created."""
        self.saver, self.learnt = Saver(folder, "learnt", FORMAT_VERSION, "what was learnt"), learnt
        self.boot_id = boot_id()
        self.saving: asyncio.Task[None] | None = None

    def load(self) -> api.Learnt | None:
        """The statistics of the process before, with their age.

        None if there are none, if they cannot be read, or if their age is unknown.
        """
        value = self.saver.load()
        if value is None:
            return None
        try:
            kept = orjson.loads(value)
            age = self._age(kept)
            servers = {name: api.Seen(*map(float, seen)) for name, seen in kept["servers"].items()}
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            log.warning("what was learnt is passed over: %s: %s", type(problem).__name__, problem)
            return None
        if age is None or age < 0:
            log.info("what was learnt is passed over: how old it is can't be told")
            return None
        return api.Learnt(age, servers)

    def _age(self, kept: Json) -> int | None:
        """How long ago statistics were saved (ns); None, or less than 0, if unknown. Raises KeyError."""
        if "boot_id" not in kept:  # saved by an older version, which told the wall clock's time alone
            return time.time_ns() - int(kept["wall_ms"]) * NS_PER_MS
        if kept["boot_id"] != self.boot_id or not self.boot_id:
            return None
        return time.monotonic_ns() - int(kept["monotonic_ms"]) * NS_PER_MS

    def start(self) -> None:
        """Begins to save at intervals; needs a running event loop."""
        self.saving = asyncio.get_running_loop().create_task(self._save_at_intervals())

    async def _save_at_intervals(self) -> None:
        while True:
            await asyncio.sleep(self.saver.pause(SAVE_INTERVAL))
            await self.saver.save_in_thread(self._value())

    def _value(self) -> bytes:
        servers = {
            name: (round(one.latency), round(one.base), round(one.held, 3), round(one.share, 4))
            for name, one in self.learnt().servers.items()
        }
        times = {
            "wall_ms": time.time_ns() // NS_PER_MS,
            "boot_id": self.boot_id,
            "monotonic_ms": time.monotonic_ns() // NS_PER_MS,
        }
        return orjson.dumps({**times, "servers": servers})

    def close(self) -> None:
        """Saves a last time, and releases the store."""
        if self.saving is not None:
            self.saving.cancel()
        self.saver.close(self._value())
