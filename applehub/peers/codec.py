"""The wire form of the datagrams between routers.

Layout, in network byte order: magic 2s, format version B, message kind B, fleet I (CRC-32 of its name),
sender Q, sequence number I, target Q; then items, each with type B, length B and body; at last the CRC-32 of
all before. CRC-32 detects every burst error of up to 32 bits; it is no protection against forgery, which the
network between routers has to exclude.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from applehub.peers.records import RETENTION, Body, Limit, Record, Shares, Verdict

MAGIC = b"aH"
FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # within the least MTU of IPv6 (1,280), so that no network fragments it
MAX_NAME_BYTES = 48  # of a router's name
MAX_KINDS_PER_RECORD = 16  # of servers: an item's length is one byte
MAX_AGE_MS = 0xFFFF  # ages are sent in 16 bits
MAX_ATTEMPTS = 0xFFFF
MAX_FIGURE = 1e9  # tokens a second beyond which a limit is no router's
NS_PER_MS = 1_000_000
FORMAT_VERSION_OFFSET = 2
HEADER = struct.Struct("!2sBBIQIQ")
CHECKSUM = struct.Struct("!I")
ITEM_HEADER = struct.Struct("!BB")
PEER_FIELDS = struct.Struct("!QIB4sH")
RECORD_HEADER = struct.Struct("!QQIH")  # writer, subject, version, age in ms
LIMIT_FIELDS = struct.Struct("!2f")
SHARE_FIELDS = struct.Struct("!Qf")
VERDICT_FIELDS = struct.Struct("!?H")


class MessageKind(IntEnum):
    """The message of a datagram, in SWIM's terms."""

    PING = 1
    ACK = 2  # to a ping, or passed on to whom had it requested
    PING_REQUEST = 3  # ping the target on the sender's behalf
    LEAVE = 4  # the sender ends
    GOSSIP = 5  # records and members alone; no answer is expected


class ItemType(IntEnum):
    """What an item of a datagram carries."""

    PEER = 1
    LIMIT = 2
    SHARES = 3
    VERDICT = 4


class PeerState(IntEnum):
    """What is known of a peer; within one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Peer:
    """One process of a router, as datagrams describe it.

    member_id: drawn at random at each start, so that a restarted process is another member.
    incarnation: raised by the process itself to refute a suspicion (SWIM).
    host: the four bytes of an IPv4 address.
    """

    member_id: int
    incarnation: int
    state: PeerState
    host: bytes
    port: int
    name: str

    @property
    def rank(self) -> tuple[int, PeerState]:
        """The order of two descriptions of one process: the higher one is the newer."""
        return self.incarnation, self.state


@dataclass(slots=True)
class Datagram:
    """A decoded datagram.

    target: the member id that is meant, 0 for whoever listens at the address.
    records: each with minus its age (ns) as `created_at`.
    """

    kind: MessageKind
    sender: int
    sequence: int
    target: int
    peers: list[Peer] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)


class DatagramError(ValueError):
    """A datagram that is dropped; its text is the reason under which it is counted."""


ITEM_TYPES: dict[type[Body], ItemType] = {
    Limit: ItemType.LIMIT,
    Shares: ItemType.SHARES,
    Verdict: ItemType.VERDICT,
}


def encode_peer(peer: Peer) -> bytes:
    """Return the item that describes a peer."""
    fields = PEER_FIELDS.pack(peer.member_id, peer.incarnation, peer.state, peer.host, peer.port)
    content = fields + peer.name.encode()[:MAX_NAME_BYTES]
    return ITEM_HEADER.pack(ItemType.PEER, len(content)) + content


def encode_record(record: Record, now: int) -> bytes:
    """Return the item for a record, with the age that it has at `now` (ns)."""
    age_ms = min(max(0, now - record.created_at) // NS_PER_MS, MAX_AGE_MS)
    header = RECORD_HEADER.pack(record.writer, record.subject, record.version, age_ms)
    content = header + _encode_body(record.body)
    return ITEM_HEADER.pack(ITEM_TYPES[type(record.body)], len(content)) + content


def decode(data: bytes, fleet: int) -> Datagram:
    """Decode a datagram; `fleet` is the CRC-32 of the receiver's own fleet name.

    Raises DatagramError with the reason: foreign, format, checksum, fleet, cut, figures or malformed.
    Items of unknown types are skipped, so that two versions of the program can share what both know.
    """
    _check_envelope(data)
    _, _, kind, sender_fleet, sender, sequence, target = HEADER.unpack_from(data)
    if sender_fleet != fleet:
        raise DatagramError("fleet")
    try:
        datagram = Datagram(MessageKind(kind), sender, sequence, target)
        for item_type, content in _items(data):
            _decode_item(datagram, item_type, content)
    except DatagramError:
        raise
    except (struct.error, ValueError) as problem:
        raise DatagramError("malformed") from problem
    return datagram


class DatagramBuilder:
    """Assembles one datagram up to a size limit."""

    def __init__(self, fleet: int, kind: MessageKind, sender: int, sequence: int, target: int) -> None:
        """Begin a datagram; the fields are those of `Datagram`, fleet is the CRC-32 of its name."""
        self.parts = [HEADER.pack(MAGIC, FORMAT_VERSION, kind, fleet, sender, sequence, target)]
        self.size = HEADER.size + CHECKSUM.size

    def add(self, item: bytes, max_size: int = MAX_DATAGRAM_BYTES) -> bool:
        """Add an item if the datagram then has at most `max_size` bytes; return whether it was added."""
        if self.size + len(item) > max_size:
            return False
        self.parts.append(item)
        self.size += len(item)
        return True

    def build(self) -> bytes:
        """Return the datagram with its checksum."""
        content = b"".join(self.parts)
        return content + CHECKSUM.pack(crc32(content))


def _encode_body(body: Body) -> bytes:
    match body:
        case Limit(rate, spent):
            return LIMIT_FIELDS.pack(rate, spent)
        case Shares(by_kind):
            return b"".join(SHARE_FIELDS.pack(kind, share) for kind, share in by_kind[:MAX_KINDS_PER_RECORD])
        case Verdict(failing, attempts):
            return VERDICT_FIELDS.pack(failing, min(attempts, MAX_ATTEMPTS))


def _check_envelope(data: bytes) -> None:
    """Raise DatagramError unless magic, format version and checksum are right."""
    if len(data) < HEADER.size + CHECKSUM.size or data[: len(MAGIC)] != MAGIC:
        raise DatagramError("foreign")
    if data[FORMAT_VERSION_OFFSET] != FORMAT_VERSION:
        raise DatagramError("format")
    (checksum,) = CHECKSUM.unpack_from(data, len(data) - CHECKSUM.size)
    if checksum != crc32(data[: -CHECKSUM.size]):
        raise DatagramError("checksum")


def _items(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the type and the content of each item."""
    position = HEADER.size
    end = len(data) - CHECKSUM.size
    while position < end:
        if position + ITEM_HEADER.size > end:
            raise DatagramError("cut")
        item_type, length = ITEM_HEADER.unpack_from(data, position)
        position += ITEM_HEADER.size
        if position + length > end:
            raise DatagramError("cut")
        yield item_type, data[position : position + length]
        position += length


def _decode_item(datagram: Datagram, item_type: int, content: bytes) -> None:
    if item_type == ItemType.PEER:
        datagram.peers.append(_decode_peer(content))
    elif item_type in ITEM_TYPES.values():
        record = _decode_record(item_type, content)
        if -record.created_at <= RETENTION[type(record.body)].max_age:
            datagram.records.append(record)


def _decode_peer(content: bytes) -> Peer:
    member_id, incarnation, state, host, port = PEER_FIELDS.unpack_from(content)
    name = content[PEER_FIELDS.size :].decode()
    return Peer(member_id, incarnation, PeerState(state), host, port, name)


def _decode_record(item_type: int, content: bytes) -> Record:
    writer, subject, version, age_ms = RECORD_HEADER.unpack_from(content)
    body = _decode_body(item_type, content[RECORD_HEADER.size :])
    if not _is_plausible(body) or (subject and not isinstance(body, Verdict)):
        raise DatagramError("figures")
    return Record(writer, subject, version, -age_ms * NS_PER_MS, body)


def _decode_body(item_type: int, content: bytes) -> Body:
    if item_type == ItemType.LIMIT:
        return Limit(*LIMIT_FIELDS.unpack_from(content))
    if item_type == ItemType.SHARES:
        return Shares(tuple(SHARE_FIELDS.iter_unpack(content)))
    return Verdict(*VERDICT_FIELDS.unpack_from(content))


def _is_plausible(body: Body) -> bool:
    """Whether a router could have these figures; not-a-number is none."""
    match body:
        case Limit(rate, spent):
            return 0 <= rate < MAX_FIGURE and 0 <= spent < MAX_FIGURE
        case Shares(by_kind):
            return all(0 < share <= 1 for _, share in by_kind)
        case Verdict():
            return True
