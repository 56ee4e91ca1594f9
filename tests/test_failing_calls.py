"""System calls that fail, as faults of plans of the proving ground.

Every wait of the play is on an event; its bounds in time are far past what the busiest machine needs."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from test_fleet import ASKED, event

from applehub.events import EventKind
from applehub.lab.fleet.checks import judge
from applehub.lab.fleet.commands import find
from applehub.lab.fleet.draw import DIALS, FAILING, STEPS, draw
from applehub.lab.fleet.history import ordered
from applehub.lab.fleet.plan import Clock, Link, Plan, SystemCalls, make_plan
from applehub.lab.fleet.processes import environment
from applehub.lab.fleet.system_call_faults import recorded
from applehub.lab.fleet.system_calls import ON_FILES
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


def test_a_play_under_failing_calls_holds_and_each_took_place(tmp_path: Path) -> None:
    (tmp_path / "plan.toml").write_text(PLAN)
    words = ["fleet", str(tmp_path / "plan.toml"), "--json", "--keep", str(tmp_path / "kept")]
    done = subprocess.run(
        [sys.executable, "-m", "applehub.lab", *words],
        env=environment(),
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert not any(orjson.loads(done.stdout)["checks"].values())
    injected = recorded(tmp_path / "kept" / "router-0" / "control" / "injected")
    assert all(injected[one] for one in (("accept", "ENFILE"), ("send", "short"), ("fsync", "EIO"))), injected


def test_every_call_that_drawn_plans_have_fail_makes_sense_and_is_in_the_shipped_plan() -> None:
    shipped = {
        (one.call, one.error or one.short, one.side)
        for one in find("system_calls").faults
        if isinstance(one, SystemCalls)
    }
    for call, errors, most in FAILING:
        for error in errors:
            told = {"kind": "system_call", "target": ["router-0"], "at": 1, "for_s": most, **call}
            (fault,) = make_plan("p", {"name": "p", "faults": [{**told, "error": error}]}).faults
            assert isinstance(fault, SystemCalls)
            assert (fault.call, error or fault.short, fault.side) in shipped
            struck = fault.struck("127.0.0.1:*", "/disk")
            assert struck.path == ("/disk" if fault.call in ON_FILES else None)


def test_drawn_plans_have_failing_calls_and_clocks_that_step() -> None:
    plans = [draw(seed, 4, 4, 30, 60.0, 100.0) for seed in range(40)]
    faults = [one for plan in plans for one in plan.faults]
    calls = [one for one in faults if isinstance(one, SystemCalls)]
    assert {one.call for one in calls} == {call["call"] for call, _, _ in FAILING}
    assert {one.step_s for one in faults if isinstance(one, Clock)} == set(STEPS)
    for plan in plans:
        struck = [one for one in plan.faults if isinstance(one, SystemCalls)]
        assert plan.fleet.keeps == any(one.call in ON_FILES for one in struck)
        resets = sum(isinstance(one, Link) and one.kind == "reset" for one in plan.faults)
        # The last that is drawn may have no room for its reset behind it.
        assert resets >= sum(one.call in DIALS for one in struck) - 1


@pytest.mark.parametrize(
    ("edges", "excused"), [(["clients>router-0"], True), (["clients>router-1"], False), ([], False)]
)
def test_a_request_is_lost_to_failing_calls_only_where_they_break_its_connection(
    edges: list[str], excused: bool
) -> None:
    struck = {"kind": "system_call", "processes": ["router-0"], "edges": edges, "keep_disk": True}
    records = [
        event(1.0, EventKind.FAULT_BEGUN, fault=0, **struck),
        event(1.1, EventKind.REQUEST_SENT, "r", **ASKED),
        event(1.2, EventKind.CLOSED_UNANSWERED, "r", router="router-0"),
        event(1.3, EventKind.FAULT_ENDED, fault=0),
    ]
    broken = judge(ordered(records), Plan(name="p"))
    assert [one.check for one in broken] == ([] if excused else ["answered"])


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
def test_what_breaks_connections_of_clients(changes: dict[str, object], breaks: bool) -> None:
    fault = SystemCalls.model_validate({"kind": "system_call", "target": ["router-0"], "at": 1, **changes})
    assert fault.breaks is breaks


def test_a_fault_that_makes_no_sense_is_refused() -> None:
    for changes in ({"call": "accept"}, {"call": "accept", "error": "ENOTHING"}, {"call": "bind"}):
        raw = {"kind": "system_call", "target": ["router-0"], "at": 1, **changes}
        with pytest.raises(SpecError):
            make_plan("p.toml", {"name": "p", "faults": [raw]})
