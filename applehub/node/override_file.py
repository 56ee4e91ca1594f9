"""The file in which operators' calls last, shared by the processes of one router on one machine.

Two files of JSON lie side by side:

- `applehub-by-hand.json`, `{server: [out, at]}`: the calls, synchronised before they are acknowledged. Older
  versions read and write this one alone.
- `applehub-by-hand.times.json`, `{"boot_id": ID, "made": {server: [at, made]}}`: when the calls were made on
  the machine's monotonic clock (ns), since wall clocks may be stepped. It only dates calls and is not
  synchronised: past a restart of the machine its times mean nothing.

A call without such a time (an older version made it, or the machine has restarted) counts as made when this
process first reads it, which is the careful side: its server is taken as cold from then on.

A file that cannot be read is never replaced by one without the calls in it.
"""

import contextlib
import fcntl
import logging
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson

from applehub.node.machine_time import boot_id

ONLINE_KEPT_NS = 600 * 1_000_000_000  # a call back into service is remembered: by then the server is warm
NS_PER_MS = 1_000_000
LOCK_WAIT = 0.05  # s for which a call waits for another process's; nothing else is served meanwhile
LOCK_PAUSE = 0.001  # s between two tries
Identity = tuple[int, int, int]  # of a file's content: inode, size, modification time
log = logging.getLogger("applehub")


class OverrideFileError(Exception):
    """The file's content makes no sense, and this process does not know what stood there."""


@dataclass(frozen=True, slots=True)
class Override:
    """The latest call of an operator for a cache server.

    out: whether the server was taken out of service. at: when the call was accepted (Unix time, ms); it tells
    calls apart, and no span is taken from it. made: the same moment (ns on the monotonic clock).
    """

    out: bool
    at: int
    made: int = field(compare=False)


class OverrideFile:
    """Operators' calls on disk. Each change replaces the file in one step, so that a kill leaves it whole."""

    def __init__(self, folder: str) -> None:
        """folder: where the files lie; nothing is read or written yet."""
        self.path = os.path.join(folder, "applehub-by-hand.json")
        self.times_path = os.path.join(folder, "applehub-by-hand.times.json")
        self.lock_path = os.path.join(folder, "applehub-by-hand.lock")
        self._boot_id = boot_id()
        self._known: dict[str, Override] | None = None  # what the file held when last read or written
        self._returned: Identity | None = None  # of what `changed` returned last
        self._synchronised: Identity | None = None

    def changed(self) -> dict[str, Override] | None:
        """All overrides if the file was replaced since the last call; otherwise, or without a file, None.

        Raises OSError, and OverrideFileError if the content makes no sense; the next call reads it again.
        """
        try:
            if _identity(os.stat(self.path)) == self._returned:
                return None
            overrides, self._returned = self._load()
        except FileNotFoundError:
            return None
        return overrides

    def write(self, server: str, out: bool) -> dict[str, Override]:
        """Puts an override in the file; returns all overrides, by server.

        From then on it outlives this process, and once `synchronise` returns a loss of power. Raises OSError,
        and OverrideFileError if the file was damaged before this process had read it: nothing took effect.
        """
        now = time.monotonic_ns()
        with self._exclusive():
            overrides = {
                name: one
                for name, one in self._present().items()
                if one.out or one.made > now - ONLINE_KEPT_NS
            }
            overrides[server] = Override(out, time.time_ns() // NS_PER_MS, now)
            self._write_times(overrides)  # first: whoever sees a call sees its time
            content = orjson.dumps({name: [one.out, one.at] for name, one in overrides.items()})
            _replace(self.path, content, synchronised=True)
        self._known = overrides
        return overrides

    def synchronise(self) -> None:
        """Has the file outlive a loss of power under its name, unless that is known. Raises OSError."""
        try:
            identity = _identity(os.stat(self.path))
        except FileNotFoundError:
            return
        if identity == self._synchronised:
            return
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self._synchronised = identity

    @contextlib.contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Excludes writers in other processes. Raises OSError, also if one holds the lock past LOCK_WAIT."""
        with open(self.lock_path, "wb") as held:
            until = time.monotonic() + LOCK_WAIT
            while True:
                try:
                    fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if time.monotonic() >= until:
                        raise
                time.sleep(LOCK_PAUSE)
            yield

    def _present(self) -> dict[str, Override]:
        """The overrides to which a call is added. Raises OSError, OverrideFileError.

        Where the file is damaged or gone, those that this process knows: they were acknowledged.
        """
        try:
            return self._load()[0]
        except FileNotFoundError:
            return self._known or {}
        except OverrideFileError as problem:
            if self._known is None:
                raise
            log.warning("%s is damaged and is written anew: %s", self.path, problem)
            return self._known

    def _load(self) -> tuple[dict[str, Override], Identity]:
        """What the file holds. Raises OSError, OverrideFileError."""
        with open(self.path, "rb") as file:
            identity, content = _identity(os.fstat(file.fileno())), file.read()
        try:
            calls = {name: (bool(out), int(at)) for name, (out, at) in orjson.loads(content).items()}
        except (ValueError, TypeError, AttributeError) as problem:
            raise OverrideFileError(f"{self.path}: {problem}") from problem
        times, now = self._read_times(), time.monotonic_ns()
        self._known = {
            name: Override(out, at, self._made(name, out, at, times.get(name), now))
            for name, (out, at) in calls.items()
        }
        return self._known, identity

    def _made(self, name: str, out: bool, at: int, stored: Any, now: int) -> int:
        """When a call was made: as known here, as stored with it, or now at the latest."""
        known = (self._known or {}).get(name)
        if known is not None and (known.out, known.at) == (out, at):
            return known.made
        match stored:
            case [int() as of_call, int() as made] if of_call == at:
                return min(made, now)
        return now

    def _read_times(self) -> dict[str, Any]:
        """The stored times by server; none if they cannot be read or come from before a restart."""
        try:
            with open(self.times_path, "rb") as file:
                content = orjson.loads(file.read())
            times = content["made"] if content["boot_id"] == self._boot_id != "" else {}
        except (OSError, ValueError, TypeError, KeyError):
            return {}
        return times if isinstance(times, dict) else {}

    def _write_times(self, overrides: dict[str, Override]) -> None:
        """Stores when calls were made. Without it they count as made later, so a failure is only logged."""
        made = {name: [one.at, one.made] for name, one in overrides.items()}
        try:
            content = orjson.dumps({"boot_id": self._boot_id, "made": made})
            _replace(self.times_path, content, synchronised=False)
        except OSError as problem:
            log.warning("when operators made their calls can't be kept: %s", problem)


def _identity(status: os.stat_result) -> Identity:
    return status.st_ino, status.st_size, status.st_mtime_ns


def _replace(path: str, content: bytes, synchronised: bool) -> None:
    """Replaces a file in one step. Raises OSError: then the file before is there as it was."""
    replacement = path + ".new"
    try:
        with open(replacement, "wb") as file:
            file.write(content)
            file.flush()
            if synchronised:
                os.fsync(file.fileno())
        os.replace(replacement, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(replacement)
        raise
