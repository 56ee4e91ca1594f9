"""Releases on disks that refuse: what can't be stored is not done, and goes on by itself once it can be."""

import asyncio
import json
import shutil
from collections.abc import Callable
from pathlib import Path

import aiohttp
import pytest
from click.testing import CliRunner
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
from applehub.events import EventKind, read_events
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.release.__main__ import main
from applehub.release.agent import Agent
from applehub.release.agent_memory import AgentMemory
from applehub.release.backoff import retry_disk_errors
from applehub.release.controller import Controller
from applehub.release.release_folder import FORMAT_VERSION, ReleaseFolder, load_release, submit_request
from applehub.release.staff_requests import RequestKind, StaffRequest, StaffRequests, apply_new
from applehub.release.state_machine import Order, ReleaseMode
from applehub.release.stored_record import RecordCodec

STORED = Path(__file__).parent / "stored" / "release_0447801"
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
        value = Store(Folder(str(state)), "release", FORMAT_VERSION).load().value
        assert value is not None
        record = RecordCodec(clock).decode(value)
        unit = record.units[order.unit]
        assert unit.order_number == order.number, f"{order} went out, the record has {unit}"
        assert STEPS[unit.step_index] == order.step
        assert order not in carried

    return check


async def rounds(controller: Controller, clock: SteppedClock, seconds: int) -> bool:
    """A round a second; whether the release has come to its end."""
    for _ in range(seconds):
        clock.reading += 1.0
        if await controller.poll_once(clock.now()):
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
        assert await rounds(controller, clock, 60) and controller.record.mode is ReleaseMode.DONE
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
            assert await rounds(controller, clock, 60) and controller.record.mode is ReleaseMode.DONE
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
        keep, slow = controller.folder.save, [8.0]

        def keep_slowly() -> None:
            keep()
            clock.reading += slow.pop() if slow else 0.0

        monkeypatch.setattr(controller.folder, "save", keep_slowly)
        await controller.poll_once(clock.now())
        assert machine.carried == [] and service.taken == 1
        await rounds(controller, clock, 2)
        assert [order.step for order in machine.carried] == ["drain", "replace"] and service.taken == 2


# What staff ask


async def test_a_halt_that_was_taken_up_and_not_kept_is_carried_out_by_the_next_controller(
    tmp_path: Path,
) -> None:
    """A controller takes a halt up, its disk refuses the record, and it is killed."""
    state, clock, machine = tmp_path / "state", SteppedClock(), ObedientMachine(["u0", "u1"])
    async with running_agent(machine, tmp_path / "agent") as (_, address):
        async with controlling(state, make_plan(), clock, address) as controller:
            await rounds(controller, clock, 1)
            assert not submit_request(state, RequestKind.HALT, "by staff")  # the controller holds the record
            with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=f"{state}/release")):
                await rounds(controller, clock, 1)
                assert controller.record.mode is ReleaseMode.HALTED
        async with controlling(state, make_plan(), clock, address) as controller:
            assert await rounds(controller, clock, 10)
            assert controller.record.mode is ReleaseMode.HALTED and controller.record.reason == "by staff"
    assert [order.unit for order in machine.carried] == ["u0"] * 3


async def test_requests_that_come_between_two_looks_are_carried_out_in_their_order_and_once(
    tmp_path: Path,
) -> None:
    """`back` and `resume` between two polls, of which one can't read them: both are carried out, once."""
    state, clock, machine = tmp_path / "state", SteppedClock(), ObedientMachine(["u0", "u1"])
    async with running_agent(machine, tmp_path / "agent") as (_, address):
        async with controlling(state, make_plan(), clock, address) as controller:
            await rounds(controller, clock, 1)
            submit_request(state, RequestKind.BACK, "")
            submit_request(
                state, RequestKind.RESUME, ""
            )  # lets only what is halted go on: it stays on its way back
            with SystemCallFaults(SystemCallFault("open", "EIO", path=f"{state}/wish")):
                await rounds(controller, clock, 1)  # they can't be read: later
            assert controller.record.mode is ReleaseMode.RUNNING
            await rounds(controller, clock, 1)
            assert controller.record.mode.value == "back" and controller.record.last_request == 2
        async with controlling(state, make_plan(), clock, address) as controller:
            assert await rounds(controller, clock, 20)
            assert controller.record.mode is ReleaseMode.RETURNED


def test_what_a_killed_controller_left_comes_before_what_staff_ask_next(tmp_path: Path) -> None:
    """A halt is left to a controller that is killed at once; then staff resume by the folder alone."""
    state = tmp_path / "state"
    folder = ReleaseFolder(state)
    plan = make_plan(fleet=[{"name": "u0", "zone": "a", "agent": "h:1"}])
    folder.begin(plan, False)
    Controller(folder, plan)
    folder.save()
    assert not submit_request(state, RequestKind.HALT, "")
    folder.close()
    assert submit_request(state, RequestKind.RESUME, "")
    found = load_release(state)
    assert found.record.mode is ReleaseMode.RUNNING and found.record.last_request == 1


def test_a_request_that_the_disk_refuses_is_no_acknowledgement(tmp_path: Path) -> None:
    """`halt` on a full disk: exit status 2, a text that says so, and the record as it was."""
    state = tmp_path / "state"
    folder = ReleaseFolder(state)
    folder.begin(make_plan(), False)
    folder.save()
    folder.close()
    with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=f"{state}/release")):
        done = CliRunner().invoke(main, ["halt", "--state", str(state)])
    assert done.exit_code == 2 and "not kept for sure" in done.output and "ENOSPC" not in done.output
    assert load_release(state).record.mode is ReleaseMode.RUNNING


def test_a_request_of_the_version_before_is_read_and_not_taken_twice(
    tmp_path: Path,
) -> None:
    """It stored no number, and its controller took those alone that came after its start."""
    path = Path(shutil.copytree(STORED / "watched", tmp_path / "watched"))
    requests = StaffRequests(path)
    assert requests.after(0) == [StaffRequest(1, RequestKind.HALT, "by staff")]
    with ReleaseFolder(path) as folder:
        assert apply_new(folder.record, requests) == [] and folder.record.last_request == 1
    requests.add(RequestKind.BACK, "")
    assert [request.kind for request in requests.after(0)] == [RequestKind.HALT, RequestKind.BACK]
    stored = Store(Folder(str(path)), "wish", FORMAT_VERSION).load().value
    assert stored is not None and json.loads(stored)["what"] == "back"  # what the version before reads


# The start


@pytest.mark.parametrize("call", ["open", "read"])
def test_a_start_waits_while_the_disk_refuses(tmp_path: Path, call: SystemCall) -> None:
    """The folder can't be read seven times: it is opened after waits that double from 0.1 s."""
    waits: list[float] = []
    folder = ReleaseFolder(tmp_path)
    folder.begin(make_plan(), False)
    folder.save()
    folder.close()
    with SystemCallFaults(SystemCallFault(call, "EIO", from_call=2, times=7, path=str(tmp_path))):
        folder = retry_disk_errors(lambda: ReleaseFolder(tmp_path), waits.append)
    assert folder.record.new_version == "1.8" and len(waits) >= 6 and waits[:3] == [0.1, 0.2, 0.4]
    assert max(waits) <= 5.0
    folder.close()


def test_a_start_in_a_folder_of_no_use_does_not_wait(tmp_path: Path) -> None:
    """A file in the folder's place: an error at once."""
    (tmp_path / "file").touch()
    with pytest.raises(FileExistsError):
        retry_disk_errors(lambda: ReleaseFolder(tmp_path / "file"), lambda _: pytest.fail("it waits"))


# Agents


class Post:
    """Sends orders to an agent as a controller does, and reads what it reports."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session, self.address = session, address

    async def order(self, number: int, step: str = "drain", fence: int = 1) -> int:
        body = {
            "release": "r", "fence": fence, "unit": "u0", "step": step, "version": "1.8", "number": number,
        }  # fmt: skip
        async with self.session.post(f"http://{self.address}/v1/orders", json=body) as answer:
            return answer.status

    async def outcome(self) -> object:
        """Whether the last order went well; none: it is under way."""
        async with self.session.get(f"http://{self.address}/v1/units") as answer:
            return (await answer.json())["units"]["u0"]["order"].get("good")


@pytest.mark.parametrize(("call", "error"), REFUSALS)
async def test_an_agent_begins_no_order_that_its_disk_refuses(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """The order is refused with 503 and neither begun nor known; the same one is taken later, and once. The
    fence of a controller that it could not keep refuses nobody."""
    machine = ObedientMachine(["u0"])
    async with (
        running_agent(machine, tmp_path / "agent") as (agent, address),
        aiohttp.ClientSession() as session,
    ):
        post = Post(session, address)
        with SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path / "agent"))):
            assert [await post.order(4, fence=9), await post.order(4, fence=9)] == [503, 503]
            assert await post.outcome() is None
        assert machine.carried == [] and agent.memory == AgentMemory()
        assert [await post.order(4, fence=8), await post.order(4, fence=8)] == [202, 200]
        assert await post.order(5, fence=7) == 409
        await asyncio.gather(*agent.executions)
        assert len(machine.carried) == 1 and await post.outcome() is True


async def test_a_known_order_is_answered_while_the_disk_refuses(tmp_path: Path) -> None:
    """An order that is known, with the same fence: 200. With a higher fence, which can't be stored: 503."""
    machine = ObedientMachine(["u0"])
    async with (
        running_agent(machine, tmp_path / "agent") as (agent, address),
        aiohttp.ClientSession() as session,
    ):
        post = Post(session, address)
        assert await post.order(4) == 202
        await asyncio.gather(*agent.executions)
        with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=str(tmp_path / "agent"))):
            assert await post.order(4) == 200  # nothing to keep
            assert (
                await post.order(4, fence=2) == 503
            )  # a controller that came after: its fence is to be stored
            assert await post.order(4, fence=1) == 200


@pytest.mark.parametrize(("call", "error"), REFUSALS)
async def test_an_agent_reports_no_outcome_that_its_disk_refuses(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """Else an agent that is killed then carries a step out again which the controller takes for done."""
    machine, waits = ObedientMachine(["u0"]), asyncio.Queue[float]()
    goes_on = asyncio.Event()
    faults = SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path / "agent")))
    machine.check = lambda order: faults.install()

    async def sleep(seconds: float) -> None:
        waits.put_nowait(seconds)
        await goes_on.wait()

    async with (
        running_agent(machine, tmp_path / "agent", sleep) as (agent, address),
        aiohttp.ClientSession() as session,
    ):
        post = Post(session, address)
        assert await post.order(4) == 202
        assert await asyncio.wait_for(waits.get(), 10) == 0.1
        assert await post.outcome() is None
        faults.remove()
        goes_on.set()
        await asyncio.gather(*agent.executions)
        assert await post.outcome() is True and faults.count(call, error) >= 1
    machine.check = lambda order: None
    async with running_agent(machine, tmp_path / "agent") as (agent, _):
        assert agent.executions == set() and len(machine.carried) == 1


async def test_an_agent_killed_before_its_outcome_is_kept_carries_the_step_out_again(tmp_path: Path) -> None:
    """An agent ends while its disk refuses an outcome: the next one executes the step again."""
    machine, waits = ObedientMachine(["u0"]), asyncio.Queue[float]()
    faults = SystemCallFaults(SystemCallFault("fsync", "EIO", path=str(tmp_path / "agent")))
    machine.check = lambda order: faults.install()

    async def sleep(seconds: float) -> None:
        waits.put_nowait(seconds)
        await asyncio.Event().wait()

    async with running_agent(machine, tmp_path / "agent", sleep) as (_, address):
        async with aiohttp.ClientSession() as session:
            assert await Post(session, address).order(4) == 202
        await asyncio.wait_for(waits.get(), 10)
    faults.remove()
    machine.check = lambda order: None
    async with running_agent(machine, tmp_path / "agent") as (agent, _):
        await asyncio.gather(*agent.executions)
        assert agent.memory.latest["u0"].succeeded and machine.carried[0] == machine.carried[1]


async def test_the_memory_of_an_agent_of_the_version_before_is_read(tmp_path: Path) -> None:
    """An agent's memory of 0447801, one order done and one under way: read, and encoded as it was."""
    folder = Path(shutil.copytree(STORED / "agent", tmp_path / "agent"))
    store = Store(Folder(str(folder)), "orders", FORMAT_VERSION)
    before = store.load().value
    agent = Agent(ObedientMachine(["c0", "c1"]), store)
    assert agent.memory.fence == 3 and agent.memory.latest["c0"].succeeded
    assert [order.unit for order in agent.memory.unfinished()] == ["c1"]
    assert agent.memory.encode() == before  # what the version before reads
    await agent.stop()


# Events


async def test_events_that_the_disk_refuses_hold_no_release_up(tmp_path: Path) -> None:
    """The events' file is full during a whole release: it is done, and the events are there in the end."""
    state, clock, machine = tmp_path / "state", SteppedClock(), ObedientMachine(["u0"])
    async with running_agent(machine, tmp_path / "agent") as (_, address):
        with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=f"{state}/events")) as faults:
            async with controlling(state, make_plan(1), clock, address) as controller:
                assert await rounds(controller, clock, 60) and controller.record.mode is ReleaseMode.DONE
                assert faults.count("write") > 0
                faults.replace()
    events = [one.event for one in read_events(state / "events.jsonl")]
    assert events.count(EventKind.ORDER_SENT) == 3 and events[-1] is EventKind.RELEASE_MODE


async def test_reading_a_release_leaves_a_line_alone_that_is_being_written(tmp_path: Path) -> None:
    """`status` beside a controller in the middle of a line: the line stays."""
    state = tmp_path / "state"
    folder = ReleaseFolder(state)
    folder.begin(make_plan(), False)
    folder.save()
    with open(state / "events.jsonl", "ab") as file:
        file.write(b'{"half')
    assert load_release(state).record.mode is ReleaseMode.RUNNING
    assert (state / "events.jsonl").read_bytes().endswith(b'{"half')
    folder.close()


# The controller's own machine


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("socket", "EMFILE"),
        ("socket", "ENFILE"),
        ("socket", "ENOBUFS"),
        ("connect", "EADDRNOTAVAIL"),
        ("connect", "ENETUNREACH"),
    ],
)
async def test_a_machine_that_can_not_ask_condemns_no_version(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """All units have the new version and are watched, so none of the old one shows that it is the machine.
    For 30 s no connection can be made, where 10 s of silence halt a release. Then the agent ends: it does."""
    state, clock, machine = tmp_path / "state", SteppedClock(), ObedientMachine(["u0"])
    async with (
        running_agent(machine, tmp_path / "agent") as (agent, address),
        controlling(
            state, make_plan(1, stages=[{"name": "all", "part": 1.0, "watch_s": 600}]), clock, address
        ) as controller,
    ):
        while controller.record.watch_started is None:
            await rounds(controller, clock, 1)
        await controller.client.session.close()
        controller.client.session = aiohttp.ClientSession()
        with SystemCallFaults(SystemCallFault(call, error)) as faults:
            assert not await rounds(controller, clock, 30)
            assert faults.count(call) >= 30 and controller.hold_reason
        assert controller.record.mode is ReleaseMode.RUNNING
        await rounds(controller, clock, 1)
        assert not controller.hold_reason
        await agent.stop()
        await rounds(controller, clock, 12)
        assert controller.record.reason == "u0: tells nothing for 10 s"
        await controller.client.session.close()
