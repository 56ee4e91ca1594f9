"""Injects and removes each kind of fault of a plan."""

import asyncio
import shutil
import signal
from contextlib import suppress
from dataclasses import asdict
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING

import orjson

from applehub.events import EventKind
from applehub.lab.fleet import plan as spec
from applehub.lab.fleet.edge_rule import Rule
from applehub.lab.fleet.failing_calls import ACTIVE_FAULTS_FILE, FAULT_FILE_PREFIX
from applehub.lab.fleet.fault_environment import restore_durable
from applehub.lab.fleet.processes import KILL_DELAY_S, Process, RouterProcess, Standin

if TYPE_CHECKING:
    from applehub.lab.fleet.harness import Harness

FRONT_STOP_DELAY_S = 0.3  # time from SIGTERM until the client front end stops sending
APPLY_TIMEOUT_S = 1.0  # time allowed for a router to apply or remove a fault
SLOW_PERIOD_S = 0.05  # period of the SIGSTOP and SIGCONT cycle of a slow process


class Injection:
    """One injected fault: the processes and edges that it affects, its start and its end."""

    def __init__(self, harness: "Harness", number: int) -> None:
        self.harness, self.number = harness, number
        self.processes: list[str] = []
        self.edges: list[str] = []

    async def begin(self) -> None:
        """Injects the fault; returns when it is in effect."""

    async def end(self) -> None:
        """Removes the fault; returns when its effect has ended."""


class ProcessInjection(Injection):
    """Kills, stops, slows, signals or upgrades processes."""

    def __init__(self, harness: "Harness", number: int, fault: spec.ProcessFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        self.targets = harness.matching_processes(fault.target)
        self.processes = [process.name for process in self.targets]
        self.slow_tasks: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        match self.fault.kind:
            case "kill" | "power":
                await self._for_each(self._kill)
            case "term":
                await self._for_each(self._term)
            case "stop":
                for process in self.targets:
                    process.signal(signal.SIGSTOP)
            case "slow":
                self.slow_tasks = [asyncio.create_task(self._slow(process)) for process in self.targets]
            case "hup":
                for process in self.targets:
                    process.signal(signal.SIGHUP)
            case "upgrade":
                for process in self.targets:  # sequentially, as in a release
                    await self._upgrade(process)

    async def end(self) -> None:
        match self.fault.kind:
            case "kill" | "power" | "term":
                await self._for_each(self.harness.restart)
            case "stop":
                for process in self.targets:
                    process.signal(signal.SIGCONT)
            case "slow":
                for task in self.slow_tasks:
                    task.cancel()
                for process in self.targets:
                    process.signal(signal.SIGCONT)

    async def _for_each(self, action: object) -> None:
        assert callable(action)
        await asyncio.gather(*(action(process) for process in self.targets))

    async def _kill(self, process: Process) -> None:
        await process.kill()
        await self.harness.mark_down(process)
        if isinstance(process, RouterProcess):
            if self.fault.kind == "power":
                restore_durable(process.disk, process.durable)
            elif not self.fault.keep_disk:
                shutil.rmtree(process.disk)
                process.disk.mkdir()

    async def _term(self, process: Process) -> None:
        if not isinstance(process, RouterProcess):
            await self._kill(process)
            return
        process.planned = True
        process.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(process.ended.wait(), FRONT_STOP_DELAY_S)
        await self.harness.clients.send_command({"do": "leaving", "router": process.name})
        with suppress(TimeoutError):
            await asyncio.wait_for(process.ended.wait(), KILL_DELAY_S - FRONT_STOP_DELAY_S)
        if process.running:
            await process.kill()
        await self.harness.mark_down(process)
        await self.harness.clients.send_command({"do": "back", "router": process.name})

    async def _slow(self, process: Process) -> None:
        while True:
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(SLOW_PERIOD_S * (1 - self.fault.part))
            process.signal(signal.SIGCONT)
            await asyncio.sleep(SLOW_PERIOD_S * self.fault.part)

    async def _upgrade(self, process: Process) -> None:
        assert isinstance(process, RouterProcess)
        if not await self.harness.upgrade(process):
            self.harness.record_not_ready(self.number, process)


class LinkInjection(Injection):
    """Disturbs connections and datagrams of edges in the relay."""

    def __init__(self, harness: "Harness", number: int, fault: spec.LinkFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        self.edges = [
            name for name in harness.edges if any(fnmatchcase(name, pattern) for pattern in fault.edges)
        ]

    async def begin(self) -> None:
        fault = self.fault
        if fault.kind in ("reset", "hang"):
            await self.harness.relay.send_command({"do": fault.kind, "edges": fault.edges})
            return
        rule = {name: getattr(fault, name) for name in Rule.__slots__}
        await self.harness.relay.send_command(
            {"do": "rule", "id": self.number, "edges": fault.edges, "rule": rule}
        )

    async def end(self) -> None:
        await self.harness.relay.send_command({"do": "heal", "id": self.number})


class ServerInjection(Injection):
    """Makes stand-in servers fail requests or run slower."""

    def __init__(self, harness: "Harness", number: int, fault: spec.ServerFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        self.targets = [
            process
            for process in harness.matching_processes(fault.target)
            if isinstance(process, Standin) and process.role != "list"
        ]
        self.processes = [process.name for process in self.targets]

    async def begin(self) -> None:
        await self._apply(self.fault.part)

    async def end(self) -> None:
        await self._apply(0.0 if self.fault.kind == "errors" else 1.0)

    async def _apply(self, fraction: float) -> None:
        for process in self.targets:
            if process.running:
                await process.send_command({"do": self.fault.kind, "part": fraction})


class DiscoveryInjection(Injection):
    """Changes the server list, or overloads the stand-in for the list service."""

    def __init__(self, harness: "Harness", number: int, fault: spec.DiscoveryFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        if fault.kind == "overload":
            self.processes = ["list"]
        self.servers = [process.name for process in harness.matching_processes(fault.target)]

    async def begin(self) -> None:
        await self._apply({"drain": "Terminating", "gone": "Gone"}.get(self.fault.kind, ""), True)

    async def end(self) -> None:
        await self._apply("Ready", False)

    async def _apply(self, state: str, on: bool) -> None:
        if self.fault.kind == "overload":
            await self.harness.list_standin.send_command({"do": "overload", "on": on})
        for server in self.servers:
            await self.harness.list_state(server, {"state": state})


class OverrideInjection(Injection):
    """Sends operator overrides to the consoles of routers."""

    def __init__(self, harness: "Harness", number: int, fault: spec.OverrideFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        self.targets = [
            process
            for process in harness.matching_processes(fault.target)
            if isinstance(process, RouterProcess)
        ]

    async def begin(self) -> None:
        await self._call("OFFLINE")

    async def end(self) -> None:
        await self._call("ONLINE")

    async def _call(self, verb: str) -> None:
        for router in self.targets:
            arguments = f"{verb} {self.fault.server}"
            answer = await router.call(arguments)
            self.harness.events.write(
                EventKind.OPERATOR_CALL, router=router.name, words=arguments, answer=answer
            )


class EnvironmentInjection(Injection):
    """Changes the wall clock of routers, or makes their disk writes fail, through `fault_environment`."""

    def __init__(self, harness: "Harness", number: int, fault: spec.ClockFault | spec.DiskFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        self.targets = [
            process
            for process in harness.matching_processes(fault.target)
            if isinstance(process, RouterProcess)
        ]
        self.processes = [process.name for process in self.targets]

    async def begin(self) -> None:
        if isinstance(self.fault, spec.ClockFault):
            self._write("clock", str(int(self.fault.step_s * 1e9)))
        else:
            self._write("disk", f"{self.fault.kind} {self.fault.ms}")

    async def end(self) -> None:
        self._write("clock" if isinstance(self.fault, spec.ClockFault) else "disk", "")

    def _write(self, name: str, text: str) -> None:
        for router in self.targets:
            temporary = router.control / (name + ".new")
            temporary.write_text(text)
            temporary.replace(router.control / name)


class SystemCallInjection(Injection):
    """Makes system calls of routers fail, through `SystemCallFaultControl` in the router's process."""

    def __init__(self, harness: "Harness", number: int, fault: spec.SystemCallsFault) -> None:
        super().__init__(harness, number)
        self.fault = fault
        self.targets = [
            process
            for process in harness.matching_processes(fault.target)
            if isinstance(process, RouterProcess)
        ]
        self.processes = [process.name for process in self.targets]
        self.edges = [f"clients>{name}" for name in self.processes if fault.breaks_client_connections]

    async def begin(self) -> None:
        for router in self.targets:
            fault = self.fault.for_process(
                self.harness.peer_pattern(router.name, self.fault.side), str(router.disk)
            )  # fmt: skip
            temporary = router.control / f"new-{self._control_file}"
            temporary.write_bytes(orjson.dumps(asdict(fault)))
            temporary.replace(router.control / self._control_file)
        await self._wait_until_applied(True)

    async def end(self) -> None:
        for router in self.targets:
            (router.control / self._control_file).unlink()
        await self._wait_until_applied(False)

    @property
    def _control_file(self) -> str:
        return f"{FAULT_FILE_PREFIX}{self.number}"

    async def _wait_until_applied(self, active: bool) -> None:
        """Waits until each running router has applied or removed the fault, up to a timeout."""
        end = asyncio.get_running_loop().time() + APPLY_TIMEOUT_S
        for router in self.targets:
            while router.running and asyncio.get_running_loop().time() < end:
                with suppress(OSError, ValueError):
                    if (
                        self._control_file in orjson.loads((router.control / ACTIVE_FAULTS_FILE).read_bytes())
                    ) is active:
                        break
                await asyncio.sleep(0.005)


def make_injection(harness: "Harness", number: int, fault: spec.AnyFault) -> Injection:
    """Returns the injection for a fault of the plan."""
    match fault:
        case spec.ProcessFault():
            return ProcessInjection(harness, number, fault)
        case spec.LinkFault():
            return LinkInjection(harness, number, fault)
        case spec.ServerFault():
            return ServerInjection(harness, number, fault)
        case spec.DiscoveryFault():
            return DiscoveryInjection(harness, number, fault)
        case spec.OverrideFault():
            return OverrideInjection(harness, number, fault)
        case spec.ClockFault() | spec.DiskFault():
            return EnvironmentInjection(harness, number, fault)
        case spec.SystemCallsFault():
            return SystemCallInjection(harness, number, fault)
