"""Messages between a controller and its agents.

`POST /v1/orders` carries an `OrderMessage`, and `GET /v1/units` returns an `AgentStatus`, both as JSON.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import orjson

from applehub.release.errors import MessageError
from applehub.release.state_machine import Order, Step

INCARNATION = "life"  # key of the metric that changes at each start of a unit


@dataclass(frozen=True, slots=True)
class OrderMessage:
    """An order with the id of its release and the fencing token of its controller."""

    release_id: str
    fence: int
    order: Order

    def encode(self) -> bytes:
        """Returns the message as JSON."""
        order = self.order
        return orjson.dumps(
            {
                "release": self.release_id,
                "fence": self.fence,
                "unit": order.unit,
                "step": order.step,
                "version": order.version,
                "number": order.number,
            }
        )

    @classmethod
    def decode(cls, content: bytes) -> "OrderMessage":
        """Decodes a message from JSON. Raises MessageError."""
        try:
            fields = orjson.loads(content)
            order = Order(
                str(fields["unit"]), Step(fields["step"]), str(fields["version"]), int(fields["number"])
            )
            return cls(str(fields["release"]), int(fields["fence"]), order)
        except (ValueError, KeyError, TypeError) as error:
            raise MessageError(f"expected an order: {error}") from error


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """The outcome of a unit's latest order. `succeeded` is None until the order has been executed."""

    release_id: str
    number: int
    succeeded: bool | None
    error: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The metrics that a unit reports, as listed in gates.py. Any metric may be absent."""

    metrics: Mapping[str, float]

    @property
    def incarnation(self) -> float | None:
        """Value that changes at each start of the unit, or None if the unit does not report it."""
        return self.metrics.get(INCARNATION)

    def value(self, name: str) -> float:
        """Returns a metric, or 0 if the unit does not report it."""
        return self.metrics.get(name, 0.0)


@dataclass(frozen=True, slots=True)
class UnitStatus:
    """The status of one unit. `report` is None if the unit does not respond to its agent."""

    outcome: OrderOutcome | None
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """The status of all units of an agent."""

    fence: int
    units: Mapping[str, UnitStatus]

    def encode(self) -> bytes:
        """Returns the message as JSON."""
        units = {
            name: {
                "order": _encoded_outcome(status.outcome),
                "figures": None if status.report is None else dict(status.report.metrics),
            }
            for name, status in self.units.items()
        }
        return orjson.dumps({"fence": self.fence, "units": units})

    @classmethod
    def decode(cls, content: bytes) -> "AgentStatus":
        """Decodes a message from JSON. Raises MessageError."""
        try:
            fields = orjson.loads(content)
            units = {
                str(name): UnitStatus(_decoded_outcome(unit["order"]), _decoded_report(unit["figures"]))
                for name, unit in fields["units"].items()
            }
            return cls(int(fields.get("fence", 0)), units)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise MessageError(f"expected the status of an agent: {error!r}") from error


@dataclass(frozen=True, slots=True)
class Rejection:
    """The reason for which an agent rejected an order."""

    error: str

    @classmethod
    def decode(cls, content: bytes) -> "Rejection":
        """Decodes a message from JSON. Raises MessageError."""
        try:
            return cls(str(orjson.loads(content).get("error", "")))
        except (ValueError, AttributeError) as error:
            raise MessageError(f"expected a JSON object with an error: {error}") from error


def _encoded_outcome(outcome: OrderOutcome | None) -> dict[str, object]:
    if outcome is None:
        return {}
    return {
        "release": outcome.release_id,
        "number": outcome.number,
        "good": outcome.succeeded,
        "why": outcome.error,
    }


def _decoded_outcome(fields: Mapping[str, object]) -> OrderOutcome | None:
    if not fields:
        return None
    succeeded = fields["good"]
    if succeeded is not None and not isinstance(succeeded, bool):
        raise TypeError(f"expected a boolean for good, got {succeeded!r}")
    number = fields["number"]
    if not isinstance(number, int):
        raise TypeError(f"expected an integer for number, got {number!r}")
    return OrderOutcome(str(fields["release"]), number, succeeded, str(fields["why"]))


def _decoded_report(fields: Mapping[str, float] | None) -> LoadReport | None:
    if fields is None:
        return None
    return LoadReport({str(name): float(value) for name, value in fields.items()})
