"""Tests of releases with wall clock steps, restarted controllers, reboots, and records of older versions."""

import json
import shutil
from pathlib import Path

import pytest
from release_support import (
    WALL_CLOCK_STEPS_S,
    FakeClock,
    FakeUnitHost,
    make_plan,
    running_agent,
    running_controller,
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

STORED_DATA = Path(__file__).parent / "stored" / "release_0447801"  # written by commit 0447801


def mode_of(record: ReleaseRecord) -> ReleaseMode:
    """Returns the mode of a release. The call prevents type narrowing across successive assertions."""
    return record.mode


async def run_until_watched(controller: Controller, host: FakeUnitHost, clock: FakeClock) -> None:
    """Polls until all units have the new version and the watch of the stage has started."""
    while controller.record.watch_started is None:
        assert not await controller.poll_once(clock.now())
        assert len(host.executed) <= 3 * len(host.units)


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
async def test_stage_watch_ignores_wall_clock_steps(tmp_path: Path, step_s: float) -> None:
    """The wall clock steps 10 s into a watch of 20 s."""
    clock, host = FakeClock(), FakeUnitHost(["u0", "u1"])
    async with (
        running_agent(host, tmp_path / "agent") as (_, address),
        running_controller(tmp_path / "state", make_plan(), clock, address) as controller,
    ):
        await run_until_watched(controller, host, clock)
        clock.reading += 10.0
        assert not await controller.poll_once(clock.now())
        clock.offset += step_s
        clock.reading += 9.9
        assert (
            not await controller.poll_once(clock.now()) and mode_of(controller.record) is ReleaseMode.RUNNING
        )
        clock.reading += 0.2
        assert await controller.poll_once(clock.now()) and mode_of(controller.record) is ReleaseMode.DONE


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
async def test_order_resend_ignores_wall_clock_steps(
    tmp_path: Path, step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wall clock steps 30 s into the timeout of 60 s, after which the order is sent again."""
    clock, sent = FakeClock(), []
    async with running_controller(tmp_path / "state", make_plan(1), clock, "127.0.0.1:1") as controller:

        async def send(order: object) -> None:
            sent.append(order)

        monkeypatch.setattr(controller, "_send", send)
        await controller.poll_once(clock.now())
        clock.reading += 30.0
        clock.offset += step_s
        await controller.poll_once(clock.now())
        clock.reading += 29.9
        await controller.poll_once(clock.now())
        assert len(sent) == 1  # the plan's step_s is 60 s
        clock.reading += 0.2
        await controller.poll_once(clock.now())
        assert len(sent) == 2 and sent[0] == sent[1]


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
async def test_lock_lease_ignores_wall_clock_steps(tmp_path: Path, step_s: float) -> None:
    """The controller trusts 7.2 s of the lease of 8 s, and sends no order after that."""
    clock, host = FakeClock(), FakeUnitHost(["u0"])
    async with (
        running_agent(host, tmp_path / "agent") as (_, address),
        running_list_service() as (service, service_address),
        running_controller(
            tmp_path / "state", make_plan(1, lists=[service_address]), clock, address
        ) as controller,
    ):
        await controller.poll_once(clock.now())
        assert controller.lock_held and service.acquisitions == 1
        service.rejects = True
        clock.offset += step_s
        clock.reading += 7.1  # 0.1 s before the end of the trusted lease
        await controller.poll_once(clock.now())
        assert controller.lock_held
        clock.reading += 0.2
        await controller.poll_once(clock.now())
        assert not controller.lock_held
        executed_before = len(host.executed)
        clock.reading += 100.0  # the order is overdue by now
        await controller.poll_once(clock.now())
        assert len(host.executed) == executed_before


def make_gates(settings: GateSettings) -> tuple[HealthGates, ReleaseRecord]:
    """Returns gates over five units and their record, in which u0 has the new version."""
    record = new_record(make_plan(5))
    record.units["u0"].version = "1.8"
    return HealthGates(settings, record), record


def make_reports(record: ReleaseRecord, poll: int, **new_unit_metrics: float) -> dict[str, LoadReport | None]:
    """Returns the load reports of a poll, equal for all units except the given metrics of u0."""
    metrics = {"life": 1.0, "requests": 100.0 * poll, "failed": 0.0, "cpu_s": 0.1 * poll, "missed": 0.0}
    return {
        name: LoadReport({**metrics, **(new_unit_metrics if name == "u0" else {})}) for name in record.units
    }


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
def test_gate_timers_ignore_wall_clock_steps(step_s: float) -> None:
    """The wall clock steps in the middle of silent_s, cost_s, before_s and settle_s."""
    clock = FakeClock()

    def advance_with_step(seconds: float) -> float:
        clock.reading += seconds / 2
        clock.offset += step_s
        clock.reading += seconds / 2
        return clock.now()

    gates, record = make_gates(GateSettings(before_s=0.0, silent_s=10.0))
    all_reports = make_reports(record, 1)
    gates.evaluate(clock.now(), all_reports)
    assert not gates.evaluate(advance_with_step(9.9), {**all_reports, "u0": None}).halt_reason
    assert (
        gates.evaluate(advance_with_step(0.2), {**all_reports, "u0": None}).halt_reason
        == "u0: tells nothing for 10 s"
    )

    gates, record = make_gates(GateSettings(before_s=0.0, cost_s=10.0))
    for poll, seconds in enumerate((1.0, 1.0, 9.8), start=1):
        assert not gates.evaluate(
            advance_with_step(seconds), make_reports(record, poll, cpu_s=0.5 * poll)
        ).halt_reason
    assert gates.evaluate(advance_with_step(0.4), make_reports(record, 4, cpu_s=2.0)).halt_reason.startswith(
        "processor time"
    )

    record = new_record(make_plan(5))
    gates = HealthGates(GateSettings(before_s=1.9, look_s=1.0), record)
    assert gates.evaluate(clock.now(), make_reports(record, 1)).hold_reason
    assert gates.evaluate(advance_with_step(1.8), make_reports(record, 2)).hold_reason
    assert not gates.evaluate(advance_with_step(0.2), make_reports(record, 3)).hold_reason

    gates, record = make_gates(GateSettings(before_s=0.0, settle_s=10.0, cost=100.0))
    gates.evaluate(clock.now(), make_reports(record, 1))
    gates.evaluate(advance_with_step(9.9), make_reports(record, 2, missed=100.0))
    assert gates.evidence[FailureKind.MISSED].likelihood_ratio == 1.0  # misses don't count before settle_s
    gates.evaluate(advance_with_step(0.2), make_reports(record, 3, missed=200.0))
    assert gates.evidence[FailureKind.MISSED].likelihood_ratio > 1.0


def make_watched_record(clock: FakeClock) -> ReleaseRecord:
    """Returns a record in which all units have the new version and the watch starts now."""
    record = new_record(make_plan())
    for unit in record.units.values():
        unit.version = "1.8"
    assert ReleaseStateMachine(record).tick(clock.now()) == [] and record.watch_started == clock.now()
    return record


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
def test_restarted_controller_continues_stage_watch(step_s: float) -> None:
    """The record is read 15 s into a watch of 20 s, which ends 5 s later."""
    clock = FakeClock()
    stored = RecordCodec(clock).encode(make_watched_record(clock))
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
    ids=["restarted, longer uptime", "restarted", "unknown", "reading in the future"],
)
def test_stage_watch_restarts_if_clocks_are_not_comparable(identity: str, reading: float) -> None:
    """After the restart, the watch takes the full 20 s again."""
    first = FakeClock()
    stored = RecordCodec(first).encode(make_watched_record(first))
    clock = FakeClock(identity, reading)
    record = RecordCodec(clock).decode(stored)
    ReleaseStateMachine(record).tick(clock.now())
    assert record.watch_started == clock.now() and mode_of(record) is ReleaseMode.RUNNING
    clock.reading += 19.9
    ReleaseStateMachine(record).tick(clock.now())
    assert mode_of(record) is ReleaseMode.RUNNING
    clock.reading += 0.2
    ReleaseStateMachine(record).tick(clock.now())
    assert mode_of(record) is ReleaseMode.DONE


def test_clock_without_identity_is_not_comparable() -> None:
    """Without an identity, a stored reading is not used even by the clock that took it."""
    clock = FakeClock(identity="")
    assert (
        RecordCodec(clock).decode(RecordCodec(clock).encode(make_watched_record(clock))).watch_started is None
    )
    assert ScaledClock(clock, 60.0).identity == ""


def test_record_encoding_ignores_wall_clock_steps() -> None:
    """A changed encoding would cause a save at each poll and a changed start time in older controllers."""
    clock = FakeClock()
    record, codec = make_watched_record(clock), RecordCodec(clock)
    first = codec.encode(record)
    clock.reading += 3.0
    clock.offset -= 3600.0
    assert codec.encode(record) == first
    assert json.loads(first)["watched"] == 1_790_005_000.0


def test_system_clock_does_not_follow_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """The monotonic clock and its identity are unaffected by `time.time`."""
    clock, before = SystemClock(), SystemClock().now()
    monkeypatch.setattr("time.time", lambda: 1.0)
    assert clock.unix_time() == 1.0 and before <= clock.now() < before + 60.0
    assert clock.identity and clock.identity == SystemClock().identity
    assert ScaledClock(clock, 60.0).identity not in ("", clock.identity)


# Stored data of the previous version


def copy_stored_folder(tmp_path: Path, name: str) -> Path:
    """Returns a copy of a folder that the previous version wrote."""
    return Path(shutil.copytree(STORED_DATA / name, tmp_path / name))


def test_record_of_previous_version_is_read_and_watch_restarts(tmp_path: Path) -> None:
    """Reads one record during a watch and one with a pending order."""
    clock = FakeClock(offset=1_796_207_300.0 - 5_000.0)  # 7 s after the start of the stored watch
    folder = ReleaseFolder(copy_stored_folder(tmp_path, "watched"), clock=clock)
    record = folder.record
    assert (
        record.units["c0"].version == "1.8" and record.last_order_number == 3 and record.watch_started is None
    )
    assert record.gate_state.watched_s == 4.0
    assert record.gate_state.evidence[FailureKind.FAILED].baselines["c0"] == (4.0, 4)
    assert ReleaseStateMachine(record).tick(clock.now()) == [] and record.watch_started == clock.now()
    folder.close()
    folder = ReleaseFolder(copy_stored_folder(tmp_path, "in_flight"), clock=clock)
    pending = ReleaseStateMachine(folder.record).resend_pending(clock.now())
    assert [(order.unit, order.step, order.version, order.number) for order in pending] == [
        ("c0", "admit", "1.8", 3)
    ]
    folder.close()


def test_record_is_readable_by_previous_version(tmp_path: Path) -> None:
    """The previous version rejects unknown keys of the record and of its units."""
    clock = FakeClock()
    folder = ReleaseFolder(copy_stored_folder(tmp_path, "watched"), clock=clock)
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
    reloaded = load_release(tmp_path / "watched", clock).record
    assert reloaded.watch_started == clock.now() and reloaded.last_request == 3
    assert reloaded.gate_state == folder.record.gate_state


def test_record_of_previous_version_is_reencoded_unchanged(tmp_path: Path) -> None:
    """Only the times at which orders were sent differ, as they are not decoded."""
    clock = FakeClock()
    path = copy_stored_folder(tmp_path, "in_flight")
    before = json.loads(load_release(path, clock).json)
    after = json.loads(RecordCodec(clock).encode(load_release(path, clock).record))
    for unit in before["units"].values():
        unit["sent"] = 0.0
    assert after == before


def test_stage_watch_restarts_after_write_by_older_controller(tmp_path: Path) -> None:
    """An older controller may keep a stale reading in `evidence`, which belongs to another watch."""
    clock = FakeClock()
    stored = json.loads(RecordCodec(clock).encode(make_watched_record(clock)))
    stored["watched"] += 40.0
    clock.reading += 60.0
    assert RecordCodec(clock).decode(json.dumps(stored).encode()).watch_started is None
