"""Figures of a play: how requests ended, and what each fault cost."""

from dataclasses import dataclass

from applehub.events import EventKind, EventRecord
from applehub.lab.fleet.history import History, Span

SECOND = 1_000_000_000
STEP = SECOND // 4  # of the look at the served share
BACK_AT = 0.95  # of the share before
BEFORE, AFTER = 5 * SECOND, 20 * SECOND  # round a fault
ENDS = ("served", "late", "refused", "failed", "closed", "gave_up", "unreached")


@dataclass(slots=True)
class Cost:
    """What a fault cost: requests by how they ended while it struck and until service was back."""

    span: Span
    requests: int
    ended: dict[str, int]
    before: float  # served share in the time before
    back_s: float | None  # from its begin until the share is back for good; none: not in the time looked at


def ends_of(history: History, aim_ms: float) -> list[tuple[int, str]]:
    """Each request: when it was asked (or not reached), and how it ended; late: served past the aim."""
    asked: dict[str, EventRecord] = {}
    ends: list[tuple[int, str]] = []
    for one in history.of(
        EventKind.REQUEST_SENT,
        EventKind.REQUEST_ANSWERED,
        EventKind.CLOSED_UNANSWERED,
        EventKind.REQUEST_TIMED_OUT,
        EventKind.CONNECT_FAILED,
    ):
        if one.event is EventKind.REQUEST_SENT:
            asked[one.request] = one
            continue
        how = one.fields["how"] if one.event is EventKind.REQUEST_ANSWERED else str(one.event)
        if how == "served" and one.fields["ms"] > aim_ms:
            how = "late"
        first = asked.get(one.request, one)
        ends.append((first.mono, how))
    return sorted(ends)


def share(ends: list[tuple[int, str]], begin: int, end: int) -> float | None:
    """Of the requests asked in a time, the part that was served within the aim."""
    within = [how for at, how in ends if begin <= at < end]
    return sum(how == "served" for how in within) / len(within) if within else None


def cost(history: History, span: Span, ends: list[tuple[int, str]]) -> Cost:
    before = share(ends, span.begin - BEFORE, span.begin)
    before = 1.0 if before is None else before
    last = min(ends[-1][0] if ends else span.begin, span.begin + AFTER)
    bad = [
        at for at in range(span.begin, last, STEP)
        if (found := share(ends, at, at + STEP)) is not None and found < BACK_AT * before
    ]  # fmt: skip
    back = (
        None if bad and bad[-1] + 2 * STEP >= last else (bad[-1] + STEP - span.begin) / SECOND if bad else 0.0
    )
    until = span.begin + (int((back or 0.0) * SECOND) if back is not None else last - span.begin)
    until = max(until, min(span.end, last))
    within = [how for at, how in ends if span.begin <= at < until]
    return Cost(span, len(within), {how: within.count(how) for how in ENDS}, before, back)


def totals(history: History, aim_ms: float) -> dict[str, int]:
    found = [how for _, how in ends_of(history, aim_ms)]
    return {how: found.count(how) for how in ENDS}
