"""Parameter type of the --sizes option: a comma-separated list of fleet sizes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import click

Size = TypeVar("Size")


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of routers and cache servers, written as in 5x15."""

    routers: int
    servers: int

    def __str__(self) -> str:
        return f"{self.routers}x{self.servers}"


class SizesType(click.ParamType[tuple[Size, ...], Any]):
    """Converts a comma-separated list to a tuple of sizes; raises UsageError (exit code 2)."""

    name = "sizes"

    def __init__(self, parse: Callable[[str], Size], expected: str) -> None:
        """parse: converts one size, raises ValueError. expected: describes valid values, for errors."""
        self.parse, self.expected = parse, expected

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[Size, ...]:
        if isinstance(value, tuple):  # click passes an already converted default through convert again
            return value
        try:
            return tuple(self.parse(item) for item in value.split(","))
        except ValueError:
            option = param.opts[0] if param is not None else self.name
            raise click.UsageError(f"{option}: expected {self.expected}, got {value!r}", ctx) from None


def counts(minimum: int, maximum: int, example: str) -> SizesType[int]:
    """Returns the type of a list of integers from `minimum` to `maximum`."""

    def parse(text: str) -> int:
        count = int(text)
        if not minimum <= count <= maximum:
            raise ValueError(text)
        return count

    return SizesType(parse, f"numbers from {minimum} to {maximum}, as in {example}")


def fleet_sizes(example: str) -> SizesType[FleetSize]:
    """Returns the type of a list of `FleetSize`."""

    def parse(text: str) -> FleetSize:
        routers, servers = map(int, text.split("x"))
        return FleetSize(routers, servers)

    return SizesType(parse, f"sizes as in {example}")
