"""Clients that send a command slowly, but steadily enough, are served: each phase has its own time."""

import asyncio
import signal
from pathlib import Path

import pytest
from router_bench import Caller, router, wait_until
from test_closes import PING
from test_descriptors import connect_client, running_program
from virtual_time import run_in_virtual_time

from applehub.node.resp import command

HEAD_TIME = 2.0  # seconds that a client may take for the head of a command
COMMAND_TIMEOUT = 2.5  # seconds after which one that has stopped is closed
MARGIN = 0.1  # seconds
INFO = b"c=put,t=acme,d=900,k=1"
VALUES = {"short": b"v" * 300, "long": bytes(200_000)}


async def send_in_pieces(caller: Caller, data: bytes, pieces: int, seconds: float) -> None:
    """Sends data in pieces at equal intervals; the last one is sent after the given time."""
    size = -(-len(data) // pieces)
    for number, start in enumerate(range(0, len(data), size)):
        if number:
            await asyncio.sleep(seconds / (pieces - 1))
        caller.writer.write(data[start : start + size])


# Guards against a close of a new connection, whose client has waited before it sends a command slowly.
@pytest.mark.parametrize("silence", [COMMAND_TIMEOUT - MARGIN, HEAD_TIME, 0.0])
def test_first_command_has_its_own_time(monkeypatch: pytest.MonkeyPatch, silence: float) -> None:
    async def test() -> None:
        async with router() as bench:
            caller = await bench.caller()
            await asyncio.sleep(silence)
            await send_in_pieces(caller, command(b"C.GET", b"k", b"i1", b"c=read,t=acme,d=900"), 8, HEAD_TIME)
            assert await caller.answer() == b"v"

    run_in_virtual_time(monkeypatch, test)


# Guards against a close within a write whose client is slow with its head, and then goes on steadily.
@pytest.mark.parametrize("pause", [0.6, COMMAND_TIMEOUT - MARGIN])
@pytest.mark.parametrize("earlier", [False, True], ids=["first command", "later command"])
@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
def test_value_has_its_own_time_after_slow_head(
    monkeypatch: pytest.MonkeyPatch, value: bytes, earlier: bool, pause: float
) -> None:
    data = command(b"C.SET", b"k", b"w1", INFO, value)
    head = data.index(value)

    async def test() -> None:
        async with router() as bench:
            caller = await bench.caller()
            if earlier:
                caller.writer.write(command(b"C.SET", b"k", b"w0", INFO, value[:100]))
                assert await caller.answer() == b"from origin"
            await send_in_pieces(caller, data[: head + 1], 5, HEAD_TIME)
            for position in range(head + 1, len(data), len(value) // 3):
                await asyncio.sleep(pause)
                caller.writer.write(data[position : position + len(value) // 3])
            assert await caller.answer() == b"from origin"
            await wait_until(lambda: not bench.driver.requests)

    run_in_virtual_time(monkeypatch, test)


@pytest.mark.parametrize("position", [1, 8, 30, 55, 62, 100])
@pytest.mark.parametrize("silence", [0.0, HEAD_TIME])
def test_client_that_stops_within_command_is_closed_in_time(
    monkeypatch: pytest.MonkeyPatch, silence: float, position: int
) -> None:
    async def test() -> None:
        async with router() as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            await asyncio.sleep(silence)
            caller.writer.write(command(b"C.SET", b"k", b"w1", INFO, VALUES["short"])[:position])
            started = loop.time()
            assert str(await caller.answer()).startswith("ERR Protocol error")
            assert COMMAND_TIMEOUT - MARGIN < loop.time() - started < 3.0

    run_in_virtual_time(monkeypatch, test)


# Guards against a close of a client that rests within a command, in favour of a new connection.
@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
@pytest.mark.parametrize("position", [1, 60, 150])
def test_client_within_command_is_not_closed_for_a_new_one(
    monkeypatch: pytest.MonkeyPatch, value: bytes, position: int
) -> None:
    data = command(b"C.SET", b"k", b"w2", INFO, value)

    async def test() -> None:
        async with router(sockets=1) as bench:
            caller = await bench.caller()
            caller.writer.write(command(b"C.SET", b"k", b"w1", INFO, b"v"))
            assert await caller.answer() == b"from origin"
            caller.writer.write(data[:position])
            await asyncio.sleep(COMMAND_TIMEOUT - MARGIN)
            other = await bench.caller()
            assert str(await other.answer()) == "ERR max number of clients reached"
            caller.writer.write(data[position:])
            assert await caller.answer() == b"from origin"

    run_in_virtual_time(monkeypatch, test)


# Guards against a client that stays connected for ever with commands that are empty, each sent in two parts.
def test_empty_commands_do_not_extend_time_of_first_command(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router() as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            started = loop.time()

            async def send_empty_commands() -> None:
                while True:
                    for part in (b"*", b"0\r\n"):
                        caller.writer.write(part)
                        await asyncio.sleep(0.5)

            sending = asyncio.create_task(send_empty_commands())
            assert str(await caller.answer()).startswith("ERR Protocol error")
            assert loop.time() - started <= COMMAND_TIMEOUT + MARGIN
            sending.cancel()

    run_in_virtual_time(monkeypatch, test)


# Guards against a close of a client whose bytes came in time, while the process stood still.
async def test_command_whose_rest_comes_while_process_stands_still_is_answered(tmp_path: Path) -> None:
    async with running_program(tmp_path, 256) as (running, addresses, _):
        caller = await connect_client(addresses["INFO listening on"])
        caller.writer.write(PING[:4])
        await asyncio.sleep(COMMAND_TIMEOUT - 0.3)
        running.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        caller.writer.write(PING[4:])
        await asyncio.sleep(0.3)
        running.send_signal(signal.SIGCONT)
        assert not str(await caller.answer()).startswith("ERR")
        caller.writer.close()
