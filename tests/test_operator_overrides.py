"""Cache servers out by hand: the module's part, the file two processes share, and the calls."""

import errno
import fcntl
import os
import subprocess
import sys
from pathlib import Path

import pytest
from peers import MISS, Bench, entry, hit, router, soon
from support import MILLI, SECOND, Router, settings

from applehub import interface as api
from applehub.node.console import CallError
from applehub.node.operator_overrides import OperatorOverrides
from applehub.node.shared_state import Shared


def sent_to(router: Router, keys: int = 40) -> set[str]:
    """The cache servers that a round of requests goes to."""
    servers = set()
    for n in range(keys):
        _, sends = router.ask(f"key{n}")
        for send in sends:
            assert isinstance(send, api.Send)
            servers.add(send.server)
            router.end(send, api.Status.OK, elapsed=MILLI)
        router.wait(5 * MILLI)
    return servers


def test_a_server_out_by_hand_drains_whatever_the_list_says_until_it_is_put_back() -> None:
    router = Router()
    assert "c1" in sent_to(router)
    router.tell(api.ByHand("c1", True, router.now))
    assert router.balancer.roster.avoided == 1
    for kind, listed in (
        (api.ListKind.DELTA, [api.Member("c1")]),
        (api.ListKind.DELTA, [api.Member("c1", api.State.GONE)]),
        (api.ListKind.DELTA, [api.Member("c1", since=router.now)]),
        (api.ListKind.FULL, [api.Member(f"c{n}") for n in range(4)]),
    ):
        router.tell(api.Members(kind, listed))
        assert "c1" not in sent_to(router)
    router.tell(api.ByHand("c1", False, router.now))
    assert router.balancer.roster.avoided == 0
    for _ in range(10):
        router.wait(SECOND // 2)
        if "c1" in sent_to(router):
            break
    else:
        raise AssertionError("nothing went to it in 5 s")


@pytest.mark.parametrize("relisted", [False, True])
def test_a_server_put_back_is_cold_since_then_whatever_its_boot_time_says(relisted: bool) -> None:
    router = Router()
    router.tell(api.ByHand("c1", True, router.now))
    router.wait(20 * SECOND)
    router.tell(api.ByHand("c1", False, router.now))
    back = router.now
    if relisted:
        router.tell(api.Members(api.ListKind.DELTA, [api.Member("c1", api.State.GONE)]))
        router.tell(api.Members(api.ListKind.DELTA, [api.Member("c1", since=back - 15 * SECOND)]))
    assert router.balancer.roster.servers["c1"].cold_since == back


def test_a_server_that_drains_by_the_list_stays_draining_when_it_is_put_back() -> None:
    router = Router()
    router.tell(api.ByHand("c1", True, router.now))
    router.tell(api.Members(api.ListKind.DELTA, [api.Member("c1", api.State.DRAINING)]))
    router.tell(api.ByHand("c1", False, router.now))
    assert "c1" not in sent_to(router)


def test_two_processes_share_the_tokens_of_a_warming_server() -> None:
    def taken(copies: int) -> int:
        # A long window, so that the number of tokens binds; what falls due in a window follows the traffic.
        router = Router(settings(ramp_time=60 * SECOND, fall_time=60 * SECOND))
        sent_to(router, 200)
        router.tell(api.Copies(copies))
        server = router.balancer.roster.servers["c1"]
        server.budget.tokens, server.budget.at = 9.0, router.now
        server.cold_since = router.now
        return sum(router.balancer.placement._in_budget(server, 4) for _ in range(9))

    assert (taken(1), taken(2)) == (2, 1)


def by_hand(bench: Bench, folder: Path) -> OperatorOverrides:
    return OperatorOverrides(bench.directory, bench.driver.tell, Shared(str(folder)))


def two(cache: object, origin: object) -> list[dict[str, object]]:
    addresses = [peer.address for peer in (cache, cache, origin)]  # type: ignore[attr-defined]
    listed = [entry("c0", addresses[0]), entry("c1", addresses[1])]
    return [*listed, entry("o", addresses[2], model="origin")]


async def test_the_calls_act_on_connections_and_decisions(tmp_path: Path) -> None:
    async with router(lambda asked, line: hit() if asked[2] != b"i0" else None, entries=two) as bench:
        hands, balancer = by_hand(bench, tmp_path), bench.driver.balancer
        for name in ("c9", "o", ""):
            with pytest.raises(CallError):
                hands.offline(name)
            with pytest.raises(CallError):
                hands.online(name)
        assert [hands.offline("c1"), hands.offline("c1")] == ["+OK", "+OK"]
        assert (
            bench.pools.pools["c1"].retired
            and balancer.roster.servers["c1"].member.state is api.State.DRAINING
        )
        bench.directory.take({"rev": 6, "all": True, "targets": two(bench.cache, bench.origin)})
        assert bench.pools.pools["c1"].retired and bench.directory.can_serve
        hands.offline("c0")
        assert not bench.directory.can_serve and bench.directory.size == 2
        assert [hands.online("c1"), hands.online("c1")] == ["+OK", "+OK"]
        assert not bench.pools.pools["c1"].retired and bench.directory.can_serve
        assert balancer.roster.servers["c1"].cold_since > 0


async def test_an_upgrade_reads_what_was_said_and_both_processes_agree(tmp_path: Path) -> None:
    async with router(entries=two) as old, router(entries=two) as new:
        before = by_hand(old, tmp_path)
        before.offline("c1")
        after = by_hand(new, tmp_path)
        after.look()
        assert new.pools.pools["c1"].retired
        after.online("c1")
        before.look()
        assert not old.pools.pools["c1"].retired
        cold = [one.driver.balancer.roster.servers["c1"].cold_since for one in (old, new)]
        assert abs(cold[0] - cold[1]) < SECOND and min(cold) > 0
        before.offline("c0")
        assert after.offline("c0") == "+OK" and new.pools.pools["c0"].retired


async def test_a_call_that_can_not_be_kept_is_a_no(tmp_path: Path) -> None:
    async with router(entries=two) as bench:
        hands = by_hand(bench, tmp_path)
        hands.file.lock_path = str(tmp_path / "missing" / "lock")
        with pytest.raises(CallError, match="can't be kept"):
            hands.offline("c1")
        assert not bench.pools.pools["c1"].retired


def test_another_process_is_seen_for_as_long_as_it_runs(tmp_path: Path) -> None:
    shared = Shared(str(tmp_path))
    assert not shared.others()
    code = (
        "import sys; from applehub.node.shared_state import Shared\n"
        f"s = Shared({str(tmp_path)!r}); print(s.others(), flush=True); sys.stdin.read()"
    )
    root = Path(__file__).parent.parent
    with subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(root)},
    ) as other:
        assert other.stdout is not None
        assert other.stdout.readline() == b"True\n"
        assert shared.others()
        other.kill()
        other.wait()
    assert not shared.others()


def test_the_last_answer_holds_while_the_system_does_not_tell_of_other_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Set up: the question after the other process's lock fails three times (ENOLCK), twice over. Expected:
    the answer before, nothing raised, and one line for each time."""
    shared = Shared(str(tmp_path))
    for _ in range(2):
        with monkeypatch.context() as patch:

            def refuse(*_: object) -> bytes:
                raise OSError(errno.ENOLCK, "refused")

            patch.setattr(fcntl, "fcntl", refuse)
            assert [shared.others() for _ in range(3)] == [False] * 3
        assert not shared.others()
    assert caplog.text.count("whether another process serves can't be told") == 2


async def test_requests_under_way_at_a_server_taken_out_get_its_answer(tmp_path: Path) -> None:
    async with router(lambda asked, line: None if asked[2] == b"i1" else MISS) as bench:
        hands = by_hand(bench, tmp_path)
        caller = await bench.caller()
        caller.get(name=b"i1")
        await soon(lambda: bench.cache.got)
        hands.offline("c0")
        bench.cache.lines[0].write(hit())
        assert await caller.answer() == b"v"
        await soon(lambda: not bench.pools.pools["c0"].all)
