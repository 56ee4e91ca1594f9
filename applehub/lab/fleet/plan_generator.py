"""Generates random plans from a seed, and reduces a plan to the faults that still break an invariant."""

from collections.abc import Awaitable, Callable

from applehub.lab.fleet.plan import AnyFault, Plan, make_plan
from applehub.lab.fleet.system_calls import FILE_CALLS
from applehub.lab.streams import RandomStream
from applehub.settings import Json

RESOURCE_ERRORS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")  # resource exhaustion of the machine
CONNECTION_ERRORS = ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET")  # failures of a connection
CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)  # offsets of the wall clock, s
# System call faults: the call, its possible errors, and the maximum duration in seconds. Faults that break
# connections affect only every n-th call, because otherwise no connection would remain to observe.
SYSTEM_CALL_CHOICES: tuple[tuple[Json, tuple[str, ...], float], ...] = (
    ({"call": "accept"}, (*RESOURCE_ERRORS, "ECONNABORTED", "EPROTO"), 0.3),
    ({"call": "socket"}, RESOURCE_ERRORS, 1.0),
    ({"call": "connect"}, ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"), 1.0),
    ({"call": "getsockopt", "every": 3}, ("ETIMEDOUT", "EHOSTUNREACH", "ECONNREFUSED"), 2.0),
    ({"call": "recv", "side": "clients", "every": 40}, CONNECTION_ERRORS, 2.0),
    ({"call": "recv", "side": "servers", "every": 40}, CONNECTION_ERRORS, 2.0),
    ({"call": "send", "side": "clients", "every": 40}, CONNECTION_ERRORS, 2.0),
    ({"call": "send", "side": "servers", "every": 40}, CONNECTION_ERRORS, 2.0),
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


# System calls that open connections, and the edges to reset so that new connections are opened.
CONNECTING_CALLS = {
    "accept": "clients>{}",
    **dict.fromkeys(("socket", "connect", "getsockopt"), "{}>cache-*"),
}
RESET_DELAY_S = 0.03  # delay from the start of such a fault to the reset


def _system_call_fault(draws: RandomStream, routers: int) -> Json:
    """Returns a random system call fault of one router."""
    call, errors, max_duration = SYSTEM_CALL_CHOICES[draws.below(len(SYSTEM_CALL_CHOICES))]
    error = errors[draws.below(len(errors))]
    return {
        "kind": "system_call", **call, "error": error, "target": [f"router-{draws.below(routers)}"],
        "for_s": draws.between(0.05, max_duration),
    }  # fmt: skip


# Weight and generator of each kind of fault. A generator gets the random stream and the numbers of routers
# and caches, and returns the keys of the fault.
FAULT_GENERATORS: tuple[tuple[float, Callable[[RandomStream, int, int], Json]], ...] = (
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
    (8, lambda d, r, c: _system_call_fault(d, r)),
    (
        2,
        lambda d, r, c: {
            "kind": "clock",
            "target": [f"router-{d.below(r)}"],
            "step_s": CLOCK_STEPS_S[d.below(len(CLOCK_STEPS_S))],
            "for_s": d.between(1, 4),
        },
    ),
    (1, lambda d, r, c: {"kind": "offline", "server": f"cache-{d.below(c)}", "for_s": d.between(1, 4)}),
)


# Generators of faults between routers, for plans with peers. They get the random stream and the number of
# routers.
PEER_FAULT_GENERATORS: tuple[Callable[[RandomStream, int], Json], ...] = (
    lambda d, r: {"kind": "lose", "part": d.between(0.05, 0.5)},
    lambda d, r: {"kind": "double", "part": d.between(0.05, 1)},
    lambda d, r: {"kind": "short", "part": d.between(0.05, 0.5)},
    lambda d, r: {"kind": "swap", "part": d.between(0.05, 0.5)},
    lambda d, r: {"kind": "delay", "ms": d.between(5, 80), "jitter_ms": 40},
    lambda d, r: {"kind": "silent", "edges": [f"router-{d.below(r)}>router-*"]},
    lambda d, r: {"kind": "silent", "edges": [f"router-*>router-{d.below(r)}"]},
    lambda d, r: {"kind": "silent", "edges": ["router-*[02468]>router-*[13579]"]},
)


def _redirect_to_replicas(fault: Json, draws: RandomStream) -> Json:
    """Redirects a fault of the stand-in for the list service to a replica of the list service."""
    if fault["kind"] == "overload":  # supported by the stand-in only; a stopped replica is similar
        return {**fault, "kind": "stop", "target": ["PRIMARY"]}
    name = ("PRIMARY", f"list-{draws.below(3)}")[draws.below(2)]
    if fault.get("target") == ["list"]:
        return {**fault, "target": [name]}
    if fault.get("edges") == ["*>list"]:
        return {**fault, "edges": [f"*>{name}", f"{name}>*"]}
    return fault


def generate_plan(
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
    """Returns a plan with `faults` random faults at random times; equal arguments give equal plans."""
    draws, total_weight = RandomStream(seed, "plan"), sum(weight for weight, _ in FAULT_GENERATORS)
    generated: list[Json] = []
    for number in range(faults):
        previous = generated[-1] if generated else {}
        if previous.get("call") in CONNECTING_CALLS:
            edge = CONNECTING_CALLS[previous["call"]].format(previous["target"][0])
            generated.append({"kind": "reset", "edges": [edge], "at": previous["at"] + RESET_DELAY_S})
            continue
        if peers and number % 2:
            peer_fault = PEER_FAULT_GENERATORS[draws.below(len(PEER_FAULT_GENERATORS))](draws, routers)
            starts_at, duration = draws.between(1.0, max(1.1, seconds - 4)), draws.between(0.5, 5)
            generated.append(
                {"edges": ["router-*>router-*"], "at": starts_at, "for_s": duration, **peer_fault}
            )
            continue
        remaining = draws.uniform() * total_weight
        for weight, make in FAULT_GENERATORS:
            remaining -= weight
            if remaining < 0:
                generated.append(
                    {**make(draws, routers, caches), "at": draws.between(1.0, max(1.1, seconds - 4))}
                )
                break
    if lists:
        generated = [_redirect_to_replicas(fault, draws) for fault in generated]
    generated.sort(key=lambda fault: fault["at"])
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
                "keeps": any(fault.get("call") in FILE_CALLS for fault in generated),
            },
            # Leaves time for the check that each router knows exactly the live routers.
            "load": {
                "rate": rate,
                "seconds": seconds,
                "seed": seed,
                "after_s": 12.0 if peers else 2.0,
                "leaves": leaves,
            },
            "faults": [
                _delay_past_earlier_faults(fault, generated[:number])
                for number, fault in enumerate(generated)
            ],
        },
    )


def _affects_registry(fault: Json) -> bool:
    """Returns whether a fault affects a replica of the list service.

    Two such faults at once would break the quorum."""
    patterns = [*fault.get("target", []), *fault.get("edges", [])]
    return any("PRIMARY" in pattern or "list-" in pattern for pattern in patterns)


def _delay_past_earlier_faults(fault: Json, earlier_faults: list[Json]) -> Json:
    """Delays a fault until earlier faults of the same process or of the list service are over."""
    starts_at = fault["at"]
    for earlier in earlier_faults:
        shared_targets = set(earlier.get("target", [])) & set(fault.get("target", []))
        shared_targets |= {"list"} if _affects_registry(earlier) and _affects_registry(fault) else set()
        if shared_targets or {earlier["kind"], fault["kind"]} == {"overload", "kill"}:
            starts_at = max(starts_at, earlier["at"] + earlier.get("for_s", 0.0) + 4.5)
    fault["at"] = starts_at
    return fault


async def shrink(
    plan: Plan, breaks: Callable[[Plan], Awaitable[bool]], report: Callable[[str], None]
) -> Plan:
    """Removes faults while `breaks` holds (Zeller's delta debugging): halves first, then one by one.

    The returned plan still breaks an invariant; runs without any one of its faults did not."""
    remaining: list[AnyFault] = list(plan.faults)
    chunk_count = 2
    while remaining:
        chunk_size = max(1, -(-len(remaining) // chunk_count))
        for start in range(0, len(remaining), chunk_size):
            candidate = remaining[:start] + remaining[start + chunk_size :]
            fails = await breaks(plan.model_copy(update={"faults": candidate}))
            report(f"{len(candidate)} of {len(plan.faults)} faults: {'still breaks' if fails else 'holds'}")
            if fails:
                remaining, chunk_count = candidate, max(2, chunk_count - 1)
                break
        else:
            if chunk_size == 1:
                break
            chunk_count = min(len(remaining), chunk_count * 2)
    return plan.model_copy(update={"faults": remaining})
