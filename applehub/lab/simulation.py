"""The simulation of one scenario: creates clients, routers, servers and services, and connects them.

The module `applehub.lab.faults` schedules the faults.
"""

from collections.abc import Callable
from dataclasses import replace

from applehub import interface as api
from applehub.lab.account import Account
from applehub.lab.attempts import Backend, ClientAttempt
from applehub.lab.clients import Clients
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.network import EmulatedNetwork
from applehub.lab.origin import OriginServer
from applehub.lab.peering import Peering
from applehub.lab.policies import policy_factory
from applehub.lab.routers import RouterContext, RouterHost
from applehub.lab.rules import Rules
from applehub.lab.servers import STARTED_BEFORE_RUN, CacheServer
from applehub.lab.spec import Scenario, router_settings
from applehub.lab.streams import RandomStream, generator
from applehub.lab.workload import base_rate, draw_workload
from applehub.policy.keys import KeyRanges
from applehub.settings import Json, read_settings
from applehub.wirehost import DecisionModule

IDLE_CHECK_INTERVAL = SECOND
MAX_LOGS = 200  # maximum number of log lines stored in one run


class Simulation:
    """One simulation run of a scenario under a policy and a seed."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario, self.policy, self.seed = scenario, policy, seed
        self.clock = Clock()
        self.settings = read_settings(router_settings(scenario))
        self.longest_deadline = max(spec.deadline for spec in self.settings.classes)
        self.workload = draw_workload(scenario, seed)
        self.mean_work = sum(self.workload.work) / max(1, len(self.workload.work))
        self.net = EmulatedNetwork(scenario.network, self.random_stream("network"))
        self.registry = Registry(self.clock, scenario.discovery, self.random_stream("discovery"))
        self.server_random = self.random_stream("servers")
        self.servers_by_id: dict[str, Backend] = {}
        self.servers: list[CacheServer] = []
        self.all_servers: list[CacheServer] = []  # including replaced servers
        self.origin = self._make_origin()
        self._make_servers()
        classes = self.settings.classes
        self.account = Account(
            scenario, [request_class.latency_objective for request_class in classes], self.clock
        )
        self.rules = Rules(scenario.rules, classes, self.clock, self.servers_by_id, self.registry)
        self.make_policy = policy_factory(policy, self)
        self.peering = self._make_peering()
        context = RouterContext(
            self.clock, scenario.routers, self.net, self.registry, self.servers_by_id, self.servers,
            self.rules, self.account, self.longest_deadline, self._answered, self.log, self.stop_overloaded,
            self.peering,
        )  # fmt: skip
        self.routers = [
            RouterHost(context, n, n % len(scenario.topology.zones)) for n in range(scenario.topology.routers)
        ]
        if self.peering is not None:
            self.peering.register(self.routers)
        self.routers_by_zone: list[list[RouterHost]] = [[] for _ in scenario.topology.zones]
        for router in self.routers:
            self.routers_by_zone[router.zone].append(router)
        self.clients = Clients(
            scenario, classes, self.clock, self.workload, self.net, self.account, self.rules,
            self.routers_by_zone, self.random_stream, self.record_attempt,
        )  # fmt: skip
        self.traced_demand = -1  # number of the demand whose client attempts are recorded; -1: none
        self.client_attempts: list[ClientAttempt] = []
        self.logs: list[tuple[int, int, str]] = []  # time (ns), index of the router, text

    def random_stream(self, name: str) -> RandomStream:
        """Returns an independent stream of random numbers for a named component."""
        return RandomStream(self.seed, name)

    def _make_peering(self) -> Peering | None:
        """Returns the gossip transport, or None where the scenario has no gossip."""
        if not self.scenario.peers.on or self.policy != "router":
            return None
        self.settings.peers = True
        kinds = [kind.name for kind in self.scenario.topology.kinds]
        return Peering(self.clock, self.scenario.peers, kinds, self.net, self.random_stream("peers"))

    # Servers

    def _make_origin(self) -> OriginServer:
        spec, classes = self.scenario.origin, self.scenario.workload.classes
        total_share = sum(request_class.share for request_class in classes)
        writes = (
            base_rate(self.scenario)
            * sum(request_class.share for request_class in classes if request_class.write)
            / total_share
        )
        missed_reads = self.workload.read_rate * (1 - self.scenario.workload.keys.pooled_hits)
        rate = spec.capacity_rps or spec.headroom * (missed_reads + writes)
        shortest_objective = min(request_class.latency_objective for request_class in self.settings.classes)
        origin = OriginServer(
            self.clock, "origin", spec, rate, shortest_objective, self.random_stream("origin")
        )
        self.servers_by_id["origin"] = origin
        return origin

    def _make_servers(self) -> None:
        topology = self.scenario.topology
        total, upper_bounds = sum(kind.share for kind in topology.kinds), []
        upper_bound = 0.0
        for kind in topology.kinds:
            upper_bound += kind.share / total
            upper_bounds.append(upper_bound)
        for number in range(topology.servers):
            position = (number + 0.5) / topology.servers
            kind_number = next(
                n for n, bound in enumerate(upper_bounds) if position < bound or n == len(upper_bounds) - 1
            )
            # A step that is coprime to most fleet sizes spreads the kinds over the zones.
            self.add_server(kind_number, (number * 7 + number // len(topology.zones)) % len(topology.zones))

    def add_server(self, kind: int, zone: int) -> CacheServer:
        """Creates a server whose opaque id reveals neither its kind nor its zone."""
        number = len(self.all_servers)
        name = f"s-{generator(self.seed, f'server {number}').integers(1 << 32):08x}"
        server = CacheServer(
            self.clock,
            name,
            kind,
            self.scenario.topology.kinds[kind],
            self.scenario.servers,
            zone,
            self.server_random,
        )
        rules = self.scenario.rules
        fleet_keys = self.workload.pooled_key_count * self.scenario.servers.memory
        server.max_keys = max(16, int(fleet_keys / self.scenario.topology.servers))
        server.mean_work = int(self.mean_work)
        server.overload_factor, server.overload_window = rules.tip_multiple, int(rules.fall_s * SECOND)
        self.servers_by_id[name] = server
        self.servers.append(server)
        self.all_servers.append(server)
        return server

    def _prefill_caches(self) -> None:
        """Fills the caches before the run with the keys of each server, or with the most popular keys under
        policies without key affinity."""
        max_keys = self.servers[0].max_keys
        if self.policy in ("random", "two-choices"):
            for server in self.servers:
                for key in reversed(self.workload.keys_by_popularity[:max_keys]):
                    server.store(key)
            return
        names = sorted(server.id for server in self.servers)
        owner_of = self._owner_by_range(names) if self.policy == "router" else self._owner_by_policy(names)
        full_servers = 0
        for number, key in enumerate(self.workload.keys_by_popularity):
            server = self.server(owner_of(number, key))
            if len(server.stored_keys) < max_keys:
                server.stored_keys[key] = None
                full_servers += len(server.stored_keys) == max_keys
            if full_servers == len(self.servers):
                break
        for server in self.servers:
            server.stored_keys = dict.fromkeys(reversed(server.stored_keys))

    @staticmethod
    def _owner_by_range(names: list[str]) -> Callable[[int, str], str]:
        """Returns a lookup of a key's owner in the router's own key ranges.

        The decision module is not queried, because each request would change its statistics.
        """
        ranges = KeyRanges(1)
        ranges.assign(0, names)
        return lambda _, key: ranges.locate(key, 0)[2]

    def _owner_by_policy(self, names: list[str]) -> Callable[[int, str], str]:
        """Returns a lookup of the server that the policy chooses for a key while no attempt is in flight."""
        decider = self.make_policy(self.settings, 0)
        entries = [self.entry(server) for server in self.servers] + [self._origin_entry()]
        decider.handle(0, api.Members(api.ListKind.CACHED, entries))

        def owner_of(number: int, key: str) -> str:
            name = f"fill {number}"
            actions = decider.handle(0, api.Request(name, 0, SECOND, key))
            sends = [action for action in actions if isinstance(action, api.Send)]
            server = sends[0].server if sends else names[number % len(names)]
            decider.handle(0, api.Outcome(name, 0, server, api.Status.OK, True, MILLI))
            return server

        return owner_of

    def server(self, name: str) -> CacheServer:
        """Returns a cache server by its id."""
        server = self.servers_by_id[name]
        assert isinstance(server, CacheServer)
        return server

    def entry(self, server: CacheServer) -> api.Member:
        """Returns a server's entry in the endpoint list, in state READY."""
        since = 0 if server.started_at == STARTED_BEFORE_RUN else server.started_at
        return api.Member(server.id, api.State.READY, server.kind, server.zone, 0, since)

    def _origin_entry(self) -> api.Member:
        return api.Member("origin", api.State.READY, len(self.scenario.topology.kinds), 0)

    def stop_server(self, server: CacheServer) -> None:
        """Ends the server's process and resets the attempts that it had in progress."""
        for attempt in server.stop():
            if not attempt.ended:
                attempt.router.connection_broken(attempt)

    def _answered(self, client_attempt: ClientAttempt, outcome: str, retry_after: int, delay: int) -> None:
        self.clients.answered(client_attempt, outcome, retry_after, delay)

    def stop_overloaded(self, server: CacheServer) -> None:
        """Reports the overload of a warming server to the rules, and stops the server."""
        self.rules.record_overload(server)
        self.stop_server(server)
        server.overloaded = True

    # Routers

    def start_router(self, router: RouterHost) -> None:
        """Starts a router process, seeded by the router's index and incarnation."""
        settings = replace(self.settings)

        def make_policy(incarnation: int) -> DecisionModule:
            seed = int(generator(self.seed, f"router {router.index} life {incarnation}").integers(1 << 62))
            return self.make_policy(settings, seed)

        router.start(make_policy)

    # Records

    def log(self, router: RouterHost, text: str) -> None:
        """Stores a router's log line; drops it once the limit is reached."""
        if len(self.logs) < MAX_LOGS:
            self.logs.append((self.clock.now, router.index, text))

    def record_attempt(self, client_attempt: ClientAttempt) -> None:
        """Stores a client attempt that belongs to the traced demand."""
        if client_attempt.demand.number == self.traced_demand:
            self.client_attempts.append(client_attempt)

    def _close_idle_connections(self, _: None) -> None:
        for router in self.routers:
            router.close_idle_connections()
        self.clock.after(IDLE_CHECK_INTERVAL, self._close_idle_connections)

    def run(self) -> Json:
        """Runs the scenario until the last request has passed its deadline; returns the results."""
        self._prefill_caches()
        for entry in [*(self.entry(server) for server in self.servers), self._origin_entry()]:
            self.registry.entries[entry.server] = entry
        for router in self.routers:
            router.known = {entry.server: entry for entry in self.registry.all_entries()}
            self.start_router(router)
        self.clients.start()
        self.clock.after(IDLE_CHECK_INTERVAL, self._close_idle_connections)
        end = int(self.scenario.seconds * SECOND) + self.longest_deadline + SECOND
        events_run = self.clock.run(end)
        cpu_times = sorted(router.cpu_time for router in self.routers)
        result = self.account.result(cpu_times, self.origin, self.registry, self.all_servers)
        if self.peering is not None:
            router_seconds = self.scenario.seconds * len(self.routers)
            datagram_rate, byte_rate = (
                self.peering.datagrams / router_seconds,
                self.peering.bytes / router_seconds,
            )
            result["peers"] = {"datagrams_s": round(datagram_rate, 1), "bytes_s": round(byte_rate)}
        return {**result, "rules": self.rules.report(), "events": events_run}
