"""Cache servers dealt to keys: changes are taken up one by one, as if all were dealt anew."""

import random
from itertools import pairwise

import pytest
from support import MILLI, ORIGIN_KIND, SECOND, Router, fleet, settings

from applehub import interface as api
from applehub.policy.keys import KeyRanges
from applehub.policy.roster import Roster
from applehub.policy.servers import Server


class DealtAnew:
    """What the whole list gives, looked through at each event."""

    def __init__(self) -> None:
        self.ranges = KeyRanges(10 * SECOND)

    def look(self, now: int, roster: Roster) -> None:
        told = roster.turn.settings
        origin = told.origin_kind if told.aside else -1
        ready = [one for one in roster.servers.values() if one.member.state is api.State.READY]
        caches = [one for one in ready if one.member.kind != origin]
        self.ranges.deal(now, sorted(one.member.server for one in caches))
        mean = sum(one.member.weight for one in caches) / max(1, len(caches))
        for one in caches:
            assert roster.size(one) == pytest.approx(one.member.weight / mean if mean else 1.0, rel=1e-12)
        assert roster.origin is next((one for one in ready if one.member.kind == origin), None)
        assert roster.ranges.deals == self.ranges.deals
        for number in range(20):
            found, wanted = roster.ranges.locate(f"k{number}", now), self.ranges.locate(f"k{number}", now)
            assert found[:3] == wanted[:3] and list(found[3]) == list(wanted[3])


def drawn_entry(draw: random.Random, servers: int) -> api.Member:
    """An entry for one of the servers; some are the origin's, now or for good."""
    number = draw.randrange(servers + 2)
    kind = ORIGIN_KIND if number >= servers or draw.random() < 0.05 else draw.randrange(3)
    state = draw.choice((api.State.READY, api.State.READY, api.State.DRAINING, api.State.GONE))
    return api.Member(f"c{number}", state, kind, weight=draw.choice((0.0, 0.5, 0.7, 1.0, 1.0, 3.0)))


def drawn_event(draw: random.Random, servers: int) -> api.Members | api.ByHand:
    """A change of some entries, mostly of few; now and then a whole list, or a call by hand."""
    chance = draw.random()
    if chance < 0.1:
        return api.ByHand(f"c{draw.randrange(servers)}", draw.random() < 0.5, 0)
    if chance < 0.15:
        entries = [drawn_entry(draw, servers) for _ in range(servers)]
        return api.Members(draw.choice((api.ListKind.FULL, api.ListKind.CACHED)), entries)
    most = servers if chance < 0.25 else 3
    return api.Members(
        api.ListKind.DELTA, [drawn_entry(draw, servers) for _ in range(draw.randrange(most + 1))]
    )


@pytest.mark.parametrize("servers", [1, 2, 5, 16, 60, 200])
@pytest.mark.parametrize("seed", range(3))
def test_changes_give_the_same_keys_to_the_same_servers_as_the_whole_list(servers: int, seed: int) -> None:
    draw = random.Random(f"{servers} {seed}")
    router, anew = Router(members=fleet(servers)), DealtAnew()
    anew.look(router.now, router.balancer.roster)
    for _ in range(200):
        router.wait(draw.randrange(SECOND))
        event = drawn_event(draw, servers)
        router.tell(event)
        if isinstance(event, api.Members) or event.server in router.balancer.roster.servers:
            anew.look(router.now, router.balancer.roster)
        if draw.random() < 0.1:
            router.tell(api.Retuned(settings(aside=draw.random() < 0.7)))
            anew.look(router.now, router.balancer.roster)


class Counted(dict[str, Server]):
    """Servers by name; counts how many are looked at."""

    seen = 0

    def __getitem__(self, name: str) -> Server:
        self.seen += 1
        return super().__getitem__(name)

    def get(self, name: str, default: object = None) -> object:  # type: ignore[override]
        self.seen += 1
        return super().get(name, default)

    def values(self) -> object:  # type: ignore[override]
        self.seen += len(self)
        return super().values()

    def __iter__(self) -> object:  # type: ignore[override]
        self.seen += len(self)
        return super().__iter__()


@pytest.mark.parametrize("servers", [16, 200, 1024, 3200])
def test_a_change_of_one_entry_looks_at_no_server_but_its_own(servers: int) -> None:
    """At 3,200 servers one delta cost 2.5 ms, which six in ten replaced pay 1,920 times."""
    router = Router(settings(balancers=servers), fleet(servers))
    roster = router.balancer.roster
    roster.servers = counted = Counted(roster.servers)
    for entry in (
        api.Member("c3", api.State.DRAINING),
        api.Member("c3", api.State.GONE),
        api.Member("c4", weight=2.0),
        api.Member("new"),
    ):
        counted.seen = 0
        router.now += MILLI
        router.tell(api.Members(api.ListKind.DELTA, [entry]))
        assert counted.seen <= 10
    lists = [names for _, names in roster.ranges.deals]
    assert all(one is not other for one, other in pairwise(lists))  # none that was dealt is changed
    assert [len(names) for names in lists if names] == [servers, servers - 1, servers]


def least_of(router: Router, kind: int) -> float:
    """The least answer time when uncrowded of the listed servers of a kind, all looked through."""
    servers = router.balancer.roster.servers.values()
    return min((one.base for one in servers if one.base and one.member.kind == kind), default=0.0)


@pytest.mark.parametrize("servers", [2, 16, 200])
def test_the_least_answer_time_of_a_kind_is_that_of_the_servers_listed_now(servers: int) -> None:
    """Servers come and go, change their kind, and are known from a process that ran before."""
    draw = random.Random(servers)
    router = Router(members=fleet(servers))
    roster = router.balancer.roster
    seen = {f"c{number}": api.Seen(8.0 * MILLI, draw.uniform(4, 8) * MILLI, 1.0, 1.0) for number in range(3)}
    router.tell(api.Learnt(0, seen))
    for number in range(2000):
        router.wait(10 * MILLI)
        _, actions = router.ask(f"k{draw.randrange(50)}")
        for send in actions:
            if isinstance(send, api.Send):
                router.end(send, api.Status.OK, elapsed=int(draw.expovariate(0.1) * MILLI) + MILLI)
                kind = roster.servers[send.server].member.kind
                assert roster.kinds[kind].uncrowded == least_of(router, kind)
        if number % 5 == 0:
            router.tell(api.Members(api.ListKind.DELTA, [drawn_entry(draw, servers)]))
        assert all(len(kind.heap) <= 4 * servers + 128 for kind in roster.kinds.values())


def test_an_answer_looks_at_no_server_but_its_own() -> None:
    """At 3,200 servers a third of a request's processor time went into the least answer time of a kind."""
    router = Router(members=fleet(3200))
    roster = router.balancer.roster
    roster.servers = counted = Counted(roster.servers)
    asked = 400
    for number in range(asked):
        _, (send,) = router.ask(f"k{number % 7}")
        assert isinstance(send, api.Send)
        router.end(send, api.Status.OK, elapsed=(10 + number) * MILLI)
    assert counted.seen <= 10 * asked
