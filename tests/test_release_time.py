"""Releases while the wall clock is stepped, and a controller that follows another: after a kill, after a
restart of the machine, and on a record of the version before."""

import json
import shutil
from pathlib import Path

import pytest
from release_support import (
    WALL_STEPS,
    ObedientMachine,
    SteppedClock,
    controlling,
    make_plan,
    running_agent,
    running_list_service,
)

from applehub.release.clock import ScaledClock, SystemClock
from applehub.release.controller import Controller
from applehub.release.evidence import FailureKind
from applehub.release.gates import HealthGates
from applehub.release.messages import LoadReport
from applehub.release.plan import GateSettings
from applehub.release.release_folder import ReleaseFolder, load_release, new_record
from applehub.release.state_machine import ReleaseMode, ReleaseRecord, ReleaseStateMachine
from applehub.release.stored_record import RecordCodec

STORED = Path(__file__).parent / "stored" / "release_0447801"  # written by the controller of that commit


def mode_of(record: ReleaseRecord) -> ReleaseMode:
    """Its mode by now (a type checker takes it for unchanged between two reads)."""
    return record.mode


async def play_until_watched(controller: Controller, machine: ObedientMachine, clock: SteppedClock) -> None:
    """Plays a release until all its units have the new version and are watched."""
    while controller.record.watch_started is None:
        assert not await controller.poll_once(clock.now())
        assert len(machine.carried) <= 3 * len(machine.units)


@pytest.mark.parametrize("step_s", WALL_STEPS)
async def test_a_stage_is_watched_for_its_time_whatever_the_wall_clock_does(
    tmp_path: Path, step_s: float
) -> None:
    """The wall clock is stepped 10 s into a watch of 20 s: it ends after 20 s all the same."""
    clock, machine = SteppedClock(), ObedientMachine(["u0", "u1"])
    async with (
        running_agent(machine, tmp_path / "agent") as (_, address),
        controlling(tmp_path / "state", make_plan(), clock, address) as controller,
    ):
        await play_until_watched(controller, machine, clock)
        clock.reading += 10.0
        assert not await controller.poll_once(clock.now())
        clock.offset += step_s
        clock.reading += 9.9
        assert (
            not await controller.poll_once(clock.now()) and mode_of(controller.record) is ReleaseMode.RUNNING
        )
        clock.reading += 0.2
        assert await controller.poll_once(clock.now()) and mode_of(controller.record) is ReleaseMode.DONE


@pytest.mark.parametrize("step_s", WALL_STEPS)
async def test_an_order_without_an_answer_is_sent_again_after_its_time(
    tmp_path: Path, step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wall clock is stepped 30 s into a wait of 60 s: the same order is sent after 60 s, not before."""
    clock, sent = SteppedClock(), []
    async with controlling(tmp_path / "state", make_plan(1), clock, "127.0.0.1:1") as controller:

        async def send(order: object) -> None:
            sent.append(order)

        monkeypatch.setattr(controller, "_send", send)
        await controller.poll_once(clock.now())
        clock.reading += 30.0
        clock.offset += step_s
        await controller.poll_once(clock.now())
        clock.reading += 29.9
        await controller.poll_once(clock.now())
        assert len(sent) == 1  # 60 s is the plan's step_s
        clock.reading += 0.2
        await controller.poll_once(clock.now())
        assert len(sent) == 2 and sent[0] == sent[1]


@pytest.mark.parametrize("step_s", WALL_STEPS)
async def test_the_lock_is_held_for_its_lease_and_no_longer(tmp_path: Path, step_s: float) -> None:
    """The wall clock is stepped within the lease: it covers 7.2 s of 8, and no order is sent after them."""
    clock, machine = SteppedClock(), ObedientMachine(["u0"])
    async with (
        running_agent(machine, tmp_path / "agent") as (_, address),
        running_list_service() as (service, lists),
        controlling(tmp_path / "state", make_plan(1, lists=[lists]), clock, address) as controller,
    ):
        await controller.poll_once(clock.now())
        assert controller.lock_held and service.taken == 1
        service.refuses = True
        clock.offset += step_s
        clock.reading += 7.1  # of 8 s, a tenth short
        await controller.poll_once(clock.now())
        assert controller.lock_held
        clock.reading += 0.2
        await controller.poll_once(clock.now())
        assert not controller.lock_held
        before = len(machine.carried)
        clock.reading += 100.0  # an order would be due again
        await controller.poll_once(clock.now())
        assert len(machine.carried) == before


def gate_of(plan_gates: GateSettings) -> tuple[HealthGates, ReleaseRecord]:
    """A gate over five units, u0 of the new version."""
    record = new_record(make_plan(5))
    record.units["u0"].version = "1.8"
    return HealthGates(plan_gates, record), record


def reports(record: ReleaseRecord, poll: int, **of_new: float) -> dict[str, LoadReport | None]:
    """What agents report at a poll: all units alike, but for what is given of u0."""
    metrics = {"life": 1.0, "requests": 100.0 * poll, "failed": 0.0, "cpu_s": 0.1 * poll, "missed": 0.0}
    return {name: LoadReport({**metrics, **(of_new if name == "u0" else {})}) for name in record.units}


@pytest.mark.parametrize("step_s", WALL_STEPS)
def test_the_gates_wait_by_the_clock_that_never_steps(step_s: float) -> None:
    """before_s, silent_s, cost_s, settle_s: each is stepped into in its middle, and ends when it is over."""
    clock = SteppedClock()

    def pass_time(seconds: float) -> float:
        clock.reading += seconds / 2
        clock.offset += step_s
        clock.reading += seconds / 2
        return clock.now()

    gate, record = gate_of(GateSettings(before_s=0.0, silent_s=10.0))
    whole = reports(record, 1)
    gate.evaluate(clock.now(), whole)
    assert not gate.evaluate(pass_time(9.9), {**whole, "u0": None}).halt_reason
    assert gate.evaluate(pass_time(0.2), {**whole, "u0": None}).halt_reason == "u0: tells nothing for 10 s"

    gate, record = gate_of(GateSettings(before_s=0.0, cost_s=10.0))
    for look, seconds in enumerate((1.0, 1.0, 9.8), start=1):
        assert not gate.evaluate(pass_time(seconds), reports(record, look, cpu_s=0.5 * look)).halt_reason
    assert gate.evaluate(pass_time(0.4), reports(record, 4, cpu_s=2.0)).halt_reason.startswith(
        "processor time"
    )

    record = new_record(make_plan(5))
    gate = HealthGates(GateSettings(before_s=1.9, look_s=1.0), record)
    assert gate.evaluate(clock.now(), reports(record, 1)).hold_reason
    assert gate.evaluate(pass_time(1.8), reports(record, 2)).hold_reason
    assert not gate.evaluate(pass_time(0.2), reports(record, 3)).hold_reason

    gate, record = gate_of(GateSettings(before_s=0.0, settle_s=10.0, cost=100.0))
    gate.evaluate(clock.now(), reports(record, 1))
    gate.evaluate(pass_time(9.9), reports(record, 2, missed=100.0))
    assert gate.evidence[FailureKind.MISSED].likelihood_ratio == 1.0  # not settled: its misses don't count
    gate.evaluate(pass_time(0.2), reports(record, 3, missed=200.0))
    assert gate.evidence[FailureKind.MISSED].likelihood_ratio > 1.0


def watched_record(clock: SteppedClock) -> ReleaseRecord:
    """All units have the new version, and are watched from now on."""
    record = new_record(make_plan())
    for unit in record.units.values():
        unit.version = "1.8"
    assert ReleaseStateMachine(record).tick(clock.now()) == [] and record.watch_started == clock.now()
    return record


@pytest.mark.parametrize("step_s", WALL_STEPS)
def test_a_controller_that_follows_on_the_same_machine_goes_on_with_the_watch(step_s: float) -> None:
    """A record stored when a watch of 20 s began, read 15 s later: the watch ends after 5 s more."""
    clock = SteppedClock()
    stored = RecordCodec(clock).encode(watched_record(clock))
    clock.reading += 15.0
    clock.offset += step_s
    record = RecordCodec(clock).decode(stored)
    ReleaseStateMachine(record).tick(clock.now())
    clock.reading += 4.9
    ReleaseStateMachine(record).tick(clock.now())
    assert mode_of(record) is ReleaseMode.RUNNING
    clock.reading += 0.2
    ReleaseStateMachine(record).tick(clock.now())
    assert mode_of(record) is ReleaseMode.DONE


@pytest.mark.parametrize(
    ("identity", "reading"),
    [("boot-2", 6_000.0), ("boot-2", 9.0), ("", 6_000.0), ("boot-1", 4_000.0)],
    ids=["restarted, up for longer", "restarted", "unknown", "a reading that lies ahead"],
)
def test_a_watch_by_a_clock_that_can_not_be_compared_begins_anew(identity: str, reading: float) -> None:
    """A record of another boot, or with a reading from the future: the watch takes its 20 s once more."""
    first = SteppedClock()
    stored = RecordCodec(first).encode(watched_record(first))
    clock = SteppedClock(identity, reading)
    record = RecordCodec(clock).decode(stored)
    ReleaseStateMachine(record).tick(clock.now())
    assert record.watch_started == clock.now() and mode_of(record) is ReleaseMode.RUNNING
    clock.reading += 19.9
    ReleaseStateMachine(record).tick(clock.now())
    assert mode_of(record) is ReleaseMode.RUNNING
    clock.reading += 0.2
    ReleaseStateMachine(record).tick(clock.now())
    assert mode_of(record) is ReleaseMode.DONE


def test_a_clock_that_can_not_be_identified_is_comparable_with_none() -> None:
    """A machine without a boot id: no reading is taken over, not even its own."""
    clock = SteppedClock(identity="")
    assert RecordCodec(clock).decode(RecordCodec(clock).encode(watched_record(clock))).watch_started is None
    assert ScaledClock(clock, 60.0).identity == ""


def test_the_same_record_has_the_same_stored_form_after_a_step_of_the_wall_clock() -> None:
    """Else each look would write it anew, and an older controller would see another begin of the watch."""
    clock = SteppedClock()
    record, codec = watched_record(clock), RecordCodec(clock)
    first = codec.encode(record)
    clock.reading += 3.0
    clock.offset -= 3600.0
    assert codec.encode(record) == first
    assert json.loads(first)["watched"] == 1_790_005_000.0


def test_the_system_clock_does_not_follow_the_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """`time.time` returns 1: the clock of the waits goes on, and its identity stays."""
    clock, before = SystemClock(), SystemClock().now()
    monkeypatch.setattr("time.time", lambda: 1.0)
    assert clock.unix_time() == 1.0 and before <= clock.now() < before + 60.0
    assert clock.identity and clock.identity == SystemClock().identity
    assert ScaledClock(clock, 60.0).identity not in ("", clock.identity)


# Stored data of the version before


def stored_folder(tmp_path: Path, name: str) -> Path:
    """A copy of a folder that the version before wrote."""
    return Path(shutil.copytree(STORED / name, tmp_path / name))


def test_a_record_that_the_version_before_wrote_is_read_and_its_watch_begins_anew(tmp_path: Path) -> None:
    """A record in a watch and one with an order under way, both of 0447801: their state is taken over."""
    clock = SteppedClock(offset=1_796_207_300.0 - 5_000.0)  # 7 s after the old controller began to watch
    folder = ReleaseFolder(stored_folder(tmp_path, "watched"), clock=clock)
    record = folder.record
    assert (
        record.units["c0"].version == "1.8" and record.last_order_number == 3 and record.watch_started is None
    )
    assert record.gate_state.watched_s == 4.0
    assert record.gate_state.evidence[FailureKind.FAILED].baselines["c0"] == (4.0, 4)
    assert ReleaseStateMachine(record).tick(clock.now()) == [] and record.watch_started == clock.now()
    folder.close()
    folder = ReleaseFolder(stored_folder(tmp_path, "in_flight"), clock=clock)
    pending = ReleaseStateMachine(folder.record).resend_pending(clock.now())
    assert [(one.unit, one.step, one.version, one.number) for one in pending] == [("c0", "admit", "1.8", 3)]
    folder.close()


def test_a_record_of_this_version_has_what_the_version_before_reads(tmp_path: Path) -> None:
    """The version before passes every key to its dataclass, and refuses one that it does not know."""
    clock = SteppedClock()
    folder = ReleaseFolder(stored_folder(tmp_path, "watched"), clock=clock)
    before = json.loads(load_release(tmp_path / "watched", clock).json)
    ReleaseStateMachine(folder.record).tick(clock.now())
    folder.record.last_request = 3
    folder.save()
    folder.close()
    after = json.loads(load_release(tmp_path / "watched", clock).json)
    assert after.keys() == before.keys()
    assert all(after["units"][name].keys() == before["units"][name].keys() for name in before["units"])
    assert after["watched"] == clock.unix_time()
    assert set(after["evidence"]) - set(before["evidence"]) == {"clock", "request_taken"}
    assert all(after["evidence"][kind] == before["evidence"][kind] for kind in before["evidence"])
    again = load_release(tmp_path / "watched", clock).record
    assert again.watch_started == clock.now() and again.last_request == 3
    assert again.gate_state == folder.record.gate_state


def test_a_record_of_the_version_before_keeps_its_form(tmp_path: Path) -> None:
    """But for when orders were sent, which is not read back."""
    clock = SteppedClock()
    path = stored_folder(tmp_path, "in_flight")
    before = json.loads(load_release(path, clock).json)
    after = json.loads(RecordCodec(clock).encode(load_release(path, clock).record))
    for unit in before["units"].values():
        unit["sent"] = 0.0
    assert after == before


def test_the_watch_begins_anew_after_an_older_controller_has_written(tmp_path: Path) -> None:
    """It keeps `evidence` for up to a second, so the reading in there may belong to another watch."""
    clock = SteppedClock()
    stored = json.loads(RecordCodec(clock).encode(watched_record(clock)))
    stored["watched"] += 40.0
    clock.reading += 60.0
    assert RecordCodec(clock).decode(json.dumps(stored).encode()).watch_started is None
