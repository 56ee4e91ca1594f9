"""Large fleets: 1,024 routers before 1,024 cache servers, in the module, among routers and on sockets."""

import asyncio
import contextlib
import json
import resource
import sys
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any
from zlib import crc32

import psutil
import pytest
from peers import PATIENCE, Cache, Caller, Web, entry, hit, http, info, router, soon
from support import MILLI, SECOND, Router, fleet, settings
from test_descriptors import caller_at, program
from test_discovery import ROOT, listing, whole_list
from virtual import play

from applehub import interface as api
from applehub.events import EventKind
from applehub.node.discovery import Directory, read_endpoint
from applehub.node.pool import Pools
from applehub.node.watch import Watch
from applehub.peers.agent import GossipAgent
from applehub.peers.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_KINDS_PER_RECORD,
    MAX_NAME_BYTES,
    DatagramBuilder,
    MessageKind,
    Peer,
    PeerState,
    decode,
)
from applehub.peers.member_table import FORGET_AFTER
from applehub.peers.membership import Membership
from applehub.peers.policy_adapter import PolicyAdapter
from applehub.peers.record_store import MAX_SUBJECTS, RecordStore
from applehub.peers.records import (
    RETENTION,
    Limit,
    Record,
    Shares,
    Verdict,
    digest,
)
from applehub.policy.keys import DEALS_KEPT, KeyRanges
from applehub.policy.servers import Server
from applehub.registry import answers as answers_module
from applehub.registry.answers import AnswerCache
from applehub.registry.descriptors import allow_callers
from applehub.registry.endpoint_list import EndpointList
from applehub.registry.watchers import Watchers
from applehub.settings import read_names

LARGE = 1024  # routers, and cache servers
MOST_CACHE_SERVERS = 3200  # of the largest fleet (STANDING.md)
TICK = 50 * MILLI
AT_ONCE = 16  # requests of one client

# The module


def large_router(servers: int = LARGE) -> Router:
    return Router(settings(balancers=LARGE), fleet(servers))


def owner_in(names: list[str], key: str) -> str:
    """The server whose equal range holds a key."""
    return names[crc32(key.encode()) * len(names) >> 32]


def cache_names(servers: int = LARGE) -> list[str]:
    return sorted(f"c{number}" for number in range(servers))


def sent_to(one: Router, key: str, elapsed: int = 10 * MILLI) -> str:
    """Asks for a key once and lets it be answered; gives the server that was sent to."""
    _, (send,) = one.ask(key)
    assert isinstance(send, api.Send)
    one.end(send, api.Status.OK, elapsed=elapsed)
    return send.server


def test_each_of_many_servers_owns_an_equal_range_and_its_requests_reach_it() -> None:
    one, names = large_router(), cache_names()
    keys = [f"k{number}" for number in range(20 * LARGE)]
    owned = Counter(owner_in(names, key) for key in keys)
    assert len(owned) == LARGE and max(owned.values()) < 3 * 20
    by_owner = {owner_in(names, key): key for key in keys}
    assert {name: sent_to(one, key) for name, key in by_owner.items()} == {name: name for name in names}


def test_of_many_servers_one_that_leaves_moves_its_own_keys_at_once_and_the_others_in_a_turn() -> None:
    one, names = large_router(), cache_names()
    keys = [f"k{number}" for number in range(3 * LARGE)]
    one.tell(api.Members(api.ListKind.DELTA, [api.Member("c500", api.State.GONE)]))
    moved = [key for key in keys if sent_to(one, key) != owner_in(names, key)]
    assert moved == [key for key in keys if owner_in(names, key) == "c500"] and moved
    one.wait(10 * SECOND)
    names.remove("c500")
    assert all(one.candidates(key)[0].member.server == owner_in(names, key) for key in keys)


def test_keys_keep_their_instants_while_a_large_list_changes_many_times_in_a_turn() -> None:
    """A rolling release: 500 lists within one turn. Who has not yet come to its instant keeps the first."""
    names = [f"s{number:04}" for number in range(LARGE)]
    ranges, begin, gap = KeyRanges(10 * SECOND), 100 * SECOND, 20 * MILLI
    lists = []
    for number in range(500):
        ranges.deal(begin + number * gap, sorted(names))
        lists.append(sorted(names))
        names[number] = f"a{number:04}"  # sorts before all others: each boundary shifts
    now = begin + 499 * gap
    assert len(ranges.deals) <= DEALS_KEPT
    waiting = taken_up = 0
    for key in (f"k{number}" for number in range(LARGE)):
        _, at, owner, _ = ranges.locate(key, now)
        if at < begin:
            waiting += 1
            assert owner == owner_in(lists[0], key)
        else:  # a list from its instant, or from a little before
            taken_up += 1
            last = (at - begin) // gap
            first = max(0, last - 2 * 500 // DEALS_KEPT)
            assert owner in {owner_in(lists[number], key) for number in range(first, last + 1)}
    assert taken_up > LARGE // 2 and waiting + taken_up == LARGE
    ranges = KeyRanges(10 * SECOND)
    for number in range(250):  # half a turn
        ranges.deal(begin + number * gap, lists[number])
    now = begin + 249 * gap
    held = [ranges.locate(f"k{number}", now)[1:3] for number in range(LARGE)]
    keeping = [(owner, f"k{number}") for number, (at, owner) in enumerate(held) if at < begin]
    assert len(keeping) > LARGE // 3
    assert all(owner == owner_in(lists[0], key) for owner, key in keeping)


class Counted(dict[str, Server]):
    """Servers by name; counts how often one is looked up, and all are looked through."""

    looked_up = looked_through = 0

    def __getitem__(self, name: str) -> Server:
        self.looked_up += 1
        return super().__getitem__(name)

    def get(self, name: str, default: Any = None) -> Any:
        self.looked_up += 1
        return super().get(name, default)

    def values(self) -> Any:
        self.looked_through += 1
        return super().values()


def test_a_decision_looks_at_few_servers_of_a_large_fleet_and_a_change_at_all_but_twice() -> None:
    costs = {}
    for size in (16, LARGE):
        one = large_router(size)
        roster = one.balancer.roster
        roster.servers = counted = Counted(roster.servers)
        for number in range(100):
            sent_to(one, f"k{number}")
        looked_up = counted.looked_up
        counted.looked_up = counted.looked_through = 0
        one.tell(api.Members(api.ListKind.DELTA, [api.Member("c3", api.State.DRAINING)]))
        costs[size] = looked_up, counted.looked_up, counted.looked_through
    assert costs[LARGE] == costs[16]
    assert costs[LARGE][0] <= 4 * 100 and costs[LARGE][2] <= 2


def test_a_key_that_is_asked_for_most_spreads_without_a_look_at_the_whole_list() -> None:
    one = large_router()
    roster = one.balancer.roster
    for server in roster.servers.values():
        server.base = server.latency = 10.0 * MILLI
    roster.servers = counted = Counted(roster.servers)
    for number in range(100):
        sent_to(one, f"k{number}")
    counted.looked_up = 0
    reached = set()
    for number in range(200):
        one.now += MILLI
        reached.add(sent_to(one, f"k{number % 10}", 30 * MILLI))  # three times the uncrowded answer time
    assert len(reached) > 10 * 3  # some owners' ranges for each key
    assert counted.looked_up < 200 * LARGE / 4


# What routers share


def member(number: int, name: str = "") -> Peer:
    return Peer(number + 1, 0, PeerState.ALIVE, number.to_bytes(4), 1, name or f"n{number}")


def agent(number: int, known: int = 0, name: str = "") -> GossipAgent:
    """An agent that knows so many others and has no changes left to gossip."""
    me = member(number, name)
    one = GossipAgent(me, "fleet", [], number + 1, TICK)
    for other in range(known):
        one.membership.merge(0, member(other, name))
    one.membership.table.updates.clear()
    return one


def long_name() -> str:
    return "r" * MAX_NAME_BYTES


def talk(now: int, agents: dict[int, GossipAgent]) -> None:
    """One tick of all, with every answer."""
    datagrams = [out for one in agents.values() for out in one.tick(now)]
    while datagrams:
        to, data = datagrams.pop(0)
        assert len(data) <= MAX_DATAGRAM_BYTES
        if isinstance(to, Peer) and to.member_id in agents:
            datagrams += agents[to.member_id].receive(now, data)


def pair(name: str = "") -> tuple[GossipAgent, GossipAgent]:
    one, other = agent(0, name=name), agent(1, name=name)
    one.membership.merge(0, other.membership.me)
    other.membership.merge(0, one.membership.me)
    return one, other


def test_of_many_routers_each_is_told_of_in_turn_however_long_the_names() -> None:
    """Of 1,024 others one datagram holds 15 at the most: none is passed over in each round."""
    one = agent(LARGE, LARGE, long_name())
    told: set[int] = set()
    for _ in range(2 * LARGE // 15):
        for _, data in one.tick(0)[-1:]:
            told |= {peer.member_id for peer in decode(data, one.fleet).peers}
    assert told >= {number + 1 for number in range(LARGE)}


def test_many_routers_that_join_at_once_are_all_told_of_before_one_is_told_twice() -> None:
    one = agent(LARGE, name=long_name())
    for number in range(LARGE):
        one.membership.merge(0, member(number, long_name()))
    told: Counter[int] = Counter()
    while sum(told.values()) < LARGE:
        for _, data in one.tick(0)[-1:]:
            member_ids = [
                peer.member_id for peer in decode(data, one.fleet).peers if peer.member_id != one.member_id
            ]
            told.update(member_ids[: LARGE - sum(told.values())])
    assert len(told) > LARGE * 9 // 10  # whom it probes it may name beside


def test_every_one_of_many_routers_is_probed_in_a_round_and_found_when_it_ends() -> None:
    one = Membership(member(LARGE), [], 1, TICK)
    for number in range(LARGE):
        one.merge(0, member(number))
    assert one.alive == LARGE + 1
    probed = set()
    for tick in range(LARGE):
        for call in one.tick(tick * TICK):
            if call.kind is MessageKind.PING:
                probed.add(call.target)
                one.handle(tick * TICK, MessageKind.ACK, call.target, call.sequence, one.me.member_id)
    assert len(probed) == LARGE and one.alive == LARGE + 1
    for tick in range(LARGE, LARGE + 400):  # now nobody answers
        one.tick(tick * TICK)
    gone = sum(peer.state is PeerState.DEAD for peer in one.table.peers.values())
    assert 200 < gone < 400 and one.alive == LARGE + 1 - gone


def test_a_router_probes_for_each_of_many_others_in_the_same_second() -> None:
    one = Membership(member(LARGE), [], 1, TICK)
    for number in range(LARGE):
        one.merge(0, member(number))
    asked = [
        one.handle(0, MessageKind.PING_REQUEST, number + 1, 7, (number + 1) % LARGE + 1)
        for number in range(LARGE)
    ]
    assert all(call.kind is MessageKind.PING for calls in asked for call in calls)
    assert sum(map(len, asked)) == LARGE
    (answer,) = one.handle(0, MessageKind.ACK, 2, asked[0][0].sequence, one.me.member_id)
    assert answer.kind is MessageKind.ACK and answer.target == 1 and answer.sequence == 7


@pytest.mark.parametrize("name", ["n1", "r" * MAX_NAME_BYTES])
def test_verdicts_of_many_servers_take_turns_until_all_are_heard(name: str) -> None:
    one, other = pair(name)
    for number in range(LARGE):
        one.publish(0, Verdict(True, 1), digest(f"c{number}"))
    for tick in range(25):  # a record may be 2 s old
        talk(tick * TICK, {one.member_id: one, other.member_id: other})
    accused = other.view(25 * TICK).accused
    assert accused.keys() == {digest(f"c{number}") for number in range(LARGE)}


def test_shares_find_room_beside_many_routers_with_long_names() -> None:
    one, other = pair(long_name())
    for number in range(2, LARGE):
        one.membership.merge(0, member(number, long_name()))  # news: all want to be told of
    shares, now = dict.fromkeys(range(MAX_KINDS_PER_RECORD), 0.5), 10 * SECOND
    one.publish(now, Shares(tuple(shares.items())))
    for seq in range(1, 4):
        probe = DatagramBuilder(one.fleet, MessageKind.PING, other.member_id, seq, one.member_id).build()
        for _, answer in one.receive(now, probe):
            other.receive(now, answer)
    assert other.view(now).shares == shares


def test_more_kinds_than_one_record_holds_take_turns() -> None:
    one, other = pair()
    adapter, ear = PolicyAdapter(one), PolicyAdapter(other)
    kinds = {f"kind-{number}": number for number in range(3 * MAX_KINDS_PER_RECORD)}
    heard: set[int] = set()
    for tick in range(240):  # shares are told each 2 s
        now = tick * TICK
        adapter.publish(now, api.Tell(0.0, 0.0, dict.fromkeys(kinds.values(), 0.5), {}, []), kinds)
        talk(now, {one.member_id: one, other.member_id: other})
        heard |= ear.fleet_event(now, [], kinds).shares.keys()
    assert heard == set(kinds.values())


def test_what_is_heard_of_many_servers_by_many_routers_is_bounded() -> None:
    store = RecordStore()
    for subject in range(MAX_SUBJECTS + 500, 0, -1):
        for writer in range(1, 4):
            store.merge(Record(writer, subject, 1, 0, Verdict(True, 1)))
    assert sorted(store.judged_servers()) == list(range(1, MAX_SUBJECTS + 1))
    assert MAX_SUBJECTS >= MOST_CACHE_SERVERS and len(store.records) == 3 * MAX_SUBJECTS
    store.expire(10 * SECOND)
    assert not store.judged_servers() and not store.records and not store.writers
    for writer in range(LARGE, 0, -1):
        store.merge(Record(writer, 0, 1, 0, Limit(5.0, 1.0)))
    assert sorted(store.writers[Limit, 0]) == list(range(1, RETENTION[Limit].max_writers + 1))


def test_what_was_told_of_long_ago_is_let_go_and_what_is_told_now_is_kept() -> None:
    one = agent(0)
    for number in range(2 * LARGE):
        one.publish(0, Verdict(True, 1), digest(f"old-{number}"))
    now = 2 * FORGET_AFTER
    for number in range(LARGE):
        one.publish(now, Verdict(True, 1), digest(f"c{number}"))
    assert one.published.keys() == {(Verdict, digest(f"c{number}")) for number in range(LARGE)}
    versions = [own.version for own in one.published.values()]
    for number in range(LARGE):
        one.publish(now + SECOND, Verdict(True, 1), digest(f"c{number}"))
    assert [own.version for own in one.published.values()] == [version + 1 for version in versions]


# The list service


def kept_list(servers: int) -> EndpointList:
    entries = EndpointList(10_000)
    for number in range(servers):
        fields = {"endpoint": "10.0.0.1:6379", "az": "a", "model": "std", "pod_group": 0}
        told = {"do": "put", "uid": f"c{number}", "fields": fields, "endpoints": {}, "lease_ms": 0}
        entries.apply(json.dumps({**told, "state": "Ready"}).encode())
    return entries


def test_a_change_is_encoded_once_for_each_of_many_views_and_memory_stays_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entries, answers = kept_list(LARGE), AnswerCache()
    before = entries.version - 1
    first = [answers.get(entries, before, f"v{number}")[0] for number in range(LARGE)]
    again = [answers.get(entries, before, f"v{number}")[0] for number in range(LARGE)]
    assert all(one is other for one, other in zip(first, again, strict=True))
    assert answers.size == sum(map(len, first))
    whole = answers.get(entries, None, "v0")[0]
    assert len(json.loads(whole)["targets"]) == LARGE
    monkeypatch.setattr(answers_module, "MAX_CACHED", 5 * len(whole))
    for number in range(20):
        answers.get(entries, None, f"v{number}")
    assert (
        answers.size == sum(len(body) for body, _, _ in answers.cached.values()) <= answers_module.MAX_CACHED
    )
    assert answers.get(entries, None, "v3")[0] == whole  # made anew


async def test_every_one_of_many_watchers_is_woken_by_one_change() -> None:
    watchers = Watchers()
    waiting = [asyncio.create_task(watchers.wait(PATIENCE)) for _ in range(2 * LARGE)]
    await asyncio.sleep(0)
    watchers.wake()
    async with asyncio.timeout(PATIENCE / 2):
        await asyncio.gather(*waiting)
    assert not watchers.waiting


@contextlib.asynccontextmanager
async def list_service(tmp_path: Path, limits: str) -> AsyncIterator[tuple[str, int]]:
    """A replica that is started with few descriptors (`ulimit` with these words); gives its address."""
    file = tmp_path / "replica.toml"
    file.write_text(f'name = "a"\nstate_dir = "{tmp_path / "a"}"\n')
    command = f'ulimit {limits} && exec "{sys.executable}" -m applehub.registry "{file}"'
    running = await asyncio.create_subprocess_shell(
        command, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    assert running.stdout is not None and running.stderr is not None
    try:
        async with asyncio.timeout(PATIENCE):
            while (told := json.loads(await running.stdout.readline())).get("event") != EventKind.READY:
                pass
        host, _, port = told["address"].rpartition(":")
        yield host, int(port)
    finally:
        running.terminate()
        await asyncio.wait_for(running.communicate(), PATIENCE)


async def test_a_list_service_started_with_few_descriptors_takes_more_callers(tmp_path: Path) -> None:
    async with list_service(tmp_path, "-S -n 128") as address:
        callers = [await asyncio.open_connection(*address) for _ in range(400)]
        for _, writer in callers:
            writer.write(b"GET /api/targets?from=0&hold_ms=x HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(PATIENCE):
            answers = [await reader.readline() for reader, _ in callers]
        assert set(answers) == {b"HTTP/1.1 400 Bad Request\r\n"}
        for _, writer in callers:
            writer.transport.abort()


@pytest.mark.parametrize(
    ("soft", "hard", "granted", "warned"),
    [(1024, 4096, 1564, False), (1024, 1200, 1200, True), (2000, 4096, None, False), (-1, -1, None, False)],
)
def test_the_limit_on_descriptors_is_raised_as_far_as_the_system_lets(
    soft: int,
    hard: int,
    granted: int | None,
    warned: bool,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    given: list[tuple[int, int]] = []
    monkeypatch.setattr(resource, "getrlimit", lambda of: (soft, hard))
    monkeypatch.setattr(resource, "setrlimit", lambda of, limits: given.append(limits))
    allow_callers(1500)
    assert given == ([(granted, hard)] if granted else [])
    assert ("limits.callers" in caplog.text) is warned


# On sockets


async def ask_for(caller: Caller, keys: list[bytes]) -> None:
    """Asks for some keys at once; each is answered with its value."""
    for key in keys:
        caller.get(key, b"i-" + key)
    for _ in keys:
        assert await caller.answer() == b"v"


def many_entries(cache: Cache, origin: Web) -> list[dict[str, Any]]:
    listed = [entry(f"c{number}", cache.address) for number in range(LARGE)]
    return [*listed, entry("o", origin.address, model="origin")]


def test_each_of_many_servers_is_reached_within_the_places_for_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On the tests' clock: to a machine that is held up, a server seems slow, and its key goes to another."""
    places, names = 200, cache_names()
    by_owner = {owner_in(names, f"k{number}"): f"k{number}" for number in range(20 * LARGE)}
    keys = [key.encode() for key in by_owner.values()]

    async def test() -> None:
        async with router(entries=many_entries, sockets=places) as bench:
            caller = await bench.caller()
            most = 0
            for begin in range(0, LARGE, AT_ONCE):
                await ask_for(caller, keys[begin : begin + AT_ONCE])
                most = max(most, sum(len(pool.all) for pool in bench.pools.pools.values()))
            assert most == places  # all are in use, and not one more
            assert len(bench.cache.lines) == LARGE == len(bench.directory.targets) - 1
            assert {asked[1] for asked in bench.cache.got} == set(keys)

    play(monkeypatch, test)


def large_directory() -> tuple[Directory, list[api.Members]]:
    told: list[api.Members] = []
    return Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), told.append), told


async def test_a_change_of_a_large_list_touches_only_what_it_names() -> None:
    directory, told = large_directory()
    listed = [entry(f"c{number}", f"127.0.0.1:{number + 1}") for number in range(LARGE)]
    directory.take(listing(1, *listed))
    before = dict(directory.pools.pools)
    changes = [entry("c7", "127.0.0.1:8", state="Gone"), entry("new", "127.0.0.1:9")]
    directory.take(listing(2, *changes, whole=False))
    assert [len(event.entries) for event in told] == [LARGE, 2]
    assert directory.size == LARGE and "c7" not in directory.pools.pools
    kept = {name: pool for name, pool in directory.pools.pools.items() if name != "new"}
    del before["c7"]
    assert kept == before  # the same pools
    directory.take(listing(3, *listed))
    assert directory.targets.keys() == {f"c{number}" for number in range(LARGE)}


async def test_a_watch_hears_a_large_list_and_a_change_of_it() -> None:
    listed = [entry(f"c{number}", f"127.0.0.1:{number + 1}") for number in range(LARGE)]
    change = whole_list(2, entry("c7", "127.0.0.1:8", state="Gone"), whole=False)
    script = [http(200, json.dumps(listing(1, *listed), indent=8).encode()), change]
    web = Web(lambda asked, line: script.pop(0) if script else None)
    await web.start()
    directory, told = large_directory()
    watch = Watch([read_endpoint(web.address)], directory, 1, False)
    watch.start()
    await soon(lambda: directory.rev == 2)
    watch.stop()
    assert directory.size == LARGE - 1 and [len(event.entries) for event in told] == [LARGE, 1]
    assert b"from=1" in web.got[1][1]
    await web.stop()


async def test_a_process_before_many_servers_keeps_to_its_descriptors(tmp_path: Path) -> None:
    sockets, asked = 128, 400
    cache = Cache(lambda asked, line: hit())
    await cache.start()
    known = listing(3, *(entry(f"c{number}", cache.address) for number in range(LARGE)))
    changes = {"known": known, "limits": {"sockets": sockets}, "settings": {**info(), "balancers": LARGE}}
    async with program(tmp_path, sockets, **changes) as (running, at, lines):
        caller = await caller_at(at["listening on"])
        process, most = psutil.Process(running.pid), 0
        for begin in range(0, asked, AT_ONCE):
            await ask_for(caller, [b"k%d" % number for number in range(begin, begin + AT_ONCE)])
            most = max(most, process.num_fds())
        caller.writer.transport.abort()
        assert sockets / 3 < most <= sockets
        assert not [line for line in lines if "Too many open files" in line]
    assert len(cache.lines) > sockets
    await cache.stop()
