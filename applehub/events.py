"""Events of the programs beside the router: JSON lines with one schema and one vocabulary.

A line holds `mono` (CLOCK_MONOTONIC in ns, which all processes of a machine share), `wall` (Unix time in ns,
as the process sees it), `process`, `incarnation` (how many times the process was started), `event`, perhaps
`request`, and the fields of the event's kind. Neither `run` nor `sim` imports this module.
"""

import os
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from pathlib import Path
from typing import Any, BinaryIO

import orjson

MOST_HELD = 1 << 20  # bytes: some 5,000 lines
BLOCK = 1 << 16  # bytes that are read at once


class EventKind(StrEnum):
    """Kinds of events. The comments name their fields, beside those of every line."""

    STARTED = "started"  # pid
    READY = "ready"  # address
    EXITED = "exited"  # code; planned: whether the proving ground ended it
    RESOURCE_SAMPLE = "sample"  # cpu_s, memory_mb, descriptors: of a process, since its start
    FAULT_BEGUN = "fault"  # fault: its number; kind, processes, edges: what it affects
    FAULT_ENDED = "healed"  # fault
    FAULT_NOT_BEGUN = "undone"  # fault, why: it could not be injected; of: the process that did not start
    REQUEST_SENT = "asked"  # request, router, cls, key, wait_ms: written to a router completely
    REQUEST_ANSWERED = "answered"  # request, router, how: served, refused or failed; ms
    CLOSED_UNANSWERED = "closed"  # request, router: the connection ended without a complete answer
    REQUEST_TIMED_OUT = "gave_up"  # request, router: no answer within its deadline and the slack
    ANSWER_UNEXPECTED = "extra"  # request, router: an answer to no open request
    CLIENT_LEFT = "left"  # request, router: the client closed its connection before an answer
    CONNECT_FAILED = "unreached"  # request, router: the connection was not established
    ATTEMPT_BEGUN = "attempt"  # request, router, server, cls: a server read it completely
    ATTEMPT_ENDED = "ended"  # request, router, server, how
    SERVER_OVERLOADED = "fell"  # server: it got more than its slow start permits
    LIST_CHANGED = "listed"  # version, server, state: a change of the endpoint list
    LIST_POLLED = "list_asked"  # router, since: the version that the caller has, or none
    LIST_SENT = "told"  # router, version, states: the list was written to the router
    LEADERSHIP_WON = "leads"  # term: a replica of the list service became leader
    LEADERSHIP_LOST = "follows"  # term: it is leader no longer
    EXPIRY_PAUSED = "brake"  # on: whether so many leases expired at once that no entry is removed
    CONFIG_RELOADED = "reloaded"  # taken: whether the file was applied; why not
    STORE_DAMAGED = "damaged"  # why: stored data can't be used
    CHANGE_ACKNOWLEDGED = "acked"  # server, entry, version: a change that the list service acknowledged
    ENTRIES_HELD = "held"  # of, servers: the versions of all entries at the leader, in the end
    PEER_FIGURES = "peers"  # router, figures: what it has received from the other routers
    PEERS_AGREED = "agreed"  # routers: each of this many that run knows exactly these
    RELEASE_MODE = "release"  # mode, why: the mode of a release from now on
    ORDER_SENT = "ordered"  # unit, number, step, version: an order was sent to an agent
    ORDER_OUTCOME = "stepped"  # unit, number, good, why: the outcome of an order
    ORDER_REFUSED = "turned_down"  # unit, number, why: an agent refused an order
    VERSION_REJECTED = "condemned"  # why: a gate found the new version bad
    FLEET_UNHEALTHY = "unwell"  # why: no unit is begun meanwhile; empty: units are begun again
    STAFF_REQUEST = "wished"  # what: the request of staff that a controller carried out
    LOCK_CHANGED = "lock"  # held, fence: whether this controller may send orders
    STEP_EXECUTED = "moved"  # unit, step, version, number, why: a host executed a step, or failed to
    OPERATOR_CALL = "call"  # router, words, answer: a call of an operator at the console


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One event as it was read. fields: those of its kind."""

    mono: int
    wall: int
    process: str
    incarnation: int
    event: EventKind
    request: str
    fields: dict[str, Any]

    def to_text(self, since: int = 0) -> str:
        """For people: ms since a reading of CLOCK_MONOTONIC in ns, the process, the event and its fields."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        process = f"{self.process}#{self.incarnation}" if self.incarnation else self.process
        elapsed_ms = (self.mono - since) / 1e6
        return f"{elapsed_ms:12.3f} ms  {process:14} {self.event:10} {self.request} {fields}".rstrip()


class EventFormatError(ValueError):
    """A line is not of the schema."""


class EventWriter:
    """Writes one process's events. Each line is handed to the system at once, so that SIGKILL loses none.

    A file that refuses (ENOSPC, EIO) ends no program: lines are held, up to MOST_HELD bytes, and written
    before the next ones; those past that are dropped and counted.
    """

    def __init__(self, target: Path | BinaryIO, process: str, incarnation: int) -> None:
        """target: a file that no other process writes, or a stream. Raises OSError if it can't be opened."""
        self.dropped = 0  # lines
        self._process = process
        self._incarnation = incarnation
        self._held = bytearray()  # not written yet; it may begin in the middle of a line
        self._write: Callable[[bytes], int | None]
        self._close: Callable[[], None]
        if isinstance(target, Path):
            _cut_half_line(target)
            descriptor = os.open(target, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o666)
            self._write = partial(os.write, descriptor)
            self._close = partial(os.close, descriptor)
        else:
            target.flush()
            raw = getattr(target, "raw", target)  # a buffer would hold lines beside those held here
            self._write = raw.write
            self._close = target.close

    def write(self, event: EventKind, **fields: object) -> None:
        """Writes a line, or holds it until the file takes it."""
        line = orjson.dumps(
            {
                "process": self._process,
                "incarnation": self._incarnation,
                **fields,
                "event": event,
                "mono": time.monotonic_ns(),
                "wall": time.time_ns(),
            }
        )
        if len(self._held) + len(line) >= MOST_HELD:
            self.dropped += 1
        else:
            self._held += line + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes what is held, as far as the file takes it."""
        try:
            while self._held:
                written = self._write(bytes(self._held))
                if not written:
                    return  # a stream that does not block, and is full
                del self._held[:written]
        except OSError:
            return  # held, and written before the next line

    def close(self) -> None:
        """Closes the file; lines that it refuses now are lost."""
        self.flush()
        self._close()


def parse_event(line: bytes) -> EventRecord:
    """Decodes a line. Raises EventFormatError."""
    try:
        fields = orjson.loads(line)
        return EventRecord(
            mono=fields.pop("mono"),
            wall=fields.pop("wall"),
            process=fields.pop("process"),
            incarnation=fields.pop("incarnation"),
            event=EventKind(fields.pop("event")),
            request=fields.pop("request", ""),
            fields=fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise EventFormatError(f"{line[:80]!r}: {type(error).__name__}: {error}") from error


def complete_lines(path: Path, since: int = 0) -> list[bytes]:
    """The complete lines of a file from an offset in bytes on, each with its end.

    The file is read at once. Reading line by line beside the writer would give the first part of a line, and
    then its rest as another line.
    """
    with path.open("rb") as file:
        file.seek(since)
        content = file.read()
    return content[: content.rfind(b"\n") + 1].splitlines(keepends=True)


def read_events(path: Path) -> Iterator[EventRecord]:
    """All events of a file, in order, without a last line that was cut off with its process.

    Raises OSError, EventFormatError.
    """
    return map(parse_event, complete_lines(path))


def _cut_half_line(path: Path) -> None:
    """Cuts off a last line in whose middle a writer was killed; else the next would be joined to it."""
    try:
        file = path.open("r+b")
    except FileNotFoundError:
        return
    with file:
        end = position = file.seek(0, os.SEEK_END)
        while position:
            start = max(0, position - BLOCK)
            file.seek(start)
            newline = file.read(position - start).rfind(b"\n")
            position = start + newline + 1
            if newline >= 0:
                break
        if position < end:
            file.truncate(position)
