"""The `peers` command, which measures the gossip between routers."""

from collections.abc import Callable
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

from applehub.lab.command_errors import report_errors
from applehub.lab.gossip import GossipPlan, GossipSimulation, summarize_run
from applehub.lab.sizes import counts
from applehub.settings import Json


@click.command("peers")
@click.option(
    "--sizes", type=counts(2, 5000, "5,50"), default="5,50", show_default=True, help="Numbers of routers."
)
@click.option(
    "--loss",
    type=click.FloatRange(0, 0.9),
    default=0.0,
    show_default=True,
    help="Fraction of datagrams lost.",
)
@click.option(
    "--period",
    type=click.FloatRange(5, 5000),
    default=50,
    show_default=True,
    help="Interval between health checks, ms.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 600),
    default=5,
    show_default=True,
    help="Duration of the steady state, s.",
)
@click.option(
    "--cut", type=click.FloatRange(0, 600), default=0, show_default=True, help="Duration of a partition, s."
)
@click.option(
    "--kill",
    type=click.FloatRange(0, 0.99),
    default=0.0,
    show_default=True,
    help="Fraction of routers killed.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="As JSON lines.")
@report_errors
def peers(
    sizes: tuple[int, ...],
    loss: float,
    period: float,
    seconds: float,
    cut: float,
    kill: float,
    seed: int,
    as_json: bool,
) -> None:
    """Measures the gossip between routers on a simulated network: membership convergence, propagation
    delay of verdicts, age of records, cost per router, and recovery from a partition or a mass crash."""
    results = []
    for count in sizes:
        plan = GossipPlan(count, period, loss, seconds=seconds, cut_s=cut, kill=kill)
        results.append(summarize_run(plan, GossipSimulation(plan, seed).simulate()))
        if as_json:
            click.echo(orjson.dumps(results[-1]).decode())
    if not as_json:
        table = Table("", *(f"{count} routers" for count in sizes))
        for name, get_value in ROWS.items():
            values = [get_value(result) for result in results]
            table.add_row(name, *("-" if value in (None, -1) else _format_value(value) for value in values))
        Console().print(table, "Pairs: the median and the 99th percentile.")


def _format_value(figure: float | tuple[float, float]) -> str:
    return f"{figure[0]}, {figure[1]}" if isinstance(figure, tuple) else str(figure)


ROWS: dict[str, Callable[[Json], Any]] = {
    "membership converged, s": lambda result: result["known_s"],
    "verdict propagation, ms": lambda result: result["verdict_ms"],
    "age of limits, ms": lambda result: result["ages_ms"].get("limit"),
    "age of shares, ms": lambda result: result["ages_ms"].get("shares"),
    "bytes a second": lambda result: result["bytes_s"],
    "datagrams a second": lambda result: result["datagrams_s"],
    "CPU, ms/s": lambda result: result["cpu_ms_s"],
    "records stored": lambda result: result["records"],
    "recovery after a partition, s": lambda result: result["healed_s"],
    "crashed routers detected, s": lambda result: result["buried_s"],
}
