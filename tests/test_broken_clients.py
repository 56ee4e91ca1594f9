"""A system call that fails on one client connection disconnects that client and affects no other."""

import asyncio
import errno
import logging
import select
import socket
import struct
from contextlib import AsyncExitStack, ExitStack
from types import SimpleNamespace

import pytest
from router_bench import WAIT_TIMEOUT, Bench, hit, router, wait_until
from test_arrivals import get
from test_closes import PING, PONG, RawClient, raw_client
from virtual_time import run_in_virtual_time

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults
from applehub.node import listener, resp
from applehub.node.clients import MAX_PIPELINED_COMMANDS
from applehub.node.console import Console
from applehub.node.listener import MIN_IDLE_TIME

CONNECTION_ERRORS = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENETUNREACH", "EPIPE", "ENOBUFS", "ENOMEM"]
VALUE = b"v" * 5000


def client_address(client: RawClient) -> str:
    return f"127.0.0.1:{client.sock.getsockname()[1]}"


def reset_connection(client: RawClient) -> None:
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


def logged_warnings(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if record.levelno >= logging.WARNING]


async def check_still_serving(bench: Bench, other: RawClient) -> None:
    """Checks that another client is answered, on its connection and on a new one."""
    other.sock.sendall(PING)
    assert await other.read() == PONG
    async with raw_client(bench):
        pass


@pytest.mark.parametrize("error", CONNECTION_ERRORS)
def test_failed_read_disconnects_client(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str
) -> None:
    async def test() -> None:
        async with (
            router(lambda request, writer: None) as bench,
            raw_client(bench) as other,
            raw_client(bench) as client,
        ):
            client.sock.sendall(get(b"i1"))
            await wait_until(lambda: bench.cache.received)
            with SystemCallFaults(SystemCallFault("recv", error, peer=client_address(client))) as faults:
                client.sock.sendall(get(b"i2"))
                await wait_until(lambda: faults.count("recv", error))
                await wait_until(lambda: not bench.driver.requests)
                assert len(bench.clients.connections) == 1 and len(bench.cache.received) == 1
                await check_still_serving(bench, other)
                assert faults.count("recv") == 1
            await wait_until(lambda: len(bench.clients.connections) == 1 and not bench.clients.lingering)
            assert not bench.driver.memory.used
        assert not logged_warnings(caplog)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("error", CONNECTION_ERRORS)
@pytest.mark.parametrize("size", [1, 20_000], ids=["short answers", "long values"])
def test_failed_write_disconnects_client(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str, size: int
) -> None:
    """asyncio logs a warning if a protocol keeps writing after a failed write."""

    async def test() -> None:
        async with (
            router(lambda request, writer: hit(b"v" * size), sockets=256) as bench,
            raw_client(bench) as other,
            raw_client(bench) as client,
        ):
            with SystemCallFaults(SystemCallFault("send", error, peer=client_address(client))) as faults:
                client.sock.sendall(b"".join([PING, *[get(b"i%d" % n) for n in range(20)], PING * 20]))
                await wait_until(lambda: faults.count("send", error))
                await wait_until(lambda: not bench.driver.requests and len(bench.clients.connections) == 1)
                await check_still_serving(bench, other)
                assert faults.count("send") == 1
            assert not bench.driver.memory.used and not bench.clients.lingering
        assert not logged_warnings(caplog)

    run_in_virtual_time(monkeypatch, test)


def test_no_request_is_processed_after_failed_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """All commands arrive in one read, and the answer to the first is written first."""

    async def test() -> None:
        async with router(lambda request, writer: hit()) as bench, raw_client(bench) as client:
            client.sock.sendall(get(b"first"))
            assert await client.read() == b"$1\r\nv\r\n"
            await asyncio.sleep(1)  # the connection to the cache server is reusable
            with SystemCallFaults(
                SystemCallFault("send", "ETIMEDOUT", peer=client_address(client))
            ) as faults:
                client.sock.sendall(PING * 40 + get(b"late"))
                await wait_until(lambda: faults.count("send"))
                await asyncio.sleep(1)
            assert [request[2] for request in bench.cache.received] == [b"first"]

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("short", [1, 7, 1000])
def test_short_reads_and_writes_change_no_byte(monkeypatch: pytest.MonkeyPatch, short: int) -> None:
    async def test() -> None:
        async with router(lambda request, writer: hit(VALUE)) as bench, raw_client(bench) as client:
            router_address = f"127.0.0.1:{bench.port}"
            faults = SystemCallFaults(
                SystemCallFault("send", short=short, local=router_address),
                SystemCallFault("recv", "EINTR", times=5, local=router_address),
                SystemCallFault("recv", short=short, local=router_address),
            )
            with faults:
                client.sock.sendall(PING + get() + PING)
                expected = PONG + b"$5000\r\n" + VALUE + b"\r\n" + PONG
                received = b""
                while len(received) < len(expected):
                    received += await client.read()
                assert received == expected
                assert faults.count("send", "short") >= 5 and faults.count("recv", "EINTR") == 5

    run_in_virtual_time(monkeypatch, test)


def test_interrupted_writes_continue(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda request, writer: hit(VALUE)) as bench, raw_client(bench) as client:
            with SystemCallFaults(
                SystemCallFault("send", "EINTR", times=3, local=f"*:{bench.port}"),
                SystemCallFault("send", short=100, times=3, local=f"*:{bench.port}"),
                SystemCallFault("send", "EAGAIN", times=3, local=f"*:{bench.port}"),
            ) as faults:
                client.sock.sendall(get() + resp.command(b"QUIT"))
                assert await client.read_all() == b"$5000\r\n" + VALUE + b"\r\n+OK\r\n"
                assert faults.count("send") == 9

    run_in_virtual_time(monkeypatch, test)


def test_resets_during_close_do_not_affect_other_clients(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Shutting down the sending side fails on a connection whose reset was not read yet."""

    async def test() -> None:
        async with router(lambda request, writer: None) as bench, AsyncExitStack() as stack:
            resetting = [await stack.enter_async_context(raw_client(bench)) for _ in range(8)]
            others = [await stack.enter_async_context(raw_client(bench)) for _ in range(8)]
            requesting = await stack.enter_async_context(raw_client(bench))
            requesting.sock.sendall(get())
            await wait_until(lambda: bench.cache.received)
            for client in resetting:
                reset_connection(client)
            bench.clients.close()
            assert [await client.read_all() for client in others] == [b""] * 8
            bench.cache.writers[0].write(hit())
            assert await requesting.read_all() == b"$1\r\nv\r\n"
            await asyncio.wait_for(bench.clients.wait_empty(WAIT_TIMEOUT), WAIT_TIMEOUT)
            assert not bench.clients.connections
        assert not logged_warnings(caplog)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("failure", ["reset", "ENOTCONN"])
def test_new_client_is_served_when_closed_idle_connection_is_broken(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, failure: str
) -> None:
    """Shutting down the sending side of the idle connection fails while a new one is accepted."""

    async def test() -> None:
        async with router(sockets=1) as bench, raw_client(bench) as idle:
            await asyncio.sleep(2 * MIN_IDLE_TIME)
            with ExitStack() as stack:
                client = RawClient(bench.port)
                stack.callback(client.sock.close)
                if failure == "reset":
                    reset_connection(idle)
                else:
                    fault = SystemCallFault("shutdown", failure, peer=client_address(idle))
                    faults = stack.enter_context(SystemCallFaults(fault))
                client.sock.sendall(PING)
                assert await client.read() == PONG
                await wait_until(lambda: not bench.clients.lingering)
                assert [connection.sent_command for connection in bench.clients.connections] == [True]
                assert failure == "reset" or faults.count("shutdown") == 1
        assert not logged_warnings(caplog)

    run_in_virtual_time(monkeypatch, test)


def test_failed_disconnect_check_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    """A poll that fails for lack of memory must not stop the checks."""

    class FailingPoll:
        """A poll object whose first poll fails."""

        def __init__(self) -> None:
            self.real_poll = select.poll()

        def register(self, descriptor: int, events: int) -> None:
            self.real_poll.register(descriptor, events)

        def poll(self, timeout: float) -> list[tuple[int, int]]:
            polls.append(True)
            if len(polls) == 1:
                raise OSError(errno.ENOMEM, "Cannot allocate memory")
            return self.real_poll.poll(timeout)

    async def test() -> None:
        async with router(lambda request, writer: None, sockets=256) as bench, raw_client(bench) as client:
            client.sock.sendall(b"".join(get(b"i%d" % n) for n in range(MAX_PIPELINED_COMMANDS + 1)))
            await wait_until(lambda: polls)
            reset_connection(client)
            await wait_until(lambda: not bench.driver.requests)
            assert len(polls) > 1

    polls: list[bool] = []
    fake_select = SimpleNamespace(poll=FailingPoll, POLLRDHUP=select.POLLRDHUP)
    monkeypatch.setattr(listener, "select", fake_select)
    run_in_virtual_time(monkeypatch, test)


async def test_interrupted_waits_have_no_effect() -> None:
    async with router() as bench, raw_client(bench) as client:
        with SystemCallFaults(SystemCallFault("epoll", "EINTR", times=200)) as faults:
            for n in range(20):
                client.sock.sendall(get(b"i%d" % n))
                assert await client.read() == b"$1\r\nv\r\n"
            assert faults.count("epoll", "EINTR") >= 20
        assert len(bench.cache.received) == 20


@pytest.mark.parametrize("call", ["recv", "send"])
@pytest.mark.parametrize("error", CONNECTION_ERRORS)
def test_broken_operator_connection_does_not_block_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str, call: str
) -> None:
    async def test() -> None:
        server = Console({"HEALTH": lambda _: "+OK"})
        _, port = await server.listen("127.0.0.1", 0)
        with ExitStack() as stack:
            first, second = RawClient(port), RawClient(port)
            stack.callback(first.sock.close)
            stack.callback(second.sock.close)
            fault = SystemCallFault(call, error, peer=client_address(first))  # type: ignore[arg-type]
            with SystemCallFaults(fault) as faults:
                first.sock.sendall(b"HEALTH\n")
                await wait_until(lambda: faults.count(call, error))  # type: ignore[arg-type]
                second.sock.sendall(b"HEALTH\n")
                assert await second.read_all() == b"+OK\n"
                await wait_until(lambda: not server.connections)
                assert faults.count() == 1
        server.close()
        assert not logged_warnings(caplog)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("short", [1, 3])
def test_operator_gets_complete_answer_with_short_reads_and_writes(
    monkeypatch: pytest.MonkeyPatch, short: int
) -> None:
    async def test() -> None:
        server = Console({"HEALTH": lambda _: "+OK"})
        _, port = await server.listen("127.0.0.1", 0)
        faults = [
            SystemCallFault("send", short=short, local=f"*:{port}"),
            SystemCallFault("recv", "EINTR", times=2, local=f"*:{port}"),
            SystemCallFault("recv", short=short, local=f"*:{port}"),
        ]
        with SystemCallFaults(*faults) as injected:
            caller = RawClient(port)
            caller.sock.sendall(b"HEALTH\n")
            assert await caller.read_all() == b"+OK\n"
            caller.sock.close()
            assert injected.count("send", "short") and injected.count("recv", "EINTR") == 2
        server.close()

    run_in_virtual_time(monkeypatch, test)
