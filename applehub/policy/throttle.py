"""Berger's rate-control throttle, and the monitor that turns it on and off and sets its rate r."""

import math

from applehub.policy.job import Job
from applehub.policy.rates import SECOND, Rate

# Minimum total of bank and buffer. Berger: from C_J + C_T = 10 on, the throughput is almost independent of
# arrival rates above r.
MIN_CAPACITY = 10
INITIAL_TOKENS = 2  # few, so that a throttle that is turned on acts at once
RATE_INCREASE = 1 / 4  # relative increase of r in a healthy period
MIN_HEALTHY_PERIODS = 8  # consecutive periods with a full bank after which the throttle is turned off
MIN_SAMPLES = 4  # likely misses needed to judge whether the origin is healthy
EXPECTED_SLOW_FRACTION = 1 / 16  # fraction of likely misses that are slow although the origin is healthy


class Throttle:
    """Berger's token bank and job buffer as one signed level: tokens above zero, waiting jobs below.

    total: capacity of bank and buffer together.
    """

    def __init__(self, now: int, rate: float, total: int) -> None:
        self.rate, self.refilled_at = rate, now
        self.bank = self.level = INITIAL_TOKENS
        self.buffer = max(total, MIN_CAPACITY) - INITIAL_TOKENS
        self.queue: dict[str, Job] = {}

    def refill(self, now: int) -> list[Job]:
        """Adds the tokens due by now and returns the waiting jobs that get them, in order of arrival."""
        tokens = int((now - self.refilled_at) * self.rate / SECOND)
        if tokens < 1:
            return []
        self.refilled_at += math.ceil(tokens * SECOND / self.rate)
        released = list(self.queue)[:tokens] if self.level < 0 else []
        self.level = min(self.level + tokens, self.bank)  # tokens beyond a full bank are lost
        return [self.queue.pop(name) for name in released]

    def offer(self, job: Job) -> bool | None:
        """Returns True if the job got a token, None if it waits, False if it is rejected."""
        if self.level > 0:
            self.level -= 1
            return True
        if -self.level >= self.buffer:
            return False
        self.level -= 1
        self.queue[job.request.id] = job
        return None

    def remove(self, job: Job) -> None:
        """Removes a waiting job from the buffer."""
        self.level += self.queue.pop(job.request.id, None) is not None

    def return_token(self) -> None:
        """Returns an unused token; it is lost if the bank is full or jobs wait."""
        self.level = min(self.level + 1, self.bank) if self.level >= 0 else self.level

    def wait_time(self, position: int) -> int:
        """Returns the time, in nanoseconds, until the job at this position in the buffer gets a token."""
        return max(0, math.ceil(position * SECOND / self.rate))

    def move_to_bank(self, slots: int) -> None:
        """Moves capacity from the buffer to the bank; waiting jobs stay queued."""
        self.bank, self.buffer = self.bank + min(slots, self.buffer), max(0, self.buffer - slots)


class Monitor:
    """Turns the throttle on and off and sets its rate r by the results of likely misses."""

    def __init__(self, period: int) -> None:
        self.period = period
        self.token_usage = Rate(8 * period)
        self.throttle: Throttle | None = None
        self.healthy_count = self.unhealthy_count = self.healthy_periods = 0
        self.reduced_at, self.started_at = 0, -1

    def recent_rate(self, now: int) -> float:
        """Returns the recent rate of likely misses, corrected for the short history after the start."""
        return self.token_usage.per_second(now) / -math.expm1(
            (self.started_at - now) / self.token_usage.time_constant
        )

    def return_token(self, now: int) -> None:
        """Reverts the token usage of a likely miss that was not sent."""
        self.token_usage.add(now, -1)
        if self.throttle is not None:
            self.throttle.return_token()

    def record(self, healthy: bool, sent: int) -> None:
        """Counts the result of a likely miss, unless it was sent before the last reduction of r.

        Otherwise r would be reduced twice for one overload.
        """
        self.healthy_count += healthy and sent >= self.reduced_at
        self.unhealthy_count += not healthy and sent >= self.reduced_at

    def step(self, now: int, pending: bool) -> str:
        """Adjusts the throttle once per period and returns a log line, or an empty string.

        While the origin is overloaded, r is reduced in proportion to the unhealthy fraction, by at most half;
        otherwise it is raised.
        """
        samples, is_hanging = self.healthy_count + self.unhealthy_count, pending and not self.healthy_count
        # The origin is overloaded if more misses are unhealthy than its usual slow fraction explains.
        overloaded = self.unhealthy_count > max(
            1.0, samples * EXPECTED_SLOW_FRACTION + 2 * math.sqrt(samples * EXPECTED_SLOW_FRACTION)
        )
        fraction = self.unhealthy_count / max(1, samples)
        # With few misses, the counts accumulate until there are enough samples.
        if overloaded or samples >= MIN_SAMPLES:
            self.healthy_count = self.unhealthy_count = 0
        throttle = self.throttle
        if overloaded:
            self.healthy_periods, self.reduced_at = 0, now
        elif throttle is None:
            return ""
        if throttle is None:
            rate = max(self.recent_rate(now), SECOND / self.token_usage.time_constant)
            self.throttle = Throttle(now, rate, int(rate * self.period / SECOND))
            return f"throttle on: {rate:.0f} likely misses/s"
        if overloaded:
            rate = min(throttle.rate, self.recent_rate(now))  # an unused r must not delay the reduction
            throttle.rate = max(rate * (1 - fraction / 2), SECOND / self.token_usage.time_constant / 2)
            throttle.move_to_bank(max(1, (throttle.bank + throttle.buffer) // 4))
            return ""
        # r is not raised while reads hang, since that would prolong an overload, nor beyond twice the usage,
        # since an unused r would not limit a burst.
        if not is_hanging and throttle.rate < 2 * self.recent_rate(now):
            throttle.rate += throttle.rate * RATE_INCREASE
        self.healthy_periods = self.healthy_periods + 1 if throttle.level >= throttle.bank else 0
        if self.healthy_periods < MIN_HEALTHY_PERIODS:
            return ""
        self.throttle = None
        return "throttle off"
