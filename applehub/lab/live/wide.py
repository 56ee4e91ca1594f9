"""Compares the resource usage of one router with N and 16 N cache servers under the same traffic.

The total capacity of the cache servers is the same at both sizes: the fewer servers there are, the more
concurrent requests each of them serves.
"""

import asyncio
import sys
from dataclasses import dataclass

import click
import orjson
from rich.console import Console
from rich.table import Table

from applehub.lab.command_errors import report_errors
from applehub.lab.live.bench import Deployment, deploy, run_through_router, wait_until_ready
from applehub.lab.live.client import LoadResult, LoadSpec
from applehub.lab.live.fake_servers import Counts, Plan
from applehub.settings import Json

SIZE_RATIO = 16  # number of cache servers at the wide size, relative to the usual size
REPLACED_FRACTION = 0.6  # fraction of the cache servers that are replaced
REPLACEMENT_TIME = 7.0  # s; duration of the replacement
REPLACEMENT_START = 0.3  # fraction of the load's duration before the first replacement
CASES = ("calm", "replaced")
SIZES = ("usual", "wide")
BYTES_PER_KB = 1000


@dataclass(frozen=True, slots=True)
class MetricLimit:
    """Limit of a metric at the wide size, derived from the value of the metric at the usual size."""

    label: str
    unit: str
    factor: float  # multiplies the value at the usual size
    constant: float = 0.0
    per_thousand_servers: float = 0.0  # added for each full thousand of cache servers
    at_least: bool = False  # the limit is a lower bound; else an upper bound

    def limit(self, usual: float, servers: int) -> float:
        return self.factor * usual + self.constant + self.per_thousand_servers * (servers // 1000)

    def is_met(self, usual: float, wide: float, servers: int) -> bool:
        limit = self.limit(usual, servers)
        return wide >= limit if self.at_least else wide <= limit


CPU_LIMIT = MetricLimit("CPU seconds", "s", 1.4, 0.02, 0.12)
METRIC_LIMITS = {
    "cpu_s": CPU_LIMIT,
    # Excludes the CPU time of the start, which is independent of the number of servers.
    "cpu_ready_s": MetricLimit(
        "CPU seconds once ready",
        CPU_LIMIT.unit,
        CPU_LIMIT.factor,
        CPU_LIMIT.constant,
        CPU_LIMIT.per_thousand_servers,
    ),
    "memory_mb": MetricLimit("peak memory", "MB", 1.5, 8, 4),
    "descriptors": MetricLimit("descriptors", "", 2, 40),
    "connections": MetricLimit("connections made", "", 2.5, 40),
    "list_kb": MetricLimit("bytes of lists", "kB", 2, 64, 500),
    "served": MetricLimit("share served", "", 0.85, at_least=True),
}


@dataclass(frozen=True, slots=True)
class RunResult:
    """Results of one load test."""

    load_result: LoadResult
    counts: Counts
    metrics: dict[str, float]  # values of the metrics, by the keys of METRIC_LIMITS

    def as_json(self) -> Json:
        load_result, counts = self.load_result, self.counts
        names = ("asked", "served", "refused", "failed", "unanswered")
        return {
            **{name: round(figure, 4) for name, figure in self.metrics.items()},
            "requests": {name: getattr(load_result, name) for name in names},
            "p99_ms": load_result.percentile_ms(99),
            **{name: getattr(counts, name) for name in Counts.__slots__},
        }


def check_limits(usual: RunResult, wide: RunResult, servers: int) -> list[Json]:
    """Returns for each metric its values at both sizes, its limit, and whether the limit holds."""
    return [
        {
            "line": name,
            "usual": usual.metrics[name],
            "wide": wide.metrics[name],
            "limit": limit.limit(usual.metrics[name], servers),
            "holds": limit.is_met(usual.metrics[name], wide.metrics[name], servers),
        }
        for name, limit in METRIC_LIMITS.items()
    ]


async def _measure_run(deployment: Deployment, load: LoadSpec, replaced: bool) -> RunResult:
    await wait_until_ready(deployment)
    ready_cpu = deployment.router.sample().cpu_s
    if replaced:
        duration = min(REPLACEMENT_TIME, load.seconds / 2)
        asyncio.get_running_loop().call_later(
            load.seconds * REPLACEMENT_START, deployment.replace, REPLACED_FRACTION, duration
        )
    load_result, counts, usage = (
        await run_through_router(deployment, load),
        deployment.counts(),
        deployment.router.sample(),
    )
    metrics = {
        "cpu_s": usage.cpu_s,
        "cpu_ready_s": usage.cpu_s - ready_cpu,
        "memory_mb": usage.most_memory_mb,
        "descriptors": usage.most_descriptors,
        "connections": counts.connections,
        "list_kb": counts.list_bytes / BYTES_PER_KB,
        "served": load_result.served / max(1, load_result.asked),
    }
    return RunResult(load_result, counts, metrics)


def run_once(
    servers: int, total_concurrency: int, work_ms: float, load: LoadSpec, replaced: bool, routers: int
) -> RunResult:
    """Runs one load test; all cache servers together serve `total_concurrency` requests at a time."""
    plan = Plan(servers, load.value, max(1, total_concurrency // servers), work_ms / 1000)
    with deploy(plan, load.wait_ms, routers) as deployment:
        return asyncio.run(_measure_run(deployment, load, replaced))


@click.command()
@click.option("--caches", type=click.IntRange(1, 1000), default=200, help="Cache servers at the usual size.")
@click.option("--rate", type=click.FloatRange(1, 5000), default=40.0, help="Mean requests per second.")
@click.option("--seconds", type=click.FloatRange(1, 60), default=20.0, help="Duration of each load test, s.")
@click.option("--keys", type=click.IntRange(1), default=6000)
@click.option("--routers", type=click.IntRange(1), default=200, help="Fleet size in the router's settings.")
@click.option("--work-ms", type=click.FloatRange(0, 1000), default=4.0, help="Service time of a request.")
@click.option("--wait-ms", type=click.IntRange(10, 60_000), default=1000, help="Timeout of the client.")
@click.option("--case", "cases", type=click.Choice(CASES), multiple=True, help="Load test to run [both].")
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@report_errors
def wide(
    caches: int, rate: float, seconds: float, keys: int, routers: int, work_ms: float, wait_ms: int,
    cases: tuple[str, ...], seed: int, as_json: bool,
) -> None:  # fmt: skip
    """Runs the same traffic with N and 16 N cache servers; exits with code 1 if a limit is exceeded."""
    load = LoadSpec(rate, seconds, keys, 0.04, 512, wait_ms, 200, seed)
    results: Json = {}
    for case in cases or CASES:
        runs = {}
        for size, servers in zip(SIZES, (caches, caches * SIZE_RATIO), strict=True):
            click.echo(f"{case}, {servers} cache servers, {seconds:.0f} s ...", err=True)
            runs[size] = run_once(servers, caches * SIZE_RATIO, work_ms, load, case == "replaced", routers)
        lines = check_limits(runs["usual"], runs["wide"], caches * SIZE_RATIO)
        results[case] = {"lines": lines, **{size: run.as_json() for size, run in runs.items()}}
    if as_json:
        click.echo(orjson.dumps(results, option=orjson.OPT_INDENT_2).decode())
    else:
        for case, result in results.items():
            show(case, result, (caches, caches * SIZE_RATIO))
    sys.exit(
        0 if all(line["holds"] for case_result in results.values() for line in case_result["lines"]) else 1
    )


def show(case: str, results: Json, sizes: tuple[int, int]) -> None:
    """Prints the results of one case at both sizes as a table."""
    console = Console(width=None if sys.stdout.isatty() else 110)
    table = Table("", *(f"{size} cache servers" for size in sizes), "limit", "holds", title=case)
    for line in results["lines"]:
        limit = METRIC_LIMITS[line["line"]]
        figures = [f"{line[name]:.3f}".rstrip("0").rstrip(".") for name in ("usual", "wide", "limit")]
        bound = ("at least " if limit.at_least else "at most ") + figures[2]
        name = f"{limit.label}, {limit.unit}" if limit.unit else limit.label
        table.add_row(name, figures[0], figures[1], bound, "yes" if line["holds"] else "NO")
    for name in ("hits", "misses", "reads", "busy", "lists"):
        title = {"reads": "origin fetches", "busy": "rejected by busy servers", "lists": "list requests"}
        table.add_row(title.get(name, name), *(str(results[size][name]) for size in SIZES), "", "")
    for name in ("served", "refused", "failed", "unanswered"):
        table.add_row(f"requests {name}", *(str(results[size]["requests"][name]) for size in SIZES), "", "")
    table.add_row("p99, ms", *(f"{results[size]['p99_ms']:.1f}" for size in SIZES), "", "")
    console.print(table)
