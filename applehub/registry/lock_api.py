"""The HTTP API for named locks, which the release controller and other programs use."""

import time
from http import HTTPStatus
from typing import Annotated

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from applehub.registry.commands import SetLock
from applehub.registry.errors import NotLeaseHolderError
from applehub.registry.host import Host
from applehub.registry.locks import LockLeases
from applehub.registry.replica_state import MILLI
from applehub.registry.replies import Replies, initial_version


class LockRequest(BaseModel):
    """The body of a request that acquires or renews a lock."""

    model_config = ConfigDict(extra="forbid")

    holder: Annotated[str, Field(min_length=1, max_length=200)]
    lease_ms: Annotated[int, Field(ge=100, le=3_600_000)] = 10_000


class LockApi:
    """Handles requests for locks."""

    def __init__(self, host: Host, replies: Replies) -> None:
        """replies: the builder of the responses."""
        self._host = host
        self._replies = replies
        self.leases = LockLeases()
        self._leases_term = -1  # the term in which `leases` was last reset

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes that this class handles."""
        router.add_put("/v1/locks/{name}", self.lock)
        router.add_delete("/v1/locks/{name}", self.unlock)

    async def lock(self, request: web.Request) -> web.Response:
        """Acquires a lock that is free or expired, or renews a lock for its holder."""
        try:
            lock_request = LockRequest.model_validate_json(await request.read())
        except ValidationError as error:
            return self._replies.invalid(error)
        name = request.match_info["name"]
        now = time.monotonic_ns()
        if not self._tracks_renewals(now):
            return self._replies.not_leader()
        lock = self._host.endpoints.locks.get(name)
        remaining = self.leases.remaining(now, name, lock)
        if lock is not None and remaining:
            if lock.holder != lock_request.holder:
                content = {"error": "held", "holder": lock.holder, "left_ms": remaining // MILLI}
                return self._replies.json(HTTPStatus.CONFLICT, content)
            self.leases.renew(now, name)
            return self._replies.json(HTTPStatus.OK, {"fence": lock.fence, "lease_ms": lock.lease_ms})
        return await self._set_holder(
            name, lock_request.holder, lock_request.lease_ms, lock.fence if lock else 0
        )

    async def unlock(self, request: web.Request) -> web.Response:
        """Releases a lock if the query parameter `holder` names its holder; else responds with a conflict."""
        name = request.match_info["name"]
        if not self._tracks_renewals(time.monotonic_ns()):
            return self._replies.not_leader()
        lock = self._host.endpoints.locks.get(name)
        if lock is None or lock.holder != request.query.get("holder"):
            return self._replies.json(HTTPStatus.CONFLICT, {"error": "not held by that holder"})
        return await self._set_holder(name, "", 0, lock.fence)

    def _tracks_renewals(self, now: int) -> bool:
        """Returns whether this replica is the leader, which tracks renewals. Resets them in each new term."""
        is_lease_holder = self._host.is_lease_holder()
        if is_lease_holder and self._leases_term != self._host.replica.term:
            self.leases.reset(now)
            self._leases_term = self._host.replica.term
        return is_lease_holder

    async def _set_holder(self, name: str, holder: str, lease_ms: int, expected: int) -> web.Response:
        """Proposes the next holder of a lock and returns the response."""
        command = SetLock(
            name=name, holder=holder, lease_ms=lease_ms, expected=expected, base=initial_version()
        )
        proposed_at = time.monotonic_ns()
        try:
            result = await self._host.propose(command)
        except NotLeaseHolderError as error:
            return self._replies.not_leader(str(error))
        if result.status is HTTPStatus.CONFLICT:
            content = {"error": "taken meanwhile", "fence": result.entry_version}
            return self._replies.json(HTTPStatus.CONFLICT, content)
        self.leases.renew(proposed_at, name)
        return self._replies.json(HTTPStatus.OK, {"fence": result.entry_version, "lease_ms": lease_ms})
