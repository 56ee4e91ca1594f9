"""A change of the list reaches a router within 6 s, or 4 s after SIGHUP, even if calls to discovery fail."""

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from router_bench import entry, http, info
from virtual_time import run_in_virtual_time

from applehub.node import call_schedule
from applehub.node.discovery import Directory
from applehub.node.driver import Driver
from applehub.node.metrics import Metrics
from applehub.node.pool import Pools
from applehub.node.watch import Watch
from applehub.policy import Balancer
from applehub.settings import read_names, read_settings

CHANGE_DEADLINE, RELOAD_DEADLINE = 6.0, 4.0  # maximum seconds from a change, and from SIGHUP
ANSWERING, SILENT, TRICKLING, DOWN, CUT_OFF = "answers", "silent", "trickling", "503", "cut off"


class FaultyDiscovery:
    """A discovery service that holds long polls and can fail in several ways.

    behaviours: the behaviour for each call, in order; the last one applies to all later calls too.
    """

    def __init__(self) -> None:
        self.rev, self.behaviours = 1, [ANSWERING]
        self.call_times: list[float] = []
        self.holds: list[float] = []
        self.change_event, self.call_event = asyncio.Event(), asyncio.Event()

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def change(self) -> None:
        self.rev += 1
        self.change_event.set()
        self.change_event = asyncio.Event()

    def _next_behaviour(self) -> str:
        return self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                since, hold = int(query.get("from", ["-1"])[0]), int(query.get("hold_ms", ["0"])[0]) / 1000
                self.call_times.append(asyncio.get_running_loop().time())
                self.holds.append(hold)
                self.call_event.set()
                if await self._answer(writer, self._next_behaviour(), since, hold):
                    break
        writer.transport.abort()

    async def _answer(self, writer: asyncio.StreamWriter, behaviour: str, since: int, hold: float) -> bool:
        """Answers a call; returns whether the connection ends."""
        if behaviour == ANSWERING and since == self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change_event.wait(), hold)
        update = {"rev": self.rev, "all": since < 0, "targets": [entry("c0", f"127.0.0.1:{self.rev}")]}
        response = http(200, json.dumps(update).encode())
        if behaviour == ANSWERING:
            writer.write(response)
        elif behaviour == SILENT:
            await asyncio.Event().wait()
        elif behaviour == TRICKLING:
            for index in range(len(response) - 1):
                if writer.transport.is_closing():
                    return True
                writer.write(response[index : index + 1])
                await asyncio.sleep(0.3)
        elif behaviour == DOWN:
            writer.write(http(503))
        return behaviour == CUT_OFF


class WatchHarness:
    """A watch with its directory and balancer."""

    def __init__(self, list_on_request: bool, *endpoints: tuple[str, int]) -> None:
        settings_json = {**info(), "registryMode": "on_request" if list_on_request else "pushed"}
        settings = read_settings(settings_json)
        self.driver = Driver(Balancer(settings, 1), Pools(64, 0.25, 60.0), 100, Metrics())
        self.directory = Directory(read_names(settings_json), 1, self.driver.pools, self.driver.notify)
        self.watch = Watch(list(endpoints), self.directory, 1, list_on_request)
        self.driver.start_watch = self.watch.start
        self.directory.apply({"rev": 1, "targets": [entry("c0", "127.0.0.1:1")]}, cached=True)
        self.applied = asyncio.Event()
        self.directory.on_update = lambda answer, full_list: self.applied.set()
        self.watch.start()

    async def wait_for_version(self, rev: int) -> float:
        """Waits until a version of the list is applied; returns the time."""
        async with asyncio.timeout(60):
            while self.directory.rev < rev:
                self.applied.clear()
                await self.applied.wait()
        return asyncio.get_running_loop().time()


async def wait_for_calls(service: FaultyDiscovery, calls: int) -> None:
    async with asyncio.timeout(60):
        while len(service.call_times) < calls:
            service.call_event.clear()
            await service.call_event.wait()


@pytest.mark.parametrize("list_on_request", [False, True])
@pytest.mark.parametrize(
    "behaviours",
    [
        [SILENT, ANSWERING],
        [SILENT, SILENT, ANSWERING],
        [SILENT, DOWN, DOWN, ANSWERING],
        [SILENT, CUT_OFF, ANSWERING],
        [TRICKLING, ANSWERING],
        [TRICKLING, TRICKLING, ANSWERING],
        [CUT_OFF, SILENT, ANSWERING],
        [DOWN, SILENT, ANSWERING],
        [ANSWERING, SILENT, ANSWERING],
    ],
    ids=" then ".join,
)
def test_change_after_failed_call_arrives_in_time(
    monkeypatch: pytest.MonkeyPatch, behaviours: list[str], list_on_request: bool
) -> None:
    async def test() -> None:
        service = FaultyDiscovery()
        service.behaviours = list(behaviours)
        harness = WatchHarness(list_on_request, await service.start())
        await wait_for_calls(service, 1 + (behaviours[0] == ANSWERING))
        changed_at = asyncio.get_running_loop().time()
        service.rev += 1  # a silent call does not return this change
        if behaviours[0] == ANSWERING:
            service.change()
        assert await harness.wait_for_version(service.rev) - changed_at <= CHANGE_DEADLINE
        harness.watch.stop()
        service.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("list_on_request", [False, True])
@pytest.mark.parametrize("outage", [DOWN, CUT_OFF, SILENT, TRICKLING])
@pytest.mark.parametrize("later_behaviours", [[ANSWERING], [SILENT, ANSWERING]], ids=" then ".join)
def test_change_during_outage_arrives_in_time_after_recovery(
    monkeypatch: pytest.MonkeyPatch, outage: str, later_behaviours: list[str], list_on_request: bool
) -> None:
    """Discovery recovers at various moments between the failed calls."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        for delay in range(0, 40, 5):
            service = FaultyDiscovery()
            service.behaviours = [outage]
            harness = WatchHarness(list_on_request, await service.start())
            await asyncio.sleep(20 + delay / 10)
            service.rev += 1
            service.behaviours, recovered_at = list(later_behaviours), loop.time()
            assert await harness.wait_for_version(2) - recovered_at <= CHANGE_DEADLINE
            harness.watch.stop()
            service.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("list_on_request", [False, True])
@pytest.mark.parametrize("old_behaviour", [ANSWERING, SILENT, DOWN])
@pytest.mark.parametrize(
    "new_behaviours",
    [[ANSWERING], [SILENT, ANSWERING], [TRICKLING, ANSWERING], [CUT_OFF, ANSWERING]],
    ids=" then ".join,
)
def test_list_of_new_address_arrives_in_time_after_reload(
    monkeypatch: pytest.MonkeyPatch, old_behaviour: str, new_behaviours: list[str], list_on_request: bool
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        for delay in range(0, 40, 7):
            old, new = FaultyDiscovery(), FaultyDiscovery()
            old.behaviours, new.behaviours, new.rev = [old_behaviour], list(new_behaviours), 2
            harness = WatchHarness(list_on_request, await old.start())
            address = await new.start()
            await asyncio.sleep(10 + delay / 10)
            reloaded_at = loop.time()
            harness.watch.set_endpoints([address])
            assert await harness.wait_for_version(2) - reloaded_at <= RELOAD_DEADLINE
            harness.watch.stop()
            for service in (old, new):
                service.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("list_on_request", [False, True])
def test_connect_that_never_completes_is_replaced_in_time(
    monkeypatch: pytest.MonkeyPatch, list_on_request: bool
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        service = FaultyDiscovery()
        address = await service.start()
        connect, connect_count = loop.create_connection, 0

        async def never_connect_first(*args: Any, **kwargs: Any) -> Any:
            nonlocal connect_count
            connect_count += 1
            if connect_count <= 2:
                await asyncio.Event().wait()
            return await connect(*args, **kwargs)

        monkeypatch.setattr(loop, "create_connection", never_connect_first)
        started_at = loop.time()
        harness = WatchHarness(list_on_request, address)
        service.rev += 1
        assert await harness.wait_for_version(2) - started_at <= CHANGE_DEADLINE
        assert connect_count == 3
        harness.watch.stop()
        service.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("list_on_request", [False, True])
def test_all_addresses_share_one_deadline(monkeypatch: pytest.MonkeyPatch, list_on_request: bool) -> None:
    async def test() -> None:
        services = [FaultyDiscovery() for _ in range(3)]
        harness = WatchHarness(list_on_request, *[await service.start() for service in services])
        first_index = await first_called(*services)
        changed_at = asyncio.get_running_loop().time()
        for service in services:
            service.rev += 1
            service.behaviours = [SILENT]
        working = services[(first_index - 1) % 3]  # the address that is called last
        working.behaviours = [ANSWERING]
        assert await harness.wait_for_version(2) - changed_at <= CHANGE_DEADLINE
        harness.watch.stop()
        for service in services:
            service.server.close()

    async def first_called(*services: FaultyDiscovery) -> int:
        calls = [asyncio.create_task(wait_for_calls(service, 1)) for service in services]
        finished, pending = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        return calls.index(finished.pop())

    run_in_virtual_time(monkeypatch, test)


def test_unchanged_list_is_polled_once_per_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Discovery serves all routers, so a watch without changes makes no more than one call per hold."""

    async def test() -> None:
        service = FaultyDiscovery()
        harness = WatchHarness(True, await service.start())
        await asyncio.sleep(60)
        assert len(service.call_times) <= 60 / call_schedule.MAX_HOLD + 1
        assert set(service.holds) == {call_schedule.MAX_HOLD}
        harness.watch.stop()
        service.server.close()

    run_in_virtual_time(monkeypatch, test)
