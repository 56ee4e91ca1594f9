"""Statistics of a run: outcomes of requests and the cost of each fault."""

from dataclasses import dataclass

from applehub.events import EventKind, EventRecord
from applehub.lab.fleet.history import FaultInterval, History

SECOND = 1_000_000_000
STEP = SECOND // 4  # window of the served fraction
RECOVERY_FRACTION = 0.95  # of the served fraction before the fault
BEFORE, AFTER = 5 * SECOND, 20 * SECOND  # windows before and after the begin of a fault
OUTCOMES = ("served", "late", "refused", "failed", "closed", "gave_up", "unreached")


@dataclass(slots=True)
class Cost:
    """Requests by outcome, from the begin of a fault until its end and recovery."""

    span: FaultInterval
    requests: int
    ended: dict[str, int]
    before: float  # served fraction before the fault
    back_s: float | None  # from its begin until lasting recovery; None if not within AFTER


def outcomes_of(history: History, objective_ms: float) -> list[tuple[int, str]]:
    """Returns send time and outcome of each request; late means served after the latency objective."""
    sent: dict[str, EventRecord] = {}
    outcomes: list[tuple[int, str]] = []
    for one in history.events_of(
        EventKind.REQUEST_SENT,
        EventKind.REQUEST_ANSWERED,
        EventKind.CLOSED_UNANSWERED,
        EventKind.REQUEST_TIMED_OUT,
        EventKind.CONNECT_FAILED,
    ):
        if one.event is EventKind.REQUEST_SENT:
            sent[one.request] = one
            continue
        outcome = one.fields["how"] if one.event is EventKind.REQUEST_ANSWERED else str(one.event)
        if outcome == "served" and one.fields["ms"] > objective_ms:
            outcome = "late"
        first = sent.get(one.request, one)
        outcomes.append((first.mono, outcome))
    return sorted(outcomes)


def served_fraction(outcomes: list[tuple[int, str]], begin: int, end: int) -> float | None:
    """Returns the fraction of requests sent in [begin, end) served in time; None if there are none."""
    within = [outcome for at, outcome in outcomes if begin <= at < end]
    return sum(outcome == "served" for outcome in within) / len(within) if within else None


def cost(history: History, span: FaultInterval, outcomes: list[tuple[int, str]]) -> Cost:
    before = served_fraction(outcomes, span.begin - BEFORE, span.begin)
    before = 1.0 if before is None else before
    last = min(outcomes[-1][0] if outcomes else span.begin, span.begin + AFTER)
    degraded = [
        at for at in range(span.begin, last, STEP)
        if (fraction := served_fraction(outcomes, at, at + STEP)) is not None
        and fraction < RECOVERY_FRACTION * before
    ]  # fmt: skip
    recovery_s = (
        None
        if degraded and degraded[-1] + 2 * STEP >= last
        else (degraded[-1] + STEP - span.begin) / SECOND
        if degraded
        else 0.0
    )
    until = span.begin + (int((recovery_s or 0.0) * SECOND) if recovery_s is not None else last - span.begin)
    until = max(until, min(span.end, last))
    within = [outcome for at, outcome in outcomes if span.begin <= at < until]
    return Cost(
        span, len(within), {outcome: within.count(outcome) for outcome in OUTCOMES}, before, recovery_s
    )


def outcome_totals(history: History, objective_ms: float) -> dict[str, int]:
    recorded = [outcome for _, outcome in outcomes_of(history, objective_ms)]
    return {outcome: recorded.count(outcome) for outcome in OUTCOMES}
