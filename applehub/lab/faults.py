"""What goes wrong, and when. Faults of the workload itself (bursts, hot keys) are drawn with it."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from typing import Any, TypeVar

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.clock import SECOND
from applehub.lab.routers import RouterHost
from applehub.lab.servers import CacheServer
from applehub.lab.streams import Draws
from applehub.lab.world import World

Member = TypeVar("Member")


def _ns(seconds: float) -> int:
    return int(seconds * SECOND)


def _sample(population: Iterable[Member], part: float, draws: Draws) -> Iterator[Member]:
    """Draws a part (0 to 1) of a population without replacement: none for 0, otherwise at least one.

    Each member is drawn as it is asked for, so that the caller may draw in between.
    """
    left = list(population)
    count = min(len(left), max(1, round(part * len(left)))) if part else 0
    for _ in range(count):
        yield left.pop(draws.below(len(left)))


class Faults:
    """Plans all faults of a play."""

    def __init__(self, world: World) -> None:
        self.world, self.clock = world, world.clock
        planners: dict[type, Callable[[Any, Draws], None]] = {
            spec.Neighbour: self._neighbours,
            spec.Shrink: self._shrink,
            spec.Sick: self._sick,
            spec.ZoneLoss: self._zone_loss,
            spec.Partition: self._partition,
            spec.Breaks: self._breaks,
            spec.Replace: self._shrink,
            spec.KillRouters: self._kills,
            spec.RollRouters: self._roll_routers,
            spec.Reload: self._reload,
            spec.DiscoveryTrouble: self._discovery,
        }
        for number, fault in enumerate(world.day.faults):
            plan = planners.get(type(fault))
            if plan is not None:
                plan(fault, world.draws(f"fault {number} struck"))

    def _between(self, at: float, length: float, switch: Callable[[bool], None]) -> None:
        self.clock.at(_ns(at), lambda _: switch(True))
        self.clock.at(_ns(at + length), lambda _: switch(False))

    def _some(self, part: float, draws: Draws) -> list[CacheServer]:
        """A drawn part of the servers that the day begins with."""
        return list(_sample(self.world.servers, part, draws))

    # Servers

    def _neighbours(self, fault: spec.Neighbour, draws: Draws) -> None:
        end = _ns(fault.at_s + fault.for_s)
        for server in self._some(fault.part, draws):
            step, at, on = _ns(fault.period_s * draws.between(0.5, 1.5)), _ns(fault.at_s), True
            while at < end:
                self.clock.at(at, self._take_cores, (server, fault.takes if on else 0.0))
                at, on = at + step, not on
            self.clock.at(end, self._take_cores, (server, 0.0))

    def _take_cores(self, what: tuple[CacheServer, float]) -> None:
        what[0].neighbour = what[1]
        what[0].replan()

    def _sick(self, fault: spec.Sick, draws: Draws) -> None:
        for server in self._some(fault.part, draws):
            self.clock.at(_ns(fault.at_s), self._fall_sick, (server, fault, True))
            self.clock.at(_ns(fault.at_s + fault.for_s), self._fall_sick, (server, fault, False))

    def _fall_sick(self, what: tuple[CacheServer, spec.Sick, bool]) -> None:
        server, fault, on = what
        if fault.kind == "slow":
            server.slowed = min(0.99, fault.size) if on else 0.0
            server.replan()
        elif fault.kind == "failing":
            server.failing = fault.size if on else server.spec.error_share
        else:
            server.silent = on
            if not on:
                self._break_connections(server)

    def _break_connections(self, server: CacheServer) -> None:
        """A machine that is back resets what was open while nobody heard of it."""
        self.world.stop_server(server)
        server.up = True

    def _shrink(self, fault: spec.Shrink | spec.Replace, draws: Draws) -> None:
        """Servers drain and end in turn; where they are replaced, another joins as each begins to drain."""
        leaving = self._some(fault.part, draws)
        for number, server in enumerate(leaving):
            at = fault.at_s + fault.for_s * number / len(leaving)
            if isinstance(fault, spec.Replace):
                self.clock.at(_ns(at), self._join, server)
            self.clock.at(_ns(at), self._drain, server)
            self.clock.at(_ns(at + fault.drain_s), self._end, server)

    def _drain(self, server: CacheServer) -> None:
        self.world.registry.set(replace(self.world.entry(server), state=api.State.DRAINING))

    def _end(self, server: CacheServer) -> None:
        """A planned end: the list knows at once."""
        self.world.stop_server(server)
        self.world.registry.set(replace(self.world.entry(server), state=api.State.GONE))

    def _join(self, like: CacheServer) -> None:
        server = self.world.add_server(like.kind, like.zone)
        server.start()
        self.world.registry.notice(self.world.entry(server), self.world.day.discovery.add_s)

    def _zone_loss(self, fault: spec.ZoneLoss, _: Draws) -> None:
        for server in self.world.servers:
            if server.zone == fault.zone:
                self.clock.at(_ns(fault.at_s), self._die, server)
                self.clock.at(_ns(fault.at_s + fault.for_s), self._come_back, server)

    def _die(self, server: CacheServer) -> None:
        self.world.stop_server(server)
        gone = replace(self.world.entry(server), state=api.State.GONE)
        self.world.registry.notice(gone, self.world.day.discovery.notice_s)

    def _come_back(self, server: CacheServer) -> None:
        server.start()
        self.world.registry.notice(self.world.entry(server), self.world.day.discovery.add_s)

    # The network and discovery

    def _partition(self, fault: spec.Partition, _: Draws) -> None:
        cut, zone = self.world.net.cut, fault.zone
        self._between(fault.at_s, fault.for_s, lambda on: cut.add(zone) if on else cut.discard(zone))

    def _breaks(self, fault: spec.Breaks, _: Draws) -> None:
        net = self.world.net

        def switch(on: bool) -> None:
            net.lost, net.reset = (fault.lost, fault.reset) if on else (0.0, 0.0)

        self._between(fault.at_s, fault.for_s, switch)

    def _discovery(self, fault: spec.DiscoveryTrouble, _: Draws) -> None:
        registry = self.world.registry

        def switch(on: bool) -> None:
            registry.slower = fault.slower if on else 1.0
            if on and fault.down:
                registry.break_off()
            elif not on:
                registry.down = False

        self._between(fault.at_s, fault.for_s, switch)

    # Routers

    def _kills(self, fault: spec.KillRouters, draws: Draws) -> None:
        for router in _sample(self.world.routers, fault.part, draws):
            down = fault.down_s * draws.between(0.5, 1.5) + self.world.day.routers.start_ms / 1000
            self.clock.at(_ns(fault.at_s), self._kill, router)
            self.clock.at(_ns(fault.at_s + down), self._start_router, router)

    def _kill(self, router: RouterHost) -> None:
        router.stop()
        self.world.clients.notice(router)

    def _roll_routers(self, fault: spec.RollRouters, _: Draws) -> None:
        routers = self.world.routers
        for router in routers:
            batch = router.index * fault.batches // len(routers)
            at = fault.at_s + fault.for_s * batch / fault.batches
            self.clock.at(_ns(at), self._restart, (router, fault.down_s))

    def _restart(self, what: tuple[RouterHost, float]) -> None:
        router, down = what
        self.world.clients.leave_out(router)
        start = _ns(down + self.world.day.routers.start_ms / 1000)
        router.drain(lambda one: self.clock.after(start, self._start_router, one))

    def _start_router(self, router: RouterHost) -> None:
        self.world.start_router(router)
        self.world.clients.notice(router)

    def _reload(self, fault: spec.Reload, _: Draws) -> None:
        self.clock.at(_ns(fault.at_s), self._retune, fault)

    def _retune(self, fault: spec.Reload) -> None:
        max_attempts = fault.max_attempts
        self.world.settings = replace(self.world.settings, max_attempts=max_attempts)
        for router in self.world.routers:
            if router.up:
                router.max_attempts = max_attempts
                router.deliver(api.Retuned(replace(self.world.settings)), router.alarm_cost)
                if fault.moves:
                    router.move()
