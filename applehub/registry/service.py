"""The HTTP service of a replica: one address for routers (`/api/targets`), another one for writers and
operators."""

import asyncio
import contextlib

from aiohttp import web

from applehub.events import EventKind, EventWriter
from applehub.node.discovery import read_endpoint
from applehub.registry.admin_api import AdminApi
from applehub.registry.config import Config
from applehub.registry.host import Host
from applehub.registry.lease_watch import LeaseWatch
from applehub.registry.list_api import ListApi
from applehub.registry.listener import Listener
from applehub.registry.lock_api import LockApi
from applehub.registry.metrics import Metrics

MAX_BODY = 1 << 16  # maximum bytes of a request body
KEEPALIVE = 75.0  # seconds that an idle connection stays open; longer than a long poll
SHUTDOWN_TIMEOUT = 0.5  # seconds that requests in progress may take at shutdown


class Service:
    """Serves the HTTP APIs of one replica."""

    def __init__(self, config: Config, host: Host, events: EventWriter) -> None:
        """Creates the APIs without listening. Requires a running event loop."""
        self.config = config
        self.host = host
        self.events = events
        metrics = Metrics()
        self.lease_watch = LeaseWatch(config.leases, host, events)
        self.list_api = ListApi(config, host, events, metrics)
        self.admin_api = AdminApi(config, self.list_api, metrics, self.lease_watch.leases)
        self.lock_api = LockApi(host, self.admin_api.replies)
        self._logged_version = host.endpoints.version  # version up to which changes are logged
        self._listeners: list[Listener] = []
        self._runners: list[web.AppRunner] = []
        self._lease_task: asyncio.Task[None] | None = None
        host.on_new_version = self._on_new_version

    def update_config(self, config: Config) -> None:
        """Applies the settings that may change at run time: views, limits, leases."""
        self.config = config
        self.list_api.update_config(config)
        self.lease_watch.update_config(config.leases)

    async def start(self) -> tuple[str, str]:
        """Starts the listeners; returns the address for routers and the one for writers. Raises OSError."""
        admin_application = web.Application(client_max_size=MAX_BODY)
        self.admin_api.add_routes(admin_application.router)
        self.lock_api.add_routes(admin_application.router)
        router_address = await self._listen(self.list_api.application(), self.config.listen)
        admin_address = await self._listen(admin_application, self.config.staff)
        self._lease_task = asyncio.get_running_loop().create_task(self.lease_watch.run())
        return router_address, admin_address

    async def _listen(self, application: web.Application, address: str) -> str:
        runner = web.AppRunner(
            application,
            access_log=None,
            keepalive_timeout=KEEPALIVE,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        await runner.setup()
        self._runners.append(runner)
        assert runner.server is not None
        listener = Listener(read_endpoint(address), runner.server)
        self._listeners.append(listener)
        host, port = listener.address
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Answers all long polls and closes the listeners and connections."""
        if self._lease_task is not None:
            self._lease_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._lease_task
        self.list_api.end_watches()
        for listener in self._listeners:
            listener.close()
        for runner in self._runners:
            await runner.cleanup()

    def _on_new_version(self) -> None:
        """Logs the changes if this replica is the leader, and wakes waiting long polls."""
        endpoints = self.host.endpoints
        if self.host.is_lease_holder():
            for change in endpoints.changes:
                if change.version > self._logged_version and change.uid in endpoints.entries:
                    state = endpoints.entries[change.uid].state
                    self.events.write(
                        EventKind.LIST_CHANGED, version=change.version, server=change.uid, state=state
                    )
        self._logged_version = endpoints.version
        self.list_api.watchers.wake()
