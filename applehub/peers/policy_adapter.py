"""Translation between the gossip agent and the decision module.

The agent identifies servers and kinds by digest, the decision module by name and index.
"""

from collections.abc import Iterable

from applehub import interface as api
from applehub.peers.agent import GossipAgent
from applehub.peers.codec import MAX_KINDS_PER_RECORD
from applehub.peers.records import SECOND, Limit, Shares, Verdict, digest

LIMIT_PUBLISH_INTERVAL = SECOND // 4  # minimum ns between two updates of limits and key range fractions


class PolicyAdapter:
    """Publishes reports of the decision module and summarizes the fleet for it."""

    def __init__(self, agent: GossipAgent) -> None:
        """Creates an adapter for a gossip agent."""
        self.agent = agent
        self.published_verdicts: set[str] = set()  # names of servers with a published verdict
        self.limits_published_at = -LIMIT_PUBLISH_INTERVAL

    def publish(self, now: int, report: api.PublishGossip, kinds: dict[str, int]) -> None:
        """Publishes a report of the decision module. kinds: index of each server kind, by name."""
        self._publish_verdicts(now, report)
        if now - self.limits_published_at < LIMIT_PUBLISH_INTERVAL or not self.agent.publishes_limits:
            return
        self.limits_published_at = now
        self.agent.publish(now, Limit(report.throttle_rate, report.spend_rate))
        kind_fractions = [
            (digest(name), report.range_fractions[kind])
            for name, kind in kinds.items()
            if kind in report.range_fractions
        ]
        self.agent.publish(now, Shares(self._select_kind_fractions(kind_fractions)))

    def gossip_summary(self, now: int, servers: Iterable[str], kinds: dict[str, int]) -> api.GossipSummary:
        """Returns the state of the fleet for the decision module, restricted to the servers and kinds given.

        servers: names of the servers on the endpoint list. kinds: index of each server kind, by name.
        """
        view = self.agent.view(now)
        fleet = api.GossipSummary(view.routers)
        for name, kind in kinds.items():
            fraction = view.range_fractions.get(digest(name))
            if fraction is not None:
                fleet.range_fractions[kind] = fraction
        if view.failure_reports:
            for name in servers:
                reports = view.failure_reports.get(digest(name))
                if reports is not None:
                    fleet.failure_reports[name] = (reports.failing, reports.reporters)
        return fleet

    def _publish_verdicts(self, now: int, report: api.PublishGossip) -> None:
        for name, attempts in report.failing.items():
            self.agent.publish(now, Verdict(True, attempts), digest(name))
        for name in report.healthy:
            self.agent.publish(now, Verdict(False, 0), digest(name))
        reported = report.failing.keys() | set(report.healthy)
        for name in self.published_verdicts - reported:
            self.agent.publish(now, Verdict(False, 0), digest(name))
            self.agent.withdraw(Verdict, digest(name))
        self.published_verdicts = reported

    def _select_kind_fractions(
        self, kind_fractions: list[tuple[int, float]]
    ) -> tuple[tuple[int, float], ...]:
        """Returns at most as many kinds as fit in one record.

        If there are more, publications rotate through them. The starting point depends on the member id, so
        that different routers publish different kinds at the same time.
        """
        if len(kind_fractions) <= MAX_KINDS_PER_RECORD:
            return tuple(kind_fractions)
        published = self.agent.published.get((Shares, 0))
        publications = published.version if published is not None else 0
        start = (self.agent.member_id + publications * MAX_KINDS_PER_RECORD) % len(kind_fractions)
        return tuple((kind_fractions[start:] + kind_fractions[:start])[:MAX_KINDS_PER_RECORD])
