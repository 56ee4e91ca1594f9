"""The same traffic before N and 16 N cache servers: what one router may need more of there, line by line.

All cache servers together bear the same at both sizes: each of few works on more requests at once."""

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

WIDER = 16  # times the cache servers
REPLACED = 0.6  # of the cache servers
REPLACED_WITHIN = 7.0  # s
QUIET_FIRST = 0.3  # of a play, before the first is replaced
CASES = ("calm", "replaced")
SIZES = ("usual", "wide")
BYTES = 1000  # in a kB


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the operators' table: how far a need may grow over the one at the usual size."""

    what: str
    unit: str
    times: float
    plus: float = 0.0
    for_each_thousand: float = 0.0  # whole thousands of cache servers
    at_least: bool = False  # the figure may not fall under the limit; else it may not rise over it

    def limit(self, usual: float, servers: int) -> float:
        return self.times * usual + self.plus + self.for_each_thousand * (servers // 1000)

    def holds(self, usual: float, wide: float, servers: int) -> bool:
        limit = self.limit(usual, servers)
        return wide >= limit if self.at_least else wide <= limit


CPU = Line("CPU seconds", "s", 1.4, 0.02, 0.12)
LINES = {
    "cpu_s": CPU,
    # Not in the table: reading programs in at the start, the same at both sizes, would hide what grows.
    "cpu_ready_s": Line("CPU seconds once ready", CPU.unit, CPU.times, CPU.plus, CPU.for_each_thousand),
    "memory_mb": Line("peak memory", "MB", 1.5, 8, 4),
    "descriptors": Line("descriptors", "", 2, 40),
    "connections": Line("connections made", "", 2.5, 40),
    "list_kb": Line("bytes of lists", "kB", 2, 64, 500),
    "served": Line("share served", "", 0.85, at_least=True),
}


@dataclass(frozen=True, slots=True)
class Play:
    """What one play showed."""

    seen: Seen
    counts: Counts
    needs: dict[str, float]  # by the keys of LINES

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
    """Each line of the table: both figures, the limit, and whether it holds."""
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
    """One play, before so many cache servers that work on `bears` requests at once, all together."""
    plan = Plan(servers, load.value, max(1, bears // servers), work_ms / 1000)
    with site(plan, load.wait_ms, routers) as one:
        return asyncio.run(_play(one, load, replaced))


@click.command()
@click.option("--caches", type=click.IntRange(1, 1000), default=200, help="Cache servers at the usual size.")
@click.option("--rate", type=click.FloatRange(1, 5000), default=40.0, help="Requests a second, on average.")
@click.option("--seconds", type=click.FloatRange(1, 60), default=20.0, help="Of each play.")
@click.option("--keys", type=click.IntRange(1), default=6000)
@click.option("--routers", type=click.IntRange(1), default=200, help="Of the fleet, as the router is told.")
@click.option("--work-ms", type=click.FloatRange(0, 1000), default=4.0, help="Of a request.")
@click.option("--wait-ms", type=click.IntRange(10, 60_000), default=1000, help="What a client waits.")
@click.option("--case", "cases", type=click.Choice(CASES), multiple=True, help="Which plays [both].")
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@guarded
def wide(
    caches: int, rate: float, seconds: float, keys: int, routers: int, work_ms: float, wait_ms: int,
    cases: tuple[str, ...], seed: int, as_json: bool,
) -> None:  # fmt: skip
    """Plays the same traffic before N and 16 N cache servers; code 1 where a router needs too much more."""
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
    """Prints the lines of one case, at both sizes."""
    console = Console(width=None if sys.stdout.isatty() else 110)
    table = Table("", *(f"{size} cache servers" for size in sizes), "limit", "holds", title=case)
    for line in told["lines"]:
        known = LINES[line["line"]]
        figures = [f"{line[name]:.3f}".rstrip("0").rstrip(".") for name in ("usual", "wide", "limit")]
        bound = ("at least " if known.at_least else "at most ") + figures[2]
        name = f"{known.what}, {known.unit}" if known.unit else known.what
        table.add_row(name, figures[0], figures[1], bound, "yes" if line["holds"] else "NO")
    for name in ("hits", "misses", "reads", "busy", "lists"):
        title = {"reads": "origin fetches", "busy": "refused by busy servers", "lists": "calls for lists"}
        table.add_row(title.get(name, name), *(str(told[size][name]) for size in SIZES), "", "")
    for name in ("served", "refused", "failed", "unanswered"):
        table.add_row(f"requests {name}", *(str(told[size]["requests"][name]) for size in SIZES), "", "")
    table.add_row("p99, ms", *(f"{told[size]['p99_ms']:.1f}" for size in SIZES), "", "")
    console.print(table)
