"""Router hosts: each passes events to one decision module and executes its actions on the network."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.account import Account
from applehub.lab.attempts import Attempt, Backend, ClientAttempt
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.network import EmulatedNetwork
from applehub.lab.origin import OriginServer
from applehub.lab.peering import Peering
from applehub.lab.rules import Rules
from applehub.lab.servers import CacheServer
from applehub.policy import Balancer
from applehub.wirehost import DecisionModule

MAX_STORES_PER_MISS = 2  # maximum number of cache servers that store the origin's answer to one request
TERMINATION_GRACE = 700 * MILLI  # ns; added to the longest deadline for a graceful shutdown


@dataclass(slots=True)
class RouterContext:
    """Services and settings that all routers of a simulation share."""

    clock: Clock
    spec: spec.Routers
    net: EmulatedNetwork
    registry: Registry
    servers_by_id: dict[str, Backend]
    servers: list[CacheServer]
    rules: Rules
    account: Account
    longest_deadline: int
    # Called with a client attempt, its outcome, the retry-after and the network delay, both in ns.
    answered: Callable[[ClientAttempt, str, int, int], None]
    log: Callable[["RouterHost", str], None]
    on_overload: Callable[[CacheServer], None]
    peering: Peering | None  # None: no gossip


class RouterHost:
    """One router: its processor, its connections and its requests in progress."""

    def __init__(self, context: RouterContext, index: int, zone: int) -> None:
        self.context, self.clock, self.index, self.zone = context, context.clock, index, zone
        self.process_incarnation = 0
        self.up = self.accepting = False
        self.busy_until = 0  # time at which the processor finishes the accepted work, ns
        self.cpu_time = 0
        self.pending: dict[str, ClientAttempt] = {}
        # Idle connections by server id, each with the start of its idle time and the server's incarnation.
        self.idle_connections: dict[str, deque[tuple[int, int]]] = {}
        self.known: dict[str, api.Member] = {}
        self.list_version = 0
        self.drain_reported_at: dict[str, int] = {}  # by server id: time (ns) of the first drain update
        self.watch_started_at = 0  # start of the latest watch, ns
        self.subscribed = False
        self.max_attempts = context.spec.max_attempts
        costs = context.spec
        self.request_cost, self.attempt_cost = int(costs.request_us * 1000), int(costs.attempt_us * 1000)
        self.timer_cost, self.list_entry_cost = int(costs.alarm_us * 1000), int(costs.member_us * 1000)
        self.idle_timeout = int(costs.idle_s * SECOND)
        self.save_interval = int(costs.keeps_s * SECOND)
        # Time of the latest save (ns), and the statistics saved.
        self.saved_statistics: tuple[int, api.SavedStatistics] | None = None
        self.decider: DecisionModule

    # Process lifetime

    def start(self, make_policy: Callable[[int], DecisionModule]) -> None:
        """Starts a router process with the cached list and the saved statistics, if any."""
        self.process_incarnation += 1
        self.up = self.accepting = True
        self.busy_until = self.clock.now
        self.subscribed, self.watch_started_at = False, self.clock.now
        self.max_attempts = self.context.spec.max_attempts
        self.decider = make_policy(self.process_incarnation)
        self._receive_list(api.Members(api.ListKind.CACHED, list(self.known.values())), self.list_version)
        if self.saved_statistics is not None:
            saved_at, statistics = self.saved_statistics
            self.deliver(
                replace(statistics, age=self.clock.now - saved_at),
                self.list_entry_cost * len(statistics.servers),
            )
        if self.save_interval and isinstance(self.decider, Balancer):
            self.clock.after(self.save_interval, self._save_statistics, self.process_incarnation)
        if self.context.peering is not None:
            self.context.peering.start(self)

    def _save_statistics(self, incarnation: int) -> None:
        if self.process_incarnation == incarnation and isinstance(self.decider, Balancer):
            self.saved_statistics = self.clock.now, self.decider.statistics()
            self.clock.after(self.save_interval, self._save_statistics, incarnation)

    def stop(self) -> None:
        """Ends the process at once, as SIGKILL does, and breaks the connections of its clients."""
        self.up = self.accepting = False
        self.process_incarnation += 1
        self.context.registry.unsubscribe(self.index)
        for client_attempt in list(self.pending.values()):
            for attempt in client_attempt.in_flight.values():
                attempt.ended = True
                self._release_connection(attempt)
            if client_attempt.answered_at < 0:
                client_attempt.answered_at = self.clock.now
                self._record_event(client_attempt, "router stopped")
                self.context.answered(client_attempt, "unreachable", 0, self.context.net.client_delay)
        self.pending.clear()
        for name, idle_connections in self.idle_connections.items():
            server = self.context.servers_by_id[name]
            for _, server_incarnation in idle_connections:
                self._close_connection(server, server_incarnation)
        self.idle_connections.clear()

    def drain(self, on_stopped: Callable[["RouterHost"], None]) -> None:
        """Shuts down gracefully, as on SIGTERM: accepts no requests, and stops once all are answered or the
        grace period has passed."""
        self.accepting = False
        self._check_drained(
            (
                self.clock.now + self.context.longest_deadline + TERMINATION_GRACE,
                self.process_incarnation,
                on_stopped,
            )
        )

    def _check_drained(self, argument: tuple[int, int, Callable[["RouterHost"], None]]) -> None:
        deadline, incarnation, on_stopped = argument
        if self.process_incarnation != incarnation:
            return
        if self.pending and self.clock.now < deadline:
            self.clock.after(20 * MILLI, self._check_drained, argument)
            return
        self.stop()
        on_stopped(self)

    # Events

    def deliver(self, event: api.Event, cost: int) -> None:
        """Queues an event, which the decision module handles once the processor is free."""
        starts_at = max(self.clock.now, self.busy_until)
        self.busy_until = starts_at + cost
        self.cpu_time += cost
        if starts_at == self.clock.now:
            self._handle((self.process_incarnation, event))
        else:
            self.clock.at(starts_at, self._handle, (self.process_incarnation, event))

    def work(self, cost: int) -> None:
        """Occupies the processor for `cost` ns."""
        self.busy_until = max(self.clock.now, self.busy_until) + cost
        self.cpu_time += cost

    def _handle(self, argument: tuple[int, api.Event]) -> None:
        incarnation, event = argument
        if incarnation != self.process_incarnation or not self.up:
            return
        if type(event) is api.RequestCancelled and not self._cancel(event.id):
            return
        for action in self.decider.handle(self.clock.now, event):
            match action:
                case api.Send():
                    self._send(action)
                case api.Reject():
                    self._finish(action.id, "refused", action.retry_after)
                case api.Fail():
                    self._finish(action.id, "failed", 0)
                case api.SetTimer():
                    self.clock.after(action.delay, self._fire_timer, (self.process_incarnation, action.token))
                case api.Watch():
                    self._subscribe()
                case api.Log():
                    self.context.log(self, action.text)
                case api.PublishGossip():
                    assert self.context.peering is not None  # gossip is published only where it is enabled
                    self.context.peering.publish(self, action)

    def _fire_timer(self, argument: tuple[int, str]) -> None:
        if argument[0] == self.process_incarnation:
            self.deliver(api.TimerFired(argument[1]), self.timer_cost)

    def _subscribe(self) -> None:
        self.watch_started_at = self.clock.now
        incarnation = self.process_incarnation

        def on_list(event: api.Members, version: int) -> None:
            if self.process_incarnation == incarnation:
                self.subscribed = event.kind is not api.ListKind.FAILED
                self._receive_list(event, version)

        self.context.registry.subscribe(self.index, self.list_version, on_list)

    def restart_subscription(self) -> None:
        """Restarts an active watch, as after a change of the discovery address."""
        if self.up and self.subscribed:
            self._subscribe()

    def _receive_list(self, event: api.Members, version: int) -> None:
        self.list_version = version
        for entry in event.entries:
            if entry.state is api.State.READY:
                self.drain_reported_at.pop(entry.server, None)
            else:
                self.drain_reported_at.setdefault(entry.server, self.clock.now)
            if entry.state is api.State.GONE:
                self.known.pop(entry.server, None)
                self._close_idle_to(entry.server)
            else:
                self.known[entry.server] = entry
        self.deliver(event, self.list_entry_cost * (1 + len(event.entries)))

    def _close_idle_to(self, name: str) -> None:
        server = self.context.servers_by_id[name]
        for _, server_incarnation in self.idle_connections.pop(name, ()):
            self._close_connection(server, server_incarnation)

    # Requests

    def receive(self, client_attempt: ClientAttempt) -> None:
        """Accepts a client's request whose last byte has arrived."""
        if not self.up:
            self.context.answered(client_attempt, "unreachable", 0, self.context.net.client_delay)
            return
        demand = client_attempt.demand
        self.pending[client_attempt.id] = client_attempt
        request = api.Request(
            client_attempt.id,
            demand.cls,
            client_attempt.deadline,
            demand.key,
            demand.write,
            0,
            client_attempt.retry,
        )
        self._record_event(client_attempt, f"received by router {self.index}")
        self.deliver(request, self.request_cost)

    def cancel(self, client_attempt: ClientAttempt) -> None:
        """Reports to the decision module that the client has closed the request early."""
        if self.up and client_attempt.answered_at < 0 and client_attempt.id in self.pending:
            self.deliver(api.RequestCancelled(client_attempt.id), self.timer_cost)

    def _cancel(self, client_attempt_id: str) -> bool:
        """Ends a cancelled request when the router handles the event; returns whether it was unanswered."""
        client_attempt = self.pending.get(client_attempt_id)
        if client_attempt is None or client_attempt.answered_at >= 0:
            return False
        client_attempt.answered_at = self.clock.now
        self._record_event(client_attempt, "cancelled by the client")
        self._release_if_finished(client_attempt)
        return True

    def _finish(self, client_attempt_id: str, outcome: str, retry_after: int) -> None:
        client_attempt = self.pending.get(client_attempt_id)
        if client_attempt is None or client_attempt.answered_at >= 0:
            return
        if outcome == "refused":
            self.context.rules.check_rejection(client_attempt)
        client_attempt.answered_at = self.clock.now
        self._record_event(client_attempt, outcome)
        self.context.answered(
            client_attempt, outcome, retry_after, self.context.net.client_delay + self._backlog()
        )
        self._release_if_finished(client_attempt)

    def _backlog(self) -> int:
        """Returns the time until the processor is free, in ns."""
        return max(0, self.busy_until - self.clock.now)

    def _release_if_finished(self, client_attempt: ClientAttempt) -> None:
        if client_attempt.answered_at >= 0 and not client_attempt.in_flight:
            self.pending.pop(client_attempt.id, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        now, client_attempt, server = (
            self.clock.now,
            self.pending.get(action.id),
            self.context.servers_by_id[action.server],
        )
        if client_attempt is None:
            self.context.rules.record_unknown_request(action, self)
            return
        number, client_attempt.attempts_made = client_attempt.attempts_made, client_attempt.attempts_made + 1
        server_incarnation = server.incarnation if isinstance(server, CacheServer) else 0
        attempt = Attempt(
            client_attempt, number, self, server, now, self.process_incarnation, server_incarnation
        )
        time_left = client_attempt.deadline - now
        timeout = min(action.timeout, time_left) if action.timeout > 0 else time_left
        if not self.context.rules.check_attempt(attempt) or timeout <= 0:
            client_attempt.in_flight[number] = attempt
            self.clock.after(0, self._end_unsent, attempt)
            return
        client_attempt.in_flight[number] = client_attempt.possibly_executed[number] = attempt
        self._record_event(client_attempt, f"attempt {number} to {server.id}, {timeout / MILLI:.0f} ms")
        self.clock.after(timeout, self._timed_out, attempt)
        self._connect(attempt)

    def _end_unsent(self, attempt: Attempt) -> None:
        self._end_attempt(attempt, api.Status.MOOT, 0, None)

    def _connect(self, attempt: Attempt) -> None:
        """Reuses the most recently used idle connection, or opens a new one."""
        server, net, account = attempt.server, self.context.net, self.context.account
        backlog = self._backlog()
        if isinstance(server, OriginServer):
            self.clock.after(backlog + net.delay(0, 1), self._reach_server, attempt)
            return
        if server.zone != self.zone:
            account.cross_zone_attempts += 1
        if self._reuse_connection(attempt):
            self.clock.after(backlog + net.delay(self.zone, server.zone), self._reach_server, attempt)
            return
        attempt.opened = True
        account.handshakes += 1
        if net.is_partitioned(self.zone, server.zone) or server.unresponsive:
            self.clock.after(net.dial_timeout, self._connect_failed, attempt)
            return
        delay = net.delay(self.zone, server.zone)
        self.clock.after(backlog + int(delay * 2 * server.spec.handshake_rtts), self._connected, attempt)

    def _reuse_connection(self, attempt: Attempt) -> bool:
        idle_connections = self.idle_connections.get(attempt.server.id)
        while idle_connections:
            since, server_incarnation = idle_connections.pop()
            if self.clock.now - since < self.idle_timeout:
                attempt.server_incarnation = server_incarnation
                attempt.connection_counted = True
                return True
            self._close_connection(attempt.server, server_incarnation)
        return False

    def _connected(self, attempt: Attempt) -> None:
        """Completes the handshake, or fails if the server is down or its connection table is full."""
        server = attempt.server
        assert isinstance(server, CacheServer)
        full = server.connections >= server.spec.connections_per_core * server.cores
        if attempt.ended:
            return
        if not server.up or server.overloaded or full:
            self._connect_failed(attempt)
            return
        attempt.server_incarnation = server.incarnation
        attempt.connection_counted = True
        server.connections += 1
        self.clock.after(self.context.net.delay(self.zone, server.zone), self._reach_server, attempt)

    def _connect_failed(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.context.account.refused_connects += 1
            self._end_attempt(attempt, api.Status.CONNECT_FAILED, 0, None)

    def _reach_server(self, attempt: Attempt) -> None:
        """Delivers an attempt, whose last byte has arrived at the server."""
        server, net = attempt.server, self.context.net
        if attempt.ended and not attempt.connection_counted:
            return
        attempt.written = True
        self.context.account.attempts += 1
        if isinstance(server, OriginServer):
            server.receive(attempt)
            return
        if net.is_partitioned(self.zone, server.zone) or server.unresponsive:
            return
        if not server.up or server.overloaded or server.incarnation != attempt.server_incarnation:
            self.clock.after(net.delay(self.zone, server.zone), self._reset, attempt)
            return
        informed = self.context.rules.knows_latest_start(self, server)
        if server.receive(attempt, informed):
            self.context.on_overload(server)

    def _reset(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.router_incarnation == self.process_incarnation:
            self._end_attempt(attempt, api.Status.RESET, 0, None)

    def connection_broken(self, attempt: Attempt) -> None:
        """Ends an attempt with a connection reset, after the network delay."""
        server = attempt.server
        assert isinstance(server, CacheServer)
        self.clock.after(self.context.net.delay(self.zone, server.zone), self._reset, attempt)

    def answered(self, attempt: Attempt, status: api.Status, note: int) -> None:
        """Sends a server's answer back over the network, which may lose it or reset the connection."""
        server, net, demand = attempt.server, self.context.net, attempt.client_attempt.demand
        if isinstance(server, OriginServer):
            if status is api.Status.OK:
                self._update_caches(attempt)
            self.clock.after(net.delay(0, 1), self._receive_answer, (attempt, status, note, None))
            return
        if attempt.ended and status is api.Status.OK:
            self.context.account.wasted += demand.work
        if net.is_partitioned(self.zone, server.zone) or server.unresponsive or net.drops_answer():
            return
        if net.resets_connection():
            self.connection_broken(attempt)
            return
        delay = net.delay(self.zone, server.zone)
        self.clock.after(delay, self._receive_answer, (attempt, status, note, server.load()))

    def _update_caches(self, attempt: Attempt) -> None:
        """Invalidates the copies of a written key, or stores a read key at the servers that missed it."""
        client_attempt, demand = attempt.client_attempt, attempt.client_attempt.demand
        if demand.write:
            for server in self.context.servers:
                server.stored_keys.pop(demand.key, None)
        elif client_attempt.answered_at < 0 and not attempt.ended:
            for server in client_attempt.missed_at[:MAX_STORES_PER_MISS]:
                if server.up and not server.overloaded:
                    server.store(demand.key)

    def _receive_answer(self, argument: tuple[Attempt, api.Status, int, api.LoadReport | None]) -> None:
        attempt, status, note, load = argument
        if attempt.ended or attempt.router_incarnation != self.process_incarnation:
            return
        self._end_attempt(attempt, status, note, load)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.router_incarnation == self.process_incarnation:
            self._end_attempt(attempt, api.Status.TIMEOUT if attempt.written else api.Status.MOOT, 0, None)

    def _end_attempt(
        self, attempt: Attempt, status: api.Status, note: int, load: api.LoadReport | None
    ) -> None:
        client_attempt, server, now = attempt.client_attempt, attempt.server, self.clock.now
        attempt.ended = True
        must_close = status in (
            api.Status.RESET,
            api.Status.TIMEOUT,
            api.Status.CONNECT_FAILED,
            api.Status.MOOT,
        )
        if must_close:
            self._release_connection(attempt)
        elif attempt.connection_counted:
            self.idle_connections.setdefault(server.id, deque()).append((now, attempt.server_incarnation))
        client_attempt.in_flight.pop(attempt.number, None)
        if status in (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS):
            client_attempt.possibly_executed.pop(attempt.number, None)
        if status is api.Status.MISS and isinstance(server, CacheServer):
            client_attempt.missed_at.append(server)
        client_attempt.last_outcome = self.context.account.record_attempt(status, server)
        self._record_event(client_attempt, f"attempt {attempt.number} at {server.id}: {status}")
        succeeded = status is api.Status.OK and client_attempt.answered_at < 0
        if succeeded:
            client_attempt.answered_at = now
        event = api.Outcome(
            client_attempt.id,
            attempt.number,
            server.id,
            status,
            client_attempt.answered_at >= 0,
            now - attempt.sent_at,
            note,
            load,
        )
        self.deliver(event, self.attempt_cost)
        if succeeded:
            self.context.answered(client_attempt, "ok", 0, self.context.net.client_delay + self._backlog())
        self._release_if_finished(client_attempt)

    # Connections

    def _release_connection(self, attempt: Attempt) -> None:
        if attempt.connection_counted:
            attempt.connection_counted = False
            self._close_connection(attempt.server, attempt.server_incarnation)

    def _close_connection(self, server: Backend, server_incarnation: int) -> None:
        if (
            isinstance(server, CacheServer)
            and server.incarnation == server_incarnation
            and server.connections
        ):
            server.connections -= 1

    def close_idle_connections(self) -> None:
        """Closes the connections that exceed the idle timeout, the longest idle first."""
        idle_before = self.clock.now - self.idle_timeout
        for name, idle_connections in self.idle_connections.items():
            while idle_connections and idle_connections[0][0] < idle_before:
                self._close_connection(self.context.servers_by_id[name], idle_connections.popleft()[1])

    def _record_event(self, client_attempt: ClientAttempt, text: str) -> None:
        client_attempt.events.append((self.clock.now, text))
