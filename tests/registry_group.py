"""Three replicas of the list service as processes, for tests."""

import asyncio
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp

from applehub.lab.fleet.processes import environment


class Group:
    """Three replicas as processes."""

    def __init__(self, folder: Path, block: str, more: str = "") -> None:
        """block: of addresses, this group's alone. more: lines of each replica's file."""
        self.more = more
        self.folder, self.names = folder, ("a", "b", "c")
        self.peers = {name: f"{block}.210.{number + 1}:7000" for number, name in enumerate(self.names)}
        self.staff = {name: address.replace(":7000", ":7001") for name, address in self.peers.items()}
        self.listen = {name: address.replace(":7000", ":7002") for name, address in self.peers.items()}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str) -> None:
        lines = [f'name = "{name}"', f'state_dir = "{self.folder / name}"', f'listen = "{self.listen[name]}"']
        lines += [f'staff = "{self.staff[name]}"', "[peers]"]
        lines += [f'{peer} = "{address}"' for peer, address in self.peers.items()]
        lines.append(self.more)
        file = self.folder / f"{name}.toml"
        file.write_text("\n".join(lines))
        words = [sys.executable, "-m", "applehub.registry", str(file)]
        self.processes[name] = subprocess.Popen(words, env=environment(), stdout=subprocess.DEVNULL)

    def refuse_writes(self, name: str, refuse: bool) -> None:
        """Has the system refuse each write of a replica to a file, or take them again."""
        size = 0 if refuse else resource.RLIM_INFINITY
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def kill(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def stop(self) -> list[int]:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        return [process.wait(60) for process in self.processes.values()]

    async def until(self, session: aiohttp.ClientSession, *others: str) -> str:
        """Waits for a primary that is none of these; gives its name."""
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline:
            for name in self.names:
                told = await self.ask(session, "GET", name, "/v1/status")
                if name not in others and told is not None and told[1]["primary"]:
                    return name
            await asyncio.sleep(0.02)
        raise AssertionError("no primary in a minute")

    async def ask(
        self, session: aiohttp.ClientSession, method: str, name: str, path: str, body: Any = None
    ) -> tuple[int, Any] | None:
        """None: no answer."""
        try:
            async with session.request(
                method, f"http://{self.staff[name]}{path}", json=body, timeout=aiohttp.ClientTimeout(3)
            ) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def ready(self, session: aiohttp.ClientSession, name: str) -> None:
        """Waits until a replica answers."""
        async with asyncio.timeout(60):
            while await self.ask(session, "GET", name, "/v1/status") is None:
                await asyncio.sleep(0.02)
