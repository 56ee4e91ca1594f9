"""Attempts that fail on the router's host before they start: they are retried and blame no server."""

from collections.abc import Iterator

import pytest
from support import MILLI, SECOND, START, Router, fleet, settings

from applehub import interface as api
from applehub.policy.balancer import Balancer
from applehub.policy.servers import Server

Status = api.Status
NOT_STARTED = [Status.LOCAL_FAILURE, Status.UNREACHABLE]


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def server_named(router: Router, name: str) -> Server:
    return router.balancer.server_table.servers[name]


class FailingHost:
    """Simulates a host on which no attempt can be started, and records the attempts of its router."""

    def __init__(self, router: Router, status: api.Status) -> None:
        self.router, self.status = router, status
        self.attempts: list[tuple[int, str]] = []
        self.last_attempt: dict[str, int] = {}
        self.responses: list[api.Action] = []

    def next_attempt(self, send: api.Send) -> int:
        self.last_attempt[send.id] = self.last_attempt.get(send.id, -1) + 1
        return self.last_attempt[send.id]

    def fail(self, actions: list[api.Action]) -> None:
        """Fails every attempt in `actions` at once, and every attempt sent in response."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, api.Send):
                self.attempts.append((self.router.now, action.id))
                pending += self.router.finish_attempt(action, self.status, self.next_attempt(action), 0)
            elif isinstance(action, api.Reject | api.Fail):
                self.responses.append(action)

    def fail_for(self, duration: int) -> None:
        for _ in range(duration // MILLI):
            self.fail(self.router.advance(MILLI))

    def wait_for_sends(self, timeout: int) -> list[api.Send]:
        """Simulates a recovered host: waits up to `timeout` ns and returns the next attempts."""
        for _ in range(timeout // MILLI):
            if new_sends := sends(self.router.advance(MILLI)):
                return new_sends
        return []


@pytest.mark.parametrize("status", NOT_STARTED)
def test_local_failure_is_not_counted_against_a_server(status: api.Status) -> None:
    router = Router()
    host = FailingHost(router, status)
    for n in range(6):
        host.fail(router.send_request(f"k{n}")[1])
    host.fail_for(100 * MILLI)
    assert len(host.attempts) >= 6
    for server in router.balancer.server_table.servers.values():
        assert (
            server.failures,
            server.broken_attempts,
            server.refused_connects,
            server.timeouts,
            server.in_flight,
        ) == (0, 0, 0, 0, 0)
        assert server.is_available(router.now) and not server.answered_at
    assert (
        router.balancer.server_table.connect_failure_rate == 0
        and router.balancer.server_table.excluded_count == 0
    )
    assert not any(line.startswith("server") for line in router.log)
    _, actions = router.send_request("new")
    (send,) = sends(actions)
    assert send.server == router.candidates("new")[0].member.server


def test_local_failures_are_logged_once_per_period() -> None:
    router = Router()
    host = FailingHost(router, Status.LOCAL_FAILURE)
    for n in range(50):
        host.fail(router.send_request(f"k{n}")[1])
        host.fail_for(20 * MILLI)
    (line,) = [text for text in router.log if "this machine" in text]
    assert "could not begin an attempt at c" in line and line.endswith(": local_failure")
    host.fail_for(10 * SECOND)
    host.fail(router.send_request("later")[1])
    assert sum("this machine" in text for text in router.log) == 2


@pytest.mark.parametrize("status", NOT_STARTED)
def test_local_failures_are_not_gossiped(status: api.Status) -> None:
    router = Router(settings(peers=True))
    host = FailingHost(router, status)
    messages: list[api.PublishGossip] = []
    for n in range(6):
        host.fail(router.send_request(f"k{n}")[1])
    for _ in range(10):
        messages += [
            action for action in router.advance(100 * MILLI) if isinstance(action, api.PublishGossip)
        ]
    assert messages and all(message.failing == {} for message in messages)


@pytest.mark.parametrize("status", NOT_STARTED)
@pytest.mark.parametrize("cls", [0, 1, 2])
def test_request_is_retried_once_the_host_recovers(status: api.Status, cls: int) -> None:
    """The request was not executed, so any class may be retried, and no allowed attempt is used up."""
    router = Router(settings(max_attempts=1))
    host = FailingHost(router, status)
    name, actions = router.send_request("k", cls=cls, write=cls > 0)
    host.fail(actions)
    host.fail_for(300 * MILLI)
    assert not host.responses and len(host.attempts) > 4
    (send,) = host.wait_for_sends(60 * MILLI)
    assert send.id == name
    assert not router.finish_attempt(send, Status.OK, host.next_attempt(send))
    assert not router.balancer.jobs


@pytest.mark.parametrize("status", NOT_STARTED)
@pytest.mark.parametrize("write", [False, True])
def test_request_is_rejected_in_time_if_the_host_does_not_recover(status: api.Status, write: bool) -> None:
    router = Router(settings(classes=[api.RequestClass(SECOND, 2 * SECOND)]))
    host = FailingHost(router, status)
    name, actions = router.send_request("k", write=write)
    host.fail(actions)
    host.fail_for(SECOND + 2 * MILLI)
    assert [type(response) for response in host.responses] == [api.Reject]
    attempts = len(host.attempts)
    host.fail_for(SECOND)
    assert len(host.attempts) == attempts and not router.balancer.jobs and name


@pytest.mark.parametrize("status", NOT_STARTED)
def test_retries_of_many_requests_are_paced(status: api.Status) -> None:
    router = Router(settings(router_count=1))
    host = FailingHost(router, status)
    for n in range(400):
        host.fail(router.send_request(f"k{n}")[1])
    first_attempts = len(host.attempts)
    # One attempt per request, and a second at another server if the first server is unreachable.
    assert first_attempts <= 800
    started_at = router.now
    host.fail_for(500 * MILLI)
    retried_at = [sent_at for sent_at, _ in host.attempts[first_attempts:]]
    assert len(retried_at) <= 25  # retries of all 400 requests within half a second
    assert max(sum(start <= time < start + 20 * MILLI for time in retried_at) for start in retried_at) <= 4
    assert not host.responses and started_at
    # The host has recovered: all requests are served soon, but not in one burst.
    served: list[tuple[int, str]] = []
    recovered_at = router.now
    while router.now < recovered_at + 600 * MILLI:
        for send in sends(router.advance(MILLI)):
            served.append((router.now, send.id))
            router.finish_attempt(send, Status.OK, host.next_attempt(send), MILLI)
    assert len({name for _, name in served}) == 400
    assert served[0][0] - recovered_at <= 51 * MILLI and served[-1][0] - recovered_at <= 500 * MILLI
    served_at = [sent_at for sent_at, _ in served]
    assert max(served_at.count(sent_at) for sent_at in served_at) <= 4


def test_local_failure_spends_no_throttle_token() -> None:
    router = Router()
    router.enable_throttle()
    throttle = router.balancer.monitor.throttle
    assert throttle is not None
    host = FailingHost(router, Status.LOCAL_FAILURE)
    router.advance(SECOND)
    level_before, spent = throttle.level, router.balancer.monitor.token_usage.per_second(router.now)
    assert level_before > 0
    name, actions = router.send_request("fresh")
    host.fail(actions)
    assert throttle.level == level_before - 1  # the waiting request holds one token
    router.deliver(api.RequestCancelled(name))
    assert throttle.level == level_before
    assert router.balancer.monitor.token_usage.per_second(router.now) == pytest.approx(spent)
    assert router.balancer.monitor.unhealthy_count == 0 and not router.balancer.misses_in_flight


def test_local_failure_spends_no_token_of_a_warming_server() -> None:
    """The token is returned, and the attempt does not count as a trial of the server."""
    router = Router(members=[api.Member("c0"), api.Member("c1", since=START - SECOND)])
    warming = server_named(router, "c1")
    for n in range(2000):
        router.advance(2 * MILLI)
        last_sent_before = warming.last_sent_at
        name, actions = router.send_request(f"k{n}")
        (send,) = sends(actions)
        if send.server == "c1":
            break
        router.finish_attempt(send, Status.OK, 0, MILLI)
    else:
        raise AssertionError("no request was sent to the warming server")
    tokens = warming.warmup_budget.tokens
    router.finish_attempt(send, Status.LOCAL_FAILURE, 0, 0)
    assert name and warming.warmup_budget.tokens == tokens + 1
    assert warming.last_sent_at == last_sent_before and not warming.is_trial and not warming.in_flight


def test_request_that_joined_a_fetch_that_never_started_is_sent_itself() -> None:
    router = Router(settings(classes=[api.RequestClass(SECOND, 2 * SECOND)]))
    host = FailingHost(router, Status.LOCAL_FAILURE)
    _, (first,) = router.send_request("k")
    (read,) = router.finish_attempt(first, Status.MISS)
    host.last_attempt["r1"] = 0
    _, join_actions = router.send_request("k")
    for send in sends(join_actions):
        assert not router.finish_attempt(send, Status.MISS)  # the request joins the fetch in flight
        host.last_attempt[send.id] = 0
    host.fail([read])
    router.deliver(api.RequestCancelled("r1"))
    resumed = host.wait_for_sends(10 * MILLI) or sends(router.advance(MILLI))
    assert resumed or "r2" in {name for _, name in host.attempts} or router.balancer.jobs["r2"].in_flight


def reachability_statuses(
    router: Router, unreachable: str, others_connect: bool, count: int
) -> Iterator[api.Status]:
    """Yields the status recorded for each unreachable attempt at one server.

    Between two attempts another server accepts a connection if `others_connect` is set."""
    for n in range(count):
        router.advance(20 * MILLI)
        event = api.Outcome(f"x{n}", 0, unreachable, Status.UNREACHABLE, True, 0)
        yield router.balancer.server_table.reachability.status(server_named(router, unreachable), event)
        router.advance(20 * MILLI)
        if others_connect:
            router.deliver(api.Outcome(f"y{n}", 0, "c1", Status.OK, True, MILLI, connected=True))


def test_unreachable_server_has_failed_if_others_accept_connections() -> None:
    router = Router()
    statuses = list(reachability_statuses(router, "c0", True, 4))
    assert statuses == [Status.UNREACHABLE, Status.UNREACHABLE, Status.CONNECT_FAILED, Status.CONNECT_FAILED]
    router.deliver(api.Outcome("z", 0, "c0", Status.UNREACHABLE, True, 0))
    assert server_named(router, "c0").failures == 1 and not server_named(router, "c0").is_available(
        router.now
    )
    assert any(line == "server c0 unreachable" for line in router.log)
    assert all(not server_named(router, name).failures for name in ("c1", "c2", "c3"))


def test_isolated_host_marks_no_server_as_failed() -> None:
    router = Router()
    assert set(reachability_statuses(router, "c0", False, 50)) == {Status.UNREACHABLE}


def test_answers_on_open_connections_are_no_evidence_of_reachability() -> None:
    router = Router()
    for n in range(20):
        router.advance(20 * MILLI)
        for name in ("c0", "c2"):
            router.deliver(api.Outcome(f"x{name}{n}", 0, name, Status.UNREACHABLE, True, 0))
        router.deliver(api.Outcome(f"y{n}", 0, "c1", Status.OK, True, MILLI))
    assert not server_named(router, "c0").failures and not server_named(router, "c2").failures


def test_two_short_local_failures_mark_no_server_as_failed() -> None:
    router = Router()
    for _ in range(2):
        router.advance(100 * MILLI)
        for name in ("c0", "c2", "c3"):
            router.deliver(api.Outcome("x", 0, name, Status.UNREACHABLE, True, 0))
        router.advance(100 * MILLI)
        router.deliver(api.Outcome("y", 0, "c1", Status.OK, True, MILLI, connected=True))
    assert not any(server.failures for server in router.balancer.server_table.servers.values())


def test_answer_resets_the_count_of_unreachable_attempts() -> None:
    router = Router()
    list(reachability_statuses(router, "c0", True, 2))
    router.deliver(api.Outcome("z", 0, "c0", Status.OK, True, MILLI))
    assert list(reachability_statuses(router, "c0", True, 2)) == [Status.UNREACHABLE, Status.UNREACHABLE]


def test_request_for_an_unreachable_server_goes_to_another_at_once() -> None:
    router = Router(members=fleet(4))
    _, (first,) = router.send_request("k")
    assert isinstance(first, api.Send)
    (second,) = router.finish_attempt(first, Status.UNREACHABLE, 0, 0)
    assert isinstance(second, api.Send) and second.server not in (first.server, "origin")


def test_policy_accepts_every_status() -> None:
    """The simulator protocol has no local failures: they come from system calls of a real host."""
    from applehub import wirehost

    assert not api.NOT_STARTED & set(wirehost.STATUS.values())
    balancer = Balancer(settings(), 1)
    for status in Status:  # the server is not listed and the request is unknown
        assert balancer.handle(SECOND, api.Outcome("x", 0, "none", status, False, 0)) is not None
