"""Accepting goes on over failures of accept, as the listener serves and as it closes.

The clock is that of `virtual`: failures last and waits pass on it, however fast the machine is."""

import asyncio
import errno
import logging
import socket
from contextlib import ExitStack
from pathlib import Path

import pytest
from peers import PATIENCE, Bench, entry, hit, router, soon
from test_arrivals import WAIT, get, told
from test_closes import PING, PONG, Raw, raw
from test_descriptors import caller_at, program
from test_discovery import listing
from virtual import play

from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults, recorded
from applehub.node import accepting, arrivals, console
from applehub.node.console import Console

LACKS = ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"]  # of the machine, for all connections alike
BREAKS = [errno.errorcode[number] for number in sorted(accepting.BROKEN)]  # of one connection
OUTAGE = 0.1  # s
WITHIN = 0.05  # s of an outage's end in which accepting has to go on


def accept_fails(port: int, error: str, **when: float | int | None) -> SystemCallFaults:
    return SystemCallFaults(SystemCallFault("accept", error, local=f"*:{port}", **when))  # type: ignore[arg-type]


def complaints(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if record.levelno >= logging.WARNING]


def in_queue(stack: ExitStack, port: int, sent: list[bytes]) -> list[Raw]:
    """Clients whose connections and requests the system holds, before the router looks."""
    late = []
    for one in sent:
        client = Raw(port)
        stack.callback(client.line.close)
        client.line.sendall(one)
        late.append(client)
    return late


@pytest.mark.parametrize("error", LACKS)
def test_accepting_goes_on_right_after_a_lack_of_resources(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str
) -> None:
    """It went on after 1 s, with a line and a planned try for each of the tries of a turn."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            with ExitStack() as stack, accept_fails(bench.port, error, for_s=OUTAGE) as faults:
                clients = in_queue(stack, bench.port, [PING] * 20)
                begun = loop.time()
                for one in clients:
                    assert await one.read() == PONG
                assert loop.time() - begun <= OUTAGE + WITHIN
                assert 1 <= faults.count("accept", error) <= 1 + OUTAGE / accepting.RETRY
        assert len(complaints(caplog)) == 1 and error_text(error) in complaints(caplog)[0]

    play(monkeypatch, test)


def error_text(error: str) -> str:
    return SystemCallFault("accept", error).failure().strerror or ""


def test_an_outage_is_logged_once_and_the_next_again(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with router() as bench:
            for outage in (1, 2):
                with ExitStack() as stack, accept_fails(bench.port, "EMFILE", for_s=5.0):
                    (client,) = in_queue(stack, bench.port, [PING])
                    assert await client.read() == PONG
                    assert len(complaints(caplog)) == outage
                    await asyncio.sleep(2 * accepting.OUTAGE_APART)

    play(monkeypatch, test)


@pytest.mark.parametrize("end", ["close", "hand_over"])
def test_nothing_is_tried_after_the_listener_has_closed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, end: str
) -> None:
    """A try that was planned came to a descriptor that was closed, or by then another's."""

    async def test() -> None:
        async with router() as bench:
            with ExitStack() as stack, accept_fails(bench.port, "ENFILE") as faults:
                in_queue(stack, bench.port, [PING])
                await soon(lambda: faults.count("accept"))
                getattr(bench.clients, end)()
                tried = faults.count("accept")
                stack.enter_context(socket.create_server(("127.0.0.1", 0)))  # takes the descriptor
                await asyncio.sleep(3)
                assert faults.count("accept") == tried
        assert len(complaints(caplog)) == 1

    play(monkeypatch, test)


@pytest.mark.parametrize("error", BREAKS)
async def test_a_connection_that_broke_in_the_queue_ends_no_turn(
    caplog: pytest.LogCaptureFixture, error: str
) -> None:
    """ECONNABORTED ended the turn; the others did, with a traceback in the log."""
    looks, turns = arrivals.looks_of_running_loop(), []
    listener = socket.create_server(("127.0.0.1", 0))

    def make(since: int) -> asyncio.Protocol:
        turns.append(looks.turn)
        return asyncio.Protocol()

    with ExitStack() as stack, accept_fails(listener.getsockname()[1], error, times=3) as faults:
        in_queue(stack, listener.getsockname()[1], [b""] * 5)
        acceptor = accepting.Acceptor(listener, make, 8)
        await soon(lambda: turns)
        assert len(turns) == 5 and len(set(turns)) == 1
        assert faults.count("accept", error) == 3
        acceptor.close()
        await acceptor.brought()
    assert not complaints(caplog)


def test_who_waited_through_an_outage_has_lost_that_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The looks of an outage do not watch the listener: they tell nothing of who waits there."""
    monkeypatch.setattr(arrivals, "silent_for", lambda line: None)  # the system's clock is another one

    async def test() -> None:
        async with router(sockets=256) as bench:
            with ExitStack() as stack, accept_fails(bench.port, "ENFILE", for_s=0.5):
                requests = [get(b"first"), *[PING] * 20, get(b"last")]  # more than one turn takes
                for one in in_queue(stack, bench.port, requests):
                    await one.read()
            assert set(told(bench)) == {b"first", b"last"}
            assert all(WAIT - 500 - 60 <= time <= WAIT - 500 for time in told(bench).values())

    play(monkeypatch, test)


def test_an_inherited_listener_outlives_an_outage_and_its_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is the platform's: what waits there is another process's once this one has closed it."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as platform, ExitStack() as stack:
            port = platform.getsockname()[1]
            acceptor = accepting.Acceptor(platform.dup(), lambda since: asyncio.Protocol(), 8, inherited=True)
            with accept_fails(port, "EMFILE") as faults:
                in_queue(stack, port, [b"waits"])
                await soon(lambda: faults.count("accept"))
                acceptor.close()
            platform.setblocking(False)
            line, _ = platform.accept()
            assert line.recv(100) == b"waits"
            line.close()

    play(monkeypatch, test)


SHUT: dict[str, dict[str, float]] = {"one call": {"times": 1}, "0.2 s": {"for_s": 0.2}}


async def shut(bench: Bench) -> None:
    await bench.clients.shut(1.0)


@pytest.mark.parametrize("when", SHUT.values(), ids=SHUT)
@pytest.mark.parametrize("error", ["ECONNABORTED", "EPROTO", *LACKS])
def test_who_stands_in_the_queue_behind_a_failure_as_it_closes_is_answered(
    monkeypatch: pytest.MonkeyPatch, error: str, when: dict[str, float]
) -> None:
    """One failing accept ended the last look: 0 of 5 were answered."""

    async def test() -> None:
        async with router(lambda asked, line: hit(asked[2])) as bench:
            with ExitStack() as stack, accept_fails(bench.port, error, **when) as faults:
                late = in_queue(stack, bench.port, [get(b"j%d" % n) for n in range(5)])
                await shut(bench)  # in the turn in which they came
                assert faults.count("accept", error) >= 1
                assert [await one.all() for one in late] == [b"$2\r\nj%d\r\n" % n for n in range(5)]
            assert not bench.clients.accepting

    play(monkeypatch, test)


def test_a_client_that_was_accepted_as_the_last_one_left_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The listener took itself for empty between the accept and the arrival at a connection of its own."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router(lambda asked, line: None) as bench, raw(bench):
            (last,) = bench.clients.open
            acceptor, transport = bench.clients._acceptor, last.transport
            assert acceptor is not None and transport is not None
            client = Raw(bench.port)
            client.line.sendall(get())
            while not acceptor.coming:
                await asyncio.sleep(0)
            bench.clients.hand_over()
            transport.abort()
            begun = loop.time()
            await bench.clients.emptied(0.5)
            assert loop.time() - begun == 0.5 and bench.cache.got
            bench.cache.lines[0].write(hit())
            assert await client.all() == b"$1\r\nv\r\n"
            client.line.close()
            await bench.clients.emptied(60)
            assert loop.time() - begun < 60

    play(monkeypatch, test)


def test_more_than_a_turn_takes_are_let_in_as_the_listener_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(lambda asked, line: hit(asked[2]), sockets=256) as bench:
            with ExitStack() as stack:
                late = in_queue(stack, bench.port, [PING] * 60 + [get(b"last")])
                await bench.clients.shut()
                assert [await one.all() for one in late] == [PONG] * 60 + [b"$4\r\nlast\r\n"]

    play(monkeypatch, test)


def test_a_failure_that_lasts_holds_a_close_up_for_its_patience_alone(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with router() as bench:
            with ExitStack() as stack, accept_fails(bench.port, "EMFILE") as faults:
                in_queue(stack, bench.port, [PING])
                begun = loop.time()
                await shut(bench)
                assert 1.0 - accepting.RETRY <= loop.time() - begun <= 1.0
                tried = faults.count("accept")
                await asyncio.sleep(3)
                assert faults.count("accept") == tried and not bench.clients.accepting
        assert len(complaints(caplog)) == 1

    play(monkeypatch, test)


async def test_the_program_lets_in_who_waits_through_its_stop(tmp_path: Path) -> None:
    """The outage begins as the client comes and lasts past the last look, which SIGTERM leaves 0.5 s to."""
    outage = SystemCallFault("accept", "ENFILE", for_s=1.0)
    async with program(tmp_path, 1024, faults=[outage], known=listing(3, entry("c0", "127.0.0.1:1"))) as (
        running,
        addresses,
        lines,
    ):
        caller = await caller_at(addresses["listening on"])
        caller.send(b"PING")
        await soon(lambda: [line for line in lines if "accept fails" in line])
        running.terminate()
        assert await caller.answer() == b"PONG" and await caller.answer() is None
        assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
        assert len([line for line in lines if "accept" in line]) == 1
    assert recorded(tmp_path / "injected")["accept", "ENFILE"] >= 2


@pytest.mark.parametrize("error", [*LACKS, "ECONNABORTED", "ENETDOWN"])
def test_operators_are_answered_right_after_an_outage(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error: str
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        served = Console({"HEALTH": lambda _: "+OK"})
        _, port = await served.listen("127.0.0.1", 0)
        with ExitStack() as stack, accept_fails(port, error, for_s=OUTAGE) as faults:
            callers = in_queue(stack, port, [b"HEALTH\n"] * (console.MOST_CALLERS + 4))
            begun = loop.time()
            assert [await one.all() for one in callers] == [b"+OK\n"] * len(callers)
            assert loop.time() - begun <= OUTAGE + WITHIN and faults.count("accept") >= 1
            served.close()
        assert len(complaints(caplog)) <= 1

    play(monkeypatch, test)
