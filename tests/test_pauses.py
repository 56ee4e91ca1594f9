"""Each time limit of a request from both sides: a sound server just below it, a silent one just above it.

Every case gives a response up to a position, lets the server rest until shortly before or after a limit, and
gives the rest at once. The settings are those of real deployments.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from enum import StrEnum
from functools import partial
from typing import Any

import pytest
from deployments import CATALOGUE, deployments, settings_of, silence_limit
from router_bench import MISS, Bench, Caller, Json, Peer, hit, http, router
from test_request_time import FRAMINGS, LATE_LIMIT, STOPPED_PEER_LIMIT, Framing, State, check_rest, reset
from virtual_time import run_in_virtual_time

from applehub.node.resp import command

MARGIN = 0.06  # seconds before or after a limit
# Seconds for which a server may rest within a long value that is passed on. One that rests for longer counts
# as stopped, and is closed within STOPPED_PEER_LIMIT.
MAX_REST = 2.5
HOLD_LIMITS = (0.4, 1.5)  # seconds; of the network code, for values that are held back
LONG_WAIT = 2.4  # seconds for which some clients wait, longer than the deadlines of most classes
EARLIER_ANSWER = 0.1  # seconds until the answer to a command before
RESET_DELAY = 0.01  # seconds until the first attempt is reset
STATES = [State.NO_HEAD, State.WITHIN_HEAD, State.HEAD, State.WITHIN_VALUE]
WRITE_FRAMINGS = [framing for framing in FRAMINGS if framing.from_origin]


class Company(StrEnum):
    """What else happens on the connections of the request."""

    ALONE = "alone"
    BEHIND = "commands behind"
    BEFORE = "a command before"
    RETRIED = "commands behind, after an attempt that was reset"
    REUSED = "on connections that were used before"


class Owed(StrEnum):
    """The answer that the rules ask for."""

    WHOLE = "the whole value"
    ERROR = "an error in time"
    CUT_OFF = "a close within the value"
    WHOLE_OR_ERROR = "the whole value or an error, in time"


@dataclass(frozen=True)
class Case:
    """A request and the behaviour of its server.

    objective: seconds until which something of the response must have come, infinite if a late answer has a
    worth. wait: seconds for which the client waits. pause: seconds for which the server rests.
    """

    framing: Framing
    state: State
    company: Company
    site_class: Json
    is_write: bool = False
    wait: float = 0.0
    pause: float = 0.0

    @property
    def objective(self) -> float:
        return silence_limit(self.site_class, self.framing.from_origin and not self.is_write)

    @property
    def info(self) -> bytes:
        """The list of names and values."""
        return b"c=%b,d=%d,k=1" % (self.site_class["name"].encode(), round(self.wait * 1000))

    @property
    def command(self) -> bytes:
        """The encoded request for the key `k`."""
        if self.is_write:
            return command(b"C.SET", b"k", b"i1", self.info, b"value")
        return command(b"C.GET", b"k", b"i1", self.info)

    @property
    def owed(self) -> Owed:
        """The answer that is owed."""
        if self.company is Company.RETRIED and self.site_class["effect"] != "safe":
            return Owed.WHOLE_OR_ERROR if self.pause < self.wait else Owed.ERROR
        if self.pause < self.wait:
            is_silent = self.state is State.NO_HEAD and self.pause > self.objective
            return Owed.WHOLE_OR_ERROR if is_silent else Owed.WHOLE
        is_held = self.company in (Company.BEHIND, Company.RETRIED)
        if self.state is not State.WITHIN_VALUE or not self.framing.is_passed_on or is_held:
            return Owed.ERROR
        return Owed.WHOLE if self.pause < self.max_rest else Owed.CUT_OFF

    @property
    def max_rest(self) -> float:
        """The longest rest within a value that is passed on, not counting the wait for the answer before."""
        return MAX_REST + (EARLIER_ANSWER if self.company is Company.BEFORE else 0)

    def pauses(self, wait: float) -> list[float]:
        """Returns pauses shortly below and above each limit."""
        limits = {self.objective, wait, self.max_rest, *HOLD_LIMITS} - {math.inf}
        return [limit + side for limit in sorted(limits) for side in (-MARGIN, MARGIN)]


def requests(write: bool) -> list[Any]:
    """Returns the classes of all deployments, those of the first one in every company, as parameters."""
    parameters = []
    for deployment, site_classes in deployments().items():
        for site_class in site_classes:
            if site_class.get("write", False) is write:
                companies = list(Company) if site_class in CATALOGUE else [Company.ALONE]
                parameters += [
                    pytest.param(site_class, company, id=f"{deployment}-{site_class['name']}-{company}")
                    for company in companies
                ]
    return parameters


def reset_connections(peer: Peer | Caller) -> None:
    """Resets the connections of a peer, so that the many cases leave none in TIME_WAIT."""
    for writer in peer.writers if isinstance(peer, Peer) else [peer.writer]:
        with contextlib.suppress(OSError):
            reset(writer)


class PausingServers:
    """A cache server and an origin, one of which rests within the response to the key `k`."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.attempts = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def _write_later(self, delay: float, writer: asyncio.StreamWriter, data: bytes) -> None:
        await asyncio.sleep(delay)
        with contextlib.suppress(OSError):
            writer.write(data)
            if self.case.framing.name == "HTTP, until the close":
                writer.close()

    def respond(self, request: Any, writer: asyncio.StreamWriter) -> bytes | None:
        """Responds at the server that has the value."""
        framing, loop = self.case.framing, asyncio.get_running_loop()
        other = http(200, b"other") if framing.from_origin else hit(b"other")
        if b"before" in request[1]:
            loop.call_later(EARLIER_ANSWER, writer.write, other)
            return None
        if b"other" in request[1]:
            return other
        self.attempts += 1
        given, rest = framing.response[: (size := framing.given(self.case.state))], framing.response[size:]
        if self.case.company is Company.RETRIED and self.attempts == 1:
            loop.call_later(RESET_DELAY, reset, writer)
        else:
            self.tasks.append(asyncio.create_task(self._write_later(self.case.pause, writer, rest)))
        return given

    @asynccontextmanager
    async def router(self) -> AsyncIterator[Bench]:
        """Runs a router before these servers."""
        settings = settings_of([self.case.site_class])
        cache = (lambda request, writer: MISS) if self.case.framing.from_origin else self.respond
        async with router(cache, self.respond, settings_json=settings) as bench:
            yield bench
            for task in self.tasks:
                task.cancel()
            peers: list[Peer | Caller] = [bench.cache, bench.origin, *bench.callers]
            for peer in peers:
                reset_connections(peer)


async def check_case(case: Case) -> None:
    """Plays a case and checks the answers of its client."""
    servers = PausingServers(case)
    async with servers.router() as bench:
        caller, loop = await bench.caller(), asyncio.get_running_loop()

        def other(key: bytes) -> bytes:
            return command(b"C.GET", key, b"id-" + key, case.info)

        if case.company is Company.REUSED:
            caller.writer.write(other(b"other0"))
            assert await caller.answer() == b"other"
            await asyncio.sleep(EARLIER_ANSWER)
        has_before, has_behind = (
            case.company is Company.BEFORE,
            case.company in (Company.BEHIND, Company.RETRIED),
        )
        started = loop.time()
        before = other(b"before") if has_before else b""
        caller.writer.write(before + case.command + (other(b"other1") + command(b"PING")) * has_behind)
        if has_before:
            assert await caller.answer() == b"other"
        answer = await caller.answer()
        seconds = loop.time() - started
        if has_behind:
            assert [await caller.answer(), await caller.answer()] == [b"other", b"PONG"]
        check_answer(case, answer, seconds)
        if answer == case.framing.value:
            assert servers.attempts == 1 + (case.company is Company.RETRIED)
        await check_rest(bench)


def check_answer(case: Case, answer: Any, seconds: float) -> None:
    """Checks the answer to the request, which came after some seconds."""
    is_whole, is_error = answer == case.framing.value, str(answer) in ("BUSY", "ERR failed")
    match case.owed:
        case Owed.WHOLE:
            assert is_whole, (case, str(answer)[:20], seconds)
        case Owed.ERROR:
            assert is_error and seconds <= case.wait + LATE_LIMIT, (case, answer, seconds)
        case Owed.CUT_OFF:
            assert answer is None and seconds <= max(case.wait, STOPPED_PEER_LIMIT), (case, answer, seconds)
        case Owed.WHOLE_OR_ERROR:
            assert is_whole or is_error, (case, answer, seconds)
            assert seconds <= case.wait, (case, answer, seconds)


def check_pauses(monkeypatch: pytest.MonkeyPatch, case: Case) -> None:
    """Plays a case with pauses below and above each limit; in the first deployment some clients wait long."""
    deadline = case.site_class["deadline_ms"] / 1000
    for wait in [deadline, LONG_WAIT] if case.site_class in CATALOGUE else [deadline]:
        for pause in case.pauses(wait):
            with monkeypatch.context() as patch:
                run_in_virtual_time(patch, partial(check_case, replace(case, wait=wait, pause=pause)))


# Guards against reads that are cut off although their server answers, or that silence leaves without an end.
@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
@pytest.mark.parametrize(("site_class", "company"), requests(write=False))
def test_read_ends_at_its_limits_only(
    monkeypatch: pytest.MonkeyPatch, site_class: Json, company: Company, framing: Framing, state: State
) -> None:
    check_pauses(monkeypatch, Case(framing, state, company, site_class))


# Guards against writes whose receipt is cut off although the origin answers, or that silence leaves open.
@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("framing", WRITE_FRAMINGS, ids=lambda framing: framing.name)
@pytest.mark.parametrize(("site_class", "company"), requests(write=True))
def test_write_ends_at_its_limits_only(
    monkeypatch: pytest.MonkeyPatch, site_class: Json, company: Company, framing: Framing, state: State
) -> None:
    check_pauses(monkeypatch, Case(framing, state, company, site_class, is_write=True))
