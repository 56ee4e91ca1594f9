"""The clock of a client's next command: how long the client may take to send it.

| phase | what has come | starts again with |
|---|---|---|
| none | nothing is awaited: the connection is idle, or waits for answers | - |
| silent | nothing yet on a new connection | - |
| head | a part of a command | - |
| value | a command but for the end of its value, that is, of a write | each MIN_CLIENT_PROGRESS bytes |

Each phase has COMMAND_TIMEOUT of its own, so that the time that a client takes in one is not missing in the
next. This prevents clients that send nothing, or stop within a command, from using up the connection limit.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from applehub.node.progress import MIN_CLIENT_PROGRESS, ProgressMeter

COMMAND_TIMEOUT = 2.5  # seconds; a client that stops within a command is owed a close within 3 s


class CommandPhase(Enum):
    """What has come of a client's next command."""

    NONE = 0
    SILENT = 1
    HEAD = 2
    VALUE = 3


class CommandClock:
    """Calls a function once a client has taken too long for its next command."""

    __slots__ = ("_has_unread_input", "_on_expired", "_progress", "phase", "timer")

    def __init__(self, on_expired: Callable[[], None], has_unread_input: Callable[[], bool]) -> None:
        """has_unread_input: returns whether the kernel holds bytes of the client that were not read yet."""
        self._on_expired, self._has_unread_input = on_expired, has_unread_input
        self._progress = ProgressMeter(0.0, MIN_CLIENT_PROGRESS)
        self.phase = CommandPhase.NONE
        self.timer: asyncio.TimerHandle | None = None

    def enter(self, phase: CommandPhase) -> None:
        """Starts the time of a phase, unless the command is in it, or in a later one, already."""
        is_earlier = CommandPhase.NONE.value < phase.value <= self.phase.value
        if phase is not self.phase and not is_earlier:
            self.phase = phase
            self._restart()

    def received(self, size: int) -> None:
        """Records received bytes, which restart the time of a value if they complete some progress."""
        if self.phase is CommandPhase.VALUE and self._progress.received(
            size, asyncio.get_running_loop().time()
        ):
            self._restart()

    def command_complete(self) -> None:
        """Ends the phase of a command; the next one has a time of its own."""
        self.enter(CommandPhase.NONE)

    def _restart(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.phase is not CommandPhase.NONE:
            loop = asyncio.get_running_loop()
            self._progress = ProgressMeter(loop.time(), MIN_CLIENT_PROGRESS)
            self.timer = loop.call_later(COMMAND_TIMEOUT, self._check)

    def _check(self) -> None:
        if not self._has_unread_input():
            self._on_expired()
            return
        # They may have come in time, while this process stood still. They are read before the next check.
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(loop.time(), self._on_expired)
