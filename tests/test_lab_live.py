"""The lab on real sockets: a router under `run`'s own command line, before stand-ins."""

import orjson
import pytest
from click.testing import CliRunner

from applehub.lab.__main__ import main
from applehub.lab.live.client import Load, planned


def test_a_load_reaches_the_router_and_each_request_is_counted_once() -> None:
    words = ["load", "--rate", "150", "--seconds", "1", "--keys", "50", "--wait-ms", "20000", "--json"]
    result = CliRunner().invoke(main, words)
    assert result.exit_code == 0, result.output
    told = orjson.loads(result.output)
    through, caches, origin = told["through"], told["caches"], told["origin"]
    assert through["asked"] == len(list(planned(Load(150, 1, 50, 0.04, 512, 20_000, 1, 1))))
    assert through["served"] == through["asked"] and not through["unanswered"]
    # Each read that was served is a hit or an origin read; the reads of one key may share one of those.
    assert caches["hits"] + origin["reads"] + origin["writes"] >= through["asked"]
    assert 0 < origin["reads"] <= caches["misses"] and origin["writes"] > 0
    router = told["router"]
    assert 0 < through["p50_ms"] <= through["p99_ms"] <= through["p999_ms"]
    assert router["us_a_request"] > 0 and router["memory_mb"] > 1 and router["descriptors"] > 3


def test_the_demo_shows_a_newcomer_what_the_router_does() -> None:
    result = CliRunner().invoke(main, ["demo", "--seconds", "0.5"])
    assert result.exit_code == 0, result.output
    for line in (
        "  PING: b'+PONG",
        "  a write goes to the origin: b'$6",
        "  a class that nobody told of: b'-ERR unknown class",
        "  behind it: 1 miss, 1 hit, 1 origin read, 1 write",
        "its own figures (DUMP): pool_size 3",
        "ended with code 0",
    ):
        assert line in result.output


@pytest.mark.parametrize(
    "words",
    [["load", "--rate", "0"], ["load", "--rate", "20000", "--seconds", "3600"], ["demo", "--for", "3"]],
)
def test_a_load_out_of_bounds_is_turned_down(words: list[str]) -> None:
    assert CliRunner().invoke(main, words).exit_code == 2
