"""What discovery has counts as told 6 s later, 4 s after SIGHUP: every wait of a watch stays within that."""

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from peers import entry, http, info
from virtual import play

from applehub.node import call_schedule
from applehub.node.discovery import Directory
from applehub.node.driver import Driver
from applehub.node.figures import Figures
from applehub.node.pool import Pools
from applehub.node.watch import Watch
from applehub.policy import Balancer
from applehub.settings import read_names, read_settings

TOLD, TOLD_ANEW = 6.0, 4.0  # s from a change, and from SIGHUP
FULL, SILENT, TRICKLING, DOWN, CUT = "answers", "silent", "trickling", "503", "cut off"


class Service:
    """Discovery, which holds watches and can do wrong from a moment on. It answers as `how` says of each
    call: the words are used up one by one, the last stays."""

    def __init__(self) -> None:
        self.rev, self.how = 1, [FULL]
        self.asked: list[float] = []  # when, and with what hold
        self.holds: list[float] = []
        self.news, self.called = asyncio.Event(), asyncio.Event()

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def change(self) -> None:
        self.rev += 1
        self.news.set()
        self.news = asyncio.Event()

    def _how(self) -> str:
        return self.how.pop(0) if len(self.how) > 1 else self.how[0]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                asked = parse_qs(urlsplit(head.split()[1].decode()).query)
                since, hold = int(asked.get("from", ["-1"])[0]), int(asked.get("hold_ms", ["0"])[0]) / 1000
                self.asked.append(asyncio.get_running_loop().time())
                self.holds.append(hold)
                self.called.set()
                if await self._answer(writer, self._how(), since, hold):
                    break
        writer.transport.abort()

    async def _answer(self, writer: asyncio.StreamWriter, how: str, since: int, hold: float) -> bool:
        """Whether the connection ends."""
        if how == FULL and since == self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), hold)
        told = {"rev": self.rev, "all": since < 0, "targets": [entry("c0", f"127.0.0.1:{self.rev}")]}
        whole = http(200, json.dumps(told).encode())
        if how == FULL:
            writer.write(whole)
        elif how == SILENT:
            await asyncio.Event().wait()
        elif how == TRICKLING:
            for at in range(len(whole) - 1):
                if writer.transport.is_closing():
                    return True
                writer.write(whole[at : at + 1])
                await asyncio.sleep(0.3)
        elif how == DOWN:
            writer.write(http(503))
        return how == CUT


class Told:
    """A watch with the decisions that say when to ask again."""

    def __init__(self, must_ask: bool, *endpoints: tuple[str, int]) -> None:
        told = {**info(), "registryMode": "on_request" if must_ask else "pushed"}
        settings = read_settings(told)
        self.driver = Driver(Balancer(settings, 1), Pools(64, 0.25, 60.0), 100, Figures())
        self.directory = Directory(read_names(told), 1, self.driver.pools, self.driver.notify)
        self.watch = Watch(list(endpoints), self.directory, 1, must_ask)
        self.driver.start_watch = self.watch.start
        self.directory.apply({"rev": 1, "targets": [entry("c0", "127.0.0.1:1")]}, cached=True)
        self.took = asyncio.Event()
        self.directory.on_update = lambda answer, whole: self.took.set()
        self.watch.start()

    async def heard(self, rev: int) -> float:
        """Waits until a version is here; gives the time."""
        async with asyncio.timeout(60):
            while self.directory.rev < rev:
                self.took.clear()
                await self.took.wait()
        return asyncio.get_running_loop().time()


async def watching(service: Service, calls: int) -> None:
    async with asyncio.timeout(60):
        while len(service.asked) < calls:
            service.called.clear()
            await service.called.wait()


@pytest.mark.parametrize("must_ask", [False, True])
@pytest.mark.parametrize(
    "how",
    [
        [SILENT, FULL],
        [SILENT, SILENT, FULL],
        [SILENT, DOWN, DOWN, FULL],
        [SILENT, CUT, FULL],
        [TRICKLING, FULL],
        [TRICKLING, TRICKLING, FULL],
        [CUT, SILENT, FULL],
        [DOWN, SILENT, FULL],
        [FULL, SILENT, FULL],
    ],
    ids=" then ".join,
)
def test_a_change_right_after_a_call_that_goes_wrong_is_here_in_time(
    monkeypatch: pytest.MonkeyPatch, how: list[str], must_ask: bool
) -> None:
    async def test() -> None:
        service = Service()
        service.how = list(how)
        told = Told(must_ask, await service.start())
        await watching(service, 1 + (how[0] == FULL))
        changed = asyncio.get_running_loop().time()
        service.rev += 1  # a silent watch hears nothing of it
        if how[0] == FULL:
            service.change()
        assert await told.heard(service.rev) - changed <= TOLD
        told.watch.stop()
        service.server.close()

    play(monkeypatch, test)


@pytest.mark.parametrize("must_ask", [False, True])
@pytest.mark.parametrize("down", [DOWN, CUT, SILENT, TRICKLING])
@pytest.mark.parametrize("after", [[FULL], [SILENT, FULL]], ids=" then ".join)
def test_what_happened_while_discovery_was_away_is_here_in_time_after_its_return(
    monkeypatch: pytest.MonkeyPatch, down: str, after: list[str], must_ask: bool
) -> None:
    """Its return is tried at several moments of the pauses and calls that failed before."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        for late in range(0, 40, 5):
            service = Service()
            service.how = [down]
            told = Told(must_ask, await service.start())
            await asyncio.sleep(20 + late / 10)
            service.rev += 1
            service.how, back = list(after), loop.time()
            assert await told.heard(2) - back <= TOLD
            told.watch.stop()
            service.server.close()

    play(monkeypatch, test)


@pytest.mark.parametrize("must_ask", [False, True])
@pytest.mark.parametrize("before", [FULL, SILENT, DOWN])
@pytest.mark.parametrize("after", [[FULL], [SILENT, FULL], [TRICKLING, FULL], [CUT, FULL]], ids=" then ".join)
def test_what_a_new_address_has_is_here_in_time_after_sighup(
    monkeypatch: pytest.MonkeyPatch, before: str, after: list[str], must_ask: bool
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        for late in range(0, 40, 7):
            old, new = Service(), Service()
            old.how, new.how, new.rev = [before], list(after), 2
            told = Told(must_ask, await old.start())
            address = await new.start()
            await asyncio.sleep(10 + late / 10)
            moved = loop.time()
            told.watch.set_endpoints([address])
            assert await told.heard(2) - moved <= TOLD_ANEW
            told.watch.stop()
            for one in (old, new):
                one.server.close()

    play(monkeypatch, test)


@pytest.mark.parametrize("must_ask", [False, True])
def test_a_connection_to_discovery_that_never_comes_up_costs_no_more(
    monkeypatch: pytest.MonkeyPatch, must_ask: bool
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        service = Service()
        address = await service.start()
        connect, dials = loop.create_connection, 0

        async def first_never(*args: Any, **more: Any) -> Any:
            nonlocal dials
            dials += 1
            if dials <= 2:
                await asyncio.Event().wait()
            return await connect(*args, **more)

        monkeypatch.setattr(loop, "create_connection", first_never)
        begun = loop.time()
        told = Told(must_ask, address)
        service.rev += 1
        assert await told.heard(2) - begun <= TOLD
        assert dials == 3
        told.watch.stop()
        service.server.close()

    play(monkeypatch, test)


@pytest.mark.parametrize("must_ask", [False, True])
def test_several_addresses_together_draw_on_one_time(monkeypatch: pytest.MonkeyPatch, must_ask: bool) -> None:
    async def test() -> None:
        services = [Service() for _ in range(3)]
        told = Told(must_ask, *[await one.start() for one in services])
        first = await holding(*services)
        changed = asyncio.get_running_loop().time()
        for one in services:
            one.rev += 1
            one.how = [SILENT]
        good = services[(first - 1) % 3]  # the last to be turned to
        good.how = [FULL]
        assert await told.heard(2) - changed <= TOLD
        told.watch.stop()
        for one in services:
            one.server.close()

    async def holding(*services: Service) -> int:
        calls = [asyncio.create_task(watching(one, 1)) for one in services]
        done, waiting = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        for one in waiting:
            one.cancel()
        return calls.index(done.pop())

    play(monkeypatch, test)


def test_a_quiet_discovery_is_asked_once_a_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorter holds cost a discovery that handles calls in turn for all routers."""

    async def test() -> None:
        service = Service()
        told = Told(True, await service.start())
        await asyncio.sleep(60)
        assert len(service.asked) <= 60 / call_schedule.MAX_HOLD + 1
        assert set(service.holds) == {call_schedule.MAX_HOLD}
        told.watch.stop()
        service.server.close()

    play(monkeypatch, test)
