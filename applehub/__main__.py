"""The real router: reads its configuration, wires the parts together, and ends well on SIGTERM."""

import asyncio
import gc
import logging
import os
import signal
import sys
from dataclasses import dataclass

import orjson

from applehub.interface import Settings
from applehub.logic import Balancer
from applehub.node.clients import Clients
from applehub.node.console import CallError, Console
from applehub.node.discovery import Directory, ListError, Watch, read_endpoint
from applehub.node.driver import Driver
from applehub.node.figures import Figures
from applehub.node.pool import Endpoint, Pools
from applehub.settings import (
    Ceilings,
    Json,
    Names,
    SettingError,
    read_ceilings,
    read_names,
    read_settings,
)

STILL_ACCEPTING = 0.5  # s after SIGTERM in which clients are still sent here
KILLED_AFTER = 0.7  # s past the longest deadline at which SIGKILL comes after SIGTERM
LONGEST = 3.0  # s that the platform waits for a deadline at the most
ALL_ANSWERED, GONE_BY = 0.3, 0.15  # s before SIGKILL: all has its answer; the router ends, read or not
IDLE_UNTIL = 0.6  # s before SIGKILL: who has not asked again by then finds the connection closed
MOST_MEMORY = 192  # MB, where no limit is told
OWN_MEMORY = 26  # MB that the program needs for itself after some minutes
LEAST_MEMORY = 4  # MB for what clients send, however small the limit
log = logging.getLogger("applehub")


class ConfigurationError(ValueError):
    """The configuration is missing or makes no sense."""


@dataclass(slots=True)
class Configuration:
    """What the router is told at its start."""

    listen: Endpoint
    discovery: Endpoint
    console: Endpoint | None
    inherited: int | None  # the descriptor of a listening socket that the platform holds
    seed: int
    sockets: int
    memory: int  # MB
    known: Json
    settings: Settings
    names: Names
    ceilings: Ceilings


def read_configuration(path: str | None) -> Configuration:
    if not path:
        raise ConfigurationError("BALANCER_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
        if not isinstance(told, dict):
            raise ConfigurationError(f"{path}: not an object")
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
        return Configuration(
            read_endpoint(told.get("listen")),
            read_endpoint(told.get("discovery")),
            read_endpoint(console) if console else None,
            None if inherited is None else int(inherited),
            int(str(told.get("seed") or "0"), 16),
            sockets,
            int(memory),
            told.get("known") or {"rev": 0, "targets": []},
            read_settings(info),
            read_names(info),
            read_ceilings(info),
        )
    except (OSError, orjson.JSONDecodeError, SettingError, ListError, ValueError) as problem:
        if isinstance(problem, ConfigurationError):
            raise
        raise ConfigurationError(f"{path}: {problem}") from None


def room_for_values(memory: int) -> int:
    """The bytes of values that may wait in one place, by the limit in MB: a quarter of what the program
    itself leaves, since a value passes through several buffers on its way."""
    return (max(memory - OWN_MEMORY, LEAST_MEMORY) << 20) // 4


def reload(path: str | None, watch: Watch) -> None:
    """Takes up what may change while the router runs: the address of discovery."""
    try:
        endpoint = read_configuration(path).discovery
    except ConfigurationError as problem:
        log.error("told to reload, but the configuration is of no use: %s", problem)
        return
    log.info("told to reload: discovery at %s:%d", *endpoint)
    watch.move(endpoint)


def health(ready: bool) -> str:
    if not ready:
        raise CallError("not ready")
    return "+OK"


async def serve(told: Configuration, path: str | None = None) -> None:
    """Runs the router until it is told to stop and holds nothing more."""
    stopping, loop = asyncio.Event(), asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    pools = Pools(told.sockets * 3 // 8, told.ceilings.dial_timeout / 1e9, told.ceilings.keepalive / 1e9)
    figures = Figures()
    figures.know(list(told.names.classes))
    driver = Driver(Balancer(told.settings, told.seed), pools, told.ceilings.most_held, figures)
    clients = Clients(driver, told.names, told.sockets // 2)
    driver.most_bytes = min(driver.most_bytes, room_for_values(told.memory))
    clients.most_buffered = min(clients.most_buffered, room_for_values(told.memory))
    origin_kind = told.settings.origin_kind if told.settings.aside else -1
    directory = Directory(told.names, origin_kind, pools, driver.members)
    watch = Watch(told.discovery, directory, told.seed, told.settings.must_ask)
    loop.add_signal_handler(signal.SIGHUP, reload, path, watch)
    driver.watch = watch.start
    clients.can_serve = lambda: directory.can_serve
    try:
        directory.take(told.known, cached=True)
    except ListError as problem:
        log.warning("the known list is of no use: %s", problem)
    figures.gauges |= {
        "tries": lambda: pools.written,
        "active": lambda: driver.active,
        "pool_size": lambda: directory.size,
        "pool_ejected": lambda: driver.balancer.avoided,
    }
    console = Console(
        {
            "HEALTH": lambda _: health(clients.accepting and directory.can_serve),
            "DUMP": lambda _: "\n".join(["+OK", *figures.lines(), "."]),
        }
    )
    try:
        host, port = await clients.listen(*told.listen, told.inherited)
    except OSError as problem:
        raise ConfigurationError(f"can't listen on {told.listen[0]}:{told.listen[1]}: {problem}") from None
    log.info("listening on %s:%d", host, port)
    if told.console is not None:
        try:
            log.info("operators call at %s:%d", *await console.listen(*told.console))
        except OSError as problem:
            raise ConfigurationError(f"can't listen for operators: {problem}") from None
    if not told.settings.must_ask:
        watch.start()
    await stopping.wait()
    log.info("told to stop")
    killed = loop.time() + min(driver.longest_deadline / 1e9, LONGEST) + KILLED_AFTER
    driver.stop(killed - ALL_ANSWERED - loop.time())
    if told.inherited is None:
        await asyncio.sleep(STILL_ACCEPTING)
    else:
        clients.hand_over()
        await clients.emptied(killed - IDLE_UNTIL - loop.time())
    clients.close()
    await clients.emptied(killed - GONE_BY - loop.time())
    watch.stop()
    console.close()


def main() -> int:
    level = os.environ.get("APPLEHUB_LOG", "INFO")
    logging.basicConfig(stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger("asyncio").setLevel(logging.INFO)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is a watch to move
    path = os.environ.get("BALANCER_CONFIG")
    try:
        told = read_configuration(path)
        gc.freeze()
        asyncio.run(serve(told, path))
    except ConfigurationError as problem:
        print(f"applehub: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
