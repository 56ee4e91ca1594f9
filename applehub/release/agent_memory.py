"""Latest orders of an agent's units, and the rules by which new orders are accepted. Free of I/O.

Each order has the id of its release, a number that increases within the release, and the fencing token
(`fence`) of its controller's lock, which increases with each lock holder. Orders with a lower fence come from
a replaced controller and are rejected. A repeated order is not executed again; its outcome is reported.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import orjson

from applehub.release.errors import OrderRejectedError, StoredStateError
from applehub.release.messages import OrderOutcome
from applehub.release.state_machine import Order, Step


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """The latest order of a unit. `succeeded` is None until the order has been executed."""

    release_id: str
    fence: int
    order: Order
    succeeded: bool | None = None
    error: str = ""

    @property
    def outcome(self) -> OrderOutcome:
        """The outcome as reported to controllers."""
        return OrderOutcome(self.release_id, self.order.number, self.succeeded, self.error)


@dataclass(slots=True)
class AgentMemory:
    """The latest orders of one agent's units."""

    latest: dict[str, OrderRecord] = field(default_factory=dict)  # by unit name
    fence: int = 0  # highest fencing token of any accepted order

    def accept(self, release_id: str, fence: int, order: Order) -> bool:
        """Records an order. Returns False if the order was accepted before. Raises OrderRejectedError."""
        if fence < self.fence:
            raise OrderRejectedError(f"expected fence {self.fence} or higher, got {fence}")
        previous = self.latest.get(order.unit)
        if previous is not None and (previous.release_id, previous.order.number) == (
            release_id,
            order.number,
        ):
            self.latest[order.unit] = replace(previous, fence=fence)
            self.fence = fence
            return False
        if previous is not None:
            _reject_unless_newer(previous, release_id, fence, order)
        self.fence = fence
        self.latest[order.unit] = OrderRecord(release_id, fence, order)
        return True

    def record_outcome(self, unit: str, error: str) -> None:
        """Records the outcome of a unit's latest order. `error` is empty if the order succeeded."""
        self.latest[unit] = replace(self.latest[unit], succeeded=not error, error=error)

    def unfinished(self) -> list[Order]:
        """Returns the orders without an outcome, which are executed again when the agent starts."""
        return [record.order for record in self.latest.values() if record.succeeded is None]

    def copy(self) -> "AgentMemory":
        """Returns an independent copy."""
        return AgentMemory(dict(self.latest), self.fence)

    def encode(self) -> bytes:
        """Returns the orders as JSON, in a format that older agents can read."""
        latest = {
            unit: {
                "id": record.release_id,
                "fence": record.fence,
                "number": record.order.number,
                "step": record.order.step,
                "version": record.order.version,
                "good": record.succeeded,
                "why": record.error,
            }
            for unit, record in self.latest.items()
        }
        return orjson.dumps({"last": latest, "fence": self.fence})

    @classmethod
    def decode(cls, content: bytes) -> "AgentMemory":
        """Decodes the result of `encode`. Raises StoredStateError."""
        try:
            fields = orjson.loads(content)
            latest = {str(unit): _decode_record(str(unit), stored) for unit, stored in fields["last"].items()}
            return cls(latest, int(fields["fence"]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise StoredStateError(f"stored orders of an agent can't be decoded: {error!r}") from error


def _reject_unless_newer(previous: OrderRecord, release_id: str, fence: int, order: Order) -> None:
    if previous.succeeded is None:
        raise OrderRejectedError(f"{order.unit}: step {previous.order.step} is in progress")
    newer = (fence, order.number) > (previous.fence, previous.order.number)
    if not newer or (previous.release_id == release_id and order.number < previous.order.number):
        raise OrderRejectedError(
            f"{order.unit}: order number {order.number} is not higher than that of the latest order"
        )


def _decode_record(unit: str, stored: Mapping[str, object]) -> OrderRecord:
    number, fence, succeeded = stored["number"], stored["fence"], stored.get("good")
    if not isinstance(number, int) or not isinstance(fence, int):
        raise TypeError(f"{unit}: expected integers, got number {number!r} and fence {fence!r}")
    if succeeded is not None and not isinstance(succeeded, bool):
        raise TypeError(f"{unit}: expected a boolean for good, got {succeeded!r}")
    order = Order(unit, Step(str(stored["step"])), str(stored["version"]), number)
    return OrderRecord(str(stored["id"]), fence, order, succeeded, str(stored.get("why", "")))
