"""Hot keys: detection at any fleet size, and the conditions under which a key gets more replicas."""

import random
from collections import Counter

import pytest
from popularity_trials import run_trial
from support import MILLI, SECOND, Router, fleet, settings

from applehub import interface as api
from applehub.policy.keys import SAMPLES_PER_SERVER, SMALL_FRACTION, Popularity

IDLE_LATENCY = 10 * MILLI  # answer time of an idle server, ns


@pytest.mark.parametrize(
    ("servers", "seeds", "later_requests", "max_false_early", "max_false_late", "min_detected"),
    [
        (16, range(1, 21), 500, 0.001, 0.001, None),
        (300, range(1, 4), 20_000, 0.01, 0.015, 0.93),
        (1024, range(1, 4), 60_000, 0.001, 0.015, 0.94),
        (3200, range(1, 4), 60_000, 0.001, 0.015, 0.93),
    ],
)
def test_hot_key_detection_meets_its_error_bounds_at_any_number_of_servers(
    servers: int,
    seeds: range,
    later_requests: int,
    max_false_early: float,
    max_false_late: float,
    min_detected: float | None,
) -> None:
    early, late = run_trial(servers, later_requests, seeds)
    assert early.false_fraction <= max_false_early
    assert late.false_fraction <= max_false_late
    if min_detected is None:
        assert not early.hot and not late.hot  # no key gets its fair share, a sixteenth of all requests
    else:
        assert late.detected_fraction >= min_detected


@pytest.mark.parametrize("servers", [16, 300, 1024, 3200])
def test_keys_below_the_hot_threshold_are_rarely_detected_as_hot(
    servers: int,
) -> None:
    """Uses as many keys below the threshold as can exist at once."""
    keys, rng, popularity = int(servers / SMALL_FRACTION), random.Random(servers), Popularity()
    detections: Counter[int] = Counter()
    requests = 20_000
    for number in range(requests):
        detections[number * 20 // requests] += (
            popularity.count_fair_shares(f"k{rng.randrange(keys)}", servers) > 0
        )
    # At most two false detections per twentieth of the requests, and five in total.
    assert max(detections.values()) <= 2 and sum(detections.values()) <= 5


def test_request_counts_use_bounded_memory() -> None:
    popularity = Popularity()
    for number in range(50 * 64):
        popularity.count_fair_shares(f"k{number}", 64)
        popularity.count_fair_shares(f"k{number // 2}", 64)
        assert all(len(counts.key_counts) <= SAMPLES_PER_SERVER * 64 for counts in popularity.counts)
        assert all(counts.total <= counts.samples * 64 for counts in popularity.counts)


def request_hot_key(router: Router, elapsed: int, requests: int = 200) -> Counter[str]:
    """Sends requests, half of them for one key that is answered after `elapsed` ns.

    Returns the number of requests for that key at each server.
    """
    requests_by_server: Counter[str] = Counter()
    for number in range(requests):
        key = f"k{number}" if number % 2 else "hot"
        _, (send,) = router.send_request(key)
        assert isinstance(send, api.Send)
        if key == "hot":
            requests_by_server[send.server] += 1
        router.finish_attempt(send, api.Status.OK, elapsed=elapsed if key == "hot" else IDLE_LATENCY)
        router.advance(SECOND // 50)
    return requests_by_server


@pytest.mark.parametrize("servers", [16, 300, 1024, 3200])
def test_hot_key_is_replicated_only_when_its_server_nears_capacity(servers: int) -> None:
    """Each replica costs one fetch from the origin, so an idle fleet must not replicate."""
    router = Router(settings(router_count=1), fleet(servers))
    at_idle = request_hot_key(router, IDLE_LATENCY)
    assert len(at_idle) == 1
    under_load = request_hot_key(router, 4 * IDLE_LATENCY)
    assert len(under_load) > 6
    assert sum(under_load.values()) == 100


@pytest.mark.parametrize(("routers", "replicated"), [(199, False), (200, True), (520, True)])
def test_hot_key_on_idle_servers_is_replicated_when_routers_are_as_many_as_servers(
    routers: int, replicated: bool
) -> None:
    """Each replica serves all routers, so the fetch that fills it pays off sooner with more routers."""
    router = Router(settings(router_count=routers), fleet(200))
    assert (len(request_hot_key(router, IDLE_LATENCY)) > 6) is replicated


def test_replicas_double_once_per_answer_that_shows_load() -> None:
    router = Router(settings(router_count=1), fleet(1024))
    request_hot_key(router, IDLE_LATENCY)
    replicas = router.balancer.replicas
    owner = router.candidates("hot")[0]
    owner.latency = 2 * owner.base_latency
    for _ in range(3):  # no new answer arrives from the owner
        replicas.choose_replica("hot")
        assert replicas.replica_counts["hot"][0] == 2
    for ranges in (4, 8, 16):
        owner.measured_at += 1
        replicas.choose_replica("hot")
        assert replicas.replica_counts["hot"][0] == ranges
    for number in range(40 * 1024):
        replicas.choose_replica(f"other{number}")
    assert replicas.choose_replica("hot") == 0
    assert not replicas.replica_counts  # the key is no longer hot


def test_idle_hot_keys_are_forgotten() -> None:
    router = Router(members=fleet(8))
    replicas = router.balancer.replicas
    for server in router.balancer.server_table.servers.values():
        server.range_fraction = 0.5
    for hour in range(50):
        for number in range(60):
            router.now += 1
            for server in router.balancer.server_table.servers.values():
                server.measured_at = router.now
            replicas.choose_replica(f"hot{hour}" if number % 2 else f"k{hour}-{number}")
        assert f"hot{hour}" in replicas.replica_counts
    assert len(replicas.replica_counts) <= 8


@pytest.mark.parametrize(
    ("change", "is_near"),
    [
        ({}, False),
        ({"latency": 19.0 * MILLI}, False),
        ({"latency": 20.0 * MILLI}, True),
        ({"in_flight": 1}, True),
        ({"range_fraction": 0.75}, True),
        ({"base_latency": 0.0}, False),  # no answer observed yet
    ],
)
def test_server_is_near_its_limit_at_half_its_capacity(change: dict[str, float], is_near: bool) -> None:
    server = Router().balancer.server_table.servers["c0"]
    server.base_latency, server.latency = 10.0 * MILLI, 10.0 * MILLI
    for name, value in change.items():
        setattr(server, name, value)
    assert server.is_near_limit() is is_near
