"""The bytes that may wait here: writes, held calls, what clients have not sent whole or not read."""

MOST_WAITING = 80 << 20  # bytes, where no limit is told
PROGRAM_MEMORY_MB = 26  # what the program needs for itself after some minutes
LEAST_MEMORY_MB = 4  # for the bytes of clients, however small the limit
LONG_PART = 3 / 4  # of the room that long writes may fill, so that reads still find some


class Room:
    """One budget for every buffer."""

    def __init__(self, most: int = MOST_WAITING) -> None:
        self.most, self.used = most, 0

    def reserve(self, size: int, part: float = 1.0) -> bool:
        """Takes so many bytes if they fit into this part of the room; whether they did."""
        if self.used + size > self.most * part:
            return False
        self.used += size
        return True

    def free(self, size: int) -> None:
        self.used -= size

    def note(self, change: int) -> None:
        """Counts bytes that are here already, whether they fit or not."""
        self.used += change

    @property
    def over(self) -> bool:
        return self.used > self.most


def bytes_for_values(memory_mb: int, processes: int = 1) -> int:
    """How many bytes may wait in one process of a router.

    memory_mb: the limit on memory for all of the router's processes. What their programs leave of it is
    halved, since a value stands in two buffers for a moment, and shared equally.
    """
    left_mb = max(memory_mb - PROGRAM_MEMORY_MB * processes, LEAST_MEMORY_MB)
    return (left_mb << 20) // 2 // processes
