"""Tests of system call faults on real sockets and files, and of their removal."""

import asyncio
import errno
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from applehub.lab.fleet.system_call_faults import (
    SystemCallFault,
    SystemCallFaults,
    in_environment,
    recorded,
)

TIMEOUT_S = 10.0


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        first = socket.create_connection(listener.getsockname(), timeout=TIMEOUT_S)
        second, _ = listener.accept()
        return first, second


def port_pattern(sock: socket.socket) -> str:
    return f"*:{sock.getsockname()[1]}"


def test_accept_fails_the_given_number_of_times_and_accepts_no_connection() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        SystemCallFaults(SystemCallFault("accept", "ENFILE", from_call=2, times=2)) as faults,
        socket.create_connection(listener.getsockname(), timeout=TIMEOUT_S),
        socket.create_connection(listener.getsockname(), timeout=TIMEOUT_S),
    ):
        listener.accept()[0].close()
        for _ in range(2):
            with pytest.raises(OSError, match="Too many open files in system") as caught:
                listener.accept()
            assert caught.value.errno == errno.ENFILE
        listener.accept()[0].close()
        assert faults.count("accept", "ENFILE") == faults.count() == 2


def test_fault_is_injected_into_every_nth_call() -> None:
    with SystemCallFaults(SystemCallFault("socket", "EMFILE", from_call=2, every=3)) as faults:
        failed = []
        for call in range(1, 9):
            try:
                socket.socket().close()
            except OSError:
                failed.append(call)
        assert failed == [2, 5, 8] and faults.count() == 3


def test_fault_ends_for_s_after_its_first_injection() -> None:
    with SystemCallFaults(SystemCallFault("socket", "ENOBUFS", for_s=0.05)) as faults:
        attempts = 0
        while True:
            attempts += 1
            try:
                socket.socket().close()
                break
            except OSError as error:
                assert error.errno == errno.ENOBUFS
        assert faults.count("socket", "ENOBUFS") == attempts - 1 >= 1


def test_fault_affects_only_matching_addresses() -> None:
    first, second = connected_sockets()
    with (
        first,
        second,
        SystemCallFaults(SystemCallFault("recv", "ETIMEDOUT", local=port_pattern(first))) as faults,
    ):
        first.sendall(b"a")
        assert second.recv(1) == b"a"
        second.sendall(b"b")
        with pytest.raises(TimeoutError):
            first.recv_into(bytearray(1))
        faults.replace(SystemCallFault("recv", "EHOSTUNREACH", peer=port_pattern(first)))
        assert first.recv(1) == b"b"
        with pytest.raises(OSError, match="No route to host"):
            second.recv(1)
        assert faults.count("recv") == 2


def test_sends_are_short_or_fail() -> None:
    first, second = connected_sockets()
    faults = SystemCallFaults(
        SystemCallFault("send", short=3, times=1),
        SystemCallFault("send", "ECONNRESET", times=1),
        SystemCallFault("sendmsg", short=2),
    )
    with first, second, faults:
        assert first.send(b"abcdef") == 3
        with pytest.raises(ConnectionResetError):
            first.send(b"def")
        assert first.sendmsg([b"d", b"ef"]) == 2
        assert first.send(b"f") == 1
        assert second.recv(100) == b"abcdef"
        assert faults.count("send", "short") == 1
        faults.replace(SystemCallFault("send", short=1))
        first.sendall(b"abc")
        assert [second.recv(1) for _ in range(3)] == [b"a", b"b", b"c"]
        assert faults.count("send", "short") == 4


def test_datagrams_fail() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first:
        first.bind(("127.0.0.1", 0))
        with SystemCallFaults(SystemCallFault("sendto", "ENETUNREACH", peer=port_pattern(first))) as faults:
            with pytest.raises(OSError, match="Network is unreachable"):
                first.sendto(b"a", first.getsockname())
            assert faults.count("sendto") == 1


async def test_connect_fails_at_once_or_on_completion() -> None:
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    with SystemCallFaults(SystemCallFault("connect", "EADDRNOTAVAIL", times=1)) as faults:
        with pytest.raises(OSError, match="assign requested") as caught:
            await asyncio.open_connection(*address)
        assert caught.value.errno == errno.EADDRNOTAVAIL
        faults.replace(SystemCallFault("getsockopt", "EHOSTUNREACH", times=1))
        with pytest.raises(OSError) as caught:
            await asyncio.open_connection(*address)
        assert caught.value.errno == errno.EHOSTUNREACH
        _, writer = await asyncio.open_connection(*address)
        writer.close()
        assert faults.count("connect") == faults.count("getsockopt") == 1
    server.close()


async def test_interrupted_wait_returns_no_events() -> None:
    with SystemCallFaults(SystemCallFault("epoll", "EINTR", times=3)) as faults:
        async with asyncio.timeout(TIMEOUT_S):
            while faults.count("epoll", "EINTR") < 3:
                await asyncio.sleep(0)
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("call", ["open", "read", "write", "fsync", "fsync_folder", "rename"])
def test_file_call_fails_only_below_the_path_of_the_fault(tmp_path: Path, call: str) -> None:
    def use_files(folder: Path) -> None:
        with open(folder / "new", "wb") as file:
            file.write(b"content")
            file.flush()
            os.fsync(file.fileno())
        os.replace(folder / "new", folder / "old")
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        with open(folder / "old") as text:
            assert text.read() == "content"

    affected, other = tmp_path / "affected", tmp_path / "other"
    affected.mkdir()
    other.mkdir()
    with SystemCallFaults(SystemCallFault(call, "EIO", path=str(affected))) as faults:  # type: ignore[arg-type]
        use_files(other)
        assert faults.count() == 0
        with pytest.raises(OSError, match="Input/output error"):
            use_files(affected)
        assert faults.count(call) >= 1  # type: ignore[arg-type]
    use_files(affected)


def test_write_is_short_and_then_fails_with_disk_full(tmp_path: Path) -> None:
    path = tmp_path / "file"
    short_write, disk_full = SystemCallFault("write", short=3, times=1), SystemCallFault("write", "ENOSPC")
    with (
        SystemCallFaults(short_write, disk_full) as faults,
        pytest.raises(OSError, match="No space left"),
        open(path, "wb", buffering=0) as file,
    ):
        assert file.write(b"content") == 3
        file.write(b"tent")
    assert path.read_bytes() == b"con"
    assert faults.count("write", "short") == faults.count("write", "ENOSPC") == 1


def test_reads_are_short_and_descriptor_calls_get_faults(tmp_path: Path) -> None:
    path = tmp_path / "file"
    path.write_bytes(b"content")
    with SystemCallFaults(SystemCallFault("read", short=2, path=str(path))) as faults:
        assert path.open("rb").read() == b"content"
        descriptor = os.open(path, os.O_RDWR)
        assert os.read(descriptor, 100) == b"co"
        faults.replace(SystemCallFault("write", "EIO"))
        with pytest.raises(OSError, match="Input/output"):
            os.write(descriptor, b"x")
        os.close(descriptor)


def test_all_patches_are_removed() -> None:
    names = ("accept", "connect", "send", "recv_into", "getsockopt", "__init__")
    before = [getattr(socket.socket, name) for name in names], open, os.open, os.fsync, os.replace
    with SystemCallFaults():
        assert socket.socket.send is not before[0][2]
    assert before == ([getattr(socket.socket, name) for name in names], open, os.open, os.fsync, os.replace)
    assert "send" not in vars(socket.socket)


def test_child_process_records_its_injections(tmp_path: Path) -> None:
    record = tmp_path / "record"
    faults = [SystemCallFault("socket", "EMFILE", times=2)]
    (tmp_path / "child.py").write_text(
        "import socket, sys\n"
        "for _ in range(3):\n"
        "    try:\n"
        "        socket.socket().close()\n"
        "        print('opened', *sys.argv[1:])\n"
        "    except OSError as problem:\n"
        "        print(problem.strerror)\n"
    )
    path = os.pathsep.join([str(Path(__file__).parent.parent), str(tmp_path)])
    completed = subprocess.run(
        [sys.executable, "-m", "applehub.lab.fleet.system_call_faults", "child", "with", "words"],
        env={**os.environ, "PYTHONPATH": path, **in_environment(faults, record)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.stdout.splitlines() == ["Too many open files"] * 2 + ["opened with words"], (
        completed.stderr
    )
    assert recorded(record) == {("socket", "EMFILE"): 2}


@pytest.mark.parametrize(
    "fields",
    [
        {"call": "accept"},
        {"call": "accept", "error": "ENOTHING"},
        {"call": "listen", "error": "EIO"},
        {"call": "accept", "short": 1},
        {"call": "accept", "error": "EIO", "every": 0},
        {"call": "send", "short": 1, "error": "EIO"},
    ],
)
def test_fault_with_invalid_fields_is_rejected(fields: dict[str, object]) -> None:
    with pytest.raises(ValueError):
        SystemCallFault(**fields)  # type: ignore[arg-type]
