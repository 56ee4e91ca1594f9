"""An agent: carries a controller's orders out on the units beside it, and tells how they fare, over HTTP.

`POST /v1/orders` takes one ({release, fence, unit, step, version, number}): 202 it is under way, 200 it is
known, 409 it is refused, 400 it is none, 503 the disk refuses it, so it does not begin. `GET /v1/units` tells
of each unit the last order, what came of it, and its figures. What is remembered is on disk before a step
begins, and before what came of it is told; a step that was under way when the agent ended is carried out
again, so a machine's steps must bear that.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import orjson
from aiohttp import web

from applehub.durable.store import Store, StoreError
from applehub.release.backoff import Backoff
from applehub.release.machine import Order
from applehub.release.orders import Orders, RefusedError

FORM = 1
ASKED_WITHIN = 1.0  # s that a unit has to tell its figures
log = logging.getLogger("applehub.release")


class Machine(Protocol):
    """What an agent's units run on. Every step may be asked for again after it was done, or half done."""

    units: list[str]

    async def carry(self, order: Order) -> str:
        """Carries a step out; gives what went wrong, nothing where all went well."""

    async def figures(self, unit: str) -> dict[str, float] | None:
        """How a unit fares, see gates.py; none: it does not tell."""


class Agent:
    """One agent, its memory and its address."""

    def __init__(
        self, machine: Machine, store: Store, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    ) -> None:
        """Raises StoreError where another agent holds the store, ValueError where what it holds is of no
        use."""
        self.machine, self.store, self.sleep = machine, store, sleep
        kept = store.open().value
        try:
            self.orders = Orders() if kept is None else Orders.of(orjson.loads(kept))
        except (KeyError, TypeError) as problem:
            raise ValueError(f"{store.name}: what is kept makes no sense: {problem!r}") from None
        self.steps: set[asyncio.Task[None]] = set()
        self.runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> str:
        """Listens, and takes up again what was under way; gives the address. Raises OSError."""
        app = web.Application(client_max_size=1 << 16)
        app.router.add_post("/v1/orders", self.order)
        app.router.add_get("/v1/units", self.units)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        for unit in self.orders.begun():
            self._begin(unit)
        return "{}:{}".format(*self.runner.addresses[0][:2])

    async def stop(self) -> None:
        for step in self.steps:
            step.cancel()
        if self.runner is not None:
            await self.runner.cleanup()
        self.store.close()

    def _keep(self, orders: Orders) -> None:
        """Has the agent remember these. Raises StoreError, OSError: then it remembers what it did before."""
        self.store.save(orjson.dumps(orders.plain()))
        self.orders = orders

    async def order(self, request: web.Request) -> web.Response:
        try:
            told = orjson.loads(await request.read())
            order = Order(told["unit"], told["step"], told["version"], int(told["number"]))
            release, fence = str(told["release"]), int(told["fence"])
            if order.unit not in self.machine.units:
                raise ValueError(f"no unit {order.unit!r} here")
        except (ValueError, KeyError, TypeError) as problem:
            return self._said(400, {"error": f"expected an order: {problem}"})
        orders = self.orders.copy()
        try:
            fresh = orders.take(release, fence, order)
            if orders != self.orders:
                self._keep(orders)  # before it begins
        except RefusedError as problem:
            return self._said(409, {"error": str(problem), "fence": self.orders.fence})
        except (StoreError, OSError) as problem:
            log.warning("%s: %s does not begin, since it can't be kept: %r", order.unit, order.step, problem)
            return self._said(503, {"error": f"not begun, since it can't be kept: {problem}"})
        if fresh:
            self._begin(order.unit)
        return self._said(202 if fresh else 200, {"number": order.number})

    def _begin(self, unit: str) -> None:
        last = self.orders.last[unit]
        step = asyncio.get_running_loop().create_task(
            self._carry(Order(unit, last.step, last.version, last.number))
        )
        self.steps.add(step)
        step.add_done_callback(self.steps.discard)

    async def _carry(self, order: Order) -> None:
        try:
            why = await self.machine.carry(order)
        except Exception as problem:  # whatever a machine meets, the controller is to hear of it
            log.exception("%s: %s failed", order.unit, order.step)
            why = f"{type(problem).__name__}: {problem}"
        await self._keep_outcome(order, why)

    async def _keep_outcome(self, order: Order, why: str) -> None:
        """Remembers what came of an order, as soon as the disk takes it; until then it is under way."""
        backoff = Backoff()
        while True:
            orders = self.orders.copy()
            orders.done(order.unit, why)
            try:
                self._keep(orders)
            except (StoreError, OSError) as problem:
                if not backoff.failures:
                    log.warning("%s: what came of %s can't be kept: %r", order.unit, order.step, problem)
                await self.sleep(backoff.failed(0.0))
            else:
                return

    async def units(self, request: web.Request) -> web.Response:
        names = self.machine.units
        figures = await asyncio.gather(*(self._figures(name) for name in names))
        told = {}
        for name, one in zip(names, figures, strict=True):
            last = self.orders.last.get(name)
            order = {} if last is None else {
                "release": last.id, "number": last.number, "good": last.good, "why": last.why,
            }  # fmt: skip
            told[name] = {"order": order, "figures": one}
        return self._said(200, {"fence": self.orders.fence, "units": told})

    async def _figures(self, unit: str) -> dict[str, float] | None:
        try:
            async with asyncio.timeout(ASKED_WITHIN):
                return await self.machine.figures(unit)
        except (TimeoutError, OSError, ValueError):
            return None

    @staticmethod
    def _said(status: int, told: dict[str, Any]) -> web.Response:
        return web.Response(status=status, body=orjson.dumps(told), content_type="application/json")
