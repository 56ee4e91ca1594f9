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
MAX_SHOWN = 5  # violations of one check


def shipped_plans() -> list[str]:
    return sorted(
        one.name.removesuffix(".toml") for one in SHIPPED_PLANS.iterdir() if one.name.endswith(".toml")
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
@click.option("--peers", is_flag=True, help="Routers gossip with each other; half of the faults affect that.")
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
    broken = run_checks(history, plan)
    if as_json:
        click.echo(orjson.dumps(summary(history, plan, broken), option=orjson.OPT_INDENT_2).decode())
    else:
        show(history, plan, broken)
    if broken and shrinking:
        small = asyncio.run(_shrink(plan, broken))
        click.echo(f"smallest plan that still breaks: {len(small.faults)} faults")
        for one in small.faults:
            click.echo("  " + orjson.dumps(one.model_dump(exclude_defaults=True)).decode())
    sys.exit(1 if broken else 0)


def with_bad_version(plan: Plan, bad: str) -> Plan:
    """Returns the plan with a bad version, which must be halted and returned. Raises SpecError."""
    if plan.release is None:
        raise SpecError(f"{plan.name}: expected a plan with a release")
    changes = {"what": BAD_VERSION_COMPONENTS[bad], "bad": bad, "ends": "returned"}
    return plan.model_copy(update={"release": plan.release.model_copy(update=changes)})


async def _shrink(plan: Plan, broken: list[Violation]) -> Plan:
    checks = {one.check for one in broken}

    async def breaks(one: Plan) -> bool:
        return bool(checks & {found.check for found in run_checks(await run(one), one)})

    return await shrink(plan, breaks, lambda text: click.echo(text, err=True))


@click.command("judge")
@click.argument("file")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@report_errors
def judge_again(file: str, folder: Path) -> None:
    """Checks a run that was kept in FOLDER again, with the limits of plan FILE."""
    plan = find_plan(file)
    history = gather(folder)
    broken = run_checks(history, plan)
    show(history, plan, broken)
    sys.exit(1 if broken else 0)


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
    done: dict[tuple[str, int], Json] = {}
    if out is not None and out.exists():
        done = {(one["fault"], one["seed"]): one for one in map(orjson.loads, out.read_bytes().splitlines())}
    pending = [(number, seed) for number in range(len(plan.faults)) for seed in range(1, plays + 1)]
    pending = [one for one in pending if (fault_name(plan, one[0]), one[1]) not in done]

    def on_result(record: Json) -> None:
        done[record["fault"], record["seed"]] = record
        if out is not None:
            with open(out, "ab") as file:
                file.write(orjson.dumps(record) + b"\n")
        click.echo(f"{record['fault']}, seed {record['seed']}: {record['broken'] or 'holds'}", err=True)

    asyncio.run(_run_each(plan, pending, jobs, on_result))
    names = dict.fromkeys(fault_name(plan, number) for number in range(len(plan.faults)))
    click.echo("| fault | plays | lost | refused | failed | late | of | back s | rules broken |")
    click.echo("|---|---|---|---|---|---|---|---|---|")
    for name in names:
        click.echo(row(name, [one for (fault, _), one in done.items() if fault == name]))
    sys.exit(1 if any(one["broken"] for one in done.values()) else 0)


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

    async def one(number: int, seed: int) -> None:
        load = plan.load.model_copy(update={"seed": seed})
        alone = plan.model_copy(update={"faults": [plan.faults[number]], "load": load})
        async with slots:
            history = await run(alone)
        results = summary(history, alone, broken := run_checks(history, alone))
        checks = {check: count for check, count in results["checks"].items() if count}
        for found in broken[:2]:
            click.echo(found.text(history), err=True)
        on_result({"fault": fault_name(plan, number), "seed": seed, "broken": checks, **results["faults"][0]})

    await wait_for_all([one(number, seed) for number, seed in pending])


def row(name: str, results: list[Json]) -> str:
    """Returns a row of the table: means over runs, and the range of recovery times."""

    def mean(*keys: str) -> str:
        return f"{sum(one[key] for one in results for key in keys) / len(results):.1f}"

    recovery_times = sorted(one["back_s"] for one in results if one["back_s"] is not None)
    back = "-" if not recovery_times else f"{recovery_times[0]:.2f} to {recovery_times[-1]:.2f}"
    if len(recovery_times) < len(results):
        back += f", {len(results) - len(recovery_times)} not"
    broken = ", ".join(sorted({check for one in results for check in one["broken"]})) or "none"
    lost = mean("closed", "gave_up", "unreached")
    cells = [name, str(len(results)), lost, mean("refused"), mean("failed"), mean("late"), mean("requests")]
    return f"| {' | '.join(cells)} | {back} | {broken} |"


def summary(history: History, plan: Plan, broken: list[Violation]) -> Json:
    """Returns the results of a run as JSON values."""
    objective_ms = plan.load.wait_ms / 2
    outcomes = outcomes_of(history, objective_ms)
    costs = [cost(history, span, outcomes) for span in history.fault_intervals]
    return {
        "plan": plan.name,
        "requests": len(outcomes),
        "ended": outcome_totals(history, objective_ms),
        "checks": {name: sum(one.check == name for one in broken) for name in CHECKS},
        "broken": [f"{one.check}: {one.what}" for one in broken],
        "faults": [
            {
                "kind": one.span.kind, "at_s": round((one.span.begin - history.begin) / 1e9, 2),
                "requests": one.requests, **one.ended, "before": round(one.before, 3),
                "back_s": None if one.back_s is None else round(one.back_s, 2),
            }
            for one in costs
        ],
    }  # fmt: skip


def show(history: History, plan: Plan, broken: list[Violation]) -> None:
    """Prints the results of a run."""
    results, console = summary(history, plan, broken), Console(width=140)
    table = Table("fault", "at s", "requests", *OUTCOMES, "before", "back s")
    for one in results["faults"]:
        back = "-" if one["back_s"] is None else f"{one['back_s']:.2f}"
        table.add_row(
            one["kind"], f"{one['at_s']:.1f}", str(one["requests"]),
            *(str(one[outcome]) for outcome in OUTCOMES), f"{one['before']:.2f}", back,
        )  # fmt: skip
    if results["faults"]:
        console.print(table)
    ended = ", ".join(f"{count} {outcome}" for outcome, count in results["ended"].items() if count)
    click.echo(f"{plan.name}: {results['requests']} requests: {ended}")
    for name, count in results["checks"].items():
        click.echo(f"  {name:10} {'holds' if not count else f'broken {count} times'}")
        for one in [one for one in broken if one.check == name][:MAX_SHOWN]:
            click.echo(one.text(history))
