"""Simulated units for rehearsals and the model checker."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from applehub.release.state_machine import Order, Step


@dataclass(slots=True)
class SimulatedUnit:
    """The state of a simulated unit and the last order that was executed on it."""

    version: str
    out_of_service: bool = False
    last_number: int = 0
    succeeded: bool = True

    def execute(self, order: Order, fails: bool) -> str:
        """Executes or fails an order. Returns why the order is invalid, or an empty string if it is not."""
        self.last_number = order.number
        self.succeeded = not fails
        requires_out_of_service = order.step in (Step.REPLACE, Step.ADMIT)
        is_invalid = order.step is not Step.UPGRADE and self.out_of_service is not requires_out_of_service
        violation = f"step {order.step} while out of service is {self.out_of_service}" if is_invalid else ""
        if not fails:
            match order.step:
                case Step.DRAIN:
                    self.out_of_service = True
                case Step.REPLACE | Step.UPGRADE:
                    self.version = order.version
                case Step.ADMIT:
                    self.out_of_service = False
        return violation

    def to_json(self) -> Mapping[str, object]:
        """Returns the fields of the stored form."""
        return {
            "version": self.version,
            "out": self.out_of_service,
            "last": self.last_number,
            "good": self.succeeded,
        }

    @classmethod
    def from_json(cls, fields: Mapping[str, Any]) -> "SimulatedUnit":
        """Decodes the stored form. Raises KeyError, TypeError or ValueError."""
        return cls(str(fields["version"]), bool(fields["out"]), int(fields["last"]), bool(fields["good"]))
