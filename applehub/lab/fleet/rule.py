"""What one fault does to an edge of the relay."""

from dataclasses import dataclass


@dataclass(slots=True)
class Rule:
    """A kind of plan.Link with its figures."""

    kind: str
    way: str = "both"
    ms: float = 0.0
    jitter_ms: float = 0.0
    bytes: int = 0
    part: float = 1.0

    def strikes(self, back: bool) -> bool:
        return self.way == "both" or (self.way == "back") is back
