"""Schema of a plan: the processes, the load, the faults to inject, and the limits that checks enforce."""

from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from applehub.events import EventKind
from applehub.lab.fleet.system_calls import FILE_CALLS, SystemCall, SystemCallFault
from applehub.lab.spec import SpecError
from applehub.release.plan import GateSettings, Limits, Stage
from applehub.validation import Table, read_toml, validate

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1)]
Patterns = Annotated[list[str], Field(min_length=1)]


class Fleet(Table):
    """The processes under test."""

    routers: Annotated[int, Field(ge=1, le=60)] = 3
    caches: Annotated[int, Field(ge=1, le=60)] = 3
    zones: Annotated[int, Field(ge=1, le=8)] = 1
    inherited: bool = False  # the harness owns the listening sockets, so that routers can be upgraded
    variant: str = ""  # a known-bad variant of the router, see variants.py
    memory_mb: Count = 192
    sockets: Annotated[int, Field(ge=64)] = 1024
    cache_rate: Positive = 400.0  # capacity of a warm cache server, requests/s
    cache_queue: Count = 200
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.12
    ramp_s: Positive = 24.0
    tip_multiple: Positive = 2.5
    fall_s: Positive = 2.0
    origin_rate: Positive = 150.0
    origin_ms: NonNegative = 20.0
    origin_queue: Count = 60
    list_rate: Positive = 500.0  # capacity of the stand-in for the list service, calls/s
    lists: Literal[0, 1, 3] = 0  # replicas of the list service; 0: a stand-in
    keeps: bool = False  # routers persist the server list (state_dir)
    peers: bool = False  # routers gossip with each other
    changes: NonNegative = 0.0  # rate at which a writer changes the server list, changes/s


class Load(Table):
    """Open-loop load: requests are sent on schedule, independent of responses."""

    rate: Annotated[float, Field(gt=0, le=5000)] = 100.0
    # Minimum duration, which is extended until all faults are over.
    seconds: Annotated[float, Field(gt=0, le=3600)] = 10.0
    most_s: Annotated[float, Field(gt=0, le=3600)] = (
        120.0  # maximum time until all faults and the release are over
    )
    after_s: NonNegative = 2.0  # time with load after the last fault
    keys: Count = 500
    puts: Fraction = 0.03
    once: Fraction = 0.02
    wait_ms: Annotated[int, Field(ge=10, le=60_000)] = 1000
    leaves: Fraction = 0.0  # fraction of requests with a client that disconnects early
    leaves_ms: Positive = 200.0  # maximum time from request to disconnect
    seed: Annotated[int, Field(ge=0)] = 1


class CheckLimits(Table):
    """Limits that the checks enforce."""

    answer_slack_ms: NonNegative = 500.0
    drain_slack_ms: NonNegative = 550.0
    by_hand_slack_ms: NonNegative = 1050.0
    stale_ms: Positive = 3000.0  # maximum time from a list change until all routers have it
    told_ms: Positive = 6000.0  # maximum time from when a router's path to the list service is free of faults
    departed_ms: Positive = 100.0  # maximum time from a client disconnect to the start of an attempt
    keyed_window_ms: Positive = 2050.0
    peers_ms: Positive = 10_000.0  # maximum time after a fault until routers agree on the live routers


OLD_VERSION, NEW_VERSION = "v1", "v2"  # versions in a release
FIRST_BAD_VERSION_FAULT = 1000  # number of the first fault that records a bad version
BAD_VERSION_COMPONENTS = {  # the component that each kind of bad version applies to
    "errors": "servers",  # fails a fraction `part` of its requests
    "crawls": "servers",  # runs at a fraction `part` of its speed
    "forgets": "servers",  # every read is a miss
    "mute": "servers",  # hangs at its first request
    "absent": "servers",  # does not start
    "unready": "routers",  # the new process does not become ready
    "crashes": "routers",
    "fails": "routers",  # crashes, fails and burns: see variants.py
    "burns": "routers",
    "rejected": "configuration",  # the router rejects it
    "poisoned": "configuration",  # valid, but requests fail under load
}


class Release(Table):
    """A release by the release controller during the load; `bad` is a key of BAD_VERSION_COMPONENTS."""

    what: Literal["servers", "routers", "configuration"]
    bad: Literal["", *BAD_VERSION_COMPONENTS] = ""  # type: ignore[valid-type]  # keys of the table
    part: Annotated[float, Field(gt=0, le=1)] = 0.5
    limits: Limits = Limits()
    gates: GateSettings = GateSettings()
    stages: Annotated[list[Stage], Field(min_length=1)]
    back_on_halt: bool = True
    ends: Literal["done", "returned"] = "done"  # expected outcome


class Trigger(Table):
    """Fires at the count-th matching event after the trigger is armed."""

    event: EventKind
    process: str = "*"
    count: Count = 1
    match: dict[str, Any] = Field(default={})  # required values of event fields


class Fault(Table):
    """Common fields of all faults: the start (`at` seconds into the load, or `on` an event) and the end."""

    name: str = ""
    at: NonNegative | None = None
    on: Trigger | None = None
    for_s: NonNegative | None = None
    until: Trigger | None = None

    @model_validator(mode="after")
    def _check_times(self) -> "Fault":
        if (self.at is None) == (self.on is None):
            raise ValueError("expected exactly one of at and on")
        if self.for_s is not None and self.until is not None:
            raise ValueError("expected at most one of for_s and until")
        return self


class ProcessFault(Fault):
    """Fault of the processes whose names match `target`; `PRIMARY` is the primary of the list service.

    kill: SIGKILL, and a restart at the end. term: SIGTERM, SIGKILL after a delay, and a restart at the end.
    stop: SIGSTOP until the end. slow: runs for a fraction `part` of the time. upgrade: a new process replaces
    the old one. power: SIGKILL, and the disk reverts to what was synced. hup: SIGHUP without changes."""

    kind: Literal["kill", "term", "stop", "slow", "upgrade", "power", "hup"]
    target: Patterns
    part: Annotated[float, Field(gt=0, lt=1)] = 0.3
    keep_disk: bool = True


class LinkFault(Fault):
    """Fault of the edges whose names match `edges` (`router-1>cache-*`, `clients>router-2`, `*>list`).

    hang: connections that are open at the start carry no more data; new ones work. silent: open connections
    carry no data (`way`: both, there, back) and new ones time out. delay: adds `ms` and up to `jitter_ms`.
    reset: resets open connections. cut: resets each connection after `bytes` of response data. rate: limits
    each direction to `bytes` per second. pieces: data arrives in pieces of `bytes`. For a fraction `part` of
    the datagrams: lose, double, short (truncated at a random byte), swap (delivered after the next one)."""

    kind: Literal[
        "silent", "hang", "delay", "reset", "cut", "rate", "pieces", "lose", "double", "short", "swap"
    ]
    edges: Patterns
    way: Literal["both", "there", "back"] = "both"
    ms: NonNegative = 100.0
    jitter_ms: NonNegative = 0.0
    bytes: Count = 4096
    part: Annotated[float, Field(gt=0, le=1)] = 1.0


class ServerFault(Fault):
    """Fault inside cache servers or the origin.

    errors: fails a fraction `part` of requests. crawl: runs at a fraction `part` of its speed."""

    kind: Literal["errors", "crawl"]
    target: Patterns
    part: Annotated[float, Field(gt=0, le=1)] = 0.5


class DiscoveryFault(Fault):
    """Fault of discovery.

    drain, gone: sets the state of servers in the list, and sets it to ready at the end. overload: the
    stand-in for the list service answers 503."""

    kind: Literal["drain", "gone", "overload"]
    target: list[str] = Field(default=[])

    @model_validator(mode="after")
    def _check_target(self) -> "DiscoveryFault":
        if (self.kind == "overload") == bool(self.target):
            raise ValueError("expected a target with drain and gone, and none with overload")
        return self


class OverrideFault(Fault):
    """Operator override: takes cache server `server` offline at the routers, and online at the end."""

    kind: Literal["offline"]
    target: Patterns = Field(default=["router-*"])
    server: str


class ClockFault(Fault):
    """Fault that offsets the wall clock of routers by `step_s` until the end."""

    kind: Literal["clock"]
    target: Patterns
    step_s: float


class DiskFault(Fault):
    """Fault of disk writes of routers.

    full: ENOSPC. readonly: EROFS. torn: half of the data is written, then ENOSPC. slow_disk: each sync takes
    `ms`."""

    kind: Literal["full", "readonly", "torn", "slow_disk"]
    target: Patterns
    ms: NonNegative = 200.0


class SystemCallsFault(Fault):
    """Fault of system calls of routers: `call` fails with `error`, or transfers at most `short` bytes.

    The fault affects every `every`-th call, at most `times` times (see system_calls.py). side: limits the
    fault to connections with clients or with servers. File calls are limited to the disk of the router."""

    kind: Literal["system_call"]
    target: Patterns
    call: SystemCall
    error: str = ""
    short: Count | None = None
    every: Count = 1
    times: Count | None = None
    side: Literal["", "clients", "servers"] = ""

    @model_validator(mode="after")
    def _check_fault(self) -> "SystemCallsFault":
        self.for_process(None, None)
        return self

    @property
    def breaks_client_connections(self) -> bool:
        """Whether the fault breaks client connections, so that their requests may go unanswered."""
        transfers_data = self.call in ("recv", "send", "sendmsg") and self.side != "servers"
        return transfers_data and self.error not in ("", "EINTR", "EAGAIN")

    def for_process(self, peer: str | None, disk: str | None) -> SystemCallFault:
        """Returns the fault for one process. Raises ValueError if the combination is invalid."""
        return SystemCallFault(
            self.call, self.error, self.short, every=self.every, times=self.times, peer=peer,
            path=disk if self.call in FILE_CALLS else None,
        )  # fmt: skip


AnyFault = Annotated[
    ProcessFault
    | LinkFault
    | ServerFault
    | DiscoveryFault
    | OverrideFault
    | ClockFault
    | DiskFault
    | SystemCallsFault,
    Field(discriminator="kind"),
]


class Plan(Table):
    """A plan: the cluster, the load, the limits, an optional release and the faults."""

    name: Annotated[str, Field(min_length=1)]
    about: str = ""
    fleet: Fleet = Fleet()
    load: Load = Load()
    rules: CheckLimits = CheckLimits()
    release: Release | None = None
    faults: list[AnyFault] = Field(default=[])

    @model_validator(mode="after")
    def _check_consistency(self) -> "Plan":
        if self.load.puts + self.load.once > 1:
            raise ValueError("expected the sum of puts and once to be at most 1")
        for number, fault in enumerate(self.faults):
            if fault.kind == "upgrade" and not self.fleet.inherited:
                raise ValueError(f"faults.{number}: expected fleet.inherited with an upgrade")
        if (
            self.release is not None
            and BAD_VERSION_COMPONENTS.get(self.release.bad, self.release.what) != self.release.what
        ):
            raise ValueError(f"release.bad: {self.release.bad!r} is not a bad version of {self.release.what}")
        if self.release is not None and self.release.what == "routers" and not self.fleet.inherited:
            raise ValueError("release: expected fleet.inherited with a release of routers")
        return self


def make_plan(name: str, raw: dict[str, Any]) -> Plan:
    """Validates the contents of a plan file. Raises SpecError with one line per problem."""
    return validate(name, Plan, raw, SpecError)


def load_plan(path: Path) -> Plan:
    """Reads and validates a plan file. Raises SpecError."""
    return make_plan(str(path), read_toml(path, SpecError))
