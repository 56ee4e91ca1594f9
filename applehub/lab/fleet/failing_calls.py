"""A router's system calls that fail while a plan says so: the router's own side, started by the shim.

The ground puts a file for each fault into the router's folder `control`, and takes it away as the fault ends.
The router's process looks for them, and tells in the file `seen` which ones hold."""

import os
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults

PREFIX = "system_call-"  # of the files' names
SEEN, INJECTED = "seen", "injected"  # which hold, and a line for each call that has failed
LOOK = 0.01  # s between two looks


class FailingCalls:
    """The faults of this process, as the files in a folder tell them."""

    def __init__(self, control: str, open: Callable[..., Any]) -> None:
        """open: the real one, whatever else is patched."""
        self.control, self.open = Path(control), open
        self.faults = SystemCallFaults(record=str(self.control / INJECTED))
        self.files: dict[str, bytes] | None = None

    def start(self) -> None:
        """Installs them, and goes on looking in a thread."""
        self._look()
        self.faults.install()
        threading.Thread(target=self._go_on, daemon=True).start()

    def _go_on(self) -> None:
        while True:
            time.sleep(LOOK)
            self._look()

    def _read(self, name: str) -> bytes:
        with self.open(self.control / name, "rb", buffering=0) as file:
            return bytes(file.readall())

    def _look(self) -> None:
        try:
            names = sorted(name for name in os.listdir(self.control) if name.startswith(PREFIX))
            files = {name: self._read(name) for name in names}
        except OSError:  # one has just been taken away: the next look tells
            return
        if files != self.files:
            self.files = files
            self.faults.replace(*(SystemCallFault(**orjson.loads(text)) for text in files.values()))
            self._tell()

    def _tell(self) -> None:
        """In one write: who reads it finds all or nothing of it."""
        with self.open(self.control / SEEN, "wb", buffering=0) as file:
            file.write(orjson.dumps(list(self.files or ())))
