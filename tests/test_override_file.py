"""Operators' calls on a disk that refuses, over kills, and while wall clocks are stepped: what was
acknowledged is owed, and an error answer means that nothing took effect or says what is not known."""

import fcntl
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from peers import entry, info

from applehub import interface as api
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.node import operator_overrides, override_file
from applehub.node.console import CallError
from applehub.node.discovery import Directory
from applehub.node.operator_overrides import OperatorOverrides
from applehub.node.override_file import OverrideFile, OverrideFileError
from applehub.node.pool import Pools
from applehub.node.shared_state import Shared
from applehub.settings import read_names

ROOT = Path(__file__).parent.parent
SECOND = 1_000_000_000
NO_EFFECT = "had no effect"
IN_EFFECT = "is in effect, but a loss of power may undo it"


class Process:
    """A process of the router: its overrides, and what it told the decisions."""

    def __init__(self, folder: Path) -> None:
        self.told: list[api.ByHand] = []
        directory = Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), lambda event: None)
        listed = [entry(f"c{number}", "127.0.0.1:1") for number in range(4)]
        directory.take({"rev": 1, "all": True, "targets": listed})
        self.hands = OperatorOverrides(directory, self.told.append, Shared(str(folder)))
        self.hands.look()

    def out(self) -> set[str]:
        """The servers that are out by hand in this process."""
        return {name for name, one in self.hands.overrides.items() if one.out}


def stored(folder: Path) -> dict[str, list[object]]:
    """What the file holds, as every version reads it."""
    calls: dict[str, list[object]] = json.loads((folder / "applehub-by-hand.json").read_bytes())
    return calls


def stored_out(folder: Path) -> set[str]:
    return {name for name, (out, _) in stored(folder).items() if out}


# Reads that fail


@pytest.mark.parametrize("fresh", [False, True], ids=["same process", "new process"])
@pytest.mark.parametrize(
    ("call", "error"), [("read", "EIO"), ("open", "EMFILE"), ("open", "ENOMEM"), ("open", "EIO")]
)
def test_a_read_that_fails_costs_no_acknowledged_call(
    tmp_path: Path, call: SystemCall, error: str, fresh: bool
) -> None:
    """Set up: calls for c0 and c1; then reads of the file fail, and c2 is called for. Expected: the call is
    refused and has no effect; all three are there once it is repeated."""
    one = Process(tmp_path)
    assert (one.hands.offline("c0"), one.hands.offline("c1")) == ("+OK", "+OK")
    path = str(tmp_path / "applehub-by-hand.json")
    with SystemCallFaults(SystemCallFault(call, error, path=path)) as faults:
        two = Process(tmp_path) if fresh else one
        with pytest.raises(CallError, match=NO_EFFECT):
            two.hands.offline("c2")
        assert faults.count(call) > 0
        assert "c2" not in two.out() and stored_out(tmp_path) == {"c0", "c1"}
    assert two.hands.offline("c2") == "+OK"
    assert two.out() == stored_out(tmp_path) == {"c0", "c1", "c2"}


def test_a_change_whose_read_fails_is_read_at_the_next_look_and_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    one, two = Process(tmp_path), Process(tmp_path)
    one.hands.offline("c0")
    with SystemCallFaults(SystemCallFault("read", "EIO", path=str(tmp_path), times=3)):
        for _ in range(3):
            two.hands.look()
    assert two.out() == set() and caplog.text.count("can't be read") == 1
    two.hands.look()
    assert two.out() == {"c0"}


def test_a_call_that_reads_nothing_does_not_hide_what_the_other_process_wrote(tmp_path: Path) -> None:
    """Set up: one process writes; another's call reads that, but can't be kept itself. Expected: the first
    process's call is applied in the second all the same."""
    one, two = Process(tmp_path), Process(tmp_path)
    one.hands.offline("c0")
    with SystemCallFaults(SystemCallFault("fsync", "EIO")), pytest.raises(CallError, match=NO_EFFECT):
        two.hands.offline("c1")
    two.hands.look()
    assert two.out() == stored_out(tmp_path) == {"c0"}


def test_a_call_that_seems_made_is_not_acknowledged_while_the_file_cant_be_read(tmp_path: Path) -> None:
    """The other process may have called the server back meanwhile."""
    one, two = Process(tmp_path), Process(tmp_path)
    one.hands.offline("c0")
    two.hands.look()
    two.hands.online("c0")
    with (
        SystemCallFaults(SystemCallFault("read", "EIO", path=str(tmp_path))),
        pytest.raises(CallError, match=NO_EFFECT),
    ):
        one.hands.offline("c0")
    assert one.hands.offline("c0") == "+OK" and stored_out(tmp_path) == {"c0"}


@pytest.mark.parametrize("content", [b'{"c1":', b"", b'{"c1": 1}', b"[]", b'{"c1": [true, "x"]}'])
def test_a_damaged_file_is_written_anew_by_a_process_that_knows_the_calls_alone(
    tmp_path: Path, content: bytes
) -> None:
    """A process that never read the file whole would lose the calls in it: it refuses, and logs it once."""
    one = Process(tmp_path)
    one.hands.offline("c0")
    path = tmp_path / "applehub-by-hand.json"
    path.write_bytes(content)
    other = Process(tmp_path)
    assert other.out() == set()
    with pytest.raises(CallError, match=f"{path}.*") as refused:
        other.hands.offline("c1")
    assert NO_EFFECT in str(refused.value) and path.read_bytes() == content
    with pytest.raises(OverrideFileError):
        OverrideFile(str(tmp_path)).changed()
    assert one.hands.offline("c0") == "+OK"  # a repeated call is on the disk when it is acknowledged
    assert stored_out(tmp_path) == {"c0"}
    assert other.hands.offline("c1") == "+OK"
    assert other.out() == stored_out(tmp_path) == {"c0", "c1"}


# Writes that fail

ERRORS: dict[SystemCall, list[str]] = {
    "open": ["ENOSPC", "EIO", "EMFILE", "ENFILE", "ENOMEM"],
    "write": ["ENOSPC", "EIO"],
    "fsync": ["ENOSPC", "EIO"],
    "rename": ["ENOSPC", "EIO"],
    "fsync_folder": ["ENOSPC", "EIO"],
}
STEPS = [(call, error, nth) for call, errors in ERRORS.items() for error in errors for nth in range(1, 13)]


@pytest.mark.parametrize(("call", "error", "nth"), STEPS)
def test_whichever_step_fails_the_answer_says_what_took_effect(
    tmp_path: Path, call: SystemCall, error: str, nth: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Set up: c0 is out; the n-th call of one kind fails while c1 is called for. Expected: c0 stays out; c1
    is out in this process, in the file and in the next process alike, as the answer says."""
    monkeypatch.setattr(operator_overrides, "SYNCHRONISE_AGAIN", 0.0)
    one = Process(tmp_path)
    one.hands.offline("c0")
    fault = SystemCallFault(call, error, path=str(tmp_path), from_call=nth, times=1)
    with SystemCallFaults(fault) as faults:
        try:
            answer = one.hands.offline("c1")
        except CallError as refused:
            answer = str(refused)
        struck = faults.count()
    assert (answer == "+OK") or struck
    assert answer == "+OK" or NO_EFFECT in answer or IN_EFFECT in answer
    expected = {"c0"} if NO_EFFECT in answer else {"c0", "c1"}
    assert one.out() == stored_out(tmp_path) == Process(tmp_path).out() == expected
    assert not list(tmp_path.glob("*.new"))
    with SystemCallFaults(SystemCallFault("fsync_folder", "EIO", from_call=100)) as counted:
        one.hands.look()  # what is owed is tried again, and nothing else
        assert counted._faults[0][1].calls == (IN_EFFECT in answer)
    assert one.hands.offline("c1") == "+OK"
    assert one.out() == stored_out(tmp_path) == {"c0", "c1"}


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
def test_each_step_that_fails_for_a_while_has_its_answer(
    tmp_path: Path, call: SystemCall, path: str, answer: str
) -> None:
    """Set up: one step fails with ENOSPC during three calls. Expected: the answer of that step three times,
    then +OK; that the times can't be kept refuses no call."""
    one = Process(tmp_path)
    with SystemCallFaults(SystemCallFault(call, "ENOSPC", path=str(tmp_path / path))) as faults:
        for _ in range(3):
            if answer:
                with pytest.raises(CallError, match=answer):
                    one.hands.offline("c0")
            else:
                assert one.hands.offline("c0") == "+OK"
                assert one.hands.online("c0") == "+OK"
        assert faults.count() >= 3
        faults.replace()
        assert one.hands.offline("c0") == "+OK"
    assert one.out() == stored_out(tmp_path) == {"c0"}


@pytest.mark.parametrize("released", [False, True])
def test_a_call_waits_for_another_processs_lock_and_not_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, released: bool
) -> None:
    """Set up: the lock is held, as by a process that hangs in a sync, and released at the third try or never.
    Expected: the call is taken then, or refused with no effect; the event loop is not held up for good."""
    one, clock, pauses = Process(tmp_path), 0.0, 0
    with open(tmp_path / "applehub-by-hand.lock", "wb") as held:
        fcntl.flock(held, fcntl.LOCK_EX)

        def pause(seconds: float) -> None:
            nonlocal clock, pauses
            clock, pauses = clock + seconds, pauses + 1
            if released and pauses == 3:
                fcntl.flock(held, fcntl.LOCK_UN)

        monkeypatch.setattr(time, "monotonic", lambda: clock)
        monkeypatch.setattr(time, "sleep", pause)
        if released:
            assert one.hands.offline("c0") == "+OK"
        else:
            with pytest.raises(CallError, match=NO_EFFECT):
                one.hands.offline("c0")
        assert clock <= 0.06
    assert one.out() == ({"c0"} if released else set())


def test_writes_may_be_short(tmp_path: Path) -> None:
    one = Process(tmp_path)
    with SystemCallFaults(
        SystemCallFault("write", short=3, path=str(tmp_path)), SystemCallFault("read", short=2)
    ) as faults:
        assert (one.hands.offline("c0"), one.hands.offline("c1")) == ("+OK", "+OK")
        assert faults.count("write") > 10
        assert Process(tmp_path).out() == {"c0", "c1"}
    assert stored_out(tmp_path) == {"c0", "c1"}


def test_the_folder_is_synchronised_again_at_intervals_with_one_line_an_outage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    now = 1_000.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    one = Process(tmp_path)
    with SystemCallFaults() as faults:
        faults.replace(SystemCallFault("fsync_folder", "EIO"))
        with pytest.raises(CallError, match=IN_EFFECT):
            one.hands.offline("c0")
        for _ in range(50):  # 5 s of looks
            now += 0.1
            one.hands.look()
        assert 5 <= faults.count() <= 6
        faults.replace()
        now += 1.0
        one.hands.look()
    assert caplog.text.count("may not outlive") == 1
    assert caplog.text.count("outlives a loss of power again") == 1


# Kills

KILLED = """
import builtins, os, signal, sys
from applehub.node.override_file import OverrideFile

file, step, nth = OverrideFile(sys.argv[1]), sys.argv[2], int(sys.argv[3])
file.write("c0", True)
file.synchronise()
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


class Half:
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
    def half_open(path, mode="r", *more, **named):
        file = real_open(path, mode, *more, **named)
        return Half(file) if str(path).endswith(".new") else file
    builtins.open = half_open
else:
    name, _, when = step.partition(" ")
    setattr(os, name, counted(getattr(os, name), when == "after"))
file.write("c1", True)
file.synchronise()
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
def test_a_kill_at_any_step_leaves_the_file_whole(tmp_path: Path, step: str, nth: int) -> None:
    """Set up: c0's call is acknowledged; the process is killed with SIGKILL at a step of c1's. Expected: the
    next process knows c0, and c1 from the rename on; it takes further calls."""
    done = subprocess.run(
        [sys.executable, "-c", KILLED, str(tmp_path), step, str(nth)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert (done.returncode, done.stdout) == (-9, "acknowledged\n"), done.stderr
    renamed = (step, nth) in [("replace after", 2), ("fsync before", 2), ("fsync after", 2)]
    after = Process(tmp_path)
    assert after.out() == stored_out(tmp_path) == ({"c0", "c1"} if renamed else {"c0"})
    assert after.hands.offline("c2") == "+OK"
    assert Process(tmp_path).out() == after.out() == {*stored_out(tmp_path)} >= {"c0", "c2"}


# Times


class Clocks:
    """Both clocks of the machine, moved by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monotonic, self.wall = 1_000 * SECOND, 1_790_000_000 * SECOND
        monkeypatch.setattr(time, "monotonic_ns", lambda: self.monotonic)
        monkeypatch.setattr(time, "time_ns", lambda: self.wall)

    def wait(self, seconds: float) -> None:
        self.monotonic += int(seconds * SECOND)
        self.wall += int(seconds * SECOND)


@pytest.mark.parametrize("seconds", [3, -3, 3_600, -3_600])
def test_a_call_back_keeps_its_time_in_every_process_whatever_the_wall_clock_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seconds: int
) -> None:
    """Set up: c0 is taken out and called back, the wall clock stepped before, between and after. Expected: in
    this process, in the other, and in one that starts 5 s later, it is cold since the call back."""
    clocks = Clocks(monkeypatch)
    one, other = Process(tmp_path), Process(tmp_path)
    one.hands.offline("c0")
    clocks.wall += seconds * SECOND
    clocks.wait(20)
    called = clocks.monotonic
    one.hands.online("c0")
    clocks.wall += seconds * SECOND
    clocks.wait(0.1)
    other.hands.look()
    clocks.wait(5)
    late = Process(tmp_path)
    assert [process.told[-1] for process in (one, other, late)] == [api.ByHand("c0", False, called)] * 3


@pytest.mark.parametrize("seconds", [3, -3, 3_600, -3_600])
def test_a_call_back_is_remembered_for_ten_minutes_of_real_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seconds: int
) -> None:
    clocks = Clocks(monkeypatch)
    one = Process(tmp_path)
    one.hands.offline("c0")
    one.hands.online("c0")
    clocks.wall += seconds * SECOND
    clocks.wait(599)
    one.hands.offline("c1")
    assert set(stored(tmp_path)) == {"c0", "c1"}
    clocks.wait(2)
    one.hands.offline("c2")
    assert set(stored(tmp_path)) == {"c1", "c2"}  # what is out is never forgotten


@pytest.mark.parametrize("at_ms", [1_790_000_000_000 - 300_000, 1_790_000_000_000 + 3_600_000, 1])
@pytest.mark.parametrize(
    "reason", ["an older version's", "before a restart", "no boot id", "of another call"]
)
def test_a_call_back_with_no_time_of_this_machines_clock_counts_as_made_when_it_is_first_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, at_ms: int, reason: str
) -> None:
    """Whatever its Unix time says: the careful side is that the server is cold. It keeps this time, and is
    forgotten ten minutes later."""
    clocks = Clocks(monkeypatch)
    (tmp_path / "applehub-by-hand.json").write_text(json.dumps({"c0": [False, at_ms], "c1": [True, 5]}))
    if reason != "an older version's":
        identifier = "" if reason == "no boot id" else "another" if reason == "before a restart" else "this"
        monkeypatch.setattr(override_file, "boot_id", lambda: "" if reason == "no boot id" else "this")
        at = at_ms - 1 if reason == "of another call" else at_ms
        times = {"boot_id": identifier, "made": {"c0": [at, 5 * SECOND], "c1": [5, 5 * SECOND]}}
        (tmp_path / "applehub-by-hand.times.json").write_text(json.dumps(times))
    one = Process(tmp_path)
    assert api.ByHand("c0", False, clocks.monotonic) in one.told and one.out() == {"c1"}
    clocks.wait(590)
    one.hands.offline("c2")
    assert set(stored(tmp_path)) == {"c0", "c1", "c2"}
    clocks.wait(20)
    one.hands.offline("c3")
    assert set(stored(tmp_path)) == {"c1", "c2", "c3"}


def test_an_older_version_reads_the_file_as_before(tmp_path: Path) -> None:
    one = Process(tmp_path)
    before = time.time_ns() // 1_000_000
    one.hands.offline("c0")
    one.hands.online("c0")
    one.hands.offline("c1")
    after = time.time_ns() // 1_000_000
    calls = stored(tmp_path)
    assert {name: out for name, (out, _) in calls.items()} == {"c0": False, "c1": True}
    for _, at in calls.values():
        assert type(at) is int and before <= at <= after


@pytest.mark.parametrize("content", [b"{", b"[]", b'{"boot_id": 1}', b'{"boot_id": "x", "made": []}'])
def test_damaged_times_cost_no_call(tmp_path: Path, content: bytes) -> None:
    one = Process(tmp_path)
    one.hands.offline("c0")
    (tmp_path / "applehub-by-hand.times.json").write_bytes(content)
    assert Process(tmp_path).out() == {"c0"}
