"""Connections of clients that break in the system's ways: the client has gone, and nobody else notices."""

import asyncio
import errno
import logging
import select
import socket
import struct
from contextlib import AsyncExitStack, ExitStack
from types import SimpleNamespace

import pytest
from peers import PATIENCE, Bench, hit, router, soon
from test_arrivals import get
from test_closes import PING, PONG, Raw, raw
from virtual import play

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults
from applehub.node import listener, resp
from applehub.node.clients import MOST_PIPELINED
from applehub.node.console import Console
from applehub.node.listener import IDLE_LEAST

BREAKS = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENETUNREACH", "EPIPE", "ENOBUFS", "ENOMEM"]
VALUE = b"v" * 5000


def peer_of(client: Raw) -> str:
    return f"127.0.0.1:{client.line.getsockname()[1]}"


def reset(client: Raw) -> None:
    client.line.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.line.close()


def complaints(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if record.levelno >= logging.WARNING]


async def still_serves(bench: Bench, other: Raw) -> None:
    """Another client is answered, on its connection and on a new one."""
    other.line.sendall(PING)
    assert await other.read() == PONG
    async with raw(bench):
        pass


@pytest.mark.parametrize("error", BREAKS)
def test_a_client_whose_reads_fail_has_gone(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str
) -> None:
    async def test() -> None:
        async with router(lambda asked, line: None) as bench, raw(bench) as other, raw(bench) as client:
            client.line.sendall(get(b"i1"))
            await soon(lambda: bench.cache.got)
            with SystemCallFaults(SystemCallFault("recv", error, peer=peer_of(client))) as faults:
                client.line.sendall(get(b"i2"))
                await soon(lambda: faults.count("recv", error))
                await soon(lambda: not bench.driver.held)
                assert len(bench.clients.open) == 1 and len(bench.cache.got) == 1
                await still_serves(bench, other)
                assert faults.count("recv") == 1
            await soon(lambda: len(bench.clients.open) == 1 and not bench.clients.ending)
            assert not bench.driver.room.used
        assert not complaints(caplog)

    play(monkeypatch, test)


@pytest.mark.parametrize("error", BREAKS)
@pytest.mark.parametrize("size", [1, 20_000], ids=["short answers", "long values"])
def test_a_client_whose_writes_fail_has_gone(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str, size: int
) -> None:
    """Twenty answers in a row: asyncio logs each write but the first few that comes after a failed one."""

    async def test() -> None:
        async with (
            router(lambda asked, line: hit(b"v" * size), sockets=256) as bench,
            raw(bench) as other,
            raw(bench) as client,
        ):
            with SystemCallFaults(SystemCallFault("send", error, peer=peer_of(client))) as faults:
                client.line.sendall(b"".join([PING, *[get(b"i%d" % n) for n in range(20)], PING * 20]))
                await soon(lambda: faults.count("send", error))
                await soon(lambda: not bench.driver.held and len(bench.clients.open) == 1)
                await still_serves(bench, other)
                assert faults.count("send") == 1
            assert not bench.driver.room.used and not bench.clients.ending
        assert not complaints(caplog)

    play(monkeypatch, test)


def test_no_request_of_a_client_whose_write_failed_is_taken_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """All stand in one read behind a command whose answer is written first."""

    async def test() -> None:
        async with router(lambda asked, line: hit()) as bench, raw(bench) as client:
            client.line.sendall(get(b"first"))
            assert await client.read() == b"$1\r\nv\r\n"
            await asyncio.sleep(1)  # its connection to the cache server takes a request at once
            with SystemCallFaults(SystemCallFault("send", "ETIMEDOUT", peer=peer_of(client))) as faults:
                client.line.sendall(PING * 40 + get(b"late"))
                await soon(lambda: faults.count("send"))
                await asyncio.sleep(1)
            assert [asked[2] for asked in bench.cache.got] == [b"first"]

    play(monkeypatch, test)


@pytest.mark.parametrize("short", [1, 7, 1000])
def test_short_calls_change_no_byte(monkeypatch: pytest.MonkeyPatch, short: int) -> None:
    async def test() -> None:
        async with router(lambda asked, line: hit(VALUE)) as bench, raw(bench) as client:
            local = f"127.0.0.1:{bench.port}"
            faults = SystemCallFaults(
                SystemCallFault("send", short=short, local=local),
                SystemCallFault("recv", "EINTR", times=5, local=local),
                SystemCallFault("recv", short=short, local=local),
            )
            with faults:
                client.line.sendall(PING + get() + PING)
                answers = PONG + b"$5000\r\n" + VALUE + b"\r\n" + PONG
                got = b""
                while len(got) < len(answers):
                    got += await client.read()
                assert got == answers
                assert faults.count("send", "short") >= 5 and faults.count("recv", "EINTR") == 5

    play(monkeypatch, test)


def test_writes_that_are_interrupted_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda asked, line: hit(VALUE)) as bench, raw(bench) as client:
            with SystemCallFaults(
                SystemCallFault("send", "EINTR", times=3, local=f"*:{bench.port}"),
                SystemCallFault("send", short=100, times=3, local=f"*:{bench.port}"),
                SystemCallFault("send", "EAGAIN", times=3, local=f"*:{bench.port}"),
            ) as faults:
                client.line.sendall(get() + resp.command(b"QUIT"))
                assert await client.all() == b"$5000\r\n" + VALUE + b"\r\n+OK\r\n"
                assert faults.count("send") == 9

    play(monkeypatch, test)


def test_clients_that_reset_as_the_router_closes_cut_nobody_off(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The end of a stream can't be sent on a connection that is reset, of which nothing was read yet."""

    async def test() -> None:
        async with router(lambda asked, line: None) as bench, AsyncExitStack() as stack:
            going = [await stack.enter_async_context(raw(bench)) for _ in range(8)]
            staying = [await stack.enter_async_context(raw(bench)) for _ in range(8)]
            asks = await stack.enter_async_context(raw(bench))
            asks.line.sendall(get())
            await soon(lambda: bench.cache.got)
            for one in going:
                reset(one)
            bench.clients.close()
            assert [await one.all() for one in staying] == [b""] * 8
            bench.cache.lines[0].write(hit())
            assert await asks.all() == b"$1\r\nv\r\n"
            await asyncio.wait_for(bench.clients.emptied(PATIENCE), PATIENCE)
            assert not bench.clients.open
        assert not complaints(caplog)

    play(monkeypatch, test)


@pytest.mark.parametrize("how", ["reset", "ENOTCONN"])
def test_a_client_for_which_room_is_made_outlives_the_broken_one_that_makes_it(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, how: str
) -> None:
    """The idle one's end could not be sent, and the new one's arrival ended with that error."""

    async def test() -> None:
        async with router(sockets=1) as bench, raw(bench) as idle:
            await asyncio.sleep(2 * IDLE_LEAST)
            with ExitStack() as stack:
                client = Raw(bench.port)
                stack.callback(client.line.close)
                if how == "reset":
                    reset(idle)
                else:
                    fault = SystemCallFault("shutdown", how, peer=peer_of(idle))
                    faults = stack.enter_context(SystemCallFaults(fault))
                client.line.sendall(PING)
                assert await client.read() == PONG
                await soon(lambda: not bench.clients.ending)
                assert [one.proven for one in bench.clients.open] == [True]
                assert how == "reset" or faults.count("shutdown") == 1
        assert not complaints(caplog)

    play(monkeypatch, test)


def test_a_look_for_who_has_left_that_fails_is_not_the_last(monkeypatch: pytest.MonkeyPatch) -> None:
    """poll lacked memory once: no departure of a client that is not read was seen any more."""

    class Poll:
        """As the system's, which fails once."""

        def __init__(self) -> None:
            self.real = select.poll()

        def register(self, descriptor: int, events: int) -> None:
            self.real.register(descriptor, events)

        def poll(self, timeout: float) -> list[tuple[int, int]]:
            failed.append(True)
            if len(failed) == 1:
                raise OSError(errno.ENOMEM, "Cannot allocate memory")
            return self.real.poll(timeout)

    async def test() -> None:
        async with router(lambda asked, line: None, sockets=256) as bench, raw(bench) as client:
            client.line.sendall(b"".join(get(b"i%d" % n) for n in range(MOST_PIPELINED + 1)))
            await soon(lambda: failed)
            reset(client)
            await soon(lambda: not bench.driver.held)
            assert len(failed) > 1

    failed: list[bool] = []
    looks = SimpleNamespace(poll=Poll, POLLRDHUP=select.POLLRDHUP)
    monkeypatch.setattr(listener, "select", looks)
    play(monkeypatch, test)


async def test_interrupted_waits_change_nothing() -> None:
    async with router() as bench, raw(bench) as client:
        with SystemCallFaults(SystemCallFault("epoll", "EINTR", times=200)) as faults:
            for n in range(20):
                client.line.sendall(get(b"i%d" % n))
                assert await client.read() == b"$1\r\nv\r\n"
            assert faults.count("epoll", "EINTR") >= 20
        assert len(bench.cache.got) == 20


@pytest.mark.parametrize("call", ["recv", "send"])
@pytest.mark.parametrize("error", BREAKS)
def test_an_operators_connection_that_breaks_keeps_no_other_out(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str, call: str
) -> None:
    async def test() -> None:
        served = Console({"HEALTH": lambda _: "+OK"})
        _, port = await served.listen("127.0.0.1", 0)
        with ExitStack() as stack:
            first, second = Raw(port), Raw(port)
            stack.callback(first.line.close)
            stack.callback(second.line.close)
            fault = SystemCallFault(call, error, peer=peer_of(first))  # type: ignore[arg-type]
            with SystemCallFaults(fault) as faults:
                first.line.sendall(b"HEALTH\n")
                await soon(lambda: faults.count(call, error))  # type: ignore[arg-type]
                second.line.sendall(b"HEALTH\n")
                assert await second.all() == b"+OK\n"
                await soon(lambda: not served.callers)
                assert faults.count() == 1
        served.close()
        assert not complaints(caplog)

    play(monkeypatch, test)


@pytest.mark.parametrize("short", [1, 3])
def test_an_operator_gets_a_whole_answer_by_short_calls(monkeypatch: pytest.MonkeyPatch, short: int) -> None:
    async def test() -> None:
        served = Console({"HEALTH": lambda _: "+OK"})
        _, port = await served.listen("127.0.0.1", 0)
        faults = [
            SystemCallFault("send", short=short, local=f"*:{port}"),
            SystemCallFault("recv", "EINTR", times=2, local=f"*:{port}"),
            SystemCallFault("recv", short=short, local=f"*:{port}"),
        ]
        with SystemCallFaults(*faults) as injected:
            caller = Raw(port)
            caller.line.sendall(b"HEALTH\n")
            assert await caller.all() == b"+OK\n"
            caller.line.close()
            assert injected.count("send", "short") and injected.count("recv", "EINTR") == 2
        served.close()

    play(monkeypatch, test)
