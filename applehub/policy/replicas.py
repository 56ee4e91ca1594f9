"""Number of servers that cache a hot key: one, until that server is near its capacity."""

from applehub.policy.event_context import EventContext
from applehub.policy.keys import Popularity
from applehub.policy.server_table import ServerTable

INITIAL_REPLICAS = 2  # additional ranges that a key gets when its server first nears its capacity
REPLICA_GROWTH = 2  # factor by which the number of additional ranges grows each further time


class Replicas:
    """Adds ranges to a hot key when its server nears capacity, up to two for each fair share of its requests.

    Each replica costs one fetch from the origin and then serves all routers. With at least as many routers as
    servers, the fetch pays off soon, and a single router sees too few requests to prove that a key is hot, so
    the key's fraction of this router's requests decides. With fewer routers, two conditions apply: the counts
    must prove that the key is hot (see Popularity), and its server must be near capacity.
    """

    def __init__(self, context: EventContext, server_table: ServerTable) -> None:
        self.context, self.server_table = context, server_table
        self.popularity = Popularity()
        # By key: the number of additional ranges, and the time of the response that last raised it.
        self.replica_counts: dict[str, tuple[int, int]] = {}

    def choose_replica(self, key: str) -> int:
        """Counts a request for a key and returns the number of range owners that it skips."""
        servers = len(self.server_table.ranges.assignments[-1][1])
        few_routers = servers > self.context.settings.router_count
        max_ranges = min(servers, self.popularity.count_fair_shares(key, servers, proven=few_routers))
        ranges = self._replica_count(key, max_ranges, servers) if few_routers else max_ranges
        return self.context.random.randrange(1 + min(max_ranges, ranges))

    def _replica_count(self, key: str, max_ranges: int, servers: int) -> int:
        if not max_ranges:
            self.replica_counts.pop(key, None)
            return 0
        ranges, raised_at = self.replica_counts.get(key, (0, -1))
        owner = self.server_table.servers.get(self.server_table.ranges.locate(key, self.context.now)[2])
        if (
            ranges < max_ranges
            and owner is not None
            and owner.measured_at > raised_at
            and owner.is_near_limit()
        ):
            ranges = min(max_ranges, max(INITIAL_REPLICAS, REPLICA_GROWTH * ranges))
            self.replica_counts.pop(key, None)
            self.replica_counts[key] = ranges, owner.measured_at
            if len(self.replica_counts) > servers:  # no more than `servers` keys can have a fair share each
                del self.replica_counts[next(iter(self.replica_counts))]
        return ranges
