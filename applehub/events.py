"""Events of the programs beside the router: JSON lines with one schema and one vocabulary.

A line holds `mono` (ns of the machine's monotonic clock, which all processes of a machine share), `wall`
(Unix time, ns, as the process sees it), `process`, `incarnation` (how many times the process was started),
`event`, perhaps `request`, and what the event's kind tells beside. Neither `run` nor `sim` imports this."""

import os
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, BinaryIO

import orjson

MOST_HELD = 1 << 20  # bytes: some 5,000 lines
BLOCK = 1 << 16  # bytes that are read at once


class Event(StrEnum):
    """What may happen. The comment tells the fields beside those that every line has."""

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


@dataclass(slots=True)
class Record:
    """One event as it was read."""

    mono: int
    wall: int
    process: str
    incarnation: int
    event: Event
    request: str
    more: dict[str, Any]

    def line(self, since: int = 0) -> str:
        """For people: ms since a moment, who, what."""
        said = " ".join(f"{name}={value}" for name, value in self.more.items())
        who = f"{self.process}#{self.incarnation}" if self.incarnation else self.process
        return (
            f"{(self.mono - since) / 1e6:12.3f} ms  {who:14} {self.event:10} {self.request} {said}".rstrip()
        )


class EventError(ValueError):
    """A line that is none of the schema."""


class Writer:
    """Writes one process's events. Each line is handed to the system at once, so that SIGKILL loses none.

    A file that refuses (ENOSPC, EIO) ends no program: lines are held, up to MOST_HELD bytes, and written
    before the next ones; those past that are dropped and counted."""

    def __init__(self, where: Path | BinaryIO, process: str, incarnation: int) -> None:
        """where: a file that no other process writes, or a stream. Raises OSError if it can't be opened."""
        self.process, self.incarnation = process, incarnation
        self.dropped = 0  # lines
        self._held = bytearray()  # what the file has not taken yet; its begin may be in the middle of a line
        self._file: Any
        if isinstance(where, Path):
            _cut_half_line(where)
            self._file = open(where, "ab", buffering=0)  # noqa: SIM115 (until it is closed)
        else:
            where.flush()
            self._file = getattr(where, "raw", where)  # a buffer would hold lines beside those held here

    def say(self, event: Event, **more: Any) -> None:
        """Writes a line, or holds it until the file takes it."""
        line = orjson.dumps(
            {
                "process": self.process,
                "incarnation": self.incarnation,
                **more,
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
                taken = self._file.write(bytes(self._held))
                if not taken:
                    return  # a stream that does not block, and is full
                del self._held[:taken]
        except OSError:
            return  # held, and written with the next line

    def close(self) -> None:
        """Closes the file; what it does not take now is lost."""
        self.flush()
        self._file.close()


def _cut_half_line(path: Path) -> None:
    """Takes away a last line in whose middle a writer was killed; else the next would be joined to it."""
    try:
        with open(path, "r+b") as file:
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
    except FileNotFoundError:
        return


def parse(line: bytes) -> Record:
    """Reads a line. Raises EventError."""
    try:
        told = orjson.loads(line)
        record = Record(
            told.pop("mono"), told.pop("wall"), told.pop("process"), told.pop("incarnation"),
            Event(told.pop("event")), told.pop("request", ""), told,
        )  # fmt: skip
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        raise EventError(f"{line[:80]!r}: {type(problem).__name__}: {problem}") from None
    return record


def whole_lines(path: Path, since: int = 0) -> list[bytes]:
    """The lines of a file from a byte on that are whole by now, each with its end. It is read at once: who
    reads line by line beside the writer gets the first part of a line, and then the rest as another."""
    with open(path, "rb") as file:
        file.seek(since)
        content = file.read()
    return content[: content.rfind(b"\n") + 1].splitlines(keepends=True)


def read(path: Path) -> Iterator[Record]:
    """All events of a file, in order. A last line that was cut off with its process is left out."""
    return map(parse, whole_lines(path))
