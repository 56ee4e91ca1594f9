"""Virtual time for tests with real sockets: the clock advances only while no socket is ready.

Waits take no real time and computations no virtual time, so the speed of the machine does not matter.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from applehub.node import arrivals

SETTLE_TIME = 0.001  # seconds of real time without a ready socket after which all sent data has arrived
HANG_TIMEOUT = 30.0  # seconds of real time with no timer and no ready socket after which the test fails


class _SkippingSelector(selectors.DefaultSelector):
    """Polls the sockets and, if none is ready, advances the clock by the timeout."""

    skip_time: Callable[[float], None]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0:
            return super().select(0)
        ready = super().select(HANG_TIMEOUT if timeout is None else SETTLE_TIME)
        if not ready and timeout is None:
            raise TimeoutError("the test hangs: no timer is pending and no socket becomes ready")
        if not ready and timeout is not None:
            self.skip_time(timeout)
        return ready


class _TimedSkippingSelector(arrivals.TimedSelector, _SkippingSelector):
    """A TimedSelector on virtual time."""


class VirtualTimeLoop(arrivals.TimedEventLoop):
    """An event loop on virtual time, in seconds."""

    def __init__(self) -> None:
        selector = _TimedSkippingSelector()
        selector.skip_time = self._skip_time
        self.now = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def _skip_time(self, seconds: float) -> None:
        self.now += seconds


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch, test: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a test in virtual time, which also replaces the monotonic clock of the module `time`."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = runner.get_loop()
        monkeypatch.setattr(time, "monotonic_ns", lambda: int(loop.time() * 1e9))
        monkeypatch.setattr(time, "monotonic", loop.time)
        try:
            runner.run(test())
        finally:
            monkeypatch.undo()
