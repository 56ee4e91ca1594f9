"""Routers without a data path, which watch the server list with the code of a real router."""

from collections.abc import Callable
from typing import Protocol

from applehub.lab.live.bench import settings
from applehub.node.discovery import Directory
from applehub.node.driver import Driver
from applehub.node.metrics import Metrics
from applehub.node.pool import Endpoint, Pools
from applehub.node.watch import Watch
from applehub.policy import Balancer
from applehub.settings import Json, read_names, read_settings

CLIENT_WAIT_MS = 1000
MAX_SOCKETS, DIAL_TIMEOUT_S, KEEPALIVE_S = 64, 0.25, 60.0  # settings of connection pools that send nothing
ORIGIN_KIND = 1
OnApplied = Callable[[int], None]  # called with the version of each applied list


class Caller(Protocol):
    """A client of the list service."""

    def start(self) -> None:
        """Starts to send calls."""

    def stop(self) -> None:
        """Stops the client and closes its connections."""


# Creates a caller from the endpoint of the list service, a seed and the callback.
CallerFactory = Callable[[Endpoint, int, OnApplied], Caller]


class WatchOnlyRouter:
    """Runs the watch and the directory of a real router.

    With `list_on_request` it also runs the router's policy, which decides when to poll again after a
    failure. Otherwise the policy is left out, so that one process can run more routers."""

    def __init__(
        self, endpoint: Endpoint, seed: int, on_applied: OnApplied, list_on_request: bool = False
    ) -> None:
        router_settings = {
            **settings(CLIENT_WAIT_MS),
            "registryMode": "on_request" if list_on_request else "pushed",
        }
        pools = Pools(MAX_SOCKETS, DIAL_TIMEOUT_S, KEEPALIVE_S)
        self.driver: Driver | None = None
        if list_on_request:
            self.driver = Driver(Balancer(read_settings(router_settings), seed), pools, 1, Metrics())
        notify = self.driver.notify if self.driver else lambda members: None
        self.directory = Directory(read_names(router_settings), ORIGIN_KIND, pools, notify)
        self.directory.on_update = lambda answer, complete: on_applied(self.directory.rev)
        self.watch = Watch([endpoint], self.directory, seed, list_on_request)
        if self.driver:
            self.driver.start_watch = self.watch.start

    def start(self) -> None:
        self.watch.start()

    def stop(self) -> None:
        if self.driver:
            self.driver.start_watch = lambda: None
        self.watch.stop()


def list_entries(servers: int) -> list[Json]:
    """Returns list entries of an origin and `servers` cache servers; nothing connects to their endpoints."""
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
