"""Runs the model checker: `python -m applehub.registry.model`.

The exit code is 1 if an invariant is violated."""

import sys
import time

import click

from applehub.registry.model.explorer import (
    DISK_REFUSALS,
    INITIAL_STATES,
    NO_RESTARTS,
    ExplorationResult,
    explore,
    reach_state,
)
from applehub.registry.model.granularity import CoarseModel, FineModel
from applehub.registry.model.invariants import InvariantError
from applehub.registry.model.mutants import MUTANTS, Mutant
from applehub.registry.model.state import Bounds
from applehub.registry.model.steps import Model
from applehub.registry.replica import Replica


def explore_from(model: Model, name: str, start: str, depth: int, max_states: int) -> ExplorationResult:
    """Explores from an initial state and reports progress on standard error.

    start: a key of INITIAL_STATES."""
    started_at = time.monotonic()

    def report(level: int, states: int) -> None:
        seconds = time.monotonic() - started_at
        click.echo(f"{name}: depth {level}, {states} states, {seconds:.0f} s", err=True)

    try:
        return explore(model, reach_state(model, INITIAL_STATES[start]), depth, max_states, report)
    except InvariantError as error:
        return ExplorationResult(0, 0, str(error), INITIAL_STATES[start])


@click.command()
@click.option("--coarse", type=click.IntRange(0, 20), default=6, help="Depth of the coarse exploration.")
@click.option("--fine", type=click.IntRange(0, 40), default=8, help="Depth of the fine exploration.")
@click.option("--mutant", type=click.Choice(sorted(MUTANTS)), help="Name of the faulty replica to explore.")
@click.option(
    "--most", type=click.IntRange(1), default=5_000_000, help="Maximum number of states of one exploration."
)
def main(coarse: int, fine: int, mutant: str | None, most: int) -> None:
    """Explores all models and exits with code 1 if an invariant is violated."""
    replica_class, delays_until_sync = MUTANTS[mutant] if mutant else Mutant(Replica, True)
    for name, model_class, bounds, depth in (
        ("coarse", CoarseModel, Bounds(), coarse),
        ("coarse, no crashes", CoarseModel, NO_RESTARTS, coarse + 1),
        ("coarse, disks refuse", CoarseModel, DISK_REFUSALS, coarse),
        ("fine", FineModel, Bounds(), fine),
        ("fine, disks refuse", FineModel, DISK_REFUSALS, fine),
    ):
        for start in INITIAL_STATES:
            model = model_class(replica_class, bounds, delays_until_sync)
            description = f"{name}, from {start}"
            result = explore_from(model, description, start, depth, most)
            click.echo(f"{description}: {result.states} states to depth {result.depth}")
            if result.violation:
                click.echo("\n  ".join([f"invariant violated: {result.violation}, by", *result.trace]))
                sys.exit(1)


if __name__ == "__main__":
    main()
