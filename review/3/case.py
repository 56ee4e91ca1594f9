"""An upgrade while clients send and read long values: do the answers under way come whole? See claim.txt."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

MEMORY_MB = 192
VALUE = b"v" * (4 << 20)
WRITERS = 10
WRITE_RATE = 1_000_000  # bytes per second that one client sends
READERS = 6
READS_EACH = 3  # commands that a reading client sends at once
READ_RATE = 3_000_000  # bytes per second that one client reads
DEADLINE_MS = 3000
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # seconds from SIGTERM to SIGKILL
CLASSES = [
    s.request_class("get", 1200, DEADLINE_MS, "safe"),
    s.request_class("put", 1500, DEADLINE_MS, "keyed", 2000),
]


class Processes:
    """The processes of one router, which share a listening socket and $TMPDIR as at an upgrade."""

    def __init__(self, record: s.Record, folder: Path, discovery: s.Discovery) -> None:
        self.record, self.folder = record, folder
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.listen = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.config = s.configuration(discovery, self.listen, CLASSES, MEMORY_MB)
        self.started: list[subprocess.Popen[bytes]] = []
        (folder / "tmp").mkdir()

    async def start(self) -> bool:
        """Starts a process; returns whether it says within 6 s that it is ready."""
        console, number = s.free_address(), len(self.started)
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps({**self.config, "console": console}), encoding="utf-8")
        with (s.ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            **os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp"),
            "BALANCER_INHERITED_FD": "7", "BALANCER_CONSOLE": console,
        }  # fmt: skip

        def pass_listener() -> None:
            os.dup2(self.listener.fileno(), 7)
            os.set_inheritable(7, True)

        with (self.folder / "router.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=s.ROOT, env=environment, preexec_fn=pass_listener,
                close_fds=False, stdout=log, stderr=log,
            )  # fmt: skip
        self.started.append(process)
        self.record.add("platform", f"process {number} started")
        end = time.monotonic() + 6
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                host, port = console.rsplit(":", 1)
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"HEALTH\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"+OK"):
                    self.record.add("platform", f"process {number} is ready")
                    return True
            await asyncio.sleep(0.02)
        return False

    async def end_first(self) -> None:
        process, started = self.started[0], time.monotonic()
        process.send_signal(signal.SIGTERM)
        self.record.add("platform", "SIGTERM to process 0")
        while process.poll() is None and time.monotonic() < started + KILL_AFTER_S:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            self.record.add("platform", "SIGKILL to process 0")
            process.kill()
            process.wait()
        self.record.add("platform", f"process 0 ended {time.monotonic() - started:.2f} s after SIGTERM")

    def stop(self) -> None:
        for process in self.started:
            if process.poll() is None:
                process.terminate()
                with contextlib.suppress(subprocess.TimeoutExpired):
                    process.wait(6)
            if process.poll() is None:
                process.kill()
                process.wait()
        self.listener.close()


async def write(record: s.Record, listen: str, number: int) -> None:
    """Sends a long write slowly."""
    host, port = listen.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    info = b"c=put,d=%d,k=%016x" % (DEADLINE_MS, number + 1)
    command = s.array(b"C.SET", b"write-%d" % number, b"%016x" % (number + 5001), info, VALUE)
    started = record.now()
    with contextlib.suppress(ConnectionError):
        for position in range(0, len(command), 1 << 16):
            writer.write(command[position : position + (1 << 16)])
            await writer.drain()
            await asyncio.sleep(max(0.0, started + position / WRITE_RATE - record.now()))
    record.add(f"writer {number}", f"answered: {s.shown(await s.read_answer(reader))}")
    writer.close()


async def read(record: s.Record, listen: str, number: int, missing: dict[int, int]) -> None:
    """Asks for long values at once, and reads them steadily."""
    host, port = listen.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    key, info = b"read-%d" % number, b"c=get,d=%d" % DEADLINE_MS
    for position in range(READS_EACH):
        await loop.sock_sendall(sock, s.array(b"C.GET", key, b"%016x" % (number * 10 + position + 1), info))
    started, received = record.now(), 0
    whole = READS_EACH * (len(VALUE) + len(b"$%d\r\n\r\n" % len(VALUE)))
    with contextlib.suppress(ConnectionError):
        while received < whole and (data := await loop.sock_recv(sock, 1 << 15)):
            received += len(data)
            await asyncio.sleep(max(0.0, started + received / READ_RATE - record.now()))
    missing[number] = whole - received
    record.add(f"reader {number}", f"has {received} of {whole} bytes after {record.now() - started:.2f} s")
    sock.close()


async def case(record: s.Record, folder: Path) -> int:
    caches: dict[str, s.Cache] = {}
    origin, discovery = s.Origin("origin", record, caches), s.Discovery(record)
    for number in range(6):
        await s.Cache(f"cache-{number}", record, caches).listen()
    for name, cache in caches.items():
        discovery.add(name, cache.address, "m1")
        for number in range(READERS):
            cache.values[b"read-%d" % number] = VALUE
    await origin.listen()
    discovery.add("origin", origin.address, "origin")
    await discovery.listen()
    processes, missing = Processes(record, folder, discovery), dict[int, int]()
    try:
        if not await processes.start():
            return s.CANNOT_RUN
        await asyncio.sleep(0.5)
        listen = processes.listen
        tasks = [asyncio.create_task(write(record, listen, number)) for number in range(WRITERS)]
        await asyncio.sleep(0.3)
        for number in range(READERS):
            tasks.append(asyncio.create_task(read(record, listen, number, missing)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        if s.trouble():
            if not await processes.start():
                return s.CANNOT_RUN
            await processes.end_first()
        await asyncio.wait(tasks, timeout=15)
    finally:
        processes.stop()
    cut_off = sum(count > 0 for count in missing.values())
    record.add("case", f"answers of {cut_off} of {READERS} reading clients cut off")
    return s.BROKEN if cut_off else s.HOLDS


s.run_case(Path(__file__).resolve().parent, case)
