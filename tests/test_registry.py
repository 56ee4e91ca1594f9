"""The list service: its agreement as a model, its list, its disk, and three processes that are killed."""

import asyncio
import shutil
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import pytest
from click.testing import CliRunner
from registry_group import Group

from applehub.events import Event, Writer, read
from applehub.lab.__main__ import main
from applehub.lab.fleet.ground import claim_block
from applehub.registry import raft, wire
from applehub.registry.config import ConfigError, parse
from applehub.registry.entries import BASE_STEP, Entries
from applehub.registry.host import Host
from applehub.registry.leases import MILLI, SECOND, Leases
from applehub.registry.model import CALM, MUTANTS, STARTS, Bounds, Coarse, Fine, begin, explore, walks
from applehub.registry.raft import Append, Entry, Replica, Save, Saved, Snapshot
from applehub.registry.server import Service
from applehub.registry.store import Store, StoreError

# Where each mutant shows itself, and how deep the good replica is seen whole from there.
SHOWN = {
    "a vote not stored": ("two candidates of one term", Bounds(), 4),
    "an acknowledgement before the sync": ("nothing", Bounds(), 5),
    "a stale commit": (
        "an old leader elected again, each of two with an entry that no other has", CALM, 4,
    ),
    "a snapshot over newer entries": ("a snapshot that is still on its way", CALM, 4),
    "a lease that outlives its clock": ("an answer that is still on its way", CALM, 4),
}  # fmt: skip


@pytest.mark.parametrize("mutant", SHOWN)
def test_the_model_holds_and_each_mutant_is_found(mutant: str) -> None:
    start, bounds, depth = SHOWN[mutant]
    good, (kind, holds_back) = Coarse(Replica, bounds), MUTANTS[mutant]
    found = explore(good, begin(good, STARTS[start]), depth)
    assert not found.broken and found.depth == depth, found
    bad = Coarse(kind, bounds, holds_back)
    assert explore(bad, begin(bad, STARTS[start]), depth).broken


def test_each_message_crash_and_sync_by_itself() -> None:
    good = Fine(Replica, Bounds())
    found = explore(good, good.first(), 6)
    assert not found.broken and found.states > 5000
    deep = Bounds(terms=8, proposals=4, restarts=4, letters=8)
    assert not walks(Fine(Replica, deep), 200, 150).broken
    assert walks(Fine(Replica, deep, holds_back=False), 200, 150).broken


def test_a_group_of_one_agrees_with_itself_once_its_disk_has_it() -> None:
    alone = Replica(0, (0,), raft.Timing(), 0)
    alone.due = 0
    elected = alone.handle(1, raft.Tick(0.5))
    assert alone.is_primary(1)
    actions = alone.handle(2, raft.Propose((b"x", b"y")))
    assert [type(one).__name__ for one in elected + actions] == [
        "Save", "Proposed", "Save", "Apply", "Proposed", "Save", "Apply", "Apply",
    ]  # fmt: skip
    assert alone.commit == 3


def put(uid: str, **more: Any) -> bytes:
    told = {
        "do": "put", "uid": uid, "fields": {"endpoint": "127.0.0.1:1"}, "endpoints": {}, "state": "Ready",
        "lease_ms": 1000, "base": 50,
    }  # fmt: skip
    return orjson.dumps({**told, **more})


def state(uid: str, wanted: str, **more: Any) -> bytes:
    return orjson.dumps({"do": "state", "uid": uid, "state": wanted, **more})


def test_a_version_for_every_change_and_none_for_the_same_again() -> None:
    held = Entries(kept=4)
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
    again = Entries.restored(4, held.snapshot())
    assert again == held and again.apply(put("b", lease_ms=9)) == held.apply(put("b", lease_ms=9))


def test_leases_run_out_but_never_most_of_them_at_once() -> None:
    held = Entries(kept=100)
    for number in range(10):
        held.apply(put(f"s{number}"))
    watch = Leases(brake_part=0.3, brake_least=2)
    watch.begin(0, held.entries)

    def look(at_ms: int, *renew: int) -> tuple[list[str], list[str], list[str]]:
        for number in renew:
            watch.renew(at_ms * MILLI, f"s{number}")
        found = watch.look(at_ms * MILLI, held.entries)
        for uids, command in ((found[0], {"do": "suspect", "on": True}), (found[1], {"do": "gone"})):
            held.apply(orjson.dumps({**command, "uids": uids}))
        return found

    assert look(900, *range(1, 10)) == ([], [], [])
    assert look(1500, *range(1, 10)) == (["s0"], [], [])
    assert held.since(None)[1][0].uid == "s0"  # suspect is still told as it was
    assert look(2100, *range(1, 10)) == ([], ["s0"], [])
    assert held.entries["s0"].state == "Gone"
    for at in (2600, 3000, 3400, 3800):  # the network is cut: nobody renews
        assert look(at) == ([], [], []) and watch.braked == (at > 3100)
    assert look(3900, *range(1, 10)) == ([], [], []) and not watch.braked
    stood = 3900 * MILLI + 3600 * SECOND  # this process stood still: nobody could renew
    assert watch.look(stood, held.entries) == ([], [], []) and not watch.braked


SAVES = [
    Save(1, 0, 1, (Entry(1, b"a"), Entry(1, b"bb")), None),
    Save(2, None, 2, (Entry(2, b"c"), Entry(2, b"d" * 5000)), None),
    Save(2, 1, 3, (Entry(2, b"d" * 5000),), Snapshot(2, 2, b"whole")),
]


def test_the_disk_gives_back_what_was_saved(tmp_path: Path) -> None:
    store = Store(tmp_path)
    assert store.load() == Saved()
    store.save(SAVES[:2])
    assert store.load() == Saved(2, None, Snapshot(0, 0, b""), (Entry(1, b"a"), *SAVES[1].entries))
    with pytest.raises(StoreError, match="another process has it"):
        Store(tmp_path)
    store.save(SAVES[2:])
    store.close()
    assert Store(tmp_path).load() == Saved(2, 1, Snapshot(2, 2, b"whole"), SAVES[2].entries)


def test_flipped_bits_and_torn_files_are_refused_or_change_nothing(tmp_path: Path) -> None:
    """Every eleventh byte of both files is flipped, and both are cut short: never is something else
    served."""
    whole = tmp_path / "whole"
    store = Store(whole)
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
                one = Store(tmp_path / "one")
                assert one.load() == right
            except StoreError as problem:
                refused += 1
                assert "replica.sqlite: " in str(problem)
            finally:
                if one is not None:
                    one.close()
    assert refused


def test_messages_come_back_and_others_are_turned_down() -> None:
    for message in (
        raft.Ask(3, True, 7, 2),
        raft.Vote(3, False, True),
        Append(3, 6, 2, (Entry(3, b'{"a":1}'),), 5, 123),
        raft.Appended(3, True, 7, 123),
        raft.Install(3, Snapshot(9, 2, b"{}"), 5),
    ):
        assert wire.decode(wire.encode(2, message)) == (2, message)
    for line in (
        b"",
        b"[]",
        b'{"kind":"Ask"}',
        b'{"kind":"Vote","from":1,"term":"x","trial":true,"granted":true}',
    ):
        with pytest.raises(wire.WireError):
            wire.decode(line)


def test_a_file_of_no_use_tells_every_fault() -> None:
    with pytest.raises(ConfigError) as told:
        parse(
            "x.toml",
            {"state_dir": "d", "listen": "here", "limits": {"callers": 0}, "timing": {"lease_ms": 600}},
        )
    said = str(told.value)
    for key in ("x.toml: name: ", "x.toml: listen: ", "x.toml: limits.callers: ", "x.toml: timing: "):
        assert key in said


def test_watchers_hear_of_every_change_from_the_service_and_from_its_stand_in() -> None:
    words = ["lists", "--servers", "5", "--watchers", "12", "--changes", "4", "--json"]
    result = CliRunner().invoke(main, words)
    assert result.exit_code == 0, result.output
    rows = orjson.loads(result.output)
    assert [one["what"] for one in rows] == ["the stand-in", "one replica", "three replicas"]
    assert all(one["together"] > 0 and 0 < one["told_p50"] <= one["told_p99"] for one in rows)


async def test_writers_staff_and_watchers_of_one_replica(tmp_path: Path) -> None:
    config = parse("x", {"name": "a", "state_dir": str(tmp_path / "a"), "leases": {"look_ms": 20}})
    host = Host(0, {}, raft.Timing(), Store(config.state_dir), 100, 3)  # cuts its log every third entry
    out = (tmp_path / "events").open("wb")
    service = Service(config, host, Writer(out, "a", 0))
    await host.start()
    listen, staff = await service.start()
    body = {"endpoint": "127.0.0.1:1", "az": "a", "model": "m", "endpoints": {"v": "127.0.0.1:2"}}
    async with asyncio.timeout(60), aiohttp.ClientSession() as session:

        async def ask(method: str, path: str, body: object = None) -> tuple[int, Any]:
            async with session.request(method, f"http://{staff}{path}", json=body) as answer:
                return answer.status, await answer.json()

        async def targets(query: str = "") -> tuple[int, Any]:
            async with session.get(f"http://{listen}/api/targets{query}") as answer:
                return answer.status, await answer.json() if answer.status == 200 else None

        while not host.is_primary():
            await asyncio.sleep(0.01)
        assert await targets() == (200, {"rev": 0, "all": True, "targets": []})
        status, told = await ask("PUT", "/v1/servers/s", body)
        first = told["entry"]
        assert status == 200 and first >= BASE_STEP
        assert await ask("PUT", "/v1/servers/s?expected=0", body) == (200, told)  # the same again
        assert (await ask("PUT", "/v1/servers/s?expected=0", {**body, "az": "b"}))[0] == 409
        assert (await ask("PUT", "/v1/servers/s?expected=x", body))[0] == 400
        status, told = await ask("PUT", "/v1/servers/s", {"endpoint": "x", "more": 1})
        assert status == 400 and [one["key"] for one in told["faults"]] == ["endpoint", "az", "model", "more"]
        for path, wrong in (("s/state", {"state": "Ill"}), ("s/state", [])):
            assert (await ask("POST", f"/v1/servers/{path}", wrong))[0] == 400
        for method, path in (("POST", "t/renew"), ("DELETE", "t")):
            assert (await ask(method, f"/v1/servers/{path}"))[0] == 404

        watch = asyncio.create_task(targets(f"?from={first}&hold_ms=60000"))
        while not service.watchers.waiting:
            await asyncio.sleep(0.01)
        assert (await ask("POST", "/v1/servers/s/state", {"state": "Terminating"}))[0] == 200
        _, told = await watch
        assert told["rev"] == first + 1 and not told["all"]
        assert told["targets"] == [
            {
                "uid": "s", "state": "Terminating", "endpoint": "127.0.0.1:1", "az": "a", "model": "m",
                "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 0,
            }
        ]  # fmt: skip
        assert await targets(f"?from={first + 1}&hold_ms=0") == (200, {**told, "targets": []})
        assert (await targets(f"?from={first + 99}"))[1]["all"]  # a version of another history
        assert (await targets("?from=x"))[0] == 400
        service.retune(parse("x", {**config.model_dump(mode="json"), "views": {"127.0.0.1": "v"}}))
        assert (await targets())[1]["targets"][0]["endpoint"] == "127.0.0.1:2"

        mine, other = ({"holder": name, "lease_ms": 60_000} for name in ("me", "another"))
        assert (await ask("PUT", "/v1/locks/release", {"holder": ""}))[0] == 400
        status, held = await ask("PUT", "/v1/locks/release", mine)
        assert status == 200 and (await ask("PUT", "/v1/locks/release", mine)) == (200, held)  # renewed
        status, told = await ask("PUT", "/v1/locks/release", other)
        assert status == 409 and told["holder"] == "me" and 0 < told["left_ms"] <= 60_000
        assert (await ask("DELETE", "/v1/locks/release?holder=another"))[0] == 409
        service.holds.renewed["release"] = service.holds.began = time.monotonic_ns() - 61 * SECOND
        status, told = await ask("PUT", "/v1/locks/release", other)  # its holder has not renewed
        assert status == 200 and told["fence"] > held["fence"]
        assert (await ask("PUT", "/v1/locks/release", mine))[0] == 409
        assert (await ask("DELETE", "/v1/locks/release?holder=another"))[0] == 200
        assert (await ask("PUT", "/v1/locks/release", mine))[1]["fence"] > told["fence"]
        assert Entries.restored(9, host.entries.snapshot()).locks == host.entries.locks

        for name in ("l0", "l1", "l2"):
            assert (await ask("PUT", f"/v1/servers/{name}", {**body, "lease_ms": 60_000}))[0] == 200
        long_ago = time.monotonic_ns() - 121 * SECOND
        service.leases.renewed = dict.fromkeys(("l0", "l1", "l2"), long_ago)
        while not service.leases.braked:  # none has renewed: too many at once to be believed
            await asyncio.sleep(0.01)
        assert all(one.state != "Gone" for one in host.entries.entries.values())
        for name in ("l1", "l2"):
            assert (await ask("POST", f"/v1/servers/{name}/renew"))[0] == 200
        while host.entries.entries["l0"].state != "Gone":  # the others have: one is gone
            await asyncio.sleep(0.01)
        _, told = await ask("GET", "/v1/servers")
        assert {one["uid"] for one in told["servers"] if one["state"] == "Gone"} == {"l0"}
        async with session.get(f"http://{staff}/metrics") as answer:
            assert "list_primary 1.0" in await answer.text()
        service.turns.free_at = service.loop.time() + 1000  # too many whole lists are asked for
        async with session.get(f"http://{listen}/api/targets") as answer:
            assert answer.status == 503 and int(answer.headers["Retry-After"]) > 900
        host.replica.role = raft.Role.FOLLOWER  # it has lost the lead
        status, told = await ask("PUT", "/v1/servers/s", {**body, "az": "c"})
        assert status == 503 and told["error"] == "not the primary"
    await service.stop()
    await host.stop()
    out.close()
    assert host.replica.snapshot.place > 0
    kinds = [one.event for one in read(tmp_path / "events")]
    assert {Event.LEADS, Event.LISTED, Event.BRAKE} <= set(kinds)


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
