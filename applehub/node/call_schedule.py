"""Decides when a watch makes its next call to discovery, from the response times of earlier calls.

A change of the list must arrive within 6 s of the time at which discovery has it, or within 4 s of a reload
that changed discovery's address. A call that is unanswered for too long is therefore followed by a second one
on its own connection, as late as the observed response time and that deadline allow. The first call is not
cancelled, because discovery handles calls in turn and a repeated call goes to the end of its queue.

A call is an HTTP request for the list. It may be a long poll, which discovery holds until the list changes or
the hold ends. A call on the connection of an answered call continues the watch and skips discovery's queue.

All times are seconds on the event loop's clock.
"""

import random

from applehub.node.response_time import ResponseTime

MAX_HOLD = 2.5  # maximum seconds for which discovery may hold a long poll
MIN_HOLD = 0.5  # minimum seconds for which discovery may hold a long poll
# Minimum seconds from the end of its hold until a continued watch counts as lost.
MIN_WATCH_TIMEOUT = 0.7
# Maximum random increase of a delay, as a fraction of it, so that routers do not call in step.
JITTER = 0.3
CHANGE_DEADLINE = 6.0  # seconds within which a change must arrive
# Seconds within which the list must arrive after a reload that changed discovery's address.
RELOAD_DEADLINE = 4.0
APPLY_MARGIN = 0.3  # seconds of the deadline that are reserved for applying the list
INITIAL_RESPONSE_TIME = 2.0  # seconds assumed for a queued call before the first response
MAX_RESPONSE_TIME = 4.0  # upper bound of the expected response time, in seconds
# Lower bound of the expected response time, in seconds, and the time left for the last call before a
# deadline.
MIN_RESPONSE_TIME = 0.5
# Minimum seconds between the starts of two calls of a continued watch. It batches rapid changes, because a
# call costs discovery about as much for one change as for many, and hundreds of changes come a second where
# thousands of servers are replaced. It is a tenth of the grace of a draining server, and a quarter of the
# time within which a watch continues.
MIN_WATCH_INTERVAL = 0.05
MIN_CALL_INTERVAL = 1.0  # minimum seconds between an unanswered call and the next one
# Seconds from an unanswered call to the next one after the deadline has passed; by then discovery may have
# recovered.
OVERDUE_CALL_INTERVAL = 2.4
# Seconds from an unanswered call to the next one after a rejected call, which shows that discovery's queue is
# long.
OVERLOAD_CALL_INTERVAL = 3.0
# Upper bound in seconds of the random backoff after one failed call; it doubles with each further failure.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 1.5  # upper bound in seconds of the backoff after any number of failed calls
FULL_TOKEN = 1 - 1e-9  # tokens that count as one, to tolerate the rounding of partial refills


class CallBudget:
    """A token bucket for calls that wait in discovery's queue. Calls that continue a watch need no token."""

    __slots__ = ("rate", "refilled_at", "size", "tokens")

    def __init__(self, size: float, rate: float) -> None:
        """size: number of calls that may be made at once. rate: tokens added per second."""
        self.size, self.rate = size, rate
        self.tokens, self.refilled_at = size, 0.0

    def wait(self, now: float) -> float:
        """Returns the seconds until the next call may be made."""
        self._refill(now)
        return 0.0 if self.tokens >= FULL_TOKEN else (1 - self.tokens) / self.rate

    def spend(self, now: float) -> None:
        """Takes a token for a call that is made now."""
        self._refill(now)
        self.tokens = max(0.0, self.tokens - 1)

    def _refill(self, now: float) -> None:
        self.tokens = min(self.size, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now


class CallSchedule:
    """Times of the calls of one watch."""

    def __init__(self, rng: random.Random, address_count: int = 1) -> None:
        self.random, self.address_count = rng, address_count
        self.deadline: float | None = None  # time by which a change since the last response must arrive
        self._reset_response_times()

    def _reset_response_times(self) -> None:
        self.queued_time = ResponseTime(INITIAL_RESPONSE_TIME, MIN_RESPONSE_TIME, MAX_RESPONSE_TIME)
        self.watch_time = ResponseTime(MIN_WATCH_TIMEOUT, MIN_WATCH_TIMEOUT, MAX_RESPONSE_TIME)
        self.overloaded = False  # whether a call was rejected since the last answered call

    def start(self, now: float) -> None:
        """Records the start of the first call of the watch; has no effect if it is called again."""
        if self.deadline is None:
            self.deadline = now + CHANGE_DEADLINE

    def endpoints_changed(self, now: float, address_count: int) -> None:
        """Records that discovery has other addresses; resets the observed response times."""
        self.address_count = address_count
        self.deadline = now + RELOAD_DEADLINE
        self._reset_response_times()

    def answered(self, now: float, elapsed: float, hold: float, queued: bool) -> None:
        """Records the response to a call.

        elapsed: seconds from the start of the call to its response.
        hold: seconds for which discovery might hold the call.
        queued: whether the call waited in discovery's queue, because it did not continue a watch.

        A watch that is answered before the end of its hold carries a change and gives no sample of the
        response time.
        """
        self.deadline, self.overloaded = now + CHANGE_DEADLINE, False
        if elapsed >= hold:
            (self.queued_time if queued else self.watch_time).observe(elapsed - hold)

    @property
    def hold(self) -> float:
        """Maximum time, in seconds, for which discovery may hold a long poll that starts now.

        The longer queued calls take, the shorter the hold, so that a lost watch is detected early enough. A
        shorter hold means more calls, but calls that continue a watch do not wait in discovery's queue.
        """
        max_hold = (
            CHANGE_DEADLINE - APPLY_MARGIN - self.queued_time.mean - self.watch_time.timeout * (1 + JITTER)
        )
        return min(MAX_HOLD, max(max_hold, MIN_HOLD))

    def jitter(self) -> float:
        """Returns a random factor for the delay of one call, so that routers do not call in step."""
        return 1 + JITTER * self.random.random()

    def watch_due(self, started_at: float, hold: float, queued: bool, jitter: float) -> float:
        """Returns the time at which another call is started beside an unanswered watch."""
        if queued:
            response_time = max(self.queued_time.timeout, INITIAL_RESPONSE_TIME)
            return started_at + min(hold + response_time, CHANGE_DEADLINE - APPLY_MARGIN - MIN_CALL_INTERVAL)
        return started_at + min(hold + self.watch_time.timeout * jitter, self._max_interval_for_deadline())

    def call_due(self, started_at: float, jitter: float) -> float:
        """Returns the time at which another call is started beside one that is connecting or is no long poll.

        Another call adds to discovery's queue, and discovery may drop the first call in favour of it. It is
        needed only if a connection is lost, and is made as late as the deadline allows. With several
        addresses it goes to another address and is made sooner.
        """
        time_left = (self.deadline or started_at) - started_at
        if self.address_count > 1:
            interval = MIN_CALL_INTERVAL / jitter
        elif self.overloaded:
            interval = OVERLOAD_CALL_INTERVAL / jitter
        elif time_left >= MIN_CALL_INTERVAL:
            interval = max(time_left - MIN_RESPONSE_TIME, MIN_CALL_INTERVAL)
        else:
            interval = OVERDUE_CALL_INTERVAL / jitter
        return started_at + min(interval, OVERLOAD_CALL_INTERVAL, self._max_interval_for_deadline())

    def rejected(self) -> None:
        """Records that a call was rejected, which means that discovery is overloaded."""
        self.overloaded = True

    def _max_interval_for_deadline(self) -> float:
        """Returns the longest interval between calls at which a change arrives before its deadline."""
        return max(CHANGE_DEADLINE - APPLY_MARGIN - self.queued_time.mean, MIN_CALL_INTERVAL)

    def backoff(self, failures: int) -> float:
        """Returns the backoff after consecutive failed calls: exponential with full jitter."""
        max_backoff = min(MAX_BACKOFF, INITIAL_BACKOFF * 2.0 ** min(failures - 1, 10))
        return self.random.uniform(0, max_backoff)
