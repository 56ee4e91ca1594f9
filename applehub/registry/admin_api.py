"""The administrative HTTP API: servers, status and metrics, for writers and operators."""

import time
from http import HTTPStatus
from typing import Annotated

import orjson
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from applehub.registry.commands import Command, PutServer, ServerState, SetState
from applehub.registry.config import Config
from applehub.registry.endpoint_list import CommandResult
from applehub.registry.errors import NotLeaseHolderError
from applehub.registry.host import Host
from applehub.registry.list_api import ListApi
from applehub.registry.metrics import Metrics
from applehub.registry.replica_state import MILLI
from applehub.registry.replies import Replies, initial_version
from applehub.registry.server_leases import SECOND, ServerLeases

ERRORS = {
    HTTPStatus.NOT_FOUND: "no such server",
    HTTPStatus.CONFLICT: "the entry has another version than expected",
}


class Registration(BaseModel):
    """The body of a request that registers a server."""

    model_config = ConfigDict(extra="forbid")

    endpoint: Annotated[str, Field(pattern=r"^[^\s:]+:\d{1,5}$")]
    az: str
    model: str
    pod_group: int = 0
    capacity_hint: Annotated[float, Field(gt=0)] = 1.0
    boot_ms: Annotated[int, Field(ge=0)] = 0
    state: Annotated[str, Field(pattern="^(Ready|Terminating)$")] = "Ready"
    lease_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 0
    endpoints: dict[str, str] = {}


class AdminApi:
    """Handles requests of writers and operators."""

    def __init__(self, config: Config, list_api: ListApi, metrics: Metrics, leases: ServerLeases) -> None:
        """list_api: the list API of the same replica, for its request and watcher counts."""
        self._name = config.name
        self._host: Host = list_api.host
        self._list_api = list_api
        self._metrics = metrics
        self._leases = leases
        self.replies = Replies(config, self._host, metrics)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Adds the routes that this class handles."""
        router.add_put("/v1/servers/{uid}", self.put)
        router.add_post("/v1/servers/{uid}/renew", self.renew)
        router.add_post("/v1/servers/{uid}/state", self.set_state)
        router.add_delete("/v1/servers/{uid}", self.delete)
        router.add_get("/v1/servers", self.servers)
        router.add_get("/v1/status", self.status)
        router.add_get("/metrics", self.scrape)

    async def _propose(self, command: Command) -> web.Response:
        """Proposes a command and returns its result as a response."""
        try:
            result = await self._host.propose(command)
        except NotLeaseHolderError as error:
            return self.replies.not_leader(str(error))
        return self._command_response(result)

    def _command_response(self, result: CommandResult) -> web.Response:
        content: dict[str, object] = {"version": result.list_version, "entry": result.entry_version}
        if result.status in ERRORS:
            content["error"] = ERRORS[result.status]
        return self.replies.json(result.status, content)

    async def put(self, request: web.Request) -> web.Response:
        """Registers or updates a server. The request is idempotent."""
        try:
            registration = Registration.model_validate_json(await request.read())
            expected = _expected_version(request)
        except ValidationError as error:
            return self.replies.invalid(error)
        except ValueError:
            message = "expected: expected a whole number"
            return self.replies.json(HTTPStatus.BAD_REQUEST, {"error": message})
        uid = request.match_info["uid"]
        command = PutServer(
            uid=uid,
            fields=registration.model_dump(exclude={"state", "lease_ms", "endpoints"}),
            endpoints=registration.endpoints,
            state=ServerState(registration.state),
            lease_ms=registration.lease_ms,
            expected=expected,
            base=initial_version(),
        )
        response = await self._propose(command)
        if response.status == HTTPStatus.OK:
            self._leases.renew(time.monotonic_ns(), uid)
        return response

    async def renew(self, request: web.Request) -> web.Response:
        """Renews the lease of a server.

        Only the leader stores renewals, in memory; they are not replicated."""
        uid = request.match_info["uid"]
        if not self._host.is_lease_holder():
            return self.replies.not_leader()
        version = self._host.endpoints.version
        entry = self._host.endpoints.entries.get(uid)
        if entry is None or entry.state is ServerState.GONE:
            content = {"error": ERRORS[HTTPStatus.NOT_FOUND], "version": version}
            return self.replies.json(HTTPStatus.NOT_FOUND, content)
        self._leases.renew(time.monotonic_ns(), uid)
        return self.replies.json(HTTPStatus.OK, {"version": version, "lease_ms": entry.lease_ms})

    async def set_state(self, request: web.Request) -> web.Response:
        """Sets the state of a server: Ready, Terminating or Gone."""
        try:
            state = ServerState(orjson.loads(await request.read())["state"])
            expected = _expected_version(request)
        except (ValueError, KeyError, TypeError):
            states = ", ".join(ServerState)
            content = {"error": f"expected state: one of {states}"}
            return self.replies.json(HTTPStatus.BAD_REQUEST, content)
        uid = request.match_info["uid"]
        return await self._propose(SetState(uid=uid, state=state, expected=expected, base=initial_version()))

    async def delete(self, request: web.Request) -> web.Response:
        """Removes a server by setting its state to Gone."""
        uid = request.match_info["uid"]
        return await self._propose(SetState(uid=uid, state=ServerState.GONE, base=initial_version()))

    async def servers(self, _: web.Request) -> web.Response:
        """Returns all entries with their versions."""
        endpoints = self._host.endpoints
        servers = [
            {
                **entry.target(""), "version": entry.version, "lease_ms": entry.lease_ms,
                "suspect": entry.suspect, "endpoints": entry.endpoints,
            }
            for entry in endpoints.entries.values()
        ]  # fmt: skip
        return self.replies.json(HTTPStatus.OK, {"version": endpoints.version, "servers": servers})

    async def status(self, _: web.Request) -> web.Response:
        """Returns the status of this replica."""
        host = self._host
        replica = host.replica
        content = {
            "name": self._name, "role": replica.role, "primary": host.is_lease_holder(),
            "term": replica.term, "version": host.endpoints.version, "commit": replica.commit_index,
            "applied": host.applied_index, "log": len(replica.log), "callers": self._list_api.active_requests,
            "staleness_ms": host.staleness() // MILLI, "braked": self._leases.expiry_paused,
            "disk_refuses": host.disk_refuses,
        }  # fmt: skip
        return self.replies.json(HTTPStatus.OK, content)

    async def scrape(self, _: web.Request) -> web.Response:
        """Returns the metrics in the Prometheus text format."""
        metrics = self._metrics
        endpoints = self._host.endpoints
        metrics.version.set(endpoints.version)
        metrics.servers.set(sum(entry.state is not ServerState.GONE for entry in endpoints.entries.values()))
        metrics.watchers.set(len(self._list_api.watchers.waiting))
        metrics.primary.set(self._host.is_lease_holder())
        metrics.expiry_paused.set(self._leases.expiry_paused)
        metrics.disk_refuses.set(self._host.disk_refuses)
        metrics.staleness.set(self._host.staleness() / SECOND)
        return web.Response(body=metrics.text(), content_type="text/plain")


def _expected_version(request: web.Request) -> int | None:
    """Returns the entry version in the query parameter `expected`, if present. Raises ValueError."""
    expected = request.query.get("expected")
    return None if expected is None else int(expected)
