"""The relay in front of every TCP edge: it carries bytes, and spoils what a rule tells it to spoil.

Each edge listens at an address that its source alone uses, and dials its target from an address of that
source, so a server knows which router speaks. As on real machines, a target that is down refuses connections,
and a silent edge lets none come up: its listener's queue is kept full, so that the system drops what asks to
connect."""

import asyncio
import random
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from typing import cast

from applehub.lab.fleet.control import Handler, Json
from applehub.lab.fleet.datagrams import DatagramEdge
from applehub.lab.fleet.rule import Rule
from applehub.node.discovery import read_endpoint

QUEUE = 512
AT_ONCE = struct.pack("ii", 1, 0)  # SO_LINGER: the close is a reset


class Half(asyncio.Protocol):
    """One of the two connections that the relay holds for one of an edge."""

    def __init__(self, edge: "Edge", back: bool) -> None:
        self.edge, self.back = edge, back  # back: what comes in here goes back to the source
        self.transport: asyncio.Transport | None = None
        self.other: Half | None = None
        self.early = bytearray()  # came before the other half was up
        self.queue: deque[tuple[float, bytes]] = deque()  # when it is due, and what; empty: the end
        self.timer: asyncio.TimerHandle | None = None
        self.carried = 0
        self.ended = False  # the end of what comes in here was passed on
        self.hung = False  # nothing is carried any more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.edge.halves[self] = None
        self.hush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.edge.halves.pop(self, None)
        if self.other is not None and self.other.transport is not None:
            if exc is not None:
                self.other.break_off()
            else:
                self._carry(b"")

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
        else:
            self._carry(data)

    def eof_received(self) -> bool:
        self._carry(b"")
        return True  # the other direction stays open

    def join(self, other: "Half") -> None:
        self.other = other
        if self.early:
            self._carry(bytes(self.early))
            self.early.clear()

    def hush(self) -> None:
        """Reads or leaves unread, as the edge's rules have it."""
        if self.transport is None or self.transport.is_closing():
            return
        silent = self.hung or any(
            rule.kind == "silent" and rule.strikes(self.back) for rule in self.edge.rules.values()
        )
        if silent and self.transport.is_reading():
            self.transport.pause_reading()
        elif not silent and not self.transport.is_reading():
            self.transport.resume_reading()

    def break_off(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            kept = self.transport.get_extra_info("socket")
            kept.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            self.transport.abort()

    def _carry(self, data: bytes) -> None:
        now, due = self.edge.loop.time(), 0.0
        size = 0
        for rule in self.edge.rules.values():
            if rule.kind == "delay" and rule.strikes(self.back):
                due = max(due, now + (rule.ms + rule.jitter_ms * self.edge.random.random()) / 1000)
            elif rule.kind == "cut" and self.back and data:
                self.carried += len(data)
                if self.carried > rule.bytes:
                    data = data[: max(0, len(data) - (self.carried - rule.bytes))]
                    self._write(data)
                    self.edge.reset([self])
                    return
            elif rule.kind in ("pieces", "rate"):
                size, step = rule.bytes, 0.002 if rule.kind == "pieces" else 1.0
                if rule.kind == "rate":
                    size, step = max(1, rule.bytes // 50), 0.02
        if size and len(data) > 1:
            last = max(now, due, self.queue[-1][0] if self.queue else 0.0)
            for number, at in enumerate(range(0, len(data), size)):
                self.queue.append((last + number * step, data[at : at + size]))
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
    """One way that a source reaches a target."""

    name: str
    target: str
    listen: str  # the address that it listens at
    source: str  # the address that it dials from
    upstream: tuple[str, int] | None = None  # none: the target is down
    seed: int = 0
    port: int = 0
    rules: dict[int, Rule] = field(default_factory=dict)
    halves: dict[Half, None] = field(default_factory=dict)

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
        """Brings listener and connections in line with the target and the rules."""
        silent = any(rule.kind == "silent" for rule in self.rules.values())
        if self.upstream is None and not silent:
            self._shut()
        else:
            if self.socket is None:
                self._open()
            self._fill() if silent else self._drain()
        for half in list(self.halves):
            half.hush()

    def reset(self, halves: list[Half] | None = None) -> None:
        for half in list(self.halves) if halves is None else halves:
            for one in (half, half.other):
                if one is not None:
                    one.break_off()

    def hang(self) -> None:
        for half in self.halves:
            half.hung = True
            half.hush()

    def _open(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.listen, self.port))
        self.socket.listen(QUEUE)
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self._accept)

    def _shut(self) -> None:
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    def _fill(self) -> None:
        assert self.socket is not None
        if self.fillers:
            return
        self.loop.remove_reader(self.socket)
        self.socket.listen(0)
        for _ in range(2):  # one takes the queue's only place, one waits before it
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.listen, self.port))
            self.fillers.append(filler)

    def _drain(self) -> None:
        assert self.socket is not None
        if self.fillers:
            self.socket.listen(QUEUE)
            self.loop.add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        assert self.socket is not None
        try:
            taken, peer = self.socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        if any(peer == filler.getsockname() for filler in self.fillers):
            taken.close()
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            return
        taken.setblocking(False)
        taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self.loop.create_task(self._join(taken))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _join(self, taken: socket.socket) -> None:
        _, near = await self.loop.connect_accepted_socket(lambda: Half(self, back=False), taken)
        try:
            if self.upstream is None:
                raise ConnectionRefusedError
            _, far = await self.loop.create_connection(
                lambda: Half(self, back=True), *self.upstream, local_addr=(self.source, 0)
            )
        except OSError:
            near.break_off()
            return
        far.join(near)
        near.join(far)
        if near.transport is None:
            far.break_off()


class Relay:
    """All edges of a play."""

    def __init__(self, edges: list[Edge | DatagramEdge]) -> None:
        self.edges = edges
        for edge in self.edges:  # only now: none is given the port of one that is shut until its target is up
            edge.settle()

    async def command(self, told: Json) -> Json:
        """up, down: a target came up at an address or went down. rule, heal: by a fault's number. reset,
        hang: now."""
        match told["do"]:
            case "up" | "down":
                self._reach(told["target"], read_endpoint(told["address"]) if told["do"] == "up" else None)
            case "rule":
                for edge in self._named(told["edges"]):
                    edge.rules[told["id"]] = Rule(**told["rule"])
                    edge.settle()
            case "heal":
                for edge in self.edges:
                    if edge.rules.pop(told["id"], None) is not None:
                        edge.settle()
            case "reset" | "hang":
                for edge in self._named(told["edges"]):
                    (edge.reset if told["do"] == "reset" else edge.hang)()
        return {}

    def _reach(self, target: str, address: tuple[str, int] | None) -> None:
        for edge in self.edges:
            if edge.target == target:
                edge.upstream = address
                if address is None:
                    edge.reset()
                edge.settle()

    def _named(self, patterns: list[str]) -> list[Edge | DatagramEdge]:
        return [edge for edge in self.edges if any(fnmatchcase(edge.name, one) for one in patterns)]


async def begin(told: Json) -> tuple[Json, Handler]:
    edges: list[Edge | DatagramEdge] = [Edge(**one, seed=told["seed"]) for one in told["edges"]]
    for one in told.get("datagrams", []):
        edges.append(await DatagramEdge.opened(**one, seed=told["seed"]))
    relay = Relay(edges)
    return {"ports": {edge.name: f"{edge.listen}:{edge.port}" for edge in relay.edges}}, relay.command
