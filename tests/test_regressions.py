"""Regression tests of the policy; each test guards against one failure."""

import pytest
from support import MILLI, ORIGIN_KIND, SECOND, START, Router, fleet, settings

from applehub import interface as api
from applehub.policy import Balancer
from applehub.policy.keys import SAMPLES_PER_SERVER, Popularity
from applehub.policy.throttle import Monitor


def test_read_that_is_useful_after_its_latency_objective_runs_until_its_deadline() -> None:
    """A retry before the deadline would add to the load of an overloaded server."""
    router = Router()
    _, (send,) = router.send_request("k")
    assert isinstance(send, api.Send)
    assert send.timeout == 2 * SECOND


def test_hot_key_gets_ranges_in_proportion_to_its_load() -> None:
    popularity = Popularity()
    ranges = [popularity.count_fair_shares("hot" if n % 5 == 0 else f"k{n}", 20) for n in range(200)]
    assert ranges[1] == ranges[2] == 0
    assert all(6 <= count <= 8 for n, count in enumerate(ranges[100:]) if n % 5 == 0)
    assert max(count for n, count in enumerate(ranges) if n % 5) == 0


def test_popularity_uses_bounded_memory_and_forgets_idle_keys() -> None:
    popularity = Popularity()
    for _ in range(100):
        popularity.count_fair_shares("hot", 4)
    for n in range(2000):
        popularity.count_fair_shares(f"k{n}", 4)
        for counts in popularity.counts:
            assert (
                len(counts.key_counts) <= SAMPLES_PER_SERVER * 4
                and counts.total <= counts.samples * 4 <= 2 * SAMPLES_PER_SERVER * 4
            )
    assert popularity.count_fair_shares("hot", 4) == 0


def test_hot_key_is_spread_over_servers_while_other_keys_stay() -> None:
    router = Router(members=fleet(8))
    for server in router.balancer.server_table.servers.values():
        server.base_latency = server.latency = 10.0 * MILLI
    servers_by_key: dict[str, set[str]] = {}
    for n in range(120):
        key = f"k{n // 2}" if n % 2 else "hot"
        _, (send,) = router.send_request(key)
        assert isinstance(send, api.Send)
        servers_by_key.setdefault(key, set()).add(send.server)
        router.finish_attempt(send, api.Status.OK, elapsed=(30 if key == "hot" else 10) * MILLI)
        router.advance(SECOND // 20)
    assert 5 <= len(servers_by_key.pop("hot")) <= 8
    assert all(len(servers) == 1 for servers in servers_by_key.values())


def test_next_server_takes_the_end_of_a_slow_servers_range() -> None:
    """Trial requests of many routers together must not keep a slow server overloaded."""
    router = Router(members=fleet(4))
    keys = [f"k{n}" for n in range(400)]
    owned = [key for key in keys if router.candidates(key)[0].member.server == "c1"]
    slow = router.balancer.server_table.servers["c1"]
    for n in range(2):
        slow.adjust_range(router.now + n, 0, True)
        slow.adjust_range(
            router.now + n, SECOND, True
        )  # sent before the reduction, so part of the same overload
    assert slow.range_fraction == 9 / 16
    sent_to_owner = 0
    for key in owned:
        _, (send,) = router.send_request(key)
        assert isinstance(send, api.Send)
        sent_to_owner += send.server == "c1"
        assert send.server in ("c1", "c2")
        router.finish_attempt(send, api.Status.OK)
        slow.range_fraction = 9 / 16
    assert abs(sent_to_owner / len(owned) - 9 / 16) < 0.1
    for _ in range(16):
        slow.adjust_range(router.now, 0, False)
    assert slow.range_fraction == 1


def test_warming_server_gets_no_overflow_of_other_servers() -> None:
    """A warming server must not get the overflow of other servers in addition to its own range."""
    router = Router(members=[*fleet(3), api.Member("c3", since=START - SECOND)])
    router.advance(7 * SECOND)
    sent_to_owner = 0
    for n in range(300):
        first = router.candidates(f"k{n}")[0]
        first.range_fraction = 1.0 if first.member.server == "c3" else 0.0
        _, actions = router.send_request(f"k{n}")
        send = actions[0]
        if isinstance(send, api.Send) and send.server == "c3":
            sent_to_owner += 1
            assert first.member.server == "c3"
        router.finish_attempt(send, api.Status.OK)
        router.advance(SECOND // 200)
    assert sent_to_owner > 5


def test_hot_keys_do_not_overload_a_warming_server() -> None:
    router = Router(members=[*fleet(7), api.Member("c7", since=START - SECOND)])
    router.advance(8 * SECOND)
    owned = [key for key in map(str, range(900)) if router.candidates(key)[0].member.server == "c7"]
    owned = [key for key in owned if router.balancer.server_table.ranges.locate(key, router.now)[1] > START][
        :4
    ]
    sent = 0
    for n in range(400):
        _, (send,) = router.send_request(owned[n % 4] if n % 2 else f"other{n}")
        assert isinstance(send, api.Send)
        sent += send.server == "c7"
        router.finish_attempt(send, api.Status.OK)
        router.advance(SECOND // 400)
    assert 0 < sent < 400 / 8


def test_failed_fetch_of_a_cache_server_is_not_retried_at_another() -> None:
    """A retry would double the load of a slow origin."""
    router = Router(settings(cache_aside=False), fleet(4, origin=False))
    name, (send,) = router.send_request("k")
    assert router.finish_attempt(send, api.Status.ERROR) == [api.Reject(name)]


def test_server_with_a_lower_weight_gets_a_smaller_part_of_its_range() -> None:
    members = [api.Member(f"c{n}", weight=0.5 if n == 1 else 1.5) for n in range(6)]
    router = Router(settings(cache_aside=False), members)
    counts = {member.server: 0 for member in members}
    for n in range(1200):
        _, (send,) = router.send_request(f"k{n}")
        assert isinstance(send, api.Send)
        counts[send.server] += 1
        router.finish_attempt(send, api.Status.OK)
    assert abs(counts["c1"] / counts["c4"] - 0.5 / (8 / 6)) < 0.1
    assert counts["c1"] + counts["c2"] == pytest.approx(2 * counts["c4"], rel=0.15)


@pytest.mark.parametrize("weight", [0.0, 1.0])
def test_equal_weights_of_any_size_give_equal_ranges(weight: float) -> None:
    router = Router(settings(cache_aside=False), [api.Member(f"c{n}", weight=weight) for n in range(4)])
    for n in range(200):
        _, (send,) = router.send_request(f"k{n}")
        assert isinstance(send, api.Send)
        assert weight == 0 or send.server == router.candidates(f"k{n}")[0].member.server
        router.finish_attempt(send, api.Status.OK)


def test_router_uses_its_open_connections_while_most_connects_are_refused() -> None:
    """A server with a connection limit below the number of routers refuses further connections."""
    router = Router(members=fleet(20))
    reachable = {f"c{n}" for n in range(0, 20, 4)}
    refused_connects: list[int] = []
    for n in range(120):
        _, actions = router.send_request(f"k{n}")
        refused_connects.append(0)
        for attempt in range(4):
            (send,) = actions
            if not isinstance(send, api.Send):
                break
            if send.server in reachable:
                router.finish_attempt(send, api.Status.OK, attempt)
                break
            refused_connects[-1] += 1
            actions = router.finish_attempt(send, api.Status.CONNECT_FAILED, attempt, MILLI)
        router.advance(SECOND // 2)
    assert sum(refused_connects[:40]) >= 6
    assert sum(refused_connects[40:]) == 0


def test_few_failed_servers_are_not_mistaken_for_exhausted_connection_limits() -> None:
    router = Router(members=fleet(20))
    for n in range(200):
        _, (send,) = router.send_request(f"k{n}")
        assert isinstance(send, api.Send)
        dead = send.server in ("c3", "c7", "c11")
        for retry in router.finish_attempt(
            send, api.Status.CONNECT_FAILED if dead else api.Status.OK, 0, MILLI
        ):
            router.finish_attempt(retry, api.Status.OK, 1)
        assert router.balancer.server_table.connect_failure_rate <= 1 / 2
        router.advance(SECOND // 10)


def test_clock_below_the_slow_start_time_marks_no_server_as_warming() -> None:
    balancer = Balancer(settings(), 7)
    balancer.handle(0, api.Members(api.ListKind.CACHED, fleet()))
    actions = balancer.handle(SECOND, api.Request("r", 0, 3 * SECOND, "k"))
    assert any(isinstance(action, api.Send) for action in actions)


def test_cache_server_relisted_as_origin_is_no_longer_a_cache() -> None:
    """Guards against a division by zero servers, and against reads sent to the former cache server."""
    for since in (START - SECOND, 0):
        router = Router(members=[api.Member("c0", since=since)])
        router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c0", kind=ORIGIN_KIND, since=since)]))
        name, actions = router.send_request("k")
        assert actions == [api.Reject(name)]


def test_sparse_origin_failures_accumulate_until_the_throttle_starts() -> None:
    """In a large fleet a router has fewer than two likely misses per period."""
    monitor = Monitor(SECOND // 2)
    monitor.started_at = 0
    for n in range(1, 9):
        if n % 4 == 0:
            monitor.token_usage.add(n * SECOND // 2)
            monitor.record(False, n * SECOND // 2)
        monitor.step(n * SECOND // 2, False)
    assert monitor.throttle is not None
    assert monitor.throttle.rate < 1


def test_successful_origin_reads_clear_the_failure_count() -> None:
    monitor = Monitor(SECOND // 2)
    monitor.started_at = 0
    for n in range(1, 60):
        monitor.record(n % 12 != 0, n * SECOND // 2)
        monitor.step(n * SECOND // 2, False)
    assert monitor.throttle is None
