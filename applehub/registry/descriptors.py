"""The limit on descriptors: each router keeps a connection, and systems give a process 1,024 at its start."""

import logging
import resource

BESIDE_CALLERS = 64  # streams, store, listeners, other replicas, writers and staff
log = logging.getLogger("applehub.registry")


def allow_callers(callers: int) -> None:
    """Raises this process's limit so far that so many callers may be connected, or as far as the system lets
    it, and says so where that is less."""
    wanted = callers + BESIDE_CALLERS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    granted = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard))
    if granted < wanted:
        log.warning("limits.callers: %d need %d descriptors, the system allows %d", callers, wanted, granted)
