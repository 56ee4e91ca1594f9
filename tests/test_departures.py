"""A client that has gone is worked for no longer than 0.1 s, whatever its connection did when it left."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from peers import MISS, Bench, Caller, hit, http, router
from virtual import play

from applehub.node import clients, resp

SEEN = 0.1  # s after which no attempt may begin for a client that has left


def leaves(caller: Caller, how: str) -> None:
    """Ends a client's connection: in the ordinary way, or by a reset."""
    line = caller.writer.transport.get_extra_info("socket")
    if how == "resets":
        line.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    elif how == "ends its sending":
        line.shutdown(socket.SHUT_WR)
        return
    caller.writer.transport.abort()


async def nothing_begins(
    bench: Bench, caller: Caller, how: str, then: Callable[[], Any] = lambda: None
) -> None:
    """The client leaves; 0.1 s later all that is out may end as it likes, and nothing more begins."""
    leaves(caller, how)
    await asyncio.sleep(SEEN)
    before = len(bench.cache.got) + len(bench.origin.got)
    then()
    await asyncio.sleep(2 * clients.STUCK)
    assert len(bench.cache.got) + len(bench.origin.got) == before
    assert not bench.driver.held and bench.driver.room.used == 0 and not bench.driver.balancer.jobs


def answer_all(bench: Bench, answer: bytes) -> Callable[[], None]:
    def write() -> None:
        for line in bench.cache.lines:
            if not line.transport.is_closing():
                line.write(answer)

    return write


HOWS = pytest.mark.parametrize("how", ["closes", "resets", "ends its sending"])


@HOWS
def test_commands_behind_a_full_pipeline_are_not_taken_up(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """Reading was paused, so the end was not seen: each answer took up one command more, for nobody."""

    async def test() -> None:
        async with router(lambda asked, line: None, sockets=256) as bench:
            caller = await bench.caller()
            for n in range(3 * clients.MOST_PIPELINED):
                caller.get(name=b"i%d" % n)
            await asyncio.sleep(0.01)
            (client,) = bench.clients.open
            assert len(client.slots) == clients.MOST_PIPELINED and client.frames.buffer
            await nothing_begins(bench, caller, how, answer_all(bench, hit()))

    play(monkeypatch, test)


@HOWS
def test_a_miss_of_a_client_behind_a_full_pipeline_goes_no_further(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """The end stands behind bytes that were not read: it shows only where it is looked for."""

    async def test() -> None:
        async with router(lambda asked, line: None, sockets=256) as bench:
            caller = await bench.caller()
            for n in range(clients.MOST_PIPELINED):
                caller.get(name=b"i%d" % n)
            await asyncio.sleep(0.01)
            caller.get(name=b"unread")
            await asyncio.sleep(0.01)
            await nothing_begins(bench, caller, how, answer_all(bench, MISS))

    play(monkeypatch, test)


@HOWS
def test_who_reads_nothing_and_leaves_is_missed(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """Written answers that nobody read kept the connection, and with it what waited behind them."""

    async def test() -> None:
        async with router(
            lambda asked, line: hit(bytes(resp.MOST_LONG)) if asked[2] == b"big" else None, sockets=256
        ) as bench:
            caller = await bench.caller()
            caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
            caller.get(name=b"big")
            for n in range(8):
                caller.get(name=b"i%d" % n)
            await asyncio.sleep(0.1)
            (client,) = bench.clients.open
            assert client.blocked
            await nothing_begins(bench, caller, how, answer_all(bench, MISS))

    play(monkeypatch, test)


@HOWS
def test_who_says_quit_and_leaves_is_missed(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        async with router(lambda asked, line: None) as bench:
            caller = await bench.caller()
            caller.get()
            caller.send(b"QUIT")
            await asyncio.sleep(0.01)
            await nothing_begins(bench, caller, how, answer_all(bench, MISS))

    play(monkeypatch, test)


@HOWS
def test_a_request_that_waits_for_a_token_is_dropped(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        async with router(lambda asked, line: MISS, origin=lambda asked, line: http(503)) as bench:
            first = await bench.caller()
            balancer = bench.driver.balancer
            n = 0
            while balancer.monitor.throttle is None:
                n += 1
                first.get(b"k%d" % n, b"a%d" % n)
                await first.answer()
                await asyncio.sleep(0.5)
                assert n < 40
            throttle = balancer.monitor.throttle
            throttle.rate, throttle.level = 0.5, 0
            caller = await bench.caller()
            caller.get(b"fresh", b"waits")
            await asyncio.sleep(0.01)
            assert "waits" in throttle.queue
            await nothing_begins(bench, caller, how)

    play(monkeypatch, test)


@HOWS
def test_a_write_that_waits_to_be_sent_again_is_dropped(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        async with router(origin=lambda asked, line: http(503, b"", b"X-Rejected: 1\r\n")) as bench:
            caller = await bench.caller()
            caller.send(b"C.SET", b"k", b"w", b"c=put,t=acme,d=9000,k=1", b"value")
            await asyncio.sleep(0.05)
            assert len(bench.origin.got) == 1 and bench.driver.held
            await nothing_begins(bench, caller, how)

    play(monkeypatch, test)


@HOWS
def test_who_waits_for_another_ones_fetch_is_dropped(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        async with router(lambda asked, line: MISS, origin=lambda asked, line: None) as bench:
            fetcher, caller = await bench.caller(), await bench.caller()
            fetcher.get(name=b"i1")
            await asyncio.sleep(0.01)
            caller.get(name=b"i2")
            await asyncio.sleep(0.01)
            assert len(bench.origin.got) == 1
            leaves(caller, how)
            await asyncio.sleep(SEEN)
            before = len(bench.cache.got)
            bench.origin.lines[
                0
            ].transport.abort()  # the fetch breaks: it is asked for again, by its own client
            await asyncio.sleep(8)
            asked = [one[2][b"x-call-id"] for one in bench.origin.got]
            assert set(asked) == {b"i1"} and len(bench.cache.got) == before

    play(monkeypatch, test)


def test_a_burst_of_departures_ends_all_of_them(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda asked, line: None, sockets=256) as bench:
            callers = [await bench.caller() for _ in range(20)]
            for at, caller in enumerate(callers):
                for n in range(40):
                    caller.get(name=b"i%d-%d" % (at, n))
            await asyncio.sleep(0.01)
            for caller in callers[1:]:
                leaves(caller, "closes")
            await nothing_begins(bench, callers[0], "closes", answer_all(bench, MISS))

    play(monkeypatch, test)


async def test_an_attempt_that_its_server_has_whole_runs_on() -> None:
    """Its connection stays of use: a close would cost another handshake."""
    async with router(lambda asked, line: None) as bench:
        caller = await bench.caller()
        caller.get()
        while not bench.cache.got:
            await asyncio.sleep(0)
        leaves(caller, "closes")
        while bench.driver.held["i1"].open:
            await asyncio.sleep(0)
        bench.cache.lines[0].write(hit())
        while bench.driver.held:
            await asyncio.sleep(0)
        assert bench.pools.pools["c0"].idle and not bench.cache.ended
