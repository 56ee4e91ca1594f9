"""What a router has learnt of its servers, kept on disk for the process that comes after it.

The value is JSON: `wall_ms`, when it was kept (Unix time), and `servers`, by id the moving average of answer
times, the least of it, the attempts out meanwhile, and the part of its range that it bears (ns, ns, number,
part)."""

import asyncio
import logging
import time
from collections.abc import Callable

import orjson

from applehub import interface as api
from applehub.node.saver import Saver

FORM = 1
PAUSE = 5.0  # s between two saves: so much of what was learnt a crash may cost
log = logging.getLogger("applehub")


class KeptLearnt:
    """Loads it at the start, and saves it every few seconds."""

    def __init__(self, folder: str, learnt: Callable[[], api.Learnt]) -> None:
        """Raises OSError where the folder can't be made."""
        self.saver, self.learnt = Saver(folder, "learnt", FORM, "what was learnt"), learnt
        self.saving: asyncio.Task[None] | None = None

    def load(self) -> api.Learnt | None:
        """What the process before had learnt, with its age by the wall clock: where that was set back, nobody
        knows how old it is, and it is not used."""
        value = self.saver.load()
        if value is None:
            return None
        try:
            told = orjson.loads(value)
            age = time.time_ns() - told["wall_ms"] * 1_000_000
            servers = {name: api.Seen(*map(float, seen)) for name, seen in told["servers"].items()}
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            log.warning("what was learnt is passed over: %s: %s", type(problem).__name__, problem)
            return None
        return api.Learnt(age, servers) if age >= 0 else None

    def start(self) -> None:
        self.saving = asyncio.get_running_loop().create_task(self._save())

    async def _save(self) -> None:
        while True:
            await asyncio.sleep(PAUSE)
            await self.saver.save_aside(self._value())

    def _value(self) -> bytes:
        servers = {
            name: (round(one.latency), round(one.base), round(one.held, 3), round(one.share, 4))
            for name, one in self.learnt().servers.items()
        }
        return orjson.dumps({"wall_ms": time.time_ns() // 1_000_000, "servers": servers})

    def close(self) -> None:
        """The last save, and lets go."""
        if self.saving is not None:
            self.saving.cancel()
        self.saver.save(self._value())
        self.saver.close()
