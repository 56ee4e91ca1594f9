"""Answers to routers, each encoded once for all that ask the same."""

from collections import OrderedDict
from typing import NamedTuple

import orjson

from applehub.registry.endpoint_list import EndpointList

MAX_CACHED = 16 << 20  # bytes of encoded answers: each watcher may have a view, or a version, of its own


class Answer(NamedTuple):
    """The body for a caller, whether it is the complete list, and the states that it tells by server."""

    body: bytes
    complete: bool
    states: dict[str, str]


class AnswerCache:
    """Encoded answers of one version of the list."""

    def __init__(self) -> None:
        """Empty, for no version."""
        self.version = -1
        self.cached: OrderedDict[tuple[int | None, str], Answer] = OrderedDict()
        self.size = 0  # bytes of the bodies

    def get(self, endpoints: EndpointList, since: int | None, view: str) -> Answer:
        """The answer for a caller of a view that has a version (none: nothing)."""
        if endpoints.version != self.version:
            self.cached.clear()
            self.size = 0
            self.version = endpoints.version
        complete, entries = endpoints.since(since)
        key = (None if complete else since, view)
        if key not in self.cached:
            targets = [one.target(view) for one in entries]
            body = orjson.dumps({"rev": endpoints.version, "all": complete, "targets": targets})
            self.cached[key] = Answer(body, complete, {one.uid: one.state for one in entries})
            self.size += len(body)
            while self.size > MAX_CACHED and len(self.cached) > 1:
                _, oldest = self.cached.popitem(last=False)
                self.size -= len(oldest.body)
        return self.cached[key]
