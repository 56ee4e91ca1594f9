"""A release's plan: what is released, in which stages, within which limits."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from applehub.checked import Part, checked, read_toml

Count = Annotated[int, Field(ge=1)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


Address = Annotated[str, Field(pattern=r"^[^\s:/]+:\d{1,5}$")]
Positive = Annotated[float, Field(gt=0)]
Part01 = Annotated[float, Field(ge=0, le=1)]


class PlanError(ValueError):
    """A plan is of no use; a line for each fault of it."""


class Unit(Part):
    """One process that is released to: a cache server or a router."""

    name: Name
    zone: Name
    agent: Address | None = None  # who carries steps out there; `rehearse` needs none


class Stage(Part):
    """Units that are taken together: a number of them, or a part of what is left, in some zones or all."""

    name: Name
    zones: list[Name] = Field(default=[])  # none: all, one after another
    count: Count | None = None
    part: Annotated[float, Field(gt=0, le=1)] | None = None
    watch_s: Seconds = 60.0  # after its last unit, before the next stage

    @model_validator(mode="after")
    def _one_size(self) -> "Stage":
        if (self.count is None) == (self.part is None):
            raise ValueError("expected either count or part")
        return self


class Limits(Part):
    """How many units may be out at once, and how often a step is tried before its unit is returned."""

    out_at_once: Count = 1
    tries: Annotated[int, Field(ge=1, le=10)] = 2
    step_s: Annotated[float, Field(gt=0, le=3600)] = 60.0  # without an answer: asked again


class Gates(Part):
    """How the new version is held against the old one while both serve."""

    look_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0  # between looks
    alpha: Annotated[float, Field(gt=0, le=0.1)] = (
        0.01  # releases of a version that is as good that are halted
    )
    least: Annotated[float, Field(gt=0, lt=1)] = 0.005  # failures a request more that are not worth a halt
    silent_s: Positive = 10.0  # a new unit that tells nothing for so long counts as bad
    before_s: Seconds = 300.0  # of looks at the old version, before anything begins: what each unit is like
    settle_s: Seconds = 0.0  # after a unit came in, until its misses and its costs count
    cost: Annotated[float, Field(gt=1)] = 2.0  # times the old version's processor time and memory
    cost_s: Positive = 10.0  # for so long, without a break
    unwell: Part01 = 0.2  # part of the old version's requests that fail lately: nothing begins
    busy: Annotated[float, Field(gt=0, le=1)] = 0.8  # part of the others' capacity that may be in use


class Plan(Part):
    """A whole plan."""

    name: Name
    what: Literal["servers", "routers", "configuration"]
    old: Name
    new: Name
    limits: Limits = Limits()
    gates: Gates = Gates()
    lists: list[Address] = Field(default=[])  # the list service's staff addresses, for the controllers' lock
    back_on_halt: bool = False  # what is found bad is returned without staff
    stages: Annotated[list[Stage], Field(min_length=1)]
    fleet: Annotated[list[Unit], Field(min_length=1)]

    @model_validator(mode="after")
    def _makes_sense(self) -> "Plan":
        names, zones = [unit.name for unit in self.fleet], {unit.zone for unit in self.fleet}
        faults = [
            f"fleet: {name} stands there twice" for name in sorted({n for n in names if names.count(n) > 1})
        ]
        faults += [
            f"stages.{number}: {stage.name}: no unit of the fleet is in zone {zone}"
            for number, stage in enumerate(self.stages)
            for zone in stage.zones
            if zone not in zones
        ]
        if self.old == self.new:
            faults.append("new: expected another version than old")
        left = set(names) - {name for stage in self.batches() for name in stage}
        if not faults and left:
            faults.append(f"stages: {len(left)} units are in none, {min(left)} among them")
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def batches(self) -> list[list[str]]:
        """The units of each stage, zone after zone, in the order of their names."""
        left = sorted(self.fleet, key=lambda unit: (unit.zone, unit.name))
        batches = []
        for stage in self.stages:
            able = [unit for unit in left if not stage.zones or unit.zone in stage.zones]
            most = stage.count if stage.count is not None else round((stage.part or 1) * len(able))
            taken = able[: max(1, most)]
            left = [unit for unit in left if unit not in taken]
            batches.append([unit.name for unit in taken])
        return batches


def load_plan(path: Path) -> Plan:
    """Reads a plan's file. Raises PlanError."""
    return checked(str(path), Plan, read_toml(path, PlanError), PlanError)
