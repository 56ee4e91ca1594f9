"""A release controller that is replaced while an agent hangs: does its last order still take effect?

See claim.txt.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

PYTHON = str(s.ROOT / "review" / ".venv" / "bin" / "python")
MAX_HANG_S = 30.0  # limit on the seconds for which the agent of zone b hangs
REPLACED_AFTER_S = 3.0  # seconds after the order to the hanging agent until staff replace the controller
SLOW_STEP_S = 3.0  # seconds that a step takes at the agent of zone a, for the second controller
START = ("-m", "applehub.release", "start")
AGENTS = {"u-a": "zone-a", "u-b": "zone-b"}


class Processes:
    """The processes that the case starts."""

    def __init__(self, record: s.Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.started: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("wb") as log:
            self.started[name] = process = subprocess.Popen(
                [PYTHON, *arguments], cwd=s.ROOT, stdout=log, stderr=log, env={**os.environ}
            )
        self.record.add("case", f"{name} started, process {process.pid}")
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record.add("case", f"{number.name} to {name}")
        self.started[name].send_signal(number)

    def stop(self) -> None:
        for process in self.started.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.started.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(3)
            if process.poll() is None:
                process.kill()
                process.wait()


def get(address: str, path: str) -> dict[str, object]:
    with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
        return dict(json.loads(response.read()))


async def wait_for(address: str, path: str) -> bool:
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError):
            answer = await asyncio.to_thread(get, address, path)
            if answer.get("primary", True):
                return True
        await asyncio.sleep(0.1)
    return False


def write_plan(path: Path, agents: dict[str, str], lists: str) -> None:
    units = "".join(
        f'    {{ name = "{unit}", zone = "{zone}", agent = "{agents[unit]}" }},\n'
        for unit, zone in AGENTS.items()
    )
    path.write_text(
        f'name = "cache-1.8"\nwhat = "servers"\nold = "1.7"\nnew = "1.8"\nlists = ["{lists}"]\n'
        "limits = { out_at_once = 1, tries = 2, step_s = 60 }\n"
        'stages = [ { name = "all", part = 1.0, watch_s = 0 } ]\n'
        f"fleet = [\n{units}]\n[gates]\nlook_s = 0.3\nbefore_s = 0\n",
        encoding="utf-8",
    )


class Fences:
    """The fence that each agent reports, with the time at which each value was first seen."""

    def __init__(self, record: s.Record, agents: dict[str, str]) -> None:
        self.record, self.agents = record, agents
        self.seen: dict[str, list[tuple[float, int]]] = {unit: [] for unit in agents}

    async def watch(self) -> None:
        while True:
            for unit, address in self.agents.items():
                with contextlib.suppress(OSError, ValueError):
                    fence = int(str((await asyncio.to_thread(get, address, "/v1/units"))["fence"]))
                    if fence and (not self.seen[unit] or self.seen[unit][-1][1] != fence):
                        self.seen[unit].append((time.monotonic(), fence))
                        self.record.add("agent", f"of {unit}: the highest fence seen is {fence}")
            await asyncio.sleep(0.05)

    async def wait_for_next(self, unit: str, timeout: float) -> None:
        """Waits until an agent has taken orders of two controllers, and 1.5 s longer."""
        deadline = time.monotonic() + timeout
        while len(self.seen[unit]) < 2 and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)


def stale_orders(record: s.Record, steps: list[dict[str, object]], fences: Fences) -> int:
    """Returns how many steps began with a fence lower than one that another agent had taken before.

    The fence of a step is the highest that its agent had seen shortly after the step began.
    """
    stale = 0
    for step in steps:
        if step["event"] != "begins":
            continue
        began = float(str(step["at"]))
        unit = str(step["unit"])
        own = [fence for at, fence in fences.seen[unit] if at <= began + 0.5]
        others = [
            (at, fence, other)
            for other, seen in fences.seen.items()
            for at, fence in seen
            if other != unit and at < began - 1.0
        ]
        newer = [entry for entry in others if own and entry[1] > own[-1]]
        if newer:
            at, fence, other = newer[0]
            text = f"{step['step']} of {unit} began with fence {own[-1]}, {began - at:.1f} s after the agent"
            record.add("case", f"{text} of {other} had taken fence {fence} of the next controller")
            stale += 1
    return stale


def most_out(steps: list[dict[str, object]]) -> int:
    """Returns the largest number of units that were out of service at a time, from drain to admit."""
    out: set[str] = set()
    most = 0
    for step in sorted(steps, key=lambda entry: float(str(entry["at"]))):
        if step["event"] == "begins" and step["step"] == "drain":
            out.add(str(step["unit"]))
        elif step["event"] == "ends" and step["step"] == "admit":
            out.discard(str(step["unit"]))
        most = max(most, len(out))
    return most


async def run_first_controller(processes: Processes, folder: Path, log: Path) -> None:
    """Starts the release; staff end its controller some seconds after it has sent an order to unit u-b.

    The agent of that unit hangs from the last step of the unit before it on.
    """
    first = processes.start("controller-1", *START, str(folder / "plan.toml"), "--state", str(folder / "1"))
    while '"u-a", "step": "admit"' not in log.read_text() and first.poll() is None:
        await asyncio.sleep(0.02)
    if s.trouble():
        processes.signal("agent-u-b", signal.SIGSTOP)
    events = folder / "1" / "events.jsonl"
    while not ordered(events) and first.poll() is None:
        await asyncio.sleep(0.02)
    processes.record.add("case", "controller 1 has sent an order to unit u-b")
    await asyncio.sleep(REPLACED_AFTER_S)
    if first.poll() is None:
        processes.signal("controller-1", signal.SIGTERM)
        first.wait(5)
    processes.record.add("case", f"controller 1 has ended with code {first.poll()}")


def ordered(events: Path) -> bool:
    """Returns whether a controller has sent an order to unit u-b."""
    lines = events.read_text(encoding="utf-8").splitlines() if events.exists() else []
    return any('"u-b"' in line and '"step"' in line for line in lines)


async def case(record: s.Record, folder: Path) -> int:
    processes = Processes(record, folder)
    listen, staff, log = s.free_address(), s.free_address(), folder / "steps.jsonl"
    (folder / "list.toml").write_text(
        f'name = "a"\nstate_dir = "{folder / "list"}"\nlisten = "{listen}"\nstaff = "{staff}"\n',
        encoding="utf-8",
    )
    log.touch()
    agents = {unit: s.free_address() for unit in AGENTS}
    watching: asyncio.Task[None] | None = None
    try:
        processes.start("list", "-m", "applehub.registry", str(folder / "list.toml"))
        for unit, address in agents.items():
            quick = "3" if unit == "u-a" else "100"
            port = address.rsplit(":", 1)[1]
            script = str(Path(__file__).parent / "agent_host.py")
            processes.start(
                f"agent-{unit}", script, unit, port, str(folder / unit), str(log), quick, str(SLOW_STEP_S)
            )
        if not await wait_for(staff, "/v1/status"):
            return s.CANNOT_RUN
        for address in agents.values():
            if not await wait_for(address, "/v1/units"):
                return s.CANNOT_RUN
        fences = Fences(record, agents)
        watching = asyncio.create_task(fences.watch())
        write_plan(folder / "plan.toml", agents, staff)
        await run_first_controller(processes, folder, log)
        second = processes.start(
            "controller-2", *START, str(folder / "plan.toml"), "--state", str(folder / "2")
        )
        if s.trouble():
            await fences.wait_for_next("u-a", MAX_HANG_S - 10.0)
            processes.signal("agent-u-b", signal.SIGCONT)
        deadline = time.monotonic() + 45
        while second.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        record.add("case", f"controller 2 ended with code {second.poll()}")
    finally:
        if watching is not None:
            watching.cancel()
        processes.stop()
        for name in ("controller-1", "controller-2", "list"):
            path = folder / f"{name}.log"
            for line in path.read_text().splitlines()[-12:] if path.exists() else []:
                record.add(f"log of {name}", line[:300])
    steps = [json.loads(line) for line in log.read_text(encoding="utf-8").splitlines()]
    for step in steps:
        at = float(step["at"]) - record.started_at
        text = (
            f"{step['step']} {step['event']} at {at:.2f}, number {step['number']}, version {step['version']}"
        )
        record.add(f"unit {step['unit']}", text)
    record.add("case", f"most units out of service at a time: {most_out(steps)}, limit 1")
    return s.BROKEN if stale_orders(record, steps, fences) else s.HOLDS


s.run_case(Path(__file__).resolve().parent, case)
