"""Known-bad variants of the router, patched into its process at its start for tests of the checks.

Each variant breaks one rule that a check must detect."""

import asyncio
import os
from collections.abc import Callable, Iterator
from typing import Any

from applehub import interface as api
from applehub import settings
from applehub.node import resp
from applehub.node.call_schedule import CallSchedule
from applehub.node.discovery import Directory
from applehub.node.driver import Driver
from applehub.node.http1 import HttpResponse
from applehub.node.list_connection import ListConnection
from applehub.node.metrics import ResponseResult
from applehub.node.override_file import Override, OverrideFile
from applehub.node.pending_request import PendingRequest
from applehub.node.start_times import ClockReading
from applehub.peers.member_table import MemberTable
from applehub.peers.record_store import RecordStore
from applehub.peers.records import Body, Record, RecordKey
from applehub.settings import Json

REPLACED_ANSWER_INTERVAL = 20  # every n-th answer is replaced


def _replace_answers(
    replace_answer: Callable[[Driver, PendingRequest, bytes, ResponseResult, Any], None],
) -> None:
    """Passes every n-th answer to `replace_answer`, together with the original method."""
    original, count = Driver._answer, 0

    def answer(self: Driver, request: PendingRequest, answer: bytes, outcome: ResponseResult) -> None:
        nonlocal count
        count += 1
        if count % REPLACED_ANSWER_INTERVAL:
            original(self, request, answer, outcome)
        else:
            replace_answer(self, request, answer, outcome, original)

    Driver._answer = answer  # type: ignore[method-assign]


def loses() -> None:
    """Closes some connections instead of answering."""
    _replace_answers(lambda self, request, answer, outcome, original: self._close(request))


def answers_twice() -> None:
    """Sends a second answer after some answers."""
    _replace_answers(
        lambda self, request, answer, outcome, original: original(
            self, request, answer + resp.FAILED, outcome
        )
    )


def answers_late() -> None:
    """Delays some answers until long after their deadline."""

    def answer_late(
        self: Driver, request: PendingRequest, answer: bytes, outcome: ResponseResult, original: Any
    ) -> None:
        self._close(request)
        delay_s = (request.call.wait_ms or 0) / 1000 + 3600
        asyncio.get_running_loop().call_later(delay_s, original, self, request, answer, outcome)

    _replace_answers(answer_late)


def resends() -> None:
    """Treats every class as idempotent."""
    original = settings.read_settings

    def read(info: Json) -> api.Settings:
        loaded = original(info)
        for cls in loaded.classes:
            cls.effect = api.Effect.SAFE
        return loaded

    settings.read_settings = read


def warms_at_once() -> None:
    """Skips slow start: treats a server that is warming up as warm."""
    original = settings.read_settings

    def read(info: Json) -> api.Settings:
        loaded = original(info)
        loaded.slow_start_capacity, loaded.slow_start_time = 1.0, 0
        return loaded

    settings.read_settings = read


def ignores_drains() -> None:
    """Keeps sending requests to a server that is draining."""
    original = Directory._parse_entry

    def parse_entry(self: Directory, entry: Json, now: ClockReading) -> Any:
        ready = {**entry, "state": "Ready"} if entry.get("state") == "Terminating" else entry
        return original(self, ready, now)

    Directory._parse_entry = parse_entry  # type: ignore[method-assign]


def goes_back() -> None:
    """Resets the version of the list to 1 on every second list that it receives."""
    original, received = Directory.apply, 0

    def apply(self: Directory, answer: Any, cached: bool = False) -> bool:
        nonlocal received
        result = original(self, answer, cached)
        received += self.rev > 1
        if self.rev > 1 and received % 2 == 0:
            self.rev = 1
        return result

    Directory.apply = apply  # type: ignore[method-assign]


def goes_deaf() -> None:
    """Polls the list once and never again."""
    original, polled = ListConnection.get, False

    async def get(self: ListConnection, target: str) -> HttpResponse:
        nonlocal polled
        if polled:
            await asyncio.Event().wait()
        answer = await original(self, target)
        polled = True
        return answer

    ListConnection.get = get  # type: ignore[method-assign]


def forgets_calls() -> None:
    """Acknowledges an operator override but keeps it in memory only."""

    def write(self: OverrideFile, server: str, offline: bool) -> dict[str, Override]:
        return {server: Override(offline, 1, 1)}

    OverrideFile.write = write  # type: ignore[method-assign]


def leaks() -> None:
    """Leaves a descriptor open for each request."""
    original = Driver.accept

    def accept(self: Driver, *arguments: Any) -> Any:
        os.open(os.devnull, os.O_RDONLY)
        return original(self, *arguments)

    Driver.accept = accept  # type: ignore[method-assign,assignment]


def fails() -> None:
    """Answers some requests with a failure, whatever their result."""

    def fail(
        self: Driver, request: PendingRequest, answer: bytes, outcome: ResponseResult, original: Any
    ) -> None:
        original(self, request, resp.FAILED, ResponseResult.ERRORS)

    _replace_answers(fail)


def burns() -> None:
    """Uses much more CPU time for each request."""
    original = Driver.accept

    def accept(self: Driver, *arguments: Any) -> Any:
        sum(range(200_000))
        return original(self, *arguments)

    Driver.accept = accept  # type: ignore[method-assign,assignment]


def works_for_nobody() -> None:
    """Keeps processing and retrying requests of a client that has left."""
    Driver.cancel = lambda self, request: None  # type: ignore[method-assign]


def hears_late() -> None:
    """Waits 30 s before it gives up an unresponsive watch."""

    def watch_due(self: CallSchedule, started_at: float, hold: float, queued: bool, jitter: float) -> float:
        return started_at + 30.0

    CallSchedule.watch_due = watch_due  # type: ignore[method-assign]


def crashes() -> None:
    """Exits while it serves requests."""
    _replace_answers(lambda self, request, answer, outcome, original: os._exit(3))


def never_buries() -> None:
    """Never expires a router that has ended from the member table."""
    MemberTable.expire = lambda self, now: None  # type: ignore[method-assign]


def never_forgets() -> None:
    """Uses gossip records of any age."""

    def fresh_records(self: RecordStore, body_type: type[Body], subject: int, now: int) -> Iterator[Record]:
        writers = self.writers.get((body_type, subject), ())
        return (self.records[RecordKey(body_type, subject, writer)] for writer in writers)

    RecordStore.fresh_records = fresh_records  # type: ignore[method-assign]
    RecordStore.expire = lambda self, now: []  # type: ignore[method-assign]


VARIANTS: dict[str, Callable[[], None]] = {
    "loses": loses,
    "answers-twice": answers_twice,
    "answers-late": answers_late,
    "resends": resends,
    "warms-at-once": warms_at_once,
    "ignores-drains": ignores_drains,
    "goes-back": goes_back,
    "goes-deaf": goes_deaf,
    "forgets-calls": forgets_calls,
    "leaks": leaks,
    "fails": fails,
    "burns": burns,
    "crashes": crashes,
    "works-for-nobody": works_for_nobody,
    "hears-late": hears_late,
    "never-buries": never_buries,
    "never-forgets": never_forgets,
}


def install(name: str) -> None:
    VARIANTS[name]()
