"""The service that lists servers: late, of bounded capacity, and the same for all routers."""

from collections.abc import Callable
from dataclasses import dataclass

from applehub import interface as api
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.spec import Discovery
from applehub.lab.streams import Draws

Listener = Callable[[api.Members, int], None]  # what is told, and the version that it leads to


@dataclass(slots=True)
class Subscriber:
    """A router's subscription, and the version that it has."""

    tell: Listener
    version: int = 0
    on: bool = False


class Registry:
    """The list by version. Calls are answered in turn; changes reach subscribers a little later."""

    def __init__(self, clock: Clock, spec: Discovery, draws: Draws) -> None:
        self.clock, self.spec, self.draws = clock, spec, draws
        self.entries: dict[str, api.Member] = {}
        self.changes: list[api.Member] = []  # by version
        self.listed: dict[str, tuple[int, api.State]] = {}  # what it listed last, and when, by server
        self.subscribers: dict[int, Subscriber] = {}
        self.free_at = 0
        self.slower, self.down = 1.0, False
        self.calls = self.failed = 0

    def notice(self, entry: api.Member, after: float) -> None:
        """Comes to know of a change after so many seconds, give or take half."""
        self.clock.after(int(after * SECOND * self.draws.between(0.5, 1.5)), self.set, entry)

    def set(self, entry: api.Member) -> None:
        """Lists an entry from now on, and tells subscribers."""
        known = self.entries.get(entry.server)
        if known is not None and (known.state, known.since) == (entry.state, entry.since):
            return
        if entry.state is api.State.GONE:
            self.entries.pop(entry.server, None)
        else:
            self.entries[entry.server] = entry
        self.changes.append(entry)
        self.listed[entry.server] = (self.clock.now, entry.state)
        for number in self.subscribers:
            if self.subscribers[number].on and not self.down:
                delay = int(self.draws.uniform() * 2 * self.spec.spread_ms * MILLI)
                self.clock.after(delay, self._push, number)

    def whole(self) -> list[api.Member]:
        return list(self.entries.values())

    def forget(self, number: int) -> None:
        """The router's process has ended."""
        self.subscribers.pop(number, None)

    def subscribe(self, number: int, version: int, tell: Listener) -> None:
        """A call: answered in turn with what has changed, or failed."""
        self.calls += 1
        self.subscribers[number] = subscriber = Subscriber(tell, version)
        now = self.clock.now
        lines = len(self.changes) - version
        cost = SECOND / self.spec.calls_per_s + lines * SECOND / self.spec.lines_per_s
        timeout = int(self.spec.timeout_ms * MILLI)
        begin = max(now, self.free_at)
        if self.down or begin - now > timeout:
            self.failed += 1
            self.clock.after(timeout if not self.down else MILLI, self._fail, (number, subscriber))
            return
        self.free_at = begin + int(cost * self.slower)
        self.clock.at(self.free_at, self._subscribed, (number, subscriber))

    def break_off(self) -> None:
        """Discovery goes down: every watch ends."""
        self.down = True
        for number, subscriber in list(self.subscribers.items()):
            self.clock.after(MILLI, self._fail, (number, subscriber))

    def _fail(self, whose: tuple[int, Subscriber]) -> None:
        number, subscriber = whose
        if self.subscribers.get(number) is subscriber:
            subscriber.on = False
            subscriber.tell(api.Members(api.ListKind.FAILED, []), subscriber.version)

    def _subscribed(self, whose: tuple[int, Subscriber]) -> None:
        number, subscriber = whose
        if self.subscribers.get(number) is subscriber:
            subscriber.on = True
            self._tell(subscriber)

    def _push(self, number: int) -> None:
        subscriber = self.subscribers.get(number)
        if subscriber is not None and subscriber.on and subscriber.version < len(self.changes):
            self._tell(subscriber)

    def _tell(self, subscriber: Subscriber) -> None:
        entries = self.changes[subscriber.version :]
        subscriber.version = len(self.changes)
        subscriber.tell(api.Members(api.ListKind.DELTA, entries), subscriber.version)
