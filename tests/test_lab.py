"""Tests of the emulator: reproducibility, the rule checks, the queueing models and the commands."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from applehub import interface as api
from applehub.lab import policies, simulation, throttle_analysis
from applehub.lab.__main__ import main
from applehub.lab.clock import MILLI, Clock
from applehub.lab.compare import mean_of
from applehub.lab.policies import BaselinePolicy
from applehub.lab.runner import make_plan, read_results
from applehub.lab.servers import ProcessorSharingQueue
from applehub.lab.simulation_run import build_simulation
from applehub.lab.spec import SpecError, parse_experiment
from applehub.lab.workload import draw_workload

TINY = Path(__file__).with_name("tiny.toml")
RAW = tomllib.loads(TINY.read_text(encoding="utf-8"))


def run_command(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(arguments))
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def scenario_of(**changes: Any) -> Any:
    return make_plan("test", {**RAW, **changes}).points[0][1]


def test_results_are_reproducible_and_resumable(tmp_path: Path) -> None:
    """Results depend on neither the hash seed, the number of processes nor an interruption of the run."""
    contents = []
    for hash_seed, jobs in (("1", "1"), ("2", "3")):
        out = tmp_path / f"{hash_seed}.jsonl"
        command = [sys.executable, "-m", "applehub.lab", "run", str(TINY), "--jobs", jobs, "--out", str(out)]
        subprocess.run(
            command, check=True, capture_output=True, env={**os.environ, "PYTHONHASHSEED": hash_seed}
        )
        contents.append(out.read_bytes())
    assert contents[0] == contents[1]
    partial = tmp_path / "cut.jsonl"
    partial.write_bytes(contents[0][: len(contents[0]) * 2 // 3])
    assert run_command("run", str(TINY), "--jobs", "1", "--out", str(partial))[0] == 0
    assert partial.read_bytes() == contents[0]
    records = read_results(partial)[1]
    means = {
        name: mean_of(record["result"]["G"] for record in records if record["policy"] == name).value
        for name in ("random", "router", "oracle")
    }
    assert means["random"] < means["router"] < means["oracle"]
    assert not any(record["result"]["rules"]["counts"] for record in records if record["policy"] == "router")
    assert run_command("run", str(TINY), "--seeds", "1", "--out", str(partial))[0] == 2  # another experiment
    for arguments in (["show"], ["show", "--losses"], ["show", "--json"]):
        assert "random" in run_command(*arguments, str(partial))[1]
    assert "no" in run_command("compare", str(partial), str(partial))[1]
    picture = tmp_path / "tiny.png"
    assert run_command("plot", str(partial), "--out", str(picture))[0] == 0
    assert picture.read_bytes().startswith(b"\x89PNG") and picture.stat().st_size > 10_000
    assert run_command("plot", str(partial), "--out", str(tmp_path / "tiny.txt"))[0] == 2
    request_id = records[0]["result"]["examples"]["late"]
    code, text = run_command("trace", str(partial), request_id)
    assert code == 0 and f"attempt {request_id}" in text and "received by router" in text
    assert run_command("trace", str(partial), "zz") == (
        2,
        "zz: expected the id of a request, 16 hex digits\n",
    )


def test_faults_do_not_change_unrelated_random_streams() -> None:
    baseline, with_faults = (draw_workload(scenario_of(faults=faults), 3) for faults in ([], [
        {"kind": "hot_key", "at_s": 1, "for_s": 2, "share": 0.5, "keys": 1},
        {"kind": "neighbour", "at_s": 1, "for_s": 2},
    ]))  # fmt: skip
    assert (baseline.times, baseline.work, baseline.classes) == (
        with_faults.times,
        with_faults.work,
        with_faults.classes,
    )
    affected = sum(key != other_key for key, other_key in zip(baseline.keys, with_faults.keys, strict=True))
    assert 0.1 < affected / len(with_faults.keys) < 0.4  # half of the requests during half of the run


@pytest.mark.parametrize(
    ("changes", "message"),
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
def test_invalid_experiment_is_reported_by_key(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(SpecError) as caught:
        parse_experiment("f", {key: value for key, value in {**RAW, **changes}.items() if value is not None})
    assert message in str(caught.value)


@pytest.mark.parametrize(("fraction", "killed"), [(0.0, 0), (0.1, 1), (0.5, 2), (1.0, 4)])
def test_kill_fault_hits_no_router_for_fraction_zero_and_at_least_one_otherwise(
    fraction: float, killed: int
) -> None:
    topology = {**RAW["topology"], "routers": 4}
    fault = {"kind": "kill_routers", "at_s": 1, "part": fraction}
    kill_simulation = build_simulation(scenario_of(topology=topology, faults=[fault]), "router", 1)
    kill_simulation.run()
    # A stop and a start each increment the incarnation.
    assert sum(router.process_incarnation > 1 for router in kill_simulation.routers) == killed


@pytest.mark.parametrize(
    ("arguments", "message"),
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
def test_invalid_sizes_are_reported_with_an_example(arguments: tuple[str, ...], message: str) -> None:
    code, output = run_command(*arguments)
    assert code == 2 and message in output


def test_sizes_run_in_the_given_order() -> None:
    code, output = run_command("cost", "--requests", "100", "--sizes", "7,3")
    assert code == 0 and output.index(" 7 ") < output.index(" 3 ")
    code, output = run_command("speed", "--seconds", "1", "--sizes", "2x4,1x3")
    assert code == 0 and output.index("2x4") < output.index("1x3")
    code, output = run_command("peers", "--seconds", "1", "--sizes", "3,2")
    assert code == 0 and output.index("3 routers") < output.index("2 routers")


def test_missing_or_invalid_file_exits_with_2(tmp_path: Path) -> None:
    broken = tmp_path / "broken.toml"
    broken.write_text("name = ")
    assert run_command("run", str(broken))[0] == 2
    assert run_command("run", "no-such")[0] == 2
    assert run_command("show", str(broken))[0] == 2
    assert run_command("speed", "--sizes", "5*3")[0] == 2


class FaultyPolicy(BaselinePolicy):
    """A baseline that breaks the rule named by `fault`."""

    fault = ""

    def choose(self, pending: policies.PendingRequest) -> str | None:
        if self.fault == "cold servers":  # sends everything to the most recently started server
            newest = max(self.members.values(), key=lambda member: member.since)
            return newest.server if newest.since else self.ready_servers[0]
        if self.fault == "drains" and self.first_servers:
            return self.random.choice(self.first_servers)
        return self.ready_servers[0]

    def list_changed(self) -> None:
        self.first_servers: list[str] = getattr(self, "first_servers", None) or list(self.ready_servers)

    def _send(self, pending: policies.PendingRequest) -> list[api.Action]:
        if self.fault == "one answer":
            return []
        if self.fault == "no second effect" and pending.retry_unsafe:
            pending.retry_unsafe, pending.at_origin = False, True
        return super()._send(pending)


@pytest.mark.parametrize("fault", ["one answer", "drains", "no second effect", "cold servers"])
def test_each_rule_detects_its_violation(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def make(settings: api.Settings, seed: int) -> BaselinePolicy:
        policy = FaultyPolicy(settings, seed)
        policy.fault = fault
        return policy

    monkeypatch.setattr(simulation, "policy_factory", lambda name, state: make)
    faults = [{"kind": "join", "at_s": 1, "for_s": 0.5, "part": 0.5, "drain_s": 1}]
    origin = {"error_share": 0.5} if fault == "no second effect" else {}
    report = build_simulation(scenario_of(faults=faults, origin=origin, seconds=6), "faulty", 1).run()[
        "rules"
    ]
    assert set(report["counts"]) == {fault}
    first = report["first"][0]
    assert first["at_ms"] > 0 and first["events"] and (first["request"] or first["server"])


def test_queue_shares_its_cores_among_jobs() -> None:
    clock, finished_at = Clock(), {}

    class RecordingQueue(ProcessorSharingQueue):
        def job_done(self, job: Any) -> None:
            finished_at[job] = clock.now // MILLI

    queue = RecordingQueue(clock, cores=1, speed=0.5, slots=2, max_queue=1)
    assert [queue.submit(job, 10 * MILLI) for job in "abcd"] == [True, True, True, False]
    clock.run(1000 * MILLI)
    # Two jobs run at speed 0.25 each; then the queued job runs alone at 0.5.
    assert finished_at == {"a": 40, "b": 40, "c": 60}


def test_throttle_blocking_matches_the_published_markov_chain() -> None:
    # With one token, the throughput is r (1 - exp(-load)).
    assert throttle_analysis.analyze_chain(1, 2.0)[0] == pytest.approx(1 - 2.718281828**-2)
    results = [throttle_analysis.simulate(10, buffer, 1.2, 40_000, 1) for buffer in (0, 5)]
    for _, blocked in results:
        assert blocked.value == pytest.approx(throttle_analysis.analyze_chain(10, 1.2)[1], abs=0.01)


def test_run_and_sim_do_not_import_the_emulator() -> None:
    """The emulator's imports would add CPU time to the start of every router."""
    code = "import sys, applehub.__main__, applehub.wirehost; print(*sys.modules)"
    completed = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    loaded = {name.partition(".")[0] for name in completed.stdout.split()}
    assert not loaded & {"numpy", "scipy", "pydantic", "click", "rich", "matplotlib", "hdrh", "psutil"}
    assert "applehub.lab" not in completed.stdout
