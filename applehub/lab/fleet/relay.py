"""The relay of all edges: forwards bytes and datagrams, and applies the rules of active faults.

Each edge listens at an address used only by its source, and connects to its target from an address of that
source, by which a server identifies the router. An edge to a target that is down refuses connections. On a
silent edge connections time out: its accept queue is kept full, so that the kernel drops SYN packets."""

import asyncio
import random
import socket
from collections import deque
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from typing import cast

from applehub.lab.fleet.control import Handler, Json
from applehub.lab.fleet.datagrams import DatagramEdge
from applehub.lab.fleet.edge_rule import Rule
from applehub.node.discovery import read_endpoint
from applehub.node.send_queue import discard_on_close

BACKLOG = 512


class RelayedConnection(asyncio.Protocol):
    """One half of a relayed connection: to the source or to the target."""

    def __init__(self, edge: "Edge", back: bool) -> None:
        self.edge, self.back = edge, back  # back: whether this half receives response data
        self.transport: asyncio.Transport | None = None
        self.other: RelayedConnection | None = None
        self.pending = bytearray()  # data received before the other half is connected
        self.queue: deque[tuple[float, bytes]] = deque()  # due time and data; empty data: end of stream
        self.timer: asyncio.TimerHandle | None = None
        self.forwarded_bytes = 0
        self.ended = False  # whether the end of stream was forwarded
        self.hung = False  # whether a hang fault has stopped the data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.edge.connections[self] = None
        self.update_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.edge.connections.pop(self, None)
        if self.other is not None and self.other.transport is not None:
            if exc is not None:
                self.other.abort_with_reset()
            else:
                self._forward(b"")

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.pending += data
        else:
            self._forward(data)

    def eof_received(self) -> bool:
        self._forward(b"")
        return True  # keeps the other direction open

    def set_other_half(self, other: "RelayedConnection") -> None:
        self.other = other
        if self.pending:
            self._forward(bytes(self.pending))
            self.pending.clear()

    def update_reading(self) -> None:
        """Pauses or resumes reading according to the rules of the edge."""
        if self.transport is None or self.transport.is_closing():
            return
        silent = self.hung or any(
            rule.kind == "silent" and rule.applies_to(self.back) for rule in self.edge.rules.values()
        )
        if silent and self.transport.is_reading():
            self.transport.pause_reading()
        elif not silent and not self.transport.is_reading():
            self.transport.resume_reading()

    def abort_with_reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if self.transport is not None:
            discard_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()

    def _forward(self, data: bytes) -> None:
        now, due = self.edge.loop.time(), 0.0
        size = 0
        for rule in self.edge.rules.values():
            if rule.kind == "delay" and rule.applies_to(self.back):
                due = max(due, now + (rule.ms + rule.jitter_ms * self.edge.random.random()) / 1000)
            elif rule.kind == "cut" and self.back and data:
                self.forwarded_bytes += len(data)
                if self.forwarded_bytes > rule.bytes:
                    data = data[: max(0, len(data) - (self.forwarded_bytes - rule.bytes))]
                    self._write(data)
                    self.edge.reset([self])
                    return
            elif rule.kind in ("pieces", "rate"):
                size, step = rule.bytes, 0.002 if rule.kind == "pieces" else 1.0
                if rule.kind == "rate":
                    size, step = max(1, rule.bytes // 50), 0.02
        if size and len(data) > 1:
            previous_due = max(now, due, self.queue[-1][0] if self.queue else 0.0)
            for number, offset in enumerate(range(0, len(data), size)):
                self.queue.append((previous_due + number * step, data[offset : offset + size]))
        elif due or self.queue:
            self.queue.append((max(due, self.queue[-1][0] if self.queue else 0.0), data))
        else:
            self._write(data)
            return
        if self.timer is None:
            self.timer = self.edge.loop.call_at(self.queue[0][0], self._flush)

    def _flush(self) -> None:
        self.timer = None
        while self.queue and self.queue[0][0] <= self.edge.loop.time():
            self._write(self.queue.popleft()[1])
        if self.queue:
            self.timer = self.edge.loop.call_at(self.queue[0][0], self._flush)

    def _write(self, data: bytes) -> None:
        other = self.other.transport if self.other is not None else None
        if other is None or other.is_closing():
            return
        if data:
            other.write(data)
            return
        self.ended = True
        if self.transport is None or self.transport.is_closing():
            other.close()
        elif self.other is not None and self.other.ended:
            self.transport.close()
            other.close()
        elif other.can_write_eof():
            other.write_eof()


@dataclass(eq=False)
class Edge:
    """The TCP connections from one source to one target."""

    name: str
    target: str
    listen: str  # listen address
    source: str  # local address of connections to the target
    upstream: tuple[str, int] | None = None  # None if the target is down
    seed: int = 0
    port: int = 0
    rules: dict[int, Rule] = field(default_factory=dict)
    connections: dict[RelayedConnection, None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(f"{self.seed} {self.name}")
        self.socket: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self._open()
        assert self.socket is not None
        self.port = self.socket.getsockname()[1]

    def settle(self) -> None:
        """Applies a change of the target or the rules to the listener and the connections."""
        silent = any(rule.kind == "silent" for rule in self.rules.values())
        if self.upstream is None and not silent:
            self._close()
        else:
            if self.socket is None:
                self._open()
            self._block_connects() if silent else self._unblock_connects()
        for connection in list(self.connections):
            connection.update_reading()

    def reset(self, connections: list[RelayedConnection] | None = None) -> None:
        for connection in list(self.connections) if connections is None else connections:
            for half in (connection, connection.other):
                if half is not None:
                    half.abort_with_reset()

    def hang(self) -> None:
        for connection in self.connections:
            connection.hung = True
            connection.update_reading()

    def _open(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.listen, self.port))
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self._accept)

    def _close(self) -> None:
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    def _block_connects(self) -> None:
        assert self.socket is not None
        if self.fillers:
            return
        self.loop.remove_reader(self.socket)
        self.socket.listen(0)
        for _ in range(2):  # the first fills the accept queue of length 1, the second stays in SYN state
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.listen, self.port))
            self.fillers.append(filler)

    def _unblock_connects(self) -> None:
        assert self.socket is not None
        if self.fillers:
            self.socket.listen(BACKLOG)
            self.loop.add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        assert self.socket is not None
        try:
            accepted, peer = self.socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        if any(peer == filler.getsockname() for filler in self.fillers):
            accepted.close()
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self.loop.create_task(self._connect_to_target(accepted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect_to_target(self, accepted: socket.socket) -> None:
        _, source_side = await self.loop.connect_accepted_socket(
            lambda: RelayedConnection(self, back=False), accepted
        )
        try:
            if self.upstream is None:
                raise ConnectionRefusedError
            _, target_side = await self.loop.create_connection(
                lambda: RelayedConnection(self, back=True), *self.upstream, local_addr=(self.source, 0)
            )
        except OSError:
            source_side.abort_with_reset()
            return
        target_side.set_other_half(source_side)
        source_side.set_other_half(target_side)
        if source_side.transport is None:
            target_side.abort_with_reset()


class Relay:
    """All edges of a run."""

    def __init__(self, edges: list[Edge | DatagramEdge]) -> None:
        self.edges = edges
        for edge in self.edges:  # after all edges are bound, because settle may free the port of a listener
            edge.settle()

    async def command(self, message: Json) -> Json:
        """Executes a command of the harness.

        up, down: sets the address of a target, or marks the target as down. rule, heal: adds or removes the
        rule of a fault. reset, hang: resets or hangs open connections."""
        match message["do"]:
            case "up" | "down":
                self._set_target(
                    message["target"], read_endpoint(message["address"]) if message["do"] == "up" else None
                )
            case "rule":
                for edge in self._matching_edges(message["edges"]):
                    edge.rules[message["id"]] = Rule(**message["rule"])
                    edge.settle()
            case "heal":
                for edge in self.edges:
                    if edge.rules.pop(message["id"], None) is not None:
                        edge.settle()
            case "reset" | "hang":
                for edge in self._matching_edges(message["edges"]):
                    (edge.reset if message["do"] == "reset" else edge.hang)()
        return {}

    def _set_target(self, target: str, address: tuple[str, int] | None) -> None:
        for edge in self.edges:
            if edge.target == target:
                edge.upstream = address
                if address is None:
                    edge.reset()
                edge.settle()

    def _matching_edges(self, patterns: list[str]) -> list[Edge | DatagramEdge]:
        return [edge for edge in self.edges if any(fnmatchcase(edge.name, pattern) for pattern in patterns)]


async def begin(message: Json) -> tuple[Json, Handler]:
    edges: list[Edge | DatagramEdge] = [Edge(**options, seed=message["seed"]) for options in message["edges"]]
    for options in message.get("datagrams", []):
        edges.append(await DatagramEdge.open(**options, seed=message["seed"]))
    relay = Relay(edges)
    return {"ports": {edge.name: f"{edge.listen}:{edge.port}" for edge in relay.edges}}, relay.command
