"""Start times of cache servers while wall clocks are stepped: slow start has its usual duration."""

import time
from dataclasses import dataclass
from typing import Any

import pytest
from router_bench import entry, info
from support import Router, settings

from applehub import interface as api
from applehub.node.discovery import Directory
from applehub.node.pool import Pools
from applehub.node.start_times import MAX_LIST_DELAY, MAX_UNLISTED, ClockReading, StartTimes
from applehub.settings import read_names

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
SLOW_START_DURATION = 10  # seconds, as in `support.settings`
CLOCK_STEPS = [3, -3, 3_600, -3_600]  # seconds


@dataclass
class Clocks:
    """The clocks of a router and of the list service.

    skew_here, skew_there: seconds by which the wall clock of the router and of the list service is ahead of
    real time.
    """

    now: int = 100 * NS_PER_S  # real time in ns, which is also the router's monotonic time
    skew_here: int = 0
    skew_there: int = 0

    def wait(self, seconds: float) -> None:
        self.now += int(seconds * NS_PER_S)

    def step(self, where: str, seconds: int) -> None:
        if where in ("here", "both"):
            self.skew_here += seconds
        if where in ("there", "both"):
            self.skew_there += seconds

    def wall(self) -> int:
        return 1_790_000_000 * NS_PER_S + self.now + self.skew_here * NS_PER_S

    def boot_ms(self) -> int:
        """Returns the Unix time in ms that the list service would record for a start at this moment."""
        return (1_790_000_000 * NS_PER_S + self.now + self.skew_there * NS_PER_S) // NS_PER_MS


class DirectoryHarness:
    """A directory and the router policy that it notifies."""

    def __init__(self, clocks: Clocks, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clocks = clocks
        monkeypatch.setattr(time, "time_ns", clocks.wall)
        monkeypatch.setattr(time, "monotonic_ns", lambda: clocks.now)
        self.router = Router(settings(), members=[])
        self.directory = Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), self._notify)
        self.rev = 1

    def _notify(self, event: api.Members) -> None:
        self.router.now = self.clocks.now
        self.router.deliver(event)

    def apply_list(self, start_times: dict[str, int], full: bool = False, cached: bool = False) -> None:
        self.rev += 1
        targets = [entry(name, "127.0.0.1:1", boot_ms=start_ms) for name, start_ms in start_times.items()]
        self.directory.apply({"rev": self.rev, "all": full, "targets": targets}, cached)

    def apply_unchanged(self) -> None:
        """Applies a response without changes."""
        self.directory.apply({"rev": self.rev, "all": False, "targets": []})

    def age(self, name: str) -> float:
        """Returns the seconds since the start of a server according to the balancer."""
        return (self.clocks.now - self.router.balancer.server_table.servers[name].warming_since) / NS_PER_S

    def warm_capacity(self, name: str) -> float:
        self.router.balancer.context.now = self.clocks.now
        server_table = self.router.balancer.server_table
        return server_table.warm_capacity(server_table.servers[name])


@pytest.mark.parametrize("seconds", CLOCK_STEPS)
@pytest.mark.parametrize("where", ["here", "there", "both"])
@pytest.mark.parametrize("before_start", [True, False], ids=["step, start", "start, step"])
@pytest.mark.parametrize("known", [True, False], ids=["known server", "new server"])
def test_start_between_lists_is_dated_between_them_despite_clock_steps(
    monkeypatch: pytest.MonkeyPatch, seconds: int, where: str, before_start: bool, known: bool
) -> None:
    """A clock is stepped and a server restarts, in either order, between two lists.

    The start is dated between the lists, so that slow start lasts exactly as long as configured.
    """
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    harness.apply_list({"c0": clocks.boot_ms() - 500_000, **({"c1": 0} if known else {})}, full=True)
    clocks.wait(30)
    harness.apply_unchanged()
    clocks.wait(0.5)
    if before_start:
        clocks.step(where, seconds)
    start_ms = clocks.boot_ms()
    if not before_start:
        clocks.step(where, seconds)
    clocks.wait(0.5)
    harness.apply_list({"c1": start_ms})
    assert 0 <= harness.age("c1") < 1
    assert 0 < harness.warm_capacity("c1") < 0.4
    clocks.wait(SLOW_START_DURATION - 1)
    assert harness.warm_capacity("c1") < 1
    clocks.wait(1)
    assert harness.warm_capacity("c1") == 1
    assert harness.warm_capacity("c0") == 1  # servers that were listed before are not affected by the step


@pytest.mark.parametrize("seconds", CLOCK_STEPS)
@pytest.mark.parametrize("where", ["here", "there", "both"])
def test_relisted_start_keeps_its_time_despite_clock_steps(
    monkeypatch: pytest.MonkeyPatch, seconds: int, where: str
) -> None:
    """A start that is listed again after a clock step is the same start, and its connections stay open."""
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    start_ms = clocks.boot_ms()
    clocks.wait(4)
    harness.apply_list({"c0": start_ms}, full=True)
    close_times: list[float] = []
    pool = harness.directory.pools.pools["c0"]
    monkeypatch.setattr(pool, "close_opened_before", close_times.append)
    clocks.step(where, seconds)
    clocks.wait(1)
    harness.apply_list({"c0": start_ms})
    harness.apply_list({"c0": start_ms}, full=True)
    assert close_times == [] and harness.age("c0") == 5
    harness.apply_list({}, full=True)
    clocks.wait(1)
    harness.apply_list({"c0": start_ms})
    assert harness.age("c0") == 6


def test_start_is_exact_if_clocks_agree(monkeypatch: pytest.MonkeyPatch) -> None:
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    clocks.wait(20)
    harness.apply_list({"c0": clocks.boot_ms() - 7_000}, full=True)  # a start before the first list
    assert harness.age("c0") == 7
    clocks.wait(1)
    start_ms = clocks.boot_ms()
    clocks.wait(0.25)
    harness.apply_list({"c0": start_ms})
    assert harness.age("c0") == 0.25


@pytest.mark.parametrize("seconds", CLOCK_STEPS)
def test_cached_list_does_not_limit_start(monkeypatch: pytest.MonkeyPatch, seconds: int) -> None:
    """A start may be older than the process if the only earlier list is a cached one of unknown age."""
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    clocks.step("both", seconds)
    start_ms = clocks.boot_ms()
    clocks.wait(40)
    harness.apply_list({"c0": 0}, cached=True)
    clocks.wait(1)
    harness.apply_list({"c0": start_ms})
    assert harness.age("c0") == 41 and harness.warm_capacity("c0") == 1


@pytest.mark.parametrize(("where", "seconds"), [("here", -3_600), ("there", 3_600), ("here", -3)])
def test_future_start_in_first_list_counts_as_now(
    monkeypatch: pytest.MonkeyPatch, where: str, seconds: int
) -> None:
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    clocks.step(where, seconds)
    start_ms = clocks.boot_ms()
    clocks.wait(1)
    harness.apply_list({"c0": start_ms}, cached=True)
    assert harness.age("c0") == 0
    clocks.wait(SLOW_START_DURATION)
    harness.apply_unchanged()
    assert harness.warm_capacity("c0") == 1


def test_restart_with_earlier_unix_time_counts_as_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A restart with an earlier Unix time than the known start shows that a clock was stepped."""
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    harness.apply_list({"c0": clocks.boot_ms() - 60_000}, cached=True)
    clocks.step("there", -3_600)
    clocks.wait(5)
    start_ms = clocks.boot_ms()
    clocks.wait(1)
    harness.apply_list({"c0": start_ms})
    assert harness.age("c0") == 0


def test_new_start_closes_older_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = Clocks()
    harness = DirectoryHarness(clocks, monkeypatch)
    harness.apply_list({"c0": clocks.boot_ms()}, full=True)
    close_times: list[float] = []
    monkeypatch.setattr(harness.directory.pools.pools["c0"], "close_opened_before", close_times.append)
    clocks.wait(50)
    harness.apply_list({"c0": 0})
    assert close_times == []
    clocks.step("here", 3_600)  # by the stepped clock, the next start is an hour old
    start_ms = clocks.boot_ms()
    clocks.wait(1)
    harness.apply_list({"c0": start_ms})
    # The response before may have lacked a start that had happened, so the bound by it is earlier.
    assert close_times == [pytest.approx(150 - MAX_LIST_DELAY / NS_PER_S, abs=1e-6)]
    clocks.step("here", -3_600)
    start_ms, started_at = clocks.boot_ms(), clocks.now / NS_PER_S
    clocks.wait(4)
    harness.apply_unchanged()
    clocks.wait(1)
    harness.apply_list({"c0": start_ms})
    assert close_times[1:] == [pytest.approx(started_at, abs=2e-3)]  # the start, of which the list tells late


def test_starts_of_unlisted_servers_are_limited() -> None:
    starts, now = StartTimes(), ClockReading(100 * NS_PER_S, 100 * NS_PER_S)
    listed: dict[str, Any] = {f"kept{number}": None for number in range(10)}
    for name in (*listed, *(f"gone{number}" for number in range(MAX_UNLISTED))):
        starts.convert(name, 99_000, now)
    starts.forget_unlisted(listed, len(listed))
    assert len(starts._starts) == MAX_UNLISTED + 10
    starts.convert("one more", 99_000, now)
    starts.forget_unlisted(listed, len(listed))
    assert len(starts._starts) == MAX_UNLISTED // 2 + 10
    assert set(listed) < set(starts._starts) and "one more" in starts._starts
