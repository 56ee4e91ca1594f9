"""Controller of a release on real units: polls the agents, applies their reports to the state machine and
the gates, stores the record, and only then sends orders.

At most one process controls a folder. If the plan names a list service, its lock admits at most one
controller over all machines. A controller sends no orders while its lease may have expired or its record
can't be stored.
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

EVIDENCE_SAVE_INTERVAL_S = 1.0  # longest period of the gates' evidence that a crash may lose
log = logging.getLogger("applehub.release")


class Controller:
    """Executes a plan through agents."""

    def __init__(self, folder: ReleaseFolder, plan: Plan) -> None:
        """Prepares to continue the release of an open folder.

        Raises PlanError if a unit has no agent, or OSError if staff requests can't be read.
        """
        self.folder = folder
        self.record = folder.record
        self.metrics = ControllerMetrics()
        self.lock_held = True
        self.hold_reason = ""  # reason for which upgrades of further units are paused; empty if none
        self._plan = plan
        self._agents = _agent_addresses(plan, list(self.record.units))
        self._clock = folder.clock
        self._machine = ReleaseStateMachine(self.record)
        self._gates = HealthGates(plan.gates, self.record)
        self._requests = StaffRequests(folder.path)
        if self.record.last_request is None:
            self.record.last_request = self._requests.latest_number()
        self._unsent: dict[int, Order] = {}  # orders to send once the record is stored, by number
        self._save_backoff = Backoff()
        self._evidence_saved_at = 0.0

    async def run(self) -> ReleaseMode:
        """Runs until the release has ended, or is halted with no unit in progress."""
        async with self.connected():
            while True:
                started_at = self._clock.now()
                if await self.poll_once(started_at):
                    break
                await asyncio.sleep(max(0.0, started_at + self._plan.gates.look_s - self._clock.now()))
            if self.record.mode in ENDED_MODES:
                await self._lock.release()
            return self.record.mode

    @asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Opens an HTTP session for the duration of the context, and queues the pending orders again."""
        async with aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session:
            self.client = AgentClient(session, self._agents)
            self._lock = ControllerLock(session, self._plan.lists, self.record.release_id)
            self._save(self._clock.now())
            self._queue(self._machine.resend_pending(self._clock.now()))
            yield

    async def poll_once(self, now: float) -> bool:
        """Polls once and sends the resulting orders.

        Returns whether the release has ended, or is halted with no unit in progress.
        """
        self._update_lock(await self._lock.acquire(now))
        if not self.lock_held:
            return False
        self._queue(await self._poll())
        if not self._save(now):
            return False  # no order is sent and no end is reported before the record is stored
        if self.record.finished():
            return True
        if self._lock.held_at(self._clock.now()):  # the lease may have expired during polling or saving
            unsent = list(self._unsent.values())
            self._unsent = {}
            async with asyncio.TaskGroup() as tasks:
                for order in unsent:
                    tasks.create_task(self._send(order))
        return False

    def _update_lock(self, held: bool) -> None:
        if held is not self.lock_held:
            self.lock_held = held
            self.folder.events.write(EventKind.LOCK_CHANGED, held=held, fence=self._lock.fence)

    async def _poll(self) -> list[Order]:
        """Polls all agents and returns the resulting orders."""
        status = await self.client.poll()
        self.metrics.silent_agents.set(status.silent_agents)
        self._apply_requests()
        orders: list[Order] = []
        for unit, outcome in status.outcomes.items():
            orders += self._handle_outcome(unit, outcome)
        verdict = self._gates.evaluate(self._clock.now(), status.reports)
        if verdict.halt_reason and self.record.mode is ReleaseMode.RUNNING:
            self.folder.events.write(EventKind.VERSION_REJECTED, why=verdict.halt_reason)
            self._machine.reject_version(verdict.halt_reason)
        self._update_hold(verdict)
        self.metrics.update(self.record, self._gates)
        return orders + self._machine.tick(self._clock.now(), not verdict.hold_reason, verdict.capacity)

    def _handle_outcome(self, unit: str, outcome: OrderOutcome) -> list[Order]:
        is_pending = outcome.number == self.record.units[unit].order_number
        if outcome.release_id != self.record.release_id or outcome.succeeded is None or not is_pending:
            return []
        self.folder.events.write(
            EventKind.ORDER_OUTCOME,
            unit=unit,
            number=outcome.number,
            good=outcome.succeeded,
            why=outcome.error,
        )
        return self._machine.handle_outcome(self._clock.now(), unit, outcome.number, outcome.succeeded)

    def _apply_requests(self) -> None:
        try:
            for request in apply_new(self.record, self._requests):
                self.folder.events.write(EventKind.STAFF_REQUEST, what=request.kind)
        except OSError as error:
            log.info("staff requests can't be read, retrying at the next poll: error %r", error)

    def _update_hold(self, verdict: Verdict) -> None:
        if bool(verdict.hold_reason) is not bool(self.hold_reason):
            self.folder.events.write(EventKind.FLEET_UNHEALTHY, why=verdict.hold_reason)
        self.hold_reason = verdict.hold_reason

    def _queue(self, orders: list[Order]) -> None:
        """Queues orders until the record is stored, and drops queued orders that are no longer pending."""
        self._unsent.update((order.number, order) for order in orders)
        pending = {unit.order_number for unit in self.record.units.values()}
        self._unsent = {number: order for number, order in self._unsent.items() if number in pending}

    def _save(self, now: float) -> bool:
        """Stores the record. Returns whether it is stored; later polls retry a failed save with backoff."""
        backoff = self._save_backoff
        if not backoff.due(now):
            return False
        if now - self._evidence_saved_at >= EVIDENCE_SAVE_INTERVAL_S:
            self._evidence_saved_at = now
            self.record.gate_state = self._gates.state()
        try:
            self.folder.save()
        except (OSError, StoreError) as error:
            if not backoff.failures:
                log.warning("record can't be stored, orders are suspended: error %r", error)
            backoff.record_failure(now)
        else:
            if backoff.failures:
                log.warning("record stored again: failed attempts %d", backoff.failures)
            backoff.reset()
        self.metrics.failed_saves.set(backoff.failures)
        return not backoff.failures

    async def _send(self, order: Order) -> None:
        """Sends an order. The state machine resends an order without an outcome after the plan's `step_s`."""
        self.metrics.orders.labels(order.step).inc()
        events = self.folder.events
        events.write(
            EventKind.ORDER_SENT, unit=order.unit, number=order.number, step=order.step, version=order.version
        )
        rejection = await self.client.send(OrderMessage(self.record.release_id, self._lock.fence, order))
        if rejection:
            events.write(EventKind.ORDER_REFUSED, unit=order.unit, number=order.number, why=rejection)


def _agent_addresses(plan: Plan, units: list[str]) -> dict[str, str]:
    """Returns the address of each unit's agent. Raises PlanError if a unit has none."""
    addresses = {unit.name: unit.agent for unit in plan.fleet if unit.agent}
    missing = [name for name in units if name not in addresses]
    if missing:
        raise PlanError("\n".join(f"fleet: {name}: expected the address of an agent" for name in missing))
    return {name: addresses[name] for name in units}
