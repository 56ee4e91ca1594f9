"""The option --sizes of the lab's commands: a list of fleet sizes, separated by commas."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import click

Size = TypeVar("Size")


@dataclass(frozen=True, slots=True)
class FleetSize:
    """A number of routers and of cache servers, written as in 5x15."""

    routers: int
    servers: int

    def __str__(self) -> str:
        return f"{self.routers}x{self.servers}"


class SizesType(click.ParamType[tuple[Size, ...], Any]):
    """Converts a comma-separated list to a tuple of sizes; ends the command with code 2 where that fails."""

    name = "sizes"

    def __init__(self, parse: Callable[[str], Size], expected: str) -> None:
        """parse: reads one size, raises ValueError. expected: names what is valid, with an example."""
        self.parse, self.expected = parse, expected

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[Size, ...]:
        if isinstance(value, tuple):  # click converts a default that is converted already once more
            return value
        try:
            return tuple(self.parse(one) for one in value.split(","))
        except ValueError:
            option = param.opts[0] if param is not None else self.name
            raise click.UsageError(f"{option}: expected {self.expected}, got {value!r}", ctx) from None


def counts(least: int, most: int, example: str) -> SizesType[int]:
    """The type of a list of whole numbers from `least` to `most`, as in `example`."""

    def parse(text: str) -> int:
        count = int(text)
        if not least <= count <= most:
            raise ValueError(text)
        return count

    return SizesType(parse, f"numbers from {least} to {most}, as in {example}")


def fleet_sizes(example: str) -> SizesType[FleetSize]:
    """The type of a list of numbers of routers and servers, as in `example`."""

    def parse(text: str) -> FleetSize:
        routers, servers = map(int, text.split("x"))
        return FleetSize(routers, servers)

    return SizesType(parse, f"sizes as in {example}")
