"""Who gets how many of the router's descriptors: its own first, then connections to servers and clients."""

from dataclasses import dataclass

OWN = 19  # streams, loop, signals, listener, five lines to discovery while it moves, kept files, peers
CONSOLE = 19  # its listener, the callers that it keeps, and some that are on their way out
CLOSING = (
    4  # turns of the loop that a client which is turned away stays for, and so how many each let in counts
)
MOST_LET_IN = 16  # clients let in during one turn of the loop
POOLS = 3 / 7  # part of the rest for connections to servers
ENDING = 1 / 9  # part of the clients' for those whose sending has ended


@dataclass(frozen=True, slots=True)
class Places:
    """How many of each there may be at once."""

    clients: int
    ending: int
    let_in: int
    pools: int


def share_out(sockets: int, console: bool) -> Places:
    """Shares out a limit on descriptors, of 64 at the least. Clients that fill all of theirs leave discovery,
    servers and operators untouched."""
    rest = sockets - OWN - (CONSOLE if console else 0)
    let_in = min(max(rest // 64, 1), MOST_LET_IN)
    rest = max(rest - CLOSING * let_in, 8)
    pools = int(rest * POOLS)
    ending = max(int((rest - pools) * ENDING), 2)
    return Places(rest - pools - ending, ending, let_in, pools)
