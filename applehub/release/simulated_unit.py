"""A unit that exists in memory alone, for rehearsals and for the model. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from applehub.release.state_machine import Order, Step


@dataclass(slots=True)
class SimulatedUnit:
    """The truth about a unit, and the last order that was executed on it."""

    version: str
    out_of_service: bool = False
    last_number: int = 0
    succeeded: bool = True

    def execute(self, order: Order, fails: bool) -> str:
        """Executes an order, or fails to; why the unit should not have been given it, empty if it should."""
        self.last_number = order.number
        self.succeeded = not fails
        expects_out = order.step in (Step.REPLACE, Step.ADMIT)
        misplaced = order.step is not Step.UPGRADE and self.out_of_service is not expects_out
        problem = f"{order.step} while out={self.out_of_service}" if misplaced else ""
        if not fails:
            match order.step:
                case Step.DRAIN:
                    self.out_of_service = True
                case Step.REPLACE | Step.UPGRADE:
                    self.version = order.version
                case Step.ADMIT:
                    self.out_of_service = False
        return problem

    def to_json(self) -> Mapping[str, object]:
        """In the stored form of the first version."""
        return {
            "version": self.version,
            "out": self.out_of_service,
            "last": self.last_number,
            "good": self.succeeded,
        }

    @classmethod
    def from_json(cls, fields: Mapping[str, Any]) -> "SimulatedUnit":
        """From the stored form. Raises KeyError, TypeError, ValueError."""
        return cls(str(fields["version"]), bool(fields["out"]), int(fields["last"]), bool(fields["good"]))
