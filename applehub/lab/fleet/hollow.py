"""Routers without a data path: each watches the list as a real one does, and does nothing else."""

from collections.abc import Callable
from typing import Protocol

from applehub.lab.live.bench import settings
from applehub.node.discovery import Directory
from applehub.node.driver import Driver
from applehub.node.figures import Figures
from applehub.node.pool import Endpoint, Pools
from applehub.node.watch import Watch
from applehub.policy import Balancer
from applehub.settings import Json, read_names, read_settings

CLIENT_WAIT = 1000  # ms; no client comes
MOST_SOCKETS, DIAL_TIMEOUT, KEEPALIVE = 64, 0.25, 60.0  # of pools that nothing is sent through
ORIGIN_KIND = 1
Took = Callable[[int], None]  # told the version of the list each time that it is taken up


class Caller(Protocol):
    """What asks the service for the list."""

    def start(self) -> None:
        """Begins to ask."""

    def stop(self) -> None:
        """Ends all that it has open."""


MakeCaller = Callable[[Endpoint, int, Took], Caller]  # from the service's endpoint and a seed


class HollowRouter:
    """The program's own watch and directory.

    Where lists are asked for (`must_ask`), its decisions are there too: they say when to ask again after a
    failure. Elsewhere nothing reads what the directory tells, and one process bears more routers."""

    def __init__(self, endpoint: Endpoint, seed: int, took: Took, must_ask: bool = False) -> None:
        told = {**settings(CLIENT_WAIT), "registryMode": "on_request" if must_ask else "pushed"}
        pools = Pools(MOST_SOCKETS, DIAL_TIMEOUT, KEEPALIVE)
        self.driver: Driver | None = None
        if must_ask:
            self.driver = Driver(Balancer(read_settings(told), seed), pools, 1, Figures())
        tell = self.driver.tell if self.driver else lambda members: None
        self.directory = Directory(read_names(told), ORIGIN_KIND, pools, tell)
        self.directory.took = lambda answer, whole: took(self.directory.rev)
        self.watch = Watch([endpoint], self.directory, seed, must_ask)
        if self.driver:
            self.driver.watch = self.watch.start

    def start(self) -> None:
        self.watch.start()

    def stop(self) -> None:
        if self.driver:
            self.driver.watch = lambda: None
        self.watch.stop()


def entries(servers: int) -> list[Json]:
    """A list of cache servers and the origin, none of which is ever dialled."""
    return [
        {
            "uid": f"cache-{number}" if number else "origin",
            "endpoint": f"127.0.0.1:{number + 1}",
            "az": "here",
            "model": "cache" if number else "origin",
            "pod_group": 0,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for number in range(servers + 1)
    ]
