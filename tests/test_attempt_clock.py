"""The phases of an attempt, and the time limit that ends it in each of them."""

import asyncio
import math

import pytest
from virtual_time import run_in_virtual_time

from applehub.node.attempt_clock import (
    HELD_STALL_TIMEOUT,
    STALL_TIMEOUT,
    AttemptClock,
    AttemptPhase,
)
from applehub.node.progress import MIN_PROGRESS
from applehub.node.stream import MAX_HOLD_TIME, Stream

TIMEOUT, DUE = 0.3, 5.0  # seconds from the start of the attempt
SIZE = 1 << 20


class IdleSource:
    """A source that ignores whether it is read."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class IgnoringObserver:
    """An observer of a stream that does nothing."""

    def stream_started(self) -> None: ...

    def stream_completed(self) -> None: ...

    def stream_rejected(self) -> None: ...


class ClockUnderTest:
    """A clock, the times since its start, and the bytes that the kernel is said to hold.

    unread: number of checks at which there is unread input.
    """

    def __init__(self, due: float = DUE) -> None:
        self.loop = asyncio.get_running_loop()
        self.started, self.expired_at, self.unread = self.loop.time(), math.inf, 0
        self.clock = AttemptClock(
            self.started + TIMEOUT, self.started + due, self._expire, self._has_unread_response
        )
        self.stream = Stream(SIZE, IdleSource(), self.started + due, IgnoringObserver())

    def _expire(self) -> None:
        self.expired_at = self.loop.time() - self.started

    def _has_unread_response(self) -> bool:
        self.unread -= 1
        return self.unread >= 0

    async def expires(self) -> float:
        """Returns the seconds from the start until the clock has expired."""
        while self.expired_at == math.inf:
            await asyncio.sleep(0.01)
        return self.expired_at


def test_silent_server_is_ended_by_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        assert attempt.clock.phase is AttemptPhase.WAITING
        assert await attempt.expires() == pytest.approx(TIMEOUT)

    run_in_virtual_time(monkeypatch, test)


def test_response_that_has_begun_is_ended_at_due_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        await asyncio.sleep(TIMEOUT - 0.01)
        attempt.clock.response_started()
        assert attempt.clock.phase is AttemptPhase.RESPONDING
        assert await attempt.expires() == pytest.approx(DUE)

    run_in_virtual_time(monkeypatch, test)


# Guards against a value that is given up before its time, because its server rests while others wait.
@pytest.mark.parametrize("received", [1, MIN_PROGRESS])
@pytest.mark.parametrize("trusted", [False, True])
def test_held_value_is_not_ended_before_due_time(
    monkeypatch: pytest.MonkeyPatch, trusted: bool, received: int
) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        attempt.stream.collect()
        if not trusted:
            attempt.stream.distrust()
        attempt.clock.long_answer_started(attempt.stream)
        attempt.stream.feed(bytes(received))
        assert attempt.clock.phase is AttemptPhase.HELD and MAX_HOLD_TIME < DUE
        assert await attempt.expires() == pytest.approx(DUE)

    run_in_virtual_time(monkeypatch, test)


def test_held_value_that_still_comes_at_due_time_is_ended_after_its_progress(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        attempt.stream.collect()
        attempt.clock.long_answer_started(attempt.stream)
        await asyncio.sleep(DUE - 0.1)
        attempt.stream.feed(bytes(MIN_PROGRESS))
        assert await attempt.expires() == pytest.approx(DUE - 0.1 + HELD_STALL_TIMEOUT)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("due", [0.5, DUE])
def test_forwarded_value_is_ended_after_its_progress_but_not_before_due_time(
    monkeypatch: pytest.MonkeyPatch, due: float
) -> None:
    async def test() -> None:
        attempt = ClockUnderTest(due)
        attempt.clock.long_answer_started(attempt.stream)
        attempt.stream.feed(bytes(MIN_PROGRESS))
        attempt.stream.take()
        assert attempt.clock.phase is AttemptPhase.FORWARDING
        assert await attempt.expires() == pytest.approx(max(due, STALL_TIMEOUT))

    run_in_virtual_time(monkeypatch, test)


def test_received_value_is_ended_without_end_of_response(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        attempt.clock.long_answer_started(attempt.stream)
        attempt.stream.feed(bytes(SIZE))
        attempt.stream.end()
        assert attempt.clock.phase is AttemptPhase.RECEIVED
        assert await attempt.expires() == pytest.approx(STALL_TIMEOUT)

    run_in_virtual_time(monkeypatch, test)


def test_stopped_clock_does_not_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        attempt.clock.stop()
        await asyncio.sleep(2 * DUE)
        assert attempt.expired_at == math.inf

    run_in_virtual_time(monkeypatch, test)


# Guards against an attempt that never ends, because its server sends a byte at each check.
def test_unread_bytes_are_waited_for_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        attempt.unread = 100
        assert await attempt.expires() == pytest.approx(TIMEOUT)
        assert attempt.unread == 99

    run_in_virtual_time(monkeypatch, test)


def test_response_that_is_read_after_timeout_is_awaited(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        attempt = ClockUnderTest()
        attempt.unread = 1
        attempt.loop.call_at(attempt.started + TIMEOUT, attempt.clock.response_started)
        assert await attempt.expires() == pytest.approx(DUE)

    run_in_virtual_time(monkeypatch, test)
