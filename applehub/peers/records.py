"""Records that routers publish by gossip: origin limits, key range fractions and health verdicts.

Times are in nanoseconds of the local monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple

SECOND = 1_000_000_000  # ns per second
DIGEST_BYTES = 8  # bytes of the hash that identifies a name


def digest(name: str) -> int:
    """Returns the 64-bit hash that identifies a name in datagrams, equal on all routers."""
    return int.from_bytes(blake2b(name.encode(), digest_size=DIGEST_BYTES).digest())


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit and actual rate of the load that one router sends to the origin.

    throttle_rate: tokens per second that the router's throttle admits; 0 if the throttle is off.
    spend_rate: tokens per second that the router spends.
    """

    throttle_rate: float
    spend_rate: float


@dataclass(frozen=True, slots=True)
class Shares:
    """Fraction of an equal key range that a server of each kind can serve.

    kind_fractions: pairs of the digest of a kind and its fraction, which is in (0, 1].
    """

    kind_fractions: tuple[tuple[int, float], ...]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Health of a server as the writer of the record sees it.

    failing: whether the writer's attempts at the server fail.
    attempts: number of consecutive failed attempts.
    """

    failing: bool
    attempts: int


Body = Limit | Shares | Verdict


class RecordKey(NamedTuple):
    """Identity of a record; a newer version with the same key replaces the record.

    subject: digest of the server that a verdict is about; 0 for the other types.
    writer: member id of the process that published the record.
    """

    body_type: type[Body]
    subject: int
    writer: int


@dataclass(frozen=True, slots=True)
class Retention:
    """Retention limits of one type of record.

    max_age: age, in ns, beyond which a record is ignored and dropped.
    max_writers: maximum number of records stored per subject.
    """

    max_age: int
    max_writers: int


RETENTION: dict[type[Body], Retention] = {
    Limit: Retention(2 * SECOND, 32),
    Shares: Retention(6 * SECOND, 32),
    Verdict: Retention(2 * SECOND, 8),
}


def type_name(body_type: type[Body]) -> str:
    """Returns the name of a record type in metrics: `limit`, `shares` or `verdict`."""
    return body_type.__name__.lower()


@dataclass(frozen=True, slots=True)
class Record:
    """One published record.

    version: incremented by the writer with each publication.
    created_at: time of publication on the local clock; in a decoded datagram, the negated age.
    """

    writer: int
    subject: int
    version: int
    created_at: int
    body: Body

    @property
    def key(self) -> RecordKey:
        """Identity of the record, without its version."""
        return RecordKey(type(self.body), self.subject, self.writer)

    def supersedes(self, other: "Record") -> bool:
        """Returns whether this record replaces another with the same key.

        The higher version wins; of two records with one version, the earlier creation time wins.
        """
        return (self.version, -self.created_at) > (other.version, -other.created_at)


def sampled_writers(member_ids: Iterable[int]) -> set[int]:
    """Returns the member ids whose limits and key range fractions the fleet stores: the lowest ones.

    Member ids are uniformly random, so the lowest ones are a uniform sample of the fleet.
    """
    return set(nsmallest(RETENTION[Limit].max_writers, member_ids))
