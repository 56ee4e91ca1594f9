"""Runs all points, policies and seeds of an experiment in parallel and stores a record of each run.

A results file holds a header line, then one line for each simulation run, in the order of the plan. An
interrupted experiment resumes where the file ends. The content does not depend on the machine, its clock or
the number of processes.
"""

import hashlib
import itertools
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

import applehub
from applehub.lab.simulation_run import run_simulation
from applehub.lab.spec import Experiment, Scenario, parse_experiment
from applehub.settings import Json

EXTRA_SOURCES = ("interface.py", "settings.py")  # hashed in addition to the folders lab, policy and peers


class ResultsError(ValueError):
    """Raised for a results file that is invalid or belongs to another experiment."""


@dataclass(frozen=True, slots=True)
class Task:
    """One simulation run."""

    point: int
    policy: str
    seed: int


@dataclass(slots=True)
class Plan:
    """The simulation runs of an experiment, in order."""

    experiment: Experiment
    raw: Json
    points: list[tuple[Json, Scenario]]

    @property
    def tasks(self) -> list[Task]:
        seeds = range(self.experiment.seeds.first, self.experiment.seeds.first + self.experiment.seeds.count)
        combinations = itertools.product(range(len(self.points)), self.experiment.policies, seeds)
        return [Task(*combination) for combination in combinations]

    @property
    def header(self) -> Json:
        content = orjson.dumps(self.raw, option=orjson.OPT_SORT_KEYS)
        return {
            "experiment": hashlib.sha256(content).hexdigest()[:16],
            "program": program_hash(),
            "name": self.experiment.name,
            "raw": self.raw,
        }


def program_hash() -> str:
    """Returns a hash of the sources that results depend on, so that one file never mixes two versions."""
    root = Path(applehub.__file__).parent
    files = sorted((root / "lab").glob("*.py")) + sorted((root / "policy").glob("*.py"))
    files += sorted((root / "peers").glob("*.py"))
    files += [root / name for name in EXTRA_SOURCES]
    digest = hashlib.sha256()
    for file in files:
        digest.update(file.name.encode() + b"\0" + file.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


def make_plan(name: str, raw: Json) -> Plan:
    """Parses an experiment; raises SpecError if it is invalid."""
    experiment, points = parse_experiment(name, raw)
    return Plan(experiment, raw, points)


def record_of(task: Task, point: Json, result: Json) -> Json:
    return {"point": point, "policy": task.policy, "seed": task.seed, "result": result}


def _run_task(task_inputs: tuple[Task, Json, Scenario]) -> bytes:
    task, point, scenario = task_inputs
    return orjson.dumps(
        record_of(task, point, run_simulation(scenario, task.policy, task.seed)),
        option=orjson.OPT_APPEND_NEWLINE,
    )


def _complete_lines(path: Path) -> list[bytes]:
    """Returns the complete lines of the file and truncates a partial line at its end."""
    if not path.exists():
        return []
    content = path.read_bytes()
    end = content.rfind(b"\n") + 1
    if end < len(content):
        os.truncate(path, end)
    return content[:end].splitlines()


def count_completed(path: Path, plan: Plan) -> int:
    """Returns the number of runs in the file; raises ResultsError for the file of another experiment."""
    lines = _complete_lines(path)
    if not lines:
        return 0
    if lines[0] != orjson.dumps(plan.header):
        raise ResultsError(
            f"{path}: holds results of another experiment or program version; name another file with --out"
        )
    for line, task in zip(lines[1:], plan.tasks, strict=False):
        record = orjson.loads(line)
        if (record["policy"], record["seed"], record["point"]) != (
            task.policy, task.seed, plan.points[task.point][0],
        ):  # fmt: skip
            raise ResultsError(f"{path}: expected records in the order of the plan")
    return len(lines) - 1


def run_plan(plan: Plan, path: Path, processes: int, on_record: Callable[[int, Json], None]) -> int:
    """Runs the tasks that the file lacks and appends their records; returns the number of runs made.

    on_record: called after each run with its position in the plan, from 1, and its record.
    """
    completed = count_completed(path, plan)
    task_inputs = [(task, *plan.points[task.point]) for task in plan.tasks[completed:]]
    with open(path, "ab", buffering=0) as file:
        if not file.tell():
            file.write(orjson.dumps(plan.header, option=orjson.OPT_APPEND_NEWLINE))
        for position, line in enumerate(_run_tasks(task_inputs, processes), completed + 1):
            file.write(line)
            on_record(position, orjson.loads(line))
    return len(task_inputs)


def _run_tasks(task_inputs: list[tuple[Task, Json, Scenario]], processes: int) -> Iterator[bytes]:
    if processes <= 1 or len(task_inputs) <= 1:
        yield from map(_run_task, task_inputs)
        return
    with ProcessPoolExecutor(min(processes, len(task_inputs))) as pool:
        yield from pool.map(_run_task, task_inputs)


def read_results(path: Path) -> tuple[Json, list[Json]]:
    """Returns the header and the records; raises ResultsError for a file that is not a results file."""
    try:
        lines = path.read_bytes().split(b"\n")[:-1]
        header, *records = map(orjson.loads, lines)
    except OSError as error:
        raise ResultsError(f"{path}: {error.strerror or error}") from None
    except (ValueError, TypeError) as error:
        raise ResultsError(f"{path}: expected a results file of `lab run`: {error}") from None
    keys: set[Any] = {"point", "policy", "seed", "result"}
    if "experiment" not in header or not all(keys <= set(record) for record in records):
        raise ResultsError(f"{path}: expected a results file of `lab run`, a header and records")
    return header, records
