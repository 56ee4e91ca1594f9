"""What routers publish by gossip: origin limits, range shares and health verdicts.

Times are nanoseconds of the holder's own monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple

SECOND = 1_000_000_000
DIGEST_BYTES = 8


def digest(name: str) -> int:
    """Return the 64-bit number that stands for a name in datagrams, the same at every router."""
    return int.from_bytes(blake2b(name.encode(), digest_size=DIGEST_BYTES).digest())


@dataclass(frozen=True, slots=True)
class Limit:
    """What a router may draw from the origin, and what it draws.

    rate: tokens a second that the router's throttle admits; 0 means that the throttle is off.
    spent: tokens a second that it spends.
    """

    rate: float
    spent: float


@dataclass(frozen=True, slots=True)
class Shares:
    """The part of an equal key range that servers of each kind can bear.

    by_kind: pairs of a kind's digest and its part, above 0 and at most 1.
    """

    by_kind: tuple[tuple[int, float], ...]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a server fails the writer.

    attempts: failed attempts in a row on which the verdict rests.
    """

    failing: bool
    attempts: int


Body = Limit | Shares | Verdict


class RecordKey(NamedTuple):
    """What identifies a record; a newer version with the same key replaces it.

    subject: digest of the server that a verdict is about, 0 for the other types.
    writer: member id of the process that published the record.
    """

    body_type: type[Body]
    subject: int
    writer: int


@dataclass(frozen=True, slots=True)
class Retention:
    """How long records of one type count, and how many are held.

    max_age: ns after which a record no longer counts.
    max_writers: records held for one subject.
    """

    max_age: int
    max_writers: int


RETENTION: dict[type[Body], Retention] = {
    Limit: Retention(2 * SECOND, 32),
    Shares: Retention(6 * SECOND, 32),
    Verdict: Retention(2 * SECOND, 8),
}


def type_name(body_type: type[Body]) -> str:
    """Return the name under which operators see a type of record: `limit`, `shares` or `verdict`."""
    return body_type.__name__.lower()


@dataclass(frozen=True, slots=True)
class Record:
    """One published record.

    version: raised by the writer with each publication.
    created_at: when the writer published it, in the holder's clock; in a decoded datagram minus its age.
    """

    writer: int
    subject: int
    version: int
    created_at: int
    body: Body

    @property
    def key(self) -> RecordKey:
        """What identifies the record among others."""
        return RecordKey(type(self.body), self.subject, self.writer)

    def supersedes(self, other: "Record") -> bool:
        """Whether this record replaces another with the same key: a higher version, or the same, older."""
        return (self.version, -self.created_at) > (other.version, -other.created_at)


def sampled_writers(member_ids: Iterable[int]) -> set[int]:
    """Return the processes whose limits and shares the fleet holds: those with the lowest ids.

    Ids are drawn evenly, so the lowest ones are an even sample of the fleet.
    """
    return set(nsmallest(RETENTION[Limit].max_writers, member_ids))
