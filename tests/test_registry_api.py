"""Tests of the HTTP APIs of the list service with one replica."""

import asyncio
import time
from pathlib import Path

from registry_replica import Replica, run_replica

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
FIRST_HOLDER = {"holder": "me", "lease_ms": 60_000}
SECOND_HOLDER = {"holder": "another", "lease_ms": 60_000}


async def register_server(replica: Replica) -> int:
    """Registers a server and returns the version of its entry."""
    status, body = await replica.request("PUT", "/v1/servers/s", BODY)
    assert status == 200
    version: int = body["entry"]
    return version


async def test_server_is_registered_and_invalid_requests_are_rejected(tmp_path: Path) -> None:
    async with run_replica(tmp_path) as replica:
        assert await replica.get_list() == (200, {"rev": 0, "all": True, "targets": []})
        status, body = await replica.request("PUT", "/v1/servers/s", BODY)
        assert status == 200 and body["entry"] >= VERSIONS_PER_SECOND
        assert await replica.request("PUT", "/v1/servers/s?expected=0", BODY) == (
            200,
            body,
        )  # a retry changes nothing
        assert (await replica.request("PUT", "/v1/servers/s?expected=0", {**BODY, "az": "b"}))[0] == 409
        assert (await replica.request("PUT", "/v1/servers/s?expected=x", BODY))[0] == 400
        status, body = await replica.request("PUT", "/v1/servers/s", {"endpoint": "x", "more": 1})
        keys = [fault["key"] for fault in body["faults"]]
        assert status == 400 and keys == ["endpoint", "az", "model", "more"]
        invalid_bodies: list[object] = [{"state": "Ill"}, []]
        for invalid_body in invalid_bodies:
            assert (await replica.request("POST", "/v1/servers/s/state", invalid_body))[0] == 400
        for method, path in (("POST", "t/renew"), ("DELETE", "t")):
            assert (await replica.request(method, f"/v1/servers/{path}"))[0] == 404


async def test_watch_returns_on_change_and_views_get_their_endpoints(tmp_path: Path) -> None:
    async with run_replica(tmp_path) as replica:
        first = await register_server(replica)
        watch = asyncio.create_task(replica.get_list(f"?from={first}&hold_ms=60000"))
        while not replica.service.list_api.watchers.waiting:
            await asyncio.sleep(0.01)
        assert (await replica.request("POST", "/v1/servers/s/state", {"state": "Terminating"}))[0] == 200
        _, body = await watch
        assert body["rev"] == first + 1 and not body["all"]
        assert body["targets"] == [{**TARGET, "state": "Terminating"}]
        assert await replica.get_list(f"?from={first + 1}&hold_ms=0") == (200, {**body, "targets": []})
        assert (await replica.get_list(f"?from={first + 99}"))[1]["all"]  # the list never had this version
        assert (await replica.get_list("?from=x"))[0] == 400
        config = replica.service.config.model_dump(mode="json")
        replica.service.update_config(parse("x", {**config, "views": {"127.0.0.1": "v"}}))
        assert (await replica.get_list())[1]["targets"][0]["endpoint"] == "127.0.0.1:2"


async def test_lock_has_one_holder_and_an_increasing_fence(tmp_path: Path) -> None:
    async with run_replica(tmp_path) as replica:
        lock = "/v1/locks/release"
        assert (await replica.request("PUT", lock, {"holder": ""}))[0] == 400
        status, first = await replica.request("PUT", lock, FIRST_HOLDER)
        assert status == 200 and await replica.request("PUT", lock, FIRST_HOLDER) == (200, first)  # a renewal
        status, body = await replica.request("PUT", lock, SECOND_HOLDER)
        assert status == 409 and body["holder"] == "me" and 0 < body["left_ms"] <= 60_000
        assert (await replica.request("DELETE", f"{lock}?holder=another"))[0] == 409
        leases = replica.service.lock_api.leases
        leases.renewed_at["release"] = leases.reset_at = time.monotonic_ns() - 61 * SECOND
        status, second = await replica.request("PUT", lock, SECOND_HOLDER)  # the first lease has expired
        assert status == 200 and second["fence"] > first["fence"]
        assert (await replica.request("PUT", lock, FIRST_HOLDER))[0] == 409
        assert (await replica.request("DELETE", f"{lock}?holder=another"))[0] == 200
        assert (await replica.request("PUT", lock, FIRST_HOLDER))[1]["fence"] > second["fence"]
        endpoints = replica.host.endpoints
        assert EndpointList.from_snapshot(9, endpoints.snapshot()).locks == endpoints.locks


async def test_expired_servers_are_removed_unless_too_many_expire(tmp_path: Path) -> None:
    async with run_replica(tmp_path) as replica:
        for uid in ("l0", "l1", "l2"):
            assert (await replica.request("PUT", f"/v1/servers/{uid}", {**BODY, "lease_ms": 60_000}))[
                0
            ] == 200
        long_ago = time.monotonic_ns() - 121 * SECOND
        leases = replica.service.lease_watch.leases
        while not leases.checked_at:  # the leader has not checked the leases yet
            await asyncio.sleep(0.01)
        leases.renewed_at = dict.fromkeys(("l0", "l1", "l2"), long_ago)
        entries = replica.host.endpoints.entries
        while not leases.expiry_paused:  # the next check pauses expiry, as all leases have expired
            await asyncio.sleep(0.01)
        assert all(entry.state != "Gone" for entry in entries.values())
        for uid in ("l1", "l2"):
            assert (await replica.request("POST", f"/v1/servers/{uid}/renew"))[0] == 200
        while entries["l0"].state != "Gone":  # expiry resumes, as the other servers have renewed
            await asyncio.sleep(0.01)
        _, body = await replica.request("GET", "/v1/servers")
        assert {entry["uid"] for entry in body["servers"] if entry["state"] == "Gone"} == {"l0"}
        async with replica.session.get(f"http://{replica.admin_address}/metrics") as response:
            assert "list_primary 1.0" in await response.text()
    kinds = [event.event for event in read_events(tmp_path / "events")]
    assert {EventKind.LEADERSHIP_WON, EventKind.LIST_CHANGED, EventKind.EXPIRY_PAUSED} <= set(kinds)


async def test_excess_requests_for_complete_list_are_rejected_with_retry_after(tmp_path: Path) -> None:
    async with run_replica(tmp_path) as replica:
        replica.service.list_api.admission.next_slot_at = asyncio.get_running_loop().time() + 1000
        async with replica.session.get(f"http://{replica.list_address}/api/targets") as response:
            assert response.status == 503 and int(response.headers["Retry-After"]) > 900


async def test_replica_without_lease_rejects_writes(tmp_path: Path) -> None:
    async with run_replica(tmp_path) as replica:
        await register_server(replica)
        replica.host.replica.role = Role.FOLLOWER
        status, body = await replica.request("PUT", "/v1/servers/s", {**BODY, "az": "c"})
        assert status == 503 and body["error"] == "not the primary"


async def test_log_is_compacted_after_commands_are_applied(tmp_path: Path) -> None:
    async with run_replica(tmp_path, compact_after=3) as replica:
        for name in ("a", "b", "c", "d"):
            assert (await replica.request("PUT", f"/v1/servers/{name}", BODY))[0] == 200
    assert replica.host.replica.snapshot.last_index > 0
