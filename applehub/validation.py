"""Loading of TOML files that are validated by pydantic models, for the programs other than the router.

All errors of a file are reported together, one line each, with the file, the key and what was expected.
Modules that the `run` command loads must not import this module, because importing pydantic delays startup.
"""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

Model = TypeVar("Model", bound=BaseModel)
RawTable = dict[str, object]  # TOML table before validation


class Table(BaseModel):
    """Base model of a TOML table. Its fields are the table's keys; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


def format_validation_errors(file: str, error: ValidationError) -> str:
    """Returns one line for each validation error of a file."""
    lines = []
    for detail in error.errors():
        key = ".".join(str(element) for element in detail["loc"]) or "the whole file"
        # The value is omitted if it is missing, or if the message of a model validator names it already.
        received = "" if detail["type"] in {"missing", "value_error"} else f", got {detail['input']!r}"
        lines.append(f"{file}: {key}: {detail['msg']}{received}")
    return "\n".join(lines)


def read_toml(path: Path, error_class: type[ValueError]) -> RawTable:
    """Returns a parsed TOML file before validation. Raises `error_class` if it is unreadable or not TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise error_class(f"{path}: {error.strerror or error}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise error_class(f"{path}: not TOML: {error}") from error


def validate(file: str, model: type[Model], raw: RawTable, error_class: type[ValueError]) -> Model:
    """Returns the validated model of a file. Raises `error_class` with one line for each error."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise error_class(format_validation_errors(file, error)) from error
