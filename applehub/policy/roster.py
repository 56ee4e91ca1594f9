"""The servers of the current list, with what their answers have told."""

import math
from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import replace

from applehub import interface as api
from applehub.policy.job import Job
from applehub.policy.keys import KeyRanges
from applehub.policy.rates import SECOND, SMOOTHING, Bank, Rate, weight_of
from applehub.policy.reachability import Reachability
from applehub.policy.servers import Kind, Server
from applehub.policy.turn import Turn

ANSWERS = frozenset((api.Status.OK, api.Status.MISS, api.Status.FULL, api.Status.ERROR))
LIST_PAUSE = 3 * SECOND // 2  # the longest from a failed call to discovery until the next
FADES = 600 * SECOND  # from then on what an earlier process had seen counts for nothing
BROKEN = frozenset((api.Status.RESET, api.Status.MOOT))  # after and before the last byte was written
BREAKS = 4  # attempts in a row that broke before a server counts as unreachable
FEW = 16  # changes in one of so many entries, up to which each is taken up alone


class Roster:
    """Who is listed, who is left out, who is cold; learns from each attempt's end."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.servers: dict[str, Server] = {}
        self.by_hand: set[str] = set()  # left out, whatever the list says
        self.put_back: dict[str, int] = {}  # and when those that were are cold since
        self.unheard = 0  # calls to discovery that failed in a row
        self.copies = 1  # processes that serve as this router now
        self.routers = 0  # processes of all routers that were heard to be there
        self.origin: Server | None = None
        self.weights: dict[str, float] = {}  # listed, of the ready cache servers
        self.alike: Counter[float] = Counter()  # how many of them have the same weight
        self.mean_weight = 0.0
        self.ranges = KeyRanges(turn.settings.slow_start_time)
        self.kinds: defaultdict[int, Kind] = defaultdict(Kind)
        self.flow = Rate(4 * turn.shortest_aim)  # of requests
        self.reachability = Reachability(turn)
        self.crowded = 0.0  # part of the latest new connects that were refused at once

    def retuned(self) -> None:
        """Other settings hold; what is learned of servers stays."""
        self.ranges.turn = max(1, self.turn.settings.slow_start_time)
        self.flow.stretch(self.turn.now, 4 * self.turn.shortest_aim)
        self._deal()

    @property
    def avoided(self) -> int:
        """How many listed cache servers are left out now, by hand or by choice."""
        return sum(
            name in self.by_hand or (server.fails > 0 and not server.open(self.turn.now))
            for name, server in self.servers.items()
            if server is not self.origin
        )

    def on_members(self, event: api.Members) -> None:
        if event.kind is api.ListKind.FAILED:
            # Guards the rule on drains: what discovery has to tell counts as told some seconds later, heard
            # or not, so a first failure gives a short pause, and an outage none that grows on.
            most = min(LIST_PAUSE, self.turn.settings.max_poll_interval) >> max(0, 2 - self.unheard)
            self.unheard += 1
            wait = most * self.turn.random.uniform(0.5, 1)
            self.turn.log(f"list unavailable, asked again in {wait / 1e6:.0f} ms")
            self.turn.later(int(wait), self._ask)
            return
        self.unheard = 0
        if event.kind is api.ListKind.CACHED and self.turn.settings.list_on_request:
            self._ask(None)
        if event.kind is not api.ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name in [name for name in self.servers if name not in named]:
                self._member(api.Member(name, api.State.GONE), True)
        for entry in event.entries:
            self._member(entry, event.kind is api.ListKind.CACHED)
        delta = event.kind is api.ListKind.DELTA
        self._deal({entry.server for entry in event.entries} if delta else None)

    def on_by_hand(self, event: api.ServerOverride) -> None:
        server = self.servers.get(event.server)
        if event.excluded:
            self.by_hand.add(event.server)
        else:
            self.by_hand.discard(event.server)
            self.put_back[event.server] = event.since
        if server is None:
            return
        if not event.excluded:
            # Restarted while it was out: what it did before tells nothing, and no list may tell of its start.
            server.fails = server.refusals = server.breaks = 0
            self._chill(server, max(server.cold_since, event.since))
        self._set_state(server, server.listed)
        self._deal({event.server})

    def _set_state(self, server: Server, listed: api.State) -> None:
        out = server.member.server in self.by_hand
        server.listed = listed
        server.member = replace(server.member, state=api.State.DRAINING if out else listed)

    def on_copies(self, event: api.ProcessCount) -> None:
        self.copies = event.count

    def _deal(self, changed: set[str] | None = None) -> None:
        """Deals the ready cache servers to keys. Guards a large fleet's processor time: where all but a few
        entries stand as they were, only those that changed are looked at."""
        if changed is None or len(changed) * FEW > len(self.servers):
            self.weights.clear()
            self.alike.clear()
            names = sorted(filter(self._take_weight, self.servers))
        else:
            names = self._renamed(changed)
        self.ranges.deal(self.turn.now, names)
        self.mean_weight = math.fsum(weight * count for weight, count in self.alike.items()) / max(
            1, len(names)
        )
        before = self.origin.member.server if self.origin is not None else ""
        if changed is None or before in changed or any(map(self._is_origin, changed)):
            name = next(filter(self._is_origin, self.servers), "")
            self.origin = self.servers.get(name)

    def _renamed(self, changed: set[str]) -> list[str]:
        """The sorted names of the ready cache servers, of which so many changed. Lists that were dealt stay
        as they are, since keys take them up later."""
        names = self.ranges.deals[-1][1]
        for name in sorted(changed):
            before = name in self.weights
            if self._take_weight(name) is not before:
                names = names.copy() if names is self.ranges.deals[-1][1] else names
                place = bisect_left(names, name)
                names[place : place + before] = [] if before else [name]
        return names

    def _take_weight(self, name: str) -> bool:
        """Notes what a server weighs, if it is a ready cache server; whether it is."""
        before = self.weights.pop(name, None)
        if before is not None:
            self.alike[before] -= 1
            if not self.alike[before]:
                del self.alike[before]
        server = self.servers.get(name)
        if server is None or server.member.state is not api.State.READY or self._is_origin(name):
            return False
        self.weights[name] = server.member.weight
        self.alike[server.member.weight] += 1
        return True

    def _is_origin(self, name: str) -> bool:
        """Whether a server can be the origin now."""
        settings, server = self.turn.settings, self.servers.get(name)
        kind = settings.origin_kind if settings.cache_aside else -1
        return server is not None and server.member.kind == kind and server.member.state is api.State.READY

    def size(self, server: Server) -> float:
        """Its listed weight by the mean. Guards against an equal range for an unequal machine: the small bear
        less."""
        return server.member.weight / self.mean_weight if self.mean_weight else 1.0

    def _member(self, entry: api.Member, old: bool) -> None:
        if entry.state is api.State.GONE:
            gone = self.servers.pop(entry.server, None)
            if gone is not None:
                gone.member, gone.listed = entry, entry.state
            return
        server = self.servers.get(entry.server)
        if server is None:
            server = Server(entry, self.turn.shortest_aim / 8, learned_at=self.turn.now)
            self.servers[entry.server] = server
            # New to the list, with no start time told: taken as cold.
            since = entry.since if old or entry.since else self.turn.now
            self._chill(server, max(since, self.put_back.get(entry.server, 0)))
        elif entry.since > server.member.since:
            self._chill(server, max(server.cold_since, entry.since))
            server.fails = 0
        moved = entry.kind != server.member.kind
        server.member = entry
        if moved and server.base_latency:
            self.kind(server).note(server)
        self._set_state(server, entry.state)

    def _chill(self, server: Server, since: int) -> None:
        """Takes a server as cold since then. Guards against a first token from each of many routers at once:
        the first falls due after a part of its time that each router draws."""
        server.cold_since, server.budget = since, Bank(self.turn.random.random(), self.turn.now)

    def _ask(self, _: Job | None) -> None:
        self.turn.actions.append(api.Watch())

    def warmth(self, server: Server) -> float:
        """The part of its full capacity that a server has by now at the least."""
        age, cold = self.turn.now - server.cold_since, self.turn.settings.slow_start_capacity
        return min(1.0, cold + (1 - cold) * age / max(1, self.turn.settings.slow_start_time))

    def pace(self, server: Server) -> float:
        """How seldom each router may try a swamped server, so that all together send what one core serves."""
        routers = max(self.turn.settings.router_count * self.copies, self.routers)
        return routers * self.kind(server).uncrowded

    def kind(self, server: Server) -> Kind:
        return self.kinds[server.member.kind]

    def _failed_part(self, event: api.Outcome) -> float:
        """The part of a server's answers that are errors, by this one, or by its report beside its equal part
        of what all routers are asked."""
        if event.status is api.Status.ERROR:
            return 1.0
        if event.load is None or event.load.eps <= 0:
            return 0.0
        servers = max(1, len(self.ranges.deals[-1][1]))
        mean = self.flow.per_second(self.turn.now) * self.turn.settings.router_count / servers
        return min(1.0, event.load.eps / max(1.0, mean))

    def _fails_most(self, server: Server) -> bool:
        """Guards against a server that fails most of what it is sent, and so quickly that it seems idle.
        Where caches fetch, an error may be the origin's; and the origin has no stand-in."""
        return self.turn.settings.cache_aside and server is not self.origin and server.errors > 1 / 2

    def _away(self, server: Server, refused: bool) -> float:
        """The longest that a failed server is left alone. Guards against a trial from each of many routers as
        it comes back: what refused twice may be cold then, and all together send what it can do so."""
        wait = float(self.turn.settings.connect_timeout << min(server.fails, 4))
        if refused and server.fails > 1:
            wait = max(wait, self.pace(server) / max(self.turn.settings.slow_start_capacity, SMOOTHING / 2))
        return wait

    def learnt(self) -> api.SavedStatistics:
        """What is worth telling to a process of this router that comes after."""
        known = [(name, one) for name, one in self.servers.items() if one.base_latency]
        return api.SavedStatistics(
            0,
            {
                n: api.ServerStatistics(one.latency, one.base_latency, one.mean_in_flight, one.range_fraction)
                for n, one in known
            },
        )

    def on_learnt(self, event: api.SavedStatistics) -> None:
        """Guards a start against sending to each server what only its like bear. It counts for less the
        longer it has lain, and not at all for a server that was started since."""
        part, since = 1 - event.age / FADES, self.turn.now - event.age
        for name, seen in event.servers.items():
            server = self.servers.get(name)
            if (
                server is not None
                and not server.base_latency
                and part > 0
                and server.cold_since <= max(0, since)
            ):
                server.latency, server.base_latency, server.mean_in_flight = (
                    seen.latency,
                    seen.base_latency,
                    seen.mean_in_flight,
                )
                self.kind(server).note(server)
                server.range_fraction = 1 + (seen.range_fraction - 1) * part

    def put_out(self, name: str, own: int) -> bool:
        """Leaves a server alone that fails others, as if it had failed here; whether it does. An answer that
        came within own is better evidence. Each router tries it again at a moment of its own."""
        server, now = self.servers.get(name), self.turn.now
        if server is None or server is self.origin or server.fails or now - server.answered_at < own:
            return False
        server.hearsay, server.fails, server.down_since = True, 1, now
        server.down_until = now + int(self._away(server, False) * self.turn.random.uniform(1, 4))
        self.turn.log(f"server {name} fails other routers")
        return True

    def never_sent(self, server: Server, event: api.Outcome) -> None:
        """Takes back an attempt that this machine could not begin: nothing of the server was used."""
        server.never_sent(self.turn.now - event.elapsed)
        if 0 < server.cold_since > self.turn.now - self.turn.settings.slow_start_time:
            server.budget.give_back()

    def observe(self, server: Server, event: api.Outcome) -> None:
        """Takes up how an attempt at a server ended."""
        turn, now, status, load = self.turn, self.turn.now, event.status, event.load
        server.out = max(0, server.out - 1)
        if load is not None and load.inflight >= 0 and load.latency_ms > 0:
            server.load, server.load_at = load, now
        if status in ANSWERS:
            weight = weight_of(now - server.answered_at, 2 * turn.shortest_aim)
            server.errors += (self._failed_part(event) - server.errors) * weight
            server.answered_at = now
        refused = status is api.Status.CONNECT_FAILED
        failing = status is api.Status.ERROR and self._fails_most(server)
        answered = not failing and status in ANSWERS
        if not server.linked and not server.fails and event.elapsed < turn.settings.connect_timeout:
            self.crowded += (refused - self.crowded) * SMOOTHING
        server.linked = not refused
        # Guards against a server taken for quick, and then for swamped, by requests with little time left:
        # given up sooner than it answers, they say nothing of it.
        too_soon = status is api.Status.TIMEOUT and event.elapsed < server.latency
        if not too_soon:
            server.silences = server.silences + 1 if status is api.Status.TIMEOUT else 0
        # Guards against a network that breaks connections: one that broke says nothing of the process. One
        # that died refuses the next connect.
        server.breaks = server.breaks + 1 if status in BROKEN else server.breaks * (not answered)
        failed = refused or failing or (status in BROKEN and server.breaks >= BREAKS)
        if failed:
            if not server.fails or server.hearsay:
                server.down_since, server.hearsay = now, False
                state = "fails what it is sent" if failing else "unreachable"
                turn.log(f"server {event.server} {state}")
            server.fails += 1
            server.refusals += refused
            server.down_until = now + int(self._away(server, refused) * turn.random.uniform(0.5, 1))
        elif server.fails and answered:
            turn.log(f"server {event.server} answers again")
            away = server.refusals > 1 and now - server.down_since > SECOND
            server.fails, server.refusals, server.hearsay = 0, 0, False
            if away and self.crowded <= 1 / 2:
                self._chill(server, now)  # a process that died comes back cold, before the list tells
        if not too_soon:
            self._learn_time(server, event)

    def _learn_time(self, server: Server, event: api.Outcome) -> None:
        """Takes up how long an attempt took, and so what its server bears."""
        turn, now, status = self.turn, self.turn.now, event.status
        # Guards against a swamped server whose keys went elsewhere: a trial that misses tells as well.
        full, missed = status is api.Status.FULL, status is api.Status.MISS
        elapsed = turn.shortest_aim if full else event.elapsed  # a quick "full" proves no quick server
        if full or status in (api.Status.OK, api.Status.TIMEOUT) or (missed and server.trial):
            server.learn(now, 2 * turn.shortest_aim, elapsed, server.out + 1, full)
            self.kind(server).learned(server)
        if full or missed or status in (api.Status.OK, api.Status.TIMEOUT):
            # Guards against a router that sees little of a server: who waits there tells what others send.
            slow = elapsed > turn.shortest_aim // 2
            server.bear(now, event.elapsed, slow)
            if server is not self.origin and not 0 < server.cold_since > now - turn.settings.slow_start_time:
                self.kind(server).bear(slow)
