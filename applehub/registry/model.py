"""Checks the agreement as a model: three replicas under lost, late and doubled messages, crashes and
restarts, in every order to a depth, each state once.

Two grains. `Fine` steps: one message, one sync, one time-out, one crash at a time. `Coarse` steps: an
election or a round of replication between two replicas at once, with messages that come late; so it reaches
what takes many terms.

    python -m applehub.registry.model --coarse 7 --fine 10"""

import copy
import random
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import click

from applehub.registry import raft
from applehub.registry.raft import Action, Apply, Message, Replica, Restore, Role, Save, Saved, Send

GROUP = (0, 1, 2)
TIMING = raft.Timing(heartbeat=0, election=10, lease=8, batch=1)
FAR = 2 * TIMING.election + 1  # past that, how long ago makes no difference
Letter = tuple[int, int, Message]  # sender, receiver, message


class BrokenError(AssertionError):
    """A property that must hold does not."""


@dataclass(slots=True)
class Bounds:
    """What keeps the model finite."""

    terms: int = 4
    proposals: int = 2
    letters: int = 3  # on their way at once
    late: int = 1  # coarse: kept back at once
    restarts: int = 2
    refusals: int = 0  # times that a disk begins to refuse writes


@dataclass(slots=True)
class State:
    """All replicas, disks and messages, and what an observer remembers."""

    replicas: list[Replica]
    disks: list[Saved]
    held: list[tuple[Action, ...]]  # what waits for a sync, by replica
    done: list[int] = field(default_factory=lambda: [0, 0, 0])  # what each host has applied
    letters: tuple[Letter, ...] = ()
    now: int = 100
    proposals: int = 0
    restarts: int = 0
    refusals: int = 0
    refusing: dict[int, bool] = field(default_factory=dict)  # disks, and whether a refused write is there
    leaders: dict[int, int] = field(default_factory=dict)  # by term
    committed: tuple[raft.Entry, ...] = ()
    terms: tuple[int, ...] = ()  # of the leader that first committed each place
    trace: tuple[str, ...] = ()

    def clone(self) -> "State":
        one = copy.copy(self)
        one.replicas = [_clone(replica) for replica in self.replicas]
        one.disks = [replace(disk) for disk in self.disks]
        one.held, one.done = list(self.held), list(self.done)
        one.leaders = dict(self.leaders)
        one.refusing = dict(self.refusing)
        return one

    def key(self) -> object:
        """Equal for states that behave alike: times count from now, and only as far as they matter."""
        replicas = tuple(_key(replica, self.now) for replica in self.replicas)
        disks = tuple((one.term, one.voted, one.snapshot, one.log) for one in self.disks)
        letters = tuple(sorted(map(repr, (_aged(one, self.now) for one in self.letters))))
        return (
            replicas,
            disks,
            tuple(map(repr, self.held)),
            tuple(self.done),
            letters,
            self.proposals,
            self.restarts,
            self.refusals,
            tuple(sorted(self.refusing.items())),
            tuple(sorted(self.leaders.items())),
            self.committed,
            self.terms,
        )


def _clone(replica: Replica) -> Replica:
    one = copy.copy(replica)
    one.peers = {name: copy.copy(peer) for name, peer in replica.peers.items()}
    return one


def _ago(then: int, now: int) -> int:
    return max(-FAR, min(FAR, then - now))


def _aged(letter: Letter, now: int) -> Letter:
    sender, to, message = letter
    if isinstance(message, raft.Append | raft.Appended | raft.Install):
        return sender, to, message._replace(sent=_ago(message.sent, now))
    return letter


def _key(one: Replica, now: int) -> object:
    peers = tuple(
        (name, peer.next, peer.match, _ago(peer.heard, now), _ago(peer.asked, now))
        for name, peer in one.peers.items()
    )
    return (
        one.role, one.term, one.voted, one.snapshot, one.log, one.commit, one.applied, one.leader, one.trial,
        one.votes, _ago(one.heard, now), _ago(one.due, now), _ago(one.led, now), peers,
        one.storage_failed,
    )  # fmt: skip


Step = tuple[str, Callable[[State], None]]


class Model:
    """How states follow one another, and what must hold in each."""

    def __init__(self, kind: type[Replica], bounds: Bounds, holds_back: bool = True) -> None:
        """holds_back: whether the host holds what follows a Save until it is on disk, as it must."""
        self.kind, self.bounds, self.holds_back = kind, bounds, holds_back

    def first(self) -> State:
        disks = [Saved() for _ in GROUP]
        replicas = [self.kind(name, GROUP, TIMING, 0, replace(disks[name])) for name in GROUP]
        return State(replicas, disks, [() for _ in GROUP])

    # What a replica's actions do

    def event(self, state: State, name: int, event: raft.Event) -> None:
        """Has a replica handle an event; what it wants done waits for its sync."""
        actions = tuple(state.replicas[name].handle(state.now, event))
        self.look(state, name)
        state.held[name] = (*state.held[name], *actions)
        if not self.holds_back:
            early = [one for one in state.held[name] if not isinstance(one, Save)]
            state.held[name] = tuple(one for one in state.held[name] if isinstance(one, Save))
            self.carry_out(state, name, early)
        elif not any(isinstance(one, Save) for one in state.held[name]):
            self.sync(state, name)

    def sync(self, state: State, name: int) -> None:
        """The disk has all that waits, or refuses it."""
        actions, state.held[name] = state.held[name], ()
        if name in state.refusing and any(isinstance(one, Save) for one in actions):
            self.fail(state, name, actions)
        else:
            self.carry_out(state, name, actions)

    def fail(self, state: State, name: int, actions: Sequence[Action]) -> None:
        """The disk refuses what waits: the host sends nothing of it, and applies what the others have."""
        kinds = (Save, Apply, Restore) if state.refusing[name] else (Apply, Restore)
        self.carry_out(state, name, [one for one in actions if isinstance(one, kinds)])
        self.event(state, name, raft.StorageFailed())

    def carry_out(self, state: State, name: int, actions: Sequence[Action]) -> None:
        replica = state.replicas[name]
        for action in actions:
            match action:
                case Save():
                    disk = state.disks[name]
                    disk.term, disk.voted = action.term, action.voted
                    if action.snapshot is not None:
                        disk.snapshot, disk.log = action.snapshot, action.entries
                    else:
                        disk.log = (*disk.log[: action.start - disk.snapshot.place - 1], *action.entries)
                case Send():
                    state.letters = (*state.letters, (name, action.to, action.message))
                case Apply():
                    self.applied(state, action, replica.term)
                    if action.place != state.done[name] + 1:
                        raise BrokenError(f"place {action.place} applied after {state.done[name]}")
                    state.done[name] = action.place
                case Restore():
                    told = action.snapshot
                    if told.place < state.done[name]:
                        raise BrokenError("a snapshot that goes back")
                    state.done[name] = told.place
                    if told.data != _fold(state.committed[: told.place]):
                        raise BrokenError("a snapshot that is not what was committed")

    def applied(self, state: State, action: Apply, term: int) -> None:
        entry = raft.Entry(action.term, action.data)
        if action.place <= len(state.committed):
            if state.committed[action.place - 1] != entry:
                raise BrokenError(f"two replicas applied different commands at place {action.place}")
        elif action.place == len(state.committed) + 1:
            state.committed = (*state.committed, entry)
            state.terms = (*state.terms, term)
        else:
            raise BrokenError("a place was left out")

    def look(self, state: State, name: int) -> None:
        """What must hold whenever a replica has handled an event."""
        one = state.replicas[name]
        if one.role is Role.LEADER:
            if state.leaders.setdefault(one.term, name) != name:
                raise BrokenError(f"two leaders in term {one.term}")
            for at, (entry, term) in enumerate(zip(state.committed, state.terms, strict=True)):
                if term > one.term:  # a leader of before that has not heard yet
                    continue
                place = at - one.snapshot.place
                if place >= 0 and (place >= len(one.log) or one.log[place] != entry):
                    raise BrokenError(f"the leader of term {one.term} lacks what was committed at {at + 1}")
        self.leases(state)

    def leases(self, state: State) -> None:
        primaries = [one.me for one in state.replicas if one.is_primary(state.now)]
        if len(primaries) > 1:
            raise BrokenError(f"replicas {primaries} are primary at the same time")

    # Steps that both grains have

    def restart(self, state: State, name: int) -> None:
        """Loses what was not synced, and all that it remembered."""
        state.held[name] = ()
        state.restarts += 1
        state.done[name] = state.disks[name].snapshot.place
        state.replicas[name] = self.kind(name, GROUP, TIMING, state.now, replace(state.disks[name]))

    def compact(self, state: State, name: int) -> None:
        place = state.done[name]
        self.event(state, name, raft.Compact(place, _fold(state.committed[:place])))

    def propose(self, state: State, name: int) -> None:
        state.proposals += 1
        self.event(state, name, raft.Propose((b"p%d" % state.proposals,)))

    def wait(self, state: State) -> None:
        """Time passes, and nobody looks at the clock."""
        state.now += FAR
        self.leases(state)

    def expire(self, state: State, name: int) -> None:
        """A replica's time is up."""
        state.now = max(state.now, state.replicas[name].due)
        self.event(state, name, raft.Tick(0.0))

    def beat(self, state: State, name: int) -> None:
        """A leader's heartbeat is due."""
        self.event(state, name, raft.Tick(0.0))

    def deliver(self, state: State, letter: Letter, doubled: bool = False) -> None:
        if not doubled:
            at = state.letters.index(letter)
            state.letters = state.letters[:at] + state.letters[at + 1 :]
        self.event(state, letter[1], raft.Received(letter[0], letter[2]))

    def refuse(self, state: State, name: int, written: bool) -> None:
        """From now on the disk refuses each write; with `written`, the write is there all the same."""
        state.refusals += 1
        state.refusing[name] = written

    def accept(self, state: State, name: int) -> None:
        """The disk takes writes again."""
        del state.refusing[name]

    def retry(self, state: State, name: int) -> None:
        """The host tries its disk again."""
        self.event(state, name, raft.StorageRetried())

    def disk_steps(self, state: State, name: int) -> Iterator[Step]:
        if name in state.refusing:
            yield f"accept {name}", lambda s, n=name: self.accept(s, n)  # type: ignore[misc]
        elif state.refusals < self.bounds.refusals:
            yield f"refuse {name}", lambda s, n=name: self.refuse(s, n, False)  # type: ignore[misc]
            yield f"refuse {name}, written", lambda s, n=name: self.refuse(s, n, True)  # type: ignore[misc]
        if state.replicas[name].storage_failed:
            yield f"retry {name}", lambda s, n=name: self.retry(s, n)  # type: ignore[misc]

    def common(self, state: State) -> Iterator[Step]:
        for name in GROUP:
            one = state.replicas[name]
            yield from self.disk_steps(state, name)
            if state.restarts < self.bounds.restarts:
                yield f"restart {name}", lambda s, n=name: self.restart(s, n)  # type: ignore[misc]
            if one.role is Role.LEADER and state.proposals < self.bounds.proposals:
                yield f"propose {name}", lambda s, n=name: self.propose(s, n)  # type: ignore[misc]
            if state.done[name] > one.snapshot.place + 1:
                yield f"compact {name}", lambda s, n=name: self.compact(s, n)  # type: ignore[misc]

    def steps(self, state: State) -> Iterator[Step]:
        """All that may happen next."""
        raise NotImplementedError


def _fold(entries: tuple[raft.Entry, ...]) -> bytes:
    return b"|".join(b"%d %s" % entry for entry in entries)


class Fine(Model):
    """Each message, sync, time-out and crash by itself."""

    def steps(self, state: State) -> Iterator[Step]:
        yield from self.common(state)
        for letter in dict.fromkeys(state.letters):
            sender, to, message = letter
            what = f"{type(message).__name__} {sender} to {to}"
            yield f"deliver {what}", lambda s, x=letter: self.deliver(s, x)  # type: ignore[misc]
            yield f"double {what}", lambda s, x=letter: self.deliver(s, x, True)  # type: ignore[misc]
            yield f"lose {what}", lambda s, x=letter: _lose(s, x)  # type: ignore[misc]
        for name in GROUP:
            one = state.replicas[name]
            if state.held[name]:
                yield f"sync {name}", lambda s, n=name: self.sync(s, n)  # type: ignore[misc]
            if one.role is Role.LEADER:
                yield f"beat {name}", lambda s, n=name: self.beat(s, n)  # type: ignore[misc]
            elif one.term < self.bounds.terms:
                yield f"expire {name}", lambda s, n=name: self.expire(s, n)  # type: ignore[misc]


def _between(state: State, sender: int, to: int) -> tuple[Letter, ...]:
    return tuple(letter for letter in state.letters if letter[:2] == (sender, to))


def _lose(state: State, letter: Letter) -> None:
    at = state.letters.index(letter)
    state.letters = state.letters[:at] + state.letters[at + 1 :]


class Coarse(Model):
    """Elections and rounds of replication between two replicas; what is sent to the third is lost."""

    def steps(self, state: State) -> Iterator[Step]:
        for what, step in self.common(state):  # what these send is lost, and sent again with a round
            yield what, lambda s, x=step: self._apart(s, x)  # type: ignore[misc]
        yield "wait", self.wait
        for name in GROUP:
            one = state.replicas[name]
            for other in GROUP:
                if other == name:
                    continue
                if one.role is Role.LEADER:
                    yield f"round {name} {other}", lambda s, n=name, o=other: self._round(s, n, o)  # type: ignore[misc]
                    for answer in (False, True) if len(state.letters) < self.bounds.late else ():
                        yield (
                            f"keep back {'an answer to' if answer else 'from'} {name}, {other}",
                            lambda s, n=name, o=other, a=answer: self._keep(s, n, o, a),  # type: ignore[misc]
                        )
                elif one.term < self.bounds.terms:
                    yield f"try {name} {other}", lambda s, n=name, o=other: self._try(s, n, o)  # type: ignore[misc]
                if one.role is Role.CANDIDATE and not one.trial:
                    yield f"stand {name} {other}", lambda s, n=name, o=other: self._stand(s, n, o)  # type: ignore[misc]
        for letter in state.letters:
            yield f"late {letter[0]} to {letter[1]}", lambda s, x=letter: self._late(s, x)  # type: ignore[misc]

    def _settle(self, state: State) -> None:
        """What waits for a disk is synced at once: to lose it is no other than to lose the messages behind
        it. Where nothing waits for the disk, what is not synced stays so until the replica's next own
        step."""
        for name in GROUP:
            if self.holds_back:
                self.sync(state, name)

    def _exchange(self, state: State, name: int, other: int, turns: int = 1) -> None:
        """What the one has sent reaches the other, and the answer comes back; no more of it."""
        for sender, to in ((name, other), (other, name)) * turns:
            self._settle(state)
            mine = _between(state, sender, to)
            state.letters = ()
            for letter in mine:
                self.event(state, to, raft.Received(sender, letter[2]))
        self._settle(state)
        state.letters = ()

    def _apart(self, state: State, what: Callable[[State], None]) -> None:
        """Does something to which the letters that are kept back do not belong."""
        kept: tuple[Letter, ...] = state.letters
        state.letters = ()
        what(state)
        self._settle(state)
        state.letters = kept

    def _try(self, state: State, name: int, other: int) -> None:
        """It stands for election if the other would vote for it; asks for no vote yet."""

        def ask(state: State) -> None:
            one = state.replicas[name]
            for _ in range(2):  # the first may only tell it of a later term
                self.expire(state, name)
                self._exchange(state, name, other)
                if one.role is Role.CANDIDATE and not one.trial:
                    break

        self._apart(state, ask)

    def _stand(self, state: State, name: int, other: int) -> None:
        """It gets the other's vote, or not; what it sends as leader is lost."""

        def ask(state: State) -> None:
            one = state.replicas[name]
            words = raft.Ask(one.term, False, one.last_index, one.last_term)
            state.letters = ((name, other, words),)
            self._exchange(state, name, other)

        self._apart(state, ask)

    def _round(self, state: State, name: int, other: int) -> None:
        def ask(state: State) -> None:
            self.beat(state, name)
            self._exchange(state, name, other, 2)  # a no brings what was lost before

        self._apart(state, ask)

    def _keep(self, state: State, name: int, other: int, answer: bool) -> None:
        """What the leader sends the other comes later, or comes now and its answer later."""
        kept: tuple[Letter, ...] = state.letters
        state.letters = ()
        self.beat(state, name)
        self._settle(state)
        mine = _between(state, name, other)[:1]
        state.letters = ()
        if answer and mine:
            self.event(state, other, raft.Received(name, mine[0][2]))
            self._settle(state)
            mine = _between(state, other, name)[:1]
        state.letters = (*kept, *mine)

    def _late(self, state: State, letter: Letter) -> None:
        """It comes at last; the answer is lost."""
        state.letters = tuple(x for x in state.letters if x != letter)
        kept: tuple[Letter, ...] = state.letters
        self.event(state, letter[1], raft.Received(letter[0], letter[2]))
        self._settle(state)
        state.letters = kept


@dataclass(slots=True)
class Found:
    """What an exploration has seen."""

    states: int
    depth: int  # to which every state was seen
    broken: str = ""
    trace: tuple[str, ...] = ()


CALM = Bounds(proposals=2, restarts=0)  # without crashes it sees further
REFUSING = Bounds(restarts=1, refusals=1)  # with a disk that refuses writes

# Where explorations begin, beside the empty group: by steps of the coarse grain.
ELECTED = ("try 0 1", "stand 0 1", "round 0 1")
STARTS: dict[str, tuple[str, ...]] = {
    "nothing": (),
    "two candidates of one term": ("try 0 1", "try 1 2"),
    "a leader with an entry that is committed": (*ELECTED, "propose 0", "round 0 1"),
    "an old leader elected again, each of two with an entry that no other has": (
        "try 0 1",
        "stand 0 1",
        "try 2 1",
        "stand 2 1",
        "round 0 1",
        "try 0 1",
        "stand 0 1",
    ),
    "an answer that is still on its way": (*ELECTED, "round 0 2", "keep back an answer to 0, 1"),
    "a snapshot that is still on its way": (
        *ELECTED,
        "propose 0",
        "round 0 1",
        "compact 0",
        "keep back an answer to 0, 2",
        "late 2 to 0",
        "keep back from 0, 2",
    ),
    "a voter whose disk has refused a vote": ("try 0 1", "try 1 2", "refuse 2", "stand 0 2"),
    "a follower whose disk has refused an entry": (
        *ELECTED,
        "propose 0",
        "refuse 1",
        "round 0 1",
        "accept 1",
    ),
    "a leader whose disk has refused an entry": (*ELECTED, "refuse 0", "propose 0"),
}


def begin(model: Model, steps: tuple[str, ...]) -> State:
    """The state to which these steps lead from the empty group."""
    state, coarse = model.first(), Coarse(model.kind, Bounds(refusals=1), model.holds_back)
    for name in steps:
        dict(coarse.steps(state))[name](state)
    state.trace = steps
    return state


def explore(
    model: Model,
    first: State,
    depth: int,
    most: int = 1 << 62,
    told: Callable[[int, int], None] | None = None,
) -> Found:
    """Every state to a depth, the nearest first; stops at the first that is broken, with the steps that led
    there."""
    seen, layer = {hash(first.key())}, [first]
    for level in range(depth):
        following: list[State] = []
        for state in layer:
            for name, step in model.steps(state):
                after = state.clone()
                after.trace = (*state.trace, name)
                try:
                    step(after)
                except BrokenError as problem:
                    return Found(len(seen), level, str(problem), after.trace)
                if len(after.letters) > model.bounds.letters:
                    continue
                key = hash(after.key())
                if key not in seen:
                    seen.add(key)
                    following.append(after)
            if len(seen) > most:
                return Found(len(seen), level)
        layer = following
        if told is not None:
            told(level + 1, len(seen))
    return Found(len(seen), depth)


def walk(model: Model, seed: int, length: int) -> Found:
    """One path of steps drawn from a seed: reaches what lies past any depth that can be seen whole."""
    draw, state = random.Random(seed), model.first()
    for count in range(length):
        steps = list(model.steps(state))
        if not steps:
            return Found(count, 0)
        name, step = draw.choice(steps)
        state.trace = (*state.trace, name)
        try:
            step(state)
        except BrokenError as problem:
            return Found(count, 0, str(problem), state.trace)
        if len(state.letters) > model.bounds.letters:
            state.letters = state.letters[1:]
    return Found(length, 0)


def walks(model: Model, count: int, length: int) -> Found:
    """So many walks, by their seeds; stops at the first that breaks a property."""
    for seed in range(count):
        found = walk(model, seed, length)
        if found.broken:
            return found
    return Found(count * length, 0)


# Mutants: each must be found


class ForgetsVote(Replica):
    """Stores its term and not whom it voted for."""

    def _save(self, out: list[Action], *more: object, **named: object) -> None:
        super()._save(out, *more, **named)  # type: ignore[arg-type]
        out[-1] = out[-1]._replace(voted=None)  # type: ignore[call-arg]


class CommitsStale(Replica):
    """Commits what a majority holds whatever its term."""

    def _advance(self, out: list[Action]) -> None:
        held = sorted([self.last_index, *(peer.match for peer in self.peers.values())], reverse=True)
        place = held[self.majority - 1]
        if place > self.commit:
            self.commit = place
            self._apply(out)


class InstallsOver(Replica):
    """Takes up a snapshot although it holds newer entries."""

    def _install(self, message: raft.Install, changed: bool, out: list[Action]) -> None:
        told = message.snapshot
        self.log, self.snapshot = (), told
        self.commit = self.applied = told.place
        self._save(out, told.place + 1, self.log, told)
        out.append(Restore(told))


class LeasesLong(Replica):
    """Counts its lease from when an answer came, not from when it was asked for."""

    def _appended(self, sender: int, told: raft.Appended, out: list[Action]) -> None:
        super()._appended(sender, told._replace(sent=self.now), out)


class VotesUnsaved(Replica):
    """Votes while its disk refuses to keep the vote."""

    def _handle_unsaved(self, event: raft.Event) -> list[Action]:
        if not (isinstance(event, raft.Received) and isinstance(event.message, raft.Ask)):
            return super()._handle_unsaved(event)
        out: list[Action] = []
        self._received(event.sender, event.message, out)
        return [action for action in out if not isinstance(action, Save)]


class AcknowledgesUnsaved(Replica):
    """Acknowledges entries that its disk refuses to keep."""

    def _handle_unsaved(self, event: raft.Event) -> list[Action]:
        if not (isinstance(event, raft.Received) and isinstance(event.message, raft.Append)):
            return super()._handle_unsaved(event)
        out: list[Action] = []
        self._received(event.sender, event.message, out)
        return [action for action in out if not isinstance(action, Save)]


MUTANTS: dict[str, tuple[type[Replica], bool]] = {
    "a vote not stored": (ForgetsVote, True),
    "an acknowledgement before the sync": (Replica, False),
    "a stale commit": (CommitsStale, True),
    "a snapshot over newer entries": (InstallsOver, True),
    "a lease that outlives its clock": (LeasesLong, True),
    "a vote that the disk refused": (VotesUnsaved, True),
    "an acknowledgement that the disk refused": (AcknowledgesUnsaved, True),
}


@click.command()
@click.option("--coarse", type=click.IntRange(0, 20), default=6, help="Depth of the coarse exploration.")
@click.option("--fine", type=click.IntRange(0, 40), default=8, help="Depth of the fine one.")
@click.option("--mutant", type=click.Choice(sorted(MUTANTS)), help="A replica with a fault.")
@click.option("--most", type=click.IntRange(1), default=5_000_000, help="States of one exploration.")
def main(coarse: int, fine: int, mutant: str | None, most: int) -> None:
    """Explores; ends with code 1 where a property is broken."""
    kind, holds_back = MUTANTS[mutant] if mutant else (Replica, True)
    for grain, bounds, depth in (
        (Coarse, Bounds(), coarse),
        (Coarse, CALM, coarse + 1),
        (Coarse, REFUSING, coarse),
        (Fine, Bounds(), fine),
        (Fine, REFUSING, fine),
    ):
        for title, steps in STARTS.items():
            began, model = time.monotonic(), grain(kind, bounds, holds_back)
            calm = {id(CALM): ", no crashes", id(REFUSING): ", disks refuse"}.get(id(bounds), "")
            what = f"{grain.__name__.lower()}{calm}, from {title}"

            def told(level: int, states: int, what: str = what, began: float = began) -> None:
                took = time.monotonic() - began
                click.echo(f"{what}: depth {level}, {states} states, {took:.0f} s", err=True)

            try:
                found = explore(model, begin(model, steps), depth, most, told)
            except BrokenError as problem:
                found = Found(0, 0, str(problem), steps)
            click.echo(f"{what}: {found.states} states to depth {found.depth}")
            if found.broken:
                click.echo("\n  ".join([f"broken: {found.broken}, by", *found.trace]))
                sys.exit(1)


if __name__ == "__main__":
    main()
