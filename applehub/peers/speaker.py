"""One process among its peers: ticks and datagrams in, datagrams and a view of the fleet out. Pure.

Whoever hosts it calls `tick` each period, `heard` for each datagram, and sends what they give.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import nsmallest
from statistics import median
from zlib import crc32

from applehub.peers.codec import (
    MOST,
    DatagramError,
    Kind,
    Packer,
    Peer,
    Standing,
    decode,
    encode_peer,
    encode_told,
)
from applehub.peers.records import BOUNDS, SECOND, Body, Book, Key, Limit, Shares, Told, Verdict, sample
from applehub.peers.swim import FORGET, MOST_CHANGES, Call, Membership

RETELL: dict[type[Body], int] = {Limit: SECOND // 2, Shares: 2 * SECOND, Verdict: SECOND // 2}
PEERS_TOLD, PEERS_TO_NEWCOMER = 4, 20  # in a datagram, beside what has changed
PEERS_ROOM = MOST * 3 // 4  # bytes of a datagram that peers may fill while there are records to tell
WILD = 4  # times the median at which a figure is cut: one liar in ten moves a sum by a third, and no more
Out = tuple[Peer | str, bytes]  # to a peer as it is known, or to a configured router by its name
URGENT, FANOUT = 4, 2  # times that a verdict is news to be hurried, and to how many more each tick
MOST_PARTS = 40  # records in one datagram that are looked through for room


@dataclass(frozen=True, slots=True)
class Accused:
    """What peers say of a server: how many hold that it fails, of how many that say anything."""

    failing: int
    of: int


@dataclass(slots=True)
class View:
    """The fleet as it is heard. All but `routers` leaves out what has passed its bound."""

    routers: int = 1  # processes that are there, itself too
    limits: int = 0  # peers whose limits are heard
    rate: float = 0.0  # tokens a second that all may draw, itself too
    spent: float = 0.0  # and that they draw
    shares: dict[int, float] = field(default_factory=dict)  # by kind: the peers' mean
    accused: dict[int, Accused] = field(default_factory=dict)
    ages: dict[str, int] = field(default_factory=dict)  # by type: the greatest in use, ns


@dataclass(slots=True)
class Own:
    """What this process has to tell, and when it told it last."""

    version: int = 0
    at: int = -SECOND
    body: Body | None = None


class Speaker:
    """Membership and book of one process."""

    def __init__(self, me: Peer, fleet: str, names: list[str], seed: int, tick: int) -> None:
        """names: of the configured routers, without itself. tick: ns between two ticks."""
        self.fleet = crc32(fleet.encode())
        self.membership = Membership(me, names, seed, tick)
        self.book = Book()
        self.own: dict[tuple[type[Body], int], Own] = {}
        self.looked_through = 0  # when what was told of long ago was last let go
        self.hot: dict[Key, int] = {}  # records that are news, with how often they were told
        self.dropped: Counter[str] = Counter()  # datagrams, by why
        self.sent = self.taken = self.bytes = 0

    @property
    def life(self) -> int:
        return self.membership.me.life

    # What this process tells

    def tell(self, now: int, body: Body, subject: int = 0) -> None:
        """Takes up what the router has to tell; goes out when it differs, and again before it is old."""
        if now - self.looked_through >= FORGET:
            self.looked_through = now
            self.own = {key: one for key, one in self.own.items() if now - one.at < FORGET}
        own = self.own.setdefault((type(body), subject), Own())
        changed = isinstance(body, Verdict) and (
            not isinstance(own.body, Verdict) or body.failing is not own.body.failing
        )
        if changed or now - own.at >= RETELL[type(body)]:
            own.version, own.at, own.body = own.version + 1, now, body
            self._know(Told(self.life, subject, own.version, now, body))

    def forget(self, body: type[Body], subject: int) -> None:
        """Tells of it no more: it grows old everywhere. Its version is kept: others hold the last for a
        while, and would take one that begins anew for an older one."""
        if (body, subject) in self.own:
            self.own[body, subject].body = None

    def _know(self, one: Told) -> None:
        if self.book.merge(one):
            self.hot[one.key] = 0

    # Datagrams

    def tick(self, now: int) -> list[Out]:
        """One period has passed."""
        for key in self.book.expire(now):
            self.hot.pop(key, None)
        calls = self.membership.tick(now)
        urgent = any(key[0] is Verdict and told < URGENT for key, told in self.hot.items())
        return self._written(now, calls + self.membership.to_some(FANOUT) if urgent else calls)

    def heard(self, now: int, data: bytes) -> list[Out]:
        """Takes a datagram; gives the answers. What can't be believed is dropped and counted."""
        try:
            read = decode(data, self.fleet)
        except DatagramError as problem:
            self.dropped[str(problem)] += 1
            return []
        if read.sender == self.life:
            self.dropped["own"] += 1
            return []
        if read.target not in (0, self.life) and read.kind is not Kind.ASK:
            self.dropped["stranger"] += 1
            return []
        self.taken += 1
        newcomer = read.sender not in self.membership.peers
        for peer in read.peers:
            self.membership.merge(now, peer)
        self._read(now, read.told)
        calls = self.membership.asked(now, read.kind, read.sender, read.seq, read.target)
        return self._written(now, calls, PEERS_TO_NEWCOMER if newcomer or read.target == 0 else PEERS_TOLD)

    def _read(self, now: int, told: Iterable[Told]) -> None:
        for one in told:
            if one.writer != self.life:
                self._know(Told(one.writer, one.subject, one.version, now + one.born, one.body))

    def leave(self, now: int) -> list[Out]:
        """The last datagrams of a process that ends."""
        me = self.membership.me
        self.membership.me = Peer(me.life, me.incarnation, Standing.LEFT, me.host, me.port, me.name)
        return self._written(now, self.membership.leaving(), 0)

    def _written(self, now: int, calls: list[Call], peers: int = PEERS_TOLD) -> list[Out]:
        out: list[Out] = []
        for call in calls:
            packer = Packer(self.fleet, call.kind, self.life, call.seq, call.target)
            if isinstance(call.to, Peer) and call.to.standing is not Standing.ALIVE:
                packer.add(encode_peer(call.to))  # so that it can refute
            self._fill_peers(packer, 1 + MOST_CHANGES + peers)
            self._fill(now, packer)
            data = packer.whole()
            self.sent += 1
            self.bytes += len(data)
            out.append((call.to, data))
        return out

    def _fill_peers(self, packer: Packer, most: int) -> None:
        """Peers; long names leave room for the records that are news."""
        room = PEERS_ROOM if self.hot else MOST
        self.membership.fill(lambda peer: packer.add(encode_peer(peer), room), most)

    def _fill(self, now: int, packer: Packer) -> None:
        """Records that are news, those told least first."""
        length, hot = self.membership.alive.bit_length(), self.hot
        for key in nsmallest(MOST_PARTS, hot, key=hot.__getitem__):
            one = self.book.told.get(key)
            if one is None:
                del hot[key]
            elif packer.add(encode_told(one, now)):
                hot[key] += 1
                # What is told again and again may now and then miss one; a verdict may not.
                if hot[key] > (2 + length if key[0] is Verdict else max(4, 1 + length // 2)):
                    del hot[key]

    # What is heard

    def view(self, now: int) -> View:
        """The fleet as it is heard now."""
        view = View(routers=self.membership.alive, ages={kind.__name__.lower(): 0 for kind in BOUNDS})
        limits = list(self._heard(Limit, 0, now, view))
        view.limits = sum(one.writer != self.life for one in limits)
        if view.limits:
            bodies = [one.body for one in limits if isinstance(one.body, Limit)]
            view.rate = self._sum([one.rate for one in bodies])
            view.spent = self._sum([one.spent for one in bodies])
        by_kind: dict[int, list[float]] = {}
        for one in self._heard(Shares, 0, now, view):
            if isinstance(one.body, Shares) and one.writer != self.life:
                for kind, share in one.body.by_kind:
                    by_kind.setdefault(kind, []).append(share)
        view.shares = {kind: median(shares) for kind, shares in by_kind.items()}
        for subject in self.book.accused():
            said = [one.body for one in self._heard(Verdict, subject, now, view) if one.writer != self.life]
            failing = sum(isinstance(one, Verdict) and one.failing for one in said)
            if failing:
                view.accused[subject] = Accused(failing, len(said))
        return view

    def _heard(self, kind: type[Body], subject: int, now: int, view: View) -> Iterator[Told]:
        """Records within their bound whose writers are there; notes the greatest age among others'."""
        name = kind.__name__.lower()
        for one in self.book.of(kind, subject, now):
            if self.membership.present(one.writer):
                if one.writer != self.life:
                    view.ages[name] = max(view.ages[name], now - one.born)
                yield one

    def _sum(self, figures: list[float]) -> float:
        """Over the fleet, from a sample of it. Guards against a router that lies: none counts for more than
        a few times the median."""
        drawn = [one for one in figures if one > 0]
        bound = WILD * median(drawn or [0.0])
        return sum(min(one, bound) for one in drawn) * max(1.0, self.membership.alive / len(figures))

    @property
    def tells_limits(self) -> bool:
        """Whether this process is one of those whose limits and shares the fleet keeps."""
        there = self.membership
        return self.life in sample([self.life, *(one.life for one in there.members())])
