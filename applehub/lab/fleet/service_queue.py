"""The call queue of a list service of limited capacity. It does no I/O; the caller supplies the clock.

A call waits until the service starts it, occupies the service for `1 / capacity` seconds, and is answered
with extra latency. A call that would wait too long is rejected on arrival and takes no capacity."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class ServiceBehavior:
    """The capacity, latency and queue limits of a list service."""

    capacity: float = 100.0  # calls per second
    min_latency_s: float = 0.0  # minimum time from the start of a call until it is handled
    max_latency_s: float = 0.0
    max_wait_s: float = 2.0  # a call that would queue for longer is rejected
    max_queued: int | None = None  # a call that finds this many in the queue is rejected as well
    abandoned_calls_take_capacity: bool = True  # whether a queued call takes capacity if its caller has left
    # A watch sent within this time after an answer on its connection takes no capacity (a continued watch).
    continue_window_s: float = 0.2
    late_watches: bool = False  # whether continued watches have latency as well

    def draw_latency(self, random: Random) -> float:
        """Draws the latency of one call, in seconds."""
        return random.uniform(self.min_latency_s, self.max_latency_s)


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A call in the queue."""

    arrived_at: float


class CallQueue:
    """The calls that wait until the service starts them, first come, first served."""

    def __init__(self, service: ServiceBehavior, clock: Callable[[], float]) -> None:
        self.service, self.clock = service, clock
        self.waiting: deque[QueuedCall] = deque()
        self.free_at = 0.0  # time at which the service finishes its latest call

    def enqueue(self) -> QueuedCall | None:
        """Adds a call to the queue and returns it; returns None if the call is rejected."""
        now = self.clock()
        wait = self._start_at(now) + len(self.waiting) / self.service.capacity - now
        limit = self.service.max_queued
        if wait > self.service.max_wait_s or (limit is not None and len(self.waiting) >= limit):
            return None
        queued_call = QueuedCall(now)
        self.waiting.append(queued_call)
        return queued_call

    def abandon(self, queued_call: QueuedCall) -> bool:
        """Handles the departure of a queued call's caller; returns whether the call was removed."""
        removed = not self.service.abandoned_calls_take_capacity and queued_call in self.waiting
        if removed:
            self.waiting.remove(queued_call)
        return removed

    def next_start_at(self) -> float | None:
        """Returns when the next call is due to start; None if the queue is empty."""
        return self._start_at(self.waiting[0].arrived_at) if self.waiting else None

    def start_due_calls(self) -> list[QueuedCall]:
        """Removes the calls that are due from the queue and returns them in order."""
        started = []
        while (start_at := self.next_start_at()) is not None and start_at <= self.clock():
            started.append(self.waiting.popleft())
            self.free_at = start_at + 1 / self.service.capacity
        return started

    def clear(self) -> None:
        """Drops all calls, as in an outage of the service."""
        self.waiting.clear()
        self.free_at = 0.0

    def _start_at(self, arrived_at: float) -> float:
        return max(self.free_at, self.waiting[0].arrived_at if self.waiting else arrived_at)


def ideal_completion_time(service: ServiceBehavior, routers: int) -> float:
    """Returns the seconds in which the service can answer one call of each router, simulated with the queue.

    Ideal callers send each call just as the service becomes free, so no call waits, is rejected or is
    abandoned. The last call has the maximum latency. If continued watches have latency too, that time counts
    twice, because a caller needs that long to tell an unresponsive watch from a slow one."""
    now = 0.0
    queue = CallQueue(service, lambda: now)
    for _ in range(routers):
        queue.enqueue()
        queue.start_due_calls()
        now = queue.free_at
    return now + service.max_latency_s * (2 if service.late_watches else 1)
