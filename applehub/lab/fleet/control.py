"""How the ground speaks with its own processes: a JSON line on standard input, a JSON line back on standard
output.

The first line is what the process is told at its start, its answer says that it is ready. The end of standard
input ends the process: so none outlives a ground that is gone."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

Json = dict[str, Any]
Handler = Callable[[Json], Awaitable[Json]]
MOST_LINE = 8 << 20


async def serve(begin: Callable[[Json], Awaitable[tuple[Json, Handler]]]) -> None:
    """Begins with what the first line tells, then carries out a command a line, in order."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle: Handler | None = None
    while line := await reader.readline():
        told = orjson.loads(line)
        if handle is None:
            answer, handle = await begin(told)
        else:
            answer = await handle(told)
        sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()
