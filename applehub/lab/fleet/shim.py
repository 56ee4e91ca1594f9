"""Starts a router with what a plan spoils in its surroundings: `python -m applehub.lab.fleet.shim JSON`.

Patches this process alone, before the router's own main: the wall clock, writes to its disk, a record of what
was synced (so that the ground can play a power loss), system calls that fail, and a known-bad variant. `run`
itself never sees any of it."""

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


class Surroundings:
    """What the ground says of this process, in small files that it rewrites."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.disk, self.durable, self.control = (
            os.path.realpath(told[name]) for name in ("disk", "durable", "control")
        )
        self.synced: dict[int, bytes] = {}  # by inode
        self.alone = threading.Lock()
        self.open, self.fsync, self.time_ns = builtins.open, os.fsync, time.time_ns

    def said(self, name: str) -> list[str]:
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
        step = self.said("clock")
        return self.time_ns() + (int(step[0]) if step else 0)

    def _open(self, file: Any, mode: str = "r", *more: Any, **named: Any) -> Any:
        if isinstance(file, str | Path) and set(mode) & set("wax+") and self._ours(str(file)):
            said = self.said("disk")
            failure = {"full": errno.ENOSPC, "readonly": errno.EROFS}.get(said[0] if said else "")
            if failure is not None:
                raise OSError(failure, os.strerror(failure), str(file))
            if said and said[0] == "torn" and "b" in mode:
                return Torn(str(file), mode)
        return self.open(file, mode, *more, **named)

    def _ours(self, path: str) -> bool:
        return os.path.realpath(path).startswith(self.disk + os.sep)

    def _fsync(self, file: Any) -> None:
        """A file's sync keeps its content; its folder's sync keeps the names in it, with what is kept of
        each."""
        self.fsync(file)
        number = file if isinstance(file, int) else file.fileno()
        path = os.readlink(f"/proc/self/fd/{number}")
        said = self.said("disk")
        if said and said[0] == "slow_disk":
            time.sleep(float(said[1]) / 1000)
        if path == self.disk:
            with self.alone:  # two of the router's threads may sync at once
                self._keep_names()
        elif self._ours(path):
            with self.open(path, "rb") as kept:
                self.synced[os.fstat(number).st_ino] = kept.read()

    def _keep_names(self) -> None:
        """The durable folder is replaced as a whole, so that a SIGKILL in the midst leaves the one before."""
        beside = self.durable + ".new"
        shutil.rmtree(beside, ignore_errors=True)
        os.mkdir(beside)
        for entry in os.scandir(self.disk):
            if entry.is_file():
                with self.open(os.path.join(beside, entry.name), "wb") as kept:
                    kept.write(
                        self.synced.get(entry.inode(), b"")
                    )  # never synced: its name, and nothing in it
        before = self.durable + ".before"
        shutil.rmtree(before, ignore_errors=True)
        os.rename(self.durable, before)
        os.rename(beside, self.durable)


class Torn(io.FileIO):
    """A file of which the disk takes half of a write, and then is full."""

    def __init__(self, path: str, mode: str) -> None:
        super().__init__(path, mode.replace("b", ""))

    def write(self, data: Any) -> int:
        super().write(bytes(data)[: len(data) // 2])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def restore(disk: Path, durable: Path) -> None:
    """A power loss: the disk holds what was synced, and nothing else."""
    if not durable.exists():  # ended between the two renames
        durable = durable.with_name(durable.name + ".before")
    shutil.rmtree(disk)
    shutil.copytree(durable, disk)


def main() -> None:
    told = orjson.loads(sys.argv[1])
    surroundings = Surroundings(told)
    surroundings.install()
    if told.get("system_calls"):
        from applehub.lab.fleet.failing_calls import FailingCalls

        FailingCalls(surroundings.control, surroundings.open).start()
    if told.get("variant"):
        from applehub.lab.fleet.variants import install

        install(told["variant"])
    sys.argv = ["applehub"]
    runpy.run_module("applehub", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
