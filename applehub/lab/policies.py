"""Baseline policies with the decision module's interface, as lower and upper bounds for experiments."""

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
from applehub.wirehost import DecisionModule

POINTS_PER_SERVER = 64  # points of each server on the hash ring
LOAD_BOUND = 1.25  # limit of a server's attempts in flight, relative to the mean
DISCOVERY_RETRY_DELAY = 1_000_000_000  # ns
# Results after which the request was certainly not executed.
NOT_EXECUTED = frozenset((api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS))


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request in progress."""

    request: api.Request
    at_origin: bool
    attempts_made: int = 0
    retry_unsafe: bool = False  # whether an attempt may have executed a non-idempotent request
    tried_servers: set[str] = field(default_factory=set)


class BaselinePolicy:
    """Base of the baselines: sends reads to a chosen cache server, then to the origin after a miss, and
    retries after a failure."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.ready_servers: list[str] = []
        self.members: dict[str, api.Member] = {}
        self.origin = ""
        self.pending_requests: dict[str, PendingRequest] = {}
        self.in_flight: dict[str, int] = {}
        self.total_in_flight = 0
        self.now = 0

    def choose(self, pending: PendingRequest) -> str | None:
        """Returns the server for a read, or None to reject it."""
        raise NotImplementedError

    def list_changed(self) -> None:
        """Called after each change of the endpoint list."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handles one event at time `now`, in ns, and returns the resulting actions."""
        self.now = now
        match event:
            case api.Request():
                pending = self.pending_requests[event.id] = PendingRequest(event, event.write)
                return self._send(pending)
            case api.Outcome():
                return self._attempt_ended(event)
            case api.RequestCancelled():
                self.pending_requests.pop(event.id, None)
            case api.Members():
                return self._update_list(event)
            case api.TimerFired() if event.token == "ask":
                return [api.Watch()]
            case api.SettingsChanged():
                self.settings = event.settings
        return []

    def _update_list(self, event: api.Members) -> list[api.Action]:
        if event.kind is api.ListKind.FAILED:
            return [api.SetTimer(DISCOVERY_RETRY_DELAY, "ask")]
        if event.kind is not api.ListKind.DELTA:
            self.members.clear()
        for entry in event.entries:
            if entry.state is api.State.GONE:
                self.members.pop(entry.server, None)
            else:
                self.members[entry.server] = entry
        ready_members = [member for member in self.members.values() if member.state is api.State.READY]
        self.ready_servers = sorted(
            member.server for member in ready_members if member.kind != self.settings.origin_kind
        )
        self.origin = next(
            (member.server for member in ready_members if member.kind == self.settings.origin_kind), ""
        )
        self.list_changed()
        return [api.Watch()] if event.kind is api.ListKind.CACHED and self.settings.list_on_request else []

    def _send(self, pending: PendingRequest) -> list[api.Action]:
        server = self.origin if pending.at_origin else self.choose(pending)
        exhausted = (
            pending.attempts_made >= self.settings.max_attempts or self.now >= pending.request.deadline
        )
        if not server or exhausted or pending.retry_unsafe:
            del self.pending_requests[pending.request.id]
            return [api.Fail(pending.request.id) if pending.retry_unsafe else api.Reject(pending.request.id)]
        pending.attempts_made += 1
        pending.tried_servers.add(server)
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        self.total_in_flight += 1
        return [api.Send(pending.request.id, server)]

    def _attempt_ended(self, event: api.Outcome) -> list[api.Action]:
        self.in_flight[event.server] = max(0, self.in_flight.get(event.server, 0) - 1)
        self.total_in_flight = max(0, self.total_in_flight - 1)
        pending = self.pending_requests.get(event.id)
        if event.closed or pending is None:
            self.pending_requests.pop(event.id, None)
            return []
        if event.status not in NOT_EXECUTED:
            effect = self.settings.classes[pending.request.cls].effect
            pending.retry_unsafe = effect is not api.Effect.SAFE
        if event.status is api.Status.MISS:
            pending.at_origin = True
        return self._send(pending)


class RandomChoice(BaselinePolicy):
    """Chooses a server uniformly at random."""

    def choose(self, pending: PendingRequest) -> str | None:
        return (
            self.ready_servers[int(self.random.random() * len(self.ready_servers))]
            if self.ready_servers
            else None
        )


class TwoChoices(BaselinePolicy):
    """Draws two servers and chooses the one with fewer attempts in flight from this router."""

    def choose(self, pending: PendingRequest) -> str | None:
        if not self.ready_servers:
            return None
        first, second = (
            self.ready_servers[int(self.random.random() * len(self.ready_servers))] for _ in range(2)
        )
        return first if self.in_flight.get(first, 0) <= self.in_flight.get(second, 0) else second


class BoundedHash(BaselinePolicy):
    """Consistent hashing with bounded loads: skips servers with too many of this router's attempts."""

    def list_changed(self) -> None:
        ring = sorted(
            (crc32(f"{name}#{n}".encode()), name)
            for name in self.ready_servers
            for n in range(POINTS_PER_SERVER)
        )
        self.ring_points, self.ring_servers = [point for point, _ in ring], [name for _, name in ring]

    def choose(self, pending: PendingRequest) -> str | None:
        if not self.ready_servers:
            return None
        start = bisect(self.ring_points, crc32((pending.request.key or "").encode()))
        limit = 1 + LOAD_BOUND * (self.total_in_flight + 1) / len(self.ready_servers)
        for step in range(len(self.ring_servers)):
            name = self.ring_servers[(start + step) % len(self.ring_servers)]
            if name not in pending.tried_servers and self.in_flight.get(name, 0) < limit:
                return name
        return self.ready_servers[0]


class SystemState(Protocol):
    """The true state of a simulation, which routers cannot observe."""

    mean_work: float
    origin: OriginServer

    def server(self, name: str) -> CacheServer:
        """Returns a cache server by its id."""


class Oracle(BaselinePolicy):
    """Chooses by the true state: the fastest server that stores the key, otherwise the fastest of the key's
    candidates, which miss. Rejects requests that cannot meet their latency objective."""

    def __init__(self, settings: api.Settings, seed: int, system_state: SystemState) -> None:
        super().__init__(settings, seed)
        self.system_state = system_state

    def _expected_time(self, name: str, work: float) -> float:
        server = self.system_state.server(name)
        if not server.reachable or server.overloaded or server.capacity <= 0:
            return float("inf")
        sharing_factor = max(1.0, (server.job_count + 1) / max(0.01, server.available_cores()))
        return work * sharing_factor / server.core_speed()

    def choose(self, pending: PendingRequest) -> str | None:
        key, work = pending.request.key or "", self.system_state.mean_work
        time_limit = self.settings.classes[pending.request.cls].latency_objective * 0.9
        expected_time, name = self._fastest(
            [
                server_id
                for server_id in self.ready_servers
                if key in self.system_state.server(server_id).stored_keys
            ],
            pending,
            work,
        )
        if expected_time < time_limit:
            return name
        candidates = sorted(self.ready_servers, key=lambda server_id: crc32(f"{server_id}{key}".encode()))[:4]
        expected_time, name = self._fastest(candidates, pending, work)
        if (
            expected_time >= time_limit
            or self.system_state.origin.job_count > 4 * self.system_state.origin.slots
        ):
            return None
        return name

    def _fastest(self, names: list[str], pending: PendingRequest, work: float) -> tuple[float, str]:
        times = [
            (self._expected_time(name, work), name) for name in names if name not in pending.tried_servers
        ]
        return min(times, default=(float("inf"), ""))


# Baselines that use only what a router can observe.
BASELINES: dict[str, type[BaselinePolicy]] = {
    "random": RandomChoice,
    "two-choices": TwoChoices,
    "bounded-hash": BoundedHash,
}


def policy_factory(name: str, system_state: SystemState) -> Callable[[api.Settings, int], DecisionModule]:
    """Returns the constructor of the decision module for a policy's name."""
    if name == "router":
        return Balancer
    if name == "oracle":
        return partial(Oracle, system_state=system_state)
    return BASELINES[name]
