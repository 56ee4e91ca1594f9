"""Stores operator overrides in files, which the processes of one router on one machine share.

There are two JSON files in one folder:

- `applehub-by-hand.json`, `{server: [out, at]}`: the overrides, synced before they are acknowledged. Older
  versions read and write only this file.
- `applehub-by-hand.times.json`, `{"boot_id": ID, "made": {server: [at, made]}}`: when the overrides were
  accepted on the machine's monotonic clock (ns), since wall clocks may be stepped. It is not synced, and its
  times are invalid after a restart of the machine.

An override without a valid monotonic time counts as accepted when this process first reads it. This is safe,
because the server's slow start then starts at that time.

An unreadable file is never replaced by a file without its overrides.
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

# Nanoseconds for which an ONLINE override stays in the file, so that every process can apply slow start.
ONLINE_RETENTION_NS = 600 * 1_000_000_000
NS_PER_MS = 1_000_000
LOCK_TIMEOUT = 0.05  # seconds to wait for another process's lock; waiting blocks the event loop
LOCK_RETRY_INTERVAL = 0.001  # seconds between two attempts to acquire the lock
FileIdentity = tuple[int, int, int]  # inode, size, modification time (ns)
log = logging.getLogger("applehub")


class OverrideFileError(Exception):
    """The file's content is invalid, and this process has not read its overrides before."""


@dataclass(frozen=True, slots=True)
class Override:
    """The latest override of a cache server.

    offline: whether the server is out of service. accepted_ms: when the override was accepted (Unix time,
    ms); distinguishes overrides and is not used to compute durations. accepted_ns: the same moment on the
    monotonic clock (ns).
    """

    offline: bool
    accepted_ms: int
    accepted_ns: int = field(compare=False)


class OverrideFile:
    """Operator overrides on disk; the file is replaced atomically, so a killed process leaves it intact."""

    def __init__(self, folder: str) -> None:
        """folder: contains the files; the constructor reads and writes nothing."""
        self.path = os.path.join(folder, "applehub-by-hand.json")
        self.times_path = os.path.join(folder, "applehub-by-hand.times.json")
        self.lock_path = os.path.join(folder, "applehub-by-hand.lock")
        self._boot_id = boot_id()
        self._last_known: dict[str, Override] | None = None  # the content as last read or written
        # Identity of the file that `read_if_changed` returned last.
        self._returned_identity: FileIdentity | None = None
        self._synced_identity: FileIdentity | None = None

    def read_if_changed(self) -> dict[str, Override] | None:
        """Returns all overrides by server if the file was replaced since the last call, otherwise None.

        Returns None too if there is no file. Raises OSError, and OverrideFileError if the content is invalid;
        the next call reads it again.
        """
        try:
            if _identity(os.stat(self.path)) == self._returned_identity:
                return None
            overrides, self._returned_identity = self._load()
        except FileNotFoundError:
            return None
        return overrides

    def write(self, server: str, offline: bool) -> dict[str, Override]:
        """Adds an override to the file; returns all overrides by server.

        The override then survives this process, and after `sync` a power loss. Raises OSError, and
        OverrideFileError if the file was damaged before this process had read it; the file is then unchanged.
        """
        now = time.monotonic_ns()
        with self._lock():
            overrides = {
                name: override
                for name, override in self._current().items()
                if override.offline or override.accepted_ns > now - ONLINE_RETENTION_NS
            }
            overrides[server] = Override(offline, time.time_ns() // NS_PER_MS, now)
            self._write_times(overrides)  # written first, so that readers of an override find its time
            content = orjson.dumps(
                {name: [override.offline, override.accepted_ms] for name, override in overrides.items()}
            )
            _replace(self.path, content, sync=True)
        self._last_known = overrides
        return overrides

    def sync(self) -> None:
        """Syncs the folder, unless this was done for the current file. Raises OSError."""
        try:
            identity = _identity(os.stat(self.path))
        except FileNotFoundError:
            return
        if identity == self._synced_identity:
            return
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self._synced_identity = identity

    @contextlib.contextmanager
    def _lock(self) -> Iterator[None]:
        """Excludes writers in other processes. Raises OSError, also if LOCK_TIMEOUT has passed."""
        with open(self.lock_path, "wb") as lock_file:
            deadline = time.monotonic() + LOCK_TIMEOUT
            while True:
                try:
                    fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    if time.monotonic() >= deadline:
                        raise
                time.sleep(LOCK_RETRY_INTERVAL)
            yield

    def _current(self) -> dict[str, Override]:
        """Returns the overrides in effect. Raises OSError, OverrideFileError.

        If the file is damaged or missing, these are the overrides that this process last read or wrote, which
        were acknowledged.
        """
        try:
            return self._load()[0]
        except FileNotFoundError:
            return self._last_known or {}
        except OverrideFileError as error:
            if self._last_known is None:
                raise
            log.warning("override file %s is damaged, rewriting it from memory: %s", self.path, error)
            return self._last_known

    def _load(self) -> tuple[dict[str, Override], FileIdentity]:
        """Reads the file; returns its overrides and identity. Raises OSError, OverrideFileError."""
        with open(self.path, "rb") as file:
            identity, content = _identity(os.fstat(file.fileno())), file.read()
        try:
            entries = {
                name: (bool(offline), int(accepted_ms))
                for name, (offline, accepted_ms) in orjson.loads(content).items()
            }
        except (ValueError, TypeError, AttributeError) as error:
            raise OverrideFileError(f"{self.path}: {error}") from error
        times, now = self._read_times(), time.monotonic_ns()
        self._last_known = {
            name: Override(
                offline,
                accepted_ms,
                self._accepted_ns(name, offline, accepted_ms, times.get(name), now),
            )
            for name, (offline, accepted_ms) in entries.items()
        }
        return self._last_known, identity

    def _accepted_ns(self, name: str, offline: bool, accepted_ms: int, stored: Any, now: int) -> int:
        """Returns the monotonic time of an override: as read or written before, as stored, or `now`.

        A stored time is never later than `now`.
        """
        known_override = (self._last_known or {}).get(name)
        if known_override is not None and (known_override.offline, known_override.accepted_ms) == (
            offline,
            accepted_ms,
        ):
            return known_override.accepted_ns
        match stored:
            case [int() as stored_ms, int() as stored_ns] if stored_ms == accepted_ms:
                return min(stored_ns, now)
        return now

    def _read_times(self) -> dict[str, Any]:
        """Returns the stored times by server; none if they are unreadable or precede a machine restart."""
        try:
            with open(self.times_path, "rb") as file:
                content = orjson.loads(file.read())
            times = content["made"] if content["boot_id"] == self._boot_id != "" else {}
        except (OSError, ValueError, TypeError, KeyError):
            return {}
        return times if isinstance(times, dict) else {}

    def _write_times(self, overrides: dict[str, Override]) -> None:
        """Stores the monotonic times of overrides; only logs a failure, since the times are optional."""
        times = {name: [override.accepted_ms, override.accepted_ns] for name, override in overrides.items()}
        try:
            content = orjson.dumps({"boot_id": self._boot_id, "made": times})
            _replace(self.times_path, content, sync=False)
        except OSError as error:
            log.warning("storing the times of operator overrides failed: %s", error)


def _identity(status: os.stat_result) -> FileIdentity:
    return status.st_ino, status.st_size, status.st_mtime_ns


def _replace(path: str, content: bytes, sync: bool) -> None:
    """Replaces a file atomically. Raises OSError; the previous file is then unchanged."""
    replacement = path + ".new"
    try:
        with open(replacement, "wb") as file:
            file.write(content)
            file.flush()
            if sync:
                os.fsync(file.fileno())
        os.replace(replacement, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(replacement)
        raise
