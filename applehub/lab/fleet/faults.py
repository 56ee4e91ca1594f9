"""How each fault of a plan is carried out, and undone."""

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
from applehub.lab.fleet.failing_calls import PREFIX, SEEN
from applehub.lab.fleet.processes import KILLED_AFTER, Process, RouterProcess, Standin
from applehub.lab.fleet.rule import Rule
from applehub.lab.fleet.shim import restore

if TYPE_CHECKING:
    from applehub.lab.fleet.ground import Ground

FRONT_LEAVES = 0.3  # s after SIGTERM, until the front sends no more
SEEN_WITHIN = 1.0  # s that a router has to see that a fault has begun or ended
SLICE = 0.05  # s: of a slow core's turns


class Striking:
    """A fault that strikes: what it names, how it begins and ends."""

    def __init__(self, ground: "Ground", number: int) -> None:
        self.ground, self.number = ground, number
        self.processes: list[str] = []
        self.edges: list[str] = []

    async def begin(self) -> None:
        """Strikes; returns once it has."""

    async def end(self) -> None:
        """Undoes it; returns once all is as before."""


class Struck(Striking):
    """Strikes processes."""

    def __init__(self, ground: "Ground", number: int, fault: spec.Process) -> None:
        super().__init__(ground, number)
        self.fault = fault
        self.struck = ground.named(fault.target)
        self.processes = [one.name for one in self.struck]
        self.turns: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        match self.fault.kind:
            case "kill" | "power":
                await self._all(self._kill)
            case "term":
                await self._all(self._term)
            case "stop":
                for one in self.struck:
                    one.signal(signal.SIGSTOP)
            case "slow":
                self.turns = [asyncio.create_task(self._slow(one)) for one in self.struck]
            case "hup":
                for one in self.struck:
                    one.signal(signal.SIGHUP)
            case "upgrade":
                for one in self.struck:  # one after another, as a release goes
                    await self._upgrade(one)

    async def end(self) -> None:
        match self.fault.kind:
            case "kill" | "power" | "term":
                await self._all(self.ground.restart)
            case "stop":
                for one in self.struck:
                    one.signal(signal.SIGCONT)
            case "slow":
                for turn in self.turns:
                    turn.cancel()
                for one in self.struck:
                    one.signal(signal.SIGCONT)

    async def _all(self, what: object) -> None:
        assert callable(what)
        await asyncio.gather(*(what(one) for one in self.struck))

    async def _kill(self, process: Process) -> None:
        await process.kill()
        await self.ground.down(process)
        if isinstance(process, RouterProcess):
            if self.fault.kind == "power":
                restore(process.disk, process.durable)
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
            await asyncio.wait_for(process.ended.wait(), FRONT_LEAVES)
        await self.ground.clients.ask({"do": "leaving", "router": process.name})
        with suppress(TimeoutError):
            await asyncio.wait_for(process.ended.wait(), KILLED_AFTER - FRONT_LEAVES)
        if process.running:
            await process.kill()
        await self.ground.down(process)
        await self.ground.clients.ask({"do": "back", "router": process.name})

    async def _slow(self, process: Process) -> None:
        while True:
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(SLICE * (1 - self.fault.part))
            process.signal(signal.SIGCONT)
            await asyncio.sleep(SLICE * self.fault.part)

    async def _upgrade(self, process: Process) -> None:
        assert isinstance(process, RouterProcess)
        if not await self.ground.upgrade(process):
            self.ground.undone(self.number, process)


class Linked(Striking):
    """Strikes edges, in the relay."""

    def __init__(self, ground: "Ground", number: int, fault: spec.Link) -> None:
        super().__init__(ground, number)
        self.fault = fault
        self.edges = [name for name in ground.edges if any(fnmatchcase(name, one) for one in fault.edges)]

    async def begin(self) -> None:
        fault = self.fault
        if fault.kind in ("reset", "hang"):
            await self.ground.relay.ask({"do": fault.kind, "edges": fault.edges})
            return
        rule = {name: getattr(fault, name) for name in Rule.__slots__}
        await self.ground.relay.ask({"do": "rule", "id": self.number, "edges": fault.edges, "rule": rule})

    async def end(self) -> None:
        await self.ground.relay.ask({"do": "heal", "id": self.number})


class Inside(Striking):
    """Strikes servers inside."""

    def __init__(self, ground: "Ground", number: int, fault: spec.Server) -> None:
        super().__init__(ground, number)
        self.fault = fault
        self.struck = [
            one for one in ground.named(fault.target) if isinstance(one, Standin) and one.role != "list"
        ]
        self.processes = [one.name for one in self.struck]

    async def begin(self) -> None:
        await self._tell(self.fault.part)

    async def end(self) -> None:
        await self._tell(0.0 if self.fault.kind == "errors" else 1.0)

    async def _tell(self, part: float) -> None:
        for one in self.struck:
            if one.running:
                await one.ask({"do": self.fault.kind, "part": part})


class Listed(Striking):
    """Changes the list, or overloads the list service."""

    def __init__(self, ground: "Ground", number: int, fault: spec.Listing) -> None:
        super().__init__(ground, number)
        self.fault = fault
        if fault.kind == "overload":
            self.processes = ["list"]
        self.servers = [one.name for one in ground.named(fault.target)]

    async def begin(self) -> None:
        await self._tell({"drain": "Terminating", "gone": "Gone"}.get(self.fault.kind, ""), True)

    async def end(self) -> None:
        await self._tell("Ready", False)

    async def _tell(self, state: str, on: bool) -> None:
        if self.fault.kind == "overload":
            await self.ground.list.ask({"do": "overload", "on": on})
        for server in self.servers:
            await self.ground.list_state(server, {"state": state})


class Called(Striking):
    """Calls the routers' operators' address."""

    def __init__(self, ground: "Ground", number: int, fault: spec.ByHand) -> None:
        super().__init__(ground, number)
        self.fault = fault
        self.struck = [one for one in ground.named(fault.target) if isinstance(one, RouterProcess)]

    async def begin(self) -> None:
        await self._call("OFFLINE")

    async def end(self) -> None:
        await self._call("ONLINE")

    async def _call(self, word: str) -> None:
        for router in self.struck:
            words = f"{word} {self.fault.server}"
            answer = await router.call(words)
            self.ground.events.write(EventKind.OPERATOR_CALL, router=router.name, words=words, answer=answer)


class Surrounded(Striking):
    """Spoils what the shim spoils: the wall clock, writes to the disk."""

    def __init__(self, ground: "Ground", number: int, fault: spec.Clock | spec.Disk) -> None:
        super().__init__(ground, number)
        self.fault = fault
        self.struck = [one for one in ground.named(fault.target) if isinstance(one, RouterProcess)]
        self.processes = [one.name for one in self.struck]

    async def begin(self) -> None:
        if isinstance(self.fault, spec.Clock):
            self._write("clock", str(int(self.fault.step_s * 1e9)))
        else:
            self._write("disk", f"{self.fault.kind} {self.fault.ms}")

    async def end(self) -> None:
        self._write("clock" if isinstance(self.fault, spec.Clock) else "disk", "")

    def _write(self, name: str, text: str) -> None:
        for router in self.struck:
            beside = router.control / (name + ".new")
            beside.write_text(text)
            beside.replace(router.control / name)


class CallsFailing(Striking):
    """Has system calls of routers fail, which the shim's `FailingCalls` carries out."""

    def __init__(self, ground: "Ground", number: int, fault: spec.SystemCalls) -> None:
        super().__init__(ground, number)
        self.fault = fault
        self.struck = [one for one in ground.named(fault.target) if isinstance(one, RouterProcess)]
        self.processes = [one.name for one in self.struck]
        self.edges = [f"clients>{name}" for name in self.processes if fault.breaks]

    async def begin(self) -> None:
        for router in self.struck:
            fault = self.fault.struck(
                self.ground.peers_of(router.name, self.fault.side), str(router.disk)
            )  # fmt: skip
            beside = router.control / f"new-{self._name}"
            beside.write_bytes(orjson.dumps(asdict(fault)))
            beside.replace(router.control / self._name)
        await self._seen(True)

    async def end(self) -> None:
        for router in self.struck:
            (router.control / self._name).unlink()
        await self._seen(False)

    @property
    def _name(self) -> str:
        return f"{PREFIX}{self.number}"

    async def _seen(self, there: bool) -> None:
        """Waits until each has seen it; not for one that has ended or stands still."""
        end = asyncio.get_running_loop().time() + SEEN_WITHIN
        for router in self.struck:
            while router.running and asyncio.get_running_loop().time() < end:
                with suppress(OSError, ValueError):
                    if (self._name in orjson.loads((router.control / SEEN).read_bytes())) is there:
                        break
                await asyncio.sleep(0.005)


def of(ground: "Ground", number: int, fault: spec.AnyFault) -> Striking:
    """The fault of a plan, ready to strike."""
    match fault:
        case spec.Process():
            return Struck(ground, number, fault)
        case spec.Link():
            return Linked(ground, number, fault)
        case spec.Server():
            return Inside(ground, number, fault)
        case spec.Listing():
            return Listed(ground, number, fault)
        case spec.ByHand():
            return Called(ground, number, fault)
        case spec.Clock() | spec.Disk():
            return Surrounded(ground, number, fault)
        case spec.SystemCalls():
            return CallsFailing(ground, number, fault)
