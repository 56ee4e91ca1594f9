"""The effect of one fault on an edge of the relay."""

from dataclasses import dataclass


@dataclass(slots=True)
class Rule:
    """The kind and parameters of a `plan.LinkFault`."""

    kind: str
    way: str = "both"
    ms: float = 0.0
    jitter_ms: float = 0.0
    bytes: int = 0
    part: float = 1.0

    def applies_to(self, back: bool) -> bool:
        return self.way == "both" or (self.way == "back") is back
