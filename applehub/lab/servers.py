"""Cache servers: shared cores, a bounded memory, a connection table, warm-up and tipping."""

import math
from collections import deque
from heapq import heappop, heappush
from typing import Any, Protocol

from applehub import interface as api
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.demand import Demand
from applehub.lab.spec import Kind, Servers
from applehub.lab.streams import Draws

LONG_AGO = -(1 << 62)
FALLS = 3  # roots of its budget, and calls beside, past which a cold server falls over
CHANCE = 2  # the same, up to which what passes its budget is put down to chance
EVENTS_KEPT = 8


class Answers(Protocol):
    """Who waits for a job: a router."""

    def answered(self, attempt: Any, status: api.Status, note: int) -> None:
        """The job is done."""

    def broken(self, attempt: Any) -> None:
        """The server's process has ended under it."""


class Tried(Protocol):
    """The try that a job belongs to."""

    @property
    def demand(self) -> Demand:
        """What the client wants."""


class Job(Protocol):
    """What a server knows of the work it is sent."""

    hit: bool
    opened: bool  # on a new connection
    ended: bool  # nobody waits for it any more

    @property
    def router(self) -> Answers:
        """Who is told how it ended."""

    @property
    def asked(self) -> Tried:
        """The try."""


class Station:
    """Cores shared by the jobs in service, and a waiting room.

    A virtual clock counts the work done for each job in service, so that a change of speed is one step:
    a job that enters at v with work w leaves when the clock shows v + w."""

    __slots__ = (
        "_count", "_due", "_jobs", "_last", "_rate", "_v", "choke", "choke_at", "clock", "cores",
        "room", "slots", "speed", "waiting",
    )  # fmt: skip

    def __init__(self, clock: Clock, cores: float, speed: float, slots: int, room: int) -> None:
        self.clock, self.cores, self.speed, self.slots, self.room = clock, cores, speed, slots, room
        self.choke, self.choke_at = 0.0, 1.0
        self.waiting: deque[tuple[Any, int]] = deque()
        self._jobs: list[tuple[float, int, Any]] = []
        self._v, self._rate, self._last, self._due, self._count = 0.0, 0.0, 0, 0, 0

    @property
    def held(self) -> int:
        return len(self._jobs) + len(self.waiting)

    def pace(self) -> float:
        """Speed of each core now."""
        return self.speed

    def free_cores(self) -> float:
        return self.cores

    def offer(self, job: Any, work: int) -> bool:
        """Takes a job with its work (ns on a core of speed 1), or has no place for it."""
        if len(self._jobs) < self.slots:
            self._advance()
            self._enter(job, work)
            self._plan()
        elif len(self.waiting) < self.room:
            self.waiting.append((job, work))
        else:
            return False
        return True

    def replan(self) -> None:
        """Takes up a change of speed."""
        self._advance()
        self._plan()

    def clear(self) -> list[Any]:
        """Drops all that it holds, and gives it."""
        jobs = [job for _, _, job in sorted(self._jobs)] + [job for job, _ in self.waiting]
        self._jobs.clear()
        self.waiting.clear()
        return jobs

    def done(self, job: Any) -> None:
        """A job has had its work."""
        raise NotImplementedError

    def wanted(self, job: Any) -> bool:
        """Whether a job that waited is still worth a start."""
        return True

    def _enter(self, job: Any, work: int) -> None:
        self._count += 1
        heappush(self._jobs, (self._v + work, self._count, job))

    def _advance(self) -> None:
        now = self.clock.now
        if self._jobs:
            self._v += (now - self._last) * self._rate
        self._last = now

    def _plan(self) -> None:
        """Sees to it that it looks again when the next job may be done; an earlier look is as good."""
        count = len(self._jobs)
        if not count:
            return
        self._rate = self.pace() * min(1.0, self.free_cores() / count)
        if self.choke and self.held > self.choke_at:
            self._rate /= 1 + self.choke * (self.held / self.choke_at - 1)
        if self._rate <= 0:
            return
        due = self.clock.now + int((self._jobs[0][0] - self._v) / self._rate) + 1
        if self._due <= self.clock.now or due < self._due:
            self._due = due
            self.clock.at(due, self._look, due)

    def _look(self, due: int) -> None:
        if due != self._due:
            return
        self._due = 0
        self._advance()
        jobs = self._jobs
        while jobs and jobs[0][0] <= self._v + 1:
            job = heappop(jobs)[2]
            self.done(job)
        while self.waiting and len(jobs) < self.slots:
            job, work = self.waiting.popleft()
            if self.wanted(job):
                self._enter(job, work)
        self._plan()


def bound_of(budget: float, slack: int = CHANCE) -> float:
    """Up to how many calls a budget of so many may be passed by."""
    return budget + slack * math.sqrt(budget) + slack


class CacheServer(Station):
    """One cache server; what it stores, whom it lets in, and how it comes back cold."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        kind: int,
        model: Kind,
        spec: Servers,
        zone: int,
        draws: Draws,
    ) -> None:
        speed = max(0.1, model.speed * (1 + model.speed_cv * 1.7 * (2 * draws.uniform() - 1)))
        slots = max(1, round(model.slots_per_core * model.cores))
        super().__init__(clock, model.cores, speed, slots, max(1, round(model.queue_per_core * model.cores)))
        self.choke, self.choke_at = spec.choke, spec.choke_at * model.cores
        self.id, self.kind, self.zone, self.spec, self.draws = name, kind, zone, spec, draws
        self.cold_from, self.ramp = model.cold_from, int(model.cold_s * SECOND)
        self.started, self.up, self.silent, self.fallen = LONG_AGO, True, False, False
        self.incarnation = 0
        self.neighbour, self.slowed, self.failing = 0.0, 0.0, spec.error_share
        self.memory: dict[str, None] = {}
        self.memory_most = 1
        self.connections = 0
        self.handshake = int(spec.handshake_ms * MILLI)
        self.mean_work = 1
        self.report: api.Load | None = None
        self.report_at = int(draws.uniform() * spec.report_ms * MILLI)
        self.report_errors = 0
        self.hits = self.misses = 0
        self.events: deque[tuple[int, str]] = deque(maxlen=EVENTS_KEPT)
        self.budget: deque[tuple[int, int, bool]] = deque()  # what came to it cold: when, work, informed
        self.tip_multiple, self.tip_window = 0.0, 1
        # Of the window in which it got most of its bound: sent, and budget, in requests of mean work.
        self.fullest = (0.0, 0.0)

    # Speed

    def warmth(self) -> float:
        """The part of its full capacity that it has by now."""
        age = self.clock.now - self.started
        return 1.0 if age >= self.ramp else self.cold_from + (1 - self.cold_from) * age / self.ramp

    def pace(self) -> float:
        tax = self.spec.full_tax * min(1.0, self.connections / (self.spec.connections_per_core * self.cores))
        return self.speed * self.warmth() * (1 - self.slowed) * (1 - tax)

    def free_cores(self) -> float:
        return self.cores * (1 - self.neighbour)

    @property
    def capacity(self) -> float:
        """Work done in a unit of time with all its cores."""
        return self.pace() * self.free_cores()

    @property
    def reachable(self) -> bool:
        return self.up and not self.silent

    # Life

    def start(self) -> None:
        """Its process starts, cold and with an empty memory."""
        self.up, self.fallen = True, False
        self.started = self.clock.now
        self.memory.clear()
        self.events.append((self.clock.now, "started"))

    def stop(self) -> "list[Job]":
        """Its process ends; what it held is given back, and its connections lead nowhere from now on."""
        self.up = False
        self.incarnation += 1
        self.connections = 0
        self.budget.clear()
        self.events.append((self.clock.now, "stopped"))
        return self.clear()

    # Requests

    def take(self, attempt: Job, informed: bool) -> bool:
        """An attempt's last byte has come; whether it tips this cold server over."""
        demand = attempt.asked.demand
        work = demand.work + (self.handshake if attempt.opened else 0)
        if self.started > LONG_AGO and self._tipped(work, informed):
            return True
        if self.failing and self.draws.uniform() < self.failing:
            self.report_errors += 1
            attempt.router.answered(attempt, api.Status.ERROR, 0)
            return False
        if not demand.write:
            key = demand.key
            if key in self.memory:
                del self.memory[key]
                self.memory[key] = None
                self.hits += 1
                attempt.hit = True
            else:
                self.misses += 1
                work = int(work * self.spec.miss_work)
                attempt.hit = False
        if not self.offer(attempt, work):
            attempt.router.answered(attempt, api.Status.FULL, 0)
        return False

    def store(self, key: str) -> None:
        """Keeps an object, and drops those used longest ago."""
        self.memory.pop(key, None)
        self.memory[key] = None
        if len(self.memory) > self.memory_most:
            del self.memory[next(iter(self.memory))]

    def done(self, job: Job) -> None:
        job.router.answered(job, api.Status.OK if job.hit else api.Status.MISS, 1 if job.hit else 2)

    def wanted(self, job: Job) -> bool:
        return not (self.spec.drops_abandoned and job.ended)

    def _tipped(self, work: int, informed: bool) -> bool:
        """Whether it has been sent more than it can bear since it started, in the rule's window."""
        now = self.clock.now
        if now - self.started >= self.ramp:
            self.budget.clear()
            return False
        self.budget.append((now, work, informed))
        while self.budget[0][0] < now - self.tip_window:
            self.budget.popleft()
        sent = sum(entry[1] for entry in self.budget)
        budget = self.tip_multiple * self.capacity * self.tip_window
        calls, most = sent / self.mean_work, budget / self.mean_work
        if calls / bound_of(most) > self.fullest[0] / bound_of(self.fullest[1]):
            self.fullest = calls, most
        return calls > bound_of(most, FALLS)

    @property
    def informed_part(self) -> float:
        """Of what came in the rule's window, the part that informed routers sent."""
        sent = sum(entry[1] for entry in self.budget)
        return sum(entry[1] for entry in self.budget if entry[2]) / max(1, sent)

    def load(self) -> api.Load | None:
        """The report that an answer carries: as it was last refreshed, a little wrong."""
        now = self.clock.now
        if now >= self.report_at:
            period = self.spec.report_ms / 1000
            since = max(0.1, (now - self.report_at) / SECOND + period)
            noise = 1 + self.spec.report_noise * (2 * self.draws.uniform() - 1)
            self.report = api.Load(queue=len(self.waiting) * noise, eps=self.report_errors / since * noise)
            self.report_errors = 0
            self.report_at = now + int(period * SECOND)
        return self.report
