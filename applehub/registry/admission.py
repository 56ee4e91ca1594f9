"""Rate limiting of requests for the complete list, which cost far more than requests for changes."""

from collections.abc import Callable
from typing import NamedTuple


class AdmissionDecision(NamedTuple):
    """Whether and when a request is answered."""

    wait: float  # seconds to wait before answering; 0 if the request is rejected
    retry_after: float  # seconds after which a rejected request may be retried; 0 if the request is admitted


class Admission:
    """Admits requests at evenly spaced times; each request reserves the next free slot."""

    def __init__(self, per_second: float, max_wait: float, now: Callable[[], float]) -> None:
        """max_wait: maximum wait of a request, in seconds. now: a monotonic clock, in seconds."""
        self.interval = 1 / per_second
        self.max_wait = max_wait
        self.now = now
        self.next_slot_at = 0.0

    def admit(self) -> AdmissionDecision:
        """Reserves a slot, or rejects the request if its wait would exceed `max_wait`."""
        wait = max(0.0, self.next_slot_at - self.now())
        if wait > self.max_wait:
            return AdmissionDecision(0.0, wait)
        self.next_slot_at = max(self.next_slot_at, self.now()) + self.interval
        return AdmissionDecision(wait, 0.0)
