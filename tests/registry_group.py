"""Runs three replicas of the list service as processes."""

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
    """A group of three replicas, each in a separate process."""

    def __init__(self, directory: Path, block: str, extra_config: str = "") -> None:
        """block: prefix of the IP addresses of this group. extra_config: TOML lines for each replica."""
        self.extra_config = extra_config
        self.directory, self.names = directory, ("a", "b", "c")
        self.peers = {name: f"{block}.210.{number + 1}:7000" for number, name in enumerate(self.names)}
        self.admin_addresses = {
            name: address.replace(":7000", ":7001") for name, address in self.peers.items()
        }
        self.list_addresses = {
            name: address.replace(":7000", ":7002") for name, address in self.peers.items()
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str) -> None:
        lines = [
            f'name = "{name}"',
            f'state_dir = "{self.directory / name}"',
            f'listen = "{self.list_addresses[name]}"',
        ]
        lines += [f'staff = "{self.admin_addresses[name]}"', "[peers]"]
        lines += [f'{peer} = "{address}"' for peer, address in self.peers.items()]
        lines.append(self.extra_config)
        file = self.directory / f"{name}.toml"
        file.write_text("\n".join(lines))
        command = [sys.executable, "-m", "applehub.registry", str(file)]
        self.processes[name] = subprocess.Popen(command, env=environment(), stdout=subprocess.DEVNULL)

    def refuse_writes(self, name: str, refuse: bool) -> None:
        """Makes the operating system refuse or accept the file writes of a replica."""
        limit = 0 if refuse else resource.RLIM_INFINITY
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def kill(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def stop(self) -> list[int]:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        return [process.wait(60) for process in self.processes.values()]

    async def wait_for_primary(self, session: aiohttp.ClientSession, *excluded: str) -> str:
        """Waits for a leader that is not one of the excluded replicas, and returns its name."""
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline:
            for name in self.names:
                response = await self.request(session, "GET", name, "/v1/status")
                if name not in excluded and response is not None and response[1]["primary"]:
                    return name
            await asyncio.sleep(0.02)
        raise AssertionError("no leader within 60 s")

    async def request(
        self, session: aiohttp.ClientSession, method: str, name: str, path: str, body: Any = None
    ) -> tuple[int, Any] | None:
        """Sends a request to the admin address. Returns status and body, or None if there is no response."""
        try:
            async with session.request(
                method,
                f"http://{self.admin_addresses[name]}{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(3),
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def wait_until_ready(self, session: aiohttp.ClientSession, name: str) -> None:
        """Waits until a replica responds on its admin address."""
        async with asyncio.timeout(60):
            while await self.request(session, "GET", name, "/v1/status") is None:
                await asyncio.sleep(0.02)
