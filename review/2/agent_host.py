"""An agent with one simulated unit, whose steps are logged.

`agent_host.py UNIT PORT FOLDER LOG QUICK SLOW_S`: the first QUICK steps take 0.5 s, later ones SLOW_S s.
The agent is the project's; the project ships no program for it yet.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.release.agent import FORMAT_VERSION, Agent
from applehub.release.messages import LoadReport
from applehub.release.state_machine import Order


class SimulatedHost:
    """The host of one unit: a step takes a while and always succeeds."""

    def __init__(self, unit: str, log: Path, quick_steps: int, slow_s: float) -> None:
        self.units = [unit]
        self.log, self.quick_steps, self.slow_s = log, quick_steps, slow_s
        self.requests = 0

    def write(self, event: str, order: Order) -> None:
        line = {
            "at": time.monotonic(), "event": event, "unit": order.unit, "step": order.step,
            "version": order.version, "number": order.number,
        }  # fmt: skip
        with self.log.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    async def execute(self, order: Order) -> str:
        self.write("begins", order)
        self.quick_steps -= 1
        await asyncio.sleep(0.5 if self.quick_steps >= 0 else self.slow_s)
        self.write("ends", order)
        return ""

    async def load_report(self, unit: str) -> LoadReport | None:
        self.requests += 10
        return LoadReport({"life": 1.0, "requests": float(self.requests), "failed": 0.0, "refused": 0.0})


async def main() -> None:
    unit, port, folder, log, quick_steps, slow_s = sys.argv[1:]
    host = SimulatedHost(unit, Path(log), int(quick_steps), float(slow_s))
    agent = Agent(host, Store(Folder(folder), "orders", FORMAT_VERSION))
    await agent.start("127.0.0.1", int(port))
    await asyncio.Event().wait()


asyncio.run(main())
