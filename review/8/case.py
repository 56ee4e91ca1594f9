"""Case 8: bad clients send much at once that is not a proper request."""

import asyncio
import contextlib
import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as s

BAD_CLIENTS = 150
MUCH = 256 * 1024  # bytes that each of them sends
NOT_A_REQUEST = b"*1\r\n$1\r\nx\r\n"  # an array of bulk strings whose command does not exist
STAYS = 12.0  # seconds after which a bad client leaves at the latest
GOOD_CLIENTS, SECONDS = 10, 20.0
WAIT = 0.48  # seconds for which a good client waits for its answer, as `d` tells
LOST_AFTER = 0.5  # seconds after the request's time, from which on it counts as lost
KEYS = [b"part-%d" % number for number in range(100)]


def bad_client(port: int) -> None:
    """Sends much at once and reads what it gets; then leaves."""
    data = memoryview(NOT_A_REQUEST * (MUCH // len(NOT_A_REQUEST)))
    with socket.create_connection(("127.0.0.1", port)) as sock:
        ends_at, sent = time.monotonic() + STAYS, 0
        sock.settimeout(0.02)
        while time.monotonic() < ends_at:
            with contextlib.suppress(TimeoutError):
                if sent < len(data):
                    sent += sock.send(data[sent:])
            with contextlib.suppress(TimeoutError):
                if not sock.recv(1 << 20):
                    return


def bad_clients(port: int) -> None:
    threads = [threading.Thread(target=bad_client, args=(port,)) for _ in range(BAD_CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


async def good_client(number: int, address: tuple[str, int], until: float, record: s.Record) -> list[str]:
    """Sends one request after another; returns those that were answered too late or never."""
    rng, lost, count = random.Random(number), [], 0
    client = await s.Client(address).connect()
    while time.monotonic() < until:
        call_id = b"read-%d-%d" % (number, count)
        count += 1
        sent_at = time.monotonic()
        await client.send(s.command(b"C.GET", rng.choice(KEYS), call_id, b"c=consulta,d=%d" % (WAIT * 1000)))
        try:
            answer = await client.answer(WAIT + LOST_AFTER + 10)
        except (OSError, TimeoutError) as error:
            record.note(f"client: {call_id.decode()}: no answer: {error}")
            lost.append(call_id.decode())
            client = await s.Client(address).connect()
            continue
        passed = time.monotonic() - sent_at
        if passed > WAIT + LOST_AFTER + s.GRACE:
            record.note(f"client: {call_id.decode()}: {answer[:20]!r} after {passed:.3f} s")
            lost.append(call_id.decode())
        await asyncio.sleep(rng.expovariate(10))
    client.close()
    return lost


async def case(record: s.Record, routers: list[s.Router]) -> int:
    caches = [s.CacheServer(f"cache-{number}", record) for number in range(3)]
    origin, discovery = s.Origin(record, caches), s.Discovery(record)
    for server in (*caches, origin, discovery):
        await server.start()
    for cache in caches:
        discovery.add(cache.name, cache.port, "simple")
        cache.values = {key: b"value of " + key for key in KEYS}
    discovery.add("origin-0", origin.port, "origin")
    router = s.Router(record, discovery, s.settings())
    routers.append(router)
    await router.start()
    until = time.monotonic() + SECONDS
    good = [
        asyncio.create_task(good_client(number, router.address, until, record))
        for number in range(GOOD_CLIENTS)
    ]
    await asyncio.sleep(1.0)
    if s.TROUBLE:
        record.note(f"{BAD_CLIENTS} bad clients send {MUCH} bytes each")
        bad = await asyncio.create_subprocess_exec(sys.executable, __file__, "bad", str(router.port))
        await bad.wait()
        record.note("the bad clients have left")
    lost = [call_id for result in await asyncio.gather(*good) for call_id in result]
    record.note(f"requests answered more than {LOST_AFTER} s after their time, or never: {len(lost)}")
    return s.BROKEN if lost or not router.alive() else s.HELD


if sys.argv[1:2] == ["bad"]:
    bad_clients(int(sys.argv[2]))
else:
    s.main(__file__, case)
