"""The cluster under test: starts, connects and restarts the processes of a plan."""

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
from applehub.lab.fleet.plan import FIRST_BAD_VERSION_FAULT, NEW_VERSION, Plan
from applehub.lab.fleet.processes import (
    KILL_DELAY_S,
    ControllerProcess,
    Process,
    RegistryProcess,
    RouterProcess,
    Standin,
)
from applehub.lab.fleet.registry_replicas import RegistryReplicas
from applehub.lab.live.bench import LiveError
from applehub.settings import Json

VALUE_BYTES = 64
ENVIRONMENT_FAULTS = frozenset(
    ("clock", "power", "full", "readonly", "torn", "slow_disk")
)  # faults that need `fault_environment`
READY_TIMEOUT_S = 6.0  # time allowed for the new process of an upgrade to become ready
ADDRESS_BLOCKS, CLAIM_PORT = (
    range(100, 250),
    20_000,
)  # second octets of 127.0.0.0/8; a port below the ephemeral range


def platform_settings(plan: Plan) -> Json:
    """Returns the settings of every router of the plan, in the format of the platform."""
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
        "classes": [
            {"name": name, "aim": wait // 2, "deadline": wait, **options} for name, options in effects
        ],
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
    """Claims a block of loopback addresses that no other harness on this machine uses.

    Returns the first two octets of the block, and the bound socket that marks the block as used. Because the
    block is private, no other process can take the port of a closed edge. Raises LiveError if all
    are in use."""
    for block in ADDRESS_BLOCKS:
        claim = socket.socket()
        try:
            claim.bind((f"127.{block}.255.254", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return f"127.{block}", claim
    raise LiveError(f"all {len(ADDRESS_BLOCKS)} loopback address blocks of this machine are in use")


class Harness:
    """The processes of one run, with their files in a folder."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.events = EventWriter(folder / "events-ground.jsonl", "ground", 0)
        self.relay = Standin("relay", "relay", folder, self.events)
        self.list_standin = Standin("list", "list", folder, self.events)
        self.registry = RegistryReplicas(
            [RegistryProcess(f"list-{n}", folder, self.events) for n in range(plan.fleet.lists)], self.events
        )
        self.origin = Standin("origin", "origin", folder, self.events)
        self.clients = Standin("clients", "clients", folder, self.events)
        self.caches = [Standin("cache", f"cache-{n}", folder, self.events) for n in range(plan.fleet.caches)]
        self.routers = [RouterProcess(f"router-{n}", folder, self.events) for n in range(plan.fleet.routers)]
        self.addresses: dict[str, str] = {}  # listen address, by target
        self.edges: dict[str, str] = {}  # listen address of the relay, by edge
        self.listeners: dict[str, socket.socket] = {}
        self.block, self.claim_socket = claim_block()
        self.list_snapshot: Json = {}  # latest state of the stand-in for the list service
        self.controller = ControllerProcess("controller", folder, self.events) if plan.release else None
        self.release_file: Path | None = None  # release plan of the controller
        self.release_lock = asyncio.Lock()
        self.agents: dict[str, str] = {}  # listen address of the agent, by zone
        self.versions: dict[str, str] = {}  # running version, by unit of the release
        self.bad_version_faults: dict[str, int] = {}  # number of the fault, by unit that runs a bad version

    def processes(self) -> list[Process]:
        return [*self._fault_targets(), self.relay, self.clients]

    def _fault_targets(self) -> list[Process]:
        lists: list[Process] = [*self.registry.replicas] or [self.list_standin]
        controller = [] if self.controller is None else [self.controller]
        return [*self.routers, *self.caches, self.origin, *lists, *controller]

    def matching_processes(self, patterns: Iterable[str]) -> list[Process]:
        """Returns the processes whose names match any of the patterns, without the relay and the clients."""
        return [
            process
            for process in self._fault_targets()
            if any(fnmatchcase(process.name, pattern) for pattern in patterns)
        ]

    def sources(self) -> dict[str, str]:
        """Returns the name of each router by the source address of its connections."""
        return {f"{self.block}.{n + 1}.2": f"router-{n}" for n in range(len(self.routers))}

    def peer_pattern(self, router: str, side: str) -> str | None:
        """Returns the pattern of the peer addresses that a router has on one side; None for any address."""
        number = [process.name for process in self.routers].index(router) + 1
        return {"clients": f"{self.block}.200.2:*", "servers": f"{self.block}.{number}.1:*"}.get(side)

    def zone(self, number: int) -> str:
        return f"zone-{number % self.plan.fleet.zones}"

    async def start(self) -> None:
        """Starts all processes in order and waits until every router is ready."""
        if self.plan.fleet.inherited:
            for number, router in enumerate(self.routers):
                self.listeners[router.name] = listener = socket.create_server(
                    (f"{self.block}.201.{number + 1}", 0), backlog=1024
                )
                self.addresses[router.name] = "{}:{}".format(*listener.getsockname())
        await wait_for_all([self.start_cache(cache, cold=False) for cache in self.caches])
        await self.start_origin()
        if self.plan.release is not None:
            for number, address in enumerate(self.agents.values()):
                self.addresses[f"agent-{number}"] = address
        message = {"seed": self.plan.load.seed, "edges": self._edges(), "datagrams": self._datagrams()}
        self.edges = (await self.relay.start(message))["ports"]
        await self.start_discovery()
        for name, address in self.addresses.items():
            await self.relay.send_command({"do": "up", "target": name, "address": address})
        await wait_for_all([self.start_router(process) for process in self.routers])
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
                "value": VALUE_BYTES,
                "routers": {process.name: self.edges[f"clients>{process.name}"] for process in self.routers},
            }
        )

    def _edges(self) -> list[Json]:
        lists = [replica.name for replica in self.registry.replicas]
        targets = [*(cache.name for cache in self.caches), "origin", *(lists or ["list"])]
        edges = [
            {
                "name": f"{router}>{target}", "target": target, "source": address,
                "listen": address.removesuffix("2") + "1",
            }
            for address, router in self.sources().items() for target in targets
        ]  # fmt: skip
        edges += [
            {
                "name": f"clients>{process.name}",
                "target": process.name,
                "source": f"{self.block}.200.2",
                "listen": f"{self.block}.200.1",
            }
            for process in self.routers
        ]
        edges += [
            {
                "name": f"{replica}>{peer}", "target": f"{peer}.peers",
                "source": f"{self.block}.221.{n + 1}", "listen": f"{self.block}.220.{n + 1}",
            }
            for n, replica in enumerate(lists) for peer in lists if replica != peer
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
        """Returns the datagram edges between each pair of routers, if the plan has peers."""
        addresses = (
            {router: address for address, router in self.sources().items()} if self.plan.fleet.peers else {}
        )
        return [
            {
                "name": f"{source}>{target}", "target": f"{target}.peers", "source": address,
                "listen": address.removesuffix("2") + "1",
            }
            for source, address in addresses.items() for target in addresses if source != target
        ]  # fmt: skip

    async def start_cache(self, cache: Process, cold: bool) -> None:
        assert isinstance(cache, Standin)
        fleet = self.plan.fleet
        answer = await cache.start(
            {
                "sources": self.sources(),
                "rate": fleet.cache_rate,
                "queue": fleet.cache_queue,
                "value": VALUE_BYTES,
                "cold": cold,
                "cold_from": fleet.cold_from,
                "ramp_s": fleet.ramp_s,
                "tip_multiple": fleet.tip_multiple,
                "fall_s": fleet.fall_s,
                **self._bad_version_options(cache.name),
            }
        )
        self.addresses[cache.name] = answer["address"]
        if self.origin.running:
            await self.origin.send_command({"do": "cache", "name": cache.name, "address": answer["address"]})

    async def start_origin(self) -> None:
        fleet = self.plan.fleet
        answer = await self.origin.start(
            {
                "sources": self.sources(),
                "rate": fleet.origin_rate,
                "queue": fleet.origin_queue,
                "value": VALUE_BYTES,
                "ms": fleet.origin_ms,
            }
        )
        self.addresses["origin"] = answer["address"]
        for cache in self.caches:
            if cache.running:
                await self.origin.send_command(
                    {"do": "cache", "name": cache.name, "address": self.addresses[cache.name]}
                )

    async def start_discovery(self) -> None:
        routers = [process.name for process in self.routers]
        servers = [*(cache.name for cache in self.caches), "origin"]
        if self.registry.replicas:
            await wait_for_all([self.start_replica(replica) for replica in self.registry.replicas])
            for replica in self.registry.replicas:
                await self.mark_up(replica)
            for number, name in enumerate(servers):
                await self.registry.change("PUT", f"/v1/servers/{name}", self._registration(number, name))
            return
        initial_state = {
            "version": 1,
            "changed": {},
            "entries": [self._entry(n, name) for n, name in enumerate(servers)],
        }
        self.list_snapshot = self.list_snapshot or initial_state
        endpoints = {router: {name: self.edges[f"{router}>{name}"] for name in servers} for router in routers}
        answer = await self.list_standin.start(
            {
                **self.list_snapshot,
                "sources": self.sources(),
                "endpoints": endpoints,
                "rate": self.plan.fleet.list_rate,
            }
        )
        self.addresses["list"] = answer["address"]

    async def start_replica(self, replica: Process) -> None:
        """Starts a replica of the list service on its existing state folder."""
        assert isinstance(replica, RegistryProcess)
        names = [peer.name for peer in self.registry.replicas]
        peers = {
            name: self._peer_address(name) if name == replica.name else self.edges[f"{replica.name}>{name}"]
            for name in names
        }
        lines = [
            f'name = "{replica.name}"', f'staff = "{self.staff_address(replica.name)}"', "log_calls = true",
            "[peers]",
        ]  # fmt: skip
        lines += [f'{name} = "{address}"' for name, address in peers.items()] if len(names) > 1 else []
        lines += ["[views]", *(f'"{address}" = "{router}"' for address, router in self.sources().items())]
        await replica.start(lines)
        self.addresses[replica.name] = replica.listen
        self.addresses[f"{replica.name}.peers"] = self._peer_address(replica.name)

    def _peer_address(self, replica: str) -> str:
        """Returns the address at which a replica listens for its peers, in the private address block."""
        return f"{self.block}.222.{int(replica.removeprefix('list-')) + 1}:7000"

    def staff_address(self, replica: str) -> str:
        """Returns a replica's address for operator calls, fixed so that the release plan stays valid."""
        return f"{self.block}.223.{int(replica.removeprefix('list-')) + 1}:7000"

    def _registration(self, number: int, name: str) -> Json:
        entry = self._entry(number, name)
        endpoints = {router.name: self.edges[f"{router.name}>{name}"] for router in self.routers}
        return {
            **{key: entry[key] for key in ("az", "model", "pod_group", "capacity_hint", "boot_ms", "state")},
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
        """Starts the next incarnation of a router with the initial list, and waits until it is ready."""
        assert isinstance(router, RouterProcess)
        config = self.router_config(router)
        known = config["known"]
        states = {entry["uid"]: entry["state"] for entry in known["targets"]}
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
            self.addresses[f"{router.name}.peers"] = config["peers"]["listen"]
        fault_options = self.fault_options(router.name)
        await router.start(config, fault_options, None if inherited is None else inherited.fileno())
        if inherited is None:
            self.addresses[router.name] = router.listen
        if inherited is None or self.plan.fleet.peers:
            await self.mark_up(router)
        if not await router.ready():
            self.record_not_ready(-1, router)

    async def upgrade(self, router: RouterProcess) -> bool:
        """Replaces the process of a router on the same listening socket; returns whether that succeeded.

        A new process that does not become ready is terminated, and the old one continues to serve."""
        old_process, ended = router.process, router.ended
        assert old_process is not None
        ready = False
        with suppress(LiveError):
            await router.start(
                self.router_config(router),
                self.fault_options(router.name),
                self.listeners[router.name].fileno(),
            )
            ready = await router.ready(READY_TIMEOUT_S)
        exiting_process = old_process if ready else router.process
        assert exiting_process is not None
        if not ready:
            ended = router.ended
            router.planned = True
        with suppress(ProcessLookupError):
            exiting_process.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(ended.wait(), KILL_DELAY_S)
        if exiting_process.returncode is None:
            exiting_process.kill()
            await ended.wait()
        return ready

    # A release

    def _bad_version_options(self, unit: str) -> Json:
        release = self.plan.release
        if release is None or not release.bad or self.versions.get(unit) != NEW_VERSION:
            return {}
        return {"bad": release.bad, "part": release.part}

    def begin_bad_version(self, unit: str) -> None:
        """Records the start of a fault, before a unit runs a bad version."""
        if self.plan.release is not None and self.plan.release.bad and unit not in self.bad_version_faults:
            number = self.bad_version_faults[unit] = FIRST_BAD_VERSION_FAULT + len(self.bad_version_faults)
            self.events.write(
                EventKind.FAULT_BEGUN, fault=number, kind="bad", processes=[unit], edges=[], keep_disk=True
            )

    def end_bad_version(self, unit: str) -> None:
        """Records the end of the fault, after a unit has stopped running a bad version."""
        if unit in self.bad_version_faults:
            self.events.write(EventKind.FAULT_ENDED, fault=self.bad_version_faults[unit])

    def configure(self, router: RouterProcess) -> None:
        """Rewrites the configuration file of a router for its current version."""
        router.write_config(self.router_config(router))

    async def release(self) -> None:
        """Starts the controller of the release unless it is running."""
        assert self.controller is not None and self.release_file is not None
        async with self.release_lock:  # overlapping faults may restart the controller concurrently
            if not self.controller.running:
                await self.controller.start(self.release_file)

    def record_not_ready(self, fault: int, router: Process) -> None:
        """Records that a router did not become ready.

        fault: number of the fault that started the router; -1 for a start or restart."""
        reason = f"{router.name} was never ready"
        self.events.write(EventKind.FAULT_NOT_BEGUN, fault=fault, of=router.name, why=reason)

    def router_config(self, router: RouterProcess) -> Json:
        """Returns the configuration of a router."""
        fleet, number = self.plan.fleet, self.routers.index(router)
        servers = [*(cache.name for cache in self.caches), "origin"]
        lists = [replica.name for replica in self.registry.replicas] or ["list"]
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
            **({"peers": self._peer_config(router)} if fleet.peers else {}),
        }

    def _settings(self, router: str) -> Json:
        """Returns the settings of a router, according to its version in a release of configuration."""
        config, release = platform_settings(self.plan), self.plan.release
        if (
            release is not None
            and release.what == "configuration"
            and self.versions.get(router) == NEW_VERSION
        ):
            match release.bad:
                case "rejected":
                    config["classes"] = "none"
                case "poisoned":  # forbids the attempt at the origin after a cache miss
                    config["ceilings"]["attemptsCap"] = 1
                case _:
                    config["ceilings"]["keepalive"] = 9 * SECOND
        return config

    def _peer_config(self, router: RouterProcess) -> Json:
        others = [other.name for other in self.routers if other is not router]
        return {
            "fleet": self.plan.name,
            # A fixed port is free because the address block is private.
            "listen": f"{self.block}.203.{self.routers.index(router) + 1}:7000",
            "routers": {name: self.edges[f"{router.name}>{name}"] for name in others},
        }

    def fault_options(self, router: str) -> Json | None:
        """Returns the options of `fault_environment`, or None if the plan needs none."""
        kinds, release = {fault.kind for fault in self.plan.faults}, self.plan.release
        if release is not None and release.what == "routers" and release.bad:
            return {"variant": release.bad if self.versions.get(router) == NEW_VERSION else ""}
        has_system_call_faults = "system_call" in kinds
        if self.plan.fleet.variant or has_system_call_faults or kinds & ENVIRONMENT_FAULTS:
            return {"variant": self.plan.fleet.variant, "system_calls": has_system_call_faults}
        return None

    async def mark_up(self, process: Process) -> None:
        for name in (process.name, f"{process.name}.peers"):
            if name in self.addresses:
                await self.relay.send_command({"do": "up", "target": name, "address": self.addresses[name]})

    async def mark_down(self, process: Process) -> None:
        for name in (process.name, f"{process.name}.peers"):
            await self.relay.send_command({"do": "down", "target": name})

    async def restart(self, process: Process) -> None:
        """Starts the next incarnation of a process that has ended."""
        if isinstance(process, RouterProcess):
            await self.start_router(process)
        elif process is self.list_standin:
            await self.start_discovery()
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
        await self.mark_up(process)

    async def admit(self, cache: Process) -> None:
        """Lists a cache server that has just started as ready."""
        await self.list_state(cache.name, {"boot_ms": time.time_ns() // MILLI, "state": "Ready"})

    async def list_state(self, server: str, entry: Json) -> None:
        """Changes an entry of the server list: its state, or all fields after a restart."""
        if self.registry.replicas and "boot_ms" in entry:
            number = [cache.name for cache in self.caches].index(server)
            registration = {**self._registration(number, server), **entry}
            await self.registry.change("PUT", f"/v1/servers/{server}", registration)
            return
        if self.registry.replicas:
            await self.registry.change("POST", f"/v1/servers/{server}/state", entry)
            return
        if self.list_standin.running:
            self.list_snapshot = await self.list_standin.send_command(
                {"do": "state", "server": server, "entry": entry}
            )
        else:  # the stand-in reads the change when it starts
            self.list_snapshot["version"] += 1
            self.list_snapshot["changed"][server] = self.list_snapshot["version"]
            next(listed for listed in self.list_snapshot["entries"] if listed["uid"] == server).update(entry)

    async def stop(self) -> None:
        """Ends every running or suspended process, and closes the sockets."""
        await self.registry.close()
        await wait_for_all([process.close() for process in self.processes() if process.running])
        for listener in (*self.listeners.values(), self.claim_socket):
            listener.close()
        self.events.close()


async def wait_for_all(tasks: list[Any]) -> None:
    """Waits for all tasks, then raises the first exception, if any."""
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
