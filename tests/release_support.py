"""Helpers of the release tests: a settable clock, and fake hosts, agents and lock services on loopback."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.release.agent import FORMAT_VERSION, Agent
from applehub.release.controller import Controller
from applehub.release.messages import LoadReport
from applehub.release.plan import Plan
from applehub.release.release_folder import ReleaseFolder
from applehub.release.state_machine import Order

WALL_CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)


@dataclass
class FakeClock:
    """A monotonic clock with a separately settable wall clock."""

    identity: str = "boot-1"
    reading: float = 5_000.0  # monotonic time in s
    offset: float = 1_790_000_000.0  # Unix time minus `reading`, in s

    def now(self) -> float:
        return self.reading

    def unix_time(self) -> float:
        return self.reading + self.offset


class FakeUnitHost:
    """Executes every order immediately and records it."""

    def __init__(self, units: list[str]) -> None:
        self.units = units
        self.executed: list[Order] = []
        self.failing_units: set[str] = set()
        self.before_execute: Callable[[Order], None] = lambda order: None
        self.reports = {name: LoadReport({"life": 1.0}) for name in units}

    async def execute(self, order: Order) -> str:
        self.before_execute(order)
        self.executed.append(order)
        return "step failed" if order.unit in self.failing_units else ""

    async def load_report(self, unit: str) -> LoadReport | None:
        return self.reports.get(unit)


def make_plan(units: int = 2, **overrides: Any) -> Plan:
    """Returns a plan without agents, for units u0, u1, ... in one zone and one stage, watched for 20 s."""
    gates = {"look_s": 0.05, "before_s": 0.0, **overrides.pop("gates", {})}
    return Plan.model_validate(
        {
            "name": "cache-1.8",
            "what": "servers",
            "old": "1.7",
            "new": "1.8",
            "stages": [{"name": "all", "part": 1.0, "watch_s": 20}],
            "fleet": [{"name": f"u{number}", "zone": "a"} for number in range(units)],
            "gates": gates,
            **overrides,
        }
    )


@asynccontextmanager
async def running_agent(
    host: FakeUnitHost, folder: Path, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
) -> AsyncIterator[tuple[Agent, str]]:
    """Yields an agent that listens on loopback, and its address."""
    agent = Agent(host, Store(Folder(str(folder)), "orders", FORMAT_VERSION), sleep)
    try:
        yield agent, await agent.start("127.0.0.1", 0)
    finally:
        await agent.stop()


@dataclass
class FakeListService:
    """The lock endpoint of a list service."""

    fence: int = 7
    rejects: bool = False
    acquisitions: int = 0
    bodies: list[dict[str, Any]] = field(default_factory=list)

    async def put(self, request: web.Request) -> web.Response:
        self.bodies.append(await request.json())
        if self.rejects:
            return web.json_response({"error": "busy"}, status=503)
        self.acquisitions += 1
        return web.json_response({"fence": self.fence})


@asynccontextmanager
async def running_list_service() -> AsyncIterator[tuple[FakeListService, str]]:
    """Yields a fake list service that listens on loopback, and its address."""
    service, app = FakeListService(), web.Application()
    app.router.add_put("/v1/locks/release", service.put)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        yield service, "{}:{}".format(*runner.addresses[0][:2])
    finally:
        await runner.cleanup()


@asynccontextmanager
async def running_controller(
    path: Path, plan: Plan, clock: FakeClock, agent: str
) -> AsyncIterator[Controller]:
    """Yields a connected controller whose units share one agent. Tests call `poll_once` themselves."""
    units = [unit.model_copy(update={"agent": agent}) for unit in plan.fleet]
    plan = plan.model_copy(update={"fleet": units})
    with ReleaseFolder(path, clock) as folder:
        folder.begin(plan, False)
        controller = Controller(folder, plan)
        async with controller.connected():
            yield controller
