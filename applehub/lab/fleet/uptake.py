"""How soon routers took up the changes of a list, and the check that each did in time. No I/O.

The check `in time`: each router has taken up each change within `patience` seconds from when the list service
had the change and could be reached. `patience` is 6 s, or where that is longer the time that ideal callers
need (`turns.ideal_time`). The latter comes from the queue of the service alone, never from what the routers
did: calls that routers waste do not lengthen it, and no router is blamed for what no way of asking gives.

- An outage that begins before these seconds are over, at a router that has not taken the change up by then,
  starts them anew at its end.
- Watches that fall silent start nothing anew: the service can still be asked.
- The first list counts as a change that is made as the routers start.
- A change that a router never takes up is a breach; a play has to go on for `patience` after each change."""

import math
from bisect import bisect_left
from dataclasses import dataclass

from applehub.lab.fleet.turns import Service, ideal_time

TOLD_WITHIN = 6.0  # s from when discovery has a change and can be reached
NEVER = math.inf


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the list and when it was made."""

    version: int
    at: float
    when: str  # what was going on: start, calm, silent, outage


@dataclass(frozen=True, slots=True)
class Outage:
    """The service could not be reached."""

    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class Taken:
    """A router took up a version."""

    at: float
    version: int


@dataclass(frozen=True, slots=True)
class Late:
    """One router and one change: how long it took, counted as the check counts."""

    router: int
    change: Change
    seconds: float  # NEVER where the play ended first


def patience_for(service: Service, routers: int) -> float:
    """The seconds that the check allows."""
    return max(TOLD_WITHIN, ideal_time(service, routers))


def seconds_to_take(change: Change, taken: list[Taken], outages: list[Outage], patience: float) -> float:
    """From when the service had a change and could be reached until a router took it up."""
    place = bisect_left(taken, change.version, key=lambda one: one.version)
    at = taken[place].at if place < len(taken) else NEVER
    since = change.at
    for outage in outages:
        if since <= outage.end and outage.begin < min(at, since + patience):
            since = outage.end
    return max(0.0, at - since)


def seconds_of_all(
    changes: list[Change], taken: list[list[Taken]], outages: list[Outage], patience: float
) -> list[Late]:
    """One entry for each router and change."""
    return [
        Late(router, change, seconds_to_take(change, versions, outages, patience))
        for router, versions in enumerate(taken)
        for change in changes
    ]


def breaches(seconds: list[Late], patience: float) -> list[Late]:
    """Those that break the check, the longest first."""
    return sorted((one for one in seconds if one.seconds > patience), key=lambda one: -one.seconds)


def percentile(values: list[float], part: float) -> float:
    """The smallest value that so great a part does not exceed."""
    return sorted(values)[max(0, math.ceil(part * len(values)) - 1)]
