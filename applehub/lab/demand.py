"""Requests as clients issue them, and the ids of the client attempts."""

from dataclasses import dataclass

MAX_CLIENT_ATTEMPTS = 11  # maximum per demand: the first attempt and ten retries


@dataclass(slots=True, eq=False)
class Demand:
    """A client's request, across all of its attempts. Times and work are in ns."""

    number: int
    cls: int
    zone: int
    key: str
    write: bool
    work: int
    created_at: int
    weight: float
    client_attempt_count: int = 0
    finished: bool = False


def client_attempt_id(demand: Demand) -> str:
    """Returns the unique id of the latest client attempt, which encodes the demand's number."""
    return f"{demand.number * MAX_CLIENT_ATTEMPTS + demand.client_attempt_count:016x}"


def demand_number(attempt_id: str) -> int:
    """Returns the number of the demand that a client attempt's id belongs to.

    Raises ValueError if the text is not an id.
    """
    return int(attempt_id, 16) // MAX_CLIENT_ATTEMPTS
