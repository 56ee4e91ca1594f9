"""What must hold over a whole play. Each check reads the history and gives what breaks its rule, each with
the events that show it and the faults of that time. A fault excuses what the rules let it excuse, and no
more."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from applehub.events import EventKind, EventRecord
from applehub.lab.fleet.history import History, Span
from applehub.lab.fleet.plan import NEW, OLD, Plan
from applehub.peers.records import RETENTION, type_name

MILLI = 1_000_000
MOST_SHOWN = 14  # events of one broken rule
ENDS = (
    EventKind.REQUEST_ANSWERED,
    EventKind.CLOSED_UNANSWERED,
    EventKind.REQUEST_TIMED_OUT,
    EventKind.CONNECT_FAILED,
    EventKind.CLIENT_LEFT,
)
# Faults under which the platform takes a request of that router for lost without the router's doing.
LOSES = frozenset({"kill", "power", "stop", "slow", "bad"})
ENDS_IT = frozenset({"kill", "power", "bad"})  # of these, those that may end a router's process
LOSES_ON_EDGE = frozenset({"silent", "hang", "reset", "cut", "delay", "rate"})
SLOWS = frozenset({"silent", "delay", "rate", "pieces", "stop", "slow"})  # what holds up what is under way
CATCH_UP = 500 * MILLI  # after a fault's end, until what it held up has been read
NEVER_RAN = frozenset({"full", "rejected", "miss"})
LISTS = ("list", "list-0", "list-1", "list-2")  # the stand-in, or replicas of the list service
HUNG = 6000 * MILLI  # until what a connection that hangs has missed counts as told all the same
GRACE = 700 * MILLI  # after SIGTERM, in which what comes is still owed an answer
ATTEMPTS = 4


@dataclass(slots=True)
class Broken:
    """A rule that was broken: what happened, and the events that show it."""

    check: str
    what: str
    shown: list[EventRecord]

    def text(self, history: History) -> str:
        """For people: the faults in it among the events, in order; times from the load's begin."""
        first, last = self.shown[0].mono, self.shown[-1].mono
        spans = [
            one for one in history.of(EventKind.FAULT_BEGUN, EventKind.FAULT_ENDED)
            if first - 2000 * MILLI <= one.mono <= last
        ]  # fmt: skip
        lines = sorted([*spans[-4:], *self.shown[-MOST_SHOWN:]], key=lambda one: one.mono)
        return "\n".join(
            [f"{self.check}: {self.what}", *("  " + one.to_text(history.begin) for one in lines)]
        )


Check = Callable[[History, Plan], Iterator[Broken]]


def answered(history: History, plan: Plan) -> Iterator[Broken]:
    """Each taken request has exactly one final answer, in its time and the slack."""
    asked: dict[str, EventRecord] = {}
    ends: dict[str, EventRecord] = {}
    for one in history.records:
        if one.event is EventKind.REQUEST_SENT:
            asked[one.request] = one
        elif one.event in ENDS:
            ends[one.request] = one
        elif one.event is EventKind.ANSWER_UNEXPECTED:
            yield Broken("answered", f"{one.fields['router']} gave an answer that nobody asked for", [one])
    for name, first in asked.items():
        end = ends.get(name)
        if end is not None and end.event in (EventKind.REQUEST_ANSWERED, EventKind.CLIENT_LEFT):
            continue  # to who has left nothing is owed
        if end is None:
            yield Broken("answered", "a request that never ended", [first])
        elif not _excused(history, first, end):
            how = (
                "not answered in its time"
                if end.event is EventKind.REQUEST_TIMED_OUT
                else "its connection was ended"
            )
            between = [
                one for one in history.records if one.request == name and first.mono < one.mono < end.mono
            ]
            yield Broken("answered", how, [first, *between, end])


def _excused(history: History, asked: EventRecord, end: EventRecord) -> bool:
    router = asked.fields["router"]
    for span in history.struck(asked.mono, end.mono, router, f"clients>{router}"):
        if span.kind in LOSES_ON_EDGE or span.kind in LOSES:
            return True
        if span.kind == "term" and asked.mono - span.begin > GRACE:
            return True
        if span.kind == "system_call" and span.reaches(f"clients>{router}"):
            return True  # its connection broke
    return False


def resends(history: History, plan: Plan) -> Iterator[Broken]:
    """No attempt past what the class allows: none after one that may have run for `once`, within the window
    for `put`, at most so many for any."""
    attempts: dict[str, list[EventRecord]] = defaultdict(list)
    ends: dict[tuple[str, str], list[EventRecord]] = defaultdict(list)
    window = int(plan.rules.keyed_window_ms * MILLI)
    for one in history.of(EventKind.ATTEMPT_BEGUN, EventKind.ATTEMPT_ENDED):
        if one.event is EventKind.ATTEMPT_BEGUN:
            attempts[one.request].append(one)
        else:
            ends[one.request, one.fields["server"]].append(one)
    for name, made in attempts.items():
        if len(made) < 2:
            continue
        # One is out at a time, so a server's ends come in the order of its attempts.
        left = {key: iter(ends[key]) for key in {(name, one.fields["server"]) for one in made}}
        ended = [next(left[name, one.fields["server"]], None) for one in made]
        shown = sorted([*made, *(end for end in ended if end is not None)], key=lambda one: one.mono)
        ran = [
            one for one, end in zip(made, ended, strict=True)
            if end is None or end.fields["how"] not in NEVER_RAN
        ]  # fmt: skip
        cls, router = made[0].fields["cls"], made[0].fields["router"]
        if len(made) > ATTEMPTS:
            yield Broken("resends", f"{len(made)} attempts", shown)
        elif any(span.kind in ENDS_IT for span in history.struck(made[0].mono, made[-1].mono, router)):
            continue  # its client was closed on, and asked again as the protocol has it, of a new process
        elif cls == "once" and ran and ran[0] is not made[-1]:
            yield Broken("resends", "sent again after an attempt that may have run", shown)
        elif cls == "put" and ran and made[-1].mono - ran[0].mono > window + _held_up(history, made[-1]):
            yield Broken("resends", "sent again past the window in which a repeat is dropped", shown)


@dataclass(slots=True)
class _Known:
    """What a router was told of a server, and since when."""

    state: str
    since: EventRecord


def drained(history: History, plan: Plan) -> Iterator[Broken]:
    """Nothing new to a server past the slack since the router was told that it drains or is gone, nor ever to
    one that the router's list never named."""
    known: dict[str, dict[str, _Known]] = defaultdict(dict)
    slack = int(plan.rules.drain_slack_ms * MILLI)
    for one in history.of(EventKind.LIST_SENT, EventKind.ATTEMPT_BEGUN):
        router = one.fields["router"]
        if one.event is EventKind.LIST_SENT:
            states = dict(one.fields["states"])
            if one.fields.get("whole"):
                states |= {name: "Gone" for name in known[router] if name not in states}
            if one.fields.get("start"):  # a new process knows what it is started with, and no more
                known[router] = {}
            for name, state in states.items():
                before = known[router].get(name)
                if before is None or before.state != state:
                    known[router][name] = _Known(state, one)
            continue
        server = one.fields["server"]
        told = known[router].get(server)
        if told is None:
            yield Broken("drained", f"{router} sent to {server}, which its list never named", [one])
        elif told.state != "Ready" and one.mono - told.since.mono > slack + _held_up(history, one):
            late = (one.mono - told.since.mono) / MILLI
            what = f"{router} sent to {server} {late:.0f} ms after it was told: {told.state}"
            yield Broken("drained", what, [told.since, one])


def _held_up(history: History, attempt: EventRecord) -> int:
    """How long a send may have been on its way, or the router asleep, by the faults of that time."""
    router, server, reach = attempt.fields["router"], attempt.fields["server"], 30_000 * MILLI
    edges = (f"{router}>{server}", *(f"{router}>{name}" for name in LISTS))
    spans = [
        span for edge in edges for span in history.struck(attempt.mono - reach, attempt.mono, router, edge)
        if span.kind in LOSES or span.kind in LOSES_ON_EDGE
    ]  # fmt: skip
    ends = {span.number: span.begin + HUNG if span.kind == "hang" else span.end for span in spans}
    return max((min(attempt.mono, ends[span.number]) - span.begin + CATCH_UP for span in spans), default=0)


def by_hand(history: History, plan: Plan) -> Iterator[Broken]:
    """A cache server out by hand gets nothing new from the yes and the slack on until the call back, over
    restarts too, for as long as the router's disk is kept."""
    out: dict[tuple[str, str], EventRecord] = {}
    slack = int(plan.rules.by_hand_slack_ms * MILLI)
    lost = [
        one for one in history.of(EventKind.FAULT_BEGUN)
        if one.fields["kind"] == "kill" and not one.fields["keep_disk"]
    ]  # fmt: skip
    for one in history.of(EventKind.OPERATOR_CALL, EventKind.ATTEMPT_BEGUN, EventKind.FAULT_BEGUN):
        if one.event is EventKind.FAULT_BEGUN:
            if one in lost:
                for key in [key for key in out if key[0] in one.fields["processes"]]:
                    del out[key]
        elif one.event is EventKind.OPERATOR_CALL and one.fields["answer"] == "+OK":
            call, _, server = one.fields["words"].partition(" ")
            if call == "OFFLINE":
                out.setdefault((one.fields["router"], server), one)
            elif call == "ONLINE":
                out.pop((one.fields["router"], server), None)
        elif one.event is EventKind.ATTEMPT_BEGUN:
            call_out = out.get((one.fields["router"], one.fields["server"]))
            if call_out is not None and one.mono - call_out.mono > slack + _held_up(history, one):
                what = f"{one.fields['router']} sent to {one.fields['server']}, which is out by hand"
                yield Broken("by_hand", what, [call_out, one])


def versions(history: History, plan: Plan) -> Iterator[Broken]:
    """No router's version of the list goes back within one life of its process. While two processes of a
    router run, nobody can tell which of them asks. A call is held against those that were read before it may
    have been made: one that a fault held up says nothing of what its router came to hold meanwhile."""
    held: dict[str, list[EventRecord]] = defaultdict(list)  # calls of each router, their versions rising
    answered_at: dict[tuple[str, str], int] = {}  # when a replica last answered a router
    for one in history.of(EventKind.LIST_POLLED, EventKind.LIST_SENT, EventKind.STARTED):
        if one.event is EventKind.STARTED:
            held.pop(one.fields["of"], None)
            continue
        router = one.fields["router"]
        if one.event is EventKind.LIST_SENT:
            answered_at[router, one.process] = one.mono
            continue
        since = one.fields["since"]
        made = max(_made_from(history, one), answered_at.get((router, one.process), 0))
        if _lives_between(history, router, one.mono, one.mono) > 1:
            held.pop(router, None)
        elif since is not None and _lives_between(history, router, made, one.mono) <= 1:
            before = next((call for call in reversed(held[router]) if call.mono <= made), None)
            if before is not None and before.fields["since"] > since:
                what = f"{router} held {before.fields['since']}, then {since}"
                yield Broken("versions", what, [before, one])
                held[router].clear()
            if not held[router] or held[router][-1].fields["since"] <= since:
                held[router].append(one)


def _made_from(history: History, call: EventRecord) -> int:
    """From when on a call may have been made that the list service reads now, unless it follows on an answer:
    a replica that was stopped, or cut off, reads afterwards what was sent to it meanwhile, though its caller
    has long asked another."""
    edge = f"{call.fields['router']}>{call.process}"
    spans = history.struck(call.mono - CATCH_UP, call.mono, call.process, edge)
    return min((span.begin for span in spans if span.kind in SLOWS), default=call.mono)


def _lives_between(history: History, router: str, begin: int, end: int) -> int:
    """How many processes of a router ran at some moment of that time."""
    return sum(life.begin <= end and begin <= life.end for life in history.lives.get(router, []))


def stale(history: History, plan: Plan) -> Iterator[Broken]:
    """Each router that was up all the while is told of a change within the bound, unless a fault struck the
    way."""
    bound = int(plan.rules.stale_ms * MILLI)
    for change, router, heard in _changes(history):
        end = change.mono + bound
        if not _lived(history, router, change.mono, end) or _struck(
            history, change.mono - bound, end, router
        ):
            continue
        if not any(_tells(one, change, end) for one in heard):
            what = f"{router} was not told of version {change.fields['version']} within {bound // MILLI} ms"
            yield Broken("stale", what, [change])


def told(history: History, plan: Plan) -> Iterator[Broken]:
    """A change counts as told some seconds after it was there and the way to the router was free, whatever
    struck that way before: from then on the router knows of it."""
    bound = int(plan.rules.told_ms * MILLI)
    for change, router, heard in _changes(history):
        free = _free_from(history, change.mono, bound, router)
        if not _lived(history, router, free, free + bound):
            continue
        # What was written while something struck the way was written to nobody.
        if not any(
            _tells(one, change, free + bound) and not _struck(history, one.mono, one.mono, router)
            for one in heard
        ):
            what = f"{router} does not know version {change.fields['version']} {bound // MILLI} ms later"
            yield Broken("told", what, [change])


def _changes(history: History) -> Iterator[tuple[EventRecord, str, list[EventRecord]]]:
    """Each change of the list with each router that ever heard of one, and all that it was told."""
    heard: dict[str, list[EventRecord]] = defaultdict(list)
    for one in history.of(EventKind.LIST_SENT):
        heard[one.fields["router"]].append(one)
    for change in history.of(EventKind.LIST_CHANGED):
        for router, records in heard.items():
            yield change, router, records


def _tells(one: EventRecord, change: EventRecord, by: int) -> bool:
    """Whether a router is told of a change by it, in time."""
    return change.mono <= one.mono <= by and one.fields["version"] >= change.fields["version"]


def _lived(history: History, router: str, begin: int, end: int) -> bool:
    """Whether one process of a router was up all the while, and the play went on past it."""
    lives = history.lives.get(router, [])
    return end <= history.records[-1].mono and any(one.ready <= begin and one.end > end for one in lives)


def _free_from(history: History, moment: int, bound: int, router: str) -> int:
    """From when on nothing strikes the way from the list service to a router for that long."""
    while True:
        ends = [span.end for span in _struck(history, moment, moment + bound, router) if span.end > moment]
        if not ends:
            return moment
        moment = max(ends)


def _struck(history: History, begin: int, end: int, router: str) -> list[Span]:
    """What struck the way from the list service to a router, either end included."""
    return [
        span for name in LISTS
        for span in history.struck(begin, end, router, f"{router}>{name}") + history.struck(begin, end, name)
    ]  # fmt: skip


def _slowed(history: History, left: EventRecord, attempt: EventRecord) -> int:
    """For how long, since a client left, that could not be seen, or an attempt was on its way: a server that
    is stopped reads what came before once it goes on."""
    router, server = attempt.fields["router"], attempt.fields["server"]
    ways = ((router, f"clients>{router}"), (server, f"{router}>{server}"))
    spans = [
        span for process, edge in ways for span in history.struck(left.mono, attempt.mono, process, edge)
        if span.kind in SLOWS
    ]  # fmt: skip
    return sum(min(attempt.mono, span.end) - max(left.mono, span.begin) for span in spans)


def departed(history: History, plan: Plan) -> Iterator[Broken]:
    """No attempt begins for a client that has left, past the bound; two cases are put down to the network."""
    bound = int(plan.rules.departed_ms * MILLI)
    left = {one.request: one for one in history.of(EventKind.CLIENT_LEFT)}
    after = [(left[one.request], one) for one in history.of(EventKind.ATTEMPT_BEGUN) if one.request in left]
    late = [[gone, one] for gone, one in after if one.mono - gone.mono > bound + _slowed(history, gone, one)]
    for case in late[2:]:
        ms = (case[1].mono - case[0].mono) / MILLI
        yield Broken(
            "departed", f"{case[1].fields['router']} began an attempt {ms:.0f} ms after its client left", case
        )


def kept(history: History, plan: Plan) -> Iterator[Broken]:
    """No change of the list that was said yes to is lost, and no version is used twice."""
    made: dict[int, EventRecord] = {}
    held = history.of(EventKind.ENTRIES_HELD)
    for one in history.of(EventKind.CHANGE_ACKNOWLEDGED):
        entry, server = one.fields["entry"], one.fields["server"]
        before = made.setdefault(entry, one)
        if before.fields["server"] != server:
            yield Broken(
                "kept", f"version {entry} for {before.fields['server']} and for {server}", [before, one]
            )
        if held and held[-1].fields["servers"].get(server, 0) < entry:
            yield Broken("kept", f"{server}: version {entry} was lost", [one, held[-1]])


def shared(history: History, plan: Plan) -> Iterator[Broken]:
    """What counts of that which a router hears is within its bound; and once nothing has struck for a while,
    each router knows of just the routers that are there."""
    settled = int(plan.rules.peers_ms * MILLI)
    bounds = {type_name(kind): bound.max_age // MILLI for kind, bound in RETENTION.items()}
    names = [f"router-{number}" for number in range(plan.fleet.routers)]
    lives = [life for name in names for life in history.lives.get(name, [])]
    moments = [moment for life in lives for moment in (life.begin, life.ready, life.end)]
    edges = [f"{one}>{other}" for one in names for other in names]
    spans = [
        span for span in history.spans
        if span.kind != "hup" and (span.processes & set(names) or any(map(span.reaches, edges)))
    ]  # fmt: skip
    for one in history.of(EventKind.PEER_FIGURES):
        router, figures = one.fields["router"], one.fields["figures"]
        for name, bound in bounds.items():
            age = figures[f"age_ms.{name}"]
            if age > bound:
                yield Broken("shared", f"{router} counts a {name} of {age} ms, {bound} allowed", [one])
        since = one.mono - settled
        struck = any(span.begin <= one.mono and span.end >= since for span in spans)
        if struck or any(since <= moment <= one.mono for moment in moments):
            continue
        there = sum(life.ready < since and life.end > one.mono for life in lives)
        if figures["routers"] != there:
            what = f"{router} holds {figures['routers']} routers to be there, and {there} are"
            yield Broken("shared", what, [one])


def standing(history: History, plan: Plan) -> Iterator[Broken]:
    """No process ends but by a plan, no cold server is pushed over, and each fault is carried out: a router
    that never came up is excused by what struck it since its start."""
    for one in history.of(EventKind.FAULT_NOT_BEGUN):
        of = one.fields.get("of", "")
        begin = max((life.begin for life in history.lives.get(of, []) if life.begin < one.mono), default=0)
        struck = history.struck(begin, one.mono, of)
        if not any(span.begin > begin or span.kind in ("stop", "slow") for span in struck):
            what = f"fault {one.fields['fault']} could not be carried out: {one.fields['why']}"
            yield Broken("standing", what, [one])
    for one in history.of(EventKind.EXITED, EventKind.SERVER_OVERLOADED):
        if one.event is EventKind.SERVER_OVERLOADED:
            yield Broken("standing", f"{one.fields['server']} was cold and fell over", [one])
        elif not one.fields["planned"] and not _bad(history, one.mono, one.fields["of"]):
            yield Broken("standing", f"{one.fields['of']} ended with code {one.fields['code']}", [one])


def limits(history: History, plan: Plan) -> Iterator[Broken]:
    """Each router keeps to its memory and its descriptors."""
    found: set[tuple[str, str]] = set()
    most = {"descriptors": plan.fleet.sockets, "memory_mb": plan.fleet.memory_mb}
    for one in history.of(EventKind.RESOURCE_SAMPLE):
        router = one.fields["of"]
        for what, bound in most.items():
            over = router.startswith("router-") and one.fields[what] > bound
            if over and (router, what) not in found and not _bad(history, one.mono, router):
                found.add((router, what))
                yield Broken("limits", f"{router} holds {one.fields[what]} {what}, {bound} allowed", [one])


def _bad(history: History, at: int, process: str) -> bool:
    """Whether a version that is bad on purpose ran there."""
    return any(span.kind == "bad" for span in history.struck(at, at, process))


def released(history: History, plan: Plan) -> Iterator[Broken]:
    """A release comes to the end that the plan wants, with every unit at the version that it says; no step is
    done twice, and never are units of two zones, or too many, out."""
    if plan.release is None:
        return
    done: dict[int, EventRecord] = {}
    versions: dict[str, EventRecord] = {}
    out: dict[str, EventRecord] = {}
    moved = [one for one in history.of(EventKind.STEP_EXECUTED) if not one.fields["why"]]
    for one in moved:
        unit, step, number = one.fields["unit"], one.fields["step"], one.fields["number"]
        if number in done:
            yield Broken("released", f"step {number} was done twice", [done[number], one])
        done[number] = one
        if step == "drain":
            out[unit] = one
        elif step == "admit":
            out.pop(unit, None)
        else:
            versions[unit] = one
        zones = {int(name.rpartition("-")[2]) % plan.fleet.zones for name in out}
        if len(zones) > 1 or len(out) > plan.release.limits.out_at_once:
            yield Broken("released", f"out at once: {', '.join(sorted(out))}", list(out.values()))
    modes = history.of(EventKind.RELEASE_MODE)
    if not modes or modes[-1].fields["mode"] != plan.release.ends:
        how = modes[-1].fields["mode"] if modes else "not begun"
        yield Broken(
            "released", f"the release is {how}, not {plan.release.ends}", modes[-1:] or history.records[-1:]
        )
        return
    wanted = NEW if plan.release.ends == "done" else OLD
    for unit, one in versions.items():
        if one.fields["version"] != wanted:
            yield Broken("released", f"{unit} is left at {one.fields['version']}", [one])
    if out:
        yield Broken("released", f"left out: {', '.join(sorted(out))}", list(out.values()))


CHECKS: dict[str, Check] = {
    check.__name__: check
    for check in (
        answered,
        resends,
        drained,
        by_hand,
        versions,
        stale,
        told,
        departed,
        kept,
        shared,
        released,
        standing,
        limits,
    )
}


def judge(history: History, plan: Plan) -> list[Broken]:
    """All that is broken."""
    return [broken for check in CHECKS.values() for broken in check(history, plan)]
