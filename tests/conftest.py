"""Event loop of the tests, and their order when several workers run them in parallel.

With `-n`, the slowest tests start first. Tests that measure time, or that load all cores, run last and with
no other test at the same time, since the load of other tests would change their results.
"""

import asyncio
import datetime
import fcntl
from collections.abc import Callable, Generator, Mapping
from pathlib import Path

import hypothesis
import pytest

from applehub.node import arrivals

# Tests that take more than half a minute on a busy machine, the slowest first.
SLOW_TESTS = (
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
# Tests in real time, whose result depends on how soon a process gets a core.
EXCLUSIVE_TESTS = (
    "test_a_good_router_holds_and_each_bad_variant_is_found",
    "test_a_load_reaches_the_router_and_each_request_is_counted_once",
    "test_the_demo_shows_a_newcomer_what_the_router_does",
    "test_the_program_s_routers_take_up_lists_on_the_machine_s_own_clock",
    "test_all_read_requests_are_answered_before_sigkill_while_servers_hang",
)
# Accepts examples that are slow because the machine is busy, but not examples that hang.
hypothesis.settings.register_profile("any machine", deadline=datetime.timedelta(seconds=10))
hypothesis.settings.load_profile("any machine")


def pytest_asyncio_loop_factories() -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"router": arrivals.TimedEventLoop}


def _function_name(item: pytest.Item) -> str:
    return getattr(item, "originalname", None) or item.name


def _sort_key(item: pytest.Item) -> int:
    name = _function_name(item)
    if name in EXCLUSIVE_TESTS:
        return len(SLOW_TESTS) + 1
    return SLOW_TESTS.index(name) if name in SLOW_TESTS else len(SLOW_TESTS)


@pytest.hookimpl(tryfirst=True)  # before xdist reads the groups
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=_sort_key)
    for item in items:
        if _function_name(item) in EXCLUSIVE_TESTS:
            item.add_marker(pytest.mark.xdist_group("alone"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Generator[None, object, object]:
    """With parallel workers, tests hold a shared lock and exclusive tests an exclusive one."""
    if not hasattr(item.config, "workerinput"):
        return (yield)
    with Path(__file__).open() as lock:
        fcntl.flock(lock, fcntl.LOCK_EX if _function_name(item) in EXCLUSIVE_TESTS else fcntl.LOCK_SH)
        return (yield)
