"""Tests of the cluster test harness: plans, fault injection, checks and event files."""

import asyncio
import dataclasses
import os
import signal
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson
import psutil
import pytest
from click.testing import CliRunner

from applehub.events import EventFormatError, EventKind, EventRecord, EventWriter, parse_event, read_events
from applehub.lab import fleet as fleet_package
from applehub.lab.__main__ import main
from applehub.lab.fleet import relay
from applehub.lab.fleet.checks import run_checks
from applehub.lab.fleet.history import build_history
from applehub.lab.fleet.plan import Plan, make_plan
from applehub.lab.fleet.plan_generator import generate_plan, shrink
from applehub.lab.fleet.processes import environment
from applehub.lab.spec import SpecError
from applehub.node.discovery import read_endpoint

DETECTIONS = {  # the plan and the check that detect each known-bad variant
    "loses": ("variants", "answered"),
    "answers-twice": ("variants", "answered"),
    "resends": ("variants", "resends"),
    "ignores-drains": ("variants", "drained"),
    "forgets-calls": ("variants", "by_hand"),
    "goes-back": ("variants", "versions"),
    "goes-deaf": ("variants", "stale"),
    "leaks": ("variants", "limits"),
    "crashes": ("variants", "standing"),
    "never-buries": ("peers", "standing"),
    "never-forgets": ("peers", "shared"),
}

ROLLED_BACK = ("unready", "mute", "poisoned")  # bad versions, one per component, whose release is rolled back


def run_plan(*arguments: str) -> tuple[int, dict[str, int], str]:
    """Runs the command `fleet`; returns its exit code, the violations by check, and its error output."""
    command = [sys.executable, "-m", "applehub.lab", "fleet", *arguments, "--json"]
    completed = subprocess.run(command, env=environment(), capture_output=True, text=True, timeout=300)
    results = orjson.loads(completed.stdout) if completed.stdout else {"checks": {}}
    counts = {name: count for name, count in results["checks"].items() if count}
    return completed.returncode, counts, "\n".join([completed.stderr, *results.get("broken", [])])


def crossing_with_loose_limits() -> str:
    """Returns the plan `crossing` with time limits that also hold on a slow machine."""
    text = (Path(fleet_package.__file__).parent / "plans" / "crossing.toml").read_text()
    loose = "stale_ms = 15000\ndrain_slack_ms = 8000\ndeparted_ms = 3000\ntold_ms = 15000"
    assert "stale_ms = 15000" in text
    return text.replace("stale_ms = 15000", loose).replace("wait_ms = 3000", "wait_ms = 20000")


def test_unmodified_router_passes_and_each_bad_variant_is_detected(tmp_path: Path) -> None:
    good_runs: list[tuple[str, ...]] = [("peers",), ("--quick",), ("variants",), ("power",), ("primary",)]
    bad_runs = {name: (plan, "--variant", name) for name, (plan, _) in DETECTIONS.items()}
    loose = tmp_path / "crossing.toml"
    loose.write_text(crossing_with_loose_limits())
    good_runs += [(str(loose),), ("release",), *(("worse", "--bad", name) for name in ROLLED_BACK)]
    # The longest runs start first, because one of them ends by timeout.
    runs = sorted([*good_runs, *bad_runs.values()], key=lambda arguments: "peers" not in arguments)
    with ThreadPoolExecutor(6) as pool:
        results = dict(zip(runs, pool.map(lambda arguments: run_plan(*arguments), runs), strict=True))
    for arguments in good_runs:
        assert results[arguments][:2] == (0, {}), (arguments, results[arguments])
    for name, (_, check) in DETECTIONS.items():
        code, violations, output = results[bad_runs[name]]
        assert code == 1 and check in violations, (name, violations, output)


def test_killed_harness_leaves_no_process_port_or_file(tmp_path: Path) -> None:
    command = [
        sys.executable,
        "-m",
        "applehub.lab",
        "fleet",
        "--seed",
        "1",
        "--routers",
        "2",
        "--caches",
        "1",
    ]
    env = environment(TMPDIR=str(tmp_path))
    harness = subprocess.Popen(command, env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        harness_process = psutil.Process(harness.pid)
        while not list(tmp_path.glob("ground-*/clients/events-1.jsonl")):  # the clients start last
            assert harness.poll() is None
            psutil.wait_procs([], timeout=0.05)
        children = harness_process.children(recursive=True)
        assert len(children) >= 7
        ports = {
            connection.laddr
            for child in children
            for connection in child.net_connections()
            if connection.status == "LISTEN"
        }
    finally:
        harness.kill()
        harness.wait()
    _, alive = psutil.wait_procs(children, timeout=60)
    assert not alive and not list(tmp_path.iterdir())
    for host, port in ports:
        with socket.socket() as client:
            assert client.connect_ex((host, port)) != 0


def event(at_s: float, kind: EventKind, request: str = "", /, **fields: object) -> EventRecord:
    return EventRecord(int(at_s * 1e9), 0, "test", 0, kind, request, fields)


REQUEST_FIELDS = {"router": "router-0", "cls": "read", "key": "k", "wait_ms": 1000}
ATTEMPT_FIELDS = {"router": "router-0", "server": "cache-0", "cls": "once"}


@pytest.mark.parametrize(
    ("fault", "excused"),
    [("kill", True), ("stop", True), ("upgrade", False), ("term", False), ("hup", False)],
)
def test_lost_request_is_excused_by_the_given_faults_only(fault: str, excused: bool) -> None:
    fault_fields = {"fault": 0, "kind": fault, "processes": ["router-0"], "edges": [], "keep_disk": True}
    records = [
        event(1.0, EventKind.FAULT_BEGUN, **fault_fields),
        event(1.1, EventKind.REQUEST_SENT, "r", **REQUEST_FIELDS),
        event(1.2, EventKind.CLOSED_UNANSWERED, "r", router="router-0"),
        event(1.3, EventKind.FAULT_ENDED, fault=0),
    ]
    violations = run_checks(build_history(records), Plan(name="p"))
    assert [violation.check for violation in violations] == ([] if excused else ["answered"])
    later_request = [
        event(3.0, EventKind.REQUEST_SENT, "s", **REQUEST_FIELDS),
        event(3.1, EventKind.CLOSED_UNANSWERED, "s", router="router-0"),
    ]
    (later_violation,) = run_checks(build_history([*records[:1], records[3], *later_request]), Plan(name="p"))
    # The text has two events of the fault and two of the request.
    assert later_violation.text(build_history(records)).count("\n") == 4


@pytest.mark.parametrize(("since", "excused"), [(1.5, True), (0.5, False)])
def test_router_that_never_became_ready_is_a_violation_unless_it_has_another_fault(
    since: float, excused: bool
) -> None:
    fault_fields = {"fault": 1, "kind": "kill", "processes": ["router-0"], "edges": [], "keep_disk": True}
    records = [
        event(1.0, EventKind.STARTED, of="router-0", number=1),
        event(since, EventKind.FAULT_BEGUN, **fault_fields),
        event(2.0, EventKind.FAULT_NOT_BEGUN, fault=0, of="router-0", why="router-0 was never ready"),
    ]
    assert [violation.check for violation in run_checks(build_history(records), Plan(name="p"))] == (
        [] if excused else ["standing"]
    )


@pytest.mark.parametrize(
    ("how", "breaks"), [("full", False), ("miss", False), ("failed", True), ("left", True)]
)
def test_attempt_that_may_have_executed_must_not_be_retried(how: str, breaks: bool) -> None:
    records = [
        event(1.0, EventKind.ATTEMPT_BEGUN, "r", **ATTEMPT_FIELDS),
        event(1.1, EventKind.ATTEMPT_ENDED, "r", how=how, **ATTEMPT_FIELDS),
        event(1.2, EventKind.ATTEMPT_BEGUN, "r", **{**ATTEMPT_FIELDS, "server": "origin"}),
    ]
    list_sent = event(
        0.5,
        EventKind.LIST_SENT,
        router="router-0",
        version=1,
        whole=True,
        states={"cache-0": "Ready", "origin": "Ready"},
    )
    violations = run_checks(build_history([list_sent, *records]), Plan(name="p"))
    assert [violation.check for violation in violations] == (["resends"] if breaks else [])


def list_poll(at_s: float, replica: str, since: int) -> EventRecord:
    """Returns a poll by router-0 that a replica of the list service received."""
    record = event(at_s, EventKind.LIST_POLLED, router="router-0", since=since)
    return dataclasses.replace(record, process=replica)


def broken_versions(*records: EventRecord) -> list[str]:
    """Returns the violations of the check `versions` in a run with these events."""
    violations = run_checks(
        build_history([event(0.1, EventKind.STARTED, of="router-0", number=1), *records]), Plan(name="p")
    )
    return [violation.message for violation in violations if violation.check == "versions"]


REPLICA_STOPPED = {"fault": 0, "kind": "stop", "processes": ["list-0"], "edges": [], "keep_disk": True}
EDGE_SILENT = {**REPLICA_STOPPED, "kind": "silent", "processes": [], "edges": ["router-0>list-0"]}


@pytest.mark.parametrize(
    ("fault", "read_at", "since", "breaks"),
    [
        (REPLICA_STOPPED, 4.01, 7, False),
        (REPLICA_STOPPED, 4.01, 6, True),  # the router had version 7 before the fault
        (REPLICA_STOPPED, 4.6, 7, True),  # too late after the fault to be a delayed poll
        (EDGE_SILENT, 4.01, 7, False),
        (EDGE_SILENT, 4.01, 6, True),
        ({**REPLICA_STOPPED, "processes": ["list-1"]}, 4.01, 7, True),
        ({**REPLICA_STOPPED, "processes": ["router-0"]}, 4.01, 7, True),
        ({**REPLICA_STOPPED, "kind": "kill"}, 4.01, 7, True),
        ({**EDGE_SILENT, "edges": ["router-1>list-0", "router-0>list-1"]}, 4.01, 7, True),
        (None, 4.01, 7, True),
    ],
)
def test_delayed_poll_is_compared_with_polls_before_the_fault(
    fault: dict[str, object] | None, read_at: float, since: int, breaks: bool
) -> None:
    """A resumed replica receives an old poll after the router has got newer versions from another replica."""
    fault_records = [] if fault is None else [
        event(1.0, EventKind.FAULT_BEGUN, **fault), event(4.0, EventKind.FAULT_ENDED, fault=0)
    ]  # fmt: skip
    before = [list_poll(0.8, "list-0", 6), list_poll(0.9, "list-0", 7)]
    during_fault = [list_poll(3.7, "list-1", 7), list_poll(3.8, "list-1", 9)]
    late = list_poll(read_at, "list-0", since)
    previous = 9 if read_at > 4.5 or not fault_records or fault not in (REPLICA_STOPPED, EDGE_SILENT) else 7
    expected = [f"router-0 had version {previous}, then {since}"] if breaks else []
    assert broken_versions(*before, *fault_records, *during_fault, late) == expected


def test_delayed_poll_neither_lowers_the_version_nor_counts_for_a_later_incarnation() -> None:
    fault_records = [
        event(1.0, EventKind.FAULT_BEGUN, **REPLICA_STOPPED),
        event(4.0, EventKind.FAULT_ENDED, fault=0),
    ]
    before = [list_poll(0.9, "list-0", 7), *fault_records, list_poll(3.8, "list-1", 9)]
    late = list_poll(4.01, "list-0", 7)
    assert broken_versions(*before, late, list_poll(4.02, "list-1", 8)) == ["router-0 had version 9, then 8"]
    assert broken_versions(*before, late, list_poll(4.02, "list-1", 9)) == []
    answer = event(4.02, EventKind.LIST_SENT, router="router-0", version=7, whole=True, states={})
    answer = dataclasses.replace(answer, process="list-0")  # an old list, which the router accepts
    followed = [*before, late, answer, list_poll(4.03, "list-0", 7)]
    assert broken_versions(*followed) == ["router-0 had version 9, then 7"]
    restart = [
        event(3.0, EventKind.EXITED, of="router-0", number=1, code=-9, planned=True),
        event(3.1, EventKind.STARTED, of="router-0", number=2),
        list_poll(3.2, "list-1", 5),
    ]
    with_restart = [list_poll(0.9, "list-0", 7), *fault_records, *restart]
    assert broken_versions(*with_restart, late, list_poll(4.02, "list-1", 5)) == []
    assert broken_versions(*with_restart, late, list_poll(4.02, "list-1", 4)) == [
        "router-0 had version 5, then 4"
    ]


class DatagramRecorder(asyncio.DatagramProtocol):
    """Records received datagrams."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.received.append(data)


async def test_datagrams_are_lost_duplicated_truncated_and_reordered_by_rules() -> None:
    loop, recorder = asyncio.get_running_loop(), DatagramRecorder()
    edge = {"name": "a>b", "target": "b", "listen": "127.0.0.1", "source": "127.0.0.1"}
    answer, handle = await relay.begin({"seed": 1, "edges": [], "datagrams": [edge]})
    target, _ = await loop.create_datagram_endpoint(lambda: recorder, local_addr=("127.0.0.1", 0))
    address = "{}:{}".format(*target.get_extra_info("sockname"))
    source, _ = await loop.create_datagram_endpoint(
        DatagramRecorder, remote_addr=read_endpoint(answer["ports"]["a>b"])
    )

    async def received_with(kind: str, *sent: bytes, want: int) -> list[bytes]:
        """Returns the datagrams received under a rule; a final datagram without the rule marks the end."""
        await handle({"do": "rule", "id": 1, "edges": ["a>*"], "rule": {"kind": kind}})
        for datagram in sent:
            source.sendto(datagram)
        async with asyncio.timeout(60):
            while len(recorder.received) < want:
                await asyncio.sleep(0.01)
            await asyncio.sleep(
                0.05 if kind == "lose" else 0
            )  # time for the arrival of a datagram that should have been dropped
            await handle({"do": "heal", "id": 1})
            source.sendto(b"last")
            while b"last" not in recorder.received:
                await asyncio.sleep(0.01)
        received = [datagram for datagram in recorder.received if datagram != b"last"]
        recorder.received.clear()
        return received

    await handle({"do": "up", "target": "b", "address": address})
    assert await received_with("lose", b"1", b"2", want=0) == []
    assert await received_with("double", b"1", want=2) == [b"1", b"1"]
    assert await received_with("swap", b"1", b"2", want=2) == [b"2", b"1"]
    (short,) = await received_with("short", b"12345678", want=1)
    assert len(short) < 8 and b"12345678".startswith(short)
    for transport in (source, target):
        transport.close()


def test_truncated_last_event_is_ignored_and_unknown_event_is_rejected(tmp_path: Path) -> None:
    writer = EventWriter(tmp_path / "events.jsonl", "me", 2)
    writer.write(EventKind.READY, address="here")
    writer.close()
    with open(tmp_path / "events.jsonl", "ab") as file:
        file.write(b'{"mono":1,"wa')
    (record,) = read_events(tmp_path / "events.jsonl")
    assert (record.process, record.incarnation, record.event, record.fields["address"]) == (
        "me",
        2,
        "ready",
        "here",
    )
    with pytest.raises(EventFormatError):
        parse_event(b'{"mono":1,"wall":1,"process":"a","incarnation":1,"event":"sneezed"}')


def test_invalid_plan_reports_every_error() -> None:
    raw = {"name": "p", "fleet": {"routers": 0}, "faults": [{"kind": "kill", "target": []}, {"kind": "melt"}]}
    with pytest.raises(SpecError) as raised:
        make_plan("p.toml", raw)
    lines = str(raised.value).splitlines()
    assert len(lines) == 3 and all(line.startswith("p.toml: ") for line in lines)
    assert CliRunner().invoke(main, ["fleet", "nowhere.toml"]).exit_code == 2


async def test_shrinking_keeps_the_faults_that_break_the_check() -> None:
    plan = generate_plan(3, 5, 5, 12, 30.0, 100.0)
    assert plan == generate_plan(3, 5, 5, 12, 30.0, 100.0) and len(plan.faults) == 12
    wanted = [plan.faults[2], plan.faults[9]]

    async def breaks(candidate: Plan) -> bool:
        return all(fault in candidate.faults for fault in wanted)

    reduced = await shrink(plan, breaks, lambda _: None)
    assert reduced.faults == wanted


def restore_sigint() -> None:
    """Restores the default handler of SIGINT, which may be inherited as ignored."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def test_interrupted_harness_exits_with_130_and_leaves_no_process() -> None:
    command = [sys.executable, "-m", "applehub.lab", "fleet", "--quick"]
    # A shell starts background jobs with SIGINT ignored, and the harness would inherit that.
    harness = subprocess.Popen(
        command,
        env=environment(),
        preexec_fn=restore_sigint,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    harness_process = psutil.Process(harness.pid)
    while len(children := harness_process.children(recursive=True)) < 7:
        assert harness.poll() is None
        psutil.wait_procs([], timeout=0.05)
    os.kill(harness.pid, signal.SIGINT)
    assert harness.wait(60) == 130
    _, alive = psutil.wait_procs(children, timeout=60)
    assert not alive


LIST_FIELDS = {"router": "router-0", "states": {"cache-0": "Terminating"}, "whole": False}


def router_ready(at_s: float = 0.5) -> list[EventRecord]:
    return [
        event(at_s, EventKind.STARTED, of="router-0", number=1),
        event(at_s + 0.1, EventKind.READY, of="router-0", number=1),
        event(at_s + 0.2, EventKind.LIST_SENT, **{**LIST_FIELDS, "states": {"cache-0": "Ready"}}, version=1),
    ]


def fault_events(number: int, kind: str, edge: str, begin: float, end: float) -> list[EventRecord]:
    fault_fields = {"fault": number, "kind": kind, "processes": [], "edges": [edge], "keep_disk": True}
    return [
        event(begin, EventKind.FAULT_BEGUN, **fault_fields),
        event(end, EventKind.FAULT_ENDED, fault=number),
    ]


@pytest.mark.parametrize(
    ("kind", "until", "received_at", "holds"),
    [
        ("none", 0.0, 7.9, True),
        ("none", 0.0, 8.1, False),
        ("silent", 6.0, 11.9, True),  # the limit counts from the end of the fault
        ("silent", 6.0, 12.1, False),
        ("silent", 6.0, 4.0, False),  # a list that was sent while the edge was silent
        ("hang", 2.0, 7.9, True),  # open connections hang, but new ones work
        ("hang", 2.0, 8.1, False),
    ],
)
def test_list_change_must_arrive_within_six_seconds_after_the_fault(
    kind: str, until: float, received_at: float, holds: bool
) -> None:
    records = [
        *router_ready(),
        event(2.0, EventKind.LIST_CHANGED, version=2, server="cache-0", state="Terminating"),
    ]
    if kind != "none":
        records += fault_events(0, kind, "router-0>list", 1.5, until)
    records += [
        event(received_at, EventKind.LIST_SENT, **LIST_FIELDS, version=2),
        event(40.0, EventKind.PEERS_AGREED, routers=1),
    ]
    plan = Plan(name="p", rules={"stale_ms": 30_000})  # type: ignore[arg-type]
    assert [violation.check for violation in run_checks(build_history(records), plan)] == (
        [] if holds else ["told"]
    )


@pytest.mark.parametrize(
    ("after", "cases", "fault", "breaks"),
    [
        (0.09, 9, "", 0),
        (0.12, 2, "", 0),  # two late attempts are tolerated
        (0.12, 3, "", 1),
        (0.12, 9, "delay", 0),
        (0.12, 9, "reset", 7),  # a reset causes no delay
        (0.12, 9, "stop", 0),  # a stopped server receives requests late
    ],
)
def test_no_attempt_starts_after_the_client_has_disconnected(
    after: float, cases: int, fault: str, breaks: int
) -> None:
    records = router_ready()
    for number in range(cases):
        name, at_s = f"r{number}", 2.0 + number
        records += [
            event(at_s, EventKind.REQUEST_SENT, name, **REQUEST_FIELDS),
            event(at_s + 0.1, EventKind.CLIENT_LEFT, name, router="router-0"),
            event(at_s + 0.1 + after, EventKind.ATTEMPT_BEGUN, name, **{**ATTEMPT_FIELDS, "cls": "read"}),
        ]
    if fault:
        begin, end = fault_events(0, fault, "router-0>cache-0", 1.5, 30.0)
        if fault == "stop":
            begin.fields.update(processes=["cache-0"], edges=[])
        records += [begin, end]
    assert [violation.check for violation in run_checks(build_history(records), Plan(name="p"))] == [
        "departed"
    ] * breaks


@pytest.mark.parametrize(("at_s", "holds"), [(7.5, True), (9.2, False)])
def test_drain_sent_on_a_hanging_connection_applies_six_seconds_later(at_s: float, holds: bool) -> None:
    records = [
        *router_ready(),
        *fault_events(0, "hang", "router-0>list", 1.9, 1.9),
        event(2.0, EventKind.LIST_CHANGED, version=2, server="cache-0", state="Terminating"),
        event(2.1, EventKind.LIST_SENT, **LIST_FIELDS, version=2),
        event(at_s, EventKind.ATTEMPT_BEGUN, "r", **{**ATTEMPT_FIELDS, "cls": "read"}),
    ]
    assert [violation.check for violation in run_checks(build_history(records), Plan(name="p"))] == (
        [] if holds else ["drained"]
    )
