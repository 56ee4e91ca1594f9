"""The relay's datagram edges: what a rule tells is lost, doubled, late, out of order or cut short.

An edge listens where its source sends to and passes on from an address of that source, so that the target
knows who speaks. The way back is an edge of its own."""

import asyncio
import random
from typing import Any

from applehub.lab.fleet.rule import Rule


class DatagramEdge(asyncio.DatagramProtocol):
    """One way from a source to a target."""

    def __init__(self, name: str, target: str, listen: str, seed: int) -> None:
        self.name, self.target, self.listen, self.port = name, target, listen, 0
        self.random = random.Random(f"{seed} {name}")
        self.rules: dict[int, Rule] = {}
        self.upstream: tuple[str, int] | None = None  # none: the target is down, and datagrams go nowhere
        self.held: bytes | None = None  # goes out after the one that comes next
        self.near: asyncio.DatagramTransport | None = None
        self.far: asyncio.DatagramTransport | None = None

    @classmethod
    async def opened(cls, name: str, target: str, listen: str, source: str, seed: int) -> "DatagramEdge":
        """An edge that listens at one address and passes on from another, on ports that the system chose."""
        loop, edge = asyncio.get_running_loop(), cls(name, target, listen, seed)
        edge.near, _ = await loop.create_datagram_endpoint(lambda: edge, local_addr=(listen, 0))
        edge.far, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(source, 0))
        edge.port = edge.near.get_extra_info("sockname")[1]
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
                case "swap" if self.held is None:
                    self.held = data
                    return
        held, self.held = self.held, None
        for one in [data] * copies + ([held] if held is not None else []):
            if delay:
                asyncio.get_running_loop().call_later(delay, self._pass_on, one)
            else:
                self._pass_on(one)

    def settle(self) -> None:
        """What is held for another to go first goes nowhere once no rule holds it."""
        if not any(rule.kind == "swap" for rule in self.rules.values()):
            held, self.held = self.held, None
            if held is not None:
                self._pass_on(held)

    def hang(self) -> None:
        """Datagrams know no connection that may hang."""

    def reset(self) -> None:
        """Datagrams know no connection to reset."""

    def _pass_on(self, data: bytes) -> None:
        if self.far is not None and self.upstream is not None and not self.far.is_closing():
            self.far.sendto(data, self.upstream)
