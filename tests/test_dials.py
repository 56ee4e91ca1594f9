"""Connections that this machine can't open, by each system call and error: on real sockets, with a clock that
the test holds. No server is to blame, and what was asked is served as soon as the machine is well."""

import asyncio
from typing import Any, cast

import pytest
from peers import Bench, Caller, Web, entry, hit, http, router
from virtual import play

from applehub import interface as api
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults
from applehub.policy.servers import Server

LOCAL = [
    ("socket", "EMFILE"),
    ("socket", "ENFILE"),
    ("socket", "ENOBUFS"),
    ("socket", "ENOMEM"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENOBUFS"),
    ("connect", "EAGAIN"),
]
NO_WAY = [
    ("connect", "ENETUNREACH"),
    ("connect", "ENETDOWN"),
    ("connect", "EHOSTUNREACH"),
    ("getsockopt", "EHOSTUNREACH"),
]
LASTS = 0.3  # s that the machine is short of something
CALLERS = 300
SOON = 0.06  # s: the longest wait between two tries, and the time of an answer


def server(bench: Bench, name: str = "c0") -> Server:
    return bench.driver.balancer.roster.servers[name]


def blamed(bench: Bench) -> list[str]:
    servers = bench.driver.balancer.roster.servers
    return [name for name, one in servers.items() if one.fails or one.breaks or one.refusals or one.silences]


def fault(call: str, error: str, **when: Any) -> SystemCallFault:
    return SystemCallFault(cast(SystemCall, call), error, **when)


async def ask_all(bench: Bench, callers: list[Caller], what: bytes = b"get") -> None:
    """Each of them asks for a key of its own, a few at once: more of them would be refused as a burst."""
    for n, caller in enumerate(callers):
        if n % 4 == 0:
            await asyncio.sleep(0.001)
        if what == b"get":
            caller.get(b"k%d" % n, b"i%d" % n)
        else:
            caller.send(b"C.SET", b"k%d" % n, b"i%d" % n, b"c=%b,t=acme,d=9000,k=1" % what, b"value")
    await asyncio.sleep(0.01)


@pytest.mark.parametrize(("call", "error"), LOCAL + NO_WAY)
@pytest.mark.parametrize("what", [b"get", b"put", b"once"])
def test_a_healthy_server_is_served_again_at_once(
    monkeypatch: pytest.MonkeyPatch, call: str, error: str, what: bytes
) -> None:
    """Connects that failed here counted as the server's refusals: it was served again 2.3 s later."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            callers = [await bench.caller() for _ in range(7)]
            with SystemCallFaults(fault(call, error)) as faults:
                await ask_all(bench, callers[:6], what)
                await asyncio.sleep(LASTS)
                assert faults.count() >= 6 and not bench.cache.got and not bench.origin.got
                assert not blamed(bench) and not any(pool.idle for pool in bench.pools.pools.values())
            well = loop.time()
            callers[6].get(b"new", b"new")
            assert await callers[6].answer() == b"v"
            assert loop.time() - well < SOON
            want = b"v" if what == b"get" else b"from origin"
            assert [await caller.answer() for caller in callers[:6]] == [want] * 6
            assert loop.time() - well < 2 * SOON
            assert not blamed(bench)

    play(monkeypatch, test)


@pytest.mark.parametrize(("call", "error"), [LOCAL[4], NO_WAY[0]])
def test_an_answer_that_is_refused_says_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch, call: str, error: str
) -> None:
    """The machine stays as it is, so the request is refused in its time, once."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            caller, other = await bench.caller(), await bench.caller()
            with SystemCallFaults(fault(call, error)) as faults:
                begun = loop.time()
                caller.send(b"C.SET", b"k", b"i1", b"c=once,t=acme,d=900,k=1", b"value")
                other.get(name=b"i2", info=b"c=read,t=acme,d=900")
                for one in (caller, other):
                    assert str(await one.answer()).startswith("BUSY")
                assert loop.time() - begun < 0.9
                tries = faults.count()
                assert tries <= 2 * 2 + 0.9 / 0.025 + 8
                await asyncio.sleep(5.0)
                assert faults.count() == tries
            assert not bench.origin.got and not bench.cache.got and not bench.driver.requests

    play(monkeypatch, test)


@pytest.mark.parametrize("peer", ["quick", "slow", "refuses"])
@pytest.mark.parametrize(("call", "error"), [LOCAL[0], LOCAL[4], LOCAL[6], NO_WAY[0]])
def test_hundreds_of_callers_make_few_tries_together(
    monkeypatch: pytest.MonkeyPatch, call: str, error: str, peer: str
) -> None:
    """The server answers at once; or is slow and turns some away, so that as many are served as of a burst on
    a machine that is well; or refuses connections for a while, which is its own trouble."""
    answered = 0

    def slow(asked: Any, line: asyncio.StreamWriter) -> None:
        nonlocal answered
        answered += 1
        answer = b"-BUSY\r\n" if answered % 10 == 0 else hit()
        asyncio.get_running_loop().call_later(0.05, line.write, answer)

    async def answers(bench: Bench, callers: list[Caller]) -> int:
        """How many are served; the others are refused."""
        async with asyncio.timeout(2.0):
            all_answers = [await caller.answer() for caller in callers]
        served = sum(one in (b"v", b"from origin") for one in all_answers)
        assert sum(str(one).startswith("BUSY") for one in all_answers) == len(callers) - served
        assert not bench.driver.balancer.jobs
        return served

    async def test() -> None:
        answer = slow if peer == "slow" else (lambda asked, line: hit())
        async with router(answer, sockets=2048) as bench:
            callers = [await bench.caller() for _ in range(CALLERS)]
            await ask_all(bench, callers)
            well = await answers(bench, callers)
        async with router(answer, sockets=2048) as bench:
            callers = [await bench.caller() for _ in range(CALLERS)]
            with SystemCallFaults(fault(call, error)) as faults:
                await ask_all(bench, callers)
                first = faults.count()
                assert CALLERS <= first <= 3 * CALLERS
                await asyncio.sleep(LASTS)
                assert faults.count() - first <= 30
                refused = fault("connect", "ECONNREFUSED", peer=bench.cache.address, for_s=0.2)
                faults.replace(*([refused] if peer == "refuses" else []))
                served = await answers(bench, callers)
                assert faults.count("connect", "ECONNREFUSED") <= 16
            assert served >= {"quick": CALLERS, "slow": well, "refuses": 0}[peer]
            assert blamed(bench) == (["c0"] if peer == "refuses" else [])
            assert len(bench.cache.got) <= 1.2 * CALLERS

    play(monkeypatch, test)


def test_a_server_to_which_no_way_leads_alone_is_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections to the others come up meanwhile; each request for it goes to another at once."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        origin = Web(lambda asked, line: http(200, b"other"))
        await origin.start()

        def listed(cache: Any, web: Any) -> list[dict[str, Any]]:
            # Each under an address of its own, so that a fault can strike one.
            port = cache.address.rpartition(":")[2]
            caches = [entry(f"c{n}", f"127.0.0.{n + 1}:{port}") for n in range(4)]
            return [*caches, entry("o", web.address, model="origin")]

        monkeypatch.setattr("peers.Cache.start", _start_everywhere)
        async with router(entries=listed) as bench:
            callers = [await bench.caller() for _ in range(60)]
            bench.pools.set_timeouts(20.0, 0.01)  # connections don't rest, so each attempt opens one
            with SystemCallFaults(fault("connect", "ENETUNREACH", peer="127.0.0.2:*")) as faults:
                for n, caller in enumerate(callers):
                    caller.get(b"k%d" % n, b"i%d" % n)
                    begun = loop.time()
                    assert await caller.answer() == b"v"
                    assert loop.time() - begun < SOON
                    await asyncio.sleep(0.02)
                    for pool in bench.pools.pools.values():
                        for one in list(pool.idle):
                            one.close()
                assert 3 <= faults.count() <= 4
            assert blamed(bench) == ["c1"]
        await origin.stop()

    play(monkeypatch, test)


async def _start_everywhere(peer: Any) -> None:
    peer.server = await asyncio.start_server(peer._serve, "0.0.0.0", 0)
    peer.address = f"127.0.0.1:{peer.server.sockets[0].getsockname()[1]}"


def test_a_connection_that_came_up_is_told_with_the_first_attempt_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router() as bench:
            told: list[tuple[api.Status, bool]] = []
            handle = bench.driver.balancer.handle

            def watching(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Outcome):
                    told.append((event.status, event.connected))
                return handle(now, event)

            monkeypatch.setattr(bench.driver.balancer, "handle", watching)
            caller = await bench.caller()
            for n in range(3):
                caller.get(name=b"i%d" % n)
                assert await caller.answer() == b"v"
                await asyncio.sleep(0.1)
            assert told == [(api.Status.OK, True), (api.Status.OK, False), (api.Status.OK, False)]

    play(monkeypatch, test)
