"""One replica of the list service: `python -m applehub.registry CONFIG`.

SIGTERM ends it; SIGHUP has it read its file anew (views, limits and leases are taken up; the rest stays until
the next start). Its events are JSON lines on standard output. Code 2: the file is of no use; 3: its disk
is."""

import asyncio
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
from applehub.registry.store import Store, StoreError

MILLI = 1_000_000


async def serve(config: Config, path: Path, events: Writer) -> None:
    """Runs until it is told to stop. Raises StoreError, and OSError where it can't listen."""
    loop, stopping = asyncio.get_running_loop(), asyncio.Event()
    allow_callers(config.limits.callers)
    names = sorted(config.peers) or [config.name]
    timing = raft.Timing(
        int(config.timing.heartbeat_ms * MILLI),
        int(config.timing.election_ms * MILLI),
        int(config.timing.lease_ms * MILLI),
    )
    addresses = {number: config.peers[name] for number, name in enumerate(names) if config.peers}
    store = Store(config.state_dir)
    host = Host(
        names.index(config.name), addresses, timing, store, config.limits.changes, config.limits.compact
    )
    service = Service(config, host, events)
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
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
