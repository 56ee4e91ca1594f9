"""Assignment of keys to cache servers: incremental changes give the same result as a full assignment."""

import random
from itertools import pairwise

import pytest
from support import MILLI, ORIGIN_KIND, SECOND, Router, fleet, settings

from applehub import interface as api
from applehub.policy.keys import KeyRanges
from applehub.policy.server_table import ServerTable
from applehub.policy.servers import Server


class FullAssignment:
    """Reference model that computes the assignment from the complete endpoint list at each event."""

    def __init__(self) -> None:
        self.ranges = KeyRanges(10 * SECOND)

    def check(self, now: int, server_table: ServerTable) -> None:
        current = server_table.context.settings
        origin = current.origin_kind if current.cache_aside else -1
        ready = [server for server in server_table.servers.values() if server.member.state is api.State.READY]
        caches = [server for server in ready if server.member.kind != origin]
        self.ranges.assign(now, sorted(server.member.server for server in caches))
        mean = sum(server.member.weight for server in caches) / max(1, len(caches))
        for server in caches:
            assert server_table.relative_weight(server) == pytest.approx(
                server.member.weight / mean if mean else 1.0, rel=1e-12
            )
        assert server_table.origin is next((server for server in ready if server.member.kind == origin), None)
        assert server_table.ranges.assignments == self.ranges.assignments
        for number in range(20):
            actual, expected = (
                server_table.ranges.locate(f"k{number}", now),
                self.ranges.locate(f"k{number}", now),
            )
            assert actual[:3] == expected[:3] and list(actual[3]) == list(expected[3])


def random_entry(draw: random.Random, servers: int) -> api.Member:
    """Returns an endpoint list entry for a random server, sometimes an origin."""
    number = draw.randrange(servers + 2)
    kind = ORIGIN_KIND if number >= servers or draw.random() < 0.05 else draw.randrange(3)
    state = draw.choice((api.State.READY, api.State.READY, api.State.DRAINING, api.State.GONE))
    return api.Member(f"c{number}", state, kind, weight=draw.choice((0.0, 0.5, 0.7, 1.0, 1.0, 3.0)))


def random_event(draw: random.Random, servers: int) -> api.Members | api.ServerOverride:
    """Returns a list update, mostly a delta of few entries, or an operator override."""
    chance = draw.random()
    if chance < 0.1:
        return api.ServerOverride(f"c{draw.randrange(servers)}", draw.random() < 0.5, 0)
    if chance < 0.15:
        entries = [random_entry(draw, servers) for _ in range(servers)]
        return api.Members(draw.choice((api.ListKind.FULL, api.ListKind.CACHED)), entries)
    max_entries = servers if chance < 0.25 else 3
    return api.Members(
        api.ListKind.DELTA, [random_entry(draw, servers) for _ in range(draw.randrange(max_entries + 1))]
    )


@pytest.mark.parametrize("servers", [1, 2, 5, 16, 60, 200])
@pytest.mark.parametrize("seed", range(3))
def test_incremental_changes_assign_keys_as_the_complete_list_does(servers: int, seed: int) -> None:
    draw = random.Random(f"{servers} {seed}")
    router, full = Router(members=fleet(servers)), FullAssignment()
    full.check(router.now, router.balancer.server_table)
    for _ in range(200):
        router.advance(draw.randrange(SECOND))
        event = random_event(draw, servers)
        router.deliver(event)
        if isinstance(event, api.Members) or event.server in router.balancer.server_table.servers:
            full.check(router.now, router.balancer.server_table)
        if draw.random() < 0.1:
            router.deliver(api.SettingsChanged(settings(cache_aside=draw.random() < 0.7)))
            full.check(router.now, router.balancer.server_table)


class CountingDict(dict[str, Server]):
    """Dictionary of servers by name that counts the servers accessed."""

    accesses = 0

    def __getitem__(self, name: str) -> Server:
        self.accesses += 1
        return super().__getitem__(name)

    def get(self, name: str, default: object = None) -> object:  # type: ignore[override]
        self.accesses += 1
        return super().get(name, default)

    def values(self) -> object:  # type: ignore[override]
        self.accesses += len(self)
        return super().values()

    def __iter__(self) -> object:  # type: ignore[override]
        self.accesses += len(self)
        return super().__iter__()


@pytest.mark.parametrize("servers", [16, 200, 1024, 3200])
def test_change_of_one_entry_accesses_only_its_server(servers: int) -> None:
    """The cost of a list update must not grow with the number of servers."""
    router = Router(settings(router_count=servers), fleet(servers))
    server_table = router.balancer.server_table
    server_table.servers = servers_by_name = CountingDict(server_table.servers)
    for entry in (
        api.Member("c3", api.State.DRAINING),
        api.Member("c3", api.State.GONE),
        api.Member("c4", weight=2.0),
        api.Member("new"),
    ):
        servers_by_name.accesses = 0
        router.now += MILLI
        router.deliver(api.Members(api.ListKind.DELTA, [entry]))
        assert servers_by_name.accesses <= 10
    assigned = [names for _, names in server_table.ranges.assignments]
    assert all(earlier is not later for earlier, later in pairwise(assigned))  # no list is mutated
    assert [len(names) for names in assigned if names] == [servers, servers - 1, servers]


def scan_lowest_base_latency(router: Router, kind: int) -> float:
    """Returns the lowest base latency, in ns, of the listed servers of a kind, by a scan of all servers."""
    servers = router.balancer.server_table.servers.values()
    return min(
        (server.base_latency for server in servers if server.base_latency and server.member.kind == kind),
        default=0.0,
    )


@pytest.mark.parametrize("servers", [2, 16, 200])
def test_lowest_idle_latency_of_a_kind_covers_the_listed_servers(servers: int) -> None:
    """Servers are added, removed and change their kind; some have statistics of an earlier process."""
    draw = random.Random(servers)
    router = Router(members=fleet(servers))
    server_table = router.balancer.server_table
    statistics = {
        f"c{number}": api.ServerStatistics(8.0 * MILLI, draw.uniform(4, 8) * MILLI, 1.0, 1.0)
        for number in range(3)
    }
    router.deliver(api.SavedStatistics(0, statistics))
    for number in range(2000):
        router.advance(10 * MILLI)
        _, actions = router.send_request(f"k{draw.randrange(50)}")
        for send in actions:
            if isinstance(send, api.Send):
                router.finish_attempt(send, api.Status.OK, elapsed=int(draw.expovariate(0.1) * MILLI) + MILLI)
                kind = server_table.servers[send.server].member.kind
                assert server_table.kinds[kind].lowest_base_latency == scan_lowest_base_latency(router, kind)
        if number % 5 == 0:
            router.deliver(api.Members(api.ListKind.DELTA, [random_entry(draw, servers)]))
        assert all(len(kind.heap) <= 4 * servers + 128 for kind in server_table.kinds.values())


def test_answer_accesses_only_its_own_server() -> None:
    """The cost of an answer must not grow with the number of servers."""
    router = Router(members=fleet(3200))
    server_table = router.balancer.server_table
    server_table.servers = servers_by_name = CountingDict(server_table.servers)
    requests = 400
    for number in range(requests):
        _, (send,) = router.send_request(f"k{number % 7}")
        assert isinstance(send, api.Send)
        router.finish_attempt(send, api.Status.OK, elapsed=(10 + number) * MILLI)
    assert servers_by_name.accesses <= 10 * requests
