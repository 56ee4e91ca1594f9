"""Unit tests of the policy: placement, throttle, server statistics, request lifecycle and discovery polls."""

import itertools
import random
from collections.abc import Callable

import pytest
from support import MILLI, ORIGIN_KIND, SECOND, START, Router, fleet, settings

from applehub import interface as api
from applehub.policy.keys import DEALS_KEPT, KEYS_KEPT, KeyMemory, KeyRanges, Popularity
from applehub.policy.placement import WARMING_TOKENS
from applehub.policy.servers import Kind, Server
from applehub.policy.throttle import Monitor, Throttle

Status = api.Status


def sends(actions: list[api.Action]) -> list[str]:
    return [action.server for action in actions if isinstance(action, api.Send)]


@pytest.fixture(autouse=True)
def disable_hot_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables hot key detection, which few requests would trigger; test_regressions.py covers it."""
    monkeypatch.setattr(Popularity, "fills", lambda self, key, servers, proven=True: 0)


# Placement


def test_ranges_are_equal_and_independent_of_list_order() -> None:
    first = Router(members=[api.Member(name) for name in "abcd"])
    second = Router(members=[api.Member(name) for name in "cadb"])
    owners = [first.candidates(f"key{n}")[0].member.server for n in range(4000)]
    assert owners == [second.candidates(f"key{n}")[0].member.server for n in range(4000)]
    assert all(900 < owners.count(name) < 1100 for name in "abcd")


def test_origin_draining_and_gone_servers_own_no_range() -> None:
    members = fleet(4)
    members[1].state = api.State.DRAINING
    router = Router(members=members)
    router.tell(api.Members(api.ListKind.DELTA, [api.Member("c2", api.State.GONE)]))
    assert router.balancer.roster.ranges.deals[-1][1] == ["c0", "c3"]


def test_full_list_removes_servers_that_it_does_not_contain() -> None:
    router = Router()
    router.tell(api.Members(api.ListKind.FULL, fleet(2)))
    assert router.balancer.roster.ranges.deals[-1][1] == ["c0", "c1"]


def test_keys_migrate_to_a_new_list_evenly_and_alike_at_all_routers() -> None:
    """An added server shifts most range boundaries, so a migration at once would cause a burst of misses."""
    router, restarted = Router(members=fleet(9)), Router(members=fleet(9))
    keys = [f"k{n}" for n in range(2000)]
    before = {key: router.candidates(key)[0].member.server for key in keys}
    update = api.Members(api.ListKind.DELTA, [api.Member("b9", since=router.now)])
    migrated = []
    for each in (router, restarted):
        each.tell(update)
    for _ in range(4):
        for each in (router, restarted):
            each.wait(10 * SECOND // 4)
        owners = {key: router.candidates(key)[0].member.server for key in keys}
        assert owners == {key: restarted.candidates(key)[0].member.server for key in keys}
        migrated.append(sum(owners[key] != before[key] for key in keys))
    fractions = [count / migrated[-1] for count in migrated]
    assert all(abs(fraction - (n + 1) / 4) < 0.06 for n, fraction in enumerate(fractions))


def test_key_whose_server_has_left_migrates_at_once() -> None:
    router = Router(members=fleet(9))
    keys = [f"k{n}" for n in range(200)]
    before = {key: router.candidates(key)[0].member.server for key in keys}
    router.tell(api.Members(api.ListKind.DELTA, [api.Member("c4", api.State.GONE)]))
    for key in keys:
        _, (send,) = router.ask(key)
        assert isinstance(send, api.Send)
        assert send.server != "c4" and (send.server == before[key] or before[key] == "c4")
        router.end(send, Status.OK)


def test_lists_that_no_key_uses_are_forgotten() -> None:
    ranges = KeyRanges(10 * SECOND)
    for n in range(500):
        ranges.deal(n * SECOND, [f"s{n}"])
        assert len(ranges.deals) <= 12
    for n in range(500):
        ranges.deal(500 * SECOND + n, [f"s{n}"])
    assert len(ranges.deals) <= DEALS_KEPT


# Key memory


def test_key_memory_is_bounded_and_evicts_the_oldest_key() -> None:
    memory = KeyMemory()
    for n in range(KEYS_KEPT + 5):
        memory.put(str(n), n)
    assert len(memory.seen) == KEYS_KEPT
    assert memory.likely_miss("0", KEYS_KEPT) and not memory.likely_miss(str(KEYS_KEPT), KEYS_KEPT)


def test_age_at_which_hits_become_misses_is_observed() -> None:
    memory = KeyMemory()
    for n in range(10):
        memory.put(str(n), 0)
        memory.learn(str(n), 8 * SECOND, False)
    memory.put("k", 0)
    assert memory.likely_miss("k", 8 * SECOND) and not memory.likely_miss("k", SECOND // 8)


# Throttle and origin monitor


def test_miss_without_throttle_is_fetched_from_the_origin_and_remembered() -> None:
    router = Router()
    name = router.serve("k")
    _, actions = router.ask("k")
    assert sends(actions) == [name]
    assert not router.balancer.memory.likely_miss("k", router.now)


def test_excess_likely_misses_wait_and_are_rejected_by_their_latency_objective() -> None:
    router = Router()
    router.throttle_on()
    throttle = router.balancer.monitor.throttle
    assert throttle is not None
    requested, at_once = [], []
    for n in range(30):
        name, actions = router.ask(f"new{n}")
        requested.append(name)
        at_once += actions
    waiting = set(throttle.queue)
    assert waiting and len(waiting) <= throttle.buffer
    later = router.wait(SECOND)
    assert sends(later), "new tokens release waiting requests"
    rejected = {action.id for action in at_once + later if isinstance(action, api.Refuse)}
    sent = {action.id for action in at_once + later if isinstance(action, api.Send)}
    assert rejected | sent == set(requested) and not rejected & sent


def test_origin_read_after_a_miss_spends_a_token() -> None:
    router = Router()
    router.throttle_on()
    router.wait(SECOND)
    throttle = router.balancer.monitor.throttle
    assert throttle is not None
    throttle.refill(router.now)
    throttle.level = 3
    _, (first,) = router.ask("x")
    level = throttle.level
    (second,) = router.end(first, Status.MISS)
    assert sends([second]) == ["origin"] and (level, throttle.level) == (2, 1)


def test_recently_hit_key_bypasses_the_throttle() -> None:
    router = Router()
    name = router.serve("k")
    router.throttle_on()
    _, actions = router.ask("k")
    assert sends(actions) == [name]


def test_throttle_stops_when_origin_reads_stay_healthy() -> None:
    router = Router()
    router.throttle_on()
    router.wait(60 * SECOND)
    assert router.balancer.monitor.throttle is None
    assert router.log[0].startswith("throttle on: ") and router.log[-1] == "throttle off"


def test_request_over_its_tenant_quota_does_not_wait_for_tokens() -> None:
    router = Router(settings(tenants=[api.Tenant(3.0), api.Tenant(3.0)]))
    router.throttle_on()
    for n in range(40):
        _, actions = router.ask(f"n{n}", tenant=1)
    assert [type(action) for action in actions] == [api.Refuse]


def test_rate_is_not_underestimated_after_a_short_uptime() -> None:
    monitor = Monitor(SECOND)
    monitor.born = START
    for n in range(100):  # fifty likely misses per second since the start
        monitor.spent.add(START + n * SECOND // 50)
    assert 45 < monitor.recent(START + 2 * SECOND) < 55


@pytest.mark.parametrize(
    ("seen", "bad", "acts"), [(2, 2, True), (10, 2, False), (10, 3, True), (50, 6, False)]
)
def test_throttle_starts_only_for_a_significant_number_of_failures(seen: int, bad: int, acts: bool) -> None:
    monitor = Monitor(SECOND)
    for n in range(seen):
        monitor.note(n >= bad, START)
    monitor.step(START, False)
    assert (monitor.throttle is not None) is acts


def test_one_overload_reduces_the_throttle_rate_once() -> None:
    """Reads sent before a reduction of the rate must not reduce it again."""
    monitor = Monitor(SECOND)
    for _ in range(8):
        monitor.spent.add(SECOND)
        monitor.note(False, 0)
    assert monitor.step(SECOND, False).startswith("throttle on")
    throttle = monitor.throttle
    assert throttle is not None
    rate = throttle.rate
    for _ in range(8):
        monitor.note(False, SECOND // 2)
    monitor.step(2 * SECOND, False)
    assert throttle.rate >= rate
    for _ in range(8):
        monitor.note(False, 2 * SECOND)
    monitor.step(3 * SECOND, False)
    assert throttle.rate < rate
    assert throttle.bank > 2 and throttle.bank + throttle.buffer >= 10


def test_throttle_rate_does_not_rise_while_origin_reads_hang() -> None:
    """A rising rate would prolong the overload of the origin."""
    monitor = Monitor(SECOND)
    for _ in range(8):
        monitor.spent.add(SECOND)
        monitor.note(False, 0)
    monitor.step(SECOND, True)
    throttle = monitor.throttle
    assert throttle is not None
    rate, throttle.level = throttle.rate, 0
    monitor.step(2 * SECOND, True)
    assert throttle.rate == rate
    for _ in range(24):
        monitor.spent.add(2 * SECOND)
    monitor.note(True, 2 * SECOND)
    monitor.step(2 * SECOND, True)
    assert throttle.rate > rate
    for _ in range(9):
        monitor.step(2 * SECOND, False)
    assert throttle.rate < 2.5 * monitor.recent(2 * SECOND), "the rate must stay close to the tokens spent"


def test_hanging_origin_starts_the_throttle_before_any_outcome() -> None:
    router = Router()
    for n in range(5):
        _, (first,) = router.ask(f"h{n}")
        router.end(first, Status.MISS)
    router.wait(3 * SECOND // 2)
    assert router.balancer.monitor.throttle is not None


def test_concurrent_requests_for_a_key_share_one_origin_read() -> None:
    """Requests that wait for the read are served by the cache server that it fills."""
    router = Router()
    _, (first,) = router.ask("hot")
    (read,) = router.end(first, Status.MISS)
    name, actions = router.ask("hot")
    assert actions == []
    (served,) = router.end(read, Status.OK, 1)
    assert isinstance(served, api.Send) and isinstance(first, api.Send)
    assert (served.id, served.server) == (name, first.server)


def test_requests_that_joined_a_failed_read_are_sent_or_rejected_in_time() -> None:
    router = Router()
    _, (first,) = router.ask("hot")
    (read,) = router.end(first, Status.MISS)
    second, _ = router.ask("hot")
    third, _ = router.ask("hot")
    actions = router.end(read, Status.ERROR, 1)
    assert [type(action) for action in actions] == [api.Refuse, api.Send, api.Send]
    (retry,) = router.end(actions[1], Status.MISS)
    assert isinstance(retry, api.Send) and (retry.id, retry.server) == (second, "origin")
    assert router.end(actions[2], Status.MISS) == []
    later = router.wait(2 * SECOND)
    assert [action.id for action in later if isinstance(action, api.Refuse)] == [third]


# Server statistics


def test_fast_full_responses_mark_a_server_as_overloaded() -> None:
    """A request spills over once, to a server with idle capacity, or is rejected."""
    router = Router()
    owner = router.balancer.roster.servers[router.serve("k")]
    for _ in range(12):
        owner.learn(router.now, SECOND, int(router.balancer.turn.shortest_aim), 1)
    owner.out, owner.sent_at = 1, router.now
    _, actions = router.ask("k")
    assert sends(actions) and sends(actions) != [owner.member.server]
    for server in router.balancer.roster.servers.values():
        server.latency, server.out, server.sent_at = float(5 * SECOND), 1, router.now
    _, actions = router.ask("k")
    assert [type(action) for action in actions] == [api.Refuse]


def test_second_full_response_rejects_the_request() -> None:
    router = Router()
    _, (first,) = router.ask("k")
    (second,) = router.end(first, Status.FULL)
    assert sends([first]) != sends([second])
    assert [type(action) for action in router.end(second, Status.FULL, 1)] == [api.Refuse]


def test_overloaded_server_gets_one_trial_per_answer_time() -> None:
    server = Server(api.Member("c"), float(SECOND))
    assert not server.calm(SECOND // 2, SECOND / 4, 4, 0)
    assert server.calm(SECOND, SECOND / 4, 4, 0)
    server.learn(SECOND, SECOND, SECOND // 10, 1)
    assert server.latency < 0.6 * SECOND, "the answer of a trial has a weight of one half"


@pytest.mark.parametrize("routers", [2, 5, 40])
def test_trials_of_an_overloaded_server_by_all_routers_are_bounded(routers: int) -> None:
    """Trials of many routers together must not keep a server overloaded."""
    router = Router(settings(balancers=routers))
    name = router.serve("k")
    router.end(router.ask("k")[1][0], Status.OK, elapsed=100 * MILLI)
    server = router.balancer.roster.servers[name]
    server.latency, server.sent_at = float(SECOND), router.now
    trials = 0
    for _ in range(400):
        router.wait(50 * MILLI)
        for action in router.ask("k")[1]:
            if sends([action]) == [name]:
                trials += 1
                router.end(action, Status.FULL)
            else:
                router.end(action, Status.OK, elapsed=100 * MILLI)
    min_interval = max(SECOND, routers * 100 * MILLI)  # a full response counts as the latency objective
    assert 1 < trials <= 20 * SECOND / min_interval + 1


def members_of_kinds(*kinds: int) -> list[api.Member]:
    caches = [api.Member(f"c{n}", kind=kind) for n, kind in enumerate(kinds)]
    return [*caches, api.Member("origin", kind=ORIGIN_KIND)]


def first_server(router: Router, key: str, outcome_of: Callable[[str], tuple[api.Status, int]]) -> str:
    """Returns the server of a key's first attempt; the client cancels before that attempt ends."""
    name, (send,) = router.ask(key)
    router.tell(api.Withdrawn(name))
    (server,) = sends([send])
    status, elapsed = outcome_of(server)
    router.end(send, status, elapsed=elapsed)
    return server


def test_slow_kind_gets_less_load_at_servers_not_yet_used() -> None:
    """In a large fleet a router sends each server too few requests to detect a slow one alone."""
    router = Router(members=members_of_kinds(*[0, 1] * 10))
    balancer = router.balancer

    def outcome_of(server: str) -> tuple[api.Status, int]:
        return (
            (Status.TIMEOUT, SECOND)
            if balancer.roster.servers[server].member.kind
            else (Status.OK, 10 * MILLI)
        )

    for n in range(40):
        router.now += SECOND  # allows the next trial of slow servers
        first_server(router, f"k{n}", outcome_of)
    slow, fast = balancer.roster.kinds[1], balancer.roster.kinds[0]
    assert (fast.share, slow.share < 0.5) == (1.0, True)
    other_router = Router(members=members_of_kinds(*[0, 1] * 10))
    other_router.balancer.roster.kinds[1] = slow
    names = [first_server(other_router, f"key{n}", lambda _: (Status.CANCELLED, 0)) for n in range(400)]
    kinds = [other_router.balancer.roster.servers[name].member.kind for name in names]
    assert sum(kinds) < 150, "half of the keys are in ranges of the slow kind"


def test_request_that_no_server_has_capacity_for_goes_to_the_owner() -> None:
    """A small fleet with reduced ranges at every server must not reject most requests."""
    router = Router()
    for server in router.balancer.roster.servers.values():
        server.share = router.balancer.roster.kind(server).share = 1 / 8
    servers = [first_server(router, f"key{n}", lambda _: (Status.CANCELLED, 0)) for n in range(40)]
    owners = [router.candidates(f"key{n}")[0].member.server for n in range(40)]
    assert sum(used == owner for used, owner in zip(servers, owners, strict=True)) > 30


def test_load_report_reflects_requests_of_other_routers() -> None:
    router = Router()
    router.serve("k")
    _, (send,) = router.ask("k")
    router.end(send, Status.OK, load=api.Load(inflight=40, latency_ms=100, qps=10))
    server = router.balancer.roster.servers[sends([send])[0]]
    assert server.reported(router.now) == pytest.approx(4.1e9)
    assert server.reported(router.now + 2 * SECOND) == 0
    assert sends(router.ask("k")[1]) != [server.member.server]


def test_unreachable_server_is_skipped_then_gets_one_trial() -> None:
    router = Router()
    _, (first,) = router.ask("k")
    (second,) = router.end(first, Status.CONNECT_FAILED)
    assert sends([second]) != sends([first])
    name = sends([first])[0]
    assert name not in [sends(router.ask("k")[1])[0] for _ in range(5)]
    router.wait(SECOND)
    used = [sends(router.ask("k")[1])[0] for _ in range(5)]
    assert used.count(name) == 1
    assert f"server {name} unreachable" in router.log


@pytest.mark.parametrize("routers", [1, 40])
def test_cold_server_takes_over_its_range_evenly_with_any_number_of_routers(routers: int) -> None:
    """An initial token at each router would overload a cold server in a large fleet."""
    update = api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)])
    all_routers = [Router(seed=n) for n in range(routers)]
    for router in all_routers:
        router.tell(update)
    sent, migration_time = [], 10 * SECOND
    for n in range(2000):
        router = all_routers[n % routers]
        router.wait(START + n * migration_time // 2000 - router.now)
        _, actions = router.ask(f"k{n}")
        sent.append(sends(actions) == ["c1"])
        router.end(actions[0], Status.OK)
    quarters = [sum(sent[n : n + 500]) for n in range(0, 2000, 500)]
    expected = [125 * (2 * n + 1) / 8 for n in range(4)]
    assert all(count < target + 25 for count, target in zip(quarters, expected, strict=True))
    assert quarters[0] > 4 and min(quarters[1:]) > 12  # the warm-up budget may limit it further


def test_first_tokens_of_a_warming_server_are_spread_over_the_routers() -> None:
    """An initial token at each router would let a hot key overload a cold server."""
    update = api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)])
    all_routers = [Router(seed=n) for n in range(40)]
    first = 0
    for router in all_routers:
        router.tell(update)
        router.balancer.roster.flow.add(router.now)
        first += router.balancer.roster.servers["c1"].budget.take(router.now, 0.25, WARMING_TOKENS)
    assert first == 0
    later = [
        router.balancer.roster.servers["c1"].budget.take(START + SECOND, 0.25, 2) for router in all_routers
    ]
    assert 4 <= sum(later) <= 16, "each router has a quarter of a token"


def test_warm_up_fraction_rises_linearly_with_age() -> None:
    router = Router(settings(cold_from=0.2))  # warm after 10 s
    router.tell(api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)]))
    server = router.balancer.roster.servers["c1"]
    ages = [0, 5, 10, 20]
    fractions = []
    for age in ages:
        router.balancer.turn.now = START + age * SECOND
        fractions.append(router.balancer.roster.warmth(server))
    assert fractions == pytest.approx([0.2, 0.6, 1.0, 1.0])


def test_server_listed_with_a_newer_start_time_is_cold_again() -> None:
    router = Router()
    for _ in range(2):
        router.tell(api.Members(api.ListKind.DELTA, [api.Member("c1", since=router.now - SECOND)]))
        assert router.balancer.roster.servers["c1"].cold_since == router.now - SECOND
    router.wait(20 * SECOND)
    owned = [key for key in map(str, range(40)) if router.candidates(key)[0].member.server == "c1"]
    assert owned
    for key in owned:
        _, actions = router.ask(key)
        assert sends(actions) == ["c1"]
        router.end(actions[0], Status.OK)


def test_server_that_was_down_for_long_is_treated_as_cold() -> None:
    router = Router()
    first = router.die("k")
    router.wait(2 * SECOND)
    _, actions = router.ask("k")
    assert sends(actions) == sends([first])
    router.end(actions[0], Status.OK)
    assert router.balancer.roster.servers[sends([first])[0]].cold_since == router.now
    assert router.log[-1].endswith("answers again")


@pytest.mark.parametrize(("routers", "most"), [(2, 2.0), (40, 16.0)])
def test_trials_of_a_dead_server_by_all_routers_are_bounded(routers: int, most: float) -> None:
    """Trials of many routers together must not overload a server that has just restarted."""
    router = Router(settings(balancers=routers, cold_from=0.125))
    server = router.balancer.roster.servers[router.serve("k")]
    router.balancer.roster.kind(server).uncrowded = 50.0 * MILLI
    backoffs = []
    for _ in range(6):
        router.wait(max(0, server.down_until - router.now))
        _, actions = router.ask("k")
        assert sends(actions) == [server.member.server]
        router.end(actions[0], Status.CONNECT_FAILED)
        backoffs.append((server.down_until - router.now) / SECOND)
    assert backoffs[0] <= 0.5, "a single refused connect has a short backoff"
    assert all(most / 2 <= backoff <= 2 * most for backoff in backoffs[3:])


def test_reset_connection_does_not_mark_the_server_as_failed() -> None:
    router = Router()
    _, (first,) = router.ask("k")
    (retry,) = router.end(first, Status.RESET)
    assert sends([retry]) == sends([first])  # retried at the server that has the key
    assert sends(router.ask("k")[1]) == sends([first])
    router.wait(2 * SECOND)
    router.end(retry, Status.OK, 1)
    server = router.balancer.roster.servers[sends([first])[0]]
    assert (server.cold_since, server.fails, server.breaks) == (0, 0, 0)
    assert not any("unreachable" in line for line in router.log)


def test_server_that_resets_every_attempt_is_skipped_but_not_treated_as_cold() -> None:
    router = Router()
    _, (send,) = router.ask("k")
    name = sends([send])[0]
    for attempt in range(3):
        (send,) = router.end(send, Status.RESET, attempt)
        assert sends([send]) == [name]
    router.end(send, Status.RESET, 3)
    assert sends(router.ask("k")[1]) != [name]
    router.wait(2 * SECOND)
    _, (trial,) = router.ask("k")
    assert sends([trial]) == [name]
    router.end(trial, Status.OK)
    assert router.balancer.roster.servers[name].cold_since == 0
    assert router.log[-1].endswith("answers again")


def test_two_errors_with_no_success_between_mark_a_server_as_failing() -> None:
    """In a large fleet a router sends a server few requests, so two errors must be enough."""
    router = Router()
    name = ""
    for _ in range(2):
        router.wait(3 * SECOND)
        _, (send,) = router.ask("k")
        (name,) = sends([send])
        router.end(send, Status.ERROR)
    assert router.balancer.roster.servers[name].fails
    assert sends(router.ask("k")[1]) != [name]


def test_server_that_fails_most_requests_gets_one_trial_at_a_time() -> None:
    """A server with frequent fast errors must not keep its range."""
    router = Router()
    name = router.fails_most("k")
    assert [sends(router.ask("k")[1]) for _ in range(3)].count([name]) == 0
    router.wait(2 * SECOND)
    trials = [action for _ in range(3) for action in router.ask("k")[1]]
    assert sends(trials).count(name) == 1
    (trial,) = [send for send in trials if isinstance(send, api.Send) and send.server == name]
    router.end(trial, Status.OK)
    server = router.balancer.roster.servers[name]
    assert (server.cold_since, server.fails) == (0, 0)
    assert sends(router.ask("k")[1]) == [name]


def test_occasional_errors_do_not_eject_a_server() -> None:
    router = Router()
    for n in range(60):
        _, (send,) = router.ask("k")
        assert sends([send]) == [router.candidates("k")[0].member.server]
        for retry in router.end(send, Status.OK if n % 4 else Status.ERROR):
            router.end(retry, Status.OK, 1)
    assert not router.log


def test_server_that_joins_without_a_start_time_is_treated_as_cold() -> None:
    router = Router()
    router.tell(api.Members(api.ListKind.DELTA, [api.Member("c9")]))
    assert router.balancer.roster.servers["c9"].cold_since == router.now
    assert router.balancer.roster.servers["c0"].cold_since == 0


# Request lifecycle


@pytest.mark.parametrize("members", [[], fleet(0), [api.Member("c0", api.State.DRAINING)]])
def test_read_without_a_server_is_rejected_at_once(members: list[api.Member]) -> None:
    _, actions = Router(members=members).ask()
    assert [type(action) for action in actions] == [api.Refuse]


def test_write_without_an_origin_is_rejected_at_once() -> None:
    _, actions = Router(members=fleet(3, origin=False)).ask(cls=2, write=True)
    assert [type(action) for action in actions] == [api.Refuse]


def test_write_is_retried_at_the_origin_within_its_latency_objective() -> None:
    router = Router()
    _, (first,) = router.ask(cls=2, write=True)
    assert sends([first]) == ["origin"]
    assert router.end(first, Status.FULL) == []
    assert sends(router.wait(SECOND // 4)) == ["origin"]


def test_reads_do_not_keep_an_overloaded_origin_overloaded() -> None:
    """Excess reads must be shed before the first slow read completes."""
    router = Router()
    origin = router.balancer.roster.origin
    assert origin is not None
    origin.latency, origin.base, origin.sent_at = SECOND / 4, SECOND / 4, router.now
    reads: list[api.Action] = []
    for n in range(8):
        _, (first,) = router.ask(f"k{n}")
        reads += router.end(first, Status.MISS)
    assert [type(action) for action in reads] == [api.Send] * 3 + [api.Refuse] * 5


def test_write_is_admitted_at_a_load_that_sheds_reads() -> None:
    """Reads must not use up the origin capacity that writes need."""
    router = Router()
    _, (first,) = router.ask("k")
    origin = router.balancer.roster.origin
    assert origin is not None
    origin.latency, origin.sent_at = 0.9 * SECOND, router.now  # above 3/4 of both latency objectives
    assert [type(action) for action in router.end(first, Status.MISS)] == [api.Refuse]
    assert sends(router.ask(cls=1, write=True)[1]) == ["origin"]


def test_writes_do_not_keep_an_overloaded_origin_overloaded() -> None:
    """Writes are rejected, except for a trial that detects the recovery."""
    router = Router()
    origin = router.balancer.roster.origin
    assert origin is not None
    origin.latency, origin.sent_at = 3.0 * SECOND, router.now
    assert [type(action) for action in router.ask(cls=2, write=True)[1]] == [api.Refuse]
    router.wait(3 * SECOND)
    assert sends(router.ask(cls=2, write=True)[1]) == ["origin"]


def test_unsafe_request_that_may_have_been_executed_fails_without_retry() -> None:
    router = Router()
    _, (first,) = router.ask(cls=2, write=True)
    assert isinstance(first, api.Send) and first.timeout == 0, "the router sets no attempt timeout"
    assert [type(action) for action in router.end(first, Status.ERROR)] == [api.Fail]


def test_request_with_idempotency_key_is_retried_only_within_its_window() -> None:
    router = Router()
    _, (first,) = router.ask(cls=1, write=True)
    router.wait(SECOND // 2)
    assert router.end(first, Status.ERROR) == []
    assert sends(router.wait(SECOND // 4)) == ["origin"]
    router = Router(
        settings(classes=[api.RequestClass(SECOND, 4 * SECOND, api.Effect.KEYED, "all", SECOND // 4)])
    )
    _, (first,) = router.ask(write=True)
    router.wait(SECOND // 2)
    assert [type(action) for action in router.end(first, Status.ERROR)] == [api.Fail]


@pytest.mark.parametrize(("cls", "same"), [(3, "zone"), (4, "cell")])
def test_request_with_idempotency_key_is_retried_only_in_its_group(cls: int, same: str) -> None:
    for n in range(20):
        router = Router(settings(aside=False), fleet(6, origin=False))
        _, (first,) = router.ask(f"k{n}", cls)
        for action in router.end(first, Status.ERROR):
            if isinstance(action, api.Send):
                first_member, second_member = (
                    router.balancer.roster.servers[name].member for name in sends([first, action])
                )
                assert getattr(first_member, same) == getattr(second_member, same)
            else:
                assert type(action) is api.Fail


def test_attempts_are_bounded() -> None:
    router = Router(settings(max_attempts=2))
    _, (send,) = router.ask("k")
    (send,) = router.end(send, Status.CONNECT_FAILED)
    assert [type(action) for action in router.end(send, Status.CONNECT_FAILED, 1)] == [api.Refuse]


def test_origin_read_runs_until_the_client_deadline() -> None:
    """A read aborted at the latency objective would fill no cache if the origin is slower."""
    router = Router(settings(classes=[api.RequestClass(aim=SECOND, deadline=2 * SECOND)]))
    _, (first,) = router.ask("k")
    (read,) = router.end(first, Status.MISS)
    assert isinstance(first, api.Send) and isinstance(read, api.Send)
    assert (first.timeout, read.timeout) == (SECOND, 2 * SECOND)


def test_several_overloaded_neighbours_are_skipped() -> None:
    router = Router(members=fleet(6))
    owner, *rest = router.candidates("k")
    for server in [owner, *rest[:2]]:  # slow, with a trial in flight at each
        server.latency, server.base, server.out = 1.0 * SECOND, SECOND / 10, 1
    assert sends(router.ask("k")[1]) == [rest[2].member.server]


def test_trial_in_flight_stays_a_trial() -> None:
    """Its answer has a weight of one half even if the server was checked again meanwhile."""
    server = Server(api.Member("c"), 4.0 * SECOND, base=1.0 * SECOND)
    assert server.calm(START, SECOND, 4, 0) and server.trial
    server.out, server.sent_at = 1, START
    assert not server.calm(START, SECOND, 4, 0)
    server.learn(START, SECOND, 0, 1)
    assert server.latency == 2 * SECOND


def test_answer_after_a_long_pause_has_more_weight() -> None:
    """In a large fleet a router gets few answers of each server."""
    frequent, infrequent, unseen = (
        Server(api.Member("c"), 1.0 * SECOND, base, START) for base in (1e9, 1e9, 0.0)
    )
    frequent.learn(START + MILLI, 2 * SECOND, 0, 1)
    infrequent.learn(START + 5 * SECOND, 2 * SECOND, 0, 1)
    assert (frequent.latency, infrequent.latency) == (SECOND * 7 / 8, SECOND / 2)
    unseen.learn(START + MILLI, 2 * SECOND, 3 * SECOND, 1)
    assert unseen.latency == 3 * SECOND, "a first answer slower than the initial estimate replaces it"


def test_trial_that_ends_in_a_miss_shows_recovery() -> None:
    """An overloaded server whose keys are served elsewhere answers trials with misses only."""
    router = Router()
    owner = router.candidates("k")[0]
    owner.latency, owner.base = 4.0 * SECOND, SECOND / 10
    _, (trial,) = router.ask("k")
    assert sends([trial]) == [owner.member.server] and owner.trial
    router.end(trial, Status.MISS)
    assert owner.latency < 2.1 * SECOND


def test_average_of_requests_in_flight_decays_slowly() -> None:
    """A server that was slow under many requests must not be predicted as slow for a single request."""
    server = Server(api.Member("c"), 1.0 * SECOND, held=9.0, trial=True)
    server.learn(START, 2 * SECOND, SECOND, 1)
    assert server.held == 8 and server.predict() < SECOND / 4


def test_request_has_at_most_one_attempt_in_flight() -> None:
    router = Router()
    name, (first,) = router.ask("k")
    router.balancer._proceed(router.balancer.jobs[name])
    assert router.tell(api.Alarm("any")) == [] and router.balancer.jobs[name].made == 1
    assert sends([first])


def test_early_alarm_does_not_stop_the_timers() -> None:
    router = Router()
    _, (first,) = router.ask("k")
    router.end(first, Status.MISS)  # its origin read is in flight
    waiting, actions = router.ask("k")  # joins that read
    assert actions == []
    when, token = router.alarms.pop()
    router.now = when - 300
    router.tell(api.Alarm(token))
    answers = router.wait(SECOND)
    assert [answer.id for answer in answers if isinstance(answer, api.Refuse)] == [waiting]


def test_lost_alarm_is_requested_again() -> None:
    router = Router()
    router.ask("k")
    router.alarms.clear()
    router.now += SECOND
    router.tell(api.Withdrawn("nobody"))
    assert min(router.alarms)[0] > router.now


def test_events_of_ended_requests_are_ignored() -> None:
    router = Router()
    name, (first,) = router.ask("k")
    assert router.tell(api.Withdrawn(name)) == []
    assert router.tell(api.Withdrawn(name)) == []
    assert router.end(first, Status.MISS) == []
    assert router.balancer.jobs == {}


def test_started_stream_is_left_to_the_client() -> None:
    spec = api.RequestClass(SECOND, 2 * SECOND, stream=True)
    router = Router(settings(classes=[spec]))
    name, (first,) = router.ask("k")
    assert isinstance(first, api.Send) and first.timeout == 0
    assert router.tell(api.Opened(name, 0, first.server)) == []
    assert router.wait(10 * SECOND) == []
    assert router.tell(api.Outcome(name, 0, first.server, Status.RESET, True, 9 * SECOND)) == []
    assert router.balancer.jobs == {}


def test_request_without_a_key_is_never_throttled() -> None:
    router = Router()
    router.throttle_on()
    _, actions = router.ask(None)
    assert sends(actions)


def test_read_through_mode_treats_an_unseen_key_as_a_likely_miss() -> None:
    router = Router(settings(aside=False), fleet(4, origin=False))
    assert router.balancer.memory.likely_miss("k", router.now)
    _, (first,) = router.ask("k")
    assert not router.balancer.memory.likely_miss("k", router.now)
    router.end(first, Status.OK)
    for n in range(20):
        _, (send,) = router.ask(f"t{n}")
        router.end(send, Status.ERROR)
    router.wait(SECOND)
    assert router.balancer.monitor.throttle is not None


def test_rejection_has_a_retry_time_only_if_configured() -> None:
    configured = Router(settings(retry_after=True, max_retry_after=SECOND // 2), [])
    assert configured.ask()[1] == [api.Refuse("r1", SECOND // 2)]
    assert Router(members=[]).ask()[1] == [api.Refuse("r1", 0)]


# Polling of the endpoint list


def test_polled_list_is_requested_again_after_a_failure() -> None:
    router = Router(settings(must_ask=True))
    polls = 0
    for _ in range(4):
        router.tell(api.Members(api.ListKind.FAILED, []))
        actions = router.wait(10 * SECOND)
        polls += sum(isinstance(action, api.Watch) for action in actions)
    assert polls == 4
    router.tell(api.Members(api.ListKind.DELTA, []))
    assert router.wait(60 * SECOND) == []


def test_list_is_requested_again_within_two_seconds_of_each_failure() -> None:
    """With a longer backoff the router could learn of a draining server only after it has stopped."""
    router = Router(settings(must_ask=True))
    for _ in range(8):
        router.tell(api.Members(api.ListKind.FAILED, []))
        assert router.wait(2 * SECOND) == [api.Watch()]


def test_retries_of_the_list_are_spread_over_the_routers() -> None:
    """All routers share one discovery service, so they must not retry at the same time."""
    all_routers = [Router(settings(must_ask=True, balancers=40), seed=seed) for seed in range(40)]
    # The first backoff is short, so that draining servers are noticed in time; it grows to 1.5 s.
    for max_backoff in (3 * SECOND // 8, 3 * SECOND // 4, *[3 * SECOND // 2] * 4):
        for router in all_routers:
            router.tell(api.Members(api.ListKind.FAILED, []))
            assert router.wait(max_backoff // 2) == []
        quarters = [
            sum(router.wait(max_backoff // 8) == [api.Watch()] for router in all_routers) for _ in range(4)
        ]
        assert sum(quarters) == 40 and min(quarters) >= 3


def test_successful_poll_resets_the_backoff() -> None:
    router = Router(settings(must_ask=True))
    for _ in range(5):
        router.tell(api.Members(api.ListKind.FAILED, []))
        router.wait(2 * SECOND)
    router.tell(api.Members(api.ListKind.DELTA, []))
    router.tell(api.Members(api.ListKind.FAILED, []))
    assert router.wait(3 * SECOND // 8) == [api.Watch()]


def test_draining_state_persists_after_failed_polls() -> None:
    router = Router(settings(must_ask=True))
    name = router.serve("k")
    router.tell(api.Members(api.ListKind.FAILED, []))
    router.tell(api.Members(api.ListKind.DELTA, [api.Member(name, api.State.DRAINING)]))
    router.tell(api.Members(api.ListKind.FAILED, []))
    for n in range(40):
        _, actions = router.ask(f"k{n}")
        assert name not in sends(actions)
        router.wait(SECOND // 10)


def test_restart_polls_at_once_and_uses_the_cached_list() -> None:
    router = Router(settings(must_ask=True), [])
    actions = router.tell(api.Members(api.ListKind.CACHED, fleet()))
    assert actions == [api.Watch()]
    assert sends(router.ask()[1])


def test_peer_messages_and_unexpected_health_checks_are_ignored() -> None:
    router = Router()
    assert router.tell(api.PeerMessage(1, "00")) == []
    assert router.tell(api.Probed("c0", Status.OK, 1)) == []
    assert router.now == START and router.balancer.settings.origin_kind == ORIGIN_KIND


def test_reset_origin_read_is_retried_and_not_counted_as_an_origin_failure() -> None:
    router = Router()
    for n in range(12):
        name, (first,) = router.ask(f"k{n}")
        (read,) = router.end(first, Status.MISS)
        waiting, actions = router.ask(f"k{n}")
        assert actions == []  # it joins the read in flight
        actions = router.end(read, Status.RESET, 1)
        assert sends(actions) == ["origin"]  # one retry for both requests
        (retry,) = actions
        assert isinstance(retry, api.Send) and retry.id == name
        assert [action.id for action in router.end(retry, Status.OK, 2) if isinstance(action, api.Send)] == [
            waiting
        ]
    router.wait(SECOND)
    assert router.balancer.monitor.throttle is None and not router.balancer.fetches


def test_retry_that_cannot_finish_in_time_is_not_sent() -> None:
    classes = [api.RequestClass(SECOND, 2 * SECOND), api.RequestClass(SECOND, 2 * SECOND, late_worth=0.5)]
    for cls, tenths, retried in ((0, 2, True), (0, 8, False), (1, 8, True)):
        router = Router(settings(classes=classes))
        _, (first,) = router.ask("k", cls)
        server = router.balancer.roster.servers[sends([first])[0]]
        server.latency = server.base = 0.3 * SECOND  # below 3/4 of the latency objective
        router.now += tenths * SECOND // 10
        assert bool(sends(router.end(first, Status.RESET))) == retried


def router_with_overloaded_caches(**changes: object) -> Router:
    """Returns a router whose cache servers are all overloaded, with an idle origin."""
    router = Router(settings(**changes))
    for n in range(20):
        router.serve(f"warm{n}")
    for server in router.balancer.roster.servers.values():
        if server is not router.balancer.roster.origin:
            server.latency, server.base, server.out = 2.0 * SECOND, 10.0 * MILLI, 1
    return router


def test_read_goes_to_an_idle_origin_when_all_caches_are_overloaded() -> None:
    router = router_with_overloaded_caches()
    _, (send,) = router.ask("warm1")
    assert isinstance(send, api.Send) and send.server == "origin"
    assert not router.balancer.fetches  # the read fills no cache, so no request may join it
    remembered = dict(router.balancer.memory.seen)
    router.end(send, api.Status.OK)
    assert router.balancer.memory.seen == remembered
    origin = router.balancer.roster.origin
    assert origin is not None
    origin.out = 9
    _, (rejected,) = router.ask("warm2")
    assert isinstance(rejected, api.Refuse)
    _, (rejected,) = router.ask("warm2", cls=1)
    assert isinstance(rejected, api.Refuse)


def test_direct_origin_read_spends_a_token_or_is_rejected() -> None:
    router = router_with_overloaded_caches()
    router.balancer.monitor.throttle = throttle = Throttle(router.now, 1.0, 10)
    kinds = []
    for _ in range(4):
        _, (action,) = router.ask("warm1")
        kinds.append(type(action))
        if isinstance(action, api.Send):
            router.end(action, api.Status.OK)
    assert kinds == [api.Send, api.Send, api.Refuse, api.Refuse]
    assert throttle.level == 0 and not throttle.queue


def test_failed_direct_origin_read_is_rejected_without_filling_a_cache() -> None:
    router = router_with_overloaded_caches()
    name, (send,) = router.ask("warm1")
    (rejected,) = router.end(send, api.Status.FULL)
    assert isinstance(rejected, api.Refuse) and name not in router.balancer.jobs
    router = router_with_overloaded_caches()
    name, (send,) = router.ask("warm1")
    assert isinstance(send, api.Send)
    router.tell(api.Withdrawn(name))
    router.tell(api.Outcome(name, 0, send.server, api.Status.OK, True, MILLI))
    assert not router.balancer.fetches


def test_lowest_idle_latency_of_a_kind_matches_a_scan_of_its_servers() -> None:
    draw, kind = random.Random(1), Kind()
    servers = [Server(api.Member(str(n), kind=n % 2), 1.0) for n in range(9)]
    for _ in range(500):
        server = draw.choice(servers[::2])
        server.base = draw.uniform(1, 9)
        kind.learned(server)
        assert kind.uncrowded == min(other.base for other in servers[::2] if other.base)


def test_key_candidates_are_its_owner_then_range_order() -> None:
    """Candidates are generated lazily, because the first usually suffices."""
    ranges, names = KeyRanges(SECOND), [f"{n:03d}" for n in range(100)]
    ranges.deal(0, names)
    ranges.deal(SECOND, [name for name in names if name != "007"])
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
