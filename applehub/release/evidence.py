"""Sequential test of whether the new version fails more often than the old one over the same period.

If both versions have equal failure rates, the failures of a poll are split between them in proportion to
their requests. The likelihood ratio of the observed split, for a failure rate of the new version that is
`ratio` times that of the old one against equal rates, is a martingale, and so is its mean over several
ratios. The mean exceeds 1 / alpha by chance with a probability of at most alpha, however often it is
evaluated (Ville's inequality; Robbins 1970). Failures that affect both versions, such as those of a congested
origin, don't change it.

Small differences must not halt a release, so `negligible_rate` failures per request are added to those of the
old version. As the added count is not random and log x <= x - 1, the mean is then a supermartingale under
equal rates, and the bound still holds.

Units differ in their failure rates, so the requests of each unit are weighted by its failure rate relative to
the other units under the old version, shrunk towards 1 while observations are few. As failures occur in
bursts, the log-likelihoods are divided by the dispersion among the units of the old version (Pearson's
chi-squared by its degrees of freedom, as in quasi-likelihood; Wedderburn 1974).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

RATE_RATIOS = (1.25, 1.5, 2.0, 4.0, 16.0)  # tested ratios of the new version's failure rate to the old one's
PRIOR_FAILURES = 10.0  # expected failures at which a unit's observations and the prior weigh equally
MAX_LOG_LIKELIHOOD = 600.0  # keeps math.exp from overflowing


class FailureKind(StrEnum):
    """Failure counters of a load report that the test compares."""

    FAILED = "failed"
    REFUSED = "refused"
    LATE = "late"
    MISSED = "missed"


class RequestCounts(NamedTuple):
    """Requests and failures of one unit between two polls."""

    requests: int
    failures: int


class UnitBaseline(NamedTuple):
    """Failures of a unit under the old version."""

    expected: float  # failures expected from the common failure rate of the old version's units
    observed: int


@dataclass(slots=True)
class EvidenceState:
    """Accumulated state of a test."""

    log_likelihoods: list[float] = field(default_factory=lambda: [0.0] * len(RATE_RATIOS))
    chi_squared: float = 0.0  # Pearson's statistic of the old version's units against their common rate
    degrees_of_freedom: int = 0
    baselines: dict[str, UnitBaseline] = field(default_factory=dict)  # by unit name

    def copy(self) -> "EvidenceState":
        """Returns an independent copy."""
        return replace(self, log_likelihoods=list(self.log_likelihoods), baselines=dict(self.baselines))


@dataclass(frozen=True, slots=True)
class GateState:
    """Accumulated state of the gates, which is stored so that a restarted controller continues from it."""

    watched_s: float = 0.0  # time for which the old version was polled, including by earlier controllers
    evidence: Mapping[FailureKind, EvidenceState] = field(default_factory=dict)


class FailureEvidence:
    """Sequential test for one kind of failure."""

    def __init__(self, negligible_rate: float, alpha: float, state: EvidenceState | None = None) -> None:
        """Starts a test, or continues the one of `state`.

        `negligible_rate` is the number of additional failures per request that don't justify a halt. `alpha`
        is the maximum probability that a version of equal quality is ever judged worse.
        """
        self.negligible_rate = negligible_rate
        self.alpha = alpha
        self.state = EvidenceState() if state is None else state.copy()

    def add(self, new: Mapping[str, RequestCounts], old: Mapping[str, RequestCounts]) -> None:
        """Adds the request counts of one poll, by unit name, for the new and the old version."""
        old_requests = sum(counts.requests for counts in old.values())
        if not old_requests:
            return  # no requests to compare with
        weighted = {
            name: counts.requests * self.weight(name) for name, counts in (*new.items(), *old.items())
        }
        old_failures = sum(counts.failures for counts in old.values())
        new_failures = sum(counts.failures for counts in new.values())
        new_fraction = sum(weighted[name] for name in new) / sum(weighted.values())
        if new_fraction:
            self._add_likelihoods(
                new_fraction, new_failures, old_failures + self.negligible_rate * old_requests
            )
        if old_failures and len(old) > 1:
            common_rate = old_failures / sum(weighted[name] for name in old)
            self._update_baselines(old, weighted, common_rate, old_failures / old_requests)

    def weight(self, name: str) -> float:
        """Returns the failure rate of a unit relative to the other units under the old version."""
        baseline = self.state.baselines.get(name, UnitBaseline(0.0, 0))
        return (baseline.observed + PRIOR_FAILURES) / (baseline.expected + PRIOR_FAILURES)

    def _add_likelihoods(self, new_fraction: float, new_failures: int, old_failures: float) -> None:
        for index, ratio in enumerate(RATE_RATIOS):
            fraction_if_worse = ratio * new_fraction / (ratio * new_fraction + 1 - new_fraction)
            self.state.log_likelihoods[index] += new_failures * math.log(fraction_if_worse / new_fraction)
            self.state.log_likelihoods[index] += old_failures * math.log(
                (1 - fraction_if_worse) / (1 - new_fraction)
            )

    def _update_baselines(
        self, old: Mapping[str, RequestCounts], weighted: Mapping[str, float], common_rate: float, rate: float
    ) -> None:
        """Adds the failures of one poll of the old version to the units' baselines and to the dispersion.

        `common_rate` is the number of failures per weighted request, and `rate` per request.
        """
        state = self.state
        for name, counts in old.items():
            if not counts.requests:
                continue
            mean = weighted[name] * common_rate
            state.chi_squared += (counts.failures - mean) ** 2 / mean
            baseline = state.baselines.get(name, UnitBaseline(0.0, 0))
            state.baselines[name] = UnitBaseline(
                baseline.expected + counts.requests * rate, baseline.observed + counts.failures
            )
        state.degrees_of_freedom += sum(counts.requests > 0 for counts in old.values()) - 1

    @property
    def dispersion(self) -> float:
        """Variance of the failures of the old version's units relative to a Poisson variance, at least 1."""
        if not self.state.degrees_of_freedom:
            return 1.0
        return max(1.0, self.state.chi_squared / self.state.degrees_of_freedom)

    @property
    def likelihood_ratio(self) -> float:
        """Likelihood of the observations if the new version is worse, relative to equal failure rates."""
        dispersion = self.dispersion
        logs = self.state.log_likelihoods
        return sum(math.exp(min(MAX_LOG_LIKELIHOOD, log / dispersion)) for log in logs) / len(logs)

    @property
    def is_worse(self) -> bool:
        """Whether the new version is judged to be worse."""
        return self.likelihood_ratio >= 1 / self.alpha
