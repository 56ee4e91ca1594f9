"""Divides the router's limit on file descriptors between itself, its servers and its clients."""

from dataclasses import dataclass

# Standard streams, event loop, signals, listener, five connections to discovery while its address changes,
# persisted files, gossip with peers.
OWN_DESCRIPTORS = 19
CONSOLE_DESCRIPTORS = 19  # listener, open connections, and connections that are closing
# Event loop ticks for which a rejected client uses a descriptor; so many are reserved per accepted client.
REJECTION_TICKS = 4
MAX_ACCEPTED_PER_TICK = 16  # clients accepted in one event loop tick
SERVER_FRACTION = 3 / 7  # of the remaining descriptors, for connections to servers
LINGERING_FRACTION = 1 / 9  # of the descriptors for clients, for connections whose sending has ended


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


def allocate_descriptors(sockets: int, console: bool) -> ConnectionLimits:
    """Divides a limit of at least 64 descriptors.

    The descriptors for discovery, servers and operators stay available even if clients use all of theirs.
    """
    remaining = sockets - OWN_DESCRIPTORS - (CONSOLE_DESCRIPTORS if console else 0)
    accepted_per_tick = min(max(remaining // 64, 1), MAX_ACCEPTED_PER_TICK)
    remaining = max(remaining - REJECTION_TICKS * accepted_per_tick, 8)
    server_connections = int(remaining * SERVER_FRACTION)
    lingering = max(int((remaining - server_connections) * LINGERING_FRACTION), 2)
    return ConnectionLimits(
        remaining - server_connections - lingering, lingering, accepted_per_tick, server_connections
    )
