"""How long to wait before something that was refused is tried again. Pure."""

from dataclasses import dataclass

FIRST_S = 0.1
MOST_S = 5.0  # a disk that takes writes again is noticed within this


@dataclass(slots=True)
class Backoff:
    """Attempts at one thing: each wait is twice the one before, up to MOST_S."""

    failures: int = 0  # in a row
    next_at: float = 0.0  # reading of the caller's clock

    def due(self, now: float) -> bool:
        """Whether it may be tried."""
        return not self.failures or now >= self.next_at

    def failed(self, now: float) -> float:
        """It was tried and refused; gives the seconds until it is due again."""
        wait = min(MOST_S, FIRST_S * (1 << min(self.failures, 10)))
        self.failures += 1
        self.next_at = now + wait
        return wait

    def succeeded(self) -> None:
        """It was tried and went well."""
        self.failures = 0
