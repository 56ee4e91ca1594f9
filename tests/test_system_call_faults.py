"""The injector of failing system calls does what it tells, to real sockets and files, and undoes it."""

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

PATIENCE = 10.0  # s


def pair() -> tuple[socket.socket, socket.socket]:
    """A connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        one = socket.create_connection(listener.getsockname(), timeout=PATIENCE)
        other, _ = listener.accept()
        return one, other


def port(line: socket.socket) -> str:
    return f"*:{line.getsockname()[1]}"


def test_accept_fails_the_times_it_is_told_and_takes_nobody() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        SystemCallFaults(SystemCallFault("accept", "ENFILE", from_call=2, times=2)) as faults,
        socket.create_connection(listener.getsockname(), timeout=PATIENCE),
        socket.create_connection(listener.getsockname(), timeout=PATIENCE),
    ):
        listener.accept()[0].close()
        for _ in range(2):
            with pytest.raises(OSError, match="Too many open files in system") as caught:
                listener.accept()
            assert caught.value.errno == errno.ENFILE
        listener.accept()[0].close()
        assert faults.count("accept", "ENFILE") == faults.count() == 2


def test_a_fault_strikes_each_so_manieth_call() -> None:
    with SystemCallFaults(SystemCallFault("socket", "EMFILE", from_call=2, every=3)) as faults:
        struck = []
        for call in range(1, 9):
            try:
                socket.socket().close()
            except OSError:
                struck.append(call)
        assert struck == [2, 5, 8] and faults.count() == 3


def test_a_fault_ends_its_time_after_it_first_struck() -> None:
    with SystemCallFaults(SystemCallFault("socket", "ENOBUFS", for_s=0.05)) as faults:
        tries = 0
        while True:
            tries += 1
            try:
                socket.socket().close()
                break
            except OSError as problem:
                assert problem.errno == errno.ENOBUFS
        assert faults.count("socket", "ENOBUFS") == tries - 1 >= 1


def test_a_fault_strikes_the_addresses_that_it_names_alone() -> None:
    one, other = pair()
    with one, other, SystemCallFaults(SystemCallFault("recv", "ETIMEDOUT", local=port(one))) as faults:
        one.sendall(b"a")
        assert other.recv(1) == b"a"
        other.sendall(b"b")
        with pytest.raises(TimeoutError):
            one.recv_into(bytearray(1))
        faults.replace(SystemCallFault("recv", "EHOSTUNREACH", peer=port(one)))
        assert one.recv(1) == b"b"
        with pytest.raises(OSError, match="No route to host"):
            other.recv(1)
        assert faults.count("recv") == 2


def test_sends_are_short_or_fail() -> None:
    one, other = pair()
    faults = SystemCallFaults(
        SystemCallFault("send", short=3, times=1),
        SystemCallFault("send", "ECONNRESET", times=1),
        SystemCallFault("sendmsg", short=2),
    )
    with one, other, faults:
        assert one.send(b"abcdef") == 3
        with pytest.raises(ConnectionResetError):
            one.send(b"def")
        assert one.sendmsg([b"d", b"ef"]) == 2
        assert one.send(b"f") == 1
        assert other.recv(100) == b"abcdef"
        assert faults.count("send", "short") == 1
        faults.replace(SystemCallFault("send", short=1))
        one.sendall(b"abc")
        assert [other.recv(1) for _ in range(3)] == [b"a", b"b", b"c"]
        assert faults.count("send", "short") == 4


def test_datagrams_fail() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(("127.0.0.1", 0))
        with SystemCallFaults(SystemCallFault("sendto", "ENETUNREACH", peer=port(one))) as faults:
            with pytest.raises(OSError, match="Network is unreachable"):
                one.sendto(b"a", one.getsockname())
            assert faults.count("sendto") == 1


async def test_a_connect_fails_at_once_or_as_it_ends() -> None:
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


async def test_a_wait_that_is_interrupted_finds_nothing() -> None:
    with SystemCallFaults(SystemCallFault("epoll", "EINTR", times=3)) as faults:
        async with asyncio.timeout(PATIENCE):
            while faults.count("epoll", "EINTR") < 3:
                await asyncio.sleep(0)
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("call", ["open", "read", "write", "fsync", "fsync_folder", "rename"])
def test_each_call_on_files_fails_in_its_folder_alone(tmp_path: Path, call: str) -> None:
    def use(folder: Path) -> None:
        with open(folder / "new", "wb") as file:
            file.write(b"content")
            file.flush()
            os.fsync(file.fileno())
        os.replace(folder / "new", folder / "old")
        held = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(held)
        finally:
            os.close(held)
        with open(folder / "old") as text:
            assert text.read() == "content"

    struck, other = tmp_path / "struck", tmp_path / "other"
    struck.mkdir()
    other.mkdir()
    with SystemCallFaults(SystemCallFault(call, "EIO", path=str(struck))) as faults:  # type: ignore[arg-type]
        use(other)
        assert faults.count() == 0
        with pytest.raises(OSError, match="Input/output error"):
            use(struck)
        assert faults.count(call) >= 1  # type: ignore[arg-type]
    use(struck)


def test_a_write_is_short_and_then_the_disk_is_full(tmp_path: Path) -> None:
    path = tmp_path / "file"
    half, full = SystemCallFault("write", short=3, times=1), SystemCallFault("write", "ENOSPC")
    with (
        SystemCallFaults(half, full) as faults,
        pytest.raises(OSError, match="No space left"),
        open(path, "wb", buffering=0) as file,
    ):
        assert file.write(b"content") == 3
        file.write(b"tent")
    assert path.read_bytes() == b"con"
    assert faults.count("write", "short") == faults.count("write", "ENOSPC") == 1


def test_short_reads_and_descriptors(tmp_path: Path) -> None:
    path = tmp_path / "file"
    path.write_bytes(b"content")
    with SystemCallFaults(SystemCallFault("read", short=2, path=str(path))) as faults:
        assert path.open("rb").read() == b"content"
        held = os.open(path, os.O_RDWR)
        assert os.read(held, 100) == b"co"
        faults.replace(SystemCallFault("write", "EIO"))
        with pytest.raises(OSError, match="Input/output"):
            os.write(held, b"x")
        os.close(held)


def test_all_is_undone() -> None:
    names = ("accept", "connect", "send", "recv_into", "getsockopt", "__init__")
    before = [getattr(socket.socket, name) for name in names], open, os.open, os.fsync, os.replace
    with SystemCallFaults():
        assert socket.socket.send is not before[0][2]
    assert before == ([getattr(socket.socket, name) for name in names], open, os.open, os.fsync, os.replace)
    assert "send" not in vars(socket.socket)


def test_a_child_process_records_what_it_injects(tmp_path: Path) -> None:
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
    done = subprocess.run(
        [sys.executable, "-m", "applehub.lab.fleet.system_call_faults", "child", "with", "words"],
        env={**os.environ, "PYTHONPATH": path, **in_environment(faults, record)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.stdout.splitlines() == ["Too many open files"] * 2 + ["opened with words"], done.stderr
    assert recorded(record) == {("socket", "EMFILE"): 2}


@pytest.mark.parametrize(
    "told",
    [
        {"call": "accept"},
        {"call": "accept", "error": "ENOTHING"},
        {"call": "listen", "error": "EIO"},
        {"call": "accept", "short": 1},
        {"call": "accept", "error": "EIO", "every": 0},
        {"call": "send", "short": 1, "error": "EIO"},
    ],
)
def test_a_fault_that_makes_no_sense_is_refused(told: dict[str, object]) -> None:
    with pytest.raises(ValueError):
        SystemCallFault(**told)  # type: ignore[arg-type]
