"""Stores: right after any loss of power, over crashes of real processes, on sick disks."""

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


def made(disk: RecordedDisk) -> Store:
    return Store(disk, "x", 1)


def test_a_start_is_right_from_every_state_that_a_loss_of_power_leaves() -> None:
    verdict = search(VALUES, made)
    assert verdict.wrong == [] and verdict.states > 100_000


class NoSync(Store):
    def save(self, value: bytes) -> None:
        self.disk.sync = lambda name: None  # type: ignore[method-assign]
        super().save(value)


class NoFolderSync(Store):
    def save(self, value: bytes) -> None:
        self.disk.sync_names = lambda: None  # type: ignore[method-assign]
        super().save(value)


class OlderFirst(Store):
    def load(self) -> LoadResult:
        loaded = super().load()
        files = [self.disk.read(file) for file in self.files]
        whole = [content for content in files if content and len(content) >= HEADER_SIZE]
        if len(whole) == 2:
            loaded.value = min(whole, key=lambda content: content[6:14])[HEADER_SIZE:]
        return loaded


class NoLock(Store):
    def open(self) -> LoadResult:
        self.is_open = True
        return self.load()


@pytest.mark.parametrize("mutant", [NoSync, NoFolderSync, OlderFirst, NoLock])
def test_each_mutant_is_found(mutant: type[Store]) -> None:
    assert search(VALUES[:3], lambda disk: mutant(disk, "x", 1), flip_step=7).wrong


def test_a_checksum_that_leaves_out_the_head_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("applehub.durable.frame.crc32", lambda data, start=0: len(data) and data[-1])
    assert search(VALUES[:3], made).wrong


@pytest.mark.parametrize("operation", ["write", "sync", "rename", "sync_names"])
def test_a_disk_that_refuses_is_told_and_loses_nothing(operation: str) -> None:
    disk = RecordedDisk()
    store = made(disk)
    store.open()
    store.save(b"kept")
    disk.fails = operation
    with pytest.raises(OSError, match=operation):
        store.save(b"refused")
    disk.fails = ""
    assert store.load().value in (b"kept", b"refused")
    for state in disk.states():
        assert made(state).load().value in (b"kept", b"refused")
    store.save(b"after")
    assert made(disk).load().value == b"after"


def test_a_store_that_could_not_be_read_is_not_open_and_takes_no_value() -> None:
    """Set up: a store of three generations whose opening fails at a read. Expected: nothing can be saved over
    them before it was opened, and what is saved then is what the next start finds."""
    disk = RecordedDisk()
    store = made(disk)
    store.open()
    for value in VALUES[:3]:
        store.save(value)
    store.close()
    after = made(disk)
    disk.fails = "read"
    with pytest.raises(OSError, match="read"):
        after.open()
    disk.fails = ""
    with pytest.raises(StoreError, match="not open"):
        after.save(b"too early")
    assert made(disk).open().value == VALUES[2]  # and another process may hold it
    disk.locked.clear()
    after.open()
    after.save(b"after")
    assert made(disk).load().value == b"after"


def test_what_a_newer_program_keeps_stays_beside_what_an_older_one_writes() -> None:
    disk = RecordedDisk()
    newer = Frame(2, 7, b"of the newer").encode()
    disk.write("x.0", newer)
    store = made(disk)
    loaded = store.open()
    assert loaded.value is None and "format 2" in loaded.skipped_files[0]
    store.save(b"one")
    store.save(b"two")
    assert disk.read("x.0") == newer and store.load().value == b"two"


@pytest.mark.parametrize("generations", [(7, 8), (8, 7)])
def test_of_two_values_of_a_newer_program_the_later_stays(generations: tuple[int, int]) -> None:
    """Set up: both files are of a newer format. Expected: an older program goes on beside the later one."""
    disk = RecordedDisk()
    contents = [Frame(2, generation, b"%d" % generation).encode() for generation in generations]
    for place, content in enumerate(contents):
        disk.write(f"x.{place}", content)
    store = made(disk)
    assert store.open().value is None
    for value in (b"one", b"two"):
        store.save(value)
    later = generations.index(8)
    assert disk.read(f"x.{later}") == contents[later]
    assert made(disk).load().value == b"two"


def test_a_foreign_file_is_named_with_its_offset_and_a_second_writer_refused(tmp_path: Path) -> None:
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


def test_what_a_killed_process_said_yes_to_is_there_at_the_next_start(tmp_path: Path) -> None:
    said = 0
    for life in range(8):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        for _ in range(1 + 5 * life):
            said = int(process.stdout.readline())
        process.kill()
        rest = process.stdout.read().split()
        process.wait()
        said = int(rest[-1]) if rest else said
        loaded = Store(Folder(str(tmp_path)), "count", 1).load()
        assert loaded.value in (b"%06d" % said * 300, b"%06d" % (said + 1) * 300)
    assert said >= 8


async def test_a_router_starts_from_the_newer_of_the_kept_list_and_the_one_it_is_told(tmp_path: Path) -> None:
    def entries(*states: str) -> list[dict[str, object]]:
        return [{"uid": f"c{number}", "state": state} for number, state in enumerate(states)]

    told = {"rev": 4, "all": True, "targets": entries("Ready", "Ready", "Ready")}
    first = PersistedList(str(tmp_path))
    assert first.load(told) == told
    first.update({"rev": 6, "targets": entries("Ready", "Terminating", "Gone")}, False)
    first.close()
    second = PersistedList(str(tmp_path))
    assert second.load(told) == {**told, "targets": entries("Ready", "Terminating")}
    assert second.load({**told, "rev": 9})["targets"] == told["targets"]
    for file in tmp_path.glob("list.?"):
        file.write_bytes(file.read_bytes()[:-1])
    assert PersistedList(str(tmp_path)).load(told) == told


async def test_a_list_is_saved_beside_the_loop_and_again_once_the_folder_is_let_go(tmp_path: Path) -> None:
    other = Store(Folder(str(tmp_path)), "list", 1)
    other.open()
    kept = PersistedList(str(tmp_path))
    kept.load({"rev": 1, "targets": []})
    kept.update({"rev": 2, "targets": [{"uid": "c0", "state": "Ready"}]}, False)
    while not kept.saver.complained:
        await asyncio.sleep(0.01)
    assert other.load().value is None
    other.close()
    while kept.saver.complained:
        await asyncio.sleep(0.01)
    assert b"c0" in (other.load().value or b"")
    kept.close()


async def test_what_was_learnt_is_taken_up_unless_its_age_is_unknown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen = {"c0": api.Seen(2e6, 1e6, 1.5, 0.25)}
    kept = PersistedStatistics(str(tmp_path), lambda: api.Learnt(0, seen))
    assert kept.load() is None
    kept.close()
    wall, now = time.time_ns(), time.monotonic_ns()
    for step in (0, 3, -3, 3_600, -3_600):  # s of the wall clock, from which no age is taken
        monkeypatch.setattr(time, "time_ns", lambda step=step: wall + step * 1_000_000_000)
        monkeypatch.setattr(time, "monotonic_ns", lambda: now + 7_000_000_000)
        found = PersistedStatistics(str(tmp_path), kept.learnt).load()
        assert found is not None and found.servers == seen and 7_000 <= found.age // 1_000_000 < 8_000
    monkeypatch.setattr(time, "monotonic_ns", lambda: now - 7_000_000_000)  # that of another machine
    assert PersistedStatistics(str(tmp_path), kept.learnt).load() is None
    monkeypatch.undo()
    for identifier in ("", "of the time before a restart"):
        monkeypatch.setattr(persisted_statistics, "boot_id", lambda identifier=identifier: identifier)
        assert PersistedStatistics(str(tmp_path), kept.learnt).load() is None
    store = Store(Folder(str(tmp_path)), "learnt", 1)
    store.open()
    for value in (
        b"[]",
        b'{"wall_ms": 1, "servers": {"c0": ["x"]}}',
        b'{"wall_ms": 1, "servers": {"c0": [1]}}',
    ):
        store.save(value)
        assert PersistedStatistics(str(tmp_path), kept.learnt).load() is None
