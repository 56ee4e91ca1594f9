"""Statistics of a run: outcomes of requests and the cost of each fault."""

from dataclasses import dataclass

from applehub.events import EventKind, EventRecord
from applehub.lab.fleet.history import FaultInterval, History

NS_PER_S = 1_000_000_000
WINDOW_NS = NS_PER_S // 4  # window over which the served fraction is computed, ns
# Service is degraded below this multiple of the served fraction before the fault.
RECOVERY_FRACTION = 0.95
BASELINE_NS, MAX_RECOVERY_NS = (
    5 * NS_PER_S,
    20 * NS_PER_S,
)  # windows before and after the start of a fault, ns
OUTCOMES = ("served", "late", "refused", "failed", "closed", "gave_up", "unreached")


@dataclass(slots=True)
class Cost:
    """Requests by outcome, from the start of a fault until its end and recovery."""

    span: FaultInterval
    requests: int
    ended: dict[str, int]
    before: float  # served fraction before the fault
    back_s: (
        float | None
    )  # seconds from the start of the fault until lasting recovery; None if there was none in MAX_RECOVERY_NS


def outcomes_of(history: History, objective_ms: float) -> list[tuple[int, str]]:
    """Returns send time and outcome of each request; late means served after the latency objective."""
    sent: dict[str, EventRecord] = {}
    outcomes: list[tuple[int, str]] = []
    for record in history.events_of(
        EventKind.REQUEST_SENT,
        EventKind.REQUEST_ANSWERED,
        EventKind.CLOSED_UNANSWERED,
        EventKind.REQUEST_TIMED_OUT,
        EventKind.CONNECT_FAILED,
    ):
        if record.event is EventKind.REQUEST_SENT:
            sent[record.request] = record
            continue
        outcome = record.fields["how"] if record.event is EventKind.REQUEST_ANSWERED else str(record.event)
        if outcome == "served" and record.fields["ms"] > objective_ms:
            outcome = "late"
        first = sent.get(record.request, record)
        outcomes.append((first.mono, outcome))
    return sorted(outcomes)


def served_fraction(outcomes: list[tuple[int, str]], begin: int, end: int) -> float | None:
    """Returns the fraction of requests sent in [begin, end) served in time; None if there are none."""
    window_outcomes = [outcome for sent_at, outcome in outcomes if begin <= sent_at < end]
    return (
        sum(outcome == "served" for outcome in window_outcomes) / len(window_outcomes)
        if window_outcomes
        else None
    )


def cost(history: History, span: FaultInterval, outcomes: list[tuple[int, str]]) -> Cost:
    """Returns the cost of a fault. `outcomes` are those of all requests, in the order of sending."""
    before = served_fraction(outcomes, span.begin - BASELINE_NS, span.begin)
    before = 1.0 if before is None else before
    last = min(outcomes[-1][0] if outcomes else span.begin, span.begin + MAX_RECOVERY_NS)
    degraded = [
        begin for begin in range(span.begin, last, WINDOW_NS)
        if (fraction := served_fraction(outcomes, begin, begin + WINDOW_NS)) is not None
        and fraction < RECOVERY_FRACTION * before
    ]  # fmt: skip
    recovery_s = (
        None
        if degraded and degraded[-1] + 2 * WINDOW_NS >= last
        else (degraded[-1] + WINDOW_NS - span.begin) / NS_PER_S
        if degraded
        else 0.0
    )
    interval_end = span.begin + (
        int((recovery_s or 0.0) * NS_PER_S) if recovery_s is not None else last - span.begin
    )
    interval_end = max(interval_end, min(span.end, last))
    window_outcomes = [outcome for sent_at, outcome in outcomes if span.begin <= sent_at < interval_end]
    return Cost(
        span,
        len(window_outcomes),
        {outcome: window_outcomes.count(outcome) for outcome in OUTCOMES},
        before,
        recovery_s,
    )


def outcome_totals(history: History, objective_ms: float) -> dict[str, int]:
    recorded = [outcome for _, outcome in outcomes_of(history, objective_ms)]
    return {outcome: recorded.count(outcome) for outcome in OUTCOMES}
