"""No change of lists, settings or processes ends an answer that has begun."""

import asyncio
from collections.abc import Callable

import pytest
from deployments import CATALOGUE, settings_of
from router_bench import Bench, entry
from test_discovery import listing
from test_pauses import Case, Company, PausingServers
from test_request_time import FRAMINGS, SCHEDULING, Framing, State, check_rest
from virtual_time import run_in_virtual_time

from applehub import interface as api
from applehub.settings import read_settings

CHANGE_AT = 0.1  # seconds from the request to the change
KILL_AFTER = 3.2  # seconds from SIGTERM to SIGKILL


def list_change(**fields: object) -> Callable[[Bench, Framing], None]:
    """Returns a change of the list entry of the server that answers."""

    def change(bench: Bench, framing: Framing) -> None:
        peer, name = (bench.origin, "o") if framing.from_origin else (bench.cache, "c0")
        model = {"model": "origin"} if framing.from_origin else {}
        changed = entry(name, peer.address, **{**model, **fields})
        bench.directory.apply(listing(6, changed, full_list=False))

    return change


def reload(bench: Bench, framing: Framing) -> None:
    """Applies settings with other limits, as a reload does."""
    changed = [{**site_class, "aim_ms": 50, "deadline_ms": 100} for site_class in CATALOGUE]
    bench.driver.notify(api.SettingsChanged(read_settings(settings_of(changed))))


def terminate(bench: Bench, framing: Framing) -> None:
    """Begins a shutdown."""
    bench.driver.stop(KILL_AFTER)
    bench.clients.close()


CHANGES: dict[str, Callable[[Bench, Framing], None]] = {
    "its server drains": list_change(state="Terminating"),
    "its server is gone": list_change(state="Gone"),
    "its server has another endpoint": list_change(endpoint="127.0.0.1:1"),
    "an operator takes its server out": lambda bench, framing: bench.driver.notify(
        api.ServerOverride("o" if framing.from_origin else "c0", True, 0)
    ),
    "SIGHUP": reload,
    "SIGTERM": terminate,
    "upgrade": lambda bench, framing: bench.clients.hand_over(),
}


# Guards against an answer that has begun, and is cut off by a change that does not concern it.
@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize("company", [Company.ALONE, Company.BEHIND])
@pytest.mark.parametrize("state", [State.WITHIN_HEAD, State.HEAD, State.WITHIN_VALUE])
@pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
def test_answer_that_has_begun_outlasts_change(
    monkeypatch: pytest.MonkeyPatch,
    framing: Framing,
    state: State,
    company: Company,
    change: Callable[[Bench, Framing], None],
) -> None:
    case = Case(framing, state, company, CATALOGUE[0], wait=0.6, pause=0.5)

    async def test() -> None:
        servers = PausingServers(case)
        async with servers.router() as bench:
            caller, loop = await bench.caller(), asyncio.get_running_loop()
            started = loop.time()
            caller.writer.write(case.command)
            if company is Company.BEHIND:
                caller.send(b"PING")
            loop.call_later(CHANGE_AT, change, bench, framing)
            assert await caller.answer() == framing.value
            assert loop.time() - started < case.pause + SCHEDULING and servers.attempts == 1
            if company is Company.BEHIND:
                assert str(await caller.answer()) in ("b'PONG'", "LOADING no server list yet")
            await check_rest(bench)

    run_in_virtual_time(monkeypatch, test)
