"""The host of one replica: carries out what the agreement wants done, in order, each batch of Saves synced
before what follows it is done. While a sync is on, what comes meanwhile gathers for the next (group
commit)."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from applehub.node.discovery import read_endpoint
from applehub.registry import raft, wire
from applehub.registry.entries import Entries, Result
from applehub.registry.listener import Listener
from applehub.registry.raft import Action, Apply, Proposed, Replica, Restore, Save, Send
from applehub.registry.store import Store, StoreError, StoreRefusedError

TICK = 0.02  # s between looks at the clock
MOST_LINE = 64 << 20  # of a message between replicas: a snapshot
MOST_UNSENT = 8 << 20  # bytes for a peer that does not read; past them its messages are dropped
DIAL_PAUSE = 0.1  # s between tries to reach a peer
STORAGE_PAUSE = 0.2  # s between tries of a disk that refuses: less than an election takes
log = logging.getLogger("applehub.registry")


class NotPrimaryError(RuntimeError):
    """This replica can't take a command now, or lost the lead before it was agreed on (it may still be)."""


@dataclass(slots=True)
class _Waiting:
    term: int
    answer: "asyncio.Future[Result]"


class Host:
    """One replica, its disk, its peers and its list."""

    def __init__(
        self, me: int, addresses: dict[int, str], timing: raft.Timing, store: Store, kept: int, compact: int
    ) -> None:
        """addresses: of the whole group by number; empty: a group of one. Raises StoreError."""
        self.me, self.addresses, self.store = me, addresses, store
        self.kept, self.compact = kept, compact
        self.loop = asyncio.get_running_loop()
        saved = store.load()
        group = tuple(addresses) or (me,)
        self.replica = Replica(me, group, timing, time.monotonic_ns(), saved)
        self.entries = Entries.restored(kept, self.replica.snapshot.data)
        self.applied = self.replica.snapshot.place
        self.changed: Callable[[], None] = lambda: None  # called when the list has a new version
        self.failed: asyncio.Future[None] = self.loop.create_future()  # the disk is of no use any more
        self.random = random.Random()
        self.waiting: dict[int, _Waiting] = {}  # commands of this replica, by their places
        self._proposals: list[tuple[bytes, asyncio.Future[Result]]] = []
        self._held: list[Action] = []
        self._syncing = False
        self._unsaved: list[Action] = []  # what waits until the disk takes writes again
        self._retry: asyncio.TimerHandle | None = None
        self.disk_refuses = self._stopping = False
        self._disk = ThreadPoolExecutor(1, "disk")
        self._peers = {number: Peer(number, address) for number, address in addresses.items() if number != me}
        self._listener: Listener | None = None
        self._heard: set[asyncio.StreamWriter] = set()  # connections of its peers
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listens for its peers and begins to take part."""
        if self.addresses:
            self._listener = Listener(read_endpoint(self.addresses[self.me]), self._peer_protocol)
        self._tasks = [self.loop.create_task(peer.run()) for peer in self._peers.values()]
        self._tasks.append(self.loop.create_task(self._tick()))
        if not self._peers:
            self.replica.due = 0  # a group of one need not wait for others

    async def stop(self) -> None:
        self._stopping = True
        if self._retry is not None:
            self._retry.cancel()
        for task in self._tasks:
            task.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in self._heard:
            writer.transport.abort()
        for waiting in self.waiting.values():
            waiting.answer.cancel()
        await self.loop.run_in_executor(self._disk, self.store.close)
        self._disk.shutdown()

    # What can be asked

    def is_primary(self) -> bool:
        """Whether this replica may serve as primary: it holds its lease, and its list has all that any
        primary before it acknowledged."""
        if self.disk_refuses or not self.replica.is_primary(time.monotonic_ns()):
            return False
        return self.replica.term_at(self.applied) == self.replica.term

    def staleness(self) -> int:
        """ns since this replica last knew that it held what the primary had committed; 0 at the primary."""
        return 0 if self.is_primary() else time.monotonic_ns() - self.replica.heard

    async def propose(self, command: bytes) -> Result:
        """Has a command agreed on; gives what became of it once a majority has it on disk. Raises
        NotPrimaryError."""
        if not self.is_primary():
            raise NotPrimaryError("not the primary")
        answer: asyncio.Future[Result] = self.loop.create_future()
        self._proposals.append((command, answer))
        if len(self._proposals) == 1:
            self.loop.call_soon(self._propose)
        return await answer

    def _propose(self) -> None:
        """All commands of one turn of the loop go in together."""
        proposals, self._proposals = self._proposals, []
        actions = self.replica.handle(
            time.monotonic_ns(), raft.Propose(tuple(command for command, _ in proposals))
        )
        (where,) = (action for action in actions if isinstance(action, Proposed))
        for number, (_, answer) in enumerate(proposals):
            if where.place:
                self.waiting[where.place + number] = _Waiting(where.term, answer)
            elif not answer.done():
                answer.set_exception(NotPrimaryError("not the primary"))
        self._take(actions)

    # Events and actions

    def handle(self, event: raft.Event) -> None:
        self._take(self.replica.handle(time.monotonic_ns(), event))

    def _take(self, actions: list[Action]) -> None:
        self._held += actions
        if not self._syncing:
            self._release()

    def _release(self) -> None:
        """Carries out what waits, up to the first Save; then has all Saves synced at once."""
        held, self._held = self._held, []
        first = next((n for n, action in enumerate(held) if isinstance(action, Save)), len(held))
        self._carry_out(held[:first])
        if first < len(held):
            self._syncing = True
            rest = held[first:]
            saves = [action for action in rest if isinstance(action, Save)]
            done = self.loop.run_in_executor(self._disk, self.store.save, saves)
            done.add_done_callback(lambda future: self._synced(future, rest))

    def _synced(self, future: "asyncio.Future[None]", rest: list[Action]) -> None:
        problem = None if future.cancelled() else future.exception()
        if isinstance(problem, StoreRefusedError):
            self._syncing = False
            self._refused(problem, rest)
            return
        if problem is not None:
            # Nothing that follows the Save may be done: this replica ends, and starts from what is on disk.
            if not self.failed.done():
                self.failed.set_exception(
                    problem if isinstance(problem, StoreError) else StoreError(str(problem))
                )
            return
        self._syncing = False
        if self.disk_refuses:
            self.disk_refuses = False
            log.warning("the disk takes writes again")
        self._carry_out(rest)
        if not self._syncing:
            self._release()

    def _refused(self, problem: StoreRefusedError, rest: list[Action]) -> None:
        """Until the disk takes writes again, this replica leads, votes and acknowledges no more, and serves
        what it learns to be committed."""
        if not self.disk_refuses:
            self.disk_refuses = True
            log.warning("%s: no vote and no acknowledgement until the disk takes writes", problem)
        committed: list[Action] = [one for one in (*rest, *self._held) if isinstance(one, Apply | Restore)]
        self._held = []
        self.handle(raft.StorageFailed())
        if self._peers:  # a majority has these on disk, without this replica
            self._carry_out(committed)
        else:
            self._unsaved = committed
        self._disown_waiting("the disk refuses writes")
        if not self._stopping:
            self._retry = self.loop.call_later(STORAGE_PAUSE, self._try_disk)

    def _try_disk(self) -> None:
        """Writes the whole state: all that follows is held back until it is on disk."""
        unsaved, self._unsaved = self._unsaved, []
        self._take([*self.replica.handle(time.monotonic_ns(), raft.StorageRetried()), *unsaved])

    def _disown_waiting(self, why: str) -> None:
        """Acknowledges nothing that waits; a later call finds what was agreed on."""
        for waiting in self.waiting.values():
            if not waiting.answer.done():
                waiting.answer.set_exception(NotPrimaryError(why))
        self.waiting.clear()

    def _carry_out(self, actions: list[Action]) -> None:
        version = self.entries.version
        for action in actions:
            match action:
                case Send():
                    self._peers[action.to].send(wire.encode(self.me, action.message))
                case Apply():
                    self._apply(action)
                case Restore():
                    self.entries = Entries.restored(self.kept, action.snapshot.data)
                    self.applied = action.snapshot.place
        if self.entries.version != version:
            self.changed()
        if self.applied - self.replica.snapshot.place >= self.compact:
            self.handle(raft.Compact(self.applied, self.entries.snapshot()))

    def _apply(self, action: Apply) -> None:
        result = self.entries.apply(action.data)
        self.applied = action.place
        waiting = self.waiting.pop(action.place, None)
        if waiting is not None and not waiting.answer.done():
            if waiting.term == action.term:
                waiting.answer.set_result(result)
            else:
                waiting.answer.set_exception(NotPrimaryError("another primary took its place"))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self.handle(raft.Tick(self.random.random()))
            if self.waiting and not self.is_primary():
                self._disown_waiting("no longer the primary")  # its lease is over

    def _peer_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(MOST_LINE, self.loop), self._hear, self.loop)

    async def _hear(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._heard.add(writer)
        try:
            while line := await reader.readline():
                sender, message = wire.decode(line)
                if sender in self._peers:
                    self.handle(raft.Received(sender, message))
        except (OSError, ValueError) as problem:
            log.warning("a peer's message can't be read: %s", problem)
        finally:
            self._heard.discard(writer)
            writer.close()


class Peer:
    """The way to another replica: messages that can't be sent at once are dropped, as the agreement
    allows."""

    def __init__(self, number: int, address: str) -> None:
        self.number, self.address = number, read_endpoint(address)
        self.writer: asyncio.StreamWriter | None = None

    def send(self, line: bytes) -> None:
        writer = self.writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MOST_UNSENT:
            writer.transport.abort()  # it stood still: what waits is out of date
            return
        writer.write(line)

    async def run(self) -> None:
        """Keeps a connection up."""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    reader, self.writer = await asyncio.open_connection(*self.address)
                await reader.read()  # peers answer on connections of their own: this ends with the connection
            except (OSError, TimeoutError):
                pass
            if self.writer is not None:
                self.writer.transport.abort()
                self.writer = None
            await asyncio.sleep(DIAL_PAUSE)
