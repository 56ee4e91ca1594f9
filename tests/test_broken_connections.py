"""System call errors on connections to servers, with real sockets.

A request that may have been executed is executed again only if its class allows that.
"""

import asyncio
import logging
from typing import Any, cast

import pytest
from router_bench import MISS, Bench, Caller, hit, http, router
from virtual_time import run_in_virtual_time

from applehub import interface as api
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults

RECEIVE_ERRORS = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"]
SEND_ERRORS = ["EPIPE", "ENOBUFS", "ENOMEM", "EHOSTUNREACH", "ETIMEDOUT", "ECONNRESET"]
CLASSES = [b"read", b"put", b"once"]


def fault(call: str, error: str = "", **when: Any) -> SystemCallFault:
    return SystemCallFault(cast(SystemCall, call), error, **when)


def executions(bench: Bench) -> int:
    """Returns how often the request i1 was executed, that is, received completely."""
    names = [request[2] for request in bench.cache.received]
    names += [headers.get(b"x-call-id") for _, _, headers, _ in bench.origin.received]
    return names.count(b"i1")


def send_request(caller: Caller, request_class: bytes, name: bytes = b"i1", key: bytes = b"k") -> None:
    """Sends a request. Reads go to the cache server, the other classes are writes and go to the origin."""
    if request_class == b"read":
        caller.get(key, name)
    else:
        caller.send(b"C.SET", key, name, b"c=%b,t=acme,d=9000,k=1" % request_class, b"value")


async def leave_idle_connection(bench: Bench, caller: Caller, request_class: bytes) -> None:
    """Serves a request, which leaves an idle connection for the next one."""
    send_request(caller, request_class, b"i0")
    assert await caller.answer() in (b"v", b"receipt")
    await asyncio.sleep(0.05)
    assert any(pool.idle for pool in bench.pools.pools.values())


def server_address(bench: Bench, request_class: bytes) -> str:
    return bench.cache.address if request_class == b"read" else bench.origin.address


def log_is_quiet(caplog: pytest.LogCaptureFixture, max_log_lines: int) -> bool:
    """Returns whether the log has no warning, no traceback and at most the given number of lines.

    One line that reports a local failure is not counted.
    """
    records = [record for record in caplog.records if record.levelno >= logging.INFO]
    local_failures = sum("this machine could not begin" in record.getMessage() for record in records)
    noisy = any(record.exc_info or record.levelno >= logging.WARNING for record in records)
    return not noisy and local_failures <= 1 and len(records) - local_failures <= max_log_lines


def run_request(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    request_class: bytes,
    reuse_connection: bool,
    faults: list[SystemCallFault],
    min_faults: int = 1,
    max_log_lines: int = 0,
) -> tuple[Any, int, list[api.Status]]:
    """Runs one request with faults on the connection to its server.

    min_faults: minimum number of system calls that fail. max_log_lines: maximum number of log lines.

    Returns the answer, the number of executions and the status of each attempt.
    """
    results: list[Any] = []

    async def test() -> None:
        statuses: list[api.Status] = []
        async with router(origin=lambda request, writer: http(200, b"receipt")) as bench:
            caller = await bench.caller()
            if reuse_connection:
                await leave_idle_connection(bench, caller, request_class)
            handle = bench.driver.balancer.handle

            def recording_handle(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Outcome):
                    statuses.append(event.status)
                return handle(now, event)

            monkeypatch.setattr(bench.driver.balancer, "handle", recording_handle)
            for injected_fault in faults:
                object.__setattr__(injected_fault, "peer", server_address(bench, request_class))
            with SystemCallFaults(*faults) as injected:
                send_request(caller, request_class)
                answer = await caller.answer()
                await asyncio.sleep(1.0)
                assert injected.count() >= min_faults
            assert not bench.driver.requests and not bench.driver.balancer.jobs
            assert log_is_quiet(caplog, max_log_lines)
            final_statuses = list(statuses)
            if not max_log_lines:
                other = await bench.caller()
                send_request(other, request_class, b"i2")
                assert await other.answer() in (b"v", b"receipt")
            results.extend((answer, executions(bench), final_statuses))

    run_in_virtual_time(monkeypatch, test)
    return results[0], results[1], results[2]


@pytest.mark.parametrize("error", RECEIVE_ERRORS)
@pytest.mark.parametrize("reuse_connection", [False, True])
@pytest.mark.parametrize("request_class", CLASSES)
def test_receive_error_after_write_counts_as_possibly_executed(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    request_class: bytes,
    reuse_connection: bool,
    error: str,
) -> None:
    """Reads, and writes with an idempotency key, are retried; other writes fail."""
    answer, executed, statuses = run_request(
        monkeypatch, caplog, request_class, reuse_connection, [fault("recv", error, times=1)]
    )
    assert statuses[0] is api.Status.RESET
    if request_class == b"once":
        assert str(answer) == "ERR failed" and executed == 1 and len(statuses) == 1
    else:
        assert answer in (b"v", b"receipt") and executed == 2 and statuses[1:] == [api.Status.OK]


@pytest.mark.parametrize("error", SEND_ERRORS)
@pytest.mark.parametrize("reuse_connection", [False, True])
@pytest.mark.parametrize("request_class", CLASSES)
@pytest.mark.parametrize("short", [0, 10])
def test_partly_written_request_is_executed_once(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    request_class: bytes,
    reuse_connection: bool,
    short: int,
    error: str,
) -> None:
    """A request that was not written completely is retried and executed once."""
    short_writes = [fault("send", short=short, times=1)] if short else []
    answer, executed, statuses = run_request(
        monkeypatch,
        caplog,
        request_class,
        reuse_connection,
        [*short_writes, fault("send", error, times=1)],
        1 + len(short_writes),
    )
    assert answer in (b"v", b"receipt") and executed == 1
    assert statuses[-1] is api.Status.OK and len(statuses) == 2
    local_statuses = {"ENOBUFS": api.Status.LOCAL_FAILURE, "ENOMEM": api.Status.LOCAL_FAILURE}
    local_statuses["EHOSTUNREACH"] = api.Status.UNREACHABLE
    assert statuses[0] is local_statuses.get(error, api.Status.MOOT)


@pytest.mark.parametrize("call", ["send", "recv"])
@pytest.mark.parametrize("request_class", CLASSES)
def test_short_reads_and_writes_are_completed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, request_class: bytes, call: str
) -> None:
    answer, executed, statuses = run_request(
        monkeypatch, caplog, request_class, False, [fault(call, short=1)], 10
    )
    assert answer in (b"v", b"receipt") and executed == 1 and statuses == [api.Status.OK]


@pytest.mark.parametrize("error", ["EINTR", "EAGAIN"])
@pytest.mark.parametrize("call", ["send", "recv"])
@pytest.mark.parametrize("request_class", CLASSES)
def test_interrupted_system_call_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    request_class: bytes,
    call: str,
    error: str,
) -> None:
    answer, executed, statuses = run_request(
        monkeypatch, caplog, request_class, False, [fault(call, error, times=3)]
    )
    assert answer in (b"v", b"receipt") and executed == 1 and statuses == [api.Status.OK]


@pytest.mark.parametrize("request_class", CLASSES)
async def test_interrupted_poll_continues(request_class: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async with router(origin=lambda request, writer: http(200, b"receipt")) as bench:
        caller = await bench.caller()
        with SystemCallFaults(fault("epoll", "EINTR", times=20)) as injected:
            send_request(caller, request_class)
            assert await caller.answer() in (b"v", b"receipt")
            assert injected.count() >= 1
        assert executions(bench) == 1 and log_is_quiet(caplog, 0)


@pytest.mark.parametrize(
    ("error", "status"),
    [
        ("ETIMEDOUT", api.Status.CONNECT_FAILED),
        ("ECONNREFUSED", api.Status.CONNECT_FAILED),
        ("ECONNRESET", api.Status.MOOT),
        ("EHOSTUNREACH", api.Status.UNREACHABLE),
        ("ENETUNREACH", api.Status.UNREACHABLE),
        ("ENOBUFS", api.Status.LOCAL_FAILURE),
    ],
)
@pytest.mark.parametrize("request_class", CLASSES)
def test_failed_connect_means_request_was_not_executed(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    request_class: bytes,
    error: str,
    status: api.Status,
) -> None:
    refused = status is api.Status.CONNECT_FAILED
    connect_faults = [fault("connect", error, times=1)]
    answer, executed, statuses = run_request(
        monkeypatch, caplog, request_class, False, connect_faults, max_log_lines=1 if refused else 0
    )
    assert statuses[0] is status
    if refused and request_class == b"read":  # the only server has failed
        assert str(answer) == "BUSY" and executed == 0
    else:
        assert answer in (b"v", b"receipt") and executed == 1


def test_local_write_failures_are_not_blamed_on_server(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Writes that fail on this machine do not count as failures of the server."""

    async def test() -> None:
        async with router() as bench:
            callers = [await bench.caller() for _ in range(10)]
            with SystemCallFaults(fault("send", "ENOBUFS", peer=bench.cache.address)) as faults:
                for n, caller in enumerate(callers):
                    send_request(caller, b"read", b"i%d" % n, b"k%d" % n)
                    await asyncio.sleep(0.03)
                assert faults.count() >= 10
                server = bench.driver.balancer.server_table.servers["c0"]
                assert (server.failures, server.broken_attempts) == (0, 0)
            started_at = asyncio.get_running_loop().time()
            assert [await caller.answer() for caller in callers] == [b"v"] * 10
            assert asyncio.get_running_loop().time() - started_at < 0.1
            assert len(bench.cache.received) == 10
            assert log_is_quiet(caplog, 0)

    run_in_virtual_time(monkeypatch, test)


def test_origin_fetch_is_retried_after_receive_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS) as bench:
            caller = await bench.caller()
            with SystemCallFaults(fault("recv", "ETIMEDOUT", peer=bench.origin.address, times=1)) as faults:
                caller.get()
                assert await caller.answer() == b"from origin"
                assert faults.count() == 1
            assert len(bench.origin.received) == 2

    run_in_virtual_time(monkeypatch, test)


def test_broken_stream_closes_client_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """A stream that breaks is not retried, and the client receives fewer bytes than announced."""

    async def test() -> None:
        async with router(lambda request, writer: hit(b"x" * 300_000)) as bench:
            caller = await bench.caller()
            with SystemCallFaults(fault("recv", "EHOSTUNREACH", peer=bench.cache.address, from_call=3)):
                caller.get()
                assert await caller.answer() is None
            assert len(bench.cache.received) == 1 and not bench.driver.requests

    run_in_virtual_time(monkeypatch, test)
