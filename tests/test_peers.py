"""Tests of gossip between routers: records, wire format, membership, use by the policy, and settings."""

import random
import re
from dataclasses import replace
from zlib import crc32

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, SECOND, Router
from support import settings as router_settings

from applehub import interface as api
from applehub.lab.gossip import GossipPlan, GossipSimulation
from applehub.node.configuration import ConfigurationError, read_peers_setting
from applehub.node.discovery import read_endpoint
from applehub.node.peering import read_peers
from applehub.peers.agent import GossipAgent
from applehub.peers.codec import (
    MAX_DATAGRAM_BYTES,
    DatagramBuilder,
    DatagramError,
    MessageKind,
    Peer,
    PeerState,
    decode,
    encode_peer,
    encode_record,
)
from applehub.peers.membership import Membership
from applehub.peers.policy_adapter import PolicyAdapter
from applehub.peers.record_store import RecordStore
from applehub.peers.records import RETENTION, Limit, Record, Shares, Verdict, digest
from applehub.settings import SettingError

TICK_INTERVAL = 50 * MILLI


def make_agent(number: int) -> GossipAgent:
    local_peer = Peer(number + 1, 0, PeerState.ALIVE, number.to_bytes(4), 1, f"n{number}")
    return GossipAgent(
        local_peer, "fleet", [f"n{other}" for other in range(3) if other != number], number, TICK_INTERVAL
    )


def make_record(writer: int, subject: int, version: int) -> Record:
    """Returns a record whose content depends only on its key and version, as real records do."""
    type_index = subject % 3
    bodies = Limit(version, writer), Shares(((1, 0.5),)), Verdict(version % 2 == 0, version)
    return Record(writer, subject if type_index == 2 else 0, version, 0, bodies[type_index])


RECORDS = st.builds(
    replace,
    st.builds(make_record, st.integers(1, 50), st.integers(0, 6), st.integers(1, 4)),
    created_at=st.integers(0, 5),
)


@given(st.lists(RECORDS, max_size=120), st.randoms(use_true_random=False))
@settings(max_examples=200, deadline=None)
def test_merge_is_commutative_associative_and_idempotent(records: list[Record], rng: random.Random) -> None:
    first, second = RecordStore(), RecordStore()
    for record in records:
        first.merge(record)
    shuffled = records + [rng.choice(records) for _ in records]
    rng.shuffle(shuffled)
    intermediate = RecordStore()  # the second store receives the first half of the records through this store
    for record in shuffled[: len(shuffled) // 2]:
        intermediate.merge(record)
    for record in [*shuffled[len(shuffled) // 2 :], *intermediate.records.values()]:
        second.merge(record)
    assert first.records == second.records
    assert all(
        len(writers) <= RETENTION[body_type].max_writers for (body_type, _), writers in first.writers.items()
    )


def test_expired_record_is_ignored_and_dropped() -> None:
    receiver, sender = make_agent(0), make_agent(1)
    sender.publish(0, Verdict(True, 5), 7)
    exchange_datagrams(0, receiver, sender)
    assert receiver.view(SECOND).failure_reports[7].failing == 1
    assert not receiver.view(3 * SECOND).failure_reports
    receiver.tick(3 * SECOND)
    assert not receiver.store.records


def exchange_datagrams(now: int, first: GossipAgent, second: GossipAgent) -> None:
    """Introduces two agents and delivers the records of the second to the first."""
    for sender, receiver in ((second, first), (first, second), (second, first)):
        for _, data in sender.tick(now):
            receiver.receive(now, data)
    assert first.membership.member_count == second.membership.member_count == 2


@given(st.data())
@settings(max_examples=300, deadline=None)
def test_corrupted_datagram_is_dropped_and_counted(data: st.DataObject) -> None:
    receiver, sender = make_agent(0), make_agent(1)
    sender.publish(0, Limit(3.0, 2.0))
    datagram = bytearray(sender.tick(0)[0][1])
    corruption = data.draw(st.sampled_from(["flip", "cut", "noise"]))
    if corruption == "flip":
        datagram[data.draw(st.integers(0, len(datagram) - 1))] ^= 1 << data.draw(st.integers(0, 7))
    corrupted = {
        "flip": bytes(datagram),
        "cut": bytes(datagram[: data.draw(st.integers(0, len(datagram) - 1))]),
        "noise": data.draw(st.binary(max_size=80)),
    }[corruption]
    assert receiver.receive(0, corrupted) == []
    assert (
        sum(receiver.drop_counts.values()) == 1
        and receiver.membership.member_count == 1
        and not receiver.store.records
    )


# Datagram of format version 1 with each type of item, as encoded by an earlier release.
REFERENCE_DATAGRAM = bytes.fromhex(
    "61480103a05e1e47000000000000000700000009112233445566778801151122334455667788000000"
    "03017f00000110926e31021e000000000000000700000000000000000000000500fa41480000405000"
    "00032e000000000000000700000000000000000000000600fa00000000000000013f00000000000000"
    "000000023f800000041900000000000000079c10dd1948b9aeb80000000800fa01000403c699d3"
)


def test_wire_format_matches_reference_datagram() -> None:
    suspect = Peer(0x1122334455667788, 3, PeerState.SUSPECT, bytes([127, 0, 0, 1]), 4242, "n1")
    records = [
        Record(7, 0, 5, 0, Limit(12.5, 3.25)),
        Record(7, 0, 6, 0, Shares(((1, 0.5), (2, 1.0)))),
        Record(7, digest("cache-1"), 8, 0, Verdict(True, 4)),
    ]
    fleet, age = crc32(b"fleet"), 250 * MILLI
    builder = DatagramBuilder(fleet, MessageKind.PING_REQUEST, 7, 9, suspect.member_id)
    builder.add(encode_peer(suspect))
    for record in records:
        builder.add(encode_record(record, age))
    assert builder.build() == REFERENCE_DATAGRAM
    decoded = decode(REFERENCE_DATAGRAM, fleet)
    assert (decoded.kind, decoded.sender, decoded.sequence) == (MessageKind.PING_REQUEST, 7, 9)
    assert decoded.target == suspect.member_id and decoded.peers == [suspect]
    assert decoded.records == [replace(record, created_at=-age) for record in records]


def test_drop_reasons_distinguish_fleet_format_target_and_own_datagrams() -> None:
    receiver = make_agent(0)
    newer_format = bytearray(DatagramBuilder(receiver.fleet_id, MessageKind.PING, 9, 1, 0).build())
    newer_format[2] += 1
    datagrams = {
        "fleet": DatagramBuilder(1, MessageKind.PING, 9, 1, 0).build(),
        "format": bytes(newer_format),
        "stranger": DatagramBuilder(receiver.fleet_id, MessageKind.PING, 9, 1, 12345).build(),
        "own": DatagramBuilder(receiver.fleet_id, MessageKind.PING, receiver.member_id, 1, 0).build(),
    }
    for data in datagrams.values():
        receiver.receive(0, data)
    assert receiver.drop_counts == dict.fromkeys(datagrams, 1)


def test_invalid_rate_is_rejected_and_datagram_size_is_bounded() -> None:
    builder = DatagramBuilder(5, MessageKind.GOSSIP, 9, 0, 0)
    builder.add(encode_record(Record(9, 0, 1, 0, Limit(float("nan"), 1.0)), 0))
    with pytest.raises(DatagramError, match="figures"):
        decode(builder.build(), 5)
    full = DatagramBuilder(5, MessageKind.GOSSIP, 9, 0, 0)
    while full.add(encode_record(Record(9, 0, 1, 0, Limit(1.0, 1.0)), 0)):
        pass
    assert len(full.build()) <= MAX_DATAGRAM_BYTES


def test_process_suspects_no_peer_after_a_pause_and_refutes_its_own_death() -> None:
    local_peer = Peer(1, 0, PeerState.ALIVE, bytes(4), 1, "n0")
    membership = Membership(local_peer, [], 1, TICK_INTERVAL)
    membership.merge(0, Peer(2, 0, PeerState.ALIVE, bytes(4), 1, "n1"))
    for tick in range(4):
        membership.tick(tick * TICK_INTERVAL)  # the probes that are sent remain unanswered
    membership.tick(30 * SECOND)
    assert [peer.state for peer in membership.members()] == [PeerState.ALIVE]
    membership.merge(30 * SECOND, replace(local_peer, state=PeerState.DEAD))
    assert membership.local_peer.rank > (0, PeerState.DEAD)
    for tick in range(1, 60):
        membership.tick(30 * SECOND + tick * TICK_INTERVAL)
    assert not list(membership.members())


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_fleet_rejoins_after_a_partition_and_removes_dead_routers(loss: float) -> None:
    parameters = GossipPlan(12, loss=loss, seconds=3, cut_s=10, kill=0.7)
    result = GossipSimulation(parameters, 4).simulate()
    assert result.missing == 0 and result.records < 100
    assert 0 < result.known_s < 5 and 0 < result.healed_s < 10 and 0 < result.buried_s < 10
    for type_name, ages in result.ages_ms.items():
        assert (
            max(ages)
            <= max(
                retention.max_age
                for body_type, retention in RETENTION.items()
                if body_type.__name__ == type_name
            )
            / MILLI
        )


# Use of gossip by the policy


def router_with_peers() -> Router:
    return Router(router_settings(peers=True))


def test_server_is_excluded_by_a_quorum_of_reports_but_not_by_a_single_report() -> None:
    router = router_with_peers()
    name = router.cache_key("k")
    router.advance(3 * SECOND)
    router.deliver(api.GossipSummary(9, failure_reports={name: (1, 1)}))
    assert router.balancer.server_table.excluded_count == 0
    router.deliver(api.GossipSummary(9, failure_reports={name: (3, 9)}))
    assert router.balancer.server_table.excluded_count == 0  # most reporters see the server as healthy
    router.deliver(api.GossipSummary(40, failure_reports={name: (4, 4)}))
    assert router.balancer.server_table.excluded_count == 0  # too few reporters for a fleet of 40 routers
    router.deliver(api.GossipSummary(9, failure_reports={name: (3, 4)}))
    assert router.balancer.server_table.excluded_count == 1
    _, (send,) = router.send_request("k")
    assert isinstance(send, api.Send) and send.server != name


def test_own_responses_override_gossiped_health_and_gossip_is_not_forwarded() -> None:
    router = router_with_peers()
    name = router.cache_key("k")
    router.deliver(api.GossipSummary(9, failure_reports={name: (8, 8)}))
    assert router.balancer.server_table.excluded_count == 0
    (report, *_) = [action for action in router.advance(SECOND) if isinstance(action, api.PublishGossip)]
    assert report.healthy == [name] and not report.failing
    router.advance(3 * SECOND)
    router.deliver(
        api.GossipSummary(9, failure_reports={name: (8, 8), "never-listed": (8, 8), "origin": (8, 8)})
    )
    assert router.balancer.server_table.excluded_count == 1
    later_reports = [action for action in router.advance(2 * SECOND) if isinstance(action, api.PublishGossip)]
    assert later_reports and not any(action.failing or action.healthy for action in later_reports)


def test_gossiped_health_excludes_a_bounded_part_of_the_servers() -> None:
    router = router_with_peers()
    router.advance(3 * SECOND)
    router.deliver(api.GossipSummary(9, failure_reports={f"c{number}": (9, 9) for number in range(4)}))
    assert (
        router.balancer.server_table.excluded_count == 1
    )  # one of five listed servers, which include the origin


def test_failing_server_is_published_until_it_responds() -> None:
    router = router_with_peers()
    _, (first,) = router.send_request("k")
    assert isinstance(first, api.Send)
    router.finish_attempt(first, api.Status.CONNECT_FAILED)
    (report, *_) = [action for action in router.advance(SECOND) if isinstance(action, api.PublishGossip)]
    assert report.failing == {first.server: 1}
    adapter, kinds = PolicyAdapter(make_agent(0)), {"cache": 0}
    adapter.publish(0, report, kinds)
    assert adapter.agent.published[Verdict, digest(first.server)].body == Verdict(True, 1)
    adapter.publish(SECOND, replace(report, failing={}), kinds)
    (record,) = [stored for key, stored in adapter.agent.store.records.items() if key[0] is Verdict]
    assert record.body == Verdict(False, 0)
    adapter.publish(SECOND + 1, report, kinds)
    (republished,) = [stored for key, stored in adapter.agent.store.records.items() if key[0] is Verdict]
    assert republished.body == Verdict(True, 1) and republished.supersedes(
        record
    )  # also at peers that store the withdrawn record


def test_starting_router_adopts_gossiped_range_fraction_and_then_converges() -> None:
    router = router_with_peers()
    router.deliver(api.GossipSummary(9, range_fractions={0: 0.4}))
    assert router.balancer.server_table.kinds[0].range_fraction == pytest.approx(0.4)
    router.deliver(api.GossipSummary(9, range_fractions={0: 0.8}))
    assert router.balancer.server_table.kinds[0].range_fraction == pytest.approx(0.5)


# Settings


@pytest.mark.parametrize(
    ("overrides", "expected_text"),
    [
        ({"listen": "nowhere"}, "IPv4"),
        ({"listen": None}, "peers.listen"),
        ({"fleet": 5}, "peers.fleet"),
        ({"period_ms": 1}, "peers.period_ms"),
        ({"routers": {"n2": "127.0.0.1"}}, "IPv4"),
        ({"routers": {"n" * 60: "127.0.0.1:1"}}, "peers.routers"),
        ({"seeds": []}, "peers.seeds"),
    ],
)
def test_invalid_peers_setting_is_named_in_the_error(
    overrides: dict[str, object], expected_text: str
) -> None:
    good = {"fleet": "f", "listen": "127.0.0.1:0", "routers": {"n2": "127.0.0.1:9"}}
    assert read_peers(good, read_endpoint).routers == {"n2": ("127.0.0.1", 9)}
    with pytest.raises(SettingError, match=re.escape(expected_text)):
        read_peers({**good, **overrides}, read_endpoint)


def test_gossip_is_disabled_when_the_platform_forbids_it() -> None:
    configuration = {"name": "n1", "peers": {"fleet": "f", "listen": "127.0.0.1:0"}}
    assert read_peers_setting(configuration, {"ceilings": {"mayTell": False}}) is None
    assert read_peers_setting({}, {}) is None
    assert read_peers_setting(configuration, {"ceilings": {}}) is not None
    with pytest.raises(ConfigurationError, match="name"):
        read_peers_setting({**configuration, "name": ""}, {"ceilings": {}})
