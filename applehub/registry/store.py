"""A replica's disk: SQLite with a rollback journal, synced at each commit, so that a batch of Saves is there
complete or not at all. Each row carries a checksum of its own (crc32 over its key and content: in the
standard library, and made for flipped bits), since SQLite has none of its pages.

Not a write-ahead log: SQLite takes a frame of it that does not add up for its end, so one flipped bit drops
every later commit without a word, acknowledged ones too. With the journal, what was committed stands in the
file itself, where the checksums find it; that costs a second sync.

A store that does not add up is refused, never served: the error names file, row and reason.

A disk that takes no writes (it is full, or fails) is another matter: what is there stays good, so the same
Saves are written again later, on a connection made anew, which undoes first what the failed write left. A
write that failed may be on the disk all the same (only the last sync failed): Saves give the same when they
are written twice."""

import contextlib
import errno
import fcntl
import os
import sqlite3
from collections.abc import Iterable
from pathlib import Path
from zlib import crc32

from applehub.registry.actions import Save, StoredState
from applehub.registry.errors import StoreError, StoreRefusedError
from applehub.registry.messages import NO_SNAPSHOT, LogEntry, Snapshot

FORMAT = 1
NO_VOTE = -1
TABLES = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value INTEGER, crc INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER, data BLOB, crc INTEGER);
CREATE TABLE IF NOT EXISTS snapshot
    (one INTEGER PRIMARY KEY, place INTEGER, term INTEGER, data BLOB, crc INTEGER);
"""
# What passes by itself or by staff's hand: no room, a failing or read-only disk, no descriptors, no memory.
REFUSALS = frozenset(
    {
        errno.ENOSPC, errno.EDQUOT, errno.EFBIG, errno.EIO, errno.EROFS, errno.EMFILE, errno.ENFILE,
        errno.ENOMEM, errno.EINTR, errno.EAGAIN,
    }
)  # fmt: skip
SQLITE_REFUSALS = frozenset(
    {
        sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR, sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_NOMEM, sqlite3.SQLITE_BUSY,
    }
)  # fmt: skip
PRIMARY_CODE = 0xFF  # mask: SQLite's extended codes say more in the bits above


def _store_error(path: Path, problem: OSError | sqlite3.Error) -> StoreError:
    """The problem as an error of the package: refused for now, or of no use."""
    if isinstance(problem, OSError):
        refused = problem.errno in REFUSALS
        text = problem.strerror or str(problem)
    else:
        code = getattr(problem, "sqlite_errorcode", sqlite3.SQLITE_ERROR)
        refused = code & PRIMARY_CODE in SQLITE_REFUSALS
        text = str(problem)
    return (StoreRefusedError if refused else StoreError)(f"{path}: {text}")


def _checksum(*parts: object) -> int:
    checksum = 0
    for part in parts:
        checksum = crc32(part if isinstance(part, bytes) else repr(part).encode(), checksum)
    return checksum


def _sync_folder(folder: Path) -> None:
    """Has the names in a folder on disk. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class ReplicaStore:
    """The file of one replica, locked while it is open."""

    def __init__(self, folder: Path) -> None:
        """Raises StoreError where another process has it, or it is of no use; StoreRefusedError where the
        disk refuses."""
        self.path = folder / "replica.sqlite"
        self._made = folder / "made"
        self._connection: sqlite3.Connection | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = (folder / "lock").open("wb")
        except OSError as problem:
            raise _store_error(folder, problem) from problem
        try:
            self._open(folder)
        except BaseException:
            self.close()
            raise

    def _open(self, folder: Path) -> None:
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._connect()
            _sync_folder(folder)  # the file's name, too
        except BlockingIOError as problem:
            raise StoreError(f"{folder}: another process has it") from problem
        except OSError as problem:
            raise _store_error(folder, problem) from problem

    def _connect(self) -> sqlite3.Connection:
        """The connection, made anew after a failure: that undoes what a write has left half done. Raises
        StoreError."""
        if self._connection is not None:
            return self._connection
        connection = None
        try:
            connection = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
            connection.execute("PRAGMA journal_mode=TRUNCATE")
            connection.execute("PRAGMA synchronous=FULL")
            (result,) = connection.execute("PRAGMA quick_check(1)").fetchone()
            self._check(result == "ok", result)
            connection.executescript(TABLES)
        except (sqlite3.DatabaseError, StoreError) as problem:
            if connection is not None:
                connection.close()
            if isinstance(problem, StoreError):
                raise
            raise _store_error(self.path, problem) from problem
        self._connection = connection
        return connection

    def _disconnect(self) -> None:
        """Closes the connection: the system takes its locks back, and the next one undoes what it began."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            with contextlib.suppress(sqlite3.Error):
                connection.close()

    def load(self) -> StoredState:
        """All that was saved. Raises StoreError where a checksum, the order of entries or the format is
        wrong."""
        connection = self._connect()
        try:
            meta = self._load_meta(connection)
            if not meta:
                self._check(not self._made.exists(), "it is empty, and was not")
                return StoredState()
            self._check(meta.get("format") == FORMAT, f"format {meta.get('format')}, expected {FORMAT}")
            snapshot = self._load_snapshot(connection)
            log = self._load_log(connection, snapshot.last_index)
        except sqlite3.DatabaseError as problem:
            raise _store_error(self.path, problem) from problem
        last = snapshot.last_index + len(log)
        self._check(meta.get("last") == last, f"log ends at {last}, expected {meta.get('last')}")
        voted_for = meta.get("voted", NO_VOTE)
        return StoredState(meta["term"], None if voted_for < 0 else voted_for, snapshot, tuple(log))

    def _load_meta(self, connection: sqlite3.Connection) -> dict[str, int]:
        meta: dict[str, int] = {}
        for name, value, checksum in connection.execute("SELECT name, value, crc FROM meta"):
            self._check(checksum == _checksum(name, value), f"meta {name}")
            meta[name] = value
        return meta

    def _load_snapshot(self, connection: sqlite3.Connection) -> Snapshot:
        snapshot = NO_SNAPSHOT
        for index, term, data, checksum in connection.execute("SELECT place, term, data, crc FROM snapshot"):
            self._check(checksum == _checksum(index, term, data), "snapshot")
            snapshot = Snapshot(index, term, data)
        return snapshot

    def _load_log(self, connection: sqlite3.Connection, after: int) -> list[LogEntry]:
        log = []
        rows = connection.execute("SELECT place, term, data, crc FROM log ORDER BY place")
        for expected, (index, term, command, checksum) in enumerate(rows, after + 1):
            self._check(index == expected, f"log: index {index} where {expected} is due")
            self._check(checksum == _checksum(index, term, command), f"log {index}")
            log.append(LogEntry(term, command))
        return log

    def _check(self, holds: bool, what: str) -> None:
        if not holds:
            raise StoreError(f"{self.path}: {what}: not what was written")

    def save(self, saves: Iterable[Save]) -> None:
        """Writes a batch in one transaction; it is on disk on return. Raises StoreRefusedError where the disk
        refuses: the batch is there complete or not at all; other StoreErrors where the store is of no use."""
        try:
            if not self._made.exists():  # from now on, an empty file is one that was lost
                self._made.touch()
                _sync_folder(self._made.parent)
        except OSError as problem:
            raise _store_error(self._made, problem) from problem
        connection = self._connect()
        try:
            connection.execute("BEGIN IMMEDIATE")
            for one in saves:
                self._write(connection, one)
            connection.execute("COMMIT")
        except sqlite3.DatabaseError as problem:
            self._disconnect()
            raise _store_error(self.path, problem) from problem
        except BaseException:
            self._disconnect()
            raise

    def _write(self, connection: sqlite3.Connection, save: Save) -> None:
        if save.snapshot is not None:
            index, term, data = save.snapshot
            row = (1, index, term, data, _checksum(index, term, data))
            connection.execute("INSERT OR REPLACE INTO snapshot VALUES (?, ?, ?, ?, ?)", row)
            connection.execute("DELETE FROM log")
        else:
            connection.execute("DELETE FROM log WHERE place >= ?", (save.start,))
        rows = [
            (index, term, command, _checksum(index, term, command))
            for index, (term, command) in enumerate(save.entries, save.start)
        ]
        connection.executemany("INSERT INTO log VALUES (?, ?, ?, ?)", rows)
        self._write_meta(connection, save)

    def _write_meta(self, connection: sqlite3.Connection, save: Save) -> None:
        meta = {
            "format": FORMAT,
            "term": save.term,
            "voted": NO_VOTE if save.voted_for is None else save.voted_for,
            "last": save.start + len(save.entries) - 1,
        }
        rows = [(name, value, _checksum(name, value)) for name, value in meta.items()]
        connection.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?, ?)", rows)

    def close(self) -> None:
        """Lets the file go."""
        self._disconnect()
        self._lock.close()
