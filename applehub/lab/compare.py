"""Statistics over seeds: means with confidence intervals, and differences paired by seed."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from scipy import stats

from applehub.settings import Json

CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class Mean:
    """A mean over seeds; half: half-width of its 95% confidence interval (Student's t), None for one seed."""

    value: float
    half: float | None
    count: int

    def __str__(self) -> str:
        return f"{self.value:.4f}" if self.half is None else f"{self.value:.4f} ± {self.half:.4f}"


def mean_of(values: Iterable[float]) -> Mean:
    samples = list(values)
    count = len(samples)
    mean = math.fsum(samples) / count
    if count < 2:
        return Mean(mean, None, count)
    deviation = math.sqrt(math.fsum((sample - mean) ** 2 for sample in samples) / (count - 1))
    return Mean(
        mean, float(stats.t.ppf((1 + CONFIDENCE) / 2, count - 1)) * deviation / math.sqrt(count), count
    )


def measure(result: Json, path: str) -> float | None:
    """Returns the value at a dotted path of a result, such as `G` or `losses.late`, or None if it is absent.

    Losses, statuses and rule counts that are not listed are 0.
    """
    value: Any = result
    for step in path.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(step, 0.0 if path.startswith(("losses.", "statuses.", "rules.counts.")) else None)
    return float(value) if isinstance(value, int | float) else None


def point_name(point: Json) -> str:
    def text(value: Any) -> str:
        return (
            " ".join(f"{name}={setting}" for name, setting in value.items())
            if isinstance(value, dict)
            else str(value)
        )

    return (
        ", ".join(
            text(value) if isinstance(value, dict) else f"{key}={value}" for key, value in point.items()
        )
        or "-"
    )


def group_key(record: Json) -> tuple[str, str]:
    return point_name(record["point"]), record["policy"]


def group_records(records: list[Json]) -> dict[tuple[str, str], list[Json]]:
    """Groups records by point and policy, in their order."""
    groups: dict[tuple[str, str], list[Json]] = {}
    for record in records:
        groups.setdefault(group_key(record), []).append(record)
    return groups


def mean_losses(records: list[Json]) -> dict[str, float]:
    """Returns the mean weight lost over all runs, by cause; a cause that a run does not list counts as 0."""
    causes = sorted({cause for record in records for cause in record["result"]["losses"]})
    return {
        cause: mean_of(record["result"]["losses"].get(cause, 0.0) for record in records).value
        for cause in causes
    }


def rule_violations(records: list[Json]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in records:
        for rule, count in record["result"]["rules"]["counts"].items():
            counts[rule] = counts.get(rule, 0) + count
    return counts


def paired_means(before: list[Json], after: list[Json], path: str) -> tuple[Mean, Mean, Mean] | None:
    """Returns the means before, after and of the difference, over the common seeds, or None without any."""
    values_before = {record["seed"]: measure(record["result"], path) for record in before}
    pairs = []
    for record in after:
        first, second = values_before.get(record["seed"]), measure(record["result"], path)
        if first is not None and second is not None:
            pairs.append((first, second))
    if not pairs:
        return None
    return (
        mean_of(first for first, _ in pairs),
        mean_of(second for _, second in pairs),
        mean_of(second - first for first, second in pairs),
    )


def relative_position(groups: dict[tuple[str, str], list[Json]], point: str, policy: str) -> float | None:
    """Returns where a policy's G lies between the `random` (0) and the `oracle` (1) policy.

    Returns None if a record of the policy, `random` or `oracle` is missing.
    """
    names = {policy, "random", "oracle"}
    if any((point, name) not in groups for name in names):
        return None
    means = {name: mean_of(record["result"]["G"] for record in groups[point, name]).value for name in names}
    width = max(0.1, means["oracle"] - means["random"])
    return 1 - (means["oracle"] - means[policy]) / width
