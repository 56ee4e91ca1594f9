"""The events that a replica's state machine takes and the actions that it returns."""

from dataclasses import dataclass
from typing import NamedTuple

from applehub.registry.messages import NO_SNAPSHOT, LogEntry, Message, Snapshot


class Tick(NamedTuple):
    """Time has passed.

    jitter: a random number from 0 to 1 that spreads election timeouts."""

    jitter: float


class MessageReceived(NamedTuple):
    """A message from another replica was received."""

    sender: int
    message: Message


class Propose(NamedTuple):
    """Commands to append to the log, in this order."""

    commands: tuple[bytes, ...]


class Compact(NamedTuple):
    """The state machine has made a snapshot of all entries up to `last_index`.

    The log up to that index can be discarded."""

    last_index: int
    data: bytes


class StorageFailed(NamedTuple):
    """The disk refused a Save.

    The Save may be stored completely or not at all, and no message after it in the actions was sent."""


class StorageRetried(NamedTuple):
    """The host retries the disk with the complete state of the replica."""


Event = Tick | MessageReceived | Propose | Compact | StorageFailed | StorageRetried


class Save(NamedTuple):
    """Write atomically to disk: term and vote; `entries`, which replace the log from `start` on; and the
    snapshot, if any, which replaces the log before `start`."""

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
    """Apply a committed entry to the state machine.

    Entries after the snapshot are applied in order, each once during the lifetime of a process."""

    log_index: int
    term: int
    command: bytes


class Restore(NamedTuple):
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


class Proposed(NamedTuple):
    """The log index of the first command of a proposal.

    A command may be acknowledged once its index is applied with this term. An index of 0 means that this
    replica is not the leader and accepted none."""

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
