"""What staff ask of a release while a controller holds its record: kept on disk until it is carried out.

The store holds the latest request in the form of the first version, `what` and `why`, and in `earlier` those
before it, since a controller may have been ended before it took them up. A request's number is the generation
of the store that first held it; the record says up to which number requests were carried out.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from applehub.durable.folder import Folder
from applehub.durable.store import Loaded, Store
from applehub.release.machine import Record, Release

FORM = 1
EARLIER = 16  # requests that are held beside the latest; staff ask by hand


class RequestKind(StrEnum):
    """What may be asked."""

    HALT = "halt"
    RESUME = "resume"
    BACK = "back"


ACTIONS: Mapping[RequestKind, Callable[[Release, str], None]] = {
    RequestKind.HALT: lambda release, reason: release.halt(reason),
    RequestKind.RESUME: lambda release, _: release.unhalt(),
    RequestKind.BACK: lambda release, _: release.turn_back(),
}


@dataclass(frozen=True, slots=True)
class StaffRequest:
    """One request. number: higher than that of any before."""

    number: int
    kind: RequestKind
    reason: str


class StaffRequests:
    """The requests in a release's folder."""

    def __init__(self, folder: Path) -> None:
        self._store = Store(Folder(str(folder)), "wish", FORM)

    def latest(self) -> int:
        """The number of the latest request; 0: there was none. Raises OSError."""
        return self._store.load().generation

    def add(self, kind: RequestKind, reason: str) -> None:
        """Keeps a request. Raises StoreError where another process adds one, OSError where the disk refuses;
        then the request may have been kept all the same."""
        try:
            loaded = self._store.open()
            before = [_as_json(one) for one in _parsed(loaded)[-EARLIER:]]
            self._store.save(orjson.dumps({"what": kind, "why": reason, "earlier": before}))
        finally:
            self._store.close()

    def after(self, number: int) -> list[StaffRequest]:
        """The requests of higher numbers, in their order. Raises OSError."""
        return [one for one in _parsed(self._store.load()) if one.number > number]


def carry_out(record: Record, requests: StaffRequests) -> list[StaffRequest]:
    """Carries out what staff ask and what the record has not seen; gives these. Raises OSError: then none.

    A record that does not say up to where (an older controller wrote it, or it is new) takes no earlier ones.
    """
    if record.request_taken is None:
        record.request_taken = requests.latest()
    found = requests.after(record.request_taken)
    for request in found:
        ACTIONS[request.kind](Release(record), request.reason)
        record.request_taken = request.number
    return found


def _as_json(request: StaffRequest) -> dict[str, Any]:
    return {"number": request.number, "what": request.kind, "why": request.reason}


def _parsed(loaded: Loaded) -> list[StaffRequest]:
    """All requests that a store holds, in their order; none where what it holds makes no sense."""
    if loaded.value is None:
        return []
    try:
        latest = orjson.loads(loaded.value)
        found = [
            StaffRequest(int(one["number"]), RequestKind(one["what"]), str(one["why"]))
            for one in latest.get("earlier", [])
        ]
        kind = RequestKind(latest["what"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return []
    return [*found, StaffRequest(loaded.generation, kind, str(latest["why"]))]
