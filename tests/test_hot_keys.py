"""Hot keys: the evidence that a key is one, at any number of servers."""

import random
from collections import Counter

import pytest
from popularity_trials import trial

from applehub.policy.keys import SAMPLES, SMALL_PART, Popularity


@pytest.mark.parametrize(
    ("servers", "seeds", "later", "false_at_first", "false_later", "found"),
    [
        # Before: 0.13% false at first.
        (16, range(1, 21), 500, 0.001, 0.001, None),
        # Before: 4.3% false at first, 91% found.
        (300, range(1, 4), 20_000, 0.01, 0.015, 0.93),
        # Before: 2.4% false at first.
        (1024, range(1, 4), 60_000, 0.001, 0.015, 0.94),
        # Before: 0.8% false at first, 2.0% later.
        (3200, range(1, 4), 60_000, 0.001, 0.015, 0.93),
    ],
)
def test_keys_are_taken_for_hot_by_evidence_that_holds_at_any_number_of_servers(
    servers: int, seeds: range, later: int, false_at_first: float, false_later: float, found: float | None
) -> None:
    """At 3,200 servers nearly each second request for a key was spread, as few were counted."""
    first, rest = trial(servers, later, seeds)
    assert first.false_part <= false_at_first
    assert rest.false_part <= false_later
    if found is None:
        assert not first.hot and not rest.hot  # no key has a sixteenth of all requests
    else:
        assert rest.found_part >= found


@pytest.mark.parametrize("servers", [16, 300, 1024, 3200])
def test_of_keys_with_a_small_part_of_a_fair_share_at_most_one_is_taken_for_hot_at_a_time(
    servers: int,
) -> None:
    """The bound that is stated: as many such keys as there can be, at all of its requests."""
    keys, draw, popularity = int(servers / SMALL_PART), random.Random(servers), Popularity()
    taken: Counter[int] = Counter()
    requests = 20_000
    for number in range(requests):
        taken[number * 20 // requests] += popularity.fills(f"k{draw.randrange(keys)}", servers) > 0
    assert max(taken.values()) <= 2 and sum(taken.values()) <= 5  # by twentieths of the requests


def test_counts_of_many_keys_are_bounded() -> None:
    popularity = Popularity()
    for number in range(50 * 64):
        popularity.fills(f"k{number}", 64)
        popularity.fills(f"k{number // 2}", 64)
        assert all(len(one.seen) <= SAMPLES * 64 for one in popularity.counts)
        assert all(one.total <= one.samples * 64 for one in popularity.counts)
