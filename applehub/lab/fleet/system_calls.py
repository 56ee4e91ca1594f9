"""System calls that are to fail: which, when and how often; and the count of those that did."""

import errno
import os
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, get_args

SystemCall = Literal[
    "accept", "socket", "connect", "getsockopt", "send", "sendmsg", "sendto", "recv", "shutdown", "epoll",
    "open", "read", "write", "fsync", "fsync_folder", "rename",
]  # fmt: skip
ON_FILES = frozenset(("open", "read", "write", "fsync", "fsync_folder", "rename"))
SHORTENED = frozenset(("send", "sendmsg", "recv", "read", "write"))


@dataclass(frozen=True, slots=True)
class SystemCallFault:
    """A call that fails, when, and how often.

    call: `getsockopt` is that of SO_ERROR, by which a connect that was under way ends, and gives the error;
    `recv` and `send` are all their forms on stream sockets but `sendmsg`; `epoll` is the event loop's wait;
    `fsync_folder` is the sync of a folder, `fsync` that of a file; `rename` is `os.rename` and `os.replace`.
    error: the error's name, as in `errno`. short: instead of an error, the most bytes that the call moves.

    Calls are counted from the fault's installation, those alone that fit `local`, `peer` and `path`. The
    fault strikes from the `from_call`-th on, each `every`-th, and not before `from_s` have passed, and then
    at most `times` times and, from the first time on, for at most `for_s` seconds; without either it goes on.
    local, peer: patterns (`*:8080`) of the socket's own address and of its peer's; a socket that has none
    fits none. path: prefix of the file's real path.
    """

    call: SystemCall
    error: str = ""
    short: int | None = None
    every: int = 1
    from_call: int = 1
    from_s: float = 0.0
    times: int | None = None
    for_s: float | None = None
    local: str | None = None
    peer: str | None = None
    path: str | None = None

    def __post_init__(self) -> None:
        if self.call not in get_args(SystemCall):
            raise ValueError(f"unknown system call {self.call!r}")
        if (self.short is None) == (not self.error):
            raise ValueError("expected either an error or short")
        if self.error and not isinstance(getattr(errno, self.error, None), int):
            raise ValueError(f"unknown error {self.error!r}")
        if self.short is not None and (self.short < 1 or self.call not in SHORTENED):
            raise ValueError("expected short of 1 or more, with a call that moves bytes")
        if self.every < 1 or self.from_call < 1:
            raise ValueError("expected every and from_call of 1 or more")

    @property
    def number(self) -> int:
        """The error's number."""
        return int(getattr(errno, self.error))

    def failure(self, *file: str) -> OSError:
        """The error as Python raises it."""
        return OSError(self.number, os.strerror(self.number), *file)


@dataclass(slots=True)
class _Progress:
    """How often a fault's calls were made, and how often and since when it has struck."""

    calls: int = 0
    injected: int = 0
    since: float | None = None


class Injections:
    """Faults, of which each call of a process asks whether one strikes it."""

    def __init__(self, *faults: SystemCallFault, record: str | None = None) -> None:
        """record: a file to which a line is added for each injection, with its call and error."""
        self._alone = threading.RLock()
        self.record = os.open(record, os.O_WRONLY | os.O_APPEND | os.O_CREAT) if record else None
        self.injected: Counter[tuple[str, str]] = Counter()  # by call, and by error or "short"
        self.replace(*faults)

    def replace(self, *faults: SystemCallFault) -> None:
        """Puts these faults in place of those before; their counts of calls begin anew."""
        with self._alone:
            self._began = time.monotonic()
            self._faults = [(fault, _Progress()) for fault in faults]
            self.calls = frozenset(fault.call for fault in faults)

    def count(self, call: SystemCall | None = None, error: str | None = None) -> int:
        """How many calls were struck: all, or those of a system call and an error (`short`: short calls)."""
        with self._alone:
            return sum(
                many
                for key, many in self.injected.items()
                if call in (None, key[0]) and error in (None, key[1])
            )

    def strikes(self, call: SystemCall, fits: Callable[[SystemCallFault], bool]) -> SystemCallFault | None:
        """Counts a call; gives the fault that strikes it."""
        if call not in self.calls:
            return None
        with self._alone:
            now = time.monotonic()
            struck = None
            for fault, progress in self._faults:
                if fault.call != call or not fits(fault):
                    continue
                progress.calls += 1
                if struck is None and self._due(fault, progress, now):
                    progress.injected += 1
                    progress.since = now if progress.since is None else progress.since
                    struck = fault
            if struck is not None:
                self._note(struck)
            return struck

    def _due(self, fault: SystemCallFault, progress: _Progress, now: float) -> bool:
        if progress.calls < fault.from_call or now - self._began < fault.from_s:
            return False
        if (progress.calls - fault.from_call) % fault.every:
            return False
        if fault.times is not None and progress.injected >= fault.times:
            return False
        return fault.for_s is None or progress.since is None or now - progress.since < fault.for_s

    def _note(self, fault: SystemCallFault) -> None:
        error = fault.error or "short"
        self.injected[fault.call, error] += 1
        if self.record is not None:
            os.write(self.record, f"{fault.call} {error}\n".encode())
