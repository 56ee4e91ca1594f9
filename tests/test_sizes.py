"""Large fleets, 1,024 routers and 1,024 cache servers: policy, gossip, list service and sockets."""

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
from router_bench import WAIT_TIMEOUT, Cache, Caller, Web, entry, hit, http, info, router, wait_until
from support import MILLI, SECOND, Router, fleet, settings
from test_descriptors import connect_client, running_program
from test_discovery import ROOT, http_list, listing
from virtual_time import run_in_virtual_time

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
from applehub.peers.member_table import ABSENT_MEMBER_RETENTION
from applehub.peers.membership import Membership
from applehub.peers.policy_adapter import PolicyAdapter
from applehub.peers.record_store import MAX_VERDICT_SUBJECTS, RecordStore
from applehub.peers.records import (
    RETENTION,
    Limit,
    Record,
    Shares,
    Verdict,
    digest,
)
from applehub.policy.keys import MAX_ASSIGNMENTS, KeyRanges
from applehub.policy.servers import Server
from applehub.registry import answers as answers_module
from applehub.registry.answers import AnswerCache
from applehub.registry.descriptors import raise_descriptor_limit
from applehub.registry.endpoint_list import EndpointList
from applehub.registry.watchers import Watchers
from applehub.settings import read_names

FLEET_SIZE = 1024  # number of routers, and of cache servers
MAX_CACHE_SERVERS = 3200  # size of the largest fleet
TICK = 50 * MILLI
CONCURRENT_REQUESTS = 16

# Policy


def router_of_large_fleet(servers: int = FLEET_SIZE) -> Router:
    return Router(settings(router_count=FLEET_SIZE), fleet(servers))


def range_owner(names: list[str], key: str) -> str:
    """Returns the server that owns a key if all ranges are equal."""
    return names[crc32(key.encode()) * len(names) >> 32]


def cache_names(servers: int = FLEET_SIZE) -> list[str]:
    return sorted(f"c{number}" for number in range(servers))


def serve_request(router_under_test: Router, key: str, elapsed: int = 10 * MILLI) -> str:
    """Sends and answers one request for a key; returns the server that served it."""
    _, (send,) = router_under_test.send_request(key)
    assert isinstance(send, api.Send)
    router_under_test.finish_attempt(send, api.Status.OK, elapsed=elapsed)
    return send.server


def test_each_of_many_servers_owns_and_serves_an_equal_range() -> None:
    router_under_test, names = router_of_large_fleet(), cache_names()
    keys = [f"k{number}" for number in range(20 * FLEET_SIZE)]
    owned = Counter(range_owner(names, key) for key in keys)
    assert len(owned) == FLEET_SIZE and max(owned.values()) < 3 * 20
    by_owner = {range_owner(names, key): key for key in keys}
    assert {name: serve_request(router_under_test, key) for name, key in by_owner.items()} == {
        name: name for name in names
    }


def test_removed_server_moves_its_own_keys_at_once_and_other_keys_gradually() -> None:
    router_under_test, names = router_of_large_fleet(), cache_names()
    keys = [f"k{number}" for number in range(3 * FLEET_SIZE)]
    router_under_test.deliver(api.Members(api.ListKind.DELTA, [api.Member("c500", api.State.GONE)]))
    moved = [key for key in keys if serve_request(router_under_test, key) != range_owner(names, key)]
    assert moved == [key for key in keys if range_owner(names, key) == "c500"] and moved
    router_under_test.advance(10 * SECOND)
    names.remove("c500")
    assert all(router_under_test.candidates(key)[0].member.server == range_owner(names, key) for key in keys)


def test_keys_keep_their_migration_times_while_a_large_list_keeps_changing() -> None:
    """In a rolling release, a key keeps its first owner until its migration time."""
    names = [f"s{number:04}" for number in range(FLEET_SIZE)]
    ranges, started_at, update_interval = KeyRanges(10 * SECOND), 100 * SECOND, 20 * MILLI
    lists = []
    for number in range(500):
        ranges.assign(started_at + number * update_interval, sorted(names))
        lists.append(sorted(names))
        names[number] = f"a{number:04}"  # sorts before all others, so that every range boundary shifts
    now = started_at + 499 * update_interval
    assert len(ranges.assignments) <= MAX_ASSIGNMENTS
    keys_waiting = keys_moved = 0
    for key in (f"k{number}" for number in range(FLEET_SIZE)):
        _, migrates_at, owner, _ = ranges.locate(key, now)
        if migrates_at < started_at:
            keys_waiting += 1
            assert owner == range_owner(lists[0], key)
        else:  # the owner is that of a list from about the key's migration time
            keys_moved += 1
            last_update = (migrates_at - started_at) // update_interval
            first_update = max(0, last_update - 2 * 500 // MAX_ASSIGNMENTS)
            assert owner in {
                range_owner(lists[number], key) for number in range(first_update, last_update + 1)
            }
    assert keys_moved > FLEET_SIZE // 2 and keys_waiting + keys_moved == FLEET_SIZE
    ranges = KeyRanges(10 * SECOND)
    for number in range(250):  # these updates take half of the migration period
        ranges.assign(started_at + number * update_interval, lists[number])
    now = started_at + 249 * update_interval
    locations = [ranges.locate(f"k{number}", now)[1:3] for number in range(FLEET_SIZE)]
    unmoved_keys = [
        (owner, f"k{number}")
        for number, (migrates_at, owner) in enumerate(locations)
        if migrates_at < started_at
    ]
    assert len(unmoved_keys) > FLEET_SIZE // 3
    assert all(owner == range_owner(lists[0], key) for owner, key in unmoved_keys)


class CountingServers(dict[str, Server]):
    """Servers by name; counts lookups of one server and scans of all."""

    lookups = scans = 0

    def __getitem__(self, name: str) -> Server:
        self.lookups += 1
        return super().__getitem__(name)

    def get(self, name: str, default: Any = None) -> Any:
        self.lookups += 1
        return super().get(name, default)

    def values(self) -> Any:
        self.scans += 1
        return super().values()


def test_request_reads_few_servers_and_a_list_update_scans_them_at_most_twice() -> None:
    lookups_by_size = {}
    for size in (16, FLEET_SIZE):
        router_under_test = router_of_large_fleet(size)
        server_table = router_under_test.balancer.server_table
        server_table.servers = counting_servers = CountingServers(server_table.servers)
        for number in range(100):
            serve_request(router_under_test, f"k{number}")
        lookups = counting_servers.lookups
        counting_servers.lookups = counting_servers.scans = 0
        router_under_test.deliver(api.Members(api.ListKind.DELTA, [api.Member("c3", api.State.DRAINING)]))
        lookups_by_size[size] = lookups, counting_servers.lookups, counting_servers.scans
    assert lookups_by_size[FLEET_SIZE] == lookups_by_size[16]
    assert lookups_by_size[FLEET_SIZE][0] <= 4 * 100 and lookups_by_size[FLEET_SIZE][2] <= 2


def test_hot_keys_spread_without_reading_the_complete_list() -> None:
    router_under_test = router_of_large_fleet()
    server_table = router_under_test.balancer.server_table
    for server in server_table.servers.values():
        server.base_latency = server.latency = 10.0 * MILLI
    server_table.servers = counting_servers = CountingServers(server_table.servers)
    for number in range(100):
        serve_request(router_under_test, f"k{number}")
    counting_servers.lookups = 0
    serving_servers = set()
    for number in range(200):
        router_under_test.now += MILLI
        # The response time is three times that without overload.
        serving_servers.add(serve_request(router_under_test, f"k{number % 10}", 30 * MILLI))
    assert len(serving_servers) > 10 * 3  # several servers serve each key
    assert counting_servers.lookups < 200 * FLEET_SIZE / 4


# Gossip


def member(number: int, name: str = "") -> Peer:
    return Peer(number + 1, 0, PeerState.ALIVE, number.to_bytes(4), 1, name or f"n{number}")


def agent(number: int, known: int = 0, name: str = "") -> GossipAgent:
    """Returns an agent that knows `known` other members and has no changes left to gossip."""
    local_peer = member(number, name)
    new_agent = GossipAgent(local_peer, "fleet", [], number + 1, TICK)
    for other in range(known):
        new_agent.membership.merge(0, member(other, name))
    new_agent.membership.table.update_send_counts.clear()
    return new_agent


def long_name() -> str:
    return "r" * MAX_NAME_BYTES


def run_tick(now: int, agents: dict[int, GossipAgent]) -> None:
    """Runs one tick of all agents and delivers every datagram."""
    datagrams = [datagram for sender in agents.values() for datagram in sender.tick(now)]
    while datagrams:
        target, data = datagrams.pop(0)
        assert len(data) <= MAX_DATAGRAM_BYTES
        if isinstance(target, Peer) and target.member_id in agents:
            datagrams += agents[target.member_id].receive(now, data)


def agent_pair(name: str = "") -> tuple[GossipAgent, GossipAgent]:
    first, second = agent(0, name=name), agent(1, name=name)
    first.membership.merge(0, second.membership.local_peer)
    second.membership.merge(0, first.membership.local_peer)
    return first, second


def test_all_of_many_routers_are_announced_in_turn_even_with_long_names() -> None:
    """One datagram holds at most 15 members, so that each member has to be announced in turn."""
    sender = agent(FLEET_SIZE, FLEET_SIZE, long_name())
    announced: set[int] = set()
    for _ in range(2 * FLEET_SIZE // 15):
        for _, data in sender.tick(0)[-1:]:
            announced |= {peer.member_id for peer in decode(data, sender.fleet_id).peers}
    assert announced >= {number + 1 for number in range(FLEET_SIZE)}


def test_many_joining_routers_are_all_announced_before_one_is_repeated() -> None:
    sender = agent(FLEET_SIZE, name=long_name())
    for number in range(FLEET_SIZE):
        sender.membership.merge(0, member(number, long_name()))
    announced: Counter[int] = Counter()
    while sum(announced.values()) < FLEET_SIZE:
        for _, data in sender.tick(0)[-1:]:
            member_ids = [
                peer.member_id
                for peer in decode(data, sender.fleet_id).peers
                if peer.member_id != sender.member_id
            ]
            announced.update(member_ids[: FLEET_SIZE - sum(announced.values())])
    assert len(announced) > FLEET_SIZE * 9 // 10  # a probed member may be repeated


def test_each_of_many_routers_is_probed_once_a_round_and_declared_dead_without_answers() -> None:
    membership = Membership(member(FLEET_SIZE), [], 1, TICK)
    for number in range(FLEET_SIZE):
        membership.merge(0, member(number))
    assert membership.member_count == FLEET_SIZE + 1
    probed = set()
    for tick in range(FLEET_SIZE):
        for call in membership.tick(tick * TICK):
            if call.kind is MessageKind.PING:
                probed.add(call.target)
                membership.handle(
                    tick * TICK, MessageKind.ACK, call.target, call.sequence, membership.local_peer.member_id
                )
    assert len(probed) == FLEET_SIZE and membership.member_count == FLEET_SIZE + 1
    for tick in range(FLEET_SIZE, FLEET_SIZE + 400):  # no probe is answered
        membership.tick(tick * TICK)
    dead_count = sum(peer.state is PeerState.DEAD for peer in membership.table.peers.values())
    assert 200 < dead_count < 400 and membership.member_count == FLEET_SIZE + 1 - dead_count


def test_router_probes_on_behalf_of_many_others_at_once() -> None:
    membership = Membership(member(FLEET_SIZE), [], 1, TICK)
    for number in range(FLEET_SIZE):
        membership.merge(0, member(number))
    probes = [
        membership.handle(0, MessageKind.PING_REQUEST, number + 1, 7, (number + 1) % FLEET_SIZE + 1)
        for number in range(FLEET_SIZE)
    ]
    assert all(message.kind is MessageKind.PING for messages in probes for message in messages)
    assert sum(map(len, probes)) == FLEET_SIZE
    (answer,) = membership.handle(
        0, MessageKind.ACK, 2, probes[0][0].sequence, membership.local_peer.member_id
    )
    assert answer.kind is MessageKind.ACK and answer.target == 1 and answer.sequence == 7


@pytest.mark.parametrize("name", ["n1", "r" * MAX_NAME_BYTES])
def test_verdicts_on_many_servers_are_sent_in_turn_until_all_are_received(name: str) -> None:
    sender, receiver = agent_pair(name)
    for number in range(FLEET_SIZE):
        sender.publish(0, Verdict(True, 1), digest(f"c{number}"))
    for tick in range(25):  # 1.25 s, less than the maximum age of a record
        run_tick(tick * TICK, {sender.member_id: sender, receiver.member_id: receiver})
    accused = receiver.view(25 * TICK).failure_reports
    assert accused.keys() == {digest(f"c{number}") for number in range(FLEET_SIZE)}


def test_shares_are_sent_despite_many_membership_updates_with_long_names() -> None:
    sender, receiver = agent_pair(long_name())
    for number in range(2, FLEET_SIZE):
        sender.membership.merge(0, member(number, long_name()))  # queues a membership update
    shares, now = dict.fromkeys(range(MAX_KINDS_PER_RECORD), 0.5), 10 * SECOND
    sender.publish(now, Shares(tuple(shares.items())))
    for seq in range(1, 4):
        probe = DatagramBuilder(
            sender.fleet_id, MessageKind.PING, receiver.member_id, seq, sender.member_id
        ).build()
        for _, answer in sender.receive(now, probe):
            receiver.receive(now, answer)
    assert receiver.view(now).range_fractions == shares


def test_kinds_beyond_one_record_are_sent_in_turn() -> None:
    sender, receiving_agent = agent_pair()
    adapter, receiver = PolicyAdapter(sender), PolicyAdapter(receiving_agent)
    kinds = {f"kind-{number}": number for number in range(3 * MAX_KINDS_PER_RECORD)}
    received_kinds: set[int] = set()
    for tick in range(240):  # 12 s; shares are published every 2 s
        now = tick * TICK
        adapter.publish(now, api.PublishGossip(0.0, 0.0, dict.fromkeys(kinds.values(), 0.5), {}, []), kinds)
        run_tick(now, {sender.member_id: sender, receiving_agent.member_id: receiving_agent})
        received_kinds |= receiver.gossip_summary(now, [], kinds).range_fractions.keys()
    assert received_kinds == set(kinds.values())


def test_records_on_many_servers_by_many_routers_are_bounded() -> None:
    store = RecordStore()
    for subject in range(MAX_VERDICT_SUBJECTS + 500, 0, -1):
        for writer in range(1, 4):
            store.merge(Record(writer, subject, 1, 0, Verdict(True, 1)))
    assert sorted(store.list_verdict_subjects()) == list(range(1, MAX_VERDICT_SUBJECTS + 1))
    assert MAX_VERDICT_SUBJECTS >= MAX_CACHE_SERVERS and len(store.records) == 3 * MAX_VERDICT_SUBJECTS
    store.expire(10 * SECOND)
    assert not store.list_verdict_subjects() and not store.records and not store.writers
    for writer in range(FLEET_SIZE, 0, -1):
        store.merge(Record(writer, 0, 1, 0, Limit(5.0, 1.0)))
    assert sorted(store.writers[Limit, 0]) == list(range(1, RETENTION[Limit].max_writers + 1))


def test_old_published_records_are_dropped_and_current_ones_stay() -> None:
    sender = agent(0)
    for number in range(2 * FLEET_SIZE):
        sender.publish(0, Verdict(True, 1), digest(f"old-{number}"))
    now = 2 * ABSENT_MEMBER_RETENTION
    for number in range(FLEET_SIZE):
        sender.publish(now, Verdict(True, 1), digest(f"c{number}"))
    assert sender.published.keys() == {(Verdict, digest(f"c{number}")) for number in range(FLEET_SIZE)}
    versions = [published_record.version for published_record in sender.published.values()]
    for number in range(FLEET_SIZE):
        sender.publish(now + SECOND, Verdict(True, 1), digest(f"c{number}"))
    assert [published_record.version for published_record in sender.published.values()] == [
        version + 1 for version in versions
    ]


# The list service


def build_endpoint_list(servers: int) -> EndpointList:
    entries = EndpointList(10_000)
    for number in range(servers):
        fields = {"endpoint": "10.0.0.1:6379", "az": "a", "model": "std", "pod_group": 0}
        command = {"do": "put", "uid": f"c{number}", "fields": fields, "endpoints": {}, "lease_ms": 0}
        entries.apply(json.dumps({**command, "state": "Ready"}).encode())
    return entries


def test_change_is_encoded_once_per_view_and_cache_size_stays_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entries, answers = build_endpoint_list(FLEET_SIZE), AnswerCache()
    old_version = entries.version - 1
    first_bodies = [answers.get(entries, old_version, f"v{number}")[0] for number in range(FLEET_SIZE)]
    second_bodies = [answers.get(entries, old_version, f"v{number}")[0] for number in range(FLEET_SIZE)]
    assert all(
        first_body is second_body for first_body, second_body in zip(first_bodies, second_bodies, strict=True)
    )
    assert answers.size == sum(map(len, first_bodies))
    complete_list = answers.get(entries, None, "v0")[0]
    assert len(json.loads(complete_list)["targets"]) == FLEET_SIZE
    monkeypatch.setattr(answers_module, "MAX_CACHED", 5 * len(complete_list))
    for number in range(20):
        answers.get(entries, None, f"v{number}")
    assert (
        answers.size == sum(len(body) for body, _, _ in answers.cached.values()) <= answers_module.MAX_CACHED
    )
    assert answers.get(entries, None, "v3")[0] == complete_list  # evicted from the cache, so encoded again


async def test_one_change_wakes_all_watchers() -> None:
    watchers = Watchers()
    wait_tasks = [asyncio.create_task(watchers.wait(WAIT_TIMEOUT)) for _ in range(2 * FLEET_SIZE)]
    await asyncio.sleep(0)
    watchers.wake()
    async with asyncio.timeout(WAIT_TIMEOUT / 2):
        await asyncio.gather(*wait_tasks)
    assert not watchers.waiting


@contextlib.asynccontextmanager
async def start_list_service(tmp_path: Path, limits: str) -> AsyncIterator[tuple[str, int]]:
    """Starts a list service under `ulimit` with the arguments `limits`; yields its address."""
    file = tmp_path / "replica.toml"
    file.write_text(f'name = "a"\nstate_dir = "{tmp_path / "a"}"\n')
    command = f'ulimit {limits} && exec "{sys.executable}" -m applehub.registry "{file}"'
    running = await asyncio.create_subprocess_shell(
        command, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    assert running.stdout is not None and running.stderr is not None
    try:
        async with asyncio.timeout(WAIT_TIMEOUT):
            while (event := json.loads(await running.stdout.readline())).get("event") != EventKind.READY:
                pass
        host, _, port = event["address"].rpartition(":")
        yield host, int(port)
    finally:
        running.terminate()
        await asyncio.wait_for(running.communicate(), WAIT_TIMEOUT)


async def test_list_service_started_with_few_descriptors_accepts_more_clients(tmp_path: Path) -> None:
    async with start_list_service(tmp_path, "-S -n 128") as address:
        callers = [await asyncio.open_connection(*address) for _ in range(400)]
        for _, writer in callers:
            writer.write(b"GET /api/targets?from=0&hold_ms=x HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(WAIT_TIMEOUT):
            answers = [await reader.readline() for reader, _ in callers]
        assert set(answers) == {b"HTTP/1.1 400 Bad Request\r\n"}
        for _, writer in callers:
            writer.transport.abort()


@pytest.mark.parametrize(
    ("soft", "hard", "granted", "warned"),
    [(1024, 4096, 1564, False), (1024, 1200, 1200, True), (2000, 4096, None, False), (-1, -1, None, False)],
)
def test_descriptor_limit_is_raised_up_to_the_hard_limit(
    soft: int,
    hard: int,
    granted: int | None,
    warned: bool,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    applied_limits: list[tuple[int, int]] = []
    monkeypatch.setattr(resource, "getrlimit", lambda limit_type: (soft, hard))
    monkeypatch.setattr(resource, "setrlimit", lambda limit_type, limits: applied_limits.append(limits))
    raise_descriptor_limit(1500)
    assert applied_limits == ([(granted, hard)] if granted else [])
    assert ("limits.callers" in caplog.text) is warned


# Sockets


async def request_keys(caller: Caller, keys: list[bytes]) -> None:
    """Requests several keys at once and checks each answer."""
    for key in keys:
        caller.get(key, b"i-" + key)
    for _ in keys:
        assert await caller.answer() == b"v"


def many_entries(cache: Cache, origin: Web) -> list[dict[str, Any]]:
    listed = [entry(f"c{number}", cache.address) for number in range(FLEET_SIZE)]
    return [*listed, entry("o", origin.address, model="origin")]


def test_all_of_many_servers_are_reached_within_the_connection_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Runs on a virtual clock, since on a busy machine slow answers would redirect keys to other servers."""
    max_connections, names = 200, cache_names()
    by_owner = {range_owner(names, f"k{number}"): f"k{number}" for number in range(20 * FLEET_SIZE)}
    keys = [key.encode() for key in by_owner.values()]

    async def test() -> None:
        async with router(entries=many_entries, sockets=max_connections) as bench:
            caller = await bench.caller()
            max_open_connections = 0
            for start in range(0, FLEET_SIZE, CONCURRENT_REQUESTS):
                await request_keys(caller, keys[start : start + CONCURRENT_REQUESTS])
                max_open_connections = max(
                    max_open_connections, sum(len(pool.connections) for pool in bench.pools.pools.values())
                )
            assert max_open_connections == max_connections  # the limit is reached and not exceeded
            assert len(bench.cache.writers) == FLEET_SIZE == len(bench.directory.targets) - 1
            assert {command[1] for command in bench.cache.received} == set(keys)

    run_in_virtual_time(monkeypatch, test)


def create_directory() -> tuple[Directory, list[api.Members]]:
    events: list[api.Members] = []
    return Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), events.append), events


async def test_update_of_a_large_list_changes_only_the_listed_entries() -> None:
    directory, events = create_directory()
    listed = [entry(f"c{number}", f"127.0.0.1:{number + 1}") for number in range(FLEET_SIZE)]
    directory.apply(listing(1, *listed))
    pools_before = dict(directory.pools.pools)
    changes = [entry("c7", "127.0.0.1:8", state="Gone"), entry("new", "127.0.0.1:9")]
    directory.apply(listing(2, *changes, full_list=False))
    assert [len(event.entries) for event in events] == [FLEET_SIZE, 2]
    assert directory.cache_count == FLEET_SIZE and "c7" not in directory.pools.pools
    unchanged = {name: pool for name, pool in directory.pools.pools.items() if name != "new"}
    del pools_before["c7"]
    assert unchanged == pools_before  # the pool objects are the same
    directory.apply(listing(3, *listed))
    assert directory.targets.keys() == {f"c{number}" for number in range(FLEET_SIZE)}


async def test_watch_receives_a_large_list_and_an_update() -> None:
    listed = [entry(f"c{number}", f"127.0.0.1:{number + 1}") for number in range(FLEET_SIZE)]
    change = http_list(2, entry("c7", "127.0.0.1:8", state="Gone"), full_list=False)
    script = [http(200, json.dumps(listing(1, *listed), indent=8).encode()), change]
    web = Web(lambda command, writer: script.pop(0) if script else None)
    await web.start()
    directory, events = create_directory()
    watch = Watch([read_endpoint(web.address)], directory, 1, False)
    watch.start()
    await wait_until(lambda: directory.rev == 2)
    watch.stop()
    assert directory.cache_count == FLEET_SIZE - 1 and [len(event.entries) for event in events] == [
        FLEET_SIZE,
        1,
    ]
    assert b"from=1" in web.received[1][1]
    await web.stop()


async def test_process_with_many_servers_stays_within_its_descriptor_limit(tmp_path: Path) -> None:
    sockets, requests = 128, 400
    cache = Cache(lambda command, writer: hit())
    await cache.start()
    known = listing(3, *(entry(f"c{number}", cache.address) for number in range(FLEET_SIZE)))
    changes = {
        "known": known,
        "limits": {"sockets": sockets},
        "settings": {**info(), "balancers": FLEET_SIZE},
    }
    async with running_program(tmp_path, sockets, **changes) as (running, addresses, lines):
        caller = await connect_client(addresses["INFO listening on"])
        process, max_descriptors = psutil.Process(running.pid), 0
        for start in range(0, requests, CONCURRENT_REQUESTS):
            await request_keys(
                caller, [b"k%d" % number for number in range(start, start + CONCURRENT_REQUESTS)]
            )
            max_descriptors = max(max_descriptors, process.num_fds())
        caller.writer.transport.abort()
        assert sockets / 3 < max_descriptors <= sockets
        assert not [line for line in lines if "Too many open files" in line]
    assert len(cache.writers) > sockets
    await cache.stop()
