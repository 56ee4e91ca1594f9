"""Commands of the lab that run plans on the cluster test harness."""

import asyncio
import resource
import sys
from collections.abc import Callable
from importlib import resources
from pathlib import Path

import click
import orjson
from rich.console import Console
from rich.table import Table

from applehub.lab.command_errors import report_errors
from applehub.lab.fleet import scale
from applehub.lab.fleet.checks import CHECKS, Violation, run_checks
from applehub.lab.fleet.harness import wait_for_all
from applehub.lab.fleet.history import History, gather
from applehub.lab.fleet.plan import BAD_VERSION_COMPONENTS, Plan, load_plan
from applehub.lab.fleet.plan_generator import generate_plan, shrink
from applehub.lab.fleet.report import OUTCOMES, cost, outcome_totals, outcomes_of
from applehub.lab.fleet.runner import run
from applehub.lab.fleet.variants import VARIANTS
from applehub.lab.spec import SpecError
from applehub.settings import Json

SHIPPED_PLANS = resources.files("applehub.lab.fleet") / "plans"
MAX_SHOWN = 5  # violations printed for each check


def shipped_plans() -> list[str]:
    return sorted(
        path.name.removesuffix(".toml") for path in SHIPPED_PLANS.iterdir() if path.name.endswith(".toml")
    )


def find_plan(file: str) -> Plan:
    """Loads a plan from a file or by the name of a shipped plan. Raises SpecError."""
    path = Path(file)
    if not path.exists() and file in shipped_plans():
        path = Path(str(SHIPPED_PLANS / f"{file}.toml"))
    if not path.exists():
        raise SpecError(f"{file}: no such file; shipped plans are {', '.join(shipped_plans())}")
    return load_plan(path)


@click.command()
@click.argument("file", required=False)
@click.option("--quick", is_flag=True, help="Runs the shipped plan `quick`: under 30 s.")
@click.option("--seed", type=click.IntRange(0), help="Seed of a random plan, instead of FILE.")
@click.option("--routers", type=click.IntRange(1, 60), default=20, help="Routers of a random plan.")
@click.option("--caches", type=click.IntRange(1, 60), default=20, help="Caches of a random plan.")
@click.option("--faults", type=click.IntRange(0, 200), default=30, help="Faults of a random plan.")
@click.option(
    "--seconds", type=click.FloatRange(1, 3600), default=60.0, help="Seconds of load in a random plan."
)
@click.option(
    "--rate", type=click.FloatRange(1, 5000), default=300.0, help="Requests per second of a random plan."
)
@click.option(
    "--lists",
    type=click.Choice(["0", "3"]),
    default="0",
    help="Replicas of the list service in a random plan.",
)
@click.option(
    "--leaves",
    type=click.FloatRange(0, 1),
    default=0.0,
    help="Fraction of clients that leave, in a random plan.",
)
@click.option(
    "--peers", is_flag=True, help="Routers gossip with each other; half of the faults affect the gossip."
)
@click.option(
    "--variant", type=click.Choice(sorted(VARIANTS)), help="Runs a known-bad variant of the router."
)
@click.option(
    "--bad",
    type=click.Choice(sorted(BAD_VERSION_COMPONENTS)),
    help="Releases a version that is bad in this way.",
)
@click.option("--shrink", "shrinking", is_flag=True, help="Reduces a plan that breaks a check to few faults.")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Keeps all files of the run.")
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@report_errors
def fleet(
    file: str | None, quick: bool, seed: int | None, routers: int, caches: int, faults: int, seconds: float,
    rate: float, lists: str, leaves: float, peers: bool, variant: str | None, bad: str | None,
    shrinking: bool,
    keep: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Runs plan FILE (or a shipped plan by name): router processes with fault injection.

    Exits with 0 if every check holds, 1 if a check is broken, 2 if the plan is invalid."""
    if (file is not None) + quick + (seed is not None) != 1:
        raise SpecError("expected exactly one of FILE, --quick and --seed")
    if seed is not None:
        plan = generate_plan(seed, routers, caches, faults, seconds, rate, int(lists), peers, leaves)
    else:
        plan = find_plan("quick" if quick else file or "")
    if variant:
        plan = plan.model_copy(update={"fleet": plan.fleet.model_copy(update={"variant": variant})})
    if bad:
        plan = with_bad_version(plan, bad)
    history = asyncio.run(run(plan, keep))
    violations = run_checks(history, plan)
    if as_json:
        click.echo(orjson.dumps(summary(history, plan, violations), option=orjson.OPT_INDENT_2).decode())
    else:
        print_results(history, plan, violations)
    if violations and shrinking:
        reduced_plan = asyncio.run(_shrink(plan, violations))
        click.echo(f"smallest plan that still breaks: {len(reduced_plan.faults)} faults")
        for fault in reduced_plan.faults:
            click.echo("  " + orjson.dumps(fault.model_dump(exclude_defaults=True)).decode())
    sys.exit(1 if violations else 0)


def with_bad_version(plan: Plan, bad: str) -> Plan:
    """Returns the plan with a release of a bad version, expected to be halted and rolled back.

    Raises SpecError."""
    if plan.release is None:
        raise SpecError(f"{plan.name}: expected a plan with a release")
    changes = {"what": BAD_VERSION_COMPONENTS[bad], "bad": bad, "ends": "returned"}
    return plan.model_copy(update={"release": plan.release.model_copy(update=changes)})


async def _shrink(plan: Plan, violations: list[Violation]) -> Plan:
    checks = {violation.check for violation in violations}

    async def breaks(candidate: Plan) -> bool:
        return bool(checks & {violation.check for violation in run_checks(await run(candidate), candidate)})

    return await shrink(plan, breaks, lambda text: click.echo(text, err=True))


@click.command("judge")
@click.argument("file")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@report_errors
def judge_again(file: str, folder: Path) -> None:
    """Checks the saved run in FOLDER again, with the limits of plan FILE."""
    plan = find_plan(file)
    history = gather(folder)
    violations = run_checks(history, plan)
    print_results(history, plan, violations)
    sys.exit(1 if violations else 0)


@click.command("faults")
@click.argument("file", default="faults")
@click.option(
    "--plays", type=click.IntRange(1, 50), default=3, help="Runs of each fault, with seeds 1, 2, ..."
)
@click.option("--jobs", type=click.IntRange(1, 16), default=4, help="Concurrent runs.")
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), help="File for results as JSON lines."
)
@report_errors
def each_fault(file: str, plays: int, jobs: int, out: Path | None) -> None:
    """Runs every fault of a plan alone and prints a table of costs; resumes an --out file."""
    plan = find_plan(file)
    results_by_run: dict[tuple[str, int], Json] = {}
    if out is not None and out.exists():
        results_by_run = {
            (result["fault"], result["seed"]): result
            for result in map(orjson.loads, out.read_bytes().splitlines())
        }
    pending = [(number, seed) for number in range(len(plan.faults)) for seed in range(1, plays + 1)]
    pending = [pair for pair in pending if (fault_name(plan, pair[0]), pair[1]) not in results_by_run]

    def on_result(record: Json) -> None:
        results_by_run[record["fault"], record["seed"]] = record
        if out is not None:
            with open(out, "ab") as file:
                file.write(orjson.dumps(record) + b"\n")
        click.echo(f"{record['fault']}, seed {record['seed']}: {record['broken'] or 'holds'}", err=True)

    asyncio.run(_run_each(plan, pending, jobs, on_result))
    names = dict.fromkeys(fault_name(plan, number) for number in range(len(plan.faults)))
    click.echo("| fault | plays | lost | refused | failed | late | of | back s | rules broken |")
    click.echo("|---|---|---|---|---|---|---|---|---|")
    for name in names:
        click.echo(
            format_row(name, [result for (fault, _), result in results_by_run.items() if fault == name])
        )
    sys.exit(1 if any(result["broken"] for result in results_by_run.values()) else 0)


@click.command("lists")
@click.option("--servers", type=click.IntRange(1, 5000), default=1000)
@click.option("--watchers", type=click.IntRange(1, 4000), default=2000)
@click.option("--changes", type=click.IntRange(2, 2000), default=50)
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@report_errors
def list_scale(servers: int, watchers: int, changes: int, as_json: bool) -> None:
    """Measures the list service and its stand-in with many watchers."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    rows = asyncio.run(scale.run(servers, watchers, changes))
    click.echo(scale.as_json(rows) if as_json else scale.format_table(rows))


def fault_name(plan: Plan, number: int) -> str:
    """Returns the name of a fault in tables."""
    return plan.faults[number].name or f"{number} {plan.faults[number].kind}"


async def _run_each(
    plan: Plan, pending: list[tuple[int, int]], jobs: int, on_result: Callable[[Json], None]
) -> None:
    slots = asyncio.Semaphore(jobs)

    async def run_one(number: int, seed: int) -> None:
        load = plan.load.model_copy(update={"seed": seed})
        single_fault_plan = plan.model_copy(update={"faults": [plan.faults[number]], "load": load})
        async with slots:
            history = await run(single_fault_plan)
        results = summary(history, single_fault_plan, violations := run_checks(history, single_fault_plan))
        checks = {check: count for check, count in results["checks"].items() if count}
        for violation in violations[:2]:
            click.echo(violation.text(history), err=True)
        on_result({"fault": fault_name(plan, number), "seed": seed, "broken": checks, **results["faults"][0]})

    await wait_for_all([run_one(number, seed) for number, seed in pending])


def format_row(name: str, results: list[Json]) -> str:
    """Returns a row of the table: means over runs, and the range of recovery times."""

    def mean(*keys: str) -> str:
        return f"{sum(result[key] for result in results for key in keys) / len(results):.1f}"

    recovery_times = sorted(result["back_s"] for result in results if result["back_s"] is not None)
    recovery = "-" if not recovery_times else f"{recovery_times[0]:.2f} to {recovery_times[-1]:.2f}"
    if len(recovery_times) < len(results):
        recovery += f", {len(results) - len(recovery_times)} not"
    broken_checks = ", ".join(sorted({check for result in results for check in result["broken"]})) or "none"
    lost = mean("closed", "gave_up", "unreached")
    cells = [name, str(len(results)), lost, mean("refused"), mean("failed"), mean("late"), mean("requests")]
    return f"| {' | '.join(cells)} | {recovery} | {broken_checks} |"


def summary(history: History, plan: Plan, violations: list[Violation]) -> Json:
    """Returns the results of a run as JSON values."""
    latency_objective_ms = plan.load.wait_ms / 2
    outcomes = outcomes_of(history, latency_objective_ms)
    costs = [cost(history, span, outcomes) for span in history.fault_intervals]
    return {
        "plan": plan.name,
        "requests": len(outcomes),
        "ended": outcome_totals(history, latency_objective_ms),
        "checks": {name: sum(violation.check == name for violation in violations) for name in CHECKS},
        "broken": [f"{violation.check}: {violation.message}" for violation in violations],
        "faults": [
            {
                "kind": fault_cost.span.kind, "at_s": round((fault_cost.span.begin - history.begin) / 1e9, 2),
                "requests": fault_cost.requests, **fault_cost.ended, "before": round(fault_cost.before, 3),
                "back_s": None if fault_cost.back_s is None else round(fault_cost.back_s, 2),
            }
            for fault_cost in costs
        ],
    }  # fmt: skip


def print_results(history: History, plan: Plan, violations: list[Violation]) -> None:
    """Prints the results of a run."""
    results, console = summary(history, plan, violations), Console(width=140)
    table = Table("fault", "at s", "requests", *OUTCOMES, "before", "back s")
    for fault in results["faults"]:
        recovery = "-" if fault["back_s"] is None else f"{fault['back_s']:.2f}"
        table.add_row(
            fault["kind"], f"{fault['at_s']:.1f}", str(fault["requests"]),
            *(str(fault[outcome]) for outcome in OUTCOMES), f"{fault['before']:.2f}", recovery,
        )  # fmt: skip
    if results["faults"]:
        console.print(table)
    ended = ", ".join(f"{count} {outcome}" for outcome, count in results["ended"].items() if count)
    click.echo(f"{plan.name}: {results['requests']} requests: {ended}")
    for name, count in results["checks"].items():
        click.echo(f"  {name:10} {'holds' if not count else f'broken {count} times'}")
        for violation in [violation for violation in violations if violation.check == name][:MAX_SHOWN]:
            click.echo(violation.text(history))
