"""Retries requests for which this machine could not start an attempt.

The requests wait in one queue and are retried in small batches, so that the retries add little load to a
machine that already lacks a resource.
"""

from collections import deque
from collections.abc import Callable

from applehub import interface as api
from applehub.policy.event_context import EventContext
from applehub.policy.job import Job
from applehub.policy.rates import SECOND

# Minimum delay, in ns, between two batches of retries; a momentary lack of resources is over by then.
MIN_DELAY = SECOND // 200
# Maximum delay, in ns. The rules allow 50 ms beside each limit; the end of a lack is detected within that.
MAX_DELAY = SECOND // 20
# At most 800 retries per second; of more at once, some would be refused because of the burst itself.
MAX_BATCH_SIZE = 4
# Maximum number of failed starts of one request: more than two seconds of retries by one request alone.
MAX_FAILED_STARTS = 64
LOG_INTERVAL = 10 * SECOND  # one line reports the failing machine, however many attempts fail


class FailedStarts:
    """First-in, first-out queue of requests for which this machine could not start an attempt."""

    def __init__(
        self, context: EventContext, retry: Callable[[Job], None], give_up: Callable[[Job], None]
    ) -> None:
        self.context, self.retry, self.give_up = context, retry, give_up
        self.queue: deque[Job] = deque()
        self.delay, self.batch_size = MIN_DELAY, 1  # delay (ns) before the next batch, and its size
        self.has_failures = self.is_scheduled = False
        self.logged_at = -LOG_INTERVAL

    def add(self, job: Job, event: api.Outcome) -> None:
        """Handles an attempt that could not be started; the job keeps its token and its number of attempts.

        If there is no route to the server, another server is tried at once. If this machine lacks a resource,
        other servers would not help, so every second attempt goes to the same server.
        """
        if self.context.now - self.logged_at >= LOG_INTERVAL:
            self.logged_at = self.context.now
            self.context.log(f"this machine could not begin an attempt at {event.server}: {event.status}")
        job.in_flight.discard(event.attempt)
        job.may_have_run.pop(event.attempt, None)
        job.not_started += 1
        is_first, is_unreachable = job.not_started == 1, event.status is api.Status.UNREACHABLE
        if (job.not_started % 2 == 1) == is_unreachable:
            job.unreachable.add(event.server)
        else:
            job.tried.discard(event.server)
            job.clear_unreachable()
        retry_until = job.request.deadline if job.spec.late_weight else job.objective_deadline
        if is_first:
            self.context.call_later(max(0, retry_until - self.context.now), self._on_deadline, job)
        if is_first and is_unreachable and not job.at_origin:
            self.retry(job)
            return
        job.waiting_to_start = True  # the job returns its token if no further attempt follows
        if job.not_started > MAX_FAILED_STARTS or self.context.now >= retry_until:
            self.give_up(job)
        else:
            self._enqueue(job)

    def _on_deadline(self, job: Job | None) -> None:
        if job is not None and job.waiting_to_start:
            self.give_up(job)

    def _enqueue(self, job: Job) -> None:
        self.queue.append(job)
        self.has_failures = True
        if not self.is_scheduled:
            self.delay, self.is_scheduled = MIN_DELAY, True
            self._schedule()

    def _schedule(self) -> None:
        self.context.call_later(int(self.delay * self.context.random.uniform(0.5, 1)), self._retry_batch)

    def _retry_batch(self, _: Job | None) -> None:
        """Retries the next batch.

        While attempts fail, the batch size is one and the delay doubles; after a batch without a failure the
        batch size doubles.
        """
        if self.has_failures:
            self.delay, self.batch_size = min(2 * self.delay, MAX_DELAY), 1
        else:
            self.delay, self.batch_size = MIN_DELAY, min(2 * self.batch_size, MAX_BATCH_SIZE)
        self.has_failures = False
        retried = 0
        while self.queue and retried < self.batch_size:
            job = self.queue.popleft()
            if job.waiting_to_start:  # the job has not ended since it was queued
                job.waiting_to_start = False
                retried += 1
                self.retry(job)
        self.is_scheduled = bool(self.queue or retried)
        if self.is_scheduled:
            self._schedule()
