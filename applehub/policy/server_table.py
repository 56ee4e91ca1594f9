"""The servers of the endpoint list and their status."""

import math
from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import replace

from applehub import interface as api
from applehub.policy.event_context import EventContext
from applehub.policy.job import Job
from applehub.policy.keys import KeyRanges
from applehub.policy.rates import SECOND, SMOOTHING, Rate, TokenBucket, sample_weight
from applehub.policy.reachability import Reachability
from applehub.policy.servers import Kind, Server

ANSWERED = frozenset((api.Status.OK, api.Status.MISS, api.Status.FULL, api.Status.ERROR))
MAX_DISCOVERY_BACKOFF = 3 * SECOND // 2  # maximum time from a failed call to discovery until the next one
STATISTICS_LIFETIME = 600 * SECOND  # age at which saved statistics are ignored
CONNECTION_BROKEN = frozenset((api.Status.RESET, api.Status.MOOT))
MAX_BROKEN_ATTEMPTS = 4  # consecutive broken attempts after which a server counts as unreachable
FULL_UPDATE_RATIO = 16  # if more than one in this many servers changes, all ranges are recomputed


class ServerTable:
    """Table of the listed servers: their state, operator overrides, warm-up, ejection and statistics."""

    def __init__(self, context: EventContext) -> None:
        self.context = context
        self.servers: dict[str, Server] = {}
        self.excluded_names: set[str] = set()  # servers excluded by operator override
        self.included_since: dict[str, int] = {}  # by server: time at which its operator override was removed
        self.discovery_failures = 0  # consecutive failures of discovery
        self.process_count = 1  # number of processes that run as this router
        self.live_router_count = 0  # number of live processes of all routers, from gossip
        self.origin: Server | None = None
        self.weights: dict[str, float] = {}  # listed weights of the ready cache servers
        self.weight_counts: Counter[float] = Counter()  # number of ready cache servers by weight
        self.mean_weight = 0.0
        self.ranges = KeyRanges(context.settings.slow_start_time)
        self.kinds: defaultdict[int, Kind] = defaultdict(Kind)
        self.request_rate = Rate(4 * context.shortest_objective)
        self.reachability = Reachability(context)
        self.connect_failure_rate = 0.0  # fraction of recent new connections that were refused at once

    def on_settings_changed(self) -> None:
        """Applies changed settings; the servers keep their statistics."""
        self.ranges.period = max(1, self.context.settings.slow_start_time)
        self.request_rate.set_time_constant(self.context.now, 4 * self.context.shortest_objective)
        self._assign_ranges()

    @property
    def excluded_count(self) -> int:
        """Number of listed cache servers that are excluded by an operator or ejected."""
        return sum(
            name in self.excluded_names or (server.failures > 0 and not server.is_available(self.context.now))
            for name, server in self.servers.items()
            if server is not self.origin
        )

    def on_members(self, event: api.Members) -> None:
        """Applies an update of the endpoint list, or schedules another poll after a failed one."""
        if event.kind is api.ListKind.FAILED:
            # A list update must take effect within max_poll_interval even while discovery fails, so the
            # backoff starts short and is capped. Under the rule on drains a change counts as notified some
            # seconds later, received or not.
            max_wait = min(MAX_DISCOVERY_BACKOFF, self.context.settings.max_poll_interval) >> max(
                0, 2 - self.discovery_failures
            )
            self.discovery_failures += 1
            wait = max_wait * self.context.random.uniform(0.5, 1)
            self.context.log(f"list unavailable, asked again in {wait / 1e6:.0f} ms")
            self.context.call_later(int(wait), self._request_list)
            return
        self.discovery_failures = 0
        if event.kind is api.ListKind.CACHED and self.context.settings.list_on_request:
            self._request_list(None)
        if event.kind is not api.ListKind.DELTA:
            listed = {entry.server for entry in event.entries}
            for name in [name for name in self.servers if name not in listed]:
                self._update_member(api.Member(name, api.State.GONE), True)
        for entry in event.entries:
            self._update_member(entry, event.kind is api.ListKind.CACHED)
        delta = event.kind is api.ListKind.DELTA
        self._assign_ranges({entry.server for entry in event.entries} if delta else None)

    def on_server_override(self, event: api.ServerOverride) -> None:
        """Applies an operator override."""
        server = self.servers.get(event.server)
        if event.excluded:
            self.excluded_names.add(event.server)
        else:
            self.excluded_names.discard(event.server)
            self.included_since[event.server] = event.since
        if server is None:
            return
        if not event.excluded:
            # The server may have been restarted while it was excluded, without a new start time in the list.
            server.failures = server.refused_connects = server.broken_attempts = 0
            self._start_warmup(server, max(server.warming_since, event.since))
        self._set_state(server, server.listed_state)
        self._assign_ranges({event.server})

    def _set_state(self, server: Server, listed: api.State) -> None:
        excluded = server.member.server in self.excluded_names
        server.listed_state = listed
        server.member = replace(server.member, state=api.State.DRAINING if excluded else listed)

    def on_process_count(self, event: api.ProcessCount) -> None:
        self.process_count = event.count

    def _assign_ranges(self, changed: set[str] | None = None) -> None:
        """Assigns key ranges to the ready cache servers.

        changed: names of the servers that changed, or None to recompute all ranges. A small change is applied
        incrementally, to save processor time in a large fleet.
        """
        if changed is None or len(changed) * FULL_UPDATE_RATIO > len(self.servers):
            self.weights.clear()
            self.weight_counts.clear()
            names = sorted(filter(self._update_weight, self.servers))
        else:
            names = self._update_names(changed)
        self.ranges.assign(self.context.now, names)
        self.mean_weight = math.fsum(weight * count for weight, count in self.weight_counts.items()) / max(
            1, len(names)
        )
        previous_origin = self.origin.member.server if self.origin is not None else ""
        if changed is None or previous_origin in changed or any(map(self._is_origin, changed)):
            origin_name = next(filter(self._is_origin, self.servers), "")
            self.origin = self.servers.get(origin_name)

    def _update_names(self, changed: set[str]) -> list[str]:
        """Returns the sorted names of the ready cache servers after some have changed.

        Earlier lists of names are not modified, since keys may still be assigned by them.
        """
        names = self.ranges.assignments[-1][1]
        for name in sorted(changed):
            was_ready = name in self.weights
            if self._update_weight(name) is not was_ready:
                names = names.copy() if names is self.ranges.assignments[-1][1] else names
                index = bisect_left(names, name)
                names[index : index + was_ready] = [] if was_ready else [name]
        return names

    def _update_weight(self, name: str) -> bool:
        """Updates the weight of a server; returns whether it is a ready cache server."""
        previous_weight = self.weights.pop(name, None)
        if previous_weight is not None:
            self.weight_counts[previous_weight] -= 1
            if not self.weight_counts[previous_weight]:
                del self.weight_counts[previous_weight]
        server = self.servers.get(name)
        if server is None or server.member.state is not api.State.READY or self._is_origin(name):
            return False
        self.weights[name] = server.member.weight
        self.weight_counts[server.member.weight] += 1
        return True

    def _is_origin(self, name: str) -> bool:
        """Whether a server is ready and of the origin kind."""
        settings, server = self.context.settings, self.servers.get(name)
        kind = settings.origin_kind if settings.cache_aside else -1
        return server is not None and server.member.kind == kind and server.member.state is api.State.READY

    def relative_weight(self, server: Server) -> float:
        """Returns the listed weight divided by the mean weight; smaller machines take smaller ranges."""
        return server.member.weight / self.mean_weight if self.mean_weight else 1.0

    def _update_member(self, entry: api.Member, cached: bool) -> None:
        if entry.state is api.State.GONE:
            removed = self.servers.pop(entry.server, None)
            if removed is not None:
                removed.member, removed.listed_state = entry, entry.state
            return
        server = self.servers.get(entry.server)
        if server is None:
            server = Server(entry, self.context.shortest_objective / 8, measured_at=self.context.now)
            self.servers[entry.server] = server
            # A server that is new to the list, without a start time, is assumed to have just started.
            since = entry.since if cached or entry.since else self.context.now
            self._start_warmup(server, max(since, self.included_since.get(entry.server, 0)))
        elif entry.since > server.member.since:
            self._start_warmup(server, max(server.warming_since, entry.since))
            server.failures = 0
        kind_changed = entry.kind != server.member.kind
        server.member = entry
        if kind_changed and server.base_latency:
            self.kind(server).record_base_latency(server)
        self._set_state(server, entry.state)

    def _start_warmup(self, server: Server, since: int) -> None:
        """Starts the warm-up of a server.

        The first token falls due at a random time, so that many routers do not send at the same moment.
        """
        server.warming_since, server.warmup_budget = (
            since,
            TokenBucket(self.context.random.random(), self.context.now),
        )

    def _request_list(self, _: Job | None) -> None:
        self.context.actions.append(api.Watch())

    def warm_capacity(self, server: Server) -> float:
        """Returns the fraction of its full capacity that a server is assumed to have at this time."""
        age, initial = self.context.now - server.warming_since, self.context.settings.slow_start_capacity
        return min(1.0, initial + (1 - initial) * age / max(1, self.context.settings.slow_start_time))

    def trial_interval(self, server: Server) -> float:
        """Returns the minimum time, in nanoseconds, between two trials of an overloaded server.

        It grows with the number of routers, so that all of them together send what one core can serve.
        """
        routers = max(self.context.settings.router_count * self.process_count, self.live_router_count)
        return routers * self.kind(server).lowest_base_latency

    def kind(self, server: Server) -> Kind:
        """Returns the statistics of the server's kind."""
        return self.kinds[server.member.kind]

    def _error_fraction(self, event: api.Outcome) -> float:
        """Estimates the fraction of a server's answers that are errors.

        Uses the status of this answer, or the error rate in its load report and the mean request rate.
        """
        if event.status is api.Status.ERROR:
            return 1.0
        if event.load is None or event.load.eps <= 0:
            return 0.0
        servers = max(1, len(self.ranges.assignments[-1][1]))
        mean = self.request_rate.per_second(self.context.now) * self.context.settings.router_count / servers
        return min(1.0, event.load.eps / max(1.0, mean))

    def _is_failing(self, server: Server) -> bool:
        """Whether a server fails most requests; a server that fails fast seems idle by its latency alone.

        In cache-through mode errors may be the origin's. The origin itself has no alternative.
        """
        return self.context.settings.cache_aside and server is not self.origin and server.error_rate > 1 / 2

    def _ejection_time(self, server: Server, refused: bool) -> float:
        """Returns the maximum time, in nanoseconds, for which a failing server is ejected.

        A server that has refused several connections may have to warm up, so it is tried less often, in
        proportion to the number of routers.
        """
        wait = float(self.context.settings.connect_timeout << min(server.failures, 4))
        if refused and server.failures > 1:
            wait = max(
                wait,
                self.trial_interval(server) / max(self.context.settings.slow_start_capacity, SMOOTHING / 2),
            )
        return wait

    def statistics(self) -> api.SavedStatistics:
        """Returns the statistics to save for the next process of this router."""
        measured = [(name, server) for name, server in self.servers.items() if server.base_latency]
        return api.SavedStatistics(
            0,
            {
                server_name: api.ServerStatistics(
                    server.latency, server.base_latency, server.mean_in_flight, server.range_fraction
                )
                for server_name, server in measured
            },
        )

    def on_saved_statistics(self, event: api.SavedStatistics) -> None:
        """Applies saved statistics, so that a new process starts with the capacity of each server.

        The weight of the statistics decreases with age; those of servers restarted since are ignored.
        """
        weight, saved_at = 1 - event.age / STATISTICS_LIFETIME, self.context.now - event.age
        for name, saved in event.servers.items():
            server = self.servers.get(name)
            if (
                server is not None
                and not server.base_latency
                and weight > 0
                and server.warming_since <= max(0, saved_at)
            ):
                server.latency, server.base_latency, server.mean_in_flight = (
                    saved.latency,
                    saved.base_latency,
                    saved.mean_in_flight,
                )
                self.kind(server).record_base_latency(server)
                server.range_fraction = 1 + (saved.range_fraction - 1) * weight

    def eject(self, name: str, evidence_lifetime: int) -> bool:
        """Ejects a server that other routers report as failing; returns whether it was ejected.

        A recent answer to this router, within evidence_lifetime, outweighs the reports. Each router retries
        at a random time.
        """
        server, now = self.servers.get(name), self.context.now
        if (
            server is None
            or server is self.origin
            or server.failures
            or now - server.answered_at < evidence_lifetime
        ):
            return False
        server.ejected_by_gossip, server.failures, server.ejected_since = True, 1, now
        server.ejected_until = now + int(
            self._ejection_time(server, False) * self.context.random.uniform(1, 4)
        )
        self.context.log(f"server {name} fails other routers")
        return True

    def undo_send(self, server: Server, event: api.Outcome) -> None:
        """Reverts an attempt that this machine could not start."""
        server.undo_send(self.context.now - event.elapsed)
        if 0 < server.warming_since > self.context.now - self.context.settings.slow_start_time:
            server.warmup_budget.return_token()

    def observe(self, server: Server, event: api.Outcome) -> None:
        """Updates the status of a server from the outcome of an attempt."""
        context, now, status, load = self.context, self.context.now, event.status, event.load
        server.in_flight = max(0, server.in_flight - 1)
        if load is not None and load.inflight >= 0 and load.latency_ms > 0:
            server.load, server.load_reported_at = load, now
        if status in ANSWERED:
            weight = sample_weight(now - server.answered_at, 2 * context.shortest_objective)
            server.error_rate += (self._error_fraction(event) - server.error_rate) * weight
            server.answered_at = now
        refused = status is api.Status.CONNECT_FAILED
        failing = status is api.Status.ERROR and self._is_failing(server)
        answered = not failing and status in ANSWERED
        if (
            not server.accepted_connect
            and not server.failures
            and event.elapsed < context.settings.connect_timeout
        ):
            self.connect_failure_rate += (refused - self.connect_failure_rate) * SMOOTHING
        server.accepted_connect = not refused
        # A timeout shorter than the usual latency is no evidence against the server: little time was left.
        too_soon = status is api.Status.TIMEOUT and event.elapsed < server.latency
        if not too_soon:
            server.timeouts = server.timeouts + 1 if status is api.Status.TIMEOUT else 0
        # A broken connection is no evidence of a failed process, which would refuse the next connection.
        server.broken_attempts = (
            server.broken_attempts + 1
            if status in CONNECTION_BROKEN
            else server.broken_attempts * (not answered)
        )
        failed = (
            refused
            or failing
            or (status in CONNECTION_BROKEN and server.broken_attempts >= MAX_BROKEN_ATTEMPTS)
        )
        if failed:
            if not server.failures or server.ejected_by_gossip:
                server.ejected_since, server.ejected_by_gossip = now, False
                state = "fails what it is sent" if failing else "unreachable"
                context.log(f"server {event.server} {state}")
            server.failures += 1
            server.refused_connects += refused
            server.ejected_until = now + int(
                self._ejection_time(server, refused) * context.random.uniform(0.5, 1)
            )
        elif server.failures and answered:
            context.log(f"server {event.server} answers again")
            was_down = server.refused_connects > 1 and now - server.ejected_since > SECOND
            server.failures, server.refused_connects, server.ejected_by_gossip = 0, 0, False
            if was_down and self.connect_failure_rate <= 1 / 2:
                # The process restarted; the list may not have its start time yet.
                self._start_warmup(server, now)
        if not too_soon:
            self._record_latency(server, event)

    def _record_latency(self, server: Server, event: api.Outcome) -> None:
        """Updates latency and range fractions from the outcome of an attempt."""
        context, now, status = self.context, self.context.now, event.status
        full, missed = status is api.Status.FULL, status is api.Status.MISS
        # A quick rejection does not show that the server is fast.
        elapsed = context.shortest_objective if full else event.elapsed
        # A trial that ends in a miss counts, as the keys of an overloaded server may have moved to others.
        if full or status in (api.Status.OK, api.Status.TIMEOUT) or (missed and server.is_trial):
            server.record_latency(now, 2 * context.shortest_objective, elapsed, server.in_flight + 1, full)
            self.kind(server).update_base_latency(server)
        if full or missed or status in (api.Status.OK, api.Status.TIMEOUT):
            # A slow answer shows the load from all routers, to which this one may contribute little.
            slow = elapsed > context.shortest_objective // 2
            server.adjust_range(now, event.elapsed, slow)
            if (
                server is not self.origin
                and not 0 < server.warming_since > now - context.settings.slow_start_time
            ):
                self.kind(server).adjust_range(slow)
