"""File format of a store: a header with a checksum, followed by the value.

All numbers are in network byte order:

| bytes | content |
|---|---|
| 0 to 3 | the magic `aHst` |
| 4 to 5 | format version of the value |
| 6 to 13 | generation, which starts at 1 and grows by 1 with each saved value |
| 14 to 17 | length of the value in bytes |
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
    """A file's content is not a complete frame. The message has the byte offset and the reason."""

    def __init__(self, offset: int, reason: str) -> None:
        """Takes the offset of the first missing or wrong byte."""
        super().__init__(f"byte {offset}: {reason}")


@dataclass(frozen=True, slots=True)
class Frame:
    """The decoded content of a store's file.

    `format_version` is the version of the value's encoding; `generation` grows by 1 with each saved value.
    """

    format_version: int
    generation: int
    value: bytes

    def encode(self) -> bytes:
        """Returns the encoded file content."""
        fields = FIELDS.pack(MAGIC, self.format_version, self.generation, len(self.value))
        return fields + CHECKSUM.pack(crc32(self.value, crc32(fields))) + self.value


def decode(content: bytes) -> Frame:
    """Decodes a file's content. Raises DamagedFrameError if it is not a complete frame."""
    if len(content) < HEADER_SIZE:
        raise DamagedFrameError(len(content), "the file ends within the header")
    magic, format_version, generation, length = FIELDS.unpack_from(content)
    if magic != MAGIC:
        raise DamagedFrameError(0, "the file does not start with the store's magic bytes")
    if len(content) != HEADER_SIZE + length:
        raise DamagedFrameError(len(content), f"expected {HEADER_SIZE + length} bytes")
    value = content[HEADER_SIZE:]
    (checksum,) = CHECKSUM.unpack_from(content, FIELDS.size)
    if checksum != crc32(value, crc32(content[: FIELDS.size])):
        raise DamagedFrameError(FIELDS.size, "the checksum does not match")
    return Frame(format_version, generation, value)
