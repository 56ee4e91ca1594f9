"""Unit tests of the policy: placement, throttle, server statistics, request lifecycle and discovery polls."""

import itertools
import random
from collections.abc import Callable

import pytest
from support import MILLI, ORIGIN_KIND, SECOND, START, Router, fleet, settings

from applehub import interface as api
from applehub.policy.keys import MAX_ASSIGNMENTS, MAX_KEYS, HitHistory, KeyRanges, Popularity
from applehub.policy.placement import MAX_WARMUP_TOKENS
from applehub.policy.servers import Kind, Server
from applehub.policy.throttle import Monitor, Throttle

Status = api.Status


def sent_to(actions: list[api.Action]) -> list[str]:
    return [action.server for action in actions if isinstance(action, api.Send)]


@pytest.fixture(autouse=True)
def disable_hot_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables hot key detection, which these few requests would trigger; test_hot_keys.py covers it."""
    monkeypatch.setattr(Popularity, "count_fair_shares", lambda self, key, servers, proven=True: 0)


# Placement


def test_ranges_are_equal_and_independent_of_list_order() -> None:
    first = Router(members=[api.Member(name) for name in "abcd"])
    second = Router(members=[api.Member(name) for name in "cadb"])
    owners = [first.candidates(f"key{n}")[0].member.server for n in range(4000)]
    assert owners == [second.candidates(f"key{n}")[0].member.server for n in range(4000)]
    assert all(900 < owners.count(name) < 1100 for name in "abcd")


def test_origin_draining_and_removed_servers_own_no_range() -> None:
    members = fleet(4)
    members[1].state = api.State.DRAINING
    router = Router(members=members)
    router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c2", api.State.GONE)]))
    assert router.balancer.server_table.ranges.assignments[-1][1] == ["c0", "c3"]


def test_full_list_removes_servers_that_it_does_not_contain() -> None:
    router = Router()
    router.deliver(api.Members(api.ListKind.FULL, fleet(2)))
    assert router.balancer.server_table.ranges.assignments[-1][1] == ["c0", "c1"]


def test_keys_migrate_to_a_new_list_evenly_and_alike_at_all_routers() -> None:
    """An added server shifts most range boundaries, so a migration at once would cause a burst of misses."""
    router, restarted = Router(members=fleet(9)), Router(members=fleet(9))
    keys = [f"k{n}" for n in range(2000)]
    before = {key: router.candidates(key)[0].member.server for key in keys}
    update = api.Members(api.ListKind.DELTA, [api.Member("b9", since=router.now)])
    migrated = []
    for either_router in (router, restarted):
        either_router.deliver(update)
    for _ in range(4):
        for either_router in (router, restarted):
            either_router.advance(10 * SECOND // 4)
        owners = {key: router.candidates(key)[0].member.server for key in keys}
        assert owners == {key: restarted.candidates(key)[0].member.server for key in keys}
        migrated.append(sum(owners[key] != before[key] for key in keys))
    fractions = [count / migrated[-1] for count in migrated]
    assert all(abs(fraction - (n + 1) / 4) < 0.06 for n, fraction in enumerate(fractions))


def test_key_of_a_removed_server_migrates_at_once() -> None:
    router = Router(members=fleet(9))
    keys = [f"k{n}" for n in range(200)]
    before = {key: router.candidates(key)[0].member.server for key in keys}
    router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c4", api.State.GONE)]))
    for key in keys:
        _, (send,) = router.send_request(key)
        assert isinstance(send, api.Send)
        assert send.server != "c4" and (send.server == before[key] or before[key] == "c4")
        router.finish_attempt(send, Status.OK)


def test_lists_that_no_key_uses_are_dropped() -> None:
    ranges = KeyRanges(10 * SECOND)
    for n in range(500):
        ranges.assign(n * SECOND, [f"s{n}"])
        assert len(ranges.assignments) <= 12
    for n in range(500):
        ranges.assign(500 * SECOND + n, [f"s{n}"])
    assert len(ranges.assignments) <= MAX_ASSIGNMENTS


# Hit history


def test_hit_history_is_bounded_and_evicts_the_oldest_key() -> None:
    history = HitHistory()
    for n in range(MAX_KEYS + 5):
        history.remember(str(n), n)
    assert len(history.last_used) == MAX_KEYS
    assert history.likely_miss("0", MAX_KEYS) and not history.likely_miss(str(MAX_KEYS), MAX_KEYS)


def test_age_at_which_hits_become_misses_is_observed() -> None:
    history = HitHistory()
    for n in range(10):
        history.remember(str(n), 0)
        history.observe(str(n), 8 * SECOND, False)
    history.remember("k", 0)
    assert history.likely_miss("k", 8 * SECOND) and not history.likely_miss("k", SECOND // 8)


# Throttle and origin monitor


def test_miss_without_throttle_is_fetched_from_the_origin_and_remembered() -> None:
    router = Router()
    name = router.cache_key("k")
    _, actions = router.send_request("k")
    assert sent_to(actions) == [name]
    assert not router.balancer.hit_history.likely_miss("k", router.now)


def test_excess_likely_misses_wait_and_are_rejected_by_their_latency_objective() -> None:
    router = Router()
    router.enable_throttle()
    throttle = router.balancer.monitor.throttle
    assert throttle is not None
    requested, at_once = [], []
    for n in range(30):
        name, actions = router.send_request(f"new{n}")
        requested.append(name)
        at_once += actions
    waiting = set(throttle.queue)
    assert waiting and len(waiting) <= throttle.buffer
    later = router.advance(SECOND)
    assert sent_to(later), "new tokens release waiting requests"
    rejected = {action.id for action in at_once + later if isinstance(action, api.Reject)}
    sent = {action.id for action in at_once + later if isinstance(action, api.Send)}
    assert rejected | sent == set(requested) and not rejected & sent


def test_origin_read_after_a_miss_spends_a_token() -> None:
    router = Router()
    router.enable_throttle()
    router.advance(SECOND)
    throttle = router.balancer.monitor.throttle
    assert throttle is not None
    throttle.refill(router.now)
    throttle.level = 3
    _, (first,) = router.send_request("x")
    level = throttle.level
    (second,) = router.finish_attempt(first, Status.MISS)
    assert sent_to([second]) == ["origin"] and (level, throttle.level) == (2, 1)


def test_recently_hit_key_bypasses_the_throttle() -> None:
    router = Router()
    name = router.cache_key("k")
    router.enable_throttle()
    _, actions = router.send_request("k")
    assert sent_to(actions) == [name]


def test_throttle_stops_when_origin_reads_stay_healthy() -> None:
    router = Router()
    router.enable_throttle()
    router.advance(60 * SECOND)
    assert router.balancer.monitor.throttle is None
    assert router.log[0].startswith("throttle on: ") and router.log[-1] == "throttle off"


def test_request_over_its_tenant_quota_does_not_wait_for_tokens() -> None:
    router = Router(settings(tenants=[api.Tenant(3.0), api.Tenant(3.0)]))
    router.enable_throttle()
    for n in range(40):
        _, actions = router.send_request(f"n{n}", tenant=1)
    assert [type(action) for action in actions] == [api.Reject]


def test_rate_is_not_underestimated_after_a_short_uptime() -> None:
    monitor = Monitor(SECOND)
    monitor.started_at = START
    for n in range(100):  # fifty likely misses per second since the start
        monitor.token_usage.add(START + n * SECOND // 50)
    assert 45 < monitor.recent_rate(START + 2 * SECOND) < 55


@pytest.mark.parametrize(
    ("samples", "failures", "starts"), [(2, 2, True), (10, 2, False), (10, 3, True), (50, 6, False)]
)
def test_throttle_starts_only_for_a_significant_number_of_failures(
    samples: int, failures: int, starts: bool
) -> None:
    monitor = Monitor(SECOND)
    for n in range(samples):
        monitor.record(n >= failures, START)
    monitor.step(START, False)
    assert (monitor.throttle is not None) is starts


def test_one_overload_reduces_the_throttle_rate_once() -> None:
    """Reads sent before a reduction of the rate must not reduce it again."""
    monitor = Monitor(SECOND)
    for _ in range(8):
        monitor.token_usage.add(SECOND)
        monitor.record(False, 0)
    assert monitor.step(SECOND, False).startswith("throttle on")
    throttle = monitor.throttle
    assert throttle is not None
    rate = throttle.rate
    for _ in range(8):
        monitor.record(False, SECOND // 2)
    monitor.step(2 * SECOND, False)
    assert throttle.rate >= rate
    for _ in range(8):
        monitor.record(False, 2 * SECOND)
    monitor.step(3 * SECOND, False)
    assert throttle.rate < rate
    assert throttle.bank > 2 and throttle.bank + throttle.buffer >= 10


def test_throttle_rate_does_not_rise_while_origin_reads_hang() -> None:
    """A rising rate would prolong the overload of the origin."""
    monitor = Monitor(SECOND)
    for _ in range(8):
        monitor.token_usage.add(SECOND)
        monitor.record(False, 0)
    monitor.step(SECOND, True)
    throttle = monitor.throttle
    assert throttle is not None
    rate, throttle.level = throttle.rate, 0
    monitor.step(2 * SECOND, True)
    assert throttle.rate == rate
    for _ in range(24):
        monitor.token_usage.add(2 * SECOND)
    monitor.record(True, 2 * SECOND)
    monitor.step(2 * SECOND, True)
    assert throttle.rate > rate
    for _ in range(9):
        monitor.step(2 * SECOND, False)
    assert throttle.rate < 2.5 * monitor.recent_rate(2 * SECOND), (
        "the rate must stay close to the tokens spent"
    )


def test_hanging_origin_starts_the_throttle_before_any_outcome() -> None:
    router = Router()
    for n in range(5):
        _, (first,) = router.send_request(f"h{n}")
        router.finish_attempt(first, Status.MISS)
    router.advance(3 * SECOND // 2)
    assert router.balancer.monitor.throttle is not None


def test_concurrent_requests_for_a_key_share_one_origin_read() -> None:
    """Requests that wait for the read are served by the cache server that it fills."""
    router = Router()
    _, (first,) = router.send_request("hot")
    (read,) = router.finish_attempt(first, Status.MISS)
    name, actions = router.send_request("hot")
    assert actions == []
    (served,) = router.finish_attempt(read, Status.OK, 1)
    assert isinstance(served, api.Send) and isinstance(first, api.Send)
    assert (served.id, served.server) == (name, first.server)


def test_requests_that_joined_a_failed_read_are_sent_or_rejected_in_time() -> None:
    router = Router()
    _, (first,) = router.send_request("hot")
    (read,) = router.finish_attempt(first, Status.MISS)
    second, _ = router.send_request("hot")
    third, _ = router.send_request("hot")
    actions = router.finish_attempt(read, Status.ERROR, 1)
    assert [type(action) for action in actions] == [api.Reject, api.Send, api.Send]
    (retry,) = router.finish_attempt(actions[1], Status.MISS)
    assert isinstance(retry, api.Send) and (retry.id, retry.server) == (second, "origin")
    assert router.finish_attempt(actions[2], Status.MISS) == []
    later = router.advance(2 * SECOND)
    assert [action.id for action in later if isinstance(action, api.Reject)] == [third]


# Server statistics


def test_fast_full_responses_mark_a_server_as_overloaded() -> None:
    """A request overflows once, to a server with idle capacity, or is rejected."""
    router = Router()
    owner = router.balancer.server_table.servers[router.cache_key("k")]
    for _ in range(12):
        owner.record_latency(router.now, SECOND, int(router.balancer.context.shortest_objective), 1)
    owner.in_flight, owner.last_sent_at = 1, router.now
    _, actions = router.send_request("k")
    assert sent_to(actions) and sent_to(actions) != [owner.member.server]
    for server in router.balancer.server_table.servers.values():
        server.latency, server.in_flight, server.last_sent_at = float(5 * SECOND), 1, router.now
    _, actions = router.send_request("k")
    assert [type(action) for action in actions] == [api.Reject]


def test_second_full_response_rejects_the_request() -> None:
    router = Router()
    _, (first,) = router.send_request("k")
    (second,) = router.finish_attempt(first, Status.FULL)
    assert sent_to([first]) != sent_to([second])
    assert [type(action) for action in router.finish_attempt(second, Status.FULL, 1)] == [api.Reject]


def test_overloaded_server_gets_one_trial_per_answer_time() -> None:
    server = Server(api.Member("c"), float(SECOND))
    assert not server.has_capacity(SECOND // 2, SECOND / 4, 4, 0)
    assert server.has_capacity(SECOND, SECOND / 4, 4, 0)
    server.record_latency(SECOND, SECOND, SECOND // 10, 1)
    assert server.latency < 0.6 * SECOND, "the answer of a trial has a weight of one half"


@pytest.mark.parametrize("routers", [2, 5, 40])
def test_trials_of_an_overloaded_server_by_all_routers_are_bounded(routers: int) -> None:
    """Trials of many routers together must not keep a server overloaded."""
    router = Router(settings(router_count=routers))
    name = router.cache_key("k")
    router.finish_attempt(router.send_request("k")[1][0], Status.OK, elapsed=100 * MILLI)
    server = router.balancer.server_table.servers[name]
    server.latency, server.last_sent_at = float(SECOND), router.now
    trials = 0
    for _ in range(400):
        router.advance(50 * MILLI)
        for action in router.send_request("k")[1]:
            if sent_to([action]) == [name]:
                trials += 1
                router.finish_attempt(action, Status.FULL)
            else:
                router.finish_attempt(action, Status.OK, elapsed=100 * MILLI)
    # A full response counts as an answer after the latency objective.
    min_interval = max(SECOND, routers * 100 * MILLI)
    assert 1 < trials <= 20 * SECOND / min_interval + 1


def members_of_kinds(*kinds: int) -> list[api.Member]:
    caches = [api.Member(f"c{n}", kind=kind) for n, kind in enumerate(kinds)]
    return [*caches, api.Member("origin", kind=ORIGIN_KIND)]


def first_server(router: Router, key: str, outcome_of: Callable[[str], tuple[api.Status, int]]) -> str:
    """Returns the server of a key's first attempt; the client cancels before that attempt ends."""
    name, (send,) = router.send_request(key)
    router.deliver(api.RequestCancelled(name))
    (server,) = sent_to([send])
    status, elapsed = outcome_of(server)
    router.finish_attempt(send, status, elapsed=elapsed)
    return server


def test_slow_kind_gets_less_load_at_servers_not_yet_used() -> None:
    """In a large fleet a router sends each server too few requests to detect a slow one alone."""
    router = Router(members=members_of_kinds(*[0, 1] * 10))
    balancer = router.balancer

    def outcome_of(server: str) -> tuple[api.Status, int]:
        return (
            (Status.TIMEOUT, SECOND)
            if balancer.server_table.servers[server].member.kind
            else (Status.OK, 10 * MILLI)
        )

    for n in range(40):
        router.now += SECOND  # allows the next trial of slow servers
        first_server(router, f"k{n}", outcome_of)
    slow, fast = balancer.server_table.kinds[1], balancer.server_table.kinds[0]
    assert (fast.range_fraction, slow.range_fraction < 0.5) == (1.0, True)
    other_router = Router(members=members_of_kinds(*[0, 1] * 10))
    other_router.balancer.server_table.kinds[1] = slow
    names = [first_server(other_router, f"key{n}", lambda _: (Status.CANCELLED, 0)) for n in range(400)]
    kinds = [other_router.balancer.server_table.servers[name].member.kind for name in names]
    assert sum(kinds) < 150, "half of the keys are in ranges of the slow kind"


def test_request_that_no_server_has_capacity_for_goes_to_the_owner() -> None:
    """A small fleet with reduced ranges at every server must not reject most requests."""
    router = Router()
    for server in router.balancer.server_table.servers.values():
        server.range_fraction = router.balancer.server_table.kind(server).range_fraction = 1 / 8
    servers = [first_server(router, f"key{n}", lambda _: (Status.CANCELLED, 0)) for n in range(40)]
    owners = [router.candidates(f"key{n}")[0].member.server for n in range(40)]
    assert sum(used == owner for used, owner in zip(servers, owners, strict=True)) > 30


def test_load_report_reflects_requests_of_other_routers() -> None:
    router = Router()
    router.cache_key("k")
    _, (send,) = router.send_request("k")
    router.finish_attempt(send, Status.OK, load=api.LoadReport(inflight=40, latency_ms=100, qps=10))
    server = router.balancer.server_table.servers[sent_to([send])[0]]
    assert server.reported_latency(router.now) == pytest.approx(4.1e9)
    assert server.reported_latency(router.now + 2 * SECOND) == 0
    assert sent_to(router.send_request("k")[1]) != [server.member.server]


def test_unreachable_server_is_skipped_then_gets_one_trial() -> None:
    router = Router()
    _, (first,) = router.send_request("k")
    (second,) = router.finish_attempt(first, Status.CONNECT_FAILED)
    assert sent_to([second]) != sent_to([first])
    name = sent_to([first])[0]
    assert name not in [sent_to(router.send_request("k")[1])[0] for _ in range(5)]
    router.advance(SECOND)
    used = [sent_to(router.send_request("k")[1])[0] for _ in range(5)]
    assert used.count(name) == 1
    assert f"server {name} unreachable" in router.log


@pytest.mark.parametrize("routers", [1, 40])
def test_warming_server_takes_over_its_range_evenly_with_any_number_of_routers(routers: int) -> None:
    """An initial token at each router would overload a warming server in a large fleet."""
    update = api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)])
    all_routers = [Router(seed=n) for n in range(routers)]
    for router in all_routers:
        router.deliver(update)
    sent, migration_time = [], 10 * SECOND
    for n in range(2000):
        router = all_routers[n % routers]
        router.advance(START + n * migration_time // 2000 - router.now)
        _, actions = router.send_request(f"k{n}")
        sent.append(sent_to(actions) == ["c1"])
        router.finish_attempt(actions[0], Status.OK)
    quarters = [sum(sent[n : n + 500]) for n in range(0, 2000, 500)]
    expected = [125 * (2 * n + 1) / 8 for n in range(4)]
    assert all(count < target + 25 for count, target in zip(quarters, expected, strict=True))
    assert quarters[0] > 4 and min(quarters[1:]) > 12  # the warm-up budget may limit it further


def test_first_tokens_of_a_warming_server_are_spread_over_the_routers() -> None:
    """An initial token at each router would let a hot key overload a warming server."""
    update = api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)])
    all_routers = [Router(seed=n) for n in range(40)]
    first = 0
    for router in all_routers:
        router.deliver(update)
        router.balancer.server_table.request_rate.add(router.now)
        first += router.balancer.server_table.servers["c1"].warmup_budget.take(
            router.now, 0.25, MAX_WARMUP_TOKENS
        )
    assert first == 0
    later = [
        router.balancer.server_table.servers["c1"].warmup_budget.take(START + SECOND, 0.25, 2)
        for router in all_routers
    ]
    assert 4 <= sum(later) <= 16, "each router has a quarter of a token"


def test_warm_up_fraction_rises_linearly_with_age() -> None:
    router = Router(settings(slow_start_capacity=0.2))  # warm after 10 s
    router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)]))
    server = router.balancer.server_table.servers["c1"]
    ages = [0, 5, 10, 20]
    fractions = []
    for age in ages:
        router.balancer.context.now = START + age * SECOND
        fractions.append(router.balancer.server_table.warm_capacity(server))
    assert fractions == pytest.approx([0.2, 0.6, 1.0, 1.0])


def test_server_listed_with_a_newer_start_time_warms_up_again() -> None:
    router = Router()
    for _ in range(2):
        router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c1", since=router.now - SECOND)]))
        assert router.balancer.server_table.servers["c1"].warming_since == router.now - SECOND
    router.advance(20 * SECOND)
    owned = [key for key in map(str, range(40)) if router.candidates(key)[0].member.server == "c1"]
    assert owned
    for key in owned:
        _, actions = router.send_request(key)
        assert sent_to(actions) == ["c1"]
        router.finish_attempt(actions[0], Status.OK)


def test_server_that_was_down_for_long_warms_up_again() -> None:
    router = Router()
    first = router.crash_owner("k")
    router.advance(2 * SECOND)
    _, actions = router.send_request("k")
    assert sent_to(actions) == sent_to([first])
    router.finish_attempt(actions[0], Status.OK)
    assert router.balancer.server_table.servers[sent_to([first])[0]].warming_since == router.now
    assert router.log[-1].endswith("answers again")


@pytest.mark.parametrize(("routers", "typical_backoff"), [(2, 2.0), (40, 16.0)])
def test_trials_of_a_failed_server_by_all_routers_are_bounded(routers: int, typical_backoff: float) -> None:
    """Trials of many routers together must not overload a server that has just restarted."""
    router = Router(settings(router_count=routers, slow_start_capacity=0.125))
    server = router.balancer.server_table.servers[router.cache_key("k")]
    router.balancer.server_table.kind(server).lowest_base_latency = 50.0 * MILLI
    backoffs = []
    for _ in range(6):
        router.advance(max(0, server.ejected_until - router.now))
        _, actions = router.send_request("k")
        assert sent_to(actions) == [server.member.server]
        router.finish_attempt(actions[0], Status.CONNECT_FAILED)
        backoffs.append((server.ejected_until - router.now) / SECOND)
    assert backoffs[0] <= 0.5, "a single refused connect has a short backoff"
    assert all(typical_backoff / 2 <= backoff <= 2 * typical_backoff for backoff in backoffs[3:])


def test_reset_connection_does_not_mark_the_server_as_failed() -> None:
    router = Router()
    _, (first,) = router.send_request("k")
    (retry,) = router.finish_attempt(first, Status.RESET)
    assert sent_to([retry]) == sent_to([first])  # retried at the server that has the key
    assert sent_to(router.send_request("k")[1]) == sent_to([first])
    router.advance(2 * SECOND)
    router.finish_attempt(retry, Status.OK, 1)
    server = router.balancer.server_table.servers[sent_to([first])[0]]
    assert (server.warming_since, server.failures, server.broken_attempts) == (0, 0, 0)
    assert not any("unreachable" in line for line in router.log)


def test_server_that_resets_every_attempt_is_skipped_but_does_not_warm_up() -> None:
    router = Router()
    _, (send,) = router.send_request("k")
    name = sent_to([send])[0]
    for attempt in range(3):
        (send,) = router.finish_attempt(send, Status.RESET, attempt)
        assert sent_to([send]) == [name]
    router.finish_attempt(send, Status.RESET, 3)
    assert sent_to(router.send_request("k")[1]) != [name]
    router.advance(2 * SECOND)
    _, (trial,) = router.send_request("k")
    assert sent_to([trial]) == [name]
    router.finish_attempt(trial, Status.OK)
    assert router.balancer.server_table.servers[name].warming_since == 0
    assert router.log[-1].endswith("answers again")


def test_two_errors_with_no_success_between_mark_a_server_as_failing() -> None:
    """In a large fleet a router sends a server few requests, so two errors must be enough."""
    router = Router()
    name = ""
    for _ in range(2):
        router.advance(3 * SECOND)
        _, (send,) = router.send_request("k")
        (name,) = sent_to([send])
        router.finish_attempt(send, Status.ERROR)
    assert router.balancer.server_table.servers[name].failures
    assert sent_to(router.send_request("k")[1]) != [name]


def test_server_that_fails_most_requests_gets_one_trial_at_a_time() -> None:
    """A server with frequent fast errors must not keep its range."""
    router = Router()
    name = router.make_owner_fail("k")
    assert [sent_to(router.send_request("k")[1]) for _ in range(3)].count([name]) == 0
    router.advance(2 * SECOND)
    trials = [action for _ in range(3) for action in router.send_request("k")[1]]
    assert sent_to(trials).count(name) == 1
    (trial,) = [send for send in trials if isinstance(send, api.Send) and send.server == name]
    router.finish_attempt(trial, Status.OK)
    server = router.balancer.server_table.servers[name]
    assert (server.warming_since, server.failures) == (0, 0)
    assert sent_to(router.send_request("k")[1]) == [name]


def test_occasional_errors_do_not_eject_a_server() -> None:
    router = Router()
    for n in range(60):
        _, (send,) = router.send_request("k")
        assert sent_to([send]) == [router.candidates("k")[0].member.server]
        for retry in router.finish_attempt(send, Status.OK if n % 4 else Status.ERROR):
            router.finish_attempt(retry, Status.OK, 1)
    assert not router.log


def test_server_added_without_a_start_time_warms_up() -> None:
    router = Router()
    router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c9")]))
    assert router.balancer.server_table.servers["c9"].warming_since == router.now
    assert router.balancer.server_table.servers["c0"].warming_since == 0


# Request lifecycle


@pytest.mark.parametrize("members", [[], fleet(0), [api.Member("c0", api.State.DRAINING)]])
def test_read_without_a_server_is_rejected_at_once(members: list[api.Member]) -> None:
    _, actions = Router(members=members).send_request()
    assert [type(action) for action in actions] == [api.Reject]


def test_write_without_an_origin_is_rejected_at_once() -> None:
    _, actions = Router(members=fleet(3, origin=False)).send_request(cls=2, write=True)
    assert [type(action) for action in actions] == [api.Reject]


def test_write_is_retried_at_the_origin_within_its_latency_objective() -> None:
    router = Router()
    _, (first,) = router.send_request(cls=2, write=True)
    assert sent_to([first]) == ["origin"]
    assert router.finish_attempt(first, Status.FULL) == []
    assert sent_to(router.advance(SECOND // 4)) == ["origin"]


def test_reads_do_not_keep_an_overloaded_origin_overloaded() -> None:
    """Excess reads must be shed before the first slow read completes."""
    router = Router()
    origin = router.balancer.server_table.origin
    assert origin is not None
    origin.latency, origin.base_latency, origin.last_sent_at = SECOND / 4, SECOND / 4, router.now
    reads: list[api.Action] = []
    for n in range(8):
        _, (first,) = router.send_request(f"k{n}")
        reads += router.finish_attempt(first, Status.MISS)
    assert [type(action) for action in reads] == [api.Send] * 3 + [api.Reject] * 5


def test_write_is_admitted_at_a_load_that_sheds_reads() -> None:
    """Reads must not use up the origin capacity that writes need."""
    router = Router()
    _, (first,) = router.send_request("k")
    origin = router.balancer.server_table.origin
    assert origin is not None
    # Above the limit for reads, 3/4 of the latency objective, and below the limit for writes.
    origin.latency, origin.last_sent_at = 0.9 * SECOND, router.now
    assert [type(action) for action in router.finish_attempt(first, Status.MISS)] == [api.Reject]
    assert sent_to(router.send_request(cls=1, write=True)[1]) == ["origin"]


def test_writes_do_not_keep_an_overloaded_origin_overloaded() -> None:
    """Writes are rejected, except for a trial that detects the recovery."""
    router = Router()
    origin = router.balancer.server_table.origin
    assert origin is not None
    origin.latency, origin.last_sent_at = 3.0 * SECOND, router.now
    assert [type(action) for action in router.send_request(cls=2, write=True)[1]] == [api.Reject]
    router.advance(3 * SECOND)
    assert sent_to(router.send_request(cls=2, write=True)[1]) == ["origin"]


def test_unsafe_request_that_may_have_been_executed_fails_without_retry() -> None:
    router = Router()
    _, (first,) = router.send_request(cls=2, write=True)
    assert isinstance(first, api.Send) and first.timeout == 0, "the router sets no attempt timeout"
    assert [type(action) for action in router.finish_attempt(first, Status.ERROR)] == [api.Fail]


def test_request_with_idempotency_key_is_retried_only_within_its_window() -> None:
    router = Router()
    _, (first,) = router.send_request(cls=1, write=True)
    router.advance(SECOND // 2)
    assert router.finish_attempt(first, Status.ERROR) == []
    assert sent_to(router.advance(SECOND // 4)) == ["origin"]
    router = Router(
        settings(classes=[api.RequestClass(SECOND, 4 * SECOND, api.Effect.KEYED, "all", SECOND // 4)])
    )
    _, (first,) = router.send_request(write=True)
    router.advance(SECOND // 2)
    assert [type(action) for action in router.finish_attempt(first, Status.ERROR)] == [api.Fail]


@pytest.mark.parametrize(("cls", "same"), [(3, "zone"), (4, "cell")])
def test_request_with_idempotency_key_is_retried_only_in_its_group(cls: int, same: str) -> None:
    for n in range(20):
        router = Router(settings(cache_aside=False), fleet(6, origin=False))
        _, (first,) = router.send_request(f"k{n}", cls)
        for action in router.finish_attempt(first, Status.ERROR):
            if isinstance(action, api.Send):
                first_member, second_member = (
                    router.balancer.server_table.servers[name].member for name in sent_to([first, action])
                )
                assert getattr(first_member, same) == getattr(second_member, same)
            else:
                assert type(action) is api.Fail


def test_attempts_are_bounded() -> None:
    router = Router(settings(max_attempts=2))
    _, (send,) = router.send_request("k")
    (send,) = router.finish_attempt(send, Status.CONNECT_FAILED)
    assert [type(action) for action in router.finish_attempt(send, Status.CONNECT_FAILED, 1)] == [api.Reject]


def test_origin_read_runs_until_the_client_deadline() -> None:
    """A read aborted at the latency objective would fill no cache if the origin is slower."""
    router = Router(settings(classes=[api.RequestClass(latency_objective=SECOND, deadline=2 * SECOND)]))
    _, (first,) = router.send_request("k")
    (read,) = router.finish_attempt(first, Status.MISS)
    assert isinstance(first, api.Send) and isinstance(read, api.Send)
    assert (first.timeout, read.timeout) == (SECOND, 2 * SECOND)


def test_several_overloaded_neighbours_are_skipped() -> None:
    router = Router(members=fleet(6))
    owner, *rest = router.candidates("k")
    for server in [owner, *rest[:2]]:  # each is slow and has a trial in flight
        server.latency, server.base_latency, server.in_flight = 1.0 * SECOND, SECOND / 10, 1
    assert sent_to(router.send_request("k")[1]) == [rest[2].member.server]


def test_trial_in_flight_stays_a_trial() -> None:
    """The answer of a trial has a weight of one half even if has_capacity was called again before it."""
    server = Server(api.Member("c"), 4.0 * SECOND, base_latency=1.0 * SECOND)
    assert server.has_capacity(START, SECOND, 4, 0) and server.is_trial
    server.in_flight, server.last_sent_at = 1, START
    assert not server.has_capacity(START, SECOND, 4, 0)
    server.record_latency(START, SECOND, 0, 1)
    assert server.latency == 2 * SECOND


def test_answer_after_a_long_pause_has_more_weight() -> None:
    """In a large fleet a router gets few answers from each server."""
    frequent, infrequent, unseen = (
        Server(api.Member("c"), 1.0 * SECOND, base, START) for base in (1e9, 1e9, 0.0)
    )
    frequent.record_latency(START + MILLI, 2 * SECOND, 0, 1)
    infrequent.record_latency(START + 5 * SECOND, 2 * SECOND, 0, 1)
    assert (frequent.latency, infrequent.latency) == (SECOND * 7 / 8, SECOND / 2)
    unseen.record_latency(START + MILLI, 2 * SECOND, 3 * SECOND, 1)
    assert unseen.latency == 3 * SECOND, "a first answer slower than the initial estimate replaces it"


def test_trial_that_ends_in_a_miss_shows_recovery() -> None:
    """An overloaded server whose keys are served elsewhere answers trials with misses only."""
    router = Router()
    owner = router.candidates("k")[0]
    owner.latency, owner.base_latency = 4.0 * SECOND, SECOND / 10
    _, (trial,) = router.send_request("k")
    assert sent_to([trial]) == [owner.member.server] and owner.is_trial
    router.finish_attempt(trial, Status.MISS)
    assert owner.latency < 2.1 * SECOND


def test_average_of_requests_in_flight_decays_slowly() -> None:
    """A server that was slow under many requests must not be predicted as slow for a single request."""
    server = Server(api.Member("c"), 1.0 * SECOND, mean_in_flight=9.0, is_trial=True)
    server.record_latency(START, 2 * SECOND, SECOND, 1)
    assert server.mean_in_flight == 8 and server.predicted_latency() < SECOND / 4


def test_request_has_at_most_one_attempt_in_flight() -> None:
    router = Router()
    name, (first,) = router.send_request("k")
    router.balancer._dispatch(router.balancer.jobs[name])
    assert router.deliver(api.TimerFired("any")) == [] and router.balancer.jobs[name].attempts_made == 1
    assert sent_to([first])


def test_timer_that_fires_early_is_set_again() -> None:
    router = Router()
    _, (first,) = router.send_request("k")
    router.finish_attempt(first, Status.MISS)  # the origin read is in flight
    waiting, actions = router.send_request("k")  # the request joins that read
    assert actions == []
    due_at, token = router.timers.pop()
    router.now = due_at - 300
    router.deliver(api.TimerFired(token))
    answers = router.advance(SECOND)
    assert [answer.id for answer in answers if isinstance(answer, api.Reject)] == [waiting]


def test_lost_timer_is_set_again() -> None:
    router = Router()
    router.send_request("k")
    router.timers.clear()
    router.now += SECOND
    router.deliver(api.RequestCancelled("nobody"))
    assert min(router.timers)[0] > router.now


def test_events_of_ended_requests_are_ignored() -> None:
    router = Router()
    name, (first,) = router.send_request("k")
    assert router.deliver(api.RequestCancelled(name)) == []
    assert router.deliver(api.RequestCancelled(name)) == []
    assert router.finish_attempt(first, Status.MISS) == []
    assert router.balancer.jobs == {}


def test_started_stream_has_no_timeout_and_no_retry() -> None:
    spec = api.RequestClass(SECOND, 2 * SECOND, stream=True)
    router = Router(settings(classes=[spec]))
    name, (first,) = router.send_request("k")
    assert isinstance(first, api.Send) and first.timeout == 0
    assert router.deliver(api.StreamOpened(name, 0, first.server)) == []
    assert router.advance(10 * SECOND) == []
    assert router.deliver(api.Outcome(name, 0, first.server, Status.RESET, True, 9 * SECOND)) == []
    assert router.balancer.jobs == {}


# Guards against a server that counts as silent although it has begun to answer.
@pytest.mark.parametrize("started", [False, True])
def test_only_silent_origin_counts_as_unhealthy_before_its_answer(
    monkeypatch: pytest.MonkeyPatch, started: bool
) -> None:
    router, recorded = Router(), []
    monkeypatch.setattr(router.balancer.monitor, "record", lambda healthy, _: recorded.append(healthy))
    _, (first,) = router.send_request("k")
    (second,) = router.finish_attempt(first, Status.MISS)
    assert isinstance(second, api.Send)
    server = router.balancer.server_table.servers[second.server]
    server.timeouts = 1
    recorded.clear()
    if started:
        assert router.deliver(api.ResponseStarted(second.id, 1, second.server)) == []
    assert server.timeouts == (0 if started else 1)
    router.advance(SECOND + 10 * MILLI)
    assert recorded == ([] if started else [False])
    router.finish_attempt(second, Status.OK, 1)
    assert not router.balancer.misses_in_flight and recorded == [False]


def test_started_response_of_ended_request_is_ignored() -> None:
    router = Router()
    name, (first,) = router.send_request("k")
    assert isinstance(first, api.Send)
    router.deliver(api.RequestCancelled(name))
    assert router.deliver(api.ResponseStarted(name, 0, first.server)) == []
    assert router.deliver(api.ResponseStarted(name, 0, "unknown")) == []


def test_request_without_a_key_is_never_throttled() -> None:
    router = Router()
    router.enable_throttle()
    _, actions = router.send_request(None)
    assert sent_to(actions)


def test_cache_through_mode_treats_an_unseen_key_as_a_likely_miss() -> None:
    router = Router(settings(cache_aside=False), fleet(4, origin=False))
    assert router.balancer.hit_history.likely_miss("k", router.now)
    _, (first,) = router.send_request("k")
    assert not router.balancer.hit_history.likely_miss("k", router.now)
    router.finish_attempt(first, Status.OK)
    for n in range(20):
        _, (send,) = router.send_request(f"t{n}")
        router.finish_attempt(send, Status.ERROR)
    router.advance(SECOND)
    assert router.balancer.monitor.throttle is not None


def test_rejection_has_a_retry_time_only_if_configured() -> None:
    configured = Router(settings(retry_after=True, max_retry_after=SECOND // 2), [])
    assert configured.send_request()[1] == [api.Reject("r1", SECOND // 2)]
    assert Router(members=[]).send_request()[1] == [api.Reject("r1", 0)]


# Polling of the endpoint list


def test_polled_list_is_requested_again_after_a_failure() -> None:
    router = Router(settings(list_on_request=True))
    polls = 0
    for _ in range(4):
        router.deliver(api.Members(api.ListKind.FAILED, []))
        actions = router.advance(10 * SECOND)
        polls += sum(isinstance(action, api.Watch) for action in actions)
    assert polls == 4
    router.deliver(api.Members(api.ListKind.DELTA, []))
    assert router.advance(60 * SECOND) == []


def test_list_is_requested_again_within_two_seconds_of_each_failure() -> None:
    """With a longer backoff, a draining server could stop before the router notices that it drains."""
    router = Router(settings(list_on_request=True))
    for _ in range(8):
        router.deliver(api.Members(api.ListKind.FAILED, []))
        assert router.advance(2 * SECOND) == [api.Watch()]


def test_retries_of_the_list_are_spread_over_the_routers() -> None:
    """All routers share one discovery service, so they must not retry at the same time."""
    all_routers = [Router(settings(list_on_request=True, router_count=40), seed=seed) for seed in range(40)]
    # The first backoff is short, so that draining servers are noticed in time; later ones grow to 1.5 s.
    for max_backoff in (3 * SECOND // 8, 3 * SECOND // 4, *[3 * SECOND // 2] * 4):
        for router in all_routers:
            router.deliver(api.Members(api.ListKind.FAILED, []))
            assert router.advance(max_backoff // 2) == []
        quarters = [
            sum(router.advance(max_backoff // 8) == [api.Watch()] for router in all_routers) for _ in range(4)
        ]
        assert sum(quarters) == 40 and min(quarters) >= 3


def test_successful_poll_resets_the_backoff() -> None:
    router = Router(settings(list_on_request=True))
    for _ in range(5):
        router.deliver(api.Members(api.ListKind.FAILED, []))
        router.advance(2 * SECOND)
    router.deliver(api.Members(api.ListKind.DELTA, []))
    router.deliver(api.Members(api.ListKind.FAILED, []))
    assert router.advance(3 * SECOND // 8) == [api.Watch()]


def test_draining_state_persists_after_failed_polls() -> None:
    router = Router(settings(list_on_request=True))
    name = router.cache_key("k")
    router.deliver(api.Members(api.ListKind.FAILED, []))
    router.deliver(api.Members(api.ListKind.DELTA, [api.Member(name, api.State.DRAINING)]))
    router.deliver(api.Members(api.ListKind.FAILED, []))
    for n in range(40):
        _, actions = router.send_request(f"k{n}")
        assert name not in sent_to(actions)
        router.advance(SECOND // 10)


def test_restart_polls_at_once_and_uses_the_cached_list() -> None:
    router = Router(settings(list_on_request=True), [])
    actions = router.deliver(api.Members(api.ListKind.CACHED, fleet()))
    assert actions == [api.Watch()]
    assert sent_to(router.send_request()[1])


def test_peer_messages_and_unexpected_health_checks_are_ignored() -> None:
    router = Router()
    assert router.deliver(api.PeerMessage(1, "00")) == []
    assert router.deliver(api.ProbeResult("c0", Status.OK, 1)) == []
    assert router.now == START and router.balancer.settings.origin_kind == ORIGIN_KIND


def test_reset_origin_read_is_retried_and_not_counted_as_an_origin_failure() -> None:
    router = Router()
    for n in range(12):
        name, (first,) = router.send_request(f"k{n}")
        (read,) = router.finish_attempt(first, Status.MISS)
        waiting, actions = router.send_request(f"k{n}")
        assert actions == []  # the request joins the read in flight
        actions = router.finish_attempt(read, Status.RESET, 1)
        assert sent_to(actions) == ["origin"]  # a single retry serves both requests
        (retry,) = actions
        assert isinstance(retry, api.Send) and retry.id == name
        assert [
            action.id for action in router.finish_attempt(retry, Status.OK, 2) if isinstance(action, api.Send)
        ] == [waiting]
    router.advance(SECOND)
    assert router.balancer.monitor.throttle is None and not router.balancer.fetch_waiters


def test_retry_that_cannot_finish_in_time_is_not_sent() -> None:
    classes = [api.RequestClass(SECOND, 2 * SECOND), api.RequestClass(SECOND, 2 * SECOND, late_weight=0.5)]
    for cls, tenths, retried in ((0, 2, True), (0, 8, False), (1, 8, True)):
        router = Router(settings(classes=classes))
        _, (first,) = router.send_request("k", cls)
        server = router.balancer.server_table.servers[sent_to([first])[0]]
        server.latency = server.base_latency = 0.3 * SECOND  # below 3/4 of the latency objective
        router.now += tenths * SECOND // 10
        assert bool(sent_to(router.finish_attempt(first, Status.RESET))) == retried


def router_with_overloaded_caches(**changes: object) -> Router:
    """Returns a router whose cache servers are all overloaded, with an idle origin."""
    router = Router(settings(**changes))
    for n in range(20):
        router.cache_key(f"warm{n}")
    for server in router.balancer.server_table.servers.values():
        if server is not router.balancer.server_table.origin:
            server.latency, server.base_latency, server.in_flight = 2.0 * SECOND, 10.0 * MILLI, 1
    return router


def test_read_goes_to_an_idle_origin_when_all_caches_are_overloaded() -> None:
    router = router_with_overloaded_caches()
    _, (send,) = router.send_request("warm1")
    assert isinstance(send, api.Send) and send.server == "origin"
    assert not router.balancer.fetch_waiters  # the read fills no cache, so no request may join it
    remembered = dict(router.balancer.hit_history.last_used)
    router.finish_attempt(send, api.Status.OK)
    assert router.balancer.hit_history.last_used == remembered
    origin = router.balancer.server_table.origin
    assert origin is not None
    origin.in_flight = 9
    _, (rejected,) = router.send_request("warm2")
    assert isinstance(rejected, api.Reject)
    _, (rejected,) = router.send_request("warm2", cls=1)
    assert isinstance(rejected, api.Reject)


def test_direct_origin_read_spends_a_token_or_is_rejected() -> None:
    router = router_with_overloaded_caches()
    router.balancer.monitor.throttle = throttle = Throttle(router.now, 1.0, 10)
    kinds = []
    for _ in range(4):
        _, (action,) = router.send_request("warm1")
        kinds.append(type(action))
        if isinstance(action, api.Send):
            router.finish_attempt(action, api.Status.OK)
    assert kinds == [api.Send, api.Send, api.Reject, api.Reject]
    assert throttle.level == 0 and not throttle.queue


def test_failed_direct_origin_read_is_rejected_without_filling_a_cache() -> None:
    router = router_with_overloaded_caches()
    name, (send,) = router.send_request("warm1")
    (rejected,) = router.finish_attempt(send, api.Status.FULL)
    assert isinstance(rejected, api.Reject) and name not in router.balancer.jobs
    router = router_with_overloaded_caches()
    name, (send,) = router.send_request("warm1")
    assert isinstance(send, api.Send)
    router.deliver(api.RequestCancelled(name))
    router.deliver(api.Outcome(name, 0, send.server, api.Status.OK, True, MILLI))
    assert not router.balancer.fetch_waiters


def test_lowest_idle_latency_of_a_kind_matches_a_scan_of_its_servers() -> None:
    draw, kind = random.Random(1), Kind()
    servers = [Server(api.Member(str(n), kind=n % 2), 1.0) for n in range(9)]
    for _ in range(500):
        server = draw.choice(servers[::2])
        server.base_latency = draw.uniform(1, 9)
        kind.update_base_latency(server)
        assert kind.lowest_base_latency == min(
            other.base_latency for other in servers[::2] if other.base_latency
        )


def test_key_candidates_are_its_owner_then_range_order() -> None:
    """Candidates are generated lazily, because the first usually suffices."""
    ranges, names = KeyRanges(SECOND), [f"{n:03d}" for n in range(100)]
    ranges.assign(0, names)
    ranges.assign(SECOND, [name for name in names if name != "007"])
    keys = [f"k{n}" for n in range(400)]
    for now in (SECOND, 3 * SECOND):
        for key in keys:
            _, _, owner, candidates = ranges.locate(key, now)
            order = list(candidates)
            assert order[0] == owner and len(order) == len(set(order)) >= 99
            rest = order[1:]
            # The order is sorted, except for one wrap-around.
            assert sum(current > following for current, following in itertools.pairwise(rest)) <= 1
    assert ranges.locate(keys[0], 3 * SECOND)[2] != "007"
    assert KeyRanges(1).locate("k", 0)[2:][0] == "" and not list(KeyRanges(1).locate("k", 0)[3])
