"""The plan of a release: what is released, in which stages, within which limits. Field names are the file's
keys.
"""

from collections import Counter
from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from applehub.checked import Table, read_toml, validate
from applehub.release.errors import PlanError
from applehub.release.state_machine import ReleaseKind

Count = Annotated[int, Field(ge=1)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[^\s:/]+:\d{1,5}$")]
Positive = Annotated[float, Field(gt=0)]
Fraction = Annotated[float, Field(ge=0, le=1)]


class PlannedUnit(Table):
    """One process that is upgraded: a cache server or a router."""

    name: Name
    zone: Name
    agent: Address | None = None  # of the agent that executes steps there; `rehearse` needs none


class Stage(Table):
    """Units that are upgraded together: a number of them, or a part of the rest, in some zones or in all."""

    name: Name
    zones: list[Name] = Field(default=[])  # empty: all, one after another
    count: Count | None = None
    part: Annotated[float, Field(gt=0, le=1)] | None = None
    watch_s: Seconds = 60.0  # after its last unit, before the next stage

    @model_validator(mode="after")
    def _one_size(self) -> "Stage":
        if (self.count is None) == (self.part is None):
            raise ValueError("expected either count or part")
        return self


class Limits(Table):
    """How many units may be out of service at once, and how a step that fails is retried."""

    out_at_once: Count = 1
    tries: Annotated[int, Field(ge=1, le=10)] = 2  # attempts at a step before its unit is returned
    step_s: Annotated[float, Field(gt=0, le=3600)] = 60.0  # without an outcome: the order is sent again


class GateSettings(Table):
    """How the new version is compared with the old one while both serve."""

    look_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0  # between polls
    alpha: Annotated[float, Field(gt=0, le=0.1)] = (
        0.01  # part of the releases of an equal version that is halted
    )
    least: Annotated[float, Field(gt=0, lt=1)] = 0.005  # additional failures a request that justify no halt
    silent_s: Positive = 10.0  # a unit of the new version that reports nothing for so long is bad
    before_s: Seconds = 300.0  # polling of the old version, before the first unit: the baseline of each unit
    settle_s: Seconds = 0.0  # after a unit entered service, until its misses and costs count
    cost: Annotated[float, Field(gt=1)] = 2.0  # times the old version's processor time and memory
    cost_s: Positive = 10.0  # for so long, without interruption
    unwell: Fraction = 0.2  # part of the old version's recent requests that fail: no unit is begun
    busy: Annotated[float, Field(gt=0, le=1)] = 0.8  # part of the other units' capacity that may be in use


class Plan(Table):
    """A whole plan."""

    name: Name
    what: ReleaseKind
    old: Name
    new: Name
    limits: Limits = Limits()
    gates: GateSettings = GateSettings()
    lists: list[Address] = Field(default=[])  # the list service's staff addresses, for the controllers' lock
    back_on_halt: bool = False  # a version found bad is rolled back without staff
    stages: Annotated[list[Stage], Field(min_length=1)]
    fleet: Annotated[list[PlannedUnit], Field(min_length=1)]

    @model_validator(mode="after")
    def _consistent(self) -> "Plan":
        faults = [*self._duplicates(), *self._unknown_zones()]
        if self.old == self.new:
            faults.append("new: expected another version than old")
        left = {unit.name for unit in self.fleet} - {
            name for stage in self.unit_names_by_stage() for name in stage
        }
        if not faults and left:
            faults.append(f"stages: {len(left)} units are in none, {min(left)} among them")
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def _duplicates(self) -> list[str]:
        counts = Counter(unit.name for unit in self.fleet)
        return [f"fleet: {name} stands there twice" for name in sorted(counts) if counts[name] > 1]

    def _unknown_zones(self) -> list[str]:
        zones = {unit.zone for unit in self.fleet}
        return [
            f"stages.{number}: {stage.name}: no unit of the fleet is in zone {zone}"
            for number, stage in enumerate(self.stages)
            for zone in stage.zones
            if zone not in zones
        ]

    def unit_names_by_stage(self) -> list[list[str]]:
        """The units of each stage, zone after zone, in the order of their names."""
        left = sorted(self.fleet, key=lambda unit: (unit.zone, unit.name))
        stages = []
        for stage in self.stages:
            candidates = [unit for unit in left if not stage.zones or unit.zone in stage.zones]
            count = stage.count if stage.count is not None else round((stage.part or 1) * len(candidates))
            taken = candidates[: max(1, count)]
            names = {unit.name for unit in taken}
            left = [unit for unit in left if unit.name not in names]
            stages.append([unit.name for unit in taken])
        return stages


def load_plan(path: Path) -> Plan:
    """Reads the file of a plan. Raises PlanError with every fault of it."""
    return validate(str(path), Plan, read_toml(path, PlanError), PlanError)
