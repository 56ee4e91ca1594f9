"""A keyed write whose repeat is read slowly by the origin: does it run twice? See claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

VALUE = b"w" * (2 << 20)
WRITES = 6
WINDOW = 0.6  # seconds: `repeatWindow` of the class
SLACK = 0.05  # seconds that the protocol page adds to each time limit
SLOW_READ = 1.0  # seconds that the origin takes to read the value that follows a reset
WAIT_MS = 3000
# The times of `transferencia` (litoral-homebanking), with a shorter window for repeats.
CLASSES = [
    s.request_class("consulta", 1200, 4000, "safe"),
    s.request_class("transferencia", 1500, WAIT_MS, "keyed", int(WINDOW * 1000)),
]


def fields_of(request: s.HttpRequest) -> dict[str, str]:
    return dict(field.split("=", 1) for field in request.headers["x-call-info"].split(","))


class SlowOrigin(s.Origin):
    """Resets the connection under the first attempt at each write, and is slow to read what follows."""

    def __init__(self, record: s.Record, caches: dict[str, s.Cache]) -> None:
        super().__init__("origin", record, caches)
        self.receive_buffer = 64 * 1024
        self.attempts: dict[str, list[float]] = {}  # arrival of each attempt's last byte, by request id
        self.runs: dict[str, list[float]] = {}  # times at which a write ran, by idempotency key

    async def read_body(self, request: s.HttpRequest, reader: asyncio.StreamReader) -> bytes:
        request_id = request.headers.get("x-call-id", "")
        # Without the reset the only attempt is read slowly, which has to do no harm.
        slow = bool(self.attempts.get(request_id)) is s.trouble()
        self.record.add(self.name, f"head of write {request_id}, {request.headers.get('x-call-info')}")
        body = b""
        started = self.record.now()
        while len(body) < request.length:
            body += await reader.read(min(1 << 16, request.length - len(body)))
            if reader.at_eof():
                self.record.add(self.name, f"write {request_id} broke off after {len(body)} bytes: not run")
                raise asyncio.IncompleteReadError(body, request.length)
            if slow:
                due = started + SLOW_READ * len(body) / request.length
                await asyncio.sleep(max(0.0, due - self.record.now()))
        return body

    async def write_value(
        self,
        key: bytes,
        request_id: str,
        request: s.HttpRequest,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        now = self.record.now()
        first = not self.attempts.get(request_id)
        self.attempts.setdefault(request_id, []).append(now)
        token = fields_of(request)["k"]
        runs = self.runs.setdefault(token, [])
        if runs and now - runs[-1] <= WINDOW + SLACK:
            self.record.add(self.name, f"write {request_id} whole, dropped as a repeat of {token}")
        else:
            runs.append(now)
            self.record.add(self.name, f"write {request_id} whole, RUN number {len(runs)} of {token}")
        if first and s.trouble():
            self.record.add(self.name, f"connection reset under write {request_id}")
            writer.transport.abort()
            return False
        writer.write(s.http_answer(b"stored"))
        await writer.drain()
        return True


async def write(record: s.Record, listen: str, number: int) -> None:
    host, port = listen.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    request_id, key = f"{number + 1:016x}", f"{number + 0x5C0F:016x}"
    info = f"c=transferencia,d={WAIT_MS},k={key}"
    writer.write(s.array(b"C.SET", b"key-%d" % number, request_id.encode(), info.encode(), VALUE))
    await writer.drain()
    record.add("client", f"write {request_id} sent, {info}")
    answer = await asyncio.wait_for(s.read_answer(reader), 4)
    record.add("client", f"write {request_id} answered: {s.shown(answer)}")
    writer.close()


async def case(record: s.Record, folder: Path) -> int:
    caches: dict[str, s.Cache] = {}
    origin, discovery = SlowOrigin(record, caches), s.Discovery(record)
    for number in range(3):
        await s.Cache(f"cache-{number}", record, caches).listen()
    for name, cache in caches.items():
        discovery.add(name, cache.address, "m1")
    await origin.listen()
    discovery.add("origin", origin.address, "origin")
    await discovery.listen()
    listen = s.free_address()
    router = s.Router(record, folder, s.configuration(discovery, listen, CLASSES))
    router.start()
    try:
        if not await router.wait_ready():
            return s.CANNOT_RUN
        await asyncio.sleep(1.0)
        for number in range(WRITES):
            await write(record, listen, number)
            await asyncio.sleep(1.0)
    finally:
        await router.stop()
        router.log_tail()
    twice = [key for key, runs in origin.runs.items() if len(runs) > 1]
    for request_id, times in origin.attempts.items():
        gaps = [round(time - times[0], 3) for time in times[1:]]
        text = f"write {request_id}: repeats came whole {gaps} s after the first, window {WINDOW} s"
        record.add("case", text)
    record.add("case", f"{len(twice)} of {WRITES} writes ran twice")
    return s.BROKEN if twice else s.HOLDS


s.run_case(Path(__file__).resolve().parent, case)
