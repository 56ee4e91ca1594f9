"""The watch over loopback sockets, and the router process from its start to SIGTERM."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from router_bench import WAIT_TIMEOUT, Cache, Caller, Web, entry, hit, http, info, router, wait_until

from applehub import interface as api
from applehub.node import call_schedule, pool
from applehub.node.discovery import Directory, ListError, read_endpoint
from applehub.node.memory_budget import buffer_limit_bytes
from applehub.node.pool import Pools
from applehub.node.watch import Watch
from applehub.settings import read_names

ROOT = Path(__file__).parent.parent


def make_directory() -> tuple[Directory, list[api.Members]]:
    events: list[api.Members] = []
    return Directory(read_names(info()), 1, Pools(64, 0.25, 60.0), events.append), events


def listing(rev: int, *entries: Any, full_list: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": full_list, "targets": list(entries)}


async def test_list_is_reported_with_indexes_and_monotonic_start_times() -> None:
    directory, events = make_directory()
    boot = time.time_ns() // 1_000_000 - 1000
    entries = (
        entry("c0", "127.0.0.1:1", az="b", pod_group=3, capacity_hint=1.5, boot_ms=boot),
        entry("o", "h:2"),
    )
    directory.apply(listing(1, *entries), cached=True)
    directory.apply(listing(2, *entries))
    member = events[0].entries[0]
    assert (member.server, member.zone, member.cell, member.weight) == ("c0", 1, 3, 1.5)
    assert abs(time.monotonic_ns() - 1_000_000_000 - member.since) < WAIT_TIMEOUT * 1e9
    assert events[0].entries[1].since == 0
    assert [event.kind for event in events] == [api.ListKind.CACHED, api.ListKind.FULL]
    assert events[1].entries[0].since == member.since  # an unchanged start time is no restart


async def test_older_version_is_ignored() -> None:
    directory, events = make_directory()
    directory.apply(listing(5, entry("c0", "127.0.0.1:1")))
    directory.apply(listing(4))
    directory.apply(listing(5, entry("c0", "127.0.0.1:1", state="Gone"), full_list=False))
    assert len(events) == 1 and directory.rev == 5 and directory.can_serve


async def test_invalid_entry_is_skipped_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    directory, events = make_directory()
    invalid_entries: list[Any] = [
        entry("x1", "127.0.0.1:1", model="m99"),
        entry("x2", "127.0.0.1:1", az="z"),
        entry("x3", "127.0.0.1:1", state="Dreaming"),
        entry("x4", "nowhere"),
        entry("x5", "127.0.0.1:1", boot_ms="then"),
        {"uid": "x6"},
        "x7",
    ]
    directory.apply(listing(1, *invalid_entries, entry("c0", "127.0.0.1:1")))
    assert [member.server for member in events[0].entries] == ["c0"]
    assert caplog.text.count("is skipped") == len(invalid_entries)
    answers: list[Any] = [None, [], {"targets": []}, {"rev": "1", "targets": []}, {"rev": 2}]
    for answer in answers:
        with pytest.raises(ListError):
            directory.apply(answer)


async def test_changed_endpoint_or_start_closes_old_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE", 0.0)  # both requests use one connection
    async with router(lambda request, writer: hit() if request[2] != b"hang" else None) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        caller.get(name=b"hang", info=b"c=once,t=acme,d=9000")
        await wait_until(lambda: len(bench.cache.received) == 2)
        boot = time.time_ns() // 1_000_000 + 1
        changed_entry = entry("c0", bench.cache.address, boot_ms=boot)
        bench.directory.apply(listing(6, changed_entry, full_list=False))
        # The server's old process has ended and may have executed the request.
        assert str(await caller.answer()) == "ERR failed"
        await wait_until(lambda: bench.cache.closed_connections == 1)
        second_cache = Cache(lambda request, writer: hit(b"second"))
        await second_cache.start()
        old_pool = bench.pools.pools["c0"]
        bench.directory.apply(
            listing(7, {**changed_entry, "endpoint": second_cache.address}, full_list=False)
        )
        assert bench.pools.pools["c0"] is not old_pool and old_pool.retired
        await second_cache.stop()


async def test_draining_server_completes_attempt_and_receives_no_new_one() -> None:
    async with router(lambda request, writer: None if request[2] == b"i1" else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        draining_entry = entry("c0", bench.cache.address, state="Terminating")
        bench.directory.apply(listing(6, draining_entry, full_list=False))
        other = await bench.caller()
        other.get(name=b"i2")
        assert str(await other.answer()).startswith("BUSY")
        bench.cache.writers[0].write(hit(b"late"))
        assert await caller.answer() == b"late"
        await wait_until(lambda: bench.cache.closed_connections == 1)
        assert len(bench.cache.received) == 1 and not bench.directory.can_serve
        other.send(b"PING")
        assert str(await other.answer()).startswith("LOADING")


def http_list(rev: int, *entries: Any, full_list: bool = True) -> bytes:
    return http(200, json.dumps(listing(rev, *entries, full_list=full_list)).encode())


async def test_watch_requests_full_list_only_if_changes_are_insufficient(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(call_schedule, "MAX_HOLD", 0.1)
    monkeypatch.setattr(call_schedule, "MIN_WATCH_TIMEOUT", 0.3)
    c0, c1 = entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:1")
    script: list[bytes | None] = [
        http_list(7, c0),
        http_list(8, c1, full_list=False),
        http(503),  # discovery is unavailable
        http_list(9, c0, c1),
        None,  # no response
        b"garbage\r\n\r\n",
        http(200, b"{not JSON"),
        http_list(10, c0),
    ]
    web = Web(lambda request, writer: script.pop(0) if script else None)
    await web.start()
    directory, events = make_directory()
    host, _, port = web.address.partition(":")
    watch = Watch([(host, int(port))], directory, 1, list_on_request=False)
    watch.start()
    await wait_until(lambda: directory.rev == 10 and len(web.received) > 8)
    targets = [request[1] for request in web.received[:9]]
    full_target, changes_target = b"/api/targets", b"/api/targets?from=%d&hold_ms=%d"
    # After a failed call, missing changes are requested without waiting.
    changes = [
        changes_target % arguments for arguments in ((7, 100), (8, 100), (8, 0), (9, 100), (9, 0), (9, 0))
    ]
    assert targets == [full_target, *changes, full_target, changes_target % (10, 100)]
    assert [event.kind for event in events] == [
        api.ListKind.FULL,
        api.ListKind.DELTA,
        api.ListKind.FULL,
        api.ListKind.FULL,
    ]
    watch.stop()
    await web.stop()


async def test_next_address_is_called_at_once_with_current_version() -> None:
    c0, c1 = entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:1")
    answers = {"first": [http_list(7, c0)], "second": [http_list(6, c1), http_list(8, c1, full_list=False)]}

    def serving(responses: list[bytes]) -> Web:
        return Web(lambda request, writer: responses.pop(0) if responses else http(503))

    webs = {name: serving(responses) for name, responses in answers.items()}
    for web in webs.values():
        await web.start()
    directory, events = make_directory()
    endpoints = [read_endpoint(web.address) for web in webs.values()]
    watch = Watch(endpoints, directory, 1, list_on_request=True)
    watch.endpoint_index = 0
    watch.start()
    # A failure is reported only after both addresses have failed.
    await wait_until(lambda: events and events[-1].kind is api.ListKind.FAILED)
    # The older list of the second address was ignored.
    assert directory.rev == 8 and set(directory.targets) == {"c0", "c1"}
    assert [event.kind for event in events] == [api.ListKind.FULL, api.ListKind.DELTA, api.ListKind.FAILED]
    assert [request[1] for request in webs["second"].received][:2] == [
        b"/api/targets?from=7&hold_ms=0",
        b"/api/targets?from=7&hold_ms=2500",
    ]
    start_indexes = {
        Watch(endpoints, directory, seed, list_on_request=True).endpoint_index for seed in range(20)
    }
    assert start_indexes == {0, 1}
    watch.stop()
    for web in webs.values():
        await web.stop()


async def test_failure_is_reported_to_balancer_if_lists_are_requested() -> None:
    web = Web(lambda request, writer: http(503))
    await web.start()
    directory, events = make_directory()
    host, _, port = web.address.partition(":")
    watch = Watch([(host, int(port))], directory, 1, list_on_request=True)
    watch.start()
    await wait_until(lambda: events)
    assert events[0].kind is api.ListKind.FAILED and len(web.received) == 1
    await wait_until(lambda: watch.task is not None and watch.task.done())
    watch.start()
    await wait_until(lambda: len(events) == 2)
    watch.stop()
    await web.stop()


async def test_router_with_cached_list_requests_changes_and_keeps_list_on_failures() -> None:
    """A router with a cached list requests only its changes, because full lists would overload discovery."""
    answers: list[bytes | None] = [http(503), b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", http(500)]
    web = Web(lambda request, writer: answers.pop(0) if answers else None)
    await web.start()
    directory, events = make_directory()
    directory.apply(listing(41, entry("c0", "127.0.0.1:1")), cached=True)
    host, _, port = web.address.partition(":")
    watch = Watch([(host, int(port))], directory, 1, list_on_request=True)
    for failures in (1, 2, 3):
        watch.start()
        await wait_until(lambda n=failures: len(web.received) == n)  # type: ignore[misc]
        if failures == 2:
            web.writers[-1].close()  # closes the connection in the middle of a response
        await wait_until(lambda n=failures: len(events) == n + 1)  # type: ignore[misc]
    changes_target = b"/api/targets?from=41&hold_ms=%d"
    assert [request[1] for request in web.received] == [
        changes_target % 2500,
        changes_target % 0,
        changes_target % 0,
    ]
    assert [event.kind for event in events[1:]] == [api.ListKind.FAILED] * 3
    assert directory.can_serve and directory.rev == 41
    watch.stop()
    await web.stop()


def configuration(tmp_path: Path, **changes: Any) -> dict[str, str]:
    source = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "settings": info(),
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**source, **changes}))
    return {**os.environ, "BALANCER_CONFIG": str(path)}


async def start_program(env: dict[str, str]) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "applehub", env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "nowhere"},
        {"discovery": None},
        {"seed": "xyz"},
        {"settings": None},
        {"settings": {"classes": []}},
        {"limits": {"sockets": "many"}},
        {"limits": {"memory_mb": "much"}},
        {"listen": "127.0.0.1:99999"},
    ],
)
async def test_invalid_configuration_exits_with_one_line(tmp_path: Path, changes: Any) -> None:
    process = await start_program(configuration(tmp_path, **changes))
    _, stderr = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT)
    assert process.returncode == 2
    assert stderr.startswith(b"applehub: ") and stderr.count(b"\n") == 1


async def test_port_in_use_exits_with_one_line(tmp_path: Path) -> None:
    occupied = Web(lambda request, writer: None)
    await occupied.start()
    process = await start_program(configuration(tmp_path, listen=occupied.address))
    _, stderr = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT)
    assert process.returncode == 2
    assert stderr.startswith(b"applehub: can't listen") and stderr.count(b"\n") == 1
    await occupied.stop()


async def test_missing_configuration_exits_with_one_line(tmp_path: Path) -> None:
    for env in ({"BALANCER_CONFIG": ""}, {"BALANCER_CONFIG": str(tmp_path / "none")}):
        process = await start_program({**os.environ, **env})
        _, stderr = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT)
        assert process.returncode == 2
        assert stderr.startswith(b"applehub: ") and stderr.count(b"\n") == 1


def test_value_budget_leaves_memory_for_program() -> None:
    """The budget for buffered values leaves memory for the program itself, down to a limit of 32 MB."""
    assert [buffer_limit_bytes(memory) >> 20 for memory in (32, 64, 192)] == [3, 19, 83]


async def test_sighup_switches_to_new_discovery_address(tmp_path: Path) -> None:
    """SIGHUP does not end the router, and it switches to the new address of discovery."""
    list_response = http(200, json.dumps(listing(1)).encode())
    old = Web(lambda request, writer: list_response if len(old.received) == 1 else None)
    new = Web(lambda request, writer: None)
    await old.start()
    await new.start()
    process = await start_program(configuration(tmp_path, discovery=old.address))
    assert process.stderr is not None
    await wait_until(lambda: old.received)
    (tmp_path / "config.json").write_text("no configuration")
    process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(WAIT_TIMEOUT):
        while line := await process.stderr.readline():
            if b"reload failed, configuration rejected" in line:
                break
    configuration(tmp_path, discovery=new.address)
    process.send_signal(signal.SIGHUP)
    stderr_task = asyncio.create_task(process.stderr.read())
    await wait_until(lambda: new.received or process.returncode is not None)
    assert new.received[0][:2] == (b"GET", b"/api/targets?from=1&hold_ms=0")
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT) == 0
    await stderr_task
    for web in (old, new):
        await web.stop()


async def test_program_answers_pending_requests_on_sigterm(tmp_path: Path) -> None:
    cache = Cache(lambda request, writer: None if request[2] == b"slow" else hit())
    await cache.start()
    known = listing(3, entry("c0", cache.address))
    process = await start_program(configuration(tmp_path, known=known))
    assert process.stderr is not None
    address = None
    async with asyncio.timeout(WAIT_TIMEOUT):
        while address is None:
            line = await process.stderr.readline()
            assert line
            if b"listening on " in line:
                address = line.decode().rsplit(" ", 1)[1].strip().rsplit(":", 1)
    stderr_task = asyncio.create_task(process.stderr.read())
    caller = Caller(*await asyncio.open_connection(address[0], int(address[1])))
    slow = Caller(*await asyncio.open_connection(address[0], int(address[1])))
    caller.send(b"PING")
    assert await caller.answer() == b"PONG"
    slow.get(name=b"slow")
    await wait_until(lambda: cache.received)
    started_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    for signal_number in (signal.SIGHUP, signal.SIGTERM):  # further signals are ignored during shutdown
        process.send_signal(signal_number)
    late = Caller(*await asyncio.open_connection(address[0], int(address[1])))
    late.get(name=b"late")
    assert await late.answer() == b"v"
    caller.get(name=b"i1")
    assert await caller.answer() == b"v"
    assert str(await slow.answer()) == "ERR failed"
    assert [await one.answer() for one in (caller, slow, late)] == [None] * 3
    assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT) == 0
    assert time.monotonic() - started_at >= 0.5
    await stderr_task
    await cache.stop()
