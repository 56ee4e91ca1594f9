"""Raises the limit on file descriptors, because each router keeps a connection open."""

import logging
import resource

BESIDE_CALLERS = 64  # standard streams, store, listeners, peers, writers and operators
log = logging.getLogger("applehub.registry")


def allow_callers(callers: int) -> None:
    """Raises the file descriptor limit of this process for a number of router connections.

    Logs a warning if the hard limit allows fewer."""
    wanted = callers + BESIDE_CALLERS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    granted = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard))
    if granted < wanted:
        log.warning("limits.callers: %d need %d descriptors, the system allows %d", callers, wanted, granted)
