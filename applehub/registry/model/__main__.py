"""Runs the model checker: `python -m applehub.registry.model`.

The exit code is 1 if an invariant is violated."""

import sys
import time

import click

from applehub.registry.model.explorer import CALM, REFUSING, STARTS, Findings, begin, explore
from applehub.registry.model.grains import CoarseModel, FineModel
from applehub.registry.model.invariants import InvariantError
from applehub.registry.model.mutants import MUTANTS, Mutant
from applehub.registry.model.state import Bounds
from applehub.registry.model.steps import Model
from applehub.registry.replica import Replica


def explore_from(model: Model, name: str, start: str, depth: int, max_states: int) -> Findings:
    """Explores from an initial state and reports progress on standard error."""
    began = time.monotonic()

    def report(level: int, states: int) -> None:
        seconds = time.monotonic() - began
        click.echo(f"{name}: depth {level}, {states} states, {seconds:.0f} s", err=True)

    try:
        return explore(model, begin(model, STARTS[start]), depth, max_states, report)
    except InvariantError as problem:
        return Findings(0, 0, str(problem), STARTS[start])


@click.command()
@click.option("--coarse", type=click.IntRange(0, 20), default=6, help="Depth of the coarse exploration.")
@click.option("--fine", type=click.IntRange(0, 40), default=8, help="Depth of the fine exploration.")
@click.option("--mutant", type=click.Choice(sorted(MUTANTS)), help="Name of the faulty replica to explore.")
@click.option(
    "--most", type=click.IntRange(1), default=5_000_000, help="Maximum number of states of one exploration."
)
def main(coarse: int, fine: int, mutant: str | None, most: int) -> None:
    """Explores all models and exits with code 1 if an invariant is violated."""
    replica_class, holds_back = MUTANTS[mutant] if mutant else Mutant(Replica, True)
    for name, grain, bounds, depth in (
        ("coarse", CoarseModel, Bounds(), coarse),
        ("coarse, no crashes", CoarseModel, CALM, coarse + 1),
        ("coarse, disks refuse", CoarseModel, REFUSING, coarse),
        ("fine", FineModel, Bounds(), fine),
        ("fine, disks refuse", FineModel, REFUSING, fine),
    ):
        for start in STARTS:
            model = grain(replica_class, bounds, holds_back)
            what = f"{name}, from {start}"
            found = explore_from(model, what, start, depth, most)
            click.echo(f"{what}: {found.states} states to depth {found.depth}")
            if found.broken:
                click.echo("\n  ".join([f"invariant violated: {found.broken}, by", *found.trace]))
                sys.exit(1)


if __name__ == "__main__":
    main()
