"""SIGHUP applies a configuration completely or not at all; requests in flight keep their class settings."""

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from router_bench import entry, hit, info, router, wait_until
from support import SECOND, Router, settings

from applehub import interface as api
from applehub.node import router as router_module
from applehub.node.configuration import read_configuration

Json = dict[str, Any]


def configuration(**changes: Any) -> Json:
    endpoint_list = {"rev": 1, "all": True, "targets": [entry("c0", "127.0.0.1:9")]}
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    return {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": limits,
        "known": endpoint_list,
        "settings": info(),
        **changes,
    }


def create_router(path: Path) -> router_module.Router:
    path.write_text(json.dumps(configuration()))
    return router_module.Router(read_configuration(str(path)), str(path))


def remove_key(*keys: Any) -> Callable[[Json], None]:
    def change(container: Any) -> None:
        for key in keys[:-1]:
            container = container[key]
        del container[keys[-1]]

    return change


def set_value(value: Any, *keys: Any) -> Callable[[Json], None]:
    def change(container: Any) -> None:
        for key in keys[:-1]:
            container = container[key]
        container[keys[-1]] = value

    return change


INVALID_DEADLINES: list[Any] = [0, -1, "600", True, None, []]
BREAKING_CHANGES: list[Callable[[Json], None]] = [
    remove_key("discovery"),
    remove_key("listen"),
    remove_key("settings"),
    remove_key("limits", "sockets"),
    remove_key("settings", "classes"),
    remove_key("settings", "balancers"),
    remove_key("settings", "ceilings"),
    remove_key("settings", "ceilings", "attemptsCap"),
    remove_key("settings", "safety", "rampTime"),
    remove_key("settings", "classes", 1, "deadline"),
    remove_key("settings", "classes", 0, "name"),
    remove_key("settings", "classes", 2, "aim"),
    remove_key("settings", "tenants", 0, "name"),
    set_value(None, "settings", "ceilings", "attemptsCap"),
    set_value([], "settings", "classes"),
    set_value("read", "settings", "classes"),
    set_value(7, "settings", "ceilings"),
    *(set_value(value, "settings", "classes", 0, "deadline") for value in INVALID_DEADLINES),
    *(set_value(value, "settings", "ceilings", "attemptsCap") for value in (0, -4, "4", False)),
]


@pytest.mark.parametrize("change", BREAKING_CHANGES)
async def test_invalid_configuration_is_not_applied(tmp_path: Path, change: Callable[[Json], None]) -> None:
    path = tmp_path / "config.json"
    running = create_router(path)
    state_before = (
        running.configuration,
        running.driver.balancer.settings,
        running.clients.names,
        running.watch.endpoints,
    )
    invalid = copy.deepcopy(configuration(discovery="127.0.0.1:2"))
    invalid["settings"]["classes"][0]["aim"] //= 2
    change(invalid)
    path.write_text(json.dumps(invalid))
    running.reload()
    state_after = (
        running.configuration,
        running.driver.balancer.settings,
        running.clients.names,
        running.watch.endpoints,
    )
    assert all(one is other for one, other in zip(state_before, state_after, strict=True))
    assert (running.metrics.config_applied, running.metrics.config_rejected) == (0, 1)


@pytest.mark.parametrize("text", ["", "{", "[]", "null", json.dumps(configuration())[:-40]])
async def test_incomplete_or_missing_file_is_not_applied(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    running = create_router(path)
    configuration_before = running.configuration
    path.write_text(text)
    running.reload()
    path.unlink()
    running.reload()
    assert running.configuration is configuration_before and running.metrics.config_rejected == 2


async def test_classes_are_added_removed_and_reordered_by_name(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    running = create_router(path)
    changed = configuration(discovery="127.0.0.1:2")
    read, put, once = changed["settings"]["classes"]
    added_class = {**read, "name": "browse", "effect": "unsafe", "deadline": 7 * SECOND}
    changed["settings"]["classes"] = [once, added_class, {**read, "effect": "unsafe"}]
    changed["settings"]["hostTypes"] = ["origin", "new", "std"]
    changed["settings"]["specifics"]["originKind"] = 0
    changed["settings"]["ceilings"]["attemptsCap"] = 2
    changed["limits"]["sockets"] = 128
    path.write_text(json.dumps(changed))
    running.reload()
    assert running.clients.names.classes == {"once": 0, "browse": 1, "read": 2}
    new_settings = running.driver.balancer.settings
    assert [request_class.effect for request_class in new_settings.classes] == [api.Effect.UNSAFE] * 3
    assert (new_settings.max_attempts, running.pools.max_connections, running.watch.endpoints[0][1]) == (
        2,
        45,
        2,
    )
    # Known servers refer to kinds by index, so known kinds keep their indexes and new kinds follow.
    assert running.directory.names.kinds == {"std": 0, "origin": 1, "new": 2}
    assert running.directory.origin_kind == new_settings.origin_kind == 1
    lines = running.metrics.lines()
    assert "edge_balancer.responses.browse.ok=0" in lines and "edge_balancer.responses.put.ok=0" in lines
    assert "edge_balancer.config_applied=1" in lines and "edge_balancer.config_rejected=0" in lines
    path.write_text(json.dumps(configuration()))
    running.reload()
    assert put["name"] in running.clients.names.classes and running.metrics.config_applied == 2


def settings_changed(*classes: api.RequestClass, **changes: object) -> api.SettingsChanged:
    return api.SettingsChanged(settings(classes=list(classes), **changes))


def test_request_in_flight_keeps_its_class_settings() -> None:
    router = Router()
    _, (idempotent_attempt,) = router.send_request("a", cls=0)
    _, (other_attempt,) = router.send_request("b", cls=2)
    strict_class = api.RequestClass(SECOND, 2 * SECOND, api.Effect.UNSAFE)
    router.deliver(settings_changed(strict_class))
    (retry,) = router.finish_attempt(idempotent_attempt, api.Status.RESET)
    assert isinstance(retry, api.Send)
    (failed,) = router.finish_attempt(other_attempt, api.Status.RESET)
    assert isinstance(failed, api.Fail)
    _, (new_attempt,) = router.send_request("c", cls=0)
    (failed,) = router.finish_attempt(new_attempt, api.Status.RESET)
    assert isinstance(failed, api.Fail)


def test_lower_attempt_limit_applies_to_requests_in_flight() -> None:
    router = Router()
    _, (first,) = router.send_request("a")
    router.deliver(settings_changed(*settings().classes, max_attempts=1))
    (rejected,) = router.finish_attempt(first, api.Status.RESET)
    assert isinstance(rejected, api.Reject)


def test_rates_are_preserved_when_their_windows_change() -> None:
    router = Router(settings(tenants=[api.Tenant(5.0), api.Tenant(5.0)]))
    for n in range(50):
        router.send_request(f"k{n}")
        router.advance(SECOND // 50)
    rate_before = router.balancer.server_table.request_rate.per_second(router.now)
    router.deliver(settings_changed(api.RequestClass(SECOND // 4, SECOND), tenants=[api.Tenant(9.0)]))
    assert (
        abs(router.balancer.server_table.request_rate.per_second(router.now) - rate_before)
        < 1e-6 * rate_before
    )
    assert len(router.balancer.tenants.request_rates) == len(router.balancer.tenants.token_buckets) == 1
    assert router.balancer.monitor.period == SECOND // 8
    router.send_request("again")


async def test_requests_in_flight_of_a_removed_class_are_answered_and_counted() -> None:
    async with router(lambda command, writer: None) as bench:
        caller = await bench.caller()
        caller.get()
        await wait_until(lambda: bench.cache.received)
        bench.clients.names.classes = {"other": 0}
        bench.driver.notify(api.SettingsChanged(settings(classes=[api.RequestClass(SECOND, SECOND)])))
        bench.cache.writers[0].write(hit())
        assert await caller.answer() == b"v"
        assert bench.driver.metrics.responses["read"]["ok"] == 1  # type: ignore[index]
        caller.get(name=b"i2")
        assert str(await caller.answer()) == "ERR unknown class"


async def test_two_processes_share_the_limits_of_one(tmp_path: Path) -> None:
    running = create_router(tmp_path / "config.json")
    single_process_limits = (running.pools.max_connections, running.driver.memory.limit)
    running._apply_limits(2)
    assert (
        running.pools.max_connections == single_process_limits[0] // 2
        and running.driver.balancer.server_table.process_count == 2
    )
    # The base memory of both processes is subtracted before the remaining memory is shared.
    assert running.driver.memory.limit * 2 < single_process_limits[1]
    running._apply_limits(1)
    assert (running.pools.max_connections, running.driver.memory.limit) == single_process_limits
