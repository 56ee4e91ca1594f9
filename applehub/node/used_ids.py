"""Remembers the ids of requests that may have been executed and must not be executed again.

An id that comes again, after its client has left or at the other process of an upgrade, is rejected for
RETENTION seconds. The table has a fixed size; beyond it the oldest ids are forgotten. Ids are stored as
digests with their time of expiry. With a file, which both processes use, an id is known to either at once.
"""

import hashlib
import logging
import os
import struct
from typing import Protocol

BUCKETS = 1024
RECORDS_PER_BUCKET = 8
RETENTION = 60.0  # seconds; longer than any client waits
DIGEST_SIZE = 16  # bytes
NS_PER_S = 1_000_000_000
RECORD = struct.Struct(f"<{DIGEST_SIZE}sq")  # digest, expiry in monotonic ns
BUCKET_SIZE = RECORD.size * RECORDS_PER_BUCKET
FILE_NAME = "applehub.ids"
log = logging.getLogger("applehub")


class Storage(Protocol):
    """The bytes of a table."""

    def read(self, position: int, size: int) -> bytes:
        """Returns bytes, fewer than `size` if none were ever written there; raises OSError."""

    def write(self, position: int, data: bytes) -> None:
        """Writes bytes; raises OSError."""


class MemoryStorage:
    """A table of this process alone."""

    def __init__(self) -> None:
        self._data = bytearray(BUCKETS * BUCKET_SIZE)

    def read(self, position: int, size: int) -> bytes:
        """Returns bytes."""
        return bytes(self._data[position : position + size])

    def write(self, position: int, data: bytes) -> None:
        """Writes bytes."""
        self._data[position : position + len(data)] = data


class FileStorage:
    """A table that the processes of a router share. A record is written by one system call."""

    def __init__(self, folder: str) -> None:
        """Opens or creates the file; raises OSError."""
        path = os.path.join(folder, FILE_NAME)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def read(self, position: int, size: int) -> bytes:
        """Returns bytes; raises OSError."""
        return os.pread(self._descriptor, size, position)

    def write(self, position: int, data: bytes) -> None:
        """Writes bytes; raises OSError."""
        if os.pwrite(self._descriptor, data, position) != len(data):
            raise OSError("an id was written in part")

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


class IdTable:
    """A hash table of ids in a storage, with buckets of a fixed size."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage

    def add(self, digest: bytes, now: int) -> None:
        """Remembers a digest, in place of the record of its bucket that expires first. Raises OSError.

        now: monotonic ns.
        """
        records = self._records(digest)
        expiries = [expiry if stored != digest else -1 for stored, expiry in records]
        oldest = expiries.index(min(expiries))
        self._write(digest, oldest, RECORD.pack(digest, now + int(RETENTION * NS_PER_S)))

    def remove(self, digest: bytes) -> None:
        """Forgets a digest. Raises OSError."""
        for number, (stored, _) in enumerate(self._records(digest)):
            if stored == digest:
                self._write(digest, number, bytes(RECORD.size))

    def contains(self, digest: bytes, now: int) -> bool:
        """Returns whether a digest is remembered. Raises OSError.

        A time of expiry that is too far away was written before the machine was restarted.
        """
        latest = now + int(RETENTION * NS_PER_S)
        return any(stored == digest and now < expiry <= latest for stored, expiry in self._records(digest))

    @staticmethod
    def _position(digest: bytes) -> int:
        return int.from_bytes(digest[:4], "little") % BUCKETS * BUCKET_SIZE

    def _records(self, digest: bytes) -> list[tuple[bytes, int]]:
        data = self._storage.read(self._position(digest), BUCKET_SIZE).ljust(BUCKET_SIZE, b"\0")
        return list(RECORD.iter_unpack(data))

    def _write(self, digest: bytes, number: int, record: bytes) -> None:
        self._storage.write(self._position(digest) + number * RECORD.size, record)


class UsedIds:
    """The ids of requests that may have been executed, by this process or another one of the router."""

    def __init__(self) -> None:
        self._own = IdTable(MemoryStorage())
        self._shared: IdTable | None = None
        self._file: FileStorage | None = None
        self._file_failed = False  # whether the last use of the file failed

    def share(self, folder: str) -> None:
        """Shares ids through a file in `folder`; if it can't be opened, only this process's ids are known."""
        try:
            self._file = FileStorage(folder)
        except OSError as error:
            log.warning("ids of requests are not shared with other processes: %s", error)
            return
        self._shared = IdTable(self._file)

    def add(self, request_id: bytes, now: int) -> None:
        """Remembers an id. now: monotonic ns."""
        digest = _digest(request_id)
        self._own.add(digest, now)
        if self._shared is not None:
            try:
                self._shared.add(digest, now)
            except OSError as error:
                self._report(error)
            else:
                self._file_failed = False

    def remove(self, request_id: bytes) -> None:
        """Forgets the id of a request that was not executed."""
        digest = _digest(request_id)
        self._own.remove(digest)
        if self._shared is not None:
            try:
                self._shared.remove(digest)
            except OSError as error:
                self._report(error)

    def contains(self, request_id: bytes, now: int) -> bool:
        """Returns whether an id is remembered. now: monotonic ns."""
        digest = _digest(request_id)
        if self._own.contains(digest, now):
            return True
        if self._shared is None:
            return False
        try:
            return self._shared.contains(digest, now)
        except OSError as error:
            self._report(error)
            return False

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = self._shared = None

    def _report(self, error: OSError) -> None:
        """Logs the first of consecutive failures."""
        if not self._file_failed:
            log.warning("sharing the ids of requests with other processes failed: %s", error)
        self._file_failed = True


def _digest(request_id: bytes) -> bytes:
    return hashlib.blake2b(request_id, digest_size=DIGEST_SIZE).digest()
