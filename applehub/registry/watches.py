"""Answers to routers: each encoded once for all that ask the same, and watchers woken in a spread."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

import orjson

from applehub.registry.entries import Entries

WOKEN = 64  # watchers woken in one turn of the loop, so that renewals and peers are not kept waiting
REST = (
    0.1  # s after a round of waking in which changes gather for the next: thousands of answers cost as much
)
MOST_KEPT = 16 << 20  # bytes of encoded answers: each watcher may have a view, or a version, of its own


class Answers:
    """Encoded answers of one version of the list."""

    def __init__(self) -> None:
        self.version = -1
        self.kept: OrderedDict[tuple[int | None, str], tuple[bytes, bool, dict[str, str]]] = OrderedDict()
        self.size = 0  # bytes of those that are kept

    def get(self, entries: Entries, since: int | None, view: str) -> tuple[bytes, bool, dict[str, str]]:
        """The body for a caller that holds a version, whether it is the whole list, and the states it
        tells."""
        if entries.version != self.version:
            self.kept.clear()
            self.size = 0
            self.version = entries.version
        whole, told = entries.since(since)
        key = (None if whole else since, view)
        if key not in self.kept:
            targets = [one.target(view) for one in told]
            body = orjson.dumps({"rev": entries.version, "all": whole, "targets": targets})
            self.kept[key] = body, whole, {one.uid: one.state for one in told}
            self.size += len(body)
            while self.size > MOST_KEPT and len(self.kept) > 1:
                self.size -= len(self.kept.popitem(last=False)[1][0])
        return self.kept[key]


class Watchers:
    """Callers that wait for a newer version."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[asyncio.Future[None], None] = {}
        self._waking = self._again = False

    async def wait(self, seconds: float) -> None:
        """Returns when there is a change, or the time is over."""
        future: asyncio.Future[None] = self.loop.create_future()
        self.waiting[future] = None
        try:
            await asyncio.wait_for(future, seconds)
        except TimeoutError:
            pass
        finally:
            self.waiting.pop(future, None)

    def wake(self) -> None:
        """There is a change: told at once after a quiet time, else with those of the rest after the round
        before."""
        if self._waking:
            self._again = True
        else:
            self._waking = True
            self._some(list(self.waiting))

    def _some(self, left: list["asyncio.Future[None]"]) -> None:
        for future in left[:WOKEN]:
            if not future.done():
                future.set_result(None)
        if len(left) > WOKEN:
            self.loop.call_soon(self._some, left[WOKEN:])
        else:
            self.loop.call_later(REST, self._rested)

    def _rested(self) -> None:
        self._waking = False
        if self._again:
            self._again = False
            self.wake()


class Turns:
    """Whole lists in turn: so many a second; who would wait too long is told when to come again."""

    def __init__(self, a_second: float, patience: float, now: Callable[[], float]) -> None:
        self.step, self.patience, self.now = 1 / a_second, patience, now
        self.free_at = 0.0

    def take(self) -> tuple[float, float]:
        """Seconds to wait for the turn, or, second, until to come again; the other is 0."""
        wait = max(0.0, self.free_at - self.now())
        if wait > self.patience:
            return 0.0, wait
        self.free_at = max(self.free_at, self.now()) + self.step
        return wait, 0.0
