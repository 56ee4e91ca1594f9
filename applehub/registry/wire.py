"""Messages between replicas as JSON lines: the message's kind, its sender, its fields. Commands and snapshots
are UTF-8 texts, so they travel as strings."""

from typing import Any

import orjson

from applehub.registry.raft import Append, Appended, Ask, Entry, Install, Message, Snapshot, Vote

KINDS: dict[str, type[Any]] = {one.__name__: one for one in (Ask, Vote, Append, Appended, Install)}


class WireError(ValueError):
    """A line that is no message."""


def encode(sender: int, message: Message) -> bytes:
    told: dict[str, Any] = {"kind": type(message).__name__, "from": sender, **message._asdict()}
    if isinstance(message, Append):
        told["entries"] = [(term, data.decode()) for term, data in message.entries]
    elif isinstance(message, Install):
        place, term, data = message.snapshot
        told["snapshot"] = (place, term, data.decode())
    return orjson.dumps(told) + b"\n"


def decode(line: bytes) -> tuple[int, Message]:
    """Gives the sender and the message. Raises WireError."""
    try:
        told = orjson.loads(line)
        kind, sender = KINDS[told.pop("kind")], told.pop("from")
        if kind is Append:
            told["entries"] = tuple(Entry(term, data.encode()) for term, data in told["entries"])
        elif kind is Install:
            place, term, data = told["snapshot"]
            told["snapshot"] = Snapshot(place, term, data.encode())
        message: Message = kind(**told)
        numbers = [value for value in message if not isinstance(value, tuple)]
        if type(sender) is not int or not all(type(one) in (int, bool) for one in numbers):
            raise WireError(f"{line[:80]!r}: expected numbers")
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        raise WireError(f"{line[:80]!r}: {type(problem).__name__}: {problem}") from None
    return sender, message
