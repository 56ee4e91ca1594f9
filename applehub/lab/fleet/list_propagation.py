"""The delays with which routers apply list changes, and the check of these delays. It does no I/O.

Each router must apply each change within `limit_s` seconds from when the list service has the change and can
be reached. `limit_s` is 6 s or, if longer, the time that ideal callers need
(`service_queue.ideal_completion_time`), so calls that routers waste do not extend the limit.

- An outage that begins within the limit, before the router has applied the change, restarts the time at the
  end of the outage.
- Unresponsive watches do not restart the time, because the service still answers new calls.
- The first list counts as a change that is made as the routers start.
- A change that a router never applies breaks the limit; a run must last for `limit_s` after each change."""

import math
from bisect import bisect_left
from dataclasses import dataclass

from applehub.lab.fleet.service_queue import ServiceBehavior, ideal_completion_time

PROPAGATION_LIMIT_S = 6.0  # maximum time from when the list service has a change and can be reached
NEVER = math.inf


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the list: its version and the time at which it was made."""

    version: int
    made_at: float
    phase: str  # phase of the scenario: start, calm, silent or outage


@dataclass(frozen=True, slots=True)
class Outage:
    """An interval in which the list service could not be reached."""

    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class AppliedVersion:
    """The time at which a router applied a version."""

    applied_at: float
    version: int


@dataclass(frozen=True, slots=True)
class PropagationDelay:
    """The delay with which one router applied one change, as `propagation_seconds` defines it."""

    router: int
    change: Change
    seconds: float  # NEVER if the router did not apply the change in the run


def propagation_limit(service: ServiceBehavior, routers: int) -> float:
    """Returns `limit_s`, the maximum propagation delay."""
    return max(PROPAGATION_LIMIT_S, ideal_completion_time(service, routers))


def propagation_seconds(
    change: Change, applied: list[AppliedVersion], outages: list[Outage], limit_s: float
) -> float:
    """Returns the time, in seconds, from when the service could serve a change until a router applied it."""
    index = bisect_left(applied, change.version, key=lambda applied_version: applied_version.version)
    applied_at = applied[index].applied_at if index < len(applied) else NEVER
    counted_from = change.made_at
    for outage in outages:
        if counted_from <= outage.end and outage.begin < min(applied_at, counted_from + limit_s):
            counted_from = outage.end
    return max(0.0, applied_at - counted_from)


def all_propagation_delays(
    changes: list[Change], applied: list[list[AppliedVersion]], outages: list[Outage], limit_s: float
) -> list[PropagationDelay]:
    """Returns the delay of each change at each router."""
    return [
        PropagationDelay(router, change, propagation_seconds(change, versions, outages, limit_s))
        for router, versions in enumerate(applied)
        for change in changes
    ]


def breaches(delays: list[PropagationDelay], limit_s: float) -> list[PropagationDelay]:
    """Returns the delays above the limit, longest first."""
    return sorted((delay for delay in delays if delay.seconds > limit_s), key=lambda delay: -delay.seconds)


def percentile(values: list[float], fraction: float) -> float:
    """Returns the smallest value that at least the given fraction of the values does not exceed."""
    return sorted(values)[max(0, math.ceil(fraction * len(values)) - 1)]
