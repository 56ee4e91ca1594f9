"""An experiment as its file tells it: types, defaults and checks. The only place where defaults stand.

Durations carry their unit in their name (`_ms`, `_s`); shares are parts of one. Work is a time at speed 1.
"""

import copy
import itertools
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError, model_validator

from applehub.checked import Table, describe_faults, validate
from applehub.settings import Json

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=1)]
PolicyName = Literal["router", "random", "two-choices", "bounded-hash", "oracle"]


class SpecError(ValueError):
    """An experiment's file is of no use; each line names the file, the key and what was expected."""


class Kind(Table):
    """A model of cache server."""

    name: str
    share: Positive
    cores: Count
    speed: Positive
    speed_cv: Share = 0.14
    slots_per_core: Positive = 4
    queue_per_core: Positive = 2.5
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    cold_s: Positive = 18


class Topology(Table):
    """The fleet."""

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
    """What all cache servers have in common."""

    memory: Positive = 1.3  # of the fleet, by the keys that one pooled cache needs for its hits
    choke: NotNegative = 0  # part of its speed lost for each time its cores are held once more than choke_at
    choke_at: Positive = 8
    miss_work: Share = 0.1  # part of a request's work that finding out of a miss costs
    drops_abandoned: bool = False  # waiting work that its router gave up on is dropped
    error_share: Share = 0.0003
    report_ms: Positive = 860  # between two refreshments of the load report
    report_noise: Share = 0.03
    connections_per_core: Count = 750
    handshake_ms: NotNegative = 1.7  # of work
    handshake_rtts: NotNegative = 2.5
    idle_s: Positive = 10
    full_tax: Share = 0.09  # part of its capacity that a full connection table takes


class Origin(Table):
    """The shared origin; its capacity follows from the reads that one pooled cache would miss."""

    headroom: Positive = 2.6
    work_of_aim: Positive = 0.15  # mean time of a read, as a part of the shortest aim
    queue_s: Positive = 2
    choke: NotNegative = 0.05
    coalesce: bool = False
    error_share: Share = 0
    capacity_rps: NotNegative = 0  # 0: by headroom


class Network(Table):
    """One-way delays and connects."""

    same_ms: NotNegative = 0.22
    cross_ms: NotNegative = 7.8
    client_ms: NotNegative = 0.7
    jitter: Share = 0.2
    dial_timeout_ms: Positive = 120


class Discovery(Table):
    """The service that lists servers."""

    notice_s: NotNegative = 3  # until it knows that a process ended
    add_s: NotNegative = 1.4  # until it knows that a process started
    calls_per_s: Positive = 40  # calls that it answers in turn
    lines_per_s: Positive = 4000
    timeout_ms: Positive = 2000  # a call that waited longer fails
    spread_ms: NotNegative = 65  # until a change has reached a subscriber


class RequestClass(Table):
    """A class of requests."""

    name: str
    share: Positive
    work_ms: Positive
    work_cv: NotNegative = 0.45
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: NotNegative = 2000
    write: bool = False


class Keys(Table):
    """What is asked for: Zipf popularity, p(rank) ~ 1 / (rank + offset) ** skew."""

    per_server: Count = 2000
    skew: Positive = 1.0
    offset: NotNegative = 3
    pooled_hits: Annotated[float, Field(gt=0, lt=1)] = 0.9  # of one cache of the fleet's size
    drift_per_s: NotNegative = 0.0005  # part of the keys that others take the place of in a second


class Workload(Table):
    """Open-loop arrivals."""

    load: Positive = 0.5  # part of what all warm servers can do
    zone_skew: Share = 0.3
    wave: Share = 0.1
    wave_s: Positive = 20
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
    """What clients do on their own."""

    retries: Annotated[int, Field(ge=0, le=10)] = 2
    try_share: Annotated[list[Share], Field(min_length=2, max_length=2)] = [0.5, 0.8]
    backoff_ms: NotNegative = 50  # doubled with each retry
    leave_early: Share = 0.01
    honour: Share = 0.9  # of those who are told when to come back
    notice_s: NotNegative = 2  # until the front deals nobody to a dead router


class Routers(Table):
    """What a router costs and is allowed."""

    request_us: NotNegative = 450  # processor time of a request on the router's part of a core
    attempt_us: NotNegative = 300
    alarm_us: NotNegative = 40
    member_us: NotNegative = 25  # for each entry of a list
    start_ms: NotNegative = 300
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 4
    idle_s: Positive = 5
    retry_after_ms: NotNegative = 0  # 0: clients are told nothing
    keeps_s: NotNegative = (
        0  # between two times that it keeps what it has learnt, over its restarts; 0: never
    )


class Peers(Table):
    """What routers tell one another, over the network of the day."""

    on: bool = False
    period_ms: Positive = 100  # between two probes of a router
    loss: Share = 0  # of datagrams
    datagram_us: NotNegative = 100  # of processor time, for one sent or taken
    shares: bool = True  # which of what is heard the module is told
    verdicts: bool = True
    liars: Share = 0  # routers that say that every server fails them and bears nothing


class Rules(Table):
    """The rules' figures; told to the routers."""

    answer_slack_ms: NotNegative = 20
    drain_grace_ms: NotNegative = 500
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.12
    ramp_s: Positive = 24
    tip_multiple: Positive = 2.5
    fall_s: Positive = 2
    ask_within_s: Positive = 10


class Goal(Table):
    """How a day is weighed; prices are points taken off, each times its share."""

    whole: Share = 0.55
    worst_window: Share = 0.1
    worst_class: Share = 0.35
    window_s: Positive = 10
    cross_zone: NotNegative = 0.03
    waste: NotNegative = 0.029
    late_fail: NotNegative = 0.12
    handshake: NotNegative = 0.02


class Burst(Table):
    """The rate rises to a multiple and falls again."""

    kind: Literal["burst"]
    at_s: NotNegative
    for_s: Positive
    factor: Positive
    edge_s: Positive = 0.5  # how long it rises and falls


class Ramp(Table):
    """The rate goes evenly to a multiple and stays there."""

    kind: Literal["ramp"]
    at_s: NotNegative
    for_s: Positive
    factor: Positive


class Shift(Table):
    """Part of all traffic moves into one zone."""

    kind: Literal["shift"]
    at_s: NotNegative
    for_s: Positive
    zone: int = 0
    share: Share = 0.3


class HotKey(Table):
    """A few keys take a share of all reads."""

    kind: Literal["hot_key"]
    at_s: NotNegative
    for_s: Positive
    share: Share = 0.15
    keys: Count = 2


class Scan(Table):
    """A share of the reads asks for keys that are wanted once."""

    kind: Literal["scan"]
    at_s: NotNegative
    for_s: Positive
    share: Share = 0.1


class Neighbour(Table):
    """Another program takes cores on some servers, on and off."""

    kind: Literal["neighbour"]
    at_s: NotNegative
    for_s: Positive
    part: Share = 0.3
    takes: Annotated[float, Field(ge=0, lt=1)] = 0.55
    period_s: Positive = 3


class Shrink(Table):
    """Servers drain and go, and the traffic falls with them."""

    kind: Literal["shrink"]
    at_s: NotNegative
    for_s: Positive = 16  # from the first that drains to the last
    part: Share = 0.4
    drain_s: Positive = 4


class Sick(Table):
    """Some servers are slow, fail, or say nothing, for a while."""

    kind: Literal["slow", "failing", "silent"]
    at_s: NotNegative
    for_s: Positive
    part: Share = 0.125
    size: Share = 0.7  # of its speed that a slow one loses; of its answers that a failing one spoils


class ZoneLoss(Table):
    """All servers of a zone die and come back cold."""

    kind: Literal["zone_loss"]
    at_s: NotNegative
    for_s: Positive = 5
    zone: int = 0


class Partition(Table):
    """A zone is cut off from the others: what crosses says nothing."""

    kind: Literal["partition"]
    at_s: NotNegative
    for_s: Positive = 6
    zone: int = 0


class Breaks(Table):
    """Answers get lost, and connections are reset under requests."""

    kind: Literal["breaks"]
    at_s: NotNegative
    for_s: Positive
    lost: Share = 0.02
    reset: Share = 0.02


class Replace(Table):
    """Servers are replaced by new ones, cold, with new ids."""

    kind: Literal["join"]
    at_s: NotNegative
    for_s: Positive = 7
    part: Share = 0.6
    drain_s: Positive = 2


class KillRouters(Table):
    """Routers are killed at once and start again with nothing."""

    kind: Literal["kill_routers"]
    at_s: NotNegative
    part: Share = 0.7
    down_s: Positive = 1


class RollRouters(Table):
    """Routers are restarted in batches, each answering what it holds first."""

    kind: Literal["roll_routers"]
    at_s: NotNegative
    for_s: Positive = 20
    batches: Count = 10
    down_s: Positive = 1


class Reload(Table):
    """Every router reads its settings anew (SIGHUP): another number of attempts, discovery elsewhere."""

    kind: Literal["reload"]
    at_s: NotNegative
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 4
    moves: bool = False


class DiscoveryTrouble(Table):
    """Discovery answers nothing, or is that much slower."""

    kind: Literal["discovery"]
    at_s: NotNegative
    for_s: Positive
    slower: Positive = 10
    down: bool = False


Fault = Annotated[
    Burst | Ramp | Shift | HotKey | Scan | Neighbour | Shrink | Sick | ZoneLoss | Partition | Breaks | Replace
    | KillRouters | RollRouters | Reload | DiscoveryTrouble,
    Field(discriminator="kind"),
]  # fmt: skip


class Seeds(Table):
    """Which seeds are played."""

    first: Annotated[int, Field(ge=0)] = 1
    count: Annotated[int, Field(ge=1, le=10_000)] = 1


class Day(Table):
    """One point of an experiment: all that a play needs but its policy and its seed."""

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
    def _zones_exist(self) -> "Day":
        for number, fault in enumerate(self.faults):
            zone = getattr(fault, "zone", 0)
            if not 0 <= zone < len(self.topology.zones):
                raise ValueError(
                    f"faults.{number}.zone: expected a zone from 0 to {len(self.topology.zones) - 1}"
                )
        return self


class Experiment(Day):
    """A whole file."""

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
    about: str = ""
    seeds: Seeds = Seeds()
    policies: Annotated[list[PolicyName], Field(min_length=1)] = ["router"]
    sweep: dict[str, Annotated[list[Any], Field(min_length=1)]] = {}


def _set(raw: Json, path: str, value: Any) -> None:
    """Sets a value by its dotted path; a number steps into a list."""
    at: Any = raw
    *steps, last = path.split(".")
    for step in steps:
        at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
    if isinstance(at, list):
        at[int(last)] = value
    else:
        at[last] = value


def read_raw(name: str, raw: Json) -> tuple[Experiment, list[tuple[Json, Day]]]:
    """Checks what a file holds; gives it and the points of its sweep, each with its settings.

    name is what errors call it. Raises SpecError, a line for each fault, where it makes no sense."""
    whole = validate(name, Experiment, raw, SpecError)
    points: list[tuple[Json, Day]] = []
    day = {key: value for key, value in raw.items() if key in Day.model_fields}
    for values in itertools.product(*whole.sweep.values()):
        point = dict(zip(whole.sweep, values, strict=True))
        one = copy.deepcopy(day)
        try:
            for key, value in point.items():
                _set(one, key, value)
            points.append((point, Day.model_validate(one)))
        except ValidationError as error:
            raise SpecError(describe_faults(f"{name}: sweep {point}", error)) from None
        except (LookupError, TypeError, ValueError, AttributeError):
            raise SpecError(f"{name}: sweep {point}: expected the dotted path of a setting") from None
    return whole, points


def _ns(milliseconds: float) -> int:
    return int(milliseconds * 1_000_000)


def settings_of(day: Day) -> Json:
    """What a router is told: the object that the platform hands it, with the names of its page."""
    rules, routers = day.rules, day.routers
    kinds = [kind.name for kind in day.topology.kinds]
    return {
        "azs": list(day.topology.zones),
        "hostTypes": [*kinds, "origin"],
        "balancers": day.topology.routers,
        "ceilings": {
            "attemptsCap": routers.max_attempts,
            "dialTimeout": _ns(day.network.dial_timeout_ms),
            "keepalive": _ns(day.servers.idle_s * 1000),
            "retryAfter": routers.retry_after_ms > 0,
            "maxRetryAfter": _ns(routers.retry_after_ms),
            "mostHeld": 20_000,
        },
        "classes": [
            {
                "name": one.name,
                "aim": _ns(one.aim_ms),
                "deadline": _ns(one.deadline_ms),
                "effect": one.effect,
                "group": "all",
                "repeatWindow": _ns(one.window_ms),
                "gain": one.worth,
            }
            for one in day.workload.classes
        ],
        "registryMode": "on_request",
        "safety": {
            "answerSlack": _ns(rules.answer_slack_ms),
            "askWithin": _ns(rules.ask_within_s * 1000),
            "coldFrom": rules.cold_from,
            "fall": _ns(rules.fall_s * 1000),
            "rampTime": _ns(rules.ramp_s * 1000),
            "stopSendingWithin": _ns(rules.drain_grace_ms),
            "tipMultiple": rules.tip_multiple,
        },
        "specifics": {"mode": "aside", "originKind": len(kinds)},
    }
