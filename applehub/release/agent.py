"""Agent: executes a controller's orders on the units of its host and reports their status over HTTP.

`POST /v1/orders` takes an order ({release, fence, unit, step, version, number}) and responds with 202 if it
starts executing it, 200 if the order is known already, 400 if it can't be decoded, 409 if it is rejected, and
503 if it can't be stored and is therefore not executed. `GET /v1/units` reports the latest order, its outcome
and the metrics of each unit.

An order is stored before it is executed, and its outcome before it is reported. An order that was interrupted
by the end of the agent is executed again, so the steps of a host must be idempotent.
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
from applehub.release.errors import MessageError, OrderRejectedError
from applehub.release.messages import AgentStatus, LoadReport, OrderMessage, UnitStatus
from applehub.release.state_machine import Order

FORMAT_VERSION = 1  # version of the encoding in which an agent stores its orders
REPORT_TIMEOUT_S = 1.0  # maximum time to read one unit's metrics
MAX_REQUEST_BYTES = 1 << 16
SHUTDOWN_TIMEOUT_S = 0.5  # maximum wait for requests in flight on shutdown
log = logging.getLogger("applehub.release")


class UnitHost(Protocol):
    """Runs the units of an agent. Steps must be idempotent, because interrupted steps are executed again."""

    units: list[str]

    async def execute(self, order: Order) -> str:
        """Executes a step. Returns the reason if the step fails, and an empty string otherwise."""

    async def load_report(self, unit: str) -> LoadReport | None:
        """Returns the unit's metrics (listed in gates.py), or None if the unit does not respond."""


class Agent:
    """An agent's HTTP server and its stored orders."""

    def __init__(
        self, host: UnitHost, store: Store, sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    ) -> None:
        """Loads the stored orders. `sleep` is awaited between attempts to store an outcome.

        Raises StoreError if another agent has the store open, StoredStateError or OSError.
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
            store.close()  # releases the lock, so that this process can open the store again
            raise

    async def start(self, host: str, port: int) -> str:
        """Starts listening and executes unfinished orders again. Returns the address. Raises OSError."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_post("/v1/orders", self._post_order)
        app.router.add_get("/v1/units", self._get_units)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        for order in self.memory.unfinished():
            self._start_execution(order)
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def stop(self) -> None:
        """Stops listening and cancels executions. Unfinished orders remain stored."""
        executions = list(self.executions)
        for execution in executions:
            execution.cancel()
        await asyncio.gather(*executions, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()
        self._store.close()

    def _save(self, memory: AgentMemory) -> None:
        """Stores the new memory and then makes it current. Raises StoreError or OSError."""
        self._store.save(memory.encode())
        self.memory = memory

    async def _post_order(self, request: web.Request) -> web.Response:
        try:
            message = OrderMessage.decode(await request.read())
        except MessageError as error:
            return self._error_response(HTTPStatus.BAD_REQUEST, str(error))
        order = message.order
        if order.unit not in self._host.units:
            return self._error_response(
                HTTPStatus.BAD_REQUEST, f"expected a unit of this agent, got {order.unit!r}"
            )
        memory = self.memory.copy()
        try:
            is_new = memory.accept(message.release_id, message.fence, order)
            if memory != self.memory:
                self._save(memory)
        except OrderRejectedError as error:
            return self._error_response(HTTPStatus.CONFLICT, str(error))
        except (StoreError, OSError) as error:
            log.warning(
                "order not executed because it can't be stored: unit %s, step %s, error %r",
                order.unit,
                order.step,
                error,
            )
            return self._error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, f"order not executed because it can't be stored: {error}"
            )
        if is_new:
            self._start_execution(order)
        return _json_response(
            HTTPStatus.ACCEPTED if is_new else HTTPStatus.OK, orjson.dumps({"number": order.number})
        )

    def _start_execution(self, order: Order) -> None:
        execution = asyncio.get_running_loop().create_task(self._execute(order))
        self.executions.add(execution)
        execution.add_done_callback(self.executions.discard)

    async def _execute(self, order: Order) -> None:
        try:
            failure = await self._host.execute(order)
        except Exception as error:  # any exception of the host fails the step
            log.exception("step failed: unit %s, step %s", order.unit, order.step)
            failure = f"{type(error).__name__}: {error}"
        backoff = Backoff()
        while True:
            memory = self.memory.copy()
            memory.record_outcome(order.unit, failure)
            try:
                self._save(memory)
            except (StoreError, OSError) as error:
                if not backoff.failures:
                    log.warning(
                        "outcome can't be stored, retrying: unit %s, step %s, error %r",
                        order.unit,
                        order.step,
                        error,
                    )
                await self._sleep(backoff.record_failure(0.0))
            else:
                return

    async def _get_units(self, _: web.Request) -> web.Response:
        unit_names = self._host.units
        reports = await asyncio.gather(*(self._load_report(name) for name in unit_names))
        units = {}
        for name, report in zip(unit_names, reports, strict=True):
            record = self.memory.latest.get(name)
            units[name] = UnitStatus(None if record is None else record.outcome, report)
        return _json_response(HTTPStatus.OK, AgentStatus(self.memory.fence, units).encode())

    async def _load_report(self, unit: str) -> LoadReport | None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return await self._host.load_report(unit)
        except (TimeoutError, OSError, ValueError):
            return None

    def _error_response(self, status: HTTPStatus, error: str) -> web.Response:
        return _json_response(status, orjson.dumps({"error": error, "fence": self.memory.fence}))


def _json_response(status: HTTPStatus, body: bytes) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/json")
