"""Answers that the router has passed to the kernel and that their clients still read.

The clients have small receive buffers, so that the answers stay in the send queues of the router's sockets.
"""

import asyncio
import contextlib
import gc
import socket
from collections.abc import Callable

import pytest
from router_bench import Bench, hit, router, wait_until
from test_closes import CLOSE_ACTIONS, GET
from virtual_time import run_in_virtual_time

from applehub.node import delivery_watch, resp
from applehub.node.clients import ClientConnection

READ_SECONDS = 2.8  # time in which a client reads its answer
RECEIVE_BUFFER = 4096  # bytes of SO_RCVBUF at the clients
NEXT_COMMAND_AFTER = 2.0  # seconds from the first command to the next one
CLOSE_ACTIONS_WITH_QUIT: dict[str, Callable[[Bench], object]] = {**CLOSE_ACTIONS, "QUIT": lambda bench: None}


class SlowClient:
    """Asks for a value, reads the answer steadily, and sends another command while it still reads."""

    def __init__(self, port: int, name: bytes, size: int) -> None:
        self.name, self.size = name, size
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.received = 0

    @property
    def answer_size(self) -> int:
        return self.size + len(b"$%d\r\n\r\n" % self.size)

    async def run(self, suffix: bytes = b"") -> None:
        """Reads the answer; returns early if the connection ends. suffix: sent behind the command."""
        loop = asyncio.get_running_loop()
        started_at, sent_next = loop.time(), False
        self.sock.sendall(resp.command(b"C.GET", b"k", self.name, b"c=read,t=acme,d=9000") + suffix)
        with contextlib.suppress(ConnectionError):
            while self.received < self.answer_size:
                if not sent_next and loop.time() - started_at > NEXT_COMMAND_AFTER:
                    sent_next = True
                    self.sock.sendall(resp.command(b"PING"))
                data = await loop.sock_recv(self.sock, min(1 << 14, self.answer_size - self.received))
                if not data:
                    return
                self.received += len(data)
                due = started_at + READ_SECONDS * self.received / self.answer_size
                await asyncio.sleep(max(0.0, due - loop.time()))


def all_written(bench: Bench) -> bool:
    """Whether all answers have left the router's own buffers."""
    return not bench.driver.requests and not any(
        client.slots or client.write_paused for client in bench.clients.connections
    )


# Guards against an answer that is cut off at a close, because its client sends a command while it reads.
@pytest.mark.parametrize("end", CLOSE_ACTIONS_WITH_QUIT)
@pytest.mark.parametrize("size", [65_000, 1 << 20])
def test_closing_connection_delivers_answer_to_slow_reader_that_keeps_sending(
    monkeypatch: pytest.MonkeyPatch, end: str, size: int
) -> None:
    async def test() -> None:
        async with router(lambda request, writer: hit(bytes(size))) as bench:
            client = SlowClient(bench.port, b"i1", size)
            reading = asyncio.create_task(client.run(resp.command(b"QUIT") if end == "QUIT" else b""))
            await wait_until(lambda: bench.cache.received and all_written(bench))
            CLOSE_ACTIONS_WITH_QUIT[end](bench)
            await reading
            assert client.received == client.answer_size
            await asyncio.sleep(2 * delivery_watch.LINGER_TIMEOUT)
            assert not bench.clients.lingering and bench.driver.memory.used == 0
            client.sock.close()

    run_in_virtual_time(monkeypatch, test)


# Guards against answers that are cut off at SIGTERM, because many connections close at once.
def test_many_closing_connections_deliver_their_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda request, writer: hit(bytes(65_000)), sockets=64) as bench:
            clients = [SlowClient(bench.port, b"i%d" % n, 65_000) for n in range(40)]
            assert len(clients) > 2 * bench.clients.connection_limits.lingering
            reading = []
            for count, client in enumerate(clients, 1):  # one after the other, so that none is rejected
                reading.append(asyncio.create_task(client.run()))
                await wait_until(lambda: len(bench.cache.received) == count and all_written(bench))  # noqa: B023
            bench.clients.close()
            await asyncio.wait(reading)
            assert [client.received for client in clients] == [client.answer_size for client in clients]
            for client in clients:
                client.sock.close()

    run_in_virtual_time(monkeypatch, test)


def live_connections() -> int:
    return sum(isinstance(one, ClientConnection) for one in gc.get_objects())


@pytest.mark.parametrize("suffix", [b"", resp.command(b"QUIT")], ids=["closed by client", "QUIT"])
async def test_closed_connections_leave_no_reference_cycles(suffix: bytes) -> None:
    """Prevents connections from staying in memory until the next garbage collection."""
    async with router() as bench:
        gc.collect()
        gc.disable()
        try:
            client = await bench.caller()
            client.writer.write(GET + suffix)
            assert await client.answer() == b"v"
            assert live_connections() == 1
            client.writer.close()
            await wait_until(lambda: not bench.clients.connections and not bench.clients.lingering)
            await asyncio.sleep(0.05)
            assert not live_connections()
        finally:
            gc.enable()


def test_closing_connections_leave_descriptors_to_new_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """The closing connections whose clients have taken everything are aborted first."""

    async def test() -> None:
        async with router(lambda request, writer: hit(bytes(65_000)), sockets=32) as bench:
            limits = bench.clients.connection_limits
            slow = SlowClient(bench.port, b"slow", 65_000)
            reading = asyncio.create_task(slow.run(resp.command(b"QUIT")))
            await wait_until(lambda: bench.cache.received and all_written(bench))
            opened = [socket.create_connection(("127.0.0.1", bench.port)) for _ in range(limits.clients)]
            for sock in opened:
                sock.sendall(resp.command(b"QUIT"))
            await wait_until(lambda: len(bench.clients.lingering) > limits.lingering)
            opened += [socket.create_connection(("127.0.0.1", bench.port)) for _ in range(limits.clients)]
            await wait_until(lambda: len(bench.clients.connections) == limits.clients)
            assert len(bench.clients.lingering) <= limits.lingering
            await reading
            assert slow.received == slow.answer_size
            for sock in [*opened, slow.sock]:
                sock.close()

    run_in_virtual_time(monkeypatch, test)


# Guards against an answer that is cut off because the router's own buffer does not shrink for a while.
def test_slow_but_steady_reader_of_open_connection_gets_complete_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        size = resp.MAX_LONG_VALUE
        async with router(lambda request, writer: hit(bytes(size))) as bench:
            client = SlowClient(bench.port, b"i1", size)
            client.sock.sendall(GET)
            loop, received = asyncio.get_running_loop(), 0
            slow_until = loop.time() + 5 * delivery_watch.WRITE_STALL_TIMEOUT
            while received < client.answer_size:
                data = await loop.sock_recv(client.sock, 1 << 13)
                assert data
                received += len(data)
                if loop.time() < slow_until:
                    await asyncio.sleep(delivery_watch.WRITE_STALL_TIMEOUT / 10)
            client.sock.close()

    run_in_virtual_time(monkeypatch, test)
