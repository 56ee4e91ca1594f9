"""Hosts of the routers: each plays one decision module and carries its actions out on the network."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from applehub import interface as api
from applehub.lab import spec
from applehub.lab.account import Account
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.discovery import Registry
from applehub.lab.network import Net
from applehub.lab.origin import OriginServer
from applehub.lab.peering import Peering
from applehub.lab.rules import Rules
from applehub.lab.servers import CacheServer
from applehub.lab.tries import Asked, Attempt, Place
from applehub.policy import Balancer
from applehub.wirehost import Decider

STORES = 2  # servers that missed for a request and keep what the origin answered
KILLED_AFTER = 700 * MILLI  # past the longest deadline, after SIGTERM


@dataclass(slots=True)
class Surroundings:
    """What all routers of a play share."""

    clock: Clock
    spec: spec.Routers
    net: Net
    registry: Registry
    places: dict[str, Place]
    servers: list[CacheServer]
    rules: Rules
    account: Account
    longest_deadline: int
    answered: Callable[[Asked, str, int, int], None]  # the try, how, when to come back, the way to the client
    log: Callable[["RouterHost", str], None]
    tipped: Callable[[CacheServer], None]
    peering: Peering | None  # none: routers hear nothing of each other


class RouterHost:
    """One router: its processor, its connections, and what it holds."""

    def __init__(self, around: Surroundings, index: int, zone: int) -> None:
        self.around, self.clock, self.index, self.zone = around, around.clock, index, zone
        self.life = 0
        self.up = self.taking = False
        self.busy = 0  # until when its processor has work
        self.cpu = 0
        self.asked: dict[str, Asked] = {}
        self.idle: dict[str, deque[tuple[int, int]]] = {}  # by server: idle since, its incarnation
        self.known: dict[str, api.Member] = {}
        self.version = 0
        self.told_away: dict[str, int] = {}  # when it was told that a server drains or is gone
        self.asked_at = 0  # when it last asked discovery, and whether that is still on
        self.subscribed = False
        self.max_attempts = around.spec.max_attempts
        costs = around.spec
        self.request_cost, self.attempt_cost = int(costs.request_us * 1000), int(costs.attempt_us * 1000)
        self.alarm_cost, self.member_cost = int(costs.alarm_us * 1000), int(costs.member_us * 1000)
        self.idle_most = int(costs.idle_s * SECOND)
        self.keeps = int(costs.keeps_s * SECOND)
        self.kept: tuple[int, api.Learnt] | None = None  # when, and what it had learnt
        self.decider: Decider

    # Life

    def start(self, make: Callable[[int], Decider]) -> None:
        """A process starts, with the list as this router last had it and nothing else."""
        self.life += 1
        self.up = self.taking = True
        self.busy = self.clock.now
        self.subscribed, self.asked_at = False, self.clock.now
        self.max_attempts = self.around.spec.max_attempts
        self.decider = make(self.life)
        self._members(api.Members(api.ListKind.CACHED, list(self.known.values())), self.version)
        if self.kept is not None:
            at, learnt = self.kept
            self.deliver(replace(learnt, age=self.clock.now - at), self.member_cost * len(learnt.servers))
        if self.keeps and isinstance(self.decider, Balancer):
            self.clock.after(self.keeps, self._keep, self.life)
        if self.around.peering is not None:
            self.around.peering.start(self)

    def _keep(self, life: int) -> None:
        if self.life == life and isinstance(self.decider, Balancer):
            self.kept = self.clock.now, self.decider.learnt()
            self.clock.after(self.keeps, self._keep, life)

    def stop(self) -> None:
        """The process ends at once: clients see their connections break."""
        self.up = self.taking = False
        self.life += 1
        self.around.registry.forget(self.index)
        for asked in list(self.asked.values()):
            for attempt in asked.out.values():
                attempt.ended = True
                self._unlink(attempt)
            if asked.final < 0:
                asked.final = self.clock.now
                self._note(asked, "router died")
                self.around.answered(asked, "unreachable", 0, self.around.net.client)
        self.asked.clear()
        for name, idle in self.idle.items():
            server = self.around.places[name]
            for _, incarnation in idle:
                self._disconnect(server, incarnation)
        self.idle.clear()

    def drain(self, then: Callable[["RouterHost"], None]) -> None:
        """SIGTERM: takes nothing new, and ends once all is answered or its time is up."""
        self.taking = False
        self._drained((self.clock.now + self.around.longest_deadline + KILLED_AFTER, self.life, then))

    def _drained(self, whose: tuple[int, int, Callable[["RouterHost"], None]]) -> None:
        by, life, then = whose
        if self.life != life:
            return
        if self.asked and self.clock.now < by:
            self.clock.after(20 * MILLI, self._drained, whose)
            return
        self.stop()
        then(self)

    # Events

    def deliver(self, event: api.Event, cost: int) -> None:
        """An event reaches the process, which plays it once its processor is free."""
        begin = max(self.clock.now, self.busy)
        self.busy = begin + cost
        self.cpu += cost
        if begin == self.clock.now:
            self._play((self.life, event))
        else:
            self.clock.at(begin, self._play, (self.life, event))

    def work(self, cost: int) -> None:
        """The processor has that much more to do."""
        self.busy = max(self.clock.now, self.busy) + cost
        self.cpu += cost

    def _play(self, what: tuple[int, api.Event]) -> None:
        life, event = what
        if life != self.life or not self.up:
            return
        if type(event) is api.Withdrawn and not self._withdrawn(event.id):
            return
        for action in self.decider.handle(self.clock.now, event):
            match action:
                case api.Send():
                    self._send(action)
                case api.Refuse():
                    self._final(action.id, "refused", action.retry_after)
                case api.Fail():
                    self._final(action.id, "failed", 0)
                case api.Wake():
                    self.clock.after(action.delay, self._alarm, (self.life, action.token))
                case api.Watch():
                    self._subscribe()
                case api.Log():
                    self.around.log(self, action.text)
                case api.Tell():
                    assert self.around.peering is not None  # none tells that was not told that it may
                    self.around.peering.say(self, action)

    def _alarm(self, what: tuple[int, str]) -> None:
        if what[0] == self.life:
            self.deliver(api.Alarm(what[1]), self.alarm_cost)

    def _subscribe(self) -> None:
        self.asked_at = self.clock.now
        life = self.life

        def told(event: api.Members, version: int) -> None:
            if self.life == life:
                self.subscribed = event.kind is not api.ListKind.FAILED
                self._members(event, version)

        self.around.registry.subscribe(self.index, self.version, told)

    def move(self) -> None:
        """Discovery is elsewhere from now on: a watch that is on begins anew there, at once."""
        if self.up and self.subscribed:
            self._subscribe()

    def _members(self, event: api.Members, version: int) -> None:
        self.version = version
        for entry in event.entries:
            if entry.state is api.State.READY:
                self.told_away.pop(entry.server, None)
            else:
                self.told_away.setdefault(entry.server, self.clock.now)
            if entry.state is api.State.GONE:
                self.known.pop(entry.server, None)
                self._forget(entry.server)
            else:
                self.known[entry.server] = entry
        self.deliver(event, self.member_cost * (1 + len(event.entries)))

    def _forget(self, name: str) -> None:
        server = self.around.places[name]
        for _, incarnation in self.idle.pop(name, ()):
            self._disconnect(server, incarnation)

    # Requests

    def take(self, asked: Asked) -> None:
        """A client's last byte has come."""
        if not self.up:
            self.around.answered(asked, "unreachable", 0, self.around.net.client)
            return
        demand = asked.demand
        self.asked[asked.id] = asked
        request = api.Request(asked.id, demand.cls, asked.deadline, demand.key, demand.write, 0, asked.retry)
        self._note(asked, f"taken by router {self.index}")
        self.deliver(request, self.request_cost)

    def withdraw(self, asked: Asked) -> None:
        """The client has left early."""
        if self.up and asked.final < 0 and asked.id in self.asked:
            self.deliver(api.Withdrawn(asked.id), self.alarm_cost)

    def _withdrawn(self, name: str) -> bool:
        """Ends a request as its router hears of it, and not before; whether it was open."""
        asked = self.asked.get(name)
        if asked is None or asked.final >= 0:
            return False
        asked.final = self.clock.now
        self._note(asked, "withdrawn")
        self._release(asked)
        return True

    def _final(self, name: str, how: str, retry_after: int) -> None:
        asked = self.asked.get(name)
        if asked is None or asked.final >= 0:
            return
        if how == "refused":
            self.around.rules.refusing(asked)
        asked.final = self.clock.now
        self._note(asked, how)
        self.around.answered(asked, how, retry_after, self.around.net.client + self._behind())
        self._release(asked)

    def _behind(self) -> int:
        """How long its processor still has work with what came before now."""
        return max(0, self.busy - self.clock.now)

    def _release(self, asked: Asked) -> None:
        if asked.final >= 0 and not asked.out:
            self.asked.pop(asked.id, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        now, asked, server = self.clock.now, self.asked.get(action.id), self.around.places[action.server]
        if asked is None:
            self.around.rules.unknown(action, self)
            return
        number, asked.made = asked.made, asked.made + 1
        incarnation = server.incarnation if isinstance(server, CacheServer) else 0
        attempt = Attempt(asked, number, self, server, now, self.life, incarnation)
        left = asked.deadline - now
        wait = min(action.timeout, left) if action.timeout > 0 else left
        if not self.around.rules.sending(attempt) or wait <= 0:
            asked.out[number] = attempt
            self.clock.after(0, self._moot, attempt)
            return
        asked.out[number] = asked.live[number] = attempt
        self._note(asked, f"attempt {number} to {server.id}, {wait / MILLI:.0f} ms")
        self.clock.after(wait, self._timed_out, attempt)
        self._dial(attempt)

    def _moot(self, attempt: Attempt) -> None:
        self._ended(attempt, api.Status.MOOT, 0, None)

    def _dial(self, attempt: Attempt) -> None:
        """Takes an idle connection, the one used last, or opens one."""
        server, net, account = attempt.server, self.around.net, self.around.account
        behind = self._behind()
        if isinstance(server, OriginServer):
            self.clock.after(behind + net.delay(0, 1), self._arrive, attempt)
            return
        if server.zone != self.zone:
            account.crossings += 1
        if self._reuse(attempt):
            self.clock.after(behind + net.delay(self.zone, server.zone), self._arrive, attempt)
            return
        attempt.opened = True
        account.handshakes += 1
        if net.apart(self.zone, server.zone) or server.silent:
            self.clock.after(net.dial_timeout, self._refused, attempt)
            return
        way = net.delay(self.zone, server.zone)
        self.clock.after(behind + int(way * 2 * server.spec.handshake_rtts), self._connected, attempt)

    def _reuse(self, attempt: Attempt) -> bool:
        idle = self.idle.get(attempt.server.id)
        while idle:
            since, incarnation = idle.pop()
            if self.clock.now - since < self.idle_most:
                attempt.incarnation = incarnation
                attempt.linked = True
                return True
            self._disconnect(attempt.server, incarnation)
        return False

    def _connected(self, attempt: Attempt) -> None:
        """The handshake is over, or is refused."""
        server = attempt.server
        assert isinstance(server, CacheServer)
        full = server.connections >= server.spec.connections_per_core * server.cores
        if attempt.ended:
            return
        if not server.up or server.fallen or full:
            self._refused(attempt)
            return
        attempt.incarnation = server.incarnation
        attempt.linked = True
        server.connections += 1
        self.clock.after(self.around.net.delay(self.zone, server.zone), self._arrive, attempt)

    def _refused(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.around.account.refused_connects += 1
            self._ended(attempt, api.Status.CONNECT_FAILED, 0, None)

    def _arrive(self, attempt: Attempt) -> None:
        """The attempt's last byte is at the server."""
        server, net = attempt.server, self.around.net
        if attempt.ended and not attempt.linked:
            return
        attempt.written = True
        self.around.account.attempts += 1
        if isinstance(server, OriginServer):
            server.take(attempt)
            return
        if net.apart(self.zone, server.zone) or server.silent:
            return
        if not server.up or server.fallen or server.incarnation != attempt.incarnation:
            self.clock.after(net.delay(self.zone, server.zone), self._broken, attempt)
            return
        informed = self.around.rules.informed_of_start(self, server)
        if server.take(attempt, informed):
            self.around.tipped(server)

    def _broken(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.life == self.life:
            self._ended(attempt, api.Status.RESET, 0, None)

    def broken(self, attempt: Attempt) -> None:
        """The server's process has ended under an attempt."""
        server = attempt.server
        assert isinstance(server, CacheServer)
        self.clock.after(self.around.net.delay(self.zone, server.zone), self._broken, attempt)

    def answered(self, attempt: Attempt, status: api.Status, note: int) -> None:
        """A server has answered; the answer is on its way."""
        server, net, demand = attempt.server, self.around.net, attempt.asked.demand
        if isinstance(server, OriginServer):
            if status is api.Status.OK:
                self._carried_out(attempt)
            self.clock.after(net.delay(0, 1), self._back, (attempt, status, note, None))
            return
        if attempt.ended and status is api.Status.OK:
            self.around.account.wasted += demand.work
        if net.apart(self.zone, server.zone) or server.silent or net.loses():
            return
        if net.resets():
            self.broken(attempt)
            return
        way = net.delay(self.zone, server.zone)
        self.clock.after(way, self._back, (attempt, status, note, server.load()))

    def _carried_out(self, attempt: Attempt) -> None:
        """A write voids the copies of its key; a read that is waited for is stored where it missed."""
        asked, demand = attempt.asked, attempt.asked.demand
        if demand.write:
            for server in self.around.servers:
                server.memory.pop(demand.key, None)
        elif asked.final < 0 and not attempt.ended:
            for server in asked.missed[:STORES]:
                if server.up and not server.fallen:
                    server.store(demand.key)

    def _back(self, what: tuple[Attempt, api.Status, int, api.Load | None]) -> None:
        attempt, status, note, load = what
        if attempt.ended or attempt.life != self.life:
            return
        self._ended(attempt, status, note, load)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.life == self.life:
            self._ended(attempt, api.Status.TIMEOUT if attempt.written else api.Status.MOOT, 0, None)

    def _ended(self, attempt: Attempt, status: api.Status, note: int, load: api.Load | None) -> None:
        asked, server, now = attempt.asked, attempt.server, self.clock.now
        attempt.ended = True
        broken = status in (api.Status.RESET, api.Status.TIMEOUT, api.Status.CONNECT_FAILED, api.Status.MOOT)
        if broken:
            self._unlink(attempt)
        elif attempt.linked:
            self.idle.setdefault(server.id, deque()).append((now, attempt.incarnation))
        asked.out.pop(attempt.number, None)
        if status in (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS):
            asked.live.pop(attempt.number, None)
        if status is api.Status.MISS and isinstance(server, CacheServer):
            asked.missed.append(server)
        asked.last = self.around.account.ended(status, server)
        self._note(asked, f"attempt {attempt.number} at {server.id}: {status}")
        won = status is api.Status.OK and asked.final < 0
        if won:
            asked.final = now
        event = api.Outcome(
            asked.id, attempt.number, server.id, status, asked.final >= 0, now - attempt.sent, note, load
        )
        self.deliver(event, self.attempt_cost)
        if won:
            self.around.answered(asked, "ok", 0, self.around.net.client + self._behind())
        self._release(asked)

    # Connections

    def _unlink(self, attempt: Attempt) -> None:
        if attempt.linked:
            attempt.linked = False
            self._disconnect(attempt.server, attempt.incarnation)

    def _disconnect(self, server: Place, incarnation: int) -> None:
        if isinstance(server, CacheServer) and server.incarnation == incarnation and server.connections:
            server.connections -= 1

    def sweep(self) -> None:
        """Closes what has idled too long, those first that idle longest."""
        before = self.clock.now - self.idle_most
        for name, idle in self.idle.items():
            while idle and idle[0][0] < before:
                self._disconnect(self.around.places[name], idle.popleft()[1])

    def _note(self, asked: Asked, text: str) -> None:
        asked.events.append((self.clock.now, text))
