"""Datagram edges of the relay, which drop, duplicate, delay, reorder or truncate datagrams by rule.

An edge listens on the address that its source sends to and forwards from an address of that source, so that
the target can identify the sender. The opposite direction is a separate edge."""

import asyncio
import random
from typing import Any

from applehub.lab.fleet.edge_rule import Rule


class DatagramEdge(asyncio.DatagramProtocol):
    """One direction of datagrams from a source to a target."""

    def __init__(self, name: str, target: str, listen: str, seed: int) -> None:
        self.name, self.target, self.listen, self.port = name, target, listen, 0
        self.random = random.Random(f"{seed} {name}")
        self.rules: dict[int, Rule] = {}
        self.upstream: tuple[str, int] | None = None  # None: the target is down, datagrams are dropped
        self.held_back: bytes | None = None  # a datagram to be forwarded after the next one
        self.receiving: asyncio.DatagramTransport | None = None
        self.sending: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, name: str, target: str, listen: str, source: str, seed: int) -> "DatagramEdge":
        """Opens an edge that listens on one address and forwards from another, both on ephemeral ports."""
        loop, edge = asyncio.get_running_loop(), cls(name, target, listen, seed)
        edge.receiving, _ = await loop.create_datagram_endpoint(lambda: edge, local_addr=(listen, 0))
        edge.sending, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(source, 0)
        )
        edge.port = edge.receiving.get_extra_info("sockname")[1]
        return edge

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        copies, delay = 1, 0.0
        for rule in self.rules.values():
            if self.random.random() >= rule.part:
                continue
            match rule.kind:
                case "silent" | "lose":
                    return
                case "double":
                    copies += 1
                case "delay":
                    delay = (rule.ms + rule.jitter_ms * self.random.random()) / 1000
                case "short":
                    data = data[: self.random.randrange(max(1, len(data)))]
                case "swap" if self.held_back is None:
                    self.held_back = data
                    return
        delayed, self.held_back = self.held_back, None
        for datagram in [data] * copies + ([delayed] if delayed is not None else []):
            if delay:
                asyncio.get_running_loop().call_later(delay, self._forward, datagram)
            else:
                self._forward(datagram)

    def settle(self) -> None:
        """Forwards the datagram held back for reordering, unless a reordering rule is still active."""
        if not any(rule.kind == "swap" for rule in self.rules.values()):
            delayed, self.held_back = self.held_back, None
            if delayed is not None:
                self._forward(delayed)

    def hang(self) -> None:
        """Does nothing: datagrams have no connection that could hang."""

    def reset(self) -> None:
        """Does nothing: datagrams have no connection to reset."""

    def _forward(self, data: bytes) -> None:
        if self.sending is not None and self.upstream is not None and not self.sending.is_closing():
            self.sending.sendto(data, self.upstream)
