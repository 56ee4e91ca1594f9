"""Files stored by a router of commit 0447801 are read and updated by this version.

The files in `stored/router_0447801` hold a server list of versions 41 and 42 (two saves), statistics of two
servers, operator overrides for c0 (offline) and c1 (offline, then online), and a store of format 3 with three
saves."""

import shutil
import time
from pathlib import Path

import pytest

from applehub import interface as api
from applehub.durable.folder import Folder
from applehub.durable.store import Store, StoreError
from applehub.node.override_file import Override, OverrideFile
from applehub.node.persisted_list import PersistedList
from applehub.node.persisted_statistics import PersistedStatistics

STORED = Path(__file__).parent / "stored" / "router_0447801"
STATISTICS_WALL_MS = 1796208787391  # Unix time of the save in ms, as stored in the file


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Returns a copy of the stored files, since a store locks and replaces files."""
    return Path(shutil.copytree(STORED, tmp_path / "stored"))


def test_store_returns_its_latest_value_and_accepts_new_ones(folder: Path) -> None:
    store = Store(Folder(str(folder)), "value", 3)
    loaded = store.open()
    assert (loaded.value, loaded.generation, loaded.skipped_files) == (bytes(range(256)), 3, [])
    store.save(b"fourth")
    store.close()
    assert Store(Folder(str(folder)), "value", 3).load().value == b"fourth"


def test_store_of_a_newer_format_is_not_changed(folder: Path) -> None:
    content_before = (folder / "value.0").read_bytes()
    store = Store(Folder(str(folder)), "value", 2)
    assert store.open().value is None
    store.save(b"of the older program")
    assert b"of the older program" in (folder / "value.1").read_bytes()
    assert (folder / "value.0").read_bytes() == content_before
    with pytest.raises(StoreError):
        Store(Folder(str(folder)), "value", 2).open()
    store.close()


def test_list_is_restored_and_from_the_older_save_if_the_newer_is_damaged(folder: Path) -> None:
    known = PersistedList(str(folder)).load({"rev": 1, "targets": []})
    assert {target["uid"]: target["state"] for target in known["targets"]} == {
        "c0": "Ready",
        "c1": "Ready",
        "c2": "Terminating",
    }
    assert known["targets"][1]["boot_ms"] == 1790000000123
    newer = max(folder.glob("list.[01]"), key=lambda path: path.stat().st_size)
    newer.write_bytes(newer.read_bytes()[:-1])
    known = PersistedList(str(folder)).load({"rev": 1, "targets": []})
    assert {target["uid"] for target in known["targets"]} == {"c0", "c1"}


def test_age_of_statistics_without_monotonic_time_follows_the_wall_clock(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    statistics = PersistedStatistics(str(folder), lambda: api.SavedStatistics(0, {}))
    monkeypatch.setattr(time, "time_ns", lambda: (STATISTICS_WALL_MS + 7_000) * 1_000_000)
    assert statistics.load() == api.SavedStatistics(
        7_000_000_000,
        {"c0": api.ServerStatistics(2e6, 1e6, 1.5, 0.25), "c1": api.ServerStatistics(3e6, 2e6, 1.0, 1.0)},
    )
    monkeypatch.setattr(time, "time_ns", lambda: (STATISTICS_WALL_MS - 1) * 1_000_000)
    assert statistics.load() is None


def test_operator_overrides_are_read_and_extended(folder: Path) -> None:
    file = OverrideFile(str(folder))
    overrides = {"c0": Override(True, 1796208787392, 0), "c1": Override(False, 1796208787396, 0)}
    assert file.read_if_changed() == overrides
    assert set(file.write("c2", True)) == {"c0", "c1", "c2"}
    changed = OverrideFile(str(folder)).read_if_changed()
    assert changed is not None and {name: changed[name] for name in overrides} == overrides
