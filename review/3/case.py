"""Long answers without a length that wait behind a slow one: does the router stay within its memory?

See claim.txt.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

MEMORY_MB = 192  # the most that the platform gives a router on the scored days
LONG_VALUE = b"v" * (4 << 20)
CLIENTS = 2
READS_EACH = 30
READ_INTERVAL = 0.06  # seconds between two reads of one client
CLASSES = [
    s.request_class("consulta", 300, 600, "safe"),
    s.request_class("despacho", 600, 2500, "unsafe"),
]


class LongOrigin(s.Origin):
    """Answers reads at once with long values, and each write after 1.9 s."""

    def __init__(self, record: s.Record, caches: dict[str, s.Cache]) -> None:
        super().__init__("origin", record, caches)
        self.without_length = s.trouble()

    async def read_value(self, key: bytes, request_id: str, writer: asyncio.StreamWriter) -> bool:
        if not self.without_length:
            writer.write(s.http_answer(LONG_VALUE))
            await writer.drain()
            self.record.add(self.name, f"read {request_id} answered: {len(LONG_VALUE)} bytes, with a length")
            return True
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG_VALUE)
        await writer.drain()
        self.record.add(self.name, f"read {request_id} answered: {len(LONG_VALUE)} bytes, without a length")
        return False

    async def write_value(
        self,
        key: bytes,
        request_id: str,
        request: s.HttpRequest,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.record.add(self.name, f"write {request_id} begun")
        await asyncio.sleep(1.9)
        return await super().write_value(key, request_id, request, body, writer)


class Watchdog:
    """The platform: kills a router that uses more memory than its limit."""

    def __init__(self, record: s.Record, router: s.Router) -> None:
        self.record, self.router = record, router
        self.most_mb = 0.0
        self.killed = False

    async def run(self) -> None:
        process = self.router.process
        assert process is not None
        while process.poll() is None:
            used = self.router.memory_mb()
            if used > self.most_mb + 10:
                self.record.add("platform", f"the router uses {used:.0f} MB")
            self.most_mb = max(self.most_mb, used)
            if used > MEMORY_MB:
                self.record.add("platform", f"over {MEMORY_MB} MB with {used:.0f} MB: router killed")
                process.kill()
                self.killed = True
                return
            await asyncio.sleep(0.01)


async def client(record: s.Record, listen: str, number: int, answers: dict[str, str]) -> None:
    """Sends a write and, behind it on the same connection, reads of other keys; reads all answers at once."""
    host, port = listen.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 16)
    sent: list[str] = []

    async def receive() -> None:
        for position in range(READS_EACH + 1):
            answer = await s.read_answer(reader)
            answers[sent[position]] = s.shown(answer)
            record.add(f"client {number}", f"{sent[position]} answered: {s.shown(answer)}")
            if answer is None:
                return

    receiving = asyncio.create_task(receive())
    try:
        for position in range(READS_EACH + 1):
            request_id = f"{number * 1000 + position + 1:016x}"
            sent.append(request_id)
            if position:
                command = (
                    b"C.GET",
                    b"key-%d-%d" % (number, position),
                    request_id.encode(),
                    b"c=consulta,d=600",
                )
                writer.write(s.array(*command))
            else:
                command = (b"C.SET", b"order-%d" % number, request_id.encode(), b"c=despacho,d=2500")
                writer.write(s.array(*command, b"w" * 100))
            record.add(f"client {number}", f"{request_id} sent: {command[0].decode()} {command[3].decode()}")
            await writer.drain()
            await asyncio.sleep(READ_INTERVAL)
    except ConnectionError as error:
        record.add(f"client {number}", f"the connection broke: {error!r}")
    await asyncio.wait([receiving], timeout=4)
    writer.close()


async def case(record: s.Record, folder: Path) -> int:
    caches: dict[str, s.Cache] = {}
    origin, discovery = LongOrigin(record, caches), s.Discovery(record)
    for number in range(3):
        await s.Cache(f"cache-{number}", record, caches).listen()
    for name, cache in caches.items():
        discovery.add(name, cache.address, "m1")
    await origin.listen()
    discovery.add("origin", origin.address, "origin")
    await discovery.listen()
    listen = s.free_address()
    router = s.Router(record, folder, s.configuration(discovery, listen, CLASSES, MEMORY_MB))
    router.start()
    watchdog = Watchdog(record, router)
    watching = asyncio.create_task(watchdog.run())
    answers: dict[str, str] = {}
    try:
        if not await router.wait_ready():
            return s.CANNOT_RUN
        await asyncio.sleep(1.0)
        await asyncio.gather(*(client(record, listen, number, answers) for number in range(CLIENTS)))
    finally:
        await router.stop()
        await watching
        router.log_tail()
    values = sum("bytes" in answer for answer in answers.values())
    busy = sum("BUSY" in answer for answer in answers.values())
    record.add("case", f"{values} requests served, {busy} refused, of {CLIENTS * (READS_EACH + 1)}")
    record.add("case", f"most memory {watchdog.most_mb:.0f} MB, limit {MEMORY_MB} MB")
    return s.BROKEN if watchdog.killed else s.HOLDS


s.run_case(Path(__file__).resolve().parent, case)
