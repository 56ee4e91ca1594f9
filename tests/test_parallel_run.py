"""Parallel test runs: the order of tests, and the tests that run exclusively."""

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import cast

import conftest
import pytest

FOLDER = Path(__file__).parent
TIMED_TESTS = """
import time
from pathlib import Path

import pytest

def record_span(name):
    started = time.monotonic()
    time.sleep(0.2)
    with Path("times").open("a") as file:
        file.write(f"{name} {started} {time.monotonic()}\\n")

@pytest.mark.parametrize("number", range(2))
def ALONE(number):
    record_span("alone")

@pytest.mark.parametrize("number", range(9))
def test_ordinary(number):
    record_span("any")

@pytest.mark.parametrize("number", range(2))
def test_overlaps_with_another(number):
    Path(f"running {number}").touch()
    started = time.monotonic()
    while not Path(f"running {1 - number}").exists():
        assert time.monotonic() < started + 60, "no other test ran in parallel"
        time.sleep(0.01)

def LONG():
    record_span("long")
"""


@pytest.mark.parametrize("names", [conftest.SLOW_TESTS, conftest.EXCLUSIVE_TESTS], ids=["long", "alone"])
def test_each_listed_name_is_a_test(names: tuple[str, ...]) -> None:
    defined = [
        name
        for file in FOLDER.glob("test_*.py")
        for name in re.findall(r"^(?:async )?def (test_\w+)", file.read_text(), re.M)
    ]
    assert [defined.count(name) for name in names] == [1] * len(names)


def test_exclusive_tests_run_alone_while_others_run_in_parallel(tmp_path: Path) -> None:
    (tmp_path / "conftest.py").write_text((FOLDER / "conftest.py").read_text())
    test = TIMED_TESTS.replace("ALONE", conftest.EXCLUSIVE_TESTS[0]).replace("LONG", conftest.SLOW_TESTS[-1])
    (tmp_path / "test_times.py").write_text(test)
    options = ["-n", "3", "--dist", "loadgroup", "--no-loadscope-reorder", "-q", "-p", "no:cacheprovider"]
    result = subprocess.run(
        [sys.executable, "-m", "pytest", *options],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(FOLDER.parent)},
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stdout
    spans = [(name, float(started), float(ended)) for name, started, ended in read_lines(tmp_path / "times")]
    assert sorted(name for name, _, _ in spans) == ["alone"] * 2 + ["any"] * 9 + ["long"]
    for exclusive in [span for span in spans if span[0] == "alone"]:
        overlapping = [other for other in spans if other[1] < exclusive[2] and exclusive[1] < other[2]]
        assert overlapping == [exclusive]


class FakeItem:
    """Collected test with only the attributes that the ordering reads."""

    def __init__(self, name: str) -> None:
        self.name = self.originalname = name
        self.marks: list[pytest.MarkDecorator] = []

    def add_marker(self, mark: pytest.MarkDecorator) -> None:
        self.marks.append(mark)


def test_longest_tests_are_ordered_first_and_exclusive_tests_last() -> None:
    names = ["test_a", *conftest.EXCLUSIVE_TESTS, "test_b", *reversed(conftest.SLOW_TESTS), "test_c"]
    items = [FakeItem(name) for name in names]
    conftest.pytest_collection_modifyitems(cast(list[pytest.Item], items))
    ordinary = ["test_a", "test_b", "test_c"]
    assert [item.name for item in items] == [*conftest.SLOW_TESTS, *ordinary, *conftest.EXCLUSIVE_TESTS]
    grouped = [item.name for item in items if item.marks == [pytest.mark.xdist_group("alone")]]
    assert grouped == list(conftest.EXCLUSIVE_TESTS)


def read_lines(file: Path) -> list[list[str]]:
    return [line.split() for line in file.read_text().splitlines()]
