"""The commands that the replicas agree on, as they stand in the log: JSON, read once, when they are applied.

Kinds and keys are those of logs that earlier versions have written."""

from dataclasses import dataclass, fields
from enum import StrEnum

import orjson

from applehub.registry.errors import CommandError

EndpointFields = dict[str, str | int | float]  # what the protocol's entries hold beside id and state


class ServerState(StrEnum):
    """What the list says of a server."""

    READY = "Ready"
    TERMINATING = "Terminating"
    GONE = "Gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class PutServer:
    """Registers a server, or changes it.

    expected: the version that the entry has to have (0: none yet), or none: any. base: the version with which
    a fresh list begins."""

    uid: str
    fields: EndpointFields
    endpoints: dict[str, str]  # by view, where that is not the endpoint that all are given
    state: ServerState
    lease_ms: int  # 0: the entry stays until it is taken out
    expected: int | None = None
    base: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SetState:
    """Changes the state of a server."""

    uid: str
    state: ServerState
    expected: int | None = None
    base: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SetLock:
    """Gives a lock to a holder, or to nobody (""). expected: the fencing number that it has to have."""

    name: str
    holder: str
    lease_ms: int
    expected: int
    base: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SetSuspect:
    """Marks servers whose leases have run out, or takes the marks away."""

    on: bool
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveSuspects:
    """Sets those of these servers that are still suspect to gone."""

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
    """The command as it stands in the log."""
    content = {field.name: getattr(command, field.name) for field in fields(command)}
    return orjson.dumps({"do": KINDS[type(command)], **content})


def decode(data: bytes) -> Command | None:
    """Reads a command; none: there is none, or one that this version does not know. Raises CommandError."""
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
        known = {field.name for field in fields(command_class)}
        return command_class(**{key: value for key, value in content.items() if key in known})
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        raise CommandError(f"{data[:80]!r}: {type(problem).__name__}: {problem}") from problem
