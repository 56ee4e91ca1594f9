"""Controller of a release on real units: polls the agents, applies what they report to the state machine
and the gates, stores the record, and only then sends orders.

One controller at a time: by the list service's lock where the plan names that service, and in any case one
process to a folder. A controller whose lease may have ended sends no orders, and neither does one whose
record the disk refuses.
"""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from applehub.durable.store import StoreError
from applehub.events import EventKind
from applehub.release.agent_client import REQUEST_TIMEOUT, AgentClient
from applehub.release.backoff import Backoff
from applehub.release.errors import PlanError
from applehub.release.gates import HealthGates, Verdict
from applehub.release.lock import ControllerLock
from applehub.release.messages import OrderMessage, OrderOutcome
from applehub.release.metrics import ControllerMetrics
from applehub.release.plan import Plan
from applehub.release.release_folder import ReleaseFolder
from applehub.release.staff_requests import StaffRequests, apply_new
from applehub.release.state_machine import ENDED_MODES, Order, ReleaseMode, ReleaseStateMachine

EVIDENCE_SAVE_S = 1.0  # between two times that evidence is stored: a crash loses no more of it
log = logging.getLogger("applehub.release")


class Controller:
    """Carries a plan out."""

    def __init__(self, folder: ReleaseFolder, plan: Plan) -> None:
        """folder: held, with a release begun.

        Raises PlanError where a unit has no agent, OSError where staff requests can't be read.
        """
        self.folder = folder
        self.record = folder.record
        self.metrics = ControllerMetrics()
        self.lock_held = True
        self.hold_reason = ""  # why no unit is begun at present
        self._plan = plan
        self._agents = _agents_of(plan, list(self.record.units))
        self._clock = folder.clock
        self._machine = ReleaseStateMachine(self.record)
        self._gates = HealthGates(plan.gates, self.record)
        self._requests = StaffRequests(folder.path)
        if self.record.last_request is None:
            self.record.last_request = self._requests.latest_number()
        self._unsent: dict[int, Order] = {}  # by number
        self._save_backoff = Backoff()
        self._evidence_saved_at = 0.0

    async def run(self) -> ReleaseMode:
        """Runs until the release has ended, or is halted with no unit in progress."""
        async with self.connected():
            while True:
                begun = self._clock.now()
                if await self.poll_once(begun):
                    break
                await asyncio.sleep(max(0.0, begun + self._plan.gates.look_s - self._clock.now()))
            if self.record.mode in ENDED_MODES:
                await self._lock.release()
            return self.record.mode

    @asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Holds the connections, and has the pending orders sent again."""
        async with aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session:
            self.client = AgentClient(session, self._agents)
            self._lock = ControllerLock(session, self._plan.lists, self.record.release_id)
            self._save(self._clock.now())
            self._queue(self._machine.resend_pending(self._clock.now()))
            yield

    async def poll_once(self, now: float) -> bool:
        """One poll and what follows from it; whether the release has ended, or is halted."""
        self._note_lock(await self._lock.acquire(now))
        if not self.lock_held:
            return False
        self._queue(await self._poll())
        if not self._save(now):
            return False  # an order is sent, and the release ends, only as the stored record has it
        if self.record.finished():
            return True
        if self._lock.held_at(self._clock.now()):  # saving or polling may have taken long
            unsent = list(self._unsent.values())
            self._unsent = {}
            async with asyncio.TaskGroup() as tasks:
                for order in unsent:
                    tasks.create_task(self._send(order))
        return False

    def _note_lock(self, held: bool) -> None:
        if held is not self.lock_held:
            self.lock_held = held
            self.folder.events.write(EventKind.LOCK_CHANGED, held=held, fence=self._lock.fence)

    async def _poll(self) -> list[Order]:
        """Polls the whole fleet; returns the orders that follow."""
        status = await self.client.poll()
        self.metrics.silent_agents.set(status.silent_agents)
        self._carry_out_requests()
        orders: list[Order] = []
        for unit, outcome in status.outcomes.items():
            orders += self._handle_outcome(unit, outcome)
        verdict = self._gates.evaluate(self._clock.now(), status.reports)
        if verdict.halt_reason and self.record.mode is ReleaseMode.RUNNING:
            self.folder.events.write(EventKind.VERSION_REJECTED, why=verdict.halt_reason)
            self._machine.reject_version(verdict.halt_reason)
        self._note_health(verdict)
        self.metrics.update(self.record, self._gates)
        return orders + self._machine.tick(self._clock.now(), not verdict.hold_reason, verdict.capacity)

    def _handle_outcome(self, unit: str, outcome: OrderOutcome) -> list[Order]:
        pending = outcome.number == self.record.units[unit].order_number
        if outcome.release_id != self.record.release_id or outcome.succeeded is None or not pending:
            return []
        self.folder.events.write(
            EventKind.ORDER_OUTCOME,
            unit=unit,
            number=outcome.number,
            good=outcome.succeeded,
            why=outcome.error,
        )
        return self._machine.handle_outcome(self._clock.now(), unit, outcome.number, outcome.succeeded)

    def _carry_out_requests(self) -> None:
        try:
            for request in apply_new(self.record, self._requests):
                self.folder.events.write(EventKind.STAFF_REQUEST, what=request.kind)
        except OSError as error:
            log.info("staff requests can't be read, and are at a later poll: %r", error)

    def _note_health(self, verdict: Verdict) -> None:
        if bool(verdict.hold_reason) is not bool(self.hold_reason):
            self.folder.events.write(EventKind.FLEET_UNHEALTHY, why=verdict.hold_reason)
        self.hold_reason = verdict.hold_reason

    def _queue(self, orders: list[Order]) -> None:
        """Has orders sent once the record is stored; one that has an outcome by now is dropped."""
        self._unsent.update((order.number, order) for order in orders)
        pending = {unit.order_number for unit in self.record.units.values()}
        self._unsent = {number: order for number, order in self._unsent.items() if number in pending}

    def _save(self, now: float) -> bool:
        """Stores the record; False while the disk refuses it. It is retried by later polls."""
        backoff = self._save_backoff
        if not backoff.due(now):
            return False
        if now - self._evidence_saved_at >= EVIDENCE_SAVE_S:
            self._evidence_saved_at = now
            self.record.gate_state = self._gates.state()
        try:
            self.folder.save()
        except (OSError, StoreError) as error:
            if not backoff.failures:
                log.warning("the record can't be stored, so no order is sent: %r", error)
            backoff.failed(now)
        else:
            if backoff.failures:
                log.warning("the record is stored again, after %d refusals", backoff.failures)
            backoff.succeeded()
        self.metrics.refused_saves.set(backoff.failures)
        return not backoff.failures

    async def _send(self, order: Order) -> None:
        """Sends an order; one that did not arrive is sent again after the plan's step_s."""
        self.metrics.orders.labels(order.step).inc()
        events = self.folder.events
        events.write(
            EventKind.ORDER_SENT, unit=order.unit, number=order.number, step=order.step, version=order.version
        )
        refusal = await self.client.send(OrderMessage(self.record.release_id, self._lock.fence, order))
        if refusal:
            events.write(EventKind.ORDER_REFUSED, unit=order.unit, number=order.number, why=refusal)


def _agents_of(plan: Plan, units: list[str]) -> dict[str, str]:
    """The address of each unit's agent. Raises PlanError."""
    addresses = {unit.name: unit.agent for unit in plan.fleet if unit.agent}
    lacking = [name for name in units if name not in addresses]
    if lacking:
        raise PlanError("\n".join(f"fleet: {name}: expected an agent" for name in lacking))
    return {name: addresses[name] for name in units}
