"""The remaining time sent with an attempt never exceeds the time that its client still waits."""

import asyncio
from typing import Any

import pytest
from router_bench import MISS, Bench, hit, http, router
from virtual_time import run_in_virtual_time

CLIENT_TIMEOUT_MS = 900  # time that the clients allow for a request


def remaining_ms(info: bytes) -> int:
    """Returns the value of the field `d`, in milliseconds, of a list of names and values."""
    values = dict(field.split(b"=") for field in info.split(b","))
    return int(values[b"d"])


def remaining_ms_at_origin(bench: Bench) -> list[int]:
    return [remaining_ms(headers[b"x-call-info"]) for _, _, headers, _ in bench.origin.received]


def test_fetch_after_a_late_miss_carries_the_remaining_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The router must not forward the client's time field unchanged."""

    async def test() -> None:
        def late_miss(request: Any, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.5, writer.write, MISS)

        async with router(late_miss) as bench:
            caller = await bench.caller()
            caller.get(info=b"c=read,t=acme,d=%d" % CLIENT_TIMEOUT_MS)
            assert await caller.answer() == b"from origin"
            (remaining,) = remaining_ms_at_origin(bench)
            assert 380 <= remaining <= CLIENT_TIMEOUT_MS - 500

    run_in_virtual_time(monkeypatch, test)


def test_retried_write_carries_the_remaining_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        answers = [http(503, b"", b"X-Rejected: 1\r\n"), http(200, b"receipt")]

        def answer_late(request: Any, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.3, writer.write, answers.pop(0))

        async with router(origin=answer_late) as bench:
            caller = await bench.caller()
            caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=%d,k=77" % CLIENT_TIMEOUT_MS, b"value")
            assert await caller.answer() == b"receipt"
            first, second = remaining_ms_at_origin(bench)
            assert first <= CLIENT_TIMEOUT_MS and second <= CLIENT_TIMEOUT_MS - 300

    run_in_virtual_time(monkeypatch, test)


async def test_origin_gets_the_class_deadline_if_the_client_sends_none() -> None:
    async with router(lambda request, writer: MISS) as bench:
        caller = await bench.caller()
        caller.get(info=b"c=read,t=acme")
        assert await caller.answer() == b"from origin"
        (remaining,) = remaining_ms_at_origin(bench)
        assert 9_000 < remaining <= 10_000  # the deadline of the class is 10 s


async def test_fields_other_than_the_remaining_time_reach_the_origin_unchanged() -> None:
    async with router(lambda request, writer: MISS) as bench:
        caller = await bench.caller()
        caller.get(info=b"size=7,c=read,d=900,t=acme,r=1")
        assert await caller.answer() == b"from origin"
        info = bench.origin.received[0][2][b"x-call-info"]
        names = [field.split(b"=")[0] for field in info.split(b",")]
        assert names == [b"size", b"c", b"d", b"t", b"r"]
        assert [field for field in info.split(b",") if not field.startswith(b"d=")] == [
            b"size=7", b"c=read", b"t=acme", b"r=1",
        ]  # fmt: skip


async def test_cache_server_gets_at_most_the_time_that_the_client_allows() -> None:
    async with router(lambda request, writer: hit()) as bench:
        caller = await bench.caller()
        caller.get(info=b"c=read,t=acme,d=%d" % CLIENT_TIMEOUT_MS)
        assert await caller.answer() == b"v"
        assert remaining_ms(bench.cache.received[0][3]) <= CLIENT_TIMEOUT_MS
