"""Agent: executes a controller's orders on the units beside it, and reports how they do, over HTTP.

`POST /v1/orders` takes an order ({release, fence, unit, step, version, number}). 202: it is being executed;
200: it is known already; 409: it is refused; 400: it can't be decoded; 503: the disk refuses it, so it is
not begun. `GET /v1/units` reports for each unit the latest order, its outcome and the unit's metrics. An
order is on the disk before it is executed, and its outcome before it is reported. An order that was being
executed when the agent ended is executed again, so a host's steps must be idempotent.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

import orjson
from aiohttp import web

from applehub.durable.store import Store, StoreError
from applehub.release.agent_memory import AgentMemory
from applehub.release.backoff import Backoff
from applehub.release.errors import MessageError, OrderRefusedError
from applehub.release.messages import AgentStatus, LoadReport, OrderMessage, UnitStatus
from applehub.release.state_machine import Order

FORMAT_VERSION = 1  # of what the agent's store holds
REPORT_TIMEOUT_S = 1.0  # for a unit to report its metrics
MAX_REQUEST = 1 << 16  # bytes
SHUTDOWN_S = 0.5  # for answers under way when the agent stops
log = logging.getLogger("applehub.release")


class UnitHost(Protocol):
    """What runs an agent's units. Each step may be requested again after it was done, or half done."""

    units: list[str]

    async def execute(self, order: Order) -> str:
        """Executes a step; what went wrong, empty if nothing did."""

    async def load_report(self, unit: str) -> LoadReport | None:
        """The unit's metrics, see gates.py; None: it does not answer."""


class Agent:
    """An agent with its memory and its address."""

    def __init__(
        self, host: UnitHost, store: Store, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    ) -> None:
        """sleep: waits between attempts at a disk that refuses.

        Raises StoreError where another agent holds the store, StoredStateError, OSError.
        """
        self.executions: set[asyncio.Task[None]] = set()
        self._host = host
        self._store = store
        self._sleep = sleep
        self._runner: web.AppRunner | None = None
        try:
            content = store.open().value
            self.memory = AgentMemory() if content is None else AgentMemory.decode(content)
        except BaseException:
            store.close()  # otherwise it stays held, and this process can't open it once more
            raise

    async def start(self, host: str, port: int) -> str:
        """Listens, and executes unfinished orders again; the address. Raises OSError."""
        app = web.Application(client_max_size=MAX_REQUEST)
        app.router.add_post("/v1/orders", self._post_order)
        app.router.add_get("/v1/units", self._get_units)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        for order in self.memory.unfinished():
            self._begin(order)
        name, number = self._runner.addresses[0][:2]
        return f"{name}:{number}"

    async def stop(self) -> None:
        """Stops listening and executing; unfinished orders stay in the memory."""
        executions = list(self.executions)
        for execution in executions:
            execution.cancel()
        await asyncio.gather(*executions, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()
        self._store.close()

    def _save(self, memory: AgentMemory) -> None:
        """Replaces the memory. Raises StoreError, OSError: then it stays as it was."""
        self._store.save(memory.encode())
        self.memory = memory

    async def _post_order(self, request: web.Request) -> web.Response:
        try:
            message = OrderMessage.decode(await request.read())
        except MessageError as error:
            return self._refusal(HTTPStatus.BAD_REQUEST, str(error))
        order = message.order
        if order.unit not in self._host.units:
            return self._refusal(HTTPStatus.BAD_REQUEST, f"expected an order: no unit {order.unit!r} here")
        memory = self.memory.copy()
        try:
            new = memory.accept(message.release_id, message.fence, order)
            if memory != self.memory:
                self._save(memory)
        except OrderRefusedError as error:
            return self._refusal(HTTPStatus.CONFLICT, str(error))
        except (StoreError, OSError) as error:
            log.warning("%s: %s is not begun, since it can't be stored: %r", order.unit, order.step, error)
            return self._refusal(
                HTTPStatus.SERVICE_UNAVAILABLE, f"not begun, since it can't be stored: {error}"
            )
        if new:
            self._begin(order)
        return _json_response(
            HTTPStatus.ACCEPTED if new else HTTPStatus.OK, orjson.dumps({"number": order.number})
        )

    def _begin(self, order: Order) -> None:
        execution = asyncio.get_running_loop().create_task(self._execute(order))
        self.executions.add(execution)
        execution.add_done_callback(self.executions.discard)

    async def _execute(self, order: Order) -> None:
        try:
            failure = await self._host.execute(order)
        except Exception as error:  # whatever a host raises is the order's outcome
            log.exception("%s: %s failed", order.unit, order.step)
            failure = f"{type(error).__name__}: {error}"
        backoff = Backoff()
        while True:
            memory = self.memory.copy()
            memory.record_outcome(order.unit, failure)
            try:
                self._save(memory)
            except (StoreError, OSError) as error:
                if not backoff.failures:
                    log.warning("%s: the outcome of %s can't be stored: %r", order.unit, order.step, error)
                await self._sleep(backoff.failed(0.0))
            else:
                return

    async def _get_units(self, _: web.Request) -> web.Response:
        names = self._host.units
        reports = await asyncio.gather(*(self._load_report(name) for name in names))
        units = {}
        for name, report in zip(names, reports, strict=True):
            latest = self.memory.latest.get(name)
            units[name] = UnitStatus(None if latest is None else latest.outcome, report)
        return _json_response(HTTPStatus.OK, AgentStatus(self.memory.fence, units).encode())

    async def _load_report(self, unit: str) -> LoadReport | None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return await self._host.load_report(unit)
        except (TimeoutError, OSError, ValueError):
            return None

    def _refusal(self, status: HTTPStatus, error: str) -> web.Response:
        return _json_response(status, orjson.dumps({"error": error, "fence": self.memory.fence}))


def _json_response(status: HTTPStatus, body: bytes) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/json")
