"""System calls that fail: faults injected into one process, below asyncio and the program, on real sockets
and files.

Inside a test's process:

    with SystemCallFaults(SystemCallFault("accept", "ENFILE", for_s=0.1, local=f"*:{port}")) as faults:
        ...
    assert faults.count("accept") > 0

For a child process, the same faults as JSON in the environment, and a file that records what was injected:

    environment = {**os.environ, **in_environment([SystemCallFault("fsync", "EIO")], record=path)}
    words = [sys.executable, "-m", "applehub.lab.fleet.system_call_faults", "applehub"]

which runs `python -m applehub` (or another module, with its arguments) with these faults installed;
`recorded(path)` counts what the file holds.

The calls are patched where Python makes them: on `socket.socket`, on selectors and in `builtins` and `os`.
Only sockets of the internet are struck, never the pair by which an event loop wakes itself. A call that is
struck fails before it reaches the system; a short one reaches it with fewer bytes.
"""

import builtins
import io
import os
import runpy
import selectors
import socket
import stat
import sys
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict
from fnmatch import fnmatchcase
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import orjson

from applehub.lab.fleet.system_calls import Injections, SystemCall, SystemCallFault

__all__ = [
    "SystemCall", "SystemCallFault", "SystemCallFaults", "from_environment", "in_environment", "recorded",
]  # fmt: skip

ENVIRONMENT = "SYSTEM_CALL_FAULTS"
INTERNET = (socket.AF_INET, socket.AF_INET6)
# Sockets' methods, and the system call that each stands for.
SOCKET_METHODS: dict[str, SystemCall] = {
    "accept": "accept",
    "connect": "connect",
    "send": "send",
    "sendmsg": "sendmsg",
    "sendto": "sendto",
    "recv": "recv",
    "recv_into": "recv",
    "recvfrom": "recv",
    "recvfrom_into": "recv",
    "shutdown": "shutdown",
}


class SystemCallFaults(Injections):
    """Faults of this process, installed until `remove` or the end of the context.

    Of several that fit a call the first strikes. A call that is made by another (`create_connection` opens a
    socket) is struck as if it were made alone."""

    def __init__(self, *faults: SystemCallFault, record: str | None = None) -> None:
        """record: a file to which a line is added for each injection, with its call and error."""
        super().__init__(*faults, record=record)
        self._undo: list[tuple[Any, str, Any, bool]] = []

    def __enter__(self) -> Self:
        self.install()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.remove()

    def install(self) -> None:
        """Patches the calls of this process."""
        for method, call in SOCKET_METHODS.items():
            self._patch(socket.socket, method, self._on_socket(call, getattr(socket.socket, method)))
        self._patch(socket.socket, "sendall", self._on_send_all(socket.socket.sendall))
        self._patch(socket.socket, "__init__", self._on_creation(socket.socket.__init__))
        self._patch(socket.socket, "getsockopt", self._on_option(socket.socket.getsockopt))
        self._patch(selectors.EpollSelector, "select", self._on_wait(selectors.EpollSelector.select))
        self._patch(builtins, "open", self._on_file(builtins.open))
        self._patch(os, "open", self._on_path("open", os.open))
        self._patch(os, "read", self._on_descriptor("read", os.read))
        self._patch(os, "write", self._on_descriptor("write", os.write))
        for name in ("fsync", "fdatasync"):
            self._patch(os, name, self._on_sync(getattr(os, name)))
        for name in ("rename", "replace"):
            self._patch(os, name, self._on_path("rename", getattr(os, name)))

    def remove(self) -> None:
        """Undoes `install`; what was injected can still be counted."""
        while self._undo:
            owner, name, before, own = self._undo.pop()
            if own:
                setattr(owner, name, before)
            else:
                delattr(owner, name)
        if self.record is not None:
            os.close(self.record)
            self.record = None

    def _patch(self, owner: Any, name: str, by: Any) -> None:
        self._undo.append((owner, name, getattr(owner, name), name in vars(owner)))
        setattr(owner, name, by)

    def _on_socket(self, call: SystemCall, real: Any) -> Any:
        def method(line: socket.socket, *arguments: Any, **named: Any) -> Any:
            to = arguments[0] if call == "connect" else arguments[-1] if call == "sendto" else None
            struck = None
            if call in self.calls and line.family in INTERNET:
                struck = self.strikes(call, lambda fault: _fits_socket(fault, line, to))
            if struck is None:
                return real(line, *arguments, **named)
            if struck.error:
                raise struck.failure()
            return real(line, *_shortened(arguments, struck.short or 1), **named)

        return method

    def _on_send_all(self, real: Any) -> Any:
        def sendall(line: socket.socket, data: Any, flags: int = 0) -> None:
            if "send" not in self.calls:
                real(line, data, flags)
                return
            unsent = memoryview(data).cast("B")
            while unsent:
                unsent = unsent[line.send(unsent, flags) :]

        return sendall

    def _on_creation(self, real: Any) -> Any:
        def create(
            line: socket.socket, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None
        ) -> None:
            if fileno is None and family in (-1, *INTERNET):
                struck = self.strikes("socket", lambda fault: True)
                if struck is not None:
                    raise struck.failure()
            real(line, family, type, proto, fileno)

        return create

    def _on_option(self, real: Any) -> Any:
        def getsockopt(line: socket.socket, level: int, option: int, *size: int) -> Any:
            if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR) and line.family in INTERNET:
                struck = self.strikes("getsockopt", lambda fault: _fits_socket(fault, line, None))
                if struck is not None:
                    return struck.number
            return real(line, level, option, *size)

        return getsockopt

    def _on_wait(self, real: Any) -> Any:
        def select(selector: Any, timeout: float | None = None) -> Any:
            struck = self.strikes("epoll", lambda fault: True)
            if struck is None:
                return real(selector, timeout)
            waits, selector._selector = selector._selector, _Interrupted(struck)
            try:
                return real(selector, timeout)
            finally:
                selector._selector = waits

        return select

    def _on_file(self, real: Any) -> Any:
        def open(file: Any, mode: str = "r", buffering: int = -1, *more: Any, **named: Any) -> Any:
            if isinstance(file, int):
                return real(file, mode, buffering, *more, **named)
            path = os.fspath(file)
            self._raise("open", path)
            if not self.calls & {"read", "write"} or named.get("opener"):
                return real(file, mode, buffering, *more, **named)
            raw = _File(path, mode.replace("b", "").replace("t", ""), self)
            if "b" in mode and buffering == 0:
                return raw
            if "+" in mode:
                whole: Any = io.BufferedRandom(raw)
            else:
                whole = io.BufferedReader(raw) if "r" in mode else io.BufferedWriter(raw)
            return whole if "b" in mode else io.TextIOWrapper(whole, *more, **named)

        return open

    def _raise(self, call: SystemCall, *paths: Any) -> None:
        """Fails a call on files by name, where a fault strikes it."""
        struck = self.strikes(call, lambda fault: any(_fits_path(fault, path) for path in paths))
        if struck is not None:
            raise struck.failure(os.fsdecode(paths[0]))

    def _on_path(self, call: SystemCall, real: Any) -> Any:
        def by_name(path: Any, *more: Any, **named: Any) -> Any:
            self._raise(call, path, *(more[:1] if call == "rename" else ()))
            return real(path, *more, **named)

        return by_name

    def _on_sync(self, real: Any) -> Any:
        def sync(file: Any) -> None:
            number = file if isinstance(file, int) else file.fileno()
            if self.calls & {"fsync", "fsync_folder"}:
                folder = stat.S_ISDIR(os.fstat(number).st_mode)
                self._raise("fsync_folder" if folder else "fsync", _path_of(number))
            real(file)

        return sync

    def _on_descriptor(self, call: SystemCall, real: Any) -> Any:
        def move(number: int, what: Any) -> Any:
            if call not in self.calls or number == self.record or not _is_file(number):
                return real(number, what)
            path = _path_of(number)
            struck = self.strikes(call, lambda fault: _fits_path(fault, path))
            if struck is not None and struck.error:
                raise struck.failure()
            if struck is None:
                return real(number, what)
            return real(number, *_shortened((what,), struck.short or 1))

        return move


class _Interrupted:
    """Takes the place of a selector's epoll for one wait, which a signal ends."""

    def __init__(self, fault: SystemCallFault) -> None:
        self.fault = fault

    def poll(self, *arguments: Any) -> Any:
        raise self.fault.failure()


class _File(io.FileIO):
    """A file whose reads and writes can be struck; what buffers it sees what it would see of the system."""

    def __init__(self, path: Any, mode: str, faults: SystemCallFaults) -> None:
        super().__init__(path, mode)
        self.faults, self.path = faults, path

    def _struck(self, call: SystemCall) -> int | None:
        """The most bytes that this call moves; None: all. Raises OSError."""
        struck = self.faults.strikes(call, lambda fault: _fits_path(fault, self.path))
        if struck is not None and struck.error:
            raise struck.failure()
        return struck.short if struck is not None else None

    def write(self, data: Any, /) -> int:
        most = self._struck("write")
        return super().write(data if most is None else memoryview(data).cast("B")[:most])

    def readinto(self, buffer: Any, /) -> int:
        most = self._struck("read")
        return super().readinto(buffer if most is None else memoryview(buffer).cast("B")[:most])

    def read(self, size: int | None = -1, /) -> bytes:
        if size is None or size < 0:
            return self.readall()
        most = self._struck("read")
        return super().read(size if most is None else min(size, most))

    def readall(self) -> bytes:
        pieces = []
        while piece := self.read(io.DEFAULT_BUFFER_SIZE):
            pieces.append(piece)
        return b"".join(pieces)


def _shortened(arguments: Sequence[Any], most: int) -> tuple[Any, ...]:
    """The arguments of a call that moves bytes, with fewer bytes: its first is data, a list of data, a buffer
    or a size."""
    first, *more = arguments
    if isinstance(first, int):
        return (min(first, most), *more)
    if isinstance(first, list | tuple):
        return ([b"".join(first)[:most]], *more)
    return (memoryview(first).cast("B")[:most], *more)


def _written(address: Any) -> str:
    return f"{address[0]}:{address[1]}"


def _fits_socket(fault: SystemCallFault, line: socket.socket, to: Any) -> bool:
    """Whether a fault strikes a socket with these addresses. to: the peer, where the call itself names it."""
    try:
        if fault.local is not None and not fnmatchcase(_written(line.getsockname()), fault.local):
            return False
        if fault.peer is not None:
            return fnmatchcase(_written(to if to is not None else line.getpeername()), fault.peer)
    except OSError:
        return False
    return True


def _fits_path(fault: SystemCallFault, path: Any) -> bool:
    return fault.path is None or os.path.realpath(os.fsdecode(path)).startswith(os.path.realpath(fault.path))


def _is_file(number: int) -> bool:
    try:
        return stat.S_ISREG(os.fstat(number).st_mode)
    except OSError:
        return False


def _path_of(number: int) -> str:
    return os.readlink(f"/proc/self/fd/{number}")


def in_environment(faults: Iterable[SystemCallFault], record: str | Path = "") -> dict[str, str]:
    """The variables that have a child process, started by this module's main, install these faults."""
    whole = {"faults": [asdict(one) for one in faults], "record": str(record)}
    return {ENVIRONMENT: orjson.dumps(whole).decode()}


def from_environment(environment: Mapping[str, str]) -> SystemCallFaults:
    """The faults of `in_environment`, to be installed; none where there is no such variable."""
    whole = orjson.loads(environment.get(ENVIRONMENT, "{}"))
    faults = [SystemCallFault(**one) for one in whole.get("faults", [])]
    return SystemCallFaults(*faults, record=whole.get("record") or None)


def recorded(path: str | Path) -> Counter[tuple[str, str]]:
    """What a process has injected: how often, by call and error."""
    try:
        lines = Path(path).read_text().splitlines()
    except FileNotFoundError:
        return Counter()
    return Counter((call, error) for call, error in (line.split() for line in lines))


def main() -> None:
    """Runs a module, with its arguments, with the faults of the environment."""
    module, sys.argv = sys.argv[1], sys.argv[1:]
    from_environment(os.environ).install()
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
