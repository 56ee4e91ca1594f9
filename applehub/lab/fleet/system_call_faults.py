"""Fault injection into the system calls of one process, below asyncio, on real sockets and files.

In the process of a test:

    with SystemCallFaults(SystemCallFault("accept", "ENFILE", for_s=0.1, local=f"*:{port}")) as faults:
        ...
    assert faults.count("accept") > 0

For a child process, the faults are passed as JSON in the environment, with a file that records injections:

    environment = {**os.environ, **in_environment([SystemCallFault("fsync", "EIO")], record=path)}
    command = [sys.executable, "-m", "applehub.lab.fleet.system_call_faults", "applehub"]

This runs `python -m applehub` (or another module, with its arguments) with these faults installed;
`recorded(path)` counts the injections in the file.

The calls are patched on `socket.socket` and selectors and in `builtins` and `os`. Only IPv4 and IPv6 sockets
are affected, not the Unix socket pair that wakes up an event loop. A failing call never reaches the kernel; a
short one reaches it with fewer bytes.
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

ENVIRONMENT_VARIABLE = "SYSTEM_CALL_FAULTS"
INTERNET_FAMILIES = (socket.AF_INET, socket.AF_INET6)
# The system call of each patched socket method.
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
    """Faults of this process, installed until `remove` is called or the context ends.

    The first matching fault applies to a call. Calls made within library functions, such as the socket that
    `create_connection` opens, are affected as well."""

    def __init__(self, *faults: SystemCallFault, record: str | None = None) -> None:
        """record: path of a file to which a line with call and error is appended for each injection."""
        super().__init__(*faults, record=record)
        self._patches: list[tuple[Any, str, Any, bool]] = []

    def __enter__(self) -> Self:
        self.install()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.remove()

    def install(self) -> None:
        """Patches the system calls of this process."""
        for method, call in SOCKET_METHODS.items():
            self._patch(socket.socket, method, self._wrap_socket_method(call, getattr(socket.socket, method)))
        self._patch(socket.socket, "sendall", self._wrap_sendall(socket.socket.sendall))
        self._patch(socket.socket, "__init__", self._wrap_socket_init(socket.socket.__init__))
        self._patch(socket.socket, "getsockopt", self._wrap_getsockopt(socket.socket.getsockopt))
        self._patch(selectors.EpollSelector, "select", self._wrap_select(selectors.EpollSelector.select))
        self._patch(builtins, "open", self._wrap_open(builtins.open))
        self._patch(os, "open", self._wrap_path_call("open", os.open))
        self._patch(os, "read", self._wrap_descriptor_call("read", os.read))
        self._patch(os, "write", self._wrap_descriptor_call("write", os.write))
        for name in ("fsync", "fdatasync"):
            self._patch(os, name, self._wrap_sync(getattr(os, name)))
        for name in ("rename", "replace"):
            self._patch(os, name, self._wrap_path_call("rename", getattr(os, name)))

    def remove(self) -> None:
        """Removes the patches; the counts of injections remain."""
        while self._patches:
            owner, name, original, is_own = self._patches.pop()
            if is_own:
                setattr(owner, name, original)
            else:
                delattr(owner, name)
        if self.record is not None:
            os.close(self.record)
            self.record = None

    def _patch(self, owner: Any, name: str, replacement: Any) -> None:
        self._patches.append((owner, name, getattr(owner, name), name in vars(owner)))
        setattr(owner, name, replacement)

    def _wrap_socket_method(self, call: SystemCall, original: Any) -> Any:
        def method(sock: socket.socket, *arguments: Any, **keywords: Any) -> Any:
            peer = arguments[0] if call == "connect" else arguments[-1] if call == "sendto" else None
            injected = None
            if call in self.calls and sock.family in INTERNET_FAMILIES:
                injected = self.fault_for(call, lambda fault: _matches_socket(fault, sock, peer))
            if injected is None:
                return original(sock, *arguments, **keywords)
            if injected.error:
                raise injected.to_os_error()
            return original(sock, *_with_fewer_bytes(arguments, injected.short or 1), **keywords)

        return method

    def _wrap_sendall(self, original: Any) -> Any:
        def sendall(sock: socket.socket, data: Any, flags: int = 0) -> None:
            if "send" not in self.calls:
                original(sock, data, flags)
                return
            unsent = memoryview(data).cast("B")
            while unsent:
                unsent = unsent[sock.send(unsent, flags) :]

        return sendall

    def _wrap_socket_init(self, original: Any) -> Any:
        def create(
            sock: socket.socket, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None
        ) -> None:
            if fileno is None and family in (-1, *INTERNET_FAMILIES):
                injected = self.fault_for("socket", lambda fault: True)
                if injected is not None:
                    raise injected.to_os_error()
            original(sock, family, type, proto, fileno)

        return create

    def _wrap_getsockopt(self, original: Any) -> Any:
        def getsockopt(sock: socket.socket, level: int, option: int, *size: int) -> Any:
            if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR) and sock.family in INTERNET_FAMILIES:
                injected = self.fault_for("getsockopt", lambda fault: _matches_socket(fault, sock, None))
                if injected is not None:
                    return injected.error_number
            return original(sock, level, option, *size)

        return getsockopt

    def _wrap_select(self, original: Any) -> Any:
        def select(selector: Any, timeout: float | None = None) -> Any:
            injected = self.fault_for("epoll", lambda fault: True)
            if injected is None:
                return original(selector, timeout)
            epoll, selector._selector = selector._selector, _InterruptedEpoll(injected)
            try:
                return original(selector, timeout)
            finally:
                selector._selector = epoll

        return select

    def _wrap_open(self, original: Any) -> Any:
        def open(file: Any, mode: str = "r", buffering: int = -1, *rest: Any, **keywords: Any) -> Any:
            if isinstance(file, int):
                return original(file, mode, buffering, *rest, **keywords)
            path = os.fspath(file)
            self._raise_if_injected("open", path)
            if not self.calls & {"read", "write"} or keywords.get("opener"):
                return original(file, mode, buffering, *rest, **keywords)
            raw = _FaultyFile(path, mode.replace("b", "").replace("t", ""), self)
            if "b" in mode and buffering == 0:
                return raw
            if "+" in mode:
                stream: Any = io.BufferedRandom(raw)
            else:
                stream = io.BufferedReader(raw) if "r" in mode else io.BufferedWriter(raw)
            return stream if "b" in mode else io.TextIOWrapper(stream, *rest, **keywords)

        return open

    def _raise_if_injected(self, call: SystemCall, *paths: Any) -> None:
        """Raises OSError if a fault matches a call on one of the paths."""
        injected = self.fault_for(call, lambda fault: any(_matches_path(fault, path) for path in paths))
        if injected is not None:
            raise injected.to_os_error(os.fsdecode(paths[0]))

    def _wrap_path_call(self, call: SystemCall, original: Any) -> Any:
        def path_call(path: Any, *rest: Any, **keywords: Any) -> Any:
            self._raise_if_injected(call, path, *(rest[:1] if call == "rename" else ()))
            return original(path, *rest, **keywords)

        return path_call

    def _wrap_sync(self, original: Any) -> Any:
        def sync(file: Any) -> None:
            descriptor = file if isinstance(file, int) else file.fileno()
            if self.calls & {"fsync", "fsync_folder"}:
                folder = stat.S_ISDIR(os.fstat(descriptor).st_mode)
                self._raise_if_injected("fsync_folder" if folder else "fsync", _path_of(descriptor))
            original(file)

        return sync

    def _wrap_descriptor_call(self, call: SystemCall, original: Any) -> Any:
        def transfer(descriptor: int, data_or_size: Any) -> Any:
            if call not in self.calls or descriptor == self.record or not _is_file(descriptor):
                return original(descriptor, data_or_size)
            path = _path_of(descriptor)
            injected = self.fault_for(call, lambda fault: _matches_path(fault, path))
            if injected is not None and injected.error:
                raise injected.to_os_error()
            if injected is None:
                return original(descriptor, data_or_size)
            return original(descriptor, *_with_fewer_bytes((data_or_size,), injected.short or 1))

        return transfer


class _InterruptedEpoll:
    """Replaces the epoll object of a selector for one wait, which fails with the fault's error."""

    def __init__(self, fault: SystemCallFault) -> None:
        self.fault = fault

    def poll(self, *arguments: Any) -> Any:
        raise self.fault.to_os_error()


class _FaultyFile(io.FileIO):
    """A raw file with faults in its reads and writes, wrapped by Python's buffered files."""

    def __init__(self, path: Any, mode: str, faults: SystemCallFaults) -> None:
        super().__init__(path, mode)
        self.faults, self.path = faults, path

    def _byte_limit(self, call: SystemCall) -> int | None:
        """Returns the maximum number of bytes that this call transfers, None for no limit. Raises OSError."""
        injected = self.faults.fault_for(call, lambda fault: _matches_path(fault, self.path))
        if injected is not None and injected.error:
            raise injected.to_os_error()
        return injected.short if injected is not None else None

    def write(self, data: Any, /) -> int:
        limit = self._byte_limit("write")
        return super().write(data if limit is None else memoryview(data).cast("B")[:limit])

    def readinto(self, buffer: Any, /) -> int:
        limit = self._byte_limit("read")
        return super().readinto(buffer if limit is None else memoryview(buffer).cast("B")[:limit])

    def read(self, size: int | None = -1, /) -> bytes:
        if size is None or size < 0:
            return self.readall()
        limit = self._byte_limit("read")
        return super().read(size if limit is None else min(size, limit))

    def readall(self) -> bytes:
        chunks = []
        while chunk := self.read(io.DEFAULT_BUFFER_SIZE):
            chunks.append(chunk)
        return b"".join(chunks)


def _with_fewer_bytes(arguments: Sequence[Any], limit: int) -> tuple[Any, ...]:
    """Returns the arguments of a call with its byte count limited.

    The first argument is the data, a list of data, a buffer or a size."""
    first, *rest = arguments
    if isinstance(first, int):
        return (min(first, limit), *rest)
    if isinstance(first, list | tuple):
        return ([b"".join(first)[:limit]], *rest)
    return (memoryview(first).cast("B")[:limit], *rest)


def _format_address(address: Any) -> str:
    return f"{address[0]}:{address[1]}"


def _matches_socket(fault: SystemCallFault, sock: socket.socket, peer: Any) -> bool:
    """Returns whether a fault matches a socket. `peer` is the peer's address if the call passes one."""
    try:
        if fault.local is not None and not fnmatchcase(_format_address(sock.getsockname()), fault.local):
            return False
        if fault.peer is not None:
            return fnmatchcase(_format_address(peer if peer is not None else sock.getpeername()), fault.peer)
    except OSError:
        return False
    return True


def _matches_path(fault: SystemCallFault, path: Any) -> bool:
    return fault.path is None or os.path.realpath(os.fsdecode(path)).startswith(os.path.realpath(fault.path))


def _is_file(descriptor: int) -> bool:
    try:
        return stat.S_ISREG(os.fstat(descriptor).st_mode)
    except OSError:
        return False


def _path_of(descriptor: int) -> str:
    return os.readlink(f"/proc/self/fd/{descriptor}")


def in_environment(faults: Iterable[SystemCallFault], record: str | Path = "") -> dict[str, str]:
    """Returns the environment variables with which a child process that runs `main` installs these faults."""
    settings = {"faults": [asdict(fault) for fault in faults], "record": str(record)}
    return {ENVIRONMENT_VARIABLE: orjson.dumps(settings).decode()}


def from_environment(environment: Mapping[str, str]) -> SystemCallFaults:
    """Reads the faults from `in_environment`, without installing them; none if the variable is unset."""
    settings = orjson.loads(environment.get(ENVIRONMENT_VARIABLE, "{}"))
    faults = [SystemCallFault(**fields) for fields in settings.get("faults", [])]
    return SystemCallFaults(*faults, record=settings.get("record") or None)


def recorded(path: str | Path) -> Counter[tuple[str, str]]:
    """Returns the numbers of injections that a process recorded, by call and error."""
    try:
        lines = Path(path).read_text().splitlines()
    except FileNotFoundError:
        return Counter()
    return Counter((call, error) for call, error in (line.split() for line in lines))


def main() -> None:
    """Installs the faults from the environment, then runs a module with its arguments."""
    module, sys.argv = sys.argv[1], sys.argv[1:]
    from_environment(os.environ).install()
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
