"""One value on a disk, in two generations: after a crash or a loss of power the last that was acknowledged,
or the one that was under way, and never half of one.

A file holds, network order: magic 4s, format H, generation Q, length I, CRC-32 I over the four before and the
value; then the value.
"""

import struct
from dataclasses import dataclass, field
from zlib import crc32

from applehub.durable.folder import Disk

MAGIC = b"aHst"
FRAME = struct.Struct("!4sHQI")
SUM = struct.Struct("!I")
HEAD = FRAME.size + SUM.size
MOST = 64 << 20  # bytes of a value


class StoreError(Exception):
    """The store can't be opened for writing, or a value can't be kept."""


@dataclass(frozen=True, slots=True)
class Found:
    """What a file holds."""

    form: int
    generation: int
    value: bytes


@dataclass(slots=True)
class Loaded:
    """What a store gives: the value, none where there is none, and why files were passed over."""

    value: bytes | None = None
    generation: int = 0
    passed_over: list[str] = field(default_factory=list)


def framed(form: int, generation: int, value: bytes) -> bytes:
    """The file's content."""
    head = FRAME.pack(MAGIC, form, generation, len(value))
    return head + SUM.pack(crc32(value, crc32(head))) + value


def _read(content: bytes) -> Found | str:
    """What it holds, or why it is no good: an offset and a reason."""
    if len(content) < HEAD:
        return f"byte {len(content)}: the file ends in its head"
    magic, form, generation, length = FRAME.unpack_from(content)
    if magic != MAGIC:
        return "byte 0: no store of this project"
    if len(content) != HEAD + length:
        return f"byte {len(content)}: {HEAD + length} bytes were expected"
    if SUM.unpack_from(content, FRAME.size)[0] != crc32(content[HEAD:], crc32(content[: FRAME.size])):
        return f"byte {FRAME.size}: the checksum does not match"
    return Found(form, generation, content[HEAD:])


class Store:
    """A named value in a folder. form: the version of what the value means; a newer one is not read."""

    def __init__(self, disk: Disk, name: str, form: int) -> None:
        self.disk, self.name, self.form = disk, name, form
        self.files = (f"{name}.0", f"{name}.1")
        self.last = 0  # the highest generation that was seen, of whatever format
        self.next = 0  # which of the files is written over: never the newest whole one
        self.pinned: int | None = None  # one that a newer program wrote
        self.held = False

    def open(self) -> Loaded:
        """Holds the store for writing and reads it. Raises StoreError where another process does, OSError."""
        if not self.held:
            if not self.disk.lock(f"{self.name}.lock"):
                raise StoreError(f"{self.name}: another process holds it")
            self.held = True
        try:
            return self.load()
        except OSError:
            self.close()  # who saves must know the generations and which file to keep: it is opened anew
            raise

    def load(self) -> Loaded:
        """Reads it: the highest whole generation. Raises OSError where the disk refuses."""
        loaded, whole, newer = Loaded(), dict[int, Found](), dict[int, int]()
        contents = [self.disk.read(file) for file in self.files]  # all, before anything is noted of them
        for place, (file, content) in enumerate(zip(self.files, contents, strict=True)):
            if content is None:
                continue
            found = _read(content)
            if isinstance(found, str):
                loaded.passed_over.append(f"{file}: {found}")
                continue
            self.last = max(self.last, found.generation)
            if found.form > self.form:
                loaded.passed_over.append(f"{file}: byte 4: format {found.form}, known is {self.form}")
                newer[place] = found.generation
            else:
                whole[place] = found
        self.pinned = max(newer, key=lambda place: newer[place], default=None)  # its latest stays
        newest = max(whole, key=lambda place: whole[place].generation, default=None)
        if newest is not None:
            loaded.value, loaded.generation = whole[newest].value, whole[newest].generation
        self.next = 0 if newest is None else 1 - newest
        return loaded

    def save(self, value: bytes) -> None:
        """Keeps a value; once this returns it outlives a loss of power. Raises StoreError: then the one
        before holds. Raises OSError: then `load` gives the one before or, where only the folder's sync was
        refused, this one, and after a loss of power either."""
        if not self.held:
            raise StoreError(f"{self.name}: not open for writing")
        if len(value) > MOST:
            raise StoreError(f"{self.name}: {len(value)} bytes, {MOST} at most")
        beside = f"{self.name}.new"
        self.disk.write(beside, framed(self.form, self.last + 1, value))
        self.disk.sync(beside)
        place = self.next if self.pinned is None else 1 - self.pinned
        self.disk.rename(beside, self.files[place])
        self.last, self.next = self.last + 1, 1 - place
        self.disk.sync_names()

    def close(self) -> None:
        """Lets go."""
        if self.held:
            self.held = False
            self.disk.unlock(f"{self.name}.lock")
