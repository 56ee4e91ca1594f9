"""Requests of staff to a release whose folder a controller holds, stored until they are carried out.

The store holds the latest request in the form of the first version, `what` and `why`, and in `earlier` those
before it, since a controller may have ended before it carried them out. The number of a request is the
generation of the store that first held it; the record has the number of the last one carried out.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import orjson

from applehub.durable.folder import Folder
from applehub.durable.store import Loaded, Store
from applehub.release.state_machine import ReleaseRecord, ReleaseStateMachine

FORMAT_VERSION = 1
MAX_EARLIER = 16  # requests that are held beside the latest; staff submit them by hand


class RequestKind(StrEnum):
    """What staff may request."""

    HALT = "halt"
    RESUME = "resume"
    BACK = "back"


ACTIONS: Mapping[RequestKind, Callable[[ReleaseStateMachine, str], None]] = {
    RequestKind.HALT: lambda machine, reason: machine.halt(reason),
    RequestKind.RESUME: lambda machine, _: machine.resume(),
    RequestKind.BACK: lambda machine, _: machine.roll_back(),
}


@dataclass(frozen=True, slots=True)
class StaffRequest:
    """One request. number: higher than that of any earlier one."""

    number: int
    kind: RequestKind
    reason: str


class StaffRequests:
    """The requests in a release's folder."""

    def __init__(self, path: Path) -> None:
        """path: of the folder, which is made where it is missing. Raises OSError."""
        self._store = Store(Folder(str(path)), "wish", FORMAT_VERSION)

    def latest_number(self) -> int:
        """The number of the latest request; 0: there was none. Raises OSError."""
        return self._store.load().generation

    def add(self, kind: RequestKind, reason: str) -> None:
        """Stores a request.

        Raises StoreError where another process adds one; OSError: it may have been stored or not.
        """
        try:
            loaded = self._store.open()
            earlier = [
                {"number": request.number, "what": request.kind, "why": request.reason}
                for request in _decoded(loaded)[-MAX_EARLIER:]
            ]
            self._store.save(orjson.dumps({"what": kind, "why": reason, "earlier": earlier}))
        finally:
            self._store.close()

    def after(self, number: int) -> list[StaffRequest]:
        """The requests of higher numbers, in their order. Raises OSError."""
        return [request for request in _decoded(self._store.load()) if request.number > number]


def apply_new(record: ReleaseRecord, requests: StaffRequests) -> list[StaffRequest]:
    """Carries out the requests that the record has not seen; returns them. Raises OSError: then none.

    A record without a number (a new one, or one of an older controller) skips the requests that exist.
    """
    if record.last_request is None:
        record.last_request = requests.latest_number()
    found = requests.after(record.last_request)
    for request in found:
        ACTIONS[request.kind](ReleaseStateMachine(record), request.reason)
        record.last_request = request.number
    return found


def _decoded(loaded: Loaded) -> list[StaffRequest]:
    """All requests that a store holds, in their order; none where they can't be decoded."""
    if loaded.value is None:
        return []
    try:
        fields = orjson.loads(loaded.value)
        earlier = [
            StaffRequest(int(one["number"]), RequestKind(one["what"]), str(one["why"]))
            for one in fields.get("earlier", [])
        ]
        latest = StaffRequest(loaded.generation, RequestKind(fields["what"]), str(fields["why"]))
    except (ValueError, KeyError, TypeError, AttributeError):
        return []
    return [*earlier, latest]
