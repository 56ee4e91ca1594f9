"""Today's stand-in for the list service, as a process: versions, watches, and a bound on calls a second.

It tells each router addresses of its own, and knows a caller by the address that it comes from."""

import asyncio
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from applehub.events import EventKind, EventWriter
from applehub.lab.fleet.control import Handler, Json
from applehub.lab.live.standins import Reply, addressed

PATIENCE = 1.0  # s that a call waits for its turn


class Listing:
    """The list and its changes."""

    def __init__(self, told: Json, events: EventWriter) -> None:
        self.events, self.sources, self.endpoints = events, told["sources"], told["endpoints"]
        self.entries: dict[str, Json] = {one["uid"]: one for one in told["entries"]}
        self.version: int = told["version"]
        self.changed: dict[str, int] = told["changed"]  # by server, the version of its latest change
        self.rate, self.free_at, self.overloaded = told["rate"], 0.0, False
        self.loop = asyncio.get_running_loop()
        self.news = asyncio.Event()

    async def command(self, told: Json) -> Json:
        """state, touch: a server's entry changes (a new start too, with boot_ms). overload: 503 to all, or no
        more."""
        if told["do"] == "overload":
            self.overloaded = told["on"]
        elif told["do"] in ("state", "touch"):
            self.version += 1
            for name, value in told["entry"].items():
                self.entries[told["server"]][name] = value
            self.changed[told["server"]] = self.version
            state = self.entries[told["server"]]["state"]
            self.events.write(
                EventKind.LIST_CHANGED, version=self.version, server=told["server"], state=state
            )
            news, self.news = self.news, asyncio.Event()
            news.set()
        if told["do"] == "touch":  # its caller keeps no copy of the state
            return {"version": self.version}
        return {"version": self.version, "changed": self.changed, "entries": list(self.entries.values())}

    async def answer(self, address: str, request: h11.Request) -> Reply:
        router = self.sources.get(address, "")
        asked = parse_qs(urlsplit(request.target.decode()).query)
        since = int(asked["from"][0]) if "from" in asked else None
        self.events.write(EventKind.LIST_POLLED, router=router, since=since)
        turn = max(self.free_at, self.loop.time())
        if self.overloaded or turn - self.loop.time() > PATIENCE:
            return Reply(503, b"")
        self.free_at = turn + 1 / self.rate
        await asyncio.sleep(turn - self.loop.time())
        whole = since is None or since > self.version
        if since is not None and not whole:
            until = self.loop.time() + min(60.0, int(asked.get("hold_ms", ["0"])[0]) / 1000)
            while self.version <= since and (left := until - self.loop.time()) > 0:
                try:
                    await asyncio.wait_for(self.news.wait(), left)
                except TimeoutError:
                    break
        names = [
            name
            for name, entry in self.entries.items()
            if (entry["state"] != "Gone" if whole else self.changed.get(name, 0) > (since or 0))
        ]
        states = {name: self.entries[name]["state"] for name in names}
        self.events.write(
            EventKind.LIST_SENT, router=router, version=self.version, whole=whole, states=states
        )
        targets = [
            {**self.entries[name], "endpoint": self.endpoints.get(router, {}).get(name, "")} for name in names
        ]
        return Reply(200, orjson.dumps({"rev": self.version, "all": whole, "targets": targets}))


async def begin(told: Json) -> tuple[Json, Handler]:
    listing = Listing(told, EventWriter(Path(told["events"]), told["name"], told["incarnation"]))
    server = await asyncio.get_running_loop().create_server(
        lambda: addressed(listing.answer), "127.0.0.1", 0, backlog=512
    )
    return {"address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}, listing.command
