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
from enum import Enum
from typing import Protocol

from applehub.node.progress import MIN_CLIENT_PROGRESS, ProgressMeter

COMMAND_TIMEOUT = 2.5  # seconds; a client that stops within a command is owed a close within 3 s


class CommandPhase(Enum):
    """What has come of a client's next command."""

    NONE = 0
    SILENT = 1
    HEAD = 2
    VALUE = 3


class TimedClient(Protocol):
    """The connection of a client, as its clock uses it."""

    def command_timed_out(self) -> None:
        """Ends the connection, as its client has taken too long for a command."""

    def has_unread_input(self) -> bool:
        """Returns whether the kernel holds bytes of the client that were not read yet."""


class CommandClock:
    """Tells a client's connection once the client has taken too long for its next command."""

    __slots__ = ("_client", "_progress", "phase", "timer")

    def __init__(self, client: TimedClient) -> None:
        self._client: TimedClient | None = client
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

    def stop(self) -> None:
        """Stops the clock for good, and drops the reference to the connection."""
        self.enter(CommandPhase.NONE)
        self._client = None

    def _restart(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.phase is not CommandPhase.NONE:
            loop = asyncio.get_running_loop()
            self._progress = ProgressMeter(loop.time(), MIN_CLIENT_PROGRESS)
            self.timer = loop.call_later(COMMAND_TIMEOUT, self._check)

    def _check(self) -> None:
        assert self._client is not None
        if not self._client.has_unread_input():
            self._client.command_timed_out()
            return
        # It may have come in time, while this process stood still. It is read before a timer that is due now.
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(loop.time(), self._client.command_timed_out)
