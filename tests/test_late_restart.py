"""A list that tells of a server's restart late concerns the connections to the old process alone."""

import asyncio
import time
from typing import Any

import pytest
from router_bench import Bench, Caller, entry, hit, router, wait_until
from test_discovery import listing
from virtual_time import run_in_virtual_time

LONG = bytes(range(256)) * 1024
SENT_AT_ONCE = 100_000  # bytes of a long answer that the server sends before the list tells of its restart
EPOCH = 1_790_000_000 * 1_000_000_000  # Unix time in ns at which the virtual clock is 0
# Seconds by which the router's wall clock is ahead of that of the list service.
CLOCK_DIFFERENCES = [0, 3_600, -3_600, 3, -3]
READ, ONCE = b"c=read,t=acme,d=9000", b"c=once,t=acme,d=9000"


class Restart:
    """A restart of the cache server, of which a list tells after another one that still lacks it."""

    def __init__(self, bench: Bench, clock_difference: int) -> None:
        self.bench, self.clock_difference = bench, clock_difference
        self.boot_ms = 0
        self.notify(5, boot_ms=self.listed_ms() - 600_000)  # discovery has answered before

    def listed_ms(self) -> int:
        """Returns the current time as the list service gives it (Unix time in ms)."""
        return time.time_ns() // 1_000_000 - self.clock_difference * 1000

    def happens(self) -> None:
        self.boot_ms = self.listed_ms()

    def notify(self, rev: int, **fields: Any) -> None:
        changed = [entry("c0", self.bench.cache.address, **fields)] if fields else []
        self.bench.directory.apply(listing(rev, *changed, full_list=False))

    async def becomes_known(self) -> None:
        """Discovery answers without the restart a second after it, and tells of it another second later."""
        await asyncio.sleep(1)
        self.notify(5)
        await asyncio.sleep(1)
        self.notify(6, boot_ms=self.boot_ms)


def set_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the wall clock follow the virtual clock."""
    monkeypatch.setattr(time, "time_ns", lambda: EPOCH + time.monotonic_ns())


async def send(bench: Bench, caller: Caller, name: bytes, info: bytes = READ) -> None:
    """Sends a read and waits until the cache server has it."""
    count = len(bench.cache.received)
    caller.get(name=name, info=info)
    await wait_until(lambda: len(bench.cache.received) > count)


# Guards against long answers of a restarted server that are cut off when the list tells of the restart.
@pytest.mark.parametrize("clock_difference", CLOCK_DIFFERENCES)
def test_answer_of_new_process_is_complete_although_list_tells_of_restart_late(
    monkeypatch: pytest.MonkeyPatch, clock_difference: int
) -> None:
    async def test() -> None:
        set_wall_clock(monkeypatch)
        async with router(lambda request, writer: hit(LONG)[:SENT_AT_ONCE]) as bench:
            restart = Restart(bench, clock_difference)
            await asyncio.sleep(30)
            restart.happens()
            caller = await bench.caller()
            await send(bench, caller, b"i1")
            await restart.becomes_known()
            bench.cache.writers[0].write(hit(LONG)[SENT_AT_ONCE:])
            assert await caller.answer() == LONG
            assert len(bench.cache.received) == 1

    run_in_virtual_time(monkeypatch, test)


# Guards against requests to a restarted server that fail when the list tells of the restart.
def test_request_at_new_process_is_answered_although_list_tells_of_restart_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        set_wall_clock(monkeypatch)
        async with router(lambda request, writer: None) as bench:
            restart = Restart(bench, 0)
            await asyncio.sleep(30)
            restart.happens()
            caller = await bench.caller()
            await send(bench, caller, b"i1", ONCE)
            await restart.becomes_known()
            bench.cache.writers[0].write(hit())
            assert await caller.answer() == b"v"

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("long_answer", [True, False], ids=["long answer", "no answer yet"])
def test_connection_to_old_process_is_closed_when_list_tells_of_restart(
    monkeypatch: pytest.MonkeyPatch, long_answer: bool
) -> None:
    """The machine of the old process vanished, so its connections stay open and silent."""

    async def test() -> None:
        def answer(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            return hit(LONG)[:SENT_AT_ONCE] if long_answer else None

        set_wall_clock(monkeypatch)
        async with router(answer) as bench:
            restart = Restart(bench, 0)
            await asyncio.sleep(30)
            caller = await bench.caller()
            await send(bench, caller, b"i1", ONCE)
            await asyncio.sleep(0.1)
            restart.happens()
            await restart.becomes_known()
            await wait_until(lambda: bench.cache.closed_connections == 1)
            assert str(await caller.answer()) == ("None" if long_answer else "ERR failed")

    run_in_virtual_time(monkeypatch, test)
