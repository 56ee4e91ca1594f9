"""Retries depend only on the configured effect of a class, not on its name, its index or a default."""

import itertools
from typing import Any

import pytest
from router_bench import info
from support import MILLI, SECOND, Router, settings

from applehub import interface as api
from applehub.policy.job import MAX_PAUSE
from applehub.settings import SettingError, read_settings

Status = api.Status


def test_missing_retry_settings_default_to_the_strictest_value() -> None:
    """A class without a configured effect must count as unsafe."""
    configured = info()
    idempotent = next(spec for spec in configured["classes"] if spec["effect"] == "keyed")
    for key, strictest in (("group", "cell"), ("repeatWindow", 0), ("effect", api.Effect.UNSAFE)):
        idempotent.pop(key)
        parsed = read_settings(configured).classes[configured["classes"].index(idempotent)]
        assert getattr(parsed, "idempotency_window" if key == "repeatWindow" else key) == strictest


@pytest.mark.parametrize("effect", ["", "Safe", "idempotent", 1])
def test_unknown_effect_is_rejected(effect: Any) -> None:
    configured = info()
    configured["classes"][0]["effect"] = effect
    with pytest.raises(SettingError, match="effect"):
        read_settings(configured)


def class_with(effect: api.Effect, window: int) -> api.RequestClass:
    return api.RequestClass(SECOND, 2 * SECOND, effect, "all", window, late_weight=0.5)


@pytest.mark.parametrize("write", [False, True])
@pytest.mark.parametrize("order", list(itertools.permutations(api.Effect)), ids=str)
def test_retries_follow_the_effect_of_the_class_at_any_index(
    order: tuple[api.Effect, ...], write: bool
) -> None:
    window = SECOND
    for cls, effect in enumerate(order):
        router = Router(settings(classes=[class_with(other, window) for other in order]))
        name, (first,) = router.send_request("k", cls, write)
        actions = router.finish_attempt(first, Status.RESET)
        if write and not actions:
            actions = router.advance(SECOND // 2)
        retries = [action for action in actions if isinstance(action, api.Send)]
        assert bool(retries) == (effect is not api.Effect.UNSAFE)
        if effect is api.Effect.UNSAFE:
            assert actions == [api.Fail(name)]
        assert all(bool(retry.deliver_by) == (effect is api.Effect.KEYED) for retry in retries)


@pytest.mark.parametrize("write", [False, True])
@pytest.mark.parametrize("window", [0, MILLI, 20 * MILLI, 300 * MILLI])
def test_request_with_idempotency_key_is_not_retried_after_its_window(window: int, write: bool) -> None:
    router = Router(settings(classes=[class_with(api.Effect.KEYED, window)]))
    _, (first,) = router.send_request("k", 0, write)
    sent = router.now
    router.advance(window)
    actions = router.finish_attempt(first, Status.RESET, elapsed=window or 1) + router.advance(SECOND)
    assert not [action for action in actions if isinstance(action, api.Send)]
    assert [type(action) for action in actions] == [api.Fail] and router.now >= sent + window


@pytest.mark.parametrize("window", [400 * MILLI, SECOND])
def test_retry_with_idempotency_key_has_a_latest_start_time(window: int) -> None:
    router = Router(settings(classes=[class_with(api.Effect.KEYED, window)]))
    _, (first,) = router.send_request("k")
    sent = router.now
    router.advance(window // 2)
    (retry,) = router.finish_attempt(first, Status.RESET)
    assert isinstance(first, api.Send) and isinstance(retry, api.Send)
    assert (first.deliver_by, retry.deliver_by) == (0, sent + window - MAX_PAUSE)
    # The retry expires before it is written, so it is not executed; no attempt may follow after the window.
    router.now = sent + window - MAX_PAUSE
    (end,) = router.finish_attempt(retry, Status.MOOT, 1)
    assert isinstance(end, api.Fail)


def test_reloaded_class_applies_its_effect_to_new_requests_only() -> None:
    router = Router(settings(classes=[class_with(api.Effect.SAFE, 0)]))
    _, (first,) = router.send_request("k")
    router.deliver(api.SettingsChanged(settings(classes=[class_with(api.Effect.UNSAFE, 0)])))
    (retry,) = router.finish_attempt(first, Status.RESET)  # the request arrived while its class was safe
    assert isinstance(retry, api.Send)
    _, (second,) = router.send_request("k2")
    (end,) = router.finish_attempt(second, Status.RESET)
    assert isinstance(end, api.Fail)
