"""What an agent remembers of the orders that it was given, and which it takes. Pure.

An order is of a release (`id`), has a number that grows within it, and a fence: the number of its
controller's lock, which grows from holder to holder. An order of a lower fence is an older holder's and is
refused; the same order again is answered with what came of it; so no step is done twice, and none for a
controller that was replaced."""

from dataclasses import asdict, dataclass, field, replace
from typing import Any

from applehub.release.machine import Order


@dataclass(slots=True)
class Last:
    """The latest order of a unit. good: none while it is carried out."""

    id: str
    fence: int
    number: int
    step: str
    version: str
    good: bool | None = None
    why: str = ""


class RefusedError(ValueError):
    """An order is not taken; its text says why."""


@dataclass(slots=True)
class Orders:
    """All units of one agent."""

    last: dict[str, Last] = field(default_factory=dict)
    fence: int = 0  # the highest that was seen: of one controller of the whole fleet

    def take(self, id_: str, fence: int, order: Order) -> bool:
        """Whether it is to be carried out now; else it is known. Raises RefusedError."""
        if fence < self.fence:
            raise RefusedError(f"fence {fence}: another controller has {self.fence}")
        before = self.last.get(order.unit)
        if before is not None and (before.id, before.number) == (id_, order.number):
            self.fence = before.fence = fence
            return False
        if before is not None and before.good is None:
            raise RefusedError(f"{order.unit}: {before.step} is under way")
        newer = before is None or (fence, order.number) > (before.fence, before.number)
        if not newer or (before is not None and before.id == id_ and order.number < before.number):
            raise RefusedError(f"{order.unit}: number {order.number} is an older order's")
        self.fence = fence
        self.last[order.unit] = Last(id_, fence, order.number, order.step, order.version)
        return True

    def done(self, unit: str, why: str) -> None:
        """What came of the order that was under way; why: what went wrong, if anything."""
        last = self.last[unit]
        last.good, last.why = not why, why

    def begun(self) -> list[str]:
        """Units whose order was under way when the agent ended: carried out again, as each step may be."""
        return [unit for unit, last in self.last.items() if last.good is None]

    def copy(self) -> "Orders":
        """Another that may be changed, and taken or dropped as a whole."""
        return Orders({unit: replace(last) for unit, last in self.last.items()}, self.fence)

    def plain(self) -> dict[str, Any]:
        """For JSON."""
        return asdict(self)

    @classmethod
    def of(cls, told: dict[str, Any]) -> "Orders":
        """From JSON; raises KeyError, TypeError."""
        return cls({unit: Last(**last) for unit, last in told["last"].items()}, told["fence"])
