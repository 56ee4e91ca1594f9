"""Exponentially decaying event rates and token buckets."""

import math

SECOND = 1_000_000_000
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


def sample_weight(interval: int, time_constant: int) -> float:
    """Returns the weight of a sample in a moving average, given the time since the previous sample.

    The weight grows with the interval, so that averages of rare samples still follow changes.
    """
    return min(max(interval / time_constant, SMOOTHING), 1 / 2)


class Rate:
    """Rate of recent events per second, with exponential decay."""

    __slots__ = ("time_constant", "updated_at", "weighted_count")

    def __init__(self, time_constant: int, now: int = 0) -> None:
        self.time_constant, self.weighted_count, self.updated_at = time_constant, 0.0, now

    def add(self, now: int, amount: float = 1.0) -> None:
        """Counts `amount` events."""
        self.weighted_count = (
            self.weighted_count * math.exp((self.updated_at - now) / self.time_constant) + amount
        )
        self.updated_at = now

    def set_time_constant(self, now: int, time_constant: int) -> None:
        """Changes the time constant of the decay; the rate stays the same."""
        self.add(now, 0.0)
        self.weighted_count, self.time_constant = (
            self.weighted_count * time_constant / self.time_constant,
            time_constant,
        )

    def per_second(self, now: int) -> float:
        """Returns the current rate, in events per second."""
        return (
            self.weighted_count
            * math.exp((self.updated_at - now) / self.time_constant)
            * SECOND
            / self.time_constant
        )


class TokenBucket:
    """Token bucket whose fill rate and capacity are passed with each use."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, tokens: float = 1.0, now: int = 0) -> None:
        self.tokens, self.updated_at = tokens, now

    def take(self, now: int, rate: float, capacity: float, draw: float = 1.0) -> bool:
        """Takes a token and returns whether there was one.

        With a capacity below one token, the probability of a token is the fill level; draw is a random number
        from 0 to 1.
        """
        tokens = min(self.tokens + rate * (now - self.updated_at) / SECOND, capacity)
        taken = tokens >= 1 or (capacity < 1 and draw < tokens)
        self.tokens, self.updated_at = max(0.0, tokens - 1) if taken or capacity < 1 else tokens, now
        return taken

    def return_token(self) -> None:
        """Returns an unused token; the next use limits the level to the capacity."""
        self.tokens += 1
