"""Gates that halt a release: the new version compared with the old one at the same time and under the same
load, by the load reports of units. Pure.

A unit reports, where it has them: `life`, which differs at each start; counts since that start (`requests`,
and of those `failed`, `refused`, `late`, `missed`; `cpu_s`; `work_s`, the time for which requests occupied
it); `memory_mb`; `busy`, the part of its capacity in use. A unit of the new version has to report whatever
those of the old version do.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from applehub.release.evidence import (
    EvidenceState,
    FailureEvidence,
    FailureKind,
    GateState,
    RequestCounts,
)
from applehub.release.messages import INCARNATION, LoadReport
from applehub.release.plan import GateSettings
from applehub.release.state_machine import ReleaseRecord

COUNTERS = ("requests", *FailureKind, "cpu_s", "work_s")
# Counted from a unit's first request on; the others once the unit has settled.
IMMEDIATE = frozenset((FailureKind.FAILED, FailureKind.REFUSED, FailureKind.LATE))
HEALTH_POLLS = 10  # polls over which the old version's failures show whether the fleet is healthy
HEALTH_REQUESTS = 20  # requests in them, below which they show nothing
SILENT_PART = 0.25  # of the old units: with more silent, the cause is the network or the agents
NO_REPORT = LoadReport({})
Deltas = Mapping[str, LoadReport]  # by unit: the increase of each metric since the poll before


class Verdict(NamedTuple):
    """The result of one poll."""

    halt_reason: str = ""  # why the new version is bad; empty: it is not
    hold_reason: str = ""  # why no unit should be begun; empty: one may
    capacity: int | None = None  # how many more units may be out at the present load; None: not reported


@dataclass(slots=True)
class _Observed:
    """What is remembered of a unit."""

    last_report_at: float
    report: LoadReport = NO_REPORT
    in_service_since: float = 0.0  # with its version
    version: str = ""


@dataclass(frozen=True, slots=True)
class _Groups:
    """Units in service, by version."""

    new: list[str] = field(default_factory=list)
    old: list[str] = field(default_factory=list)

    def reporting(self, deltas: Deltas) -> "_Groups":
        """Those whose metrics increased by a known amount."""
        return _Groups([n for n in self.new if n in deltas], [n for n in self.old if n in deltas])


class HealthGates:
    """Evaluates every poll of the fleet."""

    def __init__(self, settings: GateSettings, record: ReleaseRecord) -> None:
        """record: of the release; it is read, never changed."""
        self.settings = settings
        self.record = record
        self.watched_s = record.gate_state.watched_s
        alpha = settings.alpha / len(FailureKind)
        self.evidence = {
            kind: FailureEvidence(settings.least, alpha, record.gate_state.evidence.get(kind))
            for kind in FailureKind
        }
        self._observed: dict[str, _Observed] = {}
        self._recent: list[RequestCounts] = []  # of the old version, by poll
        self._expensive_since: dict[str, float] = {}  # by cost: since when the new version exceeds it
        self._polled_at: float | None = None

    def state(self) -> GateState:
        """What a following controller continues with."""
        evidence: dict[FailureKind, EvidenceState] = {
            kind: evidence.state.copy() for kind, evidence in self.evidence.items()
        }
        return GateState(self.watched_s, evidence)

    def evaluate(self, now: float, reports: Mapping[str, LoadReport | None]) -> Verdict:
        """One poll.

        reports: by unit; None where a unit or its agent did not answer. A unit that this machine could not
        ask has no entry, and is not taken for silent.
        """
        if self._polled_at is not None:  # a controller that stood still did not watch meanwhile
            self.watched_s += min(now - self._polled_at, 2 * self.settings.look_s)
        self._polled_at = now
        deltas = self._observe(now, reports)
        groups = self._groups()
        reporting = groups.reporting(deltas)
        halt_reason = (
            self._silence(now, groups)
            or self._more_failures(now, reporting, deltas)
            or self._higher_cost(now, reporting, deltas)
        )
        hold_reason = "" if reports.keys() >= self.record.units.keys() else "not all agents could be asked"
        hold_reason = hold_reason or self._unhealthy(now, groups.old, deltas) or self._too_soon(groups.new)
        return Verdict(halt_reason, hold_reason, self._capacity(groups.new + groups.old))

    def _observe(self, now: float, reports: Mapping[str, LoadReport | None]) -> Deltas:
        """Remembers the reports; gives the deltas of units in service that had reported before."""
        deltas: dict[str, LoadReport] = {}
        for name, unit in self.record.units.items():
            observed = self._observed.setdefault(name, _Observed(now))
            if unit.target_version or unit.version != observed.version:
                observed.version = "" if unit.target_version else unit.version
                observed.in_service_since = now
            report = reports.get(name)
            if report is None:
                if name not in reports or unit.target_version:  # in progress: the steps have time limits
                    observed.last_report_at = now
                continue
            before = observed.report
            observed.last_report_at = now
            observed.report = report
            if before.metrics and not unit.target_version:
                deltas[name] = _increase(before, report)
        return deltas

    def _groups(self) -> _Groups:
        groups = _Groups()
        for name, unit in self.record.units.items():
            if unit.target_version:
                continue
            if unit.version == self.record.new_version:
                groups.new.append(name)
            elif unit.version == self.record.old_version:
                groups.old.append(name)
        return groups

    def _silence(self, now: float, groups: _Groups) -> str:
        """The reason to halt if a unit of the new version reports nothing, or lacks a metric of the old one.

        If many old units are silent as well, the cause is not the new version, and silence halts nothing.
        """
        limit = self.settings.silent_s
        silent = [name for name in groups.new if now - self._observed[name].last_report_at > limit]
        if silent and not self._many_silent(now, groups.old):
            return f"{silent[0]}: tells nothing for {limit:g} s"
        wanted = {metric for name in groups.old for metric in self._observed[name].report.metrics}
        for name in groups.new:
            metrics = self._observed[name].report.metrics
            if metrics and (missing := sorted(wanted - set(metrics))):
                return f"{name}: does not tell {', '.join(missing)}"
        return ""

    def _too_soon(self, new: list[str]) -> str:
        """The reason to wait until the old version was watched for `before_s`.

        Units differ in how often they fail, so each is measured with the old version first.
        """
        if new or self.watched_s >= self.settings.before_s:
            return ""
        return f"the old version is watched for {self.settings.before_s:g} s first"

    def _many_silent(self, now: float, old: list[str]) -> bool:
        limit = self.settings.silent_s / 2
        silent = [name for name in old if now - self._observed[name].last_report_at > limit]
        return len(silent) > SILENT_PART * len(old)

    def _more_failures(self, now: float, reporting: _Groups, deltas: Deltas) -> str:
        for kind, evidence in self.evidence.items():
            settled_s = 0.0 if kind in IMMEDIATE else self.settings.settle_s
            evidence.add(
                self._counts(now, reporting.new, deltas, kind, settled_s),
                self._counts(now, reporting.old, deltas, kind, settled_s),
            )
            if evidence.is_worse:
                return f"{kind}: {evidence.likelihood_ratio:.3g} times likelier if the new version is worse"
        return ""

    def _counts(
        self, now: float, names: list[str], deltas: Deltas, kind: FailureKind, settled_s: float
    ) -> dict[str, RequestCounts]:
        return {
            name: RequestCounts(int(deltas[name].value("requests")), int(deltas[name].value(kind)))
            for name in names
            if kind in deltas[name].metrics and now - self._observed[name].in_service_since >= settled_s
        }

    def _higher_cost(self, now: float, reporting: _Groups, deltas: Deltas) -> str:
        """The reason to halt if processor time or work a request, or the median memory, is too high."""
        settled_s = self.settings.settle_s
        new = [n for n in reporting.new if now - self._observed[n].in_service_since >= settled_s]
        costs: dict[str, Callable[[list[str]], float]] = {
            "processor time": lambda names: _per_request(deltas, names, "cpu_s"),
            "work": lambda names: _per_request(deltas, names, "work_s"),
            "memory": lambda names: median(self._observed[n].report.value("memory_mb") for n in names),
        }
        for name, cost in costs.items():
            if not new or not reporting.old or cost(new) <= self.settings.cost * cost(reporting.old):
                self._expensive_since.pop(name, None)
            elif now - self._expensive_since.setdefault(name, now) >= self.settings.cost_s:
                limit = f"{self.settings.cost_s:g} s"
                return f"{name}: {cost(new):.3g} against {cost(reporting.old):.3g} for {limit}"
        return ""

    def _unhealthy(self, now: float, old: list[str], deltas: Deltas) -> str:
        """The reason to wait while the old version's units are silent or fail: a release would add to it."""
        if old and self._many_silent(now, old):
            return "many units of the old version tell nothing"
        served = [deltas[name] for name in old if name in deltas]
        requests = sum(delta.value("requests") for delta in served)
        failures = sum(delta.value("failed") + delta.value("refused") for delta in served)
        self._recent.append(RequestCounts(int(requests), int(failures)))
        del self._recent[:-HEALTH_POLLS]
        recent_requests = sum(counts.requests for counts in self._recent)
        recent_failures = sum(counts.failures for counts in self._recent)
        if recent_requests < HEALTH_REQUESTS or recent_failures <= self.settings.unwell * recent_requests:
            return ""
        return f"{recent_failures / recent_requests:.0%} of the old version's requests fail"

    def _capacity(self, in_service: list[str]) -> int | None:
        """How many units the others can replace without exceeding `busy`; None if none reports its load."""
        reports = [self._observed[name].report for name in in_service]
        busy = [report.value("busy") for report in reports if "busy" in report.metrics]
        if not busy:
            return None
        needed = -int(-sum(busy) // self.settings.busy)  # rounded up
        return max(0, len(busy) - needed)


def _increase(before: LoadReport, after: LoadReport) -> LoadReport:
    """By how much each metric grew; since its start if the unit was started again between the reports."""
    restarted = after.incarnation != before.incarnation or any(
        after.value(name) < before.value(name) for name in COUNTERS
    )
    earlier = NO_REPORT if restarted else before
    return LoadReport(
        {name: value - earlier.value(name) for name, value in after.metrics.items() if name != INCARNATION}
    )


def _per_request(deltas: Deltas, names: list[str], metric: str) -> float:
    spent = sum(deltas[name].value(metric) for name in names)
    return spent / max(1.0, sum(deltas[name].value("requests") for name in names))
