"""Pictures of results: the share of worth served by second, and where the rest went."""

from pathlib import Path
from typing import Any

import matplotlib

from applehub.lab.compare import grouped, mean_losses
from applehub.settings import Json

matplotlib.use("Agg")  # files alone: no screen is asked for
from matplotlib import pyplot as plt  # after the choice above

LEAST = 0.005  # of the worth: smaller causes are summed
SMOOTHED = 3  # s over which the curves are averaged


def _mean_curve(group: list[Json]) -> list[float]:
    """The mean over seeds, second by second, each with its neighbours, as far as all plays go."""
    curves = [record["result"]["by_second"] for record in group]
    length = min(map(len, curves))
    mean = [sum(curve[at] for curve in curves) / len(curves) for at in range(length)]
    return [
        sum(mean[max(0, at - SMOOTHED // 2) : at + SMOOTHED // 2 + 1])
        / len(mean[max(0, at - SMOOTHED // 2) : at + SMOOTHED // 2 + 1])
        for at in range(length)
    ]


def _losses(group: list[Json]) -> dict[str, float]:
    whole = mean_losses(group)
    large = {cause: part for cause, part in whole.items() if part >= LEAST}
    rest = sum(whole.values()) - sum(large.values())
    return {**large, "others": rest} if rest else large


def draw(records: list[Json], path: Path, title: str) -> None:
    """Writes a picture in the format that the file's ending names. A row for each point: on the left the
    curves of all policies, on the right what each lost by cause."""
    groups = grouped(records)
    points = list(dict.fromkeys(point for point, _ in groups))
    figure, rows = plt.subplots(
        len(points), 2, figsize=(13, 3.6 * len(points) + 0.6), squeeze=False, layout="constrained"
    )
    figure.suptitle(f"{title}: worth served in time, and worth lost by cause (means over seeds)")
    causes = sorted({cause for group in groups.values() for cause in _losses(group)} - {"others"})
    colours = {cause: plt.get_cmap("tab20")(number % 20) for number, cause in enumerate([*causes, "others"])}
    for point, (left, right) in zip(points, rows, strict=True):
        here = {policy: group for (at, policy), group in groups.items() if at == point}
        _draw_curves(left, here, point)
        _draw_losses(right, here, colours)
    figure.savefig(path, dpi=100)
    plt.close(figure)


def _draw_curves(axes: Any, here: dict[str, list[Json]], point: str) -> None:
    for policy, group in here.items():
        axes.plot(_mean_curve(group), label=f"{policy} ({len(group)} seeds)")
    axes.set(xlabel="second of the day", ylabel="worth served", ylim=(0, 1.02), title=point)
    axes.grid(alpha=0.3)
    axes.legend(loc="lower right", fontsize=8)


def _draw_losses(axes: Any, here: dict[str, list[Json]], colours: dict[str, Any]) -> None:
    losses = {policy: _losses(group) for policy, group in here.items()}
    causes = list(dict.fromkeys(cause for parts in losses.values() for cause in parts if cause != "others"))
    causes.sort(key=lambda cause: -next(iter(losses.values())).get(cause, 0.0))
    begin = dict.fromkeys(here, 0.0)
    for cause in [*causes, "others"]:
        widths = [losses[policy].get(cause, 0.0) for policy in here]
        axes.barh(list(here), widths, left=list(begin.values()), label=cause, color=colours[cause])
        begin = {policy: begin[policy] + width for policy, width in zip(here, widths, strict=True)}
    axes.set(xlabel="part of all worth lost")
    axes.invert_yaxis()
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.01, 0.5))
