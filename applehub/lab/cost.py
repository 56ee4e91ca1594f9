"""Measures the CPU time of the decision module for a request and its outcome, by fleet size."""

import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from applehub import interface as api
from applehub.lab.clock import MILLI, SECOND
from applehub.lab.spec import Scenario, router_settings
from applehub.lab.streams import RandomStream
from applehub.policy import Balancer
from applehub.settings import read_settings

IN_FLIGHT = 8  # requests in flight
KEYS = 4000  # distinct keys requested
RESPONSE_TIME = 40 * MILLI  # ns; simulated time of an attempt


@dataclass(frozen=True, slots=True)
class Cost:
    """One row of the table: CPU time for a request and its outcome, in µs."""

    servers: int
    requests: int
    microseconds: float


def measure(servers: int, count: int) -> Cost:
    """Measures `count` reads that hit the cache, on a warm fleet of two machine types, without I/O."""
    settings, random = read_settings(router_settings(Scenario())), RandomStream(1, "cost")
    balancer, now = Balancer(settings, 1), 0
    members = [api.Member(f"s-{number:08x}", kind=number % 2) for number in range(servers)]
    balancer.handle(now, api.Members(api.ListKind.FULL, members))
    in_flight: list[tuple[str, str]] = []
    started_at = time.process_time_ns()
    for number in range(count):
        now += RESPONSE_TIME // IN_FLIGHT
        name = f"{number:016x}"
        request = api.Request(name, 0, now + SECOND, f"{random.below(KEYS):016x}")
        for action in balancer.handle(now, request):
            if isinstance(action, api.Send):
                in_flight.append((name, action.server))
        if len(in_flight) > IN_FLIGHT:
            name, server = in_flight.pop(0)
            balancer.handle(now, api.Outcome(name, 0, server, api.Status.OK, True, RESPONSE_TIME, 1))
    return Cost(servers, count, (time.process_time_ns() - started_at) / count / 1000)


def table(count: int, sizes: Sequence[int]) -> Iterator[Cost]:
    """Yields a row for each number of servers, after a run that warms up the process."""
    measure(sizes[0], count // 10 + 1)
    for servers in sizes:
        yield measure(servers, count)
