"""Tests of the simulator adapter as a process: replies, invalid input, and several routers per process."""

import json
import random
import subprocess
import sys
from typing import Any

import pytest

SECOND = 1_000_000_000
INFO: dict[str, Any] = {
    "classes": [
        {"aim": SECOND, "deadline": 2 * SECOND},
        {"aim": SECOND, "deadline": 2 * SECOND, "effect": "unsafe"},
    ],
    "ceilings": {"attemptsCap": 4, "unheard": 1},
    "safety": {"coldFrom": 0.2, "rampTime": 10 * SECOND},
    "specifics": {"mode": "aside", "originKind": 1},
    "unheard": {"of": 1},
}
Json = dict[str, Any]


def run_adapter(lines: list[str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "applehub.wirehost"],
        input="".join(f"{line}\n" for line in lines),
        text=True,
        capture_output=True,
    )


def batch(clock: int, *messages: Json) -> str:
    return json.dumps({"clock": clock, "msgs": messages})


def start_instance(instance: int, info: Any = INFO) -> Json:
    return {"t": "UP", "i": instance, "nonce64": 5, "info": info}


def server_list(instance: int, count: int = 3) -> Json:
    elements: list[Json] = [{"stageState": "SERVING", "server": f"s{n}", "since": None} for n in range(count)]
    elements.append(
        {"stageState": "SERVING", "server": "o", "machine": 1, "hall": 0, "stripe": 0, "units": 1}
    )
    return {"t": "DISCOVERY", "i": instance, "kind": "restored", "stamp": 1, "elements": elements}


def request(instance: int, name: str, key: str = "k", clock: int = SECOND) -> Json:
    fields = {"msgId": name, "cls": 0, "validUntil": clock + 2 * SECOND, "targetKey": key, "mutates": None}
    return {"t": "WORK_ITEM", "i": instance, "owner": None, **fields}


def outcome(instance: int, send: Json, attempt: int, disposition: str) -> Json:
    fields = {"msgId": send["msgId"], "sendNo": attempt, "server": send["server"], "disposition": disposition}
    feedback = {"outstanding": 2, "recent_ms": 12.5, "throughput": 9, "x0": 0.4, "utilization": None}
    return {
        "t": "DONE",
        "i": instance,
        "costTime": 5,
        "ended": disposition == "completed",
        "feedback": feedback,
        **fields,
    }


def parse_replies(result: subprocess.CompletedProcess[str]) -> list[list[Json]]:
    return [json.loads(line)["output"] for line in result.stdout.splitlines()]


def test_empty_batch_and_end_of_input() -> None:
    result = run_adapter([batch(1)])
    assert (result.returncode, result.stdout, result.stderr) == (0, '{"output":[]}\n', "")
    assert run_adapter([]).returncode == 0


def test_request_is_dispatched() -> None:
    result = run_adapter([batch(SECOND, start_instance(0), server_list(0), request(0, "a"))])
    sends = [action for action in parse_replies(result)[0] if action["t"] == "DISPATCH"]
    assert len(sends) == 1 and sends[0]["msgId"] == "a" and sends[0]["server"] in {"s0", "s1", "s2"}
    assert result.stderr == ""


def test_all_event_types_are_accepted() -> None:
    first = parse_replies(run_adapter([batch(SECOND, start_instance(0), server_list(0), request(0, "a"))]))[0]
    (send,) = [action for action in first if action["t"] == "DISPATCH"]
    result = run_adapter(
        [
            batch(SECOND, start_instance(0), server_list(0), request(0, "a")),
            batch(SECOND + 5, outcome(0, send, 0, "lookup_miss"), {"t": "FIRED", "i": 0, "nonce": "due"}),
            batch(
                SECOND + 6,
                {
                    "t": "ECHO",
                    "i": 0,
                    "server": "s0",
                    "disposition": "completed",
                    "costTime": 1,
                    "feedback": None,
                },
                {"t": "MEMO", "i": 0, "sender": 1, "payload": "00"},
                {"t": "OPENED", "i": 0, "msgId": "a", "sendNo": 1, "server": "o", "costTime": 1},
                {"t": "WITHDRAWN", "i": 0, "msgId": "a"},
                {"t": "DESTROY", "i": 0},
            ),
        ]
    )
    assert result.returncode == 0 and result.stderr == ""
    assert [action["server"] for action in parse_replies(result)[1] if action["t"] == "DISPATCH"] == ["o"]


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("{not json", "line 1: invalid JSON"),
        ("[]", "line 1: expected an object"),
        ('{"msgs":[]}', "line 1: expected an object with the fields clock and msgs: 'clock'"),
        ('{"clock":"1","msgs":[]}', "line 1: expected an integer clock"),
        ('{"clock":1,"msgs":[{"i":0}]}', "line 1: msgs[0]: missing or invalid field: 't'"),
        ('{"clock":1,"msgs":[7]}', "line 1: msgs[0]"),
    ],
)
def test_invalid_line_ends_process_with_one_error_line(line: str, error: str) -> None:
    result = run_adapter([line])
    assert result.returncode == 2 and result.stdout == ""
    assert result.stderr.startswith(error) and result.stderr.count("\n") == 1


def test_missing_field_is_named_in_error() -> None:
    incomplete = request(0, "a")
    del incomplete["validUntil"]
    result = run_adapter([batch(SECOND, start_instance(0), server_list(0)), batch(SECOND, incomplete)])
    assert result.returncode == 2
    assert result.stderr == "line 2: msgs[0]: missing or invalid field: 'validUntil'\n"


def test_unknown_events_and_events_for_stopped_instances_are_skipped() -> None:
    result = run_adapter(
        [batch(SECOND, start_instance(0), server_list(0), {"t": "NEWS", "i": 0}, request(4, "a"))]
    )
    assert result.returncode == 0
    assert "unknown type 'NEWS'" in result.stderr and "instance 4, which is not running" in result.stderr
    assert not [action for action in parse_replies(result)[0] if action["i"] == 4]


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"classes": None}, "classes is missing"),
        ({"classes": []}, "classes is invalid"),
        ({"classes": [{"aim": 0, "deadline": 5}]}, "classes[0].aim is invalid"),
        ({"classes": [{"aim": 1, "deadline": 5, "effect": "odd"}]}, "classes[0].effect is invalid"),
        ({"ceilings": None}, "ceilings is missing"),
        ({"safety": {"rampTime": "soon"}}, "safety.rampTime is invalid"),
        ({"specifics": {"mode": "sideways"}}, "specifics.mode is invalid"),
        ({"registryMode": 3}, "registryMode is invalid"),
        ({"tenants": [3]}, "tenants is invalid"),
    ],
)
def test_invalid_setting_is_named_and_stops_only_its_instance(change: Json, error: str) -> None:
    result = run_adapter(
        [
            batch(
                SECOND,
                start_instance(0, {**INFO, **change}),
                start_instance(1),
                server_list(1),
                request(1, "a"),
            )
        ]
    )
    output = parse_replies(result)[0]
    assert result.returncode == 0 and output[0]["t"] == "DIE" and output[0]["i"] == 0
    assert error in output[0]["msg"]
    assert [action["i"] for action in output if action["t"] == "DISPATCH"] == [1]


def test_exception_in_decision_module_is_reported_with_its_text() -> None:
    invalid = request(0, "a")
    invalid["cls"] = 7
    result = run_adapter([batch(SECOND, start_instance(0), server_list(0), invalid)])
    (failure,) = [action for action in parse_replies(result)[0] if action["t"] == "DIE"]
    assert failure["msg"].startswith("IndexError") and "Traceback" in result.stderr
    assert result.returncode == 0


def test_shared_process_returns_same_actions_as_separate_processes() -> None:
    rng = random.Random(3)
    script: list[list[Json]] = [[start_instance(i) for i in range(3)] + [server_list(i) for i in range(3)]]
    for n in range(60):
        script.append([request(rng.randrange(3), f"r{n}", f"k{rng.randrange(9)}", (n + 2) * SECOND // 50)])
    combined: dict[int, list[Json]] = {i: [] for i in range(3)}
    separate: dict[int, list[Json]] = {i: [] for i in range(3)}
    shared = run_adapter([batch(SECOND + n * SECOND // 50, *messages) for n, messages in enumerate(script)])
    for output in parse_replies(shared):
        for action in output:
            combined[action["i"]].append(action)
    for i in range(3):
        own_messages = [[message for message in messages if message["i"] == i] for messages in script]
        for output in parse_replies(
            run_adapter(
                [
                    batch(SECOND + n * SECOND // 50, *batch_messages)
                    for n, batch_messages in enumerate(own_messages)
                ]
            )
        ):
            separate[i] += output
    assert combined == separate and all(combined.values())
