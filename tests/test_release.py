"""Tests of releases: model checking, plan validation, health gates, and killed controllers."""

import json
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from applehub.events import EventKind, read_events
from applehub.lab.fleet.system_call_faults import in_environment, recorded
from applehub.lab.fleet.system_calls import SystemCall, SystemCallFault
from applehub.release.__main__ import main
from applehub.release.clock import SystemClock
from applehub.release.errors import PlanError
from applehub.release.evidence import FailureEvidence, RequestCounts
from applehub.release.gates import HealthGates, Verdict
from applehub.release.messages import LoadReport
from applehub.release.model_checker import ModelChecker, ModelRules
from applehub.release.model_state import FaultBudget
from applehub.release.plan import GateSettings, load_plan
from applehub.release.release_folder import new_record
from applehub.release.state_machine import Order, ReleaseMode, ReleaseRecord, ReleaseStateMachine
from applehub.release.stored_record import RecordCodec

PLAN = """
name = "cache-1.8"
what = "servers"
old = "1.7"
new = "1.8"
limits = { out_at_once = 2 }
stages = [{ name = "canary", count = 1, watch_s = 20 }, { name = "rest", part = 1.0, watch_s = 10 }]
fleet = [{ name = "c0", zone = "a" }, { name = "c1", zone = "a" }, { name = "c2", zone = "a" },
         { name = "c3", zone = "b" }, { name = "c4", zone = "b" }]
"""


@pytest.fixture
def plan(tmp_path: Path) -> Path:
    """Returns the path of a plan with five units in two zones, released as a canary and the rest."""
    file = tmp_path / "plan.toml"
    file.write_text(PLAN)
    return file


@pytest.mark.parametrize("back_on_halt", [False, True])
def test_model_has_no_violation_with_crashes_and_failed_steps(back_on_halt: bool) -> None:
    """Explores all transitions to a depth of 8, with at most one failed step and one crash."""
    model = ModelChecker(ModelRules(), FaultBudget(1, 1), rollback_on_halt=back_on_halt)
    model.explore(depth=8)
    assert model.violations == [] and model.states > 1_500 and model.max_depth == 8


@pytest.mark.parametrize("back_on_halt", [False, True])
def test_model_has_no_violation_with_failed_saves(back_on_halt: bool) -> None:
    """One save may fail at any event, before it is retried or the controller crashes."""
    model = ModelChecker(ModelRules(), FaultBudget(1, 1, 1), rollback_on_halt=back_on_halt)
    model.explore(depth=7)
    assert model.violations == [] and model.states > 4_000 and model.max_depth == 7


def test_model_checker_detects_orders_sent_before_their_record_is_stored() -> None:
    """The faulty controller sends orders although it failed to store their record."""
    model = ModelChecker(ModelRules(waits_for_disk=False), FaultBudget(1, 1, 1))
    model.explore(depth=14, max_states=9_000)
    assert model.violations, model.states


class IgnoresZones(ReleaseStateMachine):
    """Faulty state machine that starts units as if all were in one zone."""

    def _start_units(self, now: float, waiting: list[str], version: str, capacity: int | None) -> list[Order]:
        zones = {name: unit.zone for name, unit in self.record.units.items()}
        for unit in self.record.units.values():
            unit.zone = "all"
        orders = super()._start_units(now, waiting, version, capacity)
        for name, zone in zones.items():
            self.record.units[name].zone = zone
        return orders


class StartsUnitsWhileHalted(ReleaseStateMachine):
    """Faulty state machine that starts units while the release is halted."""

    def tick(self, now: float, healthy: bool = True, capacity: int | None = None) -> list[Order]:
        halted = self.record.mode is ReleaseMode.HALTED
        self.record.mode = ReleaseMode.RUNNING if halted else self.record.mode
        orders = super().tick(now, healthy, capacity)
        self.record.mode = ReleaseMode.HALTED if halted else self.record.mode
        return orders


class ForgetsPendingOrders(ReleaseStateMachine):
    """Faulty state machine that drops pending orders when a controller starts."""

    def resend_pending(self, now: float) -> list[Order]:
        for unit in self.record.units.values():
            unit.order_number = 0
        return []


def reset_order_numbers(record: ReleaseRecord) -> None:
    """Models a fault in which order numbers restart after a crash."""
    record.last_order_number = 0


@pytest.mark.parametrize(
    ("mutant", "crashes"),
    [
        (ModelRules(IgnoresZones), 0),  # with crashes, the search would not reach the depth of the violation
        (ModelRules(StartsUnitsWhileHalted), 1),
        (ModelRules(ForgetsPendingOrders), 1),
        (ModelRules(fencing=False), 1),
        (ModelRules(after_crash=reset_order_numbers), 1),
    ],
    ids=["ignores zones", "starts while halted", "forgets pending", "no fencing", "numbers restart"],
)
def test_model_checker_detects_each_mutant(mutant: ModelRules, crashes: int) -> None:
    """Each mutant has one fault in the state machine, the agents or the recovery after a crash."""
    model = ModelChecker(mutant, FaultBudget(crashes, crashes))
    model.explore(depth=14, max_states=9_000)
    assert model.violations, model.states


def test_invalid_plan_is_rejected_with_all_errors(plan: Path) -> None:
    """Covers an unknown key, equal versions, a duplicate unit and units without a stage."""
    plan.write_text("more = 1\n" + PLAN)
    with pytest.raises(PlanError, match="more"):
        load_plan(plan)
    plan.write_text(PLAN.replace('new = "1.8"', 'new = "1.7"').replace('"c1"', '"c0"'))
    with pytest.raises(PlanError, match=r"c0 is listed twice; new: expected another version"):
        load_plan(plan)
    plan.write_text(PLAN.replace("part = 1.0", "count = 1"))
    with pytest.raises(PlanError, match="3 units are in no stage, c2 among them"):
        load_plan(plan)
    assert CliRunner().invoke(main, ["plan", str(plan)]).exit_code == 2


def run_command(*arguments: str) -> tuple[int, str]:
    """Runs `python -m applehub.release` in this process. Returns the exit status and the output."""
    result = CliRunner().invoke(main, list(arguments))
    return result.exit_code, result.output


def test_version_that_fails_to_start_is_halted_and_rolled_back(plan: Path, tmp_path: Path) -> None:
    """After the rollback the version is rejected unless --again is given."""
    state = ["--state", str(tmp_path / "state")]
    exit_code, output = run_command("rehearse", str(plan), *state, "--pace", "5000", "--broken", "c2")
    assert exit_code == 3 and "c2: admit failed 2 times" in output and "in progress" not in output
    assert run_command("back", *state)[0] == 0
    exit_code, output = run_command("rehearse", str(plan), *state, "--pace", "5000")
    assert exit_code == 0 and "returned" in output and "5 at 1.7" in output
    assert run_command("rehearse", str(plan), *state)[0] == 2  # rejected without --again
    exit_code, output = run_command("rehearse", str(plan), *state, "--pace", "5000", "--again")
    assert exit_code == 0 and "5 at 1.8" in output


def test_killed_controller_repeats_no_step(plan: Path, tmp_path: Path) -> None:
    """A rehearsal is killed 12 times and then completed."""
    state = tmp_path / "state"
    command = [
        sys.executable, "-m", "applehub.release", "rehearse", str(plan), "--state", str(state), "--pace",
    ]  # fmt: skip
    events = state / "events.jsonl"
    for _ in range(12):
        size_before = events.stat().st_size if events.exists() else 0
        process = subprocess.Popen([*command, "200"], stdout=subprocess.DEVNULL)
        while process.poll() is None and (not events.exists() or events.stat().st_size == size_before):
            pass
        process.kill()
        process.wait()
    assert subprocess.run([*command, "2000"], stdout=subprocess.DEVNULL).returncode == 0
    assert_each_step_was_ordered_once(state)


# System call, error, and number of the first call that fails.
FAILING_CALLS: list[tuple[SystemCall, str, int]] = [
    ("write", "ENOSPC", 1),  # fails the first save of the release
    ("open", "EMFILE", 3),
    ("fsync", "EIO", 2),
    ("rename", "EIO", 3),
    ("write", "EIO", 4),
]


def test_controller_killed_during_disk_errors_repeats_no_step(plan: Path, tmp_path: Path) -> None:
    """Each process is killed after a partial write and repeated disk errors. The last one has four errors and
    completes the release."""
    state = tmp_path / "state"
    command = [sys.executable, "-m", "applehub.lab.fleet.system_call_faults", "applehub.release", "rehearse"]
    command += [str(plan), "--state", str(state), "--pace", "2000"]
    for number, (call, error, first_failing_call) in enumerate(FAILING_CALLS):
        fault_log = tmp_path / f"injected-{number}"
        prefix = f"{state}/release.new"
        faults = [SystemCallFault("write", short=100, from_call=first_failing_call, times=1, path=prefix)]
        faults += [SystemCallFault(call, error, from_call=first_failing_call, path=prefix)]
        process = subprocess.Popen(
            command, env={**os.environ, **in_environment(faults, fault_log)}, stdout=subprocess.DEVNULL
        )
        while recorded(fault_log)[call, error] < 4:  # more calls than one save makes, so that it was retried
            assert process.poll() is None
        process.kill()
        process.wait()
    faults = [SystemCallFault("fsync", "EIO", from_call=2, times=4, path=str(state))]
    environment = {**os.environ, **in_environment(faults, tmp_path / "last")}
    assert subprocess.run(command, env=environment, stdout=subprocess.DEVNULL).returncode == 0
    assert recorded(tmp_path / "last")["fsync", "EIO"] == 4
    assert_each_step_was_ordered_once(state)


def assert_each_step_was_ordered_once(state: Path) -> None:
    """Asserts that the release is done and that each of its 15 steps has one order number."""
    record = json.loads(run_command("status", "--state", str(state), "--json")[1])
    assert record["mode"] == "done" and {unit["version"] for unit in record["units"].values()} == {"1.8"}
    steps: dict[int, set[str]] = {}
    for event in read_events(state / "events.jsonl"):
        if event.event is EventKind.ORDER_SENT:
            steps.setdefault(event.fields["number"], set()).add(
                f"{event.fields['unit']} {event.fields['step']}"
            )
    assert all(len(names) == 1 for names in steps.values()) and len(steps) == 15


def test_version_with_higher_failure_rate_is_detected() -> None:
    """Four of 20 units have the new version. Failures that affect both versions at some polls are ignored."""

    def polls_until_detection(generator: random.Random, additional_rate: float) -> int:
        evidence = FailureEvidence(0.005, 0.0025)
        for poll in range(400):
            shared_rate = 0.5 if poll % 40 == 7 else 0.0
            counts = {
                f"u{number}": RequestCounts(
                    20,
                    sum(
                        generator.random() < 0.01 + shared_rate + additional_rate * (number < 4)
                        for _ in range(20)
                    ),
                )
                for number in range(20)
            }
            new = {name: count for name, count in counts.items() if name in ("u0", "u1", "u2", "u3")}
            evidence.add(new, {name: count for name, count in counts.items() if name not in new})
            if evidence.is_worse:
                return poll
        return 400

    assert all(polls_until_detection(random.Random(seed), 0.0) == 400 for seed in range(12))
    assert all(polls_until_detection(random.Random(seed), 0.03) < 100 for seed in range(12))


def make_gates(plan: Path) -> tuple[HealthGates, ReleaseRecord]:
    """Returns gates without a baseline period and their record, in which c0 has the new version."""
    record = new_record(load_plan(plan))
    record.units["c0"].version = "1.8"
    return HealthGates(GateSettings(before_s=0.0), record), record


def make_report(poll: int, **overrides: float) -> LoadReport:
    """Returns the load report of a unit at a poll, with 100 requests per poll."""
    metrics = {"requests": 100.0 * poll, "failed": 0.0, "cpu_s": 0.1 * poll, "busy": 0.3}
    return LoadReport({"life": 1, **metrics, **overrides})


def test_new_version_is_halted_by_silence_missing_metrics_and_costs(plan: Path) -> None:
    """Faults that affect units of both versions pause the release but don't halt it."""
    gates, record = make_gates(plan)
    all_reports: dict[str, LoadReport | None] = {name: make_report(1) for name in record.units}
    assert gates.evaluate(1.0, all_reports) == Verdict("", "", 3)
    assert gates.evaluate(13.0, {**all_reports, "c0": None}).halt_reason == "c0: tells nothing for 10 s"
    all_silent = gates.evaluate(40.0, dict.fromkeys(record.units))
    assert not all_silent.halt_reason and "tell nothing" in all_silent.hold_reason

    gates, _ = make_gates(plan)
    verdict = gates.evaluate(1.0, {**all_reports, "c0": LoadReport({"life": 1})})
    assert verdict.halt_reason.startswith("c0: does not tell busy, cpu_s")

    gates, record = make_gates(plan)
    for poll in range(1, 14):
        expensive = {
            name: make_report(poll, cpu_s=(0.5 if name == "c0" else 0.1) * poll) for name in record.units
        }
        verdict = gates.evaluate(float(poll), expensive)
    assert verdict.halt_reason.startswith("processor time: 0.005 against 0.001")

    gates, record = make_gates(plan)
    for poll in range(1, 4):
        failing = {name: make_report(poll, failed=30.0 * poll, busy=0.7) for name in record.units}
        verdict = gates.evaluate(float(poll), failing)
    assert not verdict.halt_reason and "30% of the old" in verdict.hold_reason and verdict.capacity == 0
    # All units restarted, with counters at 0.
    after_restart = gates.evaluate(4.0, {name: make_report(0, life=2) for name in record.units})
    assert not after_restart.halt_reason


def test_baseline_time_is_summed_over_restarted_controllers(plan: Path) -> None:
    """Three consecutive controllers poll twice each, and share the baseline time through the record."""
    record = new_record(load_plan(plan))
    codec = RecordCodec(SystemClock())
    hold_reasons = []
    for incarnation in range(3):
        gates = HealthGates(GateSettings(before_s=2.0), record)
        for poll in (1, 2):
            verdict = gates.evaluate(
                10.0 * incarnation + poll, {name: make_report(poll) for name in record.units}
            )
            hold_reasons.append(verdict.hold_reason)
        record.gate_state = gates.state()
        record = codec.decode(codec.encode(record))
    assert [bool(reason) for reason in hold_reasons] == [True, True, True, False, False, False]


def test_no_unit_is_started_without_capacity_or_health(plan: Path) -> None:
    """A rollback completes the unit in progress but starts no other one."""
    machine = ReleaseStateMachine(new_record(load_plan(plan)))
    assert machine.tick(0.0, True, 0) == [] and machine.tick(0.0, False, 5) == []
    assert [order.unit for order in machine.tick(0.0, True, 5)] == ["c0"]
    machine.record.rollback_on_halt = True
    machine.reject_version("a gate")
    assert machine.record.mode is ReleaseMode.ROLLING_BACK
    assert machine.tick(0.0, False, 0) == []  # c0 is already out of service
