"""Event loop of the tests, and the order of the tests when several workers run them in parallel.

With `-n`, the slowest tests start first. Tests that measure time, or that load all cores, run last and with
no other test at the same time, since the load of other tests would change their results.
"""

import ast
import asyncio
import datetime
import fcntl
import gc
from collections.abc import Callable, Generator, Mapping
from pathlib import Path
from typing import Any

import hypothesis
import pytest

from applehub.node import arrivals

_parse = ast.parse


def _parse_without_finalizers(*args: Any, **options: Any) -> Any:
    """Calls `ast.parse` while no finalizer of cyclic garbage can run.

    CPython 3.11 counts the recursion of `ast.parse` once for the whole interpreter. A finalizer whose error
    is formatted calls `ast.parse` too; if it runs within another call, that one fails with a SystemError.
    Tests, hypothesis and pytest all call it, beside garbage that other tests have left.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _parse(*args, **options)
    finally:
        if was_enabled:
            gc.enable()


ast.parse = _parse_without_finalizers

# The slowest tests, by descending duration; they start first in a parallel run.
SLOW_TESTS = (
    "test_invariants_hold_and_each_mutant_is_detected",
    "test_all_routers_get_list_in_time_after_outage",
    "test_results_are_reproducible_and_resumable",
    "test_rules_hold_over_random_legal_sequences",
    "test_cold_command_measures_the_load_against_the_bound",
    "test_model_has_no_violation_with_crashes_and_failed_steps",
    "test_invariants_hold_with_separate_messages_crashes_and_syncs",
    "test_killed_controller_repeats_no_step",
    "test_removed_server_moves_its_own_keys_at_once_and_other_keys_gradually",
    "test_all_of_many_servers_are_reached_within_the_connection_limit",
    "test_listed_test_is_deselected_then_run_and_reported",
    "test_store_recovers_from_every_power_loss_state",
    "test_acknowledged_changes_survive_killed_and_suspended_leaders",
)
# Tests in real time, whose result depends on how soon a process gets a core.
EXCLUSIVE_TESTS = (
    "test_unmodified_router_passes_and_each_bad_variant_is_detected",
    "test_load_counts_each_request_once",
    "test_demo_prints_the_answers_and_counters",
    "test_routers_apply_lists_on_the_real_clock",
    "test_all_read_requests_are_answered_before_sigkill_while_servers_hang",
    "test_rules_hold_while_servers_stop_within_answers",
    "test_answer_that_has_begun_is_not_cut_off_at_latency_objective",
    "test_response_that_begins_while_process_stands_still_is_awaited",
    "test_command_whose_rest_comes_while_process_stands_still_is_answered",
)
# Tolerates examples that are slow because the machine is busy, but not examples that hang.
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


@pytest.hookimpl(tryfirst=True)  # runs before xdist reads the groups
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=_sort_key)
    for item in items:
        if _function_name(item) in EXCLUSIVE_TESTS:
            item.add_marker(pytest.mark.xdist_group("alone"))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Generator[None, object, object]:
    """With parallel workers, an exclusive test holds an exclusive lock, and each other test a shared lock."""
    if not hasattr(item.config, "workerinput"):
        return (yield)
    with Path(__file__).open() as lock:
        fcntl.flock(lock, fcntl.LOCK_EX if _function_name(item) in EXCLUSIVE_TESTS else fcntl.LOCK_SH)
        return (yield)
