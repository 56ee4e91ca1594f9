"""Runs one replica of the list service: `python -m applehub.registry CONFIG`.

SIGTERM stops the replica. SIGHUP reloads the configuration file: views, limits and leases take effect
immediately, all other settings at the next start. Events are written to standard output as JSON lines.

The exit code is 2 if the configuration is invalid or an address can't be listened on, and 3 if the store is
unusable."""

import asyncio
import contextlib
import logging
import signal
import sys
from pathlib import Path

import click

from applehub.events import EventKind, EventWriter
from applehub.registry.config import Config, load
from applehub.registry.descriptors import raise_descriptor_limit
from applehub.registry.errors import ConfigError, StoreError, StoreRefusedError
from applehub.registry.host import Host, HostOptions
from applehub.registry.service import Service
from applehub.registry.store import ReplicaStore

START_RETRY_TIMEOUT = 60.0  # seconds of retries to open the store: twice a disk outage of 30 s
START_RETRY_DELAY = 0.2  # seconds between attempts to open the store
EXIT_INVALID_CONFIG = 2
EXIT_STORE_UNUSABLE = 3
log = logging.getLogger("applehub.registry")


def make_host(config: Config) -> Host:
    """Returns the host of this replica, loaded from its store. Raises StoreError."""
    names = sorted(config.peers) or [config.name]
    options = HostOptions(
        replica_id=names.index(config.name),
        addresses={member: config.peers[name] for member, name in enumerate(names) if config.peers},
        timing=config.timing.for_replica(),
        max_changes=config.limits.changes,
        compact_after=config.limits.compact,
    )
    store = ReplicaStore(config.state_dir)
    try:
        return Host(options, store)
    except BaseException:
        store.close()
        raise


async def open_host(config: Config, stopping: asyncio.Event) -> Host | None:
    """Opens the store and returns the host, or None if `stopping` is set first.

    Retries while the disk refuses access, up to START_RETRY_TIMEOUT. Raises StoreError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_RETRY_TIMEOUT
    has_warned = False
    while not stopping.is_set():
        try:
            return make_host(config)
        except StoreRefusedError as error:
            if loop.time() > deadline:
                raise
            if not has_warned:
                log.warning("opening the store failed: %s; retrying for %.0f s", error, START_RETRY_TIMEOUT)
            has_warned = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), START_RETRY_DELAY)
    return None


async def serve(config: Config, path: Path, events: EventWriter) -> None:
    """Runs the replica until it is stopped. Raises StoreError, and OSError if it can't listen."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    raise_descriptor_limit(config.limits.callers)
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    host = await open_host(config, stopping)
    if host is None:
        return
    service = Service(config, host, events)
    loop.add_signal_handler(signal.SIGHUP, reload_config, path, service, events)
    await host.start()
    router_address, admin_address = await service.start()
    events.write(EventKind.READY, address=router_address, staff=admin_address, version=host.endpoints.version)
    host.failed.add_done_callback(lambda _: stopping.set())
    await stopping.wait()
    await service.stop()
    await host.stop()
    if host.failed.done():
        host.failed.result()


def reload_config(path: Path, service: Service, events: EventWriter) -> None:
    """Reloads the configuration file; an invalid file changes nothing."""
    try:
        config = load(path)
    except ConfigError as error:
        events.write(EventKind.CONFIG_RELOADED, taken=False, why=str(error))
        return
    raise_descriptor_limit(config.limits.callers)
    service.update_config(config)
    events.write(EventKind.CONFIG_RELOADED, taken=True)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def main(file: Path) -> None:
    """Runs the replica that FILE describes."""
    logging.basicConfig(stream=sys.stderr, level="WARNING", format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored until the service can reload
    try:
        config = load(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_CONFIG)
    events = EventWriter(sys.stdout.buffer, config.name, 0)
    try:
        asyncio.run(serve(config, file, events))
    except StoreError as error:
        events.write(EventKind.STORE_DAMAGED, why=str(error))
        click.echo(str(error), err=True)
        sys.exit(EXIT_STORE_UNUSABLE)
    except OSError as error:
        click.echo(f"{file}: can't listen: {error.strerror or error}", err=True)
        sys.exit(EXIT_INVALID_CONFIG)


if __name__ == "__main__":
    main()
