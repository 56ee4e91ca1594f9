"""Compares the resource usage of one router with N and 16 N cache servers under the same traffic.

The total capacity of the cache servers is the same at both sizes: with fewer servers, each has more slots.
"""

import asyncio
import sys
from dataclasses import dataclass

import click
import orjson
from rich.console import Console
from rich.table import Table

from applehub.lab.live.bench import Site, site, through, until_ready
from applehub.lab.live.client import Load, Seen
from applehub.lab.live.standins import Counts, Plan
from applehub.lab.problems import guarded
from applehub.settings import Json

WIDER = 16  # ratio of the numbers of cache servers
REPLACED = 0.6  # fraction of the cache servers
REPLACED_WITHIN = 7.0  # s
QUIET_FIRST = 0.3  # fraction of the test before the first server is replaced
CASES = ("calm", "replaced")
SIZES = ("usual", "wide")
BYTES = 1000  # bytes in a kB


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the operators' table: the limit of a metric, derived from its value at the usual size."""

    what: str
    unit: str
    times: float
    plus: float = 0.0
    for_each_thousand: float = 0.0  # added for every complete thousand of cache servers
    at_least: bool = False  # the limit is a lower bound; else an upper bound

    def limit(self, usual: float, servers: int) -> float:
        return self.times * usual + self.plus + self.for_each_thousand * (servers // 1000)

    def holds(self, usual: float, wide: float, servers: int) -> bool:
        limit = self.limit(usual, servers)
        return wide >= limit if self.at_least else wide <= limit


CPU = Line("CPU seconds", "s", 1.4, 0.02, 0.12)
LINES = {
    "cpu_s": CPU,
    # Not in the table: excludes the CPU time of the start, which does not depend on the number of servers.
    "cpu_ready_s": Line("CPU seconds once ready", CPU.unit, CPU.times, CPU.plus, CPU.for_each_thousand),
    "memory_mb": Line("peak memory", "MB", 1.5, 8, 4),
    "descriptors": Line("descriptors", "", 2, 40),
    "connections": Line("connections made", "", 2.5, 40),
    "list_kb": Line("bytes of lists", "kB", 2, 64, 500),
    "served": Line("share served", "", 0.85, at_least=True),
}


@dataclass(frozen=True, slots=True)
class Play:
    """Results of one load test."""

    seen: Seen
    counts: Counts
    needs: dict[str, float]  # values of the metrics, by the keys of LINES

    def as_json(self) -> Json:
        seen, counts = self.seen, self.counts
        names = ("asked", "served", "refused", "failed", "unanswered")
        return {
            **{name: round(figure, 4) for name, figure in self.needs.items()},
            "requests": {name: getattr(seen, name) for name in names},
            "p99_ms": seen.at(99),
            **{name: getattr(counts, name) for name in Counts.__slots__},
        }


def judged(usual: Play, wide: Play, servers: int) -> list[Json]:
    """Returns each line of the table: both values, the limit, and whether it holds."""
    return [
        {
            "line": name,
            "usual": usual.needs[name],
            "wide": wide.needs[name],
            "limit": line.limit(usual.needs[name], servers),
            "holds": line.holds(usual.needs[name], wide.needs[name], servers),
        }
        for name, line in LINES.items()
    ]


async def _play(one: Site, load: Load, replaced: bool) -> Play:
    await until_ready(one)
    ready_cpu = one.router.sample().cpu_s
    if replaced:
        within = min(REPLACED_WITHIN, load.seconds / 2)
        asyncio.get_running_loop().call_later(load.seconds * QUIET_FIRST, one.replace, REPLACED, within)
    seen, counts, use = await through(one, load), one.counts(), one.router.sample()
    needs = {
        "cpu_s": use.cpu_s,
        "cpu_ready_s": use.cpu_s - ready_cpu,
        "memory_mb": use.most_memory_mb,
        "descriptors": use.most_descriptors,
        "connections": counts.connections,
        "list_kb": counts.list_bytes / BYTES,
        "served": seen.served / max(1, seen.asked),
    }
    return Play(seen, counts, needs)


def play(servers: int, bears: int, work_ms: float, load: Load, replaced: bool, routers: int) -> Play:
    """Runs one load test with `servers` cache servers that have `bears` slots in total."""
    plan = Plan(servers, load.value, max(1, bears // servers), work_ms / 1000)
    with site(plan, load.wait_ms, routers) as one:
        return asyncio.run(_play(one, load, replaced))


@click.command()
@click.option("--caches", type=click.IntRange(1, 1000), default=200, help="Cache servers at the usual size.")
@click.option("--rate", type=click.FloatRange(1, 5000), default=40.0, help="Mean requests per second.")
@click.option("--seconds", type=click.FloatRange(1, 60), default=20.0, help="Of each load test.")
@click.option("--keys", type=click.IntRange(1), default=6000)
@click.option("--routers", type=click.IntRange(1), default=200, help="Fleet size in the router's settings.")
@click.option("--work-ms", type=click.FloatRange(0, 1000), default=4.0, help="Service time of a request.")
@click.option("--wait-ms", type=click.IntRange(10, 60_000), default=1000, help="Timeout of the client.")
@click.option("--case", "cases", type=click.Choice(CASES), multiple=True, help="Load test to run [both].")
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@guarded
def wide(
    caches: int, rate: float, seconds: float, keys: int, routers: int, work_ms: float, wait_ms: int,
    cases: tuple[str, ...], seed: int, as_json: bool,
) -> None:  # fmt: skip
    """Runs the same traffic with N and 16 N cache servers; exits with code 1 if a limit is exceeded."""
    load = Load(rate, seconds, keys, 0.04, 512, wait_ms, 200, seed)
    told: Json = {}
    for case in cases or CASES:
        plays = {}
        for size, servers in zip(SIZES, (caches, caches * WIDER), strict=True):
            click.echo(f"{case}, {servers} cache servers, {seconds:.0f} s ...", err=True)
            plays[size] = play(servers, caches * WIDER, work_ms, load, case == "replaced", routers)
        lines = judged(plays["usual"], plays["wide"], caches * WIDER)
        told[case] = {"lines": lines, **{size: one.as_json() for size, one in plays.items()}}
    if as_json:
        click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())
    else:
        for case, shown in told.items():
            show(case, shown, (caches, caches * WIDER))
    sys.exit(0 if all(line["holds"] for one in told.values() for line in one["lines"]) else 1)


def show(case: str, told: Json, sizes: tuple[int, int]) -> None:
    """Prints the table of one case, at both sizes."""
    console = Console(width=None if sys.stdout.isatty() else 110)
    table = Table("", *(f"{size} cache servers" for size in sizes), "limit", "holds", title=case)
    for line in told["lines"]:
        known = LINES[line["line"]]
        figures = [f"{line[name]:.3f}".rstrip("0").rstrip(".") for name in ("usual", "wide", "limit")]
        bound = ("at least " if known.at_least else "at most ") + figures[2]
        name = f"{known.what}, {known.unit}" if known.unit else known.what
        table.add_row(name, figures[0], figures[1], bound, "yes" if line["holds"] else "NO")
    for name in ("hits", "misses", "reads", "busy", "lists"):
        title = {"reads": "origin fetches", "busy": "rejected by busy servers", "lists": "list requests"}
        table.add_row(title.get(name, name), *(str(told[size][name]) for size in SIZES), "", "")
    for name in ("served", "refused", "failed", "unanswered"):
        table.add_row(f"requests {name}", *(str(told[size]["requests"][name]) for size in SIZES), "", "")
    table.add_row("p99, ms", *(f"{told[size]['p99_ms']:.1f}" for size in SIZES), "", "")
    console.print(table)
