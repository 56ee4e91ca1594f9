"""Case 10: the list tells of a cache server's restart some seconds late, while a long answer is passed on."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as s

SIZE = 4 << 20  # bytes of a long value, the most that the pages name
DOWN = 0.4  # seconds from the crash of a cache server until its process listens again
TOLD_AFTER = 2.4  # seconds from the crash until discovery tells of it, and 2 s from the restart
READ_TIME = 8.0  # seconds that a slow client takes to read a long answer
KEYS = [b"part-%d" % number for number in range(12)]


def value_of(key: bytes) -> bytes:
    return (key + b" ") * (SIZE // (len(key) + 1))


async def read_slowly(address: tuple[str, int], key: bytes, call_id: bytes, record: s.Record) -> str:
    """Sends a read and takes the answer in pieces; returns `whole`, `cut off`, or what it got instead."""
    client = await s.Client(address, receive_buffer=65_536, segment=1400).connect()
    await client.send(s.command(b"C.GET", key, call_id, b"c=consulta,d=480"))
    want = s.bulk(value_of(key))
    got, started = 0, time.monotonic()
    try:
        while got < len(want):
            data = await asyncio.wait_for(client.read_some(32_768), 10)
            if not data:
                break
            if got == 0 and not data.startswith(b"$"):
                return data.decode().strip()
            if data != want[got : got + len(data)]:
                return "foreign bytes"
            got += len(data)
            await asyncio.sleep(max(0.0, started + READ_TIME * got / len(want) - time.monotonic()))
    except OSError as error:
        record.note(f"client: {call_id.decode()}: {error}")
    finally:
        client.close()
    record.note(
        f"client: {call_id.decode()} {key.decode()}: {got} of {len(want)} bytes after "
        f"{time.monotonic() - started:.2f} s"
    )
    return "whole" if got == len(want) else "cut off"


async def case(record: s.Record, routers: list[s.Router]) -> int:
    caches = [s.CacheServer(f"cache-{number}", record) for number in range(3)]
    origin, discovery = s.Origin(record, caches), s.Discovery(record)
    origin.value_of = value_of
    for server in (*caches, origin, discovery):
        await server.start()
    for cache in caches:
        discovery.add(cache.name, cache.port, "simple")
    discovery.add("origin-0", origin.port, "origin")
    router = s.Router(record, discovery, s.settings())
    routers.append(router)
    await router.start()
    for number, key in enumerate(KEYS):  # each value is fetched once, and then kept where it missed
        client = await s.Client(router.address).connect()
        await client.send(s.command(b"C.GET", key, b"first-%d" % number, b"c=consulta,d=480"))
        await client.answer(5)
        client.close()
    crashed = caches[0]
    owned = [key for key in KEYS if key in crashed.values]
    if not owned:
        record.note("no key lies at cache-0")
        return s.COULD_NOT_RUN
    while not 0.9 < time.monotonic() - discovery.answered_at < 1.0:  # within a watch, which holds for 2.5 s
        await asyncio.sleep(0.02)
    crashed_at = time.monotonic()
    if s.TROUBLE:
        record.note("cache-0 crashes")
        crashed.crash()
        await asyncio.sleep(DOWN)
        await crashed.start()
        boot_ms = time.time_ns() // s.MS
        record.note(f"cache-0 runs again since {boot_ms}")
    else:
        await asyncio.sleep(DOWN)
    key = owned[0]
    for attempt in range(20):  # until the restarted cache server has the value again
        client = await s.Client(router.address).connect()
        await client.send(s.command(b"C.GET", key, b"again-%d" % attempt, b"c=consulta,d=480"))
        await client.answer(5)
        client.close()
        if key in crashed.values:
            break
        await asyncio.sleep(0.1)
    slow = [
        asyncio.create_task(read_slowly(router.address, owned[0], b"slow-%d" % number, record))
        for number in range(2)
    ]
    await asyncio.sleep(max(0.0, crashed_at + TOLD_AFTER - time.monotonic()))
    if s.TROUBLE:
        await discovery.change("cache-0", boot_ms=boot_ms)
    results = await asyncio.gather(*slow)
    served_by = [cache.name for cache in caches for _, call_id in cache.asked if call_id.startswith(b"slow")]
    record.note(f"slow answers: {results}, from {served_by}")
    if not router.alive():
        record.note("the router has ended")
        return s.BROKEN
    if "cache-0" not in served_by:
        return s.COULD_NOT_RUN
    return s.HELD if all(result == "whole" for result in results) else s.BROKEN


s.main(__file__, case)
