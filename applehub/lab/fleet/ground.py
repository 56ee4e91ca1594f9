"""The ground: the processes of a plan, how they find one another, and how each starts again."""

import asyncio
import signal
import socket
import time
from collections.abc import Iterable
from contextlib import suppress
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

from applehub.events import EventKind, EventWriter
from applehub.lab.clock import MILLI, SECOND
from applehub.lab.fleet.lists import Lists
from applehub.lab.fleet.plan import BAD_FAULTS, NEW, Plan
from applehub.lab.fleet.processes import (
    KILLED_AFTER,
    ControllerProcess,
    Process,
    RegistryProcess,
    RouterProcess,
    Standin,
)
from applehub.lab.live.bench import LiveError
from applehub.settings import Json

VALUE = 64  # bytes of a value
SPOILT = frozenset(("clock", "power", "full", "readonly", "torn", "slow_disk"))  # faults round a router
READY_WITHIN = 6.0  # s that a new process of an upgrade has
BLOCKS, CLAIM = (
    range(100, 250),
    20_000,
)  # second numbers of loopback addresses; a port under those the system deals


def settings(plan: Plan) -> Json:
    """What every router of the plan is told, as the platform words it."""
    wait, fleet = int(plan.load.wait_ms * MILLI), plan.fleet
    effects: tuple[tuple[str, Json], ...] = (
        ("read", {"effect": "safe"}),
        ("put", {"effect": "keyed", "group": "all", "repeatWindow": 2 * SECOND}),
        ("once", {"effect": "unsafe"}),
    )
    return {
        "azs": [f"zone-{number}" for number in range(fleet.zones)],
        "hostTypes": ["cache", "origin"],
        "balancers": fleet.routers,
        "ceilings": {"attemptsCap": 4, "dialTimeout": SECOND // 4, "keepalive": 10 * SECOND},
        "classes": [{"name": name, "aim": wait // 2, "deadline": wait, **more} for name, more in effects],
        "registryMode": "on_request",
        "safety": {
            "askWithin": 2 * SECOND,
            "coldFrom": fleet.cold_from,
            "rampTime": int(fleet.ramp_s * SECOND),
            "tipMultiple": fleet.tip_multiple,
            "fall": int(fleet.fall_s * SECOND),
        },
        "specifics": {"mode": "aside", "originKind": 1},
    }


def claim_block() -> tuple[str, socket.socket]:
    """Loopback addresses that no other ground of this machine binds meanwhile: the first two numbers of
    theirs, and the socket that holds the claim. An edge that is shut keeps its port only where nobody else
    asks for any."""
    for block in BLOCKS:
        held = socket.socket()
        try:
            held.bind((f"127.{block}.255.254", CLAIM))
        except OSError:
            held.close()
            continue
        return f"127.{block}", held
    raise LiveError(f"{len(BLOCKS)} grounds are at work on this machine")


class Ground:
    """The processes of one play, in a folder."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.events = EventWriter(folder / "events-ground.jsonl", "ground", 0)
        self.relay = Standin("relay", "relay", folder, self.events)
        self.list = Standin("list", "list", folder, self.events)
        self.lists = Lists(
            [RegistryProcess(f"list-{n}", folder, self.events) for n in range(plan.fleet.lists)], self.events
        )
        self.origin = Standin("origin", "origin", folder, self.events)
        self.clients = Standin("clients", "clients", folder, self.events)
        self.caches = [Standin("cache", f"cache-{n}", folder, self.events) for n in range(plan.fleet.caches)]
        self.routers = [RouterProcess(f"router-{n}", folder, self.events) for n in range(plan.fleet.routers)]
        self.addresses: dict[str, str] = {}  # where each target really listens
        self.edges: dict[str, str] = {}  # where each edge's source finds it
        self.listeners: dict[str, socket.socket] = {}
        self.block, self.claim = claim_block()
        self.listed: Json = {}  # the list service's state, as it last told
        self.controller = ControllerProcess("controller", folder, self.events) if plan.release else None
        self.release_file: Path | None = None  # the controller's
        self.releasing = asyncio.Lock()
        self.agents: dict[str, str] = {}  # by zone, where its agent listens
        self.versions: dict[str, str] = {}  # by unit of a release, what runs there
        self.bad: dict[str, int] = {}  # by unit on which a bad version runs, the fault that this is

    def processes(self) -> list[Process]:
        return [*self._served(), self.relay, self.clients]

    def _served(self) -> list[Process]:
        lists: list[Process] = [*self.lists.replicas] or [self.list]
        controller = [] if self.controller is None else [self.controller]
        return [*self.routers, *self.caches, self.origin, *lists, *controller]

    def named(self, patterns: Iterable[str]) -> list[Process]:
        """The processes that faults may strike and that a pattern names."""
        return [one for one in self._served() if any(fnmatchcase(one.name, pattern) for pattern in patterns)]

    def sources(self) -> dict[str, str]:
        """By the address that it dials from: which router it is."""
        return {f"{self.block}.{n + 1}.2": f"router-{n}" for n in range(len(self.routers))}

    def peers_of(self, router: str, side: str) -> str | None:
        """The pattern of the addresses that a router sees of its clients or servers; None: of anybody."""
        number = [one.name for one in self.routers].index(router) + 1
        return {"clients": f"{self.block}.200.2:*", "servers": f"{self.block}.{number}.1:*"}.get(side)

    def zone(self, number: int) -> str:
        return f"zone-{number % self.plan.fleet.zones}"

    async def start(self) -> None:
        """Starts all in order; returns once every router is ready."""
        if self.plan.fleet.inherited:
            for number, router in enumerate(self.routers):
                self.listeners[router.name] = held = socket.create_server(
                    (f"{self.block}.201.{number + 1}", 0), backlog=1024
                )
                self.addresses[router.name] = "{}:{}".format(*held.getsockname())
        await together([self.start_cache(one, cold=False) for one in self.caches])
        await self.start_origin()
        if self.plan.release is not None:
            for number, address in enumerate(self.agents.values()):
                self.addresses[f"agent-{number}"] = address
        wanted = {"seed": self.plan.load.seed, "edges": self._edges(), "datagrams": self._datagrams()}
        self.edges = (await self.relay.start(wanted))["ports"]
        await self.start_list()
        for name, address in self.addresses.items():
            await self.relay.ask({"do": "up", "target": name, "address": address})
        await together([self.start_router(one) for one in self.routers])
        load = self.plan.load
        await self.clients.start(
            {
                "source": f"{self.block}.200.3",
                "seed": load.seed,
                "rate": load.rate,
                "keys": load.keys,
                "puts": load.puts,
                "once": load.once,
                "wait_ms": load.wait_ms,
                "leaves": load.leaves,
                "leaves_ms": load.leaves_ms,
                "slack_ms": self.plan.rules.answer_slack_ms,
                "value": VALUE,
                "routers": {one.name: self.edges[f"clients>{one.name}"] for one in self.routers},
            }
        )

    def _edges(self) -> list[Json]:
        lists = [one.name for one in self.lists.replicas]
        targets = [*(one.name for one in self.caches), "origin", *(lists or ["list"])]
        edges = [
            {
                "name": f"{router}>{target}", "target": target, "source": address,
                "listen": address.removesuffix("2") + "1",
            }
            for address, router in self.sources().items() for target in targets
        ]  # fmt: skip
        edges += [
            {
                "name": f"clients>{one.name}",
                "target": one.name,
                "source": f"{self.block}.200.2",
                "listen": f"{self.block}.200.1",
            }
            for one in self.routers
        ]
        edges += [
            {
                "name": f"{one}>{other}", "target": f"{other}.peers", "source": f"{self.block}.221.{n + 1}",
                "listen": f"{self.block}.220.{n + 1}",
            }
            for n, one in enumerate(lists) for other in lists if one != other
        ]  # fmt: skip
        if self.plan.release is not None:
            edges += [
                {
                    "name": f"controller>agent-{n}", "target": f"agent-{n}",
                    "source": f"{self.block}.224.{n + 1}", "listen": f"{self.block}.225.{n + 1}",
                }
                for n in range(self.plan.fleet.zones)
            ]  # fmt: skip
        return edges

    def _datagrams(self) -> list[Json]:
        """A way from each router to each other, where they speak."""
        names = (
            {router: address for address, router in self.sources().items()} if self.plan.fleet.peers else {}
        )
        return [
            {
                "name": f"{one}>{other}", "target": f"{other}.peers", "source": address,
                "listen": address.removesuffix("2") + "1",
            }
            for one, address in names.items() for other in names if one != other
        ]  # fmt: skip

    async def start_cache(self, cache: Process, cold: bool) -> None:
        assert isinstance(cache, Standin)
        fleet = self.plan.fleet
        answer = await cache.start(
            {
                "sources": self.sources(),
                "rate": fleet.cache_rate,
                "queue": fleet.cache_queue,
                "value": VALUE,
                "cold": cold,
                "cold_from": fleet.cold_from,
                "ramp_s": fleet.ramp_s,
                "tip_multiple": fleet.tip_multiple,
                "fall_s": fleet.fall_s,
                **self._how_bad(cache.name),
            }
        )
        self.addresses[cache.name] = answer["address"]
        if self.origin.running:
            await self.origin.ask({"do": "cache", "name": cache.name, "address": answer["address"]})

    async def start_origin(self) -> None:
        fleet = self.plan.fleet
        answer = await self.origin.start(
            {
                "sources": self.sources(),
                "rate": fleet.origin_rate,
                "queue": fleet.origin_queue,
                "value": VALUE,
                "ms": fleet.origin_ms,
            }
        )
        self.addresses["origin"] = answer["address"]
        for cache in self.caches:
            if cache.running:
                await self.origin.ask(
                    {"do": "cache", "name": cache.name, "address": self.addresses[cache.name]}
                )

    async def start_list(self) -> None:
        routers = [one.name for one in self.routers]
        servers = [*(one.name for one in self.caches), "origin"]
        if self.lists.replicas:
            await together([self.start_replica(one) for one in self.lists.replicas])
            for one in self.lists.replicas:
                await self.up(one)
            for number, name in enumerate(servers):
                await self.lists.change("PUT", f"/v1/servers/{name}", self._registration(number, name))
            return
        fresh = {
            "version": 1,
            "changed": {},
            "entries": [self._entry(n, name) for n, name in enumerate(servers)],
        }
        self.listed = self.listed or fresh
        endpoints = {router: {name: self.edges[f"{router}>{name}"] for name in servers} for router in routers}
        answer = await self.list.start(
            {
                **self.listed,
                "sources": self.sources(),
                "endpoints": endpoints,
                "rate": self.plan.fleet.list_rate,
            }
        )
        self.addresses["list"] = answer["address"]

    async def start_replica(self, replica: Process) -> None:
        """Starts a replica of the project's list service, with its own disk as it left it."""
        assert isinstance(replica, RegistryProcess)
        names = [one.name for one in self.lists.replicas]
        peers = {
            name: self._peers_of(name) if name == replica.name else self.edges[f"{replica.name}>{name}"]
            for name in names
        }
        lines = [
            f'name = "{replica.name}"', f'staff = "{self.staff_of(replica.name)}"', "log_calls = true",
            "[peers]",
        ]  # fmt: skip
        lines += [f'{name} = "{address}"' for name, address in peers.items()] if len(names) > 1 else []
        lines += ["[views]", *(f'"{address}" = "{router}"' for address, router in self.sources().items())]
        await replica.start(lines)
        self.addresses[replica.name] = replica.listen
        self.addresses[f"{replica.name}.peers"] = self._peers_of(replica.name)

    def _peers_of(self, replica: str) -> str:
        """Where a replica listens for the others: nobody else binds addresses of this block."""
        return f"{self.block}.222.{int(replica.removeprefix('list-')) + 1}:7000"

    def staff_of(self, replica: str) -> str:
        """The same at each start, so that a controller's file holds."""
        return f"{self.block}.223.{int(replica.removeprefix('list-')) + 1}:7000"

    def _registration(self, number: int, name: str) -> Json:
        told = self._entry(number, name)
        endpoints = {router.name: self.edges[f"{router.name}>{name}"] for router in self.routers}
        return {
            **{key: told[key] for key in ("az", "model", "pod_group", "capacity_hint", "boot_ms", "state")},
            "endpoint": self.addresses[name], "endpoints": endpoints,
        }  # fmt: skip

    def _entry(self, number: int, name: str) -> Json:
        return {
            "uid": name,
            "az": self.zone(number),
            "model": "origin" if name == "origin" else "cache",
            "pod_group": 0,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def start_router(self, router: Process) -> None:
        """Starts a router's next incarnation, with the list as it was when the play began, and waits until it
        is ready."""
        assert isinstance(router, RouterProcess)
        told = self.told(router)
        known = told["known"]
        states = {one["uid"]: one["state"] for one in known["targets"]}
        self.events.write(
            EventKind.LIST_SENT,
            router=router.name,
            version=known["rev"],
            whole=True,
            start=True,
            states=states,
        )
        inherited = self.listeners.get(router.name)
        if self.plan.fleet.peers:
            self.addresses[f"{router.name}.peers"] = told["peers"]["listen"]
        shim = self.shim(router.name)
        await router.start(told, shim, None if inherited is None else inherited.fileno())
        if inherited is None:
            self.addresses[router.name] = router.listen
        if inherited is None or self.plan.fleet.peers:
            await self.up(router)
        if not await router.ready():
            self.undone(-1, router)

    async def upgrade(self, router: RouterProcess) -> bool:
        """A new process takes over on the listening socket that the platform holds; whether it is ready. One
        that is not is ended, and the old one serves on."""
        old, ended = router.process, router.ended
        assert old is not None
        ready = False
        with suppress(LiveError):
            await router.start(
                self.told(router), self.shim(router.name), self.listeners[router.name].fileno()
            )
            ready = await router.ready(READY_WITHIN)
        leaves = old if ready else router.process
        assert leaves is not None
        if not ready:
            ended = router.ended
            router.planned = True
        with suppress(ProcessLookupError):
            leaves.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(ended.wait(), KILLED_AFTER)
        if leaves.returncode is None:
            leaves.kill()
            await ended.wait()
        return ready

    # A release

    def _how_bad(self, unit: str) -> Json:
        release = self.plan.release
        if release is None or not release.bad or self.versions.get(unit) != NEW:
            return {}
        return {"bad": release.bad, "part": release.part}

    def strike_bad(self, unit: str) -> None:
        """A bad version begins to run there: what becomes of requests on it is the version's doing."""
        if self.plan.release is not None and self.plan.release.bad and unit not in self.bad:
            number = self.bad[unit] = BAD_FAULTS + len(self.bad)
            self.events.write(
                EventKind.FAULT_BEGUN, fault=number, kind="bad", processes=[unit], edges=[], keep_disk=True
            )

    def heal_bad(self, unit: str) -> None:
        """It runs there no more."""
        if unit in self.bad:
            self.events.write(EventKind.FAULT_ENDED, fault=self.bad[unit])

    def configure(self, router: RouterProcess) -> None:
        """Writes a router's file anew, for its version of the configuration."""
        router.write(self.told(router))

    async def release(self) -> None:
        """Starts the controller, for the first time or again, unless it runs."""
        assert self.controller is not None and self.release_file is not None
        async with self.releasing:  # faults that overlap each start what they ended
            if not self.controller.running:
                await self.controller.start(self.release_file)

    def undone(self, fault: int, router: Process) -> None:
        """A router that a fault (-1: the play's begin, or a new start) calls for does not come up."""
        why = f"{router.name} was never ready"
        self.events.write(EventKind.FAULT_NOT_BEGUN, fault=fault, of=router.name, why=why)

    def told(self, router: RouterProcess) -> Json:
        """The configuration of a router."""
        fleet, number = self.plan.fleet, self.routers.index(router)
        servers = [*(one.name for one in self.caches), "origin"]
        lists = [one.name for one in self.lists.replicas] or ["list"]
        discoveries = [self.edges[f"{router.name}>{name}"] for name in lists]
        targets = [
            {**self._entry(n, name), "endpoint": self.edges[f"{router.name}>{name}"]}
            for n, name in enumerate(servers)
        ]
        return {
            "name": router.name,
            "listen": f"{self.block}.201.{number + 1}:0",
            "discovery": discoveries[0],
            **({"discoveries": discoveries[1:]} if len(discoveries) > 1 else {}),
            "seed": f"{self.plan.load.seed * 1000 + number * 50 + router.incarnation:x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": {"rev": 1, "all": True, "targets": targets},
            "settings": self._settings(router.name),
            **({"state_dir": str(router.disk)} if fleet.keeps else {}),
            **({"peers": self._peers(router)} if fleet.peers else {}),
        }

    def _settings(self, router: str) -> Json:
        """By the router's version of the configuration, where a release changes that."""
        told, release = settings(self.plan), self.plan.release
        if release is not None and release.what == "configuration" and self.versions.get(router) == NEW:
            match release.bad:
                case "rejected":
                    told["classes"] = "none"
                case "poisoned":  # no attempt is left for the origin after a cache has missed
                    told["ceilings"]["attemptsCap"] = 1
                case _:
                    told["ceilings"]["keepalive"] = 9 * SECOND
        return told

    def _peers(self, router: RouterProcess) -> Json:
        others = [one.name for one in self.routers if one is not router]
        return {
            "fleet": self.plan.name,
            # The same at each start: nobody else binds in this block.
            "listen": f"{self.block}.203.{self.routers.index(router) + 1}:7000",
            "routers": {name: self.edges[f"{router.name}>{name}"] for name in others},
        }

    def shim(self, router: str) -> Json | None:
        """What is spoilt round a router, where this plan spoils any of it."""
        kinds, release = {one.kind for one in self.plan.faults}, self.plan.release
        if release is not None and release.what == "routers" and release.bad:
            return {"variant": release.bad if self.versions.get(router) == NEW else ""}
        calls = "system_call" in kinds
        if self.plan.fleet.variant or calls or kinds & SPOILT:
            return {"variant": self.plan.fleet.variant, "system_calls": calls}
        return None

    async def up(self, process: Process) -> None:
        for name in (process.name, f"{process.name}.peers"):
            if name in self.addresses:
                await self.relay.ask({"do": "up", "target": name, "address": self.addresses[name]})

    async def down(self, process: Process) -> None:
        for name in (process.name, f"{process.name}.peers"):
            await self.relay.ask({"do": "down", "target": name})

    async def restart(self, process: Process) -> None:
        """Starts again what was ended, as the platform does: from nothing, under its name."""
        if isinstance(process, RouterProcess):
            await self.start_router(process)
        elif process is self.list:
            await self.start_list()
        elif isinstance(process, RegistryProcess):
            await self.start_replica(process)
        elif process is self.origin:
            await self.start_origin()
        elif process is self.controller:
            await self.release()
            return
        else:
            await self.start_cache(process, cold=True)
            await self.admit(process)
        await self.up(process)

    async def admit(self, cache: Process) -> None:
        """Has the list name a cache server that has just started."""
        await self.list_state(cache.name, {"boot_ms": time.time_ns() // MILLI, "state": "Ready"})

    async def list_state(self, server: str, entry: Json) -> None:
        """Changes an entry of the list: its state, or all of it where it was started anew."""
        if self.lists.replicas and "boot_ms" in entry:
            number = [one.name for one in self.caches].index(server)
            told = {**self._registration(number, server), **entry}
            await self.lists.change("PUT", f"/v1/servers/{server}", told)
            return
        if self.lists.replicas:
            await self.lists.change("POST", f"/v1/servers/{server}/state", entry)
            return
        if self.list.running:
            self.listed = await self.list.ask({"do": "state", "server": server, "entry": entry})
        else:  # it learns of it at its own start
            self.listed["version"] += 1
            self.listed["changed"][server] = self.listed["version"]
            next(one for one in self.listed["entries"] if one["uid"] == server).update(entry)

    async def stop(self) -> None:
        """Ends every process, whatever state it is in."""
        await self.lists.close()
        await together([one.close() for one in self.processes() if one.running])
        for listener in (*self.listeners.values(), self.claim):
            listener.close()
        self.events.close()


async def together(tasks: list[Any]) -> None:
    """Waits for all; the first failure is raised once all have ended."""
    done = await asyncio.gather(*tasks, return_exceptions=True)
    for one in done:
        if isinstance(one, BaseException):
            raise one
