"""The bytes that may wait here: writes, held calls, what clients have not sent whole or not read."""

MOST_WAITING = 80 << 20  # bytes, where no limit is told
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
