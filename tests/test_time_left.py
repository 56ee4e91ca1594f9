"""The time that an attempt tells its server is never more than its client has left when it is written."""

import asyncio
from typing import Any

import pytest
from peers import MISS, Bench, hit, http, router
from virtual import play

WAIT = 900  # ms that the clients of these tests allow


def time_told(info: bytes) -> int:
    """The milliseconds that a list of names and values tells as `d`."""
    fields = dict(one.split(b"=") for one in info.split(b","))
    return int(fields[b"d"])


def told_to_origin(bench: Bench) -> list[int]:
    return [time_told(headers[b"x-call-info"]) for _, _, headers, _ in bench.origin.got]


def test_a_fetch_after_a_late_miss_is_told_what_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """The origin was told the client's list as it came: 900 ms, where 400 were left."""

    async def test() -> None:
        def late_miss(asked: Any, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.5, writer.write, MISS)

        async with router(late_miss) as bench:
            caller = await bench.caller()
            caller.get(info=b"c=read,t=acme,d=%d" % WAIT)
            assert await caller.answer() == b"from origin"
            (told,) = told_to_origin(bench)
            assert 380 <= told <= WAIT - 500

    play(monkeypatch, test)


def test_a_write_sent_again_to_the_origin_is_told_what_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        answers = [http(503, b"", b"X-Rejected: 1\r\n"), http(200, b"receipt")]

        def late(asked: Any, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.3, writer.write, answers.pop(0))

        async with router(origin=late) as bench:
            caller = await bench.caller()
            caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=%d,k=77" % WAIT, b"value")
            assert await caller.answer() == b"receipt"
            first, second = told_to_origin(bench)
            assert first <= WAIT and second <= WAIT - 300

    play(monkeypatch, test)


async def test_the_origin_is_told_the_deadline_of_the_class_where_the_client_tells_none() -> None:
    async with router(lambda asked, line: MISS) as bench:
        caller = await bench.caller()
        caller.get(info=b"c=read,t=acme")
        assert await caller.answer() == b"from origin"
        (told,) = told_to_origin(bench)
        assert 9_000 < told <= 10_000  # the class waits 10 s


async def test_all_but_the_time_reaches_the_origin_as_it_came() -> None:
    async with router(lambda asked, line: MISS) as bench:
        caller = await bench.caller()
        caller.get(info=b"size=7,c=read,d=900,t=acme,r=1")
        assert await caller.answer() == b"from origin"
        info = bench.origin.got[0][2][b"x-call-info"]
        names = [one.split(b"=")[0] for one in info.split(b",")]
        assert names == [b"size", b"c", b"d", b"t", b"r"]
        assert [one for one in info.split(b",") if not one.startswith(b"d=")] == [
            b"size=7", b"c=read", b"t=acme", b"r=1",
        ]  # fmt: skip


async def test_a_cache_server_is_told_no_more_than_the_client_allows() -> None:
    async with router(lambda asked, line: hit()) as bench:
        caller = await bench.caller()
        caller.get(info=b"c=read,t=acme,d=%d" % WAIT)
        assert await caller.answer() == b"v"
        assert time_told(bench.cache.got[0][3]) <= WAIT
