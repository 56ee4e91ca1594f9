"""Runs many routers in one process and translates between the simulator's JSON protocol and their events."""

import sys
import traceback
from collections.abc import Callable
from typing import Any, Protocol

import orjson

from applehub import interface as io
from applehub.policy import Balancer
from applehub.settings import LOAD_FIELDS, Json, SettingError, read_settings

STATUS = {
    "completed": io.Status.OK,
    "errored": io.Status.ERROR,
    "saturated": io.Status.FULL,
    "overdue": io.Status.TIMEOUT,
    "refused_conn": io.Status.CONNECT_FAILED,
    "severed": io.Status.RESET,
    "recalled": io.Status.CANCELLED,
    "superseded": io.Status.MOOT,
    "lookup_miss": io.Status.MISS,
}
STATE = {"SERVING": io.State.READY, "DRAINING": io.State.DRAINING, "DELETED": io.State.GONE}
LIST = {
    "update": io.ListKind.DELTA,
    "replace": io.ListKind.FULL,
    "restored": io.ListKind.CACHED,
    "unavailable": io.ListKind.FAILED,
}


class DecisionModule(Protocol):
    """Makes the decisions of one router: the policy package, or a baseline of the lab."""

    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        """Handles an event at a clock time and returns the resulting actions."""


class InputError(ValueError):
    """A line is not a valid batch of messages."""


def _members(message: Json) -> io.Members:
    entries = [
        io.Member(
            entry["server"],
            STATE[entry["stageState"]],
            entry.get("machine") or 0,
            entry.get("hall") or 0,
            entry.get("stripe") or 0,
            entry.get("since") or 0,
            1.0 if entry.get("units") is None else entry["units"],
        )
        for entry in message.get("elements") or ()
    ]
    return io.Members(LIST[message["kind"]], entries)


def _load(report: Json | None) -> io.LoadReport | None:
    if not report:
        return None
    return io.LoadReport(
        **{
            LOAD_FIELDS[name]: value
            for name, value in report.items()
            if name in LOAD_FIELDS and value is not None
        }
    )


def _request(message: Json) -> io.Request:
    return io.Request(
        message["msgId"],
        message["cls"],
        message["validUntil"],
        message.get("targetKey"),
        bool(message.get("mutates")),
        message.get("owner") or 0,
        bool(message.get("repeat")),
    )


def _outcome(message: Json) -> io.Outcome:
    return io.Outcome(
        message["msgId"],
        message["sendNo"],
        message["server"],
        STATUS[message["disposition"]],
        bool(message.get("ended")),
        message["costTime"],
        message.get("remark") or 0,
        _load(message.get("feedback")),
    )


READERS: dict[str, Callable[[Json], io.Event]] = {
    "WORK_ITEM": _request,
    "DONE": _outcome,
    "FIRED": lambda m: io.TimerFired(m["nonce"]),
    "DISCOVERY": _members,
    "WITHDRAWN": lambda m: io.RequestCancelled(m["msgId"]),
    "OPENED": lambda m: io.StreamOpened(m["msgId"], m["sendNo"], m["server"]),
    "ECHO": lambda m: io.ProbeResult(
        m["server"], STATUS[m["disposition"]], m["costTime"], _load(m.get("feedback"))
    ),
    "MEMO": lambda m: io.PeerMessage(m["sender"], m["payload"]),
}
WRITERS: dict[type, Callable[[int, Any], Json]] = {
    io.Send: lambda i, a: {"t": "DISPATCH", "i": i, "msgId": a.id, "cap": a.timeout, "server": a.server},
    io.Reject: lambda i, a: {"t": "TURN_AWAY", "i": i, "msgId": a.id, "comeBack": a.retry_after},
    io.Fail: lambda i, a: {"t": "END_FAILED", "i": i, "msgId": a.id},
    io.SetTimer: lambda i, a: {"t": "REMIND", "i": i, "offset": a.delay, "nonce": a.token},
    io.Watch: lambda i, a: {"t": "WATCH", "i": i, "active": True},
    io.Log: lambda i, a: {"t": "SAY_LOG", "i": i, "msg": a.text},
}


class Host:
    """Holds the routers of this process by instance number and passes each event to its router.

    make: creates the decision module of a router from its settings and a seed.
    """

    def __init__(self, make: Callable[[io.Settings, int], DecisionModule] = Balancer) -> None:
        self.make = make
        self.routers: dict[int, DecisionModule] = {}

    def reply(self, line: bytes) -> bytes:
        """Handles the batch in a line and returns a line with the actions. Raises InputError."""
        try:
            batch = orjson.loads(line)
            now, messages = batch["clock"], batch["msgs"]
        except orjson.JSONDecodeError as error:
            raise InputError(f"invalid JSON: {error}") from None
        except (KeyError, TypeError) as error:
            raise InputError(f"expected an object with the fields clock and msgs: {error}") from None
        if type(now) is not int or type(messages) is not list:
            raise InputError("expected an integer clock and a list msgs")
        output: list[Json] = []
        for index, message in enumerate(messages):
            try:
                self._handle_event(now, message, output)
            except (KeyError, TypeError, AttributeError) as error:
                raise InputError(f"msgs[{index}]: missing or invalid field: {error}") from None
        return orjson.dumps({"output": output})

    def _handle_event(self, now: int, message: Json, output: list[Json]) -> None:
        name, i = message["t"], message["i"]
        reader = READERS.get(name)
        if reader is None:
            self._handle_control(name, i, message, output)
            return
        router = self.routers.get(i)
        if router is None:
            print(f"skipped event: {name} for instance {i}, which is not running", file=sys.stderr)
            return
        event = reader(message)
        try:
            for action in router.handle(now, event):
                output.append(WRITERS[type(action)](i, action))
        except Exception as error:  # a failed instance is reported on the wire and removed
            traceback.print_exc()
            del self.routers[i]
            output.append({"t": "DIE", "i": i, "msg": f"{type(error).__name__}: {error}"})

    def _handle_control(self, name: str, i: int, message: Json, output: list[Json]) -> None:
        if name == "UP":
            seed, info = message["nonce64"], message["info"]
            try:
                self.routers[i] = self.make(read_settings(info), seed)
            except SettingError as error:
                self.routers.pop(i, None)
                print(f"invalid settings for instance {i}: {error}", file=sys.stderr)
                output.append({"t": "DIE", "i": i, "msg": str(error)})
        elif name == "DESTROY":
            self.routers.pop(i, None)
        else:
            print(f"skipped event: unknown type {name!r} for instance {i}", file=sys.stderr)


def main(host: Host | None = None) -> int:
    """Answers each line of standard input until its end and returns the exit code."""
    host, out = host or Host(), sys.stdout.buffer
    for number, line in enumerate(sys.stdin.buffer, 1):
        try:
            answer = host.reply(line)
        except InputError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
        out.write(answer + b"\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
