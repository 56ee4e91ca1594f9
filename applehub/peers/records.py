"""What routers tell of themselves, and the book of what was heard.

The merge keeps, by writer and subject, the highest version, of one version the elder birth, and of each
subject the writers with the lowest numbers: commutative, associative, idempotent. Times are ns of the
holder's own monotonic clock.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest

SECOND = 1_000_000_000
MOST_SUBJECTS = 2048  # servers that verdicts are kept of; those with the lowest digests


def digest(name: str) -> int:
    """Eight bytes that stand for a name, the same at every router."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class Limit:
    """What a router may draw from the origin and what it draws, tokens a second; rate 0: no limit."""

    rate: float
    spent: float


@dataclass(frozen=True, slots=True)
class Shares:
    """The part of an equal range that servers of each kind bear, by the kind's digest."""

    by_kind: tuple[tuple[int, float], ...]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a server fails this router, and on how many attempts in a row that rests."""

    failing: bool
    attempts: int


Body = Limit | Shares | Verdict
Key = tuple[type[Body], int, int]  # type, subject (a server's digest; 0 where there is none), writer


@dataclass(frozen=True, slots=True)
class Bounds:
    """How old a type may be, ns, and how many writers of one subject are kept."""

    age: int
    writers: int


BOUNDS: dict[type[Body], Bounds] = {
    Limit: Bounds(2 * SECOND, 32),
    Shares: Bounds(6 * SECOND, 32),
    Verdict: Bounds(2 * SECOND, 8),
}


@dataclass(frozen=True, slots=True)
class Told:
    """One record: born is when its writer made it, reckoned here."""

    writer: int
    subject: int
    version: int
    born: int
    body: Body

    @property
    def key(self) -> Key:
        return type(self.body), self.subject, self.writer

    def beats(self, other: "Told") -> bool:
        return (self.version, -self.born) > (other.version, -other.born)


class Book:
    """What was heard and is not too old. Bounded: writers of a subject, and subjects."""

    def __init__(self) -> None:
        self.told: dict[Key, Told] = {}
        self.writers: dict[tuple[type[Body], int], list[int]] = {}
        self.subjects: set[int] = set()  # servers that there are verdicts of

    def merge(self, one: Told) -> bool:
        """Takes up a record; whether it was news."""
        key = one.key
        held = self.told.get(key)
        if held is not None:
            if not one.beats(held):
                return False
            self.told[key] = one
            return one.version > held.version
        kind, subject, writer = key
        writers = self.writers.setdefault((kind, subject), [])
        if len(writers) >= BOUNDS[kind].writers:
            last = max(writers)
            if writer > last:
                return False
            self._drop((kind, subject, last))
            writers = self.writers.setdefault((kind, subject), [])
        writers.append(writer)
        self.told[key] = one
        if kind is Verdict:
            self.subjects.add(subject)
        return not self._crowded_out(kind, subject)

    def _crowded_out(self, kind: type[Body], subject: int) -> bool:
        """Keeps to the bound on subjects; whether this one went."""
        if kind is not Verdict or len(self.subjects) <= MOST_SUBJECTS:
            return False
        last = max(self.subjects)
        for writer in list(self.writers[Verdict, last]):
            self._drop((Verdict, last, writer))
        return last == subject

    def _drop(self, key: Key) -> None:
        kind, subject, writer = key
        del self.told[key]
        writers = self.writers[kind, subject]
        writers.remove(writer)
        if not writers:
            del self.writers[kind, subject]
            if kind is Verdict:
                self.subjects.discard(subject)

    def expire(self, now: int) -> list[Key]:
        """Drops what has passed its bound; gives the keys."""
        old = [key for key, one in self.told.items() if now - one.born > BOUNDS[key[0]].age]
        for key in old:
            self._drop(key)
        return old

    def of(self, kind: type[Body], subject: int, now: int) -> Iterator[Told]:
        """The records of a subject that are within their bound."""
        for writer in self.writers.get((kind, subject), ()):
            one = self.told[kind, subject, writer]
            if now - one.born <= BOUNDS[kind].age:
                yield one

    def accused(self) -> list[int]:
        """The digests of servers that there are verdicts of."""
        return list(self.subjects)


def sample(lives: Iterable[int]) -> set[int]:
    """The lives whose limits and shares are told: as many as a book keeps."""
    return set(nsmallest(BOUNDS[Limit].writers, lives))
