"""Tests of system call faults in plans of the cluster test harness.

The faults of the run wait for events rather than times, so that the test also passes on a busy machine."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from test_fleet import REQUEST_FIELDS, event

from applehub.events import EventKind
from applehub.lab.fleet.checks import run_checks
from applehub.lab.fleet.commands import find_plan
from applehub.lab.fleet.history import build_history
from applehub.lab.fleet.plan import ClockFault, LinkFault, Plan, SystemCallsFault, make_plan
from applehub.lab.fleet.plan_generator import (
    CLOCK_STEPS_S,
    CONNECTING_CALLS,
    SYSTEM_CALL_CHOICES,
    generate_plan,
)
from applehub.lab.fleet.processes import environment
from applehub.lab.fleet.system_call_faults import recorded
from applehub.lab.fleet.system_calls import FILE_CALLS
from applehub.lab.spec import SpecError

PLAN = """
name = "failing calls"

[fleet]
routers = 1
caches = 1
keeps = true

[load]
rate = 60.0
seconds = 2.0
wait_ms = 20000

[rules]
stale_ms = 15000
drain_slack_ms = 8000
told_ms = 15000

[[faults]]
kind = "system_call"
target = ["router-*"]
call = "accept"
error = "ENFILE"
on = { event = "answered", process = "clients", count = 20 }
for_s = 0.2

[[faults]]
kind = "reset"
edges = ["clients>router-0"]
on = { event = "fault", process = "ground", match = { fault = 0 } }

[[faults]]
kind = "system_call"
target = ["router-*"]
call = "send"
short = 3
side = "clients"
on = { event = "healed", process = "ground", match = { fault = 0 } }
until = { event = "answered", process = "clients", count = 20 }

[[faults]]
kind = "system_call"
target = ["router-*"]
call = "fsync"
error = "EIO"
on = { event = "healed", process = "ground", match = { fault = 2 } }
until = { event = "answered", process = "clients", count = 40 }

[[faults]]
kind = "offline"
server = "cache-0"
on = { event = "fault", process = "ground", match = { fault = 3 } }

[[faults]]
kind = "clock"
target = ["router-*"]
step_s = -3600.0
on = { event = "healed", process = "ground", match = { fault = 2 } }
until = { event = "answered", process = "clients", count = 40 }
"""


def test_run_with_system_call_faults_passes_and_each_fault_is_injected(tmp_path: Path) -> None:
    (tmp_path / "plan.toml").write_text(PLAN)
    arguments = ["fleet", str(tmp_path / "plan.toml"), "--json", "--keep", str(tmp_path / "kept")]
    completed = subprocess.run(
        [sys.executable, "-m", "applehub.lab", *arguments],
        env=environment(),
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert not any(orjson.loads(completed.stdout)["checks"].values())
    injected = recorded(tmp_path / "kept" / "router-0" / "control" / "injected")
    assert all(injected[key] for key in (("accept", "ENFILE"), ("send", "short"), ("fsync", "EIO"))), injected


def test_each_system_call_fault_of_random_plans_is_valid_and_in_the_shipped_plan() -> None:
    shipped = {
        (shipped_fault.call, shipped_fault.error or shipped_fault.short, shipped_fault.side)
        for shipped_fault in find_plan("system_calls").faults
        if isinstance(shipped_fault, SystemCallsFault)
    }
    for call, errors, max_seconds in SYSTEM_CALL_CHOICES:
        for error in errors:
            fields = {"kind": "system_call", "target": ["router-0"], "at": 1, "for_s": max_seconds, **call}
            (fault,) = make_plan("p", {"name": "p", "faults": [{**fields, "error": error}]}).faults
            assert isinstance(fault, SystemCallsFault)
            assert (fault.call, error or fault.short, fault.side) in shipped
            process_fault = fault.for_process("127.0.0.1:*", "/disk")
            assert process_fault.path == ("/disk" if fault.call in FILE_CALLS else None)


def test_random_plans_have_system_call_faults_and_clock_steps() -> None:
    plans = [generate_plan(seed, 4, 4, 30, 60.0, 100.0) for seed in range(40)]
    faults = [fault for plan in plans for fault in plan.faults]
    system_call_faults = [fault for fault in faults if isinstance(fault, SystemCallsFault)]
    assert {fault.call for fault in system_call_faults} == {
        call["call"] for call, _, _ in SYSTEM_CALL_CHOICES
    }
    assert {fault.step_s for fault in faults if isinstance(fault, ClockFault)} == set(CLOCK_STEPS_S)
    for plan in plans:
        in_plan = [fault for fault in plan.faults if isinstance(fault, SystemCallsFault)]
        assert plan.fleet.keeps == any(fault.call in FILE_CALLS for fault in in_plan)
        resets = sum(isinstance(fault, LinkFault) and fault.kind == "reset" for fault in plan.faults)
        # The last fault may be too close to the end of the plan for a reset after it.
        assert resets >= sum(fault.call in CONNECTING_CALLS for fault in in_plan) - 1


@pytest.mark.parametrize(
    ("edges", "excused"), [(["clients>router-0"], True), (["clients>router-1"], False), ([], False)]
)
def test_system_call_fault_excuses_a_lost_request_only_if_it_affects_its_connection(
    edges: list[str], excused: bool
) -> None:
    fault_fields = {"kind": "system_call", "processes": ["router-0"], "edges": edges, "keep_disk": True}
    records = [
        event(1.0, EventKind.FAULT_BEGUN, fault=0, **fault_fields),
        event(1.1, EventKind.REQUEST_SENT, "r", **REQUEST_FIELDS),
        event(1.2, EventKind.CLOSED_UNANSWERED, "r", router="router-0"),
        event(1.3, EventKind.FAULT_ENDED, fault=0),
    ]
    violations = run_checks(build_history(records), Plan(name="p"))
    assert [violation.check for violation in violations] == ([] if excused else ["answered"])


@pytest.mark.parametrize(
    ("changes", "breaks"),
    [
        ({"call": "recv", "error": "ETIMEDOUT"}, True),
        ({"call": "send", "error": "EHOSTUNREACH", "side": "clients"}, True),
        ({"call": "send", "error": "EHOSTUNREACH", "side": "servers"}, False),
        ({"call": "recv", "error": "EINTR"}, False),
        ({"call": "send", "short": 1}, False),
        ({"call": "accept", "error": "ENFILE"}, False),
    ],
)
def test_faults_that_break_client_connections(changes: dict[str, object], breaks: bool) -> None:
    fault = SystemCallsFault.model_validate(
        {"kind": "system_call", "target": ["router-0"], "at": 1, **changes}
    )
    assert fault.breaks_client_connections is breaks


def test_plan_with_invalid_fault_is_rejected() -> None:
    for changes in ({"call": "accept"}, {"call": "accept", "error": "ENOTHING"}, {"call": "bind"}):
        raw = {"kind": "system_call", "target": ["router-0"], "at": 1, **changes}
        with pytest.raises(SpecError):
            make_plan("p.toml", {"name": "p", "faults": [raw]})
