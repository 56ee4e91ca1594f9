"""What other routers tell, and what they are told. What a router sees itself overrides all of it."""

from applehub import interface as api
from applehub.policy.rates import SECOND
from applehub.policy.roster import Roster
from applehub.policy.throttle import Monitor
from applehub.policy.turn import Turn

PULL = 1 / 4  # part of the way to the fleet's share that a kind's takes each time it is heard
QUORUM, MOST_QUORUM = 3, 6  # routers that a server must fail, more in a large fleet: one may be sick itself
QUORUM_PART = 1 / 8  # of the routers
AGREED = 3 / 4  # part of those who speak of it; whom it answered speaks for it
SILENCES = 1  # time-outs in a row from which on a server fails this router: others vouch for it if it lives
OWN = 2 * SECOND  # how long an answer that this router had itself counts for more than what it hears
MOST_OUT = 1 / 4  # part of the listed servers that may be out by hearsay


class Hearsay:
    """Takes up what is heard, and says what there is to tell."""

    def __init__(self, turn: Turn, roster: Roster, monitor: Monitor) -> None:
        self.turn, self.roster, self.monitor = turn, roster, monitor
        self.heard = False  # whether anything was, since the start
        self.accused: list[str] = []

    def on_fleet(self, event: api.GossipSummary) -> None:
        """Guards against routers that disagree on who bears a key's range: their shares draw together. One
        that starts takes over the fleet's."""
        for number, share in event.range_fractions.items():
            kind = self.roster.kinds[number]
            kind.range_fraction += (share - kind.range_fraction) * (PULL if self.heard else 1)
        self.heard = self.heard or bool(event.range_fractions)
        self.roster.routers = event.router_count
        self.accused = list(event.failure_reports)
        quorum = min(MOST_QUORUM, max(QUORUM, event.router_count * QUORUM_PART))
        out = sum(server.hearsay and server.fails > 0 for server in self.roster.servers.values())
        for name, (failing, of) in event.failure_reports.items():
            room = out + 1 <= MOST_OUT * len(self.roster.servers)
            if room and failing >= max(quorum, of * AGREED):
                out += self.roster.put_out(name, OWN)

    def tell(self) -> api.PublishGossip:
        """Only what this router saw itself: hearsay passed on would keep itself alive."""
        throttle, servers = self.monitor.throttle, self.roster.servers
        failing = {
            name: server.fails or server.silences
            for name, server in servers.items()
            if not server.hearsay and (server.fails or server.silences >= SILENCES)
        }
        asked = ((name, servers[name]) for name in self.accused if name in servers)
        vouched = [name for name, one in asked if not one.fails and one.answered_at > self.turn.now - OWN]
        shares = {number: kind.range_fraction for number, kind in self.roster.kinds.items()}
        rate = throttle.rate if throttle is not None else 0.0
        return api.PublishGossip(rate, self.monitor.recent(self.turn.now), shares, failing, vouched)
