"""The parts of one play, wired together; its faults come from outside."""

from collections.abc import Callable
from dataclasses import replace

from applehub import interface as api
from applehub.lab.account import Account
from applehub.lab.clients import Clients
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.network import Net
from applehub.lab.origin import OriginServer
from applehub.lab.peering import Peering
from applehub.lab.policies import maker
from applehub.lab.routers import RouterHost, Surroundings
from applehub.lab.rules import Rules
from applehub.lab.servers import LONG_AGO, CacheServer
from applehub.lab.spec import Day, settings_of
from applehub.lab.streams import Draws, generator
from applehub.lab.tries import Asked, Place
from applehub.lab.workload import base_rate, draw_workload
from applehub.policy.keys import KeyRanges
from applehub.settings import Json, read_settings
from applehub.wirehost import Decider

SWEEP = SECOND  # between looks for connections that idle too long
LOGS_KEPT = 200


class World:
    """All parts of one play."""

    def __init__(self, day: Day, policy: str, seed: int) -> None:
        self.day, self.policy, self.seed = day, policy, seed
        self.clock = Clock()
        self.settings = read_settings(settings_of(day))
        self.longest_deadline = max(spec.deadline for spec in self.settings.classes)
        self.workload = draw_workload(day, seed)
        self.mean_work = sum(self.workload.works) / max(1, len(self.workload.works))
        self.net = Net(day.network, self.draws("network"))
        self.registry = Registry(self.clock, day.discovery, self.draws("discovery"))
        self.server_draws = self.draws("servers")
        self.places: dict[str, Place] = {}
        self.servers: list[CacheServer] = []
        self.all_servers: list[CacheServer] = []  # those that were replaced, too
        self.origin = self._make_origin()
        self._make_servers()
        classes = self.settings.classes
        self.account = Account(day, [one.aim for one in classes], self.clock)
        self.rules = Rules(day.rules, classes, self.clock, self.places, self.registry)
        self.make = maker(policy, self)
        self.peering = self._make_peering()
        around = Surroundings(
            self.clock, day.routers, self.net, self.registry, self.places, self.servers, self.rules,
            self.account, self.longest_deadline, self._answered, self.log, self.tipped, self.peering,
        )  # fmt: skip
        self.routers = [
            RouterHost(around, n, n % len(day.topology.zones)) for n in range(day.topology.routers)
        ]
        if self.peering is not None:
            self.peering.know(self.routers)
        self.routers_in: list[list[RouterHost]] = [[] for _ in day.topology.zones]
        for router in self.routers:
            self.routers_in[router.zone].append(router)
        self.clients = Clients(
            day, classes, self.clock, self.workload, self.net, self.account, self.rules, self.routers_in,
            self.draws, self.follow,
        )  # fmt: skip
        self.followed = -1  # the number of a demand whose tries are kept
        self.tries: list[Asked] = []
        self.logs: list[tuple[int, int, str]] = []

    def draws(self, part: str) -> Draws:
        return Draws(self.seed, part)

    def _make_peering(self) -> Peering | None:
        """What carries the routers' datagrams, where the day has any."""
        if not self.day.peers.on or self.policy != "router":
            return None
        self.settings.peers = True
        kinds = [one.name for one in self.day.topology.kinds]
        return Peering(self.clock, self.day.peers, kinds, self.net, self.draws("peers"))

    # The fleet

    def _make_origin(self) -> OriginServer:
        spec, classes = self.day.origin, self.day.workload.classes
        total = sum(one.share for one in classes)
        writes = base_rate(self.day) * sum(one.share for one in classes if one.write) / total
        left = self.workload.reads_a_second * (1 - self.day.workload.keys.pooled_hits)
        rate = spec.capacity_rps or spec.headroom * (left + writes)
        aim = min(one.aim for one in self.settings.classes)
        origin = OriginServer(self.clock, "origin", spec, rate, aim, self.draws("origin"))
        self.places["origin"] = origin
        return origin

    def _make_servers(self) -> None:
        topology = self.day.topology
        total, bounds = sum(kind.share for kind in topology.kinds), []
        at = 0.0
        for kind in topology.kinds:
            at += kind.share / total
            bounds.append(at)
        for number in range(topology.servers):
            part = (number + 0.5) / topology.servers
            kind_number = next(n for n, bound in enumerate(bounds) if part < bound or n == len(bounds) - 1)
            # A step that shares no factor with most fleets spreads the kinds over the zones.
            self.add_server(kind_number, (number * 7 + number // len(topology.zones)) % len(topology.zones))

    def add_server(self, kind: int, zone: int) -> CacheServer:
        """A new server, with an id that tells nothing."""
        number = len(self.all_servers)
        name = f"s-{generator(self.seed, f'server {number}').integers(1 << 32):08x}"
        server = CacheServer(
            self.clock,
            name,
            kind,
            self.day.topology.kinds[kind],
            self.day.servers,
            zone,
            self.server_draws,
        )
        rules = self.day.rules
        pooled = self.workload.pooled * self.day.servers.memory
        server.memory_most = max(16, int(pooled / self.day.topology.servers))
        server.mean_work = int(self.mean_work)
        server.tip_multiple, server.tip_window = rules.tip_multiple, int(rules.fall_s * SECOND)
        self.places[name] = server
        self.servers.append(server)
        self.all_servers.append(server)
        return server

    def _fill(self) -> None:
        """What servers hold as the day begins: by range where keys have one, else the popular ones."""
        most = self.servers[0].memory_most
        if self.policy in ("random", "two-choices"):
            for server in self.servers:
                for key in reversed(self.workload.popular[:most]):
                    server.store(key)
            return
        names = sorted(server.id for server in self.servers)
        home = self._home_by_range(names) if self.policy == "router" else self._home_by_policy(names)
        full = 0
        for number, key in enumerate(self.workload.popular):
            server = self.server(home(number, key))
            if len(server.memory) < most:
                server.memory[key] = None
                full += len(server.memory) == most
            if full == len(self.servers):
                break
        for server in self.servers:
            server.memory = dict.fromkeys(reversed(server.memory))

    @staticmethod
    def _home_by_range(names: list[str]) -> Callable[[int, str], str]:
        """The module's own ranges: asked request by request it would learn."""
        ranges = KeyRanges(1)
        ranges.deal(0, names)
        return lambda _, key: ranges.locate(key, 0)[2]

    def _home_by_policy(self, names: list[str]) -> Callable[[int, str], str]:
        """Asks the policy itself where it looks for a key, while nothing is out."""
        chooser = self.make(self.settings, 0)
        entries = [self.entry(server) for server in self.servers] + [self._origin_entry()]
        chooser.handle(0, api.Members(api.ListKind.CACHED, entries))

        def home(number: int, key: str) -> str:
            name = f"fill {number}"
            actions = chooser.handle(0, api.Request(name, 0, SECOND, key))
            sends = [action for action in actions if isinstance(action, api.Send)]
            server = sends[0].server if sends else names[number % len(names)]
            chooser.handle(0, api.Outcome(name, 0, server, api.Status.OK, True, MILLI))
            return server

        return home

    def server(self, name: str) -> CacheServer:
        place = self.places[name]
        assert isinstance(place, CacheServer)
        return place

    def entry(self, server: CacheServer) -> api.Member:
        since = 0 if server.started == LONG_AGO else server.started
        return api.Member(server.id, api.State.READY, server.kind, server.zone, 0, since)

    def _origin_entry(self) -> api.Member:
        return api.Member("origin", api.State.READY, len(self.day.topology.kinds), 0)

    def stop_server(self, server: CacheServer) -> None:
        """Its process ends; what it held breaks."""
        for attempt in server.stop():
            if not attempt.ended:
                attempt.router.broken(attempt)

    def _answered(self, asked: Asked, how: str, retry_after: int, way: int) -> None:
        self.clients.answered(asked, how, retry_after, way)

    def tipped(self, server: CacheServer) -> None:
        self.rules.tipped(server)
        self.stop_server(server)
        server.fallen = True

    # Routers

    def start_router(self, router: RouterHost) -> None:
        """A process with a seed of its own."""
        rules = replace(self.settings)

        def make(life: int) -> Decider:
            seed = int(generator(self.seed, f"router {router.index} life {life}").integers(1 << 62))
            return self.make(rules, seed)

        router.start(make)

    # Books

    def log(self, router: RouterHost, text: str) -> None:
        if len(self.logs) < LOGS_KEPT:
            self.logs.append((self.clock.now, router.index, text))

    def follow(self, asked: Asked) -> None:
        if asked.demand.number == self.followed:
            self.tries.append(asked)

    def _sweep(self, _: None) -> None:
        for router in self.routers:
            router.sweep()
        self.clock.after(SWEEP, self._sweep)

    def play(self) -> Json:
        """Plays the day and what is still out after it; gives its figures."""
        self._fill()
        for entry in [*(self.entry(server) for server in self.servers), self._origin_entry()]:
            self.registry.entries[entry.server] = entry
        for router in self.routers:
            router.known = {entry.server: entry for entry in self.registry.whole()}
            self.start_router(router)
        self.clients.begin()
        self.clock.after(SWEEP, self._sweep)
        end = int(self.day.seconds * SECOND) + self.longest_deadline + SECOND
        calls = self.clock.run(end)
        cpu = sorted(router.cpu for router in self.routers)
        result = self.account.result(cpu, self.origin, self.registry, self.all_servers)
        if self.peering is not None:
            seconds = self.day.seconds * len(self.routers)
            datagrams, carried = self.peering.datagrams / seconds, self.peering.bytes / seconds
            result["peers"] = {"datagrams_s": round(datagrams, 1), "bytes_s": round(carried)}
        return {**result, "rules": self.rules.report(), "events": calls}
