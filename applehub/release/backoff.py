"""Exponential backoff, and retries of disk operations that fail with transient errors."""

import errno
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0  # a disk that accepts writes again is detected within this time

# Errors that may pass without intervention, unlike a missing folder or a lack of permission.
TRANSIENT_ERRORS = frozenset(
    (
        errno.EAGAIN, errno.EDQUOT, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOBUFS,
        errno.ENOMEM, errno.ENOSPC,
    )
)  # fmt: skip
Result = TypeVar("Result")
log = logging.getLogger("applehub.release")


@dataclass(slots=True)
class Backoff:
    """Exponential backoff: the delay between attempts doubles with each failure, up to MAX_DELAY_S."""

    failures: int = 0  # consecutive failed attempts
    next_at: float = 0.0  # earliest time of the next attempt, in seconds of the caller's clock

    def due(self, now: float) -> bool:
        """Returns whether the next attempt may be made."""
        return not self.failures or now >= self.next_at

    def record_failure(self, now: float) -> float:
        """Records a failed attempt. Returns the delay in seconds until the next attempt."""
        delay = min(MAX_DELAY_S, INITIAL_DELAY_S * (1 << min(self.failures, 10)))
        self.failures += 1
        self.next_at = now + delay
        return delay

    def reset(self) -> None:
        """Records a successful attempt."""
        self.failures = 0


def retry_disk_errors(call: Callable[[], Result], sleep: Callable[[float], None] = time.sleep) -> Result:
    """Calls a function again with backoff while it raises transient disk errors, and returns its result."""
    backoff = Backoff()
    while True:
        try:
            return call()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            if not backoff.failures:
                log.warning("disk operation failed, retrying: error %r", error)
            sleep(backoff.record_failure(0.0))
