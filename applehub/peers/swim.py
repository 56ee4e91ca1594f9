"""Who is there: SWIM's probes, suspicion and refutation, as a pure machine.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(2002); a process that slept blames nobody, and a suspect is told so by whoever speaks to it, after Dadgar,
Phillips and Currey, "Lifeguard" (2018). Time comes in with each call, in ns; a tick is one probe.
"""

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from heapq import nsmallest

from applehub.peers.codec import Kind, Peer, Standing

SECOND = 1_000_000_000
ASK_AFTER, SUSPECT_AFTER = 3, 8  # ticks without an answer: others are asked to try; it is suspected
HELPERS = 3  # who are asked to try
DOUBT = 5  # ticks, times the logarithm of the members, in which a suspect may refute
LEAST_DOUBT = SECOND
RETOLD = 3  # times the logarithm of the members that a change is told by each
FORGET = 60 * SECOND  # from a death until the number is forgotten; nobody tells of it for as long
FAR = 20  # ticks between tries of a configured address, or of one that died
SLEPT = 4  # ticks without a tick: this process stood still
MOST_RELAYED = 1024  # probes for others that are out: one for each member of the largest fleet in a second
MOST_CHANGES = 12  # told of in one datagram
ABSENT = (Standing.DEAD, Standing.LEFT)


@dataclass(frozen=True, slots=True)
class Call:
    """A datagram to be sent: to a peer as it is known, or to a configured address by its name."""

    to: Peer | str
    kind: Kind
    seq: int
    target: int  # the life that is meant; 0: whoever is there


@dataclass(slots=True)
class Probe:
    """A probe that is out."""

    life: int
    sent: int
    asked: bool = False


class Membership:
    """The members as this process knows them, itself among them."""

    def __init__(self, me: Peer, names: list[str], seed: int, tick: int) -> None:
        """names: of the configured routers, itself left out. tick: ns between two calls of tick()."""
        self.me, self.names, self.period = me, names, tick
        self.random = random.Random(seed)
        self.peers: dict[int, Peer] = {}  # all but itself, those that are gone for a while too
        self.since: dict[int, int] = {}  # when the standing of each became what it is
        self.news: dict[int, int] = {}  # lives to be told of, with how often they were
        self.probes: dict[int, Probe] = {}
        self.relayed: dict[int, tuple[int, int, int]] = {}  # own probe: for whom, under what number, when
        self.order: list[int] = []
        self.cursor: list[int] = []
        self.seq = self.ticks = 0
        self.last = -1
        self.alive = 1  # members, itself too; suspects count

    # What is known

    def members(self) -> Iterator[Peer]:
        """Those that are there or only suspected, without itself."""
        return (one for one in self.peers.values() if one.standing not in ABSENT)

    def present(self, life: int) -> bool:
        """Whether a process is held to be there."""
        one = self.peers.get(life)
        return life == self.me.life or (one is not None and one.standing not in ABSENT)

    @property
    def _log(self) -> int:
        return math.ceil(math.log2(self.alive + 1))

    @property
    def doubt(self) -> int:
        """How long a suspect has to refute, ns."""
        return max(LEAST_DOUBT, DOUBT * self._log * self.period)

    def merge(self, now: int, heard: Peer) -> bool:
        """Takes up what is told of a process; whether it was news. Of one life the higher rank wins."""
        if heard.life == self.me.life:
            if heard.standing is not Standing.ALIVE and heard.incarnation >= self.me.incarnation:
                self.me = replace(self.me, incarnation=heard.incarnation + 1)  # it lives
            return False
        held = self.peers.get(heard.life)
        if held is not None and heard.rank <= held.rank:
            return False
        if held is None and heard.standing in ABSENT:
            return False  # no grave for whom nobody here has met
        self.peers[heard.life] = heard
        self.news[heard.life] = 0
        was = held is not None and held.standing not in ABSENT
        if held is None or held.standing is not heard.standing:
            self.since[heard.life] = now
        self.alive += (heard.standing not in ABSENT) - was
        if held is None:
            self.order.insert(self.random.randrange(len(self.order) + 1), heard.life)
        return True

    # Time

    def tick(self, now: int) -> list[Call]:
        """One period has passed: judges the probes that are out, and sends the next."""
        if self.last >= 0 and now - self.last > SLEPT * self.period:
            slept = now - self.last
            self.probes.clear()  # Lifeguard: it was not there to hear the answers
            self.since = {life: at + slept for life, at in self.since.items()}
        self.last = now
        self.ticks += 1
        calls = self._judge(now)
        self._age(now)
        target = self._next()
        if target is not None:
            calls.append(self._probe(now, target))
        if self.ticks % FAR == 1 or (target is None and self.ticks % 4 == 1):
            far = self._far()
            if far is not None:
                self.seq += 1
                calls.append(Call(far, Kind.PROBE, self.seq, 0))
        return calls

    def _probe(self, now: int, target: Peer) -> Call:
        self.seq += 1
        self.probes[self.seq] = Probe(target.life, now)
        return Call(target, Kind.PROBE, self.seq, target.life)

    def _next(self) -> Peer | None:
        """The next of a shuffled round, as SWIM has it: nobody waits longer than a round."""
        for _ in range(len(self.order) + len(self.peers) + 1):
            if not self.order:
                self.order = [one.life for one in self.members()]
                self.random.shuffle(self.order)
                if not self.order:
                    return None
            peer = self.peers.get(self.order.pop())
            if peer is not None and peer.standing not in ABSENT:
                return peer
        return None

    def _far(self) -> Peer | str | None:
        """An address where somebody may be that is not known to be there: a fleet cut in two finds itself."""
        here = {one.name for one in self.members()}
        away: list[Peer | str] = [name for name in self.names if name not in here]
        away += [one for one in self.peers.values() if one.standing is Standing.DEAD]
        return self.random.choice(away) if away else None

    def _judge(self, now: int) -> list[Call]:
        calls: list[Call] = []
        for seq, probe in list(self.probes.items()):
            waited, peer = now - probe.sent, self.peers.get(probe.life)
            if peer is None or peer.standing in ABSENT or waited > SUSPECT_AFTER * self.period:
                del self.probes[seq]
                if peer is not None and peer.standing is Standing.ALIVE:
                    self.merge(now, replace(peer, standing=Standing.SUSPECT))
            elif waited >= ASK_AFTER * self.period and not probe.asked:
                probe.asked = True
                others = [one for one in self.members() if one.life != probe.life]
                for helper in self.random.sample(others, min(HELPERS, len(others))):
                    calls.append(Call(helper, Kind.ASK, seq, probe.life))
        return calls

    def _age(self, now: int) -> None:
        for life, peer in list(self.peers.items()):
            waited = now - self.since[life]
            if peer.standing is Standing.SUSPECT and waited > self.doubt:
                self.merge(now, replace(peer, standing=Standing.DEAD))
            elif peer.standing in ABSENT and waited > FORGET:
                del self.peers[life], self.since[life]
                self.news.pop(life, None)
        self.relayed = {seq: one for seq, one in self.relayed.items() if now - one[2] < SECOND}

    # Datagrams

    def asked(self, now: int, kind: Kind, sender: int, seq: int, target: int) -> list[Call]:
        """Somebody that is known probes, answers, asks for a probe, or leaves."""
        peer = self.peers.get(sender)
        if peer is None:
            return []
        if kind is Kind.PROBE:
            return [Call(peer, Kind.ANSWER, seq, sender)] if target in (0, self.me.life) else []
        if kind is Kind.LEAVE:
            self.merge(now, replace(peer, standing=Standing.LEFT))
            return []
        if kind is Kind.TELL:
            return []
        if kind is Kind.ASK:
            subject = self.peers.get(target)
            if subject is None or len(self.relayed) >= MOST_RELAYED:
                return []
            self.seq += 1
            self.relayed[self.seq] = (sender, seq, now)
            return [Call(subject, Kind.PROBE, self.seq, target)]
        self.probes.pop(seq, None)
        origin = self.relayed.pop(seq, None)
        back = self.peers.get(origin[0]) if origin is not None else None
        return [Call(back, Kind.ANSWER, origin[1], back.life)] if origin is not None and back else []

    def to_some(self, count: int) -> list[Call]:
        """Datagrams to a few beside the one that is probed, for what is urgent."""
        there = list(self.members())
        some = self.random.sample(there, min(count, len(there)))
        return [Call(one, Kind.TELL, 0, one.life) for one in some]

    def leaving(self) -> list[Call]:
        """Tells a few that this process ends; they tell the others."""
        there = list(self.members())
        return [Call(one, Kind.LEAVE, 0, one.life) for one in self.random.sample(there, min(8, len(there)))]

    def fill(self, add: Callable[[Peer], bool], most: int) -> None:
        """Offers a datagram so many peers at the most: itself first, then changes, those told least first,
        then others in turn: what was lost comes up. Who finds no room keeps its turn for the next."""
        add(self.me)
        often, told = RETOLD * self._log, self.news
        changed = nsmallest(MOST_CHANGES, told, key=told.__getitem__)
        for life in changed:
            peer = self.peers.get(life)
            if peer is not None and not add(peer):
                return
            told[life] += 1
            if told[life] > often:
                del told[life]
        left = most - 1 - len(changed)
        for _ in range(len(self.peers)):
            if not self.cursor:
                self.cursor = list(self.peers)
            peer = self.peers.get(self.cursor[-1])
            if peer is not None and peer.standing not in ABSENT:
                if left <= 0 or not add(peer):
                    return
                left -= 1
            self.cursor.pop()
