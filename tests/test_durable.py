"""Tests of stores across power loss, process crashes, disk errors and format upgrades."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import pytest

from applehub import interface as api
from applehub.durable.folder import Folder
from applehub.durable.frame import HEADER_SIZE, Frame
from applehub.durable.store import LoadResult, Store, StoreError
from applehub.lab.powerloss import RecordedDisk, search
from applehub.node import persisted_statistics
from applehub.node.persisted_list import PersistedList
from applehub.node.persisted_statistics import PersistedStatistics

VALUES = [b"first", b"a" * 1500, b"b" * 700, b"", b"c" * 1100, bytes(range(256)) * 8]


def make_store(disk: RecordedDisk) -> Store:
    return Store(disk, "x", 1)


def test_store_recovers_from_every_power_loss_state() -> None:
    verdict = search(VALUES, make_store)
    assert verdict.failures == [] and verdict.state_count > 100_000


class StoreWithoutSync(Store):
    def save(self, value: bytes) -> None:
        self.disk.sync = lambda name: None  # type: ignore[method-assign]
        super().save(value)


class StoreWithoutFolderSync(Store):
    def save(self, value: bytes) -> None:
        self.disk.sync_names = lambda: None  # type: ignore[method-assign]
        super().save(value)


class StoreLoadingOlderGeneration(Store):
    def load(self) -> LoadResult:
        loaded = super().load()
        files = [self.disk.read(file) for file in self.files]
        complete = [content for content in files if content and len(content) >= HEADER_SIZE]
        if len(complete) == 2:
            loaded.value = min(complete, key=lambda content: content[6:14])[HEADER_SIZE:]
        return loaded


class StoreWithoutLock(Store):
    def open(self) -> LoadResult:
        self.is_open = True
        return self.load()


@pytest.mark.parametrize(
    "mutant", [StoreWithoutSync, StoreWithoutFolderSync, StoreLoadingOlderGeneration, StoreWithoutLock]
)
def test_search_detects_each_mutant(mutant: type[Store]) -> None:
    assert search(VALUES[:3], lambda disk: mutant(disk, "x", 1), flip_step=7).failures


def test_search_detects_checksum_that_omits_header(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("applehub.durable.frame.crc32", lambda data, start=0: len(data) and data[-1])
    assert search(VALUES[:3], make_store).failures


@pytest.mark.parametrize("operation", ["write", "sync", "rename", "sync_names"])
def test_disk_error_is_raised_and_loses_no_value(operation: str) -> None:
    disk = RecordedDisk()
    store = make_store(disk)
    store.open()
    store.save(b"kept")
    disk.failing_operation = operation
    with pytest.raises(OSError, match=operation):
        store.save(b"refused")
    disk.failing_operation = ""
    assert store.load().value in (b"kept", b"refused")
    for state in disk.crash_states():
        assert make_store(state).load().value in (b"kept", b"refused")
    store.save(b"after")
    assert make_store(disk).load().value == b"after"


def test_store_that_failed_to_load_rejects_saves() -> None:
    """A save without loaded generations could overwrite the newest value."""
    disk = RecordedDisk()
    store = make_store(disk)
    store.open()
    for value in VALUES[:3]:
        store.save(value)
    store.close()
    reopened = make_store(disk)
    disk.failing_operation = "read"
    with pytest.raises(OSError, match="read"):
        reopened.open()
    disk.failing_operation = ""
    with pytest.raises(StoreError, match="not open"):
        reopened.save(b"too early")
    assert make_store(disk).open().value == VALUES[2]  # the lock was released by the failed open
    disk.locked.clear()
    reopened.open()
    reopened.save(b"after")
    assert make_store(disk).load().value == b"after"


def test_value_of_newer_format_is_not_overwritten() -> None:
    disk = RecordedDisk()
    newer = Frame(2, 7, b"of the newer").encode()
    disk.write("x.0", newer)
    store = make_store(disk)
    loaded = store.open()
    assert loaded.value is None and "format 2" in loaded.skipped_files[0]
    store.save(b"one")
    store.save(b"two")
    assert disk.read("x.0") == newer and store.load().value == b"two"


@pytest.mark.parametrize("generations", [(7, 8), (8, 7)])
def test_later_of_two_values_of_newer_format_is_not_overwritten(generations: tuple[int, int]) -> None:
    """Both files have a newer format, and the older program replaces only the earlier one."""
    disk = RecordedDisk()
    contents = [Frame(2, generation, b"%d" % generation).encode() for generation in generations]
    for index, content in enumerate(contents):
        disk.write(f"x.{index}", content)
    store = make_store(disk)
    assert store.open().value is None
    for value in (b"one", b"two"):
        store.save(value)
    later = generations.index(8)
    assert disk.read(f"x.{later}") == contents[later]
    assert make_store(disk).load().value == b"two"


def test_foreign_file_is_reported_and_second_writer_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "x.0").write_bytes(b"not ours, and long enough to be one")
    store = Store(Folder(str(tmp_path)), "x", 1)
    assert "x.0: byte 0" in store.open().skipped_files[0]
    with pytest.raises(StoreError, match="another process"):
        Store(Folder(str(tmp_path)), "x", 1).open()
    store.close()
    Store(Folder(str(tmp_path)), "x", 1).open()


WRITER = """
import sys
from applehub.durable.folder import Folder
from applehub.durable.store import Store
store = Store(Folder(sys.argv[1]), "count", 1)
number = int((store.open().value or b"0")[:6])
while True:
    number += 1
    store.save(b"%06d" % number * 300)
    print(number, flush=True)
"""


def test_value_acknowledged_by_killed_process_is_loaded(tmp_path: Path) -> None:
    acknowledged = 0
    for incarnation in range(8):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        for _ in range(1 + 5 * incarnation):
            acknowledged = int(process.stdout.readline())
        process.kill()
        remaining_output = process.stdout.read().split()
        process.wait()
        acknowledged = int(remaining_output[-1]) if remaining_output else acknowledged
        loaded = Store(Folder(str(tmp_path)), "count", 1).load()
        assert loaded.value in (b"%06d" % acknowledged * 300, b"%06d" % (acknowledged + 1) * 300)
    assert acknowledged >= 8


async def test_router_starts_from_newer_of_persisted_and_configured_list(tmp_path: Path) -> None:
    def entries(*states: str) -> list[dict[str, object]]:
        return [{"uid": f"c{number}", "state": state} for number, state in enumerate(states)]

    configured = {"rev": 4, "all": True, "targets": entries("Ready", "Ready", "Ready")}
    first = PersistedList(str(tmp_path))
    assert first.load(configured) == configured
    first.update({"rev": 6, "targets": entries("Ready", "Terminating", "Gone")}, False)
    first.close()
    second = PersistedList(str(tmp_path))
    assert second.load(configured) == {**configured, "targets": entries("Ready", "Terminating")}
    assert second.load({**configured, "rev": 9})["targets"] == configured["targets"]
    for file in tmp_path.glob("list.?"):
        file.write_bytes(file.read_bytes()[:-1])
    assert PersistedList(str(tmp_path)).load(configured) == configured


async def test_list_save_is_retried_until_store_is_unlocked(tmp_path: Path) -> None:
    other = Store(Folder(str(tmp_path)), "list", 1)
    other.open()
    persisted_list = PersistedList(str(tmp_path))
    persisted_list.load({"rev": 1, "targets": []})
    persisted_list.update({"rev": 2, "targets": [{"uid": "c0", "state": "Ready"}]}, False)
    while not persisted_list.saver.last_save_failed:
        await asyncio.sleep(0.01)
    assert other.load().value is None
    other.close()
    while persisted_list.saver.last_save_failed:
        await asyncio.sleep(0.01)
    assert b"c0" in (other.load().value or b"")
    persisted_list.close()


async def test_statistics_are_loaded_unless_their_age_is_unknown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen = {"c0": api.ServerStatistics(2e6, 1e6, 1.5, 0.25)}
    statistics = PersistedStatistics(str(tmp_path), lambda: api.SavedStatistics(0, seen))
    assert statistics.load() is None
    statistics.close()
    wall, now = time.time_ns(), time.monotonic_ns()
    for step in (0, 3, -3, 3_600, -3_600):  # steps of the wall clock in s, which must not change the age
        monkeypatch.setattr(time, "time_ns", lambda step=step: wall + step * 1_000_000_000)
        monkeypatch.setattr(time, "monotonic_ns", lambda: now + 7_000_000_000)
        loaded_statistics = PersistedStatistics(str(tmp_path), statistics.get_statistics).load()
        assert (
            loaded_statistics is not None
            and loaded_statistics.servers == seen
            and 7_000 <= loaded_statistics.age // 1_000_000 < 8_000
        )
    monkeypatch.setattr(time, "monotonic_ns", lambda: now - 7_000_000_000)  # as if on another machine
    assert PersistedStatistics(str(tmp_path), statistics.get_statistics).load() is None
    monkeypatch.undo()
    for identifier in ("", "of the time before a restart"):
        monkeypatch.setattr(persisted_statistics, "boot_id", lambda identifier=identifier: identifier)
        assert PersistedStatistics(str(tmp_path), statistics.get_statistics).load() is None
    store = Store(Folder(str(tmp_path)), "learnt", 1)
    store.open()
    for value in (
        b"[]",
        b'{"wall_ms": 1, "servers": {"c0": ["x"]}}',
        b'{"wall_ms": 1, "servers": {"c0": [1]}}',
    ):
        store.save(value)
        assert PersistedStatistics(str(tmp_path), statistics.get_statistics).load() is None
