"""Long polls that wait for a change of the list, and are woken in batches."""

import asyncio
import contextlib

WAKE_BATCH = 64  # watchers woken per event loop iteration, so that other tasks are not delayed
# Seconds between two rounds of waking; changes in between are sent together. Thousands of answers take as
# long.
WAKE_PAUSE = 0.1


class Watchers:
    """Long polls that wait for a newer version of the list."""

    def __init__(self) -> None:
        """Starts without watchers. Requires a running event loop."""
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[asyncio.Future[None], None] = {}  # used as an ordered set
        self._waking = self._wake_again = False

    async def wait(self, seconds: float) -> None:
        """Waits for a change, for at most `seconds`."""
        future: asyncio.Future[None] = self.loop.create_future()
        self.waiting[future] = None
        try:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(future, seconds)
        finally:
            self.waiting.pop(future, None)

    def wake(self) -> None:
        """Wakes all watchers after a change: at once or, if a round is in progress, in the next round."""
        if self._waking:
            self._wake_again = True
        else:
            self._waking = True
            self._wake_batch(list(self.waiting))

    def _wake_batch(self, remaining: list["asyncio.Future[None]"]) -> None:
        for future in remaining[:WAKE_BATCH]:
            if not future.done():
                future.set_result(None)
        if len(remaining) > WAKE_BATCH:
            self.loop.call_soon(self._wake_batch, remaining[WAKE_BATCH:])
        else:
            self.loop.call_later(WAKE_PAUSE, self._end_round)

    def _end_round(self) -> None:
        self._waking = False
        if self._wake_again:
            self._wake_again = False
            self.wake()
