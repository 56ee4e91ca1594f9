"""How long to wait before something that was refused is tried again."""

import errno
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

FIRST_S = 0.1
MOST_S = 5.0  # a disk that takes writes again is noticed within this

# What a disk or a machine refuses for a while. A folder that is not there, or not allowed, is none of these.
PASSING = frozenset(
    (
        errno.EAGAIN, errno.EDQUOT, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOBUFS,
        errno.ENOMEM, errno.ENOSPC,
    )
)  # fmt: skip
Result = TypeVar("Result")
log = logging.getLogger("applehub.release")


@dataclass(slots=True)
class Backoff:
    """Attempts at one thing: each wait is twice the one before, up to MOST_S."""

    failures: int = 0  # in a row
    next_at: float = 0.0  # reading of the caller's clock

    def due(self, now: float) -> bool:
        """Whether it may be tried."""
        return not self.failures or now >= self.next_at

    def failed(self, now: float) -> float:
        """It was tried and refused; gives the seconds until it is due again."""
        wait = min(MOST_S, FIRST_S * (1 << min(self.failures, 10)))
        self.failures += 1
        self.next_at = now + wait
        return wait

    def succeeded(self) -> None:
        """It was tried and went well."""
        self.failures = 0


def when_disk_permits(call: Callable[[], Result], sleep: Callable[[float], None] = time.sleep) -> Result:
    """What a call gives, once the disk does not refuse it for a passing reason. Raises all else."""
    backoff = Backoff()
    while True:
        try:
            return call()
        except OSError as problem:
            if problem.errno not in PASSING:
                raise
            if not backoff.failures:
                log.warning("the folder can't be opened, which is tried again: %r", problem)
            sleep(backoff.failed(0.0))
