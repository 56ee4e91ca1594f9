"""Commands of a release: `python -m applehub.release`.

Exit status 2: a plan or a folder can't be used; 3: the release is halted.
"""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import ParamSpec

import click
import orjson
from prometheus_client import start_http_server

from applehub.durable.store import StoreError
from applehub.events import EventFormatError, read_events
from applehub.release.backoff import when_disk_permits
from applehub.release.controller import Controller
from applehub.release.errors import ReleaseError
from applehub.release.plan import Plan, load_plan
from applehub.release.rehearsal import RehearsalOptions, rehearse
from applehub.release.release_folder import EVENTS_FILE, ReleaseFolder, load_release, submit_request
from applehub.release.staff_requests import RequestKind
from applehub.release.state_machine import ACTIVE_MODES, ReleaseMode, ReleaseRecord

UNUSABLE = 2  # exit status
HALTED = 3  # exit status
MAX_PORT = 65_535
STATUS_S = 1.0  # between two outputs of `status --watch`
STATE = click.option(
    "--state", "folder", required=True, type=click.Path(file_okay=False, path_type=Path), help="Its folder."
)
AGAIN = click.option("--again", is_flag=True, help="Tries a version once more that was returned.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")
Parameters = ParamSpec("Parameters")


def guarded(command: Callable[Parameters, None]) -> Callable[Parameters, None]:
    """Has a command that raises an error of the program end with status 2 and a line for each fault."""

    @wraps(command)
    def wrapped(*arguments: Parameters.args, **options: Parameters.kwargs) -> None:
        try:
            command(*arguments, **options)
        except (ReleaseError, StoreError, EventFormatError, OSError) as error:
            click.echo(str(error), err=True)
            sys.exit(UNUSABLE)

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
    loaded = load_plan(file)
    stages = list(zip(loaded.stages, loaded.unit_names_by_stage(), strict=True))
    if as_json:
        shown = [{"stage": stage.name, "units": names, "watch_s": stage.watch_s} for stage, names in stages]
        click.echo(orjson.dumps(shown).decode())
        return
    limit = loaded.limits.out_at_once
    click.echo(f"{loaded.name}: {loaded.what} from {loaded.old} to {loaded.new}, {limit} out at once")
    for stage, names in stages:
        click.echo(f"  {stage.name}: {', '.join(names)}; watched {stage.watch_s:g} s")


@main.command("rehearse")
@click.argument("file", type=click.Path(path_type=Path))
@STATE
@click.option("--pace", type=click.FloatRange(1, 10_000), default=60.0, help="Times faster [60].")
@click.option("--step-s", type=click.FloatRange(0, 600), default=5.0, show_default=True, help="Of the plan.")
@click.option("--broken", multiple=True, help="A unit on which the new version never comes up.")
@AGAIN
@guarded
def rehearse_plan(  # noqa: PLR0913, PLR0917 (click passes each option by its name)
    file: Path, folder: Path, pace: float, step_s: float, broken: tuple[str, ...], again: bool
) -> None:
    """Carries plan FILE out on pretend machines; goes on where it was cut off, also by SIGKILL."""
    options = RehearsalOptions(pace, step_s, frozenset(broken), again)
    _end(rehearse(folder, load_plan(file), options).record)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@STATE
@AGAIN
@click.option("--metrics", type=click.IntRange(0, MAX_PORT), help="Port of 127.0.0.1 for a scraper.")
@guarded
def start(file: Path, folder: Path, again: bool, metrics: int | None) -> None:
    """Carries plan FILE out through its units' agents; goes on where it was cut off, also by SIGKILL."""
    loaded = load_plan(file)
    controller = when_disk_permits(lambda: _open_controller(folder, loaded, again))
    with controller.folder:
        if metrics is not None:
            start_http_server(metrics, "127.0.0.1", controller.metrics.registry)
        asyncio.run(controller.run())
        _end(controller.record)


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
        if not watch or stored.record.mode not in ACTIVE_MODES:
            return
        time.sleep(STATUS_S)


@main.command()
@STATE
@guarded
def history(folder: Path) -> None:
    """Prints what happened, a line each."""
    for record in read_events(folder / EVENTS_FILE):
        click.echo(record.to_text())


@main.command()
@STATE
@click.option("--why", default="by staff", show_default=True)
@guarded
def halt(folder: Path, why: str) -> None:
    """Lets nothing new begin; what is on its way is finished."""
    _request(folder, RequestKind.HALT, why)


@main.command()
@STATE
@guarded
def resume(folder: Path) -> None:
    """Lets a halted release go on; `start` or `rehearse` carries it on."""
    _request(folder, RequestKind.RESUME)


@main.command()
@STATE
@guarded
def back(folder: Path) -> None:
    """Turns a release round, to the old version; `start` or `rehearse` carries it on."""
    _request(folder, RequestKind.BACK)


def _open_controller(path: Path, plan: Plan, again: bool) -> Controller:
    folder = ReleaseFolder(path)
    try:
        folder.begin(plan, again)
        return Controller(folder, plan)
    except BaseException:
        folder.close()
        raise


def _request(folder: Path, kind: RequestKind, reason: str = "") -> None:
    try:
        done = submit_request(folder, kind, reason)
    except OSError as error:
        text = f"{kind}: not kept for sure: {error}; `status` tells, or ask again"
        raise OSError(text) from error
    if done:
        _show(load_release(folder).record)
    else:
        click.echo(f"{kind}: left to the controller that is at work")


def _end(record: ReleaseRecord) -> None:
    """Shows a release that runs no further, and ends the program."""
    _show(record)
    sys.exit(HALTED if record.mode is ReleaseMode.HALTED else 0)


def _show(record: ReleaseRecord) -> None:
    versions = Counter(unit.version for unit in record.units.values())
    reason = f", {record.reason}" if record.reason else ""
    click.echo(f"{record.old_version} to {record.new_version}: {record.mode}{reason}")
    click.echo("  " + ", ".join(f"{count} at {version}" for version, count in sorted(versions.items())))
    in_progress = [
        f"{name} to {unit.target_version}" for name, unit in record.units.items() if unit.target_version
    ]
    if in_progress:
        click.echo("  on the way: " + ", ".join(in_progress))


if __name__ == "__main__":
    main()
