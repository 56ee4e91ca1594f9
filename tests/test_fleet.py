"""The proving ground: processes of the program, faults between them, and checks that find what is bad.

Every wait of the plans is on an event; their bounds in time are far past what the busiest machine needs."""

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
from applehub.lab.fleet.checks import judge
from applehub.lab.fleet.draw import draw, shrink
from applehub.lab.fleet.history import ordered
from applehub.lab.fleet.plan import Plan, make_plan
from applehub.lab.fleet.processes import environment
from applehub.lab.spec import SpecError
from applehub.node.discovery import read_endpoint

FINDS = {  # by variant, what plan shows it and which check finds it
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

RETURNED = ("unready", "mute", "poisoned")  # versions that a release halts and returns, one of each what


def play(*words: str) -> tuple[int, dict[str, int], str]:
    """Plays on the ground in a process of its own; gives its code, the broken rules by check, and what it
    said and what broke each."""
    command = [sys.executable, "-m", "applehub.lab", "fleet", *words, "--json"]
    done = subprocess.run(command, env=environment(), capture_output=True, text=True, timeout=300)
    told = orjson.loads(done.stdout) if done.stdout else {"checks": {}}
    counts = {name: count for name, count in told["checks"].items() if count}
    return done.returncode, counts, "\n".join([done.stderr, *told.get("broken", [])])


def crossing_for_any_machine() -> str:
    """The plan `crossing` with bounds far past what the busiest machine needs: by hand it has the rules'."""
    text = (Path(fleet_package.__file__).parent / "plans" / "crossing.toml").read_text()
    loose = "stale_ms = 15000\ndrain_slack_ms = 8000\ndeparted_ms = 3000\ntold_ms = 15000"
    assert "stale_ms = 15000" in text
    return text.replace("stale_ms = 15000", loose).replace("wait_ms = 3000", "wait_ms = 20000")


def test_a_good_router_holds_and_each_bad_variant_is_found(tmp_path: Path) -> None:
    good: list[tuple[str, ...]] = [("peers",), ("--quick",), ("variants",), ("power",), ("primary",)]
    bad = {name: (plan, "--variant", name) for name, (plan, _) in FINDS.items()}
    loose = tmp_path / "crossing.toml"
    loose.write_text(crossing_for_any_machine())
    good += [(str(loose),), ("release",), *(("worse", "--bad", name) for name in RETURNED)]
    # The longest first: one of them waits in vain.
    plays = sorted([*good, *bad.values()], key=lambda words: "peers" not in words)
    with ThreadPoolExecutor(6) as pool:
        found = dict(zip(plays, pool.map(lambda words: play(*words), plays), strict=True))
    for words in good:
        assert found[words][:2] == (0, {}), (words, found[words])
    for name, (_, check) in FINDS.items():
        code, broken, said = found[bad[name]]
        assert code == 1 and check in broken, (name, broken, said)


def test_nothing_is_left_where_the_ground_is_killed(tmp_path: Path) -> None:
    words = [sys.executable, "-m", "applehub.lab", "fleet", "--seed", "1", "--routers", "2", "--caches", "1"]
    env = environment(TMPDIR=str(tmp_path))
    ground = subprocess.Popen(words, env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        me = psutil.Process(ground.pid)
        while not list(tmp_path.glob("ground-*/clients/events-1.jsonl")):  # the clients are started last
            assert ground.poll() is None
            psutil.wait_procs([], timeout=0.05)
        children = me.children(recursive=True)
        assert len(children) >= 7
        ports = {one.laddr for child in children for one in child.net_connections() if one.status == "LISTEN"}
    finally:
        ground.kill()
        ground.wait()
    _, alive = psutil.wait_procs(children, timeout=60)
    assert not alive and not list(tmp_path.iterdir())
    for host, port in ports:
        with socket.socket() as one:
            assert one.connect_ex((host, port)) != 0


def event(at: float, what: EventKind, request: str = "", /, **more: object) -> EventRecord:
    return EventRecord(int(at * 1e9), 0, "test", 0, what, request, more)


ASKED = {"router": "router-0", "cls": "read", "key": "k", "wait_ms": 1000}
SENT = {"router": "router-0", "server": "cache-0", "cls": "once"}


@pytest.mark.parametrize(
    ("fault", "excused"),
    [("kill", True), ("stop", True), ("upgrade", False), ("term", False), ("hup", False)],
)
def test_a_lost_request_is_excused_by_the_faults_that_the_rules_name(fault: str, excused: bool) -> None:
    struck = {"fault": 0, "kind": fault, "processes": ["router-0"], "edges": [], "keep_disk": True}
    records = [
        event(1.0, EventKind.FAULT_BEGUN, **struck),
        event(1.1, EventKind.REQUEST_SENT, "r", **ASKED),
        event(1.2, EventKind.CLOSED_UNANSWERED, "r", router="router-0"),
        event(1.3, EventKind.FAULT_ENDED, fault=0),
    ]
    broken = judge(ordered(records), Plan(name="p"))
    assert [one.check for one in broken] == ([] if excused else ["answered"])
    other = [
        event(3.0, EventKind.REQUEST_SENT, "s", **ASKED),
        event(3.1, EventKind.CLOSED_UNANSWERED, "s", router="router-0"),
    ]
    (found,) = judge(ordered([*records[:1], records[3], *other]), Plan(name="p"))
    assert found.text(ordered(records)).count("\n") == 4  # the fault's two events, then the request's


@pytest.mark.parametrize(("since", "excused"), [(1.5, True), (0.5, False)])
def test_a_router_that_never_came_up_breaks_the_play_unless_it_was_struck_again(
    since: float, excused: bool
) -> None:
    struck = {"fault": 1, "kind": "kill", "processes": ["router-0"], "edges": [], "keep_disk": True}
    records = [
        event(1.0, EventKind.STARTED, of="router-0", number=1),
        event(since, EventKind.FAULT_BEGUN, **struck),
        event(2.0, EventKind.FAULT_NOT_BEGUN, fault=0, of="router-0", why="router-0 was never ready"),
    ]
    assert [one.check for one in judge(ordered(records), Plan(name="p"))] == ([] if excused else ["standing"])


@pytest.mark.parametrize(
    ("how", "breaks"), [("full", False), ("miss", False), ("failed", True), ("left", True)]
)
def test_what_may_have_run_must_not_be_sent_again(how: str, breaks: bool) -> None:
    records = [
        event(1.0, EventKind.ATTEMPT_BEGUN, "r", **SENT),
        event(1.1, EventKind.ATTEMPT_ENDED, "r", how=how, **SENT),
        event(1.2, EventKind.ATTEMPT_BEGUN, "r", **{**SENT, "server": "origin"}),
    ]
    told = event(
        0.5,
        EventKind.LIST_SENT,
        router="router-0",
        version=1,
        whole=True,
        states={"cache-0": "Ready", "origin": "Ready"},
    )
    broken = judge(ordered([told, *records]), Plan(name="p"))
    assert [one.check for one in broken] == (["resends"] if breaks else [])


def list_call(at: float, replica: str, since: int) -> EventRecord:
    """router-0's call, as a replica of the list service read it."""
    one = event(at, EventKind.LIST_POLLED, router="router-0", since=since)
    return dataclasses.replace(one, process=replica)


def broken_versions(*records: EventRecord) -> list[str]:
    """What the check `versions` finds in a play, its records in the order of time."""
    found = judge(ordered([event(0.1, EventKind.STARTED, of="router-0", number=1), *records]), Plan(name="p"))
    return [one.what for one in found if one.check == "versions"]


HELD_UP = {"fault": 0, "kind": "stop", "processes": ["list-0"], "edges": [], "keep_disk": True}
CUT_OFF = {**HELD_UP, "kind": "silent", "processes": [], "edges": ["router-0>list-0"]}


@pytest.mark.parametrize(
    ("fault", "read_at", "since", "breaks"),
    [
        (HELD_UP, 4.01, 7, False),
        (HELD_UP, 4.01, 6, True),  # the router held 7 before the fault
        (HELD_UP, 4.6, 7, True),  # what was held up has been read by then
        (CUT_OFF, 4.01, 7, False),
        (CUT_OFF, 4.01, 6, True),
        ({**HELD_UP, "processes": ["list-1"]}, 4.01, 7, True),
        ({**HELD_UP, "processes": ["router-0"]}, 4.01, 7, True),
        ({**HELD_UP, "kind": "kill"}, 4.01, 7, True),
        ({**CUT_OFF, "edges": ["router-1>list-0", "router-0>list-1"]}, 4.01, 7, True),
        (None, 4.01, 7, True),
    ],
)
def test_a_call_that_a_fault_held_up_is_held_against_what_was_read_before_it(
    fault: dict[str, object] | None, read_at: float, since: int, breaks: bool
) -> None:
    """A replica that was stopped reads afterwards a call whose router has long heard more from another."""
    struck = [] if fault is None else [
        event(1.0, EventKind.FAULT_BEGUN, **fault), event(4.0, EventKind.FAULT_ENDED, fault=0)
    ]  # fmt: skip
    before = [list_call(0.8, "list-0", 6), list_call(0.9, "list-0", 7)]
    meanwhile = [list_call(3.7, "list-1", 7), list_call(3.8, "list-1", 9)]
    late = list_call(read_at, "list-0", since)
    held = 9 if read_at > 4.5 or not struck or fault not in (HELD_UP, CUT_OFF) else 7
    expected = [f"router-0 held {held}, then {since}"] if breaks else []
    assert broken_versions(*before, *struck, *meanwhile, late) == expected


def test_a_call_that_was_held_up_lowers_nothing_and_belongs_to_no_later_process() -> None:
    struck = [event(1.0, EventKind.FAULT_BEGUN, **HELD_UP), event(4.0, EventKind.FAULT_ENDED, fault=0)]
    before = [list_call(0.9, "list-0", 7), *struck, list_call(3.8, "list-1", 9)]
    late = list_call(4.01, "list-0", 7)
    assert broken_versions(*before, late, list_call(4.02, "list-1", 8)) == ["router-0 held 9, then 8"]
    assert broken_versions(*before, late, list_call(4.02, "list-1", 9)) == []
    answer = event(4.02, EventKind.LIST_SENT, router="router-0", version=7, whole=True, states={})
    answer = dataclasses.replace(answer, process="list-0")  # an old list, which the router takes up
    followed = [*before, late, answer, list_call(4.03, "list-0", 7)]
    assert broken_versions(*followed) == ["router-0 held 9, then 7"]
    again = [
        event(3.0, EventKind.EXITED, of="router-0", number=1, code=-9, planned=True),
        event(3.1, EventKind.STARTED, of="router-0", number=2),
        list_call(3.2, "list-1", 5),
    ]
    begun_before = [list_call(0.9, "list-0", 7), *struck, *again]
    assert broken_versions(*begun_before, late, list_call(4.02, "list-1", 5)) == []
    assert broken_versions(*begun_before, late, list_call(4.02, "list-1", 4)) == ["router-0 held 5, then 4"]


class Ear(asyncio.DatagramProtocol):
    """Keeps the datagrams that came."""

    def __init__(self) -> None:
        self.heard: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.heard.append(data)


async def test_datagrams_are_lost_doubled_cut_and_swapped_as_a_rule_tells() -> None:
    loop, ear = asyncio.get_running_loop(), Ear()
    told = {"name": "a>b", "target": "b", "listen": "127.0.0.1", "source": "127.0.0.1"}
    answer, handle = await relay.begin({"seed": 1, "edges": [], "datagrams": [told]})
    target, _ = await loop.create_datagram_endpoint(lambda: ear, local_addr=("127.0.0.1", 0))
    address = "{}:{}".format(*target.get_extra_info("sockname"))
    source, _ = await loop.create_datagram_endpoint(Ear, remote_addr=read_endpoint(answer["ports"]["a>b"]))

    async def heard(kind: str, *sent: bytes, want: int) -> list[bytes]:
        """What comes of some datagrams under a rule, and of a last one without it that tells the end."""
        await handle({"do": "rule", "id": 1, "edges": ["a>*"], "rule": {"kind": kind}})
        for one in sent:
            source.sendto(one)
        async with asyncio.timeout(60):
            while len(ear.heard) < want:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05 if kind == "lose" else 0)  # what is lost would come before the last
            await handle({"do": "heal", "id": 1})
            source.sendto(b"last")
            while b"last" not in ear.heard:
                await asyncio.sleep(0.01)
        found = [one for one in ear.heard if one != b"last"]
        ear.heard.clear()
        return found

    await handle({"do": "up", "target": "b", "address": address})
    assert await heard("lose", b"1", b"2", want=0) == []
    assert await heard("double", b"1", want=2) == [b"1", b"1"]
    assert await heard("swap", b"1", b"2", want=2) == [b"2", b"1"]
    (short,) = await heard("short", b"12345678", want=1)
    assert len(short) < 8 and b"12345678".startswith(short)
    for one in (source, target):
        one.close()


def test_events_survive_a_torn_end_and_nothing_else(tmp_path: Path) -> None:
    writer = EventWriter(tmp_path / "events.jsonl", "me", 2)
    writer.write(EventKind.READY, address="here")
    writer.close()
    with open(tmp_path / "events.jsonl", "ab") as file:
        file.write(b'{"mono":1,"wa')
    (one,) = read_events(tmp_path / "events.jsonl")
    assert (one.process, one.incarnation, one.event, one.fields["address"]) == ("me", 2, "ready", "here")
    with pytest.raises(EventFormatError):
        parse_event(b'{"mono":1,"wall":1,"process":"a","incarnation":1,"event":"sneezed"}')


def test_a_plan_of_no_use_tells_every_fault_of_it() -> None:
    raw = {"name": "p", "fleet": {"routers": 0}, "faults": [{"kind": "kill", "target": []}, {"kind": "melt"}]}
    with pytest.raises(SpecError) as told:
        make_plan("p.toml", raw)
    lines = str(told.value).splitlines()
    assert len(lines) == 3 and all(line.startswith("p.toml: ") for line in lines)
    assert CliRunner().invoke(main, ["fleet", "nowhere.toml"]).exit_code == 2


async def test_shrinking_keeps_the_faults_that_matter() -> None:
    plan = draw(3, 5, 5, 12, 30.0, 100.0)
    assert plan == draw(3, 5, 5, 12, 30.0, 100.0) and len(plan.faults) == 12
    wanted = [plan.faults[2], plan.faults[9]]

    async def breaks(one: Plan) -> bool:
        return all(fault in one.faults for fault in wanted)

    small = await shrink(plan, breaks, lambda _: None)
    assert small.faults == wanted


def heed_interrupts() -> None:
    """Makes SIGINT end this process, whatever it inherited."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def test_the_ground_ends_by_itself_when_told_to() -> None:
    """SIGINT, as a person would: code 130, and no process left."""
    words = [sys.executable, "-m", "applehub.lab", "fleet", "--quick"]
    # A shell starts what runs in its background with SIGINT ignored, and a test run hands that on.
    ground = subprocess.Popen(
        words,
        env=environment(),
        preexec_fn=heed_interrupts,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    me = psutil.Process(ground.pid)
    while len(children := me.children(recursive=True)) < 7:
        assert ground.poll() is None
        psutil.wait_procs([], timeout=0.05)
    os.kill(ground.pid, signal.SIGINT)
    assert ground.wait(60) == 130
    _, alive = psutil.wait_procs(children, timeout=60)
    assert not alive


LIST = {"router": "router-0", "states": {"cache-0": "Terminating"}, "whole": False}


def up(at: float = 0.5) -> list[EventRecord]:
    return [
        event(at, EventKind.STARTED, of="router-0", number=1),
        event(at + 0.1, EventKind.READY, of="router-0", number=1),
        event(at + 0.2, EventKind.LIST_SENT, **{**LIST, "states": {"cache-0": "Ready"}}, version=1),
    ]


def strike(number: int, kind: str, edge: str, begin: float, end: float) -> list[EventRecord]:
    struck = {"fault": number, "kind": kind, "processes": [], "edges": [edge], "keep_disk": True}
    return [event(begin, EventKind.FAULT_BEGUN, **struck), event(end, EventKind.FAULT_ENDED, fault=number)]


@pytest.mark.parametrize(
    ("kind", "until", "heard", "holds"),
    [
        ("none", 0.0, 7.9, True),
        ("none", 0.0, 8.1, False),
        ("silent", 6.0, 11.9, True),  # six seconds count from when the way is free
        ("silent", 6.0, 12.1, False),
        ("silent", 6.0, 4.0, False),  # written while nothing came through
        ("hang", 2.0, 7.9, True),  # open connections hang, new ones would have told it
        ("hang", 2.0, 8.1, False),
    ],
)
def test_a_change_counts_as_told_six_seconds_after_the_way_is_free(
    kind: str, until: float, heard: float, holds: bool
) -> None:
    records = [*up(), event(2.0, EventKind.LIST_CHANGED, version=2, server="cache-0", state="Terminating")]
    if kind != "none":
        records += strike(0, kind, "router-0>list", 1.5, until)
    records += [
        event(heard, EventKind.LIST_SENT, **LIST, version=2),
        event(40.0, EventKind.PEERS_AGREED, routers=1),
    ]
    plan = Plan(name="p", rules={"stale_ms": 30_000})  # type: ignore[arg-type]
    assert [one.check for one in judge(ordered(records), plan)] == ([] if holds else ["told"])


@pytest.mark.parametrize(
    ("after", "cases", "struck", "breaks"),
    [
        (0.09, 9, "", 0),
        (0.12, 2, "", 0),  # two are put down to the network
        (0.12, 3, "", 1),
        (0.12, 9, "delay", 0),
        (0.12, 9, "reset", 7),  # a reset holds nothing up
        (0.12, 9, "stop", 0),  # its server read it late
    ],
)
def test_nothing_begins_for_who_has_left(after: float, cases: int, struck: str, breaks: int) -> None:
    records = up()
    for number in range(cases):
        name, at = f"r{number}", 2.0 + number
        records += [
            event(at, EventKind.REQUEST_SENT, name, **ASKED),
            event(at + 0.1, EventKind.CLIENT_LEFT, name, router="router-0"),
            event(at + 0.1 + after, EventKind.ATTEMPT_BEGUN, name, **{**SENT, "cls": "read"}),
        ]
    if struck:
        begin, end = strike(0, struck, "router-0>cache-0", 1.5, 30.0)
        if struck == "stop":
            begin.fields.update(processes=["cache-0"], edges=[])
        records += [begin, end]
    assert [one.check for one in judge(ordered(records), Plan(name="p"))] == ["departed"] * breaks


@pytest.mark.parametrize(("at", "holds"), [(7.5, True), (9.2, False)])
def test_a_drain_told_on_a_connection_that_hangs_counts_six_seconds_later(at: float, holds: bool) -> None:
    records = [
        *up(),
        *strike(0, "hang", "router-0>list", 1.9, 1.9),
        event(2.0, EventKind.LIST_CHANGED, version=2, server="cache-0", state="Terminating"),
        event(2.1, EventKind.LIST_SENT, **LIST, version=2),
        event(at, EventKind.ATTEMPT_BEGUN, "r", **{**SENT, "cls": "read"}),
    ]
    assert [one.check for one in judge(ordered(records), Plan(name="p"))] == ([] if holds else ["drained"])
