"""Gossip between routers over UDP: sends and receives datagrams, and reports the fleet to the balancer."""

import asyncio
import logging
import os
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

from applehub import interface as api
from applehub.node.pool import Endpoint
from applehub.peers.agent import GossipAgent, OutgoingDatagram
from applehub.peers.codec import MAX_NAME_BYTES, Peer, PeerState
from applehub.peers.policy_adapter import PolicyAdapter
from applehub.settings import SettingError, setting

REPORT_INTERVAL = 0.25  # seconds between two reports of the fleet to the balancer
BIND_RETRY_INTERVAL = 1.0  # seconds between two attempts to bind an address that another process uses
PERIOD_RANGE_MS = (10, 5000)  # minimum and maximum of `period_ms`
NS_PER_MS = 1_000_000
log = logging.getLogger("applehub")


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Configuration of the gossip.

    fleet: name of the group of routers that gossip with each other.
    listen: address of this router's socket.
    routers: addresses of the other routers by name, as this one reaches them.
    """

    fleet: str
    listen: Endpoint
    routers: dict[str, Endpoint]
    period: float  # seconds between two probes


def read_peers(source: object, parse_endpoint: Callable[[object], Endpoint]) -> PeersConfig:
    """Reads the configuration key `peers`. Raises SettingError.

    parse_endpoint: parses an address; raises ValueError.
    """
    if not isinstance(source, dict):
        raise SettingError(f"peers: expected an object, got {source!r}")
    unknown = sorted(set(source) - {"fleet", "listen", "routers", "period_ms"})
    if unknown:
        raise SettingError(f"peers.{unknown[0]}: expected fleet, listen, routers or period_ms")
    routers = setting(source, "peers.routers", dict, {})
    period = setting(source, "peers.period_ms", int, 50)
    if not PERIOD_RANGE_MS[0] <= period <= PERIOD_RANGE_MS[1]:
        raise SettingError(
            f"peers.period_ms: expected {PERIOD_RANGE_MS[0]} to {PERIOD_RANGE_MS[1]}, got {period}"
        )
    try:
        listen = parse_endpoint(setting(source, "peers.listen", str))
        socket.inet_aton(listen[0])
        addresses = {str(name): parse_endpoint(address) for name, address in routers.items()}
    except (ValueError, OSError) as error:
        if isinstance(error, SettingError):
            raise
        raise SettingError(f"peers: expected IPv4 addresses with ports: {error}") from None
    if any(len(name.encode()) > MAX_NAME_BYTES for name in addresses):
        raise SettingError(f"peers.routers: expected names of at most {MAX_NAME_BYTES} bytes")
    return PeersConfig(setting(source, "peers.fleet", str), listen, addresses, period / 1000)


class Peering(asyncio.DatagramProtocol):
    """The gossip agent of one process, on a datagram socket."""

    def __init__(
        self,
        config: PeersConfig,
        name: str,
        notify: Callable[[api.GossipSummary], None],
        servers: Callable[[], Iterable[str]],
        kinds: Callable[[], dict[str, int]],
    ) -> None:
        """Creates the agent; nothing is sent before `start`.

        servers: returns the names of the listed servers. kinds: returns the index of each kind by its name.
        """
        self.config, self.notify, self.servers, self.kinds = config, notify, servers, kinds
        # Random and never 0, so that a restarted process is a new member.
        incarnation = int.from_bytes(os.urandom(8)) | 1
        host, port = config.listen
        local_peer = Peer(incarnation, 0, PeerState.ALIVE, socket.inet_aton(host), port, name)
        other_names = [router for router in config.routers if router != name]
        self.adapter = PolicyAdapter(
            GossipAgent(local_peer, config.fleet, other_names, incarnation, int(config.period * 1e9))
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.reported_at = 0.0  # event loop time in seconds
        self.stopped = False

    async def start(self) -> None:
        """Binds the socket; retries while another process of this router uses the address."""
        loop = asyncio.get_running_loop()
        if self.stopped:
            return
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        except OSError as error:
            log.warning(
                "gossip socket could not be bound to %s:%d; will retry: %s",
                *self.config.listen,
                error.strerror,
            )
            self.timer = loop.call_later(BIND_RETRY_INTERVAL, self._retry_start)
            return
        log.info("gossip listening on %s:%d", *self.config.listen)
        self._tick()

    def _retry_start(self) -> None:
        self.start_task = asyncio.get_running_loop().create_task(self.start())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._send(self.adapter.agent.receive(time.monotonic_ns(), data))

    def error_received(self, exc: Exception) -> None:
        """Ignores the error: gossip detects an unreachable peer by its missing answers."""

    def _tick(self) -> None:
        loop, now = asyncio.get_running_loop(), time.monotonic_ns()
        # Scheduled first, so that an error below does not stop the ticks.
        self.timer = loop.call_later(self.config.period, self._tick)
        self._send(self.adapter.agent.tick(now))
        if loop.time() - self.reported_at >= REPORT_INTERVAL:
            self.reported_at = loop.time()
            self.notify(self.adapter.gossip_summary(now, self.servers(), self.kinds()))

    def _send(self, outgoing: list[OutgoingDatagram]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for destination, data in outgoing:
            name = destination.name if isinstance(destination, Peer) else destination
            address = self.config.routers.get(name)
            if address is None and isinstance(destination, Peer):
                address = socket.inet_ntoa(destination.host), destination.port
            if address is not None:
                self.transport.sendto(data, address)

    def publish(self, report: api.PublishGossip) -> None:
        """Publishes a report of the balancer to the other routers."""
        self.adapter.publish(time.monotonic_ns(), report, self.kinds())

    def reconfigure(self, config: PeersConfig) -> None:
        """Applies a reloaded configuration: the routers' addresses and the period.

        The listen address and the fleet do not change.
        """
        self.config = PeersConfig(self.config.fleet, self.config.listen, config.routers, config.period)
        membership = self.adapter.agent.membership
        membership.configured_names = [
            router for router in config.routers if router != membership.local_peer.name
        ]
        membership.set_tick_interval(int(config.period * 1e9))

    def lines(self) -> list[str]:
        """Returns the metrics of the gossip, each as `peers.NAME=VALUE`."""
        agent = self.adapter.agent
        view = agent.view(time.monotonic_ns())
        values: dict[str, int] = {
            "routers": view.routers,
            "limits_heard": view.limit_reporters,
            "rate": round(view.throttle_rate),
            "spent": round(view.spend_rate),
            "accused": len(view.failure_reports),
            **{f"age_ms.{name}": age // NS_PER_MS for name, age in view.max_record_ages.items()},
            "sent": agent.datagrams_sent,
            "taken": agent.datagrams_accepted,
            "bytes": agent.bytes_sent,
            **{f"dropped.{reason}": count for reason, count in sorted(agent.drop_counts.items())},
        }
        return [f"peers.{name}={value}" for name, value in values.items()]

    def stop(self) -> None:
        """Announces the end of this process to the other routers, and closes the socket."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._send(self.adapter.agent.leave(time.monotonic_ns()))
        if self.transport is not None:
            self.transport.close()
