"""The real router: reads its configuration, wires the parts together, and ends well on SIGTERM."""

import asyncio
import gc
import logging
import os
import signal
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from applehub import interface as api
from applehub.interface import Settings
from applehub.node.arrivals import Loop
from applehub.node.byhand import ByHand
from applehub.node.console import CallError, Console, Handler
from applehub.node.descriptors import Places, share_out
from applehub.node.discovery import Directory, ListError, Watch, read_endpoint
from applehub.node.driver import Driver
from applehub.node.figures import Figures
from applehub.node.listener import Clients
from applehub.node.pool import Endpoint, Pools
from applehub.node.shared import Shared
from applehub.policy import Balancer
from applehub.settings import (
    Ceilings,
    Json,
    Names,
    SettingError,
    first_missing,
    read_ceilings,
    read_names,
    read_settings,
)

if TYPE_CHECKING:
    from applehub.node.keptlearnt import KeptLearnt
    from applehub.node.keptlist import KeptList
    from applehub.node.peering import Peering, PeersTold

STILL_ACCEPTING = 0.5  # s after SIGTERM in which clients are still sent here
KILLED_AFTER = 0.7  # s past the longest deadline at which SIGKILL comes after SIGTERM
LONGEST = 3.0  # s that the platform waits for a deadline at the most
ALL_ANSWERED, GONE_BY = 0.3, 0.15  # s before SIGKILL: all has its answer; the router ends, read or not
IDLE_UNTIL = 0.6  # s before SIGKILL: who has not asked again by then finds the connection closed
MOST_MEMORY = 192  # MB, where no limit is told
OWN_MEMORY = 26  # MB that the program needs for itself after some minutes
LOOK = 0.1  # s between looks at what other processes of this router were told
LEAST_MEMORY = 4  # MB for what clients send, however small the limit
log = logging.getLogger("applehub")


class ConfigurationError(ValueError):
    """The configuration is missing or makes no sense."""


@dataclass(slots=True)
class Configuration:
    """What the router is told at its start."""

    listen: Endpoint
    discovery: list[Endpoint]  # the one that the platform tells, then others that serve the same list
    console: Endpoint | None
    inherited: int | None  # the descriptor of a listening socket that the platform holds
    seed: int
    sockets: int
    memory: int  # MB
    known: Json
    settings: Settings
    names: Names
    ceilings: Ceilings
    raw: Json
    name: str
    peers: "PeersTold | None"  # none: it hears no other router
    state_dir: str | None  # where it keeps what outlives it


def read_configuration(path: str | None, before: Json | None = None) -> Configuration:
    """Reads and checks all of it. At a reload, all that was told at the start must be told again."""
    if not path:
        raise ConfigurationError("BALANCER_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
        if not isinstance(told, dict):
            raise ConfigurationError(f"{path}: not an object")
        missing = first_missing(told, before)
        if missing is not None:
            raise ConfigurationError(f"{path}: {missing} is missing")
        info = told.get("settings")
        if not isinstance(info, dict):
            raise ConfigurationError(f"{path}: settings is missing or not an object")
        limits = told.get("limits")
        sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 1024
        if type(sockets) is not int or sockets < 64:
            raise ConfigurationError(f"{path}: limits.sockets makes no sense: {sockets!r}")
        memory = limits.get("memory_mb", MOST_MEMORY) if isinstance(limits, dict) else MOST_MEMORY
        if type(memory) not in (int, float) or memory < 1:
            raise ConfigurationError(f"{path}: limits.memory_mb makes no sense: {memory!r}")
        # The variable first: the file may be shared by two processes of an upgrade, the variable never is.
        console = os.environ.get("BALANCER_CONSOLE") or told.get("console")
        inherited = os.environ.get("BALANCER_INHERITED_FD") or None
        if inherited is not None and not (inherited.isascii() and inherited.isdigit()):
            raise ConfigurationError(
                f"BALANCER_INHERITED_FD: expected a descriptor's number, got {inherited!r}"
            )
        return Configuration(
            read_endpoint(told.get("listen")),
            read_discovery(told),
            read_endpoint(console) if console else None,
            None if inherited is None else int(inherited),
            int(str(told.get("seed") or "0"), 16),
            sockets,
            int(memory),
            told.get("known") or {"rev": 0, "targets": []},
            read_settings(info),
            read_names(info),
            read_ceilings(info),
            told,
            str(told.get("name") or ""),
            read_peers_of(told, info),
            read_state_dir(told),
        )
    except (OSError, orjson.JSONDecodeError, SettingError, ListError, ValueError) as problem:
        if isinstance(problem, ConfigurationError):
            raise
        raise ConfigurationError(f"{path}: {problem}") from None


def read_peers_of(told: Json, info: Json) -> "PeersTold | None":
    """`peers`, unless the platform forbids routers to speak with each other. Raises ValueError."""
    if told.get("peers") is None:
        return None
    from applehub.node.peering import read_peers  # here alone: no deployment that lacks the key pays for it

    peers, ceilings = read_peers(told["peers"], read_endpoint), info.get("ceilings")
    if not told.get("name"):
        raise ConfigurationError("name: expected one, by which other routers know this one")
    if isinstance(ceilings, dict) and ceilings.get("mayTell") is False:
        log.warning("peers is left unused: ceilings.mayTell forbids it")
        return None
    return peers


def read_state_dir(told: Json) -> str | None:
    """`state_dir`: a folder of this router's own. Raises ConfigurationError."""
    folder = told.get("state_dir")
    if folder is not None and (not isinstance(folder, str) or not os.path.isabs(folder)):
        raise ConfigurationError(f"state_dir: expected the whole path of a folder, got {folder!r}")
    return folder


def read_discovery(told: Json) -> list[Endpoint]:
    """`discovery`, and `discoveries` where the list service has further addresses. Raises ListError."""
    further = told.get("discoveries") or []
    if not isinstance(further, list):
        raise ListError(f"discoveries: expected a list of addresses, got {further!r}")
    return list(dict.fromkeys(map(read_endpoint, [told.get("discovery"), *further])))


def room_for_values(memory: int, copies: int = 1) -> int:
    """The bytes that may wait, by the limit in MB: half of what the program itself leaves, since some
    stand in two buffers for a moment. Copies share the limit."""
    return (max(memory - OWN_MEMORY * copies, LEAST_MEMORY) << 20) // 2 // copies


def shared_folder() -> str:
    """What processes of one router share: $TMPDIR, or a folder of its own, since any other is others' too."""
    if os.environ.get("TMPDIR"):
        return os.environ["TMPDIR"]
    import tempfile  # here alone: it costs each start 8 ms, and no deployment comes to this line

    return tempfile.mkdtemp(prefix="applehub-")


class Router:
    """The parts of a router, wired together."""

    def __init__(self, told: Configuration, path: str | None) -> None:
        self.told, self.path = told, path
        self.first = told.raw  # a reload has to tell all that the start told
        self.stopping = asyncio.Event()
        self.figures = Figures()
        self.figures.know(list(told.names.classes))
        self.pools = Pools(0, told.ceilings.dial_timeout / 1e9, told.ceilings.keepalive / 1e9)
        balancer = Balancer(told.settings, told.seed)
        self.driver = Driver(balancer, self.pools, told.ceilings.most_held, self.figures)
        self.clients = Clients(self.driver, told.names, self._places())
        origin_kind = told.settings.origin_kind if told.settings.aside else -1
        self.directory = Directory(told.names, origin_kind, self.pools, self.driver.tell)
        self.watch = Watch(told.discovery, self.directory, told.seed, told.settings.must_ask)
        self.driver.watch = self.watch.start
        self.clients.can_serve = lambda: self.directory.can_serve
        try:
            self.shared = Shared(shared_folder()) if told.console is not None else None
        except OSError as problem:
            raise ConfigurationError(f"can't write in $TMPDIR: {problem}") from None
        self.by_hand = ByHand(self.directory, self.driver.tell, self.shared) if self.shared else None
        self.peering = self._peering()
        self.kept = self._kept(balancer)
        self._budget(1)
        self.figures.gauges |= {
            "tries": lambda: self.pools.written,
            "active": lambda: self.driver.active,
            "pool_size": lambda: self.directory.size,
            "pool_ejected": lambda: balancer.roster.avoided,
        }
        self.console = Console(self._calls())

    def _peering(self) -> "Peering | None":
        told = self.told
        if told.peers is None:
            return None
        from applehub.node.peering import Peering

        told.settings.peers = True
        peering = Peering(
            told.peers, told.name, self.driver.tell, lambda: self.directory.targets,
            lambda: self.told.names.kinds,
        )  # fmt: skip
        self.driver.say = peering.say
        return peering

    def _kept(self, balancer: Balancer) -> "tuple[KeptList, KeptLearnt] | None":
        if self.told.state_dir is None:
            return None
        from applehub.node.keptlearnt import KeptLearnt
        from applehub.node.keptlist import KeptList

        try:
            kept = KeptList(self.told.state_dir), KeptLearnt(self.told.state_dir, balancer.learnt)
        except OSError as problem:
            raise ConfigurationError(f"state_dir: {problem}") from None
        self.directory.took = kept[0].take
        return kept

    def _calls(self) -> dict[str, Handler]:
        calls: dict[str, Handler] = {
            "HEALTH": lambda _: self.health(),
            "DUMP": lambda _: "\n".join(["+OK", *self.figures.lines(), "."]),
        }
        if self.by_hand is not None:
            calls |= {"OFFLINE": self.by_hand.offline, "ONLINE": self.by_hand.online}
        if self.peering is not None:
            peering = self.peering
            calls["PEERS"] = lambda _: "\n".join(["+OK", *peering.lines(), "."])
        return calls

    def health(self) -> str:
        if not self.clients.accepting or not self.directory.can_serve:
            raise CallError("not ready")
        return "+OK"

    def _places(self) -> Places:
        return share_out(self.told.sockets, self.told.console is not None)

    def _budget(self, copies: int) -> None:
        """Takes this process's part of what all processes of the router may use."""
        self.copies = copies
        self.clients.places = self._places()
        self.pools.most = self.clients.places.pools // copies
        self.driver.room.most = room_for_values(self.told.memory, copies)
        self.driver.tell(api.Copies(copies))

    def _look_around(self) -> None:
        """Takes up what another process of this router was told, and whether there is one."""
        if self.shared is not None and self.by_hand is not None:
            self.by_hand.look()
            copies = 2 if self.shared.others() else 1
            if copies != self.copies:
                alone = "no other process serves any more"
                log.info("another process serves beside this one" if copies > 1 else alone)
                self._budget(copies)
            asyncio.get_running_loop().call_later(LOOK, self._look_around)

    def reload(self) -> None:
        """Takes up the settings and discovery's address, all or nothing. The addresses it listens on stay."""
        try:
            told = read_configuration(self.path, self.first)
        except ConfigurationError as problem:
            self.figures.config_rejected += 1
            log.error("told to reload, but the configuration is of no use: %s", problem)
            return
        self.figures.config_applied += 1
        log.info("told to reload: discovery at %s:%d", *told.discovery[0])
        self._retune(told)
        self.watch.move(told.discovery)

    def _retune(self, told: Configuration) -> None:
        names = told.names.after(self.told.names)
        kinds = list(told.names.kinds)
        if 0 <= told.settings.origin_kind < len(kinds):
            told.settings.origin_kind = names.kinds[kinds[told.settings.origin_kind]]
        told.names = self.clients.names = self.directory.names = names
        self.directory.origin_kind = told.settings.origin_kind if told.settings.aside else -1
        self.told = told
        self.figures.know(list(names.classes))
        self.driver.most_held = told.ceilings.most_held
        self.pools.limit_times(told.ceilings.dial_timeout / 1e9, told.ceilings.keepalive / 1e9)
        self.watch.must_ask = told.settings.must_ask
        self._budget(self.copies)
        if self.peering is not None:
            told.settings.peers = True
            if told.peers is not None:
                self.peering.move(told.peers)
        self.driver.tell(api.Retuned(told.settings))

    async def start(self) -> None:
        loop, told = asyncio.get_running_loop(), self.told
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            known = told.known if self.kept is None else self.kept[0].load(told.known)
            self.directory.take(known, cached=True)
        except ListError as problem:
            log.warning("the known list is of no use: %s", problem)
        if self.kept is not None:
            learnt = self.kept[1].load()
            if learnt is not None:
                log.info("taking up what was learnt of %d servers", len(learnt.servers))
                self.driver.tell(learnt)
            self.kept[1].start()
        self._look_around()
        try:
            host, port = await self.clients.listen(*told.listen, told.inherited)
            log.info("listening on %s:%d", host, port)
            if told.console is not None:
                log.info("operators call at %s:%d", *await self.console.listen(*told.console))
        except OSError as problem:
            raise ConfigurationError(f"can't listen: {problem}") from None
        if not told.settings.must_ask:
            self.watch.start()
        if self.peering is not None:
            await self.peering.start()

    async def stop(self) -> None:
        """Ends once all that was taken is answered. Where another process lets clients in, connections are
        handed over one by one; elsewhere clients still come for a while."""
        loop, longest = asyncio.get_running_loop(), self.driver.longest_deadline / 1e9
        killed = loop.time() + min(longest, LONGEST) + KILLED_AFTER
        self.driver.stop(killed - ALL_ANSWERED - loop.time())
        if self.told.inherited is None:
            await asyncio.sleep(STILL_ACCEPTING)
        else:
            self.clients.hand_over()
            await self.clients.emptied(killed - IDLE_UNTIL - loop.time())
        await self.clients.shut()
        if self.peering is not None:
            self.peering.stop()
        await self.clients.emptied(killed - GONE_BY - loop.time())
        self.watch.stop()
        for kept in self.kept or ():
            kept.close()
        self.console.close()


async def serve(told: Configuration, path: str | None = None) -> None:
    """Runs the router until it is told to stop and holds nothing more."""
    router = Router(told, path)
    await router.start()
    await router.stopping.wait()
    log.info("told to stop")
    await router.stop()


def main() -> int:
    level = os.environ.get("APPLEHUB_LOG", "INFO")
    logging.basicConfig(stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger("asyncio").setLevel(logging.INFO)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is a watch to move
    path = os.environ.get("BALANCER_CONFIG")
    try:
        told = read_configuration(path)
        gc.freeze()
        with asyncio.Runner(loop_factory=Loop) as runner:
            runner.run(serve(told, path))
    except ConfigurationError as problem:
        print(f"applehub: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
