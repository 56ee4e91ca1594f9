"""The router's metrics: counters kept where the events happen, and gauges read when they are asked for."""

from collections.abc import Callable
from enum import StrEnum

PREFIX = "edge_balancer"


class Answered(StrEnum):
    """How a request ended, as the counters name it."""

    OK = "ok"
    SHED = "shed"
    ERRORS = "errors"


class Figures:
    """Counters since the start of the process, and gauges.

    Counters of a class that a reload removes are kept, so that sums over classes never decrease.
    """

    def __init__(self) -> None:
        self.responses: dict[str, dict[Answered, int]] = {}
        self.config_applied = self.config_rejected = 0
        self.gauges: dict[str, Callable[[], int]] = {}

    def know(self, kinds: list[str]) -> None:
        """Adds classes of requests, by name, with counters of 0; those known already keep their counts."""
        for kind in kinds:
            self.responses.setdefault(kind, dict.fromkeys(Answered, 0))

    def answered(self, kind: str, how: Answered) -> None:
        """Counts one answered request of a class."""
        self.know([kind])
        self.responses[kind][how] += 1

    def lines(self) -> list[str]:
        """All metrics, each as `edge_balancer.NAME=VALUE`."""
        values = [
            (f"responses.{kind}.{how}", count)
            for kind, counts in self.responses.items()
            for how, count in counts.items()
        ]
        values += [(name, read()) for name, read in self.gauges.items()]
        values += [("config_applied", self.config_applied), ("config_rejected", self.config_rejected)]
        return [f"{PREFIX}.{name}={value}" for name, value in values]
