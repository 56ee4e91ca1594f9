"""The persisted list and statistics on a disk that refuses for a while, and with writes left half done."""

import asyncio
import errno
import os
import threading
from pathlib import Path
from typing import Any

import pytest
from peers import soon

from applehub import interface as api
from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.node import persisted_list, persisted_statistics, saver
from applehub.node.persisted_list import PersistedList
from applehub.node.persisted_statistics import PersistedStatistics
from applehub.node.saver import Saver

REFUSALS: list[tuple[SystemCall, str]] = [
    ("open", "ENOSPC"),
    ("open", "EIO"),
    ("open", "EMFILE"),
    ("read", "EIO"),
    ("write", "ENOSPC"),
    ("write", "EIO"),
    ("fsync", "ENOSPC"),
    ("fsync", "EIO"),
    ("rename", "ENOSPC"),
    ("rename", "EIO"),
    ("fsync_folder", "ENOSPC"),
    ("fsync_folder", "EIO"),
]


def answer(rev: int, *names: str, state: str = "Ready") -> dict[str, Any]:
    return {"rev": rev, "targets": [{"uid": name, "state": state} for name in names]}


def listed(folder: Path) -> set[str]:
    """What the next process starts from."""
    known = PersistedList(str(folder)).load({"rev": 1, "targets": []})
    return {target["uid"] for target in known["targets"]}


def stored(folder: Path, name: str) -> bytes | None:
    return Store(Folder(str(folder)), name, 1).load().value


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Intervals of some milliseconds, for tests that wait for a save."""
    monkeypatch.setattr(persisted_list, "SAVE_INTERVAL", 0.002)
    monkeypatch.setattr(persisted_statistics, "SAVE_INTERVAL", 0.002)
    monkeypatch.setattr(saver, "MAX_PAUSE", 0.01)


@pytest.mark.usefixtures("quick")
@pytest.mark.parametrize(("call", "error"), REFUSALS)
@pytest.mark.parametrize("earlier", [False, True], ids=["first save", "later save"])
async def test_a_list_is_saved_again_once_the_disk_takes_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, call: SystemCall, error: str, earlier: bool
) -> None:
    """Set up: a process before left a list; the disk refuses one kind of call while the list changes twice,
    from the first save on or after one. Expected: the last list is on disk after that, with one line for the
    whole outage."""
    caplog.set_level("INFO")
    before = PersistedList(str(tmp_path))
    before.load({"rev": 1, "targets": []})
    before.update(answer(2, "c0"), False)
    before.close()
    kept = PersistedList(str(tmp_path))
    kept.load({"rev": 1, "targets": []})
    if earlier:
        kept.update(answer(3, "c1"), False)
        await soon(lambda: kept.saved_changes == kept.changes)
        if call == "read":
            kept.saver.store.close()  # it is opened anew, which reads
    with SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path))) as faults:
        kept.update(answer(4, "c1", "c2"), False)
        await soon(lambda: kept.saver.failures >= 3)
        kept.update(answer(5, "c0", state="Gone"), False)
        await soon(lambda: kept.saver.failures >= 6)
        assert faults.count(call, error) >= 6
        faults.replace()
        await soon(lambda: kept.saved_changes == kept.changes)
    assert listed(tmp_path) == {"c1", "c2"}
    assert caplog.text.count("the list can't be kept") == 1
    assert caplog.text.count("the list is kept again") == 1
    kept.close()


@pytest.mark.usefixtures("quick")
@pytest.mark.parametrize(("call", "error"), REFUSALS)
async def test_statistics_are_saved_again_once_the_disk_takes_them(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, call: SystemCall, error: str
) -> None:
    caplog.set_level("INFO")
    seen = {"c0": api.Seen(2e6, 1e6, 1.5, 0.25)}
    kept = PersistedStatistics(str(tmp_path), lambda: api.Learnt(0, seen))
    before = PersistedStatistics(str(tmp_path), lambda: api.Learnt(0, {}))
    before.close()  # a store that a save has to open, and so to read
    with SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path))) as faults:
        kept.start()
        await soon(lambda: kept.saver.failures >= 4)
        faults.replace()
        await soon(lambda: kept.saver.failures == 0)
    assert b"c0" in (stored(tmp_path, "learnt") or b"")
    assert caplog.text.count("what was learnt can't be kept") == 1
    kept.close()
    found = PersistedStatistics(str(tmp_path), kept.learnt).load()
    assert found is not None and found.servers == seen


@pytest.mark.usefixtures("quick")
async def test_saving_goes_on_where_the_system_gives_no_thread_for_a_while(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen = {"c0": api.Seen(2e6, 1e6, 1.5, 0.25)}
    statistics = PersistedStatistics(str(tmp_path), lambda: api.Learnt(0, seen))
    kept = PersistedList(str(tmp_path))
    with monkeypatch.context() as patch:

        def refuse(thread: threading.Thread) -> None:
            raise RuntimeError("can't start new thread")

        patch.setattr(threading.Thread, "start", refuse)
        statistics.start()
        kept.update(answer(2, "c0"), False)
        await soon(lambda: statistics.saver.failures >= 2 and kept.saver.failures >= 2)
    await soon(lambda: statistics.saver.failures == kept.saver.failures == 0)
    assert stored(tmp_path, "learnt") and listed(tmp_path) == {"c0"}
    statistics.close()
    kept.close()


def test_pauses_between_saves_grow_up_to_a_bound(tmp_path: Path) -> None:
    one = Saver(str(tmp_path), "x", 1, "it")
    pauses = []
    with SystemCallFaults(SystemCallFault("fsync", "EIO")):
        for _ in range(6):
            pauses.append(one.pause(1.0))
            assert not one.save(b"v")
    assert pauses == [1, 2, 4, 8, 8, 8] and one.pause(20.0) == 20.0
    assert one.save(b"v") and one.pause(1.0) == 1.0
    one.close()


def test_a_store_whose_opening_failed_is_opened_anew_and_hides_no_later_save(tmp_path: Path) -> None:
    """Set up: a store with generation 9 on disk; the first open of the next process can't read it. Expected:
    what is saved after that is what the third process finds. (It was written as generation 1 before.)"""
    before = Saver(str(tmp_path), "x", 1, "it")
    for number in range(9):
        assert before.save(b"%d" % number)
    before.close()
    after = Saver(str(tmp_path), "x", 1, "it")
    with SystemCallFaults(SystemCallFault("read", "EIO", times=1, path=str(tmp_path))):
        assert not after.save(b"refused")
    assert after.load() == b"8"
    assert after.save(b"later")
    after.close()
    assert Saver(str(tmp_path), "x", 1, "it").load() == b"later"


@pytest.mark.parametrize("call", ["open", "write", "fsync", "rename"])
def test_a_save_that_was_refused_leaves_the_value_before(tmp_path: Path, call: SystemCall) -> None:
    one = Saver(str(tmp_path), "x", 1, "it")
    assert one.save(b"kept")
    with SystemCallFaults(SystemCallFault(call, "ENOSPC", path=str(tmp_path / "x"))):
        assert not one.save(b"refused")
    assert one.load() == b"kept"
    one.close()


async def test_the_value_at_the_end_is_the_last_even_if_a_save_in_a_thread_comes_late(tmp_path: Path) -> None:
    """Set up: a save waits in its thread while the saver is closed with a newer value. Expected: the newer
    one is on disk."""
    one = Saver(str(tmp_path), "x", 1, "it")
    begun, goes_on, real = threading.Event(), threading.Event(), one.save

    def late(value: bytes) -> bool:
        begun.set()
        goes_on.wait()
        return real(value)

    one.save = late  # type: ignore[method-assign]
    older = asyncio.create_task(one.save_in_thread(b"older"))
    await soon(begun.is_set)
    one.close(b"newest")
    goes_on.set()
    assert not await older
    assert stored(tmp_path, "x") == b"newest"


async def test_a_list_whose_save_fails_while_the_process_ends_is_saved_at_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Set up: the save of a change waits for the disk when the list is closed, and then fails. Expected: the
    close saves the change."""
    kept = PersistedList(str(tmp_path))
    kept.load({"rev": 1, "targets": []})
    begun, goes_on, fsync = threading.Event(), threading.Event(), os.fsync

    def slow_failure(file: int) -> None:
        monkeypatch.setattr(os, "fsync", fsync)
        begun.set()
        goes_on.wait()
        raise OSError(errno.EIO, "refused")

    monkeypatch.setattr(os, "fsync", slow_failure)
    kept.update(answer(2, "c0"), False)
    await soon(begun.is_set)
    closing = asyncio.get_running_loop().run_in_executor(None, kept.close)
    await soon(lambda: kept.saver.closed)
    goes_on.set()
    await closing
    assert listed(tmp_path) == {"c0"}


@pytest.mark.parametrize("name", ["list", "learnt"])
async def test_a_write_left_half_done_is_recognised_at_every_length(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, name: str
) -> None:
    """Set up: two saves; the file of the later one is cut at each of its lengths. Expected: the value before,
    with a line that names the file, and saving goes on."""
    one = Saver(str(tmp_path), name, 1, name)
    assert one.save(b"before") and one.save(b"the later one")
    one.close()
    file = max(tmp_path.glob(f"{name}.[01]"), key=lambda path: path.read_bytes()[6:14])
    whole = file.read_bytes()
    for length in range(len(whole)):
        file.write_bytes(whole[:length])
        caplog.clear()
        assert Saver(str(tmp_path), name, 1, name).load() == b"before"
        assert f"{name} is passed over: {file.name}: byte" in caplog.text
    file.write_bytes(whole[:-1])
    after = Saver(str(tmp_path), name, 1, name)
    assert after.save(b"next") and after.load() == b"next"
    after.close()
