"""Tests of the loading and validation of TOML files."""

from pathlib import Path
from typing import Annotated

import pytest
from pydantic import Field, ValidationError

from applehub.validation import Table, read_toml, validate


class InvalidFileError(ValueError):
    """The error class that the tests pass to the functions."""


class NestedTable(Table):
    """A nested table."""

    share: Annotated[float, Field(ge=0, le=1)] = 0.5


class RootTable(Table):
    """The root table of the file."""

    count: int
    inner: NestedTable = NestedTable()


def test_valid_file_is_returned_as_model_with_defaults(tmp_path: Path) -> None:
    path = tmp_path / "fits.toml"
    path.write_text("count = 3\n")
    raw = read_toml(path, InvalidFileError)
    assert raw == {"count": 3}
    assert validate(str(path), RootTable, raw, InvalidFileError) == RootTable(
        count=3, inner=NestedTable(share=0.5)
    )


def test_all_errors_are_reported_with_file_key_and_value() -> None:
    """Each error has its own line, with the received value if there is one."""
    raw: dict[str, object] = {"inner": {"share": 2, "sure": True}, "colour": "red"}
    with pytest.raises(InvalidFileError) as error_info:
        validate("x.toml", RootTable, raw, InvalidFileError)
    assert sorted(str(error_info.value).split("\n")) == [
        "x.toml: colour: Extra inputs are not permitted, got 'red'",
        "x.toml: count: Field required",
        "x.toml: inner.share: Input should be less than or equal to 1, got 2",
        "x.toml: inner.sure: Extra inputs are not permitted, got True",
    ]
    assert isinstance(error_info.value.__cause__, ValidationError)


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_non_finite_number_is_rejected(value: float) -> None:
    with pytest.raises(InvalidFileError, match=r"x\.toml: inner\.share"):
        validate("x.toml", RootTable, {"count": 1, "inner": {"share": value}}, InvalidFileError)


@pytest.mark.parametrize(
    ("content", "expected"), [(b"count = ", "not TOML"), (b"\xff\xfe", "not TOML"), (None, "No such file")]
)
def test_unreadable_file_is_reported_with_path_and_reason(
    tmp_path: Path, content: bytes | None, expected: str
) -> None:
    path = tmp_path / "x.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InvalidFileError, match=f"{path}: .*{expected}") as error_info:
        read_toml(path, InvalidFileError)
    assert error_info.value.__cause__ is not None
