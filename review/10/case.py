"""Case 10: an upgrade begins while long values are read and written slowly."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as s

SIZE = 4 << 20  # bytes of a long value, the most that the pages name
READ_TIME = 3.5  # seconds in which a slow client reads a long answer
WRITE_TIME = 3.0  # seconds in which a slow client writes a long value
READERS, WRITERS = 3, 2
MEMORY_MB = 64  # the pages name 32 to 192 MB
STARTED_AFTER = 0.5  # seconds after the first request at which the platform starts the new process
# Seconds from SIGTERM to SIGKILL: the longest deadline of the settings, and 0.7 s.
KILLED_AFTER = 2.5 + 0.7


def value_of(key: bytes) -> bytes:
    return (key + b" ") * (SIZE // (len(key) + 1))


async def read_slowly(address: tuple[str, int], key: bytes, call_id: bytes, record: s.Record) -> str:
    """Sends a read and takes the answer in pieces; returns `whole`, `cut off`, or what it got instead."""
    client = await s.Client(address, receive_buffer=65_536, segment=1400).connect()
    await client.send(s.command(b"C.GET", key, call_id, b"c=consulta,d=480"))
    want = s.bulk(value_of(key))
    got, started, end = 0, time.monotonic(), "its end"
    try:
        while got < len(want):
            data = await asyncio.wait_for(client.read_some(32_768), 10)
            if not data:
                break
            if got == 0 and not data.startswith(b"$"):
                record.note(f"client: {call_id.decode()}: answered {data!r}")
                return data.decode().strip()
            if data != want[got : got + len(data)]:
                return "foreign bytes"
            got += len(data)
            await asyncio.sleep(max(0.0, started + READ_TIME * got / len(want) - time.monotonic()))
    except OSError as error:
        end = str(error)
    finally:
        client.close()
    result = "whole" if got == len(want) else "cut off"
    record.note(
        f"client: {call_id.decode()}: {result}: {got} of {len(want)} bytes after "
        f"{time.monotonic() - started:.2f} s, {end}"
    )
    return result


async def write_slowly(address: tuple[str, int], call_id: bytes, record: s.Record) -> str:
    client = await s.Client(address).connect()
    data = s.command(b"C.SET", b"order-" + call_id, call_id, b"c=despacho,d=2000", b"v" * SIZE)
    started = time.monotonic()
    result = ""
    try:
        for start in range(0, len(data), 131_072):
            await client.send(data[start : start + 131_072])
            await asyncio.sleep(max(0.0, started + WRITE_TIME * start / len(data) - time.monotonic()))
        result = (await client.answer(4)).decode()
    except (OSError, TimeoutError) as error:
        result = f"no answer: {error}"
    client.close()
    record.note(f"client: {call_id.decode()}: {result} after {time.monotonic() - started:.2f} s")
    return result


async def case(record: s.Record, routers: list[s.Router]) -> int:
    caches = [s.CacheServer(f"cache-{number}", record) for number in range(3)]
    origin, discovery = s.Origin(record, caches), s.Discovery(record)
    keys = [b"part-%d" % number for number in range(READERS)]
    for server in (*caches, origin, discovery):
        await server.start()
    for cache in caches:
        discovery.add(cache.name, cache.port, "simple")
        cache.values = {key: value_of(key) for key in keys}
    discovery.add("origin-0", origin.port, "origin")
    router = s.Router(record, discovery, s.settings(), memory_mb=MEMORY_MB)
    routers.append(router)
    router.inherit()
    old = await router.start(router.console_port)
    readers = [asyncio.create_task(read_slowly(router.address, key, b"read-" + key, record)) for key in keys]
    writers = [
        asyncio.create_task(write_slowly(router.address, b"write-%d" % number, record))
        for number in range(WRITERS)
    ]
    killer = None
    if s.TROUBLE:
        await asyncio.sleep(STARTED_AFTER)
        record.note("platform: starts the new process")
        await router.start(s.free_port())
        record.note("platform: the new process has said yes; SIGTERM to the old one")
        old.send_signal(signal.SIGTERM)
        killer = asyncio.create_task(end(old, record))
    results = await asyncio.gather(*readers)
    await asyncio.gather(*writers)
    if killer is not None:
        await killer
    record.note(f"long answers: {results}")
    return s.BROKEN if "cut off" in results else s.HELD


async def end(process: asyncio.subprocess.Process, record: s.Record) -> None:
    """Sends SIGKILL to the old process at the time that the pages name."""
    try:
        await asyncio.wait_for(process.wait(), KILLED_AFTER)
        record.note("the old process has ended")
    except TimeoutError:
        process.send_signal(signal.SIGKILL)
        record.note("platform: SIGKILL to the old process")


s.main(__file__, case)
