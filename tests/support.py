"""Test helpers: settings, endpoint lists, and a router that a test drives event by event."""

from applehub import interface as api
from applehub.policy import Balancer
from applehub.policy.servers import Server

SECOND = 1_000_000_000
MILLI = 1_000_000
ORIGIN_KIND = 9
START = 100 * SECOND


def settings(**changes: object) -> api.Settings:
    values: dict[str, object] = {
        "classes": [
            api.RequestClass(latency_objective=SECOND, deadline=2 * SECOND, late_weight=0.5),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.KEYED, "all", 3 * SECOND // 2),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.UNSAFE),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.KEYED, "zone", SECOND),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.KEYED, "cell", SECOND),
        ],
        "router_count": 3,
        "cache_aside": True,
        "origin_kind": ORIGIN_KIND,
        "max_attempts": 4,
        "slow_start_capacity": 0.2,
        "slow_start_time": 10 * SECOND,
        "overload_factor": 3.0,
    }
    values.update(changes)
    return api.Settings(**values)  # type: ignore[arg-type]


def fleet(count: int = 4, origin: bool = True) -> list[api.Member]:
    members = [api.Member(f"c{n}", zone=n % 2, cell=n % 3) for n in range(count)]
    return members + ([api.Member("origin", kind=ORIGIN_KIND)] if origin else [])


class Router:
    """Drives a balancer with a simulated clock and timers."""

    def __init__(
        self, options: api.Settings | None = None, members: list[api.Member] | None = None, seed: int = 7
    ) -> None:
        self.balancer = Balancer(options or settings(), seed)
        self.now = START
        self.timers: list[tuple[int, str]] = []
        self.log: list[str] = []
        self.request_count = 0
        initial = fleet() if members is None else members
        self.deliver(api.Members(api.ListKind.CACHED, initial))

    def deliver(self, event: api.Event) -> list[api.Action]:
        """Delivers an event and returns the actions other than timers and log lines."""
        actions: list[api.Action] = []
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, api.Log):
                self.log.append(action.text)
            else:
                actions.append(action)
        return actions

    def advance(self, delay: int) -> list[api.Action]:
        """Advances the clock and fires the timers that fall due."""
        end, actions = self.now + delay, []
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            actions += self.deliver(api.TimerFired(timer[1]))
        self.now = end
        return actions

    def send_request(
        self, key: str | None = "k", cls: int = 0, write: bool = False, tenant: int = 0
    ) -> tuple[str, list[api.Action]]:
        self.request_count += 1
        name = f"r{self.request_count}"
        deadline = self.now + self.balancer.settings.classes[cls].deadline
        return name, self.deliver(api.Request(name, cls, deadline, key, write, tenant))

    def finish_attempt(
        self,
        send: api.Action,
        status: api.Status,
        attempt: int = 0,
        elapsed: int = 10 * MILLI,
        load: api.LoadReport | None = None,
    ) -> list[api.Action]:
        """Delivers the outcome of the attempt that a Send action started."""
        assert isinstance(send, api.Send)
        closed = status is api.Status.OK
        return self.deliver(api.Outcome(send.id, attempt, send.server, status, closed, elapsed, load=load))

    def candidates(self, key: str) -> list[Server]:
        balancer = self.balancer
        return [
            balancer.server_table.servers[name]
            for name in balancer.server_table.ranges.locate(key, self.now)[3]
        ]

    def cache_key(self, key: str) -> str:
        """Fetches a key from the origin and returns the server that caches it."""
        _, (first,) = self.send_request(key)
        (second,) = self.finish_attempt(first, api.Status.MISS)
        self.finish_attempt(second, api.Status.OK, 1)
        assert isinstance(first, api.Send)
        return first.server

    def crash_owner(self, key: str) -> api.Action:
        """Crashes the owner of a key during an attempt and returns the Send action of that attempt."""
        _, (first,) = self.send_request(key)
        name = self.candidates(key)[0].member.server
        (retry,) = self.finish_attempt(first, api.Status.RESET)
        self.finish_attempt(retry, api.Status.CONNECT_FAILED, 1)
        self.advance(SECOND)
        _, (trial,) = self.send_request(key)
        assert isinstance(trial, api.Send) and trial.server == name
        self.finish_attempt(trial, api.Status.CONNECT_FAILED)
        return first

    def make_owner_fail(self, key: str) -> str:
        """Answers requests to the owner of a key with errors until the owner is ejected; returns its name."""
        name = self.candidates(key)[0].member.server
        for _ in range(100):
            if self.balancer.server_table.servers[name].failures:
                break
            _, (send,) = self.send_request(key)
            assert isinstance(send, api.Send)
            self.finish_attempt(
                send, api.Status.ERROR if send.server == name else api.Status.OK, elapsed=MILLI
            )
        return name

    def enable_throttle(self) -> None:
        """Makes the origin fail until the monitor turns the throttle on."""
        for n in range(6):
            _, (first,) = self.send_request(f"on{n}")
            (second,) = self.finish_attempt(first, api.Status.MISS)
            self.finish_attempt(second, api.Status.FULL, 1)
        self.advance(SECOND)
        assert self.balancer.monitor.throttle is not None
