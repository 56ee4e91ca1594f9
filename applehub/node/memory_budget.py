"""Limits the bytes buffered for clients: writes, waiting requests and answers, input and unsent output."""

DEFAULT_LIMIT = 80 << 20  # bytes; used if no limit is configured
LONG_VALUE_FRACTION = 3 / 4  # fraction of the budget that long values may use; the rest is left for reads
# Fraction that answers which wait for earlier ones may use; the rest is left for input and output.
HELD_ANSWER_FRACTION = 7 / 8
INPUT_FRACTION = 7 / 8  # fraction up to which input is read freely; the rest is left for short requests
# Bytes that a connection of a client takes beside its buffers, with what the allocator loses as they grow.
CONNECTION_OVERHEAD = 4096
PROGRAM_MEMORY_MB = 26  # memory of one process without its buffers, after some minutes
MIN_BUFFER_MEMORY_MB = 4  # minimum for the buffers of all processes together


class MemoryBudget:
    """Counts the bytes of all buffers of a process.

    limit: maximum in bytes. used: bytes counted at present; `add` may exceed the limit.
    overhead: bytes of the clients' connections, which leave less room for input.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit, self.used, self.overhead = limit, 0, 0

    def reserve(self, size: int, fraction: float = 1.0) -> bool:
        """Counts `size` bytes if the sum is at most `fraction` (0 to 1) of the limit; else returns False."""
        if not self.has_room(size, fraction):
            return False
        self.used += size
        return True

    def has_room(self, size: int, fraction: float = 1.0) -> bool:
        """Returns whether the sum with `size` more bytes is at most `fraction` (0 to 1) of the limit."""
        return self.used + size <= self.limit * fraction

    def room(self, fraction: float = 1.0) -> int:
        """Returns the bytes that are left for input up to `fraction` (0 to 1) of the limit, at least 0."""
        return max(0, int(self.limit * fraction) - self.used - self.overhead)

    def release(self, size: int) -> None:
        """Subtracts `size` bytes that were reserved or added."""
        self.used -= size

    def add(self, change: int) -> None:
        """Adds a change in buffered bytes, even if it exceeds the limit."""
        self.used += change

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are counted than the limit."""
        return self.used > self.limit


def buffer_limit_bytes(memory_mb: int, processes: int = 1) -> int:
    """Returns the limit in bytes on the buffers of one process of a router.

    memory_mb: memory limit of all processes of the router together. The part that the processes do not use
    themselves is halved, since a value can be in two buffers at a time, and divided equally between them.
    """
    available_mb = max(memory_mb - PROGRAM_MEMORY_MB * processes, MIN_BUFFER_MEMORY_MB)
    return (available_mb << 20) // 2 // processes
