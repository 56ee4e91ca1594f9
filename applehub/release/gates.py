"""Health gates of a release, which compare the load reports of the new version with those of the old version
over the same period.

A unit may report `life`, its incarnation, which changes at each start; counters since its start (`requests`;
the requests among them counted as `failed`, `refused`, `late` or `missed`; `cpu_s`; `work_s`, the time for
which requests occupied the unit); `memory_mb`; and `busy`, the fraction of its capacity in use. Units of the
new version must report all metrics that units of the old version report.
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
# Failures that count from a unit's first request on; other failures count only after `settle_s`.
IMMEDIATE_KINDS = frozenset((FailureKind.FAILED, FailureKind.REFUSED, FailureKind.LATE))
HEALTH_WINDOW_POLLS = 10  # polls over which the failure rate of the old version is measured
MIN_HEALTH_REQUESTS = 20  # requests in the window below which the failure rate is ignored
# Silent fraction of the units of the old version above which the network or the agents are assumed faulty.
MAX_SILENT_FRACTION = 0.25
NO_REPORT = LoadReport({})
Deltas = Mapping[str, LoadReport]  # increase of each metric since the previous poll, by unit


class Verdict(NamedTuple):
    """The result of evaluating one poll."""

    halt_reason: str = ""  # reason to reject the new version; empty if there is none
    hold_reason: str = ""  # reason to pause upgrades of further units; empty if there is none
    capacity: int | None = None  # further units that the load permits to take out of service; None if unknown


@dataclass(slots=True)
class _UnitObservation:
    """The latest report of a unit, and the time since which the unit has had its version."""

    last_report_at: float
    report: LoadReport = NO_REPORT
    in_service_since: float = 0.0  # time at which the unit entered service at its present version
    version: str = ""


@dataclass(frozen=True, slots=True)
class _Groups:
    """Names of the units in service at the new and at the old version."""

    new: list[str] = field(default_factory=list)
    old: list[str] = field(default_factory=list)

    def reporting(self, deltas: Deltas) -> "_Groups":
        """Returns the units for which metric deltas are known."""
        return _Groups(
            [name for name in self.new if name in deltas], [name for name in self.old if name in deltas]
        )


class HealthGates:
    """Evaluates the load reports of each poll."""

    def __init__(self, settings: GateSettings, record: ReleaseRecord) -> None:
        """Continues with the gate state of `record`, which is never modified."""
        self.settings = settings
        self.record = record
        self.watched_s = record.gate_state.watched_s
        alpha = settings.alpha / len(FailureKind)
        self.evidence = {
            kind: FailureEvidence(settings.least, alpha, record.gate_state.evidence.get(kind))
            for kind in FailureKind
        }
        self._observations: dict[str, _UnitObservation] = {}
        self._recent_counts: list[RequestCounts] = []  # requests of the old version at the latest polls
        self._expensive_since: dict[str, float] = {}  # by cost: time since which it exceeds its limit
        self._polled_at: float | None = None

    def state(self) -> GateState:
        """Returns the state with which a restarted controller continues."""
        evidence: dict[FailureKind, EvidenceState] = {
            kind: evidence.state.copy() for kind, evidence in self.evidence.items()
        }
        return GateState(self.watched_s, evidence)

    def evaluate(self, now: float, reports: Mapping[str, LoadReport | None]) -> Verdict:
        """Evaluates one poll.

        `reports` maps unit names to load reports, or to None if a unit or its agent did not respond. Units
        that this machine could not poll have no entry and don't count as silent.
        """
        if self._polled_at is not None:  # the bound excludes time in which the controller was suspended
            self.watched_s += min(now - self._polled_at, 2 * self.settings.look_s)
        self._polled_at = now
        deltas = self._observe(now, reports)
        groups = self._groups()
        reporting = groups.reporting(deltas)
        halt_reason = (
            self._silence_reason(now, groups)
            or self._failure_reason(now, reporting, deltas)
            or self._cost_reason(now, reporting, deltas)
        )
        hold_reason = "" if reports.keys() >= self.record.units.keys() else "not all agents could be polled"
        hold_reason = (
            hold_reason
            or self._unhealthy_reason(now, groups.old, deltas)
            or self._baseline_reason(groups.new)
        )
        return Verdict(halt_reason, hold_reason, self._capacity(groups.new + groups.old))

    def _observe(self, now: float, reports: Mapping[str, LoadReport | None]) -> Deltas:
        """Records the reports. Returns the deltas of the units in service that had reported earlier."""
        deltas: dict[str, LoadReport] = {}
        for name, unit in self.record.units.items():
            observation = self._observations.setdefault(name, _UnitObservation(now))
            if unit.target_version or unit.version != observation.version:
                observation.version = "" if unit.target_version else unit.version
                observation.in_service_since = now
            report = reports.get(name)
            if report is None:
                # A unit in progress may be silent; its step has its own timeout.
                if name not in reports or unit.target_version:
                    observation.last_report_at = now
                continue
            previous = observation.report
            observation.last_report_at = now
            observation.report = report
            if previous.metrics and not unit.target_version:
                deltas[name] = _metric_deltas(previous, report)
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

    def _silence_reason(self, now: float, groups: _Groups) -> str:
        """Returns the reason to halt if a unit of the new version is silent or omits a metric of the old one.

        Silence is ignored if many units of the old version are silent too.
        """
        limit = self.settings.silent_s
        silent = [name for name in groups.new if now - self._observations[name].last_report_at > limit]
        if silent and not self._many_silent(now, groups.old):
            return f"{silent[0]}: tells nothing for {limit:g} s"
        expected_metrics = {
            metric for name in groups.old for metric in self._observations[name].report.metrics
        }
        for name in groups.new:
            metrics = self._observations[name].report.metrics
            if metrics and (missing := sorted(expected_metrics - set(metrics))):
                return f"{name}: does not tell {', '.join(missing)}"
        return ""

    def _baseline_reason(self, new: list[str]) -> str:
        """Returns the reason to delay the first upgrade until the old version has been polled for `before_s`.

        The polls establish the baseline of each unit, because units differ in their failure rates.
        """
        if new or self.watched_s >= self.settings.before_s:
            return ""
        return f"baseline of the old version is measured for {self.settings.before_s:g} s"

    def _many_silent(self, now: float, old: list[str]) -> bool:
        limit = self.settings.silent_s / 2
        silent = [name for name in old if now - self._observations[name].last_report_at > limit]
        return len(silent) > MAX_SILENT_FRACTION * len(old)

    def _failure_reason(self, now: float, reporting: _Groups, deltas: Deltas) -> str:
        for kind, evidence in self.evidence.items():
            min_service_s = 0.0 if kind in IMMEDIATE_KINDS else self.settings.settle_s
            evidence.add(
                self._counts(now, reporting.new, deltas, kind, min_service_s),
                self._counts(now, reporting.old, deltas, kind, min_service_s),
            )
            if evidence.is_worse:
                return f"{kind}: {evidence.likelihood_ratio:.3g} times likelier if the new version is worse"
        return ""

    def _counts(
        self, now: float, names: list[str], deltas: Deltas, kind: FailureKind, min_service_s: float
    ) -> dict[str, RequestCounts]:
        return {
            name: RequestCounts(int(deltas[name].value("requests")), int(deltas[name].value(kind)))
            for name in names
            if kind in deltas[name].metrics
            and now - self._observations[name].in_service_since >= min_service_s
        }

    def _cost_reason(self, now: float, reporting: _Groups, deltas: Deltas) -> str:
        """Returns the reason to halt if CPU time or work per request, or median memory, exceeds its limit."""
        settle_s = self.settings.settle_s
        new = [unit for unit in reporting.new if now - self._observations[unit].in_service_since >= settle_s]
        costs: dict[str, Callable[[list[str]], float]] = {
            "processor time": lambda names: _per_request(deltas, names, "cpu_s"),
            "work": lambda names: _per_request(deltas, names, "work_s"),
            "memory": lambda names: median(
                self._observations[unit].report.value("memory_mb") for unit in names
            ),
        }
        for name, cost in costs.items():
            if not new or not reporting.old or cost(new) <= self.settings.cost * cost(reporting.old):
                self._expensive_since.pop(name, None)
            elif now - self._expensive_since.setdefault(name, now) >= self.settings.cost_s:
                duration = f"{self.settings.cost_s:g} s"
                return f"{name}: {cost(new):.3g} against {cost(reporting.old):.3g} for {duration}"
        return ""

    def _unhealthy_reason(self, now: float, old: list[str], deltas: Deltas) -> str:
        """Returns the reason to pause upgrades if old units are silent or too many of their requests fail."""
        if old and self._many_silent(now, old):
            return "many units of the old version tell nothing"
        old_deltas = [deltas[name] for name in old if name in deltas]
        requests = sum(delta.value("requests") for delta in old_deltas)
        failures = sum(delta.value("failed") + delta.value("refused") for delta in old_deltas)
        self._recent_counts.append(RequestCounts(int(requests), int(failures)))
        del self._recent_counts[:-HEALTH_WINDOW_POLLS]
        recent_requests = sum(counts.requests for counts in self._recent_counts)
        recent_failures = sum(counts.failures for counts in self._recent_counts)
        if recent_requests < MIN_HEALTH_REQUESTS or recent_failures <= self.settings.unwell * recent_requests:
            return ""
        return f"{recent_failures / recent_requests:.0%} of the old version's requests fail"

    def _capacity(self, in_service: list[str]) -> int | None:
        """Returns how many units the others can replace within `busy`, or None if no load is reported."""
        reports = [self._observations[name].report for name in in_service]
        busy = [report.value("busy") for report in reports if "busy" in report.metrics]
        if not busy:
            return None
        needed = -int(-sum(busy) // self.settings.busy)  # rounded up
        return max(0, len(busy) - needed)


def _metric_deltas(previous: LoadReport, latest: LoadReport) -> LoadReport:
    """Returns the increase of each metric since the previous report, or since the unit's restart."""
    restarted = latest.incarnation != previous.incarnation or any(
        latest.value(name) < previous.value(name) for name in COUNTERS
    )
    baseline = NO_REPORT if restarted else previous
    return LoadReport(
        {name: value - baseline.value(name) for name, value in latest.metrics.items() if name != INCARNATION}
    )


def _per_request(deltas: Deltas, names: list[str], metric: str) -> float:
    total = sum(deltas[name].value(metric) for name in names)
    return total / max(1.0, sum(deltas[name].value("requests") for name in names))
