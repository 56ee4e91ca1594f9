"""Metrics of a controller, for a Prometheus scraper."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from applehub.release.gates import HealthGates
from applehub.release.state_machine import ReleaseRecord


class ControllerMetrics:
    """The metrics, in a registry of their own."""

    def __init__(self) -> None:
        """All at 0."""
        self.registry = CollectorRegistry()
        self.orders = Counter("release_orders", "Orders sent, by step", ["step"], registry=self.registry)
        self.silent_agents = Gauge(
            "release_agents_silent", "Agents that did not answer", registry=self.registry
        )
        self.refused_saves = Gauge(
            "release_record_refused",
            "Times in a row that the disk refused the record",
            registry=self.registry,
        )
        self._units = Gauge("release_units", "Units by version", ["version"], registry=self.registry)
        self._in_progress = Gauge("release_units_out", "Units on their way", registry=self.registry)
        self._odds = Gauge(
            "release_odds", "Likelihood that the new version is worse", ["failure"], registry=self.registry
        )

    def update(self, record: ReleaseRecord, gates: HealthGates) -> None:
        """Takes the gauges over from a release's state."""
        for version in (record.old_version, record.new_version):
            count = sum(unit.version == version for unit in record.units.values())
            self._units.labels(version).set(count)
        self._in_progress.set(len(set(record.units_in_progress()) - set(record.stuck_units)))
        for kind, evidence in gates.evidence.items():
            self._odds.labels(kind).set(evidence.likelihood_ratio)
