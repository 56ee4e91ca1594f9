"""Where a request goes: the owner of its key's range, or the next in range order."""

from collections.abc import Iterable
from itertools import chain, islice

from applehub.policy.job import Job
from applehub.policy.rates import SECOND
from applehub.policy.roster import Roster
from applehub.policy.servers import SLOW, Server
from applehub.policy.turn import Turn

SLOW_IF_MARKED = 1 / 4  # as SLOW, for marked work, which is shed first: a mean there leaves e^-4 late
CROWD, CROWD_IF_MARKED = 4, 2  # times its uncrowded answer time at which a server is swamped
WARMING_TOKENS = 2  # most that a router saves up for a server that warms up: one would lose half of them


class Placement:
    """Finds a cache server for a job among those that the roster knows."""

    def __init__(self, turn: Turn, roster: Roster) -> None:
        self.turn, self.roster = turn, roster

    def place(self, job: Job) -> Server | None:
        """The owner of the key's range, or the next in range order where a departure acts."""
        turn, roster, now = self.turn, self.roster, self.turn.now
        slow, crowd = (SLOW_IF_MARKED, CROWD_IF_MARKED) if job.marked else (SLOW, CROWD)
        limit = job.spec.latency_objective * slow
        hops, ramp_time = 0, turn.settings.slow_start_time
        depth, taken_up, owner, names = roster.ranges.locate(job.request.key or job.request.id, now)
        near: Iterable[Server] = (roster.servers[name] for name in names if name in roster.servers)
        skipped = list(islice(near, job.skip))  # they come last
        near = chain(near, skipped)
        if roster.crowded > 1 / 2:
            # Guards against full connection tables: while most connects are refused, those there are do.
            near = sorted(near, key=lambda server: not server.linked)
        passed: list[Server] = []
        for server in chain(near, passed):
            name = server.member.server
            # Rule 4: a server that warms up bears of its own range what was taken up since it started.
            warm = taken_up if name == owner else now - ramp_time
            head = int(turn.settings.slow_start_capacity * ramp_time) if name == owner else 0
            if name in job.tried or server.cold_since > max(0, warm + head):
                continue
            # Guards against an entry that became the origin's: keys that its range held still name it.
            if name not in roster.weights or not server.open(now):
                continue
            # Guards against a range that is more than its server bears: the far end passes to the next, which
            # bears its part of that; what nobody bears goes back. What warms up takes up keys by its age.
            warming = 0 < server.cold_since > now - ramp_time
            bears = (
                server.range_fraction
                * roster.size(server)
                * (1 if warming else roster.kind(server).range_fraction)
            )
            if depth >= bears and server not in passed:
                depth = (depth - bears) / (1 - bears)
                passed.append(server)
                continue
            if warming and not self._in_budget(server, len(roster.ranges.deals[-1][1])):
                continue
            # Guards against a storm of full answers: work spills once, to a calm server, or is refused.
            if server.calm(now, limit, crowd, roster.pace(server)):
                return server
            # Guards against neighbours that fail together: who is slow with nothing of ours out is passed by.
            hops += server.latency <= limit * server.mean_in_flight
            if job.marked or hops == 2:
                break
        return None

    def _in_budget(self, server: Server, servers: int) -> bool:
        """Guards against hot keys that a warming server takes up: it gets the mean flow of what it can do.
        And against many routers that spend at once: none saves more than half the rule's window brings."""
        turn, part = self.turn, self.roster.warmth(server) * self.roster.kind(server).range_fraction
        rate = self.roster.flow.per_second(turn.now) / servers * part
        most = min(WARMING_TOKENS / self.roster.copies, rate * turn.settings.overload_window / SECOND / 2)
        return server.budget.take(turn.now, rate, most, turn.random.random())
