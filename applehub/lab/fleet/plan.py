"""A plan: which processes run, what is asked of them, what goes wrong when, and what must hold all the
same."""

from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from applehub.checked import Table, read_toml, validate
from applehub.events import EventKind
from applehub.lab.fleet.system_calls import ON_FILES, SystemCall, SystemCallFault
from applehub.lab.spec import SpecError
from applehub.release.plan import GateSettings, Limits, Stage

Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
Part01 = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1)]
Patterns = Annotated[list[str], Field(min_length=1)]


class Fleet(Table):
    """The processes."""

    routers: Annotated[int, Field(ge=1, le=60)] = 3
    caches: Annotated[int, Field(ge=1, le=60)] = 3
    zones: Annotated[int, Field(ge=1, le=8)] = 1
    inherited: bool = False  # the ground holds the listening sockets, as the platform does for upgrades
    variant: str = ""  # a known-bad variant of the router, see variants.py
    memory_mb: Count = 192
    sockets: Annotated[int, Field(ge=64)] = 1024
    cache_rate: Positive = 400.0  # requests a second that a warm cache server bears
    cache_queue: Count = 200
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.12
    ramp_s: Positive = 24.0
    tip_multiple: Positive = 2.5
    fall_s: Positive = 2.0
    origin_rate: Positive = 150.0
    origin_ms: NotNegative = 20.0
    origin_queue: Count = 60
    list_rate: Positive = 500.0  # calls a second that the list service's stand-in bears
    lists: Literal[0, 1, 3] = 0  # replicas of the project's own list service; 0: the stand-in
    keeps: bool = False  # the routers keep the list on their disks (state_dir)
    peers: bool = False  # the routers speak with each other
    changes: NotNegative = 0.0  # changes of the list that a writer asks for, a second


class Load(Table):
    """Open loop: what is asked waits for no answer."""

    rate: Annotated[float, Field(gt=0, le=5000)] = 100.0
    seconds: Annotated[float, Field(gt=0, le=3600)] = 10.0  # at least; it goes on until all faults are over
    most_s: Annotated[float, Field(gt=0, le=3600)] = 120.0
    after_s: NotNegative = 2.0  # past the last fault
    keys: Count = 500
    puts: Part01 = 0.03
    once: Part01 = 0.02
    wait_ms: Annotated[int, Field(ge=10, le=60_000)] = 1000
    leaves: Part01 = 0.0  # of the requests, those whose client leaves before it has an answer
    leaves_ms: Positive = 200.0  # after its request, at the latest
    seed: Annotated[int, Field(ge=0)] = 1


class Rules(Table):
    """Bounds that the checks hold the fleet to."""

    answer_slack_ms: NotNegative = 500.0
    drain_slack_ms: NotNegative = 550.0
    by_hand_slack_ms: NotNegative = 1050.0
    stale_ms: Positive = 3000.0  # from a change of the list until each router is told
    told_ms: Positive = 6000.0  # the same, from when the way was free again, whatever struck it before
    departed_ms: Positive = 100.0  # from a client's departure until no attempt begins for it
    keyed_window_ms: Positive = 2050.0
    peers_ms: Positive = 10_000.0  # from a fault's end until each router knows of just those that are there


OLD, NEW = "v1", "v2"  # versions of what a plan releases
BAD_FAULTS = 1000  # number of the first fault that a bad version is
BAD = {  # how a new version may be worse, and of what
    "errors": "servers",  # fails `part` of what it is asked
    "crawls": "servers",  # at `part` of its speed
    "forgets": "servers",  # misses all
    "mute": "servers",  # falls silent with its first request
    "absent": "servers",  # never comes up
    "unready": "routers",  # a new process never takes over
    "crashes": "routers",
    "fails": "routers",  # as `variants.py` has these three
    "burns": "routers",
    "rejected": "configuration",  # of no use
    "poisoned": "configuration",  # of use, and fails under load
}


class Released(Table):
    """A release that the project's own controller carries out while the load goes on; bad: see BAD."""

    what: Literal["servers", "routers", "configuration"]
    bad: Literal["", *BAD] = ""  # type: ignore[valid-type]  # the table's own words
    part: Annotated[float, Field(gt=0, le=1)] = 0.5
    limits: Limits = Limits()
    gates: GateSettings = GateSettings()
    stages: Annotated[list[Stage], Field(min_length=1)]
    back_on_halt: bool = True
    ends: Literal["done", "returned"] = "done"  # how it has to end


class Trigger(Table):
    """A moment: the count-th event of a kind, counted since the trigger was armed."""

    event: EventKind
    process: str = "*"
    count: Count = 1
    match: dict[str, Any] = Field(default={})  # fields and the values they must have


class Fault(Table):
    """What every fault has: when it begins (`at`: s of the load; or `on` an event) and when it ends."""

    name: str = ""
    at: NotNegative | None = None
    on: Trigger | None = None
    for_s: NotNegative | None = None
    until: Trigger | None = None

    @model_validator(mode="after")
    def _one_moment(self) -> "Fault":
        if (self.at is None) == (self.on is None):
            raise ValueError("expected either at or on")
        if self.for_s is not None and self.until is not None:
            raise ValueError("expected for_s or until, not both")
        return self


class Process(Fault):
    """Strikes processes, by patterns of their names (`router-*`); `PRIMARY` is the list service's primary.

    kill: SIGKILL, and a new start at the end. term: SIGTERM, SIGKILL as the platform does, then a new start.
    stop: SIGSTOP until the end. slow: runs for `part` of the time only. upgrade: a new process takes over.
    power: SIGKILL, and the disk goes back to what was synced. hup: SIGHUP with the file as it is."""

    kind: Literal["kill", "term", "stop", "slow", "upgrade", "power", "hup"]
    target: Patterns
    part: Annotated[float, Field(gt=0, lt=1)] = 0.3
    keep_disk: bool = True


class Link(Fault):
    """Strikes edges, by patterns of their names (`router-1>cache-*`, `clients>router-2`, `*>list`).

    hang: connections that are open now carry nothing any more, for good; new ones are as ever.
    silent: open connections carry nothing (`way`: both, there, back) and new ones never come up. delay: `ms`
    and up to `jitter_ms` more. reset: open connections are reset. cut: each connection is reset past `bytes`
    of answers. rate: at most `bytes` a second each way. pieces: what is carried arrives in pieces of `bytes`.
    To datagrams alone, a `part` of them: lose, double, short (cut at any byte), swap (goes after the
    next)."""

    kind: Literal[
        "silent", "hang", "delay", "reset", "cut", "rate", "pieces", "lose", "double", "short", "swap"
    ]
    edges: Patterns
    way: Literal["both", "there", "back"] = "both"
    ms: NotNegative = 100.0
    jitter_ms: NotNegative = 0.0
    bytes: Count = 4096
    part: Annotated[float, Field(gt=0, le=1)] = 1.0


class Server(Fault):
    """Strikes cache servers or the origin inside. errors: fails `part`. crawl: its speed falls to `part`."""

    kind: Literal["errors", "crawl"]
    target: Patterns
    part: Annotated[float, Field(gt=0, le=1)] = 0.5


class Listing(Fault):
    """Changes the list (drain, gone; ready again at the end), or overloads the list service (it answers
    503)."""

    kind: Literal["drain", "gone", "overload"]
    target: list[str] = Field(default=[])

    @model_validator(mode="after")
    def _needs_servers(self) -> "Listing":
        if (self.kind == "overload") == bool(self.target):
            raise ValueError("expected a target with drain and gone, and none with overload")
        return self


class ByHand(Fault):
    """An operator's call out for cache server `server` at the routers; the call back at the end."""

    kind: Literal["offline"]
    target: Patterns = Field(default=["router-*"])
    server: str


class Clock(Fault):
    """The wall clock of routers goes off by `step_s`, and back at the end."""

    kind: Literal["clock"]
    target: Patterns
    step_s: float


class Disk(Fault):
    """Writes of routers fail: full (ENOSPC), readonly (EROFS), torn (half of what is
    written, then ENOSPC). slow_disk: each sync takes `ms`."""

    kind: Literal["full", "readonly", "torn", "slow_disk"]
    target: Patterns
    ms: NotNegative = 200.0


class SystemCalls(Fault):
    """System calls of routers fail: `call` with `error`, or it moves `short` bytes at the most; each
    `every`-th of them, at most `times` times (see system_calls.py).

    side: on connections with clients or with servers alone. Calls on files are those on the router's disk."""

    kind: Literal["system_call"]
    target: Patterns
    call: SystemCall
    error: str = ""
    short: Count | None = None
    every: Count = 1
    times: Count | None = None
    side: Literal["", "clients", "servers"] = ""

    @model_validator(mode="after")
    def _fails(self) -> "SystemCalls":
        self.struck(None, None)
        return self

    @property
    def breaks(self) -> bool:
        """Whether it breaks connections of clients, who are owed nothing on them any more."""
        moves = self.call in ("recv", "send", "sendmsg") and self.side != "servers"
        return moves and self.error not in ("", "EINTR", "EAGAIN")

    def struck(self, peer: str | None, disk: str | None) -> SystemCallFault:
        """The fault for one process. Raises ValueError where it makes no sense."""
        return SystemCallFault(
            self.call, self.error, self.short, every=self.every, times=self.times, peer=peer,
            path=disk if self.call in ON_FILES else None,
        )  # fmt: skip


AnyFault = Annotated[
    Process | Link | Server | Listing | ByHand | Clock | Disk | SystemCalls, Field(discriminator="kind")
]


class Plan(Table):
    """A whole plan."""

    name: Annotated[str, Field(min_length=1)]
    about: str = ""
    fleet: Fleet = Fleet()
    load: Load = Load()
    rules: Rules = Rules()
    release: Released | None = None
    faults: list[AnyFault] = Field(default=[])

    @model_validator(mode="after")
    def _makes_sense(self) -> "Plan":
        if self.load.puts + self.load.once > 1:
            raise ValueError("expected puts and once to be at most 1 together")
        for number, fault in enumerate(self.faults):
            if fault.kind == "upgrade" and not self.fleet.inherited:
                raise ValueError(f"faults.{number}: expected fleet.inherited with an upgrade")
        if self.release is not None and BAD.get(self.release.bad, self.release.what) != self.release.what:
            raise ValueError(f"release.bad: {self.release.bad!r} is none of {self.release.what}")
        if self.release is not None and self.release.what == "routers" and not self.fleet.inherited:
            raise ValueError("release: expected fleet.inherited with a release of routers")
        return self


def make_plan(name: str, raw: dict[str, Any]) -> Plan:
    """Checks what a file holds. Raises SpecError, a line for each fault."""
    return validate(name, Plan, raw, SpecError)


def load_plan(path: Path) -> Plan:
    """Reads a plan's file. Raises SpecError."""
    return make_plan(str(path), read_toml(path, SpecError))
