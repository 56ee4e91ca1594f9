"""Prometheus metrics of one replica."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


class Metrics:
    """The counters and gauges of a replica. Operators' tools depend on their names."""

    def __init__(self) -> None:
        """Creates the metrics in a Prometheus registry of their own."""
        self._registry = CollectorRegistry()
        self.calls = Counter(
            "list_calls", "Calls of routers, by how they ended", ["how"], registry=self._registry
        )
        self.writes = Counter(
            "list_writes", "Calls of writers, by status", ["status"], registry=self._registry
        )
        self.version = self._gauge("list_version", "Version that this replica serves")
        self.servers = self._gauge("list_servers", "Entries that are not gone")
        self.watchers = self._gauge("list_watchers", "Callers that wait")
        self.primary = self._gauge("list_primary", "1 at the primary")
        self.expiry_paused = self._gauge("list_braked", "1 while nothing is taken out")
        self.disk_refuses = self._gauge("list_disk_refuses", "1 while the disk takes no writes")
        self.staleness = self._gauge("list_staleness_seconds", "Since the primary was heard")

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(name, description, registry=self._registry)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
