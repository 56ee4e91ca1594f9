"""Stand-ins for cases 6 to 10: discovery, cache servers, the origin, clients and the platform.

They follow the protocol page and use the standard library alone. The router runs as a separate process, with
the command `run` of the deploy file. Everything listens on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

ROOT = Path(__file__).resolve().parent.parent
NS, MS = 1_000_000_000, 1_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE = 0.07  # seconds: `safety.answerSlack` and 50 ms for sockets
LINGER_RESET = struct.pack("ii", 1, 0)


class Record:
    """Collects the lines of record.txt, which is written when the case ends."""

    def __init__(self, folder: Path) -> None:
        self.path, self.started_at, self.lines = folder / "record.txt", time.monotonic(), []
        self.path.write_text("the case was ended before its end\n")

    def note(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def settings(**changes: object) -> dict:
    """The settings of a small deployment, in the form of the wire page's sample."""
    second = NS
    info = {
        "azs": ["santiago"],
        "balancers": 1,
        "ceilings": {
            "attemptsCap": 4, "cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500_000,
            "dialTimeout": 120 * MS, "keepalive": 10 * second, "maxRetryAfter": 1200 * MS,
            "mayDuplicate": True, "mayTell": False, "mostHeld": 20_000, "probing": True, "retryAfter": False,
            "streamsPerConn": 1,
        },
        "classes": [
            {"aim": 300 * MS, "deadline": 600 * MS, "effect": "safe", "gain": 3.0, "group": "all",
             "lateWorth": 0.0, "name": "consulta", "repeatWindow": 5 * second, "stream": False},
            {"aim": 300 * MS, "deadline": 1000 * MS, "effect": "keyed", "gain": 10.0, "group": "all",
             "lateWorth": 0.0, "name": "reserva", "repeatWindow": 2 * second, "stream": False},
            {"aim": 600 * MS, "deadline": 2500 * MS, "effect": "unsafe", "gain": 2.0, "group": "all",
             "lateWorth": 0.0, "name": "despacho", "repeatWindow": 5 * second, "stream": False},
        ],
        "clients": {"marksRetry": False},
        "domainType": "cache",
        "goal": {"whole": 0.55, "worstClass": 0.35, "worstTenant": 0.0, "worstWindow": 0.1},
        "hostTypes": ["doble", "simple", "origin"],
        "layer": 0, "layers": ["cache-catalogo"], "me": 0, "myZone": 0, "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.03, "handshake": 0.02, "lateFail": 0.12, "moves": 0.0,
                   "origin": 0.0, "peer": 0.0, "probe": 0.01, "registryMode": 0.0, "waste": 0.029},
        "registryMode": "on_request",
        "report": {"names": ["backlog", "errors_per_s", "x0"], "via": "inline"},
        "safety": {"answerSlack": 20 * MS, "askWithin": 10 * second, "coldFrom": 0.12, "fall": 2 * second,
                   "rampTime": 24 * second, "stopSendingWithin": 500 * MS, "tipMultiple": 2.5},
        "specifics": {"mode": "aside", "notes": "1 hit, 2 miss, 3 miss", "originFall": 3 * second,
                      "originFallMultiple": 0.0, "originKind": 2, "reportX0": "share of hits, lately",
                      "reportX1": "fetches out"},
        "tenants": [], "tick": 5 * MS, "weights": "off", "worthBy": "work",
    }  # fmt: skip
    return info | changes


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return probe.getsockname()[1]


class Discovery:
    """The list of servers: the whole list, or a watch on its changes."""

    def __init__(self, record: Record) -> None:
        self.record, self.rev, self.targets = record, 41, {}
        self.changed = asyncio.Condition()
        self.history: list[tuple[int, str]] = []  # version and name of each change
        self.port, self.answered_at = 0, 0.0  # monotonic time of the last answer

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, name: str, port: int, model: str, boot_ms: int = 0) -> None:
        self.targets[name] = {
            "uid": name, "endpoint": f"127.0.0.1:{port}", "az": "santiago", "model": model, "pod_group": 0,
            "state": "Ready", "capacity_hint": 1.0, "boot_ms": boot_ms,
        }  # fmt: skip

    def full(self) -> dict:
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    async def change(self, name: str, **fields: object) -> None:
        """Tells a change of one server."""
        async with self.changed:
            self.rev += 1
            self.targets[name] |= fields
            self.history.append((self.rev, name))
            self.changed.notify_all()
        self.record.note(f"discovery: version {self.rev}: {name} {fields}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
                answer = json.dumps(await self._answer(query)).encode()
                self.answered_at = time.monotonic()
                self.record.note(f"discovery: answers {query} with version {self.rev}")
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(answer), answer)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, query: dict) -> dict:
        if "from" not in query:
            return self.full()
        since, hold = int(query["from"][0]), int(query.get("hold_ms", ["0"])[0]) / 1000
        async with self.changed:
            if self.rev <= since and hold:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > since), hold)
        names = {name for rev, name in self.history if rev > since}
        targets = [self.targets[name] for name in self.targets if name in names]
        return {"rev": self.rev, "all": False, "targets": targets}


Hook = Callable[["CacheServer", list[bytes], asyncio.StreamWriter], Awaitable[bool]]


class CacheServer:
    """A cache server: stores values, answers a miss for a key that it lacks.

    hook: may answer a command in its place, and then returns True.
    """

    def __init__(self, name: str, record: Record, hook: Hook | None = None) -> None:
        self.name, self.record, self.hook = name, record, hook
        self.values: dict[bytes, bytes] = {}
        self.port, self.server = 0, None
        self.writers: set[asyncio.StreamWriter] = set()
        self.asked: list[tuple[bytes, bytes]] = []  # key and id of each command

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends the process: resets its connections, refuses new ones, and forgets its values."""
        self.server.close()
        writers, self.writers = self.writers, set()
        for writer in writers:
            reset(writer)
        self.values.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        no_delay(writer)
        answering = ""
        try:
            while True:
                parts = await read_command(reader)
                if parts[0].upper() in (b"C.GET", b"C.SET"):
                    self.asked.append((parts[1], parts[2]))
                    self.record.note(f"{self.name}: {show(parts)}")
                await self._answer(parts, writer)
                answering = parts[2].decode() if len(parts) > 2 else ""
                await writer.drain()
        except asyncio.IncompleteReadError:
            pass
        except OSError:
            if writer in self.writers:
                self.record.note(f"{self.name}: the router broke the connection; last request: {answering}")
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        name = parts[0].upper()
        if name == b"PING":
            writer.write(b"+PONG\r\n")
        elif name not in (b"C.GET", b"C.SET"):
            writer.write(b"-ERR\r\n")
        elif self.hook is None or not await self.hook(self, parts, writer):
            writer.write(self.reply(parts))

    def reply(self, parts: list[bytes]) -> bytes:
        value = self.values.get(parts[1]) if parts[0].upper() == b"C.GET" else None
        load = bulk(b"backlog=0,errors_per_s=0,x0=0.9")
        if value is None:
            return b"*3\r\n$-1\r\n" + bulk(b"miss") + load
        return b"*3\r\n" + bulk(value) + bulk(b"hit") + load


class Origin:
    """The origin: reads return the value of the key, writes a receipt; a read's value is then stored."""

    def __init__(self, record: Record, caches: list[CacheServer], delay: float = 0.04) -> None:
        self.record, self.caches, self.delay, self.port = record, caches, delay, 0
        self.value_of: Callable[[bytes], bytes] = lambda key: b"value of " + key
        self.ran: list[tuple[str, bytes, bytes]] = []  # method, key and id of what was carried out

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        no_delay(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {
                    name.lower(): text.strip()
                    for name, _, text in (line.partition(":") for line in lines[1:])
                }
                await reader.readexactly(int(headers.get("content-length", "0")))
                key, call_id = unquote_to_bytes(target[1:]), headers.get("x-call-id", "").encode()
                self.record.note(f"origin: {method} {key.decode()} {call_id.decode()}")
                await asyncio.sleep(self.delay)
                self.ran.append((method, key, call_id))
                body = self.value_of(key) if method == "GET" else b"receipt " + call_id
                for cache in self.caches:
                    if method == "PUT":
                        cache.values.pop(key, None)
                    elif (key, call_id) in cache.asked:
                        cache.values[key] = body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def no_delay(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(parts), b"".join(map(bulk, parts)))


def show(parts: list[bytes]) -> str:
    words = [part.decode() if len(part) < 60 else f"({len(part)} bytes)" for part in parts]
    return " ".join(words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


class Client:
    """A client's connection, on a plain socket so that it decides when it reads.

    segment: size of the segments on its path, as on a network whose packets hold 1,500 bytes.
    """

    def __init__(self, address: tuple[str, int], receive_buffer: int = 0, segment: int = 0) -> None:
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.address, self.buffer, self.loop = address, b"", asyncio.get_running_loop()

    async def connect(self) -> "Client":
        await self.loop.sock_connect(self.sock, self.address)
        return self

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    async def read_some(self, size: int) -> bytes:
        return await self.loop.sock_recv(self.sock, size)

    async def _line(self) -> bytes:
        while b"\r\n" not in self.buffer:
            data = await self.read_some(65_536)
            if not data:
                raise ConnectionError("closed without a whole answer")
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    async def answer(self, wait: float) -> bytes:
        """Returns the next answer: the value of a bulk string, or the line. Raises TimeoutError, OSError."""
        async with asyncio.timeout(wait):
            line = await self._line()
            if not line.startswith(b"$"):
                return line
            size = int(line[1:])
            while len(self.buffer) < size + 2:
                data = await self.read_some(1 << 20)
                if not data:
                    raise ConnectionError("closed within the value")
                self.buffer += data
            value, self.buffer = self.buffer[:size], self.buffer[size + 2 :]
            return value

    def close(self) -> None:
        self.sock.close()


class Router:
    """One router, started by `run` of the deploy file."""

    def __init__(self, record: Record, discovery: Discovery, info: dict, memory_mb: int = 128) -> None:
        self.record, self.folder = record, Path(tempfile.mkdtemp(prefix="case-"))
        self.port, self.console_port = free_port(), free_port()
        self.config = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964", "console": f"127.0.0.1:{self.console_port}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.full(), "settings": info,
        }  # fmt: skip
        self.processes: list[asyncio.subprocess.Process] = []
        self.log_path = Path(os.environ.get("CASE_LOG", "/dev/null"))
        self.listener: socket.socket | None = None

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def inherit(self) -> None:
        """Holds the clients' listening socket, as the platform does on the days with upgrades."""
        self.listener = socket.create_server(self.address, backlog=1024)
        os.dup2(self.listener.fileno(), 7)

    async def start(self, console_port: int = 0) -> asyncio.subprocess.Process:
        """Starts a process; waits until it answers PING, at a console of its own if one is named."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"], "TMPDIR": str(temporary), "BALANCER_CONFIG": str(path),
            "BALANCER_NAME": "n1", "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONSOLE": f"127.0.0.1:{console_port or self.console_port}",
        }  # fmt: skip
        if "APPLEHUB_LOG" in os.environ:
            environment["APPLEHUB_LOG"] = os.environ["APPLEHUB_LOG"]
        if self.listener is not None:
            environment["BALANCER_INHERITED_FD"] = "7"
        with self.log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log,
                pass_fds=(7,) if self.listener is not None else (),
            )  # fmt: skip
        self.processes.append(process)
        self.record.note(f"platform: started process {process.pid}")
        if console_port:
            await self._until(lambda: self.health(console_port))
        else:
            await self._until(self._ping)
        return process

    async def _until(self, ready: Callable[[], Awaitable[bool]]) -> None:
        for _ in range(200):
            try:
                if await ready():
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the router is not ready")

    async def _ping(self) -> bool:
        client = Client(self.address)
        try:
            await client.connect()
            await client.send(command(b"PING"))
            return await client.answer(1) == b"+PONG"
        finally:
            client.close()

    async def health(self, port: int) -> bool:
        return (await self.call("HEALTH", port)).startswith("+OK")

    async def call(self, line: str, port: int = 0) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.console_port)
        writer.write(line.encode() + b"\n")
        try:
            async with asyncio.timeout(1):
                return (await reader.read()).decode()
        finally:
            writer.close()

    def alive(self) -> bool:
        return all(process.returncode is None for process in self.processes)

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def peak_memory_mb(pid: int) -> float:
    """Peak resident memory of a process."""
    return _status_mb(pid, "VmHWM")


def memory_mb(pid: int) -> float:
    """Resident memory of a process."""
    return _status_mb(pid, "VmRSS")


def _status_mb(pid: int, name: str) -> float:
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith(name)), 0.0)


def main(folder: str, case: Callable[[Record, list[Router]], Awaitable[int]], limit: float = 110) -> None:
    """Runs a case and exits with its code; ends all processes that it started."""
    record, routers = Record(Path(folder).resolve().parent), []

    async def run() -> int:
        # Connections that are still open when the case ends are cancelled with it.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(limit):
                return await case(record, routers)
        except Exception as error:
            record.note(f"the case could not run: {type(error).__name__}: {error}")
            return COULD_NOT_RUN
        finally:
            for router in routers:
                await router.end()

    code = asyncio.run(run())
    record.note(f"exit code {code}, TROUBLE={int(TROUBLE)}")
    record.write()
    print(record.lines[-1])
    sys.exit(code)
