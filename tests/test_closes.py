"""Connections that close while data is in transit.

The client reads the complete last answer and the end of the stream without a reset, and requests that are
read after the router ended its sending are not forwarded.
"""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from router_bench import MISS, Bench, hit, http, router, wait_until
from virtual_time import run_in_virtual_time

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults
from applehub.node import clients, delivery_watch, listener, resp

GET = resp.command(b"C.GET", b"k", b"i1", b"c=read,t=acme,d=9000")
PING, PONG = resp.command(b"PING"), b"+PONG\r\n"


class RawClient:
    """A client on a plain socket, so that the test controls each byte in both directions."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)

    async def read(self, size: int = 1 << 16) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.sock, size)

    async def read_all(self) -> bytes:
        """Reads until the end of the stream; raises ConnectionResetError after a reset."""
        received = b""
        while chunk := await self.read():
            received += chunk
        return received


@asynccontextmanager
async def raw_client(bench: Bench) -> AsyncIterator[RawClient]:
    """Yields a client whose connection has served a command and is idle."""
    client = RawClient(bench.port)
    try:
        client.sock.sendall(PING)
        assert await client.read() == PONG
        yield client
    finally:
        client.sock.close()


CLOSE_ACTIONS: dict[str, Callable[[Bench], object]] = {
    "room for another": lambda bench: next(iter(bench.clients.connections)).close_idle(),
    "SIGTERM": lambda bench: bench.clients.close(),
}


@pytest.mark.parametrize("end", CLOSE_ACTIONS.values(), ids=CLOSE_ACTIONS)
@pytest.mark.parametrize("sent", [GET, GET[:9], GET * 50, PING], ids=["whole", "half", "many", "PING"])
def test_request_that_crosses_close_of_idle_connection_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, end: Callable[[Bench], object]
) -> None:
    """Closing a socket with unread bytes would reset the connection."""

    async def test() -> None:
        async with router() as bench, raw_client(bench) as client:
            end(bench)
            client.sock.sendall(sent)  # before the router polls its sockets again
            assert await client.read_all() == b""
            await asyncio.sleep(delivery_watch.LINGER_TIMEOUT / 2)
            client.sock.sendall(sent)  # the router still reads from the connection
            await asyncio.sleep(3)
            assert not bench.cache.received and not bench.clients.lingering
            assert bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("end", ["SIGTERM", "hand-over"])
def test_last_answer_is_complete_when_more_commands_follow(monkeypatch: pytest.MonkeyPatch, end: str) -> None:
    async def test() -> None:
        async with router(lambda request, writer: None) as bench, raw_client(bench) as client:
            client.sock.sendall(GET)
            await wait_until(lambda: bench.cache.received)
            (bench.clients.close if end == "SIGTERM" else bench.clients.hand_over)()
            add_memory = bench.clients.driver.memory.add  # is called while the answer is written

            def add_and_send(byte_count: int) -> None:
                if not bench.driver.requests and not sent_during_write:
                    sent_during_write.append(True)
                    client.sock.sendall(GET.replace(b"i1", b"i2"))
                add_memory(byte_count)

            sent_during_write: list[bool] = []
            monkeypatch.setattr(bench.driver.memory, "add", add_and_send)
            bench.cache.writers[0].write(hit())
            assert await client.read_all() == b"$1\r\nv\r\n"
            await asyncio.sleep(3)
            assert sent_during_write and len(bench.cache.received) == 1 and not bench.clients.lingering

    run_in_virtual_time(monkeypatch, test)


def test_request_received_before_close_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router() as bench, raw_client(bench) as client:
            client.sock.sendall(GET)
            bench.clients.close()
            assert await client.read_all() == b"$1\r\nv\r\n"

    run_in_virtual_time(monkeypatch, test)


def test_partial_command_at_close_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise the client would see the end of the stream without an answer."""

    async def test() -> None:
        async with router() as bench, raw_client(bench) as client:
            client.sock.sendall(GET[:20])
            (connection,) = bench.clients.connections
            await wait_until(lambda: connection.frames.buffer)
            bench.clients.close()
            client.sock.sendall(GET[20:])
            assert await client.read_all() == b"-BUSY\r\n"
            await asyncio.sleep(3)
            assert not bench.cache.received and not bench.clients.lingering

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("sent", [GET, b""], ids=["a request", "nothing"])
def test_queued_clients_are_accepted_when_listener_closes(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """Closing the listener first would reset connections in the accept queue."""

    async def test() -> None:
        async with router(lambda request, writer: hit(request[2]), sockets=64) as bench, raw_client(bench):
            queued = [RawClient(bench.port) for _ in range(3)]
            for index, client in enumerate(queued):
                client.sock.sendall(sent.replace(b"i1", b"j%d" % index))
            await bench.clients.shut_down()  # before the event loop accepts the queued clients
            for index, client in enumerate(queued):
                assert await client.read_all() == (b"$2\r\nj%d\r\n" % index if sent else b"")
                client.sock.close()
            await asyncio.wait_for(bench.clients.wait_empty(60), 60)
            assert not bench.clients.connections and len(bench.cache.received) == (3 if sent else 0)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("extra", [b"", GET, b"x" * 300_000], ids=["nothing", "a request", "a flood"])
@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (resp.command(b"QUIT"), b"+OK\r\n"),
        (b"nonsense\r\n", b"-ERR Protocol error: invalid first byte\r\n"),
    ],
    ids=["QUIT", "nonsense"],
)
def test_last_answer_reaches_client_that_keeps_sending(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, answer: bytes, extra: bytes
) -> None:
    async def test() -> None:
        async with router() as bench, raw_client(bench) as client:
            client.sock.sendall(sent + extra)
            assert await client.read_all() == answer
            await asyncio.sleep(3)
            assert not bench.cache.received and not bench.clients.lingering

    run_in_virtual_time(monkeypatch, test)


def test_rejected_client_that_has_sent_request_reads_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """A close with the request unread would reset the connection before the client reads the error."""
    monkeypatch.setattr(listener, "MIN_IDLE_TIME", 1e9)

    async def test() -> None:
        async with router(sockets=1) as bench, raw_client(bench):
            rejected = RawClient(bench.port)
            rejected.sock.sendall(GET)
            assert await rejected.read_all() == b"-ERR max number of clients reached\r\n"
            await asyncio.sleep(3)
            assert not bench.cache.received and not bench.clients.lingering
            rejected.sock.close()

    run_in_virtual_time(monkeypatch, test)


def test_incomplete_value_does_not_reset_earlier_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        long_answer = hit(bytes(200_000))
        answers = {b"i1": hit(b"whole"), b"i2": long_answer[:100_000]}
        async with router(lambda request, writer: answers[request[2]]) as bench, raw_client(bench) as client:
            client.sock.sendall(GET + GET.replace(b"i1", b"i2"))
            await wait_until(lambda: len(bench.cache.received) == 2)
            await asyncio.sleep(0.1)
            client.sock.sendall(GET.replace(b"i1", b"i3"))
            for writer in bench.cache.writers:
                writer.transport.abort()
            received = await client.read_all()
            assert received.startswith(b"$5\r\nwhole\r\n$200000\r\n") and len(received) < 200_000

    run_in_virtual_time(monkeypatch, test)


def test_slow_reader_gets_complete_last_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Unsent data must not be discarded after the linger timeout."""

    async def test() -> None:
        value = bytes(resp.MAX_LONG_VALUE)
        async with router(lambda request, writer: hit(value)) as bench, raw_client(bench) as client:
            client.sock.sendall(GET + resp.command(b"QUIT"))
            await asyncio.sleep(1)
            received = bytearray()
            while chunk := await client.read(1 << 18):
                received += chunk
                await asyncio.sleep(0.5)
            assert len(received) == len(value) + len(b"$8388608\r\n\r\n+OK\r\n")
            # The client keeps the connection open.
            await asyncio.sleep(2 * delivery_watch.WRITE_STALL_TIMEOUT)
            assert not bench.clients.lingering and bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


def test_client_that_does_not_read_its_last_answer_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with (
            router(lambda request, writer: hit(bytes(resp.MAX_LONG_VALUE))) as bench,
            raw_client(bench) as client,
        ):
            client.sock.sendall(GET + resp.command(b"QUIT"))
            await asyncio.sleep(4 * delivery_watch.WRITE_STALL_TIMEOUT)
            assert not bench.clients.connections and not bench.clients.lingering
            assert bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


async def test_connections_have_tcp_nodelay() -> None:
    """asyncio does not set TCP_NODELAY on accepted sockets, whose protocol number is 0."""
    async with router(lambda request, writer: MISS) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"from origin"
        transports = [client.transport for client in bench.clients.connections]
        transports += [writer.transport for pool in bench.pools.pools.values() for writer in pool.connections]
        for transport in transports:
            assert transport is not None
            assert transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert len(transports) == 3


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as the kernel does for a process that exits with unread input."""
    linger = b"\1\0\0\0\0\0\0\0"
    writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize("head", [b"", b"Connection: close\r\n", b"Content-Length: 9\r\n"])
@pytest.mark.parametrize("complete", [False, True])
def test_value_without_length_is_complete_only_at_end_of_stream(
    monkeypatch: pytest.MonkeyPatch, head: bytes, complete: bool
) -> None:
    """After a reset the value is requested again; the incomplete value is never forwarded."""

    async def test() -> None:
        async with router(lambda request, writer: MISS, origin=lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get()
            await wait_until(lambda: bench.origin.received)
            bench.origin.writers[0].write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + b"half")
            await asyncio.sleep(0.1)
            if complete:
                bench.origin.writers[0].write_eof()
            else:
                reset_connection(bench.origin.writers[0])
            if complete and b"Length" not in head:
                assert await caller.answer() == b"half"
                return
            await wait_until(lambda: len(bench.origin.received) == 2)
            bench.origin.writers[1].write(http(200, b"all of it"))
            assert await caller.answer() == b"all of it"

    run_in_virtual_time(monkeypatch, test)


async def read_slowly(client: RawClient) -> bytes:
    """Reads until the end of the stream, with pauses."""
    received = bytearray()
    while chunk := await client.read(1 << 14):
        received += chunk
        await asyncio.sleep(0.1)
    return bytes(received)


def test_slow_reader_that_stays_is_closed_after_last_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """The answers exceed the socket buffer, so the last ones are not written yet."""

    async def test() -> None:
        async with router(lambda request, writer: None, sockets=128) as bench, raw_client(bench) as client:
            (connection,) = bench.clients.connections
            assert connection.transport is not None
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 15
            )
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            names = [b"j%d" % n for n in range(5)]
            client.sock.sendall(b"".join(GET.replace(b"i1", name) for name in names) + resp.command(b"QUIT"))
            await wait_until(lambda: len(bench.cache.received) == len(names))
            first = [request[2] for request in bench.cache.received].index(names[0])
            for writer in [
                *bench.cache.writers[:first],
                *bench.cache.writers[first + 1 :],
                bench.cache.writers[first],
            ]:
                writer.write(hit(bytes(60_000)))
                await asyncio.sleep(0.1)
            assert connection.write_paused and connection.phase is clients.Phase.FLUSHING
            received = await read_slowly(client)
            assert received.endswith(b"+OK\r\n") and received.count(b"$60000\r\n") == len(names)
            await asyncio.sleep(2 * delivery_watch.WRITE_STALL_TIMEOUT)
            assert not bench.clients.lingering and bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


def test_slow_reader_that_stays_is_closed_after_last_answers_in_write_buffer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the stream waits in the write buffer, behind answers that the kernel does not take."""

    async def test() -> None:
        async with router(lambda request, writer: None) as bench, raw_client(bench) as client:
            (connection,) = bench.clients.connections
            transport = connection.transport
            assert transport is not None
            client.sock.sendall(GET + GET.replace(b"i1", b"i2") + resp.command(b"QUIT"))
            await wait_until(lambda: len(bench.cache.received) == 2)
            writers = dict(
                zip((request[2] for request in bench.cache.received), bench.cache.writers, strict=True)
            )
            full = SystemCallFault("send", "EAGAIN", times=1 << 20, local=f"*:{bench.port}")
            with SystemCallFaults(full):
                # The clock stands still, since the socket is always reported as writable.
                writers[b"i1"].write(hit(bytes(60_000)))
                while not transport.get_write_buffer_size():
                    await asyncio.sleep(0)
                writers[b"i2"].write(hit(bytes(60_000)))
                while not connection.write_paused:
                    await asyncio.sleep(0)
                assert connection.phase is clients.Phase.LINGERING
            received = await read_slowly(client)
            assert received.endswith(b"+OK\r\n") and received.count(b"$60000\r\n") == 2
            await asyncio.sleep(2 * delivery_watch.WRITE_STALL_TIMEOUT)
            assert not bench.clients.lingering and bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("delay", [0.0005, 0.002, 0.004, 0.008])
@pytest.mark.parametrize("gap", [0.0, 0.0004, 0.001, 0.003, 0.006])
def test_late_second_answer_is_not_used_for_next_request(
    monkeypatch: pytest.MonkeyPatch, delay: float, gap: float
) -> None:
    """Answers carry no request id, so a surplus answer could be taken for that of the next request."""

    async def test() -> None:
        async with router(lambda request, writer: None) as bench:
            caller = await bench.caller()
            caller.get(name=b"i1")
            await wait_until(lambda: bench.cache.received)
            first = bench.cache.writers[0]
            loop = asyncio.get_running_loop()
            first.write(hit(b"i1"))
            loop.call_later(delay, first.write, hit(b"i1 again"))
            assert await caller.answer() == b"i1"
            await asyncio.sleep(gap)
            caller.get(name=b"i2")
            await wait_until(lambda: len(bench.cache.received) == 2)
            await asyncio.sleep(0.02)
            bench.cache.writers[-1].write(hit(b"i2"))
            assert await caller.answer() == b"i2"
            await asyncio.sleep(0.02)
            assert bench.cache.closed_connections == 1  # the connection with the surplus answer

    run_in_virtual_time(monkeypatch, test)


def test_connection_with_unread_input_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late answer, or the end of the stream, is in the socket when the connection is selected."""

    async def test() -> None:
        for unread in (hit(b"late"), b""):
            async with router(lambda request, writer: hit(request[2])) as bench:
                caller = await bench.caller()
                caller.get(name=b"i1")
                assert await caller.answer() == b"i1"
                await asyncio.sleep(0.1)
                (idle,) = bench.pools.pools["c0"].idle
                assert idle.no_unread_input
                sock = bench.cache.writers[0].transport.get_extra_info("socket")
                if unread:
                    os.write(sock.fileno(), unread)
                else:
                    sock.shutdown(socket.SHUT_WR)
                assert bench.pools.pools["c0"]._take_idle() is None and not idle.no_unread_input
                caller.get(name=b"i2")
                assert await caller.answer() == b"i2"
                await wait_until(lambda: bench.cache.closed_connections == 1)
                assert len(bench.cache.writers) == 2

    run_in_virtual_time(monkeypatch, test)


ENDLESS_CACHE_ANSWERS = {
    "a line": (b"*3\r\n$1\r\nv\r\n+", b"x" * 500),
    "arrays": (b"", b"*1\r\n" * 100),
    "a string past its length": (b"*3\r\n$1\r\nv\r\n$3\r\n", b"hit" * 100),
    "half of a value": (b"*3\r\n$60000\r\n", b"v"),
}
ENDLESS_ORIGIN_ANSWERS = {
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 5000),
    "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n%b\r\n" % (b"x" * 1024)),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"x" * 500 + b"\r\n"),
    "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
    "half of a body": (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x"),
}


@pytest.mark.parametrize(
    ("start", "repeated", "from_origin"),
    [
        *((*answer, False) for answer in ENDLESS_CACHE_ANSWERS.values()),
        *((*answer, True) for answer in ENDLESS_ORIGIN_ANSWERS.values()),
    ],
    ids=[*ENDLESS_CACHE_ANSWERS, *ENDLESS_ORIGIN_ANSWERS],
)
def test_endless_answer_is_bounded_in_time_and_memory(
    monkeypatch: pytest.MonkeyPatch, start: bytes, repeated: bytes, from_origin: bool
) -> None:
    async def test() -> None:
        async def send_endlessly(writer: asyncio.StreamWriter) -> None:
            writer.write(start)
            while not writer.transport.is_closing():
                writer.write(repeated)
                await asyncio.sleep(0.01)

        def start_sending(request: object, writer: asyncio.StreamWriter) -> None:
            tasks.append(asyncio.get_running_loop().create_task(send_endlessly(writer)))

        tasks: list[asyncio.Task[None]] = []
        cache_answer = (lambda request, writer: MISS) if from_origin else start_sending
        async with router(
            cache_answer, origin=start_sending if from_origin else lambda request, writer: http(503)
        ) as bench:
            caller = await bench.caller()
            started_at = asyncio.get_running_loop().time()
            caller.get(info=b"c=read,t=acme,d=3000")
            answer = await caller.answer()
            assert str(answer).startswith("BUSY") or str(answer) == "ERR failed"
            assert asyncio.get_running_loop().time() - started_at <= 3.0
            await asyncio.sleep(1)
            assert all(task.done() for task in tasks) and len(tasks) <= 4
            assert not bench.driver.requests and bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)
