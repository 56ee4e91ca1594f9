"""What routers share: its laws, what it takes from a bad network, and what the module makes of it."""

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
from applehub.lab.gossip import Gossip, Talk
from applehub.node.configuration import ConfigurationError, read_peers_of
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

PERIOD = 50 * MILLI


def agent(number: int) -> GossipAgent:
    me = Peer(number + 1, 0, PeerState.ALIVE, number.to_bytes(4), 1, f"n{number}")
    return GossipAgent(me, "fleet", [f"n{one}" for one in range(3) if one != number], number, PERIOD)


def made(writer: int, subject: int, version: int) -> Record:
    """One writer's record of one version is one record: only its reckoned birth may differ."""
    kind = subject % 3
    bodies = Limit(version, writer), Shares(((1, 0.5),)), Verdict(version % 2 == 0, version)
    return Record(writer, subject if kind == 2 else 0, version, 0, bodies[kind])


RECORDS = st.builds(
    replace,
    st.builds(made, st.integers(1, 50), st.integers(0, 6), st.integers(1, 4)),
    created_at=st.integers(0, 5),
)


@given(st.lists(RECORDS, max_size=120), st.randoms(use_true_random=False))
@settings(max_examples=200, deadline=None)
def test_the_merge_does_not_care_for_order_or_repetition(records: list[Record], drawn: random.Random) -> None:
    one, other = RecordStore(), RecordStore()
    for record in records:
        one.merge(record)
    again = records + [drawn.choice(records) for _ in records]
    drawn.shuffle(again)
    half = RecordStore()  # what is merged by way of another store
    for record in again[: len(again) // 2]:
        half.merge(record)
    for record in [*again[len(again) // 2 :], *half.records.values()]:
        other.merge(record)
    assert one.records == other.records
    assert all(len(writers) <= RETENTION[kind].max_writers for (kind, _), writers in one.writers.items())


def test_what_has_passed_its_bound_counts_no_more_and_is_dropped() -> None:
    heard, other = agent(0), agent(1)
    other.publish(0, Verdict(True, 5), 7)
    introduce(0, heard, other)
    assert heard.view(SECOND).accused[7].failing == 1
    assert not heard.view(3 * SECOND).accused
    heard.tick(3 * SECOND)
    assert not heard.store.records


def introduce(now: int, one: GossipAgent, other: GossipAgent) -> None:
    """Lets two hear of each other, with all that the other has to tell."""
    for first, second in ((other, one), (one, other), (other, one)):
        for _, data in first.tick(now):
            second.receive(now, data)
    assert one.membership.alive == other.membership.alive == 2


@given(st.data())
@settings(max_examples=300, deadline=None)
def test_a_datagram_that_is_not_whole_is_dropped_and_counted(data: st.DataObject) -> None:
    one, other = agent(0), agent(1)
    other.publish(0, Limit(3.0, 2.0))
    whole = bytearray(other.tick(0)[0][1])
    how = data.draw(st.sampled_from(["flip", "cut", "noise"]))
    if how == "flip":
        whole[data.draw(st.integers(0, len(whole) - 1))] ^= 1 << data.draw(st.integers(0, 7))
    spoilt = {
        "flip": bytes(whole),
        "cut": bytes(whole[: data.draw(st.integers(0, len(whole) - 1))]),
        "noise": data.draw(st.binary(max_size=80)),
    }[how]
    assert one.receive(0, spoilt) == []
    assert sum(one.dropped.values()) == 1 and one.membership.alive == 1 and not one.store.records


# A datagram of the program's version 0447801, with each type of item.
DATAGRAM_OF_VERSION_0447801 = bytes.fromhex(
    "61480103a05e1e47000000000000000700000009112233445566778801151122334455667788000000"
    "03017f00000110926e31021e000000000000000700000000000000000000000500fa41480000405000"
    "00032e000000000000000700000000000000000000000600fa00000000000000013f00000000000000"
    "000000023f800000041900000000000000079c10dd1948b9aeb80000000800fa01000403c699d3"
)


def test_the_wire_form_is_that_of_the_version_before() -> None:
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
    assert builder.build() == DATAGRAM_OF_VERSION_0447801
    read = decode(DATAGRAM_OF_VERSION_0447801, fleet)
    assert (read.kind, read.sender, read.sequence) == (MessageKind.PING_REQUEST, 7, 9)
    assert read.target == suspect.member_id and read.peers == [suspect]
    assert read.records == [replace(record, created_at=-age) for record in records]


def test_another_fleet_a_newer_format_and_a_former_life_are_told_apart() -> None:
    one = agent(0)
    newer = bytearray(DatagramBuilder(one.fleet, MessageKind.PING, 9, 1, 0).build())
    newer[2] += 1
    spoilt = {
        "fleet": DatagramBuilder(1, MessageKind.PING, 9, 1, 0).build(),
        "format": bytes(newer),
        "stranger": DatagramBuilder(one.fleet, MessageKind.PING, 9, 1, 12345).build(),
        "own": DatagramBuilder(one.fleet, MessageKind.PING, one.member_id, 1, 0).build(),
    }
    for data in spoilt.values():
        one.receive(0, data)
    assert one.dropped == dict.fromkeys(spoilt, 1)


def test_figures_that_no_router_has_are_not_believed_and_a_datagram_keeps_to_its_bound() -> None:
    packer = DatagramBuilder(5, MessageKind.GOSSIP, 9, 0, 0)
    packer.add(encode_record(Record(9, 0, 1, 0, Limit(float("nan"), 1.0)), 0))
    with pytest.raises(DatagramError, match="figures"):
        decode(packer.build(), 5)
    full = DatagramBuilder(5, MessageKind.GOSSIP, 9, 0, 0)
    while full.add(encode_record(Record(9, 0, 1, 0, Limit(1.0, 1.0)), 0)):
        pass
    assert len(full.build()) <= MAX_DATAGRAM_BYTES


def test_a_process_that_slept_blames_nobody_and_refutes_what_was_said_of_it() -> None:
    me = Peer(1, 0, PeerState.ALIVE, bytes(4), 1, "n0")
    there = Membership(me, [], 1, PERIOD)
    there.merge(0, Peer(2, 0, PeerState.ALIVE, bytes(4), 1, "n1"))
    for tick in range(4):
        there.tick(tick * PERIOD)  # probes go out; nobody answers
    there.tick(30 * SECOND)
    assert [one.state for one in there.members()] == [PeerState.ALIVE]
    there.merge(30 * SECOND, replace(me, state=PeerState.DEAD))
    assert there.me.rank > (0, PeerState.DEAD)
    for tick in range(1, 60):
        there.tick(30 * SECOND + tick * PERIOD)
    assert not list(there.members())


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_fleet_finds_itself_again_after_a_cut_and_buries_those_that_ended(loss: float) -> None:
    plan = Gossip(12, loss=loss, seconds=3, cut_s=10, kill=0.7)
    measured = Talk(plan, 4).play()
    assert measured.missing == 0 and measured.records < 100
    assert 0 < measured.known_s < 5 and 0 < measured.healed_s < 10 and 0 < measured.buried_s < 10
    for kind, ages in measured.ages_ms.items():
        assert (
            max(ages) <= max(bound.max_age for of, bound in RETENTION.items() if of.__name__ == kind) / MILLI
        )


# What the module makes of it


def hearing() -> Router:
    return Router(router_settings(peers=True))


def test_a_server_is_left_alone_by_a_quorum_and_not_by_one_router() -> None:
    router = hearing()
    name = router.serve("k")
    router.wait(3 * SECOND)
    router.tell(api.Fleet(9, accused={name: (1, 1)}))
    assert router.balancer.roster.avoided == 0
    router.tell(api.Fleet(9, accused={name: (3, 9)}))
    assert router.balancer.roster.avoided == 0  # most of those who speak of it say that it answers
    router.tell(api.Fleet(40, accused={name: (4, 4)}))
    assert router.balancer.roster.avoided == 0  # too few of so many
    router.tell(api.Fleet(9, accused={name: (3, 4)}))
    assert router.balancer.roster.avoided == 1
    _, (send,) = router.ask("k")
    assert isinstance(send, api.Send) and send.server != name


def test_an_answer_of_its_own_counts_for_more_than_hearsay_and_hearsay_is_not_passed_on() -> None:
    router = hearing()
    name = router.serve("k")
    router.tell(api.Fleet(9, accused={name: (8, 8)}))
    assert router.balancer.roster.avoided == 0
    (told, *_) = [action for action in router.wait(SECOND) if isinstance(action, api.Tell)]
    assert told.vouched == [name] and not told.failing
    router.wait(3 * SECOND)
    router.tell(api.Fleet(9, accused={name: (8, 8), "never-listed": (8, 8), "origin": (8, 8)}))
    assert router.balancer.roster.avoided == 1
    later = [action for action in router.wait(2 * SECOND) if isinstance(action, api.Tell)]
    assert later and not any(action.failing or action.vouched for action in later)


def test_no_more_than_a_part_of_the_servers_is_out_by_hearsay() -> None:
    router = hearing()
    router.wait(3 * SECOND)
    router.tell(api.Fleet(9, accused={f"c{number}": (9, 9) for number in range(4)}))
    assert router.balancer.roster.avoided == 1  # of five listed, the origin among them


def test_what_fails_a_router_is_told_until_it_answers_again() -> None:
    router = hearing()
    _, (first,) = router.ask("k")
    assert isinstance(first, api.Send)
    router.end(first, api.Status.CONNECT_FAILED)
    (told, *_) = [one for one in router.wait(SECOND) if isinstance(one, api.Tell)]
    assert told.failing == {first.server: 1}
    adapter, kinds = PolicyAdapter(agent(0)), {"cache": 0}
    adapter.publish(0, told, kinds)
    assert adapter.agent.published[Verdict, digest(first.server)].body == Verdict(True, 1)
    adapter.publish(SECOND, replace(told, failing={}), kinds)
    (record,) = [one for key, one in adapter.agent.store.records.items() if key[0] is Verdict]
    assert record.body == Verdict(False, 0)
    adapter.publish(SECOND + 1, told, kinds)
    (again,) = [one for key, one in adapter.agent.store.records.items() if key[0] is Verdict]
    assert again.body == Verdict(True, 1) and again.supersedes(
        record
    )  # for those who hold the one before, too


def test_a_router_that_starts_takes_over_the_fleets_shares_and_then_draws_near() -> None:
    router = hearing()
    router.tell(api.Fleet(9, shares={0: 0.4}))
    assert router.balancer.roster.kinds[0].share == pytest.approx(0.4)
    router.tell(api.Fleet(9, shares={0: 0.8}))
    assert router.balancer.roster.kinds[0].share == pytest.approx(0.5)


# The socket


@pytest.mark.parametrize(
    ("spoilt", "named"),
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
def test_a_configuration_that_makes_no_sense_names_the_key(spoilt: dict[str, object], named: str) -> None:
    good = {"fleet": "f", "listen": "127.0.0.1:0", "routers": {"n2": "127.0.0.1:9"}}
    assert read_peers(good, read_endpoint).routers == {"n2": ("127.0.0.1", 9)}
    with pytest.raises(SettingError, match=re.escape(named)):
        read_peers({**good, **spoilt}, read_endpoint)


def test_where_the_platform_forbids_it_no_router_speaks() -> None:
    told = {"name": "n1", "peers": {"fleet": "f", "listen": "127.0.0.1:0"}}
    assert read_peers_of(told, {"ceilings": {"mayTell": False}}) is None
    assert read_peers_of({}, {}) is None
    assert read_peers_of(told, {"ceilings": {}}) is not None
    with pytest.raises(ConfigurationError, match="name"):
        read_peers_of({**told, "name": ""}, {"ceilings": {}})
