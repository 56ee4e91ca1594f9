"""A close that crosses bytes on their way: the last answer is read whole, the end comes without a reset, and
a request that is read after the end of the sending is sent on to nobody."""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from peers import MISS, Bench, hit, http, router, soon
from virtual import play

from applehub.node import clients, listener, resp

GET = resp.command(b"C.GET", b"k", b"i1", b"c=read,t=acme,d=9000")
PING, PONG = resp.command(b"PING"), b"+PONG\r\n"


class Raw:
    """A client on a bare socket, so that the test holds each byte of both ways."""

    def __init__(self, port: int) -> None:
        self.line = socket.create_connection(("127.0.0.1", port))
        self.line.setblocking(False)

    async def read(self, size: int = 1 << 16) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.line, size)

    async def all(self) -> bytes:
        """All until the end of the stream; a reset raises."""
        got = b""
        while piece := await self.read():
            got += piece
        return got


@asynccontextmanager
async def raw(bench: Bench) -> AsyncIterator[Raw]:
    """A client whose connection is in use and rests."""
    one = Raw(bench.port)
    try:
        one.line.sendall(PING)
        assert await one.read() == PONG
        yield one
    finally:
        one.line.close()


ENDS: dict[str, Callable[[Bench], object]] = {
    "room for another": lambda bench: next(iter(bench.clients.open)).make_room(),
    "SIGTERM": lambda bench: bench.clients.close(),
}


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@pytest.mark.parametrize("sent", [GET, GET[:9], GET * 50, PING], ids=["whole", "half", "many", "PING"])
def test_a_request_that_crosses_the_end_of_a_resting_connection_goes_nowhere(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, end: Callable[[Bench], object]
) -> None:
    """The close came over unread bytes: the client saw a reset."""

    async def test() -> None:
        async with router() as bench, raw(bench) as client:
            end(bench)
            client.line.sendall(sent)  # before the router looks at its sockets again
            assert await client.all() == b""
            await asyncio.sleep(clients.LINGER / 2)
            client.line.sendall(sent)  # it reads on for a while
            await asyncio.sleep(3)
            assert not bench.cache.got and not bench.clients.ending
            assert bench.driver.room.used == 0

    play(monkeypatch, test)


@pytest.mark.parametrize("end", ["SIGTERM", "hand-over"])
def test_the_last_answer_is_whole_though_more_comes_behind(monkeypatch: pytest.MonkeyPatch, end: str) -> None:
    async def test() -> None:
        async with router(lambda asked, line: None) as bench, raw(bench) as client:
            client.line.sendall(GET)
            await soon(lambda: bench.cache.got)
            (bench.clients.close if end == "SIGTERM" else bench.clients.hand_over)()
            write = bench.clients.driver.room.note  # called after each read: the answer is being written now

            def crossing(change: int) -> None:
                if not bench.driver.held and not crossed:
                    crossed.append(True)
                    client.line.sendall(GET.replace(b"i1", b"i2"))
                write(change)

            crossed: list[bool] = []
            monkeypatch.setattr(bench.driver.room, "note", crossing)
            bench.cache.lines[0].write(hit())
            assert await client.all() == b"$1\r\nv\r\n"
            await asyncio.sleep(3)
            assert crossed and len(bench.cache.got) == 1 and not bench.clients.ending

    play(monkeypatch, test)


def test_what_had_come_before_the_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router() as bench, raw(bench) as client:
            client.line.sendall(GET)
            bench.clients.close()
            assert await client.all() == b"$1\r\nv\r\n"

    play(monkeypatch, test)


def test_half_a_command_at_the_end_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client would have seen an end without an answer for a request that it had begun to send."""

    async def test() -> None:
        async with router() as bench, raw(bench) as client:
            client.line.sendall(GET[:20])
            (one,) = bench.clients.open
            await soon(lambda: one.frames.buffer)
            bench.clients.close()
            client.line.sendall(GET[20:])
            assert await client.all() == b"-BUSY\r\n"
            await asyncio.sleep(3)
            assert not bench.cache.got and not bench.clients.ending

    play(monkeypatch, test)


@pytest.mark.parametrize("sent", [GET, b""], ids=["a request", "nothing"])
def test_who_stands_in_the_listeners_queue_as_it_closes_is_let_in(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """The system had taken connection and request; the listener's close reset both."""

    async def test() -> None:
        async with router(lambda asked, line: hit(asked[2]), sockets=64) as bench, raw(bench):
            late = [Raw(bench.port) for _ in range(3)]
            for at, one in enumerate(late):
                one.line.sendall(sent.replace(b"i1", b"j%d" % at))
            await bench.clients.shut()  # in the turn in which they came
            for at, one in enumerate(late):
                assert await one.all() == (b"$2\r\nj%d\r\n" % at if sent else b"")
                one.line.close()
            await asyncio.wait_for(bench.clients.emptied(60), 60)
            assert not bench.clients.open and len(bench.cache.got) == (3 if sent else 0)

    play(monkeypatch, test)


@pytest.mark.parametrize("behind", [b"", GET, b"x" * 300_000], ids=["nothing", "a request", "a flood"])
@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (resp.command(b"QUIT"), b"+OK\r\n"),
        (b"nonsense\r\n", b"-ERR Protocol error: invalid first byte\r\n"),
    ],
    ids=["QUIT", "nonsense"],
)
def test_a_last_answer_reaches_a_client_that_goes_on_sending(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, answer: bytes, behind: bytes
) -> None:
    async def test() -> None:
        async with router() as bench, raw(bench) as client:
            client.line.sendall(sent + behind)
            assert await client.all() == answer
            await asyncio.sleep(3)
            assert not bench.cache.got and not bench.clients.ending

    play(monkeypatch, test)


def test_a_client_too_many_that_has_asked_already_reads_why(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was closed over its request, and saw a reset in place of the line."""
    monkeypatch.setattr(listener, "IDLE_LEAST", 1e9)

    async def test() -> None:
        async with router(sockets=1) as bench, raw(bench):
            late = Raw(bench.port)
            late.line.sendall(GET)
            assert await late.all() == b"-ERR max number of clients reached\r\n"
            await asyncio.sleep(3)
            assert not bench.cache.got and not bench.clients.ending
            late.line.close()

    play(monkeypatch, test)


def test_a_value_that_breaks_off_resets_no_whole_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        long = hit(bytes(200_000))
        answers = {b"i1": hit(b"whole"), b"i2": long[:100_000]}
        async with router(lambda asked, line: answers[asked[2]]) as bench, raw(bench) as client:
            client.line.sendall(GET + GET.replace(b"i1", b"i2"))
            await soon(lambda: len(bench.cache.got) == 2)
            await asyncio.sleep(0.1)
            client.line.sendall(GET.replace(b"i1", b"i3"))
            for line in bench.cache.lines:
                line.transport.abort()
            got = await client.all()
            assert got.startswith(b"$5\r\nwhole\r\n$200000\r\n") and len(got) < 200_000

    play(monkeypatch, test)


def test_a_client_that_reads_slowly_gets_all_of_its_last_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """What was written and not yet sent was cut off 1 s after the last command."""

    async def test() -> None:
        value = bytes(resp.MOST_LONG)
        async with router(lambda asked, line: hit(value)) as bench, raw(bench) as client:
            client.line.sendall(GET + resp.command(b"QUIT"))
            await asyncio.sleep(1)
            got = bytearray()
            while piece := await client.read(1 << 18):
                got += piece
                await asyncio.sleep(0.5)
            assert len(got) == len(value) + len(b"$8388608\r\n\r\n+OK\r\n")
            await asyncio.sleep(2 * clients.STUCK)  # and it stays, and sends nothing
            assert not bench.clients.ending and bench.driver.room.used == 0

    play(monkeypatch, test)


def test_who_reads_nothing_of_its_last_answer_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(lambda asked, line: hit(bytes(resp.MOST_LONG))) as bench, raw(bench) as client:
            client.line.sendall(GET + resp.command(b"QUIT"))
            await asyncio.sleep(4 * clients.STUCK)
            assert not bench.clients.open and not bench.clients.ending
            assert bench.driver.room.used == 0

    play(monkeypatch, test)


async def test_small_writes_do_not_wait_for_more() -> None:
    """Clients' connections had no TCP_NODELAY: the library sets it where a socket names its protocol, and
    those that a listener gives name none."""
    async with router(lambda asked, line: MISS) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"from origin"
        lines = [client.transport for client in bench.clients.open]
        lines += [line.transport for pool in bench.pools.pools.values() for line in pool.all]
        for transport in lines:
            assert transport is not None
            assert transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert len(lines) == 3


def resets(line: asyncio.StreamWriter) -> None:
    """Breaks a connection as a process does that dies over unread bytes."""
    at_once = b"\1\0\0\0\0\0\0\0"
    line.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
    line.transport.abort()


@pytest.mark.parametrize("head", [b"", b"Connection: close\r\n", b"Content-Length: 9\r\n"])
@pytest.mark.parametrize("whole", [False, True])
def test_a_value_without_a_length_is_whole_only_where_its_stream_ends(
    monkeypatch: pytest.MonkeyPatch, head: bytes, whole: bool
) -> None:
    """A reset is no end: the value is read again, and never passed on as it came."""

    async def test() -> None:
        async with router(lambda asked, line: MISS, origin=lambda asked, line: None) as bench:
            caller = await bench.caller()
            caller.get()
            await soon(lambda: bench.origin.got)
            bench.origin.lines[0].write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + b"half")
            await asyncio.sleep(0.1)
            if whole:
                bench.origin.lines[0].write_eof()
            else:
                resets(bench.origin.lines[0])
            if whole and b"Length" not in head:
                assert await caller.answer() == b"half"
                return
            await soon(lambda: len(bench.origin.got) == 2)
            bench.origin.lines[1].write(http(200, b"all of it"))
            assert await caller.answer() == b"all of it"

    play(monkeypatch, test)


def test_a_slow_reader_that_stays_is_closed_behind_its_last_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Written as one, more than the system takes: the end waits in the buffer; its client never closes."""

    async def test() -> None:
        async with router(lambda asked, line: None, sockets=128) as bench, raw(bench) as client:
            (one,) = bench.clients.open
            assert one.transport is not None
            one.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 15)
            client.line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            names = [b"j%d" % n for n in range(5)]
            client.line.sendall(b"".join(GET.replace(b"i1", name) for name in names) + resp.command(b"QUIT"))
            await soon(lambda: len(bench.cache.got) == len(names))
            first = [asked[2] for asked in bench.cache.got].index(names[0])
            for line in [
                *bench.cache.lines[:first],
                *bench.cache.lines[first + 1 :],
                bench.cache.lines[first],
            ]:
                line.write(hit(bytes(60_000)))
                await asyncio.sleep(0.1)
            assert one.blocked and one.phase is clients.Phase.ENDED
            got = bytearray()
            while piece := await client.read(1 << 14):
                got += piece
                await asyncio.sleep(0.1)
            assert got.endswith(b"+OK\r\n") and got.count(b"$60000\r\n") == len(names)
            await asyncio.sleep(2 * clients.STUCK)
            assert not bench.clients.ending and bench.driver.room.used == 0

    play(monkeypatch, test)


@pytest.mark.parametrize("late", [0.0005, 0.002, 0.004, 0.008])
@pytest.mark.parametrize("gap", [0.0, 0.0004, 0.001, 0.003, 0.006])
def test_a_second_late_answer_is_never_the_next_requests(
    monkeypatch: pytest.MonkeyPatch, late: float, gap: float
) -> None:
    """Nothing in an answer tells whose it is: the next request, written before it came, took it."""

    async def test() -> None:
        async with router(lambda asked, line: None) as bench:
            caller = await bench.caller()
            caller.get(name=b"i1")
            await soon(lambda: bench.cache.got)
            first = bench.cache.lines[0]
            loop = asyncio.get_running_loop()
            first.write(hit(b"i1"))
            loop.call_later(late, first.write, hit(b"i1 again"))
            assert await caller.answer() == b"i1"
            await asyncio.sleep(gap)
            caller.get(name=b"i2")
            await soon(lambda: len(bench.cache.got) == 2)
            await asyncio.sleep(0.02)
            bench.cache.lines[-1].write(hit(b"i2"))
            assert await caller.answer() == b"i2"
            await asyncio.sleep(0.02)
            assert bench.cache.ended == 1  # the one that said too much

    play(monkeypatch, test)


def test_a_connection_that_holds_something_unread_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late answer, or the end, that has come and was not read yet: a request of that turn went behind."""

    async def test() -> None:
        for said in (hit(b"late"), b""):
            async with router(lambda asked, line: hit(asked[2])) as bench:
                caller = await bench.caller()
                caller.get(name=b"i1")
                assert await caller.answer() == b"i1"
                await asyncio.sleep(0.1)
                (idle,) = bench.pools.pools["c0"].idle
                assert idle.quiet
                line = bench.cache.lines[0].transport.get_extra_info("socket")
                if said:
                    os.write(line.fileno(), said)
                else:
                    line.shutdown(socket.SHUT_WR)
                assert bench.pools.pools["c0"]._rested() is None and not idle.quiet
                caller.get(name=b"i2")
                assert await caller.answer() == b"i2"
                await soon(lambda: bench.cache.ended == 1)
                assert len(bench.cache.lines) == 2

    play(monkeypatch, test)


ENDLESS = {
    "a line": (b"*3\r\n$1\r\nv\r\n+", b"x" * 500),
    "arrays": (b"", b"*1\r\n" * 100),
    "a string past its length": (b"*3\r\n$1\r\nv\r\n$3\r\n", b"hit" * 100),
    "half of a value": (b"*3\r\n$60000\r\n", b"v"),
}
ENDLESS_FAR = {
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 5000),
    "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n%b\r\n" % (b"x" * 1024)),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"x" * 500 + b"\r\n"),
    "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
    "half of a body": (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x"),
}


@pytest.mark.parametrize(
    ("head", "more", "far"),
    [*((*one, False) for one in ENDLESS.values()), *((*one, True) for one in ENDLESS_FAR.values())],
    ids=[*ENDLESS, *ENDLESS_FAR],
)
def test_an_answer_that_never_ends_is_bounded_in_time_and_memory(
    monkeypatch: pytest.MonkeyPatch, head: bytes, more: bytes, far: bool
) -> None:
    async def test() -> None:
        async def endless(line: asyncio.StreamWriter) -> None:
            line.write(head)
            while not line.transport.is_closing():
                line.write(more)
                await asyncio.sleep(0.01)

        def begin(asked: object, line: asyncio.StreamWriter) -> None:
            tasks.append(asyncio.get_running_loop().create_task(endless(line)))

        tasks: list[asyncio.Task[None]] = []
        near = (lambda asked, line: MISS) if far else begin
        async with router(near, origin=begin if far else lambda asked, line: http(503)) as bench:
            caller = await bench.caller()
            begun = asyncio.get_running_loop().time()
            caller.get(info=b"c=read,t=acme,d=3000")
            answer = await caller.answer()
            assert str(answer).startswith("BUSY") or str(answer) == "ERR failed"
            assert asyncio.get_running_loop().time() - begun <= 3.0
            await asyncio.sleep(1)
            assert all(task.done() for task in tasks) and len(tasks) <= 4
            assert not bench.driver.held and bench.driver.room.used == 0

    play(monkeypatch, test)
