"""Interface of the decision module: its settings, the events it handles and the actions it returns.

Times and durations are integer nanoseconds; a clock value is passed in with every event.
Servers, requests and keys are opaque strings; classes, tenants, zones and kinds are indexes.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class Effect(StrEnum):
    """Whether a request is idempotent: SAFE always, KEYED with an idempotency key, UNSAFE never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Status(StrEnum):
    """Result of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # ended before the server received any of it, e.g. because the connection broke
    MISS = "miss"  # the cache server does not have the key
    # This machine could not start the attempt: it lacked descriptors, buffers, memory or local ports.
    LOCAL_FAILURE = "local_failure"
    # This machine has no route to the server's address: the fault is either the server's or the machine's.
    UNREACHABLE = "unreachable"


# The attempt never ran: no byte of it was sent, and the server did not refuse the connection.
NOT_STARTED = frozenset((Status.LOCAL_FAILURE, Status.UNREACHABLE))


class State(StrEnum):
    """State of a server in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(StrEnum):
    """Content of a Members event."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True)
class RequestClass:
    """Settings of one class of requests."""

    latency_objective: int
    deadline: int
    effect: Effect = Effect.SAFE
    # Servers that share their record of idempotency keys: "all", or those of a "zone" or "cell".
    group: str = "all"
    idempotency_window: int = 0  # how long servers remember an idempotency key
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of priority_weight for an answer after the latency objective
    stream: bool = False  # responses are streamed, so attempts have no timeout


@dataclass(slots=True)
class Tenant:
    """Settings of one tenant."""

    quota: float = 0.0  # requests per second over all routers; 0: unlimited


@dataclass(slots=True)
class Settings:
    """Configuration of a router."""

    classes: list[RequestClass]
    router_count: int = 1
    tenants: list[Tenant] = field(default_factory=list)
    # After a miss the router fetches from the origin; if False, the cache server does (cache-through mode).
    cache_aside: bool = False
    origin_kind: int = -1  # kind of the servers that are origins; -1: none
    list_on_request: bool = False  # discovery sends the endpoint list only in reply to a poll
    retry_after: bool = False  # rejections carry the time after which to retry
    max_retry_after: int = 0
    max_attempts: int = 1
    connect_timeout: int = 250_000_000
    max_poll_interval: int = 10_000_000_000  # maximum time between two polls of discovery
    slow_start_capacity: float = 1.0  # fraction of its full capacity that a server has at its start
    slow_start_time: int = 0  # time from a server's start until it has its full capacity
    overload_factor: float = 1.0  # multiple of a server's capacity that overloads it within overload_window
    overload_window: int = 1_000_000_000
    peers: bool = False  # the router exchanges gossip with other routers


@dataclass(slots=True)
class Member:
    """One entry of the endpoint list."""

    server: str
    state: State = State.READY
    kind: int = 0
    zone: int = 0
    cell: int = 0
    since: int = 0  # clock time of the server's latest start; 0: unknown
    weight: float = 1.0


@dataclass(slots=True)
class Members:
    """Update of the endpoint list."""

    kind: ListKind
    entries: list[Member]


@dataclass(slots=True)
class ServerOverride:
    """Operator override that excludes a server, whatever its state in the list, or includes it again."""

    server: str
    excluded: bool
    since: int  # clock time of the override; a server that is included again warms up from then on


@dataclass(slots=True)
class SettingsChanged:
    """New settings, which replace the current ones; requests in progress keep the settings of their class."""

    settings: Settings


@dataclass(slots=True)
class ProcessCount:
    """Number of processes that run as this router; each receives only the events of its own requests."""

    count: int


@dataclass(slots=True)
class Request:
    """A client's request, which gets exactly one final answer, by its deadline."""

    id: str
    cls: int
    deadline: int
    key: str | None = None
    write: bool = False
    tenant: int = 0
    repeat: bool = False  # the client has sent this request before


@dataclass(slots=True)
class ResponseStarted:
    """The first part of a response has arrived, which is neither complete nor streamed yet.

    The timeout of the attempt has ended with it: the attempt may last until the request's deadline.
    """

    id: str
    attempt: int
    server: str


@dataclass(slots=True)
class StreamOpened:
    """The first part of a streamed response has arrived."""

    id: str
    attempt: int
    server: str


@dataclass(slots=True)
class LoadReport:
    """Load that a server reports of itself, possibly late or inexact; a negative value is unknown."""

    inflight: float = -1.0  # requests in flight
    queue: float = -1.0  # requests waiting
    util: float = -1.0  # fraction of the cores in use
    latency_ms: float = -1.0  # recent service time, without waiting
    qps: float = -1.0  # requests served per second
    eps: float = -1.0  # errors per second


@dataclass(slots=True)
class Outcome:
    """Outcome of an attempt that has ended."""

    id: str
    attempt: int
    server: str
    status: Status
    closed: bool  # the request has its final answer
    elapsed: int
    detail: int = 0  # code that adds to the status, such as a cache server's note; 0: none
    load: LoadReport | None = None
    connected: bool = False  # a new connection to the server was established for this attempt


@dataclass(slots=True)
class RequestCancelled:
    """The client has cancelled the request; no answer is due."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer set with SetTimer has expired."""

    token: str


@dataclass(slots=True)
class ProbeResult:
    """Result of a health check."""

    server: str
    status: Status
    elapsed: int
    load: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    data: str


@dataclass(slots=True)
class GossipSummary:
    """Recent gossip from other routers, aggregated."""

    router_count: int  # live processes, including this one
    # By kind: fraction of an equal key range that one server of the kind takes.
    range_fractions: dict[int, float] = field(default_factory=dict)
    # By server: the number of routers that report it as failing, and the number that report on it at all.
    failure_reports: dict[str, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class ServerStatistics:
    """Statistics of one server, as measured by one router."""

    latency: float  # moving average of response times, ns
    base_latency: float  # response time without queueing, ns
    mean_in_flight: float  # moving average of this router's attempts in flight
    range_fraction: float  # fraction of its key range that the server takes


@dataclass(slots=True)
class SavedStatistics:
    """Statistics saved by an earlier process of this router, and their age."""

    age: int
    servers: dict[str, ServerStatistics]


Event = (
    Members
    | ServerOverride
    | SettingsChanged
    | ProcessCount
    | Request
    | ResponseStarted
    | StreamOpened
    | Outcome
    | RequestCancelled
    | TimerFired
    | ProbeResult
    | PeerMessage
    | GossipSummary
    | SavedStatistics
)


@dataclass(slots=True)
class Send:
    """Starts an attempt."""

    id: str
    server: str
    timeout: int = 0  # time by which a response must have begun; 0: until the client gives up
    # Clock time by which the server must have received the complete attempt, since servers forget idempotency
    # keys; 0: no limit.
    deliver_by: int = 0


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not processed and may be retried."""

    id: str
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed and may have been processed."""

    id: str


@dataclass(slots=True)
class SetTimer:
    """Requests a TimerFired event with this token after a delay."""

    delay: int
    token: str


@dataclass(slots=True)
class Watch:
    """Subscribes to changes of the endpoint list."""


@dataclass(slots=True)
class Log:
    """A log line for the operators."""

    text: str


@dataclass(slots=True)
class PublishGossip:
    """Publishes this router's own observations to the other routers."""

    throttle_rate: float  # tokens per second that the throttle allows; 0: no limit
    spend_rate: float  # tokens per second that this router spends
    range_fractions: dict[int, float]  # by kind: fraction of an equal key range that one server takes
    failing: dict[str, int]  # by failing server: the number of consecutive failures
    healthy: list[str]  # servers reported as failing by other routers that recently answered this one


Action = Send | Reject | Fail | SetTimer | Watch | Log | PublishGossip
