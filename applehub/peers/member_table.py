"""The processes that a process knows, and which description of one of them wins."""

import math
import random
from collections.abc import Iterator
from dataclasses import replace

from applehub.peers.codec import Peer, PeerState
from applehub.peers.records import SECOND

SUSPICION_TICKS = 5  # times the logarithm of the members: ticks in which a suspect may refute
MIN_SUSPICION = SECOND
FORGET_AFTER = 60 * SECOND  # from a death until the member id is forgotten; nobody gossips it for as long
ABSENT = (PeerState.DEAD, PeerState.LEFT)


class MemberTable:
    """The members as one process knows them, itself among them."""

    def __init__(self, me: Peer, generator: random.Random, tick: int) -> None:
        """Begin with this process alone. tick: ns between two probes."""
        self.me = me
        self.random = generator
        self.period = tick
        self.peers: dict[int, Peer] = {}  # by member id: all but itself, absent ones for a while too
        self.state_since: dict[int, int] = {}  # by member id: when its state was taken up
        self.updates: dict[int, int] = {}  # by member id: how often a change was gossiped
        self.probe_order: list[int] = []  # member ids still to be probed in this round
        self.alive = 1  # members, itself and suspects included

    def members(self) -> Iterator[Peer]:
        """Yield the peers that are alive or suspected."""
        return (peer for peer in self.peers.values() if peer.state not in ABSENT)

    def is_present(self, member_id: int) -> bool:
        """Whether a process is held to be alive or only suspected; itself always is."""
        peer = self.peers.get(member_id)
        return member_id == self.me.member_id or (peer is not None and peer.state not in ABSENT)

    @property
    def log_members(self) -> int:
        """The binary logarithm of the members, rounded up: rounds that gossip takes to reach all."""
        return math.ceil(math.log2(self.alive + 1))

    @property
    def suspicion_timeout(self) -> int:
        """How long a suspect may refute, ns."""
        return max(MIN_SUSPICION, SUSPICION_TICKS * self.log_members * self.period)

    def merge(self, now: int, peer: Peer) -> bool:
        """Take up a description of a process; return whether it was newer than what was known.

        A description that doubts this process itself is refuted by raising the own incarnation.
        """
        if peer.member_id == self.me.member_id:
            self._refute(peer)
            return False
        known = self.peers.get(peer.member_id)
        if known is not None and peer.rank <= known.rank:
            return False
        if known is None and peer.state in ABSENT:
            return False  # an end is of interest only to those who knew the process
        self.peers[peer.member_id] = peer
        self.updates[peer.member_id] = 0
        was_present = known is not None and known.state not in ABSENT
        if known is None or known.state is not peer.state:
            self.state_since[peer.member_id] = now
        self.alive += (peer.state not in ABSENT) - was_present
        if known is None:
            self.probe_order.insert(self.random.randrange(len(self.probe_order) + 1), peer.member_id)
        return True

    def shift_times(self, duration: int) -> None:
        """Count a time in which this process stood still (ns) for nobody's suspicion."""
        self.state_since = {member_id: since + duration for member_id, since in self.state_since.items()}

    def expire(self, now: int) -> None:
        """Declare suspects dead that did not refute in time; forget members that ended long ago."""
        for member_id, peer in list(self.peers.items()):
            elapsed = now - self.state_since[member_id]
            if peer.state is PeerState.SUSPECT and elapsed > self.suspicion_timeout:
                self.merge(now, replace(peer, state=PeerState.DEAD))
            elif peer.state in ABSENT and elapsed > FORGET_AFTER:
                del self.peers[member_id]
                del self.state_since[member_id]
                self.updates.pop(member_id, None)

    def next_to_probe(self) -> Peer | None:
        """Return the next peer of a shuffled round, so that nobody waits longer than one round (SWIM)."""
        for _ in range(len(self.probe_order) + len(self.peers) + 1):
            if not self.probe_order:
                self.probe_order = [peer.member_id for peer in self.members()]
                self.random.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            peer = self.peers.get(self.probe_order.pop())
            if peer is not None and peer.state not in ABSENT:
                return peer
        return None

    def sample(self, count: int) -> list[Peer]:
        """Draw at most so many present peers."""
        present = list(self.members())
        return self.random.sample(present, min(count, len(present)))

    def _refute(self, description: Peer) -> None:
        if description.state is not PeerState.ALIVE and description.incarnation >= self.me.incarnation:
            self.me = replace(self.me, incarnation=description.incarnation + 1)
