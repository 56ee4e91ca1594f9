"""Operator overrides across disk errors, kills and clock steps: acknowledged overrides are never lost, and an
error answer means that the override had no effect, unless the answer states that it is in effect."""

import fcntl
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from router_bench import entry, info

from applehub import interface as api
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.node import operator_overrides, override_file
from applehub.node.console import CommandError
from applehub.node.discovery import Directory
from applehub.node.operator_overrides import OperatorOverrides
from applehub.node.override_file import OverrideFile, OverrideFileError
from applehub.node.pool import Pools
from applehub.node.shared_state import SharedState
from applehub.settings import read_names

ROOT = Path(__file__).parent.parent
SECOND = 1_000_000_000
NO_EFFECT = "had no effect"
IN_EFFECT = "is in effect, but a loss of power may undo it"


class Process:
    """A router process: its overrides, and the events that it passed to the policy."""

    def __init__(self, folder: Path) -> None:
        self.events: list[api.ServerOverride] = []
        directory = Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), lambda event: None)
        listed = [entry(f"c{number}", "127.0.0.1:1") for number in range(4)]
        directory.apply({"rev": 1, "all": True, "targets": listed})
        self.operator_overrides = OperatorOverrides(directory, self.events.append, SharedState(str(folder)))
        self.operator_overrides.poll()

    def offline_servers(self) -> set[str]:
        """Returns the servers that are offline in this process."""
        return {name for name, override in self.operator_overrides.overrides.items() if override.offline}


def stored(folder: Path) -> dict[str, list[object]]:
    """Returns the content of the file, in the format common to all versions."""
    entries: dict[str, list[object]] = json.loads((folder / "applehub-by-hand.json").read_bytes())
    return entries


def stored_offline(folder: Path) -> set[str]:
    return {name for name, (offline, _) in stored(folder).items() if offline}


# Failing reads


@pytest.mark.parametrize("fresh", [False, True], ids=["same process", "new process"])
@pytest.mark.parametrize(
    ("call", "error"), [("read", "EIO"), ("open", "EMFILE"), ("open", "ENOMEM"), ("open", "EIO")]
)
def test_failing_read_loses_no_acknowledged_override(
    tmp_path: Path, call: SystemCall, error: str, fresh: bool
) -> None:
    """A command during failing reads is rejected without effect, and succeeds once it is repeated."""
    process = Process(tmp_path)
    assert (process.operator_overrides.offline("c0"), process.operator_overrides.offline("c1")) == (
        "+OK",
        "+OK",
    )
    path = str(tmp_path / "applehub-by-hand.json")
    with SystemCallFaults(SystemCallFault(call, error, path=path)) as faults:
        other = Process(tmp_path) if fresh else process
        with pytest.raises(CommandError, match=NO_EFFECT):
            other.operator_overrides.offline("c2")
        assert faults.count(call) > 0
        assert "c2" not in other.offline_servers() and stored_offline(tmp_path) == {"c0", "c1"}
    assert other.operator_overrides.offline("c2") == "+OK"
    assert other.offline_servers() == stored_offline(tmp_path) == {"c0", "c1", "c2"}


def test_change_whose_read_fails_is_applied_at_the_next_poll_and_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    process, other = Process(tmp_path), Process(tmp_path)
    process.operator_overrides.offline("c0")
    with SystemCallFaults(SystemCallFault("read", "EIO", path=str(tmp_path), times=3)):
        for _ in range(3):
            other.operator_overrides.poll()
    assert other.offline_servers() == set() and caplog.text.count("reading operator overrides failed") == 1
    other.operator_overrides.poll()
    assert other.offline_servers() == {"c0"}


def test_failed_command_does_not_hide_an_override_of_the_other_process(tmp_path: Path) -> None:
    """An override of the other process that a failing command has read is still applied."""
    process, other = Process(tmp_path), Process(tmp_path)
    process.operator_overrides.offline("c0")
    with SystemCallFaults(SystemCallFault("fsync", "EIO")), pytest.raises(CommandError, match=NO_EFFECT):
        other.operator_overrides.offline("c1")
    other.operator_overrides.poll()
    assert other.offline_servers() == stored_offline(tmp_path) == {"c0"}


def test_repeated_command_is_not_acknowledged_while_reads_fail(tmp_path: Path) -> None:
    """The other process may have put the server online since the last successful read."""
    process, other = Process(tmp_path), Process(tmp_path)
    process.operator_overrides.offline("c0")
    other.operator_overrides.poll()
    other.operator_overrides.online("c0")
    with (
        SystemCallFaults(SystemCallFault("read", "EIO", path=str(tmp_path))),
        pytest.raises(CommandError, match=NO_EFFECT),
    ):
        process.operator_overrides.offline("c0")
    assert process.operator_overrides.offline("c0") == "+OK" and stored_offline(tmp_path) == {"c0"}


@pytest.mark.parametrize("content", [b'{"c1":', b"", b'{"c1": 1}', b"[]", b'{"c1": [true, "x"]}'])
def test_damaged_file_is_rewritten_only_by_a_process_that_knows_its_overrides(
    tmp_path: Path, content: bytes
) -> None:
    """A process that has not read the undamaged file does not know its overrides and rejects commands."""
    process = Process(tmp_path)
    process.operator_overrides.offline("c0")
    path = tmp_path / "applehub-by-hand.json"
    path.write_bytes(content)
    other = Process(tmp_path)
    assert other.offline_servers() == set()
    with pytest.raises(CommandError, match=f"{path}.*") as error_info:
        other.operator_overrides.offline("c1")
    assert NO_EFFECT in str(error_info.value) and path.read_bytes() == content
    with pytest.raises(OverrideFileError):
        OverrideFile(str(tmp_path)).read_if_changed()
    assert process.operator_overrides.offline("c0") == "+OK"  # a repeated command rewrites the file
    assert stored_offline(tmp_path) == {"c0"}
    assert other.operator_overrides.offline("c1") == "+OK"
    assert other.offline_servers() == stored_offline(tmp_path) == {"c0", "c1"}


# Failing writes

ERRORS: dict[SystemCall, list[str]] = {
    "open": ["ENOSPC", "EIO", "EMFILE", "ENFILE", "ENOMEM"],
    "write": ["ENOSPC", "EIO"],
    "fsync": ["ENOSPC", "EIO"],
    "rename": ["ENOSPC", "EIO"],
    "fsync_folder": ["ENOSPC", "EIO"],
}
FAILING_STEPS = [
    (call, error, nth) for call, errors in ERRORS.items() for error in errors for nth in range(1, 13)
]


@pytest.mark.parametrize(("call", "error", "nth"), FAILING_STEPS)
def test_answer_after_a_failing_step_states_whether_the_override_took_effect(
    tmp_path: Path, call: SystemCall, error: str, nth: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The n-th system call of one kind fails during a command for c1. The state in the process, in the file
    and in a new process agrees with the answer, and c0 stays offline."""
    monkeypatch.setattr(operator_overrides, "SYNC_RETRY_INTERVAL", 0.0)
    process = Process(tmp_path)
    process.operator_overrides.offline("c0")
    fault = SystemCallFault(call, error, path=str(tmp_path), from_call=nth, times=1)
    with SystemCallFaults(fault) as faults:
        try:
            answer = process.operator_overrides.offline("c1")
        except CommandError as command_error:
            answer = str(command_error)
        fault_count = faults.count()
    assert (answer == "+OK") or fault_count
    assert answer == "+OK" or NO_EFFECT in answer or IN_EFFECT in answer
    expected = {"c0"} if NO_EFFECT in answer else {"c0", "c1"}
    assert (
        process.offline_servers()
        == stored_offline(tmp_path)
        == Process(tmp_path).offline_servers()
        == expected
    )
    assert not list(tmp_path.glob("*.new"))
    with SystemCallFaults(SystemCallFault("fsync_folder", "EIO", from_call=100)) as counted:
        process.operator_overrides.poll()  # retries a pending sync and nothing else
        assert counted._faults[0][1].calls == (IN_EFFECT in answer)
    assert process.operator_overrides.offline("c1") == "+OK"
    assert process.offline_servers() == stored_offline(tmp_path) == {"c0", "c1"}


@pytest.mark.parametrize(
    ("call", "path", "answer"),
    [
        ("open", "applehub-by-hand.lock", NO_EFFECT),
        ("open", "applehub-by-hand.json.new", NO_EFFECT),
        ("write", "applehub-by-hand.json.new", NO_EFFECT),
        ("fsync", "applehub-by-hand.json.new", NO_EFFECT),
        ("rename", "applehub-by-hand.json", NO_EFFECT),
        ("fsync_folder", "", IN_EFFECT),
        ("open", "applehub-by-hand.times.json.new", ""),
        ("write", "applehub-by-hand.times.json.new", ""),
        ("rename", "applehub-by-hand.times.json", ""),
    ],
)
def test_answer_for_each_step_that_keeps_failing(
    tmp_path: Path, call: SystemCall, path: str, answer: str
) -> None:
    """A command gets the error answer of the failing step; a failure to store times does not reject it."""
    process = Process(tmp_path)
    with SystemCallFaults(SystemCallFault(call, "ENOSPC", path=str(tmp_path / path))) as faults:
        for _ in range(3):
            if answer:
                with pytest.raises(CommandError, match=answer):
                    process.operator_overrides.offline("c0")
            else:
                assert process.operator_overrides.offline("c0") == "+OK"
                assert process.operator_overrides.online("c0") == "+OK"
        assert faults.count() >= 3
        faults.replace()
        assert process.operator_overrides.offline("c0") == "+OK"
    assert process.offline_servers() == stored_offline(tmp_path) == {"c0"}


@pytest.mark.parametrize("released", [False, True])
def test_command_waits_for_the_lock_only_until_the_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, released: bool
) -> None:
    """Another process holds the lock; a command is rejected unless the lock is released in time."""
    process, clock, pauses = Process(tmp_path), 0.0, 0
    with open(tmp_path / "applehub-by-hand.lock", "wb") as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)

        def pause(seconds: float) -> None:
            nonlocal clock, pauses
            clock, pauses = clock + seconds, pauses + 1
            if released and pauses == 3:
                fcntl.flock(lock_file, fcntl.LOCK_UN)

        monkeypatch.setattr(time, "monotonic", lambda: clock)
        monkeypatch.setattr(time, "sleep", pause)
        if released:
            assert process.operator_overrides.offline("c0") == "+OK"
        else:
            with pytest.raises(CommandError, match=NO_EFFECT):
                process.operator_overrides.offline("c0")
        assert clock <= 0.06
    assert process.offline_servers() == ({"c0"} if released else set())


def test_short_reads_and_writes_are_continued(tmp_path: Path) -> None:
    process = Process(tmp_path)
    with SystemCallFaults(
        SystemCallFault("write", short=3, path=str(tmp_path)), SystemCallFault("read", short=2)
    ) as faults:
        assert (process.operator_overrides.offline("c0"), process.operator_overrides.offline("c1")) == (
            "+OK",
            "+OK",
        )
        assert faults.count("write") > 10
        assert Process(tmp_path).offline_servers() == {"c0", "c1"}
    assert stored_offline(tmp_path) == {"c0", "c1"}


def test_failed_folder_sync_is_retried_at_intervals_and_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    now = 1_000.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    process = Process(tmp_path)
    with SystemCallFaults() as faults:
        faults.replace(SystemCallFault("fsync_folder", "EIO"))
        with pytest.raises(CommandError, match=IN_EFFECT):
            process.operator_overrides.offline("c0")
        for _ in range(50):  # polls for 5 s
            now += 0.1
            process.operator_overrides.poll()
        assert 5 <= faults.count() <= 6
        faults.replace()
        now += 1.0
        process.operator_overrides.poll()
    assert caplog.text.count("a power loss may undo them") == 1
    assert caplog.text.count("operator overrides synced to disk again") == 1


# Killed processes

KILLED_SCRIPT = """
import builtins, os, signal, sys
from applehub.node.override_file import OverrideFile

file, step, nth = OverrideFile(sys.argv[1]), sys.argv[2], int(sys.argv[3])
file.write("c0", True)
file.sync()
print("acknowledged", flush=True)
calls = 0


def kill() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def counted(real, after):
    def call(*arguments, **named):
        global calls
        calls += 1
        if calls == nth and not after:
            kill()
        result = real(*arguments, **named)
        if calls == nth and after:
            kill()
        return result
    return call


class HalfWriter:
    def __init__(self, file):
        self.file = file

    def __enter__(self):
        return self

    def __exit__(self, *problem):
        self.file.close()

    def __getattr__(self, name):
        return getattr(self.file, name)

    def write(self, data):
        global calls
        calls += 1
        if calls == nth:
            self.file.write(data[: len(data) // 2])
            self.file.flush()
            kill()
        return self.file.write(data)


real_open = builtins.open
if step == "half a write":
    def open_half_writer(path, mode="r", *more, **named):
        file = real_open(path, mode, *more, **named)
        return HalfWriter(file) if str(path).endswith(".new") else file
    builtins.open = open_half_writer
else:
    name, _, when = step.partition(" ")
    setattr(os, name, counted(getattr(os, name), when == "after"))
file.write("c1", True)
file.sync()
kill()
"""


@pytest.mark.parametrize(
    ("step", "nth"),
    [
        ("half a write", 1),
        ("half a write", 2),
        ("fsync before", 1),
        ("fsync after", 1),
        ("replace before", 1),
        ("replace after", 1),
        ("replace before", 2),
        ("replace after", 2),
        ("fsync before", 2),
        ("fsync after", 2),
    ],
)
def test_kill_at_any_step_leaves_the_file_intact(tmp_path: Path, step: str, nth: int) -> None:
    """A process is killed while it stores c1; the next one reads c0, and c1 if the rename was complete."""
    killed = subprocess.run(
        [sys.executable, "-c", KILLED_SCRIPT, str(tmp_path), step, str(nth)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert (killed.returncode, killed.stdout) == (-9, "acknowledged\n"), killed.stderr
    rename_complete = (step, nth) in [("replace after", 2), ("fsync before", 2), ("fsync after", 2)]
    restarted = Process(tmp_path)
    assert (
        restarted.offline_servers()
        == stored_offline(tmp_path)
        == ({"c0", "c1"} if rename_complete else {"c0"})
    )
    assert restarted.operator_overrides.offline("c2") == "+OK"
    assert (
        Process(tmp_path).offline_servers()
        == restarted.offline_servers()
        == {*stored_offline(tmp_path)}
        >= {"c0", "c2"}
    )


# Times of overrides


class Clocks:
    """Fakes the machine's monotonic and wall clocks."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monotonic, self.wall = 1_000 * SECOND, 1_790_000_000 * SECOND
        monkeypatch.setattr(time, "monotonic_ns", lambda: self.monotonic)
        monkeypatch.setattr(time, "time_ns", lambda: self.wall)

    def wait(self, seconds: float) -> None:
        self.monotonic += int(seconds * SECOND)
        self.wall += int(seconds * SECOND)


@pytest.mark.parametrize("seconds", [3, -3, 3_600, -3_600])
def test_online_time_is_the_same_in_every_process_despite_wall_clock_steps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seconds: int
) -> None:
    """The slow start of c0 has the same monotonic start in both processes and in a later process."""
    clocks = Clocks(monkeypatch)
    process, other = Process(tmp_path), Process(tmp_path)
    process.operator_overrides.offline("c0")
    clocks.wall += seconds * SECOND
    clocks.wait(20)
    online_at = clocks.monotonic
    process.operator_overrides.online("c0")
    clocks.wall += seconds * SECOND
    clocks.wait(0.1)
    other.operator_overrides.poll()
    clocks.wait(5)
    restarted = Process(tmp_path)
    assert [router_process.events[-1] for router_process in (process, other, restarted)] == [
        api.ServerOverride("c0", False, online_at)
    ] * 3


@pytest.mark.parametrize("seconds", [3, -3, 3_600, -3_600])
def test_online_override_expires_after_ten_minutes_of_monotonic_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seconds: int
) -> None:
    clocks = Clocks(monkeypatch)
    process = Process(tmp_path)
    process.operator_overrides.offline("c0")
    process.operator_overrides.online("c0")
    clocks.wall += seconds * SECOND
    clocks.wait(599)
    process.operator_overrides.offline("c1")
    assert set(stored(tmp_path)) == {"c0", "c1"}
    clocks.wait(2)
    process.operator_overrides.offline("c2")
    assert set(stored(tmp_path)) == {"c1", "c2"}  # offline overrides do not expire


@pytest.mark.parametrize("accepted_ms", [1_790_000_000_000 - 300_000, 1_790_000_000_000 + 3_600_000, 1])
@pytest.mark.parametrize(
    "reason", ["an older version's", "before a restart", "no boot id", "of another override"]
)
def test_online_override_without_valid_monotonic_time_counts_from_its_first_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, accepted_ms: int, reason: str
) -> None:
    """The Unix time is ignored; the override expires ten minutes after the first read."""
    clocks = Clocks(monkeypatch)
    (tmp_path / "applehub-by-hand.json").write_text(json.dumps({"c0": [False, accepted_ms], "c1": [True, 5]}))
    if reason != "an older version's":
        stored_boot_id = (
            "" if reason == "no boot id" else "another" if reason == "before a restart" else "this"
        )
        monkeypatch.setattr(override_file, "boot_id", lambda: "" if reason == "no boot id" else "this")
        stored_ms = accepted_ms - 1 if reason == "of another override" else accepted_ms
        times = {"boot_id": stored_boot_id, "made": {"c0": [stored_ms, 5 * SECOND], "c1": [5, 5 * SECOND]}}
        (tmp_path / "applehub-by-hand.times.json").write_text(json.dumps(times))
    process = Process(tmp_path)
    assert api.ServerOverride(
        "c0", False, clocks.monotonic
    ) in process.events and process.offline_servers() == {"c1"}
    clocks.wait(590)
    process.operator_overrides.offline("c2")
    assert set(stored(tmp_path)) == {"c0", "c1", "c2"}
    clocks.wait(20)
    process.operator_overrides.offline("c3")
    assert set(stored(tmp_path)) == {"c1", "c2", "c3"}


def test_file_format_stays_readable_by_older_versions(tmp_path: Path) -> None:
    process = Process(tmp_path)
    started_ms = time.time_ns() // 1_000_000
    process.operator_overrides.offline("c0")
    process.operator_overrides.online("c0")
    process.operator_overrides.offline("c1")
    finished_ms = time.time_ns() // 1_000_000
    entries = stored(tmp_path)
    assert {name: offline for name, (offline, _) in entries.items()} == {"c0": False, "c1": True}
    for _, accepted_ms in entries.values():
        assert type(accepted_ms) is int and started_ms <= accepted_ms <= finished_ms


@pytest.mark.parametrize("content", [b"{", b"[]", b'{"boot_id": 1}', b'{"boot_id": "x", "made": []}'])
def test_damaged_times_lose_no_override(tmp_path: Path, content: bytes) -> None:
    process = Process(tmp_path)
    process.operator_overrides.offline("c0")
    (tmp_path / "applehub-by-hand.times.json").write_bytes(content)
    assert Process(tmp_path).offline_servers() == {"c0"}
