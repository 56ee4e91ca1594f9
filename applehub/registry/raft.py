"""Agreement of the replicas on one log: Raft (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014; leases after Ongaro's thesis, 6.4.1), as a pure state machine.

No I/O, no clock, no source of random numbers: time comes with each event (ns of a monotonic clock that may
not be compared with another machine's), and so do random numbers. What comes out is a list of actions in
order. The host must hold back everything that follows a Save until that Save is on disk; several may be
synced at once. So a leader's own log is on disk before any other replica has an entry of it, and it may count
itself among those that hold one.

A disk may refuse a Save. Then the host drops the messages that follow it (the network may lose messages at
any time), and the replica leads, votes and acknowledges no more. It goes on taking up what a leader sends, in
memory alone, so that it can serve what a majority of the others has on disk, until a Save of its whole state
succeeds.

A replica is primary while it is leader and holds a lease: a majority has heard from it lately enough that
none of them votes for another yet. Past its lease it neither serves as primary nor acknowledges."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

MILLI = 1_000_000


class Role(StrEnum):
    """What a replica is in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Entry(NamedTuple):
    """A place of the log: the term in which it was proposed, and the command."""

    term: int
    data: bytes


class Snapshot(NamedTuple):
    """All that the log up to a place led to."""

    place: int
    term: int
    data: bytes


NOTHING = Snapshot(0, 0, b"")


@dataclass(slots=True, frozen=True)
class Timing:
    """ns. A follower that hears nothing for `election` to twice that long stands for election; it votes for
    none within `election` of hearing from a leader. The lease is shorter by what clocks may drift apart."""

    heartbeat: int = 50 * MILLI
    election: int = 500 * MILLI
    lease: int = 400 * MILLI
    batch: int = 256  # entries of one message


# Messages


class Ask(NamedTuple):
    """A candidate asks for a vote; with `trial`, whether it would get one (thesis, 9.6: so one that was cut
    off does not come back with a term that unseats a leader whom all others hear)."""

    term: int
    trial: bool
    last_index: int
    last_term: int


class Vote(NamedTuple):
    """The answer to Ask."""

    term: int
    trial: bool
    granted: bool


class Append(NamedTuple):
    """A leader hands out entries that follow a place, and tells what is committed. sent: its own clock,
    echoed."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent: int


class Appended(NamedTuple):
    """The answer to Append or Install: up to where the logs agree; not ok: try from there."""

    term: int
    ok: bool
    place: int
    sent: int


class Install(NamedTuple):
    """A leader hands out its snapshot to one that is too far behind."""

    term: int
    snapshot: Snapshot
    sent: int


Message = Ask | Vote | Append | Appended | Install


# Events


class Tick(NamedTuple):
    """Time has passed. chance: from 0 to 1, drawn anew for each."""

    chance: float


class Received(NamedTuple):
    """A message has come."""

    sender: int
    message: Message


class Propose(NamedTuple):
    """Commands that are to be agreed on, in this order."""

    data: tuple[bytes, ...]


class Compact(NamedTuple):
    """The state machine has made a snapshot of all that it has applied up to a place: the log up to there may
    go."""

    place: int
    data: bytes


class StorageFailed(NamedTuple):
    """The disk has refused a Save: it may be there whole, or not at all, and nothing that followed it in the
    actions was sent."""


class StorageRetried(NamedTuple):
    """The disk is tried again, with the replica's whole state."""


Event = Tick | Received | Propose | Compact | StorageFailed | StorageRetried


# Actions


class Save(NamedTuple):
    """To disk, all of it at once: term and vote; the log from a place on becomes these entries; a new
    snapshot, if any, takes the place of the log before it."""

    term: int
    voted: int | None
    start: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class Send(NamedTuple):
    """A message for another replica."""

    to: int
    message: Message


class Apply(NamedTuple):
    """A committed entry, in order; each once in the life of a process, from the snapshot on."""

    place: int
    term: int
    data: bytes


class Restore(NamedTuple):
    """The state machine takes up a snapshot."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """Where the first command of a proposal stands in the log: each is acknowledged when its place is applied
    with this term. Place 0: this replica can't take any."""

    place: int
    term: int


Action = Save | Send | Apply | Restore | Proposed


@dataclass(slots=True)
class Saved:
    """What a replica finds on its disk."""

    term: int = 0
    voted: int | None = None
    snapshot: Snapshot = NOTHING
    log: tuple[Entry, ...] = ()


@dataclass(slots=True)
class Peer:
    """What a leader knows of another replica."""

    next: int
    match: int = 0
    heard: int = 0  # when the latest message was sent that it has answered in this term
    asked: int = 0  # when it was last sent something


@dataclass(slots=True)
class Replica:
    """One replica of a fixed group."""

    me: int
    group: tuple[int, ...]
    timing: Timing
    now: int
    saved: Saved = field(default_factory=Saved)
    role: Role = Role.FOLLOWER
    term: int = 0
    voted: int | None = None
    snapshot: Snapshot = NOTHING
    log: tuple[Entry, ...] = ()  # from the snapshot's place on
    commit: int = 0
    applied: int = 0
    leader: int | None = None
    heard: int = 0  # when it last heard from the leader of its term, or started
    due: int = 0  # when it stands for election
    votes: frozenset[int] = frozenset()
    trial: bool = False  # as a candidate: it only asks whether it would be elected
    led: int = 0  # when it became leader
    peers: dict[int, Peer] = field(default_factory=dict)
    storage_failed: bool = False  # what is in memory may not be on disk, and the disk takes nothing

    def __post_init__(self) -> None:
        """Guards the leases that others hold: one that restarts has forgotten whom it heard, so it waits
        anew."""
        self.term, self.voted = self.saved.term, self.saved.voted
        self.snapshot, self.log = self.saved.snapshot, self.saved.log
        self.saved = Saved()
        self.commit = self.applied = self.snapshot.place
        self.heard = self.now
        self.due = self.now + 2 * self.timing.election

    # What can be read off

    @property
    def last_index(self) -> int:
        return self.snapshot.place + len(self.log)

    @property
    def last_term(self) -> int:
        return self.log[-1].term if self.log else self.snapshot.term

    @property
    def majority(self) -> int:
        return len(self.group) // 2 + 1

    def term_at(self, index: int) -> int | None:
        """The term of a place; none: it is not held (any more)."""
        if index == self.snapshot.place:
            return self.snapshot.term
        if self.snapshot.place < index <= self.last_index:
            return self.log[index - self.snapshot.place - 1].term
        return None

    def lease_until(self) -> int:
        """Until when no other replica can be primary, ns of the own clock; 0: it holds no lease."""
        if self.role is not Role.LEADER:
            return 0
        sent = sorted((peer.heard for peer in self.peers.values()), reverse=True)
        needed = self.majority - 1  # beside itself
        since = sent[needed - 1] if needed else self.now
        return since + self.timing.lease if since else 0

    def is_primary(self, now: int) -> bool:
        """Whether it may serve as primary: it holds its lease, and has committed an entry of its own term, so
        that it knows all that any primary before it acknowledged."""
        return self.lease_until() > now and self.term_at(self.commit) == self.term

    # Events

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes an event; gives what is to be done, in order."""
        self.now = max(self.now, now)
        out: list[Action] = []
        match event:
            case StorageFailed():
                self.storage_failed = True
                self._follow(self.term, None)
            case StorageRetried():
                self.storage_failed = False
                self._save(out, self.snapshot.place + 1, self.log, self.snapshot)
            case _ if self.storage_failed:
                return self._handle_unsaved(event)
            case Tick():
                self._tick(event.chance, out)
            case Received():
                self._received(event.sender, event.message, out)
            case Propose():
                self._propose(event.data, out)
            case Compact():
                self._compact(event, out)
        return out

    def _handle_unsaved(self, event: Event) -> list[Action]:
        """Takes an event while the disk takes nothing: votes for none, acknowledges nothing, leads nobody.
        What a leader says is committed is on the disks of a majority of the others, so it may be applied."""
        out: list[Action] = []
        match event:
            case Received(sender, Append() | Install() as message):
                self._received(sender, message, out)
            case Propose():
                self._propose(event.data, out)
            case Compact():
                self._compact(event, out)
        return [action for action in out if not isinstance(action, Save | Send)]

    def _save(
        self, out: list[Action], start: int, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None
    ) -> None:
        out.append(Save(self.term, self.voted, start, entries, snapshot))

    def _tick(self, chance: float, out: list[Action]) -> None:
        if self.role is Role.LEADER:
            for name, peer in self.peers.items():
                if self.now - peer.asked >= self.timing.heartbeat:
                    self._append(name, out)
            # One that a majority does not answer gives way: clients find another sooner.
            if max(self.lease_until(), self.led) + 2 * self.timing.election < self.now:
                self._follow(self.term, None)
                self._wait(chance)
        elif self.now >= self.due:
            self._wait(chance)
            self._try(out)

    def _wait(self, chance: float) -> None:
        self.due = self.now + int(self.timing.election * (1 + chance))

    def _try(self, out: list[Action]) -> None:
        """Asks whether it would be elected; that changes nothing, so nothing need be kept."""
        self.role, self.leader, self.trial = Role.CANDIDATE, None, True
        self._ask(self.term + 1, out)

    def _stand(self, out: list[Action]) -> None:
        """Stands for election. Its own vote is on disk before any other is asked for."""
        self.trial = False
        self.term, self.voted = self.term + 1, self.me
        self._save(out, self.last_index + 1)
        self._ask(self.term, out)

    def _ask(self, term: int, out: list[Action]) -> None:
        self.votes = frozenset({self.me})
        for name in self.group:
            if name != self.me:
                out.append(Send(name, Ask(term, self.trial, self.last_index, self.last_term)))
        self._count(out)

    def _count(self, out: list[Action]) -> None:
        if len(self.votes) < self.majority:
            return
        if self.trial:
            self._stand(out)
            return
        self.role, self.leader, self.led = Role.LEADER, self.me, self.now
        self.peers = {name: Peer(self.last_index + 1) for name in self.group if name != self.me}
        # An entry of its own term: only by it can what was before be committed (Raft, 5.4.2).
        self._propose((b"",), out)

    def _propose(self, data: tuple[bytes, ...], out: list[Action]) -> None:
        if self.role is not Role.LEADER:
            out.append(Proposed(0, self.term))
            return
        first, entries = self.last_index + 1, tuple(Entry(self.term, one) for one in data)
        self.log = (*self.log, *entries)
        out.append(Proposed(first, self.term))
        self._save(out, first, entries)
        for name in self.peers:
            self._append(name, out)
        self._advance(out)  # in a group of one, its own disk is the majority

    def _append(self, name: int, out: list[Action]) -> None:
        peer = self.peers[name]
        peer.asked = self.now
        before = self.term_at(peer.next - 1)
        if before is None:
            out.append(Send(name, Install(self.term, self.snapshot, self.now)))
            return
        at = peer.next - self.snapshot.place - 1
        entries = self.log[at : at + self.timing.batch]
        out.append(Send(name, Append(self.term, peer.next - 1, before, entries, self.commit, self.now)))
        peer.next += len(entries)  # taken for granted; a no, or silence, brings it back

    def _advance(self, out: list[Action]) -> None:
        """Commits what a majority has on disk, as far as it is of this term (Raft, 5.4.2)."""
        held = sorted([self.last_index, *(peer.match for peer in self.peers.values())], reverse=True)
        index = held[self.majority - 1]
        if index > self.commit and self.term_at(index) == self.term:
            self.commit = index
            self._apply(out)
            for name in self.peers:  # what is committed is told at once: followers serve it
                self._append(name, out)

    def _apply(self, out: list[Action]) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log[self.applied - self.snapshot.place - 1]
            out.append(Apply(self.applied, entry.term, entry.data))

    def _follow(self, term: int, leader: int | None) -> None:
        """Is a follower from now on. A new term begins without a vote."""
        if term > self.term:
            self.term, self.voted = term, None
        self.role, self.leader = Role.FOLLOWER, leader
        self.votes, self.peers = frozenset(), {}

    # Messages

    def _received(self, sender: int, message: Message, out: list[Action]) -> None:
        match message:
            case Ask():
                self._asked(sender, message, out)
            case Vote():
                if message.term > self.term and not (message.trial and message.granted):
                    self._follow(message.term, None)
                    self._save(out, self.last_index + 1)
                elif self._counts(message):
                    self.votes |= {sender}
                    self._count(out)
            case Append() | Install():
                self._from_leader(sender, message, out)
            case Appended():
                self._appended(sender, message, out)

    def _counts(self, vote: Vote) -> bool:
        """Whether a vote is for what this replica stands for now."""
        standing = self.term + 1 if self.trial else self.term
        return (
            self.role is Role.CANDIDATE
            and vote.granted
            and vote.trial is self.trial
            and vote.term == standing
        )

    def _asked(self, sender: int, ask: Ask, out: list[Action]) -> None:
        """Guards leases: within the least time of an election since it heard from a leader, it does not even
        take up a candidate's term (thesis, 4.2.3); nor does a leader that holds its lease."""
        leads = self.role is Role.LEADER
        if self.lease_until() > self.now if leads else self.now - self.heard < self.timing.election:
            return
        current = (ask.last_term, ask.last_index) >= (self.last_term, self.last_index)
        if ask.trial:
            granted = ask.term > self.term and current
            out.append(Send(sender, Vote(ask.term if granted else self.term, True, granted)))
            return
        before = (self.term, self.voted)
        if ask.term > self.term:
            self._follow(ask.term, None)
        granted = (
            ask.term == self.term and current and self.role is Role.FOLLOWER and self.voted in (None, sender)
        )
        if granted:
            self.voted = sender
            self.due = self.now + 2 * self.timing.election
        if (self.term, self.voted) != before:
            self._save(out, self.last_index + 1)
        out.append(Send(sender, Vote(self.term, False, granted)))

    def _from_leader(self, sender: int, message: Append | Install, out: list[Action]) -> None:
        if message.term < self.term:
            out.append(Send(sender, Appended(self.term, False, 0, message.sent)))
            return
        before = (self.term, self.voted)
        self._follow(message.term, sender)
        self.heard = self.now
        self.due = self.now + 2 * self.timing.election
        changed = before != (self.term, self.voted)
        if isinstance(message, Install):
            self._install(message, changed, out)
            out.append(Send(sender, Appended(self.term, True, self.commit, message.sent)))
            return
        if message.prev_index < self.snapshot.place:  # what is in the snapshot is committed, and agrees
            skip = self.snapshot.place - message.prev_index
            message = message._replace(
                prev_index=self.snapshot.place, prev_term=self.snapshot.term, entries=message.entries[skip:]
            )
        if self.term_at(message.prev_index) != message.prev_term:
            if changed:
                self._save(out, self.last_index + 1)
            hint = min(self.last_index, message.prev_index - 1)
            out.append(Send(sender, Appended(self.term, False, max(hint, self.commit), message.sent)))
            return
        self._take(message, changed, out)
        agreed = message.prev_index + len(message.entries)
        commit = min(message.commit, agreed)
        if commit > self.commit:
            self.commit = commit
            self._apply(out)
        out.append(Send(sender, Appended(self.term, True, agreed, message.sent)))

    def _take(self, message: Append, changed: bool, out: list[Action]) -> None:
        """Takes up entries from where the logs part; those that agree stay, since a late message may hold
        fewer."""
        index, entries = message.prev_index, message.entries
        while entries and self.term_at(index + 1) == entries[0].term:
            index, entries = index + 1, entries[1:]
        if entries:
            keep = index - self.snapshot.place
            self.log = (*self.log[:keep], *entries)
            self._save(out, index + 1, entries)
        elif changed:
            self._save(out, self.last_index + 1)

    def _install(self, message: Install, changed: bool, out: list[Action]) -> None:
        told = message.snapshot
        if told.place <= self.commit:
            if changed:
                self._save(out, self.last_index + 1)
            return
        # Entries past the snapshot stay where the log agrees with it.
        agrees = self.term_at(told.place) == told.term
        self.log = self.log[told.place - self.snapshot.place :] if agrees else ()
        self.snapshot = told
        self.commit = self.applied = told.place
        self._save(out, told.place + 1, self.log, told)
        out.append(Restore(told))

    def _appended(self, sender: int, told: Appended, out: list[Action]) -> None:
        if told.term > self.term:
            self._follow(told.term, None)
            self._save(out, self.last_index + 1)
            return
        if self.role is not Role.LEADER or told.term < self.term:
            return
        peer = self.peers[sender]
        peer.heard = max(peer.heard, told.sent)
        if told.ok:
            peer.match = max(peer.match, told.place)
            peer.next = max(peer.next, peer.match + 1)
            self._advance(out)
            if peer.next <= self.last_index:
                self._append(sender, out)
        elif told.place + 1 < peer.next:
            peer.next = max(told.place, peer.match) + 1
            self._append(sender, out)

    def _compact(self, told: Compact, out: list[Action]) -> None:
        """The log up to a place goes; what follows it stays. The host may be behind what was handed out to
        it."""
        term = self.term_at(told.place)
        if term is None or not self.snapshot.place < told.place <= self.applied:
            return
        self.log = self.log[told.place - self.snapshot.place :]
        self.snapshot = Snapshot(told.place, term, told.data)
        self._save(out, told.place + 1, self.log, self.snapshot)
