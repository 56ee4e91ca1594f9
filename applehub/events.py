"""Structured event log of the programs other than the router: JSON lines with one schema.

Each line has the fields `mono` (CLOCK_MONOTONIC in nanoseconds, shared by all processes of a machine), `wall`
(Unix time in nanoseconds), `process`, `incarnation` (number of times the process was started), `event`,
optionally `request`, and the fields of the event's kind. The commands `run` and `sim` don't import
this module.
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

MAX_BUFFERED_BYTES = 1 << 20  # maximum size of the lines that are not written yet
READ_BLOCK_BYTES = 1 << 16


class EventKind(StrEnum):
    """Kinds of events. Each comment lists the fields that the kind adds to those of every line."""

    STARTED = "started"  # pid
    READY = "ready"  # address
    EXITED = "exited"  # code; planned: whether the test harness ended the process
    RESOURCE_SAMPLE = "sample"  # cpu_s: CPU time since the start of the process; memory_mb; descriptors
    FAULT_BEGUN = "fault"  # fault: number of the fault; kind; processes, edges: what the fault affects
    FAULT_ENDED = "healed"  # fault
    FAULT_NOT_BEGUN = "undone"  # fault; why: injection error; of: process that did not start
    REQUEST_SENT = "asked"  # request, router, cls, key, wait_ms: the complete request was written to a router
    REQUEST_ANSWERED = "answered"  # request, router, how: served, refused or failed; ms: latency
    CLOSED_UNANSWERED = "closed"  # request, router: connection closed before a complete answer
    REQUEST_TIMED_OUT = "gave_up"  # request, router: no answer within the deadline and its margin
    ANSWER_UNEXPECTED = "extra"  # request, router: answer that matches no open request
    CLIENT_LEFT = "left"  # request, router: client closed its connection before the answer
    CONNECT_FAILED = "unreached"  # request, router: connection could not be established
    ATTEMPT_BEGUN = "attempt"  # request, router, server, cls: a server read the complete request
    ATTEMPT_ENDED = "ended"  # request, router, server; how: outcome of the attempt
    SERVER_OVERLOADED = "fell"  # server: received more requests than its slow start permits
    LIST_CHANGED = "listed"  # version, server, state: the endpoint list changed
    LIST_POLLED = "list_asked"  # router; since: list version that the router has, or none
    LIST_SENT = "told"  # router, version, states: the list was sent to the router
    LEADERSHIP_WON = "leads"  # term: a replica of the list service became leader
    LEADERSHIP_LOST = "follows"  # term: the replica is no longer leader
    EXPIRY_PAUSED = "brake"  # on: whether removals are paused because too many leases expired at once
    CONFIG_RELOADED = "reloaded"  # taken: whether the file was applied; why: reason if it was not
    STORE_DAMAGED = "damaged"  # why: stored data is unusable
    CHANGE_ACKNOWLEDGED = "acked"  # server, entry, version: the list service acknowledged a change
    ENTRIES_HELD = "held"  # of: leader; version; servers: version of each entry at the end of a run
    PEER_FIGURES = "peers"  # router, figures: statistics that the router received from its peers
    PEERS_AGREED = "agreed"  # routers: number of running routers, each of which knows all of them
    RELEASE_MODE = "release"  # mode, why: a release entered this mode
    ORDER_SENT = "ordered"  # unit, number, step, version: an order was sent to an agent
    ORDER_OUTCOME = "stepped"  # unit, number, good, why: outcome of an order
    ORDER_REFUSED = "turned_down"  # unit, number, why: an agent rejected an order
    VERSION_REJECTED = "condemned"  # why: a gate rejected the new version
    FLEET_UNHEALTHY = "unwell"  # why: upgrades of further units are paused; empty: resumed
    STAFF_REQUEST = "wished"  # what: staff request that a controller executed
    LOCK_CHANGED = "lock"  # held, fence: whether this controller may send orders
    STEP_EXECUTED = "moved"  # unit, step, version, number, why: a host executed a step or failed to
    OPERATOR_CALL = "call"  # router, words, answer: an operator's console command


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One decoded event. `fields` holds the fields of its kind."""

    mono: int  # CLOCK_MONOTONIC in ns
    wall: int  # Unix time in ns
    process: str
    incarnation: int
    event: EventKind
    request: str
    fields: dict[str, Any]

    def to_text(self, since: int = 0) -> str:
        """Returns a readable line with the time in ms since `since`, a CLOCK_MONOTONIC reading in ns."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        process = f"{self.process}#{self.incarnation}" if self.incarnation else self.process
        elapsed_ms = (self.mono - since) / 1e6
        return f"{elapsed_ms:12.3f} ms  {process:14} {self.event:10} {self.request} {fields}".rstrip()


class EventFormatError(ValueError):
    """A line does not match the event schema."""


class EventWriter:
    """Writes the events of one process, each with its own `write` call so that SIGKILL loses none.

    Write errors (ENOSPC, EIO) are not raised: up to MAX_BUFFERED_BYTES of lines are buffered and written
    before later lines. Lines beyond that are dropped and counted in `dropped`.
    """

    def __init__(self, target: Path | BinaryIO, process: str, incarnation: int) -> None:
        """Opens `target`, a stream or the path of a file with no other writer. Raises OSError."""
        self.dropped = 0
        self._process = process
        self._incarnation = incarnation
        self._buffer = bytearray()  # unwritten lines; the first may be partial
        self._write: Callable[[bytes], int | None]
        self._close: Callable[[], None]
        if isinstance(target, Path):
            _truncate_partial_line(target)
            descriptor = os.open(target, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o666)
            self._write = partial(os.write, descriptor)
            self._close = partial(os.close, descriptor)
        else:
            target.flush()
            raw = getattr(target, "raw", target)  # bypasses the stream's own buffer
            self._write = raw.write
            self._close = target.close

    def write(self, event: EventKind, **fields: object) -> None:
        """Writes an event, or buffers it if the file can't be written."""
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
        if len(self._buffer) + len(line) >= MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes as many buffered lines as the file accepts."""
        try:
            while self._buffer:
                written = self._write(bytes(self._buffer))
                if not written:
                    return  # the buffer of a non-blocking stream is full
                del self._buffer[:written]
        except OSError:
            return  # the lines stay buffered and are written before the next one

    def close(self) -> None:
        """Closes the file. Buffered lines that still can't be written are lost."""
        self.flush()
        self._close()


def parse_event(line: bytes) -> EventRecord:
    """Decodes a line. Raises EventFormatError if it does not match the schema."""
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
    """Returns the complete lines of a file from byte offset `since` on, including their line ends.

    The file is read in one call, because reading it line by line during a write could split a line in two.
    """
    with path.open("rb") as file:
        file.seek(since)
        content = file.read()
    return content[: content.rfind(b"\n") + 1].splitlines(keepends=True)


def read_events(path: Path) -> Iterator[EventRecord]:
    """Yields the events of a file in order, without an incomplete last line.

    Raises OSError or EventFormatError.
    """
    return map(parse_event, complete_lines(path))


def _truncate_partial_line(path: Path) -> None:
    """Removes an incomplete last line, left by a killed writer, so that the next line is not joined to it."""
    try:
        file = path.open("r+b")
    except FileNotFoundError:
        return
    with file:
        end = position = file.seek(0, os.SEEK_END)
        while position:
            start = max(0, position - READ_BLOCK_BYTES)
            file.seek(start)
            newline = file.read(position - start).rfind(b"\n")
            position = start + newline + 1
            if newline >= 0:
                break
        if position < end:
            file.truncate(position)
