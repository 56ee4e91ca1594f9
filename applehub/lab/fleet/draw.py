"""Plans drawn from a seed, and plans cut small: the fewest faults that still break a rule."""

from collections.abc import Awaitable, Callable

from applehub.lab.fleet.plan import AnyFault, Plan, make_plan
from applehub.lab.fleet.system_calls import ON_FILES
from applehub.lab.streams import Draws
from applehub.settings import Json

LACKS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")  # of the machine
BREAKS = ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET")  # of a connection
STEPS = (-3600.0, -3.0, 3.0, 3600.0)  # s by which a wall clock steps
# System calls that fail: which, with what, and for how many seconds at the most. Of those that break
# connections some are struck: where all are, nothing is left to observe.
FAILING: tuple[tuple[Json, tuple[str, ...], float], ...] = (
    ({"call": "accept"}, (*LACKS, "ECONNABORTED", "EPROTO"), 0.3),
    ({"call": "socket"}, LACKS, 1.0),
    ({"call": "connect"}, ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"), 1.0),
    ({"call": "getsockopt", "every": 3}, ("ETIMEDOUT", "EHOSTUNREACH", "ECONNREFUSED"), 2.0),
    ({"call": "recv", "side": "clients", "every": 40}, BREAKS, 2.0),
    ({"call": "recv", "side": "servers", "every": 40}, BREAKS, 2.0),
    ({"call": "send", "side": "clients", "every": 40}, BREAKS, 2.0),
    ({"call": "send", "side": "servers", "every": 40}, BREAKS, 2.0),
    ({"call": "send", "short": 5}, ("",), 2.0),
    ({"call": "recv", "short": 7}, ("",), 2.0),
    ({"call": "epoll", "every": 2}, ("EINTR",), 2.0),
    ({"call": "sendto", "every": 2}, ("ENOBUFS", "ENETUNREACH", "EPERM"), 2.0),
    ({"call": "open"}, ("EMFILE", "ENFILE", "EIO"), 3.0),
    ({"call": "read"}, ("EIO",), 3.0),
    ({"call": "write"}, ("ENOSPC", "EIO"), 3.0),
    ({"call": "write", "short": 9}, ("",), 3.0),
    ({"call": "fsync"}, ("ENOSPC", "EIO"), 3.0),
    ({"call": "fsync_folder"}, ("EIO",), 3.0),
    ({"call": "rename"}, ("ENOSPC", "EIO"), 3.0),
)


# Of those, the ones that a new connection makes, and the edges whose reset has new ones made.
DIALS = {"accept": "clients>{}", **dict.fromkeys(("socket", "connect", "getsockopt"), "{}>cache-*")}
MEANWHILE = 0.03  # s after such a fault's begin


def _failing(draws: Draws, routers: int) -> Json:
    """A system call of a router that fails for a while."""
    call, errors, most = FAILING[draws.below(len(FAILING))]
    error = errors[draws.below(len(errors))]
    return {
        "kind": "system_call", **call, "error": error, "target": [f"router-{draws.below(routers)}"],
        "for_s": draws.between(0.05, most),
    }  # fmt: skip


# By weight: what a drawn plan strikes with. Each gives the fault's own keys.
KINDS: tuple[tuple[float, Callable[[Draws, int, int], Json]], ...] = (
    (3, lambda d, r, c: {"kind": "kill", "target": [f"router-{d.below(r)}"], "for_s": d.between(0.2, 2)}),
    (2, lambda d, r, c: {"kind": "kill", "target": [f"cache-{d.below(c)}"], "for_s": d.between(0.5, 3)}),
    (1, lambda d, r, c: {"kind": "kill", "target": ["list"], "for_s": d.between(0.5, 4)}),
    (1, lambda d, r, c: {"kind": "kill", "target": ["origin"], "for_s": d.between(0.2, 1)}),
    (2, lambda d, r, c: {"kind": "term", "target": [f"router-{d.below(r)}"], "for_s": d.between(0.2, 1)}),
    (2, lambda d, r, c: {"kind": "stop", "target": [f"router-{d.below(r)}"], "for_s": d.between(0.1, 2)}),
    (2, lambda d, r, c: {"kind": "stop", "target": [f"cache-{d.below(c)}"], "for_s": d.between(0.2, 3)}),
    (
        1,
        lambda d, r, c: {
            "kind": "slow",
            "target": [f"cache-{d.below(c)}"],
            "part": d.between(0.2, 0.7),
            "for_s": d.between(1, 4),
        },
    ),
    (1, lambda d, r, c: {"kind": "hup", "target": ["router-*"]}),
    (
        2,
        lambda d, r, c: {
            "kind": "silent",
            "edges": [f"router-*>cache-{d.below(c)}"],
            "way": ("both", "there", "back")[d.below(3)],
            "for_s": d.between(0.5, 4),
        },
    ),
    (1, lambda d, r, c: {"kind": "silent", "edges": [f"router-{d.below(r)}>*"], "for_s": d.between(0.5, 3)}),
    (1, lambda d, r, c: {"kind": "silent", "edges": ["*>list"], "for_s": d.between(1, 5)}),
    (
        2,
        lambda d, r, c: {
            "kind": "delay",
            "edges": [f"router-*>cache-{d.below(c)}"],
            "ms": d.between(5, 80),
            "jitter_ms": 20,
            "for_s": d.between(1, 4),
        },
    ),
    (2, lambda d, r, c: {"kind": "reset", "edges": [f"router-*>cache-{d.below(c)}"]}),
    (1, lambda d, r, c: {"kind": "reset", "edges": ["router-*>origin"]}),
    (1, lambda d, r, c: {"kind": "hang", "edges": ["router-*>list"]}),
    (1, lambda d, r, c: {"kind": "hang", "edges": [f"router-*>cache-{d.below(c)}"]}),
    (
        1,
        lambda d, r, c: {"kind": "cut", "edges": [f"router-*>cache-{d.below(c)}"], "bytes": 3000, "for_s": 2},
    ),
    (1, lambda d, r, c: {"kind": "pieces", "edges": [f"router-{d.below(r)}>*"], "bytes": 7, "for_s": 2}),
    (
        2,
        lambda d, r, c: {
            "kind": "errors",
            "target": [f"cache-{d.below(c)}"],
            "part": d.between(0.1, 1),
            "for_s": d.between(1, 4),
        },
    ),
    (1, lambda d, r, c: {"kind": "errors", "target": ["origin"], "part": 0.3, "for_s": d.between(0.5, 2)}),
    (
        1,
        lambda d, r, c: {
            "kind": "crawl",
            "target": [f"cache-{d.below(c)}"],
            "part": 0.2,
            "for_s": d.between(1, 4),
        },
    ),
    (2, lambda d, r, c: {"kind": "drain", "target": [f"cache-{d.below(c)}"], "for_s": d.between(1, 4)}),
    (1, lambda d, r, c: {"kind": "gone", "target": [f"cache-{d.below(c)}"], "for_s": d.between(1, 4)}),
    (1, lambda d, r, c: {"kind": "overload", "for_s": d.between(1, 4)}),
    (8, lambda d, r, c: _failing(d, r)),
    (
        2,
        lambda d, r, c: {
            "kind": "clock",
            "target": [f"router-{d.below(r)}"],
            "step_s": STEPS[d.below(len(STEPS))],
            "for_s": d.between(1, 4),
        },
    ),
    (1, lambda d, r, c: {"kind": "offline", "server": f"cache-{d.below(c)}", "for_s": d.between(1, 4)}),
)


# Beside those, where routers speak with each other.
BETWEEN: tuple[Callable[[Draws, int], Json], ...] = (
    lambda d, r: {"kind": "lose", "part": d.between(0.05, 0.5)},
    lambda d, r: {"kind": "double", "part": d.between(0.05, 1)},
    lambda d, r: {"kind": "short", "part": d.between(0.05, 0.5)},
    lambda d, r: {"kind": "swap", "part": d.between(0.05, 0.5)},
    lambda d, r: {"kind": "delay", "ms": d.between(5, 80), "jitter_ms": 40},
    lambda d, r: {"kind": "silent", "edges": [f"router-{d.below(r)}>router-*"]},
    lambda d, r: {"kind": "silent", "edges": [f"router-*>router-{d.below(r)}"]},
    lambda d, r: {"kind": "silent", "edges": ["router-*[02468]>router-*[13579]"]},
)


def _on_replicas(fault: Json, draws: Draws) -> Json:
    """What strikes the stand-in for the list service strikes a replica of the service, or what it is told
    by."""
    if fault["kind"] == "overload":  # the stand-in's own; a replica that stands still looks much alike
        return {**fault, "kind": "stop", "target": ["PRIMARY"]}
    name = ("PRIMARY", f"list-{draws.below(3)}")[draws.below(2)]
    if fault.get("target") == ["list"]:
        return {**fault, "target": [name]}
    if fault.get("edges") == ["*>list"]:
        return {**fault, "edges": [f"*>{name}", f"{name}>*"]}
    return fault


def draw(
    seed: int,
    routers: int,
    caches: int,
    faults: int,
    seconds: float,
    rate: float,
    lists: int = 0,
    peers: bool = False,
    leaves: float = 0.0,
) -> Plan:
    """A plan with so many faults, at moments spread over the time. The same arguments give the same plan."""
    draws, whole = Draws(seed, "plan"), sum(weight for weight, _ in KINDS)
    drawn: list[Json] = []
    for number in range(faults):
        before = drawn[-1] if drawn else {}
        if before.get("call") in DIALS:
            edge = DIALS[before["call"]].format(before["target"][0])
            drawn.append({"kind": "reset", "edges": [edge], "at": before["at"] + MEANWHILE})
            continue
        if peers and number % 2:
            between = BETWEEN[draws.below(len(BETWEEN))](draws, routers)
            at, length = draws.between(1.0, max(1.1, seconds - 4)), draws.between(0.5, 5)
            drawn.append({"edges": ["router-*>router-*"], "at": at, "for_s": length, **between})
            continue
        left = draws.uniform() * whole
        for weight, make in KINDS:
            left -= weight
            if left < 0:
                drawn.append(
                    {**make(draws, routers, caches), "at": draws.between(1.0, max(1.1, seconds - 4))}
                )
                break
    if lists:
        drawn = [_on_replicas(one, draws) for one in drawn]
    drawn.sort(key=lambda one: one["at"])
    return make_plan(
        f"seed {seed}",
        {
            "name": f"seed-{seed}",
            "fleet": {
                "routers": routers,
                "caches": caches,
                "zones": 2,
                "lists": lists,
                "changes": 5.0 if lists else 0.0,
                "peers": peers,
                "keeps": any(one.get("call") in ON_FILES for one in drawn),
            },
            # Long enough for the routers to be held to knowing just those that are there.
            "load": {
                "rate": rate,
                "seconds": seconds,
                "seed": seed,
                "after_s": 12.0 if peers else 2.0,
                "leaves": leaves,
            },
            "faults": [_apart(one, drawn[:number]) for number, one in enumerate(drawn)],
        },
    )


def _lists(fault: Json) -> bool:
    """Whether it strikes the list service's replicas: two at once leave no majority."""
    named = [*fault.get("target", []), *fault.get("edges", [])]
    return any("PRIMARY" in one or "list-" in one for one in named)


def _apart(fault: Json, before: list[Json]) -> Json:
    """Two ends of one process would overlap: the later waits until the earlier is over."""
    at = fault["at"]
    for one in before:
        same = set(one.get("target", [])) & set(fault.get("target", []))
        same |= {"list"} if _lists(one) and _lists(fault) else set()
        if same or {one["kind"], fault["kind"]} == {"overload", "kill"}:
            at = max(at, one["at"] + one.get("for_s", 0.0) + 4.5)
    fault["at"] = at
    return fault


async def shrink(plan: Plan, breaks: Callable[[Plan], Awaitable[bool]], told: Callable[[str], None]) -> Plan:
    """Takes faults away while a rule still breaks (Zeller's delta debugging): halves first, then one by one.

    The result breaks a rule; without any one of its faults it did not when it was last tried."""
    kept: list[AnyFault] = list(plan.faults)
    parts = 2
    while kept:
        size = max(1, -(-len(kept) // parts))
        for at in range(0, len(kept), size):
            fewer = kept[:at] + kept[at + size :]
            found = await breaks(plan.model_copy(update={"faults": fewer}))
            told(f"{len(fewer)} of {len(plan.faults)} faults: {'still breaks' if found else 'holds'}")
            if found:
                kept, parts = fewer, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(kept), parts * 2)
    return plan.model_copy(update={"faults": kept})
