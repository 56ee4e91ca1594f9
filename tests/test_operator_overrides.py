"""Operator overrides: in the policy, in the file that two processes share, and as console commands."""

import errno
import fcntl
import os
import subprocess
import sys
from pathlib import Path

import pytest
from router_bench import MISS, Bench, entry, hit, router, wait_until
from support import MILLI, SECOND, Router, settings

from applehub import interface as api
from applehub.node.console import CommandError
from applehub.node.operator_overrides import OperatorOverrides
from applehub.node.shared_state import SharedState


def servers_sent_to(router: Router, key_count: int = 40) -> set[str]:
    """Returns the cache servers to which requests for the given number of keys are sent."""
    servers = set()
    for n in range(key_count):
        _, sends = router.send_request(f"key{n}")
        for send in sends:
            assert isinstance(send, api.Send)
            servers.add(send.server)
            router.finish_attempt(send, api.Status.OK, elapsed=MILLI)
        router.advance(5 * MILLI)
    return servers


def test_offline_server_drains_despite_list_updates_until_it_is_online() -> None:
    router = Router()
    assert "c1" in servers_sent_to(router)
    router.deliver(api.ServerOverride("c1", True, router.now))
    assert router.balancer.server_table.excluded_count == 1
    for kind, listed in (
        (api.ListKind.DELTA, [api.Member("c1")]),
        (api.ListKind.DELTA, [api.Member("c1", api.State.GONE)]),
        (api.ListKind.DELTA, [api.Member("c1", since=router.now)]),
        (api.ListKind.FULL, [api.Member(f"c{n}") for n in range(4)]),
    ):
        router.deliver(api.Members(kind, listed))
        assert "c1" not in servers_sent_to(router)
    router.deliver(api.ServerOverride("c1", False, router.now))
    assert router.balancer.server_table.excluded_count == 0
    for _ in range(10):
        router.advance(SECOND // 2)
        if "c1" in servers_sent_to(router):
            break
    else:
        raise AssertionError("no request was sent to c1 in 5 s")


@pytest.mark.parametrize("relisted", [False, True])
def test_slow_start_counts_from_the_online_override_despite_the_boot_time(relisted: bool) -> None:
    router = Router()
    router.deliver(api.ServerOverride("c1", True, router.now))
    router.advance(20 * SECOND)
    router.deliver(api.ServerOverride("c1", False, router.now))
    online_at = router.now
    if relisted:
        router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c1", api.State.GONE)]))
        router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c1", since=online_at - 15 * SECOND)]))
    assert router.balancer.server_table.servers["c1"].warming_since == online_at


def test_listed_as_draining_server_stays_draining_when_put_online() -> None:
    router = Router()
    router.deliver(api.ServerOverride("c1", True, router.now))
    router.deliver(api.Members(api.ListKind.DELTA, [api.Member("c1", api.State.DRAINING)]))
    router.deliver(api.ServerOverride("c1", False, router.now))
    assert "c1" not in servers_sent_to(router)


def test_two_processes_share_the_tokens_of_a_warming_server() -> None:
    def tokens_taken(process_count: int) -> int:
        # The window is long, so that the tokens, and not the traffic, limit the requests to the server.
        router = Router(settings(slow_start_time=60 * SECOND, overload_window=60 * SECOND))
        servers_sent_to(router, 200)
        router.deliver(api.ProcessCount(process_count))
        server = router.balancer.server_table.servers["c1"]
        server.warmup_budget.tokens, server.warmup_budget.updated_at = 9.0, router.now
        server.warming_since = router.now
        return sum(router.balancer.placement._take_warmup_token(server, 4) for _ in range(9))

    assert (tokens_taken(1), tokens_taken(2)) == (2, 1)


def open_overrides(bench: Bench, folder: Path) -> OperatorOverrides:
    return OperatorOverrides(bench.directory, bench.driver.notify, SharedState(str(folder)))


def two_caches(cache: object, origin: object) -> list[dict[str, object]]:
    addresses = [peer.address for peer in (cache, cache, origin)]  # type: ignore[attr-defined]
    listed = [entry("c0", addresses[0]), entry("c1", addresses[1])]
    return [*listed, entry("o", addresses[2], model="origin")]


async def test_commands_apply_to_connections_and_policy(tmp_path: Path) -> None:
    async with router(
        lambda command, writer: hit() if command[2] != b"i0" else None, entries=two_caches
    ) as bench:
        overrides, balancer = open_overrides(bench, tmp_path), bench.driver.balancer
        for name in ("c9", "o", ""):
            with pytest.raises(CommandError):
                overrides.offline(name)
            with pytest.raises(CommandError):
                overrides.online(name)
        assert [overrides.offline("c1"), overrides.offline("c1")] == ["+OK", "+OK"]
        assert (
            bench.pools.pools["c1"].retired
            and balancer.server_table.servers["c1"].member.state is api.State.DRAINING
        )
        bench.directory.apply({"rev": 6, "all": True, "targets": two_caches(bench.cache, bench.origin)})
        assert bench.pools.pools["c1"].retired and bench.directory.can_serve
        overrides.offline("c0")
        assert not bench.directory.can_serve and bench.directory.cache_count == 2
        assert [overrides.online("c1"), overrides.online("c1")] == ["+OK", "+OK"]
        assert not bench.pools.pools["c1"].retired and bench.directory.can_serve
        assert balancer.server_table.servers["c1"].warming_since > 0


async def test_both_processes_of_an_upgrade_apply_the_same_overrides(tmp_path: Path) -> None:
    async with router(entries=two_caches) as old, router(entries=two_caches) as new:
        old_overrides = open_overrides(old, tmp_path)
        old_overrides.offline("c1")
        new_overrides = open_overrides(new, tmp_path)
        new_overrides.poll()
        assert new.pools.pools["c1"].retired
        new_overrides.online("c1")
        old_overrides.poll()
        assert not old.pools.pools["c1"].retired
        slow_start_times = [
            bench.driver.balancer.server_table.servers["c1"].warming_since for bench in (old, new)
        ]
        assert abs(slow_start_times[0] - slow_start_times[1]) < SECOND and min(slow_start_times) > 0
        old_overrides.offline("c0")
        assert new_overrides.offline("c0") == "+OK" and new.pools.pools["c0"].retired


async def test_command_that_cannot_be_stored_is_rejected(tmp_path: Path) -> None:
    async with router(entries=two_caches) as bench:
        overrides = open_overrides(bench, tmp_path)
        overrides.file.lock_path = str(tmp_path / "missing" / "lock")
        with pytest.raises(CommandError, match="can't be kept"):
            overrides.offline("c1")
        assert not bench.pools.pools["c1"].retired


def test_other_process_is_detected_while_it_runs(tmp_path: Path) -> None:
    shared_state = SharedState(str(tmp_path))
    assert not shared_state.has_other_process()
    code = (
        "import sys; from applehub.node.shared_state import SharedState\n"
        f"s = SharedState({str(tmp_path)!r}); print(s.has_other_process(), flush=True); sys.stdin.read()"
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
        assert shared_state.has_other_process()
        other.kill()
        other.wait()
    assert not shared_state.has_other_process()


def test_failed_lock_query_returns_the_last_result_and_is_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Two series of three failed queries (ENOLCK) raise nothing and are logged once each."""
    shared_state = SharedState(str(tmp_path))
    for _ in range(2):
        with monkeypatch.context() as patch:

            def raise_no_locks(*_: object) -> bytes:
                raise OSError(errno.ENOLCK, "refused")

            patch.setattr(fcntl, "fcntl", raise_no_locks)
            assert [shared_state.has_other_process() for _ in range(3)] == [False] * 3
        assert not shared_state.has_other_process()
    assert caplog.text.count("checking for another router process failed") == 2


async def test_requests_in_flight_at_an_offline_server_are_answered(tmp_path: Path) -> None:
    async with router(lambda command, writer: None if command[2] == b"i1" else MISS) as bench:
        overrides = open_overrides(bench, tmp_path)
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        overrides.offline("c0")
        bench.cache.writers[0].write(hit())
        assert await caller.answer() == b"v"
        await wait_until(lambda: not bench.pools.pools["c0"].connections)
