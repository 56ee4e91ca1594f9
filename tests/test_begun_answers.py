"""A response that has begun is awaited for as long as its client waits, whatever the latency objective.

The router is the program itself, with a scripted cache server on loopback and the classes of a deployment
whose late answers are worth nothing.
"""

import asyncio
import contextlib
import signal
from pathlib import Path

import pytest
from deployments import CATALOGUE, settings_of
from router_bench import Cache, entry, hit
from test_descriptors import connect_client, running_program
from test_discovery import listing

OBJECTIVE = CATALOGUE[0]["aim_ms"] / 1000  # seconds
WAIT = 1.5  # seconds for which the client waits
REST_AFTER, REST_UNTIL = OBJECTIVE + 0.05, OBJECTIVE + 0.2  # seconds in which the rest of the response comes
LONG_OBJECTIVE = 1  # seconds
PIECES = 10
VALUES = {"short": bytes(range(256)) * 16, "long": bytes(range(256)) * 1024}


async def give_rest(rest: bytes, writer: asyncio.StreamWriter) -> None:
    """Gives the rest of a response steadily, after a pause that outlasts the objective."""
    await asyncio.sleep(REST_AFTER)
    size = -(-len(rest) // PIECES)
    with contextlib.suppress(OSError):
        for start in range(0, len(rest), size):
            writer.write(rest[start : start + size])
            await asyncio.sleep((REST_UNTIL - REST_AFTER) / PIECES)


# Guards against answers that are cut off at the latency objective although their server is giving them.
@pytest.mark.parametrize("given", ["within the head", "head", "one byte of the value", "half of the value"])
@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
async def test_answer_that_has_begun_is_not_cut_off_at_latency_objective(
    tmp_path: Path, value: bytes, given: str
) -> None:
    response = hit(value)
    head = response.index(value)
    size = {"within the head": 7, "head": head, "one byte of the value": head + 1}.get(given, len(value) // 2)
    tasks: list[asyncio.Task[None]] = []

    def begin(request: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        tasks.append(asyncio.create_task(give_rest(response[size:], writer)))
        return response[:size]

    cache = Cache(begin)
    await cache.start()
    known = listing(3, entry("c0", cache.address))
    async with running_program(tmp_path, 256, known=known, settings=settings_of(CATALOGUE)) as program:
        caller = await connect_client(program[1]["INFO listening on"])
        caller.get(info=b"c=consulta,d=%d" % (WAIT * 1000))
        assert await caller.answer() == value
        caller.writer.close()
    assert len(cache.received) == 1
    for task in tasks:
        task.cancel()
    await cache.stop()


# Guards against an answer that is cut off because its first bytes came while the process stood still.
async def test_response_that_begins_while_process_stands_still_is_awaited(tmp_path: Path) -> None:
    response = hit(VALUES["short"])
    tasks: list[asyncio.Task[None]] = []

    async def stop_and_answer(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(LONG_OBJECTIVE - 0.3)
        running.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        writer.write(response[:7])
        await asyncio.sleep(0.3)
        running.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.1)
        writer.write(response[7:])

    def start(request: list[bytes], writer: asyncio.StreamWriter) -> None:
        tasks.append(asyncio.create_task(stop_and_answer(writer)))

    cache = Cache(start)
    await cache.start()
    known = listing(3, entry("c0", cache.address))
    settings = settings_of([{**CATALOGUE[0], "aim_ms": LONG_OBJECTIVE * 1000}])
    async with running_program(tmp_path, 256, known=known, settings=settings) as program:
        running, addresses, _ = program
        caller = await connect_client(addresses["INFO listening on"])
        caller.get(info=b"c=consulta,d=%d" % (3000 * LONG_OBJECTIVE))
        assert await caller.answer() == VALUES["short"]
        caller.writer.close()
        await asyncio.gather(*tasks)
    await cache.stop()
