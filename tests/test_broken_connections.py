"""System calls that fail on connections to servers, on real sockets: what becomes of a request by what a
second execution of it would do. What may have run runs twice only where its class allows that."""

import asyncio
import logging
from typing import Any, cast

import pytest
from peers import MISS, Bench, Caller, hit, http, router
from virtual import play

from applehub import interface as api
from applehub.lab.fleet.system_call_faults import SystemCall, SystemCallFault, SystemCallFaults

BROKEN = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"]
UNWRITTEN = ["EPIPE", "ENOBUFS", "ENOMEM", "EHOSTUNREACH", "ETIMEDOUT", "ECONNRESET"]
CLASSES = [b"read", b"put", b"once"]


def fault(call: str, error: str = "", **when: Any) -> SystemCallFault:
    return SystemCallFault(cast(SystemCall, call), error, **when)


def runs(bench: Bench) -> int:
    """How often the request was executed: it came whole."""
    names = [asked[2] for asked in bench.cache.got]
    names += [headers.get(b"x-call-id") for _, _, headers, _ in bench.origin.got]
    return names.count(b"i1")


def ask(caller: Caller, kind: bytes, name: bytes = b"i1", key: bytes = b"k") -> None:
    """A read goes to the cache server; the others are writes, which go to the origin."""
    if kind == b"read":
        caller.get(key, name)
    else:
        caller.send(b"C.SET", key, name, b"c=%b,t=acme,d=9000,k=1" % kind, b"value")


async def rest(bench: Bench, caller: Caller, kind: bytes) -> None:
    """Leaves an idle connection behind, which the next request takes."""
    ask(caller, kind, b"i0")
    assert await caller.answer() in (b"v", b"receipt")
    await asyncio.sleep(0.05)
    assert any(pool.idle for pool in bench.pools.pools.values())


def address(bench: Bench, kind: bytes) -> str:
    return bench.cache.address if kind == b"read" else bench.origin.address


def quiet(caplog: pytest.LogCaptureFixture, lines: int) -> bool:
    """Whether the log has no warning and no traceback, and so many lines at the most, beside the one that
    says that this machine fails."""
    seen = [one for one in caplog.records if one.levelno >= logging.INFO]
    here = sum("this machine could not begin" in one.getMessage() for one in seen)
    noise = any(one.exc_info or one.levelno >= logging.WARNING for one in seen)
    return not noise and here <= 1 and len(seen) - here <= lines


def plays(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    kind: bytes,
    rested: bool,
    faults: list[SystemCallFault],
    struck: int = 1,
    lines: int = 0,
) -> tuple[Any, int, list[api.Status]]:
    """Plays one request under faults of the connection to its server, which is to write so many lines to the
    log; gives its answer, how often it ran, and how its attempts ended."""
    found: list[Any] = []

    async def test() -> None:
        statuses: list[api.Status] = []
        async with router(origin=lambda asked, line: http(200, b"receipt")) as bench:
            caller = await bench.caller()
            if rested:
                await rest(bench, caller, kind)
            handle = bench.driver.balancer.handle

            def watching(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Outcome):
                    statuses.append(event.status)
                return handle(now, event)

            monkeypatch.setattr(bench.driver.balancer, "handle", watching)
            for one in faults:
                object.__setattr__(one, "peer", address(bench, kind))
            with SystemCallFaults(*faults) as injected:
                ask(caller, kind)
                answer = await caller.answer()
                await asyncio.sleep(1.0)
                assert injected.count() >= struck
            assert not bench.driver.requests and not bench.driver.balancer.jobs
            assert quiet(caplog, lines)
            ended = list(statuses)
            if not lines:
                other = await bench.caller()
                ask(other, kind, b"i2")
                assert await other.answer() in (b"v", b"receipt")
            found.extend((answer, runs(bench), ended))

    play(monkeypatch, test)
    return found[0], found[1], found[2]


@pytest.mark.parametrize("error", BROKEN)
@pytest.mark.parametrize("rested", [False, True])
@pytest.mark.parametrize("kind", CLASSES)
def test_what_was_written_and_whose_answer_can_t_be_read_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    kind: bytes,
    rested: bool,
    error: str,
) -> None:
    """A read is made again, a keyed write too, in its window; one that may not run twice has failed."""
    answer, ran, statuses = plays(monkeypatch, caplog, kind, rested, [fault("recv", error, times=1)])
    assert statuses[0] is api.Status.RESET
    if kind == b"once":
        assert str(answer) == "ERR failed" and ran == 1 and len(statuses) == 1
    else:
        assert answer in (b"v", b"receipt") and ran == 2 and statuses[1:] == [api.Status.OK]


@pytest.mark.parametrize("error", UNWRITTEN)
@pytest.mark.parametrize("rested", [False, True])
@pytest.mark.parametrize("kind", CLASSES)
@pytest.mark.parametrize("short", [0, 10])
def test_what_was_not_written_whole_never_ran(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    kind: bytes,
    rested: bool,
    short: int,
    error: str,
) -> None:
    """The first byte, or all behind the tenth, could not be written: it is sent again, and runs once."""
    first = [fault("send", short=short, times=1)] if short else []
    answer, ran, statuses = plays(
        monkeypatch, caplog, kind, rested, [*first, fault("send", error, times=1)], 1 + len(first)
    )
    assert answer in (b"v", b"receipt") and ran == 1
    assert statuses[-1] is api.Status.OK and len(statuses) == 2
    here = {"ENOBUFS": api.Status.LOCAL_FAILURE, "ENOMEM": api.Status.LOCAL_FAILURE}
    here["EHOSTUNREACH"] = api.Status.UNREACHABLE
    assert statuses[0] is here.get(error, api.Status.MOOT)


@pytest.mark.parametrize("call", ["send", "recv"])
@pytest.mark.parametrize("kind", CLASSES)
def test_short_reads_and_writes_change_nothing(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, kind: bytes, call: str
) -> None:
    answer, ran, statuses = plays(monkeypatch, caplog, kind, False, [fault(call, short=1)], 10)
    assert answer in (b"v", b"receipt") and ran == 1 and statuses == [api.Status.OK]


@pytest.mark.parametrize("error", ["EINTR", "EAGAIN"])
@pytest.mark.parametrize("call", ["send", "recv"])
@pytest.mark.parametrize("kind", CLASSES)
def test_a_call_that_is_interrupted_is_made_again(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, kind: bytes, call: str, error: str
) -> None:
    answer, ran, statuses = plays(monkeypatch, caplog, kind, False, [fault(call, error, times=3)])
    assert answer in (b"v", b"receipt") and ran == 1 and statuses == [api.Status.OK]


@pytest.mark.parametrize("kind", CLASSES)
async def test_a_wait_that_is_interrupted_goes_on(kind: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async with router(origin=lambda asked, line: http(200, b"receipt")) as bench:
        caller = await bench.caller()
        with SystemCallFaults(fault("epoll", "EINTR", times=20)) as injected:
            ask(caller, kind)
            assert await caller.answer() in (b"v", b"receipt")
            assert injected.count() >= 1
        assert runs(bench) == 1 and quiet(caplog, 0)


@pytest.mark.parametrize(
    ("error", "status"),
    [
        ("ETIMEDOUT", api.Status.CONNECT_FAILED),
        ("ECONNREFUSED", api.Status.CONNECT_FAILED),
        ("ECONNRESET", api.Status.MOOT),
        ("EHOSTUNREACH", api.Status.UNREACHABLE),
        ("ENETUNREACH", api.Status.UNREACHABLE),
        ("ENOBUFS", api.Status.LOCAL_FAILURE),
    ],
)
@pytest.mark.parametrize("kind", CLASSES)
def test_a_connect_that_ends_in_an_error_proves_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    kind: bytes,
    error: str,
    status: api.Status,
) -> None:
    refused = status is api.Status.CONNECT_FAILED
    connects = [fault("connect", error, times=1)]
    answer, ran, statuses = plays(monkeypatch, caplog, kind, False, connects, lines=1 if refused else 0)
    assert statuses[0] is status
    if refused and kind == b"read":  # its server has failed, and there is no other
        assert str(answer) == "BUSY" and ran == 0
    else:
        assert answer in (b"v", b"receipt") and ran == 1


def test_a_machine_that_can_t_write_blames_no_server(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Four connections in a row that broke before their last byte made a healthy server unreachable."""

    async def test() -> None:
        async with router() as bench:
            callers = [await bench.caller() for _ in range(10)]
            with SystemCallFaults(fault("send", "ENOBUFS", peer=bench.cache.address)) as faults:
                for n, caller in enumerate(callers):
                    ask(caller, b"read", b"i%d" % n, b"k%d" % n)
                    await asyncio.sleep(0.03)
                assert faults.count() >= 10
                server = bench.driver.balancer.roster.servers["c0"]
                assert (server.fails, server.breaks) == (0, 0)
            begun = asyncio.get_running_loop().time()
            assert [await caller.answer() for caller in callers] == [b"v"] * 10
            assert asyncio.get_running_loop().time() - begun < 0.1
            assert len(bench.cache.got) == 10
            assert quiet(caplog, 0)

    play(monkeypatch, test)


def test_a_fetch_whose_answer_can_t_be_read_is_made_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda asked, line: MISS) as bench:
            caller = await bench.caller()
            with SystemCallFaults(fault("recv", "ETIMEDOUT", peer=bench.origin.address, times=1)) as faults:
                caller.get()
                assert await caller.answer() == b"from origin"
                assert faults.count() == 1
            assert len(bench.origin.got) == 2

    play(monkeypatch, test)


def test_a_long_answer_that_breaks_is_seen_to_be_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    """It had begun to pass on: no second attempt, and the client sees by its length that it is not whole."""

    async def test() -> None:
        async with router(lambda asked, line: hit(b"x" * 300_000)) as bench:
            caller = await bench.caller()
            with SystemCallFaults(fault("recv", "EHOSTUNREACH", peer=bench.cache.address, from_call=3)):
                caller.get()
                assert await caller.answer() is None
            assert len(bench.cache.got) == 1 and not bench.driver.requests

    play(monkeypatch, test)
