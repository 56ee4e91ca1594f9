"""The origin that all caches share: slow, bounded, and with a queue of its own."""

from applehub import interface as api
from applehub.lab.clock import Clock
from applehub.lab.servers import Job, Station
from applehub.lab.spec import Origin
from applehub.lab.streams import Draws

WRITE_WORK = 1.5  # of a write, by a read's mean


class OriginServer(Station):
    """One server with many cores. It goes on with work that nobody waits for."""

    def __init__(self, clock: Clock, name: str, spec: Origin, rate: float, aim: int, draws: Draws) -> None:
        """rate: reads and writes a second that it can do; aim: the shortest, ns."""
        self.work = spec.work_of_aim * aim  # of a read at speed 1, ns
        cores = max(1, round(rate * self.work / 1e9))
        speed = rate * self.work / 1e9 / cores
        super().__init__(clock, cores, speed, cores, max(1, int(rate * spec.queue_s)))
        self.choke, self.choke_at = spec.choke, cores * 4.0
        self.id, self.spec, self.draws = name, spec, draws
        self.together: dict[str, list[Job]] = {}  # reads that share one that is out, by key
        self.reads = self.writes = self.rejected = 0

    def take(self, attempt: Job) -> None:
        """An attempt's last byte has come."""
        demand = attempt.asked.demand
        if demand.write:
            self.writes += 1
        else:
            self.reads += 1
            if self.spec.coalesce and demand.key in self.together:
                self.together[demand.key].append(attempt)
                return
        work = self.work * (WRITE_WORK if demand.write else 1) * (0.5 + self.draws.uniform())
        if not self.offer(attempt, int(work)):
            self.rejected += 1
            attempt.router.answered(attempt, api.Status.FULL, 0)
        elif self.spec.coalesce and not demand.write:
            self.together[demand.key] = []

    def done(self, job: Job) -> None:
        demand = job.asked.demand
        others = [] if demand.write else self.together.pop(demand.key, [])
        failed = self.spec.error_share and self.draws.uniform() < self.spec.error_share
        for one in [job, *others]:
            one.router.answered(one, api.Status.ERROR if failed else api.Status.OK, 0)
