"""TOML files checked by pydantic, for the programs beside the router: all faults at once, each a line that
names file, key and expectation. Nothing of `run` imports this."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

Checked = TypeVar("Checked", bound=BaseModel)


class Part(BaseModel):
    """A table of a file: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


def problems_of(name: str, error: ValidationError) -> str:
    """A line for each fault; name is what the file is called."""
    lines = []
    for one in error.errors():
        key = ".".join(str(step) for step in one["loc"]) or "the whole"
        got = "" if one["type"] in ("missing", "value_error") else f", got {one['input']!r}"
        lines.append(f"{name}: {key}: {one['msg']}{got}")
    return "\n".join(lines)


def read_toml(path: Path, failure: type[ValueError]) -> dict[str, Any]:
    """What a file holds, not checked yet. Raises `failure` where it can't be read or is no TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as problem:
        raise failure(f"{path}: {problem.strerror or problem}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise failure(f"{path}: not TOML: {problem}") from None


def checked(name: str, model: type[Checked], raw: dict[str, Any], failure: type[ValueError]) -> Checked:
    """What a file holds, as a model. Raises `failure` with every fault of it."""
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise failure(problems_of(name, error)) from None
