"""The lab: the same bytes for the same seed, the rules as checks, the stand-ins' arithmetic, the commands."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from applehub import interface as api
from applehub.lab import berger, policies, world
from applehub.lab.__main__ import main
from applehub.lab.clock import MILLI, Clock
from applehub.lab.compare import mean_of
from applehub.lab.play import stage
from applehub.lab.policies import Plain
from applehub.lab.runner import make_plan, read_results
from applehub.lab.servers import Station
from applehub.lab.spec import SpecError, read_raw
from applehub.lab.workload import draw_workload

TINY = Path(__file__).with_name("tiny.toml")
RAW = tomllib.loads(TINY.read_text(encoding="utf-8"))


def command(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(words))
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def day_of(**changes: Any) -> Any:
    return make_plan("test", {**RAW, **changes}).points[0][1]


def test_the_same_file_and_seed_give_the_same_bytes(tmp_path: Path) -> None:
    """Whatever the hash seed and the number of processes; a run that was cut off goes on to the same end."""
    contents = []
    for hash_seed, jobs in (("1", "1"), ("2", "3")):
        out = tmp_path / f"{hash_seed}.jsonl"
        words = [sys.executable, "-m", "applehub.lab", "run", str(TINY), "--jobs", jobs, "--out", str(out)]
        subprocess.run(
            words, check=True, capture_output=True, env={**os.environ, "PYTHONHASHSEED": hash_seed}
        )
        contents.append(out.read_bytes())
    assert contents[0] == contents[1]
    cut = tmp_path / "cut.jsonl"
    cut.write_bytes(contents[0][: len(contents[0]) * 2 // 3])
    assert command("run", str(TINY), "--jobs", "1", "--out", str(cut))[0] == 0
    assert cut.read_bytes() == contents[0]
    records = read_results(cut)[1]
    means = {
        name: mean_of(one["result"]["G"] for one in records if one["policy"] == name).value
        for name in ("random", "router", "oracle")
    }
    assert means["random"] < means["router"] < means["oracle"]
    assert not any(one["result"]["rules"]["counts"] for one in records if one["policy"] == "router")
    assert command("run", str(TINY), "--seeds", "1", "--out", str(cut))[0] == 2  # another experiment's
    for shown in (["show"], ["show", "--losses"], ["show", "--json"]):
        assert "random" in command(*shown, str(cut))[1]
    assert "no" in command("compare", str(cut), str(cut))[1]
    picture = tmp_path / "tiny.png"
    assert command("plot", str(cut), "--out", str(picture))[0] == 0
    assert picture.read_bytes().startswith(b"\x89PNG") and picture.stat().st_size > 10_000
    assert command("plot", str(cut), "--out", str(tmp_path / "tiny.txt"))[0] == 2
    lost = records[0]["result"]["examples"]["late"]
    code, text = command("trace", str(cut), lost)
    assert code == 0 and f"try {lost}" in text and "taken by router" in text
    assert command("trace", str(cut), "zz") == (2, "zz: expected the id of a request, 16 hex digits\n")


def test_a_part_s_draws_do_not_shift_another_s() -> None:
    plain, hot = (draw_workload(day_of(faults=faults), 3) for faults in ([], [
        {"kind": "hot_key", "at_s": 1, "for_s": 2, "share": 0.5, "keys": 1},
        {"kind": "neighbour", "at_s": 1, "for_s": 2},
    ]))  # fmt: skip
    assert (plain.times, plain.works, plain.classes) == (hot.times, hot.works, hot.classes)
    struck = sum(one != other for one, other in zip(plain.keys, hot.keys, strict=True))
    assert 0.1 < struck / len(hot.keys) < 0.4  # half of them for half of the day


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"seconds": -1}, "f: seconds: Input should be greater than 0, got -1"),
        ({"workload": {"lod": 1}}, "f: workload.lod: Extra inputs are not permitted"),
        ({"policies": ["best"]}, "f: policies.0: Input should be 'router'"),
        ({"faults": [{"kind": "flood"}]}, "f: faults.0: Input tag 'flood'"),
        ({"faults": [{"kind": "zone_loss", "at_s": 1, "zone": 9}]}, "faults.0.zone: expected a zone from"),
        ({"faults": [{"kind": "burst", "at_s": 1, "for_s": 2}]}, "f: faults.0.burst.factor: Field required"),
        ({"sweep": {"topology.cores": [1]}}, "topology.cores: Extra inputs are not permitted"),
        ({"name": None, "seeds": {"count": 0}}, "f: seeds.count: Input should be greater than or equal to 1"),
    ],
)  # fmt: skip
def test_a_file_that_makes_no_sense_is_told_by_key(changes: dict[str, Any], told: str) -> None:
    with pytest.raises(SpecError) as caught:
        read_raw("f", {key: value for key, value in {**RAW, **changes}.items() if value is not None})
    assert told in str(caught.value)


@pytest.mark.parametrize(("part", "killed"), [(0.0, 0), (0.1, 1), (0.5, 2), (1.0, 4)])
def test_a_part_of_nothing_kills_no_router_and_any_other_at_least_one(part: float, killed: int) -> None:
    topology = {**RAW["topology"], "routers": 4}
    fault = {"kind": "kill_routers", "at_s": 1, "part": part}
    staged = stage(day_of(topology=topology, faults=[fault]), "router", 1)
    staged.play()
    assert sum(router.life > 1 for router in staged.routers) == killed  # an end and a start count one each


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("speed", "--sizes", "5x15,5*3"), "--sizes: expected sizes as in 5x15,20x60, got '5x15,5*3'"),
        (("speed", "--sizes", "5x15x2"), "--sizes: expected sizes as in 5x15,20x60, got '5x15x2'"),
        (("cost", "--sizes", "many"), "--sizes: expected numbers from 1 to 100000, as in 15,60, got 'many'"),
        (("cost", "--sizes", "0"), "--sizes: expected numbers from 1 to 100000, as in 15,60, got '0'"),
        (("cold", "--sizes", "5,401"), "--sizes: expected numbers from 1 to 400, as in 5,30, got '5,401'"),
        (("cold", "--sizes", "5,"), "--sizes: expected numbers from 1 to 400, as in 5,30, got '5,'"),
        (("peers", "--sizes", "1"), "--sizes: expected numbers from 2 to 5000, as in 5,50, got '1'"),
    ],
)
def test_sizes_that_make_no_sense_are_told_with_an_example(words: tuple[str, ...], told: str) -> None:
    code, output = command(*words)
    assert code == 2 and told in output


def test_sizes_are_played_in_the_order_given() -> None:
    code, output = command("cost", "--requests", "100", "--sizes", "7,3")
    assert code == 0 and output.index(" 7 ") < output.index(" 3 ")
    code, output = command("speed", "--seconds", "1", "--sizes", "2x4,1x3")
    assert code == 0 and output.index("2x4") < output.index("1x3")
    code, output = command("peers", "--seconds", "1", "--sizes", "3,2")
    assert code == 0 and output.index("3 routers") < output.index("2 routers")


def test_a_missing_or_broken_file_ends_with_code_2(tmp_path: Path) -> None:
    broken = tmp_path / "broken.toml"
    broken.write_text("name = ")
    assert command("run", str(broken))[0] == 2
    assert command("run", "no-such")[0] == 2
    assert command("show", str(broken))[0] == 2
    assert command("speed", "--sizes", "5*3")[0] == 2


class Faulty(Plain):
    """A baseline with a fault of choice."""

    fault = ""

    def choose(self, job: policies.Job) -> str | None:
        if self.fault == "cold servers":  # all that it has goes to whoever started last
            young = max(self.members.values(), key=lambda one: one.since)
            return young.server if young.since else self.ready[0]
        if self.fault == "drains" and self.known:
            return self.random.choice(self.known)
        return self.ready[0]

    def listed(self) -> None:
        self.known: list[str] = getattr(self, "known", None) or list(self.ready)

    def _send(self, job: policies.Job) -> list[api.Action]:
        if self.fault == "one answer":
            return []
        if self.fault == "no second effect" and job.unsafe:
            job.unsafe, job.at_origin = False, True
        return super()._send(job)


@pytest.mark.parametrize("fault", ["one answer", "drains", "no second effect", "cold servers"])
def test_each_rule_finds_the_fault_it_is_for(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def make(settings: api.Settings, seed: int) -> Plain:
        made = Faulty(settings, seed)
        made.fault = fault
        return made

    monkeypatch.setattr(world, "maker", lambda name, of: make)
    faults = [{"kind": "join", "at_s": 1, "for_s": 0.5, "part": 0.5, "drain_s": 1}]
    origin = {"error_share": 0.5} if fault == "no second effect" else {}
    report = stage(day_of(faults=faults, origin=origin, seconds=6), "faulty", 1).play()["rules"]
    assert set(report["counts"]) == {fault}
    first = report["first"][0]
    assert first["at_ms"] > 0 and first["events"] and (first["request"] or first["server"])


def test_a_station_shares_its_cores_among_jobs() -> None:
    clock, ended = Clock(), {}

    class Noting(Station):
        def done(self, job: Any) -> None:
            ended[job] = clock.now // MILLI

    station = Noting(clock, cores=1, speed=0.5, slots=2, room=1)
    assert [station.offer(job, 10 * MILLI) for job in "abcd"] == [True, True, True, False]
    clock.run(1000 * MILLI)
    # Two at a quarter of a core's full speed each, then the one that waited alone at half.
    assert ended == {"a": 40, "b": 40, "c": 60}


def test_the_throttle_blocks_as_the_paper_s_chain_does() -> None:
    # One token and no more: it is blocked unless a job came, so that throughput is r (1 - exp(-load)).
    assert berger.chain(1, 2.0)[0] == pytest.approx(1 - 2.718281828**-2)
    by_buffer = [berger.played(10, buffer, 1.2, 40_000, 1) for buffer in (0, 5)]
    for _, blocked in by_buffer:
        assert blocked.value == pytest.approx(berger.chain(10, 1.2)[1], abs=0.01)


def test_run_and_sim_import_nothing_of_the_lab() -> None:
    """Each start costs a whole fleet processor time."""
    code = "import sys, applehub.__main__, applehub.wirehost; print(*sys.modules)"
    printed = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    loaded = {name.partition(".")[0] for name in printed.stdout.split()}
    assert not loaded & {"numpy", "scipy", "pydantic", "click", "rich", "matplotlib", "hdrh", "psutil"}
    assert "applehub.lab" not in printed.stdout
