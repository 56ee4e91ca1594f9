"""The machines of a release on the ground: an agent for each zone, whose steps the ground carries out on its
own processes, with versions that may be bad on purpose."""

import asyncio
import signal
from pathlib import Path

import psutil

from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.events import EventKind
from applehub.lab.fleet.ground import Ground
from applehub.lab.fleet.plan import NEW, OLD, Released
from applehub.lab.fleet.processes import RouterProcess, Standin
from applehub.lab.live.bench import LiveError
from applehub.release.agent import FORMAT_VERSION, Agent
from applehub.release.messages import LoadReport
from applehub.release.state_machine import Order
from applehub.settings import Json

DRAINED = 0.7  # s from the list's word on, in which routers may still send
EMPTY_WITHIN = 10.0  # s that a draining server has to end what it holds
RELOADED_WITHIN = 10.0  # s


def zones_of(ground: Ground) -> dict[str, str]:
    """The units of the plan's release, and the zone of each."""
    release = ground.plan.release
    assert release is not None
    units = ground.caches if release.what == "servers" else ground.routers
    return {one.name: ground.zone(number) for number, one in enumerate(units)}


def write_plan(ground: Ground) -> Path:
    """The controller's file: the fleet's units, and by whom each is reached."""
    plan, release = ground.plan, ground.plan.release
    agents = {zone: ground.edges[f"controller>agent-{n}"] for n, zone in enumerate(ground.agents)}
    lists = [ground.staff_of(one.name) for one in ground.lists.replicas]
    assert release is not None

    def table(of: Json) -> str:
        return "{ " + ", ".join(f"{key} = {value(one)}" for key, one in of.items() if one is not None) + " }"

    def value(one: object) -> str:
        if isinstance(one, list):
            return "[" + ", ".join(map(value, one)) + "]"
        if isinstance(one, bool):
            return str(one).lower()
        return f'"{one}"' if isinstance(one, str) else str(one)

    units = [
        table({"name": name, "zone": zone, "agent": agents[zone]}) for name, zone in zones_of(ground).items()
    ]
    lines = [
        f'name = "{plan.name}"', f'what = "{release.what}"', f'old = "{OLD}"', f'new = "{NEW}"',
        f"back_on_halt = {value(release.back_on_halt)}", f"lists = {value(lists)}",
        f"limits = {table(release.limits.model_dump())}", f"gates = {table(release.gates.model_dump())}",
        f"stages = [{', '.join(table(one.model_dump()) for one in release.stages)}]",
        f"fleet = [{', '.join(units)}]",
    ]  # fmt: skip
    path = ground.folder / "release.toml"
    path.write_text("\n".join(lines))
    return path


class Zone:
    """The machines of one zone; see applehub.release.agent.UnitHost."""

    def __init__(self, ground: Ground, zone: str, release: Released) -> None:
        self.ground, self.release = ground, release
        self.units = [name for name, of in zones_of(ground).items() if of == zone]
        self.asking: dict[str, asyncio.Task[dict[str, float] | None]] = {}

    async def execute(self, order: Order) -> str:
        """Carries a step out, and writes down that it was."""
        unit = self.ground.named([order.unit])[0]
        try:
            if isinstance(unit, RouterProcess):
                why = await (self._reload if order.step == "reload" else self._upgrade)(unit, order.version)
            else:
                assert isinstance(unit, Standin)
                why = await {"drain": self._drain, "replace": self._replace, "admit": self._admit}[
                    order.step
                ](unit, order.version)
        except (LiveError, OSError) as problem:
            why = str(problem)
        self.ground.events.write(
            EventKind.STEP_EXECUTED,
            unit=order.unit,
            step=order.step,
            version=order.version,
            number=order.number,
            why=why,
        )
        return why

    # Cache servers

    async def _drain(self, cache: Standin, version: str) -> str:
        await self.ground.list_state(cache.name, {"state": "Terminating"})
        await asyncio.sleep(DRAINED)
        loop = asyncio.get_running_loop()
        end = loop.time() + EMPTY_WITHIN
        while loop.time() < end:
            told = await self._ask(cache)
            if told is None or not told["waiting"]:
                break  # nobody waits there, or it is past answering
            await asyncio.sleep(0.05)
        return ""

    async def _replace(self, cache: Standin, version: str) -> str:
        ground = self.ground
        ground.heal_bad(cache.name)
        await cache.kill()
        await ground.down(cache)
        if version == NEW and self.release.bad == "absent":
            return "it ended at its start"
        ground.versions[cache.name] = version
        if version == NEW:
            ground.strike_bad(cache.name)
        await ground.start_cache(cache, cold=True)
        await ground.up(cache)
        return ""

    async def _admit(self, cache: Standin, version: str) -> str:
        if not cache.running:
            return "it is not there"
        await self.ground.admit(cache)
        return ""

    # Routers

    async def _upgrade(self, router: RouterProcess, version: str) -> str:
        ground, before = self.ground, self.ground.versions.get(router.name, OLD)
        ground.versions[router.name] = version
        if version == NEW:
            ground.strike_bad(router.name)
        if version == NEW and self.release.bad == "unready":
            ready = False
        else:
            ready = await ground.upgrade(router)
        if not ready:
            ground.versions[router.name] = before
            return "the new process is not ready; the old one serves on"
        if version == OLD:
            ground.heal_bad(router.name)
        return ""

    async def _reload(self, router: RouterProcess, version: str) -> str:
        ground, before = self.ground, router.counts(await router.lines("DUMP"))
        ground.versions[router.name] = version
        if version == NEW and self.release.bad != "rejected":
            ground.strike_bad(router.name)
        ground.configure(router)
        router.signal(signal.SIGHUP)
        loop = asyncio.get_running_loop()
        end = loop.time() + RELOADED_WITHIN
        while loop.time() < end:
            now = router.counts(await router.lines("DUMP"))
            if now["config_rejected"] > before["config_rejected"]:
                return "config_rejected"
            if now["config_applied"] > before["config_applied"]:
                if version == OLD:
                    ground.heal_bad(router.name)
                return ""
            await asyncio.sleep(0.02)
        return "neither config_applied nor config_rejected"

    # Figures

    async def load_report(self, unit: str) -> LoadReport | None:
        """The unit's metrics; None where it does not report."""
        metrics = await self._metrics(unit)
        return None if metrics is None else LoadReport(metrics)

    async def _metrics(self, unit: str) -> dict[str, float] | None:
        process = self.ground.named([unit])[0]
        if not process.running:
            return None
        if isinstance(process, RouterProcess):
            lines = await process.lines("DUMP")
            if "+OK" not in lines:
                return None
            try:
                # Known by its console's port: while two processes of a router run, one of them answers.
                life = int(process.console.rpartition(":")[2])
                return {"life": life, **process.counts(lines), **process.costs()}
            except psutil.Error:
                return None
        assert isinstance(process, Standin)
        told = await self._ask(process)
        if told is not None:
            del told["waiting"]
        return told

    async def _ask(self, cache: Standin) -> dict[str, float] | None:
        """Asks a cache server, which may be stopped: an answer that is owed is waited for no longer than the
        caller does, and no second one is asked for meanwhile."""
        task = self.asking.get(cache.name)
        if task is None or task.done():
            task = self.asking[cache.name] = asyncio.get_running_loop().create_task(self._told(cache))
        done, _ = await asyncio.wait([task], timeout=0.8)
        return dict(task.result() or {}) if done and task.result() else None

    @staticmethod
    async def _told(cache: Standin) -> dict[str, float] | None:
        number = cache.incarnation
        try:
            told = await cache.ask({"do": "figures"})
        except LiveError:
            return None
        return {"life": number, **told} if number == cache.incarnation else None


class Agents:
    """The agents of a play, in the ground's process, each on an address of its own."""

    def __init__(self, ground: Ground) -> None:
        self.ground = ground
        self.agents: list[Agent] = []

    async def start(self) -> None:
        """Starts them, where the plan has a release; the ground then knows their addresses."""
        release = self.ground.plan.release
        if release is None:
            return
        for number in range(self.ground.plan.fleet.zones):
            zone = f"zone-{number}"
            store = Store(Folder(str(self.ground.folder / f"agent-{number}")), "orders", FORMAT_VERSION)
            agent = Agent(Zone(self.ground, zone, release), store)
            self.ground.agents[zone] = await agent.start("127.0.0.1", 0)
            self.agents.append(agent)

    async def stop(self) -> None:
        for agent in self.agents:
            await agent.stop()
