"""The lab command `watches`: many routers watch a list service of limited capacity and high latency."""

import itertools
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import click
import orjson

from applehub.lab.command_errors import report_errors
from applehub.lab.fleet.service_queue import ServiceBehavior
from applehub.lab.fleet.watch_scenario import WatchPlan, run_isolated, summary
from applehub.lab.spec import SpecError
from applehub.settings import Json

MAX_ROUTERS, MAX_LATENCY_S = 1000, 30.0
QUICK_SIZES, QUICK_LATENCIES = "5", "0,2"


@click.command("watches")
@click.option("--routers", "sizes", default="5,30,230", show_default=True, help="Numbers of routers.")
@click.option(
    "--late", default="0,0.5,1,2,3,4", show_default=True, help="Latency, s; MIN:MAX is drawn uniformly."
)
@click.option("--plays", type=click.IntRange(1, 50), default=1, show_default=True, help="Runs of each pair.")
@click.option("--more", multiple=True, help="One more run of a pair, as in 230x2; may be repeated.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--capacity", type=click.FloatRange(1, 1e6), default=100.0, show_default=True, help="Calls/s.")
@click.option(
    "--most-wait",
    type=click.FloatRange(0, 60),
    default=2.0,
    show_default=True,
    help="Maximum queueing time, s; then 503.",
)
@click.option("--most-waiting", type=click.IntRange(1), help="Maximum number of queued calls; then 503.")
@click.option(
    "--drop-abandoned", is_flag=True, help="A queued call whose connection is closed takes no capacity."
)
@click.option("--every-call-turns", is_flag=True, help="A continued watch takes capacity too.")
@click.option("--late-watches", is_flag=True, help="A continued watch is delayed too.")
@click.option("--must-ask", is_flag=True, help="Routers poll lists; their policy says when to poll again.")
@click.option("--jobs", type=click.IntRange(1, 8), default=3, show_default=True, help="Concurrent runs.")
@click.option("--quick", is_flag=True, help="5 routers, latencies of 0 and 2 s; takes half a minute.")
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), help="Also writes the JSON to this file."
)
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@report_errors
def watches(
    sizes: str, late: str, plays: int, more: tuple[str, ...], seed: int, capacity: float, most_wait: float,
    most_waiting: int | None, drop_abandoned: bool, every_call_turns: bool, late_watches: bool,
    must_ask: bool, jobs: int, quick: bool, out: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Measures how soon routers apply list changes from a service of limited capacity and high latency.

    All routers start at once; changes, a moment at which all watches become unresponsive, and an outage
    follow. Exits with 0 if each router applied each change within the limit, and with 1 otherwise."""
    pairs = list(itertools.product(
        _parse_numbers("--routers", QUICK_SIZES if quick else sizes),
        [_parse_latency("--late", text) for text in (QUICK_LATENCIES if quick else late).split(",")],
    )) * plays + [_parse_pair(text) for text in more]  # fmt: skip

    def plan(routers: int, latency: tuple[float, float], number: int) -> WatchPlan:
        service = ServiceBehavior(
            capacity, *latency, most_wait, most_waiting, not drop_abandoned,
            0.0 if every_call_turns else ServiceBehavior().continue_window_s, late_watches,
        )  # fmt: skip
        return WatchPlan(routers, service, seed + number, list_on_request=must_ask)

    rows = run_all([plan(*pair, pairs[:number].count(pair)) for number, pair in enumerate(pairs)], jobs)
    output = orjson.dumps(rows, option=orjson.OPT_INDENT_2)
    if out is not None:
        out.write_bytes(output + b"\n")
    click.echo(output.decode() if as_json else format_table(rows))
    sys.exit(1 if any(row["breaches"] for row in rows) else 0)


def _parse_numbers(option: str, text: str) -> list[int]:
    try:
        numbers = [int(number) for number in text.split(",")]
    except ValueError:
        numbers = []
    if not numbers or min(numbers) < 1 or max(numbers) > MAX_ROUTERS:
        raise SpecError(f"{option}: expected numbers from 1 to {MAX_ROUTERS}, as in 5,30, got {text!r}")
    return numbers


def _parse_latency(option: str, text: str) -> tuple[float, float]:
    try:
        bounds = [float(bound) for bound in text.split(":")]
    except ValueError:
        bounds = []
    if len(bounds) not in (1, 2) or not 0 <= bounds[0] <= bounds[-1] <= MAX_LATENCY_S:
        raise SpecError(f"{option}: expected seconds up to {MAX_LATENCY_S:.0f}, as in 2 or 0:4, got {text!r}")
    return bounds[0], bounds[-1]


def _parse_pair(text: str) -> tuple[int, tuple[float, float]]:
    routers, _, latency = text.partition("x")
    return _parse_numbers("--more", routers)[0], _parse_latency("--more", latency)


def run_all(plans: list[WatchPlan], jobs: int) -> list[Json]:
    """Runs all plans in up to `jobs` processes, the largest first.

    Returns the summaries in the order of the plans. Raises LiveError."""
    rows: dict[int, Json] = {}
    with ProcessPoolExecutor(jobs) as pool:
        largest_first = sorted(range(len(plans)), key=lambda number: -plans[number].routers)
        pending = {pool.submit(_run_summary, plans[number]): number for number in largest_first}
        for future in as_completed(pending):
            rows[pending[future]] = row = future.result()
            click.echo(f"{len(rows)}/{len(plans)} {_describe(row)}: {row['breaches']} late", err=True)
    return [rows[number] for number in range(len(plans))]


def _run_summary(plan: WatchPlan) -> Json:
    return summary(run_isolated(plan))


def _describe(row: Json) -> str:
    return f"{row['routers']} routers, {_format_latency(row)} s late, seed {row['seed']}"


def _format_latency(row: Json) -> str:
    low, high = row["late_s"]
    return f"{low:g}" if low == high else f"{low:g} to {high:g}"


HEADINGS = [
    "routers", "late s", "seed", "p50 s", "p99 s", "worst s", "which", "in 6 s", "no list", "allowed s",
    "breaches", "calls/s", "answered", "503", "wasted calls", "lapsed", "lag s",
]  # fmt: skip


def format_table(rows: list[Json]) -> str:
    """Formats the summaries as a Markdown table."""
    lines = [f"| {' | '.join(HEADINGS)} |", "|" + "---|" * len(HEADINGS)]
    return "\n".join(lines + [f"| {' | '.join(_cells(row))} |" for row in rows])


def _cells(row: Json) -> Iterator[str]:
    def format_seconds(value: Any) -> str:
        return "never" if value is None else f"{value:.2f}"

    yield from (str(row["routers"]), _format_latency(row), str(row["seed"]))
    yield from (format_seconds(row["p50_s"]), format_seconds(row["p99_s"]), format_seconds(row["worst_s"]))
    yield f"router {row['worst']['router']}, {row['worst']['change']}"
    yield from (f"{100 * row['in_time']:.1f}%", str(row["no_list"]), f"{row['patience_s']:.2f}")
    yield f"{row['breaches']} of {row['routers'] * row['changes']}"
    counts = row["calls"]
    yield from (f"{row['calls_a_second']:.1f}", str(counts["answered"]), str(counts["refused"]))
    yield from (str(counts["wasted"]), str(counts["lapsed"]), f"{row['most_lag_s']:.2f}")
