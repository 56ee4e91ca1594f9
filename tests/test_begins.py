"""Whether an attempt that waits for its connection still begins: its server may drain by then, its client be
gone, its repeat's window be over. The connection comes up at a moment that the test holds."""

import asyncio
import time
from typing import Any

import pytest
from peers import MISS, Bench, entry, hit, router
from virtual import play

from applehub import interface as api
from applehub.node.pool import Connection, Pool

DIAL = 1.5  # s that a connection to a cache server may take to come up


def slow_dials(monkeypatch: pytest.MonkeyPatch, delay: float = DIAL) -> list[int]:
    """From now on each connection to a server takes so long; gives the ports dialled, in order."""
    dial = Pool._dial
    dialled: list[int] = []

    async def slowly(pool: Pool, connection: Connection) -> None:
        dialled.append(pool.endpoint[1])
        await asyncio.sleep(delay)
        await dial(pool, connection)

    monkeypatch.setattr(Pool, "_dial", slowly)
    return dialled


def change(bench: Bench, rev: int, **fields: Any) -> None:
    told = entry("c0", bench.cache.address, **fields)
    bench.directory.apply({"rev": rev, "all": False, "targets": [told]})


@pytest.mark.parametrize(
    "how", [{"state": "Terminating"}, {"state": "Gone"}, {"endpoint": "127.0.0.1:1"}], ids=str
)
@pytest.mark.parametrize("late", [0.0, 0.7, 1.49])
def test_nothing_begins_at_a_server_that_drains_while_its_dial_lasts(
    monkeypatch: pytest.MonkeyPatch, how: dict[str, str], late: float
) -> None:
    """A drain told during a dial: the attempt was written when that came up, up to 1.5 s later."""

    async def test() -> None:
        slow_dials(monkeypatch)
        async with router() as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(late)
            change(bench, 6, **how)
            # Nothing ran: it is refused, or read from the origin, and never waits for that dial.
            begun = asyncio.get_running_loop().time()
            answer = await caller.answer()
            assert answer == b"from origin" or str(answer).startswith("BUSY")
            assert asyncio.get_running_loop().time() - begun <= DIAL + 0.1
            await asyncio.sleep(2 * DIAL)
            assert not bench.cache.got
            assert all(pool.connections == set() for name, pool in bench.pools.pools.items() if name != "o")

    play(monkeypatch, test)


def test_what_a_drain_hands_back_goes_where_the_new_list_leads(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pools were told first: what they gave back was decided on by the list of before."""

    async def test() -> None:
        slow_dials(monkeypatch)
        two = ["c0", "c1"]
        async with router(entries=lambda cache, _: [entry(name, cache.address) for name in two]) as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(0.5)
            (first,) = [name for name, pool in bench.pools.pools.items() if pool.connections]
            gone = entry(first, bench.cache.address, state="Terminating")
            bench.directory.apply({"rev": 6, "all": False, "targets": [gone]})
            assert await caller.answer() == b"v"
            (other,) = [name for name, pool in bench.pools.pools.items() if pool.connections]
            assert other != first and len(bench.cache.got) == 1

    play(monkeypatch, test)


def test_nothing_begins_at_a_server_left_out_by_hand_meanwhile(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        slow_dials(monkeypatch)
        async with router() as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(0.5)
            bench.driver.notify(api.ByHand("c0", True, 1))
            bench.directory.set_excluded("c0", True)
            answer = await caller.answer()
            assert answer == b"from origin" or str(answer).startswith("BUSY")
            await asyncio.sleep(2 * DIAL)
            assert not bench.cache.got

    play(monkeypatch, test)


@pytest.mark.parametrize("late", [0.0, 0.7, 1.49])
@pytest.mark.parametrize("write", [False, True])
def test_nothing_begins_for_a_client_that_has_left_while_its_connection_comes_up(
    monkeypatch: pytest.MonkeyPatch, write: bool, late: float
) -> None:
    """Its attempt was written when the dial came up, up to 1.5 s after the client had gone."""

    async def test() -> None:
        slow_dials(monkeypatch)
        async with router() as bench:
            caller = await bench.caller()
            if write:
                caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            else:
                caller.get()
            await asyncio.sleep(late)
            caller.writer.close()
            await asyncio.sleep(2 * DIAL)
            assert not bench.cache.got and not bench.origin.got and not bench.driver.requests
            # It can be used again by who comes after.
            other = await bench.caller()
            other.get(name=b"i2")
            assert await other.answer() == b"v"

    play(monkeypatch, test)


@pytest.mark.parametrize("window", [1.0, 2.0])
def test_a_repeat_does_not_begin_once_the_window_of_its_first_attempt_is_over(
    monkeypatch: pytest.MonkeyPatch, window: float
) -> None:
    """The decision was made within the window and its dial outlasted it: the write ran twice."""

    async def test() -> None:
        async with router(origin=lambda asked, line: line.transport.abort()) as bench:
            settings = bench.driver.balancer.settings
            settings.classes[1].window = int(window * 1e9)
            caller = await bench.caller()
            begun = time.monotonic_ns()
            caller.send(b"C.SET", b"k", b"i1", b"c=put,t=acme,d=9000,k=1", b"value")
            await asyncio.sleep(0.01)
            assert len(bench.origin.got) == 1
            dialled = slow_dials(monkeypatch)
            answer = await caller.answer()
            assert dialled and str(answer) in ("ERR failed", "BUSY")
            assert len(bench.origin.got) == (1 if window < DIAL else 2)
            assert time.monotonic_ns() - begun < 9e9

    play(monkeypatch, test)


def test_an_origin_read_whose_connection_broke_before_it_was_written_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(lambda asked, line: MISS) as bench:
            dial = Pool._dial
            broken: list[Connection] = []

            async def breaks_once(pool: Pool, connection: Connection) -> None:
                if pool is bench.pools.pools["o"] and not broken:
                    broken.append(connection)
                    connection.accepted = True
                    connection.handle_loss()
                    return
                await dial(pool, connection)

            monkeypatch.setattr(Pool, "_dial", breaks_once)
            caller = await bench.caller()
            caller.get()
            assert await caller.answer() == b"from origin"
            assert len(broken) == 1 and len(bench.origin.got) == 1

    play(monkeypatch, test)


def test_an_attempt_that_has_begun_is_finished_though_its_server_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with router(lambda asked, line: None) as bench:
            caller = await bench.caller()
            caller.get()
            await asyncio.sleep(0.01)
            change(bench, 6, state="Terminating")
            await asyncio.sleep(1.0)
            bench.cache.lines[0].write(hit())
            assert await caller.answer() == b"v"

    play(monkeypatch, test)


def test_departures_during_a_slow_dial_to_the_origin_say_nothing_of_its_health(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each counted as a read that the origin failed, and a burst of them turned the throttle on."""

    async def test() -> None:
        async with router(lambda asked, line: MISS) as bench:
            dial = Pool._dial

            async def slow_origin(pool: Pool, connection: Connection) -> None:
                if pool is bench.pools.pools["o"]:
                    await asyncio.sleep(DIAL)
                await dial(pool, connection)

            monkeypatch.setattr(Pool, "_dial", slow_origin)
            monitor = bench.driver.balancer.monitor
            for n in range(40):
                caller = await bench.caller()
                caller.get(b"k%d" % n, b"i%d" % n)
                await asyncio.sleep(0.05)
                caller.writer.close()
                await asyncio.sleep(0.01)
                assert monitor.bad == 0 and monitor.throttle is None
            assert not bench.origin.got and not bench.driver.requests

    play(monkeypatch, test)
