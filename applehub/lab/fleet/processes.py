"""Processes that the ground starts, and how they end with it.

The system sends each SIGKILL when the ground's own process is gone (PR_SET_PDEATHSIG), stopped ones too; the
ground's own also end with their standard input. Files are removed by the keeper, a process that waits for
that same end."""

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO

import orjson
import psutil

from applehub.events import EventKind, EventWriter, read_events
from applehub.lab.fleet.control import MOST_LINE, Json
from applehub.lab.live.bench import LiveError

PR_SET_PDEATHSIG = 1
START_WITHIN = 60.0  # s, on the busiest machine
KILLED_AFTER = 3.7  # s after SIGTERM, as on the platform
END_WITHIN = 10.0  # s that one of the ground's own has to end by itself
ROOT = str(Path(__file__).parents[3])
_libc = ctypes.CDLL(None, use_errno=True)
MB = 1 << 20


def _end_with(parent: int) -> Callable[[], None]:
    def prepare() -> None:
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:  # it went before the system was told
            os._exit(1)

    return prepare


def environment(**more: str) -> dict[str, str]:
    """This process's, less what a router would read_events, with the project's folder to import from."""
    path = os.pathsep.join(filter(None, [ROOT, os.environ.get("PYTHONPATH")]))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return {**kept, "PYTHONPATH": path, **more}


def start_keeper(folder: Path) -> "subprocess.Popen[bytes]":
    """Removes a folder once this process has ended, however it ended."""
    words = [sys.executable, "-m", "applehub.lab.fleet.keeper", str(folder)]
    return subprocess.Popen(words, stdin=subprocess.PIPE, env=environment(), start_new_session=True)


class Process:
    """One process and its incarnations: its name and folder stay, its ports need not."""

    ends_itself: frozenset[int] = frozenset()  # codes with which it ends when it has done its work

    def __init__(self, name: str, folder: Path, events: EventWriter) -> None:
        self.name, self.events = name, events
        self.folder = folder / name
        self.folder.mkdir()
        self.incarnation = 0
        self.process: asyncio.subprocess.Process | None = None
        self.planned = False  # whether its end is the ground's doing
        self.ended = asyncio.Event()
        self.crashed = asyncio.Event()  # it has ended without the ground's doing
        self._waits: set[asyncio.Task[None]] = set()
        self._watched: psutil.Process | None = None

    async def spawn(
        self,
        words: list[str],
        env: Mapping[str, str],
        pass_fds: tuple[int, ...] = (),
        control: bool = False,
        out: BinaryIO | None = None,
    ) -> asyncio.subprocess.Process:
        """Starts its next incarnation. control: told over its standard input, and answers on its standard
        output. out: where its standard output goes; else that goes to its log, and standard error is read."""
        self.incarnation += 1
        pipe = asyncio.subprocess.PIPE
        with open(self.folder / "stderr.log", "ab") as log:
            self.process = process = await asyncio.create_subprocess_exec(
                sys.executable, *words, env=env, pass_fds=pass_fds, limit=MOST_LINE,
                stdin=pipe if control else asyncio.subprocess.DEVNULL, stdout=pipe if control else out or log,
                stderr=log if control or out else pipe, preexec_fn=_end_with(os.getpid()),
            )  # fmt: skip
        self.planned, self.ended = False, asyncio.Event()
        self._watched = psutil.Process(process.pid)
        self.events.write(EventKind.STARTED, of=self.name, number=self.incarnation, pid=process.pid)
        task = asyncio.get_running_loop().create_task(self._wait(process, self.incarnation, self.ended))
        self._waits.add(task)
        task.add_done_callback(self._waits.discard)
        return process

    async def _wait(self, process: asyncio.subprocess.Process, number: int, ended: asyncio.Event) -> None:
        code = await process.wait()
        planned = self.planned or process is not self.process or code in self.ends_itself
        self.events.write(EventKind.EXITED, of=self.name, number=number, code=code, planned=planned)
        ended.set()
        if not planned:
            self.crashed.set()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        self.planned = True
        self.signal(signal.SIGKILL)
        await self.ended.wait()

    async def close(self) -> None:
        """Ends it at the end of the play."""
        await self.kill()

    def sample(self) -> None:
        """Writes down what it uses."""
        if self._watched is None or not self.running:
            return
        with suppress(psutil.Error):
            times = self._watched.cpu_times()
            self.events.write(
                EventKind.RESOURCE_SAMPLE,
                of=self.name,
                number=self.incarnation,
                cpu_s=round(times.user + times.system, 3),
                memory_mb=round(self._watched.memory_info().rss / MB, 1),
                descriptors=self._watched.num_fds(),
            )


class Standin(Process):
    """One of the ground's own, told what to do over its standard input."""

    def __init__(self, role: str, name: str, folder: Path, events: EventWriter) -> None:
        super().__init__(name, folder, events)
        self.role = role
        self.turn = asyncio.Lock()

    @property
    def events_file(self) -> Path:
        return self.folder / f"events-{self.incarnation}.jsonl"

    async def start(self, told: Json) -> Json:
        """Starts it; gives what it says when it is ready."""
        words = ["-m", "applehub.lab.fleet.standin", self.role]
        await self.spawn(words, environment(), control=True)
        whole = {
            **told, "role": self.role, "name": self.name, "incarnation": self.incarnation,
            "events": str(self.events_file),
        }  # fmt: skip
        answer = await self.ask(whole)
        self.events.write(
            EventKind.READY, of=self.name, number=self.incarnation, address=answer.get("address")
        )
        return answer

    async def close(self) -> None:
        """The end of its standard input ends it; SIGKILL where it does not heed that."""
        self.planned = True
        self.signal(signal.SIGCONT)
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), END_WITHIN)
        if self.running:
            await self.kill()

    async def ask(self, told: Json) -> Json:
        """Has a command carried out. Raises LiveError where the process has ended or does not answer."""
        process = self.process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self.turn:
            line = b""
            with suppress(OSError):
                process.stdin.write(orjson.dumps(told) + b"\n")
                await process.stdin.drain()
                line = await asyncio.wait_for(process.stdout.readline(), START_WITHIN)
        if not line:
            said = (self.folder / "stderr.log").read_text()[-800:]
            raise LiveError(f"{self.name} has ended: {said}")
        answer: Json = orjson.loads(line)
        return answer


class RegistryProcess(Process):
    """A replica of the project's list service; its events go to the history as it writes them."""

    def __init__(self, name: str, folder: Path, events: EventWriter) -> None:
        super().__init__(name, folder, events)
        self.listen = self.staff = ""

    async def start(self, lines: list[str]) -> None:
        """Starts it with a file of these lines; returns once it tells where it listens. Raises LiveError."""
        path = self.folder / "config.toml"
        path.write_text("\n".join([f'state_dir = "{self.folder / "state"}"', *lines]))
        events = self.folder / f"events-{self.incarnation + 1}.jsonl"
        with open(events, "ab") as out:
            await self.spawn(["-m", "applehub.registry", str(path)], environment(), out=out)
        loop = asyncio.get_running_loop()
        end = loop.time() + START_WITHIN
        while loop.time() < end and self.running:
            for one in read_events(events):
                if one.event is EventKind.READY:
                    self.listen, self.staff = one.fields["address"], one.fields["staff"]
                    self.events.write(
                        EventKind.READY, of=self.name, number=self.incarnation, address=self.listen
                    )
                    return
            await asyncio.sleep(0.02)
        said = (self.folder / "stderr.log").read_text()[-800:]
        raise LiveError(f"{self.name} is not ready: {said}")


class ControllerProcess(Process):
    """The controller of a release, which ends once that has ended."""

    ends_itself = frozenset((0, 3))

    async def start(self, plan: Path) -> None:
        """Starts it, with its own folder as it left it."""
        state = self.folder / "state"
        await self.spawn(["-m", "applehub.release", "start", str(plan), "--state", str(state)], environment())
        assert self.process is not None and self.process.stderr is not None
        reads = asyncio.get_running_loop().create_task(self._read(self.process.stderr))
        self._waits.add(reads)
        reads.add_done_callback(self._waits.discard)

    async def _read(self, stderr: asyncio.StreamReader) -> None:
        with open(self.folder / "stderr.log", "ab") as log:
            while line := await stderr.readline():
                log.write(line)

    async def finished(self) -> None:
        """Returns once it has ended by itself, over whatever ended it before."""
        while True:
            ended = self.ended
            await ended.wait()
            if self.process is not None and self.process.returncode in self.ends_itself:
                return
            while self.ended is ended:  # a fault that ended it starts it again
                await asyncio.sleep(0.02)


class RouterProcess(Process):
    """A router under `run`'s own command line, or with the shim where a plan wants a spoilt one."""

    def __init__(self, name: str, folder: Path, events: EventWriter) -> None:
        super().__init__(name, folder, events)
        self.disk, self.durable, self.control = (
            self.folder / part for part in ("disk", "durable", "control")
        )
        for one in (self.disk, self.durable, self.control):
            one.mkdir()
        self.listen = self.console = ""
        self._reads: set[asyncio.Task[None]] = set()

    def write(self, told: Json) -> None:
        """Writes its configuration."""
        (self.folder / "config.json").write_bytes(orjson.dumps(told))

    async def start(self, told: Json, shim: Json | None, inherited: int | None) -> None:
        """Starts its next incarnation; returns once it tells where it listens. Raises LiveError where it ends
        first."""
        self.write(told)
        more = {
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.disk),
            "BALANCER_CONSOLE": "127.0.0.1:0",
        }
        if inherited is not None:
            more["BALANCER_INHERITED_FD"] = str(inherited)
        words = ["-m", "applehub"]
        if shim is not None:
            folders = {"disk": str(self.disk), "durable": str(self.durable), "control": str(self.control)}
            words = ["-m", "applehub.lab.fleet.shim", orjson.dumps({**shim, **folders}).decode()]
        fds = () if inherited is None else (inherited,)
        process = await self.spawn(words, environment(**more), fds)
        listening = asyncio.get_running_loop().create_future()
        reads = asyncio.get_running_loop().create_task(self._read(process, listening))
        self._reads.add(reads)
        reads.add_done_callback(self._reads.discard)
        try:
            await asyncio.wait_for(listening, START_WITHIN)
        except TimeoutError:
            raise LiveError(f"{self.name} does not listen after {START_WITHIN:.0f} s") from None

    async def _read(self, process: asyncio.subprocess.Process, listening: "asyncio.Future[None]") -> None:
        """Keeps its log; learns the addresses that the system gave it."""
        assert process.stderr is not None
        with open(self.folder / "router.log", "ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                log.flush()
                if b" listening on " in line:
                    self.listen = line.split()[-1].decode()
                elif b" operators call at " in line:
                    self.console = line.split()[-1].decode()
                    if not listening.done():
                        listening.set_result(None)
        if not listening.done():
            said = (self.folder / "router.log").read_text()[-800:]
            listening.set_exception(LiveError(f"{self.name} has ended: {said}"))

    def counts(self, lines: list[str]) -> dict[str, float]:
        """What DUMP tells, as a release's gates have it: sums over all classes."""
        told = dict(line.partition("=")[::2] for line in lines if "=" in line)
        sums = dict.fromkeys(("ok", "shed", "errors"), 0)
        for name, value in told.items():
            if ".responses." in name:
                sums[name.rpartition(".")[2]] += int(value)
        return {
            "requests": sum(sums.values()), "refused": sums["shed"], "failed": sums["errors"],
            **{
                name: int(told.get(f"edge_balancer.{name}", 0))
                for name in ("config_applied", "config_rejected")
            },
        }  # fmt: skip

    def costs(self) -> dict[str, float]:
        """Processor time, s since its start, and memory, MB. Raises psutil.Error."""
        assert self._watched is not None
        times = self._watched.cpu_times()
        return {"cpu_s": times.user + times.system, "memory_mb": self._watched.memory_info().rss / MB}

    async def call(self, words: str) -> str:
        """An operator's call; gives the answer's first line, nothing where there is none."""
        return next(iter(await self.lines(words)), "")

    async def lines(self, words: str) -> list[str]:
        """The same; gives all lines."""
        host, _, port = self.console.rpartition(":")
        answer = b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(words.encode() + b"\n")
                answer = await reader.read()
                writer.close()
        return answer.decode().split("\n")

    async def ready(self, within: float = START_WITHIN) -> bool:
        """Waits for a yes to HEALTH."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while loop.time() < end and self.running:
            if await self.call("HEALTH") == "+OK":
                self.events.write(EventKind.READY, of=self.name, number=self.incarnation, address=self.listen)
                return True
            await asyncio.sleep(0.02)
        return False
