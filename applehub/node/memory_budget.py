"""Bounds the bytes buffered for clients: writes, requests that wait, input not complete, output not read."""

DEFAULT_LIMIT = 80 << 20  # bytes, where no limit is configured
LONG_PART = 3 / 4  # part of the budget open to long writes, so that reads always find some of it
PROGRAM_MEMORY_MB = 26  # what the program needs for itself after some minutes
LEAST_MEMORY_MB = 4  # for buffers, however small the limit


class MemoryBudget:
    """One count of bytes for all buffers of a process.

    most: the limit in bytes. used: the bytes counted at present; `note` may take it past the limit.
    """

    def __init__(self, most: int = DEFAULT_LIMIT) -> None:
        self.most, self.used = most, 0

    def reserve(self, size: int, part: float = 1.0) -> bool:
        """Counts `size` bytes if the sum stays within `part` (0 to 1) of the limit; returns whether so."""
        if self.used + size > self.most * part:
            return False
        self.used += size
        return True

    def free(self, size: int) -> None:
        """Gives back `size` bytes that were reserved or noted."""
        self.used -= size

    def note(self, change: int) -> None:
        """Adds a change in bytes that are buffered already, whether they fit or not."""
        self.used += change

    @property
    def over(self) -> bool:
        """Whether more bytes are counted than the limit allows."""
        return self.used > self.most


def bytes_for_values(memory_mb: int, processes: int = 1) -> int:
    """The limit in bytes on the buffers of one process of a router.

    memory_mb: the limit on memory for all of the router's processes. What their programs leave of it is
    halved, since a value stands in two buffers for a moment, and shared equally.
    """
    left_mb = max(memory_mb - PROGRAM_MEMORY_MB * processes, LEAST_MEMORY_MB)
    return (left_mb << 20) // 2 // processes
