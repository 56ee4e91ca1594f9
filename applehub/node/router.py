"""The router process: creates its parts, connects them, and starts, reconfigures and stops them."""

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from applehub import interface as api
from applehub.node.configuration import Configuration, ConfigurationError, read_configuration
from applehub.node.console import CallError, Console, Handler
from applehub.node.descriptors import Places, share_out
from applehub.node.discovery import Directory, ListError
from applehub.node.driver import Driver
from applehub.node.metrics import Figures
from applehub.node.listener import Clients
from applehub.node.memory_budget import bytes_for_values
from applehub.node.operator_overrides import OperatorOverrides
from applehub.node.pool import Pools
from applehub.node.shared_state import Shared, shared_folder
from applehub.node.watch import Watch
from applehub.policy import Balancer

if TYPE_CHECKING:
    from applehub.node.peering import Peering
    from applehub.node.persisted_list import PersistedList
    from applehub.node.persisted_statistics import PersistedStatistics

ACCEPT_AFTER_SIGTERM = 0.5  # s for which new clients are still accepted if no other process takes them
KILL_GRACE = 0.7  # s from the longest deadline of a request until the platform sends SIGKILL
MAX_DEADLINE_GRACE = 3.0  # s of the longest deadline that the platform waits for at most
# The steps of a stop, in seconds before SIGKILL:
CLOSE_IDLE_BEFORE_KILL = 0.6  # connections that have sent no further request are closed
ANSWER_BEFORE_KILL = 0.3  # every accepted request has its answer
EXIT_BEFORE_KILL = 0.15  # the process ends, whether clients have read their answers or not
SHARED_STATE_PERIOD = 0.1  # s between two looks at the state that the router's processes share
NS_PER_S = 1e9
log = logging.getLogger("applehub")


class Router:
    """All parts of one router process, connected with each other."""

    def __init__(self, configuration: Configuration, path: str | None) -> None:
        """Creates the parts; nothing listens yet.

        path: the configuration's file, read again at a reload. Raises ConfigurationError if $TMPDIR or
        `state_dir` cannot be written to.
        """
        self.configuration, self.path = configuration, path
        self.initial = configuration.raw  # a reload must contain each of its keys
        self.stopping = asyncio.Event()
        settings, names, ceilings = configuration.settings, configuration.names, configuration.ceilings
        self.figures = Figures()
        self.figures.know(list(names.classes))
        self.pools = Pools(0, ceilings.dial_timeout / NS_PER_S, ceilings.keepalive / NS_PER_S)
        self.balancer = Balancer(settings, configuration.seed)
        self.driver = Driver(self.balancer, self.pools, ceilings.most_held, self.figures)
        self.clients = Clients(self.driver, names, self._connection_limits())
        self.directory = Directory(names, _origin_kind(settings), self.pools, self.driver.tell)
        self.watch = Watch(configuration.discovery, self.directory, configuration.seed, settings.must_ask)
        self.driver.watch = self.watch.start
        self.clients.can_serve = lambda: self.directory.can_serve
        self.shared = self._open_shared()
        self.overrides: OperatorOverrides | None = None
        if self.shared is not None:
            self.overrides = OperatorOverrides(self.directory, self.driver.tell, self.shared)
        self.peering = self._create_peering()
        self.persisted_list: PersistedList | None = None
        self.persisted_statistics: PersistedStatistics | None = None
        self._open_persisted()
        self._apply_limits(1)
        self._register_gauges()
        self.console = Console(self._console_commands())

    def _open_shared(self) -> Shared | None:
        """The state shared with the router's other processes; None without a console, which alone uses it."""
        if self.configuration.console is None:
            return None
        try:
            return Shared(shared_folder())
        except OSError as problem:
            raise ConfigurationError(f"can't write in $TMPDIR: {problem}") from None

    def _create_peering(self) -> "Peering | None":
        """The exchange with other routers, where `peers` is configured."""
        configuration = self.configuration
        if configuration.peers is None:
            return None
        from applehub.node.peering import Peering

        configuration.settings.peers = True
        peering = Peering(
            configuration.peers, configuration.name, self.driver.tell, lambda: self.directory.targets,
            lambda: self.configuration.names.kinds,
        )  # fmt: skip
        self.driver.say = peering.say
        return peering

    def _open_persisted(self) -> None:
        """Opens what outlives the process, where `state_dir` is configured: server list and statistics."""
        folder = self.configuration.state_dir
        if folder is None:
            return
        from applehub.node.persisted_list import PersistedList
        from applehub.node.persisted_statistics import PersistedStatistics

        try:
            self.persisted_list = PersistedList(folder)
            self.persisted_statistics = PersistedStatistics(folder, self.balancer.learnt)
        except OSError as problem:
            raise ConfigurationError(f"state_dir: {problem}") from None
        self.directory.took = self.persisted_list.update

    def _register_gauges(self) -> None:
        self.figures.gauges |= {
            "tries": lambda: self.pools.written,
            "active": lambda: self.driver.active,
            "pool_size": lambda: self.directory.size,
            "pool_ejected": lambda: self.balancer.roster.avoided,
        }

    def _console_commands(self) -> dict[str, Handler]:
        commands: dict[str, Handler] = {
            "HEALTH": lambda _: self.health(),
            "DUMP": lambda _: "\n".join(["+OK", *self.figures.lines(), "."]),
        }
        if self.overrides is not None:
            commands |= {"OFFLINE": self.overrides.offline, "ONLINE": self.overrides.online}
        if self.peering is not None:
            peering = self.peering
            commands["PEERS"] = lambda _: "\n".join(["+OK", *peering.lines(), "."])
        return commands

    def health(self) -> str:
        """The answer to HEALTH. Raises CallError unless this process accepts clients and can serve them."""
        if not self.clients.accepting or not self.directory.can_serve:
            raise CallError("not ready")
        return "+OK"

    def _connection_limits(self) -> Places:
        return share_out(self.configuration.sockets, self.configuration.console is not None)

    def _apply_limits(self, processes: int) -> None:
        """Applies this process's share of the configured limits.

        processes: how many processes of this router run at present.
        """
        self.processes = processes
        self.clients.places = self._connection_limits()
        self.pools.most = self.clients.places.pools // processes
        self.driver.room.most = bytes_for_values(self.configuration.memory, processes)
        self.driver.tell(api.Copies(processes))

    def _poll_shared(self) -> None:
        """Takes over what the router's other process wrote, and whether there is one; repeats itself."""
        if self.shared is None or self.overrides is None:
            return
        self.overrides.look()
        processes = 2 if self.shared.others() else 1
        if processes != self.processes:
            alone = "no other process serves any more"
            log.info("another process serves beside this one" if processes > 1 else alone)
            self._apply_limits(processes)
        asyncio.get_running_loop().call_later(SHARED_STATE_PERIOD, self._poll_shared)

    def reload(self) -> None:
        """Reads the configuration again and applies all of it, or nothing if it cannot be used.

        The addresses that the router listens on do not change.
        """
        try:
            configuration = read_configuration(self.path, self.initial)
        except ConfigurationError as problem:
            self.figures.config_rejected += 1
            log.error("told to reload, but the configuration is of no use: %s", problem)
            return
        self.figures.config_applied += 1
        log.info("told to reload: discovery at %s:%d", *configuration.discovery[0])
        self._apply(configuration)
        self.watch.move(configuration.discovery)

    def _apply(self, configuration: Configuration) -> None:
        """Passes a reloaded configuration to every part that depends on it."""
        self._keep_indexes(configuration)
        settings, names, ceilings = configuration.settings, configuration.names, configuration.ceilings
        self.clients.names = self.directory.names = names
        self.directory.origin_kind = _origin_kind(settings)
        self.configuration = configuration
        self.figures.know(list(names.classes))
        self.driver.most_held = ceilings.most_held
        self.pools.limit_times(ceilings.dial_timeout / NS_PER_S, ceilings.keepalive / NS_PER_S)
        self.watch.must_ask = settings.must_ask
        self._apply_limits(self.processes)
        if self.peering is not None:
            settings.peers = True
            if configuration.peers is not None:
                self.peering.move(configuration.peers)
        self.driver.tell(api.Retuned(settings))

    def _keep_indexes(self, configuration: Configuration) -> None:
        """Renumbers zones and kinds: those known before keep their indexes, which listed servers carry."""
        settings, kinds = configuration.settings, list(configuration.names.kinds)
        configuration.names = configuration.names.after(self.configuration.names)
        if 0 <= settings.origin_kind < len(kinds):
            settings.origin_kind = configuration.names.kinds[kinds[settings.origin_kind]]

    async def start(self) -> None:
        """Restores persisted state, listens, and begins to follow the list of servers.

        Raises ConfigurationError if an address cannot be listened on.
        """
        loop, configuration = asyncio.get_running_loop(), self.configuration
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._restore_list()
        self._restore_statistics()
        self._poll_shared()
        await self._listen()
        if not configuration.settings.must_ask:
            self.watch.start()
        if self.peering is not None:
            await self.peering.start()

    def _restore_list(self) -> None:
        """Starts from the configured list of servers, or from the persisted one if that is newer."""
        try:
            known = self.configuration.known
            if self.persisted_list is not None:
                known = self.persisted_list.load(known)
            self.directory.take(known, cached=True)
        except ListError as problem:
            log.warning("the known list is of no use: %s", problem)

    def _restore_statistics(self) -> None:
        """Takes over the server statistics of the process before this one, and begins to persist its own."""
        if self.persisted_statistics is None:
            return
        learnt = self.persisted_statistics.load()
        if learnt is not None:
            log.info("taking up what was learnt of %d servers", len(learnt.servers))
            self.driver.tell(learnt)
        self.persisted_statistics.start()

    async def _listen(self) -> None:
        configuration = self.configuration
        try:
            host, port = await self.clients.listen(*configuration.listen, configuration.inherited)
            log.info("listening on %s:%d", host, port)
            if configuration.console is not None:
                log.info("operators call at %s:%d", *await self.console.listen(*configuration.console))
        except OSError as problem:
            raise ConfigurationError(f"can't listen: {problem}") from None

    async def stop(self) -> None:
        """Returns once every accepted request is answered, or shortly before the platform sends SIGKILL.

        With an inherited listening socket another process accepts new clients, so idle connections are closed
        one by one; otherwise new clients are accepted for ACCEPT_AFTER_SIGTERM more.
        """
        loop, longest_deadline = asyncio.get_running_loop(), self.driver.longest_deadline / NS_PER_S
        killed_at = loop.time() + min(longest_deadline, MAX_DEADLINE_GRACE) + KILL_GRACE
        self.driver.stop(killed_at - ANSWER_BEFORE_KILL - loop.time())
        if self.configuration.inherited is None:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM)
        else:
            self.clients.hand_over()
            await self.clients.emptied(killed_at - CLOSE_IDLE_BEFORE_KILL - loop.time())
        await self.clients.shut(killed_at - ANSWER_BEFORE_KILL - loop.time())
        if self.peering is not None:
            self.peering.stop()
        await self.clients.emptied(killed_at - EXIT_BEFORE_KILL - loop.time())
        self.watch.stop()
        if self.persisted_list is not None:
            self.persisted_list.close()
        if self.persisted_statistics is not None:
            self.persisted_statistics.close()
        self.console.close()


def _origin_kind(settings: api.Settings) -> int:
    """The kind of server that is the origin; -1 if caches fetch from the origin themselves."""
    return settings.origin_kind if settings.aside else -1
