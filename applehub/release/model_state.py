"""State of the model checker: the controller, its disk, the agents and units, and the messages in flight."""

from dataclasses import asdict, dataclass, field, replace

import orjson

from applehub.release.agent_memory import AgentMemory
from applehub.release.simulated_unit import SimulatedUnit
from applehub.release.state_machine import Order, ReleaseRecord

RELEASE_ID = "r"  # id of the only release of the model
Outcome = tuple[str, int, bool]  # unit, order number, whether it succeeded


@dataclass(slots=True)
class FaultBudget:
    """Number of times that each fault and each staff request may still occur."""

    failed_steps: int = 0
    crashes: int = 0
    failed_saves: int = 0
    halts: int = 1
    rollbacks: int = 1


@dataclass(slots=True)
class ModelState:
    """One state of the model. Delivered messages stay in flight until they are lost, to model duplicates."""

    record: ReleaseRecord  # record in the controller's memory
    stored: ReleaseRecord  # record on the controller's disk
    units: dict[str, SimulatedUnit]
    memories: dict[str, AgentMemory]  # stored orders of each unit's own agent
    budget: FaultBudget
    orders: set[tuple[Order, int]] = field(default_factory=set)  # orders in flight, with their fencing tokens
    unsent: set[Order] = field(default_factory=set)  # orders that wait for the record to be stored
    outcomes: set[Outcome] = field(default_factory=set)  # outcomes in flight
    fence: int = 1  # fencing token of the current controller
    violation: str = ""  # first invariant violated by a transition; empty if none

    def copy(self) -> "ModelState":
        """Returns an independent copy."""
        return replace(
            self,
            record=copy_record(self.record),
            stored=copy_record(self.stored),
            units={name: replace(unit) for name, unit in self.units.items()},
            memories={name: memory.copy() for name, memory in self.memories.items()},
            budget=replace(self.budget),
            orders=set(self.orders),
            unsent=set(self.unsent),
            outcomes=set(self.outcomes),
        )

    def key(self) -> bytes:
        """Returns bytes that are equal for equal states."""
        orders = sorted(
            (order.number, fence, order.unit, order.step, order.version) for order, fence in self.orders
        )
        units = {
            name: (unit.version, unit.out_of_service, self.memories[name].encode().decode())
            for name, unit in self.units.items()
        }
        stored = None if self.stored == self.record else asdict(self.stored)
        unsent = sorted(order.number for order in self.unsent)
        contents = (
            asdict(self.record), stored, units, orders, unsent, sorted(self.outcomes), asdict(self.budget),
            self.fence, self.violation,
        )  # fmt: skip
        return orjson.dumps(contents, option=orjson.OPT_SORT_KEYS)

    def out_of_service(self) -> list[str]:
        """Returns the names of the units that are out of service."""
        return [name for name, unit in self.units.items() if unit.out_of_service]


def copy_record(record: ReleaseRecord) -> ReleaseRecord:
    """Returns a copy that shares no object that the state machine modifies."""
    units = {name: replace(unit) for name, unit in record.units.items()}
    return replace(record, stuck_units=list(record.stuck_units), units=units)
