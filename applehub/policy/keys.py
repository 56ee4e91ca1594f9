"""Assignment of keys to servers, popularity of keys, and prediction of cache hits."""

import math
from collections.abc import Iterator
from itertools import chain, islice
from zlib import crc32

from applehub.policy.rates import SMOOTHING

MAX_KEYS = 1 << 14  # maximum size of the hit history; the least recently used keys are dropped first
MAX_ASSIGNMENTS = 32  # maximum number of server lists between which keys migrate at a time
SAMPLES_PER_SERVER = 8  # requests counted per server before the counts are halved
SMALL_FRACTION = 1 / 8  # fraction of a server's fair share up to which a key is not hot
MIN_REQUESTS_PER_REPLICA = 2  # requests that justify a replica, since the first one misses
UNKNOWN_AGE = 63  # age bucket of keys that are not in the history


class KeyRanges:
    """Equal ranges of the hash space, assigned to the sorted server names of a list.

    When the list changes, each key migrates to the new list at a time that its hash determines, within one
    period. This prevents a burst of misses and lets the key range of a warming server grow.
    """

    def __init__(self, period: int) -> None:
        self.period = max(1, period)
        self.assignments: list[tuple[int, list[str]]] = [(0, [])]

    def assign(self, now: int, names: list[str]) -> None:
        """Adds a list if it differs from the current one, and drops lists that no key uses any more."""
        if names is not self.assignments[-1][1] and names != self.assignments[-1][1]:
            self.assignments.append((now, names))
        newest_complete = max(
            n for n, (since, _) in enumerate(self.assignments) if n < 1 or since <= now - self.period
        )
        self.assignments = assignments = (
            self.assignments[max(newest_complete, not self.assignments[0][1]) :] or self.assignments
        )
        if len(assignments) > MAX_ASSIGNMENTS:
            # Drops the list that is closest in time to its neighbours.
            del assignments[
                min(range(1, MAX_ASSIGNMENTS), key=lambda n: assignments[n + 1][0] - assignments[n - 1][0])
            ]

    def locate(self, key: str, now: int) -> tuple[float, int, str, Iterator[str]]:
        """Locates a key in the ranges.

        Returns the position of the key in its range, from 0 to 1; the time at which the key last migrated;
        the owner of its range in the list of that time; and the candidate servers in order: this owner, the
        current owner, and the owners of the following ranges.
        """
        key_hash, current_names = crc32(key.encode()), self.assignments[-1][1]
        migrated_at = now - (now - ((key_hash & 0xFFFF) * self.period >> 16)) % self.period
        previous_names = next(
            (names for since, names in reversed(self.assignments) if since <= migrated_at),
            self.assignments[0][1],
        )
        start, position = divmod(key_hash * len(current_names), 1 << 32)
        owner = (previous_names and previous_names[key_hash * len(previous_names) >> 32]) or (
            current_names[start] if current_names else ""
        )
        return position / 2**32, migrated_at, owner, self._search_order(owner, current_names, start)

    @staticmethod
    def _search_order(owner: str, order: list[str], start: int) -> Iterator[str]:
        """Yields the candidate servers lazily, since the first is usually available."""
        if order or owner:
            yield owner
        for name in chain(islice(order, start, None), islice(order, start)):
            if name != owner:
                yield name


class KeyCounts:
    """Counts of this router's recent requests by key.

    All counts are halved when there are `samples` requests per server; keys with one request are dropped
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
        previous_count = self.key_counts.get(key, 0)
        self.key_counts[key] = previous_count + 1
        self.total += 1
        return previous_count

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
        """Counts a request and returns how many more ranges its key may get: two per fair share of requests.

        Returns 0 for a key with less than one fair share, which is not hot.

        proven: whether the count must be significant, see `KeyCounts.is_significant`; otherwise the shorter
        counts are used as they are.
        """
        servers, largest = max(1, servers), 0
        for counts in self.counts:
            previous_count = counts.add(key, servers)
            if previous_count * servers < counts.total:
                continue
            # A server can bear about two fair shares.
            ranges = 2 * previous_count * servers // counts.total
            if not proven:
                largest = ranges if counts is self.counts[0] else largest
            elif previous_count > 1 and counts.is_significant(previous_count, servers):
                largest = max(largest, min(ranges, previous_count // MIN_REQUESTS_PER_REPLICA))
        return largest


class HitHistory:
    """Time of the last use of recent keys, and the hit rate by the time since the last use."""

    def __init__(self) -> None:
        self.last_used: dict[str, int] = {}
        # Hit rate by age bucket; the last bucket is for unknown keys, which count as misses at first.
        self.hit_rate = [1.0] * UNKNOWN_AGE + [0.0]

    def _age_bucket(self, key: str, now: int) -> int:
        """Returns the bit length of the time since the last use, in units of 2**26 ns, or UNKNOWN_AGE."""
        return (now - self.last_used[key] >> 26).bit_length() if key in self.last_used else UNKNOWN_AGE

    def likely_miss(self, key: str, now: int) -> bool:
        """Whether a request for a key is more likely a miss than a hit."""
        return self.hit_rate[self._age_bucket(key, now)] < 0.5

    def observe(self, key: str, now: int, hit: bool) -> None:
        """Records a hit or a miss of a key."""
        bucket = self._age_bucket(key, now)
        self.hit_rate[bucket] += (hit - self.hit_rate[bucket]) * SMOOTHING
        self.last_used.pop(key, None)
        if hit:
            self.remember(key, now)

    def remember(self, key: str, now: int) -> None:
        """Records that a cache server now has a key."""
        self.last_used.pop(key, None)
        self.last_used[key] = now
        if len(self.last_used) > MAX_KEYS:
            del self.last_used[next(iter(self.last_used))]
