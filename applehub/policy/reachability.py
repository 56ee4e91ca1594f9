"""Tells a server to which no way leads from a machine that is cut off.

An attempt that ends as `UNREACHABLE` found no way to its server. That may be the trouble of this server alone
or that of this machine, and one attempt can't tell which. The evidence is in the other servers: while the
machine is cut off, no connection comes up to any of them. So a server is unreachable by itself only if it was
so at ROUNDS attempts in a row, and between each two of them a connection to another server came up for an
attempt that was sent later than the first of the two. Answers of others don't count, since they come on
connections that were open before.
"""

from applehub import interface as api
from applehub.policy.rates import SECOND
from applehub.policy.servers import Server
from applehub.policy.turn import Turn

ROUNDS = 3  # unreachable attempts in a row; two could come from two short failures of this machine
FORGOTTEN = 10 * SECOND  # from one such attempt to the next that counts anew: so seldom, they are no row
ANSWERS = frozenset((api.Status.OK, api.Status.MISS, api.Status.ERROR, api.Status.FULL))


class Reachability:
    """What attempts have shown of the ways to the servers."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.connected_at = 0  # when the latest attempt was sent for which a connection came up

    def status(self, server: Server | None, event: api.Outcome) -> api.Status:
        """The status of an attempt by which to go on: where no way leads to this server alone, that of a
        connect that its server has failed."""
        now = self.turn.now
        if event.connected:
            self.connected_at = max(self.connected_at, now - event.elapsed)
        if server is None:
            return event.status
        if event.connected or event.status in ANSWERS:
            server.unreached = 0
        if event.status is not api.Status.UNREACHABLE:
            return event.status
        if now - server.unreached_at > FORGOTTEN:
            server.unreached = 0
        if not server.unreached or self.connected_at > server.unreached_at:
            server.unreached += 1
            server.unreached_at = now
        return event.status if server.unreached < ROUNDS else api.Status.CONNECT_FAILED
