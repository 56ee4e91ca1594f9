"""The memory of the router process while hundreds of clients send large or unfinished commands."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from router_bench import MISS, WAIT_TIMEOUT, Cache, Caller, Web, entry, hit, http
from test_descriptors import connect_client, running_program
from test_discovery import listing

from applehub.node.call import MAX_INFO_FIELDS
from applehub.node.resp import MAX_BUFFERED_VALUE, command

KB_PER_MB = 1024
SENDERS = asyncio.Semaphore(8)  # limits the clients that send long lists at the same time
COVERAGE_VARIABLES = ("COVERAGE_PROCESS_CONFIG", "COVERAGE_PROCESS_START")
SLOW_VALUE = 40_000  # bytes of a value that is written slowly
LONG_ANSWER = hit(bytes(1 << 20))
OPEN_VALUE = bytes(7 << 20)
LATE, READ_INTERVAL = 1.9, 0.06  # seconds
SOCKETS = 2400  # descriptors
READS = 30  # long answers that each slow reader asks for
UNREAD_TIME = 3.0  # seconds for which they read nothing
SLOW_PIECE, SLOW_PAUSE = 1000, 0.08  # bytes and seconds
LOGGED_LINES = 20  # lines of the log in the message of a failure


def peak_memory_mb(pid: int) -> float:
    """Returns the largest resident memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / KB_PER_MB


async def connect(address: tuple[str, int]) -> Caller:
    """Returns a client that has sent a command, since one that sends none is closed after some time."""
    caller = await connect_client(address)
    caller.send(b"PING")
    assert await caller.answer() == b"PONG"
    return caller


async def answers_of(caller: Caller, count: int) -> list[str]:
    """Returns answers as text, fewer if the connection ends."""
    answers: list[str] = []
    while len(answers) < count and (answer := await caller.answer()) is not None:
        answers.append(str(answer))
    return answers


async def send_lists_of_many_fields(caller: Caller, number: int) -> None:
    """Sends commands of nearly 64 KiB, whose list of names and values has thousands of fields."""
    info = b",".join([b"c=once,d=9000", *(b"x%x=" % field for field in range(9_800))])
    assert len(info) < MAX_BUFFERED_VALUE
    async with SENDERS:  # so that each command is sent within its time on any machine
        for attempt in range(3):
            caller.send(b"C.SET", b"k", b"i%d-%d" % (number, attempt), info, b"v")
        assert await answers_of(caller, 3) == [f"ERR a list of more than {MAX_INFO_FIELDS} names"] * 3


async def write_slowly(caller: Caller, number: int) -> None:
    """Sends most of a value in small pieces, for longer than the connection is kept open without progress."""
    info = b"c=put,d=9000,k=%d" % number
    data = command(b"C.SET", b"k%d" % number, b"i%d" % number, info, bytes(SLOW_VALUE))
    for start in range(0, SLOW_VALUE - 2 * SLOW_PIECE, SLOW_PIECE):
        caller.writer.write(data[start : start + SLOW_PIECE])
        await asyncio.sleep(SLOW_PAUSE)
    await answers_of(caller, 1)


async def read_slowly(caller: Caller, number: int) -> None:
    """Asks for many long answers and takes none of them for a while."""
    caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
    for key in range(READS):
        name = b"long%d-%d" % (number, key)
        caller.get(name, name, b"c=read,t=acme,d=2400")
    await asyncio.sleep(UNREAD_TIME)


async def read_behind_slow_answer(caller: Caller, number: int) -> None:
    """Asks for many long answers without a length behind an answer that comes late."""
    caller.send(b"C.SET", b"late", b"w%d" % number, b"c=once,t=acme,d=2400", b"v")
    for key in range(READS):
        await asyncio.sleep(READ_INTERVAL)
        name = b"open%d-%d" % (number, key)
        caller.get(name, name, b"c=read,t=acme,d=2400")
    assert len(await answers_of(caller, 1 + READS)) == 1 + READS


def answer_from_origin(request: Any, writer: asyncio.StreamWriter) -> bytes | None:
    """Answers reads of `open...` at once with a long value that ends with the connection, writes late."""
    if request[1] == b"/late":
        asyncio.get_running_loop().call_later(LATE, writer.write, http(200, b"ok"))
        return None
    if request[1].startswith(b"/open"):
        writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n")
        writer.write(OPEN_VALUE)
        writer.write_eof()
        return None
    return http(200, b"ok")


def answer_from_cache(request: list[bytes], writer: asyncio.StreamWriter) -> bytes:
    if request[1].startswith(b"open"):
        return MISS
    return LONG_ANSWER if request[1].startswith(b"long") else hit()


async def check_other_client_is_served(address: tuple[str, int], log: list[str]) -> None:
    """Checks that a client gets its value as soon as the memory of those that have left is free again.

    log: the lines that the program has logged, for the message of a failure.
    """
    caller = await connect_client(address)
    answers: list[object] = []
    try:
        async with asyncio.timeout(WAIT_TIMEOUT):
            while b"v" not in answers:
                caller.get(name=b"good%d" % len(answers))
                answers.append(await caller.answer())
    except TimeoutError:
        counts = Counter(map(str, answers)).most_common()
        pytest.fail(f"no value within {WAIT_TIMEOUT} s; answers {counts}, log {log[-LOGGED_LINES:]}")
    caller.writer.transport.abort()


# Guards against a process that is killed for memory which the parser, or the connections themselves, keep.
@pytest.mark.parametrize(
    ("memory_mb", "clients", "act"),
    [
        (48, 400, send_lists_of_many_fields),
        (32, 600, write_slowly),
        (48, 300, read_slowly),
        (192, 5, read_behind_slow_answer),
    ],
    ids=["long lists", "slow values", "slow readers", "no length"],
)
async def test_process_stays_within_its_memory(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    memory_mb: int,
    clients: int,
    act: Callable[[Caller, int], Awaitable[None]],
) -> None:
    for name in COVERAGE_VARIABLES:  # measuring the coverage of the process takes memory of its own
        monkeypatch.delenv(name, raising=False)
    cache, origin = Cache(answer_from_cache), Web(answer_from_origin)
    await cache.start()
    await origin.start()
    known = listing(3, entry("c0", cache.address), entry("o", origin.address, model="origin"))
    limits = {"memory_mb": memory_mb, "sockets": SOCKETS}
    async with running_program(tmp_path, SOCKETS, known=known, limits=limits) as (running, addresses, log):
        callers = [await connect(addresses["INFO listening on"]) for _ in range(clients)]
        async with asyncio.timeout(WAIT_TIMEOUT):
            await asyncio.gather(*(act(caller, number) for number, caller in enumerate(callers)))
        assert peak_memory_mb(running.pid) <= memory_mb
        for caller in callers:
            caller.writer.transport.abort()
        await check_other_client_is_served(addresses["INFO listening on"], log)
    for peer in (cache, origin):
        await peer.stop()
