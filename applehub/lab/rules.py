"""The rules as checks, on in every play. A violation names request, server, time and the last events."""

from dataclasses import asdict, dataclass, field

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.servers import LONG_AGO, CacheServer
from applehub.lab.tries import Asked, Attempt, Place, Router
from applehub.settings import Json

KEPT = 20  # violations told whole; the others are counted
INFORMED = 2 / 3  # of what tipped a server over: the part from informed routers that breaks the rule


@dataclass(slots=True)
class Violation:
    """One broken rule; times in ms since the day began."""

    rule: str
    at_ms: float
    request: str
    server: str
    what: str
    events: list[str] = field(default_factory=list)


def _lines(events: "list[tuple[int, str]]") -> list[str]:
    return [f"{at / MILLI:.3f} ms {text}" for at, text in events[-8:]]


class Rules:
    """All rules of one play."""

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

    # One final answer, in time

    def unknown(self, action: api.Send, router: Router) -> None:
        what = f"router {router.index} sent a request that it does not hold: {action.id}"
        self.broken("one answer", None, action.server, what)

    def overdue(self, asked: Asked) -> None:
        """The deadline and its slack have passed."""
        if asked.final < 0 and asked.router.up and asked.id in asked.router.asked:
            self.broken("one answer", asked, "", "no final answer by the deadline")

    # No second effect, bounded attempts, drains

    def sending(self, attempt: Attempt) -> bool:
        """Checks an attempt before it goes out; whether it may."""
        asked, router = attempt.asked, attempt.router
        if asked.final >= 0:
            self.broken("one answer", asked, attempt.server.id, "sent after its final answer")
            return False
        if attempt.number >= router.max_attempts:
            return False  # proved moot, as on the wire
        if asked.live:
            self._repeated(asked, attempt.server.id)
        away = self.told_away(router, attempt.server.id)
        if away and self.clock.now - away > self.grace:
            late = (self.clock.now - away) / MILLI
            self.broken("drains", asked, attempt.server.id, f"sent {late:.0f} ms after it was told")
        return True

    def _repeated(self, asked: Asked, server: str) -> None:
        spec = self.classes[asked.demand.cls]
        if spec.effect is api.Effect.SAFE:
            return
        first = min(one.sent for one in asked.live.values())
        if spec.effect is api.Effect.UNSAFE:
            self.broken("no second effect", asked, server, "an unsafe request was sent again")
        elif self.clock.now > first + spec.window:
            self.broken("no second effect", asked, server, "a keyed request was sent again past its window")

    def refusing(self, asked: Asked) -> None:
        """A refusal says that another try is harmless."""
        if asked.live and self.classes[asked.demand.cls].effect is api.Effect.UNSAFE:
            self.broken("no second effect", asked, "", "an unsafe request that may have run was refused")

    def told_away(self, router: Router, server: str) -> int:
        """When the router was told, or counts as told, that a server drains or is gone; 0: never."""
        now, told = self.clock.now, router.told_away.get(server, 0)
        if told or router.subscribed or now - router.asked_at <= self.ask_within:
            return told
        listed = self.registry.listed.get(server)
        if listed is None or listed[1] is api.State.READY:
            return 0
        counts = max(listed[0], router.asked_at) + self.ask_within
        return counts if counts <= now else 0

    # Cold servers

    def informed_of_start(self, router: Router, server: CacheServer) -> bool:
        """Whether this router was told of the server's latest start."""
        if server.started == LONG_AGO:
            return True
        known = router.known.get(server.id)
        return known is not None and known.since >= server.started > LONG_AGO

    def tipped(self, server: CacheServer) -> None:
        """A cold server fell over; informed routers broke the rule if they sent most of it."""
        server.events.append((self.clock.now, "fell over"))
        if server.informed_part >= INFORMED:
            age = (self.clock.now - server.started) / SECOND
            self.broken("cold servers", None, server.id, f"pushed over {age:.1f} s after its start")
