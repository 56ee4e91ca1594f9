"""Tests that may fail: what KNOWN-RED.txt lists, and nothing else.

One line each, three at most, `test | cause | issue`, the test as pytest names it:

    tests/test_router.py::test_a_thing | the pool forgets X while Y | 26

`known_red.py check` says what is wrong with the file (code 1), and prints the words that keep its tests out
of the whole run. `known_red.py run` runs them alone and prints how each ended; that never fails the run."""

import subprocess
import sys
from pathlib import Path

MOST = 3
FILE = Path("KNOWN-RED.txt")
PYTEST = (sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider")


class RedError(ValueError):
    """The file makes no sense."""


def listed() -> list[tuple[str, str, str]]:
    """Test, cause and issue of each line. Raises RedError."""
    text = FILE.read_text() if FILE.exists() else ""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise RedError(f"{len(lines)} lines, {MOST} at most")
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise RedError(f"expected `file::test | cause | issue`, got: {line}")
        found.append((parts[0], parts[1], parts[2]))
    return found


def check() -> int:
    """Prints what leaves the listed tests out of a run."""
    try:
        red = listed()
        for test, _, _ in red:
            there = subprocess.run([*PYTEST, "--collect-only", test], capture_output=True, text=True)
            if there.returncode:
                raise RedError(f"no such test: {test}")
    except RedError as problem:
        print(f"{FILE}: {problem}", file=sys.stderr)
        return 1
    print(*(f"--deselect={test}" for test, _, _ in red))
    return 0


def run() -> int:
    """Runs each listed test and says how it ended."""
    for test, cause, issue in listed():
        done = subprocess.run([*PYTEST, test], capture_output=True, text=True)
        how = "PASSES, take it out of the list" if done.returncode == 0 else "fails"
        print(f"known red: {test} {how} ({cause}; issue {issue})")
    return 0


if __name__ == "__main__":
    if sys.argv[1:] not in (["check"], ["run"]):
        sys.exit("expected one word: check or run")
    sys.exit(check() if sys.argv[1] == "check" else run())
