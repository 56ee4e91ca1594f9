"""One replica of the list service: `python -m applehub.registry CONFIG`.

SIGTERM ends it; SIGHUP has it read its file anew (views, limits and leases are taken up; the rest stays until
the next start). Its events are JSON lines on standard output. Code 2: the file is of no use; 3: its disk
is."""

import asyncio
import contextlib
import logging
import signal
import sys
from pathlib import Path

import click

from applehub.events import Event, Writer
from applehub.registry import raft
from applehub.registry.config import Config, ConfigError, load
from applehub.registry.descriptors import allow_callers
from applehub.registry.host import Host
from applehub.registry.server import Service
from applehub.registry.store import Store, StoreError, StoreRefusedError

MILLI = 1_000_000
START_PATIENCE = 60.0  # s in which a disk that refuses may come back at the start: twice an outage of 30 s
START_PAUSE = 0.2  # s between tries
log = logging.getLogger("applehub.registry")


def make_host(config: Config) -> Host:
    """The host of this replica, with what its disk holds. Raises StoreError."""
    names = sorted(config.peers) or [config.name]
    timing = raft.Timing(
        int(config.timing.heartbeat_ms * MILLI),
        int(config.timing.election_ms * MILLI),
        int(config.timing.lease_ms * MILLI),
    )
    addresses = {number: config.peers[name] for number, name in enumerate(names) if config.peers}
    limits, store = config.limits, Store(config.state_dir)
    try:
        return Host(names.index(config.name), addresses, timing, store, limits.changes, limits.compact)
    except BaseException:
        store.close()
        raise


async def opened(config: Config, stopping: asyncio.Event) -> Host | None:
    """The host, which a disk that refuses for a while may delay; none: the replica is to stop first. Raises
    StoreError."""
    loop = asyncio.get_running_loop()
    end, logged = loop.time() + START_PATIENCE, False
    while not stopping.is_set():
        try:
            return make_host(config)
        except StoreRefusedError as problem:
            if loop.time() > end:
                raise
            if not logged:
                log.warning("%s: tried again for %.0f s", problem, START_PATIENCE)
            logged = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), START_PAUSE)
    return None


async def serve(config: Config, path: Path, events: Writer) -> None:
    """Runs until it is told to stop. Raises StoreError, and OSError where it can't listen."""
    loop, stopping = asyncio.get_running_loop(), asyncio.Event()
    allow_callers(config.limits.callers)
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    host = await opened(config, stopping)
    if host is None:
        return
    service = Service(config, host, events)
    loop.add_signal_handler(signal.SIGHUP, reload, path, service, events)
    await host.start()
    listen, staff = await service.start()
    events.say(Event.READY, address=listen, staff=staff, version=host.entries.version)
    host.failed.add_done_callback(lambda _: stopping.set())
    await stopping.wait()
    await service.stop()
    await host.stop()
    if host.failed.done():
        host.failed.result()


def reload(path: Path, service: Service, events: Writer) -> None:
    """Takes up a file that is of use; one that is not changes nothing."""
    try:
        config = load(path)
    except ConfigError as problem:
        events.say(Event.RELOADED, taken=False, why=str(problem))
        return
    allow_callers(config.limits.callers)
    service.retune(config)
    events.say(Event.RELOADED, taken=True)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def main(file: Path) -> None:
    """Runs the replica that FILE describes."""
    logging.basicConfig(stream=sys.stderr, level="WARNING", format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        config = load(file)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    events = Writer(sys.stdout.buffer, config.name, 0)
    try:
        asyncio.run(serve(config, file, events))
    except StoreError as problem:
        events.say(Event.DAMAGED, why=str(problem))
        click.echo(str(problem), err=True)
        sys.exit(3)
    except OSError as problem:
        click.echo(f"{file}: can't listen: {problem.strerror or problem}", err=True)
        sys.exit(2)


if __name__ == "__main__":
    main()
