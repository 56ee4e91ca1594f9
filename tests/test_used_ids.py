"""Ids of requests that come again: after their client has left, and at the other process of a router."""

import asyncio
import errno
import logging
import os
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from router_bench import Bench, Caller, entry, hit, http, router, wait_until
from test_descriptors import connect_client, running_program
from test_discovery import listing
from virtual_time import run_in_virtual_time

from applehub.node.used_ids import (
    BUCKET_SIZE,
    BUCKETS,
    FILE_NAME,
    RECORDS_PER_BUCKET,
    RETENTION,
    FileStorage,
    IdTable,
    MemoryStorage,
    UsedIds,
)

SECOND = 1_000_000_000
RETENTION_NS = int(RETENTION * SECOND)
ANSWER_DELAY = 0.3  # seconds after which the origin answers
PUT, ONCE = b"c=put,t=acme,d=9000,k=1", b"c=once,t=acme,d=9000"


def digest(number: int, bucket: int = 1) -> bytes:
    return bucket.to_bytes(4, "little") + number.to_bytes(12, "little")


def test_id_is_known_until_it_expires_or_is_removed() -> None:
    table = IdTable(MemoryStorage())
    table.add(digest(1), 5)
    assert table.contains(digest(1), 5) and not table.contains(digest(2), 5)
    assert table.contains(digest(1), 4 + RETENTION_NS) and not table.contains(digest(1), 5 + RETENTION_NS)
    table.remove(digest(1))
    assert not table.contains(digest(1), 5)


def test_oldest_id_of_full_bucket_is_forgotten() -> None:
    table = IdTable(MemoryStorage())
    for number in range(RECORDS_PER_BUCKET):
        table.add(digest(number + 1), number)
    table.add(digest(1), RECORDS_PER_BUCKET)  # again; takes no other record
    table.add(digest(100), RECORDS_PER_BUCKET + 1)
    known = [number for number in (*range(1, 9), 100) if table.contains(digest(number), 20)]
    assert known == [1, 3, 4, 5, 6, 7, 8, 100]


def test_record_of_earlier_boot_is_ignored() -> None:
    table = IdTable(MemoryStorage())
    table.add(digest(1), 1000 * RETENTION_NS)
    assert not table.contains(digest(1), RETENTION_NS)


def test_file_has_fixed_size_and_is_shared(tmp_path: Path) -> None:
    first, second = IdTable(FileStorage(str(tmp_path))), IdTable(FileStorage(str(tmp_path)))
    for number in range(100):
        first.add(digest(number, bucket=number * 37), 1)
    first.add(digest(1, bucket=BUCKETS - 1), 1)
    assert all(second.contains(digest(number, bucket=number * 37), 1) for number in range(100))
    assert (tmp_path / FILE_NAME).stat().st_size <= BUCKETS * BUCKET_SIZE


def test_failing_file_is_logged_once_and_own_ids_stay_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fail(*_: Any) -> int:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    ids = UsedIds()
    ids.share(str(tmp_path))
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", fail)
        patch.setattr(os, "pread", fail)
        for name in (b"i1", b"i2"):
            ids.add(name, 1)
        assert ids.contains(b"i1", 1) and not ids.contains(b"i3", 1)
    assert caplog.text.count("sharing the ids") == 1
    ids.add(b"i4", 1)
    assert ids.contains(b"i4", 1)


def test_ids_are_kept_if_folder_cannot_be_used(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.WARNING, logger="applehub")
    ids = UsedIds()
    ids.share(str(tmp_path / "none"))
    ids.add(b"i1", 1)
    assert ids.contains(b"i1", 1) and "not shared" in caplog.text


async def send_write(caller: Caller, info: bytes) -> None:
    caller.send(b"C.SET", b"k", b"i1", info, b"v")


def origin_after(delay: float, answer: bytes) -> Callable[[Any, asyncio.StreamWriter], None]:
    """Returns an origin that answers each request after a delay."""

    def respond(request: Any, writer: asyncio.StreamWriter) -> None:
        asyncio.get_running_loop().call_later(delay, writer.write, answer)

    return respond


# Guards against a write that runs twice, because its id comes again after its client has left.
@pytest.mark.parametrize("pause", [0.1, 0.5, 5.0, RETENTION - 10])
@pytest.mark.parametrize("info", [PUT, ONCE], ids=["keyed", "unsafe"])
def test_id_that_comes_again_after_its_client_left_is_not_executed(
    monkeypatch: pytest.MonkeyPatch, info: bytes, pause: float
) -> None:
    async def test() -> None:
        async with router(origin=origin_after(ANSWER_DELAY, http(200, b"receipt"))) as bench:
            caller = await bench.caller()
            await send_write(caller, info)
            await wait_until(lambda: bench.origin.received)
            caller.writer.close()
            await asyncio.sleep(pause)
            other = await bench.caller()
            await send_write(other, info)
            assert str(await other.answer()) == "ERR this id is in use"
            assert len(bench.origin.received) == 1

    run_in_virtual_time(monkeypatch, test)


def test_id_of_answered_write_is_not_executed_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router(origin=lambda request, writer: http(200, b"receipt")) as bench:
            caller = await bench.caller()
            await send_write(caller, ONCE)
            assert await caller.answer() == b"receipt"
            await send_write(caller, ONCE)
            assert str(await caller.answer()) == "ERR this id is in use"
            await asyncio.sleep(RETENTION)
            await send_write(caller, ONCE)
            assert await caller.answer() == b"receipt"

    run_in_virtual_time(monkeypatch, test)


def test_id_of_write_that_never_ran_may_come_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        answers = iter([http(503, b"", b"X-Rejected: 1\r\n")] * 4)

        def reject_first(request: Any, writer: asyncio.StreamWriter) -> bytes:
            return next(answers, http(200, b"receipt"))

        async with router(origin=reject_first) as bench:
            bench.driver.balancer.settings.max_attempts = 4
            caller = await bench.caller()
            await send_write(caller, ONCE)
            assert str(await caller.answer()) == "BUSY"
            await asyncio.sleep(1)
            answers = iter([])
            await send_write(caller, ONCE)
            assert await caller.answer() == b"receipt"

    run_in_virtual_time(monkeypatch, test)


def test_read_that_is_idempotent_may_come_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with router() as bench:
            caller = await bench.caller()
            for _ in range(2):
                caller.get()
                assert await caller.answer() == b"v"

    run_in_virtual_time(monkeypatch, test)


# Guards against a request that runs twice, because its long answer was given up or no client waited for it.
@pytest.mark.parametrize("end", ["shutdown", "client left"])
def test_id_of_request_whose_long_answer_is_dropped_is_not_executed_again(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    async def test() -> None:
        def begin_long_answer(request: Any, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(ANSWER_DELAY, writer.write, hit(bytes(100_000))[:10_000])

        async with router(begin_long_answer) as bench:
            caller = await bench.caller()
            caller.get(info=ONCE)
            caller.send(b"PING")  # an answer behind it, for which the long answer is collected
            await wait_until(lambda: bench.cache.received)
            if end == "client left":
                caller.writer.close()
                await wait_until(lambda: not bench.driver.requests)
            else:
                await wait_until(lambda: bench.driver.requests["i1"].stream)
                bench.driver._fail_all()
                assert str(await caller.answer()) == "ERR failed"
            other = await bench.caller()
            other.get(info=ONCE)
            assert str(await other.answer()) == "ERR this id is in use"
            assert len(bench.cache.received) == 1

    run_in_virtual_time(monkeypatch, test)


@asynccontextmanager
async def two_processes(folder: Path) -> AsyncIterator[tuple[Bench, Bench]]:
    """Runs two routers that share a folder as the two processes of an upgrade do; they have one origin."""
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            router(origin=origin_after(ANSWER_DELAY, http(200, b"receipt")))
        )
        second = await stack.enter_async_context(
            router(
                entries=lambda cache, _: [
                    entry("c0", cache.address),
                    entry("o", first.origin.address, model="origin"),
                ]
            )
        )
        for bench in (first, second):
            bench.driver.used_ids.share(str(folder))
        yield first, second


# Guards against a write that runs at both processes of an upgrade.
@pytest.mark.parametrize("pause", [0.0, 0.1, 0.5, 5.0])
@pytest.mark.parametrize("info", [PUT, ONCE], ids=["keyed", "unsafe"])
def test_id_that_comes_again_at_other_process_is_not_executed(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, info: bytes, pause: float
) -> None:
    async def test() -> None:
        async with two_processes(tmp_path) as (first, second):
            caller = await first.caller()
            await send_write(caller, info)
            await wait_until(lambda: first.origin.received)
            caller.writer.close()
            await asyncio.sleep(pause)
            other = await second.caller()
            await send_write(other, info)
            assert str(await other.answer()) == "ERR this id is in use"
            assert len(first.origin.received) == 1

    run_in_virtual_time(monkeypatch, test)


async def test_program_shares_ids_through_its_temporary_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    async with router(origin=lambda request, writer: http(200, b"receipt")) as bench:
        known = listing(3, entry("c0", bench.cache.address), entry("o", bench.origin.address, model="origin"))
        for attempt in range(2):  # the second process starts after the first has ended
            async with running_program(tmp_path, 256, known=known, console="127.0.0.1:0") as (
                _,
                addresses,
                _,
            ):
                caller = await connect_client(addresses["INFO listening on"])
                await send_write(caller, ONCE)
                answer = str(await caller.answer())
                assert answer == ("b'receipt'", "ERR this id is in use")[attempt]
                caller.writer.close()
        assert len(bench.origin.received) == 1
