"""The router over loopback sockets with scripted peers: requests, attempts and answers."""

import asyncio
import gc
import os
import socket
import time
from typing import Any

import hiredis
import pytest
from router_bench import (
    ACCEPTS_PER_ITERATION,
    MISS,
    WAIT_TIMEOUT,
    Bench,
    Cache,
    Web,
    entry,
    hit,
    http,
    router,
    wait_until,
)

from applehub import interface as api
from applehub.node import command_clock, delivery_watch, listener, pool, resp
from applehub.node.call import Call, Exchange
from applehub.node.driver import ANSWER_MARGIN
from applehub.node.pending_request import PendingRequest

INFO = b"c=read,t=acme,d=9000"


@pytest.fixture(autouse=True)
def no_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets connections be reused at once, since these tests count connections."""
    monkeypatch.setattr(pool, "MIN_IDLE_BEFORE_REUSE", 0.0)


def once_info(deadline_ms: int = 9000) -> bytes:
    return b"c=once,t=acme,d=%d" % deadline_ms


def record_statuses(bench: Bench) -> list[api.Status]:
    """Returns a list that collects the status of each attempt that ends from now on."""
    statuses: list[api.Status] = []
    handle = bench.driver.balancer.handle

    def record(now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Outcome):
            statuses.append(event.status)
        return handle(now, event)

    bench.driver.balancer.handle = record  # type: ignore[method-assign]
    return statuses


async def never_open_connection(connection: Any) -> None:
    """Simulates a connection attempt that never completes."""
    await asyncio.Event().wait()


async def test_hit_is_returned_and_the_command_forwarded_with_the_remaining_time() -> None:
    async with router(lambda command, writer: hit(b"a\r\n\0b")) as bench:
        caller = await bench.caller()
        caller.send(b"PING")
        caller.get(b"key\xff", b"i1", b"c=read,t=acme,d=9000,size=7")
        assert await caller.answer() == b"PONG"
        assert await caller.answer() == b"a\r\n\0b"
        name, key, identity, info = bench.cache.received[0]
        assert (name, key, identity) == (b"C.GET", b"key\xff", b"i1")
        fields = dict(one.split(b"=") for one in info.split(b","))
        assert 8000 < int(fields.pop(b"d")) <= 9000
        assert fields == {b"c": b"read", b"t": b"acme", b"size": b"7"}


async def test_miss_is_fetched_from_the_origin() -> None:
    async with router(lambda command, writer: MISS) as bench:
        caller = await bench.caller()
        caller.get(b"a/b")
        assert await caller.answer() == b"from origin"
        method, target, headers, body = bench.origin.received[0]
        assert (method, target, body) == (b"GET", b"/a%2Fb", b"")
        assert headers[b"x-call-id"] == b"i1"
        fields = dict(one.split(b"=") for one in headers[b"x-call-info"].split(b","))
        assert 8000 < int(fields.pop(b"d")) <= 9000  # the client's remaining time in ms
        assert fields == {b"c": b"read", b"t": b"acme"}


async def test_write_is_sent_to_the_origin_only() -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=77", b"value")
        assert await caller.answer() == b"from origin"
        assert bench.origin.received[0][0] == b"PUT" and bench.origin.received[0][3] == b"value"
        assert not bench.cache.received


async def test_answers_keep_the_order_of_their_commands() -> None:
    delayed_writers: list[asyncio.StreamWriter] = []

    def answer(command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if command[2] == b"i1":
            delayed_writers.append(writer)
            return None
        return hit(command[2])

    async with router(answer) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        caller.get(name=b"i2")
        caller.send(b"PING")
        await wait_until(lambda: len(bench.cache.received) == 2 and not bench.driver.requests.keys() - {"i1"})
        delayed_writers[0].write(hit(b"i1"))
        assert [await caller.answer() for _ in range(3)] == [b"i1", b"i2", b"PONG"]


async def test_connection_is_reused_for_successive_attempts() -> None:
    async with router() as bench:
        caller = await bench.caller()
        for n in range(20):
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"v"
        assert len(bench.cache.writers) == 1


async def test_timed_out_attempt_is_closed_and_fails_within_the_client_deadline() -> None:
    async with router(lambda command, writer: None) as bench:
        caller = await bench.caller()
        started_at = time.monotonic()
        caller.get(info=b"c=once,t=acme,d=300")
        answer = await caller.answer()
        assert isinstance(answer, hiredis.ReplyError) and str(answer) == "ERR failed"
        assert time.monotonic() - started_at >= 0.2
        await wait_until(lambda: bench.cache.closed_connections == 1)
        assert len(bench.cache.received) == 1 and not bench.driver.requests


@pytest.mark.parametrize("info", [once_info(), INFO])
async def test_refused_connection_proves_that_the_request_did_not_run(info: bytes) -> None:
    def unreachable_entries(cache: Cache, origin: Web) -> list[dict[str, Any]]:
        return [entry("c0", "127.0.0.1:1"), entry("o", origin.address, model="origin")]

    async with router(entries=unreachable_entries) as bench:
        caller = await bench.caller()
        caller.get(info=info)
        assert str(await caller.answer()).startswith("BUSY")


@pytest.mark.parametrize("info", [once_info(), INFO])
async def test_connect_timeout_proves_that_the_request_did_not_run(
    info: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is never established, as with a machine that does not answer."""

    async def connect_forever(*args: Any) -> None:
        await asyncio.Event().wait()

    async with router(dialTimeout=50_000_000) as bench:
        caller = await bench.caller()
        statuses = record_statuses(bench)
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", connect_forever)
        caller.get(info=info)
        assert str(await caller.answer()).startswith("BUSY")
        assert set(statuses) == {api.Status.CONNECT_FAILED}
        assert not any(pool.connections for pool in bench.pools.pools.values()) and not bench.driver.requests


@pytest.mark.parametrize("reply", [b"-BUSY\r\n", b"-BUSY backlog=9.3,errors_per_s=0\r\n"])
async def test_busy_answer_proves_that_the_request_did_not_run(reply: bytes) -> None:
    async with router(lambda command, writer: reply) as bench:
        caller = await bench.caller()
        caller.get(info=once_info())
        assert str(await caller.answer()).startswith("BUSY")
        await wait_until(lambda: len(bench.pools.pools["c0"].idle) == 1)


async def test_connection_lost_after_the_last_byte_is_a_failure() -> None:
    def abort(command: Any, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async with router(abort) as bench:
        caller = await bench.caller()
        caller.get(info=once_info())
        assert str(await caller.answer()) == "ERR failed"
        assert len(bench.cache.received) == 1


async def test_connection_lost_before_the_last_byte_proves_that_the_request_did_not_run() -> None:
    """The value exceeds the socket buffers, and the origin resets the connection without reading."""

    async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.1)
        writer.transport.abort()

    statuses: list[api.Status] = []
    async with router() as bench:
        pool = bench.pools.pools["o"]
        server = await asyncio.start_server(read_nothing, "127.0.0.1", 0, limit=1024)
        pool.endpoint = server.sockets[0].getsockname()[:2]
        call = Call(b"C.SET", b"k", b"i", b"c=put", bytes(32 << 20), 1, "put", 0, 9000, False)
        deadline = time.monotonic_ns() + 9_000_000_000
        pool.start(Exchange(call, deadline, lambda ending: statuses.append(ending.status)))
        await wait_until(lambda: statuses)
        # The request did not run, although the connection was established.
        assert statuses == [api.Status.MOOT]
        server.close()


@pytest.mark.parametrize(
    "reply", [b"nonsense\r\n", b"$99999999999\r\n", b"*1048577\r\n", b"+OK\r\n", b"*1\r\n$1\r\nab\r\n"]
)
async def test_malformed_answer_fails_the_attempt_and_closes_the_connection(reply: bytes) -> None:
    async with router(lambda command, writer: reply) as bench:
        caller = await bench.caller()
        caller.get(info=once_info())
        assert str(await caller.answer()) == "ERR failed"
        await wait_until(lambda: bench.cache.closed_connections == 1)


async def test_extra_data_after_an_answer_closes_the_connection() -> None:
    async with router(lambda command, writer: hit() + hit(b"again")) as bench:
        caller = await bench.caller()
        for n in range(2):
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"v"
        await wait_until(lambda: bench.cache.closed_connections == 2)


@pytest.mark.parametrize(
    ("reply", "answer"),
    [
        (http(503, b"", b"X-Rejected: 1\r\n"), "BUSY"),
        (http(503), "ERR failed"),
        (http(500), "ERR failed"),
        (b"garbage\r\n\r\n", "ERR failed"),
    ],
)
async def test_rejection_by_the_origin_counts_only_with_its_header(reply: bytes, answer: str) -> None:
    async with router(origin=lambda command, writer: reply) as bench:
        caller = await bench.caller()
        caller.send(b"C.SET", b"k", b"w1", once_info(900), b"value")
        assert str(await caller.answer()) == answer
        await wait_until(lambda: not bench.driver.requests)


async def test_request_of_disconnected_client_is_cancelled_and_its_attempt_completes() -> None:
    async with router(lambda command, writer: None if command[2] == b"i1" else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        caller.writer.close()
        await wait_until(lambda: not bench.driver.requests["i1"].open)
        bench.cache.writers[0].write(hit())
        await wait_until(lambda: not bench.driver.requests)
        other = await bench.caller()
        other.get(name=b"i2")
        assert await other.answer() == b"v"
        assert len(bench.cache.writers) == 1 and "i1" not in bench.driver.balancer.jobs


@pytest.mark.parametrize(
    "parts",
    [
        (b"C.GET", b"k", b"i1"),
        (b"C.GET", b"k", b"i1", b"c=nothing,d=9000"),
        (b"C.GET", b"k", b"i1", b"c=read,d=soon"),
        (b"C.GET", b"k", b"i1", b"c=read,t=nobody,d=9000"),
        (b"C.GET", b"k", b"i\r\nX-Evil: 1", INFO),
        (b"C.GET", b"k", b"i1", INFO + b"\r\nX-Evil: 1"),
        (b"C.SET", b"k", b"i1", INFO),
        (b"FLUSHALL",),
    ],
)
async def test_invalid_command_gets_an_error_and_the_next_is_served(parts: Any) -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.send(*parts)
        caller.get()
        assert str(await caller.answer()).startswith("ERR ")
        assert await caller.answer() == b"v"


@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1048577000\r\n",
        b"*-2\r\n",
        b"*4\r\n$5\r\nC.GET\r\n$65537\r\n",
        b"*4\r\n$-7\r\n",
        b"*1\r\n$4\r\nPINGPONG\r\n",
        b"*1\r\n:4\r\n",
        b"$" + b"1" * 5000,
        b"*2\r\n$1\r\na\r\n" * 100_000,
    ],
)
async def test_protocol_error_is_answered_and_closes_the_connection(sent: bytes) -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.get()
        caller.writer.write(sent)
        assert await caller.answer() == b"v"
        assert str(await caller.answer()).startswith("ERR Protocol error")
        assert await caller.answer() is None


async def test_duplicate_request_id_is_rejected() -> None:
    async with router(lambda command, writer: None if len(bench.cache.received) < 2 else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        other = await bench.caller()
        other.get(name=b"i1")
        assert str(await other.answer()) == "ERR this id is in use"
        bench.cache.writers[0].write(hit())
        assert await caller.answer() == b"v"


async def test_request_beyond_the_in_flight_limit_is_rejected() -> None:
    async with router(lambda command, writer: None, mostHeld=2) as bench:
        caller = await bench.caller()
        for n in range(2):
            caller.get(name=b"i%d" % n)
        await wait_until(lambda: len(bench.driver.requests) == 2)
        other = await bench.caller()
        other.get(name=b"i3")
        assert str(await other.answer()) == "BUSY"


async def test_value_beyond_the_memory_budget_is_rejected() -> None:
    async with router() as bench:
        bench.driver.memory.limit = 1024
        caller = await bench.caller()
        caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=77", bytes(2048))
        caller.send(b"C.SET", b"k", b"w2", b"c=put,t=acme,d=9000,k=78", bytes(512))
        assert str(await caller.answer()) == "BUSY"
        assert await caller.answer() == b"from origin"


async def test_client_that_reads_nothing_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(delivery_watch, "WRITE_STALL_TIMEOUT", 0.2)
    async with router(lambda command, writer: hit(bytes(resp.MAX_BUFFERED_VALUE))) as bench:
        caller = await bench.caller()
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        for n in range(400):
            caller.get(name=b"i%d" % n)
        await wait_until(lambda: bench.clients.connections)
        await wait_until(lambda: not bench.clients.connections)
        await wait_until(lambda: not bench.driver.requests)
        assert bench.driver.memory.used == 0


async def test_exception_in_the_policy_fails_only_that_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with router() as bench:
        handle = bench.driver.balancer.handle

        def raise_for_bad_request(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.id == "bad":
                raise ZeroDivisionError("a fault")
            return handle(now, event)

        bench.driver.balancer.handle = raise_for_bad_request  # type: ignore[method-assign]
        caller = await bench.caller()
        caller.get(name=b"bad")
        caller.get(name=b"good")
        assert str(await caller.answer()) == "ERR failed"
        assert await caller.answer() == b"v"
        assert "ZeroDivisionError" in caplog.text and not bench.driver.requests


async def test_request_without_a_policy_action_fails_by_its_deadline() -> None:
    async with router() as bench:
        bench.driver.balancer.handle = lambda now, event: []  # type: ignore[method-assign]
        caller = await bench.caller()
        caller.get(info=b"c=read,t=acme,d=9000")
        (pending_request,) = await wait_until(lambda: list(bench.driver.requests.values()))
        # The guard timer fires after the policy's deadline and before the client's.
        assert pending_request.deadline_timer.when() * 1e9 - pending_request.deadline < ANSWER_MARGIN
        caller.get(name=b"i2", info=b"c=read,t=acme,d=200")
        bench.driver._fail_overdue(pending_request)
        assert [str(await caller.answer()) for _ in range(2)] == ["ERR failed"] * 2
        assert not bench.driver.requests


async def test_connection_closed_by_the_server_is_removed_at_once() -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        assert await caller.answer() == b"v"
        bench.cache.writers[0].close()
        await wait_until(lambda: not bench.pools.pools["c0"].connections)
        caller.get(name=b"i2", info=once_info())
        assert await caller.answer() == b"v"


async def test_idle_connection_is_closed_before_the_server_closes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from applehub.node import pool

    monkeypatch.setattr(pool, "SWEEP_INTERVAL", 0.05)
    async with router(keepalive=200_000_000) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"
        await wait_until(lambda: bench.cache.closed_connections == 1)
        assert bench.pools.max_idle < 0.2


async def test_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async with router(lambda command, writer: MISS, sockets=1) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"from origin"
        await wait_until(lambda: bench.cache.closed_connections == 1)
        assert sum(len(pool.connections) for pool in bench.pools.pools.values()) == 1


async def test_retry_is_sent_after_the_previous_connection_has_ended() -> None:
    events: list[str] = []

    class RecordingCache(Cache):
        async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await super()._serve(reader, writer)
            events.append("ended")

    def answer(command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        events.append("asked")
        return hit() if len(events) > 2 else None

    cache = RecordingCache(answer)
    await cache.start()
    two_entries = [entry("c0", cache.address), entry("c1", cache.address)]
    async with router(entries=lambda _, origin: two_entries) as bench:
        handle = bench.driver.balancer.handle

        def shorten_first_timeout(now: int, event: api.Event) -> list[api.Action]:
            actions = handle(now, event)
            for action in actions:
                if isinstance(action, api.Send) and len(events) == 0:
                    action.timeout = 200_000_000
            return actions

        bench.driver.balancer.handle = shorten_first_timeout  # type: ignore[method-assign]
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"
        assert events[:3] == ["asked", "ended", "asked"]
    await cache.stop()


async def test_thousands_of_pipelined_commands_are_answered() -> None:
    """Prevents a recursion that grows with the number of buffered commands."""
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(resp.command(b"PING") * 40_000)
        for _ in range(40_000):
            assert await caller.answer() == b"PONG"


@pytest.mark.parametrize("sent", [b"*1\r\n-\xff\xfe\r\n", b"-\xff\r\n"])
async def test_error_line_with_invalid_text_is_a_protocol_error(sent: bytes) -> None:
    """Such a line from a client is a protocol error; a line from a cache server fails the attempt."""
    async with router(lambda command, writer: sent) as bench:
        caller = await bench.caller()
        caller.get(info=once_info())
        assert str(await caller.answer()) == "ERR failed"
        caller.writer.write(sent)
        assert str(await caller.answer()).startswith("ERR Protocol error")
        assert await caller.answer() is None


async def test_forwarded_time_is_what_remains_when_the_command_is_written() -> None:
    """Prevents a server from working past the client's deadline, since the connect takes time too."""
    async with router() as bench:
        pool = bench.pools.pools["c0"]
        open_connection = pool._open_connection

        async def open_connection_slowly(connection: Any) -> None:
            await asyncio.sleep(0.2)
            await open_connection(connection)

        pool._open_connection = open_connection_slowly  # type: ignore[method-assign]
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"
        fields = dict(one.split(b"=") for one in bench.cache.received[0][3].split(b","))
        assert int(fields[b"d"]) <= 8800


async def test_closing_connection_is_not_reused() -> None:
    """An attempt sent on an idle connection that is closing but still pooled would fail."""
    async with router() as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        assert await caller.answer() == b"v"
        (idle,) = bench.pools.pools["c0"].idle
        assert idle.transport is not None
        idle.transport.close()  # as at the end of the stream; `connection_lost` is called in the next tick
        outcomes: list[Any] = []
        call = Call(b"C.GET", b"k", b"i2", INFO, None, 0, "read", 0, 9000, False)
        pool = bench.pools.pools["c0"]
        pool.start(Exchange(call, time.monotonic_ns() + 9_000_000_000, outcomes.append))
        await wait_until(lambda: outcomes)
        assert outcomes[0].status is api.Status.OK


async def test_attempt_of_which_nothing_was_written_is_returned_to_the_policy() -> None:
    """Prevents retries outside the policy, and the ejection of a server that is reachable."""
    async with router() as bench:
        pool = bench.pools.pools["c0"]
        statuses = record_statuses(bench)
        pool._open_connection = never_open_connection  # type: ignore[method-assign]
        caller = await bench.caller()
        caller.get()
        (connection,) = await wait_until(lambda: list(pool.connections))
        del pool._open_connection
        connection.accepted = True  # the connection is lost before the command is written
        connection.handle_loss()
        assert await caller.answer() == b"v"
        assert statuses == [api.Status.MOOT, api.Status.OK]
        server = bench.driver.balancer.server_table.servers["c0"]
        assert not server.failures and not server.broken_attempts and len(bench.cache.received) == 1


async def test_answered_requests_leave_no_reference_cycles() -> None:
    """Prevents values from staying in memory until the next garbage collection."""

    def live_requests() -> list[PendingRequest]:
        return [one for one in gc.get_objects() if isinstance(one, PendingRequest)]

    async with router(lambda command, writer: None) as bench:
        caller = await bench.caller()
        gc.collect()
        gc.disable()
        try:
            caller.get()
            await wait_until(lambda: bench.cache.received)
            assert len(live_requests()) == 1
            bench.cache.writers[0].write(hit())
            assert await caller.answer() == b"v"
            assert not live_requests()
        finally:
            gc.enable()


@pytest.mark.parametrize(
    "sent", [b"", b"*4\r\n$5\r\nC.GET\r\n$1\r\n", b"*0\r\n", b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI"]
)
async def test_client_without_a_complete_command_in_time_gets_an_error_and_is_closed(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    monkeypatch.setattr(command_clock, "COMMAND_TIMEOUT", 0.05)
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(sent)
        if b"PING" in sent:
            assert await caller.answer() == b"PONG"
        assert str(await caller.answer()) == "ERR Protocol error: no whole command in time"
        assert await caller.answer() is None
        await wait_until(lambda: not bench.clients.connections)


async def test_client_with_a_request_in_flight_or_answered_is_not_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(command_clock, "COMMAND_TIMEOUT", 0.05)
    async with router(lambda command, writer: None) as bench:
        caller = await bench.caller()
        caller.get()
        await wait_until(lambda: bench.cache.received)
        (client,) = bench.clients.connections
        assert client.command_clock.timer is None
        bench.cache.writers[0].write(hit())
        assert await caller.answer() == b"v"
        assert client.command_clock.timer is None and client in bench.clients.connections


async def test_idle_client_is_closed_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents unused connections from exhausting the connection limit."""
    monkeypatch.setattr(listener, "MIN_IDLE_TIME", 0.0)
    async with router(lambda command, writer: None, sockets=2) as bench:
        idle, busy = await bench.caller(), await bench.caller()
        idle.send(b"PING")
        assert await idle.answer() == b"PONG"
        busy.get()
        await wait_until(lambda: bench.cache.received)
        third = await bench.caller()
        third.send(b"PING")
        assert await third.answer() == b"PONG"
        assert await idle.answer() is None
        bench.cache.writers[0].write(hit())
        assert await busy.answer() == b"v"


async def test_client_beyond_the_limit_is_rejected_until_another_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "MIN_IDLE_TIME", 2 * WAIT_TIMEOUT)
    async with router(sockets=2) as bench:
        for _ in range(2):
            caller = await bench.caller()
            caller.send(b"PING")
            assert await caller.answer() == b"PONG"
        third = await bench.caller()
        assert str(await third.answer()) == "ERR max number of clients reached"
        assert await third.answer() is None
        caller.writer.close()
        await wait_until(lambda: len(bench.clients.connections) == 1)
        fourth = await bench.caller()
        fourth.send(b"PING")
        assert await fourth.answer() == b"PONG"


async def test_request_without_a_free_server_connection_is_rejected() -> None:
    async with router(lambda command, writer: None, sockets=1) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        caller.get(name=b"i2", info=once_info())
        await wait_until(lambda: len(bench.driver.requests) == 1)
        bench.cache.writers[0].write(hit())
        assert await caller.answer() == b"v"
        assert str(await caller.answer()) == "BUSY"
        assert len(bench.cache.received) == 1


def test_nested_array_is_rejected_before_the_rest_is_parsed() -> None:
    """Prevents a large nested input from blocking the event loop."""
    frames = resp.FrameParser()
    frames.feed(b"*2\r\n$1\r\na\r\n" * 2)
    with pytest.raises(resp.FramingError, match="an array in an array"):
        frames.next()
    assert frames.position < 20


async def test_burst_of_clients_is_accepted_a_few_at_a_time() -> None:
    """Prevents the process from running out of descriptors when many clients are queued."""
    async with router(sockets=4) as bench:
        client_sockets = [socket.create_connection(("127.0.0.1", bench.port)) for _ in range(200)]
        descriptors_before, max_descriptors = len(os.listdir("/proc/self/fd")), 0
        while not max_descriptors or len(os.listdir("/proc/self/fd")) > descriptors_before + 4:
            await asyncio.sleep(0)
            max_descriptors = max(max_descriptors, len(os.listdir("/proc/self/fd")) - descriptors_before)
        assert max_descriptors <= 4 + 4 * ACCEPTS_PER_ITERATION
        for client_socket in client_sockets:
            client_socket.close()


async def test_handed_over_connection_closes_after_an_answer_and_never_before_one() -> None:
    """Prevents a close of an idle connection from losing requests that the client has just sent."""
    async with router() as bench:
        idle, busy = await bench.caller(), await bench.caller()
        for caller in (idle, busy):
            caller.send(b"PING")
            assert await caller.answer() == b"PONG"
        bench.clients.hand_over()
        assert not bench.clients.accepting
        busy.get(name=b"i1")
        busy.get(name=b"i2")
        assert [await busy.answer() for _ in range(3)] == [b"v", b"v", None]
        assert len(bench.clients.connections) == 1
        idle.get(name=b"i3")
        assert [await idle.answer() for _ in range(2)] == [b"v", None]
        await asyncio.wait_for(bench.clients.wait_empty(WAIT_TIMEOUT), WAIT_TIMEOUT)
        assert not bench.clients.connections


async def test_connection_with_unread_input_is_not_closed() -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.send(b"PING")
        assert await caller.answer() == b"PONG"
        (client,) = bench.clients.connections
        assert client.transport is not None and not client.has_unread_input()
        client.transport.pause_reading()
        caller.get()
        await wait_until(client.has_unread_input)
        bench.clients.close()
        client.transport.resume_reading()
        assert [await caller.answer() for _ in range(2)] == [b"v", None]


async def test_last_answer_and_end_of_stream_arrive_together() -> None:
    """Prevents a client from sending another request before it sees the end of the stream."""
    async with router() as bench:
        with socket.create_connection(("127.0.0.1", bench.port)) as client_socket:
            client_socket.settimeout(WAIT_TIMEOUT)
            client_socket.sendall(resp.command(b"PING"))
            await asyncio.sleep(0)
            await wait_until(lambda: any(client.sent_command for client in bench.clients.connections))
            assert client_socket.recv(100) == b"+PONG\r\n"
            bench.clients.hand_over()
            client_socket.sendall(resp.command(b"C.GET", b"k", b"i1", INFO))
            await wait_until(lambda: not bench.clients.connections)
            assert client_socket.recv(100) == b"$1\r\nv\r\n" and client_socket.recv(100) == b""


async def test_each_command_has_its_own_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents the close of a client whose reads always end in the middle of a command."""
    monkeypatch.setattr(command_clock, "COMMAND_TIMEOUT", WAIT_TIMEOUT)
    async with router() as bench:
        caller = await bench.caller()
        ping = resp.command(b"PING")
        caller.writer.write(ping + ping[:3])
        assert await caller.answer() == b"PONG"
        (client,) = bench.clients.connections
        first_timer = client.command_clock.timer
        caller.writer.write(ping[3:] + ping[:3])
        assert await caller.answer() == b"PONG"
        assert first_timer is not None and first_timer.cancelled() and client.command_clock.timer is not None
