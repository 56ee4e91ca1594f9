"""Events in, actions out: holds the requests, attempts and timers of the router, and chooses nothing."""

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from applehub import interface as api
from applehub.node import resp
from applehub.node.call import LEAST_TOLD, MILLI, Call, Carrier, Ending, Exchange
from applehub.node.figures import Answered, Figures
from applehub.node.memory_budget import MemoryBudget as Room
from applehub.node.pool import Pools
from applehub.node.stream import Source, Stream
from applehub.policy import Balancer

SECOND = 1_000_000_000
WAY_BACK = 8 * MILLI  # kept of a client's time so that the last answer reaches it before it leaves
log = logging.getLogger("applehub")


class Reply(Protocol):
    """Where the answer to a call goes."""

    def fill(self, answer: bytes) -> None:
        """Takes the whole answer."""

    def begin(self, stream: Stream) -> None:
        """Takes a long answer as it comes."""

    def waits(self) -> bool:
        """Whether the client is still there."""

    def break_off(self) -> None:
        """The long answer that has begun can't be finished."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    held: "Held"
    number: int
    server: str
    sent: int
    opened: int = 0  # when a long answer began
    exchange: Exchange | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class Held:
    """A request and what is known of it; open until its one answer has been given."""

    id: str
    call: Call
    reply: Reply
    deadline: int
    open: bool = True  # its answer has neither been given nor begun
    stream: Stream | None = None  # its answer, once begun and until ended
    made: int = 0
    not_begun: int = 0  # attempts among them that failed on this machine
    attempt: Attempt | None = None
    guard: asyncio.TimerHandle | None = None


class Driver:
    """The host of one Balancer."""

    def __init__(self, balancer: Balancer, pools: Pools, most_held: int, figures: Figures) -> None:
        self.balancer, self.pools, self.most_held = balancer, pools, most_held
        self.figures = figures
        self.loop = asyncio.get_running_loop()
        self.held: dict[str, Held] = {}
        self.room = Room()
        self.watch: Callable[[], None] = lambda: None
        self.say: Callable[[api.Tell], None] = lambda _: None
        self.stop_at = 0  # when all must be answered, once the router is told to stop
        self._events: deque[api.Event] = deque()
        self._playing = False

    def take(self, call: Call, reply: Reply, arrived: int) -> Held | None:
        """Takes a client's call; reply is told once. None where it is answered already.

        What the client allows counts from `arrived`, the time at which the last byte of the call came."""
        name = call.id.decode()
        if name in self.held:
            self.figures.answered(call.kind, Answered.ERRORS)
            reply.fill(resp.error("this id is in use"))
            return None
        spec = self.balancer.settings.classes[call.cls]
        until = arrived + (spec.deadline if call.wait is None else call.wait * MILLI)
        until = min(until, self.stop_at or until)
        left = until - WAY_BACK - time.monotonic_ns()
        full = call.value is resp.DROPPED or len(self.held) >= self.most_held
        if left < LEAST_TOLD or full or not self.room.reserve(call.size):
            log.debug("%s not taken: %d ms left", name, (left + WAY_BACK) // MILLI)
            self.figures.answered(call.kind, Answered.SHED)
            reply.fill(resp.refused(-(-self.balancer.come_back // MILLI)))  # not begun: repeating is harmless
            return None
        held = self.held[name] = Held(name, call, reply, until - WAY_BACK)
        log.debug("%s taken: %s, %d ms", name, call.info.decode(), (left + WAY_BACK) // MILLI)
        held.guard = self.loop.call_at((until - WAY_BACK // 2) / SECOND, self._overdue, held)
        key = call.key.decode("latin-1")
        write = call.value is not None
        self._tell(api.Request(name, call.cls, held.deadline, key, write, call.tenant, call.repeat))
        return held

    def withdraw(self, held: Held) -> None:
        """The client has left. An attempt that its server has whole runs on: the connection stays of use. One
        that waits for its connection, or is half written, ends here: nobody wants it."""
        if held.open:
            log.debug("%s withdrawn", held.id)
            self._close(held)
            self._tell(api.Withdrawn(held.id))
            carrier = self._carrier(held.attempt)
            if held.attempt is not None and carrier is not None and carrier.unsent:
                carrier.give_up()
                self._ended(held.attempt, Ending(api.Status.CANCELLED))
            self._forget(held)
        elif held.stream is not None and held.attempt is not None:
            carrier = self._carrier(held.attempt)
            if carrier is not None:
                carrier.give_up()
            self._ended(held.attempt, Ending(api.Status.CANCELLED))

    @staticmethod
    def _carrier(attempt: Attempt | None) -> Carrier | None:
        """What an attempt that is out is made on."""
        return attempt.exchange.carrier if attempt is not None and attempt.exchange is not None else None

    def tell(
        self, event: api.Members | api.ByHand | api.Retuned | api.Copies | api.Fleet | api.Learnt
    ) -> None:
        """Passes on news that concerns no single request."""
        self._tell(event)

    @property
    def longest_deadline(self) -> int:
        return max(spec.deadline for spec in self.balancer.settings.classes)

    def stop(self, by: float) -> None:
        """Nothing is held for longer than these seconds from now."""
        self.stop_at = time.monotonic_ns() + int(by * SECOND)
        self.loop.call_later(by - WAY_BACK / SECOND, self._end_all)

    def _end_all(self) -> None:
        for held in list(self.held.values()):
            self._overdue(held)

    def _overdue(self, held: Held) -> None:
        """Guards rule 1 against a request that the decisions have lost: it fails in time all the same."""
        if held.open:
            self._answer(held, resp.FAILED, Answered.ERRORS)
            self._tell(api.Withdrawn(held.id))
            self._forget(held)

    def _tell(self, event: api.Event) -> None:
        """Plays an event, and then those that its actions bring about, in order."""
        self._events.append(event)
        if self._playing:
            return
        self._playing = True
        try:
            while self._events:
                self._play(self._events.popleft())
        finally:
            self._playing = False

    def _play(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(time.monotonic_ns(), event)
        except Exception:
            log.exception("an event could not be decided on: %s", type(event).__name__)
            self._abandon(getattr(event, "id", ""))
            return
        for action in actions:
            try:
                self._act(action)
            except Exception:
                log.exception("an action could not be carried out: %s", type(action).__name__)
                self._abandon(getattr(action, "id", ""))

    def _abandon(self, name: str) -> None:
        held = self.held.get(name)
        if held is not None:
            self._overdue(held)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse() | api.Fail():
                held = self.held.get(action.id)
                if held is not None and held.open:
                    if isinstance(action, api.Refuse):
                        refusal = resp.refused(-(-action.retry_after // MILLI))
                        self._answer(held, refusal, Answered.SHED)
                    else:
                        self._answer(held, resp.FAILED, Answered.ERRORS)
                    self._forget(held)
            case api.Wake():
                self.loop.call_later(action.delay / SECOND, self._tell, api.Alarm(action.token))
            case api.Watch():
                self.watch()
            case api.Tell():
                self.say(action)
            case api.Log():
                log.info("%s", action.text)

    def _send(self, action: api.Send) -> None:
        held, now = self.held.get(action.id), time.monotonic_ns()
        if held is None:
            log.error("a send for a request that is not held")
            return
        number, held.made = held.made, held.made + 1
        attempt = Attempt(held, number, action.server, now)
        left = held.deadline - now
        wait = min(action.timeout, left) if action.timeout else left
        pool = self.pools.pools.get(action.server)
        begun, most = number - held.not_begun, self.balancer.settings.max_attempts
        allowed = held.open and held.attempt is None and begun < most
        if pool is None or pool.retired or not allowed or wait <= 0:
            self._outcome(attempt, Ending(api.Status.MOOT))
            return
        held.attempt = attempt
        attempt.timer = self.loop.call_later(wait / SECOND, self._timeout, attempt)
        attempt.exchange = Exchange(
            held.call,
            now + wait,
            lambda ending: self._ended(attempt, ending),
            lambda size, source: self._opened(attempt, size, source),
            self.room,
            begin_by=action.begin_by or math.inf,
            wanted=lambda: self._wanted(attempt),
        )
        if not pool.start(attempt.exchange):
            self._ended(attempt, Ending(api.Status.FULL))

    def _wanted(self, attempt: Attempt) -> bool:
        """Guards servers against work for nobody: the client may have left since this process last looked at
        the sockets, and it may have stood still since."""
        if attempt.held.reply.waits():
            return True
        self.withdraw(attempt.held)
        return False

    def _timeout(self, attempt: Attempt) -> None:
        """The connection is closed before the decisions hear of it, so that no second copy is ever out."""
        carrier = self._carrier(attempt)
        if attempt.held.attempt is attempt and carrier is not None:
            may_have_run = carrier.give_up()
            self._ended(attempt, Ending(api.Status.TIMEOUT if may_have_run else api.Status.MOOT))

    def _opened(self, attempt: Attempt, size: int, source: Source) -> Stream | None:
        """A long answer begins. From now on the attempt is the client's: no time-out, no second."""
        held = attempt.held
        if held.attempt is not attempt or not held.open:
            return None
        log.debug("%s attempt %d at %s begins %d bytes", held.id, attempt.number, attempt.server, size)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.opened = time.monotonic_ns()
        self._close(held)
        held.stream = Stream(size, source)
        held.reply.begin(held.stream)
        self._tell(api.Opened(held.id, attempt.number, attempt.server))
        return held.stream

    def _end_stream(self, held: Held, stream: Stream, status: api.Status) -> None:
        held.stream = None
        if status is api.Status.OK:
            self.figures.answered(held.call.kind, Answered.OK)
            stream.end()
        elif status is not api.Status.CANCELLED:  # that is the client's own doing
            log.debug("%s broken off: %s", held.id, status)
            self.figures.answered(held.call.kind, Answered.ERRORS)
            held.reply.break_off()

    def _ended(self, attempt: Attempt, ending: Ending) -> None:
        held = attempt.held
        if held.attempt is not attempt:
            return
        carrier = self._carrier(attempt)
        connected = carrier is not None and carrier.connected
        held.attempt = attempt.exchange = None  # attempt and exchange hold each other
        held.not_begun += ending.status in api.NOT_BEGUN
        if attempt.timer is not None:
            attempt.timer.cancel()
        if held.stream is not None:
            self._end_stream(held, held.stream, ending.status)
        elif ending.status is api.Status.OK and held.open:
            self._answer(held, resp.bulk(ending.value), Answered.OK)
        self._outcome(attempt, ending, connected)
        self._forget(held)

    def _outcome(self, attempt: Attempt, ending: Ending, connected: bool = False) -> None:
        held, elapsed = attempt.held, (attempt.opened or time.monotonic_ns()) - attempt.sent
        of, where, how = attempt.number, attempt.server, ending.status
        log.debug("%s attempt %d at %s: %s after %.1f ms", held.id, of, where, how, elapsed / MILLI)
        self._tell(
            api.Outcome(
                held.id,
                attempt.number,
                attempt.server,
                ending.status,
                not held.open,
                elapsed,
                ending.note,
                ending.load,
                connected,
            )
        )

    def _answer(self, held: Held, answer: bytes, how: Answered) -> None:
        self.figures.answered(held.call.kind, how)
        log.debug("%s answered: %.16r", held.id, answer)
        self._close(held)
        held.reply.fill(answer)

    @property
    def active(self) -> int:
        """Requests taken and not ended."""
        return sum(held.open or held.stream is not None for held in self.held.values())

    def _close(self, held: Held) -> None:
        held.open = False
        if held.guard is not None:
            held.guard.cancel()

    def _forget(self, held: Held) -> None:
        """Drops a request that is answered and has no attempt out."""
        if not held.open and held.attempt is None and self.held.pop(held.id, None) is not None:
            self.room.free(held.call.size)
