"""Command line of the emulator: python -m applehub.lab."""

import os
import sys
import time
import tomllib
from importlib import resources
from pathlib import Path

import click
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeElapsedColumn
from rich.table import Table

from applehub import wirehost
from applehub.lab import cost, throttle_analysis
from applehub.lab.clock import MILLI
from applehub.lab.command_errors import report_errors
from applehub.lab.compare import (
    group_records,
    mean_losses,
    mean_of,
    paired_means,
    point_name,
    relative_position,
    rule_violations,
)
from applehub.lab.demand import demand_number
from applehub.lab.fleet.commands import each_fault, fleet, judge_again, list_scale
from applehub.lab.fleet.watch_commands import watches
from applehub.lab.gossip_command import peers
from applehub.lab.live.commands import demo, load
from applehub.lab.live.wide import wide
from applehub.lab.policies import BASELINES
from applehub.lab.runner import Plan, ResultsError, make_plan, read_results, run_plan
from applehub.lab.simulation_run import build_simulation
from applehub.lab.sizes import FleetSize, counts, fleet_sizes
from applehub.lab.spec import SpecError
from applehub.lab.warmup_load import cold
from applehub.settings import Json
from applehub.validation import read_toml

MIN_SHOWN_LOSS = 0.001  # fraction of the weight; causes with a smaller loss under every policy are summed
PLOT_SUFFIXES = (".png", ".svg", ".pdf")
MEASURES = ("G", "whole", "worst_window")
SHIPPED_EXPERIMENTS = resources.files("applehub.lab") / "experiments"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Simulates routers, cache servers, the origin and clients."""


def load_plan(file: str, seeds: int | None) -> Plan:
    """Reads an experiment from a file, or a shipped one by its name; raises SpecError if it is invalid."""
    path = Path(file)
    if not path.exists() and (SHIPPED_EXPERIMENTS / f"{file}.toml").is_file():
        path = Path(str(SHIPPED_EXPERIMENTS / f"{file}.toml"))
    if not path.exists():
        raise SpecError(f"{file}: No such file or directory; `lab list` shows the shipped experiments")
    raw = read_toml(path, SpecError)
    if seeds is not None:
        table = raw.get("seeds")
        raw["seeds"] = {**(table if isinstance(table, dict) else {}), "count": seeds}
    return make_plan(str(path), raw)


@main.command("list")
@report_errors
def list_shipped() -> None:
    """Lists the shipped experiments."""
    for file in sorted(SHIPPED_EXPERIMENTS.iterdir(), key=lambda file: file.name):
        if file.name.endswith(".toml"):
            raw = tomllib.loads(file.read_text(encoding="utf-8"))
            click.echo(f"{file.name.removesuffix('.toml'):20} {raw.get('about', '')}")


@main.command()
@click.argument("file")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Results file [NAME.jsonl].")
@click.option("--jobs", type=click.IntRange(1), default=None, help="Parallel processes [all cores].")
@click.option("--seeds", type=click.IntRange(1), default=None, help="Number of seeds; overrides the file.")
@report_errors
def run(file: str, out: Path | None, jobs: int | None, seeds: int | None) -> None:
    """Runs an experiment FILE (or a shipped one by name); resumes an interrupted run."""
    plan = load_plan(file, seeds)
    path = out or Path(f"{plan.experiment.name}.jsonl")
    console, total = Console(stderr=True), len(plan.tasks)
    columns = (
        "[progress.description]{task.description}",
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        task_id = progress.add_task(plan.experiment.name, total=total)

        def on_record(position: int, record: Json) -> None:
            progress.update(task_id, completed=position)
            if not console.is_terminal:
                score = record["result"]["G"]
                description = f"{point_name(record['point'])}, {record['policy']}, seed {record['seed']}"
                click.echo(f"{position}/{total} {description}: G {score}", err=True)

        run_count = run_plan(plan, path, jobs or os.cpu_count() or 1, on_record)
    click.echo(f"{run_count} runs made, {total - run_count} already in the file: {path}", err=True)
    _print_summary(read_results(path)[1])


@main.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.option("--losses", is_flag=True, help="Weight lost, by cause.")
@report_errors
def show(results: Path, as_json: bool, losses: bool) -> None:
    """Prints RESULTS as a table of means over seeds with 95% confidence intervals."""
    _, records = read_results(results)
    if as_json:
        click.echo(orjson.dumps(_summarize(records), option=orjson.OPT_INDENT_2).decode())
    elif losses:
        _print_losses(records)
    else:
        _print_summary(records)


def _summarize(records: list[Json]) -> list[Json]:
    groups, rows = group_records(records), []
    for (point, policy), group in groups.items():
        means = {name: mean_of(group_record["result"][name] for group_record in group) for name in MEASURES}
        rows.append(
            {
                "point": point,
                "policy": policy,
                "seeds": len(group),
                **{name: {"mean": mean.value, "half": mean.half} for name, mean in means.items()},
                "worst_class": mean_of(
                    min(
                        (served for served in record["result"]["classes"].values() if served is not None),
                        default=1.0,
                    )
                    for record in group
                ).value,
                "between": relative_position(groups, point, policy),
                "losses": mean_losses(group),
                "broken": rule_violations(group),
            }
        )
    return rows


def _format_number(value: float | None, digits: int = 3) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _print_summary(records: list[Json]) -> None:
    table = Table("point", "policy", "seeds", *MEASURES, "worst class", "random to oracle", "rules broken")
    for row in _summarize(records):
        figures = [
            _format_number(row[name]["mean"])
            + (f" ±{row[name]['half']:.3f}" if row[name]["half"] is not None else "")
            for name in MEASURES
        ]
        broken = ", ".join(f"{rule} {count}" for rule, count in row["broken"].items()) or "none"
        table.add_row(
            row["point"], row["policy"], str(row["seeds"]), *figures, _format_number(row["worst_class"]),
            _format_number(row["between"], 2), broken,
        )  # fmt: skip
    _print_table(table)


def _print_losses(records: list[Json]) -> None:
    """Prints a table for each point, with a column per policy, sorted by the first policy's losses."""
    rows = _summarize(records)
    for point in dict.fromkeys(row["point"] for row in rows):
        point_rows = [row for row in rows if row["point"] == point]
        causes = {
            cause: max(row["losses"].get(cause, 0.0) for row in point_rows)
            for row in point_rows
            for cause in row["losses"]
        }
        shown_causes = [cause for cause in causes if causes[cause] >= MIN_SHOWN_LOSS]
        shown_causes.sort(key=lambda cause: -point_rows[0]["losses"].get(cause, 0.0))
        table = Table("cause", *(row["policy"] for row in point_rows), title=None if point == "-" else point)
        for cause in shown_causes:
            table.add_row(cause, *(f"{row['losses'].get(cause, 0.0):.4f}" for row in point_rows))
        others = [
            sum(loss for cause, loss in row["losses"].items() if cause not in shown_causes)
            for row in point_rows
        ]
        table.add_row("others", *(f"{loss:.4f}" for loss in others))
        _print_table(table)


def _print_table(table: Table) -> None:
    Console(width=None if sys.stdout.isatty() else 140).print(table)


@main.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="PNG, SVG or PDF [RESULTS.png].")
@report_errors
def plot(results: Path, out: Path | None) -> None:
    """Plots RESULTS: request weight served by second, and weight lost by cause."""
    header, records = read_results(results)
    if not records:
        raise ResultsError(f"{results}: expected at least one record")
    path = out or results.with_suffix(".png")
    if path.suffix not in PLOT_SUFFIXES:
        raise ResultsError(f"{path}: expected a file that ends in {', '.join(PLOT_SUFFIXES)}")
    from applehub.lab import plots  # matplotlib is slow to import

    plots.draw(records, path, header["name"])
    click.echo(f"{path}")


@main.command()
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
@click.option(
    "--measure", "measures", multiple=True, help="Dotted path of a result value [G, whole, worst_window]."
)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@report_errors
def compare(before: Path, after: Path, measures: tuple[str, ...], as_json: bool) -> None:
    """Pairs the runs of two results files by seed; prints differences with 95% confidence intervals."""
    first, second = (group_records(read_results(path)[1]) for path in (before, after))
    rows: list[Json] = []
    for key in first:
        for name in measures or MEASURES:
            figures = paired_means(first[key], second[key], name) if key in second else None
            if figures is not None:
                before_mean, after_mean, difference = figures
                rows.append(
                    {
                        "point": key[0], "policy": key[1], "measure": name, "pairs": difference.count,
                        "before": before_mean.value, "after": after_mean.value,
                        "difference": difference.value, "half": difference.half,
                    }
                )  # fmt: skip
    if not rows:
        raise ResultsError(
            f"{before} and {after}: expected runs with the same point, policy and seed in both"
        )
    if as_json:
        click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
        return
    table = Table("point", "policy", "measure", "pairs", "before", "after", "difference", "significant")
    for row in rows:
        significant = row["half"] is not None and abs(row["difference"]) > row["half"]
        half = "" if row["half"] is None else f" ±{row['half']:.4f}"
        table.add_row(
            row["point"], row["policy"], row["measure"], str(row["pairs"]), f"{row['before']:.4f}",
            f"{row['after']:.4f}", f"{row['difference']:+.4f}{half}", "yes" if significant else "no",
        )  # fmt: skip
    _print_table(table)


@main.command()
@click.argument("results", type=click.Path(path_type=Path))
@click.argument("request")
@click.option("--policy", default=None, help="Policy [the first].")
@click.option("--seed", type=int, default=None, help="Seed [the first].")
@click.option("--point", type=click.IntRange(0), default=0, help="Point of the sweep, by number.")
@report_errors
def trace(results: Path, request: str, policy: str | None, seed: int | None, point: int) -> None:
    """Repeats one run of RESULTS; prints all events of the REQUEST with this id, and of its retries."""
    header, _ = read_results(results)
    plan = make_plan(str(results), header["raw"])
    try:
        number = demand_number(request)
    except ValueError:
        raise ResultsError(f"{request}: expected the id of a request, 16 hex digits") from None
    if point >= len(plan.points):
        raise ResultsError(f"--point {point}: expected a number less than {len(plan.points)}")
    simulation = build_simulation(
        plan.points[point][1],
        policy or plan.experiment.policies[0],
        plan.experiment.seeds.first if seed is None else seed,
    )
    simulation.traced_demand = number
    simulation.run()
    if not simulation.client_attempts:
        raise ResultsError(
            f"{request}: expected a request of this run; total requests: {simulation.account.requests}"
        )
    demand = simulation.client_attempts[0].demand
    class_name = simulation.scenario.workload.classes[demand.cls].name
    click.echo(
        f"{class_name} for {demand.key}, {demand.work / MILLI:.1f} ms of work, from zone {demand.zone}"
    )
    for client_attempt in simulation.client_attempts:
        click.echo(f"attempt {client_attempt.id}, due {client_attempt.deadline / MILLI:.3f} ms")
        for at, text in client_attempt.events:
            click.echo(f"  {at / MILLI:12.3f} ms  {text}")


@main.command("throttle")
@click.option(
    "--jobs", "count", type=click.IntRange(1000), default=200_000, help="Jobs offered for each row."
)
@click.option("--seed", type=int, default=1)
@report_errors
def throttle(count: int, seed: int) -> None:
    """Simulates the throttle under Poisson arrivals and compares it with the Markov chain of the paper."""
    table = Table(
        "C_J + C_T", "C_J", "load", "throughput / r", "of the chain", "blocked", "of the chain", "agrees"
    )
    for row in throttle_analysis.table(count, seed):
        table.add_row(
            str(row.total), str(row.buffer), f"{row.load:.2f}", str(row.throughput),
            f"{row.chain_throughput:.4f}", str(row.blocked), f"{row.chain_blocked:.4f}",
            "yes" if row.agrees else "no",
        )  # fmt: skip
    _print_table(table)


@main.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=10.0, help="Simulated time for each size.")
@click.option(
    "--sizes",
    type=fleet_sizes("5x15,20x60"),
    default="5x15,20x60,50x100,200x200",
    help="Routers x servers.",
)
@report_errors
def speed(seconds: float, sizes: tuple[FleetSize, ...]) -> None:
    """Measures how many requests the simulation runs per second of CPU time, by fleet size."""
    table = Table("routers x servers", "requests", "CPU s", "requests/s", "µs an event", "simulated/real")
    for size in sizes:
        topology = {"routers": size.routers, "servers": size.servers}
        raw = {"name": "speed", "seconds": seconds, "topology": topology}
        simulation = build_simulation(make_plan("--sizes", raw).points[0][1], "router", 1)
        started_at = time.process_time()
        result = simulation.run()
        cpu_s = time.process_time() - started_at
        table.add_row(
            str(size), str(result["requests"]), f"{cpu_s:.2f}", f"{result['requests'] / cpu_s:,.0f}",
            f"{cpu_s / result['events'] * 1e6:.1f}", f"{seconds / cpu_s:.1f}",
        )  # fmt: skip
    _print_table(table)


@main.command("cost")
@click.option(
    "--requests", type=click.IntRange(100, 1_000_000), default=20_000, help="Requests for each size."
)
@click.option(
    "--sizes", type=counts(1, 100_000, "15,60"), default="15,60,200,1000", help="Numbers of servers."
)
@report_errors
def module_cost(requests: int, sizes: tuple[int, ...]) -> None:
    """Measures the decision module's CPU time for a request and its outcome, by fleet size."""
    output = Table("servers", "requests", "µs a request")
    for row in cost.table(requests, sizes):
        output.add_row(str(row.servers), str(row.requests), f"{row.microseconds:.1f}")
    _print_table(output)


@main.command()
@click.argument("policy", type=click.Choice(sorted(BASELINES)))
def wire(policy: str) -> None:
    """Serves a baseline POLICY over the simulator's protocol, like `sim` for the router's own policy."""
    sys.exit(wirehost.main(wirehost.Host(BASELINES[policy])))


main.add_command(load)
main.add_command(wide)
main.add_command(demo)
main.add_command(fleet)
main.add_command(judge_again)
main.add_command(each_fault)
main.add_command(list_scale)
main.add_command(watches)
main.add_command(peers)
main.add_command(cold)

if __name__ == "__main__":
    main()
