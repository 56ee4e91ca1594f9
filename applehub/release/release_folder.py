"""The folder of a release, with its record and events. One process at a time may write to the folder."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self, TypeVar

from applehub.durable.folder import Folder
from applehub.durable.store import LoadResult, Store, StoreError
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

FORMAT_VERSION = 1  # version of the encoding of the values in a release's stores
RECORD_STORE = "release"
EVENTS_FILE = "events.jsonl"
State = TypeVar("State")


def new_record(plan: Plan) -> ReleaseRecord:
    """Returns the initial record of a release."""
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


def decode_loaded(loaded: LoadResult, decode: Callable[[bytes], State]) -> State | None:
    """Decodes a loaded value, or returns None if the store is empty. Raises the errors of `decode`."""
    return None if loaded.value is None else decode(loaded.value)


@dataclass(frozen=True, slots=True)
class StoredRelease:
    """A stored release, decoded and as JSON."""

    record: ReleaseRecord
    json: bytes


def load_release(path: Path, clock: Clock | None = None) -> StoredRelease:
    """Reads a stored release without locking its folder.

    Raises StoredStateError if there is none, or OSError.
    """
    loaded = Store(Folder(str(path)), RECORD_STORE, FORMAT_VERSION).load()
    codec = RecordCodec(SystemClock() if clock is None else clock)
    record = decode_loaded(loaded, codec.decode)
    if record is None or loaded.value is None:
        raise StoredStateError(f"{path}: folder contains no release")
    return StoredRelease(record, loaded.value)


class ReleaseFolder:
    """A release's folder, locked for writing. As a context manager, it is closed on exit."""

    def __init__(self, path: Path, clock: Clock | None = None) -> None:
        """Locks and loads the folder.

        Raises StoreError if another process has locked the folder, StoredStateError or OSError.
        """
        self.path = path
        self.clock = SystemClock() if clock is None else clock
        self.disk = Folder(str(path))
        self._store = Store(self.disk, RECORD_STORE, FORMAT_VERSION)
        self._codec = RecordCodec(self.clock)
        try:
            self._record = decode_loaded(self._store.open(), self._codec.decode)
            self.events = EventWriter(path / EVENTS_FILE, "release", 0)
        except BaseException:
            self._store.close()  # releases the lock, so that this process can open the store again
            raise
        self._stored_content = b"" if self._record is None else self._codec.encode(self._record)
        self._logged_mode: ReleaseMode | None = None if self._record is None else self._record.mode

    def __enter__(self) -> Self:
        """Returns the folder."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes the folder."""
        self.close()

    @property
    def record(self) -> ReleaseRecord:
        """The release's record, to be modified in place. Raises StoredStateError if there is none."""
        if self._record is None:
            raise StoredStateError(f"{self.path}: folder contains no release")
        return self._record

    def begin(self, plan: Plan, again: bool) -> bool:
        """Starts the release of a plan, or continues it. Returns whether a new release was started.

        `again` permits a version that was rolled back before. Raises PlanError if another release has not
        ended, or if the version was rolled back and `again` is not set.
        """
        previous = self._record
        if previous is not None and previous.mode not in ENDED_MODES:
            if (previous.old_version, previous.new_version) != (plan.old, plan.new):
                raise PlanError(f"the release of {previous.new_version} in this folder has not ended")
            return False
        if previous is not None and previous.new_version == plan.new:
            if previous.mode is ReleaseMode.DONE:
                return False
            if not again:
                reason = previous.reason or "by staff"
                raise PlanError(f"{plan.new} was rolled back: {reason}; use --again to release it again")
        self._record = new_record(plan)
        if previous is not None:
            self._record.last_order_number = previous.last_order_number  # agents reject lower numbers
        return True

    def save(self) -> None:
        """Stores the record if it has changed, and logs a new mode. Raises StoreError or OSError."""
        record = self.record
        content = self._codec.encode(record)
        if content != self._stored_content:
            self._store.save(content)
            self._stored_content = content
        if record.mode is not self._logged_mode:
            self._logged_mode = record.mode
            self.events.write(EventKind.RELEASE_MODE, mode=record.mode, why=record.reason)

    def close(self) -> None:
        """Closes the folder without saving."""
        self._store.close()
        self.events.close()


def submit_request(path: Path, kind: RequestKind, reason: str) -> bool:
    """Executes a staff request, or stores it for the controller that has the folder open.

    Returns whether the request was executed. Raises StoreError or StoredStateError. After an OSError the
    request may or may not have been stored.
    """
    requests = StaffRequests(path)
    try:
        folder = ReleaseFolder(path)
    except StoreError:
        requests.add(kind, reason)
        return False
    with folder:
        apply_new(folder.record, requests)  # earlier requests that no controller has executed
        ACTIONS[kind](ReleaseStateMachine(folder.record), reason)
        folder.save()
    return True
