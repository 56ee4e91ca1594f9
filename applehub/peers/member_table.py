"""Table of the known router processes, with precedence rules for conflicting descriptions."""

import math
import random
from collections.abc import Iterator
from dataclasses import replace

from applehub.peers.codec import Peer, PeerState
from applehub.peers.records import SECOND

SUSPICION_MULTIPLIER = 5  # suspicion timeout in ticks, as a multiple of log2 of the member count
MIN_SUSPICION_TIMEOUT = SECOND  # ns
ABSENT_MEMBER_RETENTION = 60 * SECOND  # ns; longer than peers gossip the death or departure of a member
ABSENT_STATES = (PeerState.DEAD, PeerState.LEFT)


class MemberTable:
    """Known members, including the local process."""

    def __init__(self, local_peer: Peer, rng: random.Random, tick_interval: int) -> None:
        """Creates a table that contains only the local process. tick_interval: ns between two probes."""
        self.local_peer = local_peer
        self.rng = rng
        self.tick_interval = tick_interval
        self.peers: dict[int, Peer] = {}  # by member id; without the local process
        self.state_changed_at: dict[int, int] = {}  # by member id; time of the last change of state, in ns
        self.update_send_counts: dict[int, int] = {}  # by member id; number of sends of its latest change
        self.probe_order: list[int] = []  # member ids still to be probed in the current round
        self.member_count = 1  # members present, including suspects and the local process

    def members(self) -> Iterator[Peer]:
        """Yields the peers that are alive or suspected."""
        return (peer for peer in self.peers.values() if peer.state not in ABSENT_STATES)

    def is_present(self, member_id: int) -> bool:
        """Returns whether a process is alive or suspected; the local process always is."""
        peer = self.peers.get(member_id)
        return member_id == self.local_peer.member_id or (
            peer is not None and peer.state not in ABSENT_STATES
        )

    @property
    def log_member_count(self) -> int:
        """Binary logarithm of the member count, rounded up: the gossip rounds needed to reach all members."""
        return math.ceil(math.log2(self.member_count + 1))

    @property
    def suspicion_timeout(self) -> int:
        """Time, in ns, during which a suspect can refute before the suspect is declared dead."""
        return max(MIN_SUSPICION_TIMEOUT, SUSPICION_MULTIPLIER * self.log_member_count * self.tick_interval)

    def merge(self, now: int, peer: Peer) -> bool:
        """Merges a description of a process; returns whether the description is newer than the known one.

        A description of the local process as not alive is refuted by a higher incarnation.
        """
        if peer.member_id == self.local_peer.member_id:
            self._refute(peer)
            return False
        known_peer = self.peers.get(peer.member_id)
        if known_peer is not None and peer.rank <= known_peer.rank:
            return False
        if known_peer is None and peer.state in ABSENT_STATES:
            return False  # a dead or departed process that was never known
        self.peers[peer.member_id] = peer
        self.update_send_counts[peer.member_id] = 0
        was_present = known_peer is not None and known_peer.state not in ABSENT_STATES
        if known_peer is None or known_peer.state is not peer.state:
            self.state_changed_at[peer.member_id] = now
        self.member_count += (peer.state not in ABSENT_STATES) - was_present
        if known_peer is None:
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), peer.member_id)
        return True

    def shift_state_times(self, duration: int) -> None:
        """Postpones the suspicion timeouts of peers by a pause of the local process. duration: in ns."""
        self.state_changed_at = {
            member_id: since + duration for member_id, since in self.state_changed_at.items()
        }

    def expire(self, now: int) -> None:
        """Declares suspects dead after the suspicion timeout; removes long-absent members."""
        for member_id, peer in list(self.peers.items()):
            elapsed = now - self.state_changed_at[member_id]
            if peer.state is PeerState.SUSPECT and elapsed > self.suspicion_timeout:
                self.merge(now, replace(peer, state=PeerState.DEAD))
            elif peer.state in ABSENT_STATES and elapsed > ABSENT_MEMBER_RETENTION:
                del self.peers[member_id]
                del self.state_changed_at[member_id]
                self.update_send_counts.pop(member_id, None)

    def next_to_probe(self) -> Peer | None:
        """Returns the next peer to probe, or None; each peer is probed once per shuffled round (SWIM)."""
        for _ in range(len(self.probe_order) + len(self.peers) + 1):
            if not self.probe_order:
                self.probe_order = [peer.member_id for peer in self.members()]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            peer = self.peers.get(self.probe_order.pop())
            if peer is not None and peer.state not in ABSENT_STATES:
                return peer
        return None

    def sample_members(self, count: int) -> list[Peer]:
        """Returns up to `count` random peers that are present."""
        present = list(self.members())
        return self.rng.sample(present, min(count, len(present)))

    def _refute(self, description: Peer) -> None:
        if (
            description.state is not PeerState.ALIVE
            and description.incarnation >= self.local_peer.incarnation
        ):
            self.local_peer = replace(self.local_peer, incarnation=description.incarnation + 1)
