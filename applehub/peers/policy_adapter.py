"""Translates between the gossip agent and the decision module: names for digests, indexes for kinds."""

from collections.abc import Iterable

from applehub import interface as api
from applehub.peers.agent import GossipAgent
from applehub.peers.codec import MAX_KINDS_PER_RECORD
from applehub.peers.records import SECOND, Limit, Shares, Verdict, digest

# ns between two checks of whether this process is one of those whose limits the fleet holds.
SAMPLE_CHECK_INTERVAL = SECOND // 4


class PolicyAdapter:
    """Publishes what the decision module says, and reports the fleet to it."""

    def __init__(self, agent: GossipAgent) -> None:
        """Translate for an agent."""
        self.agent = agent
        self.judged_servers: set[str] = set()  # names that verdicts are published of
        self.sample_checked_at = -SAMPLE_CHECK_INTERVAL

    def publish(self, now: int, report: api.Tell, kinds: dict[str, int]) -> None:
        """Publish a report of the decision module. kinds: index of each kind by its name."""
        self._publish_verdicts(now, report)
        if now - self.sample_checked_at < SAMPLE_CHECK_INTERVAL or not self.agent.publishes_limits:
            return
        self.sample_checked_at = now
        self.agent.publish(now, Limit(report.rate, report.spent))
        shares = [
            (digest(name), report.shares[kind]) for name, kind in kinds.items() if kind in report.shares
        ]
        self.agent.publish(now, Shares(self._shares_for_one_record(shares)))

    def fleet_event(self, now: int, servers: Iterable[str], kinds: dict[str, int]) -> api.Fleet:
        """Return the fleet as the decision module takes it: of the listed servers alone."""
        view = self.agent.view(now)
        fleet = api.Fleet(view.routers)
        for name, kind in kinds.items():
            share = view.shares.get(digest(name))
            if share is not None:
                fleet.shares[kind] = share
        if view.accused:
            for name in servers:
                accusation = view.accused.get(digest(name))
                if accusation is not None:
                    fleet.accused[name] = (accusation.failing, accusation.reporters)
        return fleet

    def _publish_verdicts(self, now: int, report: api.Tell) -> None:
        for name, attempts in report.failing.items():
            self.agent.publish(now, Verdict(True, attempts), digest(name))
        for name in report.vouched:
            self.agent.publish(now, Verdict(False, 0), digest(name))
        judged = report.failing.keys() | set(report.vouched)
        for name in self.judged_servers - judged:
            self.agent.publish(now, Verdict(False, 0), digest(name))
            self.agent.withdraw(Verdict, digest(name))
        self.judged_servers = judged

    def _shares_for_one_record(self, shares: list[tuple[int, float]]) -> tuple[tuple[int, float], ...]:
        """Return as many kinds as one record holds.

        Where there are more, they take turns with each publication, and each router starts with other kinds,
        so that at any time some router publishes each of them.
        """
        if len(shares) <= MAX_KINDS_PER_RECORD:
            return tuple(shares)
        published = self.agent.published.get((Shares, 0))
        publications = published.version if published is not None else 0
        start = (self.agent.member_id + publications * MAX_KINDS_PER_RECORD) % len(shares)
        return tuple((shares[start:] + shares[:start])[:MAX_KINDS_PER_RECORD])
