"""Client of the replicas of the list service; it retries a change until a replica has committed it."""

import asyncio
from typing import Any

import aiohttp

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.processes import RegistryProcess
from applehub.lab.live.bench import LiveError

COMMIT_TIMEOUT_S = 60.0
CALL_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
RETRY_DELAY_S = 0.05
Json = dict[str, Any]


class RegistryReplicas:
    """The replicas of the list service, and operator calls to them."""

    def __init__(self, replicas: list[RegistryProcess], events: EventWriter) -> None:
        self.replicas, self.events = replicas, events
        self.session: aiohttp.ClientSession | None = None
        self.last_committer: RegistryProcess | None = None

    async def call(self, replica: RegistryProcess, method: str, path: str, body: Json | None = None) -> Any:
        """Returns the HTTP status and the JSON body of the answer; None if the call fails."""
        if self.session is None:
            self.session = aiohttp.ClientSession(timeout=CALL_TIMEOUT)
        try:
            async with self.session.request(method, f"http://{replica.staff}{path}", json=body) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def primary(self) -> RegistryProcess:
        """Waits for a replica that reports itself as primary. Raises LiveError after a timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + COMMIT_TIMEOUT_S
        while loop.time() < end:
            for replica in self.replicas:
                response = await self.call(replica, "GET", "/v1/status") if replica.running else None
                if response is not None and response[1].get("primary"):
                    return replica
            await asyncio.sleep(RETRY_DELAY_S)
        raise LiveError(f"no primary of the list service within {COMMIT_TIMEOUT_S:.0f} s")

    async def change(self, method: str, path: str, body: Json) -> None:
        """Commits a change and records the acknowledgement. Raises LiveError."""
        response = await self.commit(method, path, body)
        server = path.split("/")[3]
        self.events.write(
            EventKind.CHANGE_ACKNOWLEDGED, server=server, entry=response["entry"], version=response["version"]
        )

    async def commit(self, method: str, path: str, body: Json) -> Json:
        """Sends a call to each replica in turn, the last successful one first, until one commits it.

        Returns the reply. Raises LiveError on a timeout, or if a replica answers 400, 404 or 409."""
        loop = asyncio.get_running_loop()
        end = loop.time() + COMMIT_TIMEOUT_S
        while loop.time() < end:
            for replica in sorted(self.replicas, key=lambda replica: replica is not self.last_committer):
                response = await self.call(replica, method, path, body) if replica.running else None
                if response is not None and response[0] == 200:
                    self.last_committer = replica
                    answer: Json = response[1]
                    return answer
                if response is not None and response[0] in (400, 404, 409):
                    raise LiveError(f"{method} {path}: rejected with {response}")
            await asyncio.sleep(RETRY_DELAY_S)
        raise LiveError(f"{method} {path}: not committed within {COMMIT_TIMEOUT_S:.0f} s")

    async def record_entries(self) -> None:
        """Records the version of each entry at the primary. Raises LiveError."""
        primary = await self.primary()
        response = await self.call(primary, "GET", "/v1/servers")
        if response is None:
            raise LiveError(f"{primary.name}: GET /v1/servers failed")
        servers = {entry["uid"]: entry["version"] for entry in response[1]["servers"]}
        self.events.write(
            EventKind.ENTRIES_HELD, of=primary.name, version=response[1]["version"], servers=servers
        )

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
