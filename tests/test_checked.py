"""TOML files that are checked by models: every fault at once, each with file, key and what was expected."""

from pathlib import Path
from typing import Annotated

import pytest
from pydantic import Field, ValidationError

from applehub.checked import Table, read_toml, validate


class WrongFileError(ValueError):
    """The failure that the caller chose."""


class Inner(Table):
    """A table inside the file."""

    share: Annotated[float, Field(ge=0, le=1)] = 0.5


class Whole(Table):
    """The file."""

    count: int
    inner: Inner = Inner()


def test_a_file_that_fits_gives_its_model_with_defaults(tmp_path: Path) -> None:
    path = tmp_path / "fits.toml"
    path.write_text("count = 3\n")
    raw = read_toml(path, WrongFileError)
    assert raw == {"count": 3}
    assert validate(str(path), Whole, raw, WrongFileError) == Whole(count=3, inner=Inner(share=0.5))


def test_all_faults_are_told_at_once_with_file_key_and_what_was_given() -> None:
    """Set up: a missing key, an unknown one, and two values out of range. Expected: a line for each; what was
    given is named where there is something."""
    raw: dict[str, object] = {"inner": {"share": 2, "sure": True}, "colour": "red"}
    with pytest.raises(WrongFileError) as caught:
        validate("x.toml", Whole, raw, WrongFileError)
    assert sorted(str(caught.value).split("\n")) == [
        "x.toml: colour: Extra inputs are not permitted, got 'red'",
        "x.toml: count: Field required",
        "x.toml: inner.share: Input should be less than or equal to 1, got 2",
        "x.toml: inner.sure: Extra inputs are not permitted, got True",
    ]
    assert isinstance(caught.value.__cause__, ValidationError)


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_a_number_without_a_bound_is_a_fault(value: float) -> None:
    with pytest.raises(WrongFileError, match=r"x\.toml: inner\.share"):
        validate("x.toml", Whole, {"count": 1, "inner": {"share": value}}, WrongFileError)


@pytest.mark.parametrize(
    ("content", "expected"), [(b"count = ", "not TOML"), (b"\xff\xfe", "not TOML"), (None, "No such file")]
)
def test_a_file_that_can_not_be_read_is_named_with_the_reason(
    tmp_path: Path, content: bytes | None, expected: str
) -> None:
    path = tmp_path / "x.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(WrongFileError, match=f"{path}: .*{expected}") as caught:
        read_toml(path, WrongFileError)
    assert caught.value.__cause__ is not None
