"""The clock of an attempt: the time limit that ends it in each phase of its response.

| phase | what has come | ended at |
|---|---|---|
| waiting | nothing | the attempt's timeout |
| responding | a part of the response, but nothing of a long value | the due time of the answer |
| held | a part of a long value, nothing of which was passed on | that, or later while more of it comes |
| forwarding | a part of a long value, some of which was passed on | the end of progress, after the due time |
| received | a long value, but not the end of the response | the end of progress |

So the policy's timeout ends a server that has said nothing, and never one that has begun to answer. All times
are seconds on the event loop's clock.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from applehub.node.progress import MIN_PROGRESS
from applehub.node.stream import Stream

# Seconds without progress after which a server is given up within a value that is passed on. A peer that
# stops in the middle of a message and stays is owed a close within 3 s.
STALL_TIMEOUT = 2.5
# The same within a value that is held back: its error is due half a second after the answer was.
HELD_STALL_TIMEOUT = 0.4
CHECK_INTERVAL = 0.25  # maximum seconds between two checks of the progress of a long answer


class AttemptPhase(Enum):
    """What has come of the response to an attempt, which never returns to an earlier phase."""

    WAITING = 1
    RESPONDING = 2
    HELD = 3
    FORWARDING = 4
    RECEIVED = 5


class AttemptClock:
    """Calls a function once the time of an attempt is up, unless it is stopped before."""

    __slots__ = (
        "_due", "_has_unread_response", "_on_expired", "_polled", "_responding", "_stream", "_timeout_at",
        "_timer",
    )  # fmt: skip

    def __init__(
        self,
        timeout_at: float,
        due: float,
        on_expired: Callable[[], None],
        has_unread_response: Callable[[], bool],
    ) -> None:
        """timeout_at: time at which the attempt ends if nothing of its response has come.

        due: time at which the answer to its request is due.
        has_unread_response: returns whether the kernel holds bytes of the response that were not read yet.
        """
        self._timeout_at, self._due = timeout_at, due
        self._on_expired, self._has_unread_response = on_expired, has_unread_response
        self._responding = False
        self._stream: Stream | None = None
        self._polled = False  # whether unread bytes were waited for since the time is up
        self._timer = asyncio.get_running_loop().call_at(timeout_at, self._check)

    @property
    def phase(self) -> AttemptPhase:
        """What has come of the response."""
        stream = self._stream
        if stream is None:
            return AttemptPhase.RESPONDING if self._responding else AttemptPhase.WAITING
        if stream.complete:
            return AttemptPhase.RECEIVED
        return AttemptPhase.FORWARDING if stream.started else AttemptPhase.HELD

    @property
    def expires_at(self) -> float:
        """The time at which the attempt ends unless more of its response comes.

        It is infinite while a long value is not read, because its client takes nothing of it.
        """
        if self.phase is AttemptPhase.WAITING:
            return self._timeout_at
        if self._stream is None:
            return self._due
        if self.phase is AttemptPhase.HELD:
            return self._held_until(self._stream)
        stalled_at = self._stream.progress.stalled_at(STALL_TIMEOUT)
        return max(self._due, stalled_at) if self.phase is AttemptPhase.FORWARDING else stalled_at

    def _held_until(self, stream: Stream) -> float:
        """Returns the time until which a value is held back unless more of it comes."""
        has_begun = stream.received >= MIN_PROGRESS or stream.progress.paused
        if not has_begun or (stream.collecting and not stream.trusted):
            return self._due
        return max(self._due, stream.progress.stalled_at(HELD_STALL_TIMEOUT))

    def response_started(self) -> None:
        """Records that the first byte of the response has come."""
        self._responding = True

    def long_answer_started(self, stream: Stream) -> None:
        """Records that the first byte of a long value has come, whose progress counts from now on."""
        self._stream = stream
        self._timer.cancel()
        self._schedule_check()

    def stop(self) -> None:
        """Stops the clock, as the attempt has ended."""
        self._timer.cancel()

    def _schedule_check(self) -> None:
        loop, check_at = asyncio.get_running_loop(), self.expires_at
        if self._stream is not None:
            check_at = min(check_at, loop.time() + CHECK_INTERVAL)
        self._timer = loop.call_at(check_at, self._check)

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        if self.expires_at > loop.time():
            self._polled = False
            self._schedule_check()
        elif not self._polled and self._has_unread_response():
            # They may have come in time, while this process stood still. They are read before the next check.
            self._polled = True
            self._timer = loop.call_at(loop.time(), self._check)
        else:
            self._on_expired()
