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


class Event(StrEnum):
    """Kinds of events. The comments name their fields, beside those of every line."""

    STARTED = "started"  # pid
    READY = "ready"  # address
    EXITED = "exited"  # code; planned: whether the proving ground ended it
    SAMPLE = "sample"  # cpu_s, memory_mb, descriptors: of a process, since its start
    FAULT = "fault"  # fault: its number; kind, processes, edges: what it affects
    HEALED = "healed"  # fault
    UNDONE = "undone"  # fault, why: it could not be injected; of: the process that did not start
    ASKED = "asked"  # request, router, cls, key, wait_ms: written to a router completely
    ANSWERED = "answered"  # request, router, how: served, refused or failed; ms
    CLOSED = "closed"  # request, router: the connection ended without a complete answer
    GAVE_UP = "gave_up"  # request, router: no answer within its deadline and the slack
    EXTRA = "extra"  # request, router: an answer to no open request
    LEFT = "left"  # request, router: the client closed its connection before an answer
    UNREACHED = "unreached"  # request, router: the connection was not established
    ATTEMPT = "attempt"  # request, router, server, cls: a server read it completely
    ENDED = "ended"  # request, router, server, how
    FELL = "fell"  # server: it got more than its slow start permits
    LISTED = "listed"  # version, server, state: a change of the endpoint list
    LIST_ASKED = "list_asked"  # router, since: the version that the caller has, or none
    TOLD = "told"  # router, version, states: the list was written to the router
    LEADS = "leads"  # term: a replica of the list service became leader
    FOLLOWS = "follows"  # term: it is leader no longer
    BRAKE = "brake"  # on: whether so many leases expired at once that no entry is removed
    RELOADED = "reloaded"  # taken: whether the file was applied; why not
    DAMAGED = "damaged"  # why: stored data can't be used
    ACKED = "acked"  # server, entry, version: a change that the list service acknowledged
    HELD = "held"  # of, servers: the versions of all entries at the leader, in the end
    PEERS = "peers"  # router, figures: what it has received from the other routers
    AGREED = "agreed"  # routers: each of this many that run knows exactly these
    RELEASE = "release"  # mode, why: the mode of a release from now on
    ORDERED = "ordered"  # unit, number, step, version: an order was sent to an agent
    STEPPED = "stepped"  # unit, number, good, why: the outcome of an order
    TURNED_DOWN = "turned_down"  # unit, number, why: an agent refused an order
    CONDEMNED = "condemned"  # why: a gate found the new version bad
    UNWELL = "unwell"  # why: no unit is begun meanwhile; empty: units are begun again
    WISHED = "wished"  # what: the request of staff that a controller carried out
    LOCK = "lock"  # held, fence: whether this controller may send orders
    MOVED = "moved"  # unit, step, version, number, why: a host executed a step, or failed to
    CALL = "call"  # router, words, answer: a call of an operator at the console


@dataclass(frozen=True, slots=True)
class Record:
    """One event as it was read. more: the fields of its kind."""

    mono: int
    wall: int
    process: str
    incarnation: int
    event: Event
    request: str
    more: dict[str, Any]

    def line(self, since: int = 0) -> str:
        """For people: ms since a reading of CLOCK_MONOTONIC in ns, the process, the event and its fields."""
        fields = " ".join(f"{name}={value}" for name, value in self.more.items())
        process = f"{self.process}#{self.incarnation}" if self.incarnation else self.process
        elapsed_ms = (self.mono - since) / 1e6
        return f"{elapsed_ms:12.3f} ms  {process:14} {self.event:10} {self.request} {fields}".rstrip()


class EventError(ValueError):
    """A line is not of the schema."""


class Writer:
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

    def say(self, event: Event, **fields: object) -> None:
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


def parse(line: bytes) -> Record:
    """Decodes a line. Raises EventError."""
    try:
        fields = orjson.loads(line)
        return Record(
            mono=fields.pop("mono"),
            wall=fields.pop("wall"),
            process=fields.pop("process"),
            incarnation=fields.pop("incarnation"),
            event=Event(fields.pop("event")),
            request=fields.pop("request", ""),
            more=fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise EventError(f"{line[:80]!r}: {type(error).__name__}: {error}") from error


def whole_lines(path: Path, since: int = 0) -> list[bytes]:
    """The complete lines of a file from an offset in bytes on, each with its end.

    The file is read at once. Reading line by line beside the writer would give the first part of a line, and
    then its rest as another line.
    """
    with path.open("rb") as file:
        file.seek(since)
        content = file.read()
    return content[: content.rfind(b"\n") + 1].splitlines(keepends=True)


def read(path: Path) -> Iterator[Record]:
    """All events of a file, in order, without a last line that was cut off with its process.

    Raises OSError, EventError.
    """
    return map(parse, whole_lines(path))


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
