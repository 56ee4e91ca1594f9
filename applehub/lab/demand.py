"""What clients want, and the ids of their tries."""

from dataclasses import dataclass

MOST_TRIES = 11  # of one demand


@dataclass(slots=True, eq=False)
class Demand:
    """What a client wants, over all of its tries."""

    number: int
    cls: int
    zone: int
    key: str
    write: bool
    work: int
    born: int
    worth: float
    tries: int = 0
    over: bool = False


def try_id(demand: Demand) -> str:
    """The id of its latest try: a new one for each, from which the demand's number can be told."""
    return f"{demand.number * MOST_TRIES + demand.tries:016x}"


def demand_of(identity: str) -> int:
    """The number of the demand that a try's id belongs to; raises ValueError for what is no id."""
    return int(identity, 16) // MOST_TRIES
