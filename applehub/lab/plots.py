"""Plots results: the fraction of request weight served by second, and the weight lost by cause."""

from pathlib import Path
from typing import Any

import matplotlib

from applehub.lab.compare import group_records, mean_losses
from applehub.settings import Json

matplotlib.use("Agg")  # writes files without a display
from matplotlib import pyplot as plt  # the backend has to be chosen before this import

MIN_SHOWN_LOSS = 0.005  # fraction of the weight; causes with smaller losses are summed
SMOOTHING_WINDOW = 3  # s; width of the moving average


def _mean_curve(group: list[Json]) -> list[float]:
    """Returns the mean over seeds by second, as a moving average, up to the end of the shortest run."""
    curves = [record["result"]["by_second"] for record in group]
    length = min(map(len, curves))
    mean = [sum(curve[second] for curve in curves) / len(curves) for second in range(length)]
    return [
        sum(mean[max(0, second - SMOOTHING_WINDOW // 2) : second + SMOOTHING_WINDOW // 2 + 1])
        / len(mean[max(0, second - SMOOTHING_WINDOW // 2) : second + SMOOTHING_WINDOW // 2 + 1])
        for second in range(length)
    ]


def _losses(group: list[Json]) -> dict[str, float]:
    losses = mean_losses(group)
    large = {cause: loss for cause, loss in losses.items() if loss >= MIN_SHOWN_LOSS}
    remainder = sum(losses.values()) - sum(large.values())
    return {**large, "others": remainder} if remainder else large


def draw(records: list[Json], path: Path, title: str) -> None:
    """Writes a figure in the format of the file's suffix.

    Each point has a row: the curves of all policies on the left, their losses by cause on the right.
    """
    groups = group_records(records)
    points = list(dict.fromkeys(point for point, _ in groups))
    figure, rows = plt.subplots(
        len(points), 2, figsize=(13, 3.6 * len(points) + 0.6), squeeze=False, layout="constrained"
    )
    figure.suptitle(f"{title}: weight served in time, and weight lost by cause (means over seeds)")
    causes = sorted({cause for group in groups.values() for cause in _losses(group)} - {"others"})
    colours = {cause: plt.get_cmap("tab20")(number % 20) for number, cause in enumerate([*causes, "others"])}
    for point, (left, right) in zip(points, rows, strict=True):
        groups_by_policy = {
            policy: group for (group_point, policy), group in groups.items() if group_point == point
        }
        _draw_curves(left, groups_by_policy, point)
        _draw_losses(right, groups_by_policy, colours)
    figure.savefig(path, dpi=100)
    plt.close(figure)


def _draw_curves(axes: Any, groups_by_policy: dict[str, list[Json]], point: str) -> None:
    for policy, group in groups_by_policy.items():
        axes.plot(_mean_curve(group), label=f"{policy} ({len(group)} seeds)")
    axes.set(xlabel="time, s", ylabel="weight served", ylim=(0, 1.02), title=point)
    axes.grid(alpha=0.3)
    axes.legend(loc="lower right", fontsize=8)


def _draw_losses(axes: Any, groups_by_policy: dict[str, list[Json]], colours: dict[str, Any]) -> None:
    losses = {policy: _losses(group) for policy, group in groups_by_policy.items()}
    causes = list(
        dict.fromkeys(
            cause for policy_losses in losses.values() for cause in policy_losses if cause != "others"
        )
    )
    causes.sort(key=lambda cause: -next(iter(losses.values())).get(cause, 0.0))
    left_edges = dict.fromkeys(groups_by_policy, 0.0)
    for cause in [*causes, "others"]:
        widths = [losses[policy].get(cause, 0.0) for policy in groups_by_policy]
        axes.barh(
            list(groups_by_policy), widths, left=list(left_edges.values()), label=cause, color=colours[cause]
        )
        left_edges = {
            policy: left_edges[policy] + width for policy, width in zip(groups_by_policy, widths, strict=True)
        }
    axes.set(xlabel="fraction of all weight lost")
    axes.invert_yaxis()
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.01, 0.5))
