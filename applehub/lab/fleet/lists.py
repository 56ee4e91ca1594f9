"""The project's list service on the ground: its replicas, and a writer that takes no for an answer only
once."""

import asyncio
from typing import Any

import aiohttp

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.processes import RegistryProcess
from applehub.lab.live.bench import LiveError

PATIENCE = 60.0  # s until a change must be agreed on, whatever is down
CALL = aiohttp.ClientTimeout(total=2.0)
PAUSE = 0.05  # s between calls that were not agreed on
Json = dict[str, Any]


class Lists:
    """The replicas and what staff asks of them."""

    def __init__(self, replicas: list[RegistryProcess], events: EventWriter) -> None:
        self.replicas, self.events = replicas, events
        self.session: aiohttp.ClientSession | None = None
        self.agreeing: RegistryProcess | None = None

    async def call(self, replica: RegistryProcess, method: str, path: str, body: Json | None = None) -> Any:
        """Status and answer; None where there is none."""
        if self.session is None:
            self.session = aiohttp.ClientSession(timeout=CALL)
        try:
            async with self.session.request(method, f"http://{replica.staff}{path}", json=body) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def primary(self) -> RegistryProcess:
        """Waits for a replica that says it is primary. Raises LiveError."""
        loop = asyncio.get_running_loop()
        end = loop.time() + PATIENCE
        while loop.time() < end:
            for replica in self.replicas:
                told = await self.call(replica, "GET", "/v1/status") if replica.running else None
                if told is not None and told[1].get("primary"):
                    return replica
            await asyncio.sleep(PAUSE)
        raise LiveError(f"no primary of the list service in {PATIENCE:.0f} s")

    async def change(self, method: str, path: str, body: Json) -> None:
        """Has a change made, and writes down that it was. Raises LiveError."""
        told = await self.agreed(method, path, body)
        server = path.split("/")[3]
        self.events.write(
            EventKind.CHANGE_ACKNOWLEDGED, server=server, entry=told["entry"], version=told["version"]
        )

    async def agreed(self, method: str, path: str, body: Json) -> Json:
        """Asks every replica in turn, first the one that agreed last, until one says that it is done: a
        primary that loses the lead tells its callers to ask again.

        Raises LiveError where none does, or one says that it never will."""
        loop = asyncio.get_running_loop()
        end = loop.time() + PATIENCE
        while loop.time() < end:
            for replica in sorted(self.replicas, key=lambda one: one is not self.agreeing):
                told = await self.call(replica, method, path, body) if replica.running else None
                if told is not None and told[0] == 200:
                    self.agreeing = replica
                    answer: Json = told[1]
                    return answer
                if told is not None and told[0] in (400, 404, 409):
                    raise LiveError(f"{method} {path}: {told}")
            await asyncio.sleep(PAUSE)
        raise LiveError(f"{method} {path}: not agreed on in {PATIENCE:.0f} s")

    async def held(self) -> None:
        """Writes down what the primary holds."""
        primary = await self.primary()
        told = await self.call(primary, "GET", "/v1/servers")
        if told is None:
            raise LiveError(f"{primary.name} does not tell its entries")
        servers = {one["uid"]: one["version"] for one in told[1]["servers"]}
        self.events.write(
            EventKind.ENTRIES_HELD, of=primary.name, version=told[1]["version"], servers=servers
        )

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
