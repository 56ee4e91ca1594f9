"""Exchanges health and load statistics with other routers. A router's own observations take precedence."""

from applehub import interface as api
from applehub.policy.event_context import EventContext
from applehub.policy.rates import SECOND
from applehub.policy.server_table import ServerTable
from applehub.policy.throttle import Monitor

ADJUSTMENT = 1 / 4  # weight of a received range fraction in the moving average
# Number of routers that must report a server as failing before it is ejected; grows with the fleet. A single
# reporting router may be faulty itself.
MIN_QUORUM, MAX_QUORUM = 3, 6
QUORUM_FRACTION = 1 / 8  # quorum as a fraction of all routers, within the limits above
# Fraction of a server's reporters that must report it as failing; a router that it answered reports it as
# healthy.
MIN_AGREEMENT = 3 / 4
# Consecutive timeouts after which a server is published as failing. One is enough, because the routers that a
# live server answers contradict the report.
MIN_TIMEOUTS = 1
OWN_EVIDENCE_LIFETIME = 2 * SECOND  # time for which an answer to this router outweighs gossip
MAX_EJECTED_FRACTION = 1 / 4  # maximum fraction of the listed servers that gossip may eject


class Gossip:
    """Applies gossip from other routers and publishes this router's observations."""

    def __init__(self, context: EventContext, server_table: ServerTable, monitor: Monitor) -> None:
        self.context, self.server_table, self.monitor = context, server_table, monitor
        self.has_received = False  # whether any range fractions were received since the start
        self.reported_servers: list[str] = []  # servers with failure reports in the last summary

    def on_summary(self, event: api.GossipSummary) -> None:
        """Applies a summary of gossip.

        Range fractions converge between routers, so that all choose the same server for a key; a router that
        has just started adopts the received values.
        """
        for number, fraction in event.range_fractions.items():
            kind = self.server_table.kinds[number]
            kind.range_fraction += (fraction - kind.range_fraction) * (ADJUSTMENT if self.has_received else 1)
        self.has_received = self.has_received or bool(event.range_fractions)
        self.server_table.live_router_count = event.router_count
        self.reported_servers = list(event.failure_reports)
        quorum = min(MAX_QUORUM, max(MIN_QUORUM, event.router_count * QUORUM_FRACTION))
        ejected = sum(
            server.ejected_by_gossip and server.failures > 0 for server in self.server_table.servers.values()
        )
        for name, (failing, reporters) in event.failure_reports.items():
            may_eject = ejected + 1 <= MAX_EJECTED_FRACTION * len(self.server_table.servers)
            if may_eject and failing >= max(quorum, reporters * MIN_AGREEMENT):
                ejected += self.server_table.eject(name, OWN_EVIDENCE_LIFETIME)

    def publish(self) -> api.PublishGossip:
        """Returns this router's own observations only: forwarded gossip would never expire."""
        throttle, servers = self.monitor.throttle, self.server_table.servers
        failing = {
            name: server.failures or server.timeouts
            for name, server in servers.items()
            if not server.ejected_by_gossip and (server.failures or server.timeouts >= MIN_TIMEOUTS)
        }
        reported = ((name, servers[name]) for name in self.reported_servers if name in servers)
        healthy = [
            name
            for name, reported_server in reported
            if not reported_server.failures
            and reported_server.answered_at > self.context.now - OWN_EVIDENCE_LIFETIME
        ]
        fractions = {number: kind.range_fraction for number, kind in self.server_table.kinds.items()}
        rate = throttle.rate if throttle is not None else 0.0
        return api.PublishGossip(
            rate, self.monitor.recent_rate(self.context.now), fractions, failing, healthy
        )
