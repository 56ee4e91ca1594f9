"""Commands of a release: `python -m applehub.release`. Code 2: a plan or a folder is of no use; 3: halted."""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from functools import wraps
from pathlib import Path
from typing import Any

import click
import orjson
from prometheus_client import start_http_server

from applehub.durable.store import StoreError
from applehub.events import EventError, read
from applehub.release.backoff import when_disk_permits
from applehub.release.controller import Controller
from applehub.release.kept import Kept, ask, load_release
from applehub.release.machine import Mode, Record
from applehub.release.plan import Plan, PlanError, load_plan
from applehub.release.rehearsal import rehearse
from applehub.release.staff_requests import RequestKind

STATE = click.option(
    "--state", "folder", required=True, type=click.Path(file_okay=False, path_type=Path), help="Its folder."
)
AGAIN = click.option("--again", is_flag=True, help="Tries a version once more that was returned.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")


def guarded(call: Callable[..., None]) -> Callable[..., None]:
    """What is of no use ends with code 2 and a line for each fault."""

    @wraps(call)
    def wrapped(*words: Any, **named: Any) -> None:
        try:
            call(*words, **named)
        except (PlanError, StoreError, EventError, OSError) as problem:
            click.echo(str(problem), err=True)
            sys.exit(2)

    return wrapped


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Staged releases of cache servers, of the program and of its configuration."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@JSON
@guarded
def plan(file: Path, as_json: bool) -> None:
    """Checks plan FILE and shows its stages."""
    told = load_plan(file)
    stages = list(zip(told.stages, told.batches(), strict=True))
    if as_json:
        shown = [{"stage": one.name, "units": names, "watch_s": one.watch_s} for one, names in stages]
        click.echo(orjson.dumps(shown).decode())
        return
    most = told.limits.out_at_once
    click.echo(f"{told.name}: {told.what} from {told.old} to {told.new}, {most} out at once")
    for one, names in stages:
        click.echo(f"  {one.name}: {', '.join(names)}; watched {one.watch_s:g} s")


@main.command("rehearse")
@click.argument("file", type=click.Path(path_type=Path))
@STATE
@click.option("--pace", type=click.FloatRange(1, 10_000), default=60.0, help="Times faster [60].")
@click.option("--step-s", type=click.FloatRange(0, 600), default=5.0, show_default=True, help="Of the plan.")
@click.option("--broken", multiple=True, help="A unit on which the new version never comes up.")
@AGAIN
@guarded
def rehearse_plan(
    file: Path, folder: Path, pace: float, step_s: float, broken: tuple[str, ...], again: bool
) -> None:
    """Carries plan FILE out on pretend machines; goes on where it was cut off, also by SIGKILL."""
    mode, kept = rehearse(folder, load_plan(file), again, pace, set(broken), step_s)
    _show(kept.record)
    sys.exit(3 if mode is Mode.HALTED else 0)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@STATE
@AGAIN
@click.option("--metrics", type=click.IntRange(0, 65535), help="Port of 127.0.0.1 for a scraper.")
@guarded
def start(file: Path, folder: Path, again: bool, metrics: int | None) -> None:
    """Carries plan FILE out through its units' agents; goes on where it was cut off, also by SIGKILL."""
    told = load_plan(file)
    controller = when_disk_permits(lambda: _opened(folder, told, again))
    with closing(controller.kept) as kept:
        if metrics is not None:
            start_http_server(metrics, "127.0.0.1", controller.metrics.registry)
        mode = asyncio.run(controller.run())
        _show(kept.record)
    sys.exit(3 if mode is Mode.HALTED else 0)


def _opened(folder: Path, plan: Plan, again: bool) -> Controller:
    kept = Kept(folder)
    try:
        kept.begin(plan, again)
        return Controller(kept, plan, folder)
    except BaseException:
        kept.close()
        raise


def _show(record: Record) -> None:
    versions = Counter(unit.version for unit in record.units.values())
    click.echo(f"{record.old} to {record.new}: {record.mode}" + (f", {record.why}" if record.why else ""))
    click.echo("  " + ", ".join(f"{count} at {version}" for version, count in sorted(versions.items())))
    on_way = [f"{name} to {unit.target}" for name, unit in record.units.items() if unit.target]
    if on_way:
        click.echo("  on the way: " + ", ".join(on_way))


@main.command()
@STATE
@click.option("--watch", is_flag=True, help="Again each second, until the release has ended or is halted.")
@JSON
@guarded
def status(folder: Path, watch: bool, as_json: bool) -> None:
    """Shows how a release stands."""
    while True:
        stored = load_release(folder)
        if as_json:
            click.echo(stored.json.decode())
        else:
            _show(stored.record)
        if not watch or stored.record.mode not in (Mode.RUNNING, Mode.BACK):
            return
        time.sleep(1)


@main.command()
@STATE
@guarded
def history(folder: Path) -> None:
    """Prints what happened, a line each."""
    for one in read(folder / "events.jsonl"):
        click.echo(one.line())


def _ask(folder: Path, kind: RequestKind, reason: str = "") -> None:
    try:
        done = ask(folder, kind, reason)
    except OSError as problem:
        raise OSError(f"{kind}: not kept for sure: {problem}; `status` tells, or ask again") from problem
    if done:
        _show(load_release(folder).record)
    else:
        click.echo(f"{kind}: left to the controller that is at work")


@main.command()
@STATE
@click.option("--why", default="by staff", show_default=True)
@guarded
def halt(folder: Path, why: str) -> None:
    """Lets nothing new begin; what is on its way is finished."""
    _ask(folder, RequestKind.HALT, why)


@main.command()
@STATE
@guarded
def resume(folder: Path) -> None:
    """Lets a halted release go on; `start` or `rehearse` carries it on."""
    _ask(folder, RequestKind.RESUME)


@main.command()
@STATE
@guarded
def back(folder: Path) -> None:
    """Turns a release round, to the old version; `start` or `rehearse` carries it on."""
    _ask(folder, RequestKind.BACK)


if __name__ == "__main__":
    main()
