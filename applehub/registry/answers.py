"""Cache of encoded responses, so that equal responses to many routers are encoded once."""

from collections import OrderedDict
from typing import NamedTuple

import orjson

from applehub.registry.endpoint_list import EndpointList

MAX_CACHED = 16 << 20  # bytes of encoded responses; routers with different versions need different responses


class Answer(NamedTuple):
    """An encoded response to a router."""

    body: bytes
    complete: bool  # whether the body contains the complete list
    states: dict[str, str]  # states in the body, by server id


class AnswerCache:
    """Encoded responses for one version of the list; the oldest are evicted above MAX_CACHED bytes."""

    def __init__(self) -> None:
        """Creates an empty cache."""
        self.version = -1
        self.cached: OrderedDict[tuple[int | None, str], Answer] = OrderedDict()
        self.size = 0  # total bytes of the cached bodies

    def get(self, endpoints: EndpointList, since: int | None, view: str) -> Answer:
        """Returns the response for a router with this view.

        since: the version that the router has; None if it has no list yet."""
        if endpoints.version != self.version:
            self.cached.clear()
            self.size = 0
            self.version = endpoints.version
        complete, entries = endpoints.since(since)
        key = (None if complete else since, view)
        if key not in self.cached:
            targets = [entry.target(view) for entry in entries]
            body = orjson.dumps({"rev": endpoints.version, "all": complete, "targets": targets})
            self.cached[key] = Answer(body, complete, {entry.uid: entry.state for entry in entries})
            self.size += len(body)
            while self.size > MAX_CACHED and len(self.cached) > 1:
                _, oldest = self.cached.popitem(last=False)
                self.size -= len(oldest.body)
        return self.cached[key]
