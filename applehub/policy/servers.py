"""Statistics that a router keeps of each server and of all servers of a kind."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

from applehub import interface as api
from applehub.policy.rates import SECOND, SMOOTHING, TokenBucket, sample_weight

# Fraction of the latency objective above which an answer is slow and its server overloaded.
SLOW_FRACTION = 3 / 4
NEAR_LIMIT_FACTOR = 2  # a server is near capacity from this multiple of its base latency
MIN_HEAP_SIZE = 64
KIND_REDUCTION = 1 / 16  # fraction by which a slow answer reduces the range fraction of a kind


@dataclass(slots=True, eq=False)
class Kind:
    """Statistics of all servers of one kind, since a router may have too few samples of a single server."""

    lowest_base_latency: float = 0.0  # lowest base latency of a server of the kind, ns
    range_fraction: float = 1.0  # fraction of an equal range that a server of the kind takes
    # Base latency, sequence number (breaks ties, since servers cannot be compared), server and its kind.
    # Outdated entries are removed when they reach the top.
    heap: "list[tuple[float, int, Server, int]]" = field(default_factory=list)
    push_count: int = 0
    max_heap_size: int = MIN_HEAP_SIZE  # heap size above which all outdated entries are removed

    def adjust_range(self, slow: bool) -> None:
        """Adjusts the range fraction like Server.adjust_range, in smaller steps, as answers are frequent."""
        self.range_fraction = (
            min(self.range_fraction + KIND_REDUCTION / 4, 1.0)
            if not slow
            else self.range_fraction * (1 - KIND_REDUCTION)
        )
        self.range_fraction = max(self.range_fraction, SMOOTHING)

    def record_base_latency(self, server: "Server") -> None:
        """Records a changed base latency of a server in a heap, which avoids a search of all servers."""
        self.push_count += 1
        heappush(self.heap, (server.base_latency, self.push_count, server, server.member.kind))
        if len(self.heap) > self.max_heap_size:
            latest = {id(entry[2]): entry for entry in self.heap if self._is_current(entry)}
            self.heap = sorted(latest.values())
            self.max_heap_size = 2 * len(self.heap) + MIN_HEAP_SIZE

    def update_base_latency(self, server: "Server") -> None:
        """Updates the lowest base latency of the kind after the base latency of a server has changed."""
        self.record_base_latency(server)
        while not self._is_current(self.heap[0]):
            heappop(self.heap)
        self.lowest_base_latency = self.heap[0][0]

    @staticmethod
    def _is_current(entry: "tuple[float, int, Server, int]") -> bool:
        """Whether a heap entry is up to date: its server is listed, of this kind, and has this latency."""
        base_latency, _, server, kind = entry
        return (
            base_latency == server.base_latency
            and server.member.kind == kind
            and server.listed_state is not api.State.GONE
        )


@dataclass(slots=True, eq=False)
class Server:
    """Status and statistics of one server."""

    member: api.Member  # list entry, with state DRAINING while an operator override excludes the server
    latency: float  # moving average of response times, ns
    base_latency: float = 0.0  # response time without queueing, ns: lowest average, which rises slowly
    measured_at: int = 0  # clock time of the last response time measured
    mean_in_flight: float = 1.0  # moving average of this router's attempts in flight
    in_flight: int = 0
    last_sent_at: int = 0
    previous_sent_at: int = 0
    unreachable_count: int = 0  # consecutive unreachable attempts while other servers accepted connections
    unreachable_at: int = 0  # clock time of the last of these attempts
    # Consecutive failures: refused connections, repeatedly broken attempts, errors of a failing server.
    failures: int = 0
    refused_connects: int = 0
    error_rate: float = 0.0  # fraction of recent answers that were errors
    answered_at: int = 0
    broken_attempts: int = 0  # consecutive attempts whose connection broke after sending
    ejected_since: int = 0
    ejected_until: int = 0
    warmup_budget: TokenBucket = field(default_factory=TokenBucket)  # tokens for requests during the warm-up
    range_fraction: float = 1.0  # fraction of its key range that the server takes
    reduced_at: int = 0  # clock time of the last reduction of range_fraction
    accepted_connect: bool = False  # whether the server accepted this router's last connection
    warming_since: int = 0  # clock time at which the warm-up started; 0: warm
    is_trial: bool = False  # whether the attempt in flight tests for recovery from overload
    load: api.LoadReport | None = None
    load_reported_at: int = 0
    timeouts: int = 0  # consecutive timeouts
    ejected_by_gossip: bool = False
    listed_state: api.State = api.State.READY  # state in the endpoint list, without operator overrides

    def predicted_latency(self) -> float:
        """Returns the expected response time of one more request, which grows with the requests in flight."""
        return self.latency * (self.in_flight + 1) / self.mean_in_flight

    def reported_latency(self, now: int) -> float:
        """Returns the latency that the last load report, over all routers, predicts; 0 if it is outdated."""
        load = self.load
        if load is None or now - self.load_reported_at > SECOND:
            return 0.0
        busy_cores = max(1.0, load.qps * load.latency_ms / 1000)  # busy cores, by Little's law
        return load.latency_ms * 1e6 * (load.inflight + 1) / busy_cores

    def has_capacity(self, now: int, limit: float, queueing_factor: int, trial_interval: float) -> bool:
        """Whether one more request would be answered within limit and queueing_factor times the base latency.

        An overloaded server gets one trial request per response time, at least trial_interval apart.
        """
        own, reported = self.predicted_latency(), self.reported_latency(now)
        if own <= min(limit, queueing_factor * (self.base_latency or limit)) and (
            reported <= limit * queueing_factor / 2
        ):
            return True
        if self.in_flight or now - self.last_sent_at < max(own, reported, trial_interval):
            return False
        self.is_trial = True
        return True

    def record_latency(
        self, now: int, time_constant: int, elapsed: int, in_flight: int, full: bool = False
    ) -> None:
        """Adds a response time, in nanoseconds, to the moving averages."""
        # A first answer that is slower than the initial estimate replaces the estimate.
        is_initial = not self.base_latency and elapsed > self.latency and not full
        weight = (
            1
            if is_initial
            else 1 / 2
            if self.is_trial
            else sample_weight(now - self.measured_at, time_constant)
        )
        self.measured_at = now
        self.latency += (elapsed - self.latency) * weight
        self.mean_in_flight += (in_flight - self.mean_in_flight) * SMOOTHING
        self.base_latency = min(self.base_latency * (1 + SMOOTHING / 16) or self.latency, self.latency)
        self.is_trial = False

    def adjust_range(self, now: int, elapsed: int, slow: bool) -> None:
        """Reduces the range fraction by a quarter, once per overload, or raises it after a fast answer."""
        if not slow:
            self.range_fraction = min(self.range_fraction + SMOOTHING / 2, 1.0)
        elif now - elapsed >= self.reduced_at:
            self.range_fraction, self.reduced_at = max(self.range_fraction * 3 / 4, SMOOTHING), now

    def is_near_limit(self) -> bool:
        """Whether the server is near its capacity.

        This holds after recent full or slow answers, or if one more answer is expected to take twice the
        base latency. Under processor sharing this is the latency at half utilization, so that a single key
        with a fair share of the requests could use the rest.
        """
        return (
            self.range_fraction < 1 or 0 < NEAR_LIMIT_FACTOR * self.base_latency <= self.predicted_latency()
        )

    def undo_send(self, sent: int) -> None:
        """Reverts the last attempt, which this machine could not start."""
        self.in_flight = max(0, self.in_flight - 1)
        if self.last_sent_at == sent:
            self.last_sent_at = self.previous_sent_at
        self.is_trial = self.is_trial and self.in_flight > 0

    def is_available(self, now: int) -> bool:
        """Whether the server may get an attempt; after a failure it gets only one attempt at a time."""
        may_retry = now >= self.ejected_until and not self.in_flight
        return self.member.state is api.State.READY and (not self.failures or may_retry)
