"""The list service: its list, its disk, its HTTP calls, and three processes that are killed."""

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
from applehub.lab.fleet.ground import claim_block
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


def test_a_group_of_one_agrees_with_itself_once_its_disk_has_it() -> None:
    alone = Replica(0, (0,), Timing(), 0)
    alone.election_due = 0
    elected = alone.handle(1, Tick(0.5))
    assert alone.is_lease_holder(1)
    actions = alone.handle(2, Propose((b"x", b"y")))
    assert [type(one).__name__ for one in elected + actions] == [
        "Save", "Proposed", "Save", "Apply", "Proposed", "Save", "Apply", "Apply",
    ]  # fmt: skip
    assert alone.commit_index == 3


def put(uid: str, **more: Any) -> bytes:
    told = {
        "do": "put", "uid": uid, "fields": {"endpoint": "127.0.0.1:1"}, "endpoints": {}, "state": "Ready",
        "lease_ms": 1000, "base": 50,
    }  # fmt: skip
    return orjson.dumps({**told, **more})


def state(uid: str, wanted: str, **more: Any) -> bytes:
    return orjson.dumps({"do": "state", "uid": uid, "state": wanted, **more})


def test_a_version_for_every_change_and_none_for_the_same_again() -> None:
    held = EndpointList(max_changes=4)
    assert held.apply(put("a")) == (200, 50, 50)
    assert held.apply(put("a")) == (200, 50, 50)  # a writer that heard no answer asks again
    assert held.apply(put("b")) == (200, 51, 51)
    assert held.apply(state("a", "Terminating", expected=49)) == (409, 51, 50)
    assert held.apply(state("a", "Terminating", expected=50)) == (200, 52, 52)
    assert held.apply(state("a", "Terminating", expected=50)) == (200, 52, 52)
    assert held.apply(state("c", "Gone")) == (404, 52, 0)
    whole, told = held.since(50)
    assert not whole and [(one.uid, one.state) for one in told] == [("b", "Ready"), ("a", "Terminating")]
    assert held.since(52) == (False, [])
    assert held.since(99)[0] and held.since(None)[0]  # another history; nothing held
    held.apply(state("a", "Gone"))
    for lease in (1, 2, 3, 4):
        held.apply(put("b", lease_ms=lease))
    assert held.since(52)[0]  # further behind than what is kept
    assert list(held.entries) == ["b"]  # what is gone is forgotten with its change
    again = EndpointList.restored(4, held.snapshot())
    assert again == held and again.apply(put("b", lease_ms=9)) == held.apply(put("b", lease_ms=9))


def test_leases_expire_but_never_most_of_them_at_once() -> None:
    held = EndpointList(max_changes=100)
    for number in range(10):
        held.apply(put(f"s{number}"))
    watch = ServerLeases(pause_fraction=0.3, pause_minimum=2)
    watch.reset(0, held.entries)

    def look(at_ms: int, *renew: int) -> LeaseChanges:
        for number in renew:
            watch.renew(at_ms * MILLI, f"s{number}")
        found = watch.check(at_ms * MILLI, held.entries)
        for uids, command in ((found[0], {"do": "suspect", "on": True}), (found[1], {"do": "gone"})):
            held.apply(orjson.dumps({**command, "uids": uids}))
        return found

    assert look(900, *range(1, 10)) == ([], [], [])
    assert look(1500, *range(1, 10)) == (["s0"], [], [])
    assert held.since(None)[1][0].uid == "s0"  # suspect is still told as it was
    assert look(2100, *range(1, 10)) == ([], ["s0"], [])
    assert held.entries["s0"].state == "Gone"
    for at in (2600, 3000, 3400, 3800):  # the network is cut: nobody renews
        assert look(at) == ([], [], []) and watch.expiry_paused == (at > 3100)
    assert look(3900, *range(1, 10)) == ([], [], []) and not watch.expiry_paused
    stood = 3900 * MILLI + 3600 * SECOND  # this process stood still: nobody could renew
    assert watch.check(stood, held.entries) == ([], [], []) and not watch.expiry_paused


SAVES = [
    Save(1, 0, 1, (LogEntry(1, b"a"), LogEntry(1, b"bb")), None),
    Save(2, None, 2, (LogEntry(2, b"c"), LogEntry(2, b"d" * 5000)), None),
    Save(2, 1, 3, (LogEntry(2, b"d" * 5000),), Snapshot(2, 2, b"whole")),
]


def test_what_was_saved_is_loaded(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path)
    assert store.load() == StoredState()
    store.save(SAVES[:2])
    assert store.load() == StoredState(2, None, Snapshot(0, 0, b""), (LogEntry(1, b"a"), *SAVES[1].entries))
    with pytest.raises(StoreError, match="the store is locked by another process"):
        ReplicaStore(tmp_path)
    store.save(SAVES[2:])
    store.close()
    assert ReplicaStore(tmp_path).load() == StoredState(2, 1, Snapshot(2, 2, b"whole"), SAVES[2].entries)


def test_flipped_bits_and_torn_files_are_refused_or_change_nothing(tmp_path: Path) -> None:
    """Every eleventh byte of both files is flipped, and both are cut short: never is something else
    served."""
    whole = tmp_path / "whole"
    store = ReplicaStore(whole)
    store.save(SAVES)
    right = store.load()
    copied = tmp_path / "copied"
    shutil.copytree(whole, copied)
    store.close()
    refused = 0
    files = [one for one in copied.iterdir() if one.name.startswith("replica.sqlite")]
    for file in files:
        content = file.read_bytes()
        spoilt = [
            content[:at] + bytes([content[at] ^ 0x10]) + content[at + 1 :]
            for at in range(0, len(content), 11)
        ]
        for text in [*spoilt, *(content[:at] for at in range(0, len(content), 4096))]:
            shutil.rmtree(tmp_path / "one", ignore_errors=True)
            shutil.copytree(copied, tmp_path / "one")
            (tmp_path / "one" / file.name).write_bytes(text)
            one = None
            try:
                one = ReplicaStore(tmp_path / "one")
                assert one.load() == right
            except StoreError as problem:
                refused += 1
                assert "replica.sqlite: " in str(problem)
            finally:
                if one is not None:
                    one.close()
    assert refused


def test_messages_are_read_as_they_were_written_and_malformed_lines_rejected() -> None:
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


def test_a_configuration_of_no_use_names_every_fault() -> None:
    with pytest.raises(ConfigError) as told:
        parse(
            "x.toml",
            {"state_dir": "d", "listen": "here", "limits": {"callers": 0}, "timing": {"lease_ms": 600}},
        )
    said = str(told.value)
    for key in ("x.toml: name: ", "x.toml: listen: ", "x.toml: limits.callers: ", "x.toml: timing: "):
        assert key in said


def test_watchers_are_notified_of_every_change_by_the_service_and_by_its_stand_in() -> None:
    words = ["lists", "--servers", "5", "--watchers", "12", "--changes", "4", "--json"]
    result = CliRunner().invoke(main, words)
    assert result.exit_code == 0, result.output
    rows = orjson.loads(result.output)
    assert [one["what"] for one in rows] == ["the stand-in", "one replica", "three replicas"]
    assert all(one["together"] > 0 and 0 < one["told_p50"] <= one["told_p99"] for one in rows)


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    block, claim = claim_block()
    one = Group(tmp_path, block)
    for name in one.names:
        one.start(name)
    yield one
    codes = one.stop()
    claim.close()
    assert codes == [0, 0, 0]


async def test_no_acknowledged_change_is_lost_when_primaries_are_killed_and_stopped(group: Group) -> None:
    acknowledged: dict[str, int] = {}
    body = {"endpoint": "127.0.0.1:1", "az": "a", "model": "m"}
    async with aiohttp.ClientSession() as session:
        for turn in range(4):
            primary = await group.until(session)
            for number in range(10):
                told = await group.ask(session, "PUT", primary, f"/v1/servers/s-{turn}-{number}", body)
                if told is not None and told[0] == 200:
                    assert told[1]["version"] > max(acknowledged.values(), default=0)
                    acknowledged[f"s-{turn}-{number}"] = told[1]["version"]
            process = group.processes[primary]
            process.send_signal(signal.SIGKILL if turn % 2 == 0 else signal.SIGSTOP)
            following = await group.until(session, primary)
            told = await group.ask(session, "GET", following, "/v1/servers")
            assert told is not None
            held = {one["uid"]: one["version"] for one in told[1]["servers"]}
            assert acknowledged.items() <= held.items()
            if turn % 2 == 0:
                process.wait()
                group.start(primary)
            else:
                process.send_signal(signal.SIGCONT)
        assert len(acknowledged) >= 30
        versions = []
        for name in group.names:  # a watch from before them all tells the same everywhere
            async with session.get(f"http://{group.listen[name]}/api/targets") as answer:
                if answer.status == 200:
                    told_list = await answer.json()
                    versions.append(told_list["rev"])
                    assert told_list["all"] and len(told_list["targets"]) <= len(held)
        assert max(versions) >= max(acknowledged.values())
