"""The emulated discovery service, with notification delays and bounded capacity."""

from collections.abc import Callable
from dataclasses import dataclass

from applehub import interface as api
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.spec import Discovery
from applehub.lab.streams import RandomStream

Listener = Callable[[api.Members, int], None]  # called with an update and the list's version after it


@dataclass(slots=True)
class Subscriber:
    """A router's watch, with the list version that the router has."""

    notify: Listener
    version: int = 0
    active: bool = False


class Registry:
    """The versioned endpoint list: answers calls in order, and sends changes to watches after a delay."""

    def __init__(self, clock: Clock, spec: Discovery, random_stream: RandomStream) -> None:
        self.clock, self.spec, self.random_stream = clock, spec, random_stream
        self.entries: dict[str, api.Member] = {}
        self.changes: list[api.Member] = []  # the change at index n led to version n + 1
        self.listed: dict[str, tuple[int, api.State]] = {}  # time and state of the last change, by server id
        self.subscribers: dict[int, Subscriber] = {}
        self.free_at = 0  # time at which the last accepted call is answered, ns
        self.slowdown, self.down = 1.0, False
        self.calls = self.failed = 0

    def schedule_update(self, entry: api.Member, after: float) -> None:
        """Schedules an update after `after` seconds, with a random deviation of up to one half."""
        self.clock.after(int(after * SECOND * self.random_stream.between(0.5, 1.5)), self.update, entry)

    def update(self, entry: api.Member) -> None:
        """Applies an entry to the list and schedules notifications of the subscribers."""
        current = self.entries.get(entry.server)
        if current is not None and (current.state, current.since) == (entry.state, entry.since):
            return
        if entry.state is api.State.GONE:
            self.entries.pop(entry.server, None)
        else:
            self.entries[entry.server] = entry
        self.changes.append(entry)
        self.listed[entry.server] = (self.clock.now, entry.state)
        for router_index in self.subscribers:
            if self.subscribers[router_index].active and not self.down:
                delay = int(self.random_stream.uniform() * 2 * self.spec.spread_ms * MILLI)
                self.clock.after(delay, self._push_changes, router_index)

    def all_entries(self) -> list[api.Member]:
        """Returns the complete list."""
        return list(self.entries.values())

    def unsubscribe(self, router_index: int) -> None:
        """Removes the watch of a router whose process has ended."""
        self.subscribers.pop(router_index, None)

    def subscribe(self, router_index: int, version: int, notify: Listener) -> None:
        """Starts a watch: answers, in order of the calls, with the changes since `version`.

        The call fails if discovery is down or the wait would exceed the timeout.
        """
        self.calls += 1
        self.subscribers[router_index] = subscriber = Subscriber(notify, version)
        now = self.clock.now
        change_count = len(self.changes) - version
        cost = SECOND / self.spec.calls_per_s + change_count * SECOND / self.spec.lines_per_s
        timeout = int(self.spec.timeout_ms * MILLI)
        starts_at = max(now, self.free_at)
        if self.down or starts_at - now > timeout:
            self.failed += 1
            self.clock.after(timeout if not self.down else MILLI, self._fail, (router_index, subscriber))
            return
        self.free_at = starts_at + int(cost * self.slowdown)
        self.clock.at(self.free_at, self._complete_subscription, (router_index, subscriber))

    def go_down(self) -> None:
        """Takes discovery down, and ends every watch."""
        self.down = True
        for router_index, subscriber in list(self.subscribers.items()):
            self.clock.after(MILLI, self._fail, (router_index, subscriber))

    def _fail(self, argument: tuple[int, Subscriber]) -> None:
        router_index, subscriber = argument
        if self.subscribers.get(router_index) is subscriber:
            subscriber.active = False
            subscriber.notify(api.Members(api.ListKind.FAILED, []), subscriber.version)

    def _complete_subscription(self, argument: tuple[int, Subscriber]) -> None:
        router_index, subscriber = argument
        if self.subscribers.get(router_index) is subscriber:
            subscriber.active = True
            self._send_changes(subscriber)

    def _push_changes(self, router_index: int) -> None:
        subscriber = self.subscribers.get(router_index)
        if subscriber is not None and subscriber.active and subscriber.version < len(self.changes):
            self._send_changes(subscriber)

    def _send_changes(self, subscriber: Subscriber) -> None:
        entries = self.changes[subscriber.version :]
        subscriber.version = len(self.changes)
        subscriber.notify(api.Members(api.ListKind.DELTA, entries), subscriber.version)
