"""Datagrams between routers. What is not whole, of another fleet or of a newer format is told apart by name.

Layout, network order: magic 2s, format B, kind B, fleet I (CRC-32 of its name), sender Q, seq I, target Q;
then items, each type B, length B, body; at last a CRC-32 of all before. CRC-32 finds every flip of a burst up
to 32 bits and costs nothing beside the rest; whoever can forge it can forge any sum without a key.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from applehub.peers.records import BOUNDS, Body, Limit, Shares, Told, Verdict

MAGIC, FORMAT = b"aH", 1
MOST = 1200  # bytes of a datagram, so that no network cuts it in two
MOST_NAME = 48  # bytes of a router's name
MOST_KINDS = 16  # of servers in one record, whose length is a byte
MILLI = 1_000_000
HEAD = struct.Struct("!2sBBIQIQ")
SUM = struct.Struct("!I")
ITEM = struct.Struct("!BB")
PEER = struct.Struct("!QIB4sH")
STAMP = struct.Struct("!QQIH")  # writer, subject, version, age in ms
LIMIT = struct.Struct("!2f")
SHARE = struct.Struct("!Qf")
VERDICT = struct.Struct("!?H")


class Kind(IntEnum):
    """What a datagram asks."""

    PROBE = 1  # answer me
    ANSWER = 2  # to a probe, or passed on for one that was asked for
    ASK = 3  # probe the target for me
    LEAVE = 4  # the sender ends
    TELL = 5  # no answer is wanted


class Item(IntEnum):
    """What a datagram carries beside."""

    PEER = 1
    LIMIT = 2
    SHARES = 3
    VERDICT = 4


class Standing(IntEnum):
    """What is held of a peer; of one incarnation the greater wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Peer:
    """One process of a router, as it is told of. host: four bytes of an IPv4 address."""

    life: int
    incarnation: int
    standing: Standing
    host: bytes
    port: int
    name: str

    @property
    def rank(self) -> tuple[int, int]:
        """The order of two tellings of one life."""
        return self.incarnation, self.standing


@dataclass(slots=True)
class Datagram:
    """A datagram as it was read. ages: with each record, ns."""

    kind: Kind
    sender: int
    seq: int
    target: int
    peers: list[Peer] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)  # born: minus the age, ns


class DatagramError(ValueError):
    """A datagram that is dropped; its text is the name it is counted under."""


KINDS_OF: dict[type[Body], Item] = {Limit: Item.LIMIT, Shares: Item.SHARES, Verdict: Item.VERDICT}
MOST_AGE = 0xFFFF


def encode_peer(peer: Peer) -> bytes:
    """The item for a peer."""
    name = peer.name.encode()[:MOST_NAME]
    body = PEER.pack(peer.life, peer.incarnation, peer.standing, peer.host, peer.port) + name
    return ITEM.pack(Item.PEER, len(body)) + body


def encode_told(one: Told, now: int) -> bytes:
    """The item for a record, with its age by now."""
    age = min(max(0, now - one.born) // MILLI, MOST_AGE)
    body = STAMP.pack(one.writer, one.subject, one.version, age)
    match one.body:
        case Limit(rate, spent):
            body += LIMIT.pack(rate, spent)
        case Shares(by_kind):
            body += b"".join(SHARE.pack(kind, share) for kind, share in by_kind[:MOST_KINDS])
        case Verdict(failing, attempts):
            body += VERDICT.pack(failing, min(attempts, 0xFFFF))
    return ITEM.pack(KINDS_OF[type(one.body)], len(body)) + body


class Packer:
    """Fills one datagram up to its bound."""

    def __init__(self, fleet: int, kind: Kind, sender: int, seq: int, target: int) -> None:
        self.parts = [HEAD.pack(MAGIC, FORMAT, kind, fleet, sender, seq, target)]
        self.size = HEAD.size + SUM.size

    def add(self, item: bytes, room: int = MOST) -> bool:
        """Adds an item if the datagram stays within so many bytes; whether it did."""
        if self.size + len(item) > room:
            return False
        self.parts.append(item)
        self.size += len(item)
        return True

    def whole(self) -> bytes:
        content = b"".join(self.parts)
        return content + SUM.pack(crc32(content))


def _items(data: bytes) -> Iterator[tuple[int, bytes]]:
    at, end = HEAD.size, len(data) - SUM.size
    while at < end:
        if at + ITEM.size > end:
            raise DatagramError("cut")
        kind, length = ITEM.unpack_from(data, at)
        at += ITEM.size
        if at + length > end:
            raise DatagramError("cut")
        yield kind, data[at : at + length]
        at += length


def _body(kind: int, rest: bytes) -> Body:
    if kind == Item.LIMIT:
        return Limit(*LIMIT.unpack_from(rest))
    if kind == Item.SHARES:
        return Shares(tuple(SHARE.iter_unpack(rest)))
    return Verdict(*VERDICT.unpack_from(rest))


def _sensible(body: Body) -> bool:
    """Whether the figures are such as a router could have."""
    match body:
        case Limit(rate, spent):
            return 0 <= rate < 1e9 and 0 <= spent < 1e9
        case Shares(by_kind):
            return all(0 < share <= 1 for _, share in by_kind)
    return True


def decode(data: bytes, fleet: int) -> Datagram:
    """Reads a datagram. Raises DatagramError."""
    if len(data) < HEAD.size + SUM.size or data[:2] != MAGIC:
        raise DatagramError("foreign")
    if data[2] != FORMAT:
        raise DatagramError("format")
    if SUM.unpack_from(data, len(data) - SUM.size)[0] != crc32(data[: -SUM.size]):
        raise DatagramError("checksum")
    _, _, kind, of, sender, seq, target = HEAD.unpack_from(data)
    if of != fleet:
        raise DatagramError("fleet")
    try:
        read = Datagram(Kind(kind), sender, seq, target)
        for item, body in _items(data):
            if item == Item.PEER:
                life, incarnation, standing, host, port = PEER.unpack_from(body)
                name = body[PEER.size :].decode()
                read.peers.append(Peer(life, incarnation, Standing(standing), host, port, name))
            elif item in KINDS_OF.values():
                writer, subject, version, age = STAMP.unpack_from(body)
                what = _body(item, body[STAMP.size :])
                if not _sensible(what) or (subject and not isinstance(what, Verdict)):
                    raise DatagramError("figures")
                if age * MILLI <= BOUNDS[type(what)].age:
                    read.told.append(Told(writer, subject, version, -age * MILLI, what))
    except (struct.error, UnicodeDecodeError, ValueError) as problem:
        if isinstance(problem, DatagramError):
            raise
        raise DatagramError("malformed") from None
    return read
