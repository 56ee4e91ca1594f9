"""Each close, retry, rejection and timeout is counted once, by its reason."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import pytest
from router_bench import Bench, Caller, hit, router, wait_until
from virtual_time import run_in_virtual_time

from applehub.node import resp
from applehub.node.reasons import ClientClose, Rejection, ServerClose, Timeout

READ = b"c=read,t=acme,d=9000"


def counted(bench: Bench) -> dict[str, int]:
    """Returns the counters by reason that are not zero, of requests and of connections."""
    lines = [*bench.driver.metrics.lines(), *bench.pools.metrics.lines()]
    values = (line.removeprefix("edge_balancer.").split("=") for line in lines)
    names = ("client_closes.", "server_closes.", "rejections.", "timeouts.", "retries.")
    return {name: int(value) for name, value in values if name.startswith(names) and int(value)}


async def quit_connection(caller: Caller) -> None:
    caller.send(b"QUIT")
    assert await caller.answer() == b"OK"


async def send_garbage(caller: Caller) -> None:
    caller.writer.write(b"garbage\r\n")
    assert str(await caller.answer()).startswith("ERR Protocol error")


async def send_half_a_command(caller: Caller) -> None:
    caller.writer.write(b"*4\r\n$5\r\nC.G")
    assert str(await caller.answer()).startswith("ERR Protocol error")


async def leave(caller: Caller) -> None:
    caller.writer.close()


@pytest.mark.parametrize(
    ("act", "reason"),
    [
        (quit_connection, ClientClose.QUIT),
        (send_garbage, ClientClose.PROTOCOL_ERROR),
        (send_half_a_command, ClientClose.COMMAND_TIMEOUT),
        (leave, ClientClose.CLIENT_LEFT),
    ],
)
def test_close_of_client_connection_is_counted_once(
    monkeypatch: pytest.MonkeyPatch, act: Callable[[Caller], Any], reason: ClientClose
) -> None:
    async def test() -> None:
        async with router() as bench:
            caller = await bench.caller()
            await wait_until(lambda: bench.clients.connections)
            await act(caller)
            await wait_until(lambda: not bench.clients.connections and not bench.clients.lingering)
            assert counted(bench) == {f"client_closes.{reason}": 1}

    run_in_virtual_time(monkeypatch, test)


def test_timeout_is_counted_and_logged_with_request(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.DEBUG, logger="applehub")

    async def test() -> None:
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get(name=b"silent", info=READ)
            assert str(await caller.answer()) == "BUSY"
            assert counted(bench) == {
                f"timeouts.{Timeout.RESPONSE}": 1,
                f"server_closes.{ServerClose.TIMEOUT}": 1,
                f"rejections.{Rejection.POLICY}": 1,
            }

    run_in_virtual_time(monkeypatch, test)
    assert "request silent attempt 0 timed out: response" in caplog.text
    assert "closed: timeout, request silent" in caplog.text


# Guards against a timeout within a response that is counted and logged like that of a silent server.
def test_timeout_within_response_is_counted_and_logged_with_received_bytes(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.DEBUG, logger="applehub")

    async def test() -> None:
        async with router(lambda request, writer: hit()[:9]) as bench:
            caller = await bench.caller()
            caller.get(name=b"begun", info=READ)
            assert str(await caller.answer()) == "BUSY"
            assert counted(bench)[f"timeouts.{Timeout.BEGUN_RESPONSE}"] == 1

    run_in_virtual_time(monkeypatch, test)
    assert "request begun attempt 0 timed out: begun_response, 9 bytes received" in caplog.text


def test_retry_is_counted_by_result_of_previous_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        def break_first(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
            if len(bench.cache.received) > 1:
                return hit()
            writer.transport.abort()
            return None

        async with router(break_first) as bench:
            caller = await bench.caller()
            caller.get(info=READ)
            assert await caller.answer() == b"v"
            assert counted(bench) == {"retries.reset": 1, f"server_closes.{ServerClose.LOST}": 1}

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize(
    ("limit", "reason"), [("requests", Rejection.REQUEST_LIMIT), ("memory", Rejection.MEMORY)]
)
async def test_rejection_is_counted_by_reason(limit: str, reason: Rejection) -> None:
    async with router() as bench:
        if limit == "requests":
            bench.driver.max_requests = 0
        else:
            bench.driver.memory.limit = 0
        caller = await bench.caller()
        caller.get(info=READ)
        assert str(await caller.answer()) == "BUSY"
        assert counted(bench) == {f"rejections.{reason}": 1}


async def test_id_in_use_is_counted_as_rejection() -> None:
    async with router(lambda request, writer: None) as bench:
        caller, other = await bench.caller(), await bench.caller()
        caller.get(info=READ)
        await wait_until(lambda: bench.driver.requests)
        other.writer.write(resp.command(b"C.GET", b"k", b"i1", READ))
        assert str(await other.answer()).startswith("ERR this id")
        assert counted(bench) == {f"rejections.{Rejection.ID_IN_USE}": 1}
