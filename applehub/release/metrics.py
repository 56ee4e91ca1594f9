"""Prometheus metrics of a controller."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from applehub.release.gates import HealthGates
from applehub.release.state_machine import ReleaseRecord


class ControllerMetrics:
    """The metrics of one controller, in their own registry."""

    def __init__(self) -> None:
        """Creates all metrics with the value 0."""
        self.registry = CollectorRegistry()
        self.orders = Counter("release_orders", "Orders sent, by step", ["step"], registry=self.registry)
        self.silent_agents = Gauge(
            "release_agents_silent", "Agents that did not answer", registry=self.registry
        )
        self.failed_saves = Gauge(
            "release_record_refused",
            "Times in a row that the disk refused the record",
            registry=self.registry,
        )
        self._units = Gauge("release_units", "Units by version", ["version"], registry=self.registry)
        self._in_progress = Gauge("release_units_out", "Units on their way", registry=self.registry)
        self._likelihood_ratio = Gauge(
            "release_odds", "Likelihood that the new version is worse", ["failure"], registry=self.registry
        )

    def update(self, record: ReleaseRecord, gates: HealthGates) -> None:
        """Sets the gauges from the state of a release."""
        for version in (record.old_version, record.new_version):
            count = sum(unit.version == version for unit in record.units.values())
            self._units.labels(version).set(count)
        self._in_progress.set(len(set(record.units_in_progress()) - set(record.stuck_units)))
        for kind, evidence in gates.evidence.items():
            self._likelihood_ratio.labels(kind).set(evidence.likelihood_ratio)
