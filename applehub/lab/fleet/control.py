"""Control protocol between the test harness and its stand-ins: JSON lines on standard input and output.

The first line configures the process, and its reply means that it is ready; each later line is a command
with a reply. The process exits at the end of standard input, so it does not outlive the harness."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

Json = dict[str, Any]
Handler = Callable[[Json], Awaitable[Json]]
MAX_LINE_BYTES = 8 << 20


async def serve(begin: Callable[[Json], Awaitable[tuple[Json, Handler]]]) -> None:
    """Calls `begin` with the first message, then passes each command to the handler, in order."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle: Handler | None = None
    while line := await reader.readline():
        message = orjson.loads(line)
        if handle is None:
            answer, handle = await begin(message)
        else:
            answer = await handle(message)
        sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()
