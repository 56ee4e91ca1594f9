"""Whether one version fails more than another at the same time: a sequential test that may be looked at after
every count, pure.

Under equal failure rates the failures of a moment fall to the versions as their requests do. The likelihood
of their split, under a rate of the new version that is `ratio` times the old one's, over that under equal
rates, is a martingale; a mean over several ratios is one too, and it passes 1 / alpha by chance with
probability alpha at the most, however often it is looked at (Ville's inequality; Robbins 1970). What both
versions suffer together, as a jam of the origin, moves it nowhere.

A difference that is not worth a halt: the old version is credited with `least` failures a request that it
never had. Their count is no random one, and log x <= x - 1 keeps the mean from growing all the same.

Units are unlike: each is held against how it failed beside the others while it had the old version (its
weight; drawn towards 1 while little was seen). Failures come in bursts: the evidence is divided by the
dispersion of the old version's own units (Pearson's chi-square by its degrees of freedom, as in
quasi-likelihood: Wedderburn 1974).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

RATIOS = (1.25, 1.5, 2.0, 4.0, 16.0)  # of rates that are looked for
PRIOR = (
    10.0  # failures that a unit must have been expected to have before its own count for half of its weight
)
MOST = 600.0  # bound on a logarithm, so that its power stays a number


class Count(NamedTuple):
    """What one unit did between two looks."""

    requests: int
    failures: int


@dataclass(slots=True)
class Evidence:
    """Of one kind of failure, new against old, since the new version was first there."""

    least: float  # failures a request more than the old version's that are not worth a halt
    alpha: float  # probability that equal versions are ever told apart
    logs: list[float] = field(default_factory=lambda: [0.0] * len(RATIOS))
    chi: float = 0.0  # the old units' squared distances from their common rate
    freedom: int = 0
    known: dict[str, tuple[float, int]] = field(default_factory=dict)  # by unit, while old: expected, had

    def add(self, new: Mapping[str, Count], old: Mapping[str, Count]) -> None:
        """Takes up one look: the units of each version, by name."""
        asked_old = sum(one.requests for one in old.values())
        if not asked_old:
            return  # nothing to hold it against
        bears = {name: one.requests * self.weight(name) for name, one in (*new.items(), *old.items())}
        failed_old, bear_old = sum(one.failures for one in old.values()), sum(bears[name] for name in old)
        share = sum(bears[name] for name in new) / sum(bears.values())
        failed_new = sum(one.failures for one in new.values())
        credited = failed_old + self.least * asked_old
        for number, ratio in enumerate(RATIOS if share else ()):
            if_worse = ratio * share / (ratio * share + 1 - share)
            self.logs[number] += failed_new * math.log(if_worse / share)
            self.logs[number] += credited * math.log((1 - if_worse) / (1 - share))
        if failed_old and len(old) > 1:
            self._learn(old, bears, failed_old / bear_old, failed_old / asked_old)

    def weight(self, name: str) -> float:
        """How much oftener a unit failed than the others while all had the old version."""
        expected, failures = self.known.get(name, (0.0, 0))
        return (failures + PRIOR) / (expected + PRIOR)

    def _learn(self, old: Mapping[str, Count], bears: Mapping[str, float], each: float, rate: float) -> None:
        for name, one in old.items():
            if not one.requests:
                continue
            mean = bears[name] * each
            self.chi += (one.failures - mean) ** 2 / mean
            expected, failures = self.known.get(name, (0.0, 0))
            self.known[name] = (expected + one.requests * rate, failures + one.failures)
        self.freedom += sum(one.requests > 0 for one in old.values()) - 1

    @property
    def dispersion(self) -> float:
        """How much wider than by chance the old units' failures spread; 1: not at all."""
        return max(1.0, self.chi / self.freedom) if self.freedom else 1.0

    @property
    def odds(self) -> float:
        """How many times likelier what was seen is if the new version is worse."""
        wide = self.dispersion
        return sum(math.exp(min(MOST, one / wide)) for one in self.logs) / len(self.logs)

    @property
    def worse(self) -> bool:
        return self.odds >= 1 / self.alpha
