"""Admission and retries: handles each request from its arrival to its final answer."""

from collections.abc import Callable
from dataclasses import replace

from applehub import interface as api
from applehub.policy.event_context import EventContext
from applehub.policy.failed_starts import FailedStarts
from applehub.policy.gossip import Gossip
from applehub.policy.job import Job, MissInFlight
from applehub.policy.keys import HitHistory
from applehub.policy.placement import Placement
from applehub.policy.replicas import Replicas
from applehub.policy.server_table import CONNECTION_BROKEN, ServerTable
from applehub.policy.servers import SLOW_FRACTION, Server
from applehub.policy.tenants import Tenants
from applehub.policy.throttle import Monitor, Throttle

# Statuses of attempts that the server did not process.
NOT_EXECUTED = frozenset((api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS))
# A write is rejected if its predicted latency at the origin exceeds this multiple of its latency objective.
WRITE_LATENCY_FACTOR = 2
# The origin counts as idle while its predicted latency is at most this multiple of its base latency.
IDLE_LATENCY_FACTOR = 2
UNLIMITED_FACTOR = 1 << 20  # queueing factor that disables the limit relative to the base latency


class Balancer:
    """Makes the decisions of one router."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = context = EventContext(settings, seed)
        self.server_table = ServerTable(context)
        self.statistics = self.server_table.statistics
        self.placement = Placement(context, self.server_table)
        self.tenants = Tenants(context)
        self.jobs: dict[str, Job] = {}
        self.hit_history, self.replicas = HitHistory(), Replicas(context, self.server_table)
        self.monitor = Monitor(context.shortest_objective // 2)
        self.gossip = Gossip(context, self.server_table, self.monitor)
        self.misses_in_flight: dict[tuple[str, int], MissInFlight] = {}  # by request and attempt
        # Keys that are being read from the origin, and the jobs that wait for the result.
        self.fetch_waiters: dict[str, list[Job]] = {}
        self.failed_starts = FailedStarts(context, self._retry_start, self._stop_retrying)
        self.release_at = 0  # clock time of the next scheduled release of queued jobs
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self._on_request,
            api.ResponseStarted: self._on_response_started,
            api.StreamOpened: self._on_stream_opened,
            api.Outcome: self._on_outcome,
            api.Members: self.server_table.on_members,
            api.ServerOverride: self.server_table.on_server_override,
            api.SettingsChanged: self._on_settings_changed,
            api.ProcessCount: self.server_table.on_process_count,
            api.SavedStatistics: self.server_table.on_saved_statistics,
            api.RequestCancelled: self._on_cancelled,
            api.GossipSummary: self.gossip.on_summary,
        }

    @property
    def settings(self) -> api.Settings:
        """The current settings."""
        return self.context.settings

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handles an event at a clock time and returns the resulting actions."""
        context = self.context
        context.now, context.actions = now, []
        if self.monitor.started_at < 0:
            self.monitor.started_at = now
            context.call_later(self.monitor.period, self._run_monitor)
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        elif type(event) is api.TimerFired and event.token == str(context.timer_at):
            # The token identifies the timer, since a coarse timer may fire slightly early.
            context.timer_at = 0
        context.run_due_calls()
        return context.actions

    def _on_settings_changed(self, event: api.SettingsChanged) -> None:
        """Applies new settings; jobs keep the settings of their class, servers and keys their statistics."""
        previous, context = self.context.settings, self.context
        context.apply_settings(event.settings)
        self.monitor.period = context.shortest_objective // 2
        self.monitor.token_usage.set_time_constant(context.now, 8 * self.monitor.period)
        if event.settings.tenants != previous.tenants:
            self.tenants.reset()
        self.server_table.on_settings_changed()

    @property
    def client_retry_after(self) -> int:
        """Time, in nanoseconds, after which a rejected client may retry; 0 if rejections carry no time."""
        enabled, limit = self.context.settings.retry_after, self.context.settings.max_retry_after
        return min(self.context.shortest_objective, limit) if enabled else 0

    def _run_monitor(self, _: Job | None) -> None:
        # A slow read counts as unhealthy before it ends, so that an origin that hangs is detected.
        for attempt, miss in list(self.misses_in_flight.items()):
            if miss.slow_at > self.context.now:
                break
            if not miss.response_started:
                del self.misses_in_flight[attempt]
                self.monitor.record(False, miss.sent_at)
        self._release_queued(None)  # adds the tokens due by now to the throttle's level
        previous_throttle = self.monitor.throttle
        log_line = self.monitor.step(self.context.now, bool(self.misses_in_flight))
        if log_line:
            self.context.log(log_line)
        if previous_throttle is not None and self.monitor.throttle is None:
            for job in list(previous_throttle.queue.values()):
                self._dispatch(job)
        if self.context.settings.peers:
            self.context.actions.append(self.gossip.publish())
        self.context.call_later(self.monitor.period, self._run_monitor)

    def _on_request(self, event: api.Request) -> None:
        spec = self.context.settings.classes[event.cls]
        job = self.jobs[event.id] = Job(
            event, spec, min(event.deadline, self.context.now + spec.latency_objective)
        )
        job.over_quota = self.tenants.is_over_quota(event)
        self.server_table.request_rate.add(self.context.now)
        if event.key is not None:
            # Spreads the requests for a hot key, which would overload a single cache server.
            job.skip_owners = self.replicas.choose_replica(event.key)
        if event.write and self.context.settings.cache_aside:
            job.at_origin = True
            self._dispatch(job)
        elif event.key is not None and self.hit_history.likely_miss(event.key, self.context.now):
            job.likely_miss = True
            if not self._join_fetch(job):
                self._acquire_token(job)
        else:
            self._dispatch(job)

    def _join_fetch(self, job: Job) -> bool:
        """Lets a job wait for an origin read of its key that is in flight; returns whether there is one.

        Prevents many concurrent origin reads for one key.
        """
        waiting = self.fetch_waiters.get(job.request.key or "")
        if waiting is None or self.context.now >= job.objective_deadline:
            return False
        waiting.append(job)
        self.context.call_later(job.objective_deadline - self.context.now, self._reject_or_fail, job)
        return True

    def _finish_fetch(self, key: str, stored: bool) -> None:
        """Ends an origin read: waiting jobs read the key from the cache if stored, else from the origin."""
        throttle = self.monitor.throttle
        waiting = self.fetch_waiters.pop(key, [])
        if stored and throttle is not None:
            waiting += [job for job in throttle.queue.values() if job.request.key == key]
        for job in waiting:
            if self.jobs.get(job.request.id) is not job or job.in_flight:
                continue
            if throttle is not None:
                throttle.remove(job)
            if stored:
                job.at_origin = False
                job.tried.clear()
                self._dispatch(job)
            elif not self._join_fetch(job):
                self._acquire_token(job)

    def _acquire_token(self, job: Job) -> None:
        """Takes a token for a likely miss or an origin read, then dispatches, queues or rejects the job."""
        throttle = self.monitor.throttle
        if throttle is None:
            self._assign_token(job)
            self._dispatch(job)
            return
        self._release_queued(None)
        wait = throttle.wait_time(1 - throttle.level)
        has_token = (
            None
            if job.over_quota or self.context.now + wait > job.objective_deadline
            else throttle.offer(job)
        )
        if has_token:
            self._assign_token(job)
            self._dispatch(job)
        elif job.request.id in throttle.queue:
            self._schedule_release(throttle)
            self.context.call_later(job.objective_deadline - self.context.now, self._reject_or_fail, job)
        else:
            self._reject_or_fail(job)

    def _schedule_release(self, throttle: Throttle) -> None:
        if throttle.queue and self.release_at <= self.context.now:
            self.release_at = max(self.context.now + 1, throttle.refilled_at + throttle.wait_time(1))
            self.context.call_later(self.release_at - self.context.now, self._release_queued)

    def _release_queued(self, _: Job | None) -> None:
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for job in throttle.refill(self.context.now):
            self._assign_token(job)
            self._dispatch(job)
        self._schedule_release(throttle)

    def _assign_token(self, job: Job) -> None:
        """Assigns a token, which the job keeps until an attempt uses it, and counts the token usage."""
        self.monitor.token_usage.add(self.context.now)
        job.has_token = True

    def _dispatch(self, job: Job | None) -> None:
        if job is None or job.request.id not in self.jobs or job.in_flight:
            return  # the job has ended, or an attempt is already in flight
        server = (
            self.server_table.origin
            if job.at_origin
            else self._choose_cache(job) or self._choose_idle_origin(job)
        )
        # Requests to an overloaded origin are rejected. The limit is lower for reads than for writes, so that
        # reads are shed first: only the origin can process a write.
        limit = job.spec.latency_objective * (WRITE_LATENCY_FACTOR if job.request.write else SLOW_FRACTION)
        overloaded = (
            job.at_origin and server and not server.has_capacity(self.context.now, limit, UNLIMITED_FACTOR, 0)
        )
        if (
            server is None
            or overloaded
            or self._is_too_late(job, server)
            or not self._may_attempt(job, server)
        ):
            self._reject_or_fail(job)
        else:
            self._send_attempt(job, server)

    def _choose_cache(self, job: Job) -> Server | None:
        server = self.placement.choose_server(job)
        if server is None and job.unreachable:  # retries unreachable servers, since no other server is left
            job.clear_unreachable()
            server = self.placement.choose_server(job)
        return server

    def _choose_idle_origin(self, job: Job) -> Server | None:
        """Returns the origin for a read that no cache server can take, if the origin is idle, else None.

        Uses idle capacity of the origin while too few cache servers have warmed up. Takes a token, as each
        origin read does.
        """
        origin, throttle = self.server_table.origin, self.monitor.throttle
        idle = origin is not None and origin.predicted_latency() <= IDLE_LATENCY_FACTOR * origin.base_latency
        if not idle or job.request.key is None or job.request.write or job.over_quota or job.attempts_started:
            return None
        if throttle is not None:
            self._release_queued(None)
            if throttle.queue or not throttle.offer(job):
                throttle.remove(job)
                return None
        self._assign_token(job)
        job.at_origin = job.detached = True
        return origin

    def _is_too_late(self, job: Job, server: Server) -> bool:
        """Whether a retry cannot meet the latency objective and would waste capacity.

        Origin reads are exempt, since their results are cached, and so are classes that value late answers.
        """
        if job.at_origin or not job.attempts_started or job.spec.late_weight:
            return False
        return server.predicted_latency() > job.objective_deadline - self.context.now

    def _send_attempt(self, job: Job, server: Server) -> None:
        key, is_read, now = job.request.key, job.at_origin and not job.request.write, self.context.now
        time_left = job.request.deadline - now
        timeout = 0
        if job.spec.effect is not api.Effect.UNSAFE and not job.spec.stream:
            # An origin read may run until the client's deadline, since its result fills the cache. So may a
            # class that values late answers, since a retry would add load to an overloaded server.
            timeout = (
                time_left if is_read or job.spec.late_weight else min(time_left, job.objective_deadline - now)
            )
        # A new connection, or a server that reads slowly, may outlast the time for which the server remembers
        # the idempotency key.
        deliver_by = job.retry_window_end if job.may_have_run and job.spec.effect is api.Effect.KEYED else 0
        server.in_flight += 1
        server.previous_sent_at, server.last_sent_at = server.last_sent_at, now
        job.may_have_run[job.attempts_made] = (server, now)
        job.in_flight.add(job.attempts_made)
        job.attempts_made += 1
        job.tried.add(server.member.server)
        if is_read or (job.likely_miss and not self.context.settings.cache_aside):
            self.misses_in_flight[job.request.id, job.attempts_made - 1] = MissInFlight(
                now, now + int(job.spec.latency_objective * SLOW_FRACTION)
            )
        if key is not None and not self.context.settings.cache_aside:
            self.hit_history.remember(key, now)
        elif key is not None and is_read and not job.detached:
            self.fetch_waiters.setdefault(key, [])
        self.context.actions.append(
            api.Send(job.request.id, server.member.server, max(timeout, 0), deliver_by)
        )

    def _may_attempt(self, job: Job, server: Server) -> bool:
        """Whether an attempt is allowed, given the earlier attempts that may have been executed."""
        if (
            job.attempts_started >= self.context.settings.max_attempts
            or self.context.now >= job.request.deadline
        ):
            return False
        if job.spec.effect is api.Effect.SAFE or not job.may_have_run:
            return True
        if job.spec.effect is api.Effect.UNSAFE or self.context.now >= job.retry_window_end:
            return False
        group, target = job.spec.group, server.member
        members = [attempted.member for attempted, _ in job.may_have_run.values()]
        in_group = [
            member.zone == target.zone if group == "zone" else member.cell == target.cell
            for member in members
        ]
        return group == "all" or all(in_group)

    def _reject_or_fail(self, job: Job | None) -> None:
        """Ends a job: rejects it if the client may safely retry, otherwise fails it."""
        if job is None or job.in_flight or self.jobs.get(job.request.id) is not job:
            return
        effect, request_id = job.spec.effect, job.request.id
        deduplicated = effect is api.Effect.KEYED and job.spec.group == "all"
        if (
            effect is api.Effect.SAFE
            or not job.may_have_run
            or (deduplicated and self.context.now < job.retry_window_end)
        ):
            self.context.actions.append(api.Reject(request_id, self.client_retry_after))
        else:
            self.context.actions.append(api.Fail(request_id))
        self._remove(job)

    def _remove(self, job: Job) -> None:
        self.jobs.pop(job.request.id, None)
        job.waiting_to_start = False
        if job.has_token and job.not_started and not job.in_flight:
            self.monitor.return_token(self.context.now)
        if self.monitor.throttle is not None:
            self.monitor.throttle.remove(job)

    def _on_cancelled(self, event: api.RequestCancelled) -> None:
        job = self.jobs.get(event.id)
        if job is not None:
            is_reading = job.shares_origin_read and (job.in_flight or job.waiting_to_start)
            self._remove(job)
            if is_reading:
                self._finish_fetch(job.request.key or "", False)  # a cancelled read is not cached

    def _on_response_started(self, event: api.ResponseStarted) -> None:
        """Records that a server is not silent, however long the rest of its response takes."""
        if (miss := self.misses_in_flight.get((event.id, event.attempt))) is not None:
            miss.response_started = True
        if (server := self.server_table.servers.get(event.server)) is not None:
            server.timeouts = 0

    def _on_stream_opened(self, event: api.StreamOpened) -> None:
        """Releases the jobs that wait for the key, since the cache can serve it before the stream ends."""
        miss = self.misses_in_flight.pop((event.id, event.attempt), None)
        if miss is not None:
            self.monitor.record(self.context.now < miss.slow_at, miss.sent_at)
        if (job := self.jobs.get(event.id)) is None:
            return
        if job.shares_origin_read:
            self.hit_history.remember(job.request.key or "", self.context.now)
            self._finish_fetch(job.request.key or "", True)
        job.detached = True

    def _on_outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.id)
        server = self.server_table.servers.get(event.server)
        status = self.server_table.reachability.status(server, event)
        if status in api.NOT_STARTED:
            self.misses_in_flight.pop((event.id, event.attempt), None)
            if server is not None:
                self.server_table.undo_send(server, event)
            if job is not None:
                self.failed_starts.add(job, event)
            return
        event = event if status is event.status else replace(event, status=status)
        if server is not None:
            self.server_table.observe(server, event)
        miss = self.misses_in_flight.pop((event.id, event.attempt), None)
        # Broken connections and cancelled attempts are no evidence of the origin's health.
        if miss is not None and event.status not in (*CONNECTION_BROKEN, api.Status.CANCELLED):
            self.monitor.record(
                event.status is api.Status.OK and self.context.now < miss.slow_at, miss.sent_at
            )
        if job is None:
            return
        job.in_flight.discard(event.attempt)
        job.has_token = False
        (self._on_answered if event.closed else self._on_failed_attempt)(job, event)

    def _retry_start(self, job: Job) -> None:
        """Retries an attempt that this machine could not start."""
        self._dispatch(job)
        self._release_waiters(job)

    def _stop_retrying(self, job: Job) -> None:
        """Ends a job whose attempt this machine could not start in time."""
        self._reject_or_fail(job)
        self._release_waiters(job)

    def _release_waiters(self, job: Job) -> None:
        """Lets waiting jobs fetch the key themselves if the job ended without an origin read."""
        if job.shares_origin_read and self.jobs.get(job.request.id) is not job:
            self._finish_fetch(job.request.key or "", False)

    def _on_answered(self, job: Job, event: api.Outcome) -> None:
        self._remove(job)
        key, answered = job.request.key, event.status is api.Status.OK
        if key is None or job.request.write or (job.detached and job.at_origin):
            return
        if job.at_origin:
            if answered:
                self.hit_history.remember(key, self.context.now)
            self._finish_fetch(key, answered)
        elif answered:
            self.hit_history.observe(key, self.context.now, True)

    def _on_failed_attempt(self, job: Job, event: api.Outcome) -> None:
        key, status = job.request.key, event.status
        if status in NOT_EXECUTED:
            job.may_have_run.pop(event.attempt, None)
        if status in CONNECTION_BROKEN:
            # The server still has the key and may be tried again over a new connection.
            job.tried.discard(event.server)
        # In cache-through mode an error is probably the origin's, so other cache servers are not tried.
        is_late = self.context.now >= job.objective_deadline and not job.spec.late_weight
        is_origin_error = (
            status is api.Status.ERROR and not self.context.settings.cache_aside and not job.request.write
        )
        if status is api.Status.MISS and self.context.settings.cache_aside and not job.at_origin:
            job.at_origin = True
            if key is not None:
                self.hit_history.observe(key, self.context.now, False)
            if not self._join_fetch(job):
                self._acquire_token(job)
        elif job.at_origin:
            is_read = key is not None and not job.request.write
            if is_read and status in CONNECTION_BROKEN and self.context.now < job.objective_deadline:
                # Only the connection broke; the origin has neither failed nor rejected the read.
                self._acquire_token(job)
            else:
                self._on_origin_failure(job)
            if key is not None and is_read and not job.in_flight and not job.detached:
                self._finish_fetch(key, False)
        elif (
            is_origin_error
            or is_late
            or (status is api.Status.FULL and (job.over_quota or job.attempts_started > 1))
        ):
            self._reject_or_fail(job)
        else:
            self._dispatch(job)

    def _on_origin_failure(self, job: Job) -> None:
        """Rejects a read, to protect the failing origin; retries a write within its latency objective."""
        wait = (
            int((job.spec.latency_objective << job.attempts_started) * self.context.random.uniform(0.5, 1))
            // 32
        )
        in_time = job.request.write and self.context.now + wait < job.objective_deadline
        if in_time and self.server_table.origin and self._may_attempt(job, self.server_table.origin):
            self.context.call_later(wait, self._dispatch, job)
        else:
            self._reject_or_fail(job)
