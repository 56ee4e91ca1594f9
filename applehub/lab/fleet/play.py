"""Plays a plan on the ground: the load, the faults at their moments, and what is gathered in the end."""

import asyncio
import signal
import tempfile
from contextlib import suppress
from pathlib import Path

from applehub.events import EventKind
from applehub.lab.fleet import faults
from applehub.lab.fleet.ground import Ground, together
from applehub.lab.fleet.history import History, gather
from applehub.lab.fleet.machines import Agents, write_plan
from applehub.lab.fleet.plan import AnyFault, Plan
from applehub.lab.fleet.processes import RouterProcess, start_keeper
from applehub.lab.fleet.triggers import Tail

SAMPLE = 0.5  # s between looks at the processes
END_WITHIN = 10.0  # s that a router has to end after SIGTERM, once the load is over


class Play:
    """One play of a plan."""

    def __init__(self, ground: Ground) -> None:
        self.ground, self.plan = ground, ground.plan
        self.tail = Tail(ground.folder)
        self.loop = asyncio.get_running_loop()
        self.began = 0.0

    async def play(self) -> None:
        """The load with the plan's faults; returns once all requests have ended and every router is gone. A
        process that crashes ends the play: what would come after it shows nothing more."""
        clients = self.ground.clients
        sampler = self.loop.create_task(self._sample())
        writer = self.loop.create_task(self._write())
        listener = self.loop.create_task(self._listen())
        await clients.ask({"do": "begin"})
        self.began = self.loop.time()
        striking = [self.loop.create_task(self._fault(n, one)) for n, one in enumerate(self.plan.faults)]
        try:
            whole = self.loop.create_task(self._whole(striking))
            crashes = [self.loop.create_task(one.crashed.wait()) for one in self.ground.processes()]
            await asyncio.wait([whole, *crashes], return_when=asyncio.FIRST_COMPLETED)
            for task in (whole, *striking, *crashes):
                task.cancel()
            if not whole.cancelled() and whole.done():
                whole.result()
            await clients.ask({"do": "end"})
            if writer.done():
                writer.result()
            writer.cancel()
            if self.ground.lists.replicas:
                await self.ground.lists.held()
        finally:
            sampler.cancel()
            writer.cancel()
            listener.cancel()
        await together([self._end(one) for one in self.ground.routers])

    async def _listen(self) -> None:
        """Asks each router what it hears of the others, where they speak, and tells when all agree."""
        while self.plan.fleet.peers:
            running = [one for one in self.ground.routers if one.running]
            held = await asyncio.gather(*(self._ask_peers(one) for one in running))
            if set(held) == {len(running)}:
                self.ground.events.write(EventKind.PEERS_AGREED, routers=len(running))
            await asyncio.sleep(SAMPLE)

    async def _ask_peers(self, router: RouterProcess) -> int:
        """How many routers it holds to be there; 0: it does not tell."""
        number = router.incarnation
        told = [line.partition("=") for line in await router.lines("PEERS")]
        figures = {name.removeprefix("peers."): int(value) for name, _, value in told if value}
        if figures:
            self.ground.events.write(
                EventKind.PEER_FIGURES, router=router.name, number=number, figures=figures
            )
        return figures.get("routers", 0)

    async def _whole(self, striking: list[asyncio.Task[None]]) -> None:
        """Returns once the load has lasted and every fault is over."""
        load = self.plan.load
        if self.ground.controller is not None:
            await self.ground.release()
            striking = [*striking, self.loop.create_task(self.ground.controller.finished())]
        if striking:
            done, late = await asyncio.wait(striking, timeout=load.most_s)
            for task in late:
                task.cancel()
            if late:
                await asyncio.wait(late)
            for task in done:
                task.result()
            await asyncio.sleep(load.after_s)
        await asyncio.sleep(max(0.0, self.began + load.seconds - self.loop.time()))

    async def _fault(self, number: int, fault: AnyFault) -> None:
        write = self.ground.events.write
        try:
            if fault.on is not None:
                await self.tail.wait(fault.on)
            elif fault.at is not None:
                await asyncio.sleep(max(0.0, self.began + fault.at - self.loop.time()))
            one = faults.of(self.ground, number, await self._named(fault))
            write(
                EventKind.FAULT_BEGUN, fault=number, kind=fault.kind, processes=one.processes,
                edges=one.edges, keep_disk=getattr(fault, "keep_disk", True),
            )  # fmt: skip
            await one.begin()
            if fault.until is not None:
                await self.tail.wait(fault.until)
            elif fault.for_s is not None:
                await asyncio.sleep(fault.for_s)
            await one.end()
            write(EventKind.FAULT_ENDED, fault=number)
        except asyncio.CancelledError:
            write(EventKind.FAULT_NOT_BEGUN, fault=number, why=f"not over after {self.plan.load.most_s:g} s")
            raise

    async def _named(self, fault: AnyFault) -> AnyFault:
        """PRIMARY in a fault's patterns is the list service's primary of this moment."""
        changed = {}
        for field in ("target", "edges"):
            patterns = getattr(fault, field, [])
            if any("PRIMARY" in one for one in patterns):
                name = (await self.ground.lists.primary()).name
                changed[field] = [one.replace("PRIMARY", name) for one in patterns]
        return fault.model_copy(update=changed)

    async def _write(self) -> None:
        """A writer that changes entries that no router may send to, so many times a second."""
        rate, count = self.plan.fleet.changes, 0
        while rate and self.ground.lists.replicas:
            await asyncio.sleep(1 / rate)
            count += 1
            told = {
                "endpoint": "127.0.0.1:9", "az": "zone-0", "model": "cache", "state": "Terminating",
                "pod_group": count,
            }  # fmt: skip
            await self.ground.lists.change("PUT", f"/v1/servers/other-{count % 5}", told)

    async def _sample(self) -> None:
        while True:
            for process in self.ground.processes():
                process.sample()
            await asyncio.sleep(SAMPLE)

    async def _end(self, router: RouterProcess) -> None:
        router.planned = True
        router.signal(signal.SIGCONT)
        router.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(router.ended.wait(), END_WITHIN)
        if router.running:
            await router.kill()


async def run(plan: Plan, keep: Path | None = None) -> History:
    """Plays a plan; gives what happened. With `keep`, every file of the play stays there.

    Raises LiveError where a process can't be started."""
    with tempfile.TemporaryDirectory(prefix="ground-") as made:
        folder = keep or Path(made)
        folder.mkdir(parents=True, exist_ok=True)
        keeper = start_keeper(Path(made))
        try:
            ground = Ground(plan, folder)
            agents = Agents(ground)
            try:
                await agents.start()
                await ground.start()
                if plan.release is not None:
                    ground.release_file = write_plan(ground)
                await Play(ground).play()
            finally:
                await agents.stop()
                await ground.stop()
            return gather(folder)
        finally:
            keeper.kill()
            keeper.wait()
