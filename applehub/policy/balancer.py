"""Admission and retries: what becomes of each request, from its arrival to its one final answer."""

from collections.abc import Callable
from dataclasses import replace

from applehub import interface as api
from applehub.policy.failed_starts import FailedStarts
from applehub.policy.hearsay import Hearsay
from applehub.policy.job import Job
from applehub.policy.keys import KeyMemory
from applehub.policy.placement import Placement
from applehub.policy.replicas import Replicas
from applehub.policy.roster import BROKEN, Roster
from applehub.policy.servers import SLOW, Server
from applehub.policy.tenants import Tenants
from applehub.policy.throttle import Monitor, Throttle
from applehub.policy.turn import Turn

NEVER_RAN = frozenset((api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS))
WRITE_SLACK = 2  # times its aim that a write must expect at the origin before it is not sent
SPARE = 2  # times its uncrowded answer time up to which the origin is idle
NO_CROWD = 1 << 20  # no limit by it


class Balancer:
    """One router's decisions: takes the time and an event, gives the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.turn = turn = Turn(settings, seed)
        self.roster = Roster(turn)
        self.learnt = self.roster.learnt
        self.placement = Placement(turn, self.roster)
        self.tenants = Tenants(turn)
        self.jobs: dict[str, Job] = {}
        self.memory, self.replicas = KeyMemory(), Replicas(turn, self.roster)
        self.monitor = Monitor(turn.shortest_aim // 2)
        self.hearsay = Hearsay(turn, self.roster, self.monitor)
        self.reads: dict[tuple[str, int], tuple[int, int]] = {}  # likely misses out: sent, slow from
        self.fetches: dict[str, list[Job]] = {}  # keys being read from the origin, and who waits for them
        self.failed_starts = FailedStarts(turn, self._start_again, self._stop_waiting)
        self.release_at = 0
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self._on_request,
            api.StreamOpened: self._on_opened,
            api.Outcome: self._on_outcome,
            api.Members: self.roster.on_members,
            api.ServerOverride: self.roster.on_by_hand,
            api.SettingsChanged: self._on_retuned,
            api.ProcessCount: self.roster.on_copies,
            api.SavedStatistics: self.roster.on_learnt,
            api.RequestCancelled: self._on_withdrawn,
            api.GossipSummary: self.hearsay.on_fleet,
        }

    @property
    def settings(self) -> api.Settings:
        """Those that hold now."""
        return self.turn.settings

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Plays one event at its time."""
        turn = self.turn
        turn.now, turn.actions = now, []
        if self.monitor.born < 0:
            self.monitor.born = now
            turn.later(self.monitor.period, self._step)
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        elif type(event) is api.TimerFired and event.token == str(turn.wake_at):
            # Guards against coarse timers: known by its token, since it may come a little before its time.
            turn.wake_at = 0
        turn.run_agenda()
        return turn.actions

    def _on_retuned(self, event: api.SettingsChanged) -> None:
        """Jobs hold the class they came with; what is learned of servers and keys stays."""
        before, turn = self.turn.settings, self.turn
        turn.retune(event.settings)
        self.monitor.period = turn.shortest_aim // 2
        self.monitor.spent.stretch(turn.now, 8 * self.monitor.period)
        if event.settings.tenants != before.tenants:
            self.tenants.know()
        self.roster.retuned()

    @property
    def come_back(self) -> int:
        """How long a client that is refused should stay away, where it may be told."""
        told, most = self.turn.settings.retry_after, self.turn.settings.max_retry_after
        return min(self.turn.shortest_aim, most) if told else 0

    def _step(self, _: Job | None) -> None:
        # Guards against an origin that hangs: a slow read counts as bad before it ends.
        for read, (sent, slow) in list(self.reads.items()):
            if slow > self.turn.now:
                break
            del self.reads[read]
            self.monitor.note(False, sent)
        self._release(None)  # so that the level counts the tokens due by now
        before = self.monitor.throttle
        line = self.monitor.step(self.turn.now, bool(self.reads))
        if line:
            self.turn.log(line)
        if before is not None and self.monitor.throttle is None:
            for job in list(before.queue.values()):
                self._proceed(job)
        if self.turn.settings.peers:
            self.turn.actions.append(self.hearsay.tell())
        self.turn.later(self.monitor.period, self._step)

    def _on_request(self, event: api.Request) -> None:
        spec = self.turn.settings.classes[event.cls]
        job = self.jobs[event.id] = Job(
            event, spec, min(event.deadline, self.turn.now + spec.latency_objective)
        )
        job.marked = self.tenants.over_share(event)
        self.roster.flow.add(self.turn.now)
        if event.key is not None:
            # Guards against a hot key that swamps its one cache.
            job.skip = self.replicas.choose(event.key)
        if event.write and self.turn.settings.cache_aside:
            job.at_origin = True
            self._proceed(job)
        elif event.key is not None and self.memory.likely_miss(event.key, self.turn.now):
            job.likely_miss = True
            if not self._join(job):
                self._spend(job)
        else:
            self._proceed(job)

    def _join(self, job: Job) -> bool:
        """Guards against a flood of reads for one key: who lacks it waits for the read that is out."""
        waiting = self.fetches.get(job.request.key or "")
        if waiting is None or self.turn.now >= job.due:
            return False
        waiting.append(job)
        self.turn.later(job.due - self.turn.now, self._give_up, job)
        return True

    def _fetched(self, key: str, stored: bool) -> None:
        """An origin read has ended: who waited for it finds the key in the cache, or takes its own turn."""
        throttle = self.monitor.throttle
        waiting = self.fetches.pop(key, [])
        if stored and throttle is not None:
            waiting += [job for job in throttle.queue.values() if job.request.key == key]
        for job in waiting:
            if self.jobs.get(job.request.id) is not job or job.out:
                continue
            if throttle is not None:
                throttle.leave(job)
            if stored:
                job.at_origin = False
                job.tried.clear()
                self._proceed(job)
            elif not self._join(job):
                self._spend(job)

    def _spend(self, job: Job) -> None:
        """The throttle's gate: a likely miss, and each origin read, takes a token here."""
        throttle = self.monitor.throttle
        if throttle is None:
            self._pay(job)
            self._proceed(job)
            return
        self._release(None)
        wait = throttle.wait_for(1 - throttle.level)
        verdict = None if job.marked or self.turn.now + wait > job.due else throttle.offer(job)
        if verdict:
            self._pay(job)
            self._proceed(job)
        elif job.request.id in throttle.queue:
            self._plan_release(throttle)
            self.turn.later(job.due - self.turn.now, self._give_up, job)
        else:
            self._give_up(job)

    def _plan_release(self, throttle: Throttle) -> None:
        if throttle.queue and self.release_at <= self.turn.now:
            self.release_at = max(self.turn.now + 1, throttle.last + throttle.wait_for(1))
            self.turn.later(self.release_at - self.turn.now, self._release)

    def _release(self, _: Job | None) -> None:
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for job in throttle.refill(self.turn.now):
            self._pay(job)
            self._proceed(job)
        self._plan_release(throttle)

    def _pay(self, job: Job) -> None:
        """Notes that a job has taken a token, or needed none; it is kept until an attempt uses it."""
        self.monitor.spent.add(self.turn.now)
        job.paid = True

    def _proceed(self, job: Job | None) -> None:
        if job is None or job.request.id not in self.jobs or job.out:
            return  # ended meanwhile; and never are two attempts out
        server = self.roster.origin if job.at_origin else self._place(job) or self._spare(job)
        # Guards against work that keeps a jammed origin jammed: the rule for swamped servers holds here too.
        # Guards against reads that crowd writes out: a write has nowhere else to go, so reads are shed first.
        limit = job.spec.latency_objective * (WRITE_SLACK if job.request.write else SLOW)
        jammed = job.at_origin and server and not server.calm(self.turn.now, limit, NO_CROWD, 0)
        if server is None or jammed or self._too_late(job, server) or not self._may_send(job, server):
            self._give_up(job)
        else:
            self._send(job, server)

    def _place(self, job: Job) -> Server | None:
        server = self.placement.place(job)
        if server is None and job.unreached:  # no other will do: the trouble may be over where it was
            job.pass_by_none()
            server = self.placement.place(job)
        return server

    def _spare(self, job: Job) -> Server | None:
        """The origin, for a read that no cache may take, while it is idle. Guards against a fleet short of
        warm servers beside an origin with room. It spends a token, as each origin read does."""
        origin, throttle = self.roster.origin, self.monitor.throttle
        idle = origin is not None and origin.predict() <= SPARE * origin.base_latency
        if not idle or job.request.key is None or job.request.write or job.marked or job.begun:
            return None
        if throttle is not None:
            self._release(None)
            if throttle.queue or not throttle.offer(job):
                throttle.leave(job)
                return None
        self._pay(job)
        job.at_origin = job.apart = True
        return origin

    def _too_late(self, job: Job, server: Server) -> bool:
        """Guards against second tries that can't be timely: they take from those that can. What the origin
        reads is kept for others, and what still earns something late is worth a try."""
        if job.at_origin or not job.begun or job.spec.late_weight:
            return False
        return server.predict() > job.due - self.turn.now

    def _send(self, job: Job, server: Server) -> None:
        key, read, now = job.request.key, job.at_origin and not job.request.write, self.turn.now
        left = job.request.deadline - now
        timeout = 0
        if job.spec.effect is not api.Effect.UNSAFE and not job.spec.stream:
            # Guards against an origin slower than an aim: a read given up fills no cache for those after it.
            # Guards against a jam fed by second tries: what still earns something late is waited for.
            timeout = left if read or job.spec.late_weight else min(left, job.due - now)
        # Guards against a dial that outlasts the window: the repeat would begin when its id is forgotten.
        begin_by = job.window_ends if job.live and job.spec.effect is api.Effect.KEYED else 0
        server.out += 1
        server.sent_before, server.sent_at = server.sent_at, now
        job.live[job.made] = (server, now)
        job.out.add(job.made)
        job.made += 1
        job.tried.add(server.member.server)
        if read or (job.likely_miss and not self.turn.settings.cache_aside):
            self.reads[job.request.id, job.made - 1] = (now, now + int(job.spec.latency_objective * SLOW))
        if key is not None and not self.turn.settings.cache_aside:
            self.memory.put(key, now)
        elif key is not None and read and not job.apart:
            self.fetches.setdefault(key, [])
        self.turn.actions.append(api.Send(job.request.id, server.member.server, max(timeout, 0), begin_by))

    def _may_send(self, job: Job, server: Server) -> bool:
        """Rules 1 and 2: whether this attempt is allowed, by what the earlier ones proved."""
        if job.begun >= self.turn.settings.max_attempts or self.turn.now >= job.request.deadline:
            return False
        if job.spec.effect is api.Effect.SAFE or not job.live:
            return True
        if job.spec.effect is api.Effect.UNSAFE or self.turn.now >= job.window_ends:
            return False
        group, to = job.spec.group, server.member
        ran = [at.member for at, _ in job.live.values()]
        same = [one.zone == to.zone if group == "zone" else one.cell == to.cell for one in ran]
        return group == "all" or all(same)

    def _give_up(self, job: Job | None) -> None:
        """The final answer of this router: a refusal where that is true, else a failure."""
        if job is None or job.out or self.jobs.get(job.request.id) is not job:
            return
        effect, name = job.spec.effect, job.request.id
        dropped = effect is api.Effect.KEYED and job.spec.group == "all"
        if effect is api.Effect.SAFE or not job.live or (dropped and self.turn.now < job.window_ends):
            self.turn.actions.append(api.Reject(name, self.come_back))
        else:
            self.turn.actions.append(api.Fail(name))
        self._end(job)

    def _end(self, job: Job) -> None:
        self.jobs.pop(job.request.id, None)
        job.waiting = False
        if job.paid and job.not_begun and not job.out:
            self.monitor.give_back(self.turn.now)
        if self.monitor.throttle is not None:
            self.monitor.throttle.leave(job)

    def _on_withdrawn(self, event: api.RequestCancelled) -> None:
        job = self.jobs.get(event.id)
        if job is not None:
            reading = job.reads_origin and (job.out or job.waiting)
            self._end(job)
            if reading:
                self._fetched(job.request.key or "", False)  # what nobody waits for is not stored

    def _on_opened(self, event: api.StreamOpened) -> None:
        """The attempt is the client's from now on. Who waits for its key need not wait for its last byte."""
        read = self.reads.pop((event.id, event.attempt), None)
        if read is not None:
            self.monitor.note(self.turn.now < read[1], read[0])
        if (job := self.jobs.get(event.id)) is None:
            return
        if job.reads_origin:
            self.memory.put(job.request.key or "", self.turn.now)
            self._fetched(job.request.key or "", True)
        job.apart = True

    def _on_outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.id)
        server = self.roster.servers.get(event.server)
        status = self.roster.reachability.status(server, event)
        if status in api.NOT_STARTED:
            self.reads.pop((event.id, event.attempt), None)
            if server is not None:
                self.roster.never_sent(server, event)
            if job is not None:
                self.failed_starts.take(job, event)
            return
        event = event if status is event.status else replace(event, status=status)
        if server is not None:
            self.roster.observe(server, event)
        read = self.reads.pop((event.id, event.attempt), None)
        if read is not None and event.status not in (*BROKEN, api.Status.CANCELLED):  # they say nothing of it
            self.monitor.note(event.status is api.Status.OK and self.turn.now < read[1], read[0])
        if job is None:
            return
        job.out.discard(event.attempt)
        job.paid = False
        (self._closed if event.closed else self._unanswered)(job, event)

    def _start_again(self, job: Job) -> None:
        """A further try of what this machine could not begin."""
        self._proceed(job)
        self._free_readers(job)

    def _stop_waiting(self, job: Job) -> None:
        """This machine could not begin an attempt in time."""
        self._give_up(job)
        self._free_readers(job)

    def _free_readers(self, job: Job) -> None:
        """Where a job has ended without a read, who waits for that takes its own turn."""
        if job.reads_origin and self.jobs.get(job.request.id) is not job:
            self._fetched(job.request.key or "", False)

    def _closed(self, job: Job, event: api.Outcome) -> None:
        self._end(job)
        key, answered = job.request.key, event.status is api.Status.OK
        if key is None or job.request.write or (job.apart and job.at_origin):
            return
        if job.at_origin:
            if answered:
                self.memory.put(key, self.turn.now)
            self._fetched(key, answered)
        elif answered:
            self.memory.learn(key, self.turn.now, True)

    def _unanswered(self, job: Job, event: api.Outcome) -> None:
        key, status = job.request.key, event.status
        if status in NEVER_RAN:
            job.live.pop(event.attempt, None)
        if status in BROKEN:
            job.tried.discard(event.server)  # the key is still there, and another connection leads to it
        # Guards against a slow origin behind the caches: what one could not fetch, no other should try.
        late = self.turn.now >= job.due and not job.spec.late_weight
        unfetched = (
            status is api.Status.ERROR and not self.turn.settings.cache_aside and not job.request.write
        )
        if status is api.Status.MISS and self.turn.settings.cache_aside and not job.at_origin:
            job.at_origin = True
            if key is not None:
                self.memory.learn(key, self.turn.now, False)
            if not self._join(job):
                self._spend(job)
        elif job.at_origin:
            read = key is not None and not job.request.write
            if read and status in BROKEN and self.turn.now < job.due:
                self._spend(job)  # the network broke it: the origin has neither failed nor refused it
            else:
                self._after_origin(job)
            if key is not None and read and not job.out and not job.apart:
                self._fetched(key, False)
        elif unfetched or late or (status is api.Status.FULL and (job.marked or job.begun > 1)):
            self._give_up(job)
        else:
            self._proceed(job)

    def _after_origin(self, job: Job) -> None:
        """A read the origin failed is refused, to shield it; a write tries again while its aim lasts."""
        wait = int((job.spec.latency_objective << job.begun) * self.turn.random.uniform(0.5, 1)) // 32
        timely = job.request.write and self.turn.now + wait < job.due
        if timely and self.roster.origin and self._may_send(job, self.roster.origin):
            self.turn.later(wait, self._proceed, job)
        else:
            self._give_up(job)
