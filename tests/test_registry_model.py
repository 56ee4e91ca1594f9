"""Tests with the model checker: the implementation holds up to a depth, and each mutant is detected."""

from dataclasses import replace

import pytest

from applehub.registry.model.explorer import (
    DISK_REFUSALS,
    INITIAL_STATES,
    NO_RESTARTS,
    explore,
    random_walks,
    reach_state,
)
from applehub.registry.model.granularity import CoarseModel, FineModel
from applehub.registry.model.mutants import MUTANTS
from applehub.registry.model.state import Bounds
from applehub.registry.replica import Replica

# For each mutant: initial state, bounds and depth of an exploration that detects it.
MUTANT_CASES = {
    "a vote not stored": ("two candidates of one term", Bounds(), 4),
    "an acknowledgement before the sync": ("nothing", Bounds(), 5),
    "a stale commit": (
        "an old leader elected again, each of two with an entry that no other has", NO_RESTARTS, 4,
    ),
    "a snapshot over newer entries": ("a snapshot that is still on its way", NO_RESTARTS, 4),
    "a lease that outlives its clock": ("an answer that is still on its way", NO_RESTARTS, 4),
}  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANT_CASES)
def test_invariants_hold_and_each_mutant_is_detected(mutant: str) -> None:
    initial_state, bounds, depth = MUTANT_CASES[mutant]
    model, (replica_class, delays_until_sync) = CoarseModel(Replica, bounds), MUTANTS[mutant]
    result = explore(model, reach_state(model, INITIAL_STATES[initial_state]), depth)
    assert not result.violation and result.depth == depth, result
    mutant_model = CoarseModel(replica_class, bounds, delays_until_sync)
    assert explore(mutant_model, reach_state(mutant_model, INITIAL_STATES[initial_state]), depth).violation


def test_invariants_hold_with_separate_messages_crashes_and_syncs() -> None:
    model = FineModel(Replica, Bounds())
    result = explore(model, model.empty_group(), 6)
    assert not result.violation and result.states > 5000
    deep_bounds = Bounds(terms=8, proposals=4, restarts=4, messages=8)
    assert not random_walks(FineModel(Replica, deep_bounds), 200, 150).violation
    assert random_walks(FineModel(Replica, deep_bounds, delays_until_sync=False), 200, 150).violation


# For each initial state with a refused write: a mutant that the exploration detects, if any, and the depth.
REFUSAL_CASES = {
    "a voter whose disk has refused a vote": ("a vote that the disk refused", 4),
    "a follower whose disk has refused an entry": ("an acknowledgement that the disk refused", 4),
    "a leader whose disk has refused an entry": (None, 5),
}


@pytest.mark.parametrize("initial_state", REFUSAL_CASES)
def test_invariants_hold_with_refused_writes_and_each_mutant_is_detected(initial_state: str) -> None:
    mutant, depth = REFUSAL_CASES[initial_state]
    model = CoarseModel(Replica, DISK_REFUSALS)
    result = explore(model, reach_state(model, INITIAL_STATES[initial_state]), depth)
    assert not result.violation and result.depth == depth, result
    if mutant is not None:
        replica_class, delays_until_sync = MUTANTS[mutant]
        mutant_model = CoarseModel(replica_class, DISK_REFUSALS, delays_until_sync)
        assert explore(
            mutant_model, reach_state(mutant_model, INITIAL_STATES[initial_state]), depth
        ).violation


def test_invariants_hold_with_separate_refusals_and_retries() -> None:
    model = FineModel(Replica, DISK_REFUSALS)
    result = explore(model, model.empty_group(), 5)
    assert not result.violation and result.depth == 5, result
    deep_bounds = replace(DISK_REFUSALS, terms=8, proposals=4, restarts=4, messages=8, refusals=6)
    assert not random_walks(FineModel(Replica, deep_bounds), 200, 150).violation
