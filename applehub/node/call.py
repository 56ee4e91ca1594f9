"""A client's command, as it came, and the outcome of one attempt at it."""

import math
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from applehub.interface import Load, Status
from applehub.node.memory_budget import MemoryBudget
from applehub.node.resp import MOST_VALUE
from applehub.node.stream import Source, Stream
from applehub.settings import LOAD, Names

PLAIN = re.compile(rb"[!-~]+")  # fit for a list of names and values, and for an HTTP header
FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")  # of a load report
MOST_WAIT = 3_600_000  # ms
MILLI = 1_000_000
LEAST_TOLD = MILLI  # ns; time left is told in whole milliseconds, and none is nothing to tell


class CallError(ValueError):
    """A command that is whole but makes no sense."""


class NoTimeLeftError(Exception):
    """The time of an attempt is over before any of it was written."""


@dataclass(slots=True, eq=False)
class Call:
    """One command of a client; key, id, info and value go on as they came."""

    name: bytes
    key: bytes
    id: bytes
    info: bytes
    value: bytes | bytearray | None
    cls: int
    kind: str  # the name of its class, which outlives the index
    tenant: int
    wait: int | None  # ms until the client gives up, from when it sent the command
    repeat: bool

    @property
    def size(self) -> int:
        return len(self.key) + len(self.id) + len(self.info) + len(self.value or b"")

    def info_for(self, wait: int) -> bytes:
        """The list with the milliseconds that the router will wait, in place of the client's."""
        told = b"d=%d" % wait
        if self.wait is None:
            return self.info + b"," + told
        return b",".join(told if one.startswith(b"d=") else one for one in self.info.split(b","))


@dataclass(slots=True)
class Ending:
    """How an attempt ended; a value only where it was served."""

    status: Status
    value: bytes | bytearray = b""
    note: int = 0
    load: Load | None = None


class Carrier(Protocol):
    """What an attempt is made on."""

    unsent: bool  # what is asked is not yet wholly with the system: it has not run

    @property
    def connected(self) -> bool:
        """Whether it came up for the attempt that it carries, or carried last."""

    def give_up(self) -> bool:
        """Ends the attempt that is out; whether it may have run."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt as a connection sees it: what to ask, until when the router waits, whom to tell."""

    call: Call
    until: int  # monotonic ns
    done: Callable[[Ending], None]
    # Called when a long value begins, with its size: where its pieces go, or none if nobody waits.
    opened: Callable[[int, Source], Stream | None] = lambda size, source: None
    room: MemoryBudget | None = None  # where what is held of a long answer counts
    carrier: Carrier | None = None
    begin_by: float = math.inf  # monotonic ns from which on none of it may be written any more
    # Asked right before its first byte is written: whether anybody still wants it. Where not, it has ended.
    wanted: Callable[[], bool] = lambda: True

    def info(self) -> bytes:
        """The list of names and values as the peer is to read it now; raises NoTimeLeftError.

        Its `d` tells the whole milliseconds that are left of the time that the router waits."""
        left = self.until - time.monotonic_ns()
        if left < LEAST_TOLD:
            raise NoTimeLeftError
        return self.call.info_for(left // MILLI)


def read_call(parts: list[bytes], names: Names) -> Call:
    """Reads C.GET key id info, or C.SET key id info value."""
    name = parts[0].upper()
    if len(parts) != (5 if name == b"C.SET" else 4):
        raise CallError("wrong number of arguments")
    key, identity, info = parts[1:4]
    if not key or len(key) > MOST_VALUE or not PLAIN.fullmatch(identity) or not PLAIN.fullmatch(info):
        raise CallError("invalid key, id or list")
    fields: dict[str, str] = {}
    for pair in info.decode().split(","):
        field, equals, value = pair.partition("=")
        if not equals or field in fields:
            raise CallError("invalid list of names and values")
        fields[field] = value
    kind = fields.get("c", "")
    cls = names.classes.get(kind)
    if cls is None:
        raise CallError("unknown class")
    tenant = names.tenants.get(fields["t"]) if "t" in fields else 0
    if tenant is None:
        raise CallError("unknown tenant")
    wait = fields.get("d")
    if wait is not None and (not wait.isdigit() or len(wait) > 7 or int(wait) > MOST_WAIT):
        raise CallError("invalid d")
    value_sent = parts[4] if name == b"C.SET" else None
    number = None if wait is None else int(wait)
    repeat = fields.get("r") == "1"
    return Call(name, key, identity, info, value_sent, cls, kind, tenant, number, repeat)


def read_load(report: object) -> Load | None:
    """Reads a load report, names and values as bytes or text. One that is cut off or makes no sense counts as
    none; names that are not known are skipped."""
    text = report.decode("ascii", "replace") if isinstance(report, bytes) else report
    if not isinstance(text, str) or not text:
        return None
    fields: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        if not name or not FIGURE.fullmatch(value):
            return None
        if name in LOAD:
            fields[LOAD[name]] = float(value)
    return Load(**fields) if fields else None
