"""Rule checks that run in every simulation.

Each violation is recorded with its request, its server, its time and the preceding events.
"""

from dataclasses import asdict, dataclass, field

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.attempts import Attempt, Backend, ClientAttempt, Router
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.servers import STARTED_BEFORE_RUN, CacheServer
from applehub.settings import Json

MAX_RECORDED = 20  # violations recorded in full; later ones are only counted
INFORMED_FRACTION = 2 / 3  # minimum fraction of the load from routers that knew of the start, for a violation


@dataclass(slots=True)
class Violation:
    """One violation of a rule; times are in ms since the start of the run."""

    rule: str
    at_ms: float
    request: str
    server: str
    what: str
    events: list[str] = field(default_factory=list)


def _event_lines(events: "list[tuple[int, str]]") -> list[str]:
    return [f"{time / MILLI:.3f} ms {text}" for time, text in events[-8:]]


class Rules:
    """All rule checks of one simulation run."""

    def __init__(
        self,
        spec: spec.Rules,
        classes: list[api.RequestClass],
        clock: Clock,
        backends: dict[str, Backend],
        registry: Registry,
    ) -> None:
        self.clock, self.backends, self.registry = clock, backends, registry
        self.drain_grace = int(spec.drain_grace_ms * MILLI)
        self.answer_slack = int(spec.answer_slack_ms * MILLI)
        self.max_poll_interval = int(spec.ask_within_s * SECOND)
        self.classes = classes
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}

    def report(self) -> Json:
        return {"counts": self.counts, "first": [asdict(violation) for violation in self.violations]}

    def record_violation(
        self, rule: str, client_attempt: ClientAttempt | None, server: str, what: str
    ) -> None:
        self.counts[rule] = self.counts.get(rule, 0) + 1
        if len(self.violations) >= MAX_RECORDED:
            return
        events = _event_lines(client_attempt.events) if client_attempt is not None else []
        backend = self.backends.get(server)
        if isinstance(backend, CacheServer):
            events += [f"{server}: {line}" for line in _event_lines(list(backend.events))]
        name = client_attempt.id if client_attempt is not None else ""
        now = self.clock.now / MILLI
        self.violations.append(Violation(rule, round(now, 3), name, server, what, events))

    # One final answer by the deadline

    def record_unknown_request(self, action: api.Send, router: Router) -> None:
        what = f"router {router.index} sent a request that is not pending: {action.id}"
        self.record_violation("one answer", None, action.server, what)

    def check_answered(self, client_attempt: ClientAttempt) -> None:
        """Checks that the router answered; called when the deadline and the answer slack have passed."""
        if (
            client_attempt.answered_at < 0
            and client_attempt.router.up
            and client_attempt.id in client_attempt.router.pending
        ):
            self.record_violation("one answer", client_attempt, "", "no final answer by the deadline")

    # No duplicate effect, bounded attempts, draining servers

    def check_attempt(self, attempt: Attempt) -> bool:
        """Checks an attempt before it is sent; returns whether it may be sent."""
        client_attempt, router = attempt.client_attempt, attempt.router
        if client_attempt.answered_at >= 0:
            self.record_violation(
                "one answer", client_attempt, attempt.server.id, "sent after its final answer"
            )
            return False
        if attempt.number >= router.max_attempts:
            return False  # the attempt ends with status MOOT, as on the wire
        if client_attempt.possibly_executed:
            self._check_repeat(client_attempt, attempt.server.id)
        notified_at = self.drain_notified_at(router, attempt.server.id)
        if notified_at and self.clock.now - notified_at > self.drain_grace:
            delay_ms = (self.clock.now - notified_at) / MILLI
            self.record_violation(
                "drains",
                client_attempt,
                attempt.server.id,
                f"sent {delay_ms:.0f} ms after the router was notified",
            )
        return True

    def _check_repeat(self, client_attempt: ClientAttempt, server: str) -> None:
        spec = self.classes[client_attempt.demand.cls]
        if spec.effect is api.Effect.SAFE:
            return
        first_sent = min(attempt.sent_at for attempt in client_attempt.possibly_executed.values())
        if spec.effect is api.Effect.UNSAFE:
            self.record_violation(
                "no second effect", client_attempt, server, "a non-idempotent request was sent again"
            )
        elif self.clock.now > first_sent + spec.idempotency_window:
            self.record_violation(
                "no second effect",
                client_attempt,
                server,
                "a request was sent again after its idempotency window",
            )

    def check_rejection(self, client_attempt: ClientAttempt) -> None:
        """Checks that a non-idempotent request is not rejected after a possible execution."""
        if (
            client_attempt.possibly_executed
            and self.classes[client_attempt.demand.cls].effect is api.Effect.UNSAFE
        ):
            self.record_violation(
                "no second effect",
                client_attempt,
                "",
                "a non-idempotent request that may have been executed was rejected",
            )

    def drain_notified_at(self, router: Router, server: str) -> int:
        """Returns when the router knew, or should have known, that a server is draining or gone; 0: not yet.

        A router without a watch should know a change `max_poll_interval` after the start of its last watch.
        """
        now, notified_at = self.clock.now, router.drain_reported_at.get(server, 0)
        if notified_at or router.subscribed or now - router.watch_started_at <= self.max_poll_interval:
            return notified_at
        listed = self.registry.listed.get(server)
        if listed is None or listed[1] is api.State.READY:
            return 0
        presumed_at = max(listed[0], router.watch_started_at) + self.max_poll_interval
        return presumed_at if presumed_at <= now else 0

    # Servers that warm up

    def knows_latest_start(self, router: Router, server: CacheServer) -> bool:
        """Returns whether the router was notified of the server's latest start."""
        if server.started_at == STARTED_BEFORE_RUN:
            return True
        member = router.known.get(server.id)
        return member is not None and member.since >= server.started_at > STARTED_BEFORE_RUN

    def record_overload(self, server: CacheServer) -> None:
        """Records the overload of a server that warms up.

        The rule is broken if routers informed of the start sent at least INFORMED_FRACTION of the load.
        """
        server.events.append((self.clock.now, "crashed from overload"))
        if server.informed_fraction >= INFORMED_FRACTION:
            age = (self.clock.now - server.started_at) / SECOND
            self.record_violation("cold servers", None, server.id, f"overloaded {age:.1f} s after its start")
