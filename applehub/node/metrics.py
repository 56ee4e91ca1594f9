"""The router's metrics: counters, and gauges whose values are read on request."""

from collections.abc import Callable
from enum import StrEnum

from applehub.node.reasons import REASON_GROUPS

PREFIX = "edge_balancer"


class ResponseResult(StrEnum):
    """The result of a request, as it appears in the names of the response counters."""

    OK = "ok"
    SHED = "shed"
    ERRORS = "errors"


class Metrics:
    """Counters since the start of the process, and gauges.

    Counters of a class remain after a reload that removes it, so that sums over classes never decrease.
    """

    def __init__(self) -> None:
        self.responses: dict[str, dict[ResponseResult, int]] = {}
        self.config_applied = self.config_rejected = 0
        self.gauges: dict[str, Callable[[], int]] = {}
        self.reasons: dict[type[StrEnum], dict[StrEnum, int]] = {
            group: dict.fromkeys(group, 0) for group in REASON_GROUPS.values()
        }

    def add_classes(self, class_names: list[str]) -> None:
        """Adds zeroed counters for request classes; existing classes keep their counts."""
        for class_name in class_names:
            self.responses.setdefault(class_name, dict.fromkeys(ResponseResult, 0))

    def count_response(self, class_name: str, result: ResponseResult) -> None:
        """Counts one answered request of a class."""
        self.add_classes([class_name])
        self.responses[class_name][result] += 1

    def count_reason(self, reason: StrEnum) -> None:
        """Counts an event by its reason, a member of one of the enumerations in REASON_GROUPS."""
        self.reasons[type(reason)][reason] += 1

    def lines(self) -> list[str]:
        """Returns all metrics, each as `edge_balancer.NAME=VALUE`."""
        values = [
            (f"responses.{class_name}.{result}", count)
            for class_name, counts in self.responses.items()
            for result, count in counts.items()
        ]
        values += [
            (f"{name}.{reason}", count)
            for name, group in REASON_GROUPS.items()
            for reason, count in self.reasons[group].items()
        ]
        values += [(name, read()) for name, read in self.gauges.items()]
        values += [("config_applied", self.config_applied), ("config_rejected", self.config_rejected)]
        return [f"{PREFIX}.{name}={value}" for name, value in values]
