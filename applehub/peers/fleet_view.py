"""State of the fleet as one process sees it, computed from its gossip records."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import median

from applehub.peers.membership import Membership
from applehub.peers.record_store import RecordStore
from applehub.peers.records import RETENTION, Body, Limit, Record, Shares, Verdict, type_name

OUTLIER_FACTOR = 4  # multiple of the median to which larger values are clamped in a sum


@dataclass(frozen=True, slots=True)
class FailureReports:
    """Verdicts of peers on one server.

    failing: number of peers that report the server as failing.
    reporters: number of peers with a current verdict on the server.
    """

    failing: int
    reporters: int


@dataclass(slots=True)
class FleetView:
    """State of the fleet, computed from the records within their maximum age.

    routers: number of router processes present, including this one.
    limit_reporters: number of peers with a current limit record.
    throttle_rate: estimated tokens per second that the throttles of all routers admit to the origin.
    spend_rate: estimated tokens per second that all routers spend.
    range_fractions: median key range fraction that the peers report, by digest of the server kind.
    failure_reports: verdicts on servers that at least one peer reports as failing, by digest of the server.
    max_record_ages: greatest age, in ns, among the peers' current records, by record type.
    """

    routers: int = 1
    limit_reporters: int = 0
    throttle_rate: float = 0.0
    spend_rate: float = 0.0
    range_fractions: dict[int, float] = field(default_factory=dict)
    failure_reports: dict[int, FailureReports] = field(default_factory=dict)
    max_record_ages: dict[str, int] = field(default_factory=dict)


def compute_view(membership: Membership, store: RecordStore, now: int) -> FleetView:
    """Returns the view at `now` (ns), from the records of the members present."""
    max_record_ages = {type_name(body_type): 0 for body_type in RETENTION}
    view = FleetView(routers=membership.member_count, max_record_ages=max_record_ages)
    own_id = membership.local_peer.member_id

    def records_of(body_type: type[Body], subject: int = 0) -> Iterator[Record]:
        name = type_name(body_type)
        for record in store.fresh_records(body_type, subject, now):
            if membership.is_present(record.writer):
                if record.writer != own_id:
                    view.max_record_ages[name] = max(view.max_record_ages[name], now - record.created_at)
                yield record

    limit_records = list(records_of(Limit))
    view.limit_reporters = sum(record.writer != own_id for record in limit_records)
    if view.limit_reporters:
        bodies = [record.body for record in limit_records if isinstance(record.body, Limit)]
        view.throttle_rate = _estimate_sum([body.throttle_rate for body in bodies], membership.member_count)
        view.spend_rate = _estimate_sum([body.spend_rate for body in bodies], membership.member_count)
    view.range_fractions = _median_fractions(
        record.body for record in records_of(Shares) if record.writer != own_id
    )
    for subject in store.list_verdict_subjects():
        peer_verdicts = [record.body for record in records_of(Verdict, subject) if record.writer != own_id]
        failing = sum(isinstance(body, Verdict) and body.failing for body in peer_verdicts)
        if failing:
            view.failure_reports[subject] = FailureReports(failing, len(peer_verdicts))
    return view


def _median_fractions(bodies: Iterator[Body]) -> dict[int, float]:
    kind_fractions: dict[int, list[float]] = {}
    for body in bodies:
        if isinstance(body, Shares):
            for kind, fraction in body.kind_fractions:
                kind_fractions.setdefault(kind, []).append(fraction)
    return {kind: median(fractions) for kind, fractions in kind_fractions.items()}


def _estimate_sum(values: list[float], member_count: int) -> float:
    """Returns the estimated sum over all members present, scaled up from a sample of their values.

    Values above OUTLIER_FACTOR times the median are clamped, which bounds the effect of a false value.
    """
    positive = [value for value in values if value > 0]
    cap = OUTLIER_FACTOR * median(positive or [0.0])
    return sum(min(value, cap) for value in positive) * max(1.0, member_count / len(values))
