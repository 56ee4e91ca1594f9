"""What a replica is given and what it wants done: the events and actions of its state machine."""

from dataclasses import dataclass
from typing import NamedTuple

from applehub.registry.messages import NO_SNAPSHOT, LogEntry, Message, Snapshot


class Tick(NamedTuple):
    """Time has passed. jitter: from 0 to 1, drawn anew for each; it spreads election timeouts."""

    jitter: float


class MessageReceived(NamedTuple):
    """A message has come."""

    sender: int
    message: Message


class Propose(NamedTuple):
    """Commands that are to be agreed on, in this order."""

    commands: tuple[bytes, ...]


class Compact(NamedTuple):
    """The state machine has made a snapshot of all that it has applied up to an index: the log up to there is
    no longer needed."""

    last_index: int
    data: bytes


class StorageFailed(NamedTuple):
    """The disk has refused a Save: it may be there whole, or not at all, and nothing that followed it in the
    actions was sent."""


class StorageRetried(NamedTuple):
    """The disk is tried again, with the replica's whole state."""


Event = Tick | MessageReceived | Propose | Compact | StorageFailed | StorageRetried


class Save(NamedTuple):
    """Write to disk, all of it at once: term and vote; `entries` in place of the log from `start` on; the
    snapshot, if any, in place of the log before it."""

    term: int
    voted_for: int | None
    start: int
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


class Send(NamedTuple):
    """Send a message to another replica."""

    receiver: int
    message: Message


class Apply(NamedTuple):
    """Apply a committed entry. They come in order, each once from the snapshot on while a process runs."""

    log_index: int
    term: int
    command: bytes


class Restore(NamedTuple):
    """Set the state machine to a snapshot."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """Where the first command of a proposal stands in the log.

    Each command is acknowledged when its index is applied with this term. Index 0: this replica can't take
    any."""

    first_index: int
    term: int


Action = Save | Send | Apply | Restore | Proposed


@dataclass(slots=True)
class StoredState:
    """What a replica finds on its disk."""

    term: int = 0
    voted_for: int | None = None
    snapshot: Snapshot = NO_SNAPSHOT
    log: tuple[LogEntry, ...] = ()
