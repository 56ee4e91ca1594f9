"""The queue of a list service that handles calls in turn: no I/O, and the clock is the caller's.

A call waits for its turn, takes `1 / capacity` seconds of the service, and is answered late. A call that
would have to wait too long is refused on arrival and costs the service nothing."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Service:
    """How a list service behaves."""

    capacity: float = 100.0  # calls a second
    least_late: float = 0.0  # s from a call's turn until it is looked at, drawn evenly
    most_late: float = 0.0
    most_wait: float = 2.0  # s; a call that would wait longer for its turn is refused
    most_waiting: int | None = None  # a call that finds so many waiting is refused as well
    abandoned_take_turns: bool = True  # a call whose connection was closed still takes its turn
    goes_on_within: float = 0.2  # s from an answer; a watch that comes by then takes no turn
    late_watches: bool = False  # a watch that goes on is looked at late as well

    def lateness(self, random: Random) -> float:
        """Draws how late one call is looked at, in seconds."""
        return random.uniform(self.least_late, self.most_late)


@dataclass(slots=True, eq=False)
class Turn:
    """The place of one call in the queue."""

    arrived: float


class TurnQueue:
    """The calls that wait for their turn."""

    def __init__(self, service: Service, clock: Callable[[], float]) -> None:
        self.service, self.clock = service, clock
        self.waiting: deque[Turn] = deque()
        self.free_at = 0.0  # when the service is done with the call whose turn came last

    def join(self) -> Turn | None:
        """Takes a call in; None where it is refused."""
        now = self.clock()
        wait = self._next_at(now) + len(self.waiting) / self.service.capacity - now
        most = self.service.most_waiting
        if wait > self.service.most_wait or (most is not None and len(self.waiting) >= most):
            return None
        turn = Turn(now)
        self.waiting.append(turn)
        return turn

    def abandon(self, turn: Turn) -> bool:
        """The caller has closed its connection while it waited; whether its turn goes to the next call."""
        given_up = not self.service.abandoned_take_turns and turn in self.waiting
        if given_up:
            self.waiting.remove(turn)
        return given_up

    def next_at(self) -> float | None:
        """When the next turn comes; None where no call waits."""
        return self._next_at(self.waiting[0].arrived) if self.waiting else None

    def begin(self) -> list[Turn]:
        """Takes out the calls whose turn has come, in order."""
        begun = []
        while (at := self.next_at()) is not None and at <= self.clock():
            begun.append(self.waiting.popleft())
            self.free_at = at + 1 / self.service.capacity
        return begun

    def clear(self) -> None:
        """Forgets all calls, as a service that goes down does."""
        self.waiting.clear()
        self.free_at = 0.0

    def _next_at(self, arrived: float) -> float:
        return max(self.free_at, self.waiting[0].arrived if self.waiting else arrived)


def ideal_time(service: Service, routers: int) -> float:
    """The seconds in which the service can answer one call of each router, played through the queue.

    The callers are ideal: each asks in the very moment in which the service becomes free, so no call waits,
    none is refused and none is given up. The last is answered at the latest that lateness allows. Where a
    watch that goes on is late too, a caller cannot tell a silent watch from a late one before that time
    has passed once more."""
    now = 0.0
    queue = TurnQueue(service, lambda: now)
    for _ in range(routers):
        queue.join()
        queue.begin()
        now = queue.free_at
    return now + service.most_late * (2 if service.late_watches else 1)
