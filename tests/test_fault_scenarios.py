"""Faults of clients, servers and discovery, injected over real sockets."""

import asyncio
import os
from collections.abc import Callable
from typing import Any

import pytest
from router_bench import MISS, Cache, Web, entry, hit, http, router, wait_until
from test_closes import GET, raw_client, reset_connection
from test_list_propagation import (
    ANSWERING,
    CHANGE_DEADLINE,
    RELOAD_DEADLINE,
    SILENT,
    TRICKLING,
    FaultyDiscovery,
    WatchHarness,
)
from test_watch import SlowDiscovery, routers
from virtual_time import run_in_virtual_time

from applehub.node import resp
from applehub.node.clients import MAX_PIPELINED_COMMANDS

INCOMPLETE_COMMAND_TIMEOUT = 3.0  # s, until an incomplete command gets an error or its connection is closed
ANSWER_TOLERANCE = 0.5  # s, maximum delay of a final answer after the deadline of its request
INFO = b"c=read,t=acme,d=3000"


WRITE = resp.command(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=3000", b"v" * 1000)
LONG_WRITE = resp.command(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=3000", b"v" * 300_000)
INCOMPLETE_INPUTS = {
    "nothing": b"",
    "an empty line": b"\r\n",
    "a first byte": b"*",
    "half of a head": GET[:7],
    "half of a read": GET[:30],
    "all but the last byte": GET[:-1],
    "half of a write's value": WRITE[:500],
    "half of a long write's value": LONG_WRITE[:150_000],
    "half, behind an answered read": GET + GET[:30],
    "half, behind a PING": resp.command(b"PING") + GET[:30],
    "half of a line that is not RESP": b"GET / HTTP/1.1",
}


@pytest.mark.parametrize("piece", [0, 1000], ids=["at once", "in pieces"])
@pytest.mark.parametrize("sent", INCOMPLETE_INPUTS.values(), ids=INCOMPLETE_INPUTS)
def test_incomplete_command_is_answered_with_an_error_in_time(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, piece: int
) -> None:
    """The router closes the connection even if the client keeps it open."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            caller = await bench.caller()
            for index in range(0, len(sent), piece or len(sent) or 1):
                caller.writer.write(sent[index : index + (piece or len(sent))])
                await asyncio.sleep(0.01)
            stopped_at, answers = loop.time(), []
            while (answer := await caller.answer()) is not None:
                answers.append(str(answer))
                if answer is not None and "ERR" in str(answer):
                    assert loop.time() - stopped_at <= INCOMPLETE_COMMAND_TIMEOUT
            assert answers[-1].startswith("ERR") and loop.time() - stopped_at <= INCOMPLETE_COMMAND_TIMEOUT
            await asyncio.sleep(3)
            assert (
                not bench.clients.connections
                and not bench.clients.lingering
                and bench.driver.memory.used == 0
            )

    run_in_virtual_time(monkeypatch, test)


def answer_late(request: Any, writer: Any) -> None:
    """Answers shortly before the deadline of a request."""
    asyncio.get_running_loop().call_later(2.9, writer.write, hit())


@pytest.mark.parametrize("answered_after", [2.4, None], ids=["answered late", "never answered"])
def test_incomplete_command_behind_a_pending_one_has_its_own_timeout(
    monkeypatch: pytest.MonkeyPatch, answered_after: float | None
) -> None:
    """The complete read is answered, then the incomplete one gets an error and the connection is closed."""

    async def test() -> None:
        loop = asyncio.get_running_loop()

        def answer_after_delay(request: Any, writer: Any) -> None:
            if answered_after is not None:
                loop.call_later(answered_after, writer.write, hit())

        async with router(answer_after_delay) as bench:
            caller = await bench.caller()
            caller.writer.write(read_command(b"i1") + GET[:20])
            stopped_at = loop.time()
            first = await caller.answer()
            assert first == b"v" if answered_after else str(first).startswith("BUSY")
            assert "no whole command" in str(await caller.answer())
            assert await caller.answer() is None
            assert loop.time() - stopped_at <= INCOMPLETE_COMMAND_TIMEOUT

    run_in_virtual_time(monkeypatch, test)


def test_command_completed_in_time_behind_a_pending_one_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(answer_late) as bench:
            caller = await bench.caller()
            caller.writer.write(read_command(b"i1") + read_command(b"i2")[:20])
            await asyncio.sleep(2.0)
            caller.writer.write(read_command(b"i2")[20:])
            assert [await caller.answer(), await caller.answer()] == [b"v", b"v"]

    run_in_virtual_time(monkeypatch, test)


def test_complete_commands_past_the_pipeline_limit_do_not_time_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Complete commands past the limit wait until the servers answer the commands before them."""

    async def test() -> None:
        count = MAX_PIPELINED_COMMANDS + 3
        async with router(answer_late) as bench:
            caller = await bench.caller()
            caller.writer.write(b"".join(read_command(b"i%d" % number) for number in range(count)))
            answers = [str(await caller.answer()) for _ in range(count)]
            assert not any("no whole command" in answer for answer in answers)
            caller.send(b"PING")
            assert await caller.answer() == b"PONG"

    run_in_virtual_time(monkeypatch, test)


NO_LENGTH: dict[str, Callable[[bytes], list[bytes]]] = {
    "to the end of the stream": lambda body: [b"HTTP/1.1 200 OK\r\n\r\n", body],
    "to the end of the stream, announced": lambda body: [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        body,
    ],
    "HTTP/1.0": lambda body: [b"HTTP/1.0 200 OK\r\n\r\n", body],
    "in chunks": lambda body: [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n",
    ],
}


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 200_000, 4 << 20])
@pytest.mark.parametrize("form", NO_LENGTH.values(), ids=NO_LENGTH)
@pytest.mark.parametrize("piece", [1 << 20, 8_191])
async def test_complete_response_without_length_is_forwarded(
    size: int, form: Callable[[bytes], list[bytes]], piece: int
) -> None:
    body = os.urandom(size)

    def origin_answer(request: Any, writer: Any) -> None:
        response = b"".join(form(body))
        for index in range(0, len(response), piece):
            writer.write(response[index : index + piece])
        writer.write_eof()

    async with router(lambda request, writer: MISS, origin=origin_answer) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == body
        await wait_until(lambda: not bench.driver.requests)
        assert len(bench.origin.received) == 1
        await wait_until(lambda: bench.driver.memory.used == 0)


@pytest.mark.parametrize("size", [1, 65_537, 1 << 20])
def test_response_without_length_that_is_reset_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: MISS, origin=lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get()
            await wait_until(lambda: bench.origin.received)
            bench.origin.writers[0].write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * size)
            await bench.origin.writers[0].drain()
            await asyncio.sleep(0.1)
            reset_connection(bench.origin.writers[0])
            await wait_until(lambda: len(bench.origin.received) == 2)
            bench.origin.writers[1].write(http(200, b"all of it"))
            assert await caller.answer() == b"all of it"
            assert bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


def test_responses_without_length_stay_within_the_memory_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Responses past the memory limit are aborted, and all memory is released."""

    async def test() -> None:
        body = b"x" * (1 << 20)
        async with router(lambda request, writer: MISS, origin=lambda request, writer: None) as bench:
            bench.driver.memory.limit = 4 << 20  # three quarters of it are available to long values
            callers = [await bench.caller() for _ in range(4)]
            for index, caller in enumerate(callers):
                caller.get(key=b"k%d" % index, name=b"i%d" % index, info=INFO)
            writers = list(await wait_until(lambda: len(bench.origin.received) == 4 and bench.origin.writers))
            for writer in writers:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            await asyncio.sleep(1)
            assert (2 << 20) < bench.driver.memory.used <= 3 << 20
            for writer in writers:
                if not writer.transport.is_closing():
                    writer.write_eof()
            answers = [await caller.answer() for caller in callers]
            assert answers.count(body) == 2 and [str(answer) for answer in answers].count("BUSY") == 2
            await asyncio.sleep(3)
            assert bench.driver.memory.used == 0 and not bench.driver.requests

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("deadline_ms", [1, 5, 8, 9, 10, 12, 20, 50, 150])
@pytest.mark.parametrize("at_origin", [False, True], ids=["cache server", "origin"])
def test_dropped_requests_with_short_deadlines_do_not_mark_the_server_as_failed(
    monkeypatch: pytest.MonkeyPatch, deadline_ms: int, at_origin: bool
) -> None:
    """Each request is answered by its deadline, and the server gets the requests that follow."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        drops = True

        def cache_answer(request: Any, writer: Any) -> bytes | None:
            return MISS if at_origin else None if drops else hit()

        def origin_answer(request: Any, writer: Any) -> bytes | None:
            return None if drops else http(200, b"far")

        async with router(cache_answer, origin=origin_answer) as bench:
            caller = await bench.caller()
            for number in range(40):
                started = loop.time()
                caller.get(
                    key=b"k%d" % number, name=b"i%d" % number, info=b"c=read,t=acme,d=%d" % deadline_ms
                )
                assert await caller.answer() is not None
                assert loop.time() - started <= deadline_ms / 1000 + ANSWER_TOLERANCE
                await asyncio.sleep(0.05)
            drops, started = False, loop.time()
            for number in range(10):
                caller.get(key=b"then%d" % number, name=b"then%d" % number, info=INFO)
                assert await caller.answer() == (b"far" if at_origin else b"v")
            # Reads are throttled for some time after the only origin stopped answering.
            assert at_origin or (loop.time() - started <= 0.5 and not bench.origin.received)

    run_in_virtual_time(monkeypatch, test)


def unsafe_read(name: bytes) -> bytes:
    return resp.command(b"C.GET", b"k", name, b"c=once,t=acme,d=3000")


def read_command(name: bytes) -> bytes:
    return resp.command(b"C.GET", b"k", name, INFO)


def write_command(name: bytes) -> bytes:
    return resp.command(b"C.SET", b"k", name, b"c=put,t=acme,d=3000", b"value")


# Faults of idle connections; new connections work. None: the connections fail at the next request.
CONNECTION_FAULTS: dict[str, Callable[[Any], Any] | None] = {
    "closed": lambda writer: writer.close(),
    "reset": reset_connection,
    "ended and left open": lambda writer: writer.write_eof(),
    "reset by the next request": None,
    "forgotten: the next request is dropped": None,
}


def failing_on_old_connections(
    old_connections: set[Any], good: bytes, reset: bool
) -> Callable[[Any, Any], bytes | None]:
    """Returns a handler that resets or ignores requests on old connections and answers on all others."""

    def answer(request: Any, writer: Any) -> bytes | None:
        if writer not in old_connections:
            return good
        if reset:
            reset_connection(writer)
        return None

    return answer


@pytest.mark.parametrize("idle_s", [0.5, 9.0, 55.0])
@pytest.mark.parametrize("fault", CONNECTION_FAULTS)
@pytest.mark.parametrize(
    "make_command", [read_command, unsafe_read, write_command], ids=["read", "once", "put"]
)
def test_requests_are_answered_after_idle_connections_fail(
    monkeypatch: pytest.MonkeyPatch, make_command: Callable[[bytes], bytes], fault: str, idle_s: float
) -> None:
    """Each request is answered in time, and an unsafe one that may have been executed is not retried."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        old_connections: set[Any] = set()
        cache_answer, origin_answer = (
            failing_on_old_connections(old_connections, good, "reset" in fault)
            for good in (hit(), http(200, b"far"))
        )
        async with router(cache_answer, origin=origin_answer) as bench:
            server = bench.origin if make_command is write_command else bench.cache
            callers = [await bench.caller() for _ in range(4)]
            for round_index in range(3):  # opens several connections to the server
                for index, warm_up in enumerate(callers):
                    warm_up.writer.write(make_command(b"w%d-%d" % (round_index, index)))
                for warm_up in callers:
                    assert await warm_up.answer() in (b"v", b"far")
            await asyncio.sleep(idle_s)
            old_connections.update(server.writers)
            for writer in [
                open_writer for open_writer in server.writers if not open_writer.transport.is_closing()
            ]:
                (CONNECTION_FAULTS[fault] or old_connections.add)(writer)
            caller, count_before, started = await bench.caller(), len(server.received), loop.time()
            for number in range(3):
                caller.writer.write(make_command(b"i%d" % number))
                answer = await caller.answer()
                assert answer is not None and loop.time() - started <= 3.0 + ANSWER_TOLERANCE
                if CONNECTION_FAULTS[fault] is not None:  # the old connections executed no request
                    assert answer in (b"v", b"far")
                started = loop.time()
            attempts = [
                received for received in server.received[count_before:] if b"i0" in str(received).encode()
            ]
            assert len(attempts) == 1 if make_command is unsafe_read else 1 <= len(attempts) <= 4

    run_in_virtual_time(monkeypatch, test)


IMMEDIATE_FAILURES: dict[str, Callable[[Any], Any]] = {
    "resets": reset_connection,
    "closes": lambda writer: writer.close(),
    "fails": lambda writer: b"",
    "refuses": lambda writer: b"",
    "nonsense": lambda writer: b"?\r\n",
}
ERROR_RESPONSES = {
    "fails": (b"-ERR failed\r\n", http(500)),
    "refuses": (b"-BUSY\r\n", http(503, extra=b"X-Rejected: 1\r\n")),
}


@pytest.mark.parametrize("fault", IMMEDIATE_FAILURES)
@pytest.mark.parametrize(
    "make_command", [read_command, unsafe_read, write_command], ids=["read", "once", "put"]
)
def test_request_whose_attempts_all_fail_at_once_gets_one_answer(
    monkeypatch: pytest.MonkeyPatch, make_command: Callable[[bytes], bytes], fault: str
) -> None:
    """Attempts are bounded, and an unsafe request that may have been executed is not retried."""

    async def test() -> None:
        def failing_server(is_origin: bool) -> Callable[[Any, Any], bytes | None]:
            return lambda request, writer: (
                ERROR_RESPONSES[fault][is_origin]
                if fault in ERROR_RESPONSES
                else IMMEDIATE_FAILURES[fault](writer)
            )

        extra_caches = [Cache(failing_server(False)) for _ in range(5)]
        for extra_cache in extra_caches:
            await extra_cache.start()

        def entries(cache: Cache, origin: Web) -> list[Any]:
            caches = [
                entry(f"c{index}", server.address) for index, server in enumerate([cache, *extra_caches])
            ]
            return [*caches, entry("o", origin.address, model="origin")]

        loop = asyncio.get_running_loop()
        async with router(failing_server(False), origin=failing_server(True), entries=entries) as bench:
            caller = await bench.caller()
            for number in range(50):
                started = loop.time()
                caller.writer.write(make_command(b"i%d-" % number))
                assert str(await caller.answer()).split()[0] in ("ERR", "BUSY")
                assert loop.time() - started <= 3.0 + ANSWER_TOLERANCE
            all_received = [
                str(received)
                for server in (bench.cache, *extra_caches, bench.origin)
                for received in server.received
            ]
            maybe_executed = fault != "refuses"
            for number in range(50):
                attempts = sum(f"i{number}-" in received for received in all_received)
                assert attempts <= (1 if make_command is unsafe_read and maybe_executed else 4)
            await wait_until(lambda: not bench.driver.requests)
        for extra_cache in extra_caches:
            await extra_cache.stop()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("idle_s", [60, 3600])
@pytest.mark.parametrize(
    "fault", [[SILENT, ANSWERING], [TRICKLING, ANSWERING], [SILENT, SILENT, ANSWERING]], ids=" then ".join
)
@pytest.mark.parametrize("list_on_request", [False, True])
def test_discovery_faults_after_a_long_idle_time_are_recovered_in_time(
    monkeypatch: pytest.MonkeyPatch, fault: list[str], list_on_request: bool, idle_s: float
) -> None:
    async def test() -> None:
        service = FaultyDiscovery()
        discovery_client = WatchHarness(list_on_request, await service.start())
        await asyncio.sleep(idle_s)
        service.behaviours, changed_at = list(fault), asyncio.get_running_loop().time()
        service.rev += 1
        assert await discovery_client.wait_for_version(2) - changed_at <= CHANGE_DEADLINE
        discovery_client.watch.stop()
        service.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("idle_s", [60, 3600])
@pytest.mark.parametrize("fault", ["hangs", "resets", "misses"])
def test_requests_are_answered_when_servers_fail_after_a_long_idle_time(
    monkeypatch: pytest.MonkeyPatch, fault: str, idle_s: float
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        failing = False

        def cache_answer(request: Any, writer: Any) -> bytes | None:
            if not failing:
                return hit()
            if fault == "resets":
                reset_connection(writer)
            return MISS if fault == "misses" else None

        async with router(cache_answer, origin=lambda request, writer: http(200, b"far")) as bench:
            caller = await bench.caller()
            caller.writer.write(read_command(b"before"))
            assert await caller.answer() == b"v"
            await asyncio.sleep(idle_s)
            failing = True
            for number in range(8):
                started = loop.time()
                caller.writer.write(read_command(b"i%d" % number))
                answer = await caller.answer()
                assert answer is not None and loop.time() - started <= 3.0 + ANSWER_TOLERANCE
                assert fault != "misses" or answer == b"far"
            failing = False
            async with asyncio.timeout(60):
                number = 0
                while answer != b"v":
                    number += 1
                    await asyncio.sleep(0.25)
                    caller.writer.write(read_command(b"back%d" % number))
                    answer = await caller.answer()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("response_delay", [0.0, 1.4, 3.0])
@pytest.mark.parametrize("interval", [0.0, 0.05, 0.7])
@pytest.mark.parametrize("list_on_request", [False, True])
def test_last_of_several_rapid_reconfigurations_wins_with_slow_discovery(
    monkeypatch: pytest.MonkeyPatch, list_on_request: bool, interval: float, response_delay: float
) -> None:
    """All services but the last are silent, slow or respond with an error."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        first, last = SlowDiscovery(delay=response_delay), SlowDiscovery(delay=response_delay)
        faulty = [FaultyDiscovery() for _ in range(3)]
        for service, fault in zip(faulty, ("silent", "trickling", "503"), strict=True):
            service.behaviours = [fault]
        addresses = [await service.start() for service in faulty]
        async with routers(first, 1, list_on_request) as (client,):
            await asyncio.sleep(10)
            for number in range(9):
                client.watch.set_endpoints([addresses[number % 3]])
                await asyncio.sleep(interval)
            last.rev = 7
            address = await last.start()
            client.watch.set_endpoints([address])
            moved_at = loop.time()
            assert await client.wait_for_version(7) - moved_at <= max(RELOAD_DEADLINE, response_delay + 1)
            changed_at = last.change()
            assert await client.wait_for_version(8) - changed_at <= CHANGE_DEADLINE
        for service in faulty:
            service.server.close()
        last.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("list_on_request", [False, True])
def test_all_routers_get_the_list_after_moving_to_an_overloaded_discovery_service(
    monkeypatch: pytest.MonkeyPatch, list_on_request: bool
) -> None:
    """16 routers move five times within a second; each service takes eight requests per second."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        services = [SlowDiscovery(rate=8.0) for _ in range(5)]
        addresses = [await service.start() for service in services]
        async with routers(SlowDiscovery(), 16, list_on_request) as clients:
            await asyncio.sleep(10)
            for address in addresses:
                await asyncio.sleep(0.2)
                for client in clients:
                    client.watch.set_endpoints([address])
            services[-1].rev, moved_at = 9, loop.time()
            delays = [await client.wait_for_version(9) - moved_at for client in clients]
            assert max(delays) <= 16 / 8 + CHANGE_DEADLINE
        for service in services:
            service.server.close()

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("rest", [GET[30:], GET[30:] + GET, b""], ids=["the rest", "more", "nothing"])
def test_rest_of_a_command_that_arrives_as_it_times_out_is_discarded(
    monkeypatch: pytest.MonkeyPatch, rest: bytes
) -> None:
    """Late bytes neither reset the connection nor reach a server."""

    async def test() -> None:
        async with router() as bench, raw_client(bench) as client:
            client.sock.sendall(GET[:30])
            (connection,) = bench.clients.connections
            await wait_until(lambda: connection.command_clock.timer)
            connection.command_timed_out()  # the rest is sent in the event loop tick of the timeout
            client.sock.sendall(rest)
            assert await client.read_all() == b"-ERR Protocol error: no whole command in time\r\n"
            await asyncio.sleep(3)
            assert not bench.cache.received and not bench.clients.lingering

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("servers", [3, 200, 1000])
def test_cache_misses_are_fetched_without_load(monkeypatch: pytest.MonkeyPatch, servers: int) -> None:
    """200 keys that no cache server has are read at 50 per second from an idle origin."""

    async def test() -> None:
        def entries(cache: Cache, origin: Web) -> list[Any]:
            caches = [entry(f"c{index}", cache.address) for index in range(servers)]
            return [*caches, entry("o", origin.address, model="origin")]

        async with router(lambda request, writer: MISS, entries=entries) as bench:
            caller = await bench.caller()
            for number in range(200):
                caller.get(key=b"k%d" % number, name=b"i%d" % number, info=INFO)
                assert await caller.answer() == b"from origin"
                await asyncio.sleep(0.02)
            assert len(bench.origin.received) == 200


@pytest.mark.parametrize("answered", [None, 0.1, 2.4], ids=["never", "soon", "late"])
@pytest.mark.parametrize(
    "sent", [GET[:30], GET[:1], LONG_WRITE[:150_000]], ids=["half", "a byte", "half a value"]
)
def test_incomplete_command_behind_a_pending_one_times_out_from_its_start(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, answered: float | None
) -> None:
    """The timeout starts with the incomplete command, not when the commands before it are answered."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get(info=INFO)
            caller.writer.write(sent)
            await wait_until(lambda: bench.cache.received)
            stopped_at = loop.time()
            if answered is not None:
                loop.call_later(answered, bench.cache.writers[0].write, hit())
            assert str(await caller.answer()) == ("BUSY" if answered is None else "b'v'")
            assert str(await caller.answer()) == "ERR Protocol error: no whole command in time"
            assert loop.time() - stopped_at <= INCOMPLETE_COMMAND_TIMEOUT
            assert await caller.answer() is None

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("deadline_ms", [9, 12, 30], ids="{} ms".format)
@pytest.mark.parametrize("dropped", [True, False], ids=["dropped", "answered late"])
def test_timeouts_of_short_deadlines_do_not_make_servers_seem_overloaded(
    monkeypatch: pytest.MonkeyPatch, deadline_ms: int, dropped: bool
) -> None:
    """A timeout because of a short deadline must not count as an answer time of the server."""

    async def test() -> None:
        loop, answer_time = asyncio.get_running_loop(), 0.03
        drops = False

        def cache_answer(request: Any, writer: Any) -> None:
            if not drops:
                loop.call_later(answer_time, writer.write, hit())

        extra_caches = [Cache(cache_answer) for _ in range(3)]
        for extra_cache in extra_caches:
            await extra_cache.start()

        def entries(cache: Cache, origin: Web) -> list[Any]:
            caches = [
                entry(f"c{index}", server.address) for index, server in enumerate([cache, *extra_caches])
            ]
            return [*caches, entry("o", origin.address, model="origin")]

        async with router(cache_answer, entries=entries) as bench:
            first = await bench.caller()
            for number in range(100):
                first.get(key=b"k%d" % (number % 20), name=b"w%d" % number, info=INFO)
                assert await first.answer() == b"v"
            drops = dropped
            for number in range(100):
                info = b"c=read,t=acme,d=%d" % deadline_ms
                first.get(key=b"k%d" % (number % 20), name=b"s%d" % number, info=info)
                assert str(await first.answer()) == "BUSY"
            drops, callers = False, [await bench.caller() for _ in range(12)]
            for round_index in range(20):
                for index, caller in enumerate(callers):
                    number = round_index * 12 + index
                    caller.get(key=b"k%d" % (number % 20), name=b"i%d" % number, info=INFO)
                assert [await caller.answer() for caller in callers] == [b"v"] * 12
        for extra_cache in extra_caches:
            await extra_cache.stop()

    run_in_virtual_time(monkeypatch, test)
