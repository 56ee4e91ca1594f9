"""The lab's command `watches`: many routers' watches before a list service that answers in turn and late."""

import itertools
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import click
import orjson

from applehub.lab.fleet.turns import Service
from applehub.lab.fleet.watch_play import WatchPlan, play_alone, summary
from applehub.lab.problems import guarded
from applehub.lab.spec import SpecError
from applehub.settings import Json

MOST_ROUTERS, MOST_LATE = 1000, 30.0
QUICK_SIZES, QUICK_LATENESS = "5", "0,2"


@click.command("watches")
@click.option("--routers", "sizes", default="5,30,230", show_default=True, help="Numbers of routers.")
@click.option("--late", default="0,0.5,1,2,3,4", show_default=True, help="s; LEAST:MOST is drawn evenly.")
@click.option("--plays", type=click.IntRange(1, 50), default=1, show_default=True, help="Of each pair.")
@click.option("--more", multiple=True, help="One more play of a pair, as in 230x2; may be repeated.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first.")
@click.option("--capacity", type=click.FloatRange(1, 1e6), default=100.0, show_default=True, help="Calls/s.")
@click.option(
    "--most-wait",
    type=click.FloatRange(0, 60),
    default=2.0,
    show_default=True,
    help="For a turn, s; then 503.",
)
@click.option("--most-waiting", type=click.IntRange(1), help="Calls that wait for a turn; then 503.")
@click.option("--drop-abandoned", is_flag=True, help="A call whose connection is closed takes no turn.")
@click.option("--every-call-turns", is_flag=True, help="A watch that goes on takes a turn too.")
@click.option("--late-watches", is_flag=True, help="A watch that goes on is answered late too.")
@click.option("--must-ask", is_flag=True, help="Lists are asked for: the decisions say when to ask again.")
@click.option("--jobs", type=click.IntRange(1, 8), default=3, show_default=True, help="Plays at once.")
@click.option("--quick", is_flag=True, help="5 routers, 0 and 2 s: half a minute.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Writes the JSON there too.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@guarded
def watches(
    sizes: str, late: str, plays: int, more: tuple[str, ...], seed: int, capacity: float, most_wait: float,
    most_waiting: int | None, drop_abandoned: bool, every_call_turns: bool, late_watches: bool,
    must_ask: bool, jobs: int, quick: bool, out: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Measures how soon routers take up changes of the list from a service that answers in turn, and late.

    All routers start at once; then come changes, a moment at which all watches fall silent, and an outage.
    Code 0 where each router took up each change in time or none could have, 1 where one was late."""
    pairs = list(itertools.product(
        _numbers("--routers", QUICK_SIZES if quick else sizes),
        [_lateness("--late", one) for one in (QUICK_LATENESS if quick else late).split(",")],
    )) * plays + [_pair(one) for one in more]  # fmt: skip

    def plan(routers: int, lateness: tuple[float, float], number: int) -> WatchPlan:
        service = Service(
            capacity, *lateness, most_wait, most_waiting, not drop_abandoned,
            0.0 if every_call_turns else Service().goes_on_within, late_watches,
        )  # fmt: skip
        return WatchPlan(routers, service, seed + number, must_ask=must_ask)

    rows = play_all([plan(*pair, pairs[:number].count(pair)) for number, pair in enumerate(pairs)], jobs)
    told = orjson.dumps(rows, option=orjson.OPT_INDENT_2)
    if out is not None:
        out.write_bytes(told + b"\n")
    click.echo(told.decode() if as_json else shown(rows))
    sys.exit(1 if any(row["breaches"] for row in rows) else 0)


def _numbers(option: str, text: str) -> list[int]:
    try:
        numbers = [int(one) for one in text.split(",")]
    except ValueError:
        numbers = []
    if not numbers or min(numbers) < 1 or max(numbers) > MOST_ROUTERS:
        raise SpecError(f"{option}: expected numbers from 1 to {MOST_ROUTERS}, as in 5,30, got {text!r}")
    return numbers


def _lateness(option: str, text: str) -> tuple[float, float]:
    try:
        bounds = [float(one) for one in text.split(":")]
    except ValueError:
        bounds = []
    if len(bounds) not in (1, 2) or not 0 <= bounds[0] <= bounds[-1] <= MOST_LATE:
        raise SpecError(f"{option}: expected seconds up to {MOST_LATE:.0f}, as in 2 or 0:4, got {text!r}")
    return bounds[0], bounds[-1]


def _pair(text: str) -> tuple[int, tuple[float, float]]:
    routers, _, late = text.partition("x")
    return _numbers("--more", routers)[0], _lateness("--more", late)


def play_all(plans: list[WatchPlan], jobs: int) -> list[Json]:
    """Plays all, so many at once, the large ones first; their figures in the order of the plans.

    Raises LiveError."""
    rows: dict[int, Json] = {}
    with ProcessPoolExecutor(jobs) as pool:
        largest_first = sorted(range(len(plans)), key=lambda number: -plans[number].routers)
        under_way = {pool.submit(_figures, plans[number]): number for number in largest_first}
        for done in as_completed(under_way):
            rows[under_way[done]] = row = done.result()
            click.echo(f"{len(rows)}/{len(plans)} {_name(row)}: {row['breaches']} late", err=True)
    return [rows[number] for number in range(len(plans))]


def _figures(plan: WatchPlan) -> Json:
    return summary(play_alone(plan))


def _name(row: Json) -> str:
    return f"{row['routers']} routers, {_late(row)} s late, seed {row['seed']}"


def _late(row: Json) -> str:
    least, most = row["late_s"]
    return f"{least:g}" if least == most else f"{least:g} to {most:g}"


HEADINGS = [
    "routers", "late s", "seed", "p50 s", "p99 s", "worst s", "which", "in 6 s", "no list", "allowed s",
    "breaches", "calls/s", "answered", "503", "wasted turns", "lapsed", "lag s",
]  # fmt: skip


def shown(rows: list[Json]) -> str:
    """As a table in Markdown."""
    lines = [f"| {' | '.join(HEADINGS)} |", "|" + "---|" * len(HEADINGS)]
    return "\n".join(lines + [f"| {' | '.join(_cells(row))} |" for row in rows])


def _cells(row: Json) -> Iterator[str]:
    def time(value: Any) -> str:
        return "never" if value is None else f"{value:.2f}"

    yield from (str(row["routers"]), _late(row), str(row["seed"]))
    yield from (time(row["p50_s"]), time(row["p99_s"]), time(row["worst_s"]))
    yield f"router {row['worst']['router']}, {row['worst']['change']}"
    yield from (f"{100 * row['in_time']:.1f}%", str(row["no_list"]), f"{row['patience_s']:.2f}")
    yield f"{row['breaches']} of {row['routers'] * row['changes']}"
    counts = row["calls"]
    yield from (f"{row['calls_a_second']:.1f}", str(counts["answered"]), str(counts["refused"]))
    yield from (str(counts["wasted"]), str(counts["lapsed"]), f"{row['most_lag_s']:.2f}")
