"""Schedules the faults of a scenario. The workload itself includes bursts and hot keys."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from typing import Any, TypeVar

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.clock import SECOND
from applehub.lab.routers import RouterHost
from applehub.lab.servers import CacheServer
from applehub.lab.simulation import Simulation
from applehub.lab.streams import RandomStream

T = TypeVar("T")


def _ns(seconds: float) -> int:
    return int(seconds * SECOND)


def _sample(population: Iterable[T], fraction: float, random_stream: RandomStream) -> Iterator[T]:
    """Draws a fraction of a population without replacement: no member for 0, otherwise at least one.

    Members are drawn lazily, so that the caller may draw other numbers between them.
    """
    remaining = list(population)
    count = min(len(remaining), max(1, round(fraction * len(remaining)))) if fraction else 0
    for _ in range(count):
        yield remaining.pop(random_stream.below(len(remaining)))


class FaultInjector:
    """Schedules all faults of a simulation on its clock."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.clock = simulation, simulation.clock
        schedulers: dict[type, Callable[[Any, RandomStream], None]] = {
            spec.NoisyNeighbour: self._schedule_neighbours,
            spec.Shrink: self._schedule_drains,
            spec.ServerFault: self._schedule_server_fault,
            spec.ZoneLoss: self._schedule_zone_loss,
            spec.Partition: self._schedule_partition,
            spec.ConnectionFault: self._schedule_connection_fault,
            spec.ServerReplacement: self._schedule_drains,
            spec.KillRouters: self._schedule_kills,
            spec.RollingRestart: self._schedule_rolling_restart,
            spec.Reload: self._schedule_reload,
            spec.DiscoveryFault: self._schedule_discovery_fault,
        }
        for number, fault in enumerate(simulation.scenario.faults):
            schedule = schedulers.get(type(fault))
            if schedule is not None:
                schedule(fault, simulation.random_stream(f"fault {number} struck"))

    def _schedule_switch(self, start: float, duration: float, switch: Callable[[bool], None]) -> None:
        """Calls `switch` with True at `start` and with False `duration` seconds later."""
        self.clock.at(_ns(start), lambda _: switch(True))
        self.clock.at(_ns(start + duration), lambda _: switch(False))

    def _sample_servers(self, fraction: float, random_stream: RandomStream) -> list[CacheServer]:
        """Draws a fraction of the initial servers."""
        return list(_sample(self.simulation.servers, fraction, random_stream))

    # Servers

    def _schedule_neighbours(self, fault: spec.NoisyNeighbour, random_stream: RandomStream) -> None:
        end = _ns(fault.at_s + fault.for_s)
        for server in self._sample_servers(fault.part, random_stream):
            step, time, active = _ns(fault.period_s * random_stream.between(0.5, 1.5)), _ns(fault.at_s), True
            while time < end:
                self.clock.at(time, self._set_stolen_cores, (server, fault.takes if active else 0.0))
                time, active = time + step, not active
            self.clock.at(end, self._set_stolen_cores, (server, 0.0))

    def _set_stolen_cores(self, argument: tuple[CacheServer, float]) -> None:
        argument[0].stolen_core_share = argument[1]
        argument[0].reschedule()

    def _schedule_server_fault(self, fault: spec.ServerFault, random_stream: RandomStream) -> None:
        for server in self._sample_servers(fault.part, random_stream):
            self.clock.at(_ns(fault.at_s), self._set_server_fault, (server, fault, True))
            self.clock.at(_ns(fault.at_s + fault.for_s), self._set_server_fault, (server, fault, False))

    def _set_server_fault(self, argument: tuple[CacheServer, spec.ServerFault, bool]) -> None:
        server, fault, active = argument
        if fault.kind == "slow":
            server.slowdown = min(0.99, fault.size) if active else 0.0
            server.reschedule()
        elif fault.kind == "failing":
            server.error_rate = fault.size if active else server.spec.error_share
        else:
            server.unresponsive = active
            if not active:
                self._break_connections(server)

    def _break_connections(self, server: CacheServer) -> None:
        """Resets the connections that were open while the server was unresponsive."""
        self.simulation.stop_server(server)
        server.up = True

    def _schedule_drains(
        self, fault: spec.Shrink | spec.ServerReplacement, random_stream: RandomStream
    ) -> None:
        """Drains and stops servers in turn; a replacement also starts a new server at each drain."""
        drained = self._sample_servers(fault.part, random_stream)
        for number, server in enumerate(drained):
            drain_at = fault.at_s + fault.for_s * number / len(drained)
            if isinstance(fault, spec.ServerReplacement):
                self.clock.at(_ns(drain_at), self._add_server, server)
            self.clock.at(_ns(drain_at), self._drain, server)
            self.clock.at(_ns(drain_at + fault.drain_s), self._stop_server, server)

    def _drain(self, server: CacheServer) -> None:
        self.simulation.registry.update(replace(self.simulation.entry(server), state=api.State.DRAINING))

    def _stop_server(self, server: CacheServer) -> None:
        """Stops a drained server and removes it from the list immediately."""
        self.simulation.stop_server(server)
        self.simulation.registry.update(replace(self.simulation.entry(server), state=api.State.GONE))

    def _add_server(self, replaced: CacheServer) -> None:
        server = self.simulation.add_server(replaced.kind, replaced.zone)
        server.start()
        self.simulation.registry.schedule_update(
            self.simulation.entry(server), self.simulation.scenario.discovery.add_s
        )

    def _schedule_zone_loss(self, fault: spec.ZoneLoss, _: RandomStream) -> None:
        for server in self.simulation.servers:
            if server.zone == fault.zone:
                self.clock.at(_ns(fault.at_s), self._crash_server, server)
                self.clock.at(_ns(fault.at_s + fault.for_s), self._restart_server, server)

    def _crash_server(self, server: CacheServer) -> None:
        self.simulation.stop_server(server)
        entry = replace(self.simulation.entry(server), state=api.State.GONE)
        self.simulation.registry.schedule_update(entry, self.simulation.scenario.discovery.notice_s)

    def _restart_server(self, server: CacheServer) -> None:
        server.start()
        self.simulation.registry.schedule_update(
            self.simulation.entry(server), self.simulation.scenario.discovery.add_s
        )

    # The network and discovery

    def _schedule_partition(self, fault: spec.Partition, _: RandomStream) -> None:
        partitioned_zones, zone = self.simulation.net.partitioned_zones, fault.zone
        self._schedule_switch(
            fault.at_s,
            fault.for_s,
            lambda on: partitioned_zones.add(zone) if on else partitioned_zones.discard(zone),
        )

    def _schedule_connection_fault(self, fault: spec.ConnectionFault, _: RandomStream) -> None:
        net = self.simulation.net

        def switch(on: bool) -> None:
            net.loss_rate, net.reset_rate = (fault.lost, fault.reset) if on else (0.0, 0.0)

        self._schedule_switch(fault.at_s, fault.for_s, switch)

    def _schedule_discovery_fault(self, fault: spec.DiscoveryFault, _: RandomStream) -> None:
        registry = self.simulation.registry

        def switch(on: bool) -> None:
            registry.slowdown = fault.slower if on else 1.0
            if on and fault.down:
                registry.go_down()
            elif not on:
                registry.down = False

        self._schedule_switch(fault.at_s, fault.for_s, switch)

    # Routers

    def _schedule_kills(self, fault: spec.KillRouters, random_stream: RandomStream) -> None:
        for router in _sample(self.simulation.routers, fault.part, random_stream):
            down_s = (
                fault.down_s * random_stream.between(0.5, 1.5)
                + self.simulation.scenario.routers.start_ms / 1000
            )
            self.clock.at(_ns(fault.at_s), self._kill_router, router)
            self.clock.at(_ns(fault.at_s + down_s), self._start_router, router)

    def _kill_router(self, router: RouterHost) -> None:
        router.stop()
        self.simulation.clients.schedule_health_update(router)

    def _schedule_rolling_restart(self, fault: spec.RollingRestart, _: RandomStream) -> None:
        routers = self.simulation.routers
        for router in routers:
            batch = router.index * fault.batches // len(routers)
            restart_at = fault.at_s + fault.for_s * batch / fault.batches
            self.clock.at(_ns(restart_at), self._restart_router, (router, fault.down_s))

    def _restart_router(self, argument: tuple[RouterHost, float]) -> None:
        router, down_s = argument
        self.simulation.clients.mark_down(router)
        start_delay = _ns(down_s + self.simulation.scenario.routers.start_ms / 1000)
        router.drain(lambda stopped: self.clock.after(start_delay, self._start_router, stopped))

    def _start_router(self, router: RouterHost) -> None:
        self.simulation.start_router(router)
        self.simulation.clients.schedule_health_update(router)

    def _schedule_reload(self, fault: spec.Reload, _: RandomStream) -> None:
        self.clock.at(_ns(fault.at_s), self._change_settings, fault)

    def _change_settings(self, fault: spec.Reload) -> None:
        max_attempts = fault.max_attempts
        self.simulation.settings = replace(self.simulation.settings, max_attempts=max_attempts)
        for router in self.simulation.routers:
            if router.up:
                router.max_attempts = max_attempts
                router.deliver(api.SettingsChanged(replace(self.simulation.settings)), router.timer_cost)
                if fault.moves:
                    router.restart_subscription()
