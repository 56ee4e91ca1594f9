"""Requests that are not completely answered yet, and their attempts in flight."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from applehub import interface as api
from applehub.node.attempt_clock import AttemptClock
from applehub.node.call import Call, Exchange
from applehub.node.stream import Stream


class Reply(Protocol):
    """The destination of the answer to a request."""

    def set_answer(self, answer: bytes) -> None:
        """Sets the complete answer, which is sent after the earlier answers of the connection."""

    def can_hold(self, size: int) -> bool:
        """Returns whether an answer of `size` bytes is written at once, or memory is left to hold it."""

    def begin_stream(self, stream: Stream) -> None:
        """Starts to stream a long answer."""

    def withdraw_stream(self) -> None:
        """Drops a long answer of which nothing was passed on; another answer follows."""

    def client_is_connected(self) -> bool:
        """Returns whether the client is still connected."""

    def abort_stream(self) -> None:
        """Aborts a long answer that cannot be completed."""


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    request: "PendingRequest"
    number: int  # counted from 0 within the request
    server: str
    sent_at: int  # monotonic ns
    long_answer_at: int = 0  # monotonic ns at which a long answer started
    exchange: Exchange | None = None
    clock: AttemptClock | None = None
    delivery_timer: asyncio.TimerHandle | None = None

    def cancel_timers(self) -> None:
        """Stops and drops the clock, which refers to this attempt, and cancels the check of the delivery."""
        if self.clock is not None:
            self.clock.stop()
            self.clock = None
        if self.delivery_timer is not None:
            self.delivery_timer.cancel()


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request and its state.

    It is open until its answer has been given, or a part of a long answer was passed on. A request that is
    open ends by its deadline, a long answer by the `AttemptClock`.
    """

    id: str
    call: Call
    reply: Reply
    deadline: int  # monotonic ns
    executes_once: bool  # whether its id must not be executed again
    open: bool = True
    may_have_run: bool = False
    stream: Stream | None = None  # a long answer that is being streamed
    attempts_made: int = 0
    local_failures: int = 0  # attempts that could not start because of a failure on this machine
    attempt: Attempt | None = None
    previous_result: api.Status | None = None  # that of the latest attempt that has ended
    deadline_timer: asyncio.TimerHandle | None = None
