"""The lab's command `fleet`: plays plans on the proving ground."""

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

from applehub.lab.fleet import scale
from applehub.lab.fleet.checks import CHECKS, Broken, judge
from applehub.lab.fleet.draw import draw, shrink
from applehub.lab.fleet.ground import together
from applehub.lab.fleet.history import History, gather
from applehub.lab.fleet.plan import BAD, Plan, load_plan
from applehub.lab.fleet.play import run
from applehub.lab.fleet.report import ENDS, cost, ends_of, totals
from applehub.lab.fleet.variants import VARIANTS
from applehub.lab.problems import guarded
from applehub.lab.spec import SpecError
from applehub.settings import Json

SHIPPED = resources.files("applehub.lab.fleet") / "plans"
MOST_SHOWN = 5  # broken rules of one check


def shipped() -> list[str]:
    return sorted(one.name.removesuffix(".toml") for one in SHIPPED.iterdir() if one.name.endswith(".toml"))


def find(file: str) -> Plan:
    """A plan's file, or the name of one that is shipped."""
    path = Path(file)
    if not path.exists() and file in shipped():
        path = Path(str(SHIPPED / f"{file}.toml"))
    if not path.exists():
        raise SpecError(f"{file}: no such file; shipped are {', '.join(shipped())}")
    return load_plan(path)


@click.command()
@click.argument("file", required=False)
@click.option("--quick", is_flag=True, help="The shipped plan `quick`: under 30 s.")
@click.option("--seed", type=click.IntRange(0), help="Draws a plan from a seed, in place of FILE.")
@click.option("--routers", type=click.IntRange(1, 60), default=20, help="Of a drawn plan.")
@click.option("--caches", type=click.IntRange(1, 60), default=20, help="Of a drawn plan.")
@click.option("--faults", type=click.IntRange(0, 200), default=30, help="Of a drawn plan.")
@click.option("--seconds", type=click.FloatRange(1, 3600), default=60.0, help="Of a drawn plan.")
@click.option(
    "--rate", type=click.FloatRange(1, 5000), default=300.0, help="Requests a second, of a drawn plan."
)
@click.option(
    "--lists", type=click.Choice(["0", "3"]), default="0", help="Replicas of the list service, drawn."
)
@click.option("--leaves", type=click.FloatRange(0, 1), default=0.0, help="Part of the clients, drawn.")
@click.option("--peers", is_flag=True, help="Routers speak with each other; half of the faults strike that.")
@click.option("--variant", type=click.Choice(sorted(VARIANTS)), help="A known-bad router.")
@click.option("--bad", type=click.Choice(sorted(BAD)), help="Releases a version that is worse in this way.")
@click.option("--shrink", "shrinking", is_flag=True, help="Cuts a plan that breaks a rule to a small one.")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="Keeps all files of the play.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@guarded
def fleet(
    file: str | None, quick: bool, seed: int | None, routers: int, caches: int, faults: int, seconds: float,
    rate: float, lists: str, leaves: float, peers: bool, variant: str | None, bad: str | None,
    shrinking: bool,
    keep: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Plays plan FILE (or a shipped one by name): processes of the program, with faults between them.

    Ends with code 0 where every check holds, 1 where one is broken, 2 where the plan is of no use."""
    if (file is not None) + quick + (seed is not None) != 1:
        raise SpecError("expected one of a FILE, --quick and --seed")
    if seed is not None:
        plan = draw(seed, routers, caches, faults, seconds, rate, int(lists), peers, leaves)
    else:
        plan = find("quick" if quick else file or "")
    if variant:
        plan = plan.model_copy(update={"fleet": plan.fleet.model_copy(update={"variant": variant})})
    if bad:
        plan = worse(plan, bad)
    history = asyncio.run(run(plan, keep))
    broken = judge(history, plan)
    if as_json:
        click.echo(orjson.dumps(summary(history, plan, broken), option=orjson.OPT_INDENT_2).decode())
    else:
        show(history, plan, broken)
    if broken and shrinking:
        small = asyncio.run(_shrunk(plan, broken))
        click.echo(f"the smallest that still breaks: {len(small.faults)} faults")
        for one in small.faults:
            click.echo("  " + orjson.dumps(one.model_dump(exclude_defaults=True)).decode())
    sys.exit(1 if broken else 0)


def worse(plan: Plan, bad: str) -> Plan:
    """The plan with a version that is worse, which has to be halted and returned. Raises SpecError."""
    if plan.release is None:
        raise SpecError(f"{plan.name}: releases nothing; expected a plan with a release")
    told = {"what": BAD[bad], "bad": bad, "ends": "returned"}
    return plan.model_copy(update={"release": plan.release.model_copy(update=told)})


async def _shrunk(plan: Plan, broken: list[Broken]) -> Plan:
    checks = {one.check for one in broken}

    async def breaks(one: Plan) -> bool:
        return bool(checks & {found.check for found in judge(await run(one), one)})

    return await shrink(plan, breaks, lambda text: click.echo(text, err=True))


@click.command("judge")
@click.argument("file")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@guarded
def judge_again(file: str, folder: Path) -> None:
    """Judges a play that was kept in FOLDER once more, by the bounds of plan FILE."""
    plan = find(file)
    history = gather(folder)
    broken = judge(history, plan)
    show(history, plan, broken)
    sys.exit(1 if broken else 0)


@click.command("faults")
@click.argument("file", default="faults")
@click.option("--plays", type=click.IntRange(1, 50), default=3, help="Of each fault, on seeds 1, 2, ...")
@click.option("--jobs", type=click.IntRange(1, 16), default=4, help="Plays at once.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Results as JSON lines.")
@guarded
def each_fault(file: str, plays: int, jobs: int, out: Path | None) -> None:
    """Plays every fault of a plan alone and tables what it cost; goes on where an --out file was cut off."""
    plan = find(file)
    done: dict[tuple[str, int], Json] = {}
    if out is not None and out.exists():
        done = {(one["fault"], one["seed"]): one for one in map(orjson.loads, out.read_bytes().splitlines())}
    wanted = [(number, seed) for number in range(len(plan.faults)) for seed in range(1, plays + 1)]
    wanted = [one for one in wanted if (called(plan, one[0]), one[1]) not in done]

    def told(record: Json) -> None:
        done[record["fault"], record["seed"]] = record
        if out is not None:
            with open(out, "ab") as file:
                file.write(orjson.dumps(record) + b"\n")
        click.echo(f"{record['fault']}, seed {record['seed']}: {record['broken'] or 'holds'}", err=True)

    asyncio.run(_alone(plan, wanted, jobs, told))
    names = dict.fromkeys(called(plan, number) for number in range(len(plan.faults)))
    click.echo("| fault | plays | lost | refused | failed | late | of | back s | rules broken |")
    click.echo("|---|---|---|---|---|---|---|---|---|")
    for name in names:
        click.echo(row(name, [one for (fault, _), one in done.items() if fault == name]))
    sys.exit(1 if any(one["broken"] for one in done.values()) else 0)


@click.command("lists")
@click.option("--servers", type=click.IntRange(1, 5000), default=1000)
@click.option("--watchers", type=click.IntRange(1, 4000), default=2000)
@click.option("--changes", type=click.IntRange(2, 2000), default=50)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@guarded
def list_scale(servers: int, watchers: int, changes: int, as_json: bool) -> None:
    """Measures the list service with many watchers, beside its stand-in on the same work."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    rows = asyncio.run(scale.run(servers, watchers, changes))
    click.echo(scale.as_json(rows) if as_json else scale.shown(rows))


def called(plan: Plan, number: int) -> str:
    """What a table calls a fault of a plan."""
    return plan.faults[number].name or f"{number} {plan.faults[number].kind}"


async def _alone(plan: Plan, wanted: list[tuple[int, int]], jobs: int, told: Callable[[Json], None]) -> None:
    free = asyncio.Semaphore(jobs)

    async def one(number: int, seed: int) -> None:
        load = plan.load.model_copy(update={"seed": seed})
        alone = plan.model_copy(update={"faults": [plan.faults[number]], "load": load})
        async with free:
            history = await run(alone)
        said = summary(history, alone, broken := judge(history, alone))
        checks = {check: count for check, count in said["checks"].items() if count}
        for found in broken[:2]:
            click.echo(found.text(history), err=True)
        told({"fault": called(plan, number), "seed": seed, "broken": checks, **said["faults"][0]})

    await together([one(number, seed) for number, seed in wanted])


def row(name: str, plays: list[Json]) -> str:
    """A line of the table: means over plays, and the range of the seconds until service was back."""

    def mean(*keys: str) -> str:
        return f"{sum(one[key] for one in plays for key in keys) / len(plays):.1f}"

    backs = sorted(one["back_s"] for one in plays if one["back_s"] is not None)
    back = "-" if not backs else f"{backs[0]:.2f} to {backs[-1]:.2f}"
    if len(backs) < len(plays):
        back += f", {len(plays) - len(backs)} not"
    broken = ", ".join(sorted({check for one in plays for check in one["broken"]})) or "none"
    lost = mean("closed", "gave_up", "unreached")
    cells = [name, str(len(plays)), lost, mean("refused"), mean("failed"), mean("late"), mean("requests")]
    return f"| {' | '.join(cells)} | {back} | {broken} |"


def summary(history: History, plan: Plan, broken: list[Broken]) -> Json:
    """All that `show` tells."""
    aim = plan.load.wait_ms / 2
    ends = ends_of(history, aim)
    costs = [cost(history, span, ends) for span in history.spans]
    return {
        "plan": plan.name,
        "requests": len(ends),
        "ended": totals(history, aim),
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


def show(history: History, plan: Plan, broken: list[Broken]) -> None:
    """Prints what a play showed."""
    told, console = summary(history, plan, broken), Console(width=140)
    table = Table("fault", "at s", "requests", *ENDS, "before", "back s")
    for one in told["faults"]:
        back = "-" if one["back_s"] is None else f"{one['back_s']:.2f}"
        table.add_row(
            one["kind"], f"{one['at_s']:.1f}", str(one["requests"]), *(str(one[how]) for how in ENDS),
            f"{one['before']:.2f}", back,
        )  # fmt: skip
    if told["faults"]:
        console.print(table)
    ended = ", ".join(f"{count} {how}" for how, count in told["ended"].items() if count)
    click.echo(f"{plan.name}: {told['requests']} requests: {ended}")
    for name, count in told["checks"].items():
        click.echo(f"  {name:10} {'holds' if not count else f'broken {count} times'}")
        for one in [one for one in broken if one.check == name][:MOST_SHOWN]:
            click.echo(one.text(history))
