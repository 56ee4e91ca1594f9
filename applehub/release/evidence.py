"""Sequential test of whether one version fails more often than another at the same time, pure.

Under equal failure rates the failures of a moment divide among the versions as their requests do. The
likelihood of the observed split under a rate of the new version that is `ratio` times the old one's,
divided by its likelihood under equal rates, is a martingale. A mean over several ratios is one too, and
exceeds 1 / alpha by chance with probability alpha at most, however often it is evaluated (Ville's
inequality; Robbins 1970). Faults that both versions suffer together, such as a congested origin, do not
move it.

A difference that does not justify a halt: the old version is credited with `negligible_rate` failures a
request that it never had. Their count is not random, and log x <= x - 1 keeps the mean from growing all the
same.

Units differ: each is compared with how it failed relative to the others while it had the old version (its
weight, drawn towards 1 while little was observed). Failures come in bursts: the evidence is divided by the
dispersion of the old version's own units (Pearson's chi-squared by its degrees of freedom, as in
quasi-likelihood: Wedderburn 1974).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

RATE_RATIOS = (1.25, 1.5, 2.0, 4.0, 16.0)  # new version's failure rate by the old one's, under test
PRIOR_FAILURES = 10.0  # expected failures of a unit at which its own count has half of its weight
MAX_LOG = 600.0  # bound of a logarithm whose exponential is still a float


class FailureKind(StrEnum):
    """The counts of a load report that are compared."""

    FAILED = "failed"
    REFUSED = "refused"
    LATE = "late"
    MISSED = "missed"


class RequestCounts(NamedTuple):
    """What one unit did between two polls."""

    requests: int
    failures: int


class UnitBaseline(NamedTuple):
    """Failures of a unit while it had the old version."""

    expected: float  # by the rate of all units of the old version
    observed: int


@dataclass(slots=True)
class EvidenceState:
    """What the test has accumulated."""

    log_likelihoods: list[float] = field(default_factory=lambda: [0.0] * len(RATE_RATIOS))
    chi_squared: float = 0.0  # squared distances of the old version's units from their common rate
    degrees_of_freedom: int = 0
    baselines: dict[str, UnitBaseline] = field(default_factory=dict)  # by unit

    def copy(self) -> "EvidenceState":
        """An independent copy."""
        return replace(self, log_likelihoods=list(self.log_likelihoods), baselines=dict(self.baselines))


@dataclass(frozen=True, slots=True)
class GateState:
    """What the gates have accumulated, and a following controller continues with."""

    watched_s: float = 0.0  # time spent polling the old version, over all controllers
    evidence: Mapping[FailureKind, EvidenceState] = field(default_factory=dict)


class FailureEvidence:
    """The test for one kind of failure, new version against old."""

    def __init__(self, negligible_rate: float, alpha: float, state: EvidenceState | None = None) -> None:
        """negligible_rate: additional failures a request that do not justify a halt.

        alpha: probability that equal versions are ever told apart. state: of an earlier controller.
        """
        self.negligible_rate = negligible_rate
        self.alpha = alpha
        self.state = EvidenceState() if state is None else state.copy()

    def add(self, new: Mapping[str, RequestCounts], old: Mapping[str, RequestCounts]) -> None:
        """Adds one poll: the counts of the units of each version, by name."""
        old_requests = sum(counts.requests for counts in old.values())
        if not old_requests:
            return  # nothing to compare with
        weighted = {
            name: counts.requests * self.weight(name) for name, counts in (*new.items(), *old.items())
        }
        old_failures = sum(counts.failures for counts in old.values())
        new_failures = sum(counts.failures for counts in new.values())
        new_share = sum(weighted[name] for name in new) / sum(weighted.values())
        if new_share:
            self._add_likelihoods(new_share, new_failures, old_failures + self.negligible_rate * old_requests)
        if old_failures and len(old) > 1:
            common_rate = old_failures / sum(weighted[name] for name in old)
            self._update_baselines(old, weighted, common_rate, old_failures / old_requests)

    def weight(self, name: str) -> float:
        """How much more often than the others a unit failed while all had the old version."""
        baseline = self.state.baselines.get(name, UnitBaseline(0.0, 0))
        return (baseline.observed + PRIOR_FAILURES) / (baseline.expected + PRIOR_FAILURES)

    def _add_likelihoods(self, new_share: float, new_failures: int, old_failures: float) -> None:
        for index, ratio in enumerate(RATE_RATIOS):
            share_if_worse = ratio * new_share / (ratio * new_share + 1 - new_share)
            self.state.log_likelihoods[index] += new_failures * math.log(share_if_worse / new_share)
            self.state.log_likelihoods[index] += old_failures * math.log(
                (1 - share_if_worse) / (1 - new_share)
            )

    def _update_baselines(
        self, old: Mapping[str, RequestCounts], weighted: Mapping[str, float], common_rate: float, rate: float
    ) -> None:
        """common_rate: failures a weighted request; rate: failures a request."""
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
        """How much wider than by chance the failures of the old version's units spread; 1: not at all."""
        if not self.state.degrees_of_freedom:
            return 1.0
        return max(1.0, self.state.chi_squared / self.state.degrees_of_freedom)

    @property
    def likelihood_ratio(self) -> float:
        """How many times likelier the observations are if the new version is worse."""
        dispersion = self.dispersion
        logs = self.state.log_likelihoods
        return sum(math.exp(min(MAX_LOG, log / dispersion)) for log in logs) / len(logs)

    @property
    def is_worse(self) -> bool:
        """Whether the new version is taken for worse."""
        return self.likelihood_ratio >= 1 / self.alpha
