"""The emulated network: delays between zones, partitions, lost answers and reset connections."""

from applehub.lab.clock import MILLI
from applehub.lab.spec import Network
from applehub.lab.streams import RandomStream


class EmulatedNetwork:
    """Network between clients, routers and servers. Delays are one-way, in ns."""

    def __init__(self, spec: Network, random_stream: RandomStream) -> None:
        self.random_stream = random_stream
        self.same_zone, self.cross_zone = int(spec.same_ms * MILLI), int(spec.cross_ms * MILLI)
        self.client_delay = int(spec.client_ms * MILLI)
        self.jitter = spec.jitter
        self.dial_timeout = int(spec.dial_timeout_ms * MILLI)
        self.partitioned_zones: set[int] = set()
        # Fractions of the answers that are lost, and that are replaced by a connection reset.
        self.loss_rate = self.reset_rate = 0.0

    def delay(self, first: int, second: int) -> int:
        """Draws the delay between two zones, with jitter."""
        base = self.same_zone if first == second else self.cross_zone
        return int(base * (1 + self.jitter * (2 * self.random_stream.uniform() - 1)))

    def is_partitioned(self, first: int, second: int) -> bool:
        """Returns whether a partition separates two zones."""
        return (
            bool(self.partitioned_zones)
            and first != second
            and (first in self.partitioned_zones or second in self.partitioned_zones)
        )

    def drops_answer(self) -> bool:
        """Draws whether an answer is lost."""
        return self.loss_rate > 0 and self.random_stream.uniform() < self.loss_rate

    def resets_connection(self) -> bool:
        """Draws whether the connection is reset before the answer."""
        return self.reset_rate > 0 and self.random_stream.uniform() < self.reset_rate
