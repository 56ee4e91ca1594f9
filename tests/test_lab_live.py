"""Tests of the commands that run a router process with fake servers on loopback."""

import orjson
import pytest
from click.testing import CliRunner

from applehub.lab.__main__ import main
from applehub.lab.live.client import LoadSpec, schedule


def test_load_counts_each_request_once() -> None:
    arguments = ["load", "--rate", "150", "--seconds", "1", "--keys", "50", "--wait-ms", "20000", "--json"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    result_json = orjson.loads(result.output)
    through, caches, origin = result_json["through"], result_json["caches"], result_json["origin"]
    assert through["asked"] == len(list(schedule(LoadSpec(150, 1, 50, 0.04, 512, 20_000, 1, 1))))
    assert through["served"] == through["asked"] and not through["unanswered"]
    # Each served read is a hit or an origin read; concurrent reads of one key may share an origin read.
    assert caches["hits"] + origin["reads"] + origin["writes"] >= through["asked"]
    assert 0 < origin["reads"] <= caches["misses"] and origin["writes"] > 0
    router = result_json["router"]
    assert 0 < through["p50_ms"] <= through["p99_ms"] <= through["p999_ms"]
    assert router["us_a_request"] > 0 and router["memory_mb"] > 1 and router["descriptors"] > 3


def test_demo_prints_the_answers_and_counters() -> None:
    result = CliRunner().invoke(main, ["demo", "--seconds", "0.5"])
    assert result.exit_code == 0, result.output
    for line in (
        "  PING: b'+PONG",
        "  a write goes to the origin: b'$6",
        "  an unknown request class: b'-ERR unknown class",
        "  fake servers: 1 miss, 1 hit, 1 origin read, 1 write",
        "router metrics (DUMP): pool_size 3",
        "ended with code 0",
    ):
        assert line in result.output


@pytest.mark.parametrize(
    "arguments",
    [["load", "--rate", "0"], ["load", "--rate", "20000", "--seconds", "3600"], ["demo", "--for", "3"]],
)
def test_invalid_arguments_are_rejected(arguments: list[str]) -> None:
    assert CliRunner().invoke(main, arguments).exit_code == 2
