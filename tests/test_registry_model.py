"""The agreement of the list service as a model: it holds to a depth, and each mutant is found."""

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

# Where each mutant shows itself, and how deep the good replica is seen whole from there.
SHOWN = {
    "a vote not stored": ("two candidates of one term", Bounds(), 4),
    "an acknowledgement before the sync": ("nothing", Bounds(), 5),
    "a stale commit": (
        "an old leader elected again, each of two with an entry that no other has", NO_RESTARTS, 4,
    ),
    "a snapshot over newer entries": ("a snapshot that is still on its way", NO_RESTARTS, 4),
    "a lease that outlives its clock": ("an answer that is still on its way", NO_RESTARTS, 4),
}  # fmt: skip


@pytest.mark.parametrize("mutant", SHOWN)
def test_the_model_holds_and_each_mutant_is_found(mutant: str) -> None:
    start, bounds, depth = SHOWN[mutant]
    good, (kind, delays_until_sync) = CoarseModel(Replica, bounds), MUTANTS[mutant]
    found = explore(good, reach_state(good, INITIAL_STATES[start]), depth)
    assert not found.violation and found.depth == depth, found
    bad = CoarseModel(kind, bounds, delays_until_sync)
    assert explore(bad, reach_state(bad, INITIAL_STATES[start]), depth).violation


def test_each_message_crash_and_sync_by_itself() -> None:
    good = FineModel(Replica, Bounds())
    found = explore(good, good.empty_group(), 6)
    assert not found.violation and found.states > 5000
    deep = Bounds(terms=8, proposals=4, restarts=4, messages=8)
    assert not random_walks(FineModel(Replica, deep), 200, 150).violation
    assert random_walks(FineModel(Replica, deep, delays_until_sync=False), 200, 150).violation


# Where a disk has refused, the mutant that shows itself there, and the depth.
REFUSED = {
    "a voter whose disk has refused a vote": ("a vote that the disk refused", 4),
    "a follower whose disk has refused an entry": ("an acknowledgement that the disk refused", 4),
    "a leader whose disk has refused an entry": (None, 5),
}


@pytest.mark.parametrize("start", REFUSED)
def test_the_model_holds_where_disks_refuse_and_each_mutant_is_found(start: str) -> None:
    mutant, depth = REFUSED[start]
    good = CoarseModel(Replica, DISK_REFUSALS)
    found = explore(good, reach_state(good, INITIAL_STATES[start]), depth)
    assert not found.violation and found.depth == depth, found
    if mutant is not None:
        kind, delays_until_sync = MUTANTS[mutant]
        bad = CoarseModel(kind, DISK_REFUSALS, delays_until_sync)
        assert explore(bad, reach_state(bad, INITIAL_STATES[start]), depth).violation


def test_each_refusal_and_retry_by_itself_among_messages_and_crashes() -> None:
    good = FineModel(Replica, DISK_REFUSALS)
    found = explore(good, good.empty_group(), 5)
    assert not found.violation and found.depth == 5, found
    deep = replace(DISK_REFUSALS, terms=8, proposals=4, restarts=4, messages=8, refusals=6)
    assert not random_walks(FineModel(Replica, deep), 200, 150).violation
