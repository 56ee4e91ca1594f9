"""Delays between zones, and what the network does to messages that cross it."""

from applehub.lab.clock import MILLI
from applehub.lab.spec import Network
from applehub.lab.streams import Draws


class Net:
    """One-way delays in ns. A zone that is cut off and the others hear nothing of each other."""

    def __init__(self, spec: Network, draws: Draws) -> None:
        self.draws = draws
        self.same, self.cross = int(spec.same_ms * MILLI), int(spec.cross_ms * MILLI)
        self.client = int(spec.client_ms * MILLI)
        self.jitter = spec.jitter
        self.dial_timeout = int(spec.dial_timeout_ms * MILLI)
        self.cut: set[int] = set()
        self.lost = self.reset = 0.0  # parts of the answers

    def delay(self, one: int, other: int) -> int:
        base = self.same if one == other else self.cross
        return int(base * (1 + self.jitter * (2 * self.draws.uniform() - 1)))

    def apart(self, one: int, other: int) -> bool:
        return bool(self.cut) and one != other and (one in self.cut or other in self.cut)

    def loses(self) -> bool:
        return self.lost > 0 and self.draws.uniform() < self.lost

    def resets(self) -> bool:
        return self.reset > 0 and self.draws.uniform() < self.reset
