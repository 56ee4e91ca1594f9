"""Divides the router's limit on file descriptors between itself, its servers and its clients."""

from dataclasses import dataclass

# Descriptors of the router itself: standard streams, event loop, signals, listener, five connections to
# discovery while its address changes, persisted files, gossip with peers.
OWN_DESCRIPTORS = 19
# Descriptors of the console: listener, open connections, and connections that are closing.
CONSOLE_DESCRIPTORS = 19
# Event loop ticks for which a rejected client uses a descriptor, and therefore the number of descriptors that
# are reserved for each client accepted in one tick.
REJECTION_TICKS = 4
MAX_ACCEPTED_PER_TICK = 16  # clients accepted in one event loop tick
SERVER_FRACTION = 3 / 7  # fraction of the remaining descriptors that connections to servers may use
LINGERING_FRACTION = 1 / 9  # fraction of the clients' descriptors, for connections that have ended sending


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Maximum numbers of connections.

    clients: open client connections. lingering: client connections whose sending has ended.
    accepted_per_tick: clients accepted in one event loop tick. server_connections: connections to servers.
    """

    clients: int
    lingering: int
    accepted_per_tick: int
    server_connections: int


def allocate_descriptors(max_descriptors: int, console: bool) -> ConnectionLimits:
    """Divides a limit of at least 64 descriptors.

    console: whether the router has a console.

    The descriptors for discovery, servers and operators stay available even if clients use all of theirs.
    """
    remaining = max_descriptors - OWN_DESCRIPTORS - (CONSOLE_DESCRIPTORS if console else 0)
    accepted_per_tick = min(max(remaining // 64, 1), MAX_ACCEPTED_PER_TICK)
    remaining = max(remaining - REJECTION_TICKS * accepted_per_tick, 8)
    server_connections = int(remaining * SERVER_FRACTION)
    lingering = max(int((remaining - server_connections) * LINGERING_FRACTION), 2)
    return ConnectionLimits(
        remaining - server_connections - lingering, lingering, accepted_per_tick, server_connections
    )
