"""A long answer whose server falls silent, or ends, before its last byte is final in its time.

The router is the program itself, with a scripted cache server and origin on loopback.
"""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from router_bench import MISS, WAIT_TIMEOUT, Cache, Caller, Web, entry, hit, http
from test_descriptors import connect_client, running_program
from test_discovery import listing
from test_shutdown_under_load import settings_with_deadline

from applehub.node.resp import command

LONG = bytes(range(256)) * 1024
CLASS_DEADLINE = 0.6  # seconds
WAIT = 0.5  # seconds for which the clients wait for their answers
LATE_LIMIT = 0.5  # seconds after the due time at which a request without a final answer is lost
# Seconds within which a peer that has stopped in the middle of a message is answered or closed. Of a long
# answer only the first bytes are due in time.
STOPPED_PEER_LIMIT = 3.0
RESPONSES = {"cache server": hit(LONG), "origin": http(200, LONG)}
HEADS = {"cache server": len(hit(LONG).partition(LONG)[0]), "origin": len(http(200, LONG).partition(LONG)[0])}
# Bytes of the response that the server gives, from the end of its head or, if negative, from its own end.
GIVEN = {"head": 0, "one byte": 1, "part of the value": 70_000, "value without its end": -3}


@dataclass
class Reply:
    """What a client received for a long read and the commands behind it."""

    data: bytes
    closed: bool
    seconds: float  # from the request to the close, or to the last answer


def is_complete(data: bytes, answers_behind: bytes) -> bool:
    """Returns whether an error or the whole value, and the answers behind it, have come."""
    size = len(b"$%d\r\n%b\r\n" % (len(LONG), LONG)) + len(answers_behind)
    return data.endswith(answers_behind or b"\n") and (data.startswith(b"-") or len(data) == size)


async def read_reply(caller: Caller, answers_behind: bytes, started: float) -> Reply:
    """Reads until the answers are complete or the connection is closed."""
    data, closed = b"", False
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not closed and not is_complete(data, answers_behind):
            received = await caller.reader.read(1 << 16)
            data, closed = data + received, not received
    return Reply(data, closed, time.monotonic() - started)


# Guards against a request that is never answered, because its server stops after the head of a long answer.
@pytest.mark.parametrize("behind", [False, True], ids=["alone", "with commands behind"])
@pytest.mark.parametrize("given", GIVEN.values(), ids=GIVEN)
@pytest.mark.parametrize("server", RESPONSES)
async def test_request_is_final_in_time_when_server_stops_within_long_answer(
    tmp_path: Path, server: str, given: int, behind: bool
) -> None:
    response = RESPONSES[server]
    part = response[: HEADS[server] + given] if given >= 0 else response[:given]

    def answer_from_cache(request: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        if request[1] != b"long":
            return hit(b"short")
        return part if server == "cache server" else MISS

    def answer_from_origin(request: Any, writer: asyncio.StreamWriter) -> bytes:
        return part if request[1] == b"/long" else http(200, b"receipt")

    cache, origin = Cache(answer_from_cache), Web(answer_from_origin)
    await cache.start()
    await origin.start()
    known = listing(3, entry("c0", cache.address), entry("o", origin.address, model="origin"))
    settings = settings_with_deadline(CLASS_DEADLINE)
    async with running_program(tmp_path, 256, known=known, settings=settings) as (_, addresses, _):
        caller = await connect_client(addresses["INFO listening on"])
        info = b"c=read,t=acme,d=%d" % (WAIT * 1000)
        commands = command(b"C.GET", b"long", b"i1", info)
        answers_behind = b""
        if behind:
            commands += command(b"C.SET", b"order", b"i2", info.replace(b"read", b"once"), b"v")
            commands += command(b"C.GET", b"k", b"i3", info)
            answers_behind = b"$7\r\nreceipt\r\n$5\r\nshort\r\n"
        started = time.monotonic()
        caller.writer.write(commands)
        reply = await read_reply(caller, answers_behind, started)
        caller.writer.close()
    whole_answer = b"$%d\r\n%b\r\n" % (len(LONG), LONG)
    if given < 0 and server == "cache server":  # the value itself has come
        assert reply.seconds < WAIT and reply.data == whole_answer + answers_behind
    elif given == 0 or behind:
        assert reply.seconds < WAIT + LATE_LIMIT
        assert reply.data.startswith((b"-BUSY", b"-ERR failed")) and reply.data.endswith(answers_behind)
    else:
        assert reply.closed and reply.seconds < STOPPED_PEER_LIMIT
        assert whole_answer.startswith(reply.data) and len(reply.data) < len(whole_answer)
    for peer in (cache, origin):
        await peer.stop()
