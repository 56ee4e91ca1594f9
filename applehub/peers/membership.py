"""SWIM: failure detection by probes, and dissemination of membership changes, as a pure state machine.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(2002). Two rules follow Dadgar, Phillips and Currey, "Lifeguard" (2018): a process that stood still suspects
nobody for the answers that it missed, and a suspect is told of the suspicion by whoever sends it a datagram.
Every call takes the time in ns; each tick sends one probe.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from heapq import nsmallest

from applehub.peers.codec import MessageKind, Peer, PeerState
from applehub.peers.member_table import ABSENT, MemberTable
from applehub.peers.records import SECOND

PING_REQUEST_TICKS = 3  # without an answer: other members are asked to ping
SUSPECT_TICKS = 8  # without an answer: the member is suspected
PING_REQUEST_HELPERS = 3  # members that are asked to ping
LEAVE_RECIPIENTS = 8  # members that a process tells of its end; they gossip it on
UPDATE_REPEATS = 3  # times the logarithm of the members that a change is gossiped
RECONNECT_TICKS = 20  # between probes of a configured address, or of a member that died
ISOLATED_RECONNECT_TICKS = 4  # the same while no member is present
STALL_TICKS = 4  # without a tick: this process stood still
MAX_RELAYED_PINGS = 1024  # pending on behalf of others: one for each member of the largest fleet in a second
MAX_UPDATES = 12  # changes in one datagram


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send.

    to: a known peer, or the name of a configured router.
    target: the member id that is meant; 0 for whoever listens there.
    """

    to: Peer | str
    kind: MessageKind
    sequence: int
    target: int


@dataclass(slots=True)
class Probe:
    """A ping that waits for its answer."""

    member_id: int
    sent_at: int
    helpers_asked: bool = False


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping that was sent for another member: whom to pass the answer on to, under which number."""

    requester: int
    sequence: int
    sent_at: int


class Membership:
    """Keeps the member table by SWIM's probes."""

    def __init__(self, me: Peer, names: list[str], seed: int, tick: int) -> None:
        """Begin with this process alone.

        names: of the configured routers, without this one. tick: ns between two calls of `tick`.
        """
        self.configured_names = names
        self.random = random.Random(seed)
        self.table = MemberTable(me, self.random, tick)
        self.probes: dict[int, Probe] = {}  # by sequence number
        self.relayed: dict[int, RelayedPing] = {}  # by sequence number of the own ping
        self.gossip_order: list[int] = []  # member ids still to be named in this round
        self.sequence = 0
        self.ticks = 0
        self.last_tick_at = -1

    @property
    def me(self) -> Peer:
        """This process, as it describes itself."""
        return self.table.me

    @property
    def alive(self) -> int:
        """Members that are alive or suspected, this process included."""
        return self.table.alive

    def members(self) -> Iterator[Peer]:
        """Yield the other members that are alive or suspected."""
        return self.table.members()

    def is_present(self, member_id: int) -> bool:
        """Whether a process is held to be alive or only suspected; itself always is."""
        return self.table.is_present(member_id)

    def merge(self, now: int, peer: Peer) -> bool:
        """Take up a description of a process; return whether it was newer than what was known."""
        return self.table.merge(now, peer)

    def set_period(self, tick: int) -> None:
        """Change the ns between two ticks."""
        self.table.period = tick

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Judge the pending probes and send the next."""
        self._excuse_own_stall(now)
        self.last_tick_at = now
        self.ticks += 1
        messages = self._judge_probes(now)
        self.table.expire(now)
        self.relayed = {
            sequence: relayed for sequence, relayed in self.relayed.items() if now - relayed.sent_at < SECOND
        }
        target = self.table.next_to_probe()
        if target is not None:
            messages.append(self._ping(now, target))
        isolated = target is None and self.ticks % ISOLATED_RECONNECT_TICKS == 1
        if self.ticks % RECONNECT_TICKS == 1 or isolated:
            messages.extend(self._reconnect())
        return messages

    def handle(
        self, now: int, kind: MessageKind, sender: int, sequence: int, target: int
    ) -> list[OutgoingMessage]:
        """Take a message; return the answers. One from an unknown sender is ignored."""
        peer = self.table.peers.get(sender)
        if peer is None:
            return []
        match kind:
            case MessageKind.PING if target in (0, self.me.member_id):
                return [OutgoingMessage(peer, MessageKind.ACK, sequence, sender)]
            case MessageKind.ACK:
                return self._handle_ack(sequence)
            case MessageKind.PING_REQUEST:
                return self._relay_ping(RelayedPing(sender, sequence, now), target)
            case MessageKind.LEAVE:
                self.merge(now, replace(peer, state=PeerState.LEFT))
        return []

    def gossip_messages(self, count: int) -> list[OutgoingMessage]:
        """Return messages to a few members besides the one that is probed, for urgent records."""
        return [
            OutgoingMessage(peer, MessageKind.GOSSIP, 0, peer.member_id) for peer in self.table.sample(count)
        ]

    def leave_messages(self) -> list[OutgoingMessage]:
        """Mark this process as left; return the messages that tell a few members, who tell the others."""
        self.table.me = replace(self.me, state=PeerState.LEFT)
        recipients = self.table.sample(LEAVE_RECIPIENTS)
        return [OutgoingMessage(peer, MessageKind.LEAVE, 0, peer.member_id) for peer in recipients]

    def fill(self, add: Callable[[Peer], bool], max_peers: int) -> None:
        """Offer peers to a datagram until `add` returns False or `max_peers` were offered.

        First this process itself, then changes, the least often gossiped first, then the other members in
        turn, so that lost changes are repaired. A member that found no room keeps its turn.
        """
        add(self.me)
        changed = nsmallest(MAX_UPDATES, self.table.updates, key=self.table.updates.__getitem__)
        if self._fill_updates(add, changed):
            self._fill_in_turn(add, max_peers - 1 - len(changed))

    def _excuse_own_stall(self, now: int) -> None:
        """Suspect nobody for answers that came while this process stood still (Lifeguard)."""
        elapsed = now - self.last_tick_at
        if self.last_tick_at >= 0 and elapsed > STALL_TICKS * self.table.period:
            self.probes.clear()
            self.table.shift_times(elapsed)

    def _judge_probes(self, now: int) -> list[OutgoingMessage]:
        messages: list[OutgoingMessage] = []
        for sequence, probe in list(self.probes.items()):
            elapsed = now - probe.sent_at
            peer = self.table.peers.get(probe.member_id)
            absent = peer is None or peer.state in ABSENT
            if absent or elapsed > SUSPECT_TICKS * self.table.period:
                del self.probes[sequence]
                if peer is not None and peer.state is PeerState.ALIVE:
                    self.merge(now, replace(peer, state=PeerState.SUSPECT))
            elif elapsed >= PING_REQUEST_TICKS * self.table.period and not probe.helpers_asked:
                probe.helpers_asked = True
                messages.extend(self._ping_requests(sequence, probe.member_id))
        return messages

    def _ping_requests(self, sequence: int, member_id: int) -> list[OutgoingMessage]:
        others = [peer for peer in self.members() if peer.member_id != member_id]
        helpers = self.random.sample(others, min(PING_REQUEST_HELPERS, len(others)))
        return [OutgoingMessage(one, MessageKind.PING_REQUEST, sequence, member_id) for one in helpers]

    def _ping(self, now: int, target: Peer) -> OutgoingMessage:
        self.sequence += 1
        self.probes[self.sequence] = Probe(target.member_id, now)
        return OutgoingMessage(target, MessageKind.PING, self.sequence, target.member_id)

    def _reconnect(self) -> list[OutgoingMessage]:
        """Ping an address where an unknown or dead member may be, so that a partitioned fleet heals."""
        present = {peer.name for peer in self.members()}
        absent: list[Peer | str] = [name for name in self.configured_names if name not in present]
        absent += [peer for peer in self.table.peers.values() if peer.state is PeerState.DEAD]
        if not absent:
            return []
        to = self.random.choice(absent)
        self.sequence += 1
        return [OutgoingMessage(to, MessageKind.PING, self.sequence, 0)]

    def _handle_ack(self, sequence: int) -> list[OutgoingMessage]:
        self.probes.pop(sequence, None)
        relayed = self.relayed.pop(sequence, None)
        if relayed is None:
            return []
        requester = self.table.peers.get(relayed.requester)
        if requester is None:
            return []
        return [OutgoingMessage(requester, MessageKind.ACK, relayed.sequence, requester.member_id)]

    def _relay_ping(self, request: RelayedPing, target: int) -> list[OutgoingMessage]:
        subject = self.table.peers.get(target)
        if subject is None or len(self.relayed) >= MAX_RELAYED_PINGS:
            return []
        self.sequence += 1
        self.relayed[self.sequence] = request
        return [OutgoingMessage(subject, MessageKind.PING, self.sequence, target)]

    def _fill_updates(self, add: Callable[[Peer], bool], changed: list[int]) -> bool:
        """Offer changed members; return whether all of them found room."""
        updates = self.table.updates
        max_repeats = UPDATE_REPEATS * self.table.log_members
        for member_id in changed:
            peer = self.table.peers.get(member_id)
            if peer is not None and not add(peer):
                return False
            updates[member_id] += 1
            if updates[member_id] > max_repeats:
                del updates[member_id]
        return True

    def _fill_in_turn(self, add: Callable[[Peer], bool], max_peers: int) -> None:
        for _ in range(len(self.table.peers)):
            if not self.gossip_order:
                self.gossip_order = list(self.table.peers)
            peer = self.table.peers.get(self.gossip_order[-1])
            if peer is not None and peer.state not in ABSENT:
                if max_peers <= 0 or not add(peer):
                    return
                max_peers -= 1
            self.gossip_order.pop()
