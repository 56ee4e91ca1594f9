"""A clock that the tests hold: real sockets, and time that passes only while nothing is ready on them.

A wait of seconds takes none, and how fast the machine is changes nothing: time stands still during work."""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from applehub.node import arrivals

SETTLED = 0.001  # s of real time without a sign on any socket after which what was sent has arrived
STUCK = 30.0  # s of real time with no timer and nothing to read: the test waits in vain


class _Selector(selectors.DefaultSelector):
    """Looks at the sockets; where none is ready, it passes the time that it was to wait."""

    skip: Callable[[float], None]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0:
            return super().select(0)
        ready = super().select(STUCK if timeout is None else SETTLED)
        if not ready and timeout is None:
            raise TimeoutError("nothing is due and nothing comes")
        if not ready and timeout is not None:
            self.skip(timeout)
        return ready


class _Looks(arrivals.Looks, _Selector):
    """The same, which keeps when it looked."""


class Loop(arrivals.Loop):
    """An event loop on that clock, in seconds."""

    def __init__(self) -> None:
        selector = _Looks()
        selector.skip = self._skip
        self.now = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    def _skip(self, seconds: float) -> None:
        self.now += seconds


def play(monkeypatch: pytest.MonkeyPatch, test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a test on such a loop; what reads the system's clock sees the same time."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        loop = runner.get_loop()
        monkeypatch.setattr(time, "monotonic_ns", lambda: int(loop.time() * 1e9))
        monkeypatch.setattr(time, "monotonic", loop.time)
        try:
            runner.run(test())
        finally:
            monkeypatch.undo()
