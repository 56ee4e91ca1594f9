"""The records that a process holds of all writers.

The merge keeps, for each key, the highest version; of one version the record with the earlier creation; and
of each subject the writers with the lowest ids. Both are a maximum over a total order and the lowest k of a
union, so the merge is commutative, associative and idempotent.
"""

from collections.abc import Iterator

from applehub.peers.records import RETENTION, Body, Record, RecordKey, Verdict

MAX_SUBJECTS = 4096  # servers that verdicts are held of, those with the lowest digests; fleets have 3,200


class RecordStore:
    """Records that are not too old, bounded in the writers of a subject and in the subjects."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.records: dict[RecordKey, Record] = {}
        self.writers: dict[tuple[type[Body], int], list[int]] = {}
        self.judged: set[int] = set()  # digests of the servers that verdicts are held of

    def merge(self, record: Record) -> bool:
        """Take up a record; return whether it was not known before in this version."""
        key = record.key
        held = self.records.get(key)
        if held is not None:
            if not record.supersedes(held):
                return False
            self.records[key] = record
            return record.version > held.version
        if not self._make_room_for_writer(key):
            return False
        self.writers.setdefault((key.body_type, key.subject), []).append(key.writer)
        self.records[key] = record
        if key.body_type is Verdict:
            self.judged.add(key.subject)
        return not self._evicts_subject_of(key)

    def expire(self, now: int) -> list[RecordKey]:
        """Drop records older than their type allows; return their keys."""
        expired = [
            key
            for key, record in self.records.items()
            if now - record.created_at > RETENTION[key.body_type].max_age
        ]
        for key in expired:
            self._drop(key)
        return expired

    def fresh_records(self, body_type: type[Body], subject: int, now: int) -> Iterator[Record]:
        """Yield the records of one subject that still count."""
        max_age = RETENTION[body_type].max_age
        for writer in self.writers.get((body_type, subject), ()):
            record = self.records[RecordKey(body_type, subject, writer)]
            if now - record.created_at <= max_age:
                yield record

    def judged_servers(self) -> list[int]:
        """Return the digests of the servers that verdicts are held of."""
        return list(self.judged)

    def _make_room_for_writer(self, key: RecordKey) -> bool:
        """Drop the highest writer of a full subject; return False where the new one is higher still."""
        writers = self.writers.get((key.body_type, key.subject), [])
        if len(writers) < RETENTION[key.body_type].max_writers:
            return True
        highest = max(writers)
        if key.writer > highest:
            return False
        self._drop(key._replace(writer=highest))
        return True

    def _evicts_subject_of(self, key: RecordKey) -> bool:
        """Drop the highest judged server if there are too many; return whether it is the key's."""
        if key.body_type is not Verdict or len(self.judged) <= MAX_SUBJECTS:
            return False
        highest = max(self.judged)
        for writer in list(self.writers[Verdict, highest]):
            self._drop(RecordKey(Verdict, highest, writer))
        return highest == key.subject

    def _drop(self, key: RecordKey) -> None:
        del self.records[key]
        subject = key.body_type, key.subject
        self.writers[subject].remove(key.writer)
        if not self.writers[subject]:
            del self.writers[subject]
            if key.body_type is Verdict:
                self.judged.discard(key.subject)
