"""Tests that stored data and peer messages of an earlier version are readable."""

import asyncio
import shutil
from pathlib import Path

import pytest

from applehub.registry import wire
from applehub.registry.commands import ServerState, SetState
from applehub.registry.host import Host, HostOptions
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)
from applehub.registry.store import ReplicaStore

# Store written at commit 0447801: a single replica, eight commands, then a compaction.
STORED = Path(__file__).parent / "stored" / "registry_0447801"
FIELDS = {
    "endpoint": "127.0.0.1:1", "az": "a", "model": "m", "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 7,
}  # fmt: skip
ENTRIES = [  # uid, endpoints by view, lease_ms, state, version, suspect
    ("a", {"v": "127.0.0.1:2"}, 1000, "Gone", 54, False),
    ("b", {"v": "127.0.0.1:2"}, 0, "Terminating", 52, False),
    ("c", {"v": "127.0.0.1:2"}, 1000, "Ready", 53, False),
    ("d", {}, 1000, "Ready", 55, False),
]
CHANGES = [(50, "a"), (51, "b"), (52, "b"), (53, "c"), (54, "a"), (55, "d")]

LINES: dict[bytes, Message] = {
    b'{"kind":"Ask","from":2,"term":3,"trial":true,"last_index":7,"last_term":2}\n': RequestVote(
        3, True, 7, 2
    ),
    b'{"kind":"Vote","from":2,"term":3,"trial":false,"granted":true}\n': RequestVoteResponse(3, False, True),
    b'{"kind":"Append","from":2,"term":3,"prev_index":6,"prev_term":2,"entries":[[3,"{\\"a\\":1}"]],"commit":5,'
    b'"sent":123}\n': AppendEntries(3, 6, 2, (LogEntry(3, b'{"a":1}'),), 5, 123),
    b'{"kind":"Appended","from":2,"term":3,"ok":true,"place":7,"sent":123}\n': AppendEntriesResponse(
        3, True, 7, 123
    ),
    b'{"kind":"Install","from":2,"term":3,"snapshot":[9,2,"{}"],"sent":5}\n': InstallSnapshot(
        3, Snapshot(9, 2, b"{}"), 5
    ),
}


async def test_replica_starts_from_a_store_of_an_earlier_version(tmp_path: Path) -> None:
    directory = tmp_path / "replica"
    shutil.copytree(STORED, directory)
    host = Host(HostOptions(0, max_changes=100, compact_after=100), ReplicaStore(directory))
    assert (host.replica.term, host.replica.voted_for, host.replica.last_index) == (1, 0, 9)
    await host.start()
    async with asyncio.timeout(60):
        while not host.is_lease_holder():
            await asyncio.sleep(0.01)
    endpoints = host.endpoints
    assert [
        (entry.uid, entry.endpoints, entry.lease_ms, entry.state, entry.version, entry.suspect)
        for entry in endpoints.entries.values()
    ] == ENTRIES
    assert all(entry.fields == FIELDS for entry in endpoints.entries.values())
    assert [tuple(change) for change in endpoints.changes] == CHANGES
    assert (endpoints.version, endpoints.dropped_version) == (55, 0)
    assert tuple(endpoints.locks["release"]) == ("me", 50, 60_000)
    assert (await host.propose(SetState(uid="c", state=ServerState.GONE))).list_version == 56
    await host.stop()


@pytest.mark.parametrize("line", LINES)
def test_peer_messages_keep_the_format_of_the_earlier_version(line: bytes) -> None:
    assert wire.encode(2, LINES[line]) == line
    assert wire.decode(line) == (2, LINES[line])
