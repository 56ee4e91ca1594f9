"""What happened: the events of all processes in one order, and the spans in which each fault struck."""

from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from pathlib import Path

from applehub.events import EventKind, EventRecord, read_events

NEVER = 1 << 62


@dataclass(slots=True)
class Span:
    """A fault while it struck, ns of the monotonic clock."""

    number: int
    kind: str
    processes: frozenset[str]
    edges: tuple[str, ...]  # patterns
    begin: int
    end: int = NEVER

    def strikes(self, begin: int, end: int, process: str = "", edge: str = "") -> bool:
        """Whether it struck a process or an edge at some moment of that time."""
        if self.begin > end or self.end < begin:
            return False
        return process in self.processes or (edge != "" and self.reaches(edge))

    def reaches(self, edge: str) -> bool:
        """Whether it strikes an edge."""
        return any(fnmatchcase(edge, one) for one in self.edges)


@dataclass(slots=True)
class Life:
    """One incarnation of a process, ns of the monotonic clock."""

    name: str
    number: int
    begin: int
    ready: int = NEVER
    end: int = NEVER


@dataclass(slots=True)
class History:
    """All of a play."""

    records: list[EventRecord]
    spans: list[Span] = field(default_factory=list)
    lives: dict[str, list[Life]] = field(default_factory=dict)
    begin: int = 0

    def struck(self, begin: int, end: int, process: str = "", edge: str = "") -> list[Span]:
        return [one for one in self.spans if one.strikes(begin, end, process, edge)]

    def of(self, *events: EventKind) -> list[EventRecord]:
        return [one for one in self.records if one.event in events]


def files(folder: Path) -> list[Path]:
    """The events files of a play: the ground's own, those in each process's folder, and a controller's. Other
    folders are disks, which routers change under whoever walks through them."""
    found = [
        path for where in ("", "*/", "controller/state/") for path in folder.glob(f"{where}events*.jsonl")
    ]
    return sorted(found)


def gather(folder: Path) -> History:
    """Merges the events of all processes below a folder, in the order of the clock that they share."""
    records = [one for path in files(folder) for one in read_events(path)]
    return ordered(records)


def ordered(records: list[EventRecord]) -> History:
    records = sorted(records, key=lambda one: one.mono)
    history = History(records, begin=records[0].mono if records else 0)
    spans: dict[int, Span] = {}
    for one in records:
        more = one.fields
        match one.event:
            case EventKind.FAULT_BEGUN:
                spans[more["fault"]] = Span(
                    more["fault"], more["kind"], frozenset(more["processes"]), tuple(more["edges"]), one.mono
                )
            case EventKind.FAULT_ENDED:
                spans[more["fault"]].end = one.mono
            case EventKind.STARTED:
                lives = history.lives.setdefault(more["of"], [])
                lives.append(Life(more["of"], more["number"], one.mono))
            case EventKind.READY | EventKind.EXITED if "of" in more:
                for life in history.lives.get(more["of"], []):
                    if life.number == more["number"]:
                        if one.event is EventKind.READY:
                            life.ready = one.mono
                        else:
                            life.end = one.mono
    history.spans = list(spans.values())
    return history
