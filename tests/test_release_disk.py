"""Tests of releases with disk errors: state is stored before messages are sent, and saves are retried."""

import asyncio
import json
import shutil
from collections.abc import Callable
from pathlib import Path

import aiohttp
import pytest
from click.testing import CliRunner
from release_support import (
    FakeClock,
    FakeUnitHost,
    make_plan,
    running_agent,
    running_controller,
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

STORED_DATA = Path(__file__).parent / "stored" / "release_0447801"
DISK_ERRORS: list[tuple[SystemCall, str]] = [
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


def require_stored_order(state: Path, clock: FakeClock, executed: list[Order]) -> Callable[[Order], None]:
    """Returns a check that an order is in the stored record and has not been executed before."""

    def check(order: Order) -> None:
        value = Store(Folder(str(state)), "release", FORMAT_VERSION).load().value
        assert value is not None
        record = RecordCodec(clock).decode(value)
        unit = record.units[order.unit]
        assert unit.order_number == order.number, f"{order} was sent, but the stored record has {unit}"
        assert STEPS[unit.step_index] == order.step
        assert order not in executed

    return check


async def poll_for(controller: Controller, clock: FakeClock, seconds: int) -> bool:
    """Polls once a second. Returns whether the release has ended or is halted."""
    for _ in range(seconds):
        clock.reading += 1.0
        if await controller.poll_once(clock.now()):
            return True
    return False


@pytest.mark.parametrize(("call", "error"), DISK_ERRORS)
async def test_no_order_is_sent_during_disk_errors(tmp_path: Path, call: SystemCall, error: str) -> None:
    """The disk fails for 30 s at three points of the release."""
    state, clock, host = tmp_path / "state", FakeClock(), FakeUnitHost(["u0", "u1"])
    host.before_execute = require_stored_order(state, clock, host.executed)
    async with (
        running_agent(host, tmp_path / "agent") as (_, address),
        running_controller(state, make_plan(), clock, address) as controller,
    ):
        for _ in range(3):
            await poll_for(controller, clock, 2)
            with SystemCallFaults(SystemCallFault(call, error, path=f"{state}/release")) as faults:
                if call == "fsync_folder":
                    faults.replace(SystemCallFault(call, error, path=str(state)))
                assert not await poll_for(controller, clock, 1)
                executed_before = list(host.executed)
                assert not await poll_for(controller, clock, 30)
                assert host.executed == executed_before and 5 <= faults.count(call) <= 31
            clock.reading += 5.0  # the maximum delay between two attempts
        assert await poll_for(controller, clock, 60) and controller.record.mode is ReleaseMode.DONE
    assert [order.step for order in host.executed] == [*STEPS, *STEPS]


@pytest.mark.parametrize(("call", "error"), DISK_ERRORS)
async def test_controller_replaced_during_disk_errors_repeats_no_step(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """Eight controllers are replaced one after another, each after a partial write."""
    state, clock, host = tmp_path / "state", FakeClock(), FakeUnitHost(["u0", "u1"])
    host.before_execute = require_stored_order(state, clock, host.executed)
    async with running_agent(host, tmp_path / "agent") as (_, address):
        for _ in range(8):
            async with running_controller(state, make_plan(), clock, address) as controller:
                await poll_for(controller, clock, 1)
                path = str(state) if call == "fsync_folder" else f"{state}/release"
                with SystemCallFaults(
                    SystemCallFault("write", short=100, times=1, path=path),  # leaves a partial file
                    SystemCallFault(call, error, path=path),
                ):
                    await poll_for(controller, clock, 3)
        async with running_controller(state, make_plan(), clock, address) as controller:
            assert await poll_for(controller, clock, 60) and controller.record.mode is ReleaseMode.DONE
    assert [order.step for order in host.executed] == [*STEPS, *STEPS]
    assert len({order.number for order in host.executed}) == 6


async def test_no_order_is_sent_if_lease_expires_during_save(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first save takes 8 s. The lease is valid only at the start of the poll."""
    clock, host = FakeClock(), FakeUnitHost(["u0"])
    async with (
        running_agent(host, tmp_path / "agent") as (_, address),
        running_list_service() as (service, service_address),
        running_controller(
            tmp_path / "state", make_plan(1, lists=[service_address]), clock, address
        ) as controller,
    ):
        save, delays = controller.folder.save, [8.0]

        def save_slowly() -> None:
            save()
            clock.reading += delays.pop() if delays else 0.0

        monkeypatch.setattr(controller.folder, "save", save_slowly)
        await controller.poll_once(clock.now())
        assert host.executed == [] and service.acquisitions == 1
        await poll_for(controller, clock, 2)
        assert [order.step for order in host.executed] == ["drain", "replace"] and service.acquisitions == 2


# Staff requests


async def test_halt_whose_save_failed_is_executed_by_next_controller(
    tmp_path: Path,
) -> None:
    """The controller applies the halt but fails to store its record, and is replaced."""
    state, clock, host = tmp_path / "state", FakeClock(), FakeUnitHost(["u0", "u1"])
    async with running_agent(host, tmp_path / "agent") as (_, address):
        async with running_controller(state, make_plan(), clock, address) as controller:
            await poll_for(controller, clock, 1)
            assert not submit_request(state, RequestKind.HALT, "by staff")  # the folder is locked
            with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=f"{state}/release")):
                await poll_for(controller, clock, 1)
                assert controller.record.mode is ReleaseMode.HALTED
        async with running_controller(state, make_plan(), clock, address) as controller:
            assert await poll_for(controller, clock, 10)
            assert controller.record.mode is ReleaseMode.HALTED and controller.record.reason == "by staff"
    assert [order.unit for order in host.executed] == ["u0"] * 3


async def test_requests_between_polls_are_executed_once_and_in_order(
    tmp_path: Path,
) -> None:
    """`back` and `resume` are submitted before a poll that fails to read them."""
    state, clock, host = tmp_path / "state", FakeClock(), FakeUnitHost(["u0", "u1"])
    async with running_agent(host, tmp_path / "agent") as (_, address):
        async with running_controller(state, make_plan(), clock, address) as controller:
            await poll_for(controller, clock, 1)
            submit_request(state, RequestKind.BACK, "")
            submit_request(state, RequestKind.RESUME, "")  # has no effect on a rollback
            with SystemCallFaults(SystemCallFault("open", "EIO", path=f"{state}/wish")):
                await poll_for(controller, clock, 1)  # the requests can't be read yet
            assert controller.record.mode is ReleaseMode.RUNNING
            await poll_for(controller, clock, 1)
            assert controller.record.mode.value == "back" and controller.record.last_request == 2
        async with running_controller(state, make_plan(), clock, address) as controller:
            assert await poll_for(controller, clock, 20)
            assert controller.record.mode is ReleaseMode.RETURNED


def test_pending_requests_are_executed_before_new_ones(tmp_path: Path) -> None:
    """A halt that a killed controller did not execute precedes a resume that needs no controller."""
    state = tmp_path / "state"
    folder = ReleaseFolder(state)
    plan = make_plan(fleet=[{"name": "u0", "zone": "a", "agent": "h:1"}])
    folder.begin(plan, False)
    Controller(folder, plan)
    folder.save()
    assert not submit_request(state, RequestKind.HALT, "")
    folder.close()
    assert submit_request(state, RequestKind.RESUME, "")
    stored_release = load_release(state)
    assert stored_release.record.mode is ReleaseMode.RUNNING and stored_release.record.last_request == 1


def test_request_that_can_not_be_stored_is_reported_as_failed(tmp_path: Path) -> None:
    """`halt` on a full disk exits with status 2 and leaves the record unchanged."""
    state = tmp_path / "state"
    folder = ReleaseFolder(state)
    folder.begin(make_plan(), False)
    folder.save()
    folder.close()
    with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=f"{state}/release")):
        result = CliRunner().invoke(main, ["halt", "--state", str(state)])
    assert result.exit_code == 2 and "outcome unknown" in result.output and "ENOSPC" not in result.output
    assert load_release(state).record.mode is ReleaseMode.RUNNING


def test_request_of_previous_version_is_not_executed_again(
    tmp_path: Path,
) -> None:
    """The previous version stored no request number in its record."""
    path = Path(shutil.copytree(STORED_DATA / "watched", tmp_path / "watched"))
    requests = StaffRequests(path)
    assert requests.after(0) == [StaffRequest(1, RequestKind.HALT, "by staff")]
    with ReleaseFolder(path) as folder:
        assert apply_new(folder.record, requests) == [] and folder.record.last_request == 1
    requests.add(RequestKind.BACK, "")
    assert [request.kind for request in requests.after(0)] == [RequestKind.HALT, RequestKind.BACK]
    stored = Store(Folder(str(path)), "wish", FORMAT_VERSION).load().value
    assert stored is not None and json.loads(stored)["what"] == "back"


# Start of a controller


@pytest.mark.parametrize("call", ["open", "read"])
def test_start_is_retried_during_disk_errors(tmp_path: Path, call: SystemCall) -> None:
    """Reading the folder fails seven times. The delays double from 0.1 s."""
    delays: list[float] = []
    folder = ReleaseFolder(tmp_path)
    folder.begin(make_plan(), False)
    folder.save()
    folder.close()
    with SystemCallFaults(SystemCallFault(call, "EIO", from_call=2, times=7, path=str(tmp_path))):
        folder = retry_disk_errors(lambda: ReleaseFolder(tmp_path), delays.append)
    assert folder.record.new_version == "1.8" and len(delays) >= 6 and delays[:3] == [0.1, 0.2, 0.4]
    assert max(delays) <= 5.0
    folder.close()


def test_start_in_unusable_folder_fails_without_retry(tmp_path: Path) -> None:
    """The path of the folder is a regular file."""
    (tmp_path / "file").touch()
    with pytest.raises(FileExistsError):
        retry_disk_errors(lambda: ReleaseFolder(tmp_path / "file"), lambda _: pytest.fail("unexpected retry"))


# Agents


class AgentTestClient:
    """Sends orders to an agent and reads its status, as a controller does."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session, self.address = session, address

    async def send_order(self, number: int, step: str = "drain", fence: int = 1) -> int:
        body = {
            "release": "r", "fence": fence, "unit": "u0", "step": step, "version": "1.8", "number": number,
        }  # fmt: skip
        async with self.session.post(f"http://{self.address}/v1/orders", json=body) as response:
            return response.status

    async def outcome(self) -> object:
        """Returns whether the latest order succeeded, or None without an outcome."""
        async with self.session.get(f"http://{self.address}/v1/units") as response:
            return (await response.json())["units"]["u0"]["order"].get("good")


@pytest.mark.parametrize(("call", "error"), DISK_ERRORS)
async def test_agent_rejects_order_that_can_not_be_stored(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """The order is accepted later and executed once. A fence that could not be stored rejects no order."""
    host = FakeUnitHost(["u0"])
    async with (
        running_agent(host, tmp_path / "agent") as (agent, address),
        aiohttp.ClientSession() as session,
    ):
        client = AgentTestClient(session, address)
        with SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path / "agent"))):
            assert [await client.send_order(4, fence=9), await client.send_order(4, fence=9)] == [503, 503]
            assert await client.outcome() is None
        assert host.executed == [] and agent.memory == AgentMemory()
        assert [await client.send_order(4, fence=8), await client.send_order(4, fence=8)] == [202, 200]
        assert await client.send_order(5, fence=7) == 409
        await asyncio.gather(*agent.executions)
        assert len(host.executed) == 1 and await client.outcome() is True


async def test_known_order_is_confirmed_during_disk_errors(tmp_path: Path) -> None:
    """The same order with a higher fence is rejected, because the fence can't be stored."""
    host = FakeUnitHost(["u0"])
    async with (
        running_agent(host, tmp_path / "agent") as (agent, address),
        aiohttp.ClientSession() as session,
    ):
        client = AgentTestClient(session, address)
        assert await client.send_order(4) == 202
        await asyncio.gather(*agent.executions)
        with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=str(tmp_path / "agent"))):
            assert await client.send_order(4) == 200  # the repeated order changes nothing that is stored
            assert await client.send_order(4, fence=2) == 503  # the new fence must be stored
            assert await client.send_order(4, fence=1) == 200


@pytest.mark.parametrize(("call", "error"), DISK_ERRORS)
async def test_agent_reports_no_outcome_before_it_is_stored(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """A killed agent would otherwise repeat a step that the controller considers done."""
    host, delays = FakeUnitHost(["u0"]), asyncio.Queue[float]()
    retry_allowed = asyncio.Event()
    faults = SystemCallFaults(SystemCallFault(call, error, path=str(tmp_path / "agent")))
    host.before_execute = lambda order: faults.install()

    async def sleep(seconds: float) -> None:
        delays.put_nowait(seconds)
        await retry_allowed.wait()

    async with (
        running_agent(host, tmp_path / "agent", sleep) as (agent, address),
        aiohttp.ClientSession() as session,
    ):
        client = AgentTestClient(session, address)
        assert await client.send_order(4) == 202
        assert await asyncio.wait_for(delays.get(), 10) == 0.1
        assert await client.outcome() is None
        faults.remove()
        retry_allowed.set()
        await asyncio.gather(*agent.executions)
        assert await client.outcome() is True and faults.count(call, error) >= 1
    host.before_execute = lambda order: None
    async with running_agent(host, tmp_path / "agent") as (agent, _):
        assert agent.executions == set() and len(host.executed) == 1


async def test_agent_killed_before_storing_outcome_executes_step_again(tmp_path: Path) -> None:
    """The agent ends while storing the outcome fails."""
    host, delays = FakeUnitHost(["u0"]), asyncio.Queue[float]()
    faults = SystemCallFaults(SystemCallFault("fsync", "EIO", path=str(tmp_path / "agent")))
    host.before_execute = lambda order: faults.install()

    async def sleep(seconds: float) -> None:
        delays.put_nowait(seconds)
        await asyncio.Event().wait()

    async with running_agent(host, tmp_path / "agent", sleep) as (_, address):
        async with aiohttp.ClientSession() as session:
            assert await AgentTestClient(session, address).send_order(4) == 202
        await asyncio.wait_for(delays.get(), 10)
    faults.remove()
    host.before_execute = lambda order: None
    async with running_agent(host, tmp_path / "agent") as (agent, _):
        await asyncio.gather(*agent.executions)
        assert agent.memory.latest["u0"].succeeded and host.executed[0] == host.executed[1]


async def test_agent_data_of_previous_version_is_read(tmp_path: Path) -> None:
    """The data of commit 0447801 has a completed and an unfinished order, and is encoded unchanged."""
    folder = Path(shutil.copytree(STORED_DATA / "agent", tmp_path / "agent"))
    store = Store(Folder(str(folder)), "orders", FORMAT_VERSION)
    before = store.load().value
    agent = Agent(FakeUnitHost(["c0", "c1"]), store)
    assert agent.memory.fence == 3 and agent.memory.latest["c0"].succeeded
    assert [order.unit for order in agent.memory.unfinished()] == ["c1"]
    assert agent.memory.encode() == before
    await agent.stop()


# Events


async def test_release_completes_while_events_can_not_be_written(tmp_path: Path) -> None:
    """The events are buffered during the release and written at its end."""
    state, clock, host = tmp_path / "state", FakeClock(), FakeUnitHost(["u0"])
    async with running_agent(host, tmp_path / "agent") as (_, address):
        with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=f"{state}/events")) as faults:
            async with running_controller(state, make_plan(1), clock, address) as controller:
                assert await poll_for(controller, clock, 60) and controller.record.mode is ReleaseMode.DONE
                assert faults.count("write") > 0
                faults.replace()
    events = [record.event for record in read_events(state / "events.jsonl")]
    assert events.count(EventKind.ORDER_SENT) == 3 and events[-1] is EventKind.RELEASE_MODE


async def test_reading_a_release_keeps_a_partial_event_line(tmp_path: Path) -> None:
    """A reader must not truncate a line that the controller is writing."""
    state = tmp_path / "state"
    folder = ReleaseFolder(state)
    folder.begin(make_plan(), False)
    folder.save()
    with open(state / "events.jsonl", "ab") as file:
        file.write(b'{"half')
    assert load_release(state).record.mode is ReleaseMode.RUNNING
    assert (state / "events.jsonl").read_bytes().endswith(b'{"half')
    folder.close()


# Local errors of the controller's machine


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
async def test_local_connection_errors_do_not_halt_a_release(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    """All units have the new version. Connections fail locally for 30 s, although 10 s of silence halt a
    release. The release is halted only when the agent ends."""
    state, clock, host = tmp_path / "state", FakeClock(), FakeUnitHost(["u0"])
    async with (
        running_agent(host, tmp_path / "agent") as (agent, address),
        running_controller(
            state, make_plan(1, stages=[{"name": "all", "part": 1.0, "watch_s": 600}]), clock, address
        ) as controller,
    ):
        while controller.record.watch_started is None:
            await poll_for(controller, clock, 1)
        await controller.client.session.close()
        controller.client.session = aiohttp.ClientSession()
        with SystemCallFaults(SystemCallFault(call, error)) as faults:
            assert not await poll_for(controller, clock, 30)
            assert faults.count(call) >= 30 and controller.hold_reason
        assert controller.record.mode is ReleaseMode.RUNNING
        await poll_for(controller, clock, 1)
        assert not controller.hold_reason
        await agent.stop()
        await poll_for(controller, clock, 12)
        assert controller.record.reason == "u0: tells nothing for 10 s"
        await controller.client.session.close()
