"""Persists the statistics that the policy has collected of each server, for the next process of this router.

The value is JSON: when it was saved, as `boot_id` and `monotonic_ms` (the machine's monotonic clock) and, for
older versions, as `wall_ms` (Unix time, ms); and `servers`, which maps each server id to four values: the
moving average of response times (ns), the minimum of that average (ns), the attempts in flight, and the
fraction of its key range that the server can serve.

After a restart of the machine the age of the statistics is unknown, since wall clocks may be stepped; they
are then ignored.
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
SAVE_INTERVAL = 5.0  # seconds; a crash loses at most the statistics of this period
log = logging.getLogger("applehub")


class PersistedStatistics:
    """The statistics of servers: loaded once at the start, then saved every few seconds."""

    def __init__(self, folder: str, get_statistics: Callable[[], api.SavedStatistics]) -> None:
        """get_statistics: returns the current statistics. Raises OSError if the folder cannot be created."""
        self.saver, self.get_statistics = (
            Saver(folder, "learnt", FORMAT_VERSION, "server statistics"),
            get_statistics,
        )
        self.boot_id = boot_id()
        self.save_task: asyncio.Task[None] | None = None

    def load(self) -> api.SavedStatistics | None:
        """Returns the statistics of the previous process, with their age.

        Returns None if there are none, if they cannot be read, or if their age is unknown.
        """
        value = self.saver.load()
        if value is None:
            return None
        try:
            stored = orjson.loads(value)
            age = self._age(stored)
            servers = {
                name: api.ServerStatistics(*map(float, fields)) for name, fields in stored["servers"].items()
            }
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("stored server statistics ignored: %s: %s", type(error).__name__, error)
            return None
        if age is None or age < 0:
            log.info("stored server statistics ignored: their age is unknown")
            return None
        return api.SavedStatistics(age, servers)

    def _age(self, stored: Json) -> int | None:
        """Returns the age of statistics (ns); None or a negative value if unknown. Raises KeyError."""
        if "boot_id" not in stored:  # saved by an older version, which stored only the time of the wall clock
            return time.time_ns() - int(stored["wall_ms"]) * NS_PER_MS
        if stored["boot_id"] != self.boot_id or not self.boot_id:
            return None
        return time.monotonic_ns() - int(stored["monotonic_ms"]) * NS_PER_MS

    def start(self) -> None:
        """Starts saving periodically; needs a running event loop."""
        self.save_task = asyncio.get_running_loop().create_task(self._save_periodically())

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(self.saver.backoff(SAVE_INTERVAL))
            await self.saver.save_in_thread(self._encode())

    def _encode(self) -> bytes:
        servers = {
            name: (
                round(statistics.latency),
                round(statistics.base_latency),
                round(statistics.mean_in_flight, 3),
                round(statistics.range_fraction, 4),
            )
            for name, statistics in self.get_statistics().servers.items()
        }
        times = {
            "wall_ms": time.time_ns() // NS_PER_MS,
            "boot_id": self.boot_id,
            "monotonic_ms": time.monotonic_ns() // NS_PER_MS,
        }
        return orjson.dumps({**times, "servers": servers})

    def close(self) -> None:
        """Saves the current statistics, and releases the store."""
        if self.save_task is not None:
            self.save_task.cancel()
        self.saver.close(self._encode())
