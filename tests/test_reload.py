"""SIGHUP: the file is taken whole or not at all, and requests under way keep the class they came with."""

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from peers import entry, hit, info, router, soon
from support import SECOND, Router, settings

from applehub import interface as api
from applehub.node import router as node
from applehub.node.configuration import read_configuration

Json = dict[str, Any]


def told(**changes: Any) -> Json:
    listed = {"rev": 1, "all": True, "targets": [entry("c0", "127.0.0.1:9")]}
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    return {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": limits,
        "known": listed,
        "settings": info(),
        **changes,
    }


def wired(path: Path) -> node.Router:
    path.write_text(json.dumps(told()))
    return node.Router(read_configuration(str(path)), str(path))


def without(*keys: Any) -> Callable[[Json], None]:
    def change(at: Any) -> None:
        for key in keys[:-1]:
            at = at[key]
        del at[keys[-1]]

    return change


def with_value(value: Any, *keys: Any) -> Callable[[Json], None]:
    def change(at: Any) -> None:
        for key in keys[:-1]:
            at = at[key]
        at[keys[-1]] = value

    return change


DEADLINES: list[Any] = [0, -1, "600", True, None, []]
BROKEN: list[Callable[[Json], None]] = [
    without("discovery"),
    without("listen"),
    without("settings"),
    without("limits", "sockets"),
    without("settings", "classes"),
    without("settings", "balancers"),
    without("settings", "ceilings"),
    without("settings", "ceilings", "attemptsCap"),
    without("settings", "safety", "rampTime"),
    without("settings", "classes", 1, "deadline"),
    without("settings", "classes", 0, "name"),
    without("settings", "classes", 2, "aim"),
    without("settings", "tenants", 0, "name"),
    with_value(None, "settings", "ceilings", "attemptsCap"),
    with_value([], "settings", "classes"),
    with_value("read", "settings", "classes"),
    with_value(7, "settings", "ceilings"),
    *(with_value(bad, "settings", "classes", 0, "deadline") for bad in DEADLINES),
    *(with_value(bad, "settings", "ceilings", "attemptsCap") for bad in (0, -4, "4", False)),
]


@pytest.mark.parametrize("change", BROKEN)
async def test_nothing_is_taken_from_a_broken_file(tmp_path: Path, change: Callable[[Json], None]) -> None:
    path = tmp_path / "config.json"
    running = wired(path)
    before = (
        running.configuration,
        running.driver.balancer.settings,
        running.clients.names,
        running.watch.endpoints,
    )
    broken = copy.deepcopy(told(discovery="127.0.0.1:2"))
    broken["settings"]["classes"][0]["aim"] //= 2
    change(broken)
    path.write_text(json.dumps(broken))
    running.reload()
    now = (
        running.configuration,
        running.driver.balancer.settings,
        running.clients.names,
        running.watch.endpoints,
    )
    assert all(one is other for one, other in zip(before, now, strict=True))
    assert (running.figures.config_applied, running.figures.config_rejected) == (0, 1)


@pytest.mark.parametrize("text", ["", "{", "[]", "null", json.dumps(told())[:-40]])
async def test_nothing_is_taken_from_half_a_file(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    running = wired(path)
    before = running.configuration
    path.write_text(text)
    running.reload()
    path.unlink()
    running.reload()
    assert running.configuration is before and running.figures.config_rejected == 2


async def test_classes_appear_vanish_and_move_by_name(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    running = wired(path)
    changed = told(discovery="127.0.0.1:2")
    read, put, once = changed["settings"]["classes"]
    new = {**read, "name": "browse", "effect": "unsafe", "deadline": 7 * SECOND}
    changed["settings"]["classes"] = [once, new, {**read, "effect": "unsafe"}]
    changed["settings"]["hostTypes"] = ["origin", "new", "std"]
    changed["settings"]["specifics"]["originKind"] = 0
    changed["settings"]["ceilings"]["attemptsCap"] = 2
    changed["limits"]["sockets"] = 128
    path.write_text(json.dumps(changed))
    running.reload()
    assert running.clients.names.classes == {"once": 0, "browse": 1, "read": 2}
    now = running.driver.balancer.settings
    assert [one.effect for one in now.classes] == [api.Effect.UNSAFE] * 3
    assert (now.max_attempts, running.pools.most, running.watch.endpoints[0][1]) == (2, 45, 2)
    # Servers that are known carry their kinds' indexes: those stay, and new ones come behind them.
    assert running.directory.names.kinds == {"std": 0, "origin": 1, "new": 2}
    assert running.directory.origin_kind == now.origin_kind == 1
    lines = running.figures.lines()
    assert "edge_balancer.responses.browse.ok=0" in lines and "edge_balancer.responses.put.ok=0" in lines
    assert "edge_balancer.config_applied=1" in lines and "edge_balancer.config_rejected=0" in lines
    path.write_text(json.dumps(told()))
    running.reload()
    assert put["name"] in running.clients.names.classes and running.figures.config_applied == 2


def retuned(*classes: api.RequestClass, **changes: object) -> api.Retuned:
    return api.Retuned(settings(classes=list(classes), **changes))


def test_a_request_under_way_keeps_the_class_it_came_with() -> None:
    router = Router()
    _, (safe,) = router.ask("a", cls=0)
    _, (unsafe,) = router.ask("b", cls=2)
    strict = api.RequestClass(SECOND, 2 * SECOND, api.Effect.UNSAFE)
    router.tell(retuned(strict))
    (again,) = router.end(safe, api.Status.RESET)
    assert isinstance(again, api.Send)
    (failed,) = router.end(unsafe, api.Status.RESET)
    assert isinstance(failed, api.Fail)
    _, (newer,) = router.ask("c", cls=0)
    (failed,) = router.end(newer, api.Status.RESET)
    assert isinstance(failed, api.Fail)


def test_fewer_attempts_hold_for_requests_under_way_too() -> None:
    router = Router()
    _, (first,) = router.ask("a")
    router.tell(retuned(*settings().classes, max_attempts=1))
    (refused,) = router.end(first, api.Status.RESET)
    assert isinstance(refused, api.Refuse)


def test_rates_stay_when_their_spans_change() -> None:
    router = Router(settings(tenants=[api.Tenant(5.0), api.Tenant(5.0)]))
    for n in range(50):
        router.ask(f"k{n}")
        router.wait(SECOND // 50)
    before = router.balancer.roster.flow.per_second(router.now)
    router.tell(retuned(api.RequestClass(SECOND // 4, SECOND), tenants=[api.Tenant(9.0)]))
    assert abs(router.balancer.roster.flow.per_second(router.now) - before) < 1e-6 * before
    assert len(router.balancer.tenants.shares) == len(router.balancer.tenants.banks) == 1
    assert router.balancer.monitor.period == SECOND // 8
    router.ask("again")


async def test_a_class_that_vanished_is_answered_and_counted_for_its_requests_under_way() -> None:
    async with router(lambda asked, line: None) as bench:
        caller = await bench.caller()
        caller.get()
        await soon(lambda: bench.cache.got)
        bench.clients.names.classes = {"other": 0}
        bench.driver.tell(api.Retuned(settings(classes=[api.RequestClass(SECOND, SECOND)])))
        bench.cache.lines[0].write(hit())
        assert await caller.answer() == b"v"
        assert bench.driver.figures.responses["read"]["ok"] == 1  # type: ignore[index]
        caller.get(name=b"i2")
        assert str(await caller.answer()) == "ERR unknown class"


async def test_two_processes_share_what_one_may_use(tmp_path: Path) -> None:
    running = wired(tmp_path / "config.json")
    alone = (running.pools.most, running.driver.room.most)
    running._apply_limits(2)
    assert running.pools.most == alone[0] // 2 and running.driver.balancer.roster.copies == 2
    # Both programs' own memory goes off before the rest is shared.
    assert running.driver.room.most * 2 < alone[1]
    running._apply_limits(1)
    assert (running.pools.most, running.driver.room.most) == alone
