"""The commands in the replicated log, and their JSON encoding.

The kinds and keys are part of the storage format: logs written by earlier versions contain them."""

from dataclasses import dataclass, fields
from enum import StrEnum

import orjson

from applehub.registry.errors import CommandError

EndpointFields = dict[
    str, str | int | float
]  # fields of an entry in responses to routers, except uid and state


class ServerState(StrEnum):
    """The state of a server in the list."""

    READY = "Ready"
    TERMINATING = "Terminating"
    GONE = "Gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutServer:
    """Registers or updates a server.

    expected: the version that the entry must have (0: the entry must not exist), or None for any.
    base: the first version of the list if it is still empty."""

    uid: str
    fields: EndpointFields
    endpoints: dict[str, str]  # endpoint by view, for views that do not use the default endpoint
    state: ServerState
    lease_ms: int  # 0: the entry never expires
    expected: int | None = None
    base: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SetState:
    """Changes the state of a server.

    expected, base: as for PutServer."""

    uid: str
    state: ServerState
    expected: int | None = None
    base: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SetLock:
    """Assigns a lock to a holder, or releases it (holder "").

    expected: the fencing number that the lock must have; 0 if the lock must not exist.
    base: the first fencing number of a new lock."""

    name: str
    holder: str
    lease_ms: int
    expected: int
    base: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SetSuspect:
    """Marks servers as suspect because their leases expired (`on`), or clears the marks."""

    on: bool
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveSuspects:
    """Sets the state of the given servers to Gone, except those that are no longer suspect."""

    uids: tuple[str, ...]


Command = PutServer | SetState | SetLock | SetSuspect | RemoveSuspects
KINDS: dict[type[Command], str] = {
    PutServer: "put",
    SetState: "state",
    SetLock: "lock",
    SetSuspect: "suspect",
    RemoveSuspects: "gone",
}
CLASSES: dict[str, type[Command]] = {kind: command_class for command_class, kind in KINDS.items()}


def encode(command: Command) -> bytes:
    """Returns the encoded command for the log."""
    content = {field.name: getattr(command, field.name) for field in fields(command)}
    return orjson.dumps({"do": KINDS[type(command)], **content})


def decode(data: bytes) -> Command | None:
    """Decodes a command. Returns None for an empty entry and for a kind that this version does not know.

    Raises CommandError."""
    if not data:
        return None
    try:
        content = orjson.loads(data)
        command_class = CLASSES.get(content.pop("do"))
        if command_class is None:
            return None
        if "state" in content:
            content["state"] = ServerState(content["state"])
        if "uids" in content:
            content["uids"] = tuple(content["uids"])
        field_names = {field.name for field in fields(command_class)}
        return command_class(**{key: value for key, value in content.items() if key in field_names})
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise CommandError(
            f"can't decode the command {data[:80]!r}: {type(error).__name__}: {error}"
        ) from error
