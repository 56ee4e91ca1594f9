"""Wire format of the gossip datagrams between routers.

Layout, in network byte order: magic 2s, format version B, message kind B, fleet I (CRC-32 of its name),
sender Q, sequence number I, target Q; then items, each with type B, length B and body; then the CRC-32 of
all preceding bytes. The checksum detects corruption, including every burst error of up to 32 bits, but not
forgery: the network between the routers must be trusted.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from applehub.peers.records import RETENTION, Body, Limit, Record, Shares, Verdict

MAGIC = b"aH"
FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits the minimum IPv6 MTU of 1,280 bytes, so datagrams are not fragmented
MAX_NAME_BYTES = 48  # UTF-8 bytes of a router name
MAX_KINDS_PER_RECORD = 16  # server kinds in a Shares record; an item has at most 255 bytes of content
MAX_AGE_MS = 0xFFFF  # maximum of the 16-bit age field
MAX_ATTEMPTS = 0xFFFF  # maximum of the 16-bit field for failed attempts
MAX_RATE = 1e9  # tokens per second; limit records with this rate or more are rejected
NS_PER_MS = 1_000_000
FORMAT_VERSION_OFFSET = 2  # position of the format version in a datagram, in bytes
HEADER = struct.Struct("!2sBBIQIQ")
CHECKSUM = struct.Struct("!I")
ITEM_HEADER = struct.Struct("!BB")
PEER_FIELDS = struct.Struct("!QIB4sH")
RECORD_HEADER = struct.Struct("!QQIH")  # writer, subject, version, age in ms
LIMIT_FIELDS = struct.Struct("!2f")
KIND_FRACTION_FIELDS = struct.Struct("!Qf")
VERDICT_FIELDS = struct.Struct("!?H")


class MessageKind(IntEnum):
    """Message type of a datagram, as in SWIM."""

    PING = 1
    ACK = 2  # answers a ping; also relayed to the member that requested the ping
    PING_REQUEST = 3  # requests that the receiver ping the target on behalf of the sender
    LEAVE = 4  # announces the shutdown of the sender
    GOSSIP = 5  # carries only peers and records; is not answered


class ItemType(IntEnum):
    """Content type of an item in a datagram."""

    PEER = 1
    LIMIT = 2
    SHARES = 3
    VERDICT = 4


class PeerState(IntEnum):
    """Status of a peer; within one incarnation the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Peer:
    """Description of one router process.

    member_id: drawn at random at each start, so that a restarted process is a new member.
    incarnation: incremented only by the process itself, to refute a suspicion (SWIM).
    host: IPv4 address, four bytes.
    name: name of the router.
    """

    member_id: int
    incarnation: int
    state: PeerState
    host: bytes
    port: int
    name: str

    @property
    def rank(self) -> tuple[int, PeerState]:
        """Precedence among descriptions of one process; the description with the higher rank is newer."""
        return self.incarnation, self.state


@dataclass(slots=True)
class Datagram:
    """A decoded datagram.

    target: member id of the receiver or, in a ping request, of the member to ping; 0 for any receiver.
    records: with the negated age, in ns, as `created_at`.
    """

    kind: MessageKind
    sender: int
    sequence: int
    target: int
    peers: list[Peer] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)


class DatagramError(ValueError):
    """Raised for an invalid datagram; its text is the reason in the drop counters."""


ITEM_TYPES: dict[type[Body], ItemType] = {
    Limit: ItemType.LIMIT,
    Shares: ItemType.SHARES,
    Verdict: ItemType.VERDICT,
}


def encode_peer(peer: Peer) -> bytes:
    """Returns the item that describes a peer."""
    fields = PEER_FIELDS.pack(peer.member_id, peer.incarnation, peer.state, peer.host, peer.port)
    content = fields + peer.name.encode()[:MAX_NAME_BYTES]
    return ITEM_HEADER.pack(ItemType.PEER, len(content)) + content


def encode_record(record: Record, now: int) -> bytes:
    """Returns the item for a record, with its age at `now` (ns)."""
    age_ms = min(max(0, now - record.created_at) // NS_PER_MS, MAX_AGE_MS)
    header = RECORD_HEADER.pack(record.writer, record.subject, record.version, age_ms)
    content = header + _encode_body(record.body)
    return ITEM_HEADER.pack(ITEM_TYPES[type(record.body)], len(content)) + content


def decode(data: bytes, fleet_id: int) -> Datagram:
    """Returns the decoded datagram.

    fleet_id: CRC-32 of the receiver's fleet name.
    Raises DatagramError with the reason: foreign (not a gossip datagram), format, checksum, fleet, cut
    (truncated item), figures (number out of range) or malformed.
    Items of unknown types are skipped, so that different versions of the program can interoperate.
    """
    _check_envelope(data)
    _, _, kind, sender_fleet_id, sender, sequence, target = HEADER.unpack_from(data)
    if sender_fleet_id != fleet_id:
        raise DatagramError("fleet")
    try:
        datagram = Datagram(MessageKind(kind), sender, sequence, target)
        for item_type, content in _iter_items(data):
            _decode_item(datagram, item_type, content)
    except DatagramError:
        raise
    except (struct.error, ValueError) as error:
        raise DatagramError("malformed") from error
    return datagram


class DatagramBuilder:
    """Assembles one datagram up to a size limit."""

    def __init__(self, fleet_id: int, kind: MessageKind, sender: int, sequence: int, target: int) -> None:
        """Starts a datagram. fleet_id: CRC-32 of the fleet name; other parameters: see `Datagram`."""
        self.parts = [HEADER.pack(MAGIC, FORMAT_VERSION, kind, fleet_id, sender, sequence, target)]
        self.size = HEADER.size + CHECKSUM.size

    def add(self, item: bytes, max_size: int = MAX_DATAGRAM_BYTES) -> bool:
        """Adds an item unless the datagram would exceed `max_size` bytes; returns whether it was added."""
        if self.size + len(item) > max_size:
            return False
        self.parts.append(item)
        self.size += len(item)
        return True

    def build(self) -> bytes:
        """Returns the encoded datagram, with its checksum."""
        content = b"".join(self.parts)
        return content + CHECKSUM.pack(crc32(content))


def _encode_body(body: Body) -> bytes:
    match body:
        case Limit(throttle_rate, spend_rate):
            return LIMIT_FIELDS.pack(throttle_rate, spend_rate)
        case Shares(kind_fractions):
            return b"".join(
                KIND_FRACTION_FIELDS.pack(kind, fraction)
                for kind, fraction in kind_fractions[:MAX_KINDS_PER_RECORD]
            )
        case Verdict(failing, attempts):
            return VERDICT_FIELDS.pack(failing, min(attempts, MAX_ATTEMPTS))


def _check_envelope(data: bytes) -> None:
    """Raises DatagramError unless magic, format version and checksum are valid."""
    if len(data) < HEADER.size + CHECKSUM.size or data[: len(MAGIC)] != MAGIC:
        raise DatagramError("foreign")
    if data[FORMAT_VERSION_OFFSET] != FORMAT_VERSION:
        raise DatagramError("format")
    (checksum,) = CHECKSUM.unpack_from(data, len(data) - CHECKSUM.size)
    if checksum != crc32(data[: -CHECKSUM.size]):
        raise DatagramError("checksum")


def _iter_items(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the type and the content of each item; raises DatagramError for a truncated item."""
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
    if not _is_valid_body(body) or (subject and not isinstance(body, Verdict)):
        raise DatagramError("figures")
    return Record(writer, subject, version, -age_ms * NS_PER_MS, body)


def _decode_body(item_type: int, content: bytes) -> Body:
    if item_type == ItemType.LIMIT:
        return Limit(*LIMIT_FIELDS.unpack_from(content))
    if item_type == ItemType.SHARES:
        return Shares(tuple(KIND_FRACTION_FIELDS.iter_unpack(content)))
    return Verdict(*VERDICT_FIELDS.unpack_from(content))


def _is_valid_body(body: Body) -> bool:
    """Returns whether all numbers are in their valid ranges; NaN is invalid."""
    match body:
        case Limit(throttle_rate, spend_rate):
            return 0 <= throttle_rate < MAX_RATE and 0 <= spend_rate < MAX_RATE
        case Shares(kind_fractions):
            return all(0 < fraction <= 1 for _, fraction in kind_fractions)
        case Verdict():
            return True
