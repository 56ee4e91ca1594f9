"""Invariants over random legal event sequences, checked by an oracle that shares no code with the policy.

Rule 1: each request gets exactly one final answer, by its deadline. Rule 2: a request that may have been
executed is retried only if its class allows it, and never has two attempts in flight. Rule 3: draining,
removed or excluded servers get no new attempts after a grace period."""

import random
from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, ORIGIN_KIND, SECOND, fleet
from support import settings as router_settings

from applehub import interface as api
from applehub.policy import Balancer

DRAIN_GRACE = SECOND // 4
MICROSECOND = 1000
NOT_STARTED = {"local_failure", "unreachable"}  # failed on the router's host before any byte was sent
NOT_EXECUTED = {"full", "connect_failed", "moot", "miss"} | NOT_STARTED
OUTCOMES = [
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "miss",
    "local_failure",
    "unreachable",
]
MAX_NOT_STARTED = 65  # maximum number of attempts of one request that do not start


@dataclass
class TrackedRequest:
    """State of a request as the oracle tracks it."""

    spec: api.RequestClass  # class settings at arrival; a reload does not change them
    deadline: int
    # Server, send time and outcome of each attempt; the outcome is empty while the attempt is in flight.
    attempts: list[tuple[str, int, str]] = field(default_factory=list)
    ended: bool = False


class Simulation:
    """Simulates clients, discovery and servers with random legal events, and checks every action."""

    def __init__(self, seed: int, mode: str) -> None:
        self.rng = random.Random(seed)
        self.outcomes = OUTCOMES  # outcomes of failing attempts, drawn at random
        self.coarse_timers = self.rng.random() < 0.5
        self.options = router_settings(
            cache_aside=mode != "through",
            list_on_request=mode == "asked",
            tenants=[api.Tenant(5.0), api.Tenant(5.0)] if mode == "tenants" else [],
        )
        self.now = 100 * SECOND
        self.timers: list[tuple[int, str]] = []
        self.pending_outcomes: list[tuple[int, str, int]] = []  # clock time, request ID, attempt number
        self.start()

    def start(self) -> None:
        """Starts a new router from a cached endpoint list; requests of the previous process are dropped."""
        self.router = Balancer(self.options, self.rng.getrandbits(64))
        self.requests: dict[str, TrackedRequest] = {}
        self.pending_outcomes.clear()
        self.timers.clear()
        self.removed_at: dict[str, int] = {}  # by server: time at which it was listed as draining or gone
        self.excluded_at: dict[str, int] = {}  # by server: time at which an operator excluded it
        self.members = {
            member.server: member for member in fleet(self.rng.choice([0, 1, 4, 7]), self.rng.random() < 0.9)
        }
        self.deliver(api.Members(api.ListKind.CACHED, list(self.members.values())))

    def deliver(self, event: api.Event) -> None:
        for action in self.router.handle(self.now, event):
            if isinstance(action, api.Send):
                self.check_send(action)
            elif isinstance(action, api.Reject | api.Fail):
                self.check_answer(action)
            elif isinstance(action, api.SetTimer):
                assert action.delay >= 0
                # Timers are coarser than the clock: a timer may fire slightly early, but never immediately.
                delay = action.delay // MICROSECOND * MICROSECOND if self.coarse_timers else action.delay
                self.timers.append((self.now + max(1, delay), action.token))

    def check_send(self, action: api.Send) -> None:
        request = self.requests[action.id]
        assert not request.ended, "rule 1: attempt sent for a request that has ended"
        assert action.server in self.members, "attempt sent to a server that was never listed"
        assert self.now <= self.removed_at.get(action.server, self.now) + DRAIN_GRACE, (
            "rule 3: attempt sent to a draining server"
        )
        assert self.now <= self.excluded_at.get(action.server, self.now) + DRAIN_GRACE, (
            "rule 3: attempt sent to a server that an operator excluded"
        )
        not_started = sum(outcome in NOT_STARTED for _, _, outcome in request.attempts)
        assert len(request.attempts) - not_started < self.options.max_attempts
        assert not_started <= MAX_NOT_STARTED
        assert all(outcome for _, _, outcome in request.attempts), "rule 2: two attempts in flight at once"
        maybe_executed = [
            (server, sent) for server, sent, outcome in request.attempts if outcome not in NOT_EXECUTED
        ]
        spec = request.spec
        if maybe_executed and spec.effect == "unsafe":
            raise AssertionError("rule 2: retry of an unsafe request that may have been executed")
        if maybe_executed and spec.effect == "keyed":
            assert self.now < maybe_executed[0][1] + spec.idempotency_window, (
                "rule 2: retry with an idempotency key after its window"
            )
            for server, _ in maybe_executed:
                for domain in ("zone", "cell"):
                    if spec.group == domain:
                        first, second = self.members[server], self.members[action.server]
                        assert getattr(first, domain) == getattr(second, domain), (
                            "rule 2: retry with an idempotency key outside its group"
                        )
        request.attempts.append((action.server, self.now, ""))
        limit = request.deadline if action.timeout == 0 else min(request.deadline, self.now + action.timeout)
        max_duration = self.rng.choice([MILLI, 100 * MILLI, 3 * SECOND])
        when = min(limit, self.now + self.rng.randrange(1, max_duration))
        self.pending_outcomes.append((when, action.id, len(request.attempts) - 1))

    def check_answer(self, action: api.Reject | api.Fail) -> None:
        request = self.requests[action.id]
        assert not request.ended, "rule 1: a second final answer"
        assert self.now <= request.deadline + 20 * MILLI, "rule 1: final answer after the deadline"
        spec = request.spec
        maybe_executed = any(outcome not in NOT_EXECUTED for _, _, outcome in request.attempts)
        if isinstance(action, api.Reject) and maybe_executed and spec.effect != "safe":
            assert spec.effect == "keyed" and spec.group == "all", (
                "rule 2: rejection of a request that may have been executed"
            )
        request.ended = True

    def send_request(self) -> None:
        cls = self.rng.randrange(len(self.options.classes))
        spec = self.options.classes[cls]
        name = f"r{len(self.requests)}"
        deadline = self.now + int(spec.deadline * self.rng.uniform(0.05, 1))
        self.requests[name] = TrackedRequest(spec, deadline)
        key = self.rng.choice([None, "hot", f"k{self.rng.randrange(60)}"])
        write = spec.effect != "safe" and self.options.cache_aside
        self.deliver(
            api.Request(name, cls, deadline, key, write, self.rng.randrange(2), self.rng.random() < 0.2)
        )

    def update_members(self) -> None:
        if self.options.list_on_request and self.rng.random() < 0.3:
            self.deliver(api.Members(api.ListKind.FAILED, []))
            return
        entries = []
        for name in (
            self.rng.sample(sorted(self.members), self.rng.randrange(1, 4)) if len(self.members) > 3 else []
        ):
            current = self.members[name]
            state = self.rng.choice([api.State.READY, api.State.DRAINING, api.State.GONE])
            since = self.rng.choice([current.since, self.now])
            entries.append(api.Member(name, state, current.kind, current.zone, current.cell, since))
        if self.rng.random() < 0.4:
            name = f"n{self.rng.randrange(8)}"
            entries.append(
                api.Member(name, zone=self.rng.randrange(2), cell=self.rng.randrange(3), since=self.now)
            )
        for entry in entries:
            self.members[entry.server] = entry
            if entry.state is api.State.READY:
                self.removed_at.pop(entry.server, None)
            else:
                self.removed_at.setdefault(entry.server, self.now)
        kind = api.ListKind.DELTA
        if self.rng.random() < 0.2:
            kind = api.ListKind.FULL
            entries = [member for member in self.members.values() if member.server not in self.removed_at]
            for name in self.members:
                if name not in {member.server for member in entries}:
                    self.removed_at.setdefault(name, self.now)
        self.deliver(api.Members(kind, entries))

    def finish_attempt(self, when: int, name: str, attempt: int) -> None:
        request = self.requests[name]
        server, sent, _ = request.attempts[attempt]
        fails = self.rng.random() < self.failure_rate
        outcome = self.rng.choice(self.outcomes) if fails else "ok"
        if when >= request.deadline:
            outcome = "timeout"
        if outcome == "ok" and server != "origin" and self.rng.random() < 0.4:
            outcome = "miss"
        request.attempts[attempt] = (server, sent, outcome)
        closed = request.ended or outcome == "ok"
        request.ended = closed
        load = api.LoadReport(inflight=self.rng.randrange(30), latency_ms=50, qps=20) if fails else None
        status, connected = api.Status(outcome), outcome not in NOT_STARTED and self.rng.random() < 0.5
        self.deliver(
            api.Outcome(
                name, attempt, server, status, closed, self.now - sent, load=load, connected=connected
            )
        )

    def run(self, steps: int) -> None:
        self.failure_rate = self.rng.choice([0.02, 0.3, 0.95])
        for _ in range(steps):
            self.advance(self.now + self.rng.choice([0, MILLI, 20 * MILLI, 300 * MILLI]))
            steps_to_draw = [
                self.send_request,
                self.update_members,
                self.cancel_request,
                self.override_server,
                self.reload_settings,
                self.restart,
            ]
            self.rng.choices(steps_to_draw, [40, 4, 2, 2, 0.5, 0.3])[0]()
        self.advance(self.now + 10 * SECOND)
        assert all(request.ended for request in self.requests.values()), "rule 1: no final answer"

    def advance(self, end: int) -> None:
        """Delivers outcomes and timer events up to `end` in time order, and checks that deadlines are met."""
        while True:
            when, name, attempt = min(self.pending_outcomes, default=(end + 1, "", 0))
            fires_at, token = min(self.timers, default=(end + 1, ""))
            if min(when, fires_at) > end:
                break
            self.now = min(when, fires_at)
            if fires_at <= when:
                self.timers.remove((fires_at, token))
                self.deliver(api.TimerFired(token))
            else:
                self.pending_outcomes.remove((when, name, attempt))
                self.finish_attempt(when, name, attempt)
            for request in self.requests.values():
                assert request.ended or self.now <= request.deadline + 20 * MILLI, (
                    "rule 1: no final answer by the deadline"
                )
        self.now = end

    def cancel_request(self) -> None:
        open_requests = [name for name, request in self.requests.items() if not request.ended]
        if open_requests:
            name = self.rng.choice(open_requests)
            self.requests[name].ended = True
            self.deliver(api.RequestCancelled(name))

    def override_server(self) -> None:
        """Excludes a server by operator override, possibly a second time, or includes one again."""
        name = self.rng.choice([*sorted(self.members), "c0"])
        if name == "origin":
            return
        exclude = self.rng.random() < 0.5
        if exclude:
            self.excluded_at.setdefault(name, self.now)
        else:
            self.excluded_at.pop(name, None)
        self.deliver(api.ServerOverride(name, exclude, self.now))

    def reload_settings(self) -> None:
        """Reloads settings with reordered classes, one possibly stricter, and another attempt limit."""
        classes = [replace(spec) for spec in self.options.classes]
        self.rng.shuffle(classes)
        classes[0].effect = self.rng.choice([classes[0].effect, api.Effect.UNSAFE])
        attempt_limit = self.rng.choice([1, 2, 4])
        self.options = replace(self.options, classes=classes, max_attempts=attempt_limit)
        self.deliver(api.SettingsChanged(self.options))

    def restart(self) -> None:
        self.start()


@settings(derandomize=True, max_examples=120, deadline=None)
@given(seed=st.integers(0, 2**32), mode=st.sampled_from(["aside", "through", "asked", "tenants"]))
def test_rules_hold_over_random_legal_sequences(seed: int, mode: str) -> None:
    Simulation(seed, mode).run(150)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), mode=st.sampled_from(["aside", "through", "asked", "tenants"]))
def test_rules_hold_when_most_attempts_cannot_start(seed: int, mode: str) -> None:
    simulation = Simulation(seed, mode)
    simulation.outcomes = sorted(NOT_STARTED)
    simulation.run(150)


def test_every_request_is_answered_when_all_servers_are_removed_at_once() -> None:
    simulation = Simulation(5, "aside")
    simulation.failure_rate = 1.0
    simulation.members = {member.server: member for member in fleet(6)}
    simulation.deliver(api.Members(api.ListKind.FULL, list(simulation.members.values())))
    for _ in range(300):
        simulation.advance(simulation.now + 5 * MILLI)
        simulation.send_request()
    simulation.deliver(api.Members(api.ListKind.FULL, []))
    simulation.removed_at.update(dict.fromkeys(simulation.members, simulation.now))
    for _ in range(50):
        simulation.advance(simulation.now + 5 * MILLI)
        simulation.send_request()
    simulation.advance(simulation.now + 10 * SECOND)
    assert all(request.ended for request in simulation.requests.values())
    assert simulation.router.jobs == {} and simulation.options.origin_kind == ORIGIN_KIND
