"""The history of a run: the events of all processes in one order, and the interval of each fault."""

from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from pathlib import Path

from applehub.events import EventKind, EventRecord, read_events

NEVER = 1 << 62


@dataclass(slots=True)
class FaultInterval:
    """The interval in which a fault was active, and what it affected; times in ns of the monotonic clock."""

    number: int
    kind: str
    processes: frozenset[str]
    edges: tuple[str, ...]  # patterns of edge names
    begin: int
    end: int = NEVER

    def affects(self, begin: int, end: int, process: str = "", edge: str = "") -> bool:
        """Returns whether the fault affected a process or an edge at some moment between begin and end."""
        if self.begin > end or self.end < begin:
            return False
        return process in self.processes or (edge != "" and self.affects_edge(edge))

    def affects_edge(self, edge: str) -> bool:
        return any(fnmatchcase(edge, pattern) for pattern in self.edges)


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a process, with times in ns of the monotonic clock."""

    name: str
    number: int
    begin: int
    ready: int = NEVER
    end: int = NEVER


@dataclass(slots=True)
class History:
    """All events of a run, with the fault intervals and process incarnations derived from them."""

    records: list[EventRecord]
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    incarnations: dict[str, list[Incarnation]] = field(default_factory=dict)
    begin: int = 0

    def faults_affecting(
        self, begin: int, end: int, process: str = "", edge: str = ""
    ) -> list[FaultInterval]:
        return [interval for interval in self.fault_intervals if interval.affects(begin, end, process, edge)]

    def events_of(self, *events: EventKind) -> list[EventRecord]:
        return [record for record in self.records if record.event in events]


def event_files(folder: Path) -> list[Path]:
    """Returns the event files of a run: those of the harness, of each process and of a release controller.

    No other folder is searched: the routers' disks may change during a directory walk."""
    paths = [
        path
        for subfolder in ("", "*/", "controller/state/")
        for path in folder.glob(f"{subfolder}events*.jsonl")
    ]
    return sorted(paths)


def gather(folder: Path) -> History:
    """Merges the events of all processes below a folder by their shared monotonic clock."""
    records = [record for path in event_files(folder) for record in read_events(path)]
    return build_history(records)


def build_history(records: list[EventRecord]) -> History:
    """Sorts the records by time and derives fault intervals and process incarnations."""
    records = sorted(records, key=lambda record: record.mono)
    history = History(records, begin=records[0].mono if records else 0)
    fault_intervals: dict[int, FaultInterval] = {}
    for record in records:
        fields = record.fields
        match record.event:
            case EventKind.FAULT_BEGUN:
                fault_intervals[fields["fault"]] = FaultInterval(
                    fields["fault"],
                    fields["kind"],
                    frozenset(fields["processes"]),
                    tuple(fields["edges"]),
                    record.mono,
                )
            case EventKind.FAULT_ENDED:
                fault_intervals[fields["fault"]].end = record.mono
            case EventKind.STARTED:
                incarnations = history.incarnations.setdefault(fields["of"], [])
                incarnations.append(Incarnation(fields["of"], fields["number"], record.mono))
            case EventKind.READY | EventKind.EXITED if "of" in fields:
                for incarnation in history.incarnations.get(fields["of"], []):
                    if incarnation.number == fields["number"]:
                        if record.event is EventKind.READY:
                            incarnation.ready = record.mono
                        else:
                            incarnation.end = record.mono
    history.fault_intervals = list(fault_intervals.values())
    return history
