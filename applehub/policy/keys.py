"""Where keys lie, which are asked for most, and which were lately seen."""

import math
from collections.abc import Iterator
from itertools import chain, islice
from zlib import crc32

from applehub.policy.rates import SMOOTHING

KEYS_KEPT = 1 << 14  # keys remembered; the oldest are forgotten first
DEALS_KEPT = 32  # lists remembered while keys move; past it, the one nearest in time to its neighbours goes
SAMPLES = 8  # requests counted for each server before old ones count half
SMALL_PART = 1 / 8  # of a server's fair share: a key that has no more is not to be taken for hot
COPY_COST = 2  # requests that a copy has to be worth: the first finds it missing there
UNKNOWN = 63  # the age of keys that are not remembered


class KeyRanges:
    """The hash space in equal ranges, dealt to the sorted ids of a list. Guards against a remap flood: once
    a turn each key takes up the list, at an instant its hash gives; so too a cold server's part grows."""

    def __init__(self, turn: int) -> None:
        self.turn = max(1, turn)
        self.deals: list[tuple[int, list[str]]] = [(0, [])]

    def deal(self, now: int, names: list[str]) -> None:
        """Notes a new list; deals that every key has left behind are forgotten."""
        if names is not self.deals[-1][1] and names != self.deals[-1][1]:
            self.deals.append((now, names))
        done = max(n for n, (since, _) in enumerate(self.deals) if n < 1 or since <= now - self.turn)
        self.deals = deals = self.deals[max(done, not self.deals[0][1]) :] or self.deals
        if len(deals) > DEALS_KEPT:
            del deals[min(range(1, DEALS_KEPT), key=lambda n: deals[n + 1][0] - deals[n - 1][0])]

    def locate(self, key: str, now: int) -> tuple[float, int, str, Iterator[str]]:
        """How deep in its range a key lies, when it last took up a list, the owner of its range in that list,
        and where to look for it: there, with its owner by now, then with the next in range order."""
        code, order = crc32(key.encode()), self.deals[-1][1]
        at = now - (now - ((code & 0xFFFF) * self.turn >> 16)) % self.turn
        held = next((names for since, names in reversed(self.deals) if since <= at), self.deals[0][1])
        start, depth = divmod(code * len(order), 1 << 32)
        owner = (held and held[code * len(held) >> 32]) or (order[start] if order else "")
        return depth / 2**32, at, owner, self._around(owner, order, start)

    @staticmethod
    def _around(owner: str, order: list[str], start: int) -> Iterator[str]:
        """Guards a large fleet's processor time: mostly the first will do, and the others are not named."""
        if order or owner:
            yield owner
        for name in chain(islice(order, start, None), islice(order, start)):
            if name != owner:
                yield name


class Counts:
    """How often each key was asked for among this router's latest requests. Once there are so many for each
    server, all counts are halved. Keeps at most as many keys as are counted alike."""

    def __init__(self, samples: int) -> None:
        self.samples = samples
        self.seen: dict[str, int] = {}
        self.total = 0

    def add(self, key: str, servers: int) -> int:
        """Counts a request; gives how many there were for its key before."""
        if self.total >= self.samples * servers:
            self.seen = {name: count // 2 for name, count in self.seen.items() if count > 1}
            self.total //= 2
        elif len(self.seen) >= SAMPLES * servers:
            self.seen = {name: count for name, count in self.seen.items() if count > 1}
        before = self.seen.get(key, 0)
        self.seen[key] = before + 1
        self.total += 1
        return before

    def proves(self, count: int, servers: int) -> bool:
        """Whether a key asked for so often surely has more than SMALL_PART of a server's fair share.

        A Poisson count with mean m reaches c with a chance of at most exp(-(c ln(c/m) - c + m)), by
        Chernoff's bound. Here that chance times all keys counted is at most 1: of the keys with that part or
        less, at most one is expected to be taken for hot, at any time and any number of servers."""
        mean = self.total / servers * SMALL_PART
        return count * (math.log(count / mean) - 1) + mean >= math.log(len(self.seen))


class Popularity:
    """Which keys make up a server's fair share of this router's latest requests, or more."""

    def __init__(self) -> None:
        # The shorter counts find quickly what has become hot, the longer ones what only just is.
        self.counts = Counts(SAMPLES), Counts(2 * SAMPLES)

    def fills(self, key: str, servers: int, proven: bool = True) -> int:
        """Counts a request; tells how many servers' fair shares of all requests its key makes up.

        proven: whether that has to be proven, see `Counts.proves`; else the shorter counts' share will do.
        """
        servers, most = max(1, servers), 0
        for one in self.counts:
            before = one.add(key, servers)
            if before * servers < one.total:
                continue
            ranges = 2 * before * servers // one.total  # a server bears about two
            if not proven:
                most = ranges if one is self.counts[0] else most
            elif before > 1 and one.proves(before, servers):
                most = max(most, min(ranges, before // COPY_COST))
        return most


class KeyMemory:
    """Which keys were lately seen hit, and up to which age that made another hit likely."""

    def __init__(self) -> None:
        self.seen: dict[str, int] = {}
        # By the logarithm of the age; the last is for keys not remembered, taken as misses until seen to hit.
        self.hit_share = [1.0] * UNKNOWN + [0.0]

    def _age(self, key: str, now: int) -> int:
        return (now - self.seen[key] >> 26).bit_length() if key in self.seen else UNKNOWN

    def likely_miss(self, key: str, now: int) -> bool:
        return self.hit_share[self._age(key, now)] < 0.5

    def learn(self, key: str, now: int, hit: bool) -> None:
        age = self._age(key, now)
        self.hit_share[age] += (hit - self.hit_share[age]) * SMOOTHING
        self.seen.pop(key, None)
        if hit:
            self.put(key, now)

    def put(self, key: str, now: int) -> None:
        self.seen.pop(key, None)
        self.seen[key] = now
        if len(self.seen) > KEYS_KEPT:
            del self.seen[next(iter(self.seen))]
