"""Release agents of the test harness, one per zone, which execute release steps on its processes."""

import asyncio
import signal
from pathlib import Path

import psutil

from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.events import EventKind
from applehub.lab.fleet.harness import Harness
from applehub.lab.fleet.plan import NEW_VERSION, OLD_VERSION, Release
from applehub.lab.fleet.processes import RouterProcess, Standin
from applehub.lab.live.bench import LiveError
from applehub.release.agent import FORMAT_VERSION, Agent
from applehub.release.messages import LoadReport
from applehub.release.state_machine import Order
from applehub.settings import Json

DRAIN_DELAY_S = 0.7  # time after the list change in which routers may still send requests
DRAIN_TIMEOUT_S = 10.0  # time allowed for a draining server to complete its requests
RELOAD_TIMEOUT_S = 10.0


def unit_zones(harness: Harness) -> dict[str, str]:
    """Returns the zone of each unit of the plan's release."""
    release = harness.plan.release
    assert release is not None
    units = harness.caches if release.what == "servers" else harness.routers
    return {unit.name: harness.zone(number) for number, unit in enumerate(units)}


def write_release_plan(harness: Harness) -> Path:
    """Writes the release plan of the controller, with the agent of each unit; returns its path."""
    plan, release = harness.plan, harness.plan.release
    agents = {zone: harness.edges[f"controller>agent-{n}"] for n, zone in enumerate(harness.agents)}
    lists = [harness.staff_address(replica.name) for replica in harness.registry.replicas]
    assert release is not None

    def toml_table(fields: Json) -> str:
        return (
            "{ "
            + ", ".join(f"{key} = {toml_value(value)}" for key, value in fields.items() if value is not None)
            + " }"
        )

    def toml_value(value: object) -> str:
        if isinstance(value, list):
            return "[" + ", ".join(map(toml_value, value)) + "]"
        if isinstance(value, bool):
            return str(value).lower()
        return f'"{value}"' if isinstance(value, str) else str(value)

    units = [
        toml_table({"name": name, "zone": zone, "agent": agents[zone]})
        for name, zone in unit_zones(harness).items()
    ]
    lines = [
        f'name = "{plan.name}"', f'what = "{release.what}"',
        f'old = "{OLD_VERSION}"', f'new = "{NEW_VERSION}"',
        f"back_on_halt = {toml_value(release.back_on_halt)}", f"lists = {toml_value(lists)}",
        f"limits = {toml_table(release.limits.model_dump())}",
        f"gates = {toml_table(release.gates.model_dump())}",
        f"stages = [{', '.join(toml_table(stage.model_dump()) for stage in release.stages)}]",
        f"fleet = [{', '.join(units)}]",
    ]  # fmt: skip
    path = harness.folder / "release.toml"
    path.write_text("\n".join(lines))
    return path


class ZoneHost:
    """The units of one zone; implements applehub.release.agent.UnitHost."""

    def __init__(self, harness: Harness, zone: str, release: Release) -> None:
        self.harness, self.release = harness, release
        self.units = [name for name, unit_zone in unit_zones(harness).items() if unit_zone == zone]
        self.pending_statistics: dict[str, asyncio.Task[dict[str, float] | None]] = {}

    async def execute(self, order: Order) -> str:
        """Executes a step and records it; returns the reason of a failure, or an empty string."""
        unit = self.harness.matching_processes([order.unit])[0]
        try:
            if isinstance(unit, RouterProcess):
                reason = await (self._reload if order.step == "reload" else self._upgrade)(
                    unit, order.version
                )
            else:
                assert isinstance(unit, Standin)
                reason = await {"drain": self._drain, "replace": self._replace, "admit": self._admit}[
                    order.step
                ](unit, order.version)
        except (LiveError, OSError) as problem:
            reason = str(problem)
        self.harness.events.write(
            EventKind.STEP_EXECUTED,
            unit=order.unit,
            step=order.step,
            version=order.version,
            number=order.number,
            why=reason,
        )
        return reason

    # Cache servers

    async def _drain(self, cache: Standin, version: str) -> str:
        await self.harness.list_state(cache.name, {"state": "Terminating"})
        await asyncio.sleep(DRAIN_DELAY_S)
        loop = asyncio.get_running_loop()
        end = loop.time() + DRAIN_TIMEOUT_S
        while loop.time() < end:
            statistics = await self._statistics(cache)
            if statistics is None or not statistics["waiting"]:
                break  # the queue is empty, or the server no longer answers
            await asyncio.sleep(0.05)
        return ""

    async def _replace(self, cache: Standin, version: str) -> str:
        harness = self.harness
        harness.end_bad_version(cache.name)
        await cache.kill()
        await harness.mark_down(cache)
        if version == NEW_VERSION and self.release.bad == "absent":
            return "the process exited during its start"
        harness.versions[cache.name] = version
        if version == NEW_VERSION:
            harness.begin_bad_version(cache.name)
        await harness.start_cache(cache, cold=True)
        await harness.mark_up(cache)
        return ""

    async def _admit(self, cache: Standin, version: str) -> str:
        if not cache.running:
            return "the process is not running"
        await self.harness.admit(cache)
        return ""

    # Routers

    async def _upgrade(self, router: RouterProcess, version: str) -> str:
        harness, before = self.harness, self.harness.versions.get(router.name, OLD_VERSION)
        harness.versions[router.name] = version
        if version == NEW_VERSION:
            harness.begin_bad_version(router.name)
        if version == NEW_VERSION and self.release.bad == "unready":
            ready = False
        else:
            ready = await harness.upgrade(router)
        if not ready:
            harness.versions[router.name] = before
            return "the new process is not ready; the old one continues to serve"
        if version == OLD_VERSION:
            harness.end_bad_version(router.name)
        return ""

    async def _reload(self, router: RouterProcess, version: str) -> str:
        harness, before = self.harness, router.release_counters(await router.lines("DUMP"))
        harness.versions[router.name] = version
        if version == NEW_VERSION and self.release.bad != "rejected":
            harness.begin_bad_version(router.name)
        harness.configure(router)
        router.signal(signal.SIGHUP)
        loop = asyncio.get_running_loop()
        end = loop.time() + RELOAD_TIMEOUT_S
        while loop.time() < end:
            current = router.release_counters(await router.lines("DUMP"))
            if current["config_rejected"] > before["config_rejected"]:
                return "config_rejected"
            if current["config_applied"] > before["config_applied"]:
                if version == OLD_VERSION:
                    harness.end_bad_version(router.name)
                return ""
            await asyncio.sleep(0.02)
        return "neither config_applied nor config_rejected increased"

    # Metrics

    async def load_report(self, unit: str) -> LoadReport | None:
        """Returns the metrics of a unit; None if it does not answer."""
        metrics = await self._metrics(unit)
        return None if metrics is None else LoadReport(metrics)

    async def _metrics(self, unit: str) -> dict[str, float] | None:
        process = self.harness.matching_processes([unit])[0]
        if not process.running:
            return None
        if isinstance(process, RouterProcess):
            lines = await process.lines("DUMP")
            if "+OK" not in lines:
                return None
            try:
                # Two processes run during an upgrade; the console port identifies the one that answered.
                incarnation_id = int(process.console.rpartition(":")[2])
                return {"life": incarnation_id, **process.release_counters(lines), **process.resource_usage()}
            except psutil.Error:
                return None
        assert isinstance(process, Standin)
        statistics = await self._statistics(process)
        if statistics is not None:
            del statistics["waiting"]
        return statistics

    async def _statistics(self, cache: Standin) -> dict[str, float] | None:
        """Returns the statistics of a cache server, or None after a timeout: the server may be stopped.

        A call during a pending request waits for that request."""
        task = self.pending_statistics.get(cache.name)
        if task is None or task.done():
            task = self.pending_statistics[cache.name] = asyncio.get_running_loop().create_task(
                self._request_statistics(cache)
            )
        finished, _ = await asyncio.wait([task], timeout=0.8)
        return dict(task.result() or {}) if finished and task.result() else None

    @staticmethod
    async def _request_statistics(cache: Standin) -> dict[str, float] | None:
        number = cache.incarnation
        try:
            statistics = await cache.send_command({"do": "figures"})
        except LiveError:
            return None
        return {"life": number, **statistics} if number == cache.incarnation else None


class ReleaseAgents:
    """The release agents of a run, all in the process of the harness."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.agents: list[Agent] = []

    async def start(self) -> None:
        """Starts the agents if the plan has a release, and sets their addresses in the harness."""
        release = self.harness.plan.release
        if release is None:
            return
        for number in range(self.harness.plan.fleet.zones):
            zone = f"zone-{number}"
            store = Store(Folder(str(self.harness.folder / f"agent-{number}")), "orders", FORMAT_VERSION)
            agent = Agent(ZoneHost(self.harness, zone, release), store)
            self.harness.agents[zone] = await agent.start("127.0.0.1", 0)
            self.agents.append(agent)

    async def stop(self) -> None:
        for agent in self.agents:
            await agent.stop()
