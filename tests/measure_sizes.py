"""Measures the cost of large fleets for one router: `PYTHONPATH=. python tests/measure_sizes.py [RUNS]`.

Each run is a separate process. Prints Markdown tables with the median, the minimum and the maximum of the
runs. Times are processor time of the process, so that other work on the machine has little influence."""

import asyncio
import gc
import json
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from statistics import median

import psutil
from popularity_trials import run_trial
from router_bench import entry, info
from support import MILLI, SECOND

from applehub import interface as api
from applehub.node.discovery import Directory
from applehub.node.driver import Driver
from applehub.node.metrics import Metrics
from applehub.node.pool import Pools
from applehub.peers.agent import GossipAgent
from applehub.peers.codec import Peer, PeerState
from applehub.peers.records import RETENTION, Limit, Record, Shares, Verdict, digest
from applehub.policy import Balancer
from applehub.policy.keys import MAX_ASSIGNMENTS
from applehub.settings import read_names, read_settings

RUNS = 5
SERVERS = (16, 200, 1024, 3200)
HOT_KEY_SERVERS = (16, 300, 1024, 3200)
MEMBERS = (65, 260, 520, 1024)
REQUESTS = 5000
LIST_UPDATES = 20
LATER_REQUESTS = 60_000  # requests after the first ones, for the detection of hot keys
TICKS = 100
MEGABYTE, KILOBYTE = 1 << 20, 1 << 10
Measurements = dict[str, float]


def cpu_seconds(function: Callable[[], object]) -> float:
    """Returns the seconds of processor time that a call of a function takes."""
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


def resident_mb() -> float:
    """Returns the resident memory of the process in MB."""
    gc.collect()
    return float(psutil.Process().memory_info().rss / MEGABYTE)


async def measure_list(servers: int) -> Measurements:
    """Measures the cost of a list in the directory, the pools and the policy of one router."""
    settings = read_settings({**info(), "balancers": servers})
    driver = Driver(Balancer(settings, 1), Pools(64, 0.25, 60.0), 100, Metrics())
    directory = Directory(read_names(info()), 1, driver.pools, driver.notify)
    listed = [entry(f"c{number}", f"10.0.{number // 200}.{number % 200}:6379") for number in range(servers)]
    body = json.dumps({"rev": 1, "all": True, "targets": listed}).encode()
    rss_without_list = resident_mb()
    full_update = cpu_seconds(lambda: directory.apply(json.loads(body)))
    rss_with_list = resident_mb()

    def apply_updates() -> None:
        for number in range(LIST_UPDATES):
            state = ("Terminating", "Ready")[number % 2]
            directory.apply({"rev": 2 + number, "all": False, "targets": [{**listed[0], "state": state}]})

    return {
        "list, kB": len(body) / KILOBYTE,
        "RSS without, MB": rss_without_list,
        "RSS with the list, MB": rss_with_list,
        "whole list, ms": full_update * 1e3,
        "one delta, ms": cpu_seconds(apply_updates) / LIST_UPDATES * 1e3,
    }


async def measure_memory(servers: int) -> Measurements:
    """Measures the memory for one list, and for the maximum number of lists that the policy stores."""
    settings = read_settings({**info(), "balancers": servers})
    listed = [entry(f"c{number}", f"10.0.{number // 200}.{number % 200}:6379") for number in range(servers)]
    body = json.dumps({"rev": 1, "all": True, "targets": listed})
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    balancer = Balancer(settings, 1)
    driver = Driver(balancer, Pools(64, 0.25, 60.0), 100, Metrics())
    directory = Directory(read_names(info()), 1, driver.pools, driver.notify)
    directory.apply(json.loads(body))
    gc.collect()
    one_list = tracemalloc.get_traced_memory()[0] - memory_before
    for number in range(4 * MAX_ASSIGNMENTS):
        state = ("Terminating", "Ready")[number % 2]
        directory.apply({"rev": 2 + number, "all": False, "targets": [{**listed[0], "state": state}]})
    gc.collect()
    many_lists = tracemalloc.get_traced_memory()[0] - memory_before
    assert len(balancer.server_table.ranges.assignments) == MAX_ASSIGNMENTS
    return {
        "held, kB": one_list / KILOBYTE,
        f"with {MAX_ASSIGNMENTS} lists remembered, kB": many_lists / KILOBYTE,
    }


def measure_decisions(servers: int) -> Measurements:
    """Measures the processor time per request that needs only one attempt."""
    settings = read_settings({**info(), "balancers": servers})
    balancer = Balancer(settings, 1)
    balancer.handle(SECOND, api.Members(api.ListKind.FULL, [api.Member(f"c{n}") for n in range(servers)]))

    def serve_requests() -> None:
        now = 100 * SECOND
        for number in range(REQUESTS):
            now += MILLI
            request = api.Request(f"r{number}", 0, now + 10 * SECOND, f"k{number % 977}")
            (send,) = [action for action in balancer.handle(now, request) if isinstance(action, api.Send)]
            outcome = api.Outcome(send.id, 0, send.server, api.Status.OK, True, MILLI)
            balancer.handle(now + MILLI // 2, outcome)

    return {"a request and its answer, us": cpu_seconds(serve_requests) / REQUESTS * 1e6}


def measure_hot_keys(servers: int) -> Measurements:
    """Measures how many requests for hot keys are detected, and how many are falsely detected."""
    first, later = run_trial(servers, LATER_REQUESTS, range(1, 6))
    return {
        "for hot keys, %": later.hot / later.requests * 100,
        "found of the first 500, %": first.detected_fraction * 100,
        "falsely taken of these, %": first.false_fraction * 100,
        "found later, %": later.detected_fraction * 100,
        "falsely taken later, %": later.false_fraction * 100,
    }


def measure_peers(members: int) -> Measurements:
    """Measures memory and tick time of a gossip agent without and with verdicts on `members` servers."""
    local_peer = Peer(members, 0, PeerState.ALIVE, bytes(4), 1, "n0")
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    agent = GossipAgent(local_peer, "fleet", [], 1, 50 * MILLI)
    for number in range(1, members):
        peer = Peer(number, 0, PeerState.ALIVE, number.to_bytes(4), 1, f"n{number}")
        agent.membership.merge(SECOND, peer)
    for writer in range(1, members):
        agent.store.merge(Record(writer, 0, 1, SECOND, Limit(10.0, 5.0)))
        agent.store.merge(Record(writer, 0, 1, SECOND, Shares(((1, 0.5), (2, 0.5)))))
    with_records = tracemalloc.get_traced_memory()[0] - memory_before
    for number in range(members):
        for writer in range(1, RETENTION[Verdict].max_writers + 1):
            agent._merge(Record(writer, digest(f"c{number}"), 1, SECOND, Verdict(True, 1)))
    with_verdicts = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()

    def run_ticks() -> None:
        for _ in range(TICKS):
            agent.tick(SECOND)

    tick_with_verdicts = cpu_seconds(run_ticks) / TICKS * 1e3
    view_with_verdicts = cpu_seconds(lambda: agent.view(SECOND)) * 1e3
    agent.store.expire(100 * SECOND)
    agent.pending_records.clear()
    return {
        "members and their records, kB": with_records / KILOBYTE,
        "with all servers accused, kB": with_verdicts / KILOBYTE,
        "one tick, ms": cpu_seconds(run_ticks) / TICKS * 1e3,
        "one tick with all accused, ms": tick_with_verdicts,
        "one look with all accused, ms": view_with_verdicts,
    }


MEASURES: dict[str, tuple[tuple[int, ...], Callable[[int], Measurements]]] = {
    "servers on the list": (SERVERS, lambda size: asyncio.run(measure_list(size))),
    "servers held": (SERVERS, lambda size: asyncio.run(measure_memory(size))),
    "servers decided among": (SERVERS, measure_decisions),
    "servers that keys are hot for": (HOT_KEY_SERVERS, measure_hot_keys),
    "routers": (MEMBERS, measure_peers),
}


def run_in_subprocess(name: str, size: int) -> Measurements:
    """Runs one measurement in a separate process."""
    command = [sys.executable, __file__, name, str(size)]
    measured: Measurements = json.loads(subprocess.run(command, capture_output=True, check=True).stdout)
    return measured


def format_values(values: list[float]) -> str:
    return f"{median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def main(runs: int) -> None:
    for name, (sizes, _) in MEASURES.items():
        rows = {size: [run_in_subprocess(name, size) for _ in range(runs)] for size in sizes}
        columns = list(rows[sizes[0]][0])
        print(f"| {name} | {' | '.join(columns)} |")
        print("|---" * (len(columns) + 1) + "|")
        for size, results in rows.items():
            cells = [format_values([result[column] for result in results]) for column in columns]
            print(f"| {size} | {' | '.join(cells)} |")
        print()


if __name__ == "__main__":
    if len(sys.argv) == 3:
        print(json.dumps(MEASURES[sys.argv[1]][1](int(sys.argv[2]))))
    else:
        main(int(sys.argv[1]) if len(sys.argv) == 2 else RUNS)
