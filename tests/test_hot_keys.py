"""Hot keys: the evidence that a key is one, at any number of servers, and the reason for further copies."""

import random
from collections import Counter

import pytest
from popularity_trials import trial
from support import MILLI, SECOND, Router, fleet, settings

from applehub import interface as api
from applehub.policy.keys import SAMPLES, SMALL_PART, Popularity

UNCROWDED = 10 * MILLI  # an answer time


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


def ask_often(router: Router, elapsed: int, requests: int = 200) -> Counter[str]:
    """Asks for a hot key each second time; its answers take so long. Gives the servers it was sent to."""
    used: Counter[str] = Counter()
    for number in range(requests):
        key = f"k{number}" if number % 2 else "hot"
        _, (send,) = router.ask(key)
        assert isinstance(send, api.Send)
        if key == "hot":
            used[send.server] += 1
        router.end(send, api.Status.OK, elapsed=elapsed if key == "hot" else UNCROWDED)
        router.wait(SECOND // 50)
    return used


@pytest.mark.parametrize("servers", [16, 300, 1024, 3200])
def test_a_hot_key_stays_on_one_server_until_that_is_near_what_it_bears(servers: int) -> None:
    """Each copy is fetched once: at 3,200 servers hits fell to a quarter, while no cache was busy."""
    router = Router(settings(balancers=1), fleet(servers))
    calm = ask_often(router, UNCROWDED)
    assert len(calm) == 1
    busy = ask_often(router, 4 * UNCROWDED)
    assert len(busy) > 6
    assert sum(busy.values()) == 100


@pytest.mark.parametrize(("routers", "copied"), [(199, False), (200, True), (520, True)])
def test_in_a_fleet_of_as_many_routers_as_servers_a_share_of_the_requests_is_enough(
    routers: int, copied: bool
) -> None:
    """200 servers that are not busy: each copy serves all routers, so that it is soon paid for."""
    router = Router(settings(balancers=routers), fleet(200))
    assert (len(ask_often(router, UNCROWDED)) > 6) is copied


def test_copies_grow_by_one_step_for_each_answer_that_is_a_sign() -> None:
    router = Router(settings(balancers=1), fleet(1024))
    ask_often(router, UNCROWDED)
    replicas = router.balancer.replicas
    owner = router.candidates("hot")[0]
    owner.latency = 2 * owner.base
    for _ in range(3):  # no further answer of its comes
        replicas.choose("hot")
        assert replicas.ranges["hot"][0] == 2
    for ranges in (4, 8, 16):
        owner.learned_at += 1
        replicas.choose("hot")
        assert replicas.ranges["hot"][0] == ranges
    for number in range(40 * 1024):
        replicas.choose(f"other{number}")
    assert replicas.choose("hot") == 0
    assert not replicas.ranges  # no longer hot


def test_hot_keys_that_are_not_asked_for_again_are_forgotten() -> None:
    router = Router(members=fleet(8))
    replicas = router.balancer.replicas
    for server in router.balancer.roster.servers.values():
        server.share = 0.5
    for hour in range(50):
        for number in range(60):
            router.now += 1
            for server in router.balancer.roster.servers.values():
                server.learned_at = router.now
            replicas.choose(f"hot{hour}" if number % 2 else f"k{hour}-{number}")
        assert f"hot{hour}" in replicas.ranges
    assert len(replicas.ranges) <= 8


@pytest.mark.parametrize(
    ("change", "near"),
    [
        ({}, False),
        ({"latency": 19.0 * MILLI}, False),
        ({"latency": 20.0 * MILLI}, True),
        ({"out": 1}, True),
        ({"share": 0.75}, True),
        ({"base": 0.0}, False),  # nothing was seen of it
    ],
)
def test_a_server_is_near_what_it_bears_at_half_its_capacity(change: dict[str, float], near: bool) -> None:
    server = Router().balancer.roster.servers["c0"]
    server.base, server.latency = 10.0 * MILLI, 10.0 * MILLI
    for name, value in change.items():
        setattr(server, name, value)
    assert server.near_limit() is near
