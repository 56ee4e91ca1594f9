"""Staff requests to a running release, stored until its controller executes them.

The stored value has the latest request in the keys `what` and `why`, which older controllers read, and the
previous requests in `earlier`, because a controller may end before it executes them. The number of a request
is the store's generation at which the request was added. The release's record has the number of the last
executed request.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import orjson

from applehub.durable.folder import Folder
from applehub.durable.store import LoadResult, Store
from applehub.release.state_machine import ReleaseRecord, ReleaseStateMachine

FORMAT_VERSION = 1
MAX_EARLIER = 16  # previous requests that are stored in addition to the latest one


class RequestKind(StrEnum):
    """Kinds of staff requests."""

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
    """One request. Its number is higher than those of all earlier requests."""

    number: int
    kind: RequestKind
    reason: str


class StaffRequests:
    """The staff requests in a release's folder."""

    def __init__(self, path: Path) -> None:
        """Takes the path of the folder, and creates it if it is missing. Raises OSError."""
        self._store = Store(Folder(str(path)), "wish", FORMAT_VERSION)

    def latest_number(self) -> int:
        """Returns the number of the latest request, or 0 if there is none. Raises OSError."""
        return self._store.load().generation

    def add(self, kind: RequestKind, reason: str) -> None:
        """Stores a request.

        Raises StoreError if another process is adding a request. After an OSError the request may or may
        not have been stored.
        """
        try:
            loaded = self._store.open()
            earlier = [
                {"number": request.number, "what": request.kind, "why": request.reason}
                for request in _decode_requests(loaded)[-MAX_EARLIER:]
            ]
            self._store.save(orjson.dumps({"what": kind, "why": reason, "earlier": earlier}))
        finally:
            self._store.close()

    def after(self, number: int) -> list[StaffRequest]:
        """Returns the requests with higher numbers, in order. Raises OSError."""
        return [request for request in _decode_requests(self._store.load()) if request.number > number]


def apply_new(record: ReleaseRecord, requests: StaffRequests) -> list[StaffRequest]:
    """Executes the requests that follow the last request in the record, and returns them.

    If the record has no number, as in a new record or one of an older controller, existing requests are
    skipped. Raises OSError, in which case no request is executed.
    """
    if record.last_request is None:
        record.last_request = requests.latest_number()
    new_requests = requests.after(record.last_request)
    for request in new_requests:
        ACTIONS[request.kind](ReleaseStateMachine(record), request.reason)
        record.last_request = request.number
    return new_requests


def _decode_requests(loaded: LoadResult) -> list[StaffRequest]:
    """Returns all stored requests in order, or none if they can't be decoded."""
    if loaded.value is None:
        return []
    try:
        fields = orjson.loads(loaded.value)
        earlier = [
            StaffRequest(int(stored["number"]), RequestKind(stored["what"]), str(stored["why"]))
            for stored in fields.get("earlier", [])
        ]
        latest = StaffRequest(loaded.generation, RequestKind(fields["what"]), str(fields["why"]))
    except (ValueError, KeyError, TypeError, AttributeError):
        return []
    return [*earlier, latest]
