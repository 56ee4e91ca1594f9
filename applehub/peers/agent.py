"""One process among its peers: ticks and datagrams in, datagrams out.

The host calls `tick` each period and `receive` for each datagram, and sends what they return.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from heapq import nsmallest
from zlib import crc32

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
from applehub.peers.fleet_view import FleetView, compute_view
from applehub.peers.member_table import FORGET_AFTER
from applehub.peers.membership import MAX_UPDATES, Membership, OutgoingMessage
from applehub.peers.record_store import RecordStore
from applehub.peers.records import SECOND, Body, Limit, Record, RecordKey, Shares, Verdict, sampled_writers

# ns after which an unchanged record is published again: well before peers drop it (records.RETENTION).
REPUBLISH_AFTER: dict[type[Body], int] = {Limit: SECOND // 2, Shares: 2 * SECOND, Verdict: SECOND // 2}
PEERS_PER_DATAGRAM = 4  # besides changes
PEERS_TO_NEWCOMER = 20  # the same, to a process that knows nobody yet
PEERS_MAX_BYTES = MAX_DATAGRAM_BYTES * 3 // 4  # of a datagram, while there are records to send
URGENT_REPEATS = 4  # times that a verdict is sent before it is no longer urgent
URGENT_FANOUT = 2  # further members that urgent verdicts are sent to with each tick
MAX_RECORDS_CONSIDERED = 40  # for one datagram
MIN_REPEATS = 4  # times that limits and shares are sent
MIN_VERDICT_REPEATS = 2  # the same for verdicts, besides the logarithm of the members

Outgoing = tuple[Peer | str, bytes]  # to a known peer or a configured router's name; the datagram


@dataclass(slots=True)
class PublishedRecord:
    """What this process published last of one type and subject; body None: withdrawn."""

    version: int = 0
    published_at: int = -SECOND
    body: Body | None = None


class GossipAgent:
    """Membership and records of one process."""

    def __init__(self, me: Peer, fleet: str, names: list[str], seed: int, tick: int) -> None:
        """Begin without peers.

        fleet: name of the fleet; datagrams of others are dropped. names: of the configured routers, without
        this one. tick: ns between two calls of `tick`.
        """
        self.fleet = crc32(fleet.encode())
        self.membership = Membership(me, names, seed, tick)
        self.store = RecordStore()
        self.published: dict[tuple[type[Body], int], PublishedRecord] = {}
        self.pruned_at = 0  # when old entries of `published` were last dropped
        self.pending: dict[RecordKey, int] = {}  # records still to be gossiped, with how often they were
        self.dropped: Counter[str] = Counter()  # datagrams, by reason
        self.sent = 0  # datagrams
        self.accepted = 0  # datagrams
        self.bytes_sent = 0

    @property
    def member_id(self) -> int:
        """The number that stands for this process."""
        return self.membership.me.member_id

    def publish(self, now: int, body: Body, subject: int = 0) -> None:
        """Publish a record of this process: at once if a verdict changed, else when it is due again.

        subject: digest of the server that a verdict is about.
        """
        if now - self.pruned_at >= FORGET_AFTER:
            self._prune(now)
        published = self.published.setdefault((type(body), subject), PublishedRecord())
        due = now - published.published_at >= REPUBLISH_AFTER[type(body)]
        if due or _is_changed_verdict(published.body, body):
            published.version += 1
            published.published_at = now
            published.body = body
            self._merge(Record(self.member_id, subject, published.version, now, body))

    def withdraw(self, body_type: type[Body], subject: int) -> None:
        """Stop publishing a record; peers drop it by its age.

        Its version is kept for a while: a record that began at version 1 again would lose against the one
        that peers still hold.
        """
        published = self.published.get((body_type, subject))
        if published is not None:
            published.body = None

    def tick(self, now: int) -> list[Outgoing]:
        """One period has passed: return the datagrams to send."""
        for key in self.store.expire(now):
            self.pending.pop(key, None)
        messages = self.membership.tick(now)
        if any(key.body_type is Verdict and sent < URGENT_REPEATS for key, sent in self.pending.items()):
            messages += self.membership.gossip_messages(URGENT_FANOUT)
        return self._encode(now, messages)

    def receive(self, now: int, data: bytes) -> list[Outgoing]:
        """Take a datagram; return the answers. One that can't be used is dropped and counted by reason."""
        try:
            datagram = decode(data, self.fleet)
        except DatagramError as problem:
            self.dropped[str(problem)] += 1
            return []
        if datagram.sender == self.member_id:
            self.dropped["own"] += 1
            return []
        if datagram.target not in (0, self.member_id) and datagram.kind is not MessageKind.PING_REQUEST:
            self.dropped["stranger"] += 1
            return []
        self.accepted += 1
        is_newcomer = datagram.sender not in self.membership.table.peers or datagram.target == 0
        for peer in datagram.peers:
            self.membership.merge(now, peer)
        self._merge_received(now, datagram.records)
        answers = self.membership.handle(
            now, datagram.kind, datagram.sender, datagram.sequence, datagram.target
        )
        return self._encode(now, answers, PEERS_TO_NEWCOMER if is_newcomer else PEERS_PER_DATAGRAM)

    def leave(self, now: int) -> list[Outgoing]:
        """Return the last datagrams of a process that ends."""
        return self._encode(now, self.membership.leave_messages(), 0)

    def view(self, now: int) -> FleetView:
        """Return the fleet as it is known at `now`."""
        return compute_view(self.membership, self.store, now)

    @property
    def publishes_limits(self) -> bool:
        """Whether this process is one of those whose limits and shares the fleet holds."""
        others = (peer.member_id for peer in self.membership.members())
        return self.member_id in sampled_writers([self.member_id, *others])

    def _prune(self, now: int) -> None:
        self.pruned_at = now
        self.published = {
            key: record for key, record in self.published.items() if now - record.published_at < FORGET_AFTER
        }

    def _merge(self, record: Record) -> None:
        if self.store.merge(record):
            self.pending[record.key] = 0

    def _merge_received(self, now: int, records: Iterable[Record]) -> None:
        for record in records:
            if record.writer != self.member_id:
                self._merge(replace(record, created_at=now + record.created_at))

    def _encode(
        self, now: int, messages: list[OutgoingMessage], max_peers: int = PEERS_PER_DATAGRAM
    ) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        for message in messages:
            data = self._encode_message(now, message, max_peers)
            self.sent += 1
            self.bytes_sent += len(data)
            outgoing.append((message.to, data))
        return outgoing

    def _encode_message(self, now: int, message: OutgoingMessage, max_peers: int) -> bytes:
        builder = DatagramBuilder(self.fleet, message.kind, self.member_id, message.sequence, message.target)
        if isinstance(message.to, Peer) and message.to.state is not PeerState.ALIVE:
            builder.add(encode_peer(message.to))  # so that a suspect can refute (Lifeguard)
        self._add_peers(builder, 1 + MAX_UPDATES + max_peers)
        self._add_records(now, builder)
        return builder.build()

    def _add_peers(self, builder: DatagramBuilder, max_peers: int) -> None:
        """Add peers; while there are records to send, a part of the datagram is kept for them."""
        max_size = PEERS_MAX_BYTES if self.pending else MAX_DATAGRAM_BYTES
        self.membership.fill(lambda peer: builder.add(encode_peer(peer), max_size), max_peers)

    def _add_records(self, now: int, builder: DatagramBuilder) -> None:
        """Add pending records, the least often sent first."""
        pending = self.pending
        for key in nsmallest(MAX_RECORDS_CONSIDERED, pending, key=pending.__getitem__):
            record = self.store.records.get(key)
            if record is None:
                del pending[key]
            elif builder.add(encode_record(record, now)):
                pending[key] += 1
                if pending[key] > self._max_repeats(key):
                    del pending[key]

    def _max_repeats(self, key: RecordKey) -> int:
        """How often a record is sent on. Limits and shares may miss a router: they are published again."""
        log_members = self.membership.alive.bit_length()
        if key.body_type is Verdict:
            return MIN_VERDICT_REPEATS + log_members
        return max(MIN_REPEATS, 1 + log_members // 2)


def _is_changed_verdict(before: Body | None, after: Body) -> bool:
    if not isinstance(after, Verdict):
        return False
    return not isinstance(before, Verdict) or after.failing is not before.failing
