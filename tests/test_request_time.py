"""Each state of a request is ended by a clock, whatever its server does or leaves undone.

Every case gives the response up to a position and then lets the server behave in one way. The table of all
states is in docs/incidents/silent-server-within-long-answer.md.
"""

import asyncio
import contextlib
import math
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import pytest
from router_bench import (
    MISS,
    Bench,
    Caller,
    Json,
    entry,
    hit,
    http,
    info,
    router,
    start_server_with_small_buffer,
    wait_until,
)
from virtual_time import run_in_virtual_time

from applehub.node.resp import command

WAIT = 1.0  # seconds for which the client waits for its answer
LATE_LIMIT = 0.5  # seconds after its time at which a request without a final answer is lost
STOPPED_PEER_LIMIT = 3.0  # seconds within which a peer that stops in the middle of a message is closed
SCHEDULING = 0.05  # seconds that one more event may take
STEADY_TIME = 3.0  # seconds in which a slow but steady server gives the rest of its response
STEADY_PIECES = 30
TRICKLE_PAUSE = 0.7  # seconds between two bytes of a server that gives a byte now and then
SHORT, LONG = bytes(range(256)) * 16, bytes(range(256)) * 1024
INFO = b"c=read,t=acme,d=%d" % (WAIT * 1000)
# Seconds of the latency objective, after which an answer has no worth; None: longer than any wait.
OBJECTIVES = {"objective after the wait": None, "objective before the wait": 0.3}


def settings_with_objective(seconds: float | None) -> Json:
    """Returns settings whose classes have an objective, after which an answer has no worth."""
    settings = info()
    if seconds is not None:
        for request_class in settings["classes"]:
            request_class |= {"aim": int(seconds * 1e9), "lateWorth": 0}
    return settings


def chunked(value: bytes) -> bytes:
    return b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(value), value)


def until_close(value: bytes) -> bytes:
    return b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + value


class State(StrEnum):
    """The position within the response up to which the server gives it at once."""

    NO_HEAD = "no head"
    WITHIN_HEAD = "within the head"
    HEAD = "head without a byte of the value"
    WITHIN_VALUE = "within the value"
    NO_END = "value without its end"


class Behaviour(StrEnum):
    """What the server does after that."""

    SILENT = "silent"
    TRICKLE = "a byte now and then"
    STEADY = "slow but steady"
    END = "ends"
    RESET = "resets"


@dataclass(frozen=True)
class Framing:
    """A form of a response. is_passed_on: whether the value is passed on while it arrives."""

    name: str
    value: bytes = field(repr=False)
    response: bytes = field(repr=False)
    from_origin: bool
    is_passed_on: bool = False

    @property
    def head(self) -> int:
        """The size of the head in bytes."""
        return self.response.index(self.value[:256])

    @property
    def complete(self) -> float:
        """The number of bytes of the response after which the value can be answered."""
        if self.name == "HTTP, until the close":
            return math.inf
        ends_itself = self.is_passed_on and not self.from_origin
        return self.head + len(self.value) + len(b"\r\n") if ends_itself else len(self.response)

    def given(self, state: State) -> int:
        """Returns the number of bytes that the server gives in a state."""
        match state:
            case State.NO_HEAD:
                return 0
            case State.WITHIN_HEAD:
                return 9
            case State.HEAD:
                return self.head
            case State.WITHIN_VALUE:
                return self.head + len(self.value) // 2
            case State.NO_END:  # where nothing follows the value, its last byte is missing
                end = self.head + len(self.value)
                return end + 2 if not self.from_origin else end - 1

    def time_of(self, position: float, state: State, behaviour: Behaviour) -> float:
        """Returns the seconds after which the server has given the response up to a position."""
        missing = position - self.given(state)
        if missing <= 0:
            return 0.0
        if behaviour is Behaviour.TRICKLE:
            return missing * TRICKLE_PAUSE
        if behaviour is Behaviour.STEADY and missing < math.inf:
            return math.ceil(missing / self.steady_size(state)) * STEADY_TIME / STEADY_PIECES
        return math.inf

    def steady_size(self, state: State) -> int:
        """Returns the bytes of one piece of a steady server."""
        return math.ceil((len(self.response) - self.given(state)) / STEADY_PIECES)


FRAMINGS = [
    Framing("RESP, short", SHORT, hit(SHORT), False),
    Framing("RESP, long", LONG, hit(LONG), False, is_passed_on=True),
    Framing("HTTP with length, short", SHORT, http(200, SHORT), True),
    Framing("HTTP with length, long", LONG, http(200, LONG), True, is_passed_on=True),
    Framing("HTTP, chunked, short", SHORT, chunked(SHORT), True),
    Framing("HTTP, chunked, long", LONG, chunked(LONG), True),
    Framing("HTTP, until the close", LONG, until_close(LONG), True),
]


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def behave(framing: Framing, state: State, behaviour: Behaviour, writer: asyncio.StreamWriter) -> None:
    """Does with the rest of a response what the behaviour says."""
    rest = framing.response[framing.given(state) :]
    with contextlib.suppress(OSError):
        match behaviour:
            case Behaviour.TRICKLE:
                for position in range(len(rest)):
                    await asyncio.sleep(TRICKLE_PAUSE)
                    writer.write(rest[position : position + 1])
            case Behaviour.STEADY:
                size = framing.steady_size(state)
                for start in range(0, len(rest), size):
                    await asyncio.sleep(STEADY_TIME / STEADY_PIECES)
                    writer.write(rest[start : start + size])
            case Behaviour.END | Behaviour.RESET:
                await asyncio.sleep(0.1)
                writer.close() if behaviour is Behaviour.END else reset(writer)


@asynccontextmanager
async def router_before(
    framing: Framing, state: State, behaviour: Behaviour, objective: float | None = None
) -> AsyncIterator[Bench]:
    """Runs a router whose server behaves so within the response to the key `k`."""
    tasks: list[asyncio.Task[None]] = []

    def respond(request: Any, writer: asyncio.StreamWriter) -> bytes:
        if b"other" in request[1]:
            return http(200, b"other") if framing.from_origin else hit(b"other")
        tasks.append(asyncio.create_task(behave(framing, state, behaviour, writer)))
        return framing.response[: framing.given(state)]

    def miss(request: Any, writer: asyncio.StreamWriter) -> bytes:
        return MISS

    settings = settings_with_objective(objective)
    async with router(miss if framing.from_origin else respond, respond, settings_json=settings) as bench:
        yield bench
        for task in tasks:
            task.cancel()


@dataclass
class Received:
    """What the client has received, and when the last of it came, in seconds."""

    data: bytes
    closed: bool
    seconds: float


async def read_answer(caller: Caller, whole: bytes) -> Received:
    """Reads until the whole answer, an error or the end of the connection has come."""
    loop = asyncio.get_running_loop()
    started, data, closed = loop.time(), b"", False
    while not closed and data != whole and not (data.startswith(b"-") and data.endswith(b"\r\n")):
        received = await caller.reader.read(1 << 16)
        data, closed = data + received, not received
    return Received(data, closed, loop.time() - started)


async def check_rest(bench: Bench) -> None:
    """Checks that nothing is left of the requests: each attempt has had its one outcome."""
    await wait_until(lambda: not bench.driver.requests)
    servers = bench.driver.balancer.server_table.servers
    assert all(server.in_flight == 0 for server in servers.values())
    assert all(not pool.connections - set(pool.idle) for pool in bench.pools.pools.values())
    assert bench.driver.memory.used == 0 and not bench.driver.balancer.jobs


class Ending(StrEnum):
    """How an answer ends."""

    IN_TIME = "whole, in time"
    LATE = "whole, begun in time"
    CUT_OFF = "begun in time, cut off"
    ERROR = "an error in time"


def expected_end(framing: Framing, state: State, behaviour: Behaviour) -> Ending:
    """Returns how the answer ends."""
    if framing.time_of(framing.complete, state, behaviour) < WAIT:
        return Ending.IN_TIME
    first_byte_at = framing.time_of(framing.head + 1, state, behaviour)
    if not framing.is_passed_on or first_byte_at >= WAIT:
        return Ending.ERROR
    return Ending.LATE if behaviour is Behaviour.STEADY else Ending.CUT_OFF


def is_ended_by_close(framing: Framing, state: State, behaviour: Behaviour) -> bool:
    """Whether the end of the connection is the regular end of the value."""
    has_head = state not in (State.NO_HEAD, State.WITHIN_HEAD)
    return framing.name == "HTTP, until the close" and behaviour is Behaviour.END and has_head


# Guards against a request that no clock ends, because of what its server does within the response.
@pytest.mark.parametrize("objective", OBJECTIVES.values(), ids=OBJECTIVES)
@pytest.mark.parametrize("behaviour", Behaviour)
@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
def test_each_state_of_request_ends_in_time(
    monkeypatch: pytest.MonkeyPatch,
    framing: Framing,
    state: State,
    behaviour: Behaviour,
    objective: float | None,
) -> None:
    async def test() -> None:
        async with router_before(framing, state, behaviour, objective) as bench:
            caller = await bench.caller()
            caller.get(info=INFO)
            whole = b"$%d\r\n%b\r\n" % (len(framing.value), framing.value)
            if is_ended_by_close(framing, state, behaviour):
                given = framing.response[: framing.given(state)].partition(b"\r\n\r\n")[2]
                assert await caller.answer() == given
                await check_rest(bench)
                return
            received = await read_answer(caller, whole)
            begun_at = framing.time_of(framing.head + 1, state, behaviour)
            match expected_end(framing, state, behaviour):
                case Ending.IN_TIME:
                    assert received.data == whole and received.seconds < WAIT
                case Ending.LATE:
                    assert received.data == whole and received.seconds <= STEADY_TIME + SCHEDULING
                case Ending.CUT_OFF:
                    assert received.closed and len(received.data) < len(whole)
                    assert whole.startswith(received.data)
                    assert received.seconds < begun_at + STOPPED_PEER_LIMIT
                case Ending.ERROR:
                    assert received.data.startswith((b"-BUSY", b"-ERR failed"))
                    assert received.seconds <= WAIT
            if not received.closed:
                caller.send(b"PING")
                assert await caller.answer() == b"PONG"
            await check_rest(bench)

    run_in_virtual_time(monkeypatch, test)


# Guards against commands that are never answered, because a server stops within the answer before them.
@pytest.mark.parametrize("objective", OBJECTIVES.values(), ids=OBJECTIVES)
@pytest.mark.parametrize("wait", [0.2, WAIT])
@pytest.mark.parametrize("behaviour", [Behaviour.SILENT, Behaviour.TRICKLE, Behaviour.RESET])
@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
def test_commands_behind_are_answered_in_each_state(
    monkeypatch: pytest.MonkeyPatch,
    framing: Framing,
    state: State,
    behaviour: Behaviour,
    wait: float,
    objective: float | None,
) -> None:
    async def test() -> None:
        async with router_before(framing, state, behaviour, objective) as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            started = loop.time()
            info = INFO.replace(b"d=%d" % (WAIT * 1000), b"d=%d" % (wait * 1000))
            other = command(b"C.GET", b"other", b"i2", info)
            caller.writer.write(command(b"C.GET", b"k", b"i1", info) + other + command(b"PING"))
            answers = [await caller.answer() for _ in range(3)]
            assert answers[0] == framing.value or str(answers[0]) in ("BUSY", "ERR failed")
            assert answers[1:] == [b"other", b"PONG"]
            assert loop.time() - started <= wait + LATE_LIMIT
            await check_rest(bench)

    run_in_virtual_time(monkeypatch, test)


# Guards against a server that is preferred because its answers begin at once, although they never end.
def test_silence_within_value_counts_with_its_whole_duration(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router_before(FRAMINGS[1], State.WITHIN_VALUE, Behaviour.SILENT) as bench:
            caller = await bench.caller()
            caller.get(info=INFO)
            assert await caller.answer() is None
            server = bench.driver.balancer.server_table.servers["c0"]
            assert server.timeouts == 1 and server.latency > WAIT * 1e9 / 2

    run_in_virtual_time(monkeypatch, test)


class Writing(StrEnum):
    """What a client does within a command."""

    SILENT = "silent"
    TRICKLE = "a byte now and then"
    STEADY = "slow but steady"


WRITE = command(b"C.SET", b"k", b"w1", INFO.replace(b"read", b"put") + b",k=1", SHORT)
CLIENT_STATES = {"name": 8, "key": 22, "list": 60, "value": len(WRITE) - 1000}


# Guards against a client that holds a connection and memory for ever, because each byte restarts its time.
@pytest.mark.parametrize("writing", Writing)
@pytest.mark.parametrize("given", CLIENT_STATES.values(), ids=CLIENT_STATES)
def test_client_that_stops_within_command_is_closed(
    monkeypatch: pytest.MonkeyPatch, given: int, writing: Writing
) -> None:
    async def test() -> None:
        async with router() as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            caller.writer.write(WRITE[:given])
            started = loop.time()

            async def write_rest() -> None:
                size = 1 if writing is Writing.TRICKLE else math.ceil((len(WRITE) - given) / STEADY_PIECES)
                pause = TRICKLE_PAUSE if writing is Writing.TRICKLE else 2 / STEADY_PIECES
                for start in range(given, len(WRITE), size):
                    await asyncio.sleep(pause)
                    caller.writer.write(WRITE[start : start + size])

            rest = asyncio.create_task(write_rest() if writing is not Writing.SILENT else asyncio.sleep(0))
            answer = await caller.answer()
            if writing is Writing.STEADY:
                assert answer == b"from origin"
            else:
                assert str(answer).startswith("ERR Protocol error")
                assert loop.time() - started < STOPPED_PEER_LIMIT
                assert await caller.answer() is None
            rest.cancel()
            await wait_until(lambda: not bench.driver.requests)
            caller.writer.close()
            await wait_until(lambda: not bench.clients.connections and not bench.clients.lingering)
            assert bench.driver.memory.used == 0

    run_in_virtual_time(monkeypatch, test)


class Reading(StrEnum):
    """How the origin reads the value of a write."""

    NEVER = "never"
    SLOWLY = "slowly"


SLOW_READ, SLOW_READ_PAUSE = 16_384, 0.05  # bytes and seconds
RECEIVE_BUFFER = 65_536  # bytes of SO_RCVBUF


class SlowOrigin:
    """An origin that reads values slowly or never. complete: number of writes that it has read completely."""

    def __init__(self, reading: Reading) -> None:
        self.reading, self.complete = reading, 0
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.server, self.address = await start_server_with_small_buffer(
            self._serve, RECEIVE_BUFFER, SLOW_READ
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            if self.reading is Reading.NEVER:
                await asyncio.Event().wait()
            while left:
                await asyncio.sleep(SLOW_READ_PAUSE)
                data = await reader.read(SLOW_READ)
                if not data:
                    return
                left -= len(data)
            self.complete += 1
            writer.write(http(200, b"receipt"))
            await reader.read()
        writer.close()

    async def stop(self) -> None:
        assert self.server is not None
        self.server.close()


# Guards against an answer that comes seconds late, because a server reads a large request slowly.
@pytest.mark.parametrize("reading", Reading)
@pytest.mark.parametrize("size", [100_000, 2 << 20, 8 << 20])
@pytest.mark.parametrize("info", [b"c=put,k=1", b"c=once"], ids=["keyed", "unsafe"])
def test_write_is_final_in_time_when_origin_reads_slowly(
    monkeypatch: pytest.MonkeyPatch, info: bytes, size: int, reading: Reading
) -> None:
    async def test() -> None:
        origin = SlowOrigin(reading)
        await origin.start()
        async with router(
            entries=lambda cache, _: [entry("c0", cache.address), entry("o", origin.address, model="origin")]
        ) as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            caller.send(b"C.SET", b"k", b"w1", b"%b,d=%d" % (info, WAIT * 1000), bytes(size))
            await wait_until(lambda: bench.driver.requests)
            started = loop.time()
            answer = await caller.answer()
            assert loop.time() - started <= WAIT
            assert str(answer) in ("b'receipt'", "BUSY", "ERR failed")
            await asyncio.sleep(STOPPED_PEER_LIMIT)
            assert origin.complete == (answer == b"receipt")
            await check_rest(bench)
        await origin.stop()

    run_in_virtual_time(monkeypatch, test)
