"""What halts a release: the new version held against the old one at the same time and under the same load, by
what agents tell of their units. Pure.

An agent tells of a unit, each where the unit has it: `life`, another at each start; counts since that start
(`requests`, and of those `failed`, `refused`, `late`, `missed`; `cpu_s`; `work_s`, the time that requests
held it up); `memory_mb`; `busy`, the part of its capacity in use. What the old version's units tell, the new
one's must tell as well.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import Any, NamedTuple

from applehub.release.evidence import Count, Evidence
from applehub.release.machine import Record
from applehub.release.plan import Gates

FAILURES = ("failed", "refused", "late", "missed")
COUNTS = ("requests", *FAILURES, "cpu_s", "work_s")
AT_ONCE = frozenset(("failed", "refused", "late"))  # count from a unit's first request on
LATELY = 10  # looks over which the old version's failures tell whether the fleet is well
ENOUGH = 20  # requests in them
SILENT_PART = 0.25  # of the old units: that many silent, and it is the network, or the agents
Figures = Mapping[str, float]


class Verdict(NamedTuple):
    """What one look gives."""

    halt: str = ""  # why the new version is bad, if it is
    unwell: str = ""  # why nothing should begin, if so
    spare: int | None = None  # how many more units may be out by the load; none: nobody tells


@dataclass(slots=True)
class _Seen:
    """What is remembered of a unit."""

    heard: float
    figures: Figures = field(default_factory=dict)
    since: float = 0.0  # when it came in with its version
    version: str = ""


class Gate:
    """Looks at all units again and again."""

    def __init__(self, gates: Gates, record: Record) -> None:
        self.gates, self.record = gates, record
        self.seen: dict[str, _Seen] = {}
        self.lately: list[Count] = []  # the old version's, by look
        self.dear: dict[str, float] = {}  # since when a cost of the new version is too high
        self.looked: float | None = None
        kept = record.evidence
        self.watched_s: float = kept.get("watched_s", 0.0)  # in looks of this controller and those before
        self.evidence = {
            name: Evidence(gates.least, gates.alpha / len(FAILURES), **kept.get(name, {}))
            for name in FAILURES
        }

    def plain(self) -> dict[str, Any]:
        """The evidence, for the record: a controller that was killed goes on with it."""
        told: dict[str, Any] = {
            name: {"logs": list(one.logs), "chi": one.chi, "freedom": one.freedom, "known": dict(one.known)}
            for name, one in self.evidence.items()
        }
        return {**told, "watched_s": self.watched_s}

    def look(self, now: float, told: Mapping[str, Figures | None]) -> Verdict:
        """told: by unit what its agent told; none where there was no answer, no entry where the controller's
        own machine kept it from asking, which tells nothing of the unit."""
        record = self.record
        if self.looked is not None:
            self.watched_s += min(now - self.looked, 2 * self.gates.look_s)  # not while it stood still
        self.looked = now
        deltas: dict[str, dict[str, float]] = {}
        for name, unit in record.units.items():
            seen = self.seen.setdefault(name, _Seen(now))
            if (unit.target or unit.version) != seen.version or unit.target:
                seen.version, seen.since = unit.version if not unit.target else "", now
            figures = told.get(name)
            if figures is None:
                if name not in told:
                    seen.heard = now
                if unit.target:
                    seen.heard = now  # it is on its way: the steps' own limits hold
                continue
            seen.heard = now
            before = seen.figures
            if figures.get("life") != before.get("life") or any(
                figures.get(name, 0.0) < before.get(name, 0.0) for name in COUNTS
            ):
                before = {}  # another start: its counts begin anew
            first = not seen.figures
            seen.figures = figures
            if not unit.target and not first:
                deltas[name] = {key: value - before.get(key, 0.0) for key, value in figures.items()}
        new = [name for name, unit in record.units.items() if not unit.target and unit.version == record.new]
        old = [name for name, unit in record.units.items() if not unit.target and unit.version == record.old]
        halt = (
            self._silent(now, new, old)
            or self._worse(
                now, {n: deltas[n] for n in new if n in deltas}, {n: deltas[n] for n in old if n in deltas}
            )
            or self._dear(now, [n for n in new if n in deltas], [n for n in old if n in deltas], deltas)
        )
        unwell = "" if told.keys() >= record.units.keys() else "the controller's machine can't ask all agents"
        unwell = unwell or self._unwell(now, old, deltas) or self._too_soon(new)
        return Verdict(halt, unwell, self._spare(new + old))

    def _silent(self, now: float, new: list[str], old: list[str]) -> str:
        """The reason to halt if a unit of the new version reports nothing, or lacks a metric of the old one.

        If many old units are silent as well, the cause is not the new version, and silence halts nothing.
        """
        late = [name for name in new if now - self.seen[name].heard > self.gates.silent_s]
        if late and not self._lost(now, old):
            return f"{late[0]}: tells nothing for {self.gates.silent_s:g} s"
        wanted = set().union(*(self.seen[name].figures for name in old)) if old else set()
        for name in new:
            figures = self.seen[name].figures
            if figures and (missing := sorted(wanted - set(figures))):
                return f"{name}: does not tell {', '.join(missing)}"
        return ""

    def _too_soon(self, new: list[str]) -> str:
        """The reason to wait until the old version was watched for `before_s`.

        Units differ in how often they fail, so each is measured with the old version first.
        """
        if new or self.watched_s >= self.gates.before_s:
            return ""
        return f"the old version is watched for {self.gates.before_s:g} s first"

    def _lost(self, now: float, old: list[str]) -> bool:
        silent = [name for name in old if now - self.seen[name].heard > self.gates.silent_s / 2]
        return len(silent) > SILENT_PART * len(old)

    def _worse(self, now: float, new: dict[str, dict[str, float]], old: dict[str, dict[str, float]]) -> str:
        for kind, evidence in self.evidence.items():
            settled = 0.0 if kind in AT_ONCE else self.gates.settle_s

            def counts(
                of: dict[str, dict[str, float]], kind: str = kind, settled: float = settled
            ) -> dict[str, Count]:
                return {
                    name: Count(int(one.get("requests", 0)), int(one[kind]))
                    for name, one in of.items()
                    if kind in one and now - self.seen[name].since >= settled
                }

            evidence.add(counts(new), counts(old))
            if evidence.worse:
                return f"{kind}: {evidence.odds:.3g} times likelier if the new version is worse"
        return ""

    def _dear(self, now: float, new: list[str], old: list[str], deltas: dict[str, dict[str, float]]) -> str:
        """Processor time and work a request over all units of a version, and the middle one's memory."""
        new = [name for name in new if now - self.seen[name].since >= self.gates.settle_s]

        def each(kind: str, names: list[str]) -> float:
            spent = sum(deltas[name].get(kind, 0.0) for name in names)
            return spent / max(1.0, sum(deltas[name].get("requests", 0.0) for name in names))

        def processor(names: list[str]) -> float:
            return each("cpu_s", names)

        def work(names: list[str]) -> float:
            return each("work_s", names)

        def memory(names: list[str]) -> float:
            return median(self.seen[name].figures.get("memory_mb", 0.0) for name in names)

        for what, cost in (("processor time", processor), ("work", work), ("memory", memory)):
            if not new or not old or cost(new) <= self.gates.cost * cost(old):
                self.dear.pop(what, None)
            elif now - self.dear.setdefault(what, now) >= self.gates.cost_s:
                return f"{what}: {cost(new):.3g} against {cost(old):.3g} for {self.gates.cost_s:g} s"
        return ""

    def _unwell(self, now: float, old: list[str], deltas: dict[str, dict[str, float]]) -> str:
        """The reason to wait while the old version's units are silent or fail: a release would add to it."""
        if old and self._lost(now, old):
            return "many units of the old version tell nothing"
        served = [deltas[name] for name in old if name in deltas]
        failures = sum(one.get("failed", 0.0) + one.get("refused", 0.0) for one in served)
        self.lately.append(Count(int(sum(one.get("requests", 0.0) for one in served)), int(failures)))
        del self.lately[:-LATELY]
        asked, failed = (sum(column) for column in zip(*self.lately, strict=True))
        if asked >= ENOUGH and failed > self.gates.unwell * asked:
            return f"{failed / asked:.0%} of the old version's requests fail"
        return ""

    def _spare(self, there: list[str]) -> int | None:
        """How many units the others can replace without exceeding `busy`; None if none reports its load."""
        busy = [self.seen[name].figures["busy"] for name in there if "busy" in self.seen[name].figures]
        if not busy:
            return None
        needed = -int(-sum(busy) // self.gates.busy)
        return max(0, len(busy) - needed)
