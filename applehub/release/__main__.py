"""Command line of staged releases: `python -m applehub.release`.

Exits with status 2 if a plan or a release folder can't be used, and with 3 if the release is halted.
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
from applehub.release.backoff import retry_disk_errors
from applehub.release.controller import Controller
from applehub.release.errors import ReleaseError
from applehub.release.plan import Plan, load_plan
from applehub.release.rehearsal import RehearsalOptions, rehearse
from applehub.release.release_folder import EVENTS_FILE, ReleaseFolder, load_release, submit_request
from applehub.release.staff_requests import RequestKind
from applehub.release.state_machine import ACTIVE_MODES, ReleaseMode, ReleaseRecord

EXIT_UNUSABLE = 2  # a plan or a release folder can't be used
EXIT_HALTED = 3
MAX_PORT = 65_535
STATUS_INTERVAL_S = 1.0  # interval between two outputs of `status --watch`
STATE_OPTION = click.option(
    "--state",
    "folder",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder of the release.",
)
AGAIN_OPTION = click.option("--again", is_flag=True, help="Allow a version that was rolled back before.")
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
Parameters = ParamSpec("Parameters")


def reports_errors(command: Callable[Parameters, None]) -> Callable[Parameters, None]:
    """Wraps a command so that it prints an expected error and exits with EXIT_UNUSABLE."""

    @wraps(command)
    def wrapped(*arguments: Parameters.args, **options: Parameters.kwargs) -> None:
        try:
            command(*arguments, **options)
        except (ReleaseError, StoreError, EventFormatError, OSError) as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_UNUSABLE)

    return wrapped


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Staged releases of cache servers, routers and their configuration."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@JSON_OPTION
@reports_errors
def plan(file: Path, as_json: bool) -> None:
    """Validate the plan FILE and print its stages."""
    release_plan = load_plan(file)
    stages = list(zip(release_plan.stages, release_plan.unit_names_by_stage(), strict=True))
    if as_json:
        output = [{"stage": stage.name, "units": names, "watch_s": stage.watch_s} for stage, names in stages]
        click.echo(orjson.dumps(output).decode())
        return
    limit = release_plan.limits.out_at_once
    click.echo(
        f"{release_plan.name}: {release_plan.what} from {release_plan.old} to {release_plan.new}, "
        f"at most {limit} out of service"
    )
    for stage, names in stages:
        click.echo(f"  {stage.name}: {', '.join(names)}; watched {stage.watch_s:g} s")


@main.command("rehearse")
@click.argument("file", type=click.Path(path_type=Path))
@STATE_OPTION
@click.option("--pace", type=click.FloatRange(1, 10_000), default=60.0, help="Speed-up of time [60].")
@click.option(
    "--step-s",
    type=click.FloatRange(0, 600),
    default=5.0,
    show_default=True,
    help="Duration of a step in plan time.",
)
@click.option("--broken", multiple=True, help="Unit on which the new version fails to start.")
@AGAIN_OPTION
@reports_errors
def rehearse_plan(  # noqa: PLR0913, PLR0917 (click passes each option as a parameter)
    file: Path, folder: Path, pace: float, step_s: float, broken: tuple[str, ...], again: bool
) -> None:
    """Run the plan FILE on simulated units, continuing an interrupted rehearsal."""
    options = RehearsalOptions(pace, step_s, frozenset(broken), again)
    _show_and_exit(rehearse(folder, load_plan(file), options).record)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@STATE_OPTION
@AGAIN_OPTION
@click.option("--metrics", type=click.IntRange(0, MAX_PORT), help="Port on 127.0.0.1 for Prometheus metrics.")
@reports_errors
def start(file: Path, folder: Path, again: bool, metrics: int | None) -> None:
    """Run the plan FILE through the agents of its units, continuing an interrupted release."""
    release_plan = load_plan(file)
    controller = retry_disk_errors(lambda: _open_controller(folder, release_plan, again))
    with controller.folder:
        if metrics is not None:
            start_http_server(metrics, "127.0.0.1", controller.metrics.registry)
        asyncio.run(controller.run())
        _show_and_exit(controller.record)


@main.command()
@STATE_OPTION
@click.option("--watch", is_flag=True, help="Repeat each second until the release has ended or is halted.")
@JSON_OPTION
@reports_errors
def status(folder: Path, watch: bool, as_json: bool) -> None:
    """Print the status of a release."""
    while True:
        stored = load_release(folder)
        if as_json:
            click.echo(stored.json.decode())
        else:
            _print_record(stored.record)
        if not watch or stored.record.mode not in ACTIVE_MODES:
            return
        time.sleep(STATUS_INTERVAL_S)


@main.command()
@STATE_OPTION
@reports_errors
def history(folder: Path) -> None:
    """Print the events of a release."""
    for record in read_events(folder / EVENTS_FILE):
        click.echo(record.to_text())


@main.command()
@STATE_OPTION
@click.option("--why", default="by staff", show_default=True)
@reports_errors
def halt(folder: Path, why: str) -> None:
    """Halt a release. Units in progress are completed, and no others are upgraded."""
    _submit(folder, RequestKind.HALT, why)


@main.command()
@STATE_OPTION
@reports_errors
def resume(folder: Path) -> None:
    """Resume a halted release. Run `start` or `rehearse` to continue it."""
    _submit(folder, RequestKind.RESUME)


@main.command()
@STATE_OPTION
@reports_errors
def back(folder: Path) -> None:
    """Roll a release back to the old version. Run `start` or `rehearse` to continue it."""
    _submit(folder, RequestKind.BACK)


def _open_controller(path: Path, plan: Plan, again: bool) -> Controller:
    folder = ReleaseFolder(path)
    try:
        folder.begin(plan, again)
        return Controller(folder, plan)
    except BaseException:
        folder.close()
        raise


def _submit(folder: Path, kind: RequestKind, reason: str = "") -> None:
    try:
        executed = submit_request(folder, kind, reason)
    except OSError as error:
        text = f"{kind}: outcome unknown: {error}; check `status` or submit the request again"
        raise OSError(text) from error
    if executed:
        _print_record(load_release(folder).record)
    else:
        click.echo(f"{kind}: submitted to the running controller")


def _show_and_exit(record: ReleaseRecord) -> None:
    """Prints the record of a release and exits, with EXIT_HALTED if the release is halted."""
    _print_record(record)
    sys.exit(EXIT_HALTED if record.mode is ReleaseMode.HALTED else 0)


def _print_record(record: ReleaseRecord) -> None:
    versions = Counter(unit.version for unit in record.units.values())
    reason = f", {record.reason}" if record.reason else ""
    click.echo(f"{record.old_version} to {record.new_version}: {record.mode}{reason}")
    click.echo("  " + ", ".join(f"{count} at {version}" for version, count in sorted(versions.items())))
    in_progress = [
        f"{name} to {unit.target_version}" for name, unit in record.units.items() if unit.target_version
    ]
    if in_progress:
        click.echo("  in progress: " + ", ".join(in_progress))


if __name__ == "__main__":
    main()
