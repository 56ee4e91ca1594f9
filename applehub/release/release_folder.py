"""The folder of a release: its record and its events. One process holds it to change it; any may read it."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self, TypeVar

from applehub.durable.folder import Folder
from applehub.durable.store import Loaded, Store, StoreError
from applehub.events import EventKind, EventWriter
from applehub.release.clock import Clock, SystemClock
from applehub.release.errors import PlanError, StoredStateError
from applehub.release.plan import Plan
from applehub.release.staff_requests import ACTIONS, RequestKind, StaffRequests, apply_new
from applehub.release.state_machine import (
    ENDED_MODES,
    ReleaseMode,
    ReleaseRecord,
    ReleaseStateMachine,
    UnitState,
)
from applehub.release.stored_record import RecordCodec

FORMAT_VERSION = 1  # of what the stores of this package hold
RECORD_STORE = "release"
EVENTS_FILE = "events.jsonl"
State = TypeVar("State")


def new_record(plan: Plan) -> ReleaseRecord:
    """The record of a release that has not begun."""
    return ReleaseRecord(
        release_id=f"{plan.name}-{time.time_ns():x}",
        kind=plan.what,
        old_version=plan.old,
        new_version=plan.new,
        stages=plan.unit_names_by_stage(),
        stage_watch_s=[stage.watch_s for stage in plan.stages],
        max_unavailable=plan.limits.out_at_once,
        max_attempts=plan.limits.tries,
        step_timeout_s=plan.limits.step_s,
        units={unit.name: UnitState(unit.zone, plan.old) for unit in plan.fleet},
        rollback_on_halt=plan.back_on_halt,
    )


def decode_loaded(loaded: Loaded, decode: Callable[[bytes], State]) -> State | None:
    """What a store holds; None where it is empty. Raises what `decode` raises."""
    return None if loaded.value is None else decode(loaded.value)


@dataclass(frozen=True, slots=True)
class StoredRelease:
    """A release as it is on the disk."""

    record: ReleaseRecord
    json: bytes


def load_release(path: Path, clock: Clock | None = None) -> StoredRelease:
    """Reads a release beside the process that holds it. Raises StoredStateError where there is none,
    OSError.
    """
    loaded = Store(Folder(str(path)), RECORD_STORE, FORMAT_VERSION).load()
    codec = RecordCodec(SystemClock() if clock is None else clock)
    record = decode_loaded(loaded, codec.decode)
    if record is None or loaded.value is None:
        raise StoredStateError(f"{path}: no release was begun here")
    return StoredRelease(record, loaded.value)


class ReleaseFolder:
    """A release's folder, held to change it. A context manager that lets go."""

    def __init__(self, path: Path, clock: Clock | None = None) -> None:
        """Raises StoreError where another process holds it, StoredStateError, OSError."""
        self.path = path
        self.clock = SystemClock() if clock is None else clock
        self.disk = Folder(str(path))
        self._store = Store(self.disk, RECORD_STORE, FORMAT_VERSION)
        self._codec = RecordCodec(self.clock)
        try:
            self._record = decode_loaded(self._store.open(), self._codec.decode)
            self.events = EventWriter(path / EVENTS_FILE, "release", 0)
        except BaseException:
            self._store.close()  # otherwise it stays held, and this process can't open it once more
            raise
        self._stored = b"" if self._record is None else self._codec.encode(self._record)
        self._announced_mode: ReleaseMode | None = None if self._record is None else self._record.mode

    def __enter__(self) -> Self:
        """Holds the folder until the end of the context."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Lets go."""
        self.close()

    @property
    def record(self) -> ReleaseRecord:
        """The release's record, to be changed in place. Raises StoredStateError where none was begun."""
        if self._record is None:
            raise StoredStateError(f"{self.path}: no release was begun here")
        return self._record

    def begin(self, plan: Plan, again: bool) -> bool:
        """Begins a plan or continues it; whether it begins. again: a returned version may be tried once more.

        Raises PlanError.
        """
        before = self._record
        if before is not None and before.mode not in ENDED_MODES:
            if (before.old_version, before.new_version) != (plan.old, plan.new):
                raise PlanError(f"{before.new_version} is being released here, and has not come to its end")
            return False
        if before is not None and before.new_version == plan.new:
            if before.mode is ReleaseMode.DONE:
                return False
            if not again:
                reason = before.reason or "by staff"
                raise PlanError(f"{plan.new} was returned: {reason}; --again tries it anew")
        self._record = new_record(plan)
        if before is not None:
            self._record.last_order_number = before.last_order_number  # agents refuse a lower one
        return True

    def save(self) -> None:
        """Stores the record if it has changed, and announces a new mode. Raises StoreError, OSError."""
        record = self.record
        content = self._codec.encode(record)
        if content != self._stored:
            self._store.save(content)
            self._stored = content
        if record.mode is not self._announced_mode:
            self._announced_mode = record.mode
            self.events.write(EventKind.RELEASE_MODE, mode=record.mode, why=record.reason)

    def close(self) -> None:
        """Lets go of the folder; what was not saved is not stored."""
        self._store.close()
        self.events.close()


def submit_request(path: Path, kind: RequestKind, reason: str) -> bool:
    """Carries out a staff request, or leaves it to the controller that holds the folder; whether it is done.

    Raises StoreError, StoredStateError; OSError: it may have been stored or not.
    """
    requests = StaffRequests(path)
    try:
        folder = ReleaseFolder(path)
    except StoreError:
        requests.add(kind, reason)
        return False
    with folder:
        apply_new(folder.record, requests)  # requests that a controller which ended left come first
        ACTIONS[kind](ReleaseStateMachine(folder.record), reason)
        folder.save()
    return True
