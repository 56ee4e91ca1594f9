"""KNOWN-RED.txt: only what it lists may fail, and it can't hide anything else."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED = "tests/test_x.py::test_red | a fault | 26"


def call(folder: Path, word: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run([sys.executable, SCRIPT, word], cwd=folder, capture_output=True, text=True)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_x.py").write_text(TESTS)
    return tmp_path


@pytest.mark.parametrize("text", [None, "", "\n \n"])
def test_without_lines_nothing_is_left_out(folder: Path, text: str | None) -> None:
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)
    assert (call(folder, "check").returncode, call(folder, "check").stdout.strip()) == (0, "")
    assert call(folder, "run").stdout == ""


def test_a_listed_test_is_left_out_and_run_and_printed(folder: Path) -> None:
    (folder / "KNOWN-RED.txt").write_text(RED + "\n")
    told = call(folder, "check")
    assert (told.returncode, told.stdout.strip()) == (0, "--deselect=tests/test_x.py::test_red")
    whole = subprocess.run([sys.executable, "-m", "pytest", "-q", told.stdout.strip()], cwd=folder)
    assert whole.returncode == 0
    assert subprocess.run([sys.executable, "-m", "pytest", "-q"], cwd=folder).returncode == 1
    done = call(folder, "run")
    assert done.stdout == "known red: tests/test_x.py::test_red fails (a fault; issue 26)\n"
    assert done.returncode == 0


def test_one_that_passes_is_said_to(folder: Path) -> None:
    (folder / "KNOWN-RED.txt").write_text(RED.replace("test_red", "test_green"))
    assert "test_green PASSES" in call(folder, "run").stdout


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("\n".join([RED] * 4), "4 lines, 3 at most"),
        (RED.replace("test_red", "test_gone"), "no such test: tests/test_x.py::test_gone"),
        (RED.replace("test_x", "test_y"), "no such test: tests/test_y.py::test_red"),
        ("tests/test_x.py::test_red", "expected `file::test | cause | issue`"),
        ("tests/test_x.py::test_red |  | 26", "expected `file::test | cause | issue`"),
        ("tests/test_x.py | all of it | 26", "expected `file::test | cause | issue`"),
    ],
)
def test_a_file_that_makes_no_sense_fails_the_run(folder: Path, text: str, why: str) -> None:
    (folder / "KNOWN-RED.txt").write_text(text)
    done = call(folder, "check")
    assert done.returncode == 1 and why in done.stderr and done.stdout == ""
