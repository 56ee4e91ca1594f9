"""SWIM failure detection and dissemination of membership changes, as a state machine without I/O.

See Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002). Two rules follow Dadgar, Phillips and Currey, "Lifeguard" (2018): after a pause of the local
process, missing answers cause no suspicion; and every datagram to a suspect carries the suspicion, so that
the suspect can refute it. Times are in ns; each tick sends one probe.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from heapq import nsmallest

from applehub.peers.codec import MessageKind, Peer, PeerState
from applehub.peers.member_table import ABSENT_STATES, MemberTable
from applehub.peers.records import SECOND

PING_REQUEST_TICKS = 3  # ticks without an answer before an indirect probe through other members
SUSPECT_TICKS = 8  # ticks without an answer before the member is suspected
PING_REQUEST_FANOUT = 3  # members that relay an indirect probe
LEAVE_FANOUT = 8  # members that receive a leave message directly; the others learn of it by gossip
UPDATE_SEND_MULTIPLIER = (
    3  # number of sends of a membership change, as a multiple of log2 of the member count
)
RECONNECT_TICKS = 20  # ticks between pings to absent configured routers or dead members
ISOLATED_RECONNECT_TICKS = 4  # ticks between these pings while no other member is present
LOCAL_PAUSE_TICKS = 4  # tick intervals without a tick after which the local process counts as paused
# Maximum pings in flight on behalf of other members: one per second for each member of the largest fleet.
MAX_RELAYED_PINGS = 1024
MAX_UPDATES = 12  # maximum membership changes per datagram


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send.

    to: a known peer, or the name of a configured router.
    target: member id of the recipient or, in a ping request, of the member to ping; 0 for any recipient.
    """

    to: Peer | str
    kind: MessageKind
    sequence: int
    target: int


@dataclass(slots=True)
class Probe:
    """A ping in flight to detect the failure of a member."""

    member_id: int
    sent_at: int
    ping_requests_sent: bool = False


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping in flight on behalf of another member.

    requester: member id that receives the answer.
    sequence: sequence number of the ping request.
    """

    requester: int
    sequence: int
    sent_at: int


class Membership:
    """Member table maintained by the SWIM protocol."""

    def __init__(self, local_peer: Peer, names: list[str], seed: int, tick_interval: int) -> None:
        """Starts with only the local process.

        names: names of the other configured routers.
        tick_interval: ns between two calls of `tick`.
        """
        self.configured_names = names
        self.rng = random.Random(seed)
        self.table = MemberTable(local_peer, self.rng, tick_interval)
        self.probes: dict[int, Probe] = {}  # by sequence number
        self.relayed_pings: dict[int, RelayedPing] = {}  # by sequence number of the local ping
        self.gossip_order: list[int] = []  # member ids still to be sent in the current round
        self.sequence = 0
        self.tick_count = 0
        self.last_tick_at = -1

    @property
    def local_peer(self) -> Peer:
        """Description of the local process."""
        return self.table.local_peer

    @property
    def member_count(self) -> int:
        """Number of members that are alive or suspected, including the local process."""
        return self.table.member_count

    def members(self) -> Iterator[Peer]:
        """Yields the other members that are alive or suspected."""
        return self.table.members()

    def is_present(self, member_id: int) -> bool:
        """Returns whether a process is alive or suspected; the local process always is."""
        return self.table.is_present(member_id)

    def merge(self, now: int, peer: Peer) -> bool:
        """Merges a description of a process; returns whether the description is newer than the known one."""
        return self.table.merge(now, peer)

    def set_tick_interval(self, tick_interval: int) -> None:
        """Changes the interval between two ticks, in ns."""
        self.table.tick_interval = tick_interval

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Checks the probes in flight; returns the next probe and other messages to send."""
        self._discount_local_pause(now)
        self.last_tick_at = now
        self.tick_count += 1
        messages = self._check_probes(now)
        self.table.expire(now)
        self.relayed_pings = {
            sequence: relayed
            for sequence, relayed in self.relayed_pings.items()
            if now - relayed.sent_at < SECOND
        }
        target = self.table.next_to_probe()
        if target is not None:
            messages.append(self._ping(now, target))
        isolated = target is None and self.tick_count % ISOLATED_RECONNECT_TICKS == 1
        if self.tick_count % RECONNECT_TICKS == 1 or isolated:
            messages.extend(self._reconnect())
        return messages

    def handle(
        self, now: int, kind: MessageKind, sender: int, sequence: int, target: int
    ) -> list[OutgoingMessage]:
        """Handles a received message; returns the answers. Messages from unknown senders are ignored."""
        peer = self.table.peers.get(sender)
        if peer is None:
            return []
        match kind:
            case MessageKind.PING if target in (0, self.local_peer.member_id):
                return [OutgoingMessage(peer, MessageKind.ACK, sequence, sender)]
            case MessageKind.ACK:
                return self._handle_ack(sequence)
            case MessageKind.PING_REQUEST:
                return self._relay_ping(RelayedPing(sender, sequence, now), target)
            case MessageKind.LEAVE:
                self.merge(now, replace(peer, state=PeerState.LEFT))
        return []

    def gossip_messages(self, count: int) -> list[OutgoingMessage]:
        """Returns messages to `count` random members, which carry urgent records."""
        return [
            OutgoingMessage(peer, MessageKind.GOSSIP, 0, peer.member_id)
            for peer in self.table.sample_members(count)
        ]

    def leave_messages(self) -> list[OutgoingMessage]:
        """Marks the local process as left; returns the leave messages to a few random members."""
        self.table.local_peer = replace(self.local_peer, state=PeerState.LEFT)
        recipients = self.table.sample_members(LEAVE_FANOUT)
        return [OutgoingMessage(peer, MessageKind.LEAVE, 0, peer.member_id) for peer in recipients]

    def add_peers(self, add: Callable[[Peer], bool], max_peers: int) -> None:
        """Adds peers to a datagram until `add` returns False or `max_peers` were added.

        The order is: the local process, changed members (least often sent first), then the other members in
        round-robin order, which repairs lost changes. If one of the other members doesn't fit, the next
        datagram continues with this member.
        """
        add(self.local_peer)
        changed = nsmallest(
            MAX_UPDATES, self.table.update_send_counts, key=self.table.update_send_counts.__getitem__
        )
        if self._add_updated_peers(add, changed):
            self._add_round_robin(add, max_peers - 1 - len(changed))

    def _discount_local_pause(self, now: int) -> None:
        """Discards probes and postpones suspicion timeouts after a pause of the local process (Lifeguard)."""
        elapsed = now - self.last_tick_at
        if self.last_tick_at >= 0 and elapsed > LOCAL_PAUSE_TICKS * self.table.tick_interval:
            self.probes.clear()
            self.table.shift_state_times(elapsed)

    def _check_probes(self, now: int) -> list[OutgoingMessage]:
        messages: list[OutgoingMessage] = []
        for sequence, probe in list(self.probes.items()):
            elapsed = now - probe.sent_at
            peer = self.table.peers.get(probe.member_id)
            absent = peer is None or peer.state in ABSENT_STATES
            if absent or elapsed > SUSPECT_TICKS * self.table.tick_interval:
                del self.probes[sequence]
                if peer is not None and peer.state is PeerState.ALIVE:
                    self.merge(now, replace(peer, state=PeerState.SUSPECT))
            elif elapsed >= PING_REQUEST_TICKS * self.table.tick_interval and not probe.ping_requests_sent:
                probe.ping_requests_sent = True
                messages.extend(self._ping_requests(sequence, probe.member_id))
        return messages

    def _ping_requests(self, sequence: int, member_id: int) -> list[OutgoingMessage]:
        others = [peer for peer in self.members() if peer.member_id != member_id]
        relays = self.rng.sample(others, min(PING_REQUEST_FANOUT, len(others)))
        return [OutgoingMessage(relay, MessageKind.PING_REQUEST, sequence, member_id) for relay in relays]

    def _ping(self, now: int, target: Peer) -> OutgoingMessage:
        self.sequence += 1
        self.probes[self.sequence] = Probe(target.member_id, now)
        return OutgoingMessage(target, MessageKind.PING, self.sequence, target.member_id)

    def _reconnect(self) -> list[OutgoingMessage]:
        """Returns a ping to a random absent router or dead member, so that a partitioned fleet rejoins."""
        present = {peer.name for peer in self.members()}
        absent: list[Peer | str] = [name for name in self.configured_names if name not in present]
        absent += [peer for peer in self.table.peers.values() if peer.state is PeerState.DEAD]
        if not absent:
            return []
        to = self.rng.choice(absent)
        self.sequence += 1
        return [OutgoingMessage(to, MessageKind.PING, self.sequence, 0)]

    def _handle_ack(self, sequence: int) -> list[OutgoingMessage]:
        self.probes.pop(sequence, None)
        relayed = self.relayed_pings.pop(sequence, None)
        if relayed is None:
            return []
        requester = self.table.peers.get(relayed.requester)
        if requester is None:
            return []
        return [OutgoingMessage(requester, MessageKind.ACK, relayed.sequence, requester.member_id)]

    def _relay_ping(self, request: RelayedPing, target: int) -> list[OutgoingMessage]:
        target_peer = self.table.peers.get(target)
        if target_peer is None or len(self.relayed_pings) >= MAX_RELAYED_PINGS:
            return []
        self.sequence += 1
        self.relayed_pings[self.sequence] = request
        return [OutgoingMessage(target_peer, MessageKind.PING, self.sequence, target)]

    def _add_updated_peers(self, add: Callable[[Peer], bool], changed: list[int]) -> bool:
        """Adds changed members to a datagram; returns whether all of them fit."""
        update_send_counts = self.table.update_send_counts
        max_sends = UPDATE_SEND_MULTIPLIER * self.table.log_member_count
        for member_id in changed:
            peer = self.table.peers.get(member_id)
            if peer is not None and not add(peer):
                return False
            update_send_counts[member_id] += 1
            if update_send_counts[member_id] > max_sends:
                del update_send_counts[member_id]
        return True

    def _add_round_robin(self, add: Callable[[Peer], bool], max_peers: int) -> None:
        for _ in range(len(self.table.peers)):
            if not self.gossip_order:
                self.gossip_order = list(self.table.peers)
            peer = self.table.peers.get(self.gossip_order[-1])
            if peer is not None and peer.state not in ABSENT_STATES:
                if max_peers <= 0 or not add(peer):
                    return
                max_peers -= 1
            self.gossip_order.pop()
