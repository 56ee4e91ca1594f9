"""Injects the system call faults of a plan within a router's process; started by `fault_environment`.

The test harness writes a file for each active fault into the router's folder `control` and removes it when
the fault ends. The router's process polls the folder and lists the active faults in the file `seen`."""

import os
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults

FAULT_FILE_PREFIX = "system_call-"
# Files in the control folder: the list of active faults, and one line for each injection.
ACTIVE_FAULTS_FILE, INJECTIONS_FILE = "seen", "injected"
POLL_INTERVAL_S = 0.01


class SystemCallFaultControl:
    """Keeps the faults of this process in step with the files in a folder."""

    def __init__(self, control: str, open: Callable[..., Any]) -> None:
        """open: the original `open` function, which the faults do not affect."""
        self.control, self.open = Path(control), open
        self.faults = SystemCallFaults(record=str(self.control / INJECTIONS_FILE))
        self.files: dict[str, bytes] | None = None

    def start(self) -> None:
        """Installs the faults and starts a thread that polls the folder."""
        self._poll()
        self.faults.install()
        threading.Thread(target=self._poll_forever, daemon=True).start()

    def _poll_forever(self) -> None:
        while True:
            time.sleep(POLL_INTERVAL_S)
            self._poll()

    def _read(self, name: str) -> bytes:
        with self.open(self.control / name, "rb", buffering=0) as file:
            return bytes(file.readall())

    def _poll(self) -> None:
        try:
            names = sorted(name for name in os.listdir(self.control) if name.startswith(FAULT_FILE_PREFIX))
            files = {name: self._read(name) for name in names}
        except OSError:  # a file was removed while the folder was read; the next poll retries
            return
        if files != self.files:
            self.files = files
            self.faults.replace(*(SystemCallFault(**orjson.loads(text)) for text in files.values()))
            self._report_active()

    def _report_active(self) -> None:
        """Writes the names of the active faults in one write, so that no reader sees a partial list."""
        with self.open(self.control / ACTIVE_FAULTS_FILE, "wb", buffering=0) as file:
            file.write(orjson.dumps(list(self.files or ())))
