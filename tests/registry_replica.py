"""Runs one replica of the list service in the process of the test."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from applehub.events import EventWriter
from applehub.registry.config import parse
from applehub.registry.host import Host, HostOptions
from applehub.registry.service import Service
from applehub.registry.store import ReplicaStore


@dataclass
class Replica:
    """A running single replica, and a client session for requests to it."""

    host: Host
    service: Service
    session: aiohttp.ClientSession
    list_address: str
    admin_address: str

    async def request(self, method: str, path: str, body: object = None) -> tuple[int, Any]:
        async with self.session.request(method, f"http://{self.admin_address}{path}", json=body) as response:
            return response.status, await response.json()

    async def get_list(self, query: str = "") -> tuple[int, Any]:
        async with self.session.get(f"http://{self.list_address}/api/targets{query}") as response:
            return response.status, await response.json() if response.status == 200 else None


@asynccontextmanager
async def run_replica(directory: Path, compact_after: int = 2000) -> AsyncIterator[Replica]:
    """Runs a single replica and yields it once it is the leader.

    compact_after: applied log entries after which the log is compacted."""
    config = parse("x", {"name": "a", "state_dir": str(directory / "a"), "leases": {"look_ms": 20}})
    host = Host(HostOptions(0, compact_after=compact_after), ReplicaStore(config.state_dir))
    with (directory / "events").open("wb") as events:
        service = Service(config, host, EventWriter(events, "a", 0))
        await host.start()
        list_address, admin_address = await service.start()
        async with asyncio.timeout(60), aiohttp.ClientSession() as session:
            while not host.is_lease_holder():
                await asyncio.sleep(0.01)
            yield Replica(host, service, session, list_address, admin_address)
        await service.stop()
        await host.stop()
