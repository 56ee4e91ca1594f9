"""Releases: the controller as a model, its mutants, plans of no use, and a controller that is killed."""

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
    """The file of a plan: five units in two zones, a canary and the rest."""
    file = tmp_path / "plan.toml"
    file.write_text(PLAN)
    return file


@pytest.mark.parametrize("back_on_halt", [False, True])
def test_every_order_of_steps_crashes_and_lost_messages_keeps_the_rules(back_on_halt: bool) -> None:
    """All transitions of the model to a depth of 8, with one failed step and one crash: no violation."""
    model = ModelChecker(ModelRules(), FaultBudget(1, 1), rollback_on_halt=back_on_halt)
    model.explore(depth=8)
    assert model.violations == [] and model.states > 1_500 and model.max_depth == 8


@pytest.mark.parametrize("back_on_halt", [False, True])
def test_a_disk_that_refuses_a_record_anywhere_keeps_the_rules(back_on_halt: bool) -> None:
    """At each event the disk may refuse the record, once; it is stored later, or the controller crashes."""
    model = ModelChecker(ModelRules(), FaultBudget(1, 1, 1), rollback_on_halt=back_on_halt)
    model.explore(depth=7)
    assert model.violations == [] and model.states > 4_000 and model.max_depth == 7


def test_orders_that_go_out_before_their_record_is_kept_are_found() -> None:
    """A controller that sends orders of a refused record: the checker finds a violation."""
    model = ModelChecker(ModelRules(waits_for_disk=False), FaultBudget(1, 1, 1))
    model.explore(depth=14, max_states=9_000)
    assert model.violations, model.states


class TwoZones(ReleaseStateMachine):
    """A mutant: begins units as if all were in one zone."""

    def _start_units(self, now: float, waiting: list[str], version: str, capacity: int | None) -> list[Order]:
        zones = {name: unit.zone for name, unit in self.record.units.items()}
        for unit in self.record.units.values():
            unit.zone = "all"
        orders = super()._start_units(now, waiting, version, capacity)
        for name, zone in zones.items():
            self.record.units[name].zone = zone
        return orders


class BeginsHalted(ReleaseStateMachine):
    """A mutant: begins units while the release is halted."""

    def tick(self, now: float, healthy: bool = True, capacity: int | None = None) -> list[Order]:
        halted = self.record.mode is ReleaseMode.HALTED
        self.record.mode = ReleaseMode.RUNNING if halted else self.record.mode
        orders = super().tick(now, healthy, capacity)
        self.record.mode = ReleaseMode.HALTED if halted else self.record.mode
        return orders


class Forgets(ReleaseStateMachine):
    """A mutant: a controller that starts forgets the orders without an outcome."""

    def resend_pending(self, now: float) -> list[Order]:
        for unit in self.record.units.values():
            unit.order_number = 0
        return []


def restarts_numbers(record: ReleaseRecord) -> None:
    """A mutant: a crash has the numbers of orders begin anew."""
    record.last_order_number = 0


@pytest.mark.parametrize(
    ("mutant", "crashes"),
    [
        (ModelRules(TwoZones), 0),  # far down: searched without what does not lead there
        (ModelRules(BeginsHalted), 1),
        (ModelRules(Forgets), 1),
        (ModelRules(fencing=False), 1),
        (ModelRules(after_crash=restarts_numbers), 1),
    ],
    ids=["two zones", "begins while halted", "forgets what is out", "no fencing", "numbers begin anew"],
)
def test_each_mutant_is_found(mutant: ModelRules, crashes: int) -> None:
    """A state machine, or agents, with one fault: the checker finds a violation."""
    model = ModelChecker(mutant, FaultBudget(crashes, crashes))
    model.explore(depth=14, max_states=9_000)
    assert model.violations, model.states


def test_a_plan_of_no_use_tells_every_fault_of_it(plan: Path) -> None:
    """Unknown keys, duplicates, units in no stage: each fault is named, and the command ends with 2."""
    plan.write_text("more = 1\n" + PLAN)
    with pytest.raises(PlanError, match="more"):
        load_plan(plan)
    plan.write_text(PLAN.replace('new = "1.8"', 'new = "1.7"').replace('"c1"', '"c0"'))
    with pytest.raises(PlanError, match=r"c0 stands there twice; new: expected another version"):
        load_plan(plan)
    plan.write_text(PLAN.replace("part = 1.0", "count = 1"))
    with pytest.raises(PlanError, match="3 units are in none, c2 among them"):
        load_plan(plan)
    assert CliRunner().invoke(main, ["plan", str(plan)]).exit_code == 2


def call(*words: str) -> tuple[int, str]:
    """Runs a command of `python -m applehub.release`; its exit status and output."""
    done = CliRunner().invoke(main, list(words))
    return done.exit_code, done.output


def test_a_version_that_never_comes_up_is_halted_and_returned(plan: Path, tmp_path: Path) -> None:
    """A unit whose new version fails: halted with 3, rolled back by staff, tried again with --again alone."""
    state = ["--state", str(tmp_path / "state")]
    code, said = call("rehearse", str(plan), *state, "--pace", "5000", "--broken", "c2")
    assert code == 3 and "c2: admit failed 2 times" in said and "on the way" not in said
    assert call("back", *state)[0] == 0
    code, said = call("rehearse", str(plan), *state, "--pace", "5000")
    assert code == 0 and "returned" in said and "5 at 1.7" in said
    assert call("rehearse", str(plan), *state)[0] == 2  # not again without being told
    code, said = call("rehearse", str(plan), *state, "--pace", "5000", "--again")
    assert code == 0 and "5 at 1.8" in said


def test_a_controller_killed_between_any_two_steps_does_none_twice(plan: Path, tmp_path: Path) -> None:
    """A rehearsal killed at 12 of its events, then completed: each step has a number of its own."""
    state = tmp_path / "state"
    words = [sys.executable, "-m", "applehub.release", "rehearse", str(plan), "--state", str(state), "--pace"]
    events = state / "events.jsonl"
    for _ in range(12):
        before = events.stat().st_size if events.exists() else 0
        process = subprocess.Popen([*words, "200"], stdout=subprocess.DEVNULL)
        while process.poll() is None and (not events.exists() or events.stat().st_size == before):
            pass
        process.kill()
        process.wait()
    assert subprocess.run([*words, "2000"], stdout=subprocess.DEVNULL).returncode == 0
    assert_each_step_was_ordered_once(state)


REFUSED_CALLS: list[tuple[SystemCall, str, int]] = [
    ("write", "ENOSPC", 1),  # of the first record of all
    ("open", "EMFILE", 3),
    ("fsync", "EIO", 2),
    ("rename", "EIO", 3),
    ("write", "EIO", 4),
]


def test_a_process_killed_while_its_disk_refuses_its_record_does_no_step_twice(
    plan: Path, tmp_path: Path
) -> None:
    """Each process stores a few records, then half of one; its disk refuses from there on until it is killed.
    The last one meets a disk that refuses four times, and ends the release."""
    state = tmp_path / "state"
    words = [sys.executable, "-m", "applehub.lab.fleet.system_call_faults", "applehub.release", "rehearse"]
    words += [str(plan), "--state", str(state), "--pace", "2000"]
    for number, (call_, error, stored) in enumerate(REFUSED_CALLS):
        record = tmp_path / f"injected-{number}"
        prefix = f"{state}/release.new"
        faults = [SystemCallFault("write", short=100, from_call=stored, times=1, path=prefix)]
        faults += [SystemCallFault(call_, error, from_call=stored, path=prefix)]
        process = subprocess.Popen(
            words, env={**os.environ, **in_environment(faults, record)}, stdout=subprocess.DEVNULL
        )
        while recorded(record)[call_, error] < 4:  # more than one save makes: it has tried again
            assert process.poll() is None
        process.kill()
        process.wait()
    faults = [SystemCallFault("fsync", "EIO", from_call=2, times=4, path=str(state))]
    environment = {**os.environ, **in_environment(faults, tmp_path / "last")}
    assert subprocess.run(words, env=environment, stdout=subprocess.DEVNULL).returncode == 0
    assert recorded(tmp_path / "last")["fsync", "EIO"] == 4
    assert_each_step_was_ordered_once(state)


def assert_each_step_was_ordered_once(state: Path) -> None:
    """The release is done, and each of its 15 steps had a number of its own."""
    record = json.loads(call("status", "--state", str(state), "--json")[1])
    assert record["mode"] == "done" and {unit["version"] for unit in record["units"].values()} == {"1.8"}
    steps: dict[int, set[str]] = {}
    for one in read_events(state / "events.jsonl"):
        if one.event is EventKind.ORDER_SENT:
            steps.setdefault(one.fields["number"], set()).add(f"{one.fields['unit']} {one.fields['step']}")
    assert all(len(meant) == 1 for meant in steps.values()) and len(steps) == 15


def test_a_version_that_fails_oftener_is_told_from_one_that_is_as_good() -> None:
    """4 new units of 20, 20 requests each a look; of both versions 1 in 100 fails, and at some looks half."""

    def looks(draw: random.Random, more: float) -> int:
        evidence = FailureEvidence(0.005, 0.0025)
        for look in range(400):
            all_fail = 0.5 if look % 40 == 7 else 0.0
            counts = {
                f"u{number}": RequestCounts(
                    20, sum(draw.random() < 0.01 + all_fail + more * (number < 4) for _ in range(20))
                )
                for number in range(20)
            }
            new = {name: one for name, one in counts.items() if name in ("u0", "u1", "u2", "u3")}
            evidence.add(new, {name: one for name, one in counts.items() if name not in new})
            if evidence.is_worse:
                return look
        return 400

    assert all(looks(random.Random(seed), 0.0) == 400 for seed in range(12))
    assert all(looks(random.Random(seed), 0.03) < 100 for seed in range(12))


def gate(plan: Path) -> tuple[HealthGates, ReleaseRecord]:
    """Gates over five units, c0 of the new version, with no wait for a baseline."""
    record = new_record(load_plan(plan))
    record.units["c0"].version = "1.8"
    return HealthGates(GateSettings(before_s=0.0), record), record


def report(poll: int, **more: float) -> LoadReport:
    """What a unit reports at a poll: 100 requests since the one before, and what is given beside."""
    metrics = {"requests": 100.0 * poll, "failed": 0.0, "cpu_s": 0.1 * poll, "busy": 0.3}
    return LoadReport({"life": 1, **metrics, **more})


def test_silence_missing_metrics_and_costs_halt_what_the_old_version_does_not_share(plan: Path) -> None:
    """A new unit that is silent, lacks metrics or costs more halts; what all units suffer holds at most."""
    gates, record = gate(plan)
    whole: dict[str, LoadReport | None] = {name: report(1) for name in record.units}
    assert gates.evaluate(1.0, whole) == Verdict("", "", 3)
    assert gates.evaluate(13.0, {**whole, "c0": None}).halt_reason == "c0: tells nothing for 10 s"
    nobody = gates.evaluate(40.0, dict.fromkeys(record.units))
    assert not nobody.halt_reason and "tell nothing" in nobody.hold_reason  # it is not the version

    gates, _ = gate(plan)
    verdict = gates.evaluate(1.0, {**whole, "c0": LoadReport({"life": 1})})
    assert verdict.halt_reason.startswith("c0: does not tell busy, cpu_s")

    gates, record = gate(plan)
    for poll in range(1, 14):
        expensive = {name: report(poll, cpu_s=(0.5 if name == "c0" else 0.1) * poll) for name in record.units}
        verdict = gates.evaluate(float(poll), expensive)
    assert verdict.halt_reason.startswith("processor time: 0.005 against 0.001")

    gates, record = gate(plan)
    for poll in range(1, 4):
        failing = {name: report(poll, failed=30.0 * poll, busy=0.7) for name in record.units}
        verdict = gates.evaluate(float(poll), failing)
    assert not verdict.halt_reason and "30% of the old" in verdict.hold_reason and verdict.capacity == 0
    again = gates.evaluate(4.0, {name: report(0, life=2) for name in record.units})  # restarted, at no count
    assert not again.halt_reason


def test_a_controller_that_was_killed_goes_on_watching_where_it_was(plan: Path) -> None:
    """Three controllers one after another, of two polls each: the record adds up the time watched."""
    record = new_record(load_plan(plan))
    codec = RecordCodec(SystemClock())
    held = []
    for life in range(3):  # each of two polls, a second apart, and killed
        gates = HealthGates(GateSettings(before_s=2.0), record)
        for poll in (1, 2):
            verdict = gates.evaluate(10.0 * life + poll, {name: report(poll) for name in record.units})
            held.append(verdict.hold_reason)
        record.gate_state = gates.state()
        record = codec.decode(codec.encode(record))
    assert [bool(why) for why in held] == [True, True, True, False, False, False]


def test_no_room_holds_a_release_up_and_a_way_back_but_little(plan: Path) -> None:
    """Without capacity or health no unit is begun; a rollback completes the unit that is out."""
    machine = ReleaseStateMachine(new_record(load_plan(plan)))
    assert machine.tick(0.0, True, 0) == [] and machine.tick(0.0, False, 5) == []
    assert [order.unit for order in machine.tick(0.0, True, 5)] == ["c0"]
    machine.record.rollback_on_halt = True
    machine.reject_version("a gate")
    assert machine.record.mode is ReleaseMode.ROLLING_BACK
    assert machine.tick(0.0, False, 0) == []  # c0 is out already
