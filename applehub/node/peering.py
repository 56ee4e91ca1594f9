"""The UDP socket between routers: carries gossip datagrams, and reports the fleet to the decisions."""

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
from applehub.peers.agent import GossipAgent, Outgoing
from applehub.peers.codec import MAX_NAME_BYTES, Peer, PeerState
from applehub.peers.policy_adapter import PolicyAdapter
from applehub.settings import SettingError, setting

HEAR = 0.25  # s between two tellings of the module
TRY_AGAIN = 1.0  # s until an address that another process holds is tried again
PERIODS = (10, 5000)  # ms between two probes that make sense
MILLI = 1_000_000
log = logging.getLogger("applehub")


@dataclass(frozen=True, slots=True)
class PeersTold:
    """Where this router speaks with the others. routers: by name, as this one reaches them."""

    fleet: str
    listen: Endpoint
    routers: dict[str, Endpoint]
    period: float  # s between two probes


def read_peers(source: object, endpoint: Callable[[object], Endpoint]) -> PeersTold:
    """Reads `peers`. endpoint: reads an address, raises ValueError. Raises SettingError."""
    if not isinstance(source, dict):
        raise SettingError(f"peers: expected an object, got {source!r}")
    unknown = sorted(set(source) - {"fleet", "listen", "routers", "period_ms"})
    if unknown:
        raise SettingError(f"peers.{unknown[0]}: expected fleet, listen, routers or period_ms")
    routers = setting(source, "peers.routers", dict, {})
    period = setting(source, "peers.period_ms", int, 50)
    if not PERIODS[0] <= period <= PERIODS[1]:
        raise SettingError(f"peers.period_ms: expected {PERIODS[0]} to {PERIODS[1]}, got {period}")
    try:
        listen = endpoint(setting(source, "peers.listen", str))
        socket.inet_aton(listen[0])
        addresses = {str(name): endpoint(address) for name, address in routers.items()}
    except (ValueError, OSError) as problem:
        if isinstance(problem, SettingError):
            raise
        raise SettingError(f"peers: expected IPv4 addresses with ports: {problem}") from None
    if any(len(name.encode()) > MAX_NAME_BYTES for name in addresses):
        raise SettingError(f"peers.routers: expected names of at most {MAX_NAME_BYTES} bytes")
    return PeersTold(setting(source, "peers.fleet", str), listen, addresses, period / 1000)


class Peering(asyncio.DatagramProtocol):
    """The gossip agent of one process on a datagram socket."""

    def __init__(
        self,
        told: PeersTold,
        name: str,
        tell: Callable[[api.Fleet], None],
        servers: Callable[[], Iterable[str]],
        kinds: Callable[[], dict[str, int]],
    ) -> None:
        """servers: the ids that the list names now; kinds: index of each kind by its name."""
        self.told, self.tell, self.servers, self.kinds = told, tell, servers, kinds
        # A number of its own for each process, whatever the seed: a restart is another member.
        life = int.from_bytes(os.urandom(8)) | 1
        host, port = told.listen
        me = Peer(life, 0, PeerState.ALIVE, socket.inet_aton(host), port, name)
        others = [one for one in told.routers if one != name]
        self.adapter = PolicyAdapter(GossipAgent(me, told.fleet, others, life, int(told.period * 1e9)))
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.heard_at = 0.0
        self.stopped = False

    async def start(self) -> None:
        """Listens. Where another process of this router still does, hears nothing until it ends."""
        loop = asyncio.get_running_loop()
        if self.stopped:
            return
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.told.listen)
        except OSError as problem:
            log.warning("peers can't be heard at %s:%d yet: %s", *self.told.listen, problem.strerror)
            self.timer = loop.call_later(TRY_AGAIN, self._again)
            return
        log.info("peers are heard at %s:%d", *self.told.listen)
        self._tick()

    def _again(self) -> None:
        self.starting = asyncio.get_running_loop().create_task(self.start())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._send(self.adapter.agent.receive(time.monotonic_ns(), data))

    def error_received(self, exc: Exception) -> None:
        """A peer's machine refuses: its silence tells as much."""

    def _tick(self) -> None:
        loop, now = asyncio.get_running_loop(), time.monotonic_ns()
        self.timer = loop.call_later(self.told.period, self._tick)  # first: whatever fails below, it goes on
        self._send(self.adapter.agent.tick(now))
        if loop.time() - self.heard_at >= HEAR:
            self.heard_at = loop.time()
            self.tell(self.adapter.fleet_event(now, self.servers(), self.kinds()))

    def _send(self, out: list[Outgoing]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for to, data in out:
            name = to.name if isinstance(to, Peer) else to
            address = self.told.routers.get(name)
            if address is None and isinstance(to, Peer):
                address = socket.inet_ntoa(to.host), to.port
            if address is not None:
                self.transport.sendto(data, address)

    def say(self, tell: api.Tell) -> None:
        """What the module tells."""
        self.adapter.publish(time.monotonic_ns(), tell, self.kinds())

    def move(self, told: PeersTold) -> None:
        """Takes up other addresses of the others and another period; its own address and fleet stay."""
        self.told = PeersTold(self.told.fleet, self.told.listen, told.routers, told.period)
        membership = self.adapter.agent.membership
        membership.configured_names = [one for one in told.routers if one != membership.me.name]
        membership.set_period(int(told.period * 1e9))

    def lines(self) -> list[str]:
        """Figures for operators: who is there, how old what counts is, what was dropped and why."""
        agent = self.adapter.agent
        view = agent.view(time.monotonic_ns())
        told: dict[str, int] = {
            "routers": view.routers,
            "limits_heard": view.limits,
            "rate": round(view.rate),
            "spent": round(view.spent),
            "accused": len(view.accused),
            **{f"age_ms.{name}": age // MILLI for name, age in view.ages.items()},
            "sent": agent.sent,
            "taken": agent.accepted,
            "bytes": agent.bytes_sent,
            **{f"dropped.{why}": count for why, count in sorted(agent.dropped.items())},
        }
        return [f"peers.{name}={value}" for name, value in told.items()]

    def stop(self) -> None:
        """Tells the others that this process ends, and frees the address for the next."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._send(self.adapter.agent.leave(time.monotonic_ns()))
        if self.transport is not None:
            self.transport.close()
