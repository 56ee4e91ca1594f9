"""Stand-in process for the list service, with versions, long polls and a limited call rate.

The stand-in identifies a router by its source address, and returns the endpoints of that router's edges."""

import asyncio
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.control import Handler, Json
from applehub.lab.live.fake_servers import Reply, connection_with_peer_address

MAX_QUEUE_S = 1.0  # a call that would wait longer is rejected


class ListServiceStandin:
    """The server list and its changes."""

    def __init__(self, message: Json, events: EventWriter) -> None:
        self.events, self.sources, self.endpoints = events, message["sources"], message["endpoints"]
        self.entries: dict[str, Json] = {entry["uid"]: entry for entry in message["entries"]}
        self.version: int = message["version"]
        self.changed: dict[str, int] = message["changed"]  # version of the latest change, by server
        self.rate, self.idle_at, self.overloaded = message["rate"], 0.0, False
        self.loop = asyncio.get_running_loop()
        self.changed_event = asyncio.Event()

    async def command(self, message: Json) -> Json:
        """Executes a command of the harness.

        state, touch: changes the entry of a server; state returns the complete list, touch only the version.
        overload: starts or stops answering all calls with 503."""
        if message["do"] == "overload":
            self.overloaded = message["on"]
        elif message["do"] in ("state", "touch"):
            self.version += 1
            for name, value in message["entry"].items():
                self.entries[message["server"]][name] = value
            self.changed[message["server"]] = self.version
            state = self.entries[message["server"]]["state"]
            self.events.write(
                EventKind.LIST_CHANGED, version=self.version, server=message["server"], state=state
            )
            changed_event, self.changed_event = self.changed_event, asyncio.Event()
            changed_event.set()
        if message["do"] == "touch":  # the caller needs no copy of the list
            return {"version": self.version}
        return {"version": self.version, "changed": self.changed, "entries": list(self.entries.values())}

    async def answer(self, address: str, request: h11.Request) -> Reply:
        router = self.sources.get(address, "")
        query = parse_qs(urlsplit(request.target.decode()).query)
        since = int(query["from"][0]) if "from" in query else None
        self.events.write(EventKind.LIST_POLLED, router=router, since=since)
        starts_at = max(self.idle_at, self.loop.time())
        if self.overloaded or starts_at - self.loop.time() > MAX_QUEUE_S:
            return Reply(503, b"")
        self.idle_at = starts_at + 1 / self.rate
        await asyncio.sleep(starts_at - self.loop.time())
        full = since is None or since > self.version
        if since is not None and not full:
            deadline = self.loop.time() + min(60.0, int(query.get("hold_ms", ["0"])[0]) / 1000)
            while self.version <= since and (remaining := deadline - self.loop.time()) > 0:
                try:
                    await asyncio.wait_for(self.changed_event.wait(), remaining)
                except TimeoutError:
                    break
        names = [
            name
            for name, entry in self.entries.items()
            if (entry["state"] != "Gone" if full else self.changed.get(name, 0) > (since or 0))
        ]
        states = {name: self.entries[name]["state"] for name in names}
        self.events.write(EventKind.LIST_SENT, router=router, version=self.version, whole=full, states=states)
        targets = [
            {**self.entries[name], "endpoint": self.endpoints.get(router, {}).get(name, "")} for name in names
        ]
        return Reply(200, orjson.dumps({"rev": self.version, "all": full, "targets": targets}))


async def begin(message: Json) -> tuple[Json, Handler]:
    list_service = ListServiceStandin(
        message, EventWriter(Path(message["events"]), message["name"], message["incarnation"])
    )
    server = await asyncio.get_running_loop().create_server(
        lambda: connection_with_peer_address(list_service.answer), "127.0.0.1", 0, backlog=512
    )
    return {"address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}, list_service.command
