"""What an agent remembers of its orders, and which orders it accepts. Pure.

An order belongs to a release, has a number that grows within it, and a fence: the number of its
controller's lock, which grows from holder to holder. An order of a lower fence is an earlier holder's and
is refused. The same order again is answered with its outcome. So no step is executed twice, and none for a
controller that was replaced.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import orjson

from applehub.release.errors import OrderRefusedError, StoredStateError
from applehub.release.messages import OrderOutcome
from applehub.release.state_machine import Order, Step


@dataclass(frozen=True, slots=True)
class RememberedOrder:
    """The latest order of a unit. succeeded: None while it is executed."""

    release_id: str
    fence: int
    order: Order
    succeeded: bool | None = None
    error: str = ""

    @property
    def outcome(self) -> OrderOutcome:
        """As it is reported to controllers."""
        return OrderOutcome(self.release_id, self.order.number, self.succeeded, self.error)


@dataclass(slots=True)
class AgentMemory:
    """The orders of all units of one agent."""

    latest: dict[str, RememberedOrder] = field(default_factory=dict)  # by unit
    fence: int = 0  # the highest of any controller

    def accept(self, release_id: str, fence: int, order: Order) -> bool:
        """Takes an order up; whether it is new and to be executed. Raises OrderRefusedError."""
        if fence < self.fence:
            raise OrderRefusedError(f"fence {fence}: another controller has {self.fence}")
        before = self.latest.get(order.unit)
        if before is not None and (before.release_id, before.order.number) == (release_id, order.number):
            self.latest[order.unit] = replace(before, fence=fence)
            self.fence = fence
            return False
        if before is not None:
            _refuse_unless_newer(before, release_id, fence, order)
        self.fence = fence
        self.latest[order.unit] = RememberedOrder(release_id, fence, order)
        return True

    def record_outcome(self, unit: str, error: str) -> None:
        """The unit's order was executed. error: what went wrong; empty: nothing."""
        self.latest[unit] = replace(self.latest[unit], succeeded=not error, error=error)

    def unfinished(self) -> list[Order]:
        """Orders without an outcome. They are executed again when the agent starts."""
        return [latest.order for latest in self.latest.values() if latest.succeeded is None]

    def copy(self) -> "AgentMemory":
        """An independent copy, which can replace this one as a whole."""
        return AgentMemory(dict(self.latest), self.fence)

    def encode(self) -> bytes:
        """As JSON, in the stored form of the first version."""
        latest = {
            unit: {
                "id": remembered.release_id,
                "fence": remembered.fence,
                "number": remembered.order.number,
                "step": remembered.order.step,
                "version": remembered.order.version,
                "good": remembered.succeeded,
                "why": remembered.error,
            }
            for unit, remembered in self.latest.items()
        }
        return orjson.dumps({"last": latest, "fence": self.fence})

    @classmethod
    def decode(cls, content: bytes) -> "AgentMemory":
        """From JSON. Raises StoredStateError."""
        try:
            fields = orjson.loads(content)
            latest = {str(unit): _decoded(str(unit), stored) for unit, stored in fields["last"].items()}
            return cls(latest, int(fields["fence"]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise StoredStateError(f"an agent's orders can't be decoded: {error!r}") from error


def _refuse_unless_newer(before: RememberedOrder, release_id: str, fence: int, order: Order) -> None:
    if before.succeeded is None:
        raise OrderRefusedError(f"{order.unit}: {before.order.step} is under way")
    newer = (fence, order.number) > (before.fence, before.order.number)
    if not newer or (before.release_id == release_id and order.number < before.order.number):
        raise OrderRefusedError(f"{order.unit}: number {order.number} is an older order's")


def _decoded(unit: str, stored: Mapping[str, object]) -> RememberedOrder:
    number, fence, succeeded = stored["number"], stored["fence"], stored.get("good")
    if not isinstance(number, int) or not isinstance(fence, int):
        raise TypeError(f"{unit}: number {number!r}, fence {fence!r}")
    if succeeded is not None and not isinstance(succeeded, bool):
        raise TypeError(f"{unit}: good {succeeded!r}")
    order = Order(unit, Step(str(stored["step"])), str(stored["version"]), number)
    return RememberedOrder(str(stored["id"]), fence, order, succeeded, str(stored.get("why", "")))
