"""The plan file of a release: what is released, in which stages and within which limits.

The field names of the models are the keys of the file.
"""

from collections import Counter
from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from applehub.release.errors import PlanError
from applehub.release.state_machine import ReleaseKind
from applehub.validation import Table, read_toml, validate

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
    agent: Address | None = None  # address of the unit's agent; not needed by `rehearse`


class Stage(Table):
    """A group of units, given as a number or as a fraction of the units that are in no earlier stage."""

    name: Name
    zones: list[Name] = Field(default=[])  # zones from which units are taken; empty for all zones
    count: Count | None = None
    part: Annotated[float, Field(gt=0, le=1)] | None = None
    watch_s: Seconds = 60.0  # time from the last upgrade of this stage until the next stage

    @model_validator(mode="after")
    def _check_size(self) -> "Stage":
        if (self.count is None) == (self.part is None):
            raise ValueError("expected exactly one of count and part")
        return self


class Limits(Table):
    """Limits on the number of units out of service, and on the attempts at a step."""

    out_at_once: Count = 1  # maximum number of units out of service
    tries: Annotated[int, Field(ge=1, le=10)] = 2  # attempts at a step before the unit is rolled back
    step_s: Annotated[float, Field(gt=0, le=3600)] = 60.0  # time after which a pending order is sent again


class GateSettings(Table):
    """Settings of the health gates, which compare the two versions while both are in service."""

    look_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0  # interval between polls
    # Maximum probability of halting a release whose new version is as good as the old one.
    alpha: Annotated[float, Field(gt=0, le=0.1)] = 0.01
    least: Annotated[float, Field(gt=0, lt=1)] = 0.005  # tolerated additional failures per request
    silent_s: Positive = 10.0  # the release is halted if a unit of the new version is silent for longer
    before_s: Seconds = 300.0  # duration of polling the old version before the first upgrade
    settle_s: Seconds = 0.0  # time in service before a unit's misses and costs count
    cost: Annotated[float, Field(gt=1)] = (
        2.0  # maximum ratio of the new version's CPU time, work or memory to the old version's
    )
    cost_s: Positive = 10.0  # time for which `cost` must be exceeded without interruption to halt
    unwell: Fraction = 0.2  # fraction of failed requests at the old version above which upgrades are paused
    busy: Annotated[float, Field(gt=0, le=1)] = 0.8  # maximum load fraction of the units in service


class Plan(Table):
    """The plan of one release."""

    name: Name
    what: ReleaseKind
    old: Name
    new: Name
    limits: Limits = Limits()
    gates: GateSettings = GateSettings()
    lists: list[Address] = Field(default=[])  # admin addresses of the list service's replicas, for the lock
    back_on_halt: bool = False  # whether a rejected version is rolled back automatically
    stages: Annotated[list[Stage], Field(min_length=1)]
    fleet: Annotated[list[PlannedUnit], Field(min_length=1)]

    @model_validator(mode="after")
    def _check_consistency(self) -> "Plan":
        errors = [*self._duplicates(), *self._unknown_zones()]
        if self.old == self.new:
            errors.append("new: expected another version than old")
        remaining = {unit.name for unit in self.fleet} - {
            name for stage in self.unit_names_by_stage() for name in stage
        }
        if not errors and remaining:
            errors.append(f"stages: {len(remaining)} units are in no stage, {min(remaining)} among them")
        if errors:
            raise ValueError("; ".join(errors))
        return self

    def _duplicates(self) -> list[str]:
        counts = Counter(unit.name for unit in self.fleet)
        return [f"fleet: {name} is listed twice" for name in sorted(counts) if counts[name] > 1]

    def _unknown_zones(self) -> list[str]:
        zones = {unit.zone for unit in self.fleet}
        return [
            f"stages.{number}: {stage.name}: no unit of the fleet is in zone {zone}"
            for number, stage in enumerate(self.stages)
            for zone in stage.zones
            if zone not in zones
        ]

    def unit_names_by_stage(self) -> list[list[str]]:
        """Returns the unit names of each stage, sorted by zone and name."""
        remaining = sorted(self.fleet, key=lambda unit: (unit.zone, unit.name))
        stages = []
        for stage in self.stages:
            candidates = [unit for unit in remaining if not stage.zones or unit.zone in stage.zones]
            count = stage.count if stage.count is not None else round((stage.part or 1) * len(candidates))
            selected = candidates[: max(1, count)]
            names = {unit.name for unit in selected}
            remaining = [unit for unit in remaining if unit.name not in names]
            stages.append([unit.name for unit in selected])
        return stages


def load_plan(path: Path) -> Plan:
    """Reads and validates a plan file. Raises PlanError with all errors of the file."""
    return validate(str(path), Plan, read_toml(path, PlanError), PlanError)
