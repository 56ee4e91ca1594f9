"""Case 9: a cache server resets its connection within a long answer; the client had sent more commands."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as s

SIZE = 256 * 1024  # bytes of the long value
GIVEN = 96 * 1024  # bytes of the answer that the cache server gives before it resets the connection
ROUNDS = 5


def value_of(key: bytes) -> bytes:
    return (key + b" ") * (SIZE // (len(key) + 1))


async def give_a_part(server: s.CacheServer, parts: list[bytes], writer: asyncio.StreamWriter) -> bool:
    """Resets the connection within the answer for a key that begins with `long`."""
    if not s.TROUBLE or not parts[1].startswith(b"long") or not parts[2].startswith(b"trouble"):
        return False
    writer.write(server.reply(parts)[:GIVEN])
    await writer.drain()
    await asyncio.sleep(0.3)  # in the middle of the answer
    server.record.note(f"{server.name}: resets the connection within the answer to {parts[2].decode()}")
    s.reset(writer)
    return True


async def case(record: s.Record, routers: list[s.Router]) -> int:
    caches = [s.CacheServer(f"cache-{number}", record, give_a_part) for number in range(3)]
    origin, discovery = s.Origin(record, caches), s.Discovery(record)
    for server in (*caches, origin, discovery):
        await server.start()
    for cache in caches:
        discovery.add(cache.name, cache.port, "simple")
        for number in range(ROUNDS):
            cache.values[b"long-%d" % number] = value_of(b"long-%d" % number)
    discovery.add("origin-0", origin.port, "origin")
    router = s.Router(record, discovery, s.settings())
    routers.append(router)
    await router.start()
    lost = []
    for number in range(ROUNDS):
        client = await s.Client(router.address).connect()
        sent = {
            b"trouble-%d" % number: s.command(
                b"C.GET", b"long-%d" % number, b"trouble-%d" % number, b"c=consulta,d=480"
            ),
            b"write-%d" % number: s.command(
                b"C.SET", b"order-%d" % number, b"write-%d" % number, b"c=despacho,d=2000", b"release"
            ),
            b"read-%d" % number: s.command(
                b"C.GET", b"part-%d" % number, b"read-%d" % number, b"c=consulta,d=480"
            ),
        }
        await client.send(b"".join(sent.values()))
        record.note(f"client: sent at once: {', '.join(map(bytes.decode, sent))}")
        for call_id in sent:
            try:
                answer = await client.answer(4)
                record.note(f"client: {call_id.decode()}: answered {answer[:20]!r}, {len(answer)} bytes")
            except (OSError, TimeoutError) as error:
                record.note(f"client: {call_id.decode()}: no whole answer: {error or 'time-out'}")
                # The long value has failed, since the client can tell that it is not whole.
                if not call_id.startswith(b"trouble"):
                    lost.append(call_id)
        client.close()
    ran = [call_id.decode() for method, _, call_id in origin.ran if call_id in lost]
    record.note(
        f"never answered: {[call_id.decode() for call_id in lost]}; of these, ran at the origin: {ran}"
    )
    if not router.alive():
        record.note("the router has ended")
        return s.BROKEN
    return s.BROKEN if lost else s.HELD


s.main(__file__, case)
