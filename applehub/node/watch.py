"""The watch on the list of servers: asks discovery for the list and then for what changes."""

import asyncio
import logging
import random
from dataclasses import dataclass
from enum import StrEnum

import orjson

from applehub import interface as api
from applehub.node.call_schedule import WATCH_GAP, CallBudget, CallSchedule
from applehub.node.discovery import Directory, ListError
from applehub.node.http1 import Answer, HttpError
from applehub.node.list_connection import ListConnection
from applehub.node.pool import Endpoint

MOST_CALLS = 4  # out at once, each on a connection of its own
BURST = 8  # calls in turn at one address that may follow at once; one more for each further address
CALLS_A_SECOND = 1.0  # in turn, after that
FAILURES = (OSError, HttpError, ListError, orjson.JSONDecodeError)
log = logging.getLogger("applehub")


class RefusedError(HttpError):
    """Discovery is there and does not take the call."""


class Phase(StrEnum):
    """What the next call to discovery is for."""

    WATCH = "watch"  # nothing is known to be missing: the call waits for news
    CATCH_UP = "catch up"  # a call failed or is late: what was missed is asked for without waiting


@dataclass(slots=True, eq=False)
class Call:
    """One call to discovery that is out."""

    endpoint: Endpoint
    target: str
    whole: bool  # it asks for the whole list
    begun: float  # s on the loop's clock
    hold: float  # s for which discovery may hold it; 0: it answers in its turn
    spread: float  # the factor of its delays that was drawn for it
    in_turn: bool  # it does not go on with a watch, so discovery answers it in its turn
    line: ListConnection | None = None
    task: asyncio.Task[Answer] | None = None

    async def ask(self) -> Answer:
        """Connects where needed and waits for the answer. Raises OSError or HttpError."""
        if self.line is None or not self.line.open:
            host, port = self.endpoint
            loop = asyncio.get_running_loop()
            _, self.line = await loop.create_connection(lambda: ListConnection(f"{host}:{port}"), host, port)
        answer = await self.line.get(self.target)
        if answer.status == 503:
            raise RefusedError("status 503")
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        return answer

    def close(self) -> None:
        """Gives the call up, with its connection."""
        if self.task is not None:
            self.task.cancel()
        if self.line is not None:
            self.line.close()


class Watch:
    """Asks discovery for the list and then for what changes, one call right after the other.

    A call that is late is joined by a second one beside it, when the schedule says so, and stays out until
    that one or itself is answered. After a call that failed or was refused a pause keeps routers from calling
    in step.

    Where discovery has several addresses, each router begins at one that its seed draws, so that they spread,
    and turns to the next at once when a call fails; only when all have failed is that a failure. The version
    goes along: what changed meanwhile is told by the next address, and an older version changes nothing."""

    def __init__(self, endpoints: list[Endpoint], directory: Directory, seed: int, must_ask: bool) -> None:
        self.endpoints, self.directory, self.must_ask = endpoints, directory, must_ask
        self.random = random.Random(seed)
        self.at = self.random.randrange(len(endpoints)) if len(endpoints) > 1 else 0
        self.schedule = CallSchedule(self.random, len(endpoints))
        self.budget = CallBudget(BURST + len(endpoints) - 1, CALLS_A_SECOND)
        self.calls: list[Call] = []  # out, the oldest first
        self.due: float | None = None  # when the next call begins; none: the decisions say when
        self.resting: ListConnection | None = None  # on which the next call goes on with the watch
        self.failed = 0  # calls in a row
        self.task: asyncio.Task[None] | None = None
        self.unread = False  # the last answer could not be taken up: changes may be missing
        self.phase = Phase.WATCH

    def start(self) -> None:
        """Begins to watch; while a watch is on, it goes on."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, endpoints: list[Endpoint]) -> None:
        """Discovery is elsewhere from now on: a watch that is on begins anew there, at once."""
        if endpoints == self.endpoints:
            return
        self.endpoints, self.at = endpoints, self.at % len(endpoints)
        self.budget = CallBudget(BURST + len(endpoints) - 1, CALLS_A_SECOND)
        self.schedule.moved(asyncio.get_running_loop().time(), len(endpoints))
        self.phase = Phase.CATCH_UP
        if self.task is not None:
            self.stop()
            self.task = None
            self.start()

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for call in self.calls:
            call.close()
        self.calls.clear()
        if self.resting is not None:
            self.resting.close()
            self.resting = None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self.due = loop.time()
        self.schedule.begin(self.due)
        while self.due is not None:
            if loop.time() >= self.due:
                self._next_call(loop.time())
            await self._settled(max(0.0, self.due - loop.time()))
            for call in [one for one in self.calls if one.task is not None and one.task.done()]:
                self._finish(call, loop.time())
        # Told once this watch has ended, so that what the decisions say begins it anew.
        loop.call_soon(self.directory.tell, api.Members(api.ListKind.FAILED, []))

    async def _settled(self, patience: float) -> None:
        """Waits until a call has ended, or for so many seconds."""
        tasks = [call.task for call in self.calls if call.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=patience, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(patience)

    def _next_call(self, now: float) -> None:
        """Makes the call that is due, unless the newest one is not late by what is known now."""
        if self.resting is not None:
            line, self.resting = self.resting, None
            self._call(now, line)
            return
        if self.calls:
            self.due = self._due(self.calls[-1])
            if now < self.due:
                return
        wait = self.budget.wait(now)
        if wait > 0:
            self.due = now + wait
            return
        if self.calls:
            log.warning("discovery did not answer in time: %s", self.phase)
            self.phase = Phase.CATCH_UP
            self.at = (self.at + 1) % len(self.endpoints)
        if len(self.calls) >= MOST_CALLS:
            self.calls.pop(0).close()
        self._call(now)

    def _call(self, now: float, line: ListConnection | None = None) -> None:
        """Begins a call, on a connection on which the one before was answered if there is one.

        Whole lists cost discovery work by the line: they are asked for only where there is none to change."""
        target, hold = "/api/targets", 0.0
        whole = self.directory.rev < 0 or self.unread
        if not whole:
            hold = self.schedule.hold if self.phase is Phase.WATCH else 0.0
            target += f"?from={self.directory.rev}&hold_ms={int(hold * 1000)}"
        in_turn = line is None or not line.open
        if in_turn:
            line = None
            self.budget.spend(now)
        call = Call(self.endpoints[self.at], target, whole, now, hold, self.schedule.spread(), in_turn, line)
        call.task = asyncio.get_running_loop().create_task(call.ask())
        self.calls.append(call)
        self.due = self._due(call)

    def _due(self, call: Call) -> float:
        """When a call that is out and the newest is joined by another."""
        if call.hold and call.line is not None:
            return self.schedule.watch_due(call.begun, call.hold, call.in_turn, call.spread)
        return self.schedule.call_due(call.begun, call.spread)

    def _finish(self, call: Call, now: float) -> None:
        """Takes up how a call ended."""
        assert call.task is not None
        position = self.calls.index(call)
        self.calls.remove(call)
        try:
            self._take(call.task.result(), call.whole)
        except FAILURES as problem:
            log.warning("discovery did not answer: %s: %s", type(problem).__name__, problem)
            if isinstance(problem, RefusedError):
                self.schedule.refused()
            self._failed(call, position, now)
        except Exception:
            log.exception("an answer of discovery could not be taken up")
            self._failed(call, position, now)
        else:
            self._answered(call, position, now)

    def _take(self, answer: Answer, whole: bool) -> None:
        """Takes an answer up. After one that could not be taken up only a whole list will do."""
        missing, self.unread = self.unread, True
        self.directory.take(orjson.loads(bytes(answer.body)))
        self.unread = missing and not whole

    def _answered(self, call: Call, position: int, now: float) -> None:
        """Goes on with the watch. Older calls have nothing to add; newer ones may be answered with more.

        Changes that come in quick succession are gathered: the next call waits for WATCH_GAP to be over."""
        self.schedule.answered(now, now - call.begun, call.hold, call.in_turn)
        self.failed, self.phase = 0, Phase.WATCH
        for older in self.calls[:position]:
            older.close()
        del self.calls[:position]
        if any(newer.hold for newer in self.calls):
            call.close()
        elif call.hold and not self.calls and now < call.begun + WATCH_GAP:
            self.resting, self.due = call.line, call.begun + WATCH_GAP
        else:
            self._call(now, call.line)

    def _failed(self, call: Call, position: int, now: float) -> None:
        """Plans the next call. Where a newer one is out, that is the next already."""
        call.close()
        self.phase = Phase.CATCH_UP
        if position < len(self.calls):
            return
        self.failed += 1
        self.at = (self.at + 1) % len(self.endpoints)
        if self.failed % len(self.endpoints):
            self.due = now
        elif any(not older.hold for older in self.calls):
            self.due = self.schedule.call_due(now, call.spread)
        elif self.calls or not self.must_ask:
            self.due = now + self.schedule.pause(self.failed // len(self.endpoints))
        else:
            self.due = None
