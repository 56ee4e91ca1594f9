"""Starts fake servers and one router process, runs a load through it, and measures the process."""

import asyncio
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson
import psutil

from applehub.lab.clock import MILLI, SECOND
from applehub.lab.live.client import LoadGenerator, LoadResult, LoadSpec
from applehub.lab.live.fake_servers import Counts, Plan, run_fake_servers
from applehub.node.discovery import read_endpoint
from applehub.node.resp import command
from applehub.settings import Json

READY_TIMEOUT = 20.0  # s; for the fake servers and the router to start
MB = 1 << 20
SAMPLE_INTERVAL = 0.2  # s; interval between samples of the router's process


class LiveError(RuntimeError):
    """Raised if the fake servers or the router did not start, or exited."""


def settings(wait_ms: int, routers: int = 1) -> Json:
    """Returns router settings with two request classes, an origin, and endpoint lists on request."""
    deadline = wait_ms * MILLI
    classes = [
        {"name": "read", "aim": deadline // 2, "deadline": deadline, "effect": "safe"},
        {
            "name": "put",
            "aim": deadline // 2,
            "deadline": deadline,
            "effect": "keyed",
            "repeatWindow": 2 * SECOND,
        },
    ]
    return {
        "azs": ["here"],
        "hostTypes": ["cache", "origin"],
        "balancers": routers,
        "ceilings": {"attemptsCap": 4, "dialTimeout": SECOND // 4, "keepalive": 10 * SECOND},
        "classes": classes,
        "registryMode": "on_request",
        "safety": {"coldFrom": 0.12, "rampTime": 24 * SECOND, "tipMultiple": 2.5, "fall": 2 * SECOND},
        "specifics": {"mode": "aside", "originKind": 1},
    }


@dataclass(slots=True)
class ResourceUsage:
    """Resource usage of the router's process."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0
    most_memory_mb: float = 0.0
    descriptors: int = 0
    most_descriptors: int = 0


class RouterProcess:
    """A router process started by its command line, with this interpreter and environment."""

    def __init__(self, config: Json, folder: Path) -> None:
        self.path = folder / "config.json"
        self.path.write_bytes(orjson.dumps(config))
        self.log = folder / "router.log"
        scratch = folder / "tmp"
        scratch.mkdir()
        package_root = str(Path(__file__).parents[3])
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self.path),
            "TMPDIR": str(scratch),
            "PYTHONPATH": os.pathsep.join(filter(None, [package_root, os.environ.get("PYTHONPATH")])),
        }
        for name in ("BALANCER_CONSOLE", "BALANCER_INHERITED_FD"):
            environment.pop(name, None)
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([sys.executable, "-m", "applehub"], env=environment, stderr=log)
        self.process_info = psutil.Process(self.process.pid)
        self.usage = ResourceUsage()

    def sample(self) -> ResourceUsage:
        """Measures the process; raises LiveError if it has exited."""
        if self.process.poll() is not None:
            output = self.log.read_text()[-500:]
            raise LiveError(f"the router exited with code {self.process.returncode}: {output}")
        times, usage = self.process_info.cpu_times(), self.usage
        usage.cpu_s = times.user + times.system
        usage.memory_mb = self.process_info.memory_info().rss / MB
        usage.descriptors = self.process_info.num_fds()
        usage.most_memory_mb = max(usage.most_memory_mb, usage.memory_mb, self._peak_mb())
        usage.most_descriptors = max(usage.most_descriptors, usage.descriptors)
        return usage

    def _peak_mb(self) -> float:
        """Returns the peak resident memory of the process; 0 where the system does not report it."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024  # kB
        return 0.0

    def stop(self) -> int:
        """Sends SIGTERM, then SIGKILL after 10 s; returns the exit code."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.process.kill()
        return self.process.wait()


def address(endpoint: tuple[str, int]) -> str:
    return f"{endpoint[0]}:{endpoint[1]}"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


class Deployment:
    """Fake servers in a separate process, and a router process in front of them."""

    def __init__(self, folder: Path, plan: Plan, wait_ms: int, routers: int = 1) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, child_pipe = context.Pipe()
        self.fake_servers = context.Process(target=run_fake_servers, args=(child_pipe, plan), daemon=True)
        self.fake_servers.start()
        if not self.pipe.poll(READY_TIMEOUT):
            raise LiveError("the fake servers did not start")
        child_pipe.close()
        try:
            discovery, self.targets = self.pipe.recv()
        except EOFError:
            raise LiveError("the fake servers exited; see their output on standard error") from None
        self.listen, self.console = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
        config = {
            "name": "demo",
            "listen": address(self.listen),
            "console": address(self.console),
            "discovery": discovery,
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": self.targets},
            "settings": settings(wait_ms, routers),
        }
        self.router = RouterProcess(config, folder)

    @property
    def cache_addresses(self) -> list[tuple[str, int]]:
        return [read_endpoint(entry["endpoint"]) for entry in self.targets if entry["model"] == "cache"]

    def counts(self) -> Counts:
        self.pipe.send("counts")
        counts: Counts = self.pipe.recv()
        return counts

    def replace(self, fraction: float, duration: float) -> None:
        """Requests, without waiting, the replacement of a fraction of the cache servers over `duration` s."""
        self.pipe.send((fraction, duration))

    def stop(self) -> int:
        code = self.router.stop()
        with suppress(OSError):  # the fake servers have exited already
            self.pipe.send("end")
        self.fake_servers.join(5)
        if self.fake_servers.is_alive():
            self.fake_servers.kill()
        return code


@contextmanager
def deploy(plan: Plan, wait_ms: int, routers: int = 1) -> Iterator[Deployment]:
    """Starts a deployment and stops it on exit from the context."""
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        deployment = Deployment(Path(folder), plan, wait_ms, routers)
        try:
            yield deployment
        finally:
            deployment.stop()


async def wait_until_ready(deployment: Deployment) -> float:
    """Waits until the router answers PING; returns the time taken, s. Raises LiveError on timeout."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while loop.time() - started_at < READY_TIMEOUT:
        deployment.router.sample()
        try:
            if await send_command(deployment.listen, command(b"PING")) == b"+PONG\r\n":
                return loop.time() - started_at
        except OSError:
            pass  # the router does not listen yet
        await asyncio.sleep(0.01)
    raise LiveError(f"the router was not ready within {READY_TIMEOUT:.0f} s")


async def send_command(address: tuple[str, int], command_bytes: bytes) -> bytes:
    """Sends a command on a new connection and returns the first bytes of the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(command_bytes)
        return await asyncio.wait_for(reader.read(1 << 16), 5)
    finally:
        writer.close()


async def read_metrics(deployment: Deployment) -> dict[str, str]:
    """Returns the metrics that the console's DUMP command prints."""
    reader, writer = await asyncio.open_connection(*deployment.console)
    writer.write(b"DUMP\n")
    lines = (await asyncio.wait_for(reader.read(), 5)).decode().splitlines()
    writer.close()
    return dict(line.split("=", 1) for line in lines if "=" in line)


@dataclass(slots=True)
class LoadTestReport:
    """Results of a load test, through the router and directly to the cache servers."""

    through: LoadResult
    direct: LoadResult
    usage: ResourceUsage
    cpu_before: float  # CPU time of the router before the load, s
    counts: Counts

    @property
    def cpu_us_per_request(self) -> float:
        """CPU time of the router per request, in µs."""
        return (self.usage.cpu_s - self.cpu_before) / max(1, self.through.asked) * 1e6

    def as_json(self) -> Json:
        def result_json(result: LoadResult) -> dict[str, Any]:
            return {
                **{
                    name: getattr(result, name)
                    for name in ("asked", "served", "refused", "failed", "unanswered")
                },
                **{
                    name: result.percentile_ms(percentile)
                    for name, percentile in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9))
                },
            }

        usage = self.usage
        return {
            "through": result_json(self.through),
            "direct": result_json(self.direct),
            "router": {
                "us_a_request": round(self.cpu_us_per_request, 1),
                "memory_mb": round(usage.memory_mb, 1),
                "most_memory_mb": round(usage.most_memory_mb, 1),
                "descriptors": usage.descriptors,
                "most_descriptors": usage.most_descriptors,
            },
            "caches": {"hits": self.counts.hits, "misses": self.counts.misses},
            "origin": {"reads": self.counts.reads, "writes": self.counts.writes},
        }


async def _sample_periodically(deployment: Deployment) -> None:
    while True:
        deployment.router.sample()
        await asyncio.sleep(SAMPLE_INTERVAL)


async def run_through_router(deployment: Deployment, load: LoadSpec) -> LoadResult:
    """Runs the load through the router, and samples the router's process during the run."""
    sampler = asyncio.create_task(_sample_periodically(deployment))
    try:
        return await LoadGenerator(load, [deployment.listen]).run()
    finally:
        sampler.cancel()


async def run_load_test(deployment: Deployment, load: LoadSpec) -> LoadTestReport:
    """Runs reads directly against the cache servers, then the load through the router."""
    await wait_until_ready(deployment)
    direct_load = replace(load, seconds=min(load.seconds, 3.0), write_part=0.0, seed=load.seed + 1)
    direct = await LoadGenerator(direct_load, deployment.cache_addresses).run()
    cpu_before, counts_before = deployment.router.sample().cpu_s, deployment.counts()
    result, counts = await run_through_router(deployment, load), deployment.counts()
    counts_added = {name: getattr(counts, name) - getattr(counts_before, name) for name in Counts.__slots__}
    return LoadTestReport(result, direct, deployment.router.sample(), cpu_before, Counts(**counts_added))
