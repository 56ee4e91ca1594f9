"""The persisted server list and statistics across disk errors and partial writes."""

import asyncio
import errno
import os
import threading
from pathlib import Path
from typing import Any

import pytest
from router_bench import wait_until

from applehub import interface as api
from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.node import persisted_list, persisted_statistics, saver
from applehub.node.persisted_list import PersistedList
from applehub.node.persisted_statistics import PersistedStatistics
from applehub.node.saver import Saver

FAILURES: list[tuple[SystemCall, str]] = [
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


def restored_servers(folder: Path) -> set[str]:
    """Returns the servers of the list that the next process loads."""
    known = PersistedList(str(folder)).load({"rev": 1, "targets": []})
    return {target["uid"] for target in known["targets"]}


def stored(folder: Path, name: str) -> bytes | None:
    return Store(Folder(str(folder)), name, 1).load().value


@pytest.fixture
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the intervals for tests that wait for a save."""
    monkeypatch.setattr(persisted_list, "SAVE_INTERVAL", 0.002)
    monkeypatch.setattr(persisted_statistics, "SAVE_INTERVAL", 0.002)
    monkeypatch.setattr(saver, "MAX_BACKOFF", 0.01)


@pytest.mark.usefixtures("short_intervals")
@pytest.mark.parametrize(("call", "error"), FAILURES)
@pytest.mark.parametrize("after_a_save", [False, True], ids=["first save", "later save"])
async def test_list_is_saved_after_a_disk_error_ends(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, call: SystemCall, error: str, after_a_save: bool
) -> None:
    """One system call fails while the list changes twice; failure and recovery are logged once each."""
    caplog.set_level("INFO")
    previous_list = PersistedList(str(tmp_path))
    previous_list.load({"rev": 1, "targets": []})
    previous_list.update(answer(2, "c0"), False)
    previous_list.close()
    persisted = PersistedList(str(tmp_path))
    persisted.load({"rev": 1, "targets": []})
    if after_a_save:
        persisted.update(answer(3, "c1"), False)
        await wait_until(lambda: persisted.saved_changes == persisted.changes)
        if call == "read":
            persisted.saver.store.close()  # the next save opens the store again, which reads its files
    with SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path))) as faults:
        persisted.update(answer(4, "c1", "c2"), False)
        await wait_until(lambda: persisted.saver.failures >= 3)
        persisted.update(answer(5, "c0", state="Gone"), False)
        await wait_until(lambda: persisted.saver.failures >= 6)
        assert faults.count(call, error) >= 6
        faults.replace()
        await wait_until(lambda: persisted.saved_changes == persisted.changes)
    assert restored_servers(tmp_path) == {"c1", "c2"}
    assert caplog.text.count("saving server list failed") == 1
    assert caplog.text.count("saving server list succeeded again") == 1
    persisted.close()


@pytest.mark.usefixtures("short_intervals")
@pytest.mark.parametrize(("call", "error"), FAILURES)
async def test_statistics_are_saved_after_a_disk_error_ends(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, call: SystemCall, error: str
) -> None:
    caplog.set_level("INFO")
    observed = {"c0": api.ServerStatistics(2e6, 1e6, 1.5, 0.25)}
    persisted = PersistedStatistics(str(tmp_path), lambda: api.SavedStatistics(0, observed))
    previous_statistics = PersistedStatistics(str(tmp_path), lambda: api.SavedStatistics(0, {}))
    previous_statistics.close()  # leaves files that the next save reads when it opens the store
    with SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path))) as faults:
        persisted.start()
        await wait_until(lambda: persisted.saver.failures >= 4)
        faults.replace()
        await wait_until(lambda: persisted.saver.failures == 0)
    assert b"c0" in (stored(tmp_path, "learnt") or b"")
    assert caplog.text.count("saving server statistics failed") == 1
    persisted.close()
    loaded = PersistedStatistics(str(tmp_path), persisted.get_statistics).load()
    assert loaded is not None and loaded.servers == observed


@pytest.mark.usefixtures("short_intervals")
async def test_saving_resumes_after_threads_could_not_be_started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    observed = {"c0": api.ServerStatistics(2e6, 1e6, 1.5, 0.25)}
    statistics = PersistedStatistics(str(tmp_path), lambda: api.SavedStatistics(0, observed))
    persisted = PersistedList(str(tmp_path))
    with monkeypatch.context() as patch:

        def fail_to_start(thread: threading.Thread) -> None:
            raise RuntimeError("can't start new thread")

        patch.setattr(threading.Thread, "start", fail_to_start)
        statistics.start()
        persisted.update(answer(2, "c0"), False)
        await wait_until(lambda: statistics.saver.failures >= 2 and persisted.saver.failures >= 2)
    await wait_until(lambda: statistics.saver.failures == persisted.saver.failures == 0)
    assert stored(tmp_path, "learnt") and restored_servers(tmp_path) == {"c0"}
    statistics.close()
    persisted.close()


def test_backoff_between_failed_saves_grows_to_a_limit(tmp_path: Path) -> None:
    value_saver = Saver(str(tmp_path), "x", 1, "it")
    backoffs = []
    with SystemCallFaults(SystemCallFault("fsync", "EIO")):
        for _ in range(6):
            backoffs.append(value_saver.backoff(1.0))
            assert not value_saver.save(b"v")
    assert backoffs == [1, 2, 4, 8, 8, 8] and value_saver.backoff(20.0) == 20.0
    assert value_saver.save(b"v") and value_saver.backoff(1.0) == 1.0
    value_saver.close()


def test_store_whose_open_failed_is_reopened_and_keeps_its_generation(tmp_path: Path) -> None:
    """A failed read must not restart generations at 1, which would make older saves win over later ones."""
    first_saver = Saver(str(tmp_path), "x", 1, "it")
    for number in range(9):
        assert first_saver.save(b"%d" % number)
    first_saver.close()
    second_saver = Saver(str(tmp_path), "x", 1, "it")
    with SystemCallFaults(SystemCallFault("read", "EIO", times=1, path=str(tmp_path))):
        assert not second_saver.save(b"refused")
    assert second_saver.load() == b"8"
    assert second_saver.save(b"later")
    second_saver.close()
    assert Saver(str(tmp_path), "x", 1, "it").load() == b"later"


@pytest.mark.parametrize("call", ["open", "write", "fsync", "rename"])
def test_failed_save_leaves_the_previous_value(tmp_path: Path, call: SystemCall) -> None:
    value_saver = Saver(str(tmp_path), "x", 1, "it")
    assert value_saver.save(b"kept")
    with SystemCallFaults(SystemCallFault(call, "ENOSPC", path=str(tmp_path / "x"))):
        assert not value_saver.save(b"refused")
    assert value_saver.load() == b"kept"
    value_saver.close()


async def test_final_value_is_not_overwritten_by_a_delayed_save(tmp_path: Path) -> None:
    """A save waits in its thread while the saver is closed with a newer value."""
    value_saver = Saver(str(tmp_path), "x", 1, "it")
    save_started, save_may_continue, original_save = threading.Event(), threading.Event(), value_saver.save

    def delayed_save(value: bytes) -> bool:
        save_started.set()
        save_may_continue.wait()
        return original_save(value)

    value_saver.save = delayed_save  # type: ignore[method-assign]
    older_save = asyncio.create_task(value_saver.save_in_thread(b"older"))
    await wait_until(save_started.is_set)
    value_saver.close(b"newest")
    save_may_continue.set()
    assert not await older_save
    assert stored(tmp_path, "x") == b"newest"


async def test_close_saves_a_list_whose_last_save_fails_during_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A save waits for the disk when the list is closed, and then fails."""
    persisted = PersistedList(str(tmp_path))
    persisted.load({"rev": 1, "targets": []})
    save_started, save_may_continue, original_fsync = threading.Event(), threading.Event(), os.fsync

    def slow_failure(file: int) -> None:
        monkeypatch.setattr(os, "fsync", original_fsync)
        save_started.set()
        save_may_continue.wait()
        raise OSError(errno.EIO, "refused")

    monkeypatch.setattr(os, "fsync", slow_failure)
    persisted.update(answer(2, "c0"), False)
    await wait_until(save_started.is_set)
    closing = asyncio.get_running_loop().run_in_executor(None, persisted.close)
    await wait_until(lambda: persisted.saver.closed)
    save_may_continue.set()
    await closing
    assert restored_servers(tmp_path) == {"c0"}


@pytest.mark.parametrize("name", ["list", "learnt"])
async def test_partial_write_is_detected_at_every_length(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, name: str
) -> None:
    """A truncated file is logged and the previous value loaded; later saves succeed."""
    value_saver = Saver(str(tmp_path), name, 1, name)
    assert value_saver.save(b"before") and value_saver.save(b"the later one")
    value_saver.close()
    file = max(tmp_path.glob(f"{name}.[01]"), key=lambda path: path.read_bytes()[6:14])
    content = file.read_bytes()
    for length in range(len(content)):
        file.write_bytes(content[:length])
        caplog.clear()
        assert Saver(str(tmp_path), name, 1, name).load() == b"before"
        assert f"stored {name} ignored: {file.name}: byte" in caplog.text
    file.write_bytes(content[:-1])
    next_saver = Saver(str(tmp_path), name, 1, name)
    assert next_saver.save(b"next") and next_saver.load() == b"next"
    next_saver.close()
