"""What a controller keeps in its folder: the release's record and its events."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from applehub.durable.folder import Folder
from applehub.durable.store import Loaded, Store, StoreError
from applehub.events import Event, Writer
from applehub.release.clock import Clock, SystemClock
from applehub.release.machine import Mode, Record, Release, Unit
from applehub.release.plan import Plan, PlanError
from applehub.release.staff_requests import ACTIONS, RequestKind, StaffRequests, carry_out
from applehub.release.stored_record import RecordCodec

FORM = 1
ENDED = (Mode.DONE, Mode.RETURNED)


def record_of(plan: Plan) -> Record:
    """A release that has not begun."""
    units = {unit.name: Unit(unit.zone, plan.old) for unit in plan.fleet}
    limits, watch = plan.limits, [stage.watch_s for stage in plan.stages]
    return Record(
        plan.what, plan.old, plan.new, plan.batches(), watch, limits.out_at_once, limits.tries, limits.step_s,
        units, id=f"{plan.name}-{time.time_ns():x}", back_on_halt=plan.back_on_halt,
    )  # fmt: skip


def read_store(store: Store, loaded: Loaded, make: Callable[[bytes], Any]) -> Any:
    """What a store gave, made of its bytes; none where there is nothing. Raises PlanError."""
    try:
        return None if loaded.value is None else make(loaded.value)
    except (ValueError, KeyError, TypeError) as problem:
        raise PlanError(f"{store.name}: what is kept makes no sense: {problem!r}") from None


@dataclass(frozen=True, slots=True)
class StoredRelease:
    """A release as it lies on the disk."""

    record: Record
    json: bytes


def load_release(folder: Path, clock: Clock | None = None) -> StoredRelease:
    """Reads a release beside whoever holds it. Raises PlanError where there is none, OSError."""
    store = Store(Folder(str(folder)), "release", FORM)
    loaded = store.load()
    record = read_store(store, loaded, RecordCodec(SystemClock() if clock is None else clock).decode)
    if record is None or loaded.value is None:
        raise PlanError(f"{folder}: no release was begun here")
    return StoredRelease(record, loaded.value)


class Kept:
    """A release's record, in a folder that one process holds to change it."""

    def __init__(self, folder: Path, clock: Clock | None = None) -> None:
        """Raises StoreError where another process holds it, PlanError where what is kept is of no use."""
        self.disk = Folder(str(folder))
        self.records = Store(self.disk, "release", FORM)
        self.clock = SystemClock() if clock is None else clock
        self.codec = RecordCodec(self.clock)
        try:
            self.record = read_store(self.records, self.records.open(), self.codec.decode)
            self.events = Writer(folder / "events.jsonl", "release", 0)
        except BaseException:
            self.records.close()  # or it is held until the process ends, and can't be opened once more
            raise
        self.saved = self._plain()
        self.mode: Mode | None = None if self.record is None else self.record.mode

    def begin(self, plan: Plan, again: bool) -> bool:
        """Takes up a plan, or goes on with it; whether it is a new one. Raises PlanError."""
        if self.record is not None and self.record.mode not in ENDED:
            if (self.record.old, self.record.new) != (plan.old, plan.new):
                raise PlanError(f"{self.record.new} is being released here, and has not come to its end")
            return False
        if self.record is not None and self.record.new == plan.new:
            if self.record.mode is Mode.DONE:
                return False
            if not again:
                raise PlanError(
                    f"{plan.new} was returned: {self.record.why or 'by staff'}; --again tries it anew"
                )
        number = self.record.number if self.record is not None else 0
        self.record = record_of(plan)
        self.record.number = number  # agents refuse a lower one
        return True

    def _plain(self) -> bytes:
        return b"" if self.record is None else self.codec.encode(self.record)

    def keep(self) -> None:
        """Keeps what the controller knows, where it has changed; tells how the release stands."""
        plain = self._plain()
        if plain != self.saved:
            self.records.save(plain)
            self.saved = plain
        if self.record.mode is not self.mode:
            self.mode = self.record.mode
            self.events.say(Event.RELEASE, mode=self.mode, why=self.record.why)

    def close(self) -> None:
        self.records.close()
        self.events.close()


def ask(folder: Path, kind: RequestKind, reason: str) -> bool:
    """Carries out what staff ask, or leaves it to the controller that holds the record; whether it is done.
    Raises StoreError, PlanError, OSError."""
    requests = StaffRequests(folder)
    try:
        kept = Kept(folder)
    except StoreError:
        requests.add(kind, reason)
        return False
    try:
        if kept.record is None:
            raise PlanError(f"{folder}: no release was begun here")
        carry_out(kept.record, requests)  # what a controller that was ended left undone comes first
        ACTIONS[kind](Release(kept.record), reason)
        kept.keep()
    finally:
        kept.close()
    return True
