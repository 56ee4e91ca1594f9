"""One run of the soak: the program between scripted servers and random clients, judged from outside.

A key says how the server of its value behaves, so that a retry meets the same behaviour. The run ends with
SIGTERM, and SIGKILL as early as the platform sends it; clients use their connections until then.
"""

import asyncio
import contextlib
import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from router_bench import MISS, Cache, Caller, Web, entry, hit, http
from test_descriptors import connect_client, running_program
from test_discovery import listing
from test_request_time import LATE_LIMIT, STOPPED_PEER_LIMIT, Behaviour, Framing, State, behave, chunked
from test_shutdown_under_load import KILL_GRACE, settings_with_deadline

from applehub.node.resp import command

DEADLINE = 0.6  # seconds; of each class
IDEMPOTENCY_WINDOW = DEADLINE / 2  # seconds for which the origin remembers a key
WAITS_MS = (200, 400, 600)
LOAD_TIME = 3.0  # seconds from the first request to SIGTERM
CLIENTS, CROWD = 10, 60
SHORT_SIZE, LONG_SIZE = 3000, 200_000  # bytes
MAX_LAG = 0.25  # seconds by which this process may be late; a run that is later is not judged
LAG_INTERVAL = 0.01  # seconds
FAULTY, WRITES, LEAVES = 0.4, 0.25, 0.1  # fractions of reads, of commands and of batches


def framing_of(number: int, key: bytes) -> Framing:
    """Returns the form of the response to a key, whose value repeats the key."""
    value = (key + b"/") * ((SHORT_SIZE if number % 2 else LONG_SIZE) // (len(key) + 1))
    match number // 2:
        case 0:
            return Framing("RESP", value, hit(value), False, is_passed_on=not number % 2)
        case 1:
            return Framing("HTTP with length", value, http(200, value), True, is_passed_on=not number % 2)
        case _:
            return Framing("HTTP, chunked", value, chunked(value), True)


@dataclass
class Request:
    """A request of a client. behaviour: that of its server, None if it gives the whole response."""

    id: bytes
    key: bytes
    wait: float  # seconds
    encoded: bytes
    framing: Framing | None = None  # of a read
    state: State = State.NO_HEAD
    behaviour: Behaviour | None = None


@dataclass
class Run:
    """The state and the result of a run."""

    seed: int
    violations: list[str] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    forwarded: Counter[bytes] = field(default_factory=Counter)  # ids that a server has read completely
    executed: Counter[bytes] = field(default_factory=Counter)  # ids of writes
    stopping: bool = False
    lag: float = 0.0  # the largest lateness of this process, in seconds

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.requests: dict[bytes, Request] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0
        self.first_at: dict[bytes, float] = {}  # event loop time in seconds of the first execution of a key

    # Servers

    def respond(self, key: bytes, request_id: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Gives the response to a read as its key says."""
        request = self.requests[key]
        assert request.framing is not None
        self.forwarded[request_id] += 1
        if request.behaviour is None:
            return request.framing.response
        task = asyncio.create_task(behave(request.framing, request.state, request.behaviour, writer))
        self.tasks.add(task)
        return request.framing.response[: request.framing.given(request.state)]

    def cache(self, parts: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        framing = self.requests[parts[1]].framing
        assert framing is not None
        return MISS if framing.from_origin else self.respond(parts[1], parts[2], writer)

    def origin(self, request: Any, writer: asyncio.StreamWriter) -> bytes | None:
        method, target, headers, _ = request
        key, request_id = target[1:], headers[b"x-call-id"]
        if method == b"GET":
            return self.respond(key, request_id, writer)
        self.forwarded[request_id] += 1
        self.execute(request_id, is_keyed=b"c=put" in headers[b"x-call-info"])
        match self.requests[key].behaviour:
            case Behaviour.SILENT:
                return None
            case Behaviour.RESET:
                writer.transport.abort()
                return None
            case _:
                return http(200, b"receipt")

    def execute(self, request_id: bytes, is_keyed: bool) -> None:
        """Executes a write, unless its key is remembered; the keys of the soak are the ids."""
        now = asyncio.get_running_loop().time()
        if (
            is_keyed
            and now - self.first_at.setdefault(request_id, now) <= IDEMPOTENCY_WINDOW
            and (self.executed[request_id])
        ):
            return
        self.executed[request_id] += 1

    # Clients

    def make_request(self) -> Request:
        """Returns a random request."""
        self.count += 1
        key, wait_ms = b"k%d" % self.count, self.random.choice(WAITS_MS)
        request_id = b"%016x" % self.random.getrandbits(64)
        if self.random.random() < WRITES:
            info = self.random.choice([b"c=once", b"c=put,k=%b" % request_id]) + b",d=%d" % wait_ms
            request = Request(
                request_id, key, wait_ms / 1000, command(b"C.SET", key, request_id, info, key * 10)
            )
            request.behaviour = self.random.choice([None, None, Behaviour.SILENT, Behaviour.RESET])
        else:
            encoded = command(b"C.GET", key, request_id, b"c=read,d=%d" % wait_ms)
            framing = framing_of(self.random.randrange(6), key)
            request = Request(request_id, key, wait_ms / 1000, encoded, framing)
            if self.random.random() < FAULTY:
                request.state = self.random.choice(list(State))
                request.behaviour = self.random.choice(list(Behaviour))
        self.requests[key] = request
        return request

    def break_rule(self, request: Request, text: str) -> None:
        form = request.framing.name if request.framing is not None else "write"
        self.violations.append(f"{text}: {request.id!r}, {form}, {request.state}, {request.behaviour}")

    async def client(self, address: tuple[str, int]) -> None:
        """Sends batches of requests and reads their answers, on new connections if one ends."""
        while not self.stopping:
            try:
                caller = await connect_client(address)
            except OSError:
                return
            with contextlib.suppress(OSError):
                while await self.exchange(caller, address):
                    await asyncio.sleep(self.random.uniform(0, 0.05))
            caller.writer.transport.abort()

    async def exchange(self, caller: Caller, address: tuple[str, int]) -> bool:
        """Sends one batch and reads its answers; returns whether the connection can be used further."""
        batch = [self.make_request() for _ in range(self.random.choice([1, 1, 1, 2, 3]))]
        data = b"".join(request.encoded for request in batch)
        cut = self.random.randrange(len(data))
        caller.writer.write(data[:cut])
        await asyncio.sleep(self.random.choice([0, 0, 0.1]))
        caller.writer.write(data[cut:])
        if self.random.random() < LEAVES:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            caller.writer.transport.abort()
            await self.send_again(batch, address)
            return False
        started = asyncio.get_running_loop().time()
        for position, request in enumerate(batch):
            # The time of an answer counts from that of the one before it.
            due = max(started + request.wait, asyncio.get_running_loop().time())
            if not await self.read_answer(caller, request, due):
                for later in batch[position + 1 :]:
                    if self.forwarded[later.id] and not self.stopping:
                        self.break_rule(later, f"forwarded behind {request.id!r} and never answered")
                return False
        return True

    async def send_again(self, batch: list[Request], address: tuple[str, int]) -> None:
        """Sends the ids of the writes once more after their client has left."""
        await asyncio.sleep(self.random.choice([0.0, 0.5]))
        again = [request for request in batch if request.framing is None and self.forwarded[request.id]]
        with contextlib.suppress(OSError):
            caller = await connect_client(address)
            for request in again:
                caller.writer.write(request.encoded)
            await asyncio.sleep(0.2)
            caller.writer.transport.abort()

    async def read_answer(self, caller: Caller, request: Request, due: float) -> bool:
        """Reads one answer and checks it; returns False if the connection has ended."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(due + LATE_LIMIT + MAX_LAG):
                line = await caller.reader.readline()
        except TimeoutError:
            if not self.stopping:
                self.break_rule(request, f"no answer {loop.time() - due:.2f} s after its time")
            return False
        if not line:
            if self.forwarded[request.id] or not self.stopping:
                self.break_rule(request, "closed without an answer")
            return False
        self.results[line[:5].decode()] += 1
        return not line.startswith(b"$") or await self.read_value(caller, request, int(line[1:]))

    async def read_value(self, caller: Caller, request: Request, size: int) -> bool:
        """Reads the value of an answer and checks it; returns False if it was cut off."""
        data = b""
        while len(data) < size + 2:
            try:
                async with asyncio.timeout(STOPPED_PEER_LIMIT + MAX_LAG):
                    received = await caller.reader.read(size + 2 - len(data))
            except TimeoutError:
                self.break_rule(request, "neither more of the value nor a close")
                return False
            except ConnectionError:
                received = b""
            if not received:
                if not self.stopping and request.behaviour in (None, Behaviour.STEADY):
                    self.break_rule(request, f"cut off after {len(data)} of {size} bytes")
                self.results["cut off"] += 1
                return False
            data += received
        expected = request.framing.value if request.framing is not None else b"receipt"
        if data != expected + b"\r\n":
            self.break_rule(request, "another value")
        return True

    # Signals

    async def measure_lag(self) -> None:
        """Measures how late this process runs its timers."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_INTERVAL)
            self.lag = max(self.lag, loop.time() - before - LAG_INTERVAL)

    async def signals(self, running: asyncio.subprocess.Process) -> None:
        """Sends a series of SIGHUP, then SIGTERM, and SIGKILL at the earliest time."""
        for _ in range(self.random.randrange(4)):
            await asyncio.sleep(self.random.uniform(0, LOAD_TIME / 4))
            running.send_signal(signal.SIGHUP)
        await asyncio.sleep(LOAD_TIME / 2)
        self.stopping = True
        running.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(running.wait(), DEADLINE + KILL_GRACE)
        with contextlib.suppress(ProcessLookupError):
            running.kill()

    def judge(self, running: asyncio.subprocess.Process) -> None:
        """Checks what holds over the whole run."""
        for request in self.requests.values():
            if request.framing is None and self.executed[request.id] > 1:
                self.break_rule(request, f"executed {self.executed[request.id]} times")
        if running.returncode not in (0, -signal.SIGKILL):
            self.violations.append(f"exit code {running.returncode}")


async def run_soak(seed: int, folder: Path) -> Run:
    """Plays one run."""
    run = Run(seed)
    cache, origin = Cache(run.cache), Web(run.origin)
    await cache.start()
    await origin.start()
    known = listing(3, entry("c0", cache.address), entry("o", origin.address, model="origin"))
    settings = settings_with_deadline(DEADLINE)
    async with running_program(folder, 1024, known=known, settings=settings) as (running, addresses, _):
        address = addresses["INFO listening on"]
        lag_task = asyncio.create_task(run.measure_lag())
        count = CROWD if run.random.random() < 0.2 else CLIENTS
        clients = [asyncio.create_task(run.client(address)) for _ in range(count)]
        await run.signals(running)
        await running.wait()
        await asyncio.gather(*clients)
        lag_task.cancel()
        run.judge(running)
    for task in run.tasks:
        task.cancel()
    for peer in (cache, origin):
        await peer.stop()
    return run
