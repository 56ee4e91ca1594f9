"""Tests that run side by side: which begin first, and which run alone."""

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import cast

import conftest
import pytest

FOLDER = Path(__file__).parent
TIMES = """
import time
from pathlib import Path

import pytest

def note(name):
    begun = time.monotonic()
    time.sleep(0.2)
    with Path("times").open("a") as file:
        file.write(f"{name} {begun} {time.monotonic()}\\n")

@pytest.mark.parametrize("number", range(2))
def ALONE(number):
    note("alone")

@pytest.mark.parametrize("number", range(9))
def test_of_any_kind(number):
    note("any")

@pytest.mark.parametrize("number", range(2))
def test_that_meets_another(number):
    Path(f"here {number}").touch()
    begun = time.monotonic()
    while not Path(f"here {1 - number}").exists():
        assert time.monotonic() < begun + 60, "nothing runs beside this"
        time.sleep(0.01)

def LONG():
    note("long")
"""


@pytest.mark.parametrize("names", [conftest.LONG, conftest.ALONE], ids=["long", "alone"])
def test_each_listed_name_is_a_test(names: tuple[str, ...]) -> None:
    defined = [
        name
        for file in FOLDER.glob("test_*.py")
        for name in re.findall(r"^(?:async )?def (test_\w+)", file.read_text(), re.M)
    ]
    assert [defined.count(name) for name in names] == [1] * len(names)


def test_who_has_to_be_alone_is_while_others_run_side_by_side(tmp_path: Path) -> None:
    (tmp_path / "conftest.py").write_text((FOLDER / "conftest.py").read_text())
    test = TIMES.replace("ALONE", conftest.ALONE[0]).replace("LONG", conftest.LONG[-1])
    (tmp_path / "test_times.py").write_text(test)
    words = ["-n", "3", "--dist", "loadgroup", "--no-loadscope-reorder", "-q", "-p", "no:cacheprovider"]
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *words],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(FOLDER.parent)},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout
    spans = [(name, float(begun), float(ended)) for name, begun, ended in read(tmp_path / "times")]
    assert sorted(name for name, _, _ in spans) == ["alone"] * 2 + ["any"] * 9 + ["long"]
    for alone in [span for span in spans if span[0] == "alone"]:
        beside = [one for one in spans if one[1] < alone[2] and alone[1] < one[2]]
        assert beside == [alone]


class Item:
    """What the order looks at of a collected test."""

    def __init__(self, name: str) -> None:
        self.name = self.originalname = name
        self.marks: list[pytest.MarkDecorator] = []

    def add_marker(self, mark: pytest.MarkDecorator) -> None:
        self.marks.append(mark)


def test_the_longest_come_first_and_those_that_run_alone_last() -> None:
    names = ["test_a", *conftest.ALONE, "test_b", *reversed(conftest.LONG), "test_c"]
    items = [Item(name) for name in names]
    conftest.pytest_collection_modifyitems(cast(list[pytest.Item], items))
    ordinary = ["test_a", "test_b", "test_c"]
    assert [item.name for item in items] == [*conftest.LONG, *ordinary, *conftest.ALONE]
    grouped = [item.name for item in items if item.marks == [pytest.mark.xdist_group("alone")]]
    assert grouped == list(conftest.ALONE)


def read(file: Path) -> list[list[str]]:
    return [line.split() for line in file.read_text().splitlines()]
