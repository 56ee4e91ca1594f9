"""Child processes of the test harness.

No child process outlives the harness: the kernel sends each SIGKILL when the harness exits
(PR_SET_PDEATHSIG), and a stand-in also exits at the end of its standard input. A separate
process, folder_cleanup.py, removes the files."""

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
from applehub.lab.fleet.control import MAX_LINE_BYTES, Json
from applehub.lab.live.bench import LiveError

PR_SET_PDEATHSIG = 1
START_TIMEOUT_S = 60.0
KILL_DELAY_S = 3.7  # time from SIGTERM to SIGKILL, as on the platform
EXIT_TIMEOUT_S = 10.0  # time allowed for a stand-in to exit by itself
PROJECT_ROOT = str(Path(__file__).parents[3])
_libc = ctypes.CDLL(None, use_errno=True)
MB = 1 << 20


def _exit_with_parent(parent: int) -> Callable[[], None]:
    def prepare() -> None:
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:  # the parent exited before prctl was called
            os._exit(1)

    return prepare


def environment(**variables: str) -> dict[str, str]:
    """Returns this environment without BALANCER_ variables, with PYTHONPATH set, and with `variables`."""
    path = os.pathsep.join(filter(None, [PROJECT_ROOT, os.environ.get("PYTHONPATH")]))
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return {**inherited, "PYTHONPATH": path, **variables}


def start_folder_cleanup(folder: Path) -> "subprocess.Popen[bytes]":
    """Starts a process that removes the folder once this process has ended for any reason."""
    arguments = [sys.executable, "-m", "applehub.lab.fleet.folder_cleanup", str(folder)]
    return subprocess.Popen(arguments, stdin=subprocess.PIPE, env=environment(), start_new_session=True)


class Process:
    """A child process and its restarts: all incarnations share the name and the folder."""

    expected_exit_codes: frozenset[int] = (
        frozenset()
    )  # codes with which the process exits once its work is complete

    def __init__(self, name: str, folder: Path, events: EventWriter) -> None:
        self.name, self.events = name, events
        self.folder = folder / name
        self.folder.mkdir()
        self.incarnation = 0
        self.process: asyncio.subprocess.Process | None = None
        self.planned = False  # whether the harness has requested the exit
        self.ended = asyncio.Event()
        self.crashed = asyncio.Event()  # set when the process exits unplanned
        self._tasks: set[asyncio.Task[None]] = set()
        self._psutil_process: psutil.Process | None = None

    async def spawn(
        self,
        arguments: list[str],
        env: Mapping[str, str],
        pass_fds: tuple[int, ...] = (),
        control: bool = False,
        out: BinaryIO | None = None,
    ) -> asyncio.subprocess.Process:
        """Starts the next incarnation.

        control: whether standard input and output are pipes for commands and replies.
        out: file for standard output. Without control and out, standard output goes to the log, and
        standard error is a pipe."""
        self.incarnation += 1
        pipe = asyncio.subprocess.PIPE
        with open(self.folder / "stderr.log", "ab") as log:
            self.process = process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, env=env, pass_fds=pass_fds, limit=MAX_LINE_BYTES,
                stdin=pipe if control else asyncio.subprocess.DEVNULL, stdout=pipe if control else out or log,
                stderr=log if control or out else pipe, preexec_fn=_exit_with_parent(os.getpid()),
            )  # fmt: skip
        self.planned, self.ended = False, asyncio.Event()
        self._psutil_process = psutil.Process(process.pid)
        self.events.write(EventKind.STARTED, of=self.name, number=self.incarnation, pid=process.pid)
        task = asyncio.get_running_loop().create_task(self._wait(process, self.incarnation, self.ended))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return process

    async def _wait(self, process: asyncio.subprocess.Process, number: int, ended: asyncio.Event) -> None:
        code = await process.wait()
        planned = self.planned or process is not self.process or code in self.expected_exit_codes
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
        """Ends the process when the run ends."""
        await self.kill()

    def sample(self) -> None:
        """Records the CPU time, memory and number of file descriptors of the process."""
        if self._psutil_process is None or not self.running:
            return
        with suppress(psutil.Error):
            times = self._psutil_process.cpu_times()
            self.events.write(
                EventKind.RESOURCE_SAMPLE,
                of=self.name,
                number=self.incarnation,
                cpu_s=round(times.user + times.system, 3),
                memory_mb=round(self._psutil_process.memory_info().rss / MB, 1),
                descriptors=self._psutil_process.num_fds(),
            )


class Standin(Process):
    """A stand-in process of the harness, controlled through its standard input and output."""

    def __init__(self, role: str, name: str, folder: Path, events: EventWriter) -> None:
        super().__init__(name, folder, events)
        self.role = role
        self.lock = asyncio.Lock()

    @property
    def events_file(self) -> Path:
        return self.folder / f"events-{self.incarnation}.jsonl"

    async def start(self, config: Json) -> Json:
        """Starts the process, waits until it is ready and returns its first reply. Raises LiveError."""
        arguments = ["-m", "applehub.lab.fleet.standin", self.role]
        await self.spawn(arguments, environment(), control=True)
        message = {
            **config, "role": self.role, "name": self.name, "incarnation": self.incarnation,
            "events": str(self.events_file),
        }  # fmt: skip
        answer = await self.send_command(message)
        self.events.write(
            EventKind.READY, of=self.name, number=self.incarnation, address=answer.get("address")
        )
        return answer

    async def close(self) -> None:
        """Closes standard input, which makes the process exit; sends SIGKILL after a timeout."""
        self.planned = True
        self.signal(signal.SIGCONT)
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), EXIT_TIMEOUT_S)
        if self.running:
            await self.kill()

    async def send_command(self, message: Json) -> Json:
        """Sends a command and returns the reply. Raises LiveError if there is no reply."""
        process = self.process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self.lock:
            line = b""
            with suppress(OSError):
                process.stdin.write(orjson.dumps(message) + b"\n")
                await process.stdin.drain()
                line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            log_tail = (self.folder / "stderr.log").read_text()[-800:]
            raise LiveError(f"{self.name} did not reply: {log_tail}")
        answer: Json = orjson.loads(line)
        return answer


class RegistryProcess(Process):
    """A replica of the list service; its standard output is its events file."""

    def __init__(self, name: str, folder: Path, events: EventWriter) -> None:
        super().__init__(name, folder, events)
        self.listen = self.staff = ""

    async def start(self, lines: list[str]) -> None:
        """Starts the replica with these lines of configuration; waits for its addresses. Raises LiveError."""
        path = self.folder / "config.toml"
        path.write_text("\n".join([f'state_dir = "{self.folder / "state"}"', *lines]))
        events = self.folder / f"events-{self.incarnation + 1}.jsonl"
        with open(events, "ab") as out:
            await self.spawn(["-m", "applehub.registry", str(path)], environment(), out=out)
        loop = asyncio.get_running_loop()
        end = loop.time() + START_TIMEOUT_S
        while loop.time() < end and self.running:
            for record in read_events(events):
                if record.event is EventKind.READY:
                    self.listen, self.staff = record.fields["address"], record.fields["staff"]
                    self.events.write(
                        EventKind.READY, of=self.name, number=self.incarnation, address=self.listen
                    )
                    return
            await asyncio.sleep(0.02)
        log_tail = (self.folder / "stderr.log").read_text()[-800:]
        raise LiveError(f"{self.name} did not become ready: {log_tail}")


class ControllerProcess(Process):
    """The controller of a release; it exits when the release is over."""

    expected_exit_codes = frozenset((0, 3))

    async def start(self, plan: Path) -> None:
        """Starts the controller on its state folder, so that it resumes a release in progress."""
        state = self.folder / "state"
        await self.spawn(["-m", "applehub.release", "start", str(plan), "--state", str(state)], environment())
        assert self.process is not None and self.process.stderr is not None
        reader_task = asyncio.get_running_loop().create_task(self._read(self.process.stderr))
        self._tasks.add(reader_task)
        reader_task.add_done_callback(self._tasks.discard)

    async def _read(self, stderr: asyncio.StreamReader) -> None:
        with open(self.folder / "stderr.log", "ab") as log:
            while line := await stderr.readline():
                log.write(line)

    async def finished(self) -> None:
        """Waits until the controller has exited by itself, across kills and restarts by faults."""
        while True:
            ended = self.ended
            await ended.wait()
            if self.process is not None and self.process.returncode in self.expected_exit_codes:
                return
            while self.ended is ended:  # the fault that killed the controller restarts it
                await asyncio.sleep(0.02)


class RouterProcess(Process):
    """A router, started directly or through `fault_environment`."""

    def __init__(self, name: str, folder: Path, events: EventWriter) -> None:
        super().__init__(name, folder, events)
        self.disk, self.durable, self.control = (
            self.folder / subfolder for subfolder in ("disk", "durable", "control")
        )
        for path in (self.disk, self.durable, self.control):
            path.mkdir()
        self.listen = self.console = ""
        self._reader_tasks: set[asyncio.Task[None]] = set()

    def write_config(self, config: Json) -> None:
        (self.folder / "config.json").write_bytes(orjson.dumps(config))

    async def start(self, config: Json, fault_options: Json | None, inherited: int | None) -> None:
        """Starts the next incarnation and waits until it listens. Raises LiveError on exit or timeout.

        inherited: descriptor of the listening socket, if the harness owns it."""
        self.write_config(config)
        variables = {
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.disk),
            "BALANCER_CONSOLE": "127.0.0.1:0",
        }
        if inherited is not None:
            variables["BALANCER_INHERITED_FD"] = str(inherited)
        arguments = ["-m", "applehub"]
        if fault_options is not None:
            folders = {"disk": str(self.disk), "durable": str(self.durable), "control": str(self.control)}
            arguments = [
                "-m",
                "applehub.lab.fleet.fault_environment",
                orjson.dumps({**fault_options, **folders}).decode(),
            ]
        fds = () if inherited is None else (inherited,)
        process = await self.spawn(arguments, environment(**variables), fds)
        listening = asyncio.get_running_loop().create_future()
        reader_task = asyncio.get_running_loop().create_task(self._read(process, listening))
        self._reader_tasks.add(reader_task)
        reader_task.add_done_callback(self._reader_tasks.discard)
        try:
            await asyncio.wait_for(listening, START_TIMEOUT_S)
        except TimeoutError:
            raise LiveError(f"{self.name} did not listen within {START_TIMEOUT_S:.0f} s") from None

    async def _read(self, process: asyncio.subprocess.Process, listening: "asyncio.Future[None]") -> None:
        """Copies standard error to the log and reads the listen addresses from it."""
        assert process.stderr is not None
        with open(self.folder / "router.log", "ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                log.flush()
                if b" INFO listening on " in line:
                    self.listen = line.split()[-1].decode()
                elif b" INFO console listening on " in line:
                    self.console = line.split()[-1].decode()
                    if not listening.done():
                        listening.set_result(None)
        if not listening.done():
            log_tail = (self.folder / "router.log").read_text()[-800:]
            listening.set_exception(LiveError(f"{self.name} exited before it listened: {log_tail}"))

    def release_counters(self, lines: list[str]) -> dict[str, float]:
        """Returns the counters for the gates of a release from the lines of DUMP, summed over all classes."""
        values = dict(line.partition("=")[::2] for line in lines if "=" in line)
        totals = dict.fromkeys(("ok", "shed", "errors"), 0)
        for name, value in values.items():
            if ".responses." in name:
                totals[name.rpartition(".")[2]] += int(value)
        return {
            "requests": sum(totals.values()), "refused": totals["shed"], "failed": totals["errors"],
            **{
                name: int(values.get(f"edge_balancer.{name}", 0))
                for name in ("config_applied", "config_rejected")
            },
        }  # fmt: skip

    def resource_usage(self) -> dict[str, float]:
        """Returns the router's CPU time in seconds since its start, and memory in MB. Raises psutil.Error."""
        assert self._psutil_process is not None
        times = self._psutil_process.cpu_times()
        return {"cpu_s": times.user + times.system, "memory_mb": self._psutil_process.memory_info().rss / MB}

    async def call(self, arguments: str) -> str:
        """Sends an operator command; returns the first line of the reply, or an empty string."""
        return next(iter(await self.lines(arguments)), "")

    async def lines(self, arguments: str) -> list[str]:
        """Sends an operator command; returns all lines of the reply."""
        host, _, port = self.console.rpartition(":")
        answer = b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(arguments.encode() + b"\n")
                answer = await reader.read()
                writer.close()
        return answer.decode().split("\n")

    async def ready(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Waits until HEALTH reports OK; returns False if the process exits or after `timeout_s`."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while loop.time() < end and self.running:
            if await self.call("HEALTH") == "+OK":
                self.events.write(EventKind.READY, of=self.name, number=self.incarnation, address=self.listen)
                return True
            await asyncio.sleep(0.02)
        return False
