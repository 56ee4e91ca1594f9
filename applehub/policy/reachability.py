"""Distinguishes an unreachable server from a machine without network.

An attempt with status `UNREACHABLE` found no route to its server. The fault may be the server's or this
machine's. While the machine has no network, it cannot connect to any server. So a server counts as
unreachable only after MIN_FAILURES consecutive such attempts, if a new connection to another server was
established between any two of them. Answers from other servers are no evidence, since they may use older
connections.
"""

from applehub import interface as api
from applehub.policy.event_context import EventContext
from applehub.policy.rates import SECOND
from applehub.policy.servers import Server

MIN_FAILURES = 3  # consecutive unreachable attempts after which a server counts as unreachable
FAILURE_LIFETIME = 10 * SECOND  # age at which an unreachable attempt no longer counts
ANSWERED = frozenset((api.Status.OK, api.Status.MISS, api.Status.ERROR, api.Status.FULL))


class Reachability:
    """Decides from the outcomes of attempts which servers are unreachable."""

    def __init__(self, context: EventContext) -> None:
        self.context = context
        self.connected_at = 0  # send time of the latest attempt for which a connection was established

    def status(self, server: Server | None, event: api.Outcome) -> api.Status:
        """Returns the effective status of an attempt: CONNECT_FAILED if only this server is unreachable."""
        now = self.context.now
        if event.connected:
            self.connected_at = max(self.connected_at, now - event.elapsed)
        if server is None:
            return event.status
        if event.connected or event.status in ANSWERED:
            server.unreachable_count = 0
        if event.status is not api.Status.UNREACHABLE:
            return event.status
        if now - server.unreachable_at > FAILURE_LIFETIME:
            server.unreachable_count = 0
        if not server.unreachable_count or self.connected_at > server.unreachable_at:
            server.unreachable_count += 1
            server.unreachable_at = now
        return event.status if server.unreachable_count < MIN_FAILURES else api.Status.CONNECT_FAILED
