"""On how many servers a hot key is kept: on one, until that is near what it bears."""

from applehub.policy.keys import Popularity
from applehub.policy.roster import Roster
from applehub.policy.turn import Turn

FIRST_COPIES = 2  # further ranges that a hot key takes at the first sign
GROWTH = 2  # times as many at each further sign


class Replicas:
    """Takes further ranges for a hot key as its server comes near what it bears, up to as many as it fills.

    Each copy has to be fetched once, by one router, and serves all of them. With at least as many routers
    as servers every copy is soon paid by what the others ask for, and each router sees too little to prove
    that a key is hot before it has swamped its server: its share of this router's requests will do. With
    fewer routers a copy has to be paid by few, and two things are needed. Evidence that the key is hot, by
    counts (see Popularity). And a reason, by what the key's own server does: a key whose server has capacity
    left is better kept in one place, however often it is asked for."""

    def __init__(self, turn: Turn, roster: Roster) -> None:
        self.turn, self.roster = turn, roster
        self.popularity = Popularity()
        # By key: its further ranges, and when the answer came that was the latest sign for more.
        self.ranges: dict[str, tuple[int, int]] = {}

    def choose(self, key: str) -> int:
        """Counts a request for a key; gives how many owners of ranges it passes by."""
        servers = len(self.roster.ranges.deals[-1][1])
        few_routers = servers > self.turn.settings.router_count
        fills = min(servers, self.popularity.fills(key, servers, proven=few_routers))
        ranges = self._ranges(key, fills, servers) if few_routers else fills
        return self.turn.random.randrange(1 + min(fills, ranges))

    def _ranges(self, key: str, fills: int, servers: int) -> int:
        if not fills:
            self.ranges.pop(key, None)
            return 0
        ranges, signed_at = self.ranges.get(key, (0, -1))
        owner = self.roster.servers.get(self.roster.ranges.locate(key, self.turn.now)[2])
        if ranges < fills and owner is not None and owner.learned_at > signed_at and owner.near_limit():
            ranges = min(fills, max(FIRST_COPIES, GROWTH * ranges))
            self.ranges.pop(key, None)
            self.ranges[key] = ranges, owner.learned_at
            if len(self.ranges) > servers:  # no more keys than servers have a fair share each
                del self.ranges[next(iter(self.ranges))]
        return ranges
