"""Faults of system calls: which calls fail, when and how often, and the count of injected faults."""

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
FILE_CALLS = frozenset(("open", "read", "write", "fsync", "fsync_folder", "rename"))
SHORTENABLE_CALLS = frozenset(("send", "sendmsg", "recv", "read", "write"))


@dataclass(frozen=True, slots=True)
class SystemCallFault:
    """A fault that is injected into a system call.

    call: `getsockopt` is the read of SO_ERROR when a non-blocking connect completes; the fault makes it
    return the error. `recv` and `send` cover all their forms on stream sockets except `sendmsg`; `epoll` is
    the event loop's wait; `fsync_folder` syncs a directory, `fsync` a file; `rename` covers `os.rename` and
    `os.replace`.
    error: the name of the error, as in `errno`. short: the maximum number of bytes that the call transfers,
    instead of an error.

    Calls that match `local`, `peer` and `path` are counted from the installation of the fault. The fault is
    injected into every `every`-th call from the `from_call`-th on, not before `from_s` seconds have passed,
    at most `times` times, and for at most `for_s` seconds from the first injection.
    local, peer: patterns (`*:8080`) of the socket's own and its peer's address; a socket without an address
    matches no pattern. path: prefix of the real path of the file.

    Raises ValueError if the fields are invalid or contradict each other.
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
            raise ValueError(f"expected a system call that faults support, got {self.call!r}")
        if (self.short is None) == (not self.error):
            raise ValueError("expected exactly one of error and short")
        if self.error and not isinstance(getattr(errno, self.error, None), int):
            raise ValueError(f"expected an error name of errno, got {self.error!r}")
        if self.short is not None and (self.short < 1 or self.call not in SHORTENABLE_CALLS):
            raise ValueError("expected short to be 1 or more, and call to be one that transfers bytes")
        if self.every < 1 or self.from_call < 1:
            raise ValueError("expected every and from_call to be 1 or more")

    @property
    def error_number(self) -> int:
        return int(getattr(errno, self.error))

    def to_os_error(self, *file: str) -> OSError:
        """Returns the error as Python raises it; `file` is the file name that it carries, if any."""
        return OSError(self.error_number, os.strerror(self.error_number), *file)


@dataclass(slots=True)
class _FaultState:
    """The counts of a fault's matching calls and injections, and the time of its first injection."""

    calls: int = 0
    injected: int = 0
    first_injected_at: float | None = None


class Injections:
    """The active faults of a process, and the count of their injections."""

    def __init__(self, *faults: SystemCallFault, record: str | None = None) -> None:
        """record: path of a file to which a line with call and error is appended for each injection."""
        self._lock = threading.RLock()
        self.record = os.open(record, os.O_WRONLY | os.O_APPEND | os.O_CREAT) if record else None
        self.injected: Counter[tuple[str, str]] = Counter()  # by call, and by error or "short"
        self.replace(*faults)

    def replace(self, *faults: SystemCallFault) -> None:
        """Replaces the active faults; the counts of matching calls restart from zero."""
        with self._lock:
            self._installed_at = time.monotonic()
            self._faults = [(fault, _FaultState()) for fault in faults]
            self.calls = frozenset(fault.call for fault in faults)

    def count(self, call: SystemCall | None = None, error: str | None = None) -> int:
        """Returns the number of injections, limited to a system call and an error (or `short`) if given."""
        with self._lock:
            return sum(
                number
                for key, number in self.injected.items()
                if call in (None, key[0]) and error in (None, key[1])
            )

    def fault_for(
        self, call: SystemCall, matches: Callable[[SystemCallFault], bool]
    ) -> SystemCallFault | None:
        """Counts a call and returns the fault to inject into it, if any."""
        if call not in self.calls:
            return None
        with self._lock:
            now = time.monotonic()
            injected_fault = None
            for fault, state in self._faults:
                if fault.call != call or not matches(fault):
                    continue
                state.calls += 1
                if injected_fault is None and self._is_due(fault, state, now):
                    state.injected += 1
                    state.first_injected_at = (
                        now if state.first_injected_at is None else state.first_injected_at
                    )
                    injected_fault = fault
            if injected_fault is not None:
                self._record_injection(injected_fault)
            return injected_fault

    def _is_due(self, fault: SystemCallFault, state: _FaultState, now: float) -> bool:
        if state.calls < fault.from_call or now - self._installed_at < fault.from_s:
            return False
        if (state.calls - fault.from_call) % fault.every:
            return False
        if fault.times is not None and state.injected >= fault.times:
            return False
        return (
            fault.for_s is None
            or state.first_injected_at is None
            or now - state.first_injected_at < fault.for_s
        )

    def _record_injection(self, fault: SystemCallFault) -> None:
        error = fault.error or "short"
        self.injected[fault.call, error] += 1
        if self.record is not None:
            os.write(self.record, f"{fault.call} {error}\n".encode())
