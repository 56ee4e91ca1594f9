"""Known-bad variants of the router, patched into its process at its start: each breaks one rule, and a check
that does not find it counts for nothing. Part of none but the ground."""

import asyncio
import os
from collections.abc import Callable, Iterator
from typing import Any

from applehub import interface as api
from applehub import settings
from applehub.node import resp
from applehub.node.call_schedule import CallSchedule
from applehub.node.discovery import Directory
from applehub.node.driver import Driver, Held
from applehub.node.figures import Answered
from applehub.node.http1 import Answer
from applehub.node.list_connection import ListConnection
from applehub.node.override_file import Override, OverrideFile
from applehub.node.start_times import ClockReading
from applehub.peers.member_table import MemberTable
from applehub.peers.record_store import RecordStore
from applehub.peers.records import Body, Record, RecordKey
from applehub.settings import Json

EVERY = 20  # requests, of which one is spoilt


def _spoil_answers(spoil: Callable[[Driver, Held, bytes, Answered, Any], None]) -> None:
    """Every so many answers go through `spoil`, which gets the right way to answer too."""
    right, count = Driver._answer, 0

    def answer(self: Driver, held: Held, answer: bytes, how: Answered) -> None:
        nonlocal count
        count += 1
        if count % EVERY:
            right(self, held, answer, how)
        else:
            spoil(self, held, answer, how, right)

    Driver._answer = answer  # type: ignore[method-assign]


def loses() -> None:
    """Forgets some answers."""
    _spoil_answers(lambda self, held, answer, how, right: self._close(held))


def answers_twice() -> None:
    """Gives some answers and then another one."""
    _spoil_answers(lambda self, held, answer, how, right: right(self, held, answer + resp.FAILED, how))


def answers_late() -> None:
    """Holds some answers back until their time is over."""

    def late(self: Driver, held: Held, answer: bytes, how: Answered, right: Any) -> None:
        self._close(held)
        wait = (held.call.wait or 0) / 1000 + 3600
        asyncio.get_running_loop().call_later(wait, right, self, held, answer, how)

    _spoil_answers(late)


def resends() -> None:
    """Takes every class for one that is safe to repeat."""
    right = settings.read_settings

    def read(info: Json) -> api.Settings:
        told = right(info)
        for one in told.classes:
            one.effect = api.Effect.SAFE
        return told

    settings.read_settings = read


def warms_at_once() -> None:
    """Takes a cold server for a warm one."""
    right = settings.read_settings

    def read(info: Json) -> api.Settings:
        told = right(info)
        told.cold_from, told.ramp_time = 1.0, 0
        return told

    settings.read_settings = read


def ignores_drains() -> None:
    """Goes on with a server that is draining."""
    right = Directory._target

    def target(self: Directory, entry: Json, now: ClockReading) -> Any:
        ready = {**entry, "state": "Ready"} if entry.get("state") == "Terminating" else entry
        return right(self, ready, now)

    Directory._target = target  # type: ignore[method-assign]


def goes_back() -> None:
    """Forgets which version of the list it holds, each second time that it hears of one."""
    right, heard = Directory.take, 0

    def take(self: Directory, answer: Any, cached: bool = False) -> bool:
        nonlocal heard
        known = right(self, answer, cached)
        heard += self.rev > 1
        if self.rev > 1 and heard % 2 == 0:
            self.rev = 1
        return known

    Directory.take = take  # type: ignore[method-assign]


def goes_deaf() -> None:
    """Asks for the list once, and never again."""
    right, asked = ListConnection.get, False

    async def get(self: ListConnection, target: str) -> Answer:
        nonlocal asked
        if asked:
            await asyncio.Event().wait()
        answer = await right(self, target)
        asked = True
        return answer

    ListConnection.get = get  # type: ignore[method-assign]


def forgets_calls() -> None:
    """Says yes to an operator's call and keeps it in memory alone."""

    def write(self: OverrideFile, server: str, out: bool) -> dict[str, Override]:
        return {server: Override(out, 1, 1)}

    OverrideFile.write = write  # type: ignore[method-assign]


def leaks() -> None:
    """Leaves a descriptor open for each request."""
    right = Driver.take

    def take(self: Driver, *more: Any) -> Any:
        os.open(os.devnull, os.O_RDONLY)
        return right(self, *more)

    Driver.take = take  # type: ignore[method-assign,assignment]


def fails() -> None:
    """Answers some requests with a failure, whatever came of them."""

    def fail(self: Driver, held: Held, answer: bytes, how: Answered, right: Any) -> None:
        right(self, held, resp.FAILED, Answered.ERRORS)

    _spoil_answers(fail)


def burns() -> None:
    """Needs much more processor time for each request."""
    right = Driver.take

    def take(self: Driver, *more: Any) -> Any:
        sum(range(200_000))
        return right(self, *more)

    Driver.take = take  # type: ignore[method-assign,assignment]


def works_for_nobody() -> None:
    """Goes on for a client that has left, and asks once more when an answer would have been due."""
    Driver.withdraw = lambda self, held: None  # type: ignore[method-assign]


def hears_late() -> None:
    """Leaves a silent watch alone for half a minute."""

    def due(self: CallSchedule, begun: float, hold: float, in_turn: bool, spread: float) -> float:
        return begun + 30.0

    CallSchedule.watch_due = due  # type: ignore[method-assign]


def crashes() -> None:
    """Ends in the midst of its service."""
    _spoil_answers(lambda self, held, answer, how, right: os._exit(3))


def never_buries() -> None:
    """Holds a router that has ended to be there for ever."""
    MemberTable.expire = lambda self, now: None  # type: ignore[method-assign]


def never_forgets() -> None:
    """Counts what it heard of others however old it is."""

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
