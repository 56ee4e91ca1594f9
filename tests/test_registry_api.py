"""The HTTP calls of the list service at one replica: routers, writers, staff, locks and leases."""

import asyncio
import time
from pathlib import Path

from registry_replica import Replica, replica

from applehub.events import EventKind, read_events
from applehub.registry.config import parse
from applehub.registry.endpoint_list import VERSIONS_PER_SECOND, EndpointList
from applehub.registry.replica_state import Role
from applehub.registry.server_leases import SECOND

BODY = {"endpoint": "127.0.0.1:1", "az": "a", "model": "m", "endpoints": {"v": "127.0.0.1:2"}}
TARGET = {
    "uid": "s", "endpoint": "127.0.0.1:1", "az": "a", "model": "m", "pod_group": 0, "capacity_hint": 1.0,
    "boot_ms": 0,
}  # fmt: skip
MINE = {"holder": "me", "lease_ms": 60_000}
OTHER = {"holder": "another", "lease_ms": 60_000}


async def registered(one: Replica) -> int:
    """Registers a server; gives the version of its entry."""
    status, answer = await one.ask("PUT", "/v1/servers/s", BODY)
    assert status == 200
    version: int = answer["entry"]
    return version


async def test_a_writer_registers_a_server_and_faulty_calls_are_rejected(tmp_path: Path) -> None:
    async with replica(tmp_path) as one:
        assert await one.targets() == (200, {"rev": 0, "all": True, "targets": []})
        status, answer = await one.ask("PUT", "/v1/servers/s", BODY)
        assert status == 200 and answer["entry"] >= VERSIONS_PER_SECOND
        assert await one.ask("PUT", "/v1/servers/s?expected=0", BODY) == (200, answer)  # the same again
        assert (await one.ask("PUT", "/v1/servers/s?expected=0", {**BODY, "az": "b"}))[0] == 409
        assert (await one.ask("PUT", "/v1/servers/s?expected=x", BODY))[0] == 400
        status, answer = await one.ask("PUT", "/v1/servers/s", {"endpoint": "x", "more": 1})
        keys = [fault["key"] for fault in answer["faults"]]
        assert status == 400 and keys == ["endpoint", "az", "model", "more"]
        faulty: list[object] = [{"state": "Ill"}, []]
        for wrong in faulty:
            assert (await one.ask("POST", "/v1/servers/s/state", wrong))[0] == 400
        for method, path in (("POST", "t/renew"), ("DELETE", "t")):
            assert (await one.ask(method, f"/v1/servers/{path}"))[0] == 404


async def test_a_watch_is_answered_by_a_change_and_views_by_their_endpoints(tmp_path: Path) -> None:
    async with replica(tmp_path) as one:
        first = await registered(one)
        watch = asyncio.create_task(one.targets(f"?from={first}&hold_ms=60000"))
        while not one.service.list_api.watchers.waiting:
            await asyncio.sleep(0.01)
        assert (await one.ask("POST", "/v1/servers/s/state", {"state": "Terminating"}))[0] == 200
        _, answer = await watch
        assert answer["rev"] == first + 1 and not answer["all"]
        assert answer["targets"] == [{**TARGET, "state": "Terminating"}]
        assert await one.targets(f"?from={first + 1}&hold_ms=0") == (200, {**answer, "targets": []})
        assert (await one.targets(f"?from={first + 99}"))[1]["all"]  # a version of another history
        assert (await one.targets("?from=x"))[0] == 400
        config = one.service.config.model_dump(mode="json")
        one.service.update_config(parse("x", {**config, "views": {"127.0.0.1": "v"}}))
        assert (await one.targets())[1]["targets"][0]["endpoint"] == "127.0.0.1:2"


async def test_a_lock_has_one_holder_and_a_fence_that_grows(tmp_path: Path) -> None:
    async with replica(tmp_path) as one:
        lock = "/v1/locks/release"
        assert (await one.ask("PUT", lock, {"holder": ""}))[0] == 400
        status, first = await one.ask("PUT", lock, MINE)
        assert status == 200 and await one.ask("PUT", lock, MINE) == (200, first)  # renewed
        status, answer = await one.ask("PUT", lock, OTHER)
        assert status == 409 and answer["holder"] == "me" and 0 < answer["left_ms"] <= 60_000
        assert (await one.ask("DELETE", f"{lock}?holder=another"))[0] == 409
        leases = one.service.lock_api.leases
        leases.renewed_at["release"] = leases.reset_at = time.monotonic_ns() - 61 * SECOND
        status, second = await one.ask("PUT", lock, OTHER)  # its holder has not renewed
        assert status == 200 and second["fence"] > first["fence"]
        assert (await one.ask("PUT", lock, MINE))[0] == 409
        assert (await one.ask("DELETE", f"{lock}?holder=another"))[0] == 200
        assert (await one.ask("PUT", lock, MINE))[1]["fence"] > second["fence"]
        endpoints = one.host.endpoints
        assert EndpointList.restored(9, endpoints.snapshot()).locks == endpoints.locks


async def test_servers_that_do_not_renew_are_gone_unless_they_are_too_many(tmp_path: Path) -> None:
    async with replica(tmp_path) as one:
        for name in ("l0", "l1", "l2"):
            assert (await one.ask("PUT", f"/v1/servers/{name}", {**BODY, "lease_ms": 60_000}))[0] == 200
        long_ago = time.monotonic_ns() - 121 * SECOND
        leases = one.service.lease_watch.leases
        while not leases.checked_at:  # from when on the lease holder counts them
            await asyncio.sleep(0.01)
        leases.renewed_at = dict.fromkeys(("l0", "l1", "l2"), long_ago)
        entries = one.host.endpoints.entries
        while not leases.expiry_paused:  # none has renewed: too many at once to be believed
            await asyncio.sleep(0.01)
        assert all(entry.state != "Gone" for entry in entries.values())
        for name in ("l1", "l2"):
            assert (await one.ask("POST", f"/v1/servers/{name}/renew"))[0] == 200
        while entries["l0"].state != "Gone":  # the others have: one is gone
            await asyncio.sleep(0.01)
        _, answer = await one.ask("GET", "/v1/servers")
        assert {entry["uid"] for entry in answer["servers"] if entry["state"] == "Gone"} == {"l0"}
        async with one.session.get(f"http://{one.staff}/metrics") as response:
            assert "list_primary 1.0" in await response.text()
    kinds = [event.event for event in read_events(tmp_path / "events")]
    assert {EventKind.LEADERSHIP_WON, EventKind.LIST_CHANGED, EventKind.EXPIRY_PAUSED} <= set(kinds)


async def test_too_many_complete_lists_are_rejected_with_when_to_come_again(tmp_path: Path) -> None:
    async with replica(tmp_path) as one:
        one.service.list_api.admission.next_slot_at = asyncio.get_running_loop().time() + 1000
        async with one.session.get(f"http://{one.listen}/api/targets") as response:
            assert response.status == 503 and int(response.headers["Retry-After"]) > 900


async def test_a_replica_that_has_lost_its_lease_sends_writers_elsewhere(tmp_path: Path) -> None:
    async with replica(tmp_path) as one:
        await registered(one)
        one.host.replica.role = Role.FOLLOWER
        status, answer = await one.ask("PUT", "/v1/servers/s", {**BODY, "az": "c"})
        assert status == 503 and answer["error"] == "not the primary"


async def test_the_log_is_compacted_as_commands_are_applied(tmp_path: Path) -> None:
    async with replica(tmp_path, compact_after=3) as one:
        for name in ("a", "b", "c", "d"):
            assert (await one.ask("PUT", f"/v1/servers/{name}", BODY))[0] == 200
    assert one.host.replica.snapshot.last_index > 0
