"""Choice of the cache server for a request: the owner of the key's range, or the next in range order."""

from collections.abc import Iterable
from itertools import chain, islice

from applehub.policy.event_context import EventContext
from applehub.policy.job import Job
from applehub.policy.rates import SECOND
from applehub.policy.server_table import ServerTable
from applehub.policy.servers import SLOW_FRACTION, Server

# Replaces SLOW_FRACTION for requests over quota, which are shed first. With a mean latency at this fraction
# of the objective, e^-4 of the answers are late.
SLOW_FRACTION_OVER_QUOTA = 1 / 4
# A server is overloaded above this multiple of its base latency; the second value is for requests over quota.
QUEUEING_FACTOR, QUEUEING_FACTOR_OVER_QUOTA = 4, 2
# Maximum number of saved tokens for one warming server, over all processes of a router. With a maximum of
# one, half of the tokens would be lost.
MAX_WARMUP_TOKENS = 2


class Placement:
    """Chooses cache servers for jobs."""

    def __init__(self, context: EventContext, server_table: ServerTable) -> None:
        self.context, self.server_table = context, server_table

    def choose_server(self, job: Job) -> Server | None:
        """Returns the owner of the key's range, or the next available server in range order, or None."""
        context, server_table, now = self.context, self.server_table, self.context.now
        slow_fraction, queueing_factor = (
            (SLOW_FRACTION_OVER_QUOTA, QUEUEING_FACTOR_OVER_QUOTA)
            if job.over_quota
            else (SLOW_FRACTION, QUEUEING_FACTOR)
        )
        limit = job.spec.latency_objective * slow_fraction
        overloaded, slow_start_time = 0, context.settings.slow_start_time
        position, migrated_at, owner, names = server_table.ranges.locate(
            job.request.key or job.request.id, now
        )
        candidates: Iterable[Server] = (
            server_table.servers[name] for name in names if name in server_table.servers
        )
        skipped = list(islice(candidates, job.skip_owners))  # range owners that are tried last
        candidates = chain(candidates, skipped)
        if server_table.connect_failure_rate > 1 / 2:
            # Prefers established connections while most new connections are refused.
            candidates = sorted(candidates, key=lambda server: not server.accepted_connect)
        deferred: list[Server] = []  # servers whose reduced ranges do not contain the key
        for server in chain(candidates, deferred):
            name = server.member.server
            # A warming server serves only the keys of its own range that migrated to it since its start.
            warm_before = migrated_at if name == owner else now - slow_start_time
            head_start = int(context.settings.slow_start_capacity * slow_start_time) if name == owner else 0
            if name in job.tried or server.warming_since > max(0, warm_before + head_start):
                continue
            # A server that has become the origin may still be the owner of keys of its earlier range.
            if name not in server_table.weights or not server.is_available(now):
                continue
            # A server with reduced capacity takes only the first part of its range. The next servers take the
            # rest in the same way, and the first server takes it if none of them does. The range of a warming
            # server grows by migration, so the fraction of its kind does not apply.
            warming = 0 < server.warming_since > now - slow_start_time
            fraction = (
                server.range_fraction
                * server_table.relative_weight(server)
                * (1 if warming else server_table.kind(server).range_fraction)
            )
            if position >= fraction and server not in deferred:
                position = (position - fraction) / (1 - fraction)
                deferred.append(server)
                continue
            if warming and not self._take_warmup_token(server, len(server_table.ranges.assignments[-1][1])):
                continue
            # A request overflows to one other server only, to limit the spread of overload.
            if server.has_capacity(now, limit, queueing_factor, server_table.trial_interval(server)):
                return server
            # A server that is slow without load from this router is not counted, so that adjacent servers
            # that fail together are skipped.
            overloaded += server.latency <= limit * server.mean_in_flight
            if job.over_quota or overloaded == 2:
                break
        return None

    def _take_warmup_token(self, server: Server, servers: int) -> bool:
        """Limits the requests to a warming server to the mean request rate times its warm capacity.

        Prevents hot keys from overloading it. The number of saved tokens is limited to half of those that
        fall due in the overload window, since many routers may spend theirs at the same time.
        """
        context, fraction = (
            self.context,
            self.server_table.warm_capacity(server) * self.server_table.kind(server).range_fraction,
        )
        rate = self.server_table.request_rate.per_second(context.now) / servers * fraction
        capacity = min(
            MAX_WARMUP_TOKENS / self.server_table.process_count,
            rate * context.settings.overload_window / SECOND / 2,
        )
        return server.warmup_budget.take(context.now, rate, capacity, context.random.random())
