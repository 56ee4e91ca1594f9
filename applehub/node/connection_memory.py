"""What one client connection takes of the memory budget."""

from applehub.node.memory_budget import CONNECTION_OVERHEAD, LONG_VALUE_FRACTION, MemoryBudget


class ConnectionMemory:
    """Counts the bytes of a connection in the memory budget, by what they are for.

    buffered: bytes in its buffers. reserved: bytes for a long value that is being received. held: bytes for
    answers that are not written yet.
    """

    __slots__ = ("_budget", "buffered", "held", "reserved")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.buffered = self.reserved = self.held = 0

    def connection_opened(self) -> None:
        """Counts what an open connection takes beside its buffers."""
        self._budget.overhead += CONNECTION_OVERHEAD

    def connection_lost(self) -> None:
        """Releases what the open connection took beside its buffers."""
        self._budget.overhead -= CONNECTION_OVERHEAD

    def set_buffered(self, size: int) -> None:
        """Sets the bytes in the buffers."""
        self._budget.add(size - self.buffered)
        self.buffered = size

    def reserve_value(self, size: int) -> bool:
        """Reserves memory for a long value that is announced; returns False if none is left."""
        if not self._budget.reserve(size, LONG_VALUE_FRACTION):
            return False
        self.reserved += size
        return True

    def release_value(self) -> None:
        """Releases the memory of a long value that was received or discarded."""
        self._budget.release(self.reserved)
        self.reserved = 0

    def add_held(self, change: int) -> None:
        """Adds a change in the bytes of answers that are not written yet."""
        self._budget.add(change)
        self.held += change

    def reserve_held(self, size: int) -> bool:
        """Counts a long answer that is collected; returns False if no memory is left for it."""
        if not self._budget.reserve(size, LONG_VALUE_FRACTION):
            return False
        self.held += size
        return True

    def release_all(self) -> None:
        """Releases all bytes of the connection's buffers, values and answers."""
        self._budget.release(self.buffered + self.reserved + self.held)
        self.buffered = self.reserved = self.held = 0
