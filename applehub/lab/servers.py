"""Emulated cache servers: shared cores, an LRU cache, a connection limit, slow start and overload."""

import math
from collections import deque
from heapq import heappop, heappush
from typing import Any, Protocol

from applehub import interface as api
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.demand import Demand
from applehub.lab.spec import Kind, Servers
from applehub.lab.streams import RandomStream

STARTED_BEFORE_RUN = -(1 << 62)  # start time of the servers that are warm at the start of the simulation
OVERLOAD_DEVIATIONS = 3  # standard deviations above the budget at which a warming server fails
RANDOM_DEVIATIONS = 2  # standard deviations above the budget that are attributed to random arrivals
MAX_EVENTS = 8  # maximum number of recent events stored for each server


class JobListener(Protocol):
    """Receives the outcome of a job; implemented by the router host."""

    def answered(self, attempt: Any, status: api.Status, note: int) -> None:
        """Called when the server answers the attempt."""

    def connection_broken(self, attempt: Any) -> None:
        """Called when the server's process ends before the answer."""


class ClientAttempt(Protocol):
    """The client attempt that a job belongs to."""

    @property
    def demand(self) -> Demand:
        """The client's request."""


class Job(Protocol):
    """An attempt, as a server sees it."""

    hit: bool
    opened: bool  # the attempt uses a new connection
    ended: bool  # the router no longer waits for the result

    @property
    def router(self) -> JobListener:
        """Receives the outcome."""

    @property
    def client_attempt(self) -> ClientAttempt:
        """The client attempt."""


class ProcessorSharingQueue:
    """A processor-sharing server: the jobs in service share its cores, and others wait in a bounded queue.

    A virtual clock counts the work done for each job in service. A job that starts at virtual time v with
    work w ends at v + w, so that a change of speed needs no update of the jobs.
    """

    __slots__ = (
        "_advanced_at", "_jobs", "_next_check", "_rate", "_serial", "_virtual_time", "choke", "choke_at",
        "clock", "cores", "max_queue", "queue", "slots", "speed",
    )  # fmt: skip

    def __init__(self, clock: Clock, cores: float, speed: float, slots: int, max_queue: int) -> None:
        self.clock, self.cores, self.speed, self.slots, self.max_queue = clock, cores, speed, slots, max_queue
        # Congestion: jobs slow down once their number exceeds `choke_at`; see `choke` in `spec.Servers`.
        self.choke, self.choke_at = 0.0, 1.0
        self.queue: deque[tuple[Any, int]] = deque()
        self._jobs: list[tuple[float, int, Any]] = []
        self._virtual_time, self._rate, self._advanced_at, self._next_check, self._serial = 0.0, 0.0, 0, 0, 0

    @property
    def job_count(self) -> int:
        return len(self._jobs) + len(self.queue)

    def core_speed(self) -> float:
        """Returns the current speed of each core."""
        return self.speed

    def available_cores(self) -> float:
        """Returns the number of cores that are not taken by other programs."""
        return self.cores

    def submit(self, job: Any, work: int) -> bool:
        """Starts or queues a job; returns False if the queue is full. work: in ns on a core of speed 1."""
        if len(self._jobs) < self.slots:
            self._advance()
            self._start_job(job, work)
            self._schedule_completion()
        elif len(self.queue) < self.max_queue:
            self.queue.append((job, work))
        else:
            return False
        return True

    def reschedule(self) -> None:
        """Applies a change of speed to the jobs in service."""
        self._advance()
        self._schedule_completion()

    def clear(self) -> list[Any]:
        """Removes and returns all jobs."""
        jobs = [job for _, _, job in sorted(self._jobs)] + [job for job, _ in self.queue]
        self._jobs.clear()
        self.queue.clear()
        return jobs

    def job_done(self, job: Any) -> None:
        """Called when a job's work is complete."""
        raise NotImplementedError

    def should_start(self, job: Any) -> bool:
        """Returns whether a queued job is to be started."""
        return True

    def _start_job(self, job: Any, work: int) -> None:
        self._serial += 1
        heappush(self._jobs, (self._virtual_time + work, self._serial, job))

    def _advance(self) -> None:
        now = self.clock.now
        if self._jobs:
            self._virtual_time += (now - self._advanced_at) * self._rate
        self._advanced_at = now

    def _schedule_completion(self) -> None:
        """Schedules a check at the next possible completion, unless an earlier one is scheduled."""
        count = len(self._jobs)
        if not count:
            return
        self._rate = self.core_speed() * min(1.0, self.available_cores() / count)
        if self.choke and self.job_count > self.choke_at:
            self._rate /= 1 + self.choke * (self.job_count / self.choke_at - 1)
        if self._rate <= 0:
            return
        completes_at = self.clock.now + int((self._jobs[0][0] - self._virtual_time) / self._rate) + 1
        if self._next_check <= self.clock.now or completes_at < self._next_check:
            self._next_check = completes_at
            self.clock.at(completes_at, self._complete_due, completes_at)

    def _complete_due(self, completes_at: int) -> None:
        if completes_at != self._next_check:
            return
        self._next_check = 0
        self._advance()
        jobs = self._jobs
        while jobs and jobs[0][0] <= self._virtual_time + 1:
            job = heappop(jobs)[2]
            self.job_done(job)
        while self.queue and len(jobs) < self.slots:
            job, work = self.queue.popleft()
            if self.should_start(job):
                self._start_job(job, work)
        self._schedule_completion()


def request_bound(budget: float, slack: int = RANDOM_DEVIATIONS) -> float:
    """Returns how many requests a budget allows, with a margin of `slack` standard deviations."""
    return budget + slack * math.sqrt(budget) + slack


class CacheServer(ProcessorSharingQueue):
    """One cache server with its stored keys, admission, connections and slow start."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        kind: int,
        model: Kind,
        spec: Servers,
        zone: int,
        random_stream: RandomStream,
    ) -> None:
        speed = max(0.1, model.speed * (1 + model.speed_cv * 1.7 * (2 * random_stream.uniform() - 1)))
        slots = max(1, round(model.slots_per_core * model.cores))
        super().__init__(clock, model.cores, speed, slots, max(1, round(model.queue_per_core * model.cores)))
        self.choke, self.choke_at = spec.choke, spec.choke_at * model.cores
        self.id, self.kind, self.zone, self.spec, self.random_stream = name, kind, zone, spec, random_stream
        self.initial_capacity, self.warmup_time = model.cold_from, int(model.cold_s * SECOND)
        self.started_at, self.up, self.unresponsive, self.overloaded = STARTED_BEFORE_RUN, True, False, False
        self.incarnation = 0
        self.stolen_core_share, self.slowdown, self.error_rate = 0.0, 0.0, spec.error_share
        self.stored_keys: dict[str, None] = {}
        self.max_keys = 1
        self.connections = 0
        self.handshake_work = int(spec.handshake_ms * MILLI)
        self.mean_work = 1
        self.load_report: api.LoadReport | None = None
        self.next_report_at = int(random_stream.uniform() * spec.report_ms * MILLI)
        self.errors_since_report = 0
        self.hits = self.misses = 0
        self.events: deque[tuple[int, str]] = deque(maxlen=MAX_EVENTS)
        # Attempts received while warming up: time (ns), work (ns), whether the router knew of the start.
        self.warmup_arrivals: deque[tuple[int, int, bool]] = deque()
        self.overload_factor, self.overload_window = 0.0, 1
        # Window with the highest load relative to its bound: requests received and budget, in requests of
        # mean work.
        self.peak_load = (0.0, 0.0)

    # Speed

    def warmup_fraction(self) -> float:
        """Returns the current capacity of the server as a fraction of its warm capacity."""
        age = self.clock.now - self.started_at
        return (
            1.0
            if age >= self.warmup_time
            else self.initial_capacity + (1 - self.initial_capacity) * age / self.warmup_time
        )

    def core_speed(self) -> float:
        tax = self.spec.full_tax * min(1.0, self.connections / (self.spec.connections_per_core * self.cores))
        return self.speed * self.warmup_fraction() * (1 - self.slowdown) * (1 - tax)

    def available_cores(self) -> float:
        return self.cores * (1 - self.stolen_core_share)

    @property
    def capacity(self) -> float:
        """Work done per unit of time by all available cores."""
        return self.core_speed() * self.available_cores()

    @property
    def reachable(self) -> bool:
        return self.up and not self.unresponsive

    # Process lifetime

    def start(self) -> None:
        """Starts the process with an empty cache, warming up."""
        self.up, self.overloaded = True, False
        self.started_at = self.clock.now
        self.stored_keys.clear()
        self.events.append((self.clock.now, "started"))

    def stop(self) -> "list[Job]":
        """Ends the process, invalidates its connections and returns the unfinished jobs."""
        self.up = False
        self.incarnation += 1
        self.connections = 0
        self.warmup_arrivals.clear()
        self.events.append((self.clock.now, "stopped"))
        return self.clear()

    # Requests

    def receive(self, attempt: Job, informed: bool) -> bool:
        """Processes an attempt whose last byte has arrived; returns whether it overloads a warming server.

        informed: the router was notified of this server's start.
        """
        demand = attempt.client_attempt.demand
        work = demand.work + (self.handshake_work if attempt.opened else 0)
        if self.started_at > STARTED_BEFORE_RUN and self._is_overloaded(work, informed):
            return True
        if self.error_rate and self.random_stream.uniform() < self.error_rate:
            self.errors_since_report += 1
            attempt.router.answered(attempt, api.Status.ERROR, 0)
            return False
        if not demand.write:
            key = demand.key
            if key in self.stored_keys:
                del self.stored_keys[key]
                self.stored_keys[key] = None
                self.hits += 1
                attempt.hit = True
            else:
                self.misses += 1
                work = int(work * self.spec.miss_work)
                attempt.hit = False
        if not self.submit(attempt, work):
            attempt.router.answered(attempt, api.Status.FULL, 0)
        return False

    def store(self, key: str) -> None:
        """Stores an object, and evicts the least recently used object if the cache is full."""
        self.stored_keys.pop(key, None)
        self.stored_keys[key] = None
        if len(self.stored_keys) > self.max_keys:
            del self.stored_keys[next(iter(self.stored_keys))]

    def job_done(self, job: Job) -> None:
        job.router.answered(job, api.Status.OK if job.hit else api.Status.MISS, 1 if job.hit else 2)

    def should_start(self, job: Job) -> bool:
        return not (self.spec.drops_abandoned and job.ended)

    def _is_overloaded(self, work: int, informed: bool) -> bool:
        """Returns whether the work received within the window exceeds the bound of a warming server."""
        now = self.clock.now
        if now - self.started_at >= self.warmup_time:
            self.warmup_arrivals.clear()
            return False
        self.warmup_arrivals.append((now, work, informed))
        while self.warmup_arrivals[0][0] < now - self.overload_window:
            self.warmup_arrivals.popleft()
        received_work = sum(entry[1] for entry in self.warmup_arrivals)
        budget = self.overload_factor * self.capacity * self.overload_window
        requests, allowed = received_work / self.mean_work, budget / self.mean_work
        if requests / request_bound(allowed) > self.peak_load[0] / request_bound(self.peak_load[1]):
            self.peak_load = requests, allowed
        return requests > request_bound(allowed, OVERLOAD_DEVIATIONS)

    @property
    def informed_fraction(self) -> float:
        """Fraction of the work in the overload window that routers notified of the start sent."""
        received_work = sum(entry[1] for entry in self.warmup_arrivals)
        return sum(entry[1] for entry in self.warmup_arrivals if entry[2]) / max(1, received_work)

    def load(self) -> api.LoadReport | None:
        """Returns the load report for an answer, which is updated once per period and includes noise."""
        now = self.clock.now
        if now >= self.next_report_at:
            period = self.spec.report_ms / 1000
            elapsed_s = max(0.1, (now - self.next_report_at) / SECOND + period)
            noise = 1 + self.spec.report_noise * (2 * self.random_stream.uniform() - 1)
            self.load_report = api.LoadReport(
                queue=len(self.queue) * noise, eps=self.errors_since_report / elapsed_s * noise
            )
            self.errors_since_report = 0
            self.next_report_at = now + int(period * SECOND)
        return self.load_report
