"""Draws requests by Zipf's law and measures how many are correctly or falsely detected as hot."""

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from applehub.policy.keys import Popularity

KEYS, OFFSET = 20_000, 5  # number of keys and offset of a Zipf-Mandelbrot distribution with exponent 1
INITIAL_REQUESTS = 500  # number of first requests of a router, which are counted separately


@dataclass(slots=True)
class DetectionCounts:
    """Counts of requests by hot and detected keys.

    A key is hot if its fraction of all requests is at least a server's fair share.
    """

    requests: int = 0
    hot: int = 0
    detected: int = 0  # requests for hot keys that were detected
    false: int = 0  # requests for other keys that were detected as hot

    @property
    def detected_fraction(self) -> float:
        return self.detected / self.hot if self.hot else float("nan")

    @property
    def false_fraction(self) -> float:
        return self.false / self.requests


def run_trial(servers: int, later_requests: int, seeds: range) -> tuple[DetectionCounts, DetectionCounts]:
    """Returns the counts of the initial and of the later requests, summed over routers with these seeds."""
    weights = [1 / (rank + 1 + OFFSET) for rank in range(KEYS)]
    limits = list(accumulate(weights))
    hot = {rank for rank in range(KEYS) if weights[rank] * servers >= limits[-1]}
    counts = DetectionCounts(), DetectionCounts()
    for seed in seeds:
        rng, popularity = random.Random(seed), Popularity()
        for number in range(INITIAL_REQUESTS + later_requests):
            rank = bisect(limits, rng.random() * limits[-1])
            detected = popularity.count_fair_shares(f"k{rank}", servers) > 0
            count = counts[number >= INITIAL_REQUESTS]
            count.requests += 1
            count.hot += rank in hot
            count.detected += detected and rank in hot
            count.false += detected and rank not in hot
    return counts
