"""The router's figures: counts are kept where the events happen, gauges read from what holds them."""

from collections.abc import Callable
from enum import StrEnum

PREFIX = "edge_balancer"


class Answered(StrEnum):
    """How a request ended, as the figures call it."""

    OK = "ok"
    SHED = "shed"
    ERRORS = "errors"


class Figures:
    """Counts since the start of the process. A class that has vanished keeps its own, so that sums hold."""

    def __init__(self) -> None:
        self.responses: dict[str, dict[Answered, int]] = {}
        self.config_applied = self.config_rejected = 0
        self.gauges: dict[str, Callable[[], int]] = {}

    def know(self, kinds: list[str]) -> None:
        """Classes that are told from now on, with nothing counted yet."""
        for kind in kinds:
            self.responses.setdefault(kind, dict.fromkeys(Answered, 0))

    def answered(self, kind: str, how: Answered) -> None:
        self.know([kind])
        self.responses[kind][how] += 1

    def lines(self) -> list[str]:
        told = [
            (f"responses.{kind}.{how}", count)
            for kind, counts in self.responses.items()
            for how, count in counts.items()
        ]
        told += [(name, read()) for name, read in self.gauges.items()]
        told += [("config_applied", self.config_applied), ("config_rejected", self.config_rejected)]
        return [f"{PREFIX}.{name}={value}" for name, value in told]
