"""Stand-ins for cache servers, origin, discovery and clients, and the start of the router, for the cases.

They speak what the operators' protocol page specifies, on loopback addresses, and need the standard library
alone. Everything that is sent, answered and run is kept by `Record` and written to `record.txt`.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
SECOND = 1_000_000_000
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2  # exit codes of a case
READY_TIMEOUT = 30.0


def trouble() -> bool:
    """Returns whether the disruption takes place; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def add(self, who: str, what: str) -> None:
        self.file.write(f"{self.now():9.4f} {who}: {what}\n")
        self.file.flush()


async def read_array(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Reads a RESP array of bulk strings; returns None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    parts = []
    for _ in range(int(line[1:])):
        size = int((await reader.readline())[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


def array(*parts: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(parts), b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts))


async def read_answer(reader: asyncio.StreamReader) -> bytes | None:
    """Reads a router's answer: the value of a bulk string or the line; None if the connection ended."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        line = await reader.readuntil(b"\r\n")
        if line[:1] != b"$":
            return line[:-2]
        return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
    return None


def served(answer: bytes | None) -> bool:
    return answer is not None and answer[:1] == b"$"


def shown(answer: bytes | None) -> str:
    if answer is None:
        return "connection ended without an answer"
    return f"value of {len(answer) - 1} bytes" if served(answer) else answer.decode()


class Server:
    """A listening stand-in on a free port."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.server: asyncio.Server | None = None
        self.address = ""
        self.receive_buffer = 0  # bytes of SO_RCVBUF; 0 for the system's default

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind((host, port))
        self.server = await asyncio.start_server(self._run, sock=sock, limit=1 << 16, backlog=1024)
        self.address = f"{host}:{sock.getsockname()[1]}"

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Cache(Server):
    """A cache server: stores what the origin has answered for its misses, and reports its load."""

    def __init__(self, name: str, record: Record, caches: "dict[str, Cache]") -> None:
        super().__init__(name, record)
        self.values: dict[bytes, bytes] = {}
        self.missed: dict[bytes, bytes] = {}  # key by request id
        caches[name] = self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (command := await read_array(reader)) is not None:
            name = command[0].upper()
            if name == b"PING":
                writer.write(b"+PONG\r\n")
            elif name != b"C.GET" or len(command) != 4:
                writer.write(b"-SYNTAX\r\n")
                self.record.add(self.name, f"unknown command {command[0]!r}")
            else:
                writer.write(self.read(command[1], command[2]))
            await writer.drain()

    def read(self, key: bytes, request_id: bytes) -> bytes:
        report = b"backlog=0,errors_per_s=0.0,x0=0.9"
        value = self.values.get(key)
        note = b"hit" if value is not None else b"miss"
        self.record.add(self.name, f"read {request_id.decode()}: {note.decode()}")
        if value is None:
            self.missed[request_id] = key
            return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$%d\r\n%b\r\n" % (len(report), report)
        return array(value, note, report)


class HttpRequest:
    """The head of an HTTP/1.1 request."""

    def __init__(self, head: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, target, _ = lines[0].split(" ")
        self.url = urlsplit(target)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        self.length = int(self.headers.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Reads the head of a request; returns None at the end of the stream."""
    try:
        return HttpRequest(await reader.readuntil(b"\r\n\r\n"))
    except asyncio.IncompleteReadError:
        return None


def http_answer(body: bytes, status: str = "200 OK", headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Origin(Server):
    """The origin. Cases override `read_value`, `write_value` and `read_body`."""

    def __init__(self, name: str, record: Record, caches: dict[str, Cache]) -> None:
        super().__init__(name, record)
        self.caches = caches

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_head(reader)) is not None:
            body = await self.read_body(request, reader)
            key = unquote_to_bytes(request.url.path[1:])
            request_id = request.headers.get("x-call-id", "")
            if request.method == "PUT":
                keep = await self.write_value(key, request_id, request, body, writer)
            else:
                keep = await self.read_value(key, request_id, writer)
            if not keep:
                return

    async def read_body(self, request: HttpRequest, reader: asyncio.StreamReader) -> bytes:
        return await reader.readexactly(request.length)

    async def read_value(self, key: bytes, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answers a read; returns whether the connection stays open."""
        self.record.add(self.name, f"read {request_id} answered")
        self.store(key, request_id, b"v" * 100)
        writer.write(http_answer(b"v" * 100))
        await writer.drain()
        return True

    async def write_value(
        self, key: bytes, request_id: str, request: HttpRequest, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a write and answers it; returns whether the connection stays open."""
        self.record.add(self.name, f"write {request_id} run")
        for cache in self.caches.values():
            cache.values.pop(key, None)
        writer.write(http_answer(b"stored"))
        await writer.drain()
        return True

    def store(self, key: bytes, request_id: str, value: bytes) -> None:
        """Stores a value at the cache servers that missed for this request."""
        for cache in self.caches.values():
            if cache.missed.pop(request_id.encode(), None) is not None:
                cache.values[key] = value


class Discovery(Server):
    """Discovery: the complete list, and watches on its changes."""

    def __init__(self, record: Record) -> None:
        super().__init__("discovery", record)
        self.rev = 41
        self.targets: dict[str, dict[str, object]] = {}
        self.changes: list[tuple[int, str]] = []
        self.gone: dict[str, dict[str, object]] = {}
        self.changed = asyncio.Event()

    def add(self, name: str, endpoint: str, model: str, boot_ms: int = 0) -> None:
        self.targets[name] = {
            "uid": name, "endpoint": endpoint, "az": "a", "model": model, "pod_group": 0, "state": "Ready",
            "capacity_hint": 1.0, "boot_ms": boot_ms,
        }  # fmt: skip

    def full(self) -> dict[str, object]:
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_head(reader)) is not None:
            query = parse_qs(request.url.query)
            known = int(query["from"][0]) if "from" in query else None
            if known == self.rev:
                hold = min(60.0, int(query.get("hold_ms", ["0"])[0]) / 1000)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), hold)
            answer = self.full() if known is None else self.since(known)
            writer.write(http_answer(json.dumps(answer).encode()))
            await writer.drain()

    def since(self, known: int) -> dict[str, object]:
        names = dict.fromkeys(name for rev, name in self.changes if rev > known)
        entries = [self.targets.get(name) or self.gone[name] for name in names]
        return {"rev": self.rev, "all": False, "targets": entries}


class Router:
    """A router process, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, object], name: str = "n1") -> None:
        self.record, self.folder, self.config, self.name = record, folder, config, name
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        scratch = self.folder / f"tmp-{self.name}"
        scratch.mkdir(exist_ok=True)
        path = self.folder / f"config-{self.name}.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            **os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": str(self.config["listen"]),
            "BALANCER_DISCOVERY": str(self.config["discovery"]), "BALANCER_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }  # fmt: skip
        with (self.folder / f"router-{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("platform", f"router {self.name} started, process {self.process.pid}")

    def memory_mb(self) -> float:
        """Returns the resident memory of the process in MB; 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def wait_ready(self) -> bool:
        """Waits until the router answers PING with +PONG."""
        assert self.process is not None
        host, port = str(self.config["listen"]).rsplit(":", 1)
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline and self.process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(array(b"PING"))
                answer = await read_answer(reader)
                writer.close()
                if answer == b"+PONG":
                    self.record.add("platform", f"router {self.name} is ready")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self) -> None:
        """Ends the process that this case has started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(self.process.wait, 6)
            if self.process.poll() is None:
                self.process.kill()
                self.process.wait()

    def log_tail(self) -> None:
        text = (self.folder / f"router-{self.name}.log").read_text(encoding="utf-8", errors="replace")
        for line in text.splitlines()[-20:]:
            self.record.add(f"log of {self.name}", line)


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def request_class(
    name: str, aim_ms: int, deadline_ms: int, effect: str, window_ms: int = 0
) -> dict[str, object]:
    return {
        "name": name, "aim": aim_ms * MS, "deadline": deadline_ms * MS, "effect": effect, "group": "all",
        "repeatWindow": window_ms * MS, "gain": 1.0, "lateWorth": 0.0, "stream": False,
    }  # fmt: skip


def settings(classes: list[dict[str, object]]) -> dict[str, object]:
    """Returns the settings of a small deployment: one zone, one kind of cache server, and the origin."""
    return {
        "azs": ["a"], "balancers": 1, "classes": classes, "domainType": "cache",
        "hostTypes": ["m1", "origin"],
        "ceilings": {
            "attemptsCap": 4, "cancel": True, "dialTimeout": 250 * MS, "keepalive": 10 * SECOND,
            "maxRetryAfter": 1200 * MS, "mayDuplicate": True, "mayTell": False, "mostHeld": 20_000,
            "probing": False, "retryAfter": False, "streamsPerConn": 1,
        },
        "clients": {"marksRetry": False}, "layer": 0, "layers": ["cache"], "me": 0, "myZone": 0,
        "registryMode": "pushed", "report": {"names": ["backlog", "errors_per_s", "x0"], "via": "inline"},
        "safety": {
            "answerSlack": 20 * MS, "askWithin": 10 * SECOND, "coldFrom": 0.12, "fall": 2 * SECOND,
            "rampTime": 24 * SECOND, "stopSendingWithin": 500 * MS, "tipMultiple": 2.5,
        },
        "specifics": {"mode": "aside", "originKind": 1, "originFall": 3 * SECOND, "originFallMultiple": 0.0},
        "tenants": [], "tick": 5 * MS, "weights": "off", "worthBy": "work",
    }  # fmt: skip


def configuration(
    discovery: Discovery, listen: str, classes: list[dict[str, object]], memory_mb: int = 192
) -> dict[str, object]:
    return {
        "name": "n1", "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}, "known": discovery.full(),
        "settings": settings(classes),
    }  # fmt: skip


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Runs a case within 110 s, and exits with its code: broken, held, or could not run."""
    record = Record(folder / "record.txt")
    record.add("case", f"trouble {'on' if trouble() else 'off'}")

    async def limited(temporary: Path) -> int:
        async with asyncio.timeout(110):
            return await case(record, temporary)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(limited(Path(temporary)))
        except Exception as error:  # the case itself failed, which shows nothing about the router
            record.add("case", f"could not run: {error!r}")
            code = CANNOT_RUN
    record.add("case", {HOLDS: "the rule held", BROKEN: "the rule was broken"}.get(code, "could not run"))
    print((folder / "record.txt").read_text(encoding="utf-8").splitlines()[-1])
    sys.exit(code)
