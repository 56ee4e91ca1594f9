"""Releases on disks that refuse: what can't be kept is not done, and goes on by itself once it can be."""

from collections.abc import Callable
from pathlib import Path

import pytest
from release_support import (
    ObedientMachine,
    SteppedClock,
    controlling,
    make_plan,
    running_agent,
    running_list_service,
)

from applehub.durable.folder import Folder
from applehub.durable.store import Store
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.release.controller import Controller
from applehub.release.kept import FORM
from applehub.release.machine import Mode, Order
from applehub.release.stored_record import RecordCodec

REFUSALS: list[tuple[SystemCall, str]] = [
    ("open", "EMFILE"),
    ("write", "ENOSPC"),
    ("write", "EIO"),
    ("fsync", "EIO"),
    ("fsync", "ENOSPC"),
    ("rename", "EIO"),
    ("rename", "ENOSPC"),
    ("fsync_folder", "EIO"),
]
STEPS = ("drain", "replace", "admit")


def only_what_is_durable(state: Path, clock: SteppedClock, carried: list[Order]) -> Callable[[Order], None]:
    """A check that an agent calls before it carries an order out: the record on the disk has it as sent, and
    it is carried out for the first time."""

    def check(order: Order) -> None:
        value = Store(Folder(str(state)), "release", FORM).load().value
        assert value is not None
        record = RecordCodec(clock).decode(value)
        unit = record.units[order.unit]
        assert unit.number == order.number, f"{order} went out, the record has {unit}"
        assert STEPS[unit.step] == order.step
        assert order not in carried

    return check


async def rounds(controller: Controller, clock: SteppedClock, seconds: int) -> bool:
    """A round a second; whether the release has come to its end."""
    for _ in range(seconds):
        clock.reading += 1.0
        if await controller.round(clock.now()):
            return True
    return False


@pytest.mark.parametrize(("call", "error"), REFUSALS)
async def test_no_order_goes_out_while_the_disk_refuses_its_record(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """A disk that refuses for 30 s, from each of the release's looks on."""
    state, clock, machine = tmp_path / "state", SteppedClock(), ObedientMachine(["u0", "u1"])
    machine.check = only_what_is_durable(state, clock, machine.carried)
    async with (
        running_agent(machine, tmp_path / "agent") as (_, address),
        controlling(state, make_plan(), clock, address) as controller,
    ):
        for _ in range(3):
            await rounds(controller, clock, 2)
            with SystemCallFaults(SystemCallFault(call, error, path=f"{state}/release")) as faults:
                if call == "fsync_folder":
                    faults.replace(SystemCallFault(call, error, path=str(state)))
                assert not await rounds(controller, clock, 1)
                before = list(machine.carried)
                assert not await rounds(controller, clock, 30)
                assert machine.carried == before and 5 <= faults.count(call) <= 31
            clock.reading += 5.0  # the longest wait between two attempts
        assert await rounds(controller, clock, 60) and controller.record.mode is Mode.DONE
    assert [order.step for order in machine.carried] == [*STEPS, *STEPS]


@pytest.mark.parametrize(("call", "error"), REFUSALS)
async def test_a_controller_killed_while_the_disk_refuses_does_no_step_twice(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """Killed after each number of looks, in the middle of a write that failed; another one takes over."""
    state, clock, machine = tmp_path / "state", SteppedClock(), ObedientMachine(["u0", "u1"])
    machine.check = only_what_is_durable(state, clock, machine.carried)
    async with running_agent(machine, tmp_path / "agent") as (_, address):
        for _ in range(8):
            async with controlling(state, make_plan(), clock, address) as controller:
                await rounds(controller, clock, 1)
                path = str(state) if call == "fsync_folder" else f"{state}/release"
                with SystemCallFaults(
                    SystemCallFault("write", short=100, times=1, path=path),  # half of it is there
                    SystemCallFault(call, error, path=path),
                ):
                    await rounds(controller, clock, 3)
        async with controlling(state, make_plan(), clock, address) as controller:
            assert await rounds(controller, clock, 60) and controller.record.mode is Mode.DONE
    assert [order.step for order in machine.carried] == [*STEPS, *STEPS]
    assert len({order.number for order in machine.carried}) == 6


async def test_no_order_goes_out_under_a_lease_that_ended_while_the_record_was_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk takes 8 s for the record of the first order: the lease was held when the look began."""
    clock, machine = SteppedClock(), ObedientMachine(["u0"])
    async with (
        running_agent(machine, tmp_path / "agent") as (_, address),
        running_list_service() as (service, lists),
        controlling(tmp_path / "state", make_plan(1, lists=[lists]), clock, address) as controller,
    ):
        keep, slow = controller.kept.keep, [8.0]

        def keep_slowly() -> None:
            keep()
            clock.reading += slow.pop() if slow else 0.0

        monkeypatch.setattr(controller.kept, "keep", keep_slowly)
        await controller.round(clock.now())
        assert machine.carried == [] and service.taken == 1
        await rounds(controller, clock, 2)
        assert [order.step for order in machine.carried] == ["drain", "replace"] and service.taken == 2
