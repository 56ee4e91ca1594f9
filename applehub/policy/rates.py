"""How often things happen: averages that forget, and banks of tokens."""

import math

SECOND = 1_000_000_000
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


def weight_of(gap: int, span: int) -> float:
    """The weight of a sample that comes this long after the last.
    Guards against a fleet so wide that answers come seldom: each counts for the time since the last."""
    return min(max(gap / span, SMOOTHING), 1 / 2)


class Rate:
    """How often something happened lately, in events a second, with exponential forgetting."""

    __slots__ = ("at", "mass", "span")

    def __init__(self, span: int, now: int = 0) -> None:
        self.span, self.mass, self.at = span, 0.0, now

    def add(self, now: int, amount: float = 1.0) -> None:
        self.mass = self.mass * math.exp((self.at - now) / self.span) + amount
        self.at = now

    def stretch(self, now: int, span: int) -> None:
        """Forgets over another span from now on; the rate stays."""
        self.add(now, 0.0)
        self.mass, self.span = self.mass * span / self.span, span

    def per_second(self, now: int) -> float:
        return self.mass * math.exp((self.at - now) / self.span) * SECOND / self.span


class Bank:
    """Tokens refilled evenly at a rate given with each use; those that reach a full bank are lost."""

    __slots__ = ("at", "tokens")

    def __init__(self, tokens: float = 1.0, at: int = 0) -> None:
        self.tokens, self.at = tokens, at

    def take(self, now: int, rate: float, most: float, luck: float = 1.0) -> bool:
        """A bank too small for a whole token gives one by the part that it holds, at a luck from 0 to 1."""
        tokens = min(self.tokens + rate * (now - self.at) / SECOND, most)
        given = tokens >= 1 or (most < 1 and luck < tokens)
        self.tokens, self.at = max(0.0, tokens - 1) if given or most < 1 else tokens, now
        return given

    def give_back(self) -> None:
        """A token was given and not used; more than the bank holds are cut at the next use."""
        self.tokens += 1
