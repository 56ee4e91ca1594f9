"""What one router has seen of one server, and of all servers of a kind."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

from applehub import interface as api
from applehub.policy.rates import SECOND, SMOOTHING, Bank, weight_of

SLOW = 3 / 4  # part of a request's aim past which an answer is slow and its server swamped
NEAR_LIMIT = 2  # times its uncrowded answer time from which on a server is near what it bears
HEAP_LEAST = 64  # entries that a heap may hold before it is looked through
KIND_STEP = 1 / 16  # part of a kind's share that a slow answer of one of its servers takes


@dataclass(slots=True, eq=False)
class Kind:
    """What this router has seen of all servers of one kind: of each alone it may see too little."""

    uncrowded: float = 0.0  # the least answer time of one of them, ns
    range_fraction: float = 1.0  # the part of an equal range that one of them bears
    # Of all of them, with numbers as servers have no order; what no longer holds goes as it comes to the top.
    heap: "list[tuple[float, int, Server, int]]" = field(default_factory=list)
    pushed: int = 0
    most: int = HEAP_LEAST  # entries; past it all that no longer holds goes

    def bear(self, slow: bool) -> None:
        """As a server's own share, in smaller steps, since many answers of each jam come here."""
        self.range_fraction = (
            min(self.range_fraction + KIND_STEP / 4, 1.0)
            if not slow
            else self.range_fraction * (1 - KIND_STEP)
        )
        self.range_fraction = max(self.range_fraction, SMOOTHING)

    def note(self, server: "Server") -> None:
        """Takes note of a server's answer time when uncrowded, at each change of it. Guards a large fleet's
        processor time: a heap gives the least, and servers are not looked through for it."""
        self.pushed += 1
        heappush(self.heap, (server.base_latency, self.pushed, server, server.member.kind))
        if len(self.heap) > self.most:
            latest = {id(entry[2]): entry for entry in self.heap if self._holds(entry)}
            self.heap = sorted(latest.values())
            self.most = 2 * len(self.heap) + HEAP_LEAST

    def learned(self, server: "Server") -> None:
        """Takes up a server's new answer time when uncrowded."""
        self.note(server)
        while not self._holds(self.heap[0]):
            heappop(self.heap)
        self.uncrowded = self.heap[0][0]

    @staticmethod
    def _holds(entry: "tuple[float, int, Server, int]") -> bool:
        """Whether that is still so, of a server that is listed and of the kind."""
        base, _, server, kind = entry
        return (
            base == server.base_latency and server.member.kind == kind and server.listed is not api.State.GONE
        )


@dataclass(slots=True, eq=False)
class Server:
    """What this router has seen of one server."""

    member: api.Member  # as the list has it, but draining while it is out by hand
    latency: float  # moving average of answer times, ns
    base_latency: float = 0.0  # its answer time when uncrowded: the least average seen, slowly forgotten
    learned_at: int = 0
    mean_in_flight: float = 1.0  # moving average of the attempts this router had out meanwhile
    out: int = 0
    sent_at: int = 0
    sent_before: int = 0  # when the attempt before that was sent
    unreached: int = 0  # attempts in a row that found no way to it while others took new connections
    unreached_at: int = 0
    fails: int = 0  # in a row: connects failed, attempts broken past BREAKS, errors of a failing server
    refusals: int = 0  # connects failed among them
    errors: float = 0.0  # part of its latest answers that were errors
    answered_at: int = 0
    breaks: int = 0  # attempts in a row that broke after they were sent
    down_since: int = 0
    down_until: int = 0
    budget: Bank = field(default_factory=Bank)  # of what it may be sent while it warms up
    range_fraction: float = 1.0  # the part of its range that it bears
    cut_at: int = 0
    linked: bool = False  # it took this router's last connect
    cold_since: int = 0  # 0: warm since long ago
    trial: bool = False  # what is out was sent to see whether it has recovered
    load: api.LoadReport | None = None
    load_at: int = 0
    silences: int = 0  # time-outs in a row
    hearsay: bool = False  # it fails others, and was left alone for that
    listed: api.State = api.State.READY

    def predict(self) -> float:
        """The answer time to expect of one more request, if it grows with what this router has out."""
        return self.latency * (self.out + 1) / self.mean_in_flight

    def reported(self, now: int) -> float:
        """The same by the server's last report, while that is fresh: it tells what other routers send."""
        load = self.load
        if load is None or now - self.load_at > SECOND:
            return 0.0
        busy = max(1.0, load.qps * load.latency_ms / 1000)  # cores at work, by Little's law
        return load.latency_ms * 1e6 * (load.inflight + 1) / busy

    def calm(self, now: int, limit: float, crowd: int, pace: float) -> bool:
        """Whether one more request is answered within the limit, and crowd times its uncrowded answer time.
        A swamped server gets one trial an answer time and no two within pace, so that it can recover."""
        own, reported = self.predict(), self.reported(now)
        if own <= min(limit, crowd * (self.base_latency or limit)) and reported <= limit * crowd / 2:
            return True
        if self.out or now - self.sent_at < max(own, reported, pace):
            return False
        self.trial = True
        return True

    def learn(self, now: int, span: int, elapsed: int, out: int, full: bool = False) -> None:
        # Guards a start: a first answer that is slower than the guess that stood there counts whole.
        guessed = not self.base_latency and elapsed > self.latency and not full
        weight = 1 if guessed else 1 / 2 if self.trial else weight_of(now - self.learned_at, span)
        self.learned_at = now
        self.latency += (elapsed - self.latency) * weight
        self.mean_in_flight += (out - self.mean_in_flight) * SMOOTHING
        self.base_latency = min(self.base_latency * (1 + SMOOTHING / 16) or self.latency, self.latency)
        self.trial = False

    def bear(self, now: int, elapsed: int, slow: bool) -> None:
        """A slow answer cuts the share of its range by a quarter, once a jam; a quick one adds a part."""
        if not slow:
            self.range_fraction = min(self.range_fraction + SMOOTHING / 2, 1.0)
        elif now - elapsed >= self.cut_at:
            self.range_fraction, self.cut_at = max(self.range_fraction * 3 / 4, SMOOTHING), now

    def near_limit(self) -> bool:
        """Whether it is near what it bears: it was full or slow lately, or one more answer is expected after
        twice the uncrowded time. Under processor sharing answers take 1 / (1 - u) times that, with a part u
        of its capacity in use: at half, a key with a fair share of its own may fill the rest."""
        return self.range_fraction < 1 or 0 < NEAR_LIMIT * self.base_latency <= self.predict()

    def never_sent(self, sent: int) -> None:
        """Takes back the last attempt, which this machine could not begin: it was no trial of the server."""
        self.out = max(0, self.out - 1)
        if self.sent_at == sent:
            self.sent_at = self.sent_before
        self.trial = self.trial and self.out > 0

    def open(self, now: int) -> bool:
        """Whether it may be tried: one at a time after a failure, until it answers."""
        tried_again = now >= self.down_until and not self.out
        return self.member.state is api.State.READY and (not self.fails or tried_again)
