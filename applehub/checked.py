"""TOML files that are checked by pydantic models, for the programs beside the router.

All faults of a file are reported at once, one line each, with the file, the key and what was expected.
Nothing that `run` loads imports this module: pydantic slows the start.
"""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

Model = TypeVar("Model", bound=BaseModel)
RawTable = dict[str, object]  # a TOML table by its keys, not checked yet


class Table(BaseModel):
    """A table of a file, as a model whose fields are its keys: an unknown key is a fault."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


def describe_faults(file: str, error: ValidationError) -> str:
    """Returns a line for each fault that a model found in a file."""
    lines = []
    for fault in error.errors():
        key = ".".join(str(step) for step in fault["loc"]) or "the whole"
        # Without the value where there is none, and where the model's own check names it.
        got = "" if fault["type"] in {"missing", "value_error"} else f", got {fault['input']!r}"
        lines.append(f"{file}: {key}: {fault['msg']}{got}")
    return "\n".join(lines)


def read_toml(path: Path, failure: type[ValueError]) -> RawTable:
    """Returns what a file holds, not checked yet. Raises `failure` if it cannot be read or is not TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as problem:
        raise failure(f"{path}: {problem.strerror or problem}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise failure(f"{path}: not TOML: {problem}") from problem


def validate(file: str, model: type[Model], raw: RawTable, failure: type[ValueError]) -> Model:
    """Returns the content of a file as a model. Raises `failure`, which names every fault of the file."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise failure(describe_faults(file, error)) from error
