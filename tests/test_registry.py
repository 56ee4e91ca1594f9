"""Tests of the list service: endpoint list, leases, store, configuration, and failover of a group."""

import shutil
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import pytest
from click.testing import CliRunner
from registry_group import Group

from applehub.lab.__main__ import main
from applehub.lab.fleet.harness import claim_block
from applehub.registry import wire
from applehub.registry.actions import Propose, Save, StoredState, Tick
from applehub.registry.config import parse
from applehub.registry.endpoint_list import EndpointList
from applehub.registry.errors import ConfigError, MessageError, StoreError
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)
from applehub.registry.replica import Replica
from applehub.registry.replica_state import Timing
from applehub.registry.server_leases import MILLI, SECOND, LeaseChanges, ServerLeases
from applehub.registry.store import ReplicaStore


def test_single_replica_commits_after_its_own_save() -> None:
    replica = Replica(0, (0,), Timing(), 0)
    replica.election_due = 0
    election_actions = replica.handle(1, Tick(0.5))
    assert replica.is_lease_holder(1)
    actions = replica.handle(2, Propose((b"x", b"y")))
    assert [type(action).__name__ for action in election_actions + actions] == [
        "Save", "Proposed", "Save", "Apply", "Proposed", "Save", "Apply", "Apply",
    ]  # fmt: skip
    assert replica.commit_index == 3


def put(uid: str, **overrides: Any) -> bytes:
    command = {
        "do": "put", "uid": uid, "fields": {"endpoint": "127.0.0.1:1"}, "endpoints": {}, "state": "Ready",
        "lease_ms": 1000, "base": 50,
    }  # fmt: skip
    return orjson.dumps({**command, **overrides})


def state(uid: str, new_state: str, **overrides: Any) -> bytes:
    return orjson.dumps({"do": "state", "uid": uid, "state": new_state, **overrides})


def test_version_increases_with_changes_but_not_with_repeated_commands() -> None:
    endpoint_list = EndpointList(max_changes=4)
    assert endpoint_list.apply(put("a")) == (200, 50, 50)
    assert endpoint_list.apply(put("a")) == (200, 50, 50)  # a retry changes nothing
    assert endpoint_list.apply(put("b")) == (200, 51, 51)
    assert endpoint_list.apply(state("a", "Terminating", expected=49)) == (409, 51, 50)
    assert endpoint_list.apply(state("a", "Terminating", expected=50)) == (200, 52, 52)
    assert endpoint_list.apply(state("a", "Terminating", expected=50)) == (200, 52, 52)
    assert endpoint_list.apply(state("c", "Gone")) == (404, 52, 0)
    complete, entries = endpoint_list.since(50)
    assert not complete and [(entry.uid, entry.state) for entry in entries] == [
        ("b", "Ready"),
        ("a", "Terminating"),
    ]
    assert endpoint_list.since(52) == (False, [])
    assert (
        endpoint_list.since(99)[0] and endpoint_list.since(None)[0]
    )  # a version that the list never had, and no version
    endpoint_list.apply(state("a", "Gone"))
    for duration in (1, 2, 3, 4):
        endpoint_list.apply(put("b", lease_ms=duration))
    assert endpoint_list.since(52)[0]  # the changes after version 52 are not retained
    assert list(endpoint_list.entries) == ["b"]  # the Gone entry is removed with its change
    restored = EndpointList.from_snapshot(4, endpoint_list.snapshot())
    assert restored == endpoint_list and restored.apply(put("b", lease_ms=9)) == endpoint_list.apply(
        put("b", lease_ms=9)
    )


def test_expiry_is_paused_when_most_leases_expire() -> None:
    endpoint_list = EndpointList(max_changes=100)
    for number in range(10):
        endpoint_list.apply(put(f"s{number}"))
    leases = ServerLeases(pause_fraction=0.3, pause_minimum=2)
    leases.reset(0, endpoint_list.entries)

    def check_at(at_ms: int, *renewing: int) -> LeaseChanges:
        for number in renewing:
            leases.renew(at_ms * MILLI, f"s{number}")
        changes = leases.check(at_ms * MILLI, endpoint_list.entries)
        for uids, command in ((changes[0], {"do": "suspect", "on": True}), (changes[1], {"do": "gone"})):
            endpoint_list.apply(orjson.dumps({**command, "uids": uids}))
        return changes

    assert check_at(900, *range(1, 10)) == ([], [], [])
    assert check_at(1500, *range(1, 10)) == (["s0"], [], [])
    assert endpoint_list.since(None)[1][0].uid == "s0"  # a suspect server is still listed
    assert check_at(2100, *range(1, 10)) == ([], ["s0"], [])
    assert endpoint_list.entries["s0"].state == "Gone"
    for time_ms in (2600, 3000, 3400, 3800):  # no server renews
        assert check_at(time_ms) == ([], [], []) and leases.expiry_paused == (time_ms > 3100)
    assert check_at(3900, *range(1, 10)) == ([], [], []) and not leases.expiry_paused
    resumed_at = 3900 * MILLI + 3600 * SECOND  # this process stalls for an hour
    assert leases.check(resumed_at, endpoint_list.entries) == ([], [], []) and not leases.expiry_paused


SAVES = [
    Save(1, 0, 1, (LogEntry(1, b"a"), LogEntry(1, b"bb")), None),
    Save(2, None, 2, (LogEntry(2, b"c"), LogEntry(2, b"d" * 5000)), None),
    Save(2, 1, 3, (LogEntry(2, b"d" * 5000),), Snapshot(2, 2, b"whole")),
]


def test_saved_state_is_loaded(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path)
    assert store.load() == StoredState()
    store.save(SAVES[:2])
    assert store.load() == StoredState(2, None, Snapshot(0, 0, b""), (LogEntry(1, b"a"), *SAVES[1].entries))
    with pytest.raises(StoreError, match="the store is locked by another process"):
        ReplicaStore(tmp_path)
    store.save(SAVES[2:])
    store.close()
    assert ReplicaStore(tmp_path).load() == StoredState(2, 1, Snapshot(2, 2, b"whole"), SAVES[2].entries)


def test_corrupt_or_truncated_files_are_rejected_or_harmless(tmp_path: Path) -> None:
    """No corrupt or truncated file is loaded as another state."""
    original = tmp_path / "whole"
    store = ReplicaStore(original)
    store.save(SAVES)
    expected = store.load()
    copied = tmp_path / "copied"
    shutil.copytree(original, copied)
    store.close()
    rejected = 0
    files = [path for path in copied.iterdir() if path.name.startswith("replica.sqlite")]
    for file in files:
        content = file.read_bytes()
        flipped = [
            content[:position] + bytes([content[position] ^ 0x10]) + content[position + 1 :]
            for position in range(0, len(content), 11)
        ]
        for corrupt in [*flipped, *(content[:length] for length in range(0, len(content), 4096))]:
            shutil.rmtree(tmp_path / "one", ignore_errors=True)
            shutil.copytree(copied, tmp_path / "one")
            (tmp_path / "one" / file.name).write_bytes(corrupt)
            corrupt_store = None
            try:
                corrupt_store = ReplicaStore(tmp_path / "one")
                assert corrupt_store.load() == expected
            except StoreError as error:
                rejected += 1
                assert "replica.sqlite: " in str(error)
            finally:
                if corrupt_store is not None:
                    corrupt_store.close()
    assert rejected


def test_messages_are_decoded_and_malformed_lines_are_rejected() -> None:
    for message in (
        RequestVote(3, True, 7, 2),
        RequestVoteResponse(3, False, True),
        AppendEntries(3, 6, 2, (LogEntry(3, b'{"a":1}'),), 5, 123),
        AppendEntriesResponse(3, True, 7, 123),
        InstallSnapshot(3, Snapshot(9, 2, b"{}"), 5),
    ):
        assert wire.decode(wire.encode(2, message)) == (2, message)
    for line in (
        b"",
        b"[]",
        b'{"kind":"Ask"}',
        b'{"kind":"Vote","from":1,"term":"x","trial":true,"granted":true}',
    ):
        with pytest.raises(MessageError):
            wire.decode(line)


def test_invalid_configuration_reports_every_fault() -> None:
    with pytest.raises(ConfigError) as caught:
        parse(
            "x.toml",
            {"state_dir": "d", "listen": "here", "limits": {"callers": 0}, "timing": {"lease_ms": 600}},
        )
    message = str(caught.value)
    for key in ("x.toml: name: ", "x.toml: listen: ", "x.toml: limits.callers: ", "x.toml: timing: "):
        assert key in message


def test_service_and_its_substitute_notify_watchers_of_every_change() -> None:
    arguments = ["lists", "--servers", "5", "--watchers", "12", "--changes", "4", "--json"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    rows = orjson.loads(result.output)
    assert [row["what"] for row in rows] == ["the stand-in", "one replica", "three replicas"]
    assert all(row["together"] > 0 and 0 < row["told_p50"] <= row["told_p99"] for row in rows)


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    block, claim = claim_block()
    running_group = Group(tmp_path, block)
    for name in running_group.names:
        running_group.start(name)
    yield running_group
    codes = running_group.stop()
    claim.close()
    assert codes == [0, 0, 0]


async def test_acknowledged_changes_survive_killed_and_suspended_leaders(group: Group) -> None:
    acknowledged: dict[str, int] = {}
    body = {"endpoint": "127.0.0.1:1", "az": "a", "model": "m"}
    async with aiohttp.ClientSession() as session:
        for round_number in range(4):
            primary = await group.wait_for_primary(session)
            for number in range(10):
                response = await group.request(
                    session, "PUT", primary, f"/v1/servers/s-{round_number}-{number}", body
                )
                if response is not None and response[0] == 200:
                    assert response[1]["version"] > max(acknowledged.values(), default=0)
                    acknowledged[f"s-{round_number}-{number}"] = response[1]["version"]
            process = group.processes[primary]
            process.send_signal(signal.SIGKILL if round_number % 2 == 0 else signal.SIGSTOP)
            successor = await group.wait_for_primary(session, primary)
            response = await group.request(session, "GET", successor, "/v1/servers")
            assert response is not None
            listed = {server["uid"]: server["version"] for server in response[1]["servers"]}
            assert acknowledged.items() <= listed.items()
            if round_number % 2 == 0:
                process.wait()
                group.start(primary)
            else:
                process.send_signal(signal.SIGCONT)
        assert len(acknowledged) >= 30
        versions = []
        for name in group.names:  # every replica serves the complete list
            async with session.get(f"http://{group.list_addresses[name]}/api/targets") as list_response:
                if list_response.status == 200:
                    complete_list = await list_response.json()
                    versions.append(complete_list["rev"])
                    assert complete_list["all"] and len(complete_list["targets"]) <= len(listed)
        assert max(versions) >= max(acknowledged.values())
