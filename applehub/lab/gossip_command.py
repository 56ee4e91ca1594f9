"""The command that measures what routers share, alone."""

from collections.abc import Callable
from typing import Any

import click
import orjson
from rich.console import Console
from rich.table import Table

from applehub.lab.gossip import Gossip, Talk, figures
from applehub.lab.problems import guarded
from applehub.lab.sizes import counts
from applehub.settings import Json


@click.command("peers")
@click.option(
    "--sizes", type=counts(2, 5000, "5,50"), default="5,50", show_default=True, help="Numbers of routers."
)
@click.option("--loss", type=click.FloatRange(0, 0.9), default=0.0, show_default=True, help="Of datagrams.")
@click.option(
    "--period", type=click.FloatRange(5, 5000), default=50, show_default=True, help="Of probes, ms."
)
@click.option("--seconds", type=click.FloatRange(1, 600), default=5, show_default=True, help="Of telling.")
@click.option("--cut", type=click.FloatRange(0, 600), default=0, show_default=True, help="In two, s.")
@click.option("--kill", type=click.FloatRange(0, 0.99), default=0.0, show_default=True, help="Part killed.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="As JSON lines.")
@guarded
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
    """Measures what routers share, on a simulated network: how soon all know of all, how soon a verdict is
    round, how old what counts is, what it costs a router, how soon a cut or a mass kill is over."""
    played = []
    for count in sizes:
        plan = Gossip(count, period, loss, seconds=seconds, cut_s=cut, kill=kill)
        played.append(figures(plan, Talk(plan, seed).play()))
        if as_json:
            click.echo(orjson.dumps(played[-1]).decode())
    if not as_json:
        table = Table("", *(f"{count} routers" for count in sizes))
        for name, read in ROWS.items():
            told = [read(one) for one in played]
            table.add_row(name, *("-" if one in (None, -1) else _worded(one) for one in told))
        Console().print(table, "Pairs: the median and the 99th percentile.")


def _worded(figure: float | tuple[float, float]) -> str:
    return f"{figure[0]}, {figure[1]}" if isinstance(figure, tuple) else str(figure)


ROWS: dict[str, Callable[[Json], Any]] = {
    "all know all, s": lambda one: one["known_s"],
    "a verdict is there, ms": lambda one: one["verdict_ms"],
    "age of limits, ms": lambda one: one["ages_ms"].get("limit"),
    "age of shares, ms": lambda one: one["ages_ms"].get("shares"),
    "bytes a second": lambda one: one["bytes_s"],
    "datagrams a second": lambda one: one["datagrams_s"],
    "processor, ms a second": lambda one: one["cpu_ms_s"],
    "records held": lambda one: one["records"],
    "healed after a cut, s": lambda one: one["healed_s"],
    "the dead buried, s": lambda one: one["buried_s"],
}
