"""A planned restart while clients read their answers slowly: do they get them whole? See claim.txt."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

CLIENTS = 10
SIZES = (65_000, 4 << 20)  # bytes of the values that every other client asks for
RECEIVE_BUFFERS = (4096, 65_536)  # bytes of SO_RCVBUF at these clients
READ_S = 2.8  # seconds in which a client reads its answer
NEXT_AFTER_S = (2.0, 2.3)  # seconds from a client's first command to its next ones, on the same connection
DEADLINE_MS = 3000
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # seconds from SIGTERM to SIGKILL
CLASSES = [s.request_class("consulta", 1200, DEADLINE_MS, "safe")]


class Client:
    """Asks for a value, reads it steadily, and sends its next commands while it still reads."""

    def __init__(self, record: s.Record, listen: str, number: int) -> None:
        self.record, self.listen, self.number = record, listen, number
        size = SIZES[number % 2]
        self.whole = len(b"$%d\r\n\r\n" % size) + size
        self.received = 0
        self.head = b""
        self.reset = ""

    def command(self, request_id: int) -> bytes:
        key = b"key-%d" % self.number
        return s.array(b"C.GET", key, b"%016x" % request_id, b"c=consulta,d=%d" % DEADLINE_MS)

    async def run(self) -> None:
        host, port = self.listen.rsplit(":", 1)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFERS[self.number % 2])
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        started = self.record.now()
        self.add(f"sends {self.number + 1:016x}")
        await loop.sock_sendall(sock, self.command(self.number + 1))
        try:
            await self.read(sock, started)
        except OSError as error:
            self.reset = repr(error)
        sock.close()
        duration = self.record.now() - started
        self.add(f"has {self.received} of {self.whole} bytes after {duration:.2f} s {self.reset}")

    async def read(self, sock: socket.socket, started: float) -> None:
        loop = asyncio.get_running_loop()
        sent = 1
        while self.received < self.whole:
            if sent <= len(NEXT_AFTER_S) and self.record.now() - started > NEXT_AFTER_S[sent - 1]:
                request_id = self.number + 1 + 1000 * sent
                sent += 1
                self.add(f"sends {request_id:016x}, having read {self.received} bytes")
                await loop.sock_sendall(sock, self.command(request_id))
            data = await loop.sock_recv(sock, min(1 << 14, self.whole - self.received))
            if not data:
                self.reset = "end of the stream"
                return
            self.head = self.head or data[:1]
            self.received += len(data)
            if self.head != b"$":
                self.add(f"is answered {data!r}")
                return
            due = started + READ_S * self.received / self.whole
            await asyncio.sleep(max(0.0, due - self.record.now()))

    def add(self, text: str) -> None:
        self.record.add(f"client {self.number}", text)

    @property
    def cut_off(self) -> bool:
        return self.head == b"$" and self.received < self.whole


async def restart(record: s.Record, router: s.Router) -> None:
    """Ends the router as the platform does at a planned restart."""
    process = router.process
    assert process is not None
    started = time.monotonic()
    record.add("platform", "SIGTERM")
    process.send_signal(signal.SIGTERM)
    while process.poll() is None and time.monotonic() < started + KILL_AFTER_S:
        await asyncio.sleep(0.01)
    if process.poll() is None:
        record.add("platform", "SIGKILL")
        process.kill()
        process.wait()
    record.add("platform", f"router ended {time.monotonic() - started:.2f} s after SIGTERM")


async def case(record: s.Record, folder: Path) -> int:
    caches: dict[str, s.Cache] = {}
    origin, discovery = s.Origin("origin", record, caches), s.Discovery(record)
    for number in range(6):
        await s.Cache(f"cache-{number}", record, caches).listen()
    for name, cache in caches.items():
        discovery.add(name, cache.address, "m1")
        for number in range(CLIENTS):
            cache.values[b"key-%d" % number] = b"v" * SIZES[number % 2]
    await origin.listen()
    discovery.add("origin", origin.address, "origin")
    await discovery.listen()
    listen = s.free_address()
    router = s.Router(record, folder, s.configuration(discovery, listen, CLASSES))
    router.start()
    clients = [Client(record, listen, number) for number in range(CLIENTS)]
    try:
        if not await router.wait_ready():
            return s.CANNOT_RUN
        await asyncio.sleep(1.0)
        reading = []
        for client in clients:
            reading.append(asyncio.create_task(client.run()))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        if s.trouble():
            await restart(record, router)
        await asyncio.wait(reading, timeout=10)
    finally:
        await router.stop()
        router.log_tail()
    whole = sum(client.received == client.whole for client in clients)
    cut_off = sum(client.cut_off for client in clients)
    record.add("case", f"{whole} answers whole, {cut_off} cut off, of {CLIENTS}")
    if not whole and not cut_off:
        return s.CANNOT_RUN
    return s.BROKEN if cut_off else s.HOLDS


s.run_case(Path(__file__).resolve().parent, case)
