"""The schema of experiment files: types, defaults and validation.

Names of durations end with their unit (`_ms`, `_s`); shares are fractions of one. Work is a time on a core
of speed 1.
"""

import copy
import itertools
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError, model_validator

from applehub.settings import Json
from applehub.validation import Table, format_validation_errors, validate

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=1)]
PolicyName = Literal["router", "random", "two-choices", "bounded-hash", "oracle"]


class SpecError(ValueError):
    """Raised for an invalid experiment file; each line names the file, the key and the expected value."""


class Kind(Table):
    """A machine type of cache servers."""

    name: str
    share: Positive
    cores: Count
    speed: Positive
    speed_cv: Share = 0.14  # coefficient of variation of the speed among servers
    slots_per_core: Positive = 4  # concurrent jobs per core
    queue_per_core: Positive = 2.5  # queued jobs per core
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2  # capacity after a start, relative to warm
    cold_s: Positive = 18  # duration of the warm-up


class Topology(Table):
    """Numbers of servers and routers, their zones and kinds."""

    servers: Count = 15
    routers: Count = 5
    zones: Annotated[list[str], Field(min_length=1)] = [
        "santiago", "valparaiso", "concepcion", "temuco", "la-serena",
    ]  # fmt: skip
    kinds: Annotated[list[Kind], Field(min_length=1)] = [
        Kind(name="doble", share=0.34, cores=2, speed=0.97),
        Kind(name="simple", share=0.66, cores=1, speed=0.6),
    ]


class Servers(Table):
    """Settings that all cache servers share."""

    memory: Positive = 1.3  # number of keys that all servers can store, relative to one pooled cache
    choke: NonNegative = 0  # congestion: relative slowdown per choke_at jobs above choke_at
    choke_at: Positive = 8  # jobs per core above which congestion starts
    miss_work: Share = 0.1  # work of a miss, as a fraction of the request's work
    drops_abandoned: bool = False  # whether servers drop queued requests that no router waits for
    error_share: Share = 0.0003
    report_ms: Positive = 860  # interval between updates of the load report
    report_noise: Share = 0.03  # maximum relative error of the load report
    connections_per_core: Count = 750  # maximum number of connections per core
    handshake_ms: NonNegative = 1.7  # server work per handshake
    handshake_rtts: NonNegative = 2.5  # network round trips per handshake
    idle_s: Positive = 10
    full_tax: Share = 0.09  # fraction of capacity lost when the connection table is full


class Origin(Table):
    """The shared origin; its capacity derives from the reads that one pooled cache would miss."""

    headroom: Positive = 2.6  # capacity, relative to the writes and the misses of one pooled cache
    work_of_aim: Positive = 0.15  # mean work of a read, relative to the shortest latency objective
    queue_s: Positive = 2  # queue limit, in seconds at full rate
    choke: NonNegative = 0.05
    coalesce: bool = False  # whether concurrent reads of a key share one job
    error_share: Share = 0
    capacity_rps: NonNegative = 0  # 0: derived from headroom


class Network(Table):
    """One-way network delays and the connect timeout."""

    same_ms: NonNegative = 0.22
    cross_ms: NonNegative = 7.8
    client_ms: NonNegative = 0.7
    jitter: Share = 0.2  # maximum relative deviation of a delay
    dial_timeout_ms: Positive = 120


class Discovery(Table):
    """Delays and capacity of the emulated discovery service."""

    notice_s: NonNegative = 3  # delay until a stopped server is reported
    add_s: NonNegative = 1.4  # delay until a started server is reported
    calls_per_s: Positive = 40  # capacity for calls, which are answered in order
    lines_per_s: Positive = 4000  # capacity for list entries
    timeout_ms: Positive = 2000  # maximum queueing time of a call
    spread_ms: NonNegative = 65  # mean delay from a change to its arrival at a watch


class RequestClass(Table):
    """A class of requests."""

    name: str
    share: Positive
    work_ms: Positive
    work_cv: NonNegative = 0.45  # coefficient of variation of the work
    aim_ms: Positive  # latency objective
    deadline_ms: Positive
    worth: Positive = 1  # priority weight
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: NonNegative = 2000  # validity of an idempotency key
    write: bool = False


class Keys(Table):
    """Requested keys, with Zipf popularity: p(rank) ~ 1 / (rank + offset) ** skew."""

    per_server: Count = 2000  # number of keys per server
    skew: Positive = 1.0
    offset: NonNegative = 3
    pooled_hits: Annotated[float, Field(gt=0, lt=1)] = 0.9  # hit ratio of one pooled cache
    drift_per_s: NonNegative = 0.0005  # fraction of the keys replaced per second


class Workload(Table):
    """Open-loop request arrivals; the rate follows a sine wave around its mean."""

    load: Positive = 0.5  # mean work requested, relative to the capacity of all warm servers
    zone_skew: Share = 0.3  # maximum relative deviation of a zone's traffic from an even split
    wave: Share = 0.1  # amplitude of the wave, relative to the mean rate
    wave_s: Positive = 20  # period of the wave
    keys: Keys = Keys()
    classes: Annotated[list[RequestClass], Field(min_length=1)] = [
        RequestClass(name="consulta", share=0.962, work_ms=37, aim_ms=300, deadline_ms=600, worth=3),
        RequestClass(
            name="reserva", share=0.021, work_ms=35, aim_ms=300, deadline_ms=1000, worth=10,
            effect="keyed", write=True,
        ),
        RequestClass(
            name="despacho", share=0.017, work_ms=35, aim_ms=600, deadline_ms=2500, worth=2,
            effect="unsafe", write=True,
        ),
    ]  # fmt: skip


class Clients(Table):
    """Client behaviour: timeouts, retries and early disconnects."""

    retries: Annotated[int, Field(ge=0, le=10)] = 2
    # Range of the timeout of a client attempt, as fractions of the deadline of the class.
    try_share: Annotated[list[Share], Field(min_length=2, max_length=2)] = [0.5, 0.8]
    backoff_ms: NonNegative = 50  # mean backoff before the first retry; doubles with each retry
    leave_early: Share = 0.01  # fraction of client attempts that the client cancels
    honour: Share = 0.9  # fraction of retries that respect the retry-after
    notice_s: NonNegative = 2  # mean delay until the front-end excludes a dead router


class Routers(Table):
    """Processing costs and limits of a router."""

    request_us: NonNegative = 450  # processor time per request
    attempt_us: NonNegative = 300  # processor time per attempt
    alarm_us: NonNegative = 40  # processor time per timer
    member_us: NonNegative = 25  # processor time per entry of a list
    start_ms: NonNegative = 300  # duration of a process start
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 4
    idle_s: Positive = 5  # idle timeout of connections to servers
    retry_after_ms: NonNegative = 0  # 0: clients get no retry-after
    keeps_s: NonNegative = 0  # interval between saves of the statistics that survive restarts; 0: never


class Peers(Table):
    """Gossip between routers over the emulated network."""

    on: bool = False
    period_ms: Positive = 100  # interval between health checks of a router
    loss: Share = 0  # fraction of datagrams lost
    datagram_us: NonNegative = 100  # processor time per datagram sent or received
    shares: bool = True  # whether the decision module receives gossiped range fractions
    verdicts: bool = True  # whether the decision module receives gossiped failure reports
    liars: Share = 0  # fraction of routers that gossip failures and minimal fractions for every server


class Rules(Table):
    """Limits of the checked rules, which the routers also receive as settings."""

    answer_slack_ms: NonNegative = 20
    drain_grace_ms: NonNegative = 500
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.12  # capacity after a start, relative to warm
    ramp_s: Positive = 24  # duration of the slow start
    tip_multiple: Positive = 2.5  # load that overloads a warming server, relative to its capacity
    fall_s: Positive = 2  # window over which the overload of a server is measured
    ask_within_s: Positive = 10  # maximum interval between polls of the endpoint list


class Goal(Table):
    """Weights of a scenario's score: the fractions of weight served count as gains, `cross_zone`, `waste`,
    `late_fail` and `handshake` as penalties."""

    whole: Share = 0.55
    worst_window: Share = 0.1
    worst_class: Share = 0.35
    window_s: Positive = 10
    cross_zone: NonNegative = 0.03
    waste: NonNegative = 0.029
    late_fail: NonNegative = 0.12
    handshake: NonNegative = 0.02


class Burst(Table):
    """Raises the request rate to a multiple for a while."""

    kind: Literal["burst"]
    at_s: NonNegative
    for_s: Positive
    factor: Positive
    edge_s: Positive = 0.5  # duration of the rise, and of the fall


class Ramp(Table):
    """Changes the request rate linearly to a multiple, and keeps it there."""

    kind: Literal["ramp"]
    at_s: NonNegative
    for_s: Positive
    factor: Positive


class Shift(Table):
    """Shifts a share of all traffic to one zone."""

    kind: Literal["shift"]
    at_s: NonNegative
    for_s: Positive
    zone: int = 0
    share: Share = 0.3


class HotKey(Table):
    """Directs a share of all requests to a few keys."""

    kind: Literal["hot_key"]
    at_s: NonNegative
    for_s: Positive
    share: Share = 0.15
    keys: Count = 2


class Scan(Table):
    """Directs a share of all requests to keys that are requested only once."""

    kind: Literal["scan"]
    at_s: NonNegative
    for_s: Positive
    share: Share = 0.1


class NoisyNeighbour(Table):
    """Another program on some servers periodically takes a fraction of their cores."""

    kind: Literal["neighbour"]
    at_s: NonNegative
    for_s: Positive
    part: Share = 0.3
    takes: Annotated[float, Field(ge=0, lt=1)] = 0.55  # fraction of a server's cores
    period_s: Positive = 3


class Shrink(Table):
    """Scales in: servers drain and stop, and the traffic falls with them."""

    kind: Literal["shrink"]
    at_s: NonNegative
    for_s: Positive = 16  # time from the first drain to the last
    part: Share = 0.4
    drain_s: Positive = 4


class ServerFault(Table):
    """Makes some servers slow, failing or unresponsive for a while."""

    kind: Literal["slow", "failing", "silent"]
    at_s: NonNegative
    for_s: Positive
    part: Share = 0.125
    size: Share = 0.7  # fraction of speed lost (slow) or of answers that are errors (failing)


class ZoneLoss(Table):
    """Stops all servers of a zone, and restarts them with empty caches."""

    kind: Literal["zone_loss"]
    at_s: NonNegative
    for_s: Positive = 5
    zone: int = 0


class Partition(Table):
    """Separates a zone from the others: messages across the boundary are lost without an error."""

    kind: Literal["partition"]
    at_s: NonNegative
    for_s: Positive = 6
    zone: int = 0


class ConnectionFault(Table):
    """Loses answers, and resets connections with requests in progress."""

    kind: Literal["breaks"]
    at_s: NonNegative
    for_s: Positive
    lost: Share = 0.02
    reset: Share = 0.02


class ServerReplacement(Table):
    """Replaces servers by new ones with new ids and empty caches."""

    kind: Literal["join"]
    at_s: NonNegative
    for_s: Positive = 7
    part: Share = 0.6
    drain_s: Positive = 2


class KillRouters(Table):
    """Kills a fraction of the routers at the same time; they restart without their state in memory."""

    kind: Literal["kill_routers"]
    at_s: NonNegative
    part: Share = 0.7
    down_s: Positive = 1


class RollingRestart(Table):
    """Restarts the routers in batches, each with a graceful shutdown."""

    kind: Literal["roll_routers"]
    at_s: NonNegative
    for_s: Positive = 20
    batches: Count = 10
    down_s: Positive = 1


class Reload(Table):
    """Reloads the settings of every router (SIGHUP), with a new attempt limit or discovery address."""

    kind: Literal["reload"]
    at_s: NonNegative
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 4
    moves: bool = False  # whether the discovery address changes


class DiscoveryFault(Table):
    """Takes the discovery service down, or slows it."""

    kind: Literal["discovery"]
    at_s: NonNegative
    for_s: Positive
    slower: Positive = 10  # factor by which the time per call grows
    down: bool = False


Fault = Annotated[
    Burst | Ramp | Shift | HotKey | Scan | NoisyNeighbour | Shrink | ServerFault | ZoneLoss | Partition
    | ConnectionFault | ServerReplacement | KillRouters | RollingRestart | Reload | DiscoveryFault,
    Field(discriminator="kind"),
]  # fmt: skip


class Seeds(Table):
    """Range of seeds to run."""

    first: Annotated[int, Field(ge=0)] = 1
    count: Annotated[int, Field(ge=1, le=10_000)] = 1


class Scenario(Table):
    """All settings of a simulation except its policy and seed; one point of an experiment."""

    seconds: Annotated[float, Field(gt=0, le=7200)] = 50
    topology: Topology = Topology()
    servers: Servers = Servers()
    origin: Origin = Origin()
    network: Network = Network()
    discovery: Discovery = Discovery()
    workload: Workload = Workload()
    clients: Clients = Clients()
    routers: Routers = Routers()
    peers: Peers = Peers()
    rules: Rules = Rules()
    goal: Goal = Goal()
    faults: list[Fault] = []

    @model_validator(mode="after")
    def _zones_exist(self) -> "Scenario":
        for number, fault in enumerate(self.faults):
            zone = getattr(fault, "zone", 0)
            if not 0 <= zone < len(self.topology.zones):
                raise ValueError(
                    f"faults.{number}.zone: expected a zone from 0 to {len(self.topology.zones) - 1}"
                )
        return self


class Experiment(Scenario):
    """An experiment file: a scenario, its seeds, policies and a sweep over settings."""

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
    about: str = ""
    seeds: Seeds = Seeds()
    policies: Annotated[list[PolicyName], Field(min_length=1)] = ["router"]
    sweep: dict[str, Annotated[list[Any], Field(min_length=1)]] = {}


def _set_by_path(raw: Json, path: str, value: Any) -> None:
    """Sets a value by its dotted path; numbers index lists."""
    container: Any = raw
    *steps, last = path.split(".")
    for step in steps:
        container = container[int(step)] if isinstance(container, list) else container.setdefault(step, {})
    if isinstance(container, list):
        container[int(last)] = value
    else:
        container[last] = value


def parse_experiment(name: str, raw: Json) -> tuple[Experiment, list[tuple[Json, Scenario]]]:
    """Validates an experiment and returns it with the points of its sweep: swept values and scenario.

    name: Name of the file in error messages.

    Raises SpecError, with one line per error.
    """
    experiment = validate(name, Experiment, raw, SpecError)
    points: list[tuple[Json, Scenario]] = []
    scenario = {key: value for key, value in raw.items() if key in Scenario.model_fields}
    for values in itertools.product(*experiment.sweep.values()):
        point = dict(zip(experiment.sweep, values, strict=True))
        point_settings = copy.deepcopy(scenario)
        try:
            for key, value in point.items():
                _set_by_path(point_settings, key, value)
            points.append((point, Scenario.model_validate(point_settings)))
        except ValidationError as error:
            raise SpecError(format_validation_errors(f"{name}: sweep {point}", error)) from None
        except (LookupError, TypeError, ValueError, AttributeError):
            raise SpecError(f"{name}: sweep {point}: expected the dotted path of a setting") from None
    return experiment, points


def _milliseconds_to_ns(milliseconds: float) -> int:
    return int(milliseconds * 1_000_000)


def router_settings(scenario: Scenario) -> Json:
    """Returns the settings that the platform passes to a router, under their external names."""
    rules, routers = scenario.rules, scenario.routers
    kinds = [kind.name for kind in scenario.topology.kinds]
    return {
        "azs": list(scenario.topology.zones),
        "hostTypes": [*kinds, "origin"],
        "balancers": scenario.topology.routers,
        "ceilings": {
            "attemptsCap": routers.max_attempts,
            "dialTimeout": _milliseconds_to_ns(scenario.network.dial_timeout_ms),
            "keepalive": _milliseconds_to_ns(scenario.servers.idle_s * 1000),
            "retryAfter": routers.retry_after_ms > 0,
            "maxRetryAfter": _milliseconds_to_ns(routers.retry_after_ms),
            "mostHeld": 20_000,
        },
        "classes": [
            {
                "name": request_class.name,
                "aim": _milliseconds_to_ns(request_class.aim_ms),
                "deadline": _milliseconds_to_ns(request_class.deadline_ms),
                "effect": request_class.effect,
                "group": "all",
                "repeatWindow": _milliseconds_to_ns(request_class.window_ms),
                "gain": request_class.worth,
            }
            for request_class in scenario.workload.classes
        ],
        "registryMode": "on_request",
        "safety": {
            "answerSlack": _milliseconds_to_ns(rules.answer_slack_ms),
            "askWithin": _milliseconds_to_ns(rules.ask_within_s * 1000),
            "coldFrom": rules.cold_from,
            "fall": _milliseconds_to_ns(rules.fall_s * 1000),
            "rampTime": _milliseconds_to_ns(rules.ramp_s * 1000),
            "stopSendingWithin": _milliseconds_to_ns(rules.drain_grace_ms),
            "tipMultiple": rules.tip_multiple,
        },
        "specifics": {"mode": "aside", "originKind": len(kinds)},
    }
