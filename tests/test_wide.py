"""Tests of the `wide` command: limits of resource usage, fake servers and small load tests."""

import asyncio
from dataclasses import replace
from typing import Any

import hiredis
import orjson
import pytest
from click.testing import CliRunner

from applehub.lab.__main__ import main
from applehub.lab.live.client import LoadResult
from applehub.lab.live.fake_servers import Counts, Fleet, Plan, server_id
from applehub.lab.live.wide import METRIC_LIMITS, SIZE_RATIO, RunResult, check_limits, show
from applehub.node.resp import command

ANSWER_TIMEOUT = 20.0  # s
USUAL_METRICS = {
    "cpu_s": 1.0,
    "cpu_ready_s": 0.5,
    "memory_mb": 24.0,
    "descriptors": 100,
    "connections": 200,
    "list_kb": 60.0,
    "served": 0.8,
}
# Limits of these metrics at the wide size, with 3,200 cache servers, derived from USUAL_METRICS.
EXPECTED_LIMITS = {
    "cpu_s": 1.4 + 0.02 + 3 * 0.12,
    "cpu_ready_s": 0.7 + 0.02 + 3 * 0.12,
    "memory_mb": 36 + 8 + 3 * 4,
    "descriptors": 240,
    "connections": 540,
    "list_kb": 120 + 64 + 3 * 500,
    "served": 0.68,
}


def _run_result(metrics: dict[str, float]) -> RunResult:
    return RunResult(LoadResult(), Counts(), metrics)


def test_limits_match_the_documented_table() -> None:
    rows = {
        row["line"]: row for row in check_limits(_run_result(USUAL_METRICS), _run_result(USUAL_METRICS), 3200)
    }
    assert set(rows) == set(METRIC_LIMITS) == set(EXPECTED_LIMITS)
    for name, row in rows.items():
        assert row["limit"] == pytest.approx(EXPECTED_LIMITS[name])
        assert row["holds"] and row["usual"] == row["wide"] == USUAL_METRICS[name]


@pytest.mark.parametrize("name", list(EXPECTED_LIMITS))
def test_limit_holds_up_to_its_exact_value(name: str) -> None:
    sign = -1 if name == "served" else 1
    for offset, holds in ((-1e-6, True), (1e-6, False)):
        wide = _run_result({**USUAL_METRICS, name: EXPECTED_LIMITS[name] + sign * offset})
        rows = {row["line"]: row["holds"] for row in check_limits(_run_result(USUAL_METRICS), wide, 3200)}
        assert rows.pop(name) is holds and all(rows.values())


def test_limit_grows_only_with_complete_thousands_of_servers() -> None:
    limits = {size: METRIC_LIMITS["cpu_s"].limit(0.0, size) for size in (999, 1000, 1999, 3200)}
    assert limits == pytest.approx({999: 0.02, 1000: 0.14, 1999: 0.14, 3200: 0.38})


async def _send_commands(address: str, *requests: tuple[bytes, ...]) -> list[Any]:
    """Returns a cache server's answers to requests written in one batch."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    parser = hiredis.Reader()
    answers: list[Any] = []
    writer.writelines([command(*request) for request in requests])
    async with asyncio.timeout(ANSWER_TIMEOUT):
        while len(answers) < len(requests) and (data := await reader.read(1 << 16)):
            parser.feed(data)
            while (answer := parser.gets()) is not False:
                answers.append(answer)
    writer.close()
    return answers


async def _poll_list(fleet: Fleet, known_version: int) -> dict[str, Any]:
    """Returns discovery's answer to a long poll for changes since a version."""
    host, port = fleet.discovery.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /api/targets?from=%d&hold_ms=20000 HTTP/1.1\r\nHost: d\r\n\r\n" % known_version)
    async with asyncio.timeout(ANSWER_TIMEOUT):
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length"))
        body = await reader.readexactly(int(length.split(b":")[1]))
    writer.close()
    update: dict[str, Any] = orjson.loads(body)
    return update


async def test_replaced_servers_are_published_as_changes_and_new_ones_are_empty() -> None:
    fleet = Fleet(Plan(5, 8))
    await fleet.start()
    watching = asyncio.create_task(_poll_list(fleet, fleet.rev))
    known = {entry["uid"]: entry for entry in fleet.targets()}
    old, new = ([server_id(kind, number) for number in range(5)] for kind in ("cache", "new"))
    fleet.stores[old[4]].put(b"k")
    await fleet.replace(0.6, 0.02)
    first = await watching
    assert not first["all"] and first["targets"][0]["uid"] == new[0]
    rev = 1
    while set(known) != {*old[3:], *new[:3], "origin"}:
        update = await _poll_list(fleet, rev)
        rev = update["rev"]
        for entry in update["targets"]:
            known[entry["uid"]] = entry
            if entry["state"] == "Gone":
                del known[entry["uid"]]
    assert all((entry["boot_ms"] > 0) == (name in new) for name, entry in known.items())
    assert rev == fleet.rev == 10 and fleet.counts.list_bytes > 0
    for name, expected_outcome in ((old[4], b"hit"), (new[0], b"miss")):
        ((_, outcome, _),) = await _send_commands(known[name]["endpoint"], (b"C.GET", b"k", b"i", b"c=read"))
        assert outcome == expected_outcome


async def test_fake_server_limits_concurrency_and_answers_busy_when_its_queue_is_full() -> None:
    fleet = Fleet(replace(Plan(1, 8), concurrency=2, work_s=0.05))
    await fleet.start()
    requests = [(b"C.GET", b"k", b"i%d" % number, b"c=read") for number in range(10)]
    answers = await _send_commands(fleet.targets()[0]["endpoint"], *requests)
    busy = [answer for answer in answers if isinstance(answer, hiredis.ReplyError)]
    assert len(answers) == 10 and len(busy) == fleet.counts.busy == 2  # two in service, six in the queue
    assert str(busy[0]).startswith("BUSY backlog=6")
    assert [answer[2].split(b",")[0] for answer in answers if answer not in busy][-1] == b"backlog=0"


@pytest.mark.parametrize("case", ["calm", "replaced"])
def test_same_traffic_is_run_at_both_sizes(case: str) -> None:
    arguments = ["wide", "--caches", "2", "--rate", "80", "--seconds", "1.5", "--keys", "40"]
    arguments += ["--wait-ms", "20000", "--case", case, "--json"]
    result = CliRunner().invoke(main, arguments)
    result_json = orjson.loads(result.stdout)[case]
    assert result.exit_code == (0 if all(line["holds"] for line in result_json["lines"]) else 1)
    usual, wide = result_json["usual"], result_json["wide"]
    for size_result in (usual, wide):
        requests = dict(size_result["requests"])
        asked = requests.pop("asked")
        assert sum(requests.values()) == asked == usual["requests"]["asked"] > 0
        assert (
            size_result["served"] == pytest.approx(requests["served"] / asked, abs=1e-4)
            and size_result["served"] > 0.5
        )
        assert size_result["hits"] > 0 and size_result["reads"] > 0 and size_result["connections"] > 0
        assert (
            size_result["memory_mb"] > 1
            and size_result["descriptors"] > 3
            and size_result["cpu_s"] > size_result["cpu_ready_s"] > 0
        )
    if case == "replaced":  # the size of an entry is about 0.15 kB
        assert usual["list_kb"] > 0.1 and wide["list_kb"] > 0.1 * SIZE_RATIO
    else:
        assert max(usual["list_kb"], wide["list_kb"]) < 0.1 * SIZE_RATIO


def test_results_are_printed_as_a_table(capsys: pytest.CaptureFixture[str]) -> None:
    usual, wide = _run_result(USUAL_METRICS), _run_result({**USUAL_METRICS, "connections": 541})
    result_json = {"lines": check_limits(usual, wide, 3200), "usual": usual.as_json(), "wide": wide.as_json()}
    show("calm", result_json, (200, 3200))
    shown = capsys.readouterr().out
    for line in METRIC_LIMITS.values():
        assert line.label in shown
    assert (shown.count("yes"), shown.count("NO")) == (len(METRIC_LIMITS) - 1, 1)
    assert "at most 540" in shown and "3200 cache servers" in shown


def test_load_runs_with_ninety_cache_servers() -> None:
    arguments = ["load", "--caches", "90", "--rate", "60", "--seconds", "0.5", "--wait-ms", "20000", "--json"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    through = orjson.loads(result.stdout)["through"]
    assert through["served"] == through["asked"] > 0
