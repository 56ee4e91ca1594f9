"""Result of one simulation run: the fraction of request weight served, penalties, and losses by cause."""

from collections import Counter

from applehub import interface as api
from applehub.lab.attempts import Backend, ClientAttempt
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.demand import Demand, client_attempt_id
from applehub.lab.discovery import Registry
from applehub.lab.origin import OriginServer
from applehub.lab.servers import CacheServer
from applehub.lab.spec import Scenario
from applehub.settings import Json

RESULT_DIGITS = 5


def _rounded(value: float) -> float:
    return round(value, RESULT_DIGITS)


class Account:
    """Collects the measurements of one simulation run.

    A request's weight is the weight of its class, scaled by its work relative to the mean of the class.
    """

    def __init__(self, scenario: Scenario, objectives: list[int], clock: Clock) -> None:
        """objectives: latency objective of each class, ns."""
        self.scenario, self.objectives, self.clock = scenario, objectives, clock
        classes = scenario.workload.classes
        self.by_class = [[0.0, 0.0] for _ in classes]  # weight requested and weight served
        self.by_second: list[list[float]] = []  # weight requested and weight served, by second of the request
        self.causes: dict[str, float] = {}  # weight lost, by cause
        self.examples: dict[str, str] = {}  # id of the first request lost, by cause
        self.statuses: Counter[str] = Counter()  # number of attempts, by status and type of server
        self.requests = self.client_attempt_count = self.attempts = 0
        self.handshakes = self.cross_zone_attempts = self.refused_connects = 0
        self.late_lost_weight = 0.0  # weight of requests lost after their latency objective
        self.work = self.wasted = (
            0  # ns: work requested, and work on attempts that the router no longer awaited
        )
        self.response_times: list[int] = []  # response times of the requests served, ns

    def record_request(self, demand: Demand) -> None:
        self.requests += 1
        self.work += demand.work
        self.by_class[demand.cls][0] += demand.weight
        second = demand.created_at // SECOND
        while len(self.by_second) <= second:
            self.by_second.append([0.0, 0.0])
        self.by_second[second][0] += demand.weight

    def record_served(self, demand: Demand) -> None:
        demand.finished = True
        latency = self.clock.now - demand.created_at
        self.response_times.append(latency)
        if latency > self.objectives[demand.cls]:
            self._record_loss(demand, "late")
            return
        self.by_class[demand.cls][1] += demand.weight
        self.by_second[demand.created_at // SECOND][1] += demand.weight

    def record_lost(self, demand: Demand, cause: str) -> None:
        demand.finished = True
        self._record_loss(demand, cause)
        if self.clock.now - demand.created_at > self.objectives[demand.cls]:
            self.late_lost_weight += demand.weight

    def _record_loss(self, demand: Demand, cause: str) -> None:
        self.causes[cause] = self.causes.get(cause, 0.0) + demand.weight
        self.examples.setdefault(cause, client_attempt_id(demand))

    def server_type(self, server: Backend) -> str:
        if isinstance(server, OriginServer):
            return "at origin"
        return "at cold server" if server.warmup_fraction() < 1 else "at server"

    def record_attempt(self, status: api.Status, server: Backend) -> str:
        """Counts a finished attempt and returns the name that it is counted under."""
        name = f"{status} {self.server_type(server)}"
        self.statuses[name] += 1
        return name

    def location_of(self, client_attempt: ClientAttempt) -> str:
        """Returns where a client attempt was when its client stopped waiting."""
        if client_attempt.answered_at >= 0:
            return "on the way back"
        if client_attempt.in_flight:
            return self.server_type(next(iter(client_attempt.in_flight.values())).server)
        return "in router"

    def result(
        self, cpu_times: list[int], origin: OriginServer, registry: Registry, servers: list[CacheServer]
    ) -> Json:
        """Returns the result record of the run. cpu_times: CPU time of each router, ns, ascending."""
        goal, seconds = self.scenario.goal, self.by_second
        weight_requested = sum(pair[0] for pair in self.by_class)
        served_fraction = (
            sum(pair[1] for pair in self.by_class) / weight_requested if weight_requested else 1.0
        )
        class_fractions = [pair[1] / pair[0] for pair in self.by_class if pair[0]]
        worst_window, worst_window_start = 1.0, 0
        window_length = max(1, round(goal.window_s))
        for first in range(max(1, len(seconds) - window_length + 1)):
            window = seconds[first : first + window_length]
            total = sum(pair[0] for pair in window)
            if total and sum(pair[1] for pair in window) / total < worst_window:
                worst_window, worst_window_start = sum(pair[1] for pair in window) / total, first
        per_request = 1 / max(1, self.requests)
        penalties = {
            "cross_zone": goal.cross_zone * self.cross_zone_attempts * per_request,
            "handshake": goal.handshake * self.handshakes * per_request,
            "late_fail": goal.late_fail * self.late_lost_weight / max(1e-9, weight_requested),
            "waste": goal.waste * self.wasted / max(1, self.work),
        }
        weight_served = (
            goal.whole * served_fraction
            + goal.worst_window * worst_window
            + goal.worst_class * min(class_fractions, default=1.0)
        )
        times = sorted(self.response_times)
        return {
            "G": _rounded(weight_served - sum(penalties.values())),
            "whole": _rounded(served_fraction),
            "worst_window": _rounded(worst_window),
            "worst_window_from_s": worst_window_start,
            "classes": {
                spec.name: _rounded(pair[1] / pair[0]) if pair[0] else None
                for spec, pair in zip(self.scenario.workload.classes, self.by_class, strict=True)
            },
            "prices": {name: _rounded(value) for name, value in penalties.items()},
            "losses": {name: _rounded(self.causes[name] / weight_requested) for name in sorted(self.causes)},
            "examples": dict(sorted(self.examples.items())),
            "by_second": [_rounded(pair[1] / pair[0]) if pair[0] else 1.0 for pair in seconds],
            "requests": self.requests,
            "tries": self.client_attempt_count,
            "attempts": self.attempts,
            "statuses": dict(sorted(self.statuses.items())),
            "handshakes": self.handshakes,
            "refused_connects": self.refused_connects,
            "crossings": self.cross_zone_attempts,
            "origin": {
                "reads": origin.reads,
                "writes": origin.writes,
                "rejected": origin.rejected,
            },
            "discovery": {"calls": registry.calls, "failed": registry.failed},
            "hit_share": _rounded(
                sum(server.hits for server in servers)
                / max(1, sum(server.hits + server.misses for server in servers))
            ),
            "ms": {
                "p50": self._percentile_ms(times, 0.5),
                "p99": self._percentile_ms(times, 0.99),
                "p999": self._percentile_ms(times, 0.999),
            },
            "router_cpu_s": {
                "median": _rounded(cpu_times[len(cpu_times) // 2] / SECOND),
                "most": _rounded(cpu_times[-1] / SECOND),
            },
        }

    @staticmethod
    def _percentile_ms(times: list[int], fraction: float) -> float | None:
        return round(times[min(len(times) - 1, int(len(times) * fraction))] / MILLI, 3) if times else None
