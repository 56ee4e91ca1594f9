"""File descriptor limit of the process, which must allow an open connection for each router."""

import logging
import resource

RESERVED_DESCRIPTORS = 64  # descriptors for standard streams, store, listeners, peers, writers and operators
log = logging.getLogger("applehub.registry")


def raise_descriptor_limit(connections: int) -> None:
    """Raises the file descriptor limit of this process for a number of router connections.

    Logs a warning if the hard limit allows fewer."""
    required = connections + RESERVED_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= required:
        return
    granted = required if hard == resource.RLIM_INFINITY else min(required, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard))
    if granted < required:
        log.warning(
            "file descriptor limit too low: limits.callers %d requires %d, the system allows %d",
            connections,
            required,
            granted,
        )
