"""The event loop of the tests is the router's own; and how tests run side by side.

With `-n` each worker runs one test after another: the longest begin first, and those that measure time, or
load all cores by themselves, run last and alone. Guards verdicts against what the tests beside them cost."""

import asyncio
import datetime
import fcntl
from collections.abc import Callable, Generator, Mapping
from pathlib import Path

import hypothesis
import pytest

from applehub.node import arrivals

# Functions that take over half a minute on a busy machine, the longest first.
LONG = (
    "test_the_model_holds_and_each_mutant_is_found",
    "test_after_an_outage_all_routers_have_the_list_in_the_time_that_their_calls_take",
    "test_the_same_file_and_seed_give_the_same_bytes",
    "test_rules_hold_over_random_legal_sequences",
    "test_the_lab_measures_the_sum_beside_its_bound",
    "test_every_order_of_steps_crashes_and_lost_messages_keeps_the_rules",
    "test_each_message_crash_and_sync_by_itself",
    "test_a_controller_killed_between_any_two_steps_does_none_twice",
    "test_of_many_servers_one_that_leaves_moves_its_own_keys_at_once_and_the_others_in_a_turn",
    "test_each_of_many_servers_is_reached_within_the_places_for_connections",
    "test_a_listed_test_is_left_out_and_run_and_printed",
    "test_a_start_is_right_from_every_state_that_a_loss_of_power_leaves",
    "test_no_acknowledged_change_is_lost_when_primaries_are_killed_and_stopped",
)
# Plays in the machine's own time, whose verdict hangs on how soon a process gets a core.
ALONE = (
    "test_a_good_router_holds_and_each_bad_variant_is_found",
    "test_a_load_reaches_the_router_and_each_request_is_counted_once",
    "test_the_demo_shows_a_newcomer_what_the_router_does",
    "test_the_program_s_routers_take_up_lists_on_the_machine_s_own_clock",
    "test_all_that_is_read_is_answered_before_sigkill_though_servers_hang_all_the_time",
)
# An example that is slow for the machine's sake is right all the same; one that comes to no end is not.
hypothesis.settings.register_profile("any machine", deadline=datetime.timedelta(seconds=10))
hypothesis.settings.load_profile("any machine")


def pytest_asyncio_loop_factories() -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"router": arrivals.Loop}


def _name(item: pytest.Item) -> str:
    return getattr(item, "originalname", None) or item.name


def _place(item: pytest.Item) -> int:
    name = _name(item)
    if name in ALONE:
        return len(LONG) + 1
    return LONG.index(name) if name in LONG else len(LONG)


@pytest.hookimpl(tryfirst=True)  # before the workers read the groups
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=_place)
    for item in items:
        if _name(item) in ALONE:
            item.add_marker(pytest.mark.xdist_group("alone"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Generator[None, object, object]:
    """Where workers run side by side, each test shares a lock that one which has to be alone waits for."""
    if not hasattr(item.config, "workerinput"):
        return (yield)
    with Path(__file__).open() as lock:
        fcntl.flock(lock, fcntl.LOCK_EX if _name(item) in ALONE else fcntl.LOCK_SH)
        return (yield)
