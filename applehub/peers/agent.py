"""Gossip state machine of one router process, driven by clock ticks and received datagrams.

The caller invokes `tick` periodically and `receive` for each datagram, and sends the datagrams returned.
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
from applehub.peers.member_table import ABSENT_MEMBER_RETENTION
from applehub.peers.membership import MAX_UPDATES, Membership, OutgoingMessage
from applehub.peers.record_store import RecordStore
from applehub.peers.records import SECOND, Body, Limit, Record, RecordKey, Shares, Verdict, sampled_writers

# Age, in ns, at which an unchanged record is republished; below the maximum age in records.RETENTION.
REPUBLISH_AFTER: dict[type[Body], int] = {Limit: SECOND // 2, Shares: 2 * SECOND, Verdict: SECOND // 2}
MAX_PEERS_PER_DATAGRAM = 4  # peers per datagram, in addition to membership changes
MAX_PEERS_TO_NEW_MEMBER = 20  # peers per datagram in answers to a process that has just joined
MAX_PEER_BYTES = MAX_DATAGRAM_BYTES * 3 // 4  # datagram size up to which peers are added before records
URGENT_VERDICT_SENDS = 4  # sends after which a verdict is no longer urgent
URGENT_FANOUT = 2  # additional recipients per tick while verdicts are urgent
MAX_CANDIDATE_RECORDS = 40  # records considered for one datagram
MIN_RECORD_SENDS = 4  # minimum number of sends of a Limit or Shares record
BASE_VERDICT_SENDS = 2  # sends of a verdict, to which log2 of the member count is added

OutgoingDatagram = tuple[Peer | str, bytes]  # recipient (peer or name of a configured router) and content


@dataclass(slots=True)
class PublishedRecord:
    """Latest publication of one record type and subject."""

    version: int = 0
    published_at: int = -SECOND  # ns
    body: Body | None = None  # None if the record is withdrawn or not published yet


class GossipAgent:
    """Membership and gossip records of one process."""

    def __init__(self, local_peer: Peer, fleet: str, names: list[str], seed: int, tick_interval: int) -> None:
        """Starts without peers.

        fleet: name of the fleet; datagrams of other fleets are dropped.
        names: names of the other configured routers.
        tick_interval: ns between two calls of `tick`.
        """
        self.fleet_id = crc32(fleet.encode())
        self.membership = Membership(local_peer, names, seed, tick_interval)
        self.store = RecordStore()
        self.published: dict[tuple[type[Body], int], PublishedRecord] = {}
        self.last_prune_at = 0
        self.pending_records: dict[
            RecordKey, int
        ] = {}  # number of sends of each record that is still disseminated
        self.drop_counts: Counter[str] = Counter()  # dropped datagrams by reason
        self.datagrams_sent = 0
        self.datagrams_accepted = 0
        self.bytes_sent = 0

    @property
    def member_id(self) -> int:
        """Member id of this process."""
        return self.membership.local_peer.member_id

    def publish(self, now: int, body: Body, subject: int = 0) -> None:
        """Publishes a record of this process if it is due.

        A changed verdict is published at once, any other record when REPUBLISH_AFTER has passed.
        subject: digest of the server that a verdict is about.
        """
        if now - self.last_prune_at >= ABSENT_MEMBER_RETENTION:
            self._prune_published(now)
        published = self.published.setdefault((type(body), subject), PublishedRecord())
        is_due = now - published.published_at >= REPUBLISH_AFTER[type(body)]
        if is_due or _is_changed_verdict(published.body, body):
            published.version += 1
            published.published_at = now
            published.body = body
            self._merge(Record(self.member_id, subject, published.version, now, body))

    def withdraw(self, body_type: type[Body], subject: int) -> None:
        """Stops publishing a record; peers drop it when it expires.

        The version counter is retained, because peers would ignore a record that restarts at version 1 while
        they store a higher one.
        """
        published = self.published.get((body_type, subject))
        if published is not None:
            published.body = None

    def tick(self, now: int) -> list[OutgoingDatagram]:
        """Advances the protocol by one interval; returns the datagrams to send."""
        for key in self.store.expire(now):
            self.pending_records.pop(key, None)
        messages = self.membership.tick(now)
        if any(
            key.body_type is Verdict and sent < URGENT_VERDICT_SENDS
            for key, sent in self.pending_records.items()
        ):
            messages += self.membership.gossip_messages(URGENT_FANOUT)
        return self._encode(now, messages)

    def receive(self, now: int, data: bytes) -> list[OutgoingDatagram]:
        """Handles a datagram; returns the answers. Invalid datagrams are dropped and counted by reason."""
        try:
            datagram = decode(data, self.fleet_id)
        except DatagramError as error:
            self.drop_counts[str(error)] += 1
            return []
        if datagram.sender == self.member_id:
            self.drop_counts["own"] += 1
            return []
        if datagram.target not in (0, self.member_id) and datagram.kind is not MessageKind.PING_REQUEST:
            self.drop_counts["stranger"] += 1
            return []
        self.datagrams_accepted += 1
        is_new_sender = datagram.sender not in self.membership.table.peers or datagram.target == 0
        for peer in datagram.peers:
            self.membership.merge(now, peer)
        self._merge_received(now, datagram.records)
        answers = self.membership.handle(
            now, datagram.kind, datagram.sender, datagram.sequence, datagram.target
        )
        return self._encode(
            now, answers, MAX_PEERS_TO_NEW_MEMBER if is_new_sender else MAX_PEERS_PER_DATAGRAM
        )

    def leave(self, now: int) -> list[OutgoingDatagram]:
        """Returns the datagrams that announce the shutdown of this process."""
        return self._encode(now, self.membership.leave_messages(), 0)

    def view(self, now: int) -> FleetView:
        """Returns the state of the fleet at `now` (ns)."""
        return compute_view(self.membership, self.store, now)

    @property
    def publishes_limits(self) -> bool:
        """Whether the fleet stores the limits and key range fractions of this process."""
        others = (peer.member_id for peer in self.membership.members())
        return self.member_id in sampled_writers([self.member_id, *others])

    def _prune_published(self, now: int) -> None:
        self.last_prune_at = now
        self.published = {
            key: record
            for key, record in self.published.items()
            if now - record.published_at < ABSENT_MEMBER_RETENTION
        }

    def _merge(self, record: Record) -> None:
        if self.store.merge(record):
            self.pending_records[record.key] = 0

    def _merge_received(self, now: int, records: Iterable[Record]) -> None:
        for record in records:
            if record.writer != self.member_id:
                self._merge(replace(record, created_at=now + record.created_at))

    def _encode(
        self, now: int, messages: list[OutgoingMessage], max_peers: int = MAX_PEERS_PER_DATAGRAM
    ) -> list[OutgoingDatagram]:
        outgoing: list[OutgoingDatagram] = []
        for message in messages:
            data = self._encode_message(now, message, max_peers)
            self.datagrams_sent += 1
            self.bytes_sent += len(data)
            outgoing.append((message.to, data))
        return outgoing

    def _encode_message(self, now: int, message: OutgoingMessage, max_peers: int) -> bytes:
        builder = DatagramBuilder(
            self.fleet_id, message.kind, self.member_id, message.sequence, message.target
        )
        if isinstance(message.to, Peer) and message.to.state is not PeerState.ALIVE:
            builder.add(encode_peer(message.to))  # so that a suspect can refute the suspicion (Lifeguard)
        self._add_peers(builder, 1 + MAX_UPDATES + max_peers)
        self._add_records(now, builder)
        return builder.build()

    def _add_peers(self, builder: DatagramBuilder, max_peers: int) -> None:
        """Adds peers to the datagram; reserves space for pending records, if any."""
        max_size = MAX_PEER_BYTES if self.pending_records else MAX_DATAGRAM_BYTES
        self.membership.add_peers(lambda peer: builder.add(encode_peer(peer), max_size), max_peers)

    def _add_records(self, now: int, builder: DatagramBuilder) -> None:
        """Adds pending records to the datagram, the least often sent first."""
        pending = self.pending_records
        for key in nsmallest(MAX_CANDIDATE_RECORDS, pending, key=pending.__getitem__):
            record = self.store.records.get(key)
            if record is None:
                del pending[key]
            elif builder.add(encode_record(record, now)):
                pending[key] += 1
                if pending[key] > self._max_sends(key):
                    del pending[key]

    def _max_sends(self, key: RecordKey) -> int:
        """Returns how often a record is sent: verdicts more often, as other types tolerate lost updates."""
        log_member_count = self.membership.member_count.bit_length()
        if key.body_type is Verdict:
            return BASE_VERDICT_SENDS + log_member_count
        return max(MIN_RECORD_SENDS, 1 + log_member_count // 2)


def _is_changed_verdict(previous: Body | None, current: Body) -> bool:
    if not isinstance(current, Verdict):
        return False
    return not isinstance(previous, Verdict) or current.failing is not previous.failing
