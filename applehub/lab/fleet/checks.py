"""Checks of the invariants that hold over a whole run.

Each check reads the history and yields its violations, each with the events that show it and the faults of
that time. Each check defines which faults excuse a violation."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from applehub.events import EventKind, EventRecord
from applehub.lab.fleet.history import FaultInterval, History
from applehub.lab.fleet.plan import NEW_VERSION, OLD_VERSION, Plan
from applehub.peers.records import RETENTION, type_name

NS_PER_MS = 1_000_000
MAX_EVENTS_SHOWN = 14
REQUEST_END_EVENTS = (
    EventKind.REQUEST_ANSWERED,
    EventKind.CLOSED_UNANSWERED,
    EventKind.REQUEST_TIMED_OUT,
    EventKind.CONNECT_FAILED,
    EventKind.CLIENT_LEFT,
)
# Faults of a router's process that excuse an unanswered request.
PROCESS_FAULTS_LOSING_REQUESTS = frozenset({"kill", "power", "stop", "slow", "bad"})
PROCESS_ENDING_FAULTS = frozenset({"kill", "power", "bad"})
EDGE_FAULTS_LOSING_REQUESTS = frozenset({"silent", "hang", "reset", "cut", "delay", "rate"})
DELAYING_FAULTS = frozenset({"silent", "delay", "rate", "pieces", "stop", "slow"})
CATCH_UP_NS = 500 * NS_PER_MS  # time after a fault's end until delayed data has been read
NOT_EXECUTED_OUTCOMES = frozenset({"full", "rejected", "miss"})
LIST_SERVICES = ("list", "list-0", "list-1", "list-2")  # the stand-in, or the replicas, of the list service
# Time from the start of a hang after which it no longer excuses a delay, since new connections work.
HANG_DETECTION_NS = 6000 * NS_PER_MS
TERM_GRACE_NS = 700 * NS_PER_MS  # time after SIGTERM in which new requests must still be served
MAX_ATTEMPTS = 4


@dataclass(slots=True)
class Violation:
    """A violation of an invariant, with the events that show it."""

    check: str
    message: str
    events: list[EventRecord]

    def text(self, history: History) -> str:
        """Formats the violation with the faults around it; times are relative to the start of the run."""
        first, last = self.events[0].mono, self.events[-1].mono
        fault_events = [
            record for record in history.events_of(EventKind.FAULT_BEGUN, EventKind.FAULT_ENDED)
            if first - 2000 * NS_PER_MS <= record.mono <= last
        ]  # fmt: skip
        lines = sorted([*fault_events[-4:], *self.events[-MAX_EVENTS_SHOWN:]], key=lambda record: record.mono)
        return "\n".join(
            [f"{self.check}: {self.message}", *("  " + record.to_text(history.begin) for record in lines)]
        )


Check = Callable[[History, Plan], Iterator[Violation]]


def answered(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that each request gets exactly one final answer within its deadline and the slack."""
    sent: dict[str, EventRecord] = {}
    ends: dict[str, EventRecord] = {}
    for record in history.records:
        if record.event is EventKind.REQUEST_SENT:
            sent[record.request] = record
        elif record.event in REQUEST_END_EVENTS:
            ends[record.request] = record
        elif record.event is EventKind.ANSWER_UNEXPECTED:
            yield Violation(
                "answered", f"{record.fields['router']} sent an answer that matches no request", [record]
            )
    for request, first in sent.items():
        end = ends.get(request)
        if end is not None and end.event in (EventKind.REQUEST_ANSWERED, EventKind.CLIENT_LEFT):
            continue  # a client that has left needs no answer
        if end is None:
            yield Violation("answered", "the request never ended", [first])
        elif not _is_excused(history, first, end):
            reason = (
                "the request was not answered before its deadline"
                if end.event is EventKind.REQUEST_TIMED_OUT
                else "the connection of the request was closed"
            )
            between = [
                record
                for record in history.records
                if record.request == request and first.mono < record.mono < end.mono
            ]
            yield Violation("answered", reason, [first, *between, end])


def _is_excused(history: History, sent: EventRecord, end: EventRecord) -> bool:
    """Returns whether a fault explains why the request was not answered."""
    router = sent.fields["router"]
    for fault in history.faults_affecting(sent.mono, end.mono, router, f"clients>{router}"):
        if fault.kind in EDGE_FAULTS_LOSING_REQUESTS or fault.kind in PROCESS_FAULTS_LOSING_REQUESTS:
            return True
        if fault.kind == "term" and sent.mono - fault.begin > TERM_GRACE_NS:
            return True
        if fault.kind == "system_call" and fault.affects_edge(f"clients>{router}"):
            return True  # the fault broke the client's connection
    return False


def resends(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that requests of each class are retried only as the class allows.

    A `once` request is not retried after an attempt that may have executed, a `put` request only within its
    idempotency window, and no request gets more than MAX_ATTEMPTS attempts."""
    attempts: dict[str, list[EventRecord]] = defaultdict(list)
    ends: dict[tuple[str, str], list[EventRecord]] = defaultdict(list)
    window = int(plan.rules.keyed_window_ms * NS_PER_MS)
    for record in history.events_of(EventKind.ATTEMPT_BEGUN, EventKind.ATTEMPT_ENDED):
        if record.event is EventKind.ATTEMPT_BEGUN:
            attempts[record.request].append(record)
        else:
            ends[record.request, record.fields["server"]].append(record)
    for request, started_attempts in attempts.items():
        if len(started_attempts) < 2:
            continue
        # A request has one attempt at a time, so a server's ends come in the order of its attempts.
        remaining = {
            key: iter(ends[key])
            for key in {(request, record.fields["server"]) for record in started_attempts}
        }
        ended = [next(remaining[request, record.fields["server"]], None) for record in started_attempts]
        events = sorted(
            [*started_attempts, *(end for end in ended if end is not None)], key=lambda record: record.mono
        )
        maybe_executed = [
            record for record, end in zip(started_attempts, ended, strict=True)
            if end is None or end.fields["how"] not in NOT_EXECUTED_OUTCOMES
        ]  # fmt: skip
        cls, router = started_attempts[0].fields["cls"], started_attempts[0].fields["router"]
        if len(started_attempts) > MAX_ATTEMPTS:
            yield Violation("resends", f"{len(started_attempts)} attempts, more than the maximum", events)
        elif any(
            fault.kind in PROCESS_ENDING_FAULTS
            for fault in history.faults_affecting(started_attempts[0].mono, started_attempts[-1].mono, router)
        ):
            continue  # the connection closed, and the client sent the request again to a new process
        elif cls == "once" and maybe_executed and maybe_executed[0] is not started_attempts[-1]:
            yield Violation("resends", "retried after an attempt that may have executed", events)
        elif (
            cls == "put"
            and maybe_executed
            and started_attempts[-1].mono - maybe_executed[0].mono
            > window + _max_delay(history, started_attempts[-1])
        ):
            yield Violation("resends", "retried after the idempotency window", events)


@dataclass(slots=True)
class _NotifiedState:
    """The latest state of a server that a router was notified of, and the event of that notification."""

    state: str
    since: EventRecord


def drained(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that a router sends nothing to a server that is draining, gone or not in its list.

    The check applies once the slack has passed since the router was notified of the state."""
    known: dict[str, dict[str, _NotifiedState]] = defaultdict(dict)
    slack = int(plan.rules.drain_slack_ms * NS_PER_MS)
    for record in history.events_of(EventKind.LIST_SENT, EventKind.ATTEMPT_BEGUN):
        router = record.fields["router"]
        if record.event is EventKind.LIST_SENT:
            states = dict(record.fields["states"])
            if record.fields.get("whole"):
                states |= {name: "Gone" for name in known[router] if name not in states}
            if record.fields.get("start"):  # a new process knows only the list that it starts with
                known[router] = {}
            for name, state in states.items():
                before = known[router].get(name)
                if before is None or before.state != state:
                    known[router][name] = _NotifiedState(state, record)
            continue
        server = record.fields["server"]
        notified = known[router].get(server)
        if notified is None:
            yield Violation(
                "drained", f"{router} sent a request to {server}, which its list never contained", [record]
            )
        elif notified.state != "Ready" and record.mono - notified.since.mono > slack + _max_delay(
            history, record
        ):
            late_ms = (record.mono - notified.since.mono) / NS_PER_MS
            message = f"{router} sent to {server} {late_ms:.0f} ms after it was notified: {notified.state}"
            yield Violation("drained", message, [notified.since, record])


def _max_delay(history: History, attempt: EventRecord) -> int:
    """Returns the longest time, in ns, that faults may have delayed a message or paused the router."""
    router, server, lookback_ns = attempt.fields["router"], attempt.fields["server"], 30_000 * NS_PER_MS
    edges = (f"{router}>{server}", *(f"{router}>{name}" for name in LIST_SERVICES))
    faults = [
        fault for edge in edges
        for fault in history.faults_affecting(attempt.mono - lookback_ns, attempt.mono, router, edge)
        if fault.kind in PROCESS_FAULTS_LOSING_REQUESTS or fault.kind in EDGE_FAULTS_LOSING_REQUESTS
    ]  # fmt: skip
    ends = {
        fault.number: fault.begin + HANG_DETECTION_NS if fault.kind == "hang" else fault.end
        for fault in faults
    }
    return max(
        (min(attempt.mono, ends[fault.number]) - fault.begin + CATCH_UP_NS for fault in faults), default=0
    )


def by_hand(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that a cache server under an operator override to offline gets no new requests.

    The check applies once the slack has passed since the override was acknowledged, until the override is
    withdrawn or the router's disk is lost."""
    overridden: dict[tuple[str, str], EventRecord] = {}
    slack = int(plan.rules.by_hand_slack_ms * NS_PER_MS)
    disk_losses = [
        record for record in history.events_of(EventKind.FAULT_BEGUN)
        if record.fields["kind"] == "kill" and not record.fields["keep_disk"]
    ]  # fmt: skip
    for record in history.events_of(EventKind.OPERATOR_CALL, EventKind.ATTEMPT_BEGUN, EventKind.FAULT_BEGUN):
        if record.event is EventKind.FAULT_BEGUN:
            if record in disk_losses:
                for key in [key for key in overridden if key[0] in record.fields["processes"]]:
                    del overridden[key]
        elif record.event is EventKind.OPERATOR_CALL and record.fields["answer"] == "+OK":
            command, _, server = record.fields["words"].partition(" ")
            if command == "OFFLINE":
                overridden.setdefault((record.fields["router"], server), record)
            elif command == "ONLINE":
                overridden.pop((record.fields["router"], server), None)
        elif record.event is EventKind.ATTEMPT_BEGUN:
            override = overridden.get((record.fields["router"], record.fields["server"]))
            if override is not None and record.mono - override.mono > slack + _max_delay(history, record):
                message = (
                    f"{record.fields['router']} sent a request to {record.fields['server']}, "
                    "which an operator override has taken offline"
                )
                yield Violation("by_hand", message, [override, record])


def versions(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that a router's list version never decreases within one incarnation.

    Polls are ignored while two processes of a router run, because they cannot be distinguished. A poll is
    compared only with polls received before it can have been sent, because a fault may delay a poll past
    later polls."""
    polls: dict[str, list[EventRecord]] = defaultdict(list)  # polls of each router, in order of version
    answered_at: dict[tuple[str, str], int] = {}  # time of a replica's last answer to a router
    for record in history.events_of(EventKind.LIST_POLLED, EventKind.LIST_SENT, EventKind.STARTED):
        if record.event is EventKind.STARTED:
            polls.pop(record.fields["of"], None)
            continue
        router = record.fields["router"]
        if record.event is EventKind.LIST_SENT:
            answered_at[router, record.process] = record.mono
            continue
        since = record.fields["since"]
        sent_at = max(_earliest_send(history, record), answered_at.get((router, record.process), 0))
        if _incarnations_between(history, router, record.mono, record.mono) > 1:
            polls.pop(router, None)
        elif since is not None and _incarnations_between(history, router, sent_at, record.mono) <= 1:
            before = next((poll for poll in reversed(polls[router]) if poll.mono <= sent_at), None)
            if before is not None and before.fields["since"] > since:
                message = f"{router} had version {before.fields['since']}, then {since}"
                yield Violation("versions", message, [before, record])
                polls[router].clear()
            if not polls[router] or polls[router][-1].fields["since"] <= since:
                polls[router].append(record)


def _earliest_send(history: History, poll: EventRecord) -> int:
    """Returns the earliest time at which the poll may have been sent.

    A replica that was stopped or cut off later reads polls that were sent to it in the meantime."""
    edge = f"{poll.fields['router']}>{poll.process}"
    faults = history.faults_affecting(poll.mono - CATCH_UP_NS, poll.mono, poll.process, edge)
    return min((fault.begin for fault in faults if fault.kind in DELAYING_FAULTS), default=poll.mono)


def _incarnations_between(history: History, router: str, begin: int, end: int) -> int:
    """Returns how many processes of a router ran at some moment between begin and end."""
    return sum(
        incarnation.begin <= end and begin <= incarnation.end
        for incarnation in history.incarnations.get(router, [])
    )


def stale(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that each running router is notified of a list change within the bound.

    The check skips routers that were not up throughout, or whose path to the list service had a fault."""
    bound = int(plan.rules.stale_ms * NS_PER_MS)
    for change, router, notifications in _changes_by_router(history):
        end = change.mono + bound
        if not _ran_throughout(history, router, change.mono, end) or _faults_on_path(
            history, change.mono - bound, end, router
        ):
            continue
        if not any(_notifies(record, change, end) for record in notifications):
            message = (
                f"{router} did not get version {change.fields['version']} within {bound // NS_PER_MS} ms"
            )
            yield Violation("stale", message, [change])


def told(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that a router learns of a change within the bound once its path to the list service is free of
    faults."""
    bound = int(plan.rules.told_ms * NS_PER_MS)
    for change, router, notifications in _changes_by_router(history):
        fault_free_at = _fault_free_from(history, change.mono, bound, router)
        if not _ran_throughout(history, router, fault_free_at, fault_free_at + bound):
            continue
        # A notification that was written while a fault affected the path may be lost, so it does not count.
        if not any(
            _notifies(record, change, fault_free_at + bound)
            and not _faults_on_path(history, record.mono, record.mono, router)
            for record in notifications
        ):
            message = (
                f"{router} does not know version {change.fields['version']} {bound // NS_PER_MS} ms "
                "after its path to the list service recovered"
            )
            yield Violation("told", message, [change])


def _changes_by_router(history: History) -> Iterator[tuple[EventRecord, str, list[EventRecord]]]:
    """Yields each list change with each router that was ever notified, and all its notifications."""
    notifications: dict[str, list[EventRecord]] = defaultdict(list)
    for record in history.events_of(EventKind.LIST_SENT):
        notifications[record.fields["router"]].append(record)
    for change in history.events_of(EventKind.LIST_CHANGED):
        for router, records in notifications.items():
            yield change, router, records


def _notifies(record: EventRecord, change: EventRecord, latest: int) -> bool:
    """Returns whether the record notifies a router of the change no later than `latest`."""
    return change.mono <= record.mono <= latest and record.fields["version"] >= change.fields["version"]


def _ran_throughout(history: History, router: str, begin: int, end: int) -> bool:
    """Returns whether one process of a router was ready from begin to end, and the run lasted until end."""
    incarnations = history.incarnations.get(router, [])
    return end <= history.records[-1].mono and any(
        incarnation.ready <= begin and incarnation.end > end for incarnation in incarnations
    )


def _fault_free_from(history: History, moment: int, bound: int, router: str) -> int:
    """Returns the first time from which the path between a router and the list service has no fault for
    `bound` ns."""
    while True:
        ends = [
            fault.end
            for fault in _faults_on_path(history, moment, moment + bound, router)
            if fault.end > moment
        ]
        if not ends:
            return moment
        moment = max(ends)


def _faults_on_path(history: History, begin: int, end: int, router: str) -> list[FaultInterval]:
    """Returns the faults that affected a router, the list service or the edge between them."""
    return [
        fault for name in LIST_SERVICES
        for fault in history.faults_affecting(begin, end, router, f"{router}>{name}")
        + history.faults_affecting(begin, end, name)
    ]  # fmt: skip


def _delay_after_leaving(history: History, left: EventRecord, attempt: EventRecord) -> int:
    """Returns the time, in ns, for which faults hid a client's departure or delayed the attempt.

    A stopped server logs an attempt that reached it earlier only when it continues."""
    router, server = attempt.fields["router"], attempt.fields["server"]
    paths = ((router, f"clients>{router}"), (server, f"{router}>{server}"))
    faults = [
        fault for process, edge in paths
        for fault in history.faults_affecting(left.mono, attempt.mono, process, edge)
        if fault.kind in DELAYING_FAULTS
    ]  # fmt: skip
    return sum(min(attempt.mono, fault.end) - max(left.mono, fault.begin) for fault in faults)


def departed(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that no attempt begins for a client that left more than the bound ago.

    Two cases per run are tolerated as network delay."""
    bound = int(plan.rules.departed_ms * NS_PER_MS)
    left = {record.request: record for record in history.events_of(EventKind.CLIENT_LEFT)}
    attempts_after_departure = [
        (left[record.request], record)
        for record in history.events_of(EventKind.ATTEMPT_BEGUN)
        if record.request in left
    ]
    late = [
        [departure, attempt]
        for departure, attempt in attempts_after_departure
        if attempt.mono - departure.mono > bound + _delay_after_leaving(history, departure, attempt)
    ]
    for case in late[2:]:
        delay_ms = (case[1].mono - case[0].mono) / NS_PER_MS
        yield Violation(
            "departed",
            f"{case[1].fields['router']} began an attempt {delay_ms:.0f} ms after its client left",
            case,
        )


def kept(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that no acknowledged change of the list is lost and that no version is used twice."""
    acknowledged: dict[int, EventRecord] = {}
    stored = history.events_of(EventKind.ENTRIES_HELD)
    for record in history.events_of(EventKind.CHANGE_ACKNOWLEDGED):
        entry, server = record.fields["entry"], record.fields["server"]
        before = acknowledged.setdefault(entry, record)
        if before.fields["server"] != server:
            yield Violation(
                "kept",
                f"version {entry} is used for {before.fields['server']} and for {server}",
                [before, record],
            )
        if stored and stored[-1].fields["servers"].get(server, 0) < entry:
            yield Violation("kept", f"{server}: version {entry} was lost", [record, stored[-1]])


def shared(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that routers use no gossip records older than their bound, and know exactly the live routers.

    The count of live routers is checked only if no fault was active and no router started or ended during
    the settling time before the record."""
    settling_ns = int(plan.rules.peers_ms * NS_PER_MS)
    bounds = {type_name(kind): bound.max_age // NS_PER_MS for kind, bound in RETENTION.items()}
    names = [f"router-{number}" for number in range(plan.fleet.routers)]
    incarnations = [incarnation for name in names for incarnation in history.incarnations.get(name, [])]
    moments = [
        moment
        for incarnation in incarnations
        for moment in (incarnation.begin, incarnation.ready, incarnation.end)
    ]
    edges = [f"{source}>{target}" for source in names for target in names]
    faults = [
        fault for fault in history.fault_intervals
        if fault.kind != "hup" and (fault.processes & set(names) or any(map(fault.affects_edge, edges)))
    ]  # fmt: skip
    for record in history.events_of(EventKind.PEER_FIGURES):
        router, metrics = record.fields["router"], record.fields["figures"]
        for name, bound in bounds.items():
            age = metrics[f"age_ms.{name}"]
            if age > bound:
                yield Violation(
                    "shared", f"{router} uses a {name} record {age} ms old, at most {bound} allowed", [record]
                )
        since = record.mono - settling_ns
        disturbed = any(fault.begin <= record.mono and fault.end >= since for fault in faults)
        if disturbed or any(since <= moment <= record.mono for moment in moments):
            continue
        expected_routers = sum(
            incarnation.ready < since and incarnation.end > record.mono for incarnation in incarnations
        )
        if metrics["routers"] != expected_routers:
            message = f"{router} counts {metrics['routers']} live routers, expected {expected_routers}"
            yield Violation("shared", message, [record])


def standing(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that processes exit only as planned, that no server is overloaded while warming up, and that
    each fault is carried out.

    A router that never became ready is excused by a fault that affected it since its start."""
    for record in history.events_of(EventKind.FAULT_NOT_BEGUN):
        process = record.fields.get("of", "")
        begin = max(
            (
                incarnation.begin
                for incarnation in history.incarnations.get(process, [])
                if incarnation.begin < record.mono
            ),
            default=0,
        )
        faults = history.faults_affecting(begin, record.mono, process)
        if not any(fault.begin > begin or fault.kind in ("stop", "slow") for fault in faults):
            message = f"fault {record.fields['fault']} could not be carried out: {record.fields['why']}"
            yield Violation("standing", message, [record])
    for record in history.events_of(EventKind.EXITED, EventKind.SERVER_OVERLOADED):
        if record.event is EventKind.SERVER_OVERLOADED:
            yield Violation(
                "standing", f"{record.fields['server']} was overloaded while warming up", [record]
            )
        elif not record.fields["planned"] and not _runs_bad_version(
            history, record.mono, record.fields["of"]
        ):
            yield Violation(
                "standing", f"{record.fields['of']} exited with code {record.fields['code']}", [record]
            )


def limits(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that each router stays within its limits of memory and descriptors."""
    reported: set[tuple[str, str]] = set()
    resource_limits = {"descriptors": plan.fleet.sockets, "memory_mb": plan.fleet.memory_mb}
    for record in history.events_of(EventKind.RESOURCE_SAMPLE):
        router = record.fields["of"]
        for resource, bound in resource_limits.items():
            exceeds_limit = router.startswith("router-") and record.fields[resource] > bound
            if (
                exceeds_limit
                and (router, resource) not in reported
                and not _runs_bad_version(history, record.mono, router)
            ):
                reported.add((router, resource))
                yield Violation(
                    "limits",
                    f"{router} uses {record.fields[resource]} {resource}, at most {bound} allowed",
                    [record],
                )


def _runs_bad_version(history: History, time_ns: int, process: str) -> bool:
    """Returns whether the plan made the process run a bad version at that time."""
    return any(fault.kind == "bad" for fault in history.faults_affecting(time_ns, time_ns, process))


def released(history: History, plan: Plan) -> Iterator[Violation]:
    """Checks that a release ends as planned, with every unit at the expected version.

    No step may run twice, and the units out of service must be in one zone and within the limit."""
    if plan.release is None:
        return
    executed: dict[int, EventRecord] = {}
    versions: dict[str, EventRecord] = {}
    out_of_service: dict[str, EventRecord] = {}
    steps = [record for record in history.events_of(EventKind.STEP_EXECUTED) if not record.fields["why"]]
    for record in steps:
        unit, step, number = record.fields["unit"], record.fields["step"], record.fields["number"]
        if number in executed:
            yield Violation("released", f"step {number} was executed twice", [executed[number], record])
        executed[number] = record
        if step == "drain":
            out_of_service[unit] = record
        elif step == "admit":
            out_of_service.pop(unit, None)
        else:
            versions[unit] = record
        zones = {int(name.rpartition("-")[2]) % plan.fleet.zones for name in out_of_service}
        if len(zones) > 1 or len(out_of_service) > plan.release.limits.out_at_once:
            yield Violation(
                "released",
                f"out of service at once: {', '.join(sorted(out_of_service))}",
                list(out_of_service.values()),
            )
    modes = history.events_of(EventKind.RELEASE_MODE)
    if not modes or modes[-1].fields["mode"] != plan.release.ends:
        mode = modes[-1].fields["mode"] if modes else "not begun"
        yield Violation(
            "released",
            f"the release is {mode}, expected {plan.release.ends}",
            modes[-1:] or history.records[-1:],
        )
        return
    expected = NEW_VERSION if plan.release.ends == "done" else OLD_VERSION
    for unit, record in versions.items():
        if record.fields["version"] != expected:
            yield Violation("released", f"{unit} still has version {record.fields['version']}", [record])
    if out_of_service:
        yield Violation(
            "released",
            f"still out of service: {', '.join(sorted(out_of_service))}",
            list(out_of_service.values()),
        )


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


def run_checks(history: History, plan: Plan) -> list[Violation]:
    """Returns the violations of all checks."""
    return [violation for check in CHECKS.values() for violation in check(history, plan)]
