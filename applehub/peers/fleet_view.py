"""The fleet as one process sees it, computed from the records that it holds."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import median

from applehub.peers.membership import Membership
from applehub.peers.record_store import RecordStore
from applehub.peers.records import RETENTION, Body, Limit, Record, Shares, Verdict, type_name

# Times the median at which a figure is cut: one router in ten that sends false figures then moves a sum by a
# third at most.
OUTLIER_FACTOR = 4


@dataclass(frozen=True, slots=True)
class Accusation:
    """What peers say of a server: how many hold that it fails, and how many say anything of it."""

    failing: int
    reporters: int


@dataclass(slots=True)
class FleetView:
    """The fleet by the records that are not too old.

    routers: processes that are present, this one included.
    limits: peers whose limits are known.
    rate: tokens a second that all routers may draw from the origin, this one included.
    spent: tokens a second that they draw.
    shares: the peers' median for each kind, by the kind's digest.
    accused: servers that at least one peer holds for failing, by digest.
    ages: the greatest age of a record that counts, ns, by type.
    """

    routers: int = 1
    limits: int = 0
    rate: float = 0.0
    spent: float = 0.0
    shares: dict[int, float] = field(default_factory=dict)
    accused: dict[int, Accusation] = field(default_factory=dict)
    ages: dict[str, int] = field(default_factory=dict)


def compute_view(membership: Membership, store: RecordStore, now: int) -> FleetView:
    """Return the view at `now` (ns) from the records of members that are present."""
    ages = {type_name(body_type): 0 for body_type in RETENTION}
    view = FleetView(routers=membership.alive, ages=ages)
    own_id = membership.me.member_id

    def records_of(body_type: type[Body], subject: int = 0) -> Iterator[Record]:
        name = type_name(body_type)
        for record in store.fresh_records(body_type, subject, now):
            if membership.is_present(record.writer):
                if record.writer != own_id:
                    view.ages[name] = max(view.ages[name], now - record.created_at)
                yield record

    limits = list(records_of(Limit))
    view.limits = sum(record.writer != own_id for record in limits)
    if view.limits:
        bodies = [record.body for record in limits if isinstance(record.body, Limit)]
        view.rate = _estimate_sum([body.rate for body in bodies], membership.alive)
        view.spent = _estimate_sum([body.spent for body in bodies], membership.alive)
    view.shares = _median_shares(record.body for record in records_of(Shares) if record.writer != own_id)
    for subject in store.judged_servers():
        bodies_of_peers = [record.body for record in records_of(Verdict, subject) if record.writer != own_id]
        failing = sum(isinstance(body, Verdict) and body.failing for body in bodies_of_peers)
        if failing:
            view.accused[subject] = Accusation(failing, len(bodies_of_peers))
    return view


def _median_shares(bodies: Iterator[Body]) -> dict[int, float]:
    by_kind: dict[int, list[float]] = {}
    for body in bodies:
        if isinstance(body, Shares):
            for kind, share in body.by_kind:
                by_kind.setdefault(kind, []).append(share)
    return {kind: median(shares) for kind, shares in by_kind.items()}


def _estimate_sum(figures: list[float], alive: int) -> float:
    """Estimate the sum over all present members from a sample of their figures.

    No figure counts for more than OUTLIER_FACTOR times the median, so that one false figure cannot move the
    sum without bound.
    """
    positive = [figure for figure in figures if figure > 0]
    limit = OUTLIER_FACTOR * median(positive or [0.0])
    return sum(min(figure, limit) for figure in positive) * max(1.0, alive / len(figures))
