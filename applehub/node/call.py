"""Client commands and the results of attempts to execute them."""

import math
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from applehub.interface import LoadReport, Status
from applehub.node.memory_budget import MemoryBudget
from applehub.node.reasons import ServerClose
from applehub.node.resp import MAX_BUFFERED_VALUE
from applehub.node.stream import Source, Stream
from applehub.settings import LOAD_FIELDS, Names

MAX_INFO_FIELDS = 64  # maximum names of a parameter list; the protocol has about a dozen
PRINTABLE_ASCII = re.compile(rb"[!-~]+")  # allowed in a client's ids and parameter lists, and in HTTP headers
LOAD_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")  # a value in a load report
MAX_WAIT_MS = 3_600_000
NS_PER_MS = 1_000_000
MIN_TIME_LEFT = NS_PER_MS  # ns; the time left is sent in whole milliseconds and must not be 0


class CallError(ValueError):
    """A command that is complete but invalid."""


class NoTimeLeftError(Exception):
    """The deadline of an attempt passed before any byte of its request was written."""


@dataclass(slots=True, eq=False)
class Call:
    """A client's command. The key, id, info (its parameter list) and value are forwarded as received."""

    name: bytes
    key: bytes
    id: bytes
    info: bytes
    value: bytes | bytearray | None
    class_index: int
    class_name: str  # name of the request class; unlike the index, it stays valid after a reload
    tenant: int
    wait_ms: int | None  # the client stops waiting this many ms after it sent the command
    is_retry: bool

    @property
    def size(self) -> int:
        return len(self.key) + len(self.id) + len(self.info) + len(self.value or b"")

    def info_with_wait(self, wait_ms: int) -> bytes:
        """Returns the parameter list with `d`, the client's waiting time, replaced by the router's (ms)."""
        time_field = b"d=%d" % wait_ms
        if self.wait_ms is None:
            return self.info + b"," + time_field
        return b",".join(time_field if field.startswith(b"d=") else field for field in self.info.split(b","))


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt.

    value: empty unless the status is OK. note: number of the cache server's note, 0 for none.
    """

    status: Status
    value: bytes | bytearray = b""
    note: int = 0
    load: LoadReport | None = None


class Carrier(Protocol):
    """The connection that carries an attempt."""

    unsent: bool  # whether the request is not completely written and so cannot have been executed
    response_size: int  # bytes of the response received so far

    @property
    def sending(self) -> bool:
        """Whether a part of the request has not left this machine, so that the server cannot have started."""

    @property
    def has_unread_response(self) -> bool:
        """Whether the kernel holds bytes of the response, or its end, that were not read yet."""

    @property
    def undelivered(self) -> bool:
        """Whether the server has not yet acknowledged the complete request."""

    @property
    def connected(self) -> bool:
        """Whether the connection was established for its current or latest attempt."""

    def abort_attempt(self, reason: ServerClose) -> bool:
        """Aborts the attempt in flight; returns whether the server may have executed it."""


@dataclass(slots=True, eq=False)
class Exchange:
    """An attempt as passed to its connection: the command, the deadline and the callbacks."""

    call: Call
    deadline: int  # monotonic ns
    on_done: Callable[[AttemptResult], None]
    # Called when a long value starts, with its size in bytes and its source; returns the stream, or None if
    # no client waits for the value.
    on_long_value: Callable[[int, Source], Stream | None] = lambda size, source: None
    # Called with the first bytes of a response, unless they complete it.
    on_response_started: Callable[[], None] = lambda: None
    memory: MemoryBudget | None = None  # accounts for the buffered part of a long response
    carrier: Carrier | None = None
    deliver_by: float = math.inf  # monotonic ns by which the server must have received the complete request
    # Called right before the first byte is written. If it returns False, the attempt has been cancelled.
    still_wanted: Callable[[], bool] = lambda: True

    def info(self) -> bytes:
        """Returns the parameter list to send, whose `d` is the time left in whole milliseconds.

        Raises NoTimeLeftError if less than a millisecond is left.
        """
        time_left = self.deadline - time.monotonic_ns()
        if time_left < MIN_TIME_LEFT:
            raise NoTimeLeftError
        return self.call.info_with_wait(time_left // NS_PER_MS)


def read_call(parts: list[bytes], names: Names) -> Call:
    """Parses `C.GET key id info` or `C.SET key id info value`; raises CallError."""
    name = parts[0].upper()
    if len(parts) != (5 if name == b"C.SET" else 4):
        raise CallError("wrong number of arguments")
    key, call_id, info = parts[1:4]
    if (
        not key
        or len(key) > MAX_BUFFERED_VALUE
        or not PRINTABLE_ASCII.fullmatch(call_id)
        or not PRINTABLE_ASCII.fullmatch(info)
    ):
        raise CallError("invalid key, id or list")
    if info.count(b",") >= MAX_INFO_FIELDS:
        raise CallError(f"a list of more than {MAX_INFO_FIELDS} names")
    fields: dict[str, str] = {}
    for pair in info.decode().split(","):
        field, equals, value = pair.partition("=")
        if not equals or field in fields:
            raise CallError("invalid list of names and values")
        fields[field] = value
    class_name = fields.get("c", "")
    class_index = names.classes.get(class_name)
    if class_index is None:
        raise CallError("unknown class")
    tenant = names.tenants.get(fields["t"]) if "t" in fields else 0
    if tenant is None:
        raise CallError("unknown tenant")
    wait_text = fields.get("d")
    if wait_text is not None and (
        not wait_text.isdigit() or len(wait_text) > 7 or int(wait_text) > MAX_WAIT_MS
    ):
        raise CallError("invalid d")
    stored_value = parts[4] if name == b"C.SET" else None
    wait_ms = None if wait_text is None else int(wait_text)
    is_retry = fields.get("r") == "1"
    return Call(name, key, call_id, info, stored_value, class_index, class_name, tenant, wait_ms, is_retry)


def read_load(report: object) -> LoadReport | None:
    """Parses a load report of name=value pairs, given as bytes or text; skips unknown names.

    Returns None for a report that is truncated or invalid, or has no known name.
    """
    text = report.decode("ascii", "replace") if isinstance(report, bytes) else report
    if not isinstance(text, str) or not text:
        return None
    fields: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        if not name or not LOAD_VALUE.fullmatch(value):
            return None
        if name in LOAD_FIELDS:
            fields[LOAD_FIELDS[name]] = float(value)
    return LoadReport(**fields) if fields else None
