"""Baselines behind the module's interface: where an experiment's floor and top lie."""

import random
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol
from zlib import crc32

from applehub import interface as api
from applehub.lab.origin import OriginServer
from applehub.lab.servers import CacheServer
from applehub.policy import Balancer
from applehub.wirehost import Decider

POINTS = 64  # of each server on the ring
BOUND = 1.25  # times the mean of what is out that a server may have
ASK_AGAIN = 1_000_000_000  # ns after a failed call to discovery
NEVER_RAN = frozenset((api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS))


@dataclass(slots=True, eq=False)
class Job:
    """A request that a baseline holds."""

    request: api.Request
    at_origin: bool
    made: int = 0
    unsafe: bool = False  # an attempt that may have run rules out another
    tried: set[str] = field(default_factory=set)


class Plain:
    """What all baselines do alike: caches by choice, the origin after a miss, another try after a failure."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.ready: list[str] = []
        self.members: dict[str, api.Member] = {}
        self.origin = ""
        self.jobs: dict[str, Job] = {}
        self.out: dict[str, int] = {}
        self.total = 0
        self.now = 0

    def choose(self, job: Job) -> str | None:
        """A server for a read; none: refused."""
        raise NotImplementedError

    def listed(self) -> None:
        """The list has changed."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Plays one event at its time."""
        self.now = now
        match event:
            case api.Request():
                job = self.jobs[event.id] = Job(event, event.write)
                return self._send(job)
            case api.Outcome():
                return self._ended(event)
            case api.Withdrawn():
                self.jobs.pop(event.id, None)
            case api.Members():
                return self._list(event)
            case api.Alarm() if event.token == "ask":
                return [api.Watch()]
            case api.Retuned():
                self.settings = event.settings
        return []

    def _list(self, event: api.Members) -> list[api.Action]:
        if event.kind is api.ListKind.FAILED:
            return [api.Wake(ASK_AGAIN, "ask")]
        if event.kind is not api.ListKind.DELTA:
            self.members.clear()
        for entry in event.entries:
            if entry.state is api.State.GONE:
                self.members.pop(entry.server, None)
            else:
                self.members[entry.server] = entry
        ready = [one for one in self.members.values() if one.state is api.State.READY]
        self.ready = sorted(one.server for one in ready if one.kind != self.settings.origin_kind)
        self.origin = next((one.server for one in ready if one.kind == self.settings.origin_kind), "")
        self.listed()
        return [api.Watch()] if event.kind is api.ListKind.CACHED and self.settings.must_ask else []

    def _send(self, job: Job) -> list[api.Action]:
        server = self.origin if job.at_origin else self.choose(job)
        spent = job.made >= self.settings.max_attempts or self.now >= job.request.deadline
        if not server or spent or job.unsafe:
            del self.jobs[job.request.id]
            return [api.Fail(job.request.id) if job.unsafe else api.Refuse(job.request.id)]
        job.made += 1
        job.tried.add(server)
        self.out[server] = self.out.get(server, 0) + 1
        self.total += 1
        return [api.Send(job.request.id, server)]

    def _ended(self, event: api.Outcome) -> list[api.Action]:
        self.out[event.server] = max(0, self.out.get(event.server, 0) - 1)
        self.total = max(0, self.total - 1)
        job = self.jobs.get(event.id)
        if event.closed or job is None:
            self.jobs.pop(event.id, None)
            return []
        if event.status not in NEVER_RAN:
            effect = self.settings.classes[job.request.cls].effect
            job.unsafe = effect is not api.Effect.SAFE
        if event.status is api.Status.MISS:
            job.at_origin = True
        return self._send(job)


class RandomChoice(Plain):
    """Any server."""

    def choose(self, job: Job) -> str | None:
        return self.ready[int(self.random.random() * len(self.ready))] if self.ready else None


class TwoChoices(Plain):
    """Of two drawn servers the one with less out from here."""

    def choose(self, job: Job) -> str | None:
        if not self.ready:
            return None
        one, other = (self.ready[int(self.random.random() * len(self.ready))] for _ in range(2))
        return one if self.out.get(one, 0) <= self.out.get(other, 0) else other


class BoundedHash(Plain):
    """Consistent hashing with bounded loads: the next on the ring that has not too much out from here."""

    def listed(self) -> None:
        ring = sorted((crc32(f"{name}#{n}".encode()), name) for name in self.ready for n in range(POINTS))
        self.points, self.names = [point for point, _ in ring], [name for _, name in ring]

    def choose(self, job: Job) -> str | None:
        if not self.ready:
            return None
        start = bisect(self.points, crc32((job.request.key or "").encode()))
        most = 1 + BOUND * (self.total + 1) / len(self.ready)
        for step in range(len(self.names)):
            name = self.names[(start + step) % len(self.names)]
            if name not in job.tried and self.out.get(name, 0) < most:
                return name
        return self.ready[0]


class Sight(Protocol):
    """The true state of a play, which no router sees."""

    mean_work: float
    origin: OriginServer

    def server(self, name: str) -> CacheServer:
        """A cache server by its id."""


class Oracle(Plain):
    """Sees the true state: of the servers that store the key the one that is soonest done; else the origin by
    way of the key's own server. Refuses what can't be timely."""

    def __init__(self, settings: api.Settings, seed: int, sight: Sight) -> None:
        super().__init__(settings, seed)
        self.sight = sight

    def _wait(self, name: str, work: float) -> float:
        server = self.sight.server(name)
        if not server.reachable or server.fallen or server.capacity <= 0:
            return float("inf")
        spread = max(1.0, (server.held + 1) / max(0.01, server.free_cores()))
        return work * spread / server.pace()

    def choose(self, job: Job) -> str | None:
        key, work = job.request.key or "", self.sight.mean_work
        due = self.settings.classes[job.request.cls].aim * 0.9
        wait, name = self._soonest(
            [one for one in self.ready if key in self.sight.server(one).memory], job, work
        )
        if wait < due:
            return name
        near = sorted(self.ready, key=lambda one: crc32(f"{one}{key}".encode()))[:4]
        wait, name = self._soonest(near, job, work)
        if wait >= due or self.sight.origin.held > 4 * self.sight.origin.slots:
            return None
        return name

    def _soonest(self, names: list[str], job: Job, work: float) -> tuple[float, str]:
        places = [(self._wait(name, work), name) for name in names if name not in job.tried]
        return min(places, default=(float("inf"), ""))


BLIND: dict[str, type[Plain]] = {
    "random": RandomChoice,
    "two-choices": TwoChoices,
    "bounded-hash": BoundedHash,
}  # baselines that see no more than a router does


def maker(name: str, sight: Sight) -> Callable[[api.Settings, int], Decider]:
    """What makes a router's decisions under a policy's name."""
    if name == "router":
        return Balancer
    if name == "oracle":
        return partial(Oracle, sight=sight)
    return BLIND[name]
