"""JSON responses to writers and operators."""

import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web
from pydantic import ValidationError

from applehub.registry.config import Config
from applehub.registry.endpoint_list import VERSIONS_PER_SECOND
from applehub.registry.host import NOT_LEASE_HOLDER, Host
from applehub.registry.metrics import Metrics

SECOND = 1_000_000_000  # nanoseconds per second
RETRY = {"Retry-After": "1"}  # header of 503 responses, in seconds


def initial_version() -> int:
    """Returns the first version of a new list, which is derived from the wall clock."""
    return time.time_ns() // SECOND * VERSIONS_PER_SECOND


class Replies:
    """Builder of JSON responses, which counts them by status."""

    def __init__(self, config: Config, host: Host, metrics: Metrics) -> None:
        """config: provides the names of the replicas."""
        self._names = sorted(config.peers)
        self._host = host
        self._metrics = metrics

    def json(
        self, status: int, content: Mapping[str, Any], headers: Mapping[str, str] | None = None
    ) -> web.Response:
        """Returns a response with a JSON body."""
        self._metrics.writes.labels(str(int(status))).inc()
        body = orjson.dumps(content)
        return web.Response(status=status, body=body, content_type="application/json", headers=headers)

    def not_leader(self, message: str = NOT_LEASE_HOLDER) -> web.Response:
        """Returns a 503 response, which names the leader if another replica is known to lead."""
        leader = self._host.replica.leader
        is_other = leader is not None and leader != self._host.options.replica_id
        primary = self._names[leader] if leader is not None and is_other and self._names else None
        return self.json(HTTPStatus.SERVICE_UNAVAILABLE, {"error": message, "primary": primary}, RETRY)

    def invalid(self, error: ValidationError) -> web.Response:
        """Returns a 400 response that lists all validation errors of a request body."""
        faults = [
            {"key": ".".join(map(str, detail["loc"])) or "the whole", "expected": detail["msg"]}
            for detail in error.errors()
        ]
        return self.json(HTTPStatus.BAD_REQUEST, {"error": "of no use", "faults": faults})
