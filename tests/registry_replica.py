"""One replica of the list service in a test's own process."""

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
    """A group of one, in this process."""

    host: Host
    service: Service
    session: aiohttp.ClientSession
    listen: str
    staff: str

    async def ask(self, method: str, path: str, body: object = None) -> tuple[int, Any]:
        async with self.session.request(method, f"http://{self.staff}{path}", json=body) as answer:
            return answer.status, await answer.json()

    async def targets(self, query: str = "") -> tuple[int, Any]:
        async with self.session.get(f"http://{self.listen}/api/targets{query}") as answer:
            return answer.status, await answer.json() if answer.status == 200 else None


@asynccontextmanager
async def replica(folder: Path, compact_after: int = 2000) -> AsyncIterator[Replica]:
    """A replica that leads its own group. compact_after: entries of its log."""
    config = parse("x", {"name": "a", "state_dir": str(folder / "a"), "leases": {"look_ms": 20}})
    host = Host(HostOptions(0, compact_after=compact_after), ReplicaStore(config.state_dir))
    with (folder / "events").open("wb") as events:
        service = Service(config, host, EventWriter(events, "a", 0))
        await host.start()
        listen, staff = await service.start()
        async with asyncio.timeout(60), aiohttp.ClientSession() as session:
            while not host.is_lease_holder():
                await asyncio.sleep(0.01)
            yield Replica(host, service, session, listen, staff)
        await service.stop()
        await host.stop()
