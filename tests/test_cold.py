"""Tests that all routers together stay within the request budget of a server that warms up."""

import math
from collections.abc import Callable

import pytest
from click.testing import CliRunner
from support import SECOND, START, Router, settings

from applehub import interface as api
from applehub.lab import warmup_load
from applehub.lab.__main__ import main
from applehub.lab.servers import request_bound
from applehub.policy.rates import TokenBucket

FLEET_RATE, SERVERS = 100.0, 4  # requests/s of all routers; number of cache servers
STEP = SECOND // 10


class Fleet:
    """Routers that share the traffic evenly, and a cache server that starts to warm up."""

    def __init__(self, count: int) -> None:
        options = settings(router_count=count, slow_start_capacity=0.2, overload_window=SECOND)
        self.routers = [Router(options, seed=seed) for seed in range(count)]
        self.now = START
        update = api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)])
        for router in self.routers:
            router.deliver(update)

    def step(self, demand: int) -> int:
        """Advances by STEP, offers each router `demand` requests for the server; returns the number sent."""
        self.now += STEP
        sent = 0
        for router in self.routers:
            context, server_table = router.balancer.context, router.balancer.server_table
            context.now = self.now
            server_table.request_rate.add(self.now, FLEET_RATE / len(self.routers) * STEP / SECOND)
            for _ in range(demand):
                sent += router.balancer.placement._take_warmup_token(server_table.servers["c1"], SERVERS)
        return sent

    def budget(self) -> float:
        """Returns the request budget of the warming server within the overload window."""
        options = self.routers[0].balancer.settings
        age = (self.now - START) / options.slow_start_time
        capacity = min(1.0, options.slow_start_capacity + (1 - options.slow_start_capacity) * age)
        return options.overload_factor * FLEET_RATE / SERVERS * capacity * options.overload_window / SECOND


@pytest.mark.parametrize("count", [5, 20, 30, 200])
@pytest.mark.parametrize("idle_time", [0.5, 2.0, 6.0])
def test_simultaneous_burst_of_all_routers_stays_within_the_budget(count: int, idle_time: float) -> None:
    """Guards against an overload by routers that spend their saved tokens in the same window."""
    fleet = Fleet(count)
    for _ in range(int(idle_time * SECOND / STEP)):
        fleet.step(0)
    sent = [fleet.step(8) for _ in range(10)]
    assert sum(sent) <= request_bound(fleet.budget())


@pytest.mark.parametrize("count", [5, 30, 200])
def test_mean_number_of_requests_sent_matches_the_budget(count: int) -> None:
    fleet = Fleet(count)
    for _ in range(20):
        fleet.step(2)
    expected = 0.0
    sent = 0
    for _ in range(60):
        sent += fleet.step(2)
        expected += fleet.budget() / fleet.routers[0].balancer.settings.overload_factor * STEP / SECOND
    assert abs(sent - expected) <= 4 * math.sqrt(expected) + 0.15 * expected


def test_restarted_routers_stay_within_the_budget() -> None:
    fleet = Fleet(30)
    for _ in range(20):
        fleet.step(4)
    sent = 0
    for group in range(10):  # a tenth of the routers restarts in each step of one window
        for index in range(group * 3, group * 3 + 3):
            restarted = Router(fleet.routers[index].balancer.settings, seed=100 + index)
            restarted.now = fleet.now
            restarted.deliver(api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)]))
            fleet.routers[index] = restarted
        sent += fleet.step(8)
    assert sent <= request_bound(fleet.budget())


@pytest.mark.parametrize(
    ("capacity", "random_value", "granted"),
    [
        (0.4, lambda: 0.39, True),
        (0.4, lambda: 0.41, False),
        (1.0, lambda: 0.0, True),
        (1.5, lambda: 0.0, True),
    ],
)
def test_bucket_below_one_token_grants_with_proportional_probability(
    capacity: float, random_value: Callable[[], float], granted: bool
) -> None:
    bucket = TokenBucket(0.0)
    assert bucket.take(10 * SECOND, 1.0, capacity, random_value()) is granted
    assert bucket.tokens == (0.0 if capacity < 1 else capacity - 1)
    assert not bucket.take(10 * SECOND, 1.0, capacity, random_value())


def test_cold_command_measures_the_load_against_the_bound() -> None:
    result = CliRunner().invoke(main, ["cold", "--sizes", "2", "--seeds", "1", "--jobs", "2"])
    assert result.exit_code in (0, 1) and all(scenario in result.output for scenario in warmup_load.SCENARIOS)
    windows = warmup_load.simulate("join", 2, 1, 0.6)
    assert windows and all(0 < window.ratio < 2 and window.budget > 0 for window in windows)
    invalid = CliRunner().invoke(main, ["cold", "--sizes", "many"])
    assert invalid.exit_code == 2 and "--sizes: expected numbers from 1 to 400" in invalid.output
