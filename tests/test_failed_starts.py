"""Attempts that this machine could not begin: they blame no server, spend nothing and are made again."""

from collections.abc import Iterator

import pytest
from support import MILLI, SECOND, START, Router, fleet, settings

from applehub import interface as api
from applehub.policy.balancer import Balancer
from applehub.policy.servers import Server

S = api.Status
NOT_BEGUN = [S.LOCAL_FAILURE, S.UNREACHABLE]


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def of(router: Router, name: str) -> Server:
    return router.balancer.roster.servers[name]


class Machine:
    """A machine that can begin no attempt for a while, as its router sees it; counts the attempts."""

    def __init__(self, router: Router, status: api.Status) -> None:
        self.router, self.status = router, status
        self.tries: list[tuple[int, str]] = []
        self.numbers: dict[str, int] = {}
        self.answers: list[api.Action] = []

    def number(self, send: api.Send) -> int:
        self.numbers[send.id] = self.numbers.get(send.id, -1) + 1
        return self.numbers[send.id]

    def fail(self, actions: list[api.Action]) -> None:
        """Each attempt that is sent fails at once."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, api.Send):
                self.tries.append((self.router.now, action.id))
                pending += self.router.end(action, self.status, self.number(action), 0)
            elif isinstance(action, api.Refuse | api.Fail):
                self.answers.append(action)

    def last(self, span: int) -> None:
        for _ in range(span // MILLI):
            self.fail(self.router.wait(MILLI))

    def until_sent(self, most: int) -> list[api.Send]:
        """The machine is well again: waits for the next attempts."""
        for _ in range(most // MILLI):
            if found := sends(self.router.wait(MILLI)):
                return found
        return []


@pytest.mark.parametrize("status", NOT_BEGUN)
def test_a_server_is_not_blamed_for_what_this_machine_can_t_begin(status: api.Status) -> None:
    router = Router()
    machine = Machine(router, status)
    for n in range(6):
        machine.fail(router.ask(f"k{n}")[1])
    machine.last(100 * MILLI)
    assert len(machine.tries) >= 6
    for server in router.balancer.roster.servers.values():
        assert (server.fails, server.breaks, server.refusals, server.silences, server.out) == (0, 0, 0, 0, 0)
        assert server.open(router.now) and not server.answered_at
    assert router.balancer.roster.crowded == 0 and router.balancer.roster.avoided == 0
    assert not any(line.startswith("server") for line in router.log)
    _, actions = router.ask("new")
    (send,) = sends(actions)
    assert send.server == router.candidates("new")[0].member.server


def test_one_line_says_that_the_machine_fails() -> None:
    router = Router()
    machine = Machine(router, S.LOCAL_FAILURE)
    for n in range(50):
        machine.fail(router.ask(f"k{n}")[1])
        machine.last(20 * MILLI)
    (line,) = [one for one in router.log if "this machine" in one]
    assert "could not begin an attempt at c" in line and line.endswith(": local_failure")
    machine.last(10 * SECOND)
    machine.fail(router.ask("later")[1])
    assert sum("this machine" in one for one in router.log) == 2


@pytest.mark.parametrize("status", NOT_BEGUN)
def test_gossip_tells_nothing_of_it(status: api.Status) -> None:
    router = Router(settings(peers=True))
    machine = Machine(router, status)
    told: list[api.Tell] = []
    for n in range(6):
        machine.fail(router.ask(f"k{n}")[1])
    for _ in range(10):
        told += [one for one in router.wait(100 * MILLI) if isinstance(one, api.Tell)]
    assert told and all(one.failing == {} for one in told)


@pytest.mark.parametrize("status", NOT_BEGUN)
@pytest.mark.parametrize("cls", [0, 1, 2])
def test_it_is_tried_again_once_the_machine_is_well(status: api.Status, cls: int) -> None:
    """Nothing ran, so no class rules a further try out; and it takes none of the attempts allowed."""
    router = Router(settings(max_attempts=1))
    machine = Machine(router, status)
    name, actions = router.ask("k", cls=cls, write=cls > 0)
    machine.fail(actions)
    machine.last(300 * MILLI)
    assert not machine.answers and len(machine.tries) > 4
    (send,) = machine.until_sent(60 * MILLI)
    assert send.id == name
    assert not router.end(send, S.OK, machine.number(send))
    assert not router.balancer.jobs


@pytest.mark.parametrize("status", NOT_BEGUN)
@pytest.mark.parametrize("write", [False, True])
def test_it_is_refused_in_time_where_the_machine_stays_so(status: api.Status, write: bool) -> None:
    router = Router(settings(classes=[api.RequestClass(SECOND, 2 * SECOND)]))
    machine = Machine(router, status)
    name, actions = router.ask("k", write=write)
    machine.fail(actions)
    machine.last(SECOND + 2 * MILLI)
    assert [type(one) for one in machine.answers] == [api.Refuse]
    tries = len(machine.tries)
    machine.last(SECOND)
    assert len(machine.tries) == tries and not router.balancer.jobs and name


@pytest.mark.parametrize("status", NOT_BEGUN)
def test_hundreds_of_requests_try_a_few_at_a_time(status: api.Status) -> None:
    router = Router(settings(balancers=1))
    machine = Machine(router, status)
    for n in range(400):
        machine.fail(router.ask(f"k{n}")[1])
    first = len(machine.tries)
    assert first <= 800  # each at once, and where no way leads to a server once at another
    begun = router.now
    machine.last(500 * MILLI)
    again = [at for at, _ in machine.tries[first:]]
    assert len(again) <= 25  # of 400 callers together, in half a second
    assert max(sum(at <= one < at + 20 * MILLI for one in again) for at in again) <= 4
    assert not machine.answers and begun
    # The machine is well: all are served before long, and not in one burst.
    served: list[tuple[int, str]] = []
    well = router.now
    while router.now < well + 600 * MILLI:
        for send in sends(router.wait(MILLI)):
            served.append((router.now, send.id))
            router.end(send, S.OK, machine.number(send), MILLI)
    assert len({name for _, name in served}) == 400
    assert served[0][0] - well <= 51 * MILLI and served[-1][0] - well <= 500 * MILLI
    at_once = [at for at, _ in served]
    assert max(at_once.count(at) for at in at_once) <= 4


def test_no_token_is_spent_by_it() -> None:
    router = Router()
    router.throttle_on()
    throttle = router.balancer.monitor.throttle
    assert throttle is not None
    machine = Machine(router, S.LOCAL_FAILURE)
    router.wait(SECOND)
    before, spent = throttle.level, router.balancer.monitor.spent.per_second(router.now)
    assert before > 0
    name, actions = router.ask("fresh")
    machine.fail(actions)
    assert throttle.level == before - 1  # it holds one while it waits
    router.tell(api.Withdrawn(name))
    assert throttle.level == before
    assert router.balancer.monitor.spent.per_second(router.now) == pytest.approx(spent)
    assert router.balancer.monitor.bad == 0 and not router.balancer.reads


def test_no_token_of_a_warming_server_is_spent_by_it() -> None:
    """What it may be sent while it warms up is given back, and so is the trial of it."""
    router = Router(members=[api.Member("c0"), api.Member("c1", since=START - SECOND)])
    cold = of(router, "c1")
    for n in range(2000):
        router.wait(2 * MILLI)
        before = cold.sent_at
        name, actions = router.ask(f"k{n}")
        (send,) = sends(actions)
        if send.server == "c1":
            break
        router.end(send, S.OK, 0, MILLI)
    else:
        raise AssertionError("the server that warms up was sent nothing")
    left = cold.budget.tokens
    router.end(send, S.LOCAL_FAILURE, 0, 0)
    assert name and cold.budget.tokens == left + 1
    assert cold.sent_at == before and not cold.trial and not cold.out


def test_who_waits_for_a_read_that_was_not_begun_gets_a_turn_of_its_own() -> None:
    router = Router(settings(classes=[api.RequestClass(SECOND, 2 * SECOND)]))
    machine = Machine(router, S.LOCAL_FAILURE)
    _, (first,) = router.ask("k")
    (read,) = router.end(first, S.MISS)
    machine.numbers["r1"] = 0
    _, joined = router.ask("k")
    for send in sends(joined):
        assert not router.end(send, S.MISS)  # it joins the read that is out
        machine.numbers[send.id] = 0
    machine.fail([read])
    router.tell(api.Withdrawn("r1"))
    found = machine.until_sent(10 * MILLI) or sends(router.wait(MILLI))
    assert found or "r2" in {name for _, name in machine.tries} or router.balancer.jobs["r2"].out


def rounds(router: Router, bad: str, others: bool, count: int) -> Iterator[api.Status]:
    """No way leads to one server; between each two attempts a connection to another may come up."""
    for n in range(count):
        router.wait(20 * MILLI)
        event = api.Outcome(f"x{n}", 0, bad, S.UNREACHABLE, True, 0)
        yield router.balancer.roster.reachability.status(of(router, bad), event)
        router.wait(20 * MILLI)
        if others:
            router.tell(api.Outcome(f"y{n}", 0, "c1", S.OK, True, MILLI, connected=True))


def test_a_server_to_which_no_way_leads_while_others_take_connections_has_failed() -> None:
    router = Router()
    found = list(rounds(router, "c0", True, 4))
    assert found == [S.UNREACHABLE, S.UNREACHABLE, S.CONNECT_FAILED, S.CONNECT_FAILED]
    router.tell(api.Outcome("z", 0, "c0", S.UNREACHABLE, True, 0))
    assert of(router, "c0").fails == 1 and not of(router, "c0").open(router.now)
    assert any(line == "server c0 unreachable" for line in router.log)
    assert all(not of(router, name).fails for name in ("c1", "c2", "c3"))


def test_a_machine_that_is_cut_off_blames_nobody() -> None:
    router = Router()
    assert set(rounds(router, "c0", False, 50)) == {S.UNREACHABLE}


def test_answers_on_connections_that_were_open_tell_nothing_of_the_ways() -> None:
    router = Router()
    for n in range(20):
        router.wait(20 * MILLI)
        for name in ("c0", "c2"):
            router.tell(api.Outcome(f"x{name}{n}", 0, name, S.UNREACHABLE, True, 0))
        router.tell(api.Outcome(f"y{n}", 0, "c1", S.OK, True, MILLI))
    assert not of(router, "c0").fails and not of(router, "c2").fails


def test_two_short_failures_of_the_machine_are_no_evidence() -> None:
    router = Router()
    for _ in range(2):
        router.wait(100 * MILLI)
        for name in ("c0", "c2", "c3"):
            router.tell(api.Outcome("x", 0, name, S.UNREACHABLE, True, 0))
        router.wait(100 * MILLI)
        router.tell(api.Outcome("y", 0, "c1", S.OK, True, MILLI, connected=True))
    assert not any(server.fails for server in router.balancer.roster.servers.values())


def test_an_answer_ends_the_row() -> None:
    router = Router()
    list(rounds(router, "c0", True, 2))
    router.tell(api.Outcome("z", 0, "c0", S.OK, True, MILLI))
    assert list(rounds(router, "c0", True, 2)) == [S.UNREACHABLE, S.UNREACHABLE]


def test_a_request_for_a_server_without_a_way_goes_to_another_at_once() -> None:
    router = Router(members=fleet(4))
    _, (first,) = router.ask("k")
    assert isinstance(first, api.Send)
    (second,) = router.end(first, S.UNREACHABLE, 0, 0)
    assert isinstance(second, api.Send) and second.server not in (first.server, "origin")


def test_the_decisions_know_each_status() -> None:
    """Neither is told by the wire of the simulator: both come from the system calls of a machine."""
    from applehub import wirehost

    assert not api.NOT_BEGUN & set(wirehost.STATUS.values())
    balancer = Balancer(settings(), 1)
    for status in S:  # of a server that is not listed, for a request that is not held
        assert balancer.handle(SECOND, api.Outcome("x", 0, "none", status, False, 0)) is not None
