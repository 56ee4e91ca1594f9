"""Repeats by the settings alone: nothing is remembered or resent by a class's name, index or a default."""

import itertools
from typing import Any

import pytest
from peers import info
from support import MILLI, SECOND, Router, settings

from applehub import interface as api
from applehub.policy.job import HELD_UP
from applehub.settings import SettingError, read_settings

S = api.Status


def test_what_allows_a_repeat_is_told_or_forbidden() -> None:
    """A class whose effect was not told counted as safe, and was sent again."""
    told = info()
    keyed = next(one for one in told["classes"] if one["effect"] == "keyed")
    for key, strictest in (("group", "cell"), ("repeatWindow", 0), ("effect", api.Effect.UNSAFE)):
        keyed.pop(key)
        read = read_settings(told).classes[told["classes"].index(keyed)]
        assert getattr(read, "window" if key == "repeatWindow" else key) == strictest


@pytest.mark.parametrize("bad", ["", "Safe", "idempotent", 1])
def test_an_effect_that_is_none_is_an_error(bad: Any) -> None:
    told = info()
    told["classes"][0]["effect"] = bad
    with pytest.raises(SettingError, match="effect"):
        read_settings(told)


def class_of(effect: api.Effect, window: int) -> api.RequestClass:
    return api.RequestClass(SECOND, 2 * SECOND, effect, "all", window, late_worth=0.5)


@pytest.mark.parametrize("write", [False, True])
@pytest.mark.parametrize("order", list(itertools.permutations(api.Effect)), ids=str)
def test_a_class_is_sent_again_as_its_effect_says_wherever_it_stands(
    order: tuple[api.Effect, ...], write: bool
) -> None:
    """The site's classes are safe, keyed and unsafe in this order; another customer's are not."""
    window = SECOND
    for cls, effect in enumerate(order):
        router = Router(settings(classes=[class_of(one, window) for one in order]))
        name, (first,) = router.ask("k", cls, write)
        after = router.end(first, S.RESET)
        if write and not after:
            after = router.wait(SECOND // 2)
        again = [one for one in after if isinstance(one, api.Send)]
        assert bool(again) == (effect is not api.Effect.UNSAFE)
        if effect is api.Effect.UNSAFE:
            assert after == [api.Fail(name)]
        assert all(bool(one.begin_by) == (effect is api.Effect.KEYED) for one in again)


@pytest.mark.parametrize("write", [False, True])
@pytest.mark.parametrize("window", [0, MILLI, 20 * MILLI, 300 * MILLI])
def test_a_keyed_request_is_not_sent_again_after_a_short_window(window: int, write: bool) -> None:
    router = Router(settings(classes=[class_of(api.Effect.KEYED, window)]))
    _, (first,) = router.ask("k", 0, write)
    sent = router.now
    router.wait(window)
    actions = router.end(first, S.RESET, elapsed=window or 1) + router.wait(SECOND)
    assert not [one for one in actions if isinstance(one, api.Send)]
    assert [type(one) for one in actions] == [api.Fail] and router.now >= sent + window


@pytest.mark.parametrize("window", [400 * MILLI, SECOND])
def test_a_repeat_says_until_when_it_may_begin(window: int) -> None:
    router = Router(settings(classes=[class_of(api.Effect.KEYED, window)]))
    _, (first,) = router.ask("k")
    sent = router.now
    router.wait(window // 2)
    (again,) = router.end(first, S.RESET)
    assert isinstance(first, api.Send) and isinstance(again, api.Send)
    assert (first.begin_by, again.begin_by) == (0, sent + window - HELD_UP)
    # What it outlasted its time unwritten proves nothing ran twice, and no third try comes after the window.
    router.now = sent + window - HELD_UP
    (end,) = router.end(again, S.MOOT, 1)
    assert isinstance(end, api.Fail)


def test_a_class_that_takes_anothers_place_at_a_reload_brings_its_own_effect() -> None:
    router = Router(settings(classes=[class_of(api.Effect.SAFE, 0)]))
    _, (first,) = router.ask("k")
    router.tell(api.Retuned(settings(classes=[class_of(api.Effect.UNSAFE, 0)])))
    (again,) = router.end(first, S.RESET)  # it came as safe
    assert isinstance(again, api.Send)
    _, (second,) = router.ask("k2")
    (end,) = router.end(second, S.RESET)
    assert isinstance(end, api.Fail)
