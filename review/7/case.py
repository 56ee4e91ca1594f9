"""Case 7: many bad clients send a part of a request each and stay, while some long values are written."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as s

MEMORY_MB = 48  # the pages name 32 to 192 MB, and 256 to 1,024 descriptors
SIZES = (4 << 20, 4 << 20)  # bytes of the long values that are written, 4 MiB at most
WRITE_TIME = 3.0  # seconds in which a client writes one
BAD_CLIENTS = 400
PART = 65_000  # bytes that a bad client sends of its request
PIECES = 4  # in which it sends them
BEGIN = 2.0  # seconds after the first write at which they connect


async def write_slowly(address: tuple[str, int], call_id: bytes, size: int, record: s.Record) -> str:
    client = await s.Client(address).connect()
    data = s.command(b"C.SET", b"order-" + call_id, call_id, b"c=despacho,d=2000", b"v" * size)
    started = time.monotonic()
    try:
        for start in range(0, len(data), 131_072):
            await client.send(data[start : start + 131_072])
            await asyncio.sleep(max(0.0, started + WRITE_TIME * start / len(data) - time.monotonic()))
        result = (await client.answer(4)).decode()
    except (OSError, TimeoutError) as error:
        result = f"no answer: {error}"
    client.close()
    record.note(f"client: {call_id.decode()}: {result}")
    return result


async def bad_client(address: tuple[str, int]) -> str:
    """Sends a part of a request and stays; returns what it gets."""
    client = s.Client(address)
    try:
        await client.connect()
        data = b"*4\r\n$5\r\nC.GET\r\n$65536\r\n" + b"k" * PART
        for start in range(0, len(data), len(data) // PIECES + 1):
            await client.send(data[start : start + len(data) // PIECES + 1])
            await asyncio.sleep(0.02)
        async with asyncio.timeout(5):
            return (await client.read_some(1000)).decode().strip() or "a close"
    except TimeoutError:
        return "nothing"
    except OSError as error:
        return str(error)
    finally:
        client.close()


async def enforce(router: s.Router, record: s.Record) -> None:
    """Kills the router when it uses more memory than `memory_mb`, as the platform does."""
    process = router.processes[0]
    while process.returncode is None:
        used = s.memory_mb(process.pid)
        if used > MEMORY_MB:
            record.note(f"platform: the router uses {used:.1f} of {MEMORY_MB} MB and is killed")
            process.send_signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


async def case(record: s.Record, routers: list[s.Router]) -> int:
    caches = [s.CacheServer(f"cache-{number}", record) for number in range(3)]
    origin, discovery = s.Origin(record, caches), s.Discovery(record)
    for server in (*caches, origin, discovery):
        await server.start()
    for cache in caches:
        discovery.add(cache.name, cache.port, "simple")
    discovery.add("origin-0", origin.port, "origin")
    router = s.Router(record, discovery, s.settings(), memory_mb=MEMORY_MB)
    routers.append(router)
    process = await router.start()
    enforcer = asyncio.create_task(enforce(router, record))
    writers = [
        asyncio.create_task(write_slowly(router.address, b"write-%d" % number, size, record))
        for number, size in enumerate(SIZES)
    ]
    await asyncio.sleep(BEGIN)
    record.note(f"memory before the bad clients: {s.memory_mb(process.pid):.1f} MB")
    if s.TROUBLE:
        record.note(f"{BAD_CLIENTS} bad clients connect")
        answers = Counter(await asyncio.gather(*(bad_client(router.address) for _ in range(BAD_CLIENTS))))
        record.note(f"bad clients got: {dict(answers)}")
    record.note(f"long writes: {await asyncio.gather(*writers)}")
    enforcer.cancel()
    if process.returncode is None:
        record.note(f"peak memory: {s.peak_memory_mb(process.pid):.1f} of {MEMORY_MB} MB")
    return s.HELD if router.alive() else s.BROKEN


s.main(__file__, case)
