"""The emulated origin that all cache servers share, with bounded capacity and a queue."""

from applehub import interface as api
from applehub.lab.clock import Clock
from applehub.lab.servers import Job, ProcessorSharingQueue
from applehub.lab.spec import Origin
from applehub.lab.streams import RandomStream

WRITE_WORK_FACTOR = 1.5  # mean work of a write, relative to a read


class OriginServer(ProcessorSharingQueue):
    """The origin as one server with many cores. It also completes requests that were abandoned."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        spec: Origin,
        rate: float,
        shortest_objective: int,
        random_stream: RandomStream,
    ) -> None:
        """Args:
        rate: Capacity, in reads and writes per second.
        shortest_objective: Shortest latency objective of all classes, in ns.
        """
        self.read_work = spec.work_of_aim * shortest_objective  # mean work of a read, in ns at speed 1
        cores = max(1, round(rate * self.read_work / 1e9))
        speed = rate * self.read_work / 1e9 / cores
        super().__init__(clock, cores, speed, cores, max(1, int(rate * spec.queue_s)))
        self.choke, self.choke_at = spec.choke, cores * 4.0
        self.id, self.spec, self.random_stream = name, spec, random_stream
        self.coalesced: dict[str, list[Job]] = {}  # reads that wait for an earlier read of their key, by key
        self.reads = self.writes = self.rejected = 0

    def receive(self, attempt: Job) -> None:
        """Processes an attempt whose last byte has arrived."""
        demand = attempt.client_attempt.demand
        if demand.write:
            self.writes += 1
        else:
            self.reads += 1
            if self.spec.coalesce and demand.key in self.coalesced:
                self.coalesced[demand.key].append(attempt)
                return
        work = (
            self.read_work * (WRITE_WORK_FACTOR if demand.write else 1) * (0.5 + self.random_stream.uniform())
        )
        if not self.submit(attempt, int(work)):
            self.rejected += 1
            attempt.router.answered(attempt, api.Status.FULL, 0)
        elif self.spec.coalesce and not demand.write:
            self.coalesced[demand.key] = []

    def job_done(self, job: Job) -> None:
        demand = job.client_attempt.demand
        coalesced_jobs = [] if demand.write else self.coalesced.pop(demand.key, [])
        failed = self.spec.error_share and self.random_stream.uniform() < self.spec.error_share
        for finished_job in [job, *coalesced_jobs]:
            finished_job.router.answered(finished_job, api.Status.ERROR if failed else api.Status.OK, 0)
