"""Rule checks that run in every simulation.

A violation holds the request, the server, the time and the events that preceded it.
"""

from dataclasses import asdict, dataclass, field

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.servers import LONG_AGO, CacheServer
from applehub.lab.tries import Asked, Attempt, Place, Router
from applehub.settings import Json

KEPT = 20  # violations recorded in full; later ones are only counted
INFORMED = 2 / 3  # least fraction of an overload, sent by informed routers, that breaks the rule


@dataclass(slots=True)
class Violation:
    """One violation of a rule; times are in ms since the start of the run."""

    rule: str
    at_ms: float
    request: str
    server: str
    what: str
    events: list[str] = field(default_factory=list)


def _lines(events: "list[tuple[int, str]]") -> list[str]:
    return [f"{at / MILLI:.3f} ms {text}" for at, text in events[-8:]]


class Rules:
    """All rule checks of one simulation run."""

    def __init__(
        self,
        spec: spec.Rules,
        classes: list[api.RequestClass],
        clock: Clock,
        places: dict[str, Place],
        registry: Registry,
    ) -> None:
        self.clock, self.places, self.registry = clock, places, registry
        self.grace = int(spec.drain_grace_ms * MILLI)
        self.slack = int(spec.answer_slack_ms * MILLI)
        self.ask_within = int(spec.ask_within_s * SECOND)
        self.classes = classes
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}

    def report(self) -> Json:
        return {"counts": self.counts, "first": [asdict(one) for one in self.violations]}

    def broken(self, rule: str, asked: Asked | None, server: str, what: str) -> None:
        self.counts[rule] = self.counts.get(rule, 0) + 1
        if len(self.violations) >= KEPT:
            return
        events = _lines(asked.events) if asked is not None else []
        place = self.places.get(server)
        if isinstance(place, CacheServer):
            events += [f"{server}: {line}" for line in _lines(list(place.events))]
        name = asked.id if asked is not None else ""
        now = self.clock.now / MILLI
        self.violations.append(Violation(rule, round(now, 3), name, server, what, events))

    # One final answer by the deadline

    def unknown(self, action: api.Send, router: Router) -> None:
        what = f"router {router.index} sent a request that is not pending: {action.id}"
        self.broken("one answer", None, action.server, what)

    def overdue(self, asked: Asked) -> None:
        """Checks that the router answered; called when the deadline plus its slack has passed."""
        if asked.final < 0 and asked.router.up and asked.id in asked.router.asked:
            self.broken("one answer", asked, "", "no final answer by the deadline")

    # No duplicate effect, bounded attempts, draining servers

    def sending(self, attempt: Attempt) -> bool:
        """Checks an attempt before it is sent; returns whether it may be sent."""
        asked, router = attempt.asked, attempt.router
        if asked.final >= 0:
            self.broken("one answer", asked, attempt.server.id, "sent after its final answer")
            return False
        if attempt.number >= router.max_attempts:
            return False  # the attempt ends with status MOOT, as on the wire
        if asked.live:
            self._repeated(asked, attempt.server.id)
        away = self.told_away(router, attempt.server.id)
        if away and self.clock.now - away > self.grace:
            late = (self.clock.now - away) / MILLI
            self.broken(
                "drains", asked, attempt.server.id, f"sent {late:.0f} ms after the router was notified"
            )
        return True

    def _repeated(self, asked: Asked, server: str) -> None:
        spec = self.classes[asked.demand.cls]
        if spec.effect is api.Effect.SAFE:
            return
        first = min(one.sent for one in asked.live.values())
        if spec.effect is api.Effect.UNSAFE:
            self.broken("no second effect", asked, server, "a non-idempotent request was sent again")
        elif self.clock.now > first + spec.window:
            self.broken(
                "no second effect", asked, server, "a request was sent again after its idempotency window"
            )

    def refusing(self, asked: Asked) -> None:
        """Checks a rejection, which tells the client that a retry has no duplicate effect."""
        if asked.live and self.classes[asked.demand.cls].effect is api.Effect.UNSAFE:
            self.broken(
                "no second effect",
                asked,
                "",
                "a non-idempotent request that may have been executed was rejected",
            )

    def told_away(self, router: Router, server: str) -> int:
        """Returns when the router was or should have been notified that a server drains or is gone; 0: never.

        A router without a watch should know a change once `ask_within` has passed since its last poll.
        """
        now, told = self.clock.now, router.told_away.get(server, 0)
        if told or router.subscribed or now - router.asked_at <= self.ask_within:
            return told
        listed = self.registry.listed.get(server)
        if listed is None or listed[1] is api.State.READY:
            return 0
        counts = max(listed[0], router.asked_at) + self.ask_within
        return counts if counts <= now else 0

    # Servers that warm up

    def informed_of_start(self, router: Router, server: CacheServer) -> bool:
        """Returns whether the router was notified of the server's latest start."""
        if server.started == LONG_AGO:
            return True
        known = router.known.get(server.id)
        return known is not None and known.since >= server.started > LONG_AGO

    def tipped(self, server: CacheServer) -> None:
        """Records the overload of a server that warms up.

        The rule is broken if informed routers sent most of the load.
        """
        server.events.append((self.clock.now, "crashed from overload"))
        if server.informed_part >= INFORMED:
            age = (self.clock.now - server.started) / SECOND
            self.broken("cold servers", None, server.id, f"overloaded {age:.1f} s after its start")
