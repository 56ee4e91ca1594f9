"""Starts a router with faults in its environment: `python -m applehub.lab.fleet.fault_environment JSON`.

Before the router's main runs, this patches the wall clock and writes to the router's disk, keeps a copy of
what was synced (so that the test harness can simulate a power loss), and installs system call faults and a
known-bad variant, if any."""

import builtins
import errno
import io
import os
import runpy
import shutil
import sys
import threading
import time
from pathlib import Path
from typing import Any

import orjson


class FaultyEnvironment:
    """Patches of the clock and of file functions; they apply the faults in the harness's control files."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.disk, self.durable, self.control = (
            os.path.realpath(options[name]) for name in ("disk", "durable", "control")
        )
        self.synced: dict[int, bytes] = {}  # content at the last sync, by inode
        self.lock = threading.Lock()
        self.open, self.fsync, self.time_ns = builtins.open, os.fsync, time.time_ns

    def read_control(self, name: str) -> list[str]:
        try:
            with self.open(os.path.join(self.control, name)) as file:
                return str(file.read()).split()
        except OSError:
            return []

    def install(self) -> None:
        builtins.open = self._open
        os.fsync = self._fsync  # type: ignore[assignment]
        time.time_ns = self._time_ns
        time.time = lambda: self._time_ns() / 1e9

    def _time_ns(self) -> int:
        offset = self.read_control("clock")
        return self.time_ns() + (int(offset[0]) if offset else 0)

    def _open(self, file: Any, mode: str = "r", *rest: Any, **keywords: Any) -> Any:
        if isinstance(file, str | Path) and set(mode) & set("wax+") and self._is_on_disk(str(file)):
            state = self.read_control("disk")
            failure = {"full": errno.ENOSPC, "readonly": errno.EROFS}.get(state[0] if state else "")
            if failure is not None:
                raise OSError(failure, os.strerror(failure), str(file))
            if state and state[0] == "torn" and "b" in mode:
                return TornFile(str(file), mode)
        return self.open(file, mode, *rest, **keywords)

    def _is_on_disk(self, path: str) -> bool:
        return os.path.realpath(path).startswith(self.disk + os.sep)

    def _fsync(self, file: Any) -> None:
        """Syncs a file or the disk folder, and records what is durable now.

        Syncing a file makes its content durable; syncing the folder makes the names in it durable."""
        self.fsync(file)
        descriptor = file if isinstance(file, int) else file.fileno()
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        state = self.read_control("disk")
        if state and state[0] == "slow_disk":
            time.sleep(float(state[1]) / 1000)
        if path == self.disk:
            with self.lock:  # two threads of the router may sync at once
                self._save_durable_folder()
        elif self._is_on_disk(path):
            with self.open(path, "rb") as synced_file:
                self.synced[os.fstat(descriptor).st_ino] = synced_file.read()

    def _save_durable_folder(self) -> None:
        """Replaces the durable folder by renames, so that a SIGKILL at any time leaves a complete copy."""
        new_folder = self.durable + ".new"
        shutil.rmtree(new_folder, ignore_errors=True)
        os.mkdir(new_folder)
        for entry in os.scandir(self.disk):
            if entry.is_file():
                with self.open(os.path.join(new_folder, entry.name), "wb") as file:
                    # A file that was never synced keeps its name but no content.
                    file.write(self.synced.get(entry.inode(), b""))
        previous = self.durable + ".before"
        shutil.rmtree(previous, ignore_errors=True)
        os.rename(self.durable, previous)
        os.rename(new_folder, self.durable)


class TornFile(io.FileIO):
    """A file that writes half of the data and then fails with ENOSPC."""

    def __init__(self, path: str, mode: str) -> None:
        super().__init__(path, mode.replace("b", ""))

    def write(self, data: Any) -> int:
        super().write(bytes(data)[: len(data) // 2])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def restore_durable(disk: Path, durable: Path) -> None:
    """Simulates a power loss: resets the disk to what was synced."""
    if not durable.exists():  # the process was killed between the two renames
        durable = durable.with_name(durable.name + ".before")
    shutil.rmtree(disk)
    shutil.copytree(durable, disk)


def main() -> None:
    options = orjson.loads(sys.argv[1])
    environment = FaultyEnvironment(options)
    environment.install()
    if options.get("system_calls"):
        from applehub.lab.fleet.failing_calls import SystemCallFaultControl

        SystemCallFaultControl(environment.control, environment.open).start()
    if options.get("variant"):
        from applehub.lab.fleet.variants import install

        install(options["variant"])
    sys.argv = ["applehub"]
    runpy.run_module("applehub", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
