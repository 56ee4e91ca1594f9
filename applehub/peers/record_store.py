"""The gossip records that a process has received or published.

For each key, a merge keeps the record with the highest version and, within a version, the earliest creation
time. For each subject, a merge keeps the records of the writers with the lowest ids. The former is a maximum
over a total order and the latter the lowest k of a union, so merges commute, associate and are idempotent.
"""

from collections.abc import Iterator

from applehub.peers.records import RETENTION, Body, Record, RecordKey, Verdict

# Servers with stored verdicts, above which the highest digest is evicted; fleets have up to 3,200 servers.
MAX_VERDICT_SUBJECTS = 4096


class RecordStore:
    """Records by key, with a limit on the writers per subject and on the servers with verdicts."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.records: dict[RecordKey, Record] = {}
        self.writers: dict[tuple[type[Body], int], list[int]] = {}  # member ids by record type and subject
        self.verdict_subjects: set[int] = set()  # digests of the servers with stored verdicts

    def merge(self, record: Record) -> bool:
        """Merges a record; returns whether it was stored and its version is new."""
        key = record.key
        current = self.records.get(key)
        if current is not None:
            if not record.supersedes(current):
                return False
            self.records[key] = record
            return record.version > current.version
        if not self._free_writer_slot(key):
            return False
        self.writers.setdefault((key.body_type, key.subject), []).append(key.writer)
        self.records[key] = record
        if key.body_type is Verdict:
            self.verdict_subjects.add(key.subject)
        return not self._evict_excess_subject(key)

    def expire(self, now: int) -> list[RecordKey]:
        """Removes the records older than the maximum age of their type; returns their keys."""
        expired = [
            key
            for key, record in self.records.items()
            if now - record.created_at > RETENTION[key.body_type].max_age
        ]
        for key in expired:
            self._remove(key)
        return expired

    def fresh_records(self, body_type: type[Body], subject: int, now: int) -> Iterator[Record]:
        """Yields the records of one subject that are within the maximum age."""
        max_age = RETENTION[body_type].max_age
        for writer in self.writers.get((body_type, subject), ()):
            record = self.records[RecordKey(body_type, subject, writer)]
            if now - record.created_at <= max_age:
                yield record

    def list_verdict_subjects(self) -> list[int]:
        """Returns the digests of the servers with stored verdicts."""
        return list(self.verdict_subjects)

    def _free_writer_slot(self, key: RecordKey) -> bool:
        """Evicts the highest writer of a full subject; returns False if the new writer is even higher."""
        writers = self.writers.get((key.body_type, key.subject), [])
        if len(writers) < RETENTION[key.body_type].max_writers:
            return True
        highest = max(writers)
        if key.writer > highest:
            return False
        self._remove(key._replace(writer=highest))
        return True

    def _evict_excess_subject(self, key: RecordKey) -> bool:
        """Evicts the highest digest above the limit; returns whether this is the subject of the key."""
        if key.body_type is not Verdict or len(self.verdict_subjects) <= MAX_VERDICT_SUBJECTS:
            return False
        highest = max(self.verdict_subjects)
        for writer in list(self.writers[Verdict, highest]):
            self._remove(RecordKey(Verdict, highest, writer))
        return highest == key.subject

    def _remove(self, key: RecordKey) -> None:
        del self.records[key]
        subject = key.body_type, key.subject
        self.writers[subject].remove(key.writer)
        if not self.writers[subject]:
            del self.writers[subject]
            if key.body_type is Verdict:
                self.verdict_subjects.discard(key.subject)
