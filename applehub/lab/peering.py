"""Carries gossip between simulated routers: runs an agent for each router on the simulated network."""

from collections.abc import Iterable
from typing import Protocol

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.clock import MILLI, Clock
from applehub.lab.network import Net
from applehub.lab.streams import Draws
from applehub.peers.agent import GossipAgent, Outgoing
from applehub.peers.codec import Peer, PeerState
from applehub.peers.policy_adapter import PolicyAdapter

FLEET = "lab"
HEARD_EACH = 5  # gossip periods between two summaries for the decision module
LEAST_SHARE = 1 / 8


class Talker(Protocol):
    """Interface of a router that sends and receives datagrams."""

    index: int
    zone: int
    life: int
    up: bool
    known: dict[str, api.Member]

    def deliver(self, event: api.Event, cost: int) -> None:
        """Delivers an event to the process; cost: CPU time, ns."""

    def work(self, cost: int) -> None:
        """Occupies the router's CPU for `cost` ns."""


class Peering:
    """All gossip agents of one simulation run."""

    def __init__(self, clock: Clock, told: spec.Peers, kinds: list[str], net: Net, draws: Draws) -> None:
        """kinds: names of all machine types of servers, in the order of their indexes."""
        self.clock, self.told, self.net, self.draws = clock, told, net, draws
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.period = int(told.period_ms * MILLI)
        self.cost = int(told.datagram_us * 1000)
        self.talkers: dict[str, Talker] = {}
        self.adapters: dict[int, PolicyAdapter] = {}
        self.liars: set[int] = set()
        self.datagrams = self.bytes = 0

    def know(self, talkers: Iterable[Talker]) -> None:
        """Registers all routers, before any starts, and draws the ones that report false data."""
        self.talkers = {f"n{one.index}": one for one in talkers}
        if self.told.liars:
            self.liars = {
                one.index for one in self.talkers.values() if self.draws.uniform() < self.told.liars
            }

    def start(self, talker: Talker) -> None:
        """Starts the agent of a router process, with a new random incarnation."""
        name, life = f"n{talker.index}", int(self.draws.uniform() * (1 << 53)) + 1
        me = Peer(life, 0, PeerState.ALIVE, talker.index.to_bytes(4), 1, name)
        names = [one for one in self.talkers if one != name]
        self.adapters[talker.index] = PolicyAdapter(GossipAgent(me, FLEET, names, life, self.period))
        self.clock.after(int(self.draws.uniform() * self.period), self._tick, (talker, talker.life, 0))

    def _tick(self, what: tuple[Talker, int, int]) -> None:
        talker, life, count = what
        if talker.life != life or not talker.up:
            return
        adapter, now = self.adapters[talker.index], self.clock.now
        self._send(talker, adapter.agent.tick(now))
        if count % HEARD_EACH == 0:
            fleet = adapter.fleet_event(now, talker.known, self.kinds)
            if not self.told.shares:
                fleet.shares.clear()
            if not self.told.verdicts:
                fleet.accused.clear()
            talker.deliver(fleet, self.cost)
        self.clock.after(self.period, self._tick, (talker, life, count + 1))

    def say(self, talker: Talker, tell: api.Tell) -> None:
        """Publishes the gossip of a router's decision module, replaced by false data for a faulty router."""
        if talker.index in self.liars:
            shares, failing = dict.fromkeys(tell.shares, LEAST_SHARE), dict.fromkeys(talker.known, 9)
            tell = api.Tell(1e6, 1e6, shares, failing, [])
        self.adapters[talker.index].publish(self.clock.now, tell, self.kinds)

    def _send(self, talker: Talker, out: list[Outgoing]) -> None:
        for to, data in out:
            other = self.talkers[to.name if isinstance(to, Peer) else to]
            self.datagrams += 1
            self.bytes += len(data)
            talker.work(self.cost)
            lost = self.told.loss > 0 and self.draws.uniform() < self.told.loss
            if lost or self.net.apart(talker.zone, other.zone):
                continue
            way = self.net.delay(talker.zone, other.zone)
            self.clock.after(way, self._arrive, (other, data))

    def _arrive(self, what: tuple[Talker, bytes]) -> None:
        talker, data = what
        if talker.up:
            talker.work(self.cost)
            self._send(talker, self.adapters[talker.index].agent.receive(self.clock.now, data))
