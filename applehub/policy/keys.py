"""Assignment of keys to servers, popularity of keys, and prediction of cache hits."""

import math
from collections.abc import Iterator
from itertools import chain, islice
from zlib import crc32

from applehub.policy.rates import SMOOTHING

MAX_KEYS = 1 << 14  # in the hit history; the least recent are dropped first
MAX_ASSIGNMENTS = 32  # server lists kept while keys migrate between them
SAMPLES_PER_SERVER = 8  # requests counted per server before the counts are halved
SMALL_FRACTION = 1 / 8  # of a server's fair share; a key with no more is not hot
MIN_REQUESTS_PER_REPLICA = 2  # the first request misses at a new replica
UNKNOWN_AGE = 63  # age bucket of keys that are not in the history


class KeyRanges:
    """Equal ranges of the hash space, assigned to the sorted server ids of a list.

    When the list changes, each key migrates to the new one at a time that its hash determines, within one
    period. This prevents a burst of misses and lets the key range of a warming server grow.
    """

    def __init__(self, period: int) -> None:
        self.period = max(1, period)
        self.assignments: list[tuple[int, list[str]]] = [(0, [])]

    def assign(self, now: int, names: list[str]) -> None:
        """Adds a new list and drops those from which every key has migrated."""
        if names is not self.assignments[-1][1] and names != self.assignments[-1][1]:
            self.assignments.append((now, names))
        done = max(n for n, (since, _) in enumerate(self.assignments) if n < 1 or since <= now - self.period)
        self.assignments = assignments = (
            self.assignments[max(done, not self.assignments[0][1]) :] or self.assignments
        )
        if len(assignments) > MAX_ASSIGNMENTS:
            # Drops the list that is closest in time to its neighbours.
            del assignments[
                min(range(1, MAX_ASSIGNMENTS), key=lambda n: assignments[n + 1][0] - assignments[n - 1][0])
            ]

    def locate(self, key: str, now: int) -> tuple[float, int, str, Iterator[str]]:
        """Returns the place of a key.

        The result is the position of the key in its range, from 0 to 1; the time at which it last migrated;
        the owner of its range in the list of that time; and the servers to try in order: this owner, the
        current owner, and the next ones in range order.
        """
        code, current = crc32(key.encode()), self.assignments[-1][1]
        migrated_at = now - (now - ((code & 0xFFFF) * self.period >> 16)) % self.period
        previous = next(
            (names for since, names in reversed(self.assignments) if since <= migrated_at),
            self.assignments[0][1],
        )
        start, position = divmod(code * len(current), 1 << 32)
        owner = (previous and previous[code * len(previous) >> 32]) or (current[start] if current else "")
        return position / 2**32, migrated_at, owner, self._search_order(owner, current, start)

    @staticmethod
    def _search_order(owner: str, order: list[str], start: int) -> Iterator[str]:
        """Yields lazily, since the first server is usually available."""
        if order or owner:
            yield owner
        for name in chain(islice(order, start, None), islice(order, start)):
            if name != owner:
                yield name


class KeyCounts:
    """Request counts by key of this router's most recent requests.

    All counts are halved once there are enough samples per server; keys with the lowest counts are dropped
    when there are too many keys.
    """

    def __init__(self, samples: int) -> None:
        self.samples = samples
        self.key_counts: dict[str, int] = {}
        self.total = 0

    def add(self, key: str, servers: int) -> int:
        """Counts a request and returns the previous count of its key."""
        if self.total >= self.samples * servers:
            self.key_counts = {name: count // 2 for name, count in self.key_counts.items() if count > 1}
            self.total //= 2
        elif len(self.key_counts) >= SAMPLES_PER_SERVER * servers:
            self.key_counts = {name: count for name, count in self.key_counts.items() if count > 1}
        before = self.key_counts.get(key, 0)
        self.key_counts[key] = before + 1
        self.total += 1
        return before

    def is_significant(self, count: int, servers: int) -> bool:
        """Whether a key with this count almost certainly has more than SMALL_FRACTION of a fair share.

        By Chernoff's bound, a Poisson variable with mean m reaches c with a probability of at most
        exp(-(c ln(c/m) - c + m)). The check limits this probability times the number of counted keys to 1, so
        at most one key with a smaller share is expected to pass, for any number of servers.
        """
        mean = self.total / servers * SMALL_FRACTION
        return count * (math.log(count / mean) - 1) + mean >= math.log(len(self.key_counts))


class Popularity:
    """Detects keys that make up at least a server's fair share of this router's recent requests."""

    def __init__(self) -> None:
        # The shorter counts detect a newly hot key quickly; the longer ones detect a barely hot key.
        self.counts = KeyCounts(SAMPLES_PER_SERVER), KeyCounts(2 * SAMPLES_PER_SERVER)

    def count_fair_shares(self, key: str, servers: int, proven: bool = True) -> int:
        """Counts a request and returns how many servers' fair shares of all requests its key makes up.

        proven: whether the count must be significant, see `KeyCounts.is_significant`; otherwise the shorter
        counts are used as they are.
        """
        servers, largest = max(1, servers), 0
        for one in self.counts:
            before = one.add(key, servers)
            if before * servers < one.total:
                continue
            ranges = 2 * before * servers // one.total  # a server can serve about two fair shares
            if not proven:
                largest = ranges if one is self.counts[0] else largest
            elif before > 1 and one.is_significant(before, servers):
                largest = max(largest, min(ranges, before // MIN_REQUESTS_PER_REPLICA))
        return largest


class HitHistory:
    """Recent use of keys, and the hit rate by the time since the last use."""

    def __init__(self) -> None:
        self.last_used: dict[str, int] = {}
        # By the logarithm of the age; the last entry is for unknown keys, which count as misses at first.
        self.hit_rate = [1.0] * UNKNOWN_AGE + [0.0]

    def _age(self, key: str, now: int) -> int:
        return (now - self.last_used[key] >> 26).bit_length() if key in self.last_used else UNKNOWN_AGE

    def likely_miss(self, key: str, now: int) -> bool:
        """Whether a request for a key is more likely a miss than a hit."""
        return self.hit_rate[self._age(key, now)] < 0.5

    def observe(self, key: str, now: int, hit: bool) -> None:
        """Records a hit or a miss of a key."""
        age = self._age(key, now)
        self.hit_rate[age] += (hit - self.hit_rate[age]) * SMOOTHING
        self.last_used.pop(key, None)
        if hit:
            self.remember(key, now)

    def remember(self, key: str, now: int) -> None:
        """Records that a cache server now has a key."""
        self.last_used.pop(key, None)
        self.last_used[key] = now
        if len(self.last_used) > MAX_KEYS:
            del self.last_used[next(iter(self.last_used))]
