"""The host of one replica: connects the Raft state machine to disk, network and clock.

Actions are executed in order, and each batch of Saves is synced before the actions that follow it. Actions
that arrive during a sync are queued and synced together (group commit)."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from applehub.node.discovery import read_endpoint
from applehub.registry import commands, wire
from applehub.registry.actions import (
    Action,
    Apply,
    Compact,
    Event,
    MessageReceived,
    Propose,
    Proposed,
    Restore,
    Save,
    Send,
    StorageFailed,
    StorageRetried,
    Tick,
)
from applehub.registry.commands import Command
from applehub.registry.endpoint_list import CommandResult, EndpointList
from applehub.registry.errors import NotLeaseHolderError, StoreError, StoreRefusedError
from applehub.registry.listener import Listener
from applehub.registry.peer_connection import PeerConnection
from applehub.registry.replica import Replica
from applehub.registry.replica_state import Timing
from applehub.registry.store import ReplicaStore

TICK_INTERVAL = 0.02  # seconds between Tick events; must be well below the heartbeat interval
MAX_MESSAGE_SIZE = 64 << 20  # bytes of a message between replicas, which may contain a snapshot
STORAGE_RETRY_DELAY = 0.2  # seconds between writes to a refusing disk; below the election timeout
NOT_LEASE_HOLDER = "not the primary"  # error text in responses to writers
log = logging.getLogger("applehub.registry")


@dataclass(frozen=True, slots=True)
class HostOptions:
    """The options of one replica and its host."""

    replica_id: int
    addresses: dict[int, str] = field(
        default_factory=dict
    )  # addresses of all replicas by id; empty for a single replica
    timing: Timing = field(default_factory=Timing)
    max_changes: int = 10_000  # changes retained for routers with earlier versions
    compact_after: int = 2000  # applied log entries after which the log is compacted


@dataclass(slots=True)
class _Pending:
    """A proposed command that is not applied yet, and the term in which it was proposed."""

    term: int
    result_future: "asyncio.Future[CommandResult]"


class Host:
    """One replica with its store, its peer connections and its endpoint list."""

    def __init__(self, options: HostOptions, store: ReplicaStore) -> None:
        """Loads the state from the store. Raises StoreError."""
        self.options = options
        self.store = store
        self.loop = asyncio.get_running_loop()
        members = tuple(options.addresses) or (options.replica_id,)
        self.replica = Replica(options.replica_id, members, options.timing, time.monotonic_ns(), store.load())
        self.endpoints = EndpointList.from_snapshot(options.max_changes, self.replica.snapshot.data)
        self.applied_index = self.replica.snapshot.last_index
        self.on_new_version: Callable[[], None] = lambda: None
        self.failed: asyncio.Future[None] = (
            self.loop.create_future()
        )  # receives the exception if the store fails permanently
        self.disk_refuses = False
        self._pending: dict[int, _Pending] = {}  # commands proposed by this replica, by log index
        self._proposals: list[tuple[bytes, asyncio.Future[CommandResult]]] = []
        self._queued: list[Action] = []  # actions that wait for the end of the sync in progress
        self._syncing = False
        self._sync_started_at = 0  # nanoseconds of the monotonic clock
        self._deferred: list[Action] = []  # actions that wait until the disk accepts writes again
        self._storage_retry: asyncio.TimerHandle | None = None
        self._stopping = False
        self._applied_own_term = False  # whether an entry of the current term was applied in this process
        self._disk = ThreadPoolExecutor(1, "disk")
        self._peers = {
            member: PeerConnection(address)
            for member, address in options.addresses.items()
            if member != options.replica_id
        }
        self._listener: Listener | None = None
        self._incoming: set[asyncio.StreamWriter] = set()  # connections from peers
        self._tasks: list[asyncio.Task[None]] = []
        self._random = random.Random()

    async def start(self) -> None:
        """Listens for peers and starts the replica. Raises OSError if it can't listen."""
        if self.options.addresses:
            own_address = read_endpoint(self.options.addresses[self.options.replica_id])
            self._listener = Listener(own_address, self._peer_protocol)
        self._tasks = [self.loop.create_task(peer.run()) for peer in self._peers.values()]
        self._tasks.append(self.loop.create_task(self._run_clock()))
        if not self._peers:
            self.replica.election_due = 0  # a single replica has no leader to wait for

    async def stop(self) -> None:
        """Stops all tasks and closes the connections and the store."""
        self._stopping = True
        if self._storage_retry is not None:
            self._storage_retry.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()
        for writer in self._incoming:
            writer.transport.abort()
        for pending in self._pending.values():
            pending.result_future.cancel()
        await self.loop.run_in_executor(self._disk, self.store.close)
        self._disk.shutdown()

    # Queries and proposals

    def is_lease_holder(self) -> bool:
        """Returns whether this replica is the leader, holds its lease, and is up to date.

        A leader is up to date once it has applied all commands that earlier leaders acknowledged."""
        if self.disk_refuses or not self.replica.is_lease_holder(time.monotonic_ns()):
            return False
        return self.replica.term_at(self.applied_index) == self.replica.term

    def staleness(self) -> int:
        """Returns the time, in nanoseconds, since this replica was known to be up to date; 0 at the leader.

        The staleness of a single replica is 0 even while its disk refuses writes, since no other replica can
        commit."""
        is_single = not self._peers and self._applied_own_term
        if is_single or self.is_lease_holder():
            return 0
        up_to_date_at = self.replica.leader_contact
        if self._syncing:  # messages received during the sync are not applied yet
            up_to_date_at = min(up_to_date_at, self._sync_started_at)
        return time.monotonic_ns() - up_to_date_at

    async def propose(self, command: Command) -> CommandResult:
        """Proposes a command and returns its result once the command is committed and applied.

        Raises NotLeaseHolderError."""
        if not self.is_lease_holder():
            raise NotLeaseHolderError(NOT_LEASE_HOLDER)
        result_future: asyncio.Future[CommandResult] = self.loop.create_future()
        self._proposals.append((commands.encode(command), result_future))
        if len(self._proposals) == 1:
            self.loop.call_soon(self._propose_batch)
        return await result_future

    def _propose_batch(self) -> None:
        """Proposes all commands of one iteration of the event loop as a batch."""
        proposals = self._proposals
        self._proposals = []
        proposal = Propose(tuple(command for command, _ in proposals))
        actions = self.replica.handle(time.monotonic_ns(), proposal)
        (proposed,) = (action for action in actions if isinstance(action, Proposed))
        for offset, (_, result_future) in enumerate(proposals):
            if proposed.first_index:
                self._pending[proposed.first_index + offset] = _Pending(proposed.term, result_future)
            elif not result_future.done():
                result_future.set_exception(NotLeaseHolderError(NOT_LEASE_HOLDER))
        self._enqueue(actions)

    # Events and actions

    def handle(self, event: Event) -> None:
        """Passes an event to the replica and executes the resulting actions."""
        self._enqueue(self.replica.handle(time.monotonic_ns(), event))

    def _enqueue(self, actions: Sequence[Action]) -> None:
        self._queued += actions
        if not self._syncing:
            self._execute_queued()

    def _execute_queued(self) -> None:
        """Executes the queued actions up to the first Save, and then syncs all queued Saves together."""
        queued = self._queued
        self._queued = []
        first_save = next(
            (index for index, action in enumerate(queued) if isinstance(action, Save)), len(queued)
        )
        self._execute(queued[:first_save])
        if first_save < len(queued):
            self._syncing = True
            self._sync_started_at = time.monotonic_ns()
            rest = queued[first_save:]
            saves = [action for action in rest if isinstance(action, Save)]
            sync = self.loop.run_in_executor(self._disk, self.store.save, saves)
            sync.add_done_callback(lambda future: self._on_synced(future, rest))

    def _on_synced(self, future: "asyncio.Future[None]", rest: list[Action]) -> None:
        failure = None if future.cancelled() else future.exception()
        if isinstance(failure, StoreRefusedError):
            self._syncing = False
            self._on_write_refused(failure, rest)
            return
        if failure is not None:
            # Actions after the Save must not be executed; the process exits instead.
            if not self.failed.done():
                error = failure if isinstance(failure, StoreError) else StoreError(str(failure))
                self.failed.set_exception(error)
            return
        self._syncing = False
        if self.disk_refuses:
            self.disk_refuses = False
            log.warning("disk accepts writes again")
        self._execute(rest)
        if not self._syncing:
            self._execute_queued()

    def _on_write_refused(self, error: StoreRefusedError, rest: list[Action]) -> None:
        """Handles a refused write.

        Until the disk accepts writes again, this replica neither leads, votes nor acknowledges entries. The
        replica continues to apply and serve entries that the leader reports as committed."""
        if not self.disk_refuses:
            self.disk_refuses = True
            log.warning(
                "write refused: %s; no votes and no acknowledgements until the disk accepts writes", error
            )
        committed: list[Action] = [
            action for action in (*rest, *self._queued) if isinstance(action, Apply | Restore)
        ]
        self._queued = []
        self.handle(StorageFailed())
        if self._peers:  # a majority of the group has these entries on disk
            self._execute(committed)
        else:
            self._deferred = committed
        self._reject_pending("the disk refuses writes")
        if not self._stopping:
            self._storage_retry = self.loop.call_later(STORAGE_RETRY_DELAY, self._retry_storage)

    def _retry_storage(self) -> None:
        """Writes the complete state; all later actions wait until it is on disk."""
        deferred = self._deferred
        self._deferred = []
        self._enqueue([*self.replica.handle(time.monotonic_ns(), StorageRetried()), *deferred])

    def _reject_pending(self, reason: str) -> None:
        """Fails all pending commands. They may still be committed; writers can retry them safely."""
        for pending in self._pending.values():
            if not pending.result_future.done():
                pending.result_future.set_exception(NotLeaseHolderError(reason))
        self._pending.clear()

    def _execute(self, actions: Sequence[Action]) -> None:
        version = self.endpoints.version
        for action in actions:
            match action:
                case Send():
                    line = wire.encode(self.options.replica_id, action.message)
                    self._peers[action.receiver].send(line)
                case Apply():
                    self._apply(action)
                case Restore():
                    self.endpoints = EndpointList.from_snapshot(
                        self.options.max_changes, action.snapshot.data
                    )
                    self.applied_index = action.snapshot.last_index
        if self.endpoints.version != version:
            self.on_new_version()
        if self.applied_index - self.replica.snapshot.last_index >= self.options.compact_after:
            self.handle(Compact(self.applied_index, self.endpoints.snapshot()))

    def _apply(self, action: Apply) -> None:
        result = self.endpoints.apply(action.command)
        self.applied_index = action.log_index
        self._applied_own_term = self._applied_own_term or action.term == self.replica.term
        pending = self._pending.pop(action.log_index, None)
        if pending is not None and not pending.result_future.done():
            if pending.term == action.term:
                pending.result_future.set_result(result)
            else:
                pending.result_future.set_exception(NotLeaseHolderError("another primary took its place"))

    async def _run_clock(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self.handle(Tick(self._random.random()))
            if self._pending and not self.is_lease_holder():
                self._reject_pending("no longer the primary")

    def _peer_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = asyncio.StreamReader(MAX_MESSAGE_SIZE, self.loop)
        return asyncio.StreamReaderProtocol(reader, self._receive, self.loop)

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads and handles the messages of one peer connection."""
        self._incoming.add(writer)
        try:
            while line := await reader.readline():
                sender, message = wire.decode(line)
                if sender in self._peers:
                    self.handle(MessageReceived(sender, message))
        except (OSError, ValueError) as error:
            log.warning("closing a peer connection after a read error: %s", error)
        finally:
            self._incoming.discard(writer)
            writer.close()
