"""What becomes of requests of which this machine could not begin an attempt. No server is to blame for it.

They wait together and try again a few at a time. So however many they are, and however many come after them,
their further tries are no load on a machine that is short of something already.
"""

from collections import deque
from collections.abc import Callable

from applehub import interface as api
from applehub.policy.job import Job
from applehub.policy.rates import SECOND
from applehub.policy.turn import Turn

FIRST_WAIT = SECOND // 200  # a lack of a moment is over by then
MOST_WAIT = SECOND // 20  # what the rules allow beside each limit: the end of a lack is noticed within it
MOST_AT_ONCE = 4  # tries each FIRST_WAIT, 800 a second: of more at once some would be refused as a burst
MOST_TRIES = 64  # of one request: over two seconds of trying alone, past which it is no failure of a moment
LOG_EVERY = 10 * SECOND  # one line says that this machine fails, however many attempts do


class FailedStarts:
    """Requests that wait until this machine can begin an attempt again, first come first."""

    def __init__(self, turn: Turn, again: Callable[[Job], None], give_up: Callable[[Job], None]) -> None:
        self.turn, self.again, self.give_up = turn, again, give_up
        self.waiting: deque[Job] = deque()
        self.wait, self.most = FIRST_WAIT, 1  # until the next tries, and how many they are
        self.failed = self.planned = False
        self.logged_at = -LOG_EVERY

    def take(self, job: Job, event: api.Outcome) -> None:
        """An attempt was not begun: nothing is spent, and another is made as long as that is of use. Where no
        way leads to a server another is tried at once; of what this machine lacks, others get none either, so
        each second try goes to the same."""
        if self.turn.now - self.logged_at >= LOG_EVERY:
            self.logged_at = self.turn.now
            self.turn.log(f"this machine could not begin an attempt at {event.server}: {event.status}")
        job.out.discard(event.attempt)
        job.live.pop(event.attempt, None)
        job.not_begun += 1
        first, no_way = job.not_begun == 1, event.status is api.Status.UNREACHABLE
        if (job.not_begun % 2 == 1) == no_way:
            job.unreached.add(event.server)
        else:
            job.tried.discard(event.server)
            job.pass_by_none()
        until = job.request.deadline if job.spec.late_weight else job.due
        if first:
            self.turn.later(max(0, until - self.turn.now), self._too_long, job)
        if first and no_way and not job.at_origin:
            self.again(job)
            return
        job.waiting = True  # it keeps its token for the next try, and gives it back if there is none
        if job.not_begun > MOST_TRIES or self.turn.now >= until:
            self.give_up(job)
        else:
            self._wait(job)

    def _too_long(self, job: Job | None) -> None:
        if job is not None and job.waiting:
            self.give_up(job)

    def _wait(self, job: Job) -> None:
        self.waiting.append(job)
        self.failed = True
        if not self.planned:
            self.wait, self.planned = FIRST_WAIT, True
            self._plan()

    def _plan(self) -> None:
        self.turn.later(int(self.wait * self.turn.random.uniform(0.5, 1)), self._try)

    def _try(self, _: Job | None) -> None:
        """Lets the next ones try. While attempts fail that is one at a time, ever more seldom; where none has
        failed since the last time, twice as many as then."""
        if self.failed:
            self.wait, self.most = min(2 * self.wait, MOST_WAIT), 1
        else:
            self.wait, self.most = FIRST_WAIT, min(2 * self.most, MOST_AT_ONCE)
        self.failed = False
        tries = 0
        while self.waiting and tries < self.most:
            job = self.waiting.popleft()
            if job.waiting:  # it has not left meanwhile
                job.waiting = False
                tries += 1
                self.again(job)
        self.planned = bool(self.waiting or tries)
        if self.planned:
            self._plan()
