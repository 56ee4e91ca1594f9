"""One run of the soak: the program between scripted servers and random clients, judged from outside.

A key says how the server of its value behaves, so that a retry meets the same behaviour. Some servers fail;
others are sound and slow, and not to be cut off. The classes are those of a deployment. The run ends with
SIGTERM, and SIGKILL as early as the platform sends it; clients use their connections until then.
"""

import asyncio
import contextlib
import math
import random
import signal
import socket
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from deployments import deployments, settings_of, silence_limit
from router_bench import MISS, Cache, Caller, Json, entry, hit, http
from soak_servers import Slowness, SlowOrigin, SoundAnswer, draw_slowness
from test_descriptors import connect_client, running_program
from test_discovery import listing
from test_request_time import LATE_LIMIT, STOPPED_PEER_LIMIT, Behaviour, Framing, State, behave, chunked
from test_shutdown_under_load import KILL_GRACE

from applehub.node.resp import command

MAX_DEADLINE = 3.0  # seconds; the platform counts longer deadlines as this
WAIT_FRACTIONS = (1 / 3, 2 / 3, 1)  # of the deadline of its class, for which a client waits
LOAD_TIME = 3.0  # seconds from the first request to SIGTERM
CLIENTS, CROWD = 10, 60
CACHES = 16  # cache servers; with few, the policy sheds most reads, as slow answers count as overload
SHORT_SIZE, LONG_SIZE = 3000, 200_000  # bytes
LARGE_WRITE, MAX_READ_TIME = 500_000, 1.2  # bytes, and seconds in which the origin reads them
MAX_LAG = 0.25  # seconds by which this process may be late; a run that is later is not judged
LAG_INTERVAL = 0.01  # seconds
# Seconds that the program may take from the end of an answer to its own, on a busy machine.
FORWARDING_TIME = 0.1
CLOSE_DELAY = 0.05  # seconds between a limit and the time at which a server finds its connection closed
# Fractions of reads whose server fails, and is slow; of commands; of batches; of writes; and of clients.
FAULTY, SLOW, WRITES, LEAVES, LARGE, SLOW_READERS = 0.25, 0.5, 0.25, 0.1, 0.2, 0.1
SLOW_READ, SLOW_READ_PAUSE = 16_384, 0.02  # bytes and seconds of a client that reads slowly
SEND_PAUSES = (0, 0, 0, 0, 0.1, 1.2)  # seconds for which a client rests within a batch


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
    """A request of a client.

    behaviour: that of a server that fails. slowness: that of a sound one. sent_at: event loop time in s.
    connection_lost: whether its client has left, or its connection has ended before its answer.
    answered_at: event loop time in seconds at which its client had the whole answer, infinite before.
    """

    id: bytes
    key: bytes
    site_class: Json
    wait: float  # seconds
    encoded: bytes
    framing: Framing | None = None  # of a read
    state: State = State.NO_HEAD
    behaviour: Behaviour | None = None
    slowness: Slowness | None = None
    read_time: float = 0.0  # seconds in which the origin reads the value of a write
    sent_at: float = math.inf
    connection_lost: bool = False
    answered_at: float = math.inf
    answers: list[SoundAnswer] = field(default_factory=list)

    @property
    def objective(self) -> float:
        """The seconds within which something of the response must have come."""
        return silence_limit(self.site_class, self.framing is not None and self.framing.from_origin)

    def is_owed(self, answer: SoundAnswer) -> bool:
        """Returns whether a sound server's answer was cut off before its time, and before its client left."""
        if self.connection_lost or self.answered_at < answer.cut_off_at:
            return False
        silent_until = self.sent_at + self.objective - CLOSE_DELAY
        ended_at_objective = answer.begun_at > silent_until and answer.cut_off_at > silent_until
        return answer.cut_off_at < self.sent_at + self.wait - CLOSE_DELAY and not ended_at_objective


@dataclass
class Run:
    """The state and the result of a run."""

    seed: int
    violations: list[str] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    forwarded: Counter[bytes] = field(default_factory=Counter)  # ids that a server has read completely
    executed: Counter[bytes] = field(default_factory=Counter)  # ids of writes
    stopping: bool = False
    stopped_at: float = math.inf  # event loop time in seconds of SIGTERM
    slow_readers: set[Caller] = field(default_factory=set)
    lag: float = 0.0  # the largest lateness of this process, in seconds

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.requests: dict[bytes, Request] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0
        self.first_at: dict[bytes, float] = {}  # event loop time in seconds of the first execution of a key
        self.deployment, classes = self.random.choice(list(deployments().items()))
        self.reads = [site_class for site_class in classes if not site_class.get("write")]
        self.writes = [site_class for site_class in classes if site_class.get("write")]
        self.settings = settings_of(classes)

    @property
    def kill_after(self) -> float:
        """The seconds from SIGTERM to SIGKILL."""
        longest: float = max(site_class["deadline_ms"] / 1000 for site_class in self.reads + self.writes)
        return min(longest, MAX_DEADLINE) + KILL_GRACE

    # Servers

    def respond(self, key: bytes, request_id: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Gives the response to a read as its key says."""
        request = self.requests[key]
        assert request.framing is not None
        self.forwarded[request_id] += 1
        response, given = request.framing.response, request.framing.given(request.state)
        if request.slowness is not None:
            answer = SoundAnswer(response[given:], request.slowness, bool(given), writer)
            request.answers.append(answer)
            self.tasks.add(asyncio.create_task(answer.give()))
        elif request.behaviour is not None:
            task = behave(request.framing, request.state, request.behaviour, writer)
            self.tasks.add(asyncio.create_task(task))
        else:
            return response
        return response[:given]

    def read_time_of(self, key: bytes) -> float:
        """Returns the seconds in which the origin reads the value of a write."""
        return self.requests[key].read_time

    def cache(self, parts: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        framing = self.requests[parts[1]].framing
        assert framing is not None
        return MISS if framing.from_origin else self.respond(parts[1], parts[2], writer)

    def origin(self, request: Any, writer: asyncio.StreamWriter) -> bytes | None:
        method, target, headers, _ = request
        key, request_id = target[1:], headers[b"x-call-id"]
        if method == b"GET":
            framing = self.requests[key].framing
            assert framing is not None
            # A read that no cache server can take goes to the origin, whoever was to answer it.
            is_meant = framing.from_origin
            return self.respond(key, request_id, writer) if is_meant else http(200, framing.value)
        self.forwarded[request_id] += 1
        self.execute(request_id, self.requests[key].site_class)
        match self.requests[key].behaviour:
            case Behaviour.SILENT:
                return None
            case Behaviour.RESET:
                writer.transport.abort()
                return None
            case _:
                return http(200, b"receipt")

    def execute(self, request_id: bytes, site_class: Json) -> None:
        """Executes a write, unless its key is remembered; the keys of the soak are the ids."""
        age = (now := asyncio.get_running_loop().time()) - self.first_at.setdefault(request_id, now)
        is_remembered = site_class["effect"] == "keyed" and age <= site_class["window_ms"] / 1000
        if not self.executed[request_id] or not is_remembered:
            self.executed[request_id] += 1

    # Clients

    def make_request(self) -> Request:
        """Returns a random request."""
        self.count += 1
        key, request_id = b"k%d" % self.count, b"%016x" % self.random.getrandbits(64)
        is_write = self.random.random() < WRITES
        site_class = self.random.choice(self.writes if is_write else self.reads)
        wait_ms = round(site_class["deadline_ms"] * self.random.choice(WAIT_FRACTIONS))
        info = b"c=%b,d=%d" % (site_class["name"].encode(), wait_ms)
        if site_class["effect"] == "keyed":
            info += b",k=" + request_id
        if is_write:
            request = self._make_write(key, request_id, site_class, wait_ms, info)
        else:
            encoded = command(b"C.GET", key, request_id, info)
            framing = framing_of(self.random.randrange(6), key)
            request = Request(request_id, key, site_class, wait_ms / 1000, encoded, framing)
            self._draw_behaviour(request)
        self.requests[key] = request
        return request

    def _make_write(
        self, key: bytes, request_id: bytes, site_class: Json, wait_ms: int, info: bytes
    ) -> Request:
        value, read_time = key * 10, 0.0
        if self.random.random() < LARGE:
            value, read_time = key * (LARGE_WRITE // len(key)), self.random.uniform(0, MAX_READ_TIME)
        encoded = command(b"C.SET", key, request_id, info, value)
        request = Request(request_id, key, site_class, wait_ms / 1000, encoded, read_time=read_time)
        request.behaviour = self.random.choice([None, None, Behaviour.SILENT, Behaviour.RESET])
        return request

    def _draw_behaviour(self, request: Request) -> None:
        """Draws how the server of a read behaves."""
        kind = self.random.random()
        if kind < FAULTY + SLOW:
            request.state = self.random.choice(list(State))
        if kind < FAULTY:
            request.behaviour = self.random.choice(list(Behaviour))
        elif kind < FAULTY + SLOW:
            request.slowness = draw_slowness(self.random, request.site_class, request.wait)

    def break_rule(self, request: Request, text: str) -> None:
        form = request.framing.name if request.framing is not None else "write"
        behaviour = request.behaviour or request.slowness
        self.violations.append(
            f"{text}: {request.id!r}, {request.site_class['name']} {request.wait} s, {form}, "
            f"{request.state}, {behaviour}"
        )

    async def client(self, address: tuple[str, int]) -> None:
        """Sends batches of requests and reads their answers, on new connections if one ends."""
        while not self.stopping:
            try:
                caller = await self.connect(address)
            except OSError:
                return
            with contextlib.suppress(OSError):
                while await self.exchange(caller, address):
                    await asyncio.sleep(self.random.uniform(0, 0.05))
            caller.writer.transport.abort()

    async def connect(self, address: tuple[str, int]) -> Caller:
        """Connects a client; some read slowly, with little room in the kernel."""
        if self.random.random() >= SLOW_READERS:
            return await connect_client(address)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        caller = Caller(*await asyncio.open_connection(sock=sock, limit=SLOW_READ))
        self.slow_readers.add(caller)
        return caller

    async def exchange(self, caller: Caller, address: tuple[str, int]) -> bool:
        """Sends one batch and reads its answers; returns whether the connection can be used further."""
        batch = [self.make_request() for _ in range(self.random.choice([1, 1, 1, 2, 3]))]
        await self.send(caller, batch)
        if self.random.random() < LEAVES:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            for request in batch:
                request.connection_lost = True
            caller.writer.transport.abort()
            await self.send_again(batch, address)
            return False
        for position, request in enumerate(batch):
            # The time of an answer counts from that of the one before it.
            due = max(request.sent_at + request.wait, asyncio.get_running_loop().time())
            if not await self.read_answer(caller, request, due):
                for unanswered in batch[position:]:
                    unanswered.connection_lost = True
                for later in batch[position + 1 :]:
                    if self.forwarded[later.id] and not self.stopping:
                        self.break_rule(later, f"forwarded behind {request.id!r} and never answered")
                return False
        return True

    async def send(self, caller: Caller, batch: list[Request]) -> None:
        """Sends a batch, and rests for a moment within one of its requests."""
        caller.writer.transport.set_write_buffer_limits(0)  # a request is sent once the kernel has all of it
        paused = self.random.choice(batch)
        for request in batch:
            cut = self.random.randrange(len(request.encoded))
            caller.writer.write(request.encoded[:cut])
            if request is paused:
                await asyncio.sleep(self.random.choice(SEND_PAUSES))
            caller.writer.write(request.encoded[cut:])
            await caller.writer.drain()
            request.sent_at = asyncio.get_running_loop().time()

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
        given_by = request.sent_at + request.wait - FORWARDING_TIME
        if line.startswith(b"-") and any(answer.complete_at < given_by for answer in request.answers):
            self.break_rule(request, f"{line!r} although the whole answer was given in time")
        return not line.startswith(b"$") or await self.read_value(caller, request, int(line[1:]))

    async def read_value(self, caller: Caller, request: Request, size: int) -> bool:
        """Reads the value of an answer and checks it; returns False if it was cut off."""
        data = b""
        while len(data) < size + 2:
            try:
                async with asyncio.timeout(STOPPED_PEER_LIMIT + MAX_LAG):
                    if caller in self.slow_readers:
                        await asyncio.sleep(SLOW_READ_PAUSE)
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
        request.answered_at = asyncio.get_running_loop().time()
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
        self.stopping, self.stopped_at = True, asyncio.get_running_loop().time()
        running.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(running.wait(), self.kill_after)
        with contextlib.suppress(ProcessLookupError):
            running.kill()

    def judge(self, running: asyncio.subprocess.Process) -> None:
        """Checks what holds over the whole run."""
        for request in self.requests.values():
            is_safe = request.site_class["effect"] == "safe"
            if request.framing is None and self.executed[request.id] > 1 and not is_safe:
                self.break_rule(request, f"executed {self.executed[request.id]} times")
            for answer in request.answers:
                if request.is_owed(answer) and answer.cut_off_at < self.stopped_at:
                    seconds = answer.cut_off_at - request.sent_at
                    self.break_rule(request, f"server cut off {seconds:.3f} s after the request was sent")
        if running.returncode not in (0, -signal.SIGKILL):
            self.violations.append(f"exit code {running.returncode}")


async def run_soak(seed: int, folder: Path) -> Run:
    """Plays one run."""
    run = Run(seed)
    caches, origin = [Cache(run.cache) for _ in range(CACHES)], SlowOrigin(run.origin, run.read_time_of)
    for peer in (*caches, origin):
        await peer.start()
    entries = [entry(f"c{number}", cache.address) for number, cache in enumerate(caches)]
    known = listing(3, *entries, entry("o", origin.address, model="origin"))
    async with running_program(folder, 1024, known=known, settings=run.settings) as program:
        running, addresses, _ = program
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
    for peer in (*caches, origin):
        await peer.stop()
    return run
