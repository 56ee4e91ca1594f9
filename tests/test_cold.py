"""What a cold server is sent by all routers together: of each alone it may be little, and the sum counts."""

import math
from collections.abc import Callable

import pytest
from click.testing import CliRunner
from support import SECOND, START, Router, settings

from applehub import interface as api
from applehub.lab import cold
from applehub.lab.__main__ import main
from applehub.lab.servers import bound_of
from applehub.policy.rates import Bank

FLOW, SERVERS = 100.0, 4  # requests a second of the whole fleet; cache servers
STEP = SECOND // 10


class Fleet:
    """Routers that share the traffic evenly, and one server that starts cold now."""

    def __init__(self, count: int) -> None:
        options = settings(balancers=count, cold_from=0.2, fall_time=SECOND)
        self.routers = [Router(options, seed=seed) for seed in range(count)]
        self.now = START
        fresh = api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)])
        for router in self.routers:
            router.tell(fresh)

    def step(self, demand: int) -> int:
        """A tenth of a second, with so many requests for the cold server at each router; how many go out."""
        self.now += STEP
        sent = 0
        for router in self.routers:
            turn, roster = router.balancer.turn, router.balancer.roster
            turn.now = self.now
            roster.flow.add(self.now, FLOW / len(self.routers) * STEP / SECOND)
            for _ in range(demand):
                sent += router.balancer.placement._in_budget(roster.servers["c1"], SERVERS)
        return sent

    def budget(self) -> float:
        """What the settings allow a server that bears the mean flow, in the rule's window."""
        options = self.routers[0].balancer.settings
        age = (self.now - START) / options.ramp_time
        warmth = min(1.0, options.cold_from + (1 - options.cold_from) * age)
        return options.tip_multiple * FLOW / SERVERS * warmth * options.fall_time / SECOND


@pytest.mark.parametrize("count", [5, 20, 30, 200])
@pytest.mark.parametrize("quiet", [0.5, 2.0, 6.0])
def test_traffic_that_turns_to_a_cold_server_everywhere_at_once_stays_within_its_budget(
    count: int, quiet: float
) -> None:
    """Each router had saved up to two tokens, and all of them spent what they had in one window."""
    fleet = Fleet(count)
    for _ in range(int(quiet * SECOND / STEP)):
        fleet.step(0)
    sent = [fleet.step(8) for _ in range(10)]
    assert sum(sent) <= bound_of(fleet.budget())


@pytest.mark.parametrize("count", [5, 30, 200])
def test_a_token_that_is_drawn_for_is_not_lost_on_average(count: int) -> None:
    fleet = Fleet(count)
    for _ in range(20):
        fleet.step(2)
    due = 0.0
    sent = 0
    for _ in range(60):
        sent += fleet.step(2)
        due += fleet.budget() / fleet.routers[0].balancer.settings.tip_multiple * STEP / SECOND
    assert abs(sent - due) <= 4 * math.sqrt(due) + 0.15 * due


def test_routers_that_restart_and_forget_what_they_spent_stay_within_the_budget() -> None:
    fleet = Fleet(30)
    for _ in range(20):
        fleet.step(4)
    sent = 0
    for part in range(10):  # a tenth of them at a time, through one window
        for at in range(part * 3, part * 3 + 3):
            again = Router(fleet.routers[at].balancer.settings, seed=100 + at)
            again.now = fleet.now
            again.tell(api.Members(api.ListKind.DELTA, [api.Member("c1", since=START)]))
            fleet.routers[at] = again
        sent += fleet.step(8)
    assert sent <= bound_of(fleet.budget())


@pytest.mark.parametrize(
    ("most", "luck", "given"),
    [
        (0.4, lambda: 0.39, True),
        (0.4, lambda: 0.41, False),
        (1.0, lambda: 0.0, True),
        (1.5, lambda: 0.0, True),
    ],
)
def test_a_bank_too_small_for_a_token_gives_one_by_the_part_it_holds(
    most: float, luck: Callable[[], float], given: bool
) -> None:
    bank = Bank(0.0)
    assert bank.take(10 * SECOND, 1.0, most, luck()) is given
    assert bank.tokens == (0.0 if most < 1 else most - 1)
    assert not bank.take(10 * SECOND, 1.0, most, luck())


def test_the_lab_measures_the_sum_beside_its_bound() -> None:
    done = CliRunner().invoke(main, ["cold", "--sizes", "2", "--seeds", "1", "--jobs", "2"])
    assert done.exit_code in (0, 1) and all(day in done.output for day in cold.DAYS)
    windows = cold.play("join", 2, 1, 0.6)
    assert windows and all(0 < one.part < 2 and one.budget > 0 for one in windows)
    bad = CliRunner().invoke(main, ["cold", "--sizes", "many"])
    assert bad.exit_code == 2 and "--sizes: expected numbers from 1 to 400" in bad.output
