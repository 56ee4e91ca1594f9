"""The form of a store's file: a header with a checksum, then the value.

All numbers are in network byte order:

| bytes | content |
|---|---|
| 0 to 3 | the magic `aHst` |
| 4 to 5 | version of the value's format |
| 6 to 13 | generation: 1 for the first value of a store, one more for each further one |
| 14 to 17 | length of the value |
| 18 to 21 | CRC-32 of bytes 0 to 17 and of the value |
| from 22 | the value |
"""

import struct
from dataclasses import dataclass
from zlib import crc32

MAGIC = b"aHst"
FIELDS = struct.Struct("!4sHQI")
CHECKSUM = struct.Struct("!I")
HEADER_SIZE = FIELDS.size + CHECKSUM.size  # bytes before the value


class DamagedFrameError(Exception):
    """A file's content is not a complete frame. The text names the first wrong byte's offset, and why."""

    def __init__(self, offset: int, reason: str) -> None:
        """Offset is that of the first byte that is missing or wrong."""
        super().__init__(f"byte {offset}: {reason}")


@dataclass(frozen=True, slots=True)
class Frame:
    """The content of a store's file.

    format_version: of what the value means; generation: its number among the values of the store.
    """

    format_version: int
    generation: int
    value: bytes

    def encode(self) -> bytes:
        """Returns the file's content."""
        fields = FIELDS.pack(MAGIC, self.format_version, self.generation, len(self.value))
        return fields + CHECKSUM.pack(crc32(self.value, crc32(fields))) + self.value


def decode(content: bytes) -> Frame:
    """Returns the frame in a file's content. Raises DamagedFrameError if it is none, or not complete."""
    if len(content) < HEADER_SIZE:
        raise DamagedFrameError(len(content), "the file ends in its header")
    magic, format_version, generation, length = FIELDS.unpack_from(content)
    if magic != MAGIC:
        raise DamagedFrameError(0, "no store of this project")
    if len(content) != HEADER_SIZE + length:
        raise DamagedFrameError(len(content), f"{HEADER_SIZE + length} bytes were expected")
    value = content[HEADER_SIZE:]
    (checksum,) = CHECKSUM.unpack_from(content, FIELDS.size)
    if checksum != crc32(value, crc32(content[: FIELDS.size])):
        raise DamagedFrameError(FIELDS.size, "the checksum does not match")
    return Frame(format_version, generation, value)
