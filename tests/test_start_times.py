"""Starts of cache servers, told in Unix time, while wall clocks are stepped: slow start neither ends early
nor lasts for an hour."""

import time
from dataclasses import dataclass
from typing import Any

import pytest
from peers import entry, info
from support import Router, settings

from applehub import interface as api
from applehub.node.discovery import Directory
from applehub.node.pool import Pools
from applehub.node.start_times import MAX_UNLISTED, ClockReading, StartTimes
from applehub.settings import read_names

SECOND = 1_000_000_000
NS_PER_MS = 1_000_000
RAMP = 10  # s, of `support.settings`
STEPS = [3, -3, 3_600, -3_600]  # s


@dataclass
class Clocks:
    """The clocks of a router and of the list service's machine, stepped by hand.

    skew_here, skew_there: by how much each wall clock is ahead of real time (s).
    """

    now: int = 100 * SECOND  # real time, and the monotonic clock here
    skew_here: int = 0
    skew_there: int = 0

    def wait(self, seconds: float) -> None:
        self.now += int(seconds * SECOND)

    def step(self, where: str, seconds: int) -> None:
        if where in ("here", "both"):
            self.skew_here += seconds
        if where in ("there", "both"):
            self.skew_there += seconds

    def wall(self) -> int:
        return 1_790_000_000 * SECOND + self.now + self.skew_here * SECOND

    def boot_ms(self) -> int:
        """What the list service would write for a start at this moment."""
        return (1_790_000_000 * SECOND + self.now + self.skew_there * SECOND) // NS_PER_MS


class Told:
    """A directory and the decisions that it feeds."""

    def __init__(self, clocks: Clocks, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clocks = clocks
        monkeypatch.setattr(time, "time_ns", clocks.wall)
        monkeypatch.setattr(time, "monotonic_ns", lambda: clocks.now)
        self.router = Router(settings(), members=[])
        self.directory = Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), self._tell)
        self.rev = 1

    def _tell(self, event: api.Members) -> None:
        self.router.now = self.clocks.now
        self.router.tell(event)

    def list(self, boots: dict[str, int], whole: bool = False, cached: bool = False) -> None:
        self.rev += 1
        targets = [entry(name, "127.0.0.1:1", boot_ms=boot) for name, boot in boots.items()]
        self.directory.apply({"rev": self.rev, "all": whole, "targets": targets}, cached)

    def unchanged(self) -> None:
        """The list service answers that nothing has changed."""
        self.directory.apply({"rev": self.rev, "all": False, "targets": []})

    def age(self, name: str) -> float:
        """Seconds for which the decisions hold that a server has been warming up."""
        return (self.clocks.now - self.router.balancer.roster.servers[name].cold_since) / SECOND

    def warmth(self, name: str) -> float:
        self.router.balancer.turn.now = self.clocks.now
        roster = self.router.balancer.roster
        return roster.warmth(roster.servers[name])


@pytest.mark.parametrize("seconds", STEPS)
@pytest.mark.parametrize("where", ["here", "there", "both"])
@pytest.mark.parametrize("before_start", [True, False], ids=["step, start", "start, step"])
@pytest.mark.parametrize("known", [True, False], ids=["known server", "new server"])
def test_a_start_between_two_lists_is_dated_between_them_whatever_wall_clocks_do(
    monkeypatch: pytest.MonkeyPatch, seconds: int, where: str, before_start: bool, known: bool
) -> None:
    """Set up: a list; a clock is stepped and a server starts anew, in either order; the next list tells it.
    Expected: the start lies between the two lists, and the server is warm after its ramp and not earlier."""
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    told.list({"c0": clocks.boot_ms() - 500_000, **({"c1": 0} if known else {})}, whole=True)
    clocks.wait(30)
    told.unchanged()
    clocks.wait(0.5)
    if before_start:
        clocks.step(where, seconds)
    started = clocks.boot_ms()
    if not before_start:
        clocks.step(where, seconds)
    clocks.wait(0.5)
    told.list({"c1": started})
    assert 0 <= told.age("c1") < 1
    assert 0 < told.warmth("c1") < 0.4
    clocks.wait(RAMP - 1)
    assert told.warmth("c1") < 1
    clocks.wait(1)
    assert told.warmth("c1") == 1
    assert told.warmth("c0") == 1  # the step tells nothing of servers that were known


@pytest.mark.parametrize("seconds", STEPS)
@pytest.mark.parametrize("where", ["here", "there", "both"])
def test_a_start_keeps_its_time_over_later_lists_whatever_wall_clocks_do(
    monkeypatch: pytest.MonkeyPatch, seconds: int, where: str
) -> None:
    """Set up: a server started 4 s before the first list; the clock is stepped; the same start is listed
    again, changed, dropped and listed anew. Expected: one start, and connections that are up stay."""
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    boot = clocks.boot_ms()
    clocks.wait(4)
    told.list({"c0": boot}, whole=True)
    forgotten: list[float] = []
    pool = told.directory.pools.pools["c0"]
    monkeypatch.setattr(pool, "close_opened_before", forgotten.append)
    clocks.step(where, seconds)
    clocks.wait(1)
    told.list({"c0": boot})
    told.list({"c0": boot}, whole=True)
    assert forgotten == [] and told.age("c0") == 5
    told.list({}, whole=True)
    clocks.wait(1)
    told.list({"c0": boot})
    assert told.age("c0") == 6


def test_where_clocks_agree_a_start_has_its_exact_time(monkeypatch: pytest.MonkeyPatch) -> None:
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    clocks.wait(20)
    told.list({"c0": clocks.boot_ms() - 7_000}, whole=True)  # in the first list of the process
    assert told.age("c0") == 7
    clocks.wait(1)
    started = clocks.boot_ms()
    clocks.wait(0.25)
    told.list({"c0": started})
    assert told.age("c0") == 0.25


@pytest.mark.parametrize("seconds", STEPS)
def test_a_list_that_the_process_was_handed_does_not_bound_a_start(
    monkeypatch: pytest.MonkeyPatch, seconds: int
) -> None:
    """A cached list may be days old: a start that the first answer adds to it may be older than the process.
    Both clocks were stepped before, so that the wall clock tells its age."""
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    clocks.step("both", seconds)
    started = clocks.boot_ms()
    clocks.wait(40)
    told.list({"c0": 0}, cached=True)
    clocks.wait(1)
    told.list({"c0": started})
    assert told.age("c0") == 41 and told.warmth("c0") == 1


@pytest.mark.parametrize(("where", "seconds"), [("here", -3_600), ("there", 3_600), ("here", -3)])
def test_a_start_in_the_future_of_a_process_with_no_list_before_counts_as_now(
    monkeypatch: pytest.MonkeyPatch, where: str, seconds: int
) -> None:
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    clocks.step(where, seconds)
    started = clocks.boot_ms()
    clocks.wait(1)
    told.list({"c0": started}, cached=True)
    assert told.age("c0") == 0
    clocks.wait(RAMP)
    told.unchanged()
    assert told.warmth("c0") == 1


def test_a_start_that_is_told_as_older_than_the_one_known_counts_as_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Set up: a cached list; the list service's clock goes back by an hour; the server starts anew, which the
    first answer tells. No answer bounds the start, but the clock was evidently stepped."""
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    told.list({"c0": clocks.boot_ms() - 60_000}, cached=True)
    clocks.step("there", -3_600)
    clocks.wait(5)
    started = clocks.boot_ms()
    clocks.wait(1)
    told.list({"c0": started})
    assert told.age("c0") == 0


def test_a_new_start_drops_the_connections_opened_before_it_and_long_ago_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = Clocks()
    told = Told(clocks, monkeypatch)
    told.list({"c0": clocks.boot_ms()}, whole=True)
    forgotten: list[float] = []
    monkeypatch.setattr(told.directory.pools.pools["c0"], "close_opened_before", forgotten.append)
    clocks.wait(50)
    told.list({"c0": 0})
    assert forgotten == []
    clocks.step("here", 3_600)  # by the new clock the start was an hour ago
    started = clocks.boot_ms()
    clocks.wait(1)
    told.list({"c0": started})
    assert forgotten == [pytest.approx(150, abs=1e-6)]  # the answer before, not an hour ago


def test_starts_of_servers_that_left_are_remembered_up_to_a_bound() -> None:
    starts, now = StartTimes(), ClockReading(100 * SECOND, 100 * SECOND)
    listed: dict[str, Any] = {f"kept{number}": None for number in range(10)}
    for name in (*listed, *(f"gone{number}" for number in range(MAX_UNLISTED))):
        starts.since(name, 99_000, now)
    starts.forget_unlisted(listed, len(listed))
    assert len(starts._starts) == MAX_UNLISTED + 10
    starts.since("one more", 99_000, now)
    starts.forget_unlisted(listed, len(listed))
    assert len(starts._starts) == MAX_UNLISTED // 2 + 10
    assert set(listed) < set(starts._starts) and "one more" in starts._starts
