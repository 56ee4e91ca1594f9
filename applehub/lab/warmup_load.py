"""Measures the load that all routers together send to a server that warms up, against the rule's bound."""

import itertools
import os
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import click
from rich.console import Console
from rich.table import Table

from applehub.lab.command_errors import report_errors
from applehub.lab.servers import request_bound
from applehub.lab.simulation_run import build_simulation
from applehub.lab.sizes import counts
from applehub.lab.spec import parse_experiment
from applehub.settings import Json

JOIN = {"kind": "join", "at_s": 8, "for_s": 7, "part": 0.6}
BURST = {"kind": "burst", "at_s": 12, "for_s": 10, "factor": 1.5}
SCENARIOS: dict[str, list[Json]] = {  # fault schedules that may cause an overload
    "join": [JOIN],
    "burst": [JOIN, BURST],
    "uneven": [
        JOIN,
        {"kind": "shift", "at_s": 10, "for_s": 12},
        {"kind": "hot_key", "at_s": 10, "for_s": 12},
    ],
    "restarts": [JOIN, {"kind": "roll_routers", "at_s": 8, "for_s": 16}],
    "kill": [JOIN, BURST, {"kind": "kill_routers", "at_s": 14, "part": 0.7}],
    "late lists": [JOIN, {"kind": "discovery", "at_s": 9, "for_s": 6, "down": True}],
    "breaks": [JOIN, {"kind": "breaks", "at_s": 6, "for_s": 18, "lost": 0.02, "reset": 0.05}],
    "zone": [{"kind": "zone_loss", "at_s": 6, "for_s": 4}, BURST],
}


@dataclass(frozen=True, slots=True)
class PeakWindow:
    """The window of one warming server with the highest load relative to its bound, in requests of mean
    work."""

    sent: float
    budget: float

    @property
    def ratio(self) -> float:
        """The load relative to the bound; a value over 1 exceeds the bound."""
        return self.sent / request_bound(self.budget)


def simulate(scenario: str, routers: int, seed: int, load: float) -> list[PeakWindow]:
    """Simulates a scenario; returns the peak window of each server that warmed up, in server order."""
    servers = max(15, round(routers * 0.6))
    raw = {
        "name": "cold", "seconds": 34, "topology": {"routers": routers, "servers": servers},
        "workload": {"load": load}, "faults": SCENARIOS[scenario],
    }  # fmt: skip
    simulation = build_simulation(parse_experiment(scenario, raw)[1][0][1], "router", seed)
    simulation.run()
    return [PeakWindow(*server.peak_load) for server in simulation.all_servers if server.peak_load[1] > 0]


def _tasks(sizes: Sequence[int], seeds: range, load: float) -> Iterator[tuple[str, int, int, float]]:
    return itertools.product(SCENARIOS, sizes, seeds, [load])


def _simulate(task: tuple[str, int, int, float]) -> tuple[str, int, list[PeakWindow]]:
    return task[0], task[1], simulate(*task)


def table(
    sizes: Sequence[int], seeds: range, load: float, jobs: int
) -> dict[tuple[str, int], list[PeakWindow]]:
    """Returns all peak windows by scenario and number of routers."""
    results: dict[tuple[str, int], list[PeakWindow]] = {
        (scenario, size): [] for scenario in SCENARIOS for size in sizes
    }
    with ProcessPoolExecutor(jobs) as pool:
        for scenario, size, windows in pool.map(_simulate, _tasks(sizes, seeds, load)):
            results[scenario, size] += windows
    return results


@click.command("cold")
@click.option(
    "--sizes", type=counts(1, 400, "5,30"), default="5,20,30,200", show_default=True,
    help="Numbers of routers.",
)  # fmt: skip
@click.option("--seeds", type=click.IntRange(1, 1000), default=5, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="First seed.")
@click.option("--load", type=click.FloatRange(0.05, 1.5), default=0.6, show_default=True)
@click.option("--jobs", type=click.IntRange(1), default=None, help="Parallel processes [all cores].")
@report_errors
def cold(sizes: tuple[int, ...], seeds: int, first: int, load: float, jobs: int | None) -> None:
    """Measures the load that warming servers receive from all routers, per server in its peak window, against
    the bound N + 2 sqrt(N) + 2. Exits with code 1 if a server received more."""
    results = table(sizes, range(first, first + seeds), load, jobs or os.cpu_count() or 1)
    output = Table(
        "scenario", "routers", "cold servers", "peak / bound, median", "p99", "max", "sent, N", "over"
    )
    total_exceeded = 0
    for (scenario, size), windows in results.items():
        ratios = sorted(window.ratio for window in windows)
        peak = max(windows, key=lambda window: window.ratio)
        exceeded = sum(ratio > 1 for ratio in ratios)
        total_exceeded += exceeded
        output.add_row(
            scenario, str(size), str(len(ratios)), f"{ratios[len(ratios) // 2]:.2f}",
            f"{ratios[len(ratios) * 99 // 100]:.2f}", f"{ratios[-1]:.2f}",
            f"{peak.sent:.1f}, {peak.budget:.1f}", str(exceeded),
        )  # fmt: skip
    Console(width=110).print(output)
    raise SystemExit(1 if total_exceeded else 0)
