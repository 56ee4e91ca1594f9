"""Runs a plan: starts the cluster, applies the load, injects the faults and collects the events."""

import asyncio
import signal
import tempfile
from contextlib import suppress
from pathlib import Path

from applehub.events import EventKind
from applehub.lab.fleet import faults
from applehub.lab.fleet.harness import Harness, wait_for_all
from applehub.lab.fleet.history import History, gather
from applehub.lab.fleet.plan import AnyFault, Plan
from applehub.lab.fleet.processes import RouterProcess, start_folder_cleanup
from applehub.lab.fleet.release_agents import ReleaseAgents, write_release_plan
from applehub.lab.fleet.triggers import EventFollower

SAMPLE_PERIOD_S = 0.5
EXIT_TIMEOUT_S = 10.0  # time allowed for a router to exit after SIGTERM at the end of the run


class PlanRun:
    """One run of a plan."""

    def __init__(self, harness: Harness) -> None:
        self.harness, self.plan = harness, harness.plan
        self.follower = EventFollower(harness.folder)
        self.loop = asyncio.get_running_loop()
        self.started_at = 0.0

    async def execute(self) -> None:
        """Applies the load and the faults; returns after all requests and every router have ended.

        The crash of a process ends the run early."""
        clients = self.harness.clients
        sampler = self.loop.create_task(self._sample())
        writer = self.loop.create_task(self._change_entries())
        gossip_watcher = self.loop.create_task(self._watch_gossip())
        await clients.send_command({"do": "begin"})
        self.started_at = self.loop.time()
        fault_tasks = [
            self.loop.create_task(self._inject(number, fault))
            for number, fault in enumerate(self.plan.faults)
        ]
        try:
            completion = self.loop.create_task(self._wait_until_complete(fault_tasks))
            crashes = [self.loop.create_task(process.crashed.wait()) for process in self.harness.processes()]
            await asyncio.wait([completion, *crashes], return_when=asyncio.FIRST_COMPLETED)
            for task in (completion, *fault_tasks, *crashes):
                task.cancel()
            if not completion.cancelled() and completion.done():
                completion.result()
            await clients.send_command({"do": "end"})
            if writer.done():
                writer.result()
            writer.cancel()
            if self.harness.registry.replicas:
                await self.harness.registry.record_entries()
        finally:
            sampler.cancel()
            writer.cancel()
            gossip_watcher.cancel()
        await wait_for_all([self._stop_router(router) for router in self.harness.routers])

    async def _watch_gossip(self) -> None:
        """Records each router's gossip metrics, and when all running routers agree on their number."""
        while self.plan.fleet.peers:
            running = [router for router in self.harness.routers if router.running]
            peer_counts = await asyncio.gather(*(self._gossip_peer_count(router) for router in running))
            if set(peer_counts) == {len(running)}:
                self.harness.events.write(EventKind.PEERS_AGREED, routers=len(running))
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def _gossip_peer_count(self, router: RouterProcess) -> int:
        """Records the gossip metrics of a router; returns its count of live routers, 0 if unknown."""
        number = router.incarnation
        pairs = [line.partition("=") for line in await router.lines("PEERS")]
        metrics = {name.removeprefix("peers."): int(value) for name, _, value in pairs if value}
        if metrics:
            self.harness.events.write(
                EventKind.PEER_FIGURES, router=router.name, number=number, figures=metrics
            )
        return metrics.get("routers", 0)

    async def _wait_until_complete(self, fault_tasks: list[asyncio.Task[None]]) -> None:
        """Waits for the duration of the load and the end of the faults and the release."""
        load = self.plan.load
        if self.harness.controller is not None:
            await self.harness.release()
            fault_tasks = [*fault_tasks, self.loop.create_task(self.harness.controller.finished())]
        if fault_tasks:
            finished, unfinished = await asyncio.wait(fault_tasks, timeout=load.most_s)
            for task in unfinished:
                task.cancel()
            if unfinished:
                await asyncio.wait(unfinished)
            for task in finished:
                task.result()
            await asyncio.sleep(load.after_s)
        await asyncio.sleep(max(0.0, self.started_at + load.seconds - self.loop.time()))

    async def _inject(self, number: int, fault: AnyFault) -> None:
        write = self.harness.events.write
        try:
            if fault.on is not None:
                await self.follower.wait(fault.on)
            elif fault.at is not None:
                await asyncio.sleep(max(0.0, self.started_at + fault.at - self.loop.time()))
            injection = faults.make_injection(self.harness, number, await self._resolve_primary(fault))
            write(
                EventKind.FAULT_BEGUN, fault=number, kind=fault.kind, processes=injection.processes,
                edges=injection.edges, keep_disk=getattr(fault, "keep_disk", True),
            )  # fmt: skip
            await injection.begin()
            if fault.until is not None:
                await self.follower.wait(fault.until)
            elif fault.for_s is not None:
                await asyncio.sleep(fault.for_s)
            await injection.end()
            write(EventKind.FAULT_ENDED, fault=number)
        except asyncio.CancelledError:
            write(EventKind.FAULT_NOT_BEGUN, fault=number, why=f"not over after {self.plan.load.most_s:g} s")
            raise

    async def _resolve_primary(self, fault: AnyFault) -> AnyFault:
        """Replaces PRIMARY in the patterns of a fault by the current primary of the list service."""
        updates = {}
        for field in ("target", "edges"):
            patterns = getattr(fault, field, [])
            if any("PRIMARY" in pattern for pattern in patterns):
                name = (await self.harness.registry.primary()).name
                updates[field] = [pattern.replace("PRIMARY", name) for pattern in patterns]
        return fault.model_copy(update=updates)

    async def _change_entries(self) -> None:
        """Changes entries of draining servers, to which no router sends, at the configured rate."""
        rate, count = self.plan.fleet.changes, 0
        while rate and self.harness.registry.replicas:
            await asyncio.sleep(1 / rate)
            count += 1
            registration = {
                "endpoint": "127.0.0.1:9", "az": "zone-0", "model": "cache", "state": "Terminating",
                "pod_group": count,
            }  # fmt: skip
            await self.harness.registry.change("PUT", f"/v1/servers/other-{count % 5}", registration)

    async def _sample(self) -> None:
        while True:
            for process in self.harness.processes():
                process.sample()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def _stop_router(self, router: RouterProcess) -> None:
        router.planned = True
        router.signal(signal.SIGCONT)
        router.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(router.ended.wait(), EXIT_TIMEOUT_S)
        if router.running:
            await router.kill()


async def run(plan: Plan, keep: Path | None = None) -> History:
    """Runs a plan and returns its history. With `keep`, all files of the run stay in that folder.

    Raises LiveError if a process can't be started."""
    with tempfile.TemporaryDirectory(prefix="ground-") as temporary_folder:
        folder = keep or Path(temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        folder_cleanup = start_folder_cleanup(Path(temporary_folder))
        try:
            harness = Harness(plan, folder)
            agents = ReleaseAgents(harness)
            try:
                await agents.start()
                await harness.start()
                if plan.release is not None:
                    harness.release_file = write_release_plan(harness)
                await PlanRun(harness).execute()
            finally:
                await agents.stop()
                await harness.stop()
            return gather(folder)
        finally:
            folder_cleanup.kill()
            folder_cleanup.wait()
