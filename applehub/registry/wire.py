"""The wire format of messages between replicas: JSON lines with the kind, the sender and the fields.

Kinds and keys are part of the wire protocol and differ from the names in the code. Commands and snapshots are
UTF-8 text and are sent as strings."""

from typing import Any

import orjson

from applehub.registry.errors import MessageError
from applehub.registry.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)

# The kind of each message class, and the keys of its fields in order.
ENCODINGS: dict[type[Message], tuple[str, tuple[str, ...]]] = {
    RequestVote: ("Ask", ("term", "trial", "last_index", "last_term")),
    RequestVoteResponse: ("Vote", ("term", "trial", "granted")),
    AppendEntries: ("Append", ("term", "prev_index", "prev_term", "entries", "commit", "sent")),
    AppendEntriesResponse: ("Appended", ("term", "ok", "place", "sent")),
    InstallSnapshot: ("Install", ("term", "snapshot", "sent")),
}
CLASSES = {kind: (message_class, keys) for message_class, (kind, keys) in ENCODINGS.items()}


def encode(sender: int, message: Message) -> bytes:
    """Returns a message as a line of JSON."""
    kind, keys = ENCODINGS[type(message)]
    content: dict[str, object] = {"kind": kind, "from": sender, **dict(zip(keys, message, strict=True))}
    if isinstance(message, AppendEntries):
        content["entries"] = [(term, command.decode()) for term, command in message.entries]
    elif isinstance(message, InstallSnapshot):
        index, term, data = message.snapshot
        content["snapshot"] = (index, term, data.decode())
    return orjson.dumps(content) + b"\n"


def decode(line: bytes) -> tuple[int, Message]:
    """Decodes a line. Returns the sender and the message. Raises MessageError."""
    try:
        fields = orjson.loads(line)
        sender = _check_integer(fields.pop("from"))
        message_class, keys = CLASSES[fields.pop("kind")]
        values = [_decode_value(key, fields.pop(key)) for key in keys]
        message: Message = message_class(*values)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MessageError(
            f"can't decode the message {line[:80]!r}: {type(error).__name__}: {error}"
        ) from error
    if fields:
        raise MessageError(f"message {line[:80]!r} has unknown keys {sorted(fields)}")
    return sender, message


def _decode_value(key: str, value: Any) -> Any:
    """Decodes the value of a field. Raises ValueError, TypeError or AttributeError."""
    if key == "entries":
        return tuple(LogEntry(_check_integer(term), command.encode()) for term, command in value)
    if key == "snapshot":
        index, term, data = value
        return Snapshot(_check_integer(index), _check_integer(term), data.encode())
    return _check_integer(value)


def _check_integer(value: object) -> int:
    if not isinstance(value, int):  # bool is accepted, as a subclass of int
        raise TypeError(f"expected an integer, got {value!r}")
    return value
