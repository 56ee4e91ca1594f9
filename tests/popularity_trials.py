"""Draws requests by Zipf's law, and counts what is taken for hot: of the hot keys, and of the others."""

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from applehub.policy.keys import Popularity

KEYS, OFFSET = 20_000, 5  # the exponent is 1
FIRST = 500  # requests with which a router begins


@dataclass(slots=True)
class Found:
    """What was seen of some requests. A key is hot whose part of all requests is a server's fair share or
    more: its server, with its own range beside it, bears two."""

    requests: int = 0
    hot: int = 0
    found: int = 0  # of the hot
    false: int = 0  # taken for hot, and not

    @property
    def found_part(self) -> float:
        return self.found / self.hot if self.hot else float("nan")

    @property
    def false_part(self) -> float:
        return self.false / self.requests


def trial(servers: int, later: int, seeds: range) -> tuple[Found, Found]:
    """The first requests of routers with these seeds, and so many later ones of each."""
    weights = [1 / (rank + 1 + OFFSET) for rank in range(KEYS)]
    limits = list(accumulate(weights))
    hot = {rank for rank in range(KEYS) if weights[rank] * servers >= limits[-1]}
    parts = Found(), Found()
    for seed in seeds:
        draw, popularity = random.Random(seed), Popularity()
        for number in range(FIRST + later):
            rank = bisect(limits, draw.random() * limits[-1])
            taken = popularity.fills(f"k{rank}", servers) > 0
            part = parts[number >= FIRST]
            part.requests += 1
            part.hot += rank in hot
            part.found += taken and rank in hot
            part.false += taken and rank not in hot
    return parts
