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
    EXITED = "exited"  # code; planned: whether the ground ended it
    SAMPLE = "sample"  # cpu_s, memory_mb, descriptors: of a process, since its start
    FAULT = "fault"  # fault: its number; kind, processes, edges: what it strikes
    HEALED = "healed"  # fault
    UNDONE = "undone"  # fault, why: it could not be carried out; of: the process that did not come up
    ASKED = "asked"  # request, router, cls, key, wait_ms: written whole to a router
    ANSWERED = "answered"  # request, router, how: served, refused or failed; ms
    CLOSED = "closed"  # request, router: the connection ended with no whole answer
    GAVE_UP = "gave_up"  # request, router: no answer in its time and the slack
    EXTRA = "extra"  # request, router: an answer that nobody waits for
    LEFT = "left"  # request, router: its client closed its connection before any answer
    UNREACHED = "unreached"  # request, router: no connection came up
    ATTEMPT = "attempt"  # request, router, server, cls: came in whole at a server
    ENDED = "ended"  # request, router, server, how
    FELL = "fell"  # server: more was sent to it while cold than it bears
    LISTED = "listed"  # version, server, state: a change of the list
    LIST_ASKED = "list_asked"  # router, since: the version that the caller holds, or none
    TOLD = "told"  # router, version, states: written to the router
    LEADS = "leads"  # term: a replica of the list service became primary
    FOLLOWS = "follows"  # term: it is primary no longer
    BRAKE = "brake"  # on: whether so many leases ran out at once that none is taken for gone
    RELOADED = "reloaded"  # taken; why not
    DAMAGED = "damaged"  # why: what is on the disk can't be used
    ACKED = "acked"  # server, entry, version: a change of the list that the service said yes to
    HELD = "held"  # of, servers: the versions of all entries at the primary, in the end
    PEERS = "peers"  # router, figures: what it hears of the other routers
    AGREED = "agreed"  # routers: each of so many that run knows of just those
    RELEASE = "release"  # mode, why: how a release stands from now on
    ORDERED = "ordered"  # unit, number, step, version: an order to an agent
    STEPPED = "stepped"  # unit, number, good, why: what came of it
    TURNED_DOWN = "turned_down"  # unit, number, why: an agent does not take an order
    CONDEMNED = "condemned"  # why: a gate finds the new version bad
    UNWELL = "unwell"  # why: nothing begins meanwhile; none: the fleet is well again
    WISHED = "wished"  # what: staff want it of a release under way
    LOCK = "lock"  # held, fence: whether this controller may give orders
    MOVED = "moved"  # unit, step, version, number, why: a machine carried a step out, or failed to
    CALL = "call"  # router, words, answer: an operator's call


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
