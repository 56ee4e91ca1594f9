"""Exploration of a model: exhaustive up to a depth, or by random walks."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from applehub.registry.model.grains import CoarseModel
from applehub.registry.model.invariants import InvariantError
from applehub.registry.model.state import Bounds, State
from applehub.registry.model.steps import Model

NO_LIMIT = 1 << 62

CALM = Bounds(proposals=2, restarts=0)  # no crashes, so that greater depths are feasible
REFUSING = Bounds(restarts=1, refusals=1)  # with one disk that refuses writes

# The initial states of explorations, as steps of the coarse model from the empty group.
ELECTED = ("pre-vote 0 1", "vote 0 1", "replicate 0 1")
STARTS: dict[str, tuple[str, ...]] = {
    "nothing": (),
    "two candidates of one term": ("pre-vote 0 1", "pre-vote 1 2"),
    "a leader with an entry that is committed": (*ELECTED, "propose 0", "replicate 0 1"),
    "an old leader elected again, each of two with an entry that no other has": (
        "pre-vote 0 1",
        "vote 0 1",
        "pre-vote 2 1",
        "vote 2 1",
        "replicate 0 1",
        "pre-vote 0 1",
        "vote 0 1",
    ),
    "an answer that is still on its way": (*ELECTED, "replicate 0 2", "delay an answer to 0, 1"),
    "a snapshot that is still on its way": (
        *ELECTED,
        "propose 0",
        "replicate 0 1",
        "compact 0",
        "delay an answer to 0, 2",
        "late 2 to 0",
        "delay from 0, 2",
    ),
    "a voter whose disk has refused a vote": ("pre-vote 0 1", "pre-vote 1 2", "refuse 2", "vote 0 2"),
    "a follower whose disk has refused an entry": (
        *ELECTED,
        "propose 0",
        "refuse 1",
        "replicate 0 1",
        "accept 1",
    ),
    "a leader whose disk has refused an entry": (*ELECTED, "refuse 0", "propose 0"),
}


@dataclass(slots=True)
class Findings:
    """The result of an exploration."""

    states: int
    depth: int  # up to which all states were explored
    broken: str = ""  # the violated invariant, if any
    trace: tuple[str, ...] = ()  # the steps to the violation


def begin(model: Model, steps: tuple[str, ...]) -> State:
    """Returns the state that these steps reach from the empty group. Raises InvariantError."""
    state = model.first()
    coarse = CoarseModel(model.replica_class, Bounds(refusals=1), model.holds_back)
    for name in steps:
        dict(coarse.steps(state))[name](state)
    state.trace = steps
    return state


def explore(
    model: Model,
    first: State,
    depth: int,
    max_states: int = NO_LIMIT,
    on_level: Callable[[int, int], None] | None = None,
) -> Findings:
    """Explores all states up to a depth, breadth-first, and stops at the first violated invariant.

    on_level: called after each depth with the depth and the number of states so far."""
    seen = {hash(first.key())}
    layer = [first]
    for level in range(depth):
        following: list[State] = []
        for state in layer:
            try:
                following += _successors(model, state, seen)
            except _BrokenError as problem:
                return Findings(len(seen), level, problem.why, problem.trace)
            if len(seen) > max_states:
                return Findings(len(seen), level)
        layer = following
        if on_level is not None:
            on_level(level + 1, len(seen))
    return Findings(len(seen), depth)


class _BrokenError(Exception):
    """A step violated an invariant."""

    def __init__(self, why: str, trace: tuple[str, ...]) -> None:
        super().__init__(why)
        self.why = why
        self.trace = trace


def _successors(model: Model, state: State, seen: set[int]) -> list[State]:
    """Returns the new successors of a state and adds them to `seen`. Raises _BrokenError."""
    successors = []
    for name, step in model.steps(state):
        after = state.clone()
        after.trace = (*state.trace, name)
        try:
            step(after)
        except InvariantError as problem:
            raise _BrokenError(str(problem), after.trace) from problem
        if len(after.messages) > model.bounds.messages:
            continue
        key = hash(after.key())
        if key not in seen:
            seen.add(key)
            successors.append(after)
    return successors


def walk(model: Model, seed: int, length: int) -> Findings:
    """Follows one random path, which reaches depths that exhaustive exploration can't."""
    draw = random.Random(seed)
    state = model.first()
    for count in range(length):
        steps = list(model.steps(state))
        if not steps:
            return Findings(count, 0)
        name, step = draw.choice(steps)
        state.trace = (*state.trace, name)
        try:
            step(state)
        except InvariantError as problem:
            return Findings(count, 0, str(problem), state.trace)
        if len(state.messages) > model.bounds.messages:
            state.messages = state.messages[1:]
    return Findings(length, 0)


def walks(model: Model, count: int, length: int) -> Findings:
    """Runs random walks with the seeds from 0 on and stops at the first violated invariant."""
    for seed in range(count):
        found = walk(model, seed, length)
        if found.broken:
            return found
    return Findings(count * length, 0)
