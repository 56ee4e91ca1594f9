"""The host of one replica: carries out what the agreement wants done, in order, each batch of Saves synced
before what follows it is done. While a sync is under way, what comes meanwhile gathers for the next (group
commit)."""

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

TICK_INTERVAL = 0.02  # s between looks at the clock: well under a heartbeat
MAX_LINE = 64 << 20  # bytes of a message between replicas: a snapshot
STORAGE_PAUSE = 0.2  # s between attempts at a disk that refuses: less than an election takes
NOT_LEASE_HOLDER = "not the primary"  # in answers to writers
log = logging.getLogger("applehub.registry")


@dataclass(frozen=True, slots=True)
class HostOptions:
    """What a replica is started with."""

    replica_id: int
    addresses: dict[int, str] = field(default_factory=dict)  # of the group by id; empty: a group of one
    timing: Timing = field(default_factory=Timing)
    max_changes: int = 10_000  # kept for routers that are behind
    compact_after: int = 2000  # entries of the log


@dataclass(slots=True)
class _Pending:
    """A command that waits to be applied, by the term in which it was proposed."""

    term: int
    answer: "asyncio.Future[CommandResult]"


class Host:
    """One replica, its disk, its peers and its list."""

    def __init__(self, options: HostOptions, store: ReplicaStore) -> None:
        """Reads the store. Raises StoreError."""
        self.options = options
        self.store = store
        self.loop = asyncio.get_running_loop()
        members = tuple(options.addresses) or (options.replica_id,)
        self.replica = Replica(options.replica_id, members, options.timing, time.monotonic_ns(), store.load())
        self.endpoints = EndpointList.restored(options.max_changes, self.replica.snapshot.data)
        self.applied_index = self.replica.snapshot.last_index
        self.on_new_version: Callable[[], None] = lambda: None
        self.failed: asyncio.Future[None] = self.loop.create_future()  # set once the disk is of no use
        self.disk_refuses = False
        self._pending: dict[int, _Pending] = {}  # commands of this replica, by their indexes
        self._proposals: list[tuple[bytes, asyncio.Future[CommandResult]]] = []
        self._waiting: list[Action] = []  # for the sync that is under way
        self._syncing = False
        self._sync_began_at = 0  # ns of the monotonic clock
        self._unsaved: list[Action] = []  # what waits until the disk takes writes again
        self._storage_retry: asyncio.TimerHandle | None = None
        self._stopping = False
        self._has_own_term = False  # whether an entry of a term of this run is applied
        self._disk = ThreadPoolExecutor(1, "disk")
        self._peers = {
            member: PeerConnection(address)
            for member, address in options.addresses.items()
            if member != options.replica_id
        }
        self._listener: Listener | None = None
        self._incoming: set[asyncio.StreamWriter] = set()  # connections from its peers
        self._tasks: list[asyncio.Task[None]] = []
        self._random = random.Random()

    async def start(self) -> None:
        """Listens for its peers and begins to take part. Raises OSError where it can't listen."""
        if self.options.addresses:
            own = read_endpoint(self.options.addresses[self.options.replica_id])
            self._listener = Listener(own, self._peer_protocol)
        self._tasks = [self.loop.create_task(peer.run()) for peer in self._peers.values()]
        self._tasks.append(self.loop.create_task(self._run_clock()))
        if not self._peers:
            self.replica.election_due = 0  # a group of one need not wait for others

    async def stop(self) -> None:
        """Ends its tasks, closes its connections and lets its store go."""
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
            pending.answer.cancel()
        await self.loop.run_in_executor(self._disk, self.store.close)
        self._disk.shutdown()

    # What can be asked

    def is_lease_holder(self) -> bool:
        """Whether this replica may serve as the group's leader: it holds its lease, and its list has all that
        any leader before it acknowledged."""
        if self.disk_refuses or not self.replica.is_lease_holder(time.monotonic_ns()):
            return False
        return self.replica.term_at(self.applied_index) == self.replica.term

    def staleness(self) -> int:
        """ns since this replica last knew that it had all that was committed; 0 at the lease holder.

        In a group of one nothing is committed without it: 0 too while its disk refuses."""
        alone = not self._peers and self._has_own_term
        if alone or self.is_lease_holder():
            return 0
        known_at = self.replica.leader_contact
        if self._syncing:  # what has come since then waits for the disk
            known_at = min(known_at, self._sync_began_at)
        return time.monotonic_ns() - known_at

    async def propose(self, command: Command) -> CommandResult:
        """Has a command agreed on; gives what became of it once a majority has it on disk. Raises
        NotLeaseHolderError."""
        if not self.is_lease_holder():
            raise NotLeaseHolderError(NOT_LEASE_HOLDER)
        answer: asyncio.Future[CommandResult] = self.loop.create_future()
        self._proposals.append((commands.encode(command), answer))
        if len(self._proposals) == 1:
            self.loop.call_soon(self._propose_gathered)
        return await answer

    def _propose_gathered(self) -> None:
        """All commands of one turn of the loop go in together."""
        proposals = self._proposals
        self._proposals = []
        proposal = Propose(tuple(command for command, _ in proposals))
        actions = self.replica.handle(time.monotonic_ns(), proposal)
        (proposed,) = (action for action in actions if isinstance(action, Proposed))
        for number, (_, answer) in enumerate(proposals):
            if proposed.first_index:
                self._pending[proposed.first_index + number] = _Pending(proposed.term, answer)
            elif not answer.done():
                answer.set_exception(NotLeaseHolderError(NOT_LEASE_HOLDER))
        self._carry_out_in_order(actions)

    # Events and actions

    def handle(self, event: Event) -> None:
        """Hands an event to the agreement, and carries out what it wants done."""
        self._carry_out_in_order(self.replica.handle(time.monotonic_ns(), event))

    def _carry_out_in_order(self, actions: Sequence[Action]) -> None:
        self._waiting += actions
        if not self._syncing:
            self._continue()

    def _continue(self) -> None:
        """Carries out what waits, up to the first Save; then has all Saves synced at once."""
        waiting = self._waiting
        self._waiting = []
        first = next((n for n, action in enumerate(waiting) if isinstance(action, Save)), len(waiting))
        self._carry_out(waiting[:first])
        if first < len(waiting):
            self._syncing = True
            self._sync_began_at = time.monotonic_ns()
            rest = waiting[first:]
            saves = [action for action in rest if isinstance(action, Save)]
            done = self.loop.run_in_executor(self._disk, self.store.save, saves)
            done.add_done_callback(lambda future: self._on_synced(future, rest))

    def _on_synced(self, future: "asyncio.Future[None]", rest: list[Action]) -> None:
        problem = None if future.cancelled() else future.exception()
        if isinstance(problem, StoreRefusedError):
            self._syncing = False
            self._on_refused(problem, rest)
            return
        if problem is not None:
            # Nothing that follows the Save may be done: this replica ends, and starts from what is on disk.
            if not self.failed.done():
                error = problem if isinstance(problem, StoreError) else StoreError(str(problem))
                self.failed.set_exception(error)
            return
        self._syncing = False
        if self.disk_refuses:
            self.disk_refuses = False
            log.warning("the disk takes writes again")
        self._carry_out(rest)
        if not self._syncing:
            self._continue()

    def _on_refused(self, problem: StoreRefusedError, rest: list[Action]) -> None:
        """Until the disk takes writes again, this replica leads, votes and acknowledges no more, and serves
        what it learns to be committed."""
        if not self.disk_refuses:
            self.disk_refuses = True
            log.warning("%s: no vote and no acknowledgement until the disk takes writes", problem)
        committed: list[Action] = [one for one in (*rest, *self._waiting) if isinstance(one, Apply | Restore)]
        self._waiting = []
        self.handle(StorageFailed())
        if self._peers:  # a majority has these on disk, without this replica
            self._carry_out(committed)
        else:
            self._unsaved = committed
        self._reject_pending("the disk refuses writes")
        if not self._stopping:
            self._storage_retry = self.loop.call_later(STORAGE_PAUSE, self._retry_storage)

    def _retry_storage(self) -> None:
        """Writes the whole state: all that follows is held back until it is on disk."""
        unsaved = self._unsaved
        self._unsaved = []
        self._carry_out_in_order([*self.replica.handle(time.monotonic_ns(), StorageRetried()), *unsaved])

    def _reject_pending(self, why: str) -> None:
        """Acknowledges nothing that waits; a later call finds what was agreed on."""
        for pending in self._pending.values():
            if not pending.answer.done():
                pending.answer.set_exception(NotLeaseHolderError(why))
        self._pending.clear()

    def _carry_out(self, actions: Sequence[Action]) -> None:
        version = self.endpoints.version
        for action in actions:
            match action:
                case Send():
                    line = wire.encode(self.options.replica_id, action.message)
                    self._peers[action.receiver].send(line)
                case Apply():
                    self._apply(action)
                case Restore():
                    self.endpoints = EndpointList.restored(self.options.max_changes, action.snapshot.data)
                    self.applied_index = action.snapshot.last_index
        if self.endpoints.version != version:
            self.on_new_version()
        if self.applied_index - self.replica.snapshot.last_index >= self.options.compact_after:
            self.handle(Compact(self.applied_index, self.endpoints.snapshot()))

    def _apply(self, action: Apply) -> None:
        result = self.endpoints.apply(action.command)
        self.applied_index = action.log_index
        self._has_own_term = self._has_own_term or action.term == self.replica.term
        pending = self._pending.pop(action.log_index, None)
        if pending is not None and not pending.answer.done():
            if pending.term == action.term:
                pending.answer.set_result(result)
            else:
                pending.answer.set_exception(NotLeaseHolderError("another primary took its place"))

    async def _run_clock(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self.handle(Tick(self._random.random()))
            if self._pending and not self.is_lease_holder():
                self._reject_pending("no longer the primary")

    def _peer_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = asyncio.StreamReader(MAX_LINE, self.loop)
        return asyncio.StreamReaderProtocol(reader, self._receive, self.loop)

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads the messages of a peer's connection."""
        self._incoming.add(writer)
        try:
            while line := await reader.readline():
                sender, message = wire.decode(line)
                if sender in self._peers:
                    self.handle(MessageReceived(sender, message))
        except (OSError, ValueError) as problem:
            log.warning("a peer's message can't be read: %s", problem)
        finally:
            self._incoming.discard(writer)
            writer.close()
