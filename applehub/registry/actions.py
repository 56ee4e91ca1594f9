"""The events that a replica's state machine takes and the actions that it returns."""

from dataclasses import dataclass
from typing import NamedTuple

from applehub.registry.messages import NO_SNAPSHOT, LogEntry, Message, Snapshot


class Tick(NamedTuple):
    """A periodic clock tick, which triggers heartbeats and elections.

    jitter: a random number from 0 to 1 that spreads election timeouts."""

    jitter: float


class MessageReceived(NamedTuple):
    """A message received from another replica."""

    sender: int
    message: Message


class Propose(NamedTuple):
    """Commands to append to the log, in this order."""

    commands: tuple[bytes, ...]


class Compact(NamedTuple):
    """A snapshot that the host has made of all entries up to `last_index`.

    The replica can discard the log up to that index."""

    last_index: int
    data: bytes


class StorageFailed(NamedTuple):
    """The disk refused a Save.

    The Save is stored completely or not at all. The host sends none of the messages that follow the Save."""


class StorageRetried(NamedTuple):
    """A retry by the host after StorageFailed; the replica returns a Save of its complete state."""


Event = Tick | MessageReceived | Propose | Compact | StorageFailed | StorageRetried


class Save(NamedTuple):
    """Writes to disk atomically.

    Term and vote are replaced; `entries` replace the log from `start` on; a snapshot, if any, replaces the
    log before `start`."""

    term: int
    voted_for: int | None
    start: int
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


class Send(NamedTuple):
    """Sends a message to another replica."""

    receiver: int
    message: Message


class Apply(NamedTuple):
    """Applies a committed entry to the endpoint list.

    Entries after the snapshot are applied in order, each exactly once per process lifetime."""

    log_index: int
    term: int
    command: bytes


class Restore(NamedTuple):
    """Replaces the endpoint list by a snapshot."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """The result of Propose: the log index of the first command, and the term.

    A command may be acknowledged once the entry at its index is applied with this term. An index of 0 means
    that this replica is not the leader and has accepted no command."""

    first_index: int
    term: int


Action = Save | Send | Apply | Restore | Proposed


@dataclass(slots=True)
class StoredState:
    """The state that a replica loads from its disk."""

    term: int = 0
    voted_for: int | None = None
    snapshot: Snapshot = NO_SNAPSHOT
    log: tuple[LogEntry, ...] = ()
