"""The service over HTTP: `/api/targets` for routers as PROTOCOL has it, and a second address for writers and
staff."""

import asyncio
import logging
import math
import time
from typing import Annotated, Any

import orjson
from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from applehub.events import Event, Writer
from applehub.node.discovery import read_endpoint
from applehub.registry.config import Config
from applehub.registry.entries import BASE_STEP, STATES, Result
from applehub.registry.host import Host, NotPrimaryError
from applehub.registry.leases import Leases
from applehub.registry.listener import Listener
from applehub.registry.locks import Holds
from applehub.registry.watches import Answers, Turns, Watchers

MOST_HOLD = 60.0  # s, by the protocol
CATCH_UP = 1.0  # s that a follower waits for a version that its caller has from another replica
MOST_BODY = 1 << 16
RETRY = {"Retry-After": "1"}
log = logging.getLogger("applehub.registry")
Json = dict[str, Any]


class Registration(BaseModel):
    """What a writer tells of a server."""

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


class Claim(BaseModel):
    """What who wants a lock tells."""

    model_config = ConfigDict(extra="forbid")

    holder: Annotated[str, Field(min_length=1, max_length=200)]
    lease_ms: Annotated[int, Field(ge=100, le=3_600_000)] = 10_000


class Metrics:
    """Figures of one replica, for a scraper."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "list_calls", "Calls of routers, by how they ended", ["how"], registry=self.registry
        )
        self.writes = Counter(
            "list_writes", "Calls of writers, by status", ["status"], registry=self.registry
        )
        self.version = Gauge("list_version", "Version that this replica serves", registry=self.registry)
        self.servers = Gauge("list_servers", "Entries that are not gone", registry=self.registry)
        self.watchers = Gauge("list_watchers", "Callers that wait", registry=self.registry)
        self.primary = Gauge("list_primary", "1 at the primary", registry=self.registry)
        self.braked = Gauge("list_braked", "1 while nothing is taken out", registry=self.registry)
        self.disk_refuses = Gauge(
            "list_disk_refuses", "1 while the disk takes no writes", registry=self.registry
        )
        self.staleness = Gauge(
            "list_staleness_seconds", "Since the primary was heard", registry=self.registry
        )


class Service:
    """One replica's two addresses."""

    def __init__(self, config: Config, host: Host, events: Writer) -> None:
        self.config, self.host, self.events = config, host, events
        self.loop = asyncio.get_running_loop()
        self.answers, self.watchers, self.metrics = Answers(), Watchers(), Metrics()
        self.callers = 0
        self.leases = Leases(config.leases.brake_part, config.leases.brake_least)
        self.holds, self.holds_term = Holds(), -1
        self.turns = self._turns()
        self.led = self.ending = False
        self.runners: list[web.AppRunner] = []
        self.listeners: list[Listener] = []
        self.task: asyncio.Task[None] | None = None
        host.changed = self._changed
        self.version = host.entries.version

    def _turns(self) -> Turns:
        limits = self.config.limits
        return Turns(limits.whole_a_second, limits.patience_ms / 1000, self.loop.time)

    def retune(self, config: Config) -> None:
        """Takes up what may change while it runs: views, limits, leases."""
        self.config = config
        self.turns = self._turns()
        self.leases.brake_part, self.leases.brake_least = config.leases.brake_part, config.leases.brake_least

    async def start(self) -> tuple[str, str]:
        """Listens; gives both addresses."""
        public = web.Application()
        public.router.add_get("/api/targets", self.targets)
        staff = web.Application(client_max_size=MOST_BODY)
        staff.router.add_put("/v1/servers/{uid}", self.put)
        staff.router.add_post("/v1/servers/{uid}/renew", self.renew)
        staff.router.add_post("/v1/servers/{uid}/state", self.state)
        staff.router.add_delete("/v1/servers/{uid}", self.delete)
        staff.router.add_get("/v1/servers", self.servers)
        staff.router.add_put("/v1/locks/{name}", self.lock)
        staff.router.add_delete("/v1/locks/{name}", self.unlock)
        staff.router.add_get("/v1/status", self.status)
        staff.router.add_get("/metrics", self.scrape)
        found = []
        for app, told in ((public, self.config.listen), (staff, self.config.staff)):
            runner = web.AppRunner(
                app, access_log=None, keepalive_timeout=75, handler_cancellation=True, shutdown_timeout=0.5
            )
            await runner.setup()
            self.runners.append(runner)
            assert runner.server is not None
            listener = Listener(read_endpoint(told), runner.server)
            self.listeners.append(listener)
            found.append("{}:{}".format(*listener.address))
        self.task = self.loop.create_task(self._watch_leases())
        return found[0], found[1]

    async def stop(self) -> None:
        """Watches end with an answer; then the addresses close."""
        self.ending = True
        if self.task is not None:
            self.task.cancel()
        self.watchers.wake()
        for listener in self.listeners:
            listener.close()
        for runner in self.runners:
            await runner.cleanup()

    def _changed(self) -> None:
        entries = self.host.entries
        if self.host.is_primary():
            for change in entries.changes:
                if change.version > self.version and change.uid in entries.entries:
                    state = entries.entries[change.uid].state
                    self.events.say(Event.LISTED, version=change.version, server=change.uid, state=state)
        self.version = entries.version
        self.watchers.wake()

    # Routers

    async def targets(self, request: web.Request) -> web.StreamResponse:
        """The whole list, or a watch."""
        self.callers += 1
        try:
            return await self._targets(request)
        finally:
            self.callers -= 1

    def _away(self, how: str, seconds: float = 1.0) -> web.Response:
        self.metrics.calls.labels(how).inc()
        return web.Response(status=503, headers={"Retry-After": str(max(1, math.ceil(seconds)))})

    def serves(self) -> bool:
        """Whether what this replica holds is recent enough to be told."""
        return self.host.staleness() <= self.config.limits.stale_ms * 1_000_000

    async def _targets(self, request: web.Request) -> web.StreamResponse:
        if self.callers > self.config.limits.callers:
            return self._away("crowded", 2.0)
        address = request.remote or ""
        view = self.config.views.get(address, "")
        try:
            since = int(request.query["from"]) if "from" in request.query else None
            hold = min(MOST_HOLD, max(0.0, int(request.query.get("hold_ms", "0")) / 1000))
        except ValueError:
            self.metrics.calls.labels("malformed").inc()
            return web.Response(status=400, text="expected from and hold_ms to be whole numbers\n")
        if self.config.log_calls:
            self.events.say(Event.LIST_ASKED, router=view or address, since=since)
        if since is not None and since > self.host.entries.version and not self.host.is_primary():
            await self._newer(since - 1, CATCH_UP)  # its caller was told by one that is ahead
            if since > self.host.entries.version:
                return self._away("behind")
        if not self.serves():
            return self._away("stale")
        whole, _ = self.host.entries.since(since)
        if whole:
            wait, away = self.turns.take()
            if away:
                return self._away("overload", away)
            await asyncio.sleep(wait)
        elif hold and since is not None:
            await self._newer(since, hold)
            if not self.serves():
                return self._away("stale")
        return await self._tell(request, since, view or address, view)

    async def _newer(self, version: int, seconds: float) -> None:
        """Returns when there is something newer than a version, or the time is over."""
        end = self.loop.time() + seconds
        while self.host.entries.version <= version and (left := end - self.loop.time()) > 0:
            if self.ending:
                break
            await self.watchers.wait(left)

    async def _tell(
        self, request: web.Request, since: int | None, name: str, view: str
    ) -> web.StreamResponse:
        entries = self.host.entries
        body, whole, states = self.answers.get(entries, since, view)
        response = web.Response(body=body, content_type="application/json")
        try:
            async with asyncio.timeout(
                self.config.limits.slow_s
            ):  # guards memory against callers that never read
                await response.prepare(request)
                await response.write_eof()
                if request.protocol.transport is not None:
                    await request.protocol._drain_helper()
        except TimeoutError:
            self.metrics.calls.labels("slow").inc()
            if request.transport is not None:
                request.transport.abort()
            return response
        self.metrics.calls.labels("whole" if whole else "changes").inc()
        if self.config.log_calls:
            self.events.say(Event.TOLD, router=name, version=entries.version, whole=whole, states=states)
        return response

    # Writers and staff

    async def _agreed(self, command: Json) -> web.Response:
        """Has a command agreed on; its answer is the writer's."""
        command["base"] = time.time_ns() // 1_000_000_000 * BASE_STEP
        try:
            result = await self.host.propose(orjson.dumps(command))
        except NotPrimaryError as problem:
            return self._elsewhere(str(problem))
        return self._said(result)

    def _said(self, result: Result) -> web.Response:
        told: Json = {"version": result.version, "entry": result.entry}
        if result.status == 404:
            told["error"] = "no such server"
        elif result.status == 409:
            told["error"] = "the entry has another version than expected"
        return self._json(result.status, told)

    def _json(self, status: int, told: Json, headers: dict[str, str] | None = None) -> web.Response:
        self.metrics.writes.labels(str(status)).inc()
        return web.Response(
            status=status, body=orjson.dumps(told), content_type="application/json", headers=headers
        )

    def _elsewhere(self, problem: str) -> web.Response:
        leader = self.host.replica.leader
        names = sorted(self.config.peers)
        primary = names[leader] if leader is not None and names and leader != self.host.me else None
        return self._json(503, {"error": problem, "primary": primary}, RETRY)

    @staticmethod
    def _expected(request: web.Request) -> int | None:
        told = request.query.get("expected")
        return None if told is None else int(told)

    def _of_no_use(self, error: ValidationError) -> web.Response:
        faults = [
            {"key": ".".join(map(str, one["loc"])) or "the whole", "expected": one["msg"]}
            for one in error.errors()
        ]
        return self._json(400, {"error": "of no use", "faults": faults})

    async def put(self, request: web.Request) -> web.Response:
        """Registers a server, or changes it; the same again changes nothing."""
        try:
            told = Registration.model_validate_json(await request.read())
            expected = self._expected(request)
        except ValidationError as error:
            return self._of_no_use(error)
        except ValueError:
            return self._json(400, {"error": "expected: expected a whole number"})
        uid = request.match_info["uid"]
        fields = told.model_dump(exclude={"state", "lease_ms", "endpoints"})
        answer = await self._agreed(
            {
                "do": "put", "uid": uid, "fields": fields, "endpoints": told.endpoints, "state": told.state,
                "lease_ms": told.lease_ms, "expected": expected,
            }
        )  # fmt: skip
        if answer.status == 200:
            self.leases.renew(time.monotonic_ns(), uid)
        return answer

    async def renew(self, request: web.Request) -> web.Response:
        """Renews a lease: kept at the primary alone, so it costs no agreement."""
        uid = request.match_info["uid"]
        if not self.host.is_primary():
            return self._elsewhere("not the primary")
        entry = self.host.entries.entries.get(uid)
        if entry is None or entry.state == "Gone":
            return self._json(404, {"error": "no such server", "version": self.host.entries.version})
        self.leases.renew(time.monotonic_ns(), uid)
        return self._json(200, {"version": self.host.entries.version, "lease_ms": entry.lease_ms})

    async def state(self, request: web.Request) -> web.Response:
        """Ready, Terminating or Gone."""
        try:
            wanted = orjson.loads(await request.read())["state"]
            expected = self._expected(request)
            if wanted not in STATES:
                raise ValueError
        except (ValueError, KeyError, TypeError):
            return self._json(400, {"error": f"expected state: one of {', '.join(STATES)}"})
        return await self._agreed(
            {"do": "state", "uid": request.match_info["uid"], "state": wanted, "expected": expected}
        )

    async def lock(self, request: web.Request) -> web.Response:
        """Takes a lock that is free or whose lease has run out, or renews one's own."""
        try:
            claim = Claim.model_validate_json(await request.read())
        except ValidationError as error:
            return self._of_no_use(error)
        name, now = request.match_info["name"], time.monotonic_ns()
        if not self._may_judge(now):
            return self._elsewhere("not the primary")
        lock = self.host.entries.locks.get(name)
        left = self.holds.left(now, name, lock)
        if lock is not None and left and lock.holder == claim.holder:
            self.holds.renew(now, name)
            return self._json(200, {"fence": lock.fence, "lease_ms": lock.lease_ms})
        if lock is not None and left:
            return self._json(409, {"error": "held", "holder": lock.holder, "left_ms": left // 1_000_000})
        command = {"do": "lock", "name": name, **claim.model_dump(), "expected": lock.fence if lock else 0}
        return await self._locked(name, command)

    async def unlock(self, request: web.Request) -> web.Response:
        """Lets a lock go, if `holder` holds it; else nothing changes."""
        name, now = request.match_info["name"], time.monotonic_ns()
        if not self._may_judge(now):
            return self._elsewhere("not the primary")
        lock = self.host.entries.locks.get(name)
        if lock is None or lock.holder != request.query.get("holder"):
            return self._json(409, {"error": "not held by that holder"})
        command = {"do": "lock", "name": name, "holder": "", "lease_ms": 0, "expected": lock.fence}
        return await self._locked(name, command)

    def _may_judge(self, now: int) -> bool:
        """Whether this replica knows who has renewed: a primary, from the moment that it became one."""
        led = self.host.is_primary()
        if led and self.holds_term != self.host.replica.term:
            self.holds.begin(now)
            self.holds_term = self.host.replica.term
        return led

    async def _locked(self, name: str, command: Json) -> web.Response:
        command["base"] = time.time_ns() // 1_000_000_000 * BASE_STEP
        asked = time.monotonic_ns()
        try:
            result = await self.host.propose(orjson.dumps(command))
        except NotPrimaryError as problem:
            return self._elsewhere(str(problem))
        if result.status == 409:
            return self._json(409, {"error": "taken meanwhile", "fence": result.entry})
        self.holds.renew(asked, name)
        return self._json(200, {"fence": result.entry, "lease_ms": command["lease_ms"]})

    async def delete(self, request: web.Request) -> web.Response:
        return await self._agreed({"do": "state", "uid": request.match_info["uid"], "state": "Gone"})

    async def servers(self, request: web.Request) -> web.Response:
        entries = self.host.entries
        told = [
            {
                **one.target(""), "version": one.version, "lease_ms": one.lease_ms, "suspect": one.suspect,
                "endpoints": one.endpoints,
            }
            for one in entries.entries.values()
        ]  # fmt: skip
        return self._json(200, {"version": entries.version, "servers": told})

    async def status(self, request: web.Request) -> web.Response:
        replica = self.host.replica
        return self._json(
            200,
            {
                "name": self.config.name, "role": replica.role, "primary": self.host.is_primary(),
                "term": replica.term, "version": self.host.entries.version, "commit": replica.commit,
                "applied": self.host.applied, "log": len(replica.log), "callers": self.callers,
                "staleness_ms": self.host.staleness() // 1_000_000, "braked": self.leases.braked,
                "disk_refuses": self.host.disk_refuses,
            },
        )  # fmt: skip

    async def scrape(self, request: web.Request) -> web.Response:
        metrics, entries = self.metrics, self.host.entries
        metrics.version.set(entries.version)
        metrics.servers.set(sum(one.state != "Gone" for one in entries.entries.values()))
        metrics.watchers.set(len(self.watchers.waiting))
        metrics.primary.set(self.host.is_primary())
        metrics.braked.set(self.leases.braked)
        metrics.disk_refuses.set(self.host.disk_refuses)
        metrics.staleness.set(self.host.staleness() / 1e9)
        return web.Response(body=generate_latest(metrics.registry), content_type="text/plain")

    # Leases

    async def _watch_leases(self) -> None:
        while True:
            await asyncio.sleep(self.config.leases.look_ms / 1000)
            now, led = time.monotonic_ns(), self.host.is_primary()
            if led is not self.led:
                self.led = led
                self.events.say(Event.LEADS if led else Event.FOLLOWS, term=self.host.replica.term)
                if led:
                    self.leases.begin(now, self.host.entries.entries)
            if led:
                await self._look(now)

    async def _look(self, now: int) -> None:
        braked = self.leases.braked
        suspect, gone, back = self.leases.look(now, self.host.entries.entries)
        if self.leases.braked is not braked:
            self.events.say(Event.BRAKE, on=self.leases.braked)
        try:
            for uids, command in (
                (suspect, {"do": "suspect", "on": True}),
                (back, {"do": "suspect", "on": False}),
                (gone, {"do": "gone"}),
            ):
                if uids:
                    await self.host.propose(orjson.dumps({**command, "uids": uids}))
        except NotPrimaryError as problem:
            log.warning("leases that ran out are left to the next primary: %s", problem)
