"""A release on real units: looks at the agents, plays what they tell to the machine and the gates, keeps the
record, and only then sends what is to be done.

One controller at a time: with the list service's lock where the plan names that service, and in any case one
process to a folder. A controller whose lease may have run out orders nothing."""

import asyncio
import errno
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from prometheus_client import CollectorRegistry, Counter, Gauge

from applehub.durable.store import StoreError
from applehub.events import Event
from applehub.release.backoff import Backoff
from applehub.release.gates import Figures, Gate, Verdict
from applehub.release.kept import ENDED, Kept
from applehub.release.machine import Mode, Order, Release
from applehub.release.plan import Plan, PlanError
from applehub.release.staff_requests import StaffRequests, carry_out

CALL = aiohttp.ClientTimeout(total=2.0)
LEASE = 8.0  # s of the lock
LOCK = "release"  # one for the fleet: two releases at once are two causes for one effect
KEEP = 1.0  # s between two times that evidence is kept: a crash loses no more of it
# What says of no agent that it is silent: this machine lacks something, or has no network.
OF_THIS_MACHINE = frozenset(
    (
        errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
        errno.ENETDOWN,
    )
)  # fmt: skip
FAILED = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
log = logging.getLogger("applehub.release")


class NotAskedError(Exception):
    """An agent could not be asked, for a reason that lies in the controller's machine."""


class Metrics:
    """Figures of one controller, for a scraper."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.units = Gauge("release_units", "Units by version", ["version"], registry=self.registry)
        self.out = Gauge("release_units_out", "Units on their way", registry=self.registry)
        self.odds = Gauge(
            "release_odds", "Likelihood that the new version is worse", ["failure"], registry=self.registry
        )
        self.orders = Counter("release_orders", "Orders sent, by step", ["step"], registry=self.registry)
        self.refused = Gauge(
            "release_record_refused",
            "Times in a row that the disk refused the record",
            registry=self.registry,
        )
        self.silent = Gauge("release_agents_silent", "Agents that did not answer", registry=self.registry)


class Lock:
    """The list service's lock for this release's controller."""

    def __init__(self, session: aiohttp.ClientSession, lists: list[str], holder: str) -> None:
        self.session, self.lists, self.holder = session, lists, holder
        self.fence, self.until = 0, 0.0

    async def hold(self, now: float) -> bool:
        """Takes or renews it; whether it is held for now. Where no list service is named it always is."""
        if not self.lists:
            return True
        if self.until - now > LEASE * 2 / 3:
            return True
        body = {"holder": self.holder, "lease_ms": int(LEASE * 1000)}
        for address in list(self.lists):
            try:
                async with self.session.put(f"http://{address}/v1/locks/{LOCK}", json=body) as answer:
                    told = await answer.json()
            except FAILED:
                continue
            if answer.status == 200:
                # By when it was asked for; a part short, since clocks drift.
                self.fence, self.until = told["fence"], now + LEASE * 0.9
                self.lists.remove(address)
                self.lists.insert(0, address)  # the primary, asked first from now on
                break
            if answer.status == 409:
                break
        return self.held_at(now)

    def held_at(self, now: float) -> bool:
        """Whether the lease covers a moment; always where no list service is named."""
        return not self.lists or self.until > now

    async def let_go(self) -> None:
        for address in self.lists:
            try:
                url = f"http://{address}/v1/locks/{LOCK}?holder={self.holder}"
                async with self.session.delete(url) as answer:
                    if answer.status == 200:
                        return
            except FAILED:
                continue


class Controller:
    """Carries a plan out."""

    def __init__(self, kept: Kept, plan: Plan, folder: Path) -> None:
        """Raises PlanError where a unit has no agent, OSError where what staff ask can't be read."""
        self.kept, self.plan, self.record = kept, plan, kept.record
        agents = {unit.name: unit.agent for unit in plan.fleet}
        lacking = [name for name in self.record.units if not agents.get(name)]
        if lacking:
            raise PlanError("\n".join(f"fleet: {name}: expected an agent" for name in lacking))
        self.agents: dict[str, str] = {name: str(agents[name]) for name in self.record.units}
        self.release, self.gate = Release(kept.record), Gate(plan.gates, kept.record)
        self.requests, self.metrics = StaffRequests(folder), Metrics()
        if kept.record.request_taken is None:
            kept.record.request_taken = self.requests.latest()
        self.told: dict[str, Figures | None] = {}
        self.clock = kept.clock
        self.evidence_kept = 0.0
        self.unwell = ""
        self.held = True
        self.unsent: dict[int, Order] = {}  # by number
        self.disk = Backoff()

    async def run(self) -> Mode:
        """Goes on until the release has ended or is halted with nothing on its way."""
        async with self.connected():
            while True:
                begun = self.clock.now()
                if await self.round(begun):
                    break
                await asyncio.sleep(max(0.0, begun + self.plan.gates.look_s - self.clock.now()))
            if self.record.mode in ENDED:
                await self.lock.let_go()
            return Mode(self.record.mode)

    @asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Holds the connections; the orders that are out are due again."""
        async with aiohttp.ClientSession(timeout=CALL) as self.session:
            self.lock = Lock(self.session, list(self.plan.lists), self.record.id)
            self._keep(self.clock.now())
            self._queue(self.release.pending(self.clock.now()))
            yield

    async def round(self, begun: float) -> bool:
        """One look and what follows from it; whether the release has ended or is halted."""
        self._hold(await self.lock.hold(begun))
        if not self.held:
            return False
        self._queue(await self._look())
        if not self._keep(begun):
            return False  # an order goes out, and the release ends, only as the record on the disk has it
        if self.record.mode not in (Mode.RUNNING, Mode.BACK) and not self._out():
            return True
        if self.lock.held_at(self.clock.now()):  # it was not while the disk or an agent kept it waiting
            unsent, self.unsent = self.unsent, {}
            await asyncio.gather(*(self._send(order) for order in unsent.values()))
        return False

    def _queue(self, orders: list[Order]) -> None:
        """Has orders sent once the record is kept; one that has an answer by now is no longer due."""
        self.unsent.update((order.number, order) for order in orders)
        out = {unit.number for unit in self.record.units.values()}
        self.unsent = {number: order for number, order in self.unsent.items() if number in out}

    def _out(self) -> list[str]:
        return [
            name for name, unit in self.record.units.items() if unit.target and name not in self.record.stuck
        ]

    def _hold(self, held: bool) -> None:
        if held is not self.held:
            self.held = held
            self.kept.events.say(Event.LOCK, held=held, fence=self.lock.fence)

    async def _look(self) -> list[Order]:
        """One look at the whole fleet; gives what is to be done."""
        answers = await self._ask()
        orders: list[Order] = []
        self._carry_out_requests()
        for unit, order in answers.items():
            mine = order.get("release") == self.record.id
            if mine and order["good"] is not None and order["number"] == self.record.units[unit].number:
                self.kept.events.say(
                    Event.STEPPED, unit=unit, number=order["number"], good=order["good"], why=order["why"]
                )
                orders += self.release.answered(self.clock.now(), unit, order["number"], order["good"])
        verdict = self.gate.look(self.clock.now(), self.told)
        if verdict.halt and self.record.mode is Mode.RUNNING:
            self.kept.events.say(Event.CONDEMNED, why=verdict.halt)
            self.release.condemn(verdict.halt)
        self._note(verdict)
        return orders + self.release.tick(self.clock.now(), not verdict.unwell, verdict.spare)

    def _carry_out_requests(self) -> None:
        """What staff ask; where the disk can't be read now, it is at a later look."""
        try:
            for request in carry_out(self.record, self.requests):
                self.kept.events.say(Event.WISHED, what=request.kind)
        except OSError as problem:
            log.info("what staff ask can't be read: %r", problem)

    def _note(self, verdict: Verdict) -> None:
        if verdict.unwell != self.unwell and bool(verdict.unwell) is not bool(self.unwell):
            self.kept.events.say(Event.UNWELL, why=verdict.unwell)
        self.unwell = verdict.unwell
        units = self.record.units.values()
        for version in (self.record.old, self.record.new):
            self.metrics.units.labels(version).set(sum(unit.version == version for unit in units))
        self.metrics.out.set(len(self._out()))
        for name, one in self.gate.evidence.items():
            self.metrics.odds.labels(name).set(one.odds)

    def _keep(self, now: float) -> bool:
        """Keeps the record; False while the disk refuses it, which is tried again by itself."""
        if not self.disk.due(now):
            return False
        if now - self.evidence_kept >= KEEP:
            self.evidence_kept, self.record.evidence = now, self.gate.plain()
        try:
            self.kept.keep()
        except (OSError, StoreError) as problem:
            if not self.disk.failures:
                log.warning("the record can't be kept, so no order goes out: %r", problem)
            self.disk.failed(now)
        else:
            if self.disk.failures:
                log.warning("the record is kept again, after %d refusals", self.disk.failures)
            self.disk.succeeded()
        self.metrics.refused.set(self.disk.failures)
        return not self.disk.failures

    async def _ask(self) -> dict[str, dict[str, Any]]:
        """Asks all agents; gives each unit's last order. An agent that does not answer tells of no unit."""
        addresses = list(dict.fromkeys(self.agents.values()))
        answers = await asyncio.gather(*map(self._units, addresses), return_exceptions=True)
        told: dict[str, dict[str, Any] | None] = {}
        for address, units in zip(addresses, answers, strict=True):
            if not isinstance(units, BaseException):
                told[address] = units
            elif not isinstance(units, NotAskedError):
                raise units
        self.metrics.silent.set(sum(one is None for one in told.values()))
        orders = {}
        self.told = {}
        for unit, address in self.agents.items():
            if address not in told:
                continue
            one = (told[address] or {}).get(unit)
            self.told[unit] = None if one is None else one["figures"]
            if one is not None and one["order"]:
                orders[unit] = one["order"]
        return orders

    async def _units(self, address: str) -> dict[str, Any] | None:
        try:
            async with self.session.get(f"http://{address}/v1/units") as answer:
                units: dict[str, Any] = orjson.loads(await answer.read())["units"]
                return units
        except (*FAILED, KeyError) as problem:
            if isinstance(problem, OSError) and problem.errno in OF_THIS_MACHINE:
                raise NotAskedError(str(problem)) from problem
            return None

    async def _send(self, order: Order) -> None:
        """Sends an order; one that did not arrive is sent again after the plan's step_s."""
        self.metrics.orders.labels(order.step).inc()
        self.kept.events.say(
            Event.ORDERED, unit=order.unit, number=order.number, step=order.step, version=order.version
        )
        body = {
            "release": self.record.id, "fence": self.lock.fence, "unit": order.unit, "step": order.step,
            "version": order.version, "number": order.number,
        }  # fmt: skip
        try:
            async with self.session.post(f"http://{self.agents[order.unit]}/v1/orders", json=body) as answer:
                if answer.status >= 400:
                    why = orjson.loads(await answer.read()).get("error", "")
                    self.kept.events.say(Event.TURNED_DOWN, unit=order.unit, number=order.number, why=why)
        except FAILED as problem:
            log.info("%s: %s did not arrive: %r", order.unit, order.step, problem)
