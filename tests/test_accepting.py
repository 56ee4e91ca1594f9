"""Connections are accepted again after failures of accept, while the listener is open and while it closes.

Unless noted otherwise, the tests run in virtual time (see `virtual_time`).
"""

import asyncio
import errno
import logging
import socket
from contextlib import ExitStack
from pathlib import Path

import pytest
from router_bench import WAIT_TIMEOUT, Bench, entry, hit, router, wait_until
from test_arrivals import DEADLINE_MS, get, notified_deadlines
from test_closes import PING, PONG, RawClient, raw_client
from test_descriptors import connect_client, running_program
from test_discovery import listing
from virtual_time import run_in_virtual_time

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults, recorded
from applehub.node import accepting, arrivals, console
from applehub.node.console import Console

# Errors that affect all connections, and errors that affect only one.
RESOURCE_ERRORS = ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"]
CONNECTION_ERRORS = [errno.errorcode[number] for number in sorted(accepting.BROKEN_CONNECTION_ERRORS)]
OUTAGE_SECONDS = 0.1
MAX_RESUME_DELAY = 0.05  # seconds from the end of an outage within which accepting has to continue


def accept_faults(port: int, error: str, **when: float | int | None) -> SystemCallFaults:
    return SystemCallFaults(SystemCallFault("accept", error, local=f"*:{port}", **when))  # type: ignore[arg-type]


def logged_warnings(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if record.levelno >= logging.WARNING]


def queue_clients(stack: ExitStack, port: int, requests: list[bytes]) -> list[RawClient]:
    """Returns clients whose connections and requests are queued in the kernel before the router polls."""
    clients = []
    for request in requests:
        client = RawClient(port)
        stack.callback(client.sock.close)
        client.sock.sendall(request)
        clients.append(client)
    return clients


@pytest.mark.parametrize("error", RESOURCE_ERRORS)
def test_accepting_resumes_right_after_lack_of_resources(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            with ExitStack() as stack, accept_faults(bench.port, error, for_s=OUTAGE_SECONDS) as faults:
                clients = queue_clients(stack, bench.port, [PING] * 20)
                started_at = loop.time()
                for client in clients:
                    assert await client.read() == PONG
                assert loop.time() - started_at <= OUTAGE_SECONDS + MAX_RESUME_DELAY
                assert 1 <= faults.count("accept", error) <= 1 + OUTAGE_SECONDS / accepting.RETRY_DELAY
        assert len(logged_warnings(caplog)) == 1 and error_text(error) in logged_warnings(caplog)[0]

    run_in_virtual_time(monkeypatch, test)


def error_text(error: str) -> str:
    return SystemCallFault("accept", error).to_os_error().strerror or ""


def test_each_outage_is_logged_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with router() as bench:
            for outage in (1, 2):
                with ExitStack() as stack, accept_faults(bench.port, "EMFILE", for_s=5.0):
                    (client,) = queue_clients(stack, bench.port, [PING])
                    assert await client.read() == PONG
                    assert len(logged_warnings(caplog)) == outage
                    await asyncio.sleep(2 * accepting.FAILURE_LOG_INTERVAL)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("end", ["close", "hand_over"])
def test_accept_is_not_retried_after_listener_is_closed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, end: str
) -> None:
    """Otherwise a pending retry would use a closed or reused descriptor."""

    async def test() -> None:
        async with router() as bench:
            with ExitStack() as stack, accept_faults(bench.port, "ENFILE") as faults:
                queue_clients(stack, bench.port, [PING])
                await wait_until(lambda: faults.count("accept"))
                getattr(bench.clients, end)()
                attempts = faults.count("accept")
                stack.enter_context(socket.create_server(("127.0.0.1", 0)))  # may reuse the descriptor number
                await asyncio.sleep(3)
                assert faults.count("accept") == attempts
        assert len(logged_warnings(caplog)) == 1

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("error", CONNECTION_ERRORS)
async def test_broken_connection_in_queue_does_not_end_batch(
    caplog: pytest.LogCaptureFixture, error: str
) -> None:
    selector, polls = arrivals.running_selector(), []
    listener = socket.create_server(("127.0.0.1", 0))

    def make_protocol(earliest_arrival: int) -> asyncio.Protocol:
        polls.append(selector.poll_count)
        return asyncio.Protocol()

    with ExitStack() as stack, accept_faults(listener.getsockname()[1], error, times=3) as faults:
        queue_clients(stack, listener.getsockname()[1], [b""] * 5)
        acceptor = accepting.Acceptor(listener, make_protocol, 8)
        await wait_until(lambda: polls)
        assert len(polls) == 5 and len(set(polls)) == 1
        assert faults.count("accept", error) == 3
        acceptor.close()
        await acceptor.wait_connected()
    assert not logged_warnings(caplog)


def test_time_in_queue_during_outage_counts_against_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The listener is not polled during an outage, so the polls give no lower bound for arrival times."""
    # The kernel's clock does not follow virtual time.
    monkeypatch.setattr(arrivals, "ms_since_last_data", lambda sock: None)

    async def test() -> None:
        async with router(sockets=256) as bench:
            with ExitStack() as stack, accept_faults(bench.port, "ENFILE", for_s=0.5):
                requests = [get(b"first"), *[PING] * 20, get(b"last")]  # more requests than one tick accepts
                for client in queue_clients(stack, bench.port, requests):
                    await client.read()
            assert set(notified_deadlines(bench)) == {b"first", b"last"}
            assert all(
                DEADLINE_MS - 500 - 60 <= deadline <= DEADLINE_MS - 500
                for deadline in notified_deadlines(bench).values()
            )

    run_in_virtual_time(monkeypatch, test)


def test_inherited_listener_stays_usable_after_outage_and_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections queued at the listener are accepted by another process after the acceptor is closed."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as platform_listener, ExitStack() as stack:
            port = platform_listener.getsockname()[1]
            acceptor = accepting.Acceptor(
                platform_listener.dup(), lambda earliest_arrival: asyncio.Protocol(), 8, inherited=True
            )
            with accept_faults(port, "EMFILE") as faults:
                queue_clients(stack, port, [b"waits"])
                await wait_until(lambda: faults.count("accept"))
                acceptor.close()
            platform_listener.setblocking(False)
            accepted_sock, _ = platform_listener.accept()
            assert accepted_sock.recv(100) == b"waits"
            accepted_sock.close()

    run_in_virtual_time(monkeypatch, test)


FAILURES_AT_SHUTDOWN: dict[str, dict[str, float]] = {"one call": {"times": 1}, "0.2 s": {"for_s": 0.2}}


async def shut_down_listener(bench: Bench) -> None:
    await bench.clients.shut_down(1.0)


@pytest.mark.parametrize("when", FAILURES_AT_SHUTDOWN.values(), ids=FAILURES_AT_SHUTDOWN)
@pytest.mark.parametrize("error", ["ECONNABORTED", "EPROTO", *RESOURCE_ERRORS])
def test_queued_clients_are_answered_when_accept_fails_during_shutdown(
    monkeypatch: pytest.MonkeyPatch, error: str, when: dict[str, float]
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: hit(request[2])) as bench:
            with ExitStack() as stack, accept_faults(bench.port, error, **when) as faults:
                queued = queue_clients(stack, bench.port, [get(b"j%d" % n) for n in range(5)])
                await shut_down_listener(bench)  # before the event loop accepts the clients
                assert faults.count("accept", error) >= 1
                assert [await client.read_all() for client in queued] == [
                    b"$2\r\nj%d\r\n" % n for n in range(5)
                ]
            assert not bench.clients.accepting

    run_in_virtual_time(monkeypatch, test)


def test_accepted_client_is_waited_for_when_last_connection_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is accepted but not attached to its protocol yet."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router(lambda request, writer: None) as bench, raw_client(bench):
            (last_connection,) = bench.clients.connections
            acceptor, transport = bench.clients._acceptor, last_connection.transport
            assert acceptor is not None and transport is not None
            client = RawClient(bench.port)
            client.sock.sendall(get())
            while not acceptor.connecting:
                await asyncio.sleep(0)
            bench.clients.hand_over()
            transport.abort()
            started_at = loop.time()
            await bench.clients.wait_empty(0.5)
            assert loop.time() - started_at == 0.5 and bench.cache.received
            bench.cache.writers[0].write(hit())
            assert await client.read_all() == b"$1\r\nv\r\n"
            client.sock.close()
            await bench.clients.wait_empty(60)
            assert loop.time() - started_at < 60

    run_in_virtual_time(monkeypatch, test)


def test_shutdown_accepts_more_queued_clients_than_one_tick(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda request, writer: hit(request[2]), sockets=256) as bench:
            with ExitStack() as stack:
                queued = queue_clients(stack, bench.port, [PING] * 60 + [get(b"last")])
                await bench.clients.shut_down()
                assert [await client.read_all() for client in queued] == [PONG] * 60 + [b"$4\r\nlast\r\n"]

    run_in_virtual_time(monkeypatch, test)


def test_lasting_failure_delays_shutdown_by_at_most_its_timeout(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            with ExitStack() as stack, accept_faults(bench.port, "EMFILE") as faults:
                queue_clients(stack, bench.port, [PING])
                started_at = loop.time()
                await shut_down_listener(bench)
                assert 1.0 - accepting.RETRY_DELAY <= loop.time() - started_at <= 1.0
                attempts = faults.count("accept")
                await asyncio.sleep(3)
                assert faults.count("accept") == attempts and not bench.clients.accepting
        assert len(logged_warnings(caplog)) == 1

    run_in_virtual_time(monkeypatch, test)


async def test_program_accepts_queued_client_during_sigterm(tmp_path: Path) -> None:
    """The outage starts with the first accept and has not ended when SIGTERM arrives."""
    outage = SystemCallFault("accept", "ENFILE", for_s=1.0)
    async with running_program(
        tmp_path, 1024, faults=[outage], known=listing(3, entry("c0", "127.0.0.1:1"))
    ) as (
        running,
        addresses,
        lines,
    ):
        caller = await connect_client(addresses["INFO listening on"])
        caller.send(b"PING")
        await wait_until(lambda: [line for line in lines if "accept fails" in line])
        running.terminate()
        assert await caller.answer() == b"PONG" and await caller.answer() is None
        assert await asyncio.wait_for(running.wait(), WAIT_TIMEOUT) == 0
        assert len([line for line in lines if "accept" in line]) == 1
    assert recorded(tmp_path / "injected")["accept", "ENFILE"] >= 2


@pytest.mark.parametrize("error", [*RESOURCE_ERRORS, "ECONNABORTED", "ENETDOWN"])
def test_operators_are_answered_right_after_outage(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        server = Console({"HEALTH": lambda _: "+OK"})
        _, port = await server.listen("127.0.0.1", 0)
        with ExitStack() as stack, accept_faults(port, error, for_s=OUTAGE_SECONDS) as faults:
            callers = queue_clients(stack, port, [b"HEALTH\n"] * (console.MAX_CONNECTIONS + 4))
            started_at = loop.time()
            assert [await caller.read_all() for caller in callers] == [b"+OK\n"] * len(callers)
            assert (
                loop.time() - started_at <= OUTAGE_SECONDS + MAX_RESUME_DELAY and faults.count("accept") >= 1
            )
            server.close()
        assert len(logged_warnings(caplog)) <= 1

    run_in_virtual_time(monkeypatch, test)
