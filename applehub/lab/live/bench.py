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
from applehub.lab.live.client import Load, Player, Seen
from applehub.lab.live.standins import Counts, Plan, host
from applehub.node.discovery import read_endpoint
from applehub.node.resp import command
from applehub.settings import Json

READY_WITHIN = 20.0  # s
MB = 1 << 20
SAMPLE = 0.2  # s between samples of the router's process


class LiveError(RuntimeError):
    """Raised if the fake servers or the router did not start, or exited."""


def settings(wait_ms: int, routers: int = 1) -> Json:
    """Returns router settings: two classes, misses fetched from the origin, endpoint lists on request."""
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
class Use:
    """Resource usage of the router's process."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0
    most_memory_mb: float = 0.0
    descriptors: int = 0
    most_descriptors: int = 0


class RouterProcess:
    """A router process started by its command line, with this interpreter and environment."""

    def __init__(self, told: Json, folder: Path) -> None:
        self.path = folder / "config.json"
        self.path.write_bytes(orjson.dumps(told))
        self.log = folder / "router.log"
        scratch = folder / "tmp"
        scratch.mkdir()
        here = str(Path(__file__).parents[3])
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self.path),
            "TMPDIR": str(scratch),
            "PYTHONPATH": os.pathsep.join(filter(None, [here, os.environ.get("PYTHONPATH")])),
        }
        for name in ("BALANCER_CONSOLE", "BALANCER_INHERITED_FD"):
            environment.pop(name, None)
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([sys.executable, "-m", "applehub"], env=environment, stderr=log)
        self.watched = psutil.Process(self.process.pid)
        self.use = Use()

    def sample(self) -> Use:
        """Measures the process; raises LiveError if it has exited."""
        if self.process.poll() is not None:
            said = self.log.read_text()[-500:]
            raise LiveError(f"the router exited with code {self.process.returncode}: {said}")
        times, use = self.watched.cpu_times(), self.use
        use.cpu_s = times.user + times.system
        use.memory_mb = self.watched.memory_info().rss / MB
        use.descriptors = self.watched.num_fds()
        use.most_memory_mb = max(use.most_memory_mb, use.memory_mb, self._peak_mb())
        use.most_descriptors = max(use.most_descriptors, use.descriptors)
        return use

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


def address(where: tuple[str, int]) -> str:
    return f"{where[0]}:{where[1]}"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as one:
        port: int = one.getsockname()[1]
        return port


class Site:
    """Fake servers in a separate process, and a router process in front of them."""

    def __init__(self, folder: Path, plan: Plan, wait_ms: int, routers: int = 1) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.standins = context.Process(target=host, args=(theirs, plan), daemon=True)
        self.standins.start()
        if not self.pipe.poll(READY_WITHIN):
            raise LiveError("the fake servers did not start")
        theirs.close()
        try:
            discovery, self.targets = self.pipe.recv()
        except EOFError:
            raise LiveError("the fake servers exited; see their output on standard error") from None
        self.listen, self.console = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
        told = {
            "name": "demo",
            "listen": address(self.listen),
            "console": address(self.console),
            "discovery": discovery,
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": self.targets},
            "settings": settings(wait_ms, routers),
        }
        self.router = RouterProcess(told, folder)

    @property
    def caches(self) -> list[tuple[str, int]]:
        return [read_endpoint(one["endpoint"]) for one in self.targets if one["model"] == "cache"]

    def counts(self) -> Counts:
        self.pipe.send("counts")
        counts: Counts = self.pipe.recv()
        return counts

    def replace(self, part: float, within: float) -> None:
        """Starts to replace this fraction of the cache servers over `within` s; returns at once."""
        self.pipe.send((part, within))

    def stop(self) -> int:
        code = self.router.stop()
        with suppress(OSError):  # they have exited already
            self.pipe.send("end")
        self.standins.join(5)
        if self.standins.is_alive():
            self.standins.kill()
        return code


@contextmanager
def site(plan: Plan, wait_ms: int, routers: int = 1) -> Iterator[Site]:
    """Starts a site and stops it on exit from the context."""
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        one = Site(Path(folder), plan, wait_ms, routers)
        try:
            yield one
        finally:
            one.stop()


async def until_ready(one: Site) -> float:
    """Waits until the router answers PING; returns the time taken, s. Raises LiveError on timeout."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < READY_WITHIN:
        one.router.sample()
        try:
            if await say(one.listen, command(b"PING")) == b"+PONG\r\n":
                return loop.time() - began
        except OSError:
            pass  # the router does not listen yet
        await asyncio.sleep(0.01)
    raise LiveError(f"the router was not ready within {READY_WITHIN:.0f} s")


async def say(address: tuple[str, int], words: bytes) -> bytes:
    """Sends a command on a new connection and returns the first bytes of the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(words)
        return await asyncio.wait_for(reader.read(1 << 16), 5)
    finally:
        writer.close()


async def figures(one: Site) -> dict[str, str]:
    """Returns the metrics that the console's DUMP command prints."""
    reader, writer = await asyncio.open_connection(*one.console)
    writer.write(b"DUMP\n")
    lines = (await asyncio.wait_for(reader.read(), 5)).decode().splitlines()
    writer.close()
    return dict(line.split("=", 1) for line in lines if "=" in line)


@dataclass(slots=True)
class Report:
    """Results of a load test, through the router and directly to the cache servers."""

    through: Seen
    direct: Seen
    use: Use
    cpu_before: float
    counts: Counts

    @property
    def microseconds(self) -> float:
        """CPU time of the router for a request."""
        return (self.use.cpu_s - self.cpu_before) / max(1, self.through.asked) * 1e6

    def as_json(self) -> Json:
        def seen(one: Seen) -> dict[str, Any]:
            return {
                **{
                    name: getattr(one, name)
                    for name in ("asked", "served", "refused", "failed", "unanswered")
                },
                **{name: one.at(part) for name, part in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9))},
            }

        use = self.use
        return {
            "through": seen(self.through),
            "direct": seen(self.direct),
            "router": {
                "us_a_request": round(self.microseconds, 1),
                "memory_mb": round(use.memory_mb, 1),
                "most_memory_mb": round(use.most_memory_mb, 1),
                "descriptors": use.descriptors,
                "most_descriptors": use.most_descriptors,
            },
            "caches": {"hits": self.counts.hits, "misses": self.counts.misses},
            "origin": {"reads": self.counts.reads, "writes": self.counts.writes},
        }


async def _sampled(one: Site) -> None:
    while True:
        one.router.sample()
        await asyncio.sleep(SAMPLE)


async def through(one: Site, load: Load) -> Seen:
    """Runs the load through the router and samples its process meanwhile."""
    sampler = asyncio.create_task(_sampled(one))
    try:
        return await Player(load, [one.listen]).play()
    finally:
        sampler.cancel()


async def play(one: Site, load: Load) -> Report:
    """Runs reads directly against the cache servers, then the load through the router."""
    await until_ready(one)
    straight = replace(load, seconds=min(load.seconds, 3.0), write_part=0.0, seed=load.seed + 1)
    direct = await Player(straight, one.caches).play()
    before, counted = one.router.sample().cpu_s, one.counts()
    seen, counts = await through(one, load), one.counts()
    news = {name: getattr(counts, name) - getattr(counted, name) for name in Counts.__slots__}
    return Report(seen, direct, one.router.sample(), before, Counts(**news))
