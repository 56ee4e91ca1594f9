"""Exploration of a model: exhaustive up to a depth, or by random walks."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from applehub.registry.model.granularity import CoarseModel
from applehub.registry.model.invariants import InvariantError
from applehub.registry.model.state import Bounds, State
from applehub.registry.model.steps import Model

NO_LIMIT = 1 << 62  # a number of states that no exploration reaches

NO_RESTARTS = Bounds(proposals=2, restarts=0)  # no crashes, so that greater depths are feasible
DISK_REFUSALS = Bounds(restarts=1, refusals=1)  # one crash, and one disk that refuses writes

ELECTED = ("pre-vote 0 1", "vote 0 1", "replicate 0 1")  # steps that make replica 0 the leader
# The initial states of explorations, as steps of the coarse model from a new group.
INITIAL_STATES: dict[str, tuple[str, ...]] = {
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
class ExplorationResult:
    """The result of an exploration."""

    states: int  # number of explored states or, for random walks, of steps
    depth: int  # depth up to which all states were explored
    violation: str = ""  # the violated invariant, if any
    trace: tuple[str, ...] = ()  # the steps to the violation


def reach_state(model: Model, steps: tuple[str, ...]) -> State:
    """Returns the state that steps of the coarse model reach from a new group. Raises InvariantError."""
    state = model.empty_group()
    coarse = CoarseModel(model.replica_class, Bounds(refusals=1), model.delays_until_sync)
    for name in steps:
        dict(coarse.steps(state))[name](state)
    state.trace = steps
    return state


def explore(
    model: Model,
    initial: State,
    depth: int,
    max_states: int = NO_LIMIT,
    on_level: Callable[[int, int], None] | None = None,
) -> ExplorationResult:
    """Explores all states up to a depth, breadth-first, and stops at the first violated invariant.

    on_level: called after each depth with the depth and the total number of states."""
    seen = {hash(initial.key())}
    frontier = [initial]
    for level in range(depth):
        next_frontier: list[State] = []
        for state in frontier:
            try:
                next_frontier += _successors(model, state, seen)
            except _ViolationError as error:
                return ExplorationResult(len(seen), level, error.reason, error.trace)
            if len(seen) > max_states:
                return ExplorationResult(len(seen), level)
        frontier = next_frontier
        if on_level is not None:
            on_level(level + 1, len(seen))
    return ExplorationResult(len(seen), depth)


class _ViolationError(Exception):
    """Raised if a step violates an invariant."""

    def __init__(self, reason: str, trace: tuple[str, ...]) -> None:
        super().__init__(reason)
        self.reason = reason
        self.trace = trace


def _successors(model: Model, state: State, seen: set[int]) -> list[State]:
    """Returns the new successors of a state and adds them to `seen`. Raises _ViolationError."""
    successors = []
    for name, step in model.steps(state):
        successor = state.clone()
        successor.trace = (*state.trace, name)
        try:
            step(successor)
        except InvariantError as error:
            raise _ViolationError(str(error), successor.trace) from error
        if len(successor.messages) > model.bounds.messages:
            continue
        key = hash(successor.key())
        if key not in seen:
            seen.add(key)
            successors.append(successor)
    return successors


def random_walk(model: Model, seed: int, length: int) -> ExplorationResult:
    """Takes up to `length` random steps, more than exhaustive exploration can."""
    generator = random.Random(seed)
    state = model.empty_group()
    for steps_taken in range(length):
        steps = list(model.steps(state))
        if not steps:
            return ExplorationResult(steps_taken, 0)
        name, step = generator.choice(steps)
        state.trace = (*state.trace, name)
        try:
            step(state)
        except InvariantError as error:
            return ExplorationResult(steps_taken, 0, str(error), state.trace)
        if len(state.messages) > model.bounds.messages:
            state.messages = state.messages[1:]
    return ExplorationResult(length, 0)


def random_walks(model: Model, count: int, length: int) -> ExplorationResult:
    """Runs `count` random walks with seeds from 0, and stops at the first violated invariant."""
    for seed in range(count):
        result = random_walk(model, seed, length)
        if result.violation:
            return result
    return ExplorationResult(count * length, 0)
