"""Carries gossip between simulated routers: runs an agent for each router on the simulated network."""

from collections.abc import Iterable
from typing import Protocol

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.clock import MILLI, Clock
from applehub.lab.network import EmulatedNetwork
from applehub.lab.streams import RandomStream
from applehub.peers.agent import GossipAgent, OutgoingDatagram
from applehub.peers.codec import Peer, PeerState
from applehub.peers.policy_adapter import PolicyAdapter

FLEET = "lab"
SUMMARY_PERIODS = 5  # gossip periods between two summaries for the decision module
MIN_RANGE_FRACTION = 1 / 8  # range fraction that faulty routers report


class GossipRouter(Protocol):
    """Interface of a router that sends and receives datagrams."""

    index: int
    zone: int
    process_incarnation: int
    up: bool
    known: dict[str, api.Member]

    def deliver(self, event: api.Event, cost: int) -> None:
        """Delivers an event to the process; cost: CPU time, ns."""

    def work(self, cost: int) -> None:
        """Occupies the router's CPU for `cost` ns."""


class Peering:
    """All gossip agents of one simulation run."""

    def __init__(
        self, clock: Clock, config: spec.Peers, kinds: list[str], net: EmulatedNetwork, random: RandomStream
    ) -> None:
        """kinds: names of all machine types of servers, by index."""
        self.clock, self.config, self.net, self.random = clock, config, net, random
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.period = int(config.period_ms * MILLI)
        self.cost = int(config.datagram_us * 1000)
        self.routers: dict[str, GossipRouter] = {}
        self.adapters: dict[int, PolicyAdapter] = {}
        self.faulty: set[int] = set()
        self.datagrams = self.bytes = 0

    def register(self, routers: Iterable[GossipRouter]) -> None:
        """Registers all routers before any of them starts, and draws which of them report false data."""
        self.routers = {f"n{router.index}": router for router in routers}
        if self.config.liars:
            self.faulty = {
                router.index for router in self.routers.values() if self.random.uniform() < self.config.liars
            }

    def start(self, router: GossipRouter) -> None:
        """Starts the agent of a router process, with a new random incarnation."""
        name, agent_incarnation = f"n{router.index}", int(self.random.uniform() * (1 << 53)) + 1
        own_peer = Peer(agent_incarnation, 0, PeerState.ALIVE, router.index.to_bytes(4), 1, name)
        seed_names = [other_name for other_name in self.routers if other_name != name]
        self.adapters[router.index] = PolicyAdapter(
            GossipAgent(own_peer, FLEET, seed_names, agent_incarnation, self.period)
        )
        self.clock.after(
            int(self.random.uniform() * self.period), self._tick, (router, router.process_incarnation, 0)
        )

    def _tick(self, args: tuple[GossipRouter, int, int]) -> None:
        router, incarnation, count = args
        if router.process_incarnation != incarnation or not router.up:
            return
        adapter, now = self.adapters[router.index], self.clock.now
        self._send(router, adapter.agent.tick(now))
        if count % SUMMARY_PERIODS == 0:
            summary = adapter.gossip_summary(now, router.known, self.kinds)
            if not self.config.shares:
                summary.range_fractions.clear()
            if not self.config.verdicts:
                summary.failure_reports.clear()
            router.deliver(summary, self.cost)
        self.clock.after(self.period, self._tick, (router, incarnation, count + 1))

    def publish(self, router: GossipRouter, gossip: api.PublishGossip) -> None:
        """Publishes the gossip of a router's decision module, replaced by false data for a faulty router."""
        if router.index in self.faulty:
            shares, failing = (
                dict.fromkeys(gossip.range_fractions, MIN_RANGE_FRACTION),
                dict.fromkeys(router.known, 9),
            )
            gossip = api.PublishGossip(1e6, 1e6, shares, failing, [])
        self.adapters[router.index].publish(self.clock.now, gossip, self.kinds)

    def _send(self, router: GossipRouter, datagrams: list[OutgoingDatagram]) -> None:
        for recipient, payload in datagrams:
            receiver = self.routers[recipient.name if isinstance(recipient, Peer) else recipient]
            self.datagrams += 1
            self.bytes += len(payload)
            router.work(self.cost)
            lost = self.config.loss > 0 and self.random.uniform() < self.config.loss
            if lost or self.net.is_partitioned(router.zone, receiver.zone):
                continue
            delay_ns = self.net.delay(router.zone, receiver.zone)
            self.clock.after(delay_ns, self._receive, (receiver, payload))

    def _receive(self, args: tuple[GossipRouter, bytes]) -> None:
        router, payload = args
        if router.up:
            router.work(self.cost)
            self._send(router, self.adapters[router.index].agent.receive(self.clock.now, payload))
