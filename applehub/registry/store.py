"""A replica's disk: SQLite with a rollback journal, synced at each commit, so that a batch of Saves is there
whole or not at all. Each row carries a checksum of its own (crc32 over its key and content: in the standard
library, and made for flipped bits), since SQLite has none of its pages.

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

from applehub.registry.raft import Entry, Save, Saved, Snapshot

FORMAT = 1
TABLES = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value INTEGER, crc INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER, data BLOB, crc INTEGER);
CREATE TABLE IF NOT EXISTS snapshot
    (one INTEGER PRIMARY KEY, place INTEGER, term INTEGER, data BLOB, crc INTEGER);
"""


class StoreError(RuntimeError):
    """What is on the disk can't be used: file and reason."""


class StoreRefusedError(StoreError):
    """The disk, or the system, refuses for now: nothing is wrong with what it holds."""


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


def _store_error(path: Path, problem: OSError | sqlite3.Error) -> StoreError:
    """The problem as this module tells it."""
    if isinstance(problem, OSError):
        refused = problem.errno in REFUSALS
        return (StoreRefusedError if refused else StoreError)(f"{path}: {problem.strerror or problem}")
    code = getattr(problem, "sqlite_errorcode", sqlite3.SQLITE_ERROR) & 0xFF  # the rest says more of it
    return (StoreRefusedError if code in SQLITE_REFUSALS else StoreError)(f"{path}: {problem}")


def _crc(*parts: object) -> int:
    sum_ = 0
    for part in parts:
        sum_ = crc32(part if isinstance(part, bytes) else repr(part).encode(), sum_)
    return sum_


def _sync_folder(folder: Path) -> None:
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


class Store:
    """The file of one replica, locked while it is open."""

    def __init__(self, folder: Path) -> None:
        """Raises StoreError where another process has it, or it is of no use; StoreRefusedError where the
        disk refuses."""
        self.path, self._made = folder / "replica.sqlite", folder / "made"
        self._base: sqlite3.Connection | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = open(folder / "lock", "wb")  # noqa: SIM115 (held until the process ends)
        except OSError as problem:
            raise _store_error(folder, problem) from problem
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._connection()
            _sync_folder(folder)  # the file's name, too
        except BlockingIOError:
            self.close()
            raise StoreError(f"{folder}: another process has it") from None
        except OSError as problem:
            self.close()
            raise _store_error(folder, problem) from problem
        except StoreError:
            self.close()
            raise

    def _connection(self) -> sqlite3.Connection:
        """The connection, made anew after a failure: that undoes what a write has left half done. Raises
        StoreError."""
        if self._base is not None:
            return self._base
        base = None
        try:
            base = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
            base.execute("PRAGMA journal_mode=TRUNCATE")
            base.execute("PRAGMA synchronous=FULL")
            (said,) = base.execute("PRAGMA quick_check(1)").fetchone()
            if said != "ok":
                raise StoreError(f"{self.path}: {said}")
            base.executescript(TABLES)
        except (sqlite3.DatabaseError, StoreError) as problem:
            if base is not None:
                base.close()
            if isinstance(problem, StoreError):
                raise
            raise _store_error(self.path, problem) from problem
        self._base = base
        return base

    def load(self) -> Saved:
        """All that was saved. Raises StoreError where a checksum, the order of places or the format is
        wrong."""
        base = self._connection()
        try:
            meta = {}
            for name, value, crc in base.execute("SELECT name, value, crc FROM meta"):
                self._check(crc == _crc(name, value), f"meta {name}")
                meta[name] = value
            if not meta:
                self._check(not self._made.exists(), "it is empty, and was not")
                return Saved()
            self._check(meta.get("format") == FORMAT, f"format {meta.get('format')}, expected {FORMAT}")
            snapshot = Snapshot(0, 0, b"")
            for place, term, data, crc in base.execute("SELECT place, term, data, crc FROM snapshot"):
                self._check(crc == _crc(place, term, data), "snapshot")
                snapshot = Snapshot(place, term, data)
            log = []
            rows = base.execute("SELECT place, term, data, crc FROM log ORDER BY place")
            for number, (place, term, data, crc) in enumerate(rows, snapshot.place + 1):
                self._check(place == number, f"log: place {place} where {number} is due")
                self._check(crc == _crc(place, term, data), f"log {place}")
                log.append(Entry(term, data))
            last = snapshot.place + len(log)
            self._check(meta.get("last") == last, f"log ends at {last}, expected {meta.get('last')}")
        except sqlite3.DatabaseError as problem:
            raise _store_error(self.path, problem) from problem
        voted = meta.get("voted", -1)
        return Saved(meta["term"], None if voted < 0 else voted, snapshot, tuple(log))

    def _check(self, holds: bool, what: str) -> None:
        if not holds:
            raise StoreError(f"{self.path}: {what}: not what was written")

    def save(self, saves: Iterable[Save]) -> None:
        """Writes a batch in one transaction; it is on disk on return. Raises StoreRefusedError where the disk
        refuses: the batch is there whole or not at all; other StoreErrors where the store is of no use."""
        try:
            if not self._made.exists():  # from now on, an empty file is one that was lost
                self._made.touch()
                _sync_folder(self._made.parent)
        except OSError as problem:
            raise _store_error(self._made, problem) from problem
        base = self._connection()
        try:
            base.execute("BEGIN IMMEDIATE")
            last = None
            for one in saves:
                last = self._write(base, one)
            if last is not None:
                voted = -1 if last.voted is None else last.voted
                for name, value in (("format", FORMAT), ("term", last.term), ("voted", voted)):
                    self._set(base, name, value)
            base.execute("COMMIT")
        except sqlite3.DatabaseError as problem:
            self._disconnect()
            raise _store_error(self.path, problem) from problem
        except BaseException:
            self._disconnect()
            raise

    def _disconnect(self) -> None:
        """Closes the connection: the system takes its locks back, and the next one undoes what it began."""
        base, self._base = self._base, None
        if base is not None:
            with contextlib.suppress(sqlite3.Error):
                base.close()

    def _write(self, base: sqlite3.Connection, one: Save) -> Save:
        if one.snapshot is not None:
            place, term, data = one.snapshot
            row = (1, place, term, data, _crc(place, term, data))
            base.execute("INSERT OR REPLACE INTO snapshot VALUES (?, ?, ?, ?, ?)", row)
            base.execute("DELETE FROM log")
        else:
            base.execute("DELETE FROM log WHERE place >= ?", (one.start,))
        rows = [
            (place, term, data, _crc(place, term, data))
            for place, (term, data) in enumerate(one.entries, one.start)
        ]
        base.executemany("INSERT INTO log VALUES (?, ?, ?, ?)", rows)
        self._set(base, "last", one.start + len(one.entries) - 1)
        return one

    def _set(self, base: sqlite3.Connection, name: str, value: int) -> None:
        row = (name, value, _crc(name, value))
        base.execute("INSERT OR REPLACE INTO meta VALUES (?, ?, ?)", row)

    def close(self) -> None:
        self._disconnect()
        self._lock.close()
