"""Creates, connects, starts, reconfigures and stops the components of a router process."""

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from applehub import interface as api
from applehub.node.configuration import Configuration, ConfigurationError, read_configuration
from applehub.node.console import CommandError, Console, Handler
from applehub.node.descriptors import ConnectionLimits, allocate_descriptors
from applehub.node.discovery import Directory, ListError
from applehub.node.driver import Driver
from applehub.node.listener import ClientListener
from applehub.node.memory_budget import buffer_limit_bytes
from applehub.node.metrics import Metrics
from applehub.node.operator_overrides import OperatorOverrides
from applehub.node.pool import Pools
from applehub.node.shared_state import SharedState, shared_state_folder
from applehub.node.watch import Watch
from applehub.policy import Balancer

if TYPE_CHECKING:
    from applehub.node.peering import Peering
    from applehub.node.persisted_list import PersistedList
    from applehub.node.persisted_statistics import PersistedStatistics

ACCEPT_AFTER_SIGTERM = 0.5  # seconds for which clients are still accepted if no other process accepts them
# After SIGTERM the platform waits for the longest deadline of a request, at most MAX_DEADLINE_GRACE seconds,
# and then for KILL_GRACE seconds before it sends SIGKILL.
KILL_GRACE = 0.7
MAX_DEADLINE_GRACE = 3.0
# Times of the steps of a graceful shutdown, in seconds before SIGKILL:
CLOSE_IDLE_BEFORE_KILL = 0.6  # idle connections are closed
ANSWER_BEFORE_KILL = 0.3  # every accepted request is answered
EXIT_BEFORE_KILL = 0.15  # the process exits, even if clients have not read their answers
SHARED_STATE_PERIOD = 0.1  # seconds between two polls of the state that the router's processes share
NS_PER_S = 1e9
log = logging.getLogger("applehub")


class Router:
    """The connected components of one router process."""

    def __init__(self, configuration: Configuration, path: str | None) -> None:
        """Creates the components; nothing listens yet.

        path: the configuration file, read again at a reload. Raises ConfigurationError if $TMPDIR or
        `state_dir` cannot be written to.
        """
        self.configuration, self.path = configuration, path
        self.initial_source = configuration.raw  # a reload must contain all of its keys
        self.stopping = asyncio.Event()
        settings, names, limits = configuration.settings, configuration.names, configuration.network_limits
        self.metrics = Metrics()
        self.metrics.add_classes(list(names.classes))
        self.pools = Pools(0, limits.dial_timeout / NS_PER_S, limits.keepalive / NS_PER_S, self.metrics)
        self.balancer = Balancer(settings, configuration.seed)
        self.driver = Driver(self.balancer, self.pools, limits.max_in_flight, self.metrics)
        self.clients = ClientListener(self.driver, names, self._connection_limits())
        self.directory = Directory(names, _origin_kind(settings), self.pools, self.driver.notify)
        self.watch = Watch(
            configuration.discovery, self.directory, configuration.seed, settings.list_on_request
        )
        self.driver.start_watch = self.watch.start
        self.clients.can_serve = lambda: self.directory.can_serve
        self.shared_state = self._open_shared_state()
        self.overrides: OperatorOverrides | None = None
        if self.shared_state is not None:
            self.driver.used_ids.share(self.shared_state.folder)
            self.overrides = OperatorOverrides(self.directory, self.driver.notify, self.shared_state)
        self.peering = self._create_peering()
        self.persisted_list: PersistedList | None = None
        self.persisted_statistics: PersistedStatistics | None = None
        self._open_persisted()
        self._apply_limits(1)
        self._register_gauges()
        self.console = Console(self._console_commands())

    def _open_shared_state(self) -> SharedState | None:
        """Opens the state shared with the router's other processes; None without a console, its only user."""
        if self.configuration.console is None:
            return None
        try:
            return SharedState(shared_state_folder())
        except OSError as error:
            raise ConfigurationError(f"cannot write to $TMPDIR: {error}") from None

    def _create_peering(self) -> "Peering | None":
        """Creates the gossip with other routers; None unless `peers` is configured."""
        configuration = self.configuration
        if configuration.peers is None:
            return None
        from applehub.node.peering import Peering

        configuration.settings.peers = True
        peering = Peering(
            configuration.peers, configuration.name, self.driver.notify, lambda: self.directory.targets,
            lambda: self.configuration.names.kinds,
        )  # fmt: skip
        self.driver.publish = peering.publish
        return peering

    def _open_persisted(self) -> None:
        """Opens the persisted server list and statistics, if `state_dir` is configured."""
        folder = self.configuration.state_dir
        if folder is None:
            return
        from applehub.node.persisted_list import PersistedList
        from applehub.node.persisted_statistics import PersistedStatistics

        try:
            self.persisted_list = PersistedList(folder)
            self.persisted_statistics = PersistedStatistics(folder, self.balancer.statistics)
        except OSError as error:
            raise ConfigurationError(f"state_dir: {error}") from None
        self.directory.on_update = self.persisted_list.update

    def _register_gauges(self) -> None:
        self.metrics.gauges |= {
            "tries": lambda: self.pools.attempts_written,
            "active": lambda: self.driver.active,
            "pool_size": lambda: self.directory.cache_count,
            "pool_ejected": lambda: self.balancer.server_table.excluded_count,
        }

    def _console_commands(self) -> dict[str, Handler]:
        commands: dict[str, Handler] = {
            "HEALTH": lambda _: self.health(),
            "DUMP": lambda _: "\n".join(["+OK", *self.metrics.lines(), "."]),
        }
        if self.overrides is not None:
            commands |= {"OFFLINE": self.overrides.offline, "ONLINE": self.overrides.online}
        if self.peering is not None:
            peering = self.peering
            commands["PEERS"] = lambda _: "\n".join(["+OK", *peering.lines(), "."])
        return commands

    def health(self) -> str:
        """Returns the answer to the HEALTH command. Raises CommandError if clients cannot be served."""
        if not self.clients.accepting or not self.directory.can_serve:
            raise CommandError("not ready")
        return "+OK"

    def _connection_limits(self) -> ConnectionLimits:
        return allocate_descriptors(
            self.configuration.max_descriptors, self.configuration.console is not None
        )

    def _apply_limits(self, processes: int) -> None:
        """Applies this process's portion of the configured limits.

        processes: number of running processes of this router.
        """
        self.processes = processes
        self.clients.connection_limits = self._connection_limits()
        self.pools.max_connections = self.clients.connection_limits.server_connections // processes
        self.driver.memory.limit = buffer_limit_bytes(self.configuration.memory_limit_mb, processes)
        self.driver.notify(api.ProcessCount(processes))

    def _poll_shared_state(self) -> None:
        """Applies changes by the other process, and detects its start and end; reschedules itself."""
        if self.shared_state is None or self.overrides is None:
            return
        self.overrides.poll()
        processes = 2 if self.shared_state.has_other_process() else 1
        if processes != self.processes:
            single_text = "no other process of this router is running"
            log.info("another process of this router is running" if processes > 1 else single_text)
            self._apply_limits(processes)
        asyncio.get_running_loop().call_later(SHARED_STATE_PERIOD, self._poll_shared_state)

    def reload(self) -> None:
        """Reads the configuration again and applies it; applies nothing if it is invalid.

        The listening addresses do not change.
        """
        try:
            configuration = read_configuration(self.path, self.initial_source)
        except ConfigurationError as error:
            self.metrics.config_rejected += 1
            log.error("reload failed, configuration rejected: %s", error)
            return
        self.metrics.config_applied += 1
        log.info("configuration reloaded: discovery at %s:%d", *configuration.discovery[0])
        self._apply(configuration)
        self.watch.set_endpoints(configuration.discovery)

    def _apply(self, configuration: Configuration) -> None:
        """Applies a reloaded configuration to every component that depends on it."""
        self._keep_indexes(configuration)
        settings, names, limits = configuration.settings, configuration.names, configuration.network_limits
        self.clients.names = self.directory.names = names
        self.directory.origin_kind = _origin_kind(settings)
        self.configuration = configuration
        self.metrics.add_classes(list(names.classes))
        self.driver.max_requests = limits.max_in_flight
        self.pools.set_timeouts(limits.dial_timeout / NS_PER_S, limits.keepalive / NS_PER_S)
        self.watch.list_on_request = settings.list_on_request
        self._apply_limits(self.processes)
        if self.peering is not None:
            settings.peers = True
            if configuration.peers is not None:
                self.peering.reconfigure(configuration.peers)
        self.driver.notify(api.SettingsChanged(settings))

    def _keep_indexes(self, configuration: Configuration) -> None:
        """Keeps the indexes of known zones and kinds, since listed servers refer to them."""
        settings, kinds = configuration.settings, list(configuration.names.kinds)
        configuration.names = configuration.names.with_indexes_of(self.configuration.names)
        if 0 <= settings.origin_kind < len(kinds):
            settings.origin_kind = configuration.names.kinds[kinds[settings.origin_kind]]

    async def start(self) -> None:
        """Restores persisted state, listens, and starts to watch the server list.

        Raises ConfigurationError if the router cannot listen at an address.
        """
        loop, configuration = asyncio.get_running_loop(), self.configuration
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._restore_list()
        self._restore_statistics()
        self._poll_shared_state()
        await self._listen()
        if not configuration.settings.list_on_request:
            self.watch.start()
        if self.peering is not None:
            await self.peering.start()

    def _restore_list(self) -> None:
        """Starts from the configured server list, or from the persisted one if that is newer."""
        try:
            initial_list = self.configuration.initial_list
            if self.persisted_list is not None:
                initial_list = self.persisted_list.load(initial_list)
            self.directory.apply(initial_list, cached=True)
        except ListError as error:
            log.warning("initial server list rejected: %s", error)

    def _restore_statistics(self) -> None:
        """Restores the server statistics of the previous process, and starts to persist new ones."""
        if self.persisted_statistics is None:
            return
        statistics = self.persisted_statistics.load()
        if statistics is not None:
            log.info("restored statistics: %d servers", len(statistics.servers))
            self.driver.notify(statistics)
        self.persisted_statistics.start()

    async def _listen(self) -> None:
        configuration = self.configuration
        try:
            host, port = await self.clients.listen(*configuration.listen, configuration.inherited_descriptor)
            log.info("listening on %s:%d", host, port)
            if configuration.console is not None:
                log.info("console listening on %s:%d", *await self.console.listen(*configuration.console))
        except OSError as error:
            raise ConfigurationError(f"can't listen: {error}") from None

    async def stop(self) -> None:
        """Shuts down gracefully: returns once every accepted request is answered, or shortly before SIGKILL.

        With an inherited listening socket another process accepts new clients, so each connection is closed
        after its next answer; otherwise clients are accepted for ACCEPT_AFTER_SIGTERM more seconds.
        """
        loop, longest_deadline = asyncio.get_running_loop(), self.driver.longest_deadline / NS_PER_S
        killed_at = loop.time() + min(longest_deadline, MAX_DEADLINE_GRACE) + KILL_GRACE
        self.driver.stop(killed_at - ANSWER_BEFORE_KILL - loop.time())
        if self.configuration.inherited_descriptor is None:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM)
        else:
            self.clients.hand_over()
            await self.clients.wait_empty(killed_at - CLOSE_IDLE_BEFORE_KILL - loop.time())
        await self.clients.shut_down(killed_at - ANSWER_BEFORE_KILL - loop.time())
        if self.peering is not None:
            self.peering.stop()
        await self.clients.wait_empty(killed_at - EXIT_BEFORE_KILL - loop.time())
        self.watch.stop()
        if self.persisted_list is not None:
            self.persisted_list.close()
        if self.persisted_statistics is not None:
            self.persisted_statistics.close()
        self.driver.used_ids.close()
        self.console.close()


def _origin_kind(settings: api.Settings) -> int:
    """Returns the index of the origin's kind; -1 if caches fetch from the origin themselves."""
    return settings.origin_kind if settings.cache_aside else -1
