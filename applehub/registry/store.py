"""Persistent storage of a replica: a SQLite database with a rollback journal, synced at each commit, so that
a batch of Saves is stored atomically. Each row has a CRC-32 over its key and content, because SQLite has no
page checksums.

The write-ahead log mode is not used: SQLite treats a corrupt frame as the end of the log, so that one flipped
bit would silently discard all later commits. With a rollback journal, committed data is in the database file,
where the checksums cover it, at the cost of a second sync.

A corrupt store is rejected with an error that names file, row and reason.

If the disk refuses a write (for example because it is full), the stored data is intact. The same Saves are
written again later on a new connection, which first rolls back the failed transaction. A failed write may be
on disk nevertheless (if only the last sync failed), so Saves are idempotent."""

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

FORMAT_VERSION = 1
NO_VOTE = -1  # stored in the row "voted" if the replica has not voted in its term
TABLES = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value INTEGER, crc INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER, data BLOB, crc INTEGER);
CREATE TABLE IF NOT EXISTS snapshot
    (one INTEGER PRIMARY KEY, place INTEGER, term INTEGER, data BLOB, crc INTEGER);
"""
# Errors that may be temporary: a full, failing or read-only disk, and a lack of descriptors or memory.
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
PRIMARY_CODE_MASK = 0xFF  # mask of the primary code in an extended SQLite error code


def _store_error(path: Path, error: OSError | sqlite3.Error) -> StoreError:
    """Returns StoreRefusedError for an error that may be temporary, else StoreError."""
    if isinstance(error, OSError):
        refused = error.errno in REFUSALS
        text = error.strerror or str(error)
    else:
        code = getattr(error, "sqlite_errorcode", sqlite3.SQLITE_ERROR)
        refused = code & PRIMARY_CODE_MASK in SQLITE_REFUSALS
        text = str(error)
    return (StoreRefusedError if refused else StoreError)(f"{path}: {text}")


def _checksum(*parts: object) -> int:
    checksum = 0
    for part in parts:
        checksum = crc32(part if isinstance(part, bytes) else repr(part).encode(), checksum)
    return checksum


def _sync_directory(directory: Path) -> None:
    """Syncs a directory, so that its entries are on disk. Raises OSError."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class ReplicaStore:
    """The database of one replica, locked while it is open."""

    def __init__(self, directory: Path) -> None:
        """Opens the store.

        Raises StoreError if the store is locked by another process or corrupt, and StoreRefusedError if the
        disk refuses access."""
        self.path = directory / "replica.sqlite"
        self._marker = (
            directory / "made"
        )  # exists once a Save was written, so that an empty database is an error
        self._connection: sqlite3.Connection | None = None
        try:
            directory.mkdir(parents=True, exist_ok=True)
            self._lock = (directory / "lock").open("wb")
        except OSError as error:
            raise _store_error(directory, error) from error
        try:
            self._open(directory)
        except BaseException:
            self.close()
            raise

    def _open(self, directory: Path) -> None:
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._connect()
            _sync_directory(directory)  # the entries of new files must be on disk, too
        except BlockingIOError as error:
            raise StoreError(f"{directory}: the store is locked by another process") from error
        except OSError as error:
            raise _store_error(directory, error) from error

    def _connect(self) -> sqlite3.Connection:
        """Returns the open connection, or opens a new one, which rolls back an incomplete transaction.

        Raises StoreError."""
        if self._connection is not None:
            return self._connection
        connection = None
        try:
            connection = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
            connection.execute("PRAGMA journal_mode=TRUNCATE")
            connection.execute("PRAGMA synchronous=FULL")
            (result,) = connection.execute("PRAGMA quick_check(1)").fetchone()
            self._verify(result == "ok", result)
            connection.executescript(TABLES)
        except (sqlite3.DatabaseError, StoreError) as error:
            if connection is not None:
                connection.close()
            if isinstance(error, StoreError):
                raise
            raise _store_error(self.path, error) from error
        self._connection = connection
        return connection

    def _disconnect(self) -> None:
        """Closes the connection, if open; the next connection rolls back an incomplete transaction."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            with contextlib.suppress(sqlite3.Error):
                connection.close()

    def load(self) -> StoredState:
        """Returns the stored state.

        Raises StoreError for a checksum mismatch, a gap in the log or an unknown format version."""
        connection = self._connect()
        try:
            meta = self._load_meta(connection)
            if not meta:
                self._verify(not self._marker.exists(), "empty database, expected stored state")
                return StoredState()
            self._verify(
                meta.get("format") == FORMAT_VERSION,
                f"format version {meta.get('format')}, expected {FORMAT_VERSION}",
            )
            snapshot = self._load_snapshot(connection)
            log = self._load_log(connection, snapshot.last_index)
        except sqlite3.DatabaseError as error:
            raise _store_error(self.path, error) from error
        last = snapshot.last_index + len(log)
        self._verify(meta.get("last") == last, f"log ends at {last}, expected {meta.get('last')}")
        voted_for = meta.get("voted", NO_VOTE)
        return StoredState(meta["term"], None if voted_for < 0 else voted_for, snapshot, tuple(log))

    def _load_meta(self, connection: sqlite3.Connection) -> dict[str, int]:
        meta: dict[str, int] = {}
        for name, value, checksum in connection.execute("SELECT name, value, crc FROM meta"):
            self._verify(checksum == _checksum(name, value), f"checksum mismatch in meta row {name!r}")
            meta[name] = value
        return meta

    def _load_snapshot(self, connection: sqlite3.Connection) -> Snapshot:
        snapshot = NO_SNAPSHOT
        for index, term, data, checksum in connection.execute("SELECT place, term, data, crc FROM snapshot"):
            self._verify(checksum == _checksum(index, term, data), "checksum mismatch in the snapshot")
            snapshot = Snapshot(index, term, data)
        return snapshot

    def _load_log(self, connection: sqlite3.Connection, after: int) -> list[LogEntry]:
        log = []
        rows = connection.execute("SELECT place, term, data, crc FROM log ORDER BY place")
        for expected, (index, term, command, checksum) in enumerate(rows, after + 1):
            self._verify(index == expected, f"log index {index}, expected {expected}")
            self._verify(
                checksum == _checksum(index, term, command), f"checksum mismatch in log entry {index}"
            )
            log.append(LogEntry(term, command))
        return log

    def _verify(self, condition: bool, description: str) -> None:
        if not condition:
            raise StoreError(f"{self.path}: corrupt store: {description}")

    def save(self, saves: Iterable[Save]) -> None:
        """Writes a batch of Saves in one transaction, which is on disk when the method returns.

        Raises StoreRefusedError if the disk refuses the write, in which case the batch is stored completely
        or not at all, and StoreError if the store is unusable."""
        try:
            if not self._marker.exists():
                self._marker.touch()
                _sync_directory(self._marker.parent)
        except OSError as error:
            raise _store_error(self._marker, error) from error
        connection = self._connect()
        try:
            connection.execute("BEGIN IMMEDIATE")
            for save in saves:
                self._write(connection, save)
            connection.execute("COMMIT")
        except sqlite3.DatabaseError as error:
            self._disconnect()
            raise _store_error(self.path, error) from error
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
            "format": FORMAT_VERSION,
            "term": save.term,
            "voted": NO_VOTE if save.voted_for is None else save.voted_for,
            "last": save.start + len(save.entries) - 1,
        }
        rows = [(name, value, _checksum(name, value)) for name, value in meta.items()]
        connection.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?, ?)", rows)

    def close(self) -> None:
        """Closes the database and releases its lock."""
        self._disconnect()
        self._lock.close()
