"""Whether one version fails more than another at the same time: a sequential test that may be looked at after
every count, pure.

Under equal failure rates the failures of a moment fall to the versions as their requests do. The likelihood
of their split, under a rate of the new version that is `ratio` times the old one's, over that under equal
rates, is a martingale; a mean over several ratios is one too, and it passes 1 / alpha by chance with
probability alpha at the most, however often it is looked at (Ville's inequality; Robbins 1970). What both
versions suffer together, as a jam of the origin, moves it nowhere.

A difference that is not worth a halt: the old version is credited with `least` failures a request that it
never had. Their count is no random one, and log x <= x - 1 keeps the mean from growing all the same.

Failures come in bursts, and units of one version differ: the evidence is divided by the dispersion of the old
version's own units (Pearson's chi-square by its degrees of freedom, as in quasi-likelihood: Wedderburn 1974).
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

RATIOS = (1.25, 1.5, 2.0, 4.0, 16.0)  # of rates that are looked for
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

    def add(self, new: Iterable[Count], old: Iterable[Count]) -> None:
        """Takes up one look: the units of each version that served in it."""
        new, old = list(new), [one for one in old if one.requests > 0]
        asked_new, asked_old = sum(one.requests for one in new), sum(one.requests for one in old)
        if not asked_new or not asked_old:
            return  # nothing to hold it against
        failed_new = sum(one.failures for one in new)
        failed_old = sum(one.failures for one in old)
        self._disperse(old, failed_old / asked_old)
        share = asked_new / (asked_new + asked_old)
        credited = failed_old + self.least * asked_old
        for number, ratio in enumerate(RATIOS):
            if_worse = ratio * share / (ratio * share + 1 - share)
            self.logs[number] += failed_new * math.log(if_worse / share)
            self.logs[number] += credited * math.log((1 - if_worse) / (1 - share))

    def _disperse(self, old: list[Count], rate: float) -> None:
        if rate > 0 and len(old) > 1:
            expected = [(one.failures, one.requests * rate) for one in old]
            self.chi += sum((failures - mean) ** 2 / mean for failures, mean in expected)
            self.freedom += len(old) - 1

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
